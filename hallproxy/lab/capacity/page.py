"""The generated blocks of docs/CAPACITY.md. The text between them is written by hand and stays."""

import re
from collections.abc import Callable, Iterator, Sequence
from itertools import zip_longest

from hallproxy.lab.capacity import plots
from hallproxy.lab.capacity.catalogue import catalogue
from hallproxy.lab.capacity.failures import FAILURES, failure_line
from hallproxy.lab.capacity.fits import FitError, fit, points, spread
from hallproxy.lab.capacity.registry import Quantity
from hallproxy.lab.capacity.results import Result
from hallproxy.lab.capacity.roles import ROLES, ROWS
from hallproxy.lab.capacity.rows import Slopes, num, row_line
from hallproxy.lab.capacity.size import SIZE

_BLOCK = re.compile(r"(<!-- generated: ([a-z ]+) -->\n)(.*?)(<!-- end -->)", re.S)
_MARK = re.compile(r"<!-- (?:generated|end)")


class PageError(ValueError):
    """The page's marks do not match the known blocks."""


def slopes(results: Sequence[Result]) -> Slopes:
    """Raises ResultsError if lines don't match the measurements."""
    return Slopes(results, catalogue())


def table(head: Sequence[str], lines: Sequence[Sequence[str]]) -> list[str]:
    def row(cells: Sequence[str]) -> str:
        return "| " + " | ".join(cell.replace("|", "\\|") for cell in cells) + " |"

    return [row(head), "|" + " --- |" * len(head), *(row(line) for line in lines)]


def _share(part: float) -> str:
    return f"{num(100 * part)}%"


def _x(value: float) -> str:
    return num(int(value) if value == int(value) else value)


def slopes_table(slopes: Slopes) -> list[str]:
    """A line for each quantity of each measurement, including those not run or failed."""
    head = ("measurement", "by", "quantity", "sizes", "runs", "line", "residual", "furthest", "shape",
            "power", "spread")  # fmt: skip
    lines = []
    for measurement in slopes.measurements.values():
        for quantity in measurement.quantities:
            by = f"{measurement.x} {measurement.x_unit}".strip()
            lines.append(
                [measurement.name, by, quantity.name, *_fitted(slopes.results[measurement.name], quantity)]
            )
    return table(head, lines)


def _fitted(lines: Sequence[Result], quantity: Quantity) -> list[str]:
    if not lines:
        return ["–", "0", "not measured", *["–"] * 5]
    samples = points(lines, quantity.name)
    sizes, runs = (
        ", ".join(_x(p.x) for p in samples) or "–",
        str(max((p.repeats for p in samples), default=0)),
    )
    reasons = sorted({line.failed for line in lines if line.failed})
    if reasons:
        runs += f"; {sum(bool(line.failed) for line in lines)} of {len(lines)} failed: {'; '.join(reasons)}"
    if not quantity.fitted:
        return [sizes, runs, "by size" if samples else "not measured", *["–"] * 4, _share(spread(samples))]
    try:
        line_fit = fit(samples)
    except FitError as error:
        return [sizes, runs, f"not measured: {error}", *["–"] * 5]
    sign = "-" if line_fit.slope < 0 else "+"
    line = f"{num(line_fit.intercept)} {sign} {num(abs(line_fit.slope))}·x {quantity.unit}".strip()
    power = "–" if line_fit.power is None else f"{line_fit.power:.2f}"
    return [sizes, runs, line, _share(line_fit.residual), _share(line_fit.deviation), line_fit.shape, power,
            _share(line_fit.spread)]  # fmt: skip


def _measurements(slopes: Slopes) -> list[str]:
    """Title and plot of each measurement."""
    lines = []
    for measurement in slopes.measurements.values():
        plot = (
            f"[plot](capacity/{plots.file_name(measurement.name)})"
            if plots.has_points(slopes, measurement)
            else "–"
        )
        lines.append([measurement.name, measurement.title, plot])
    return table(("measurement", "what is measured", "plot"), lines)


def _points(slopes: Slopes) -> list[str]:
    """The medians with the minimum and maximum of their repeats."""
    lines = []
    for measurement in slopes.measurements.values():
        for quantity in measurement.quantities:
            found = points(slopes.results[measurement.name], quantity.name)
            if found:
                texts = (f"{_x(p.x)}: {num(p.y)} ({num(p.low)}–{num(p.high)})" for p in found)
                lines.append([measurement.name, quantity.name, quantity.unit, "; ".join(texts)])
    if not lines:
        return ["Nothing has been measured yet."]
    return table(("measurement", "quantity", "unit", "size: median (least–most)"), lines)


def _machines(slopes: Slopes) -> list[str]:
    """The machines and commits of the figures, and the machines' load."""
    names_by_run: dict[tuple[str, ...], list[str]] = {}
    for name, lines in slopes.results.items():
        for line in lines:
            m, dirty = line.machine, ", with changes" if line.version["dirty"] else ""
            of_machine: tuple[str, ...] = (
                str(m["cpu"]),
                str(m["cores"]),
                num(m["memory_mb"]),
                str(m["kernel"]),
                str(m["python"]),
            )
            key = (*of_machine, f"{line.version['commit']}{dirty}", line.run)
            names_by_run.setdefault(key, []).append(name)
    if not names_by_run:
        return ["Nothing has been measured yet."]
    rows = []
    for key, names in names_by_run.items():
        loads = [line.load for name in set(names) for line in slopes.results[name]]
        seeds = sorted({line.seed for name in set(names) for line in slopes.results[name]})
        rows.append([*key, ", ".join(dict.fromkeys(names)), ", ".join(str(seed) for seed in seeds),
                         f"{min(loads):.1f}–{max(loads):.1f}"])  # fmt: skip
    head = ("processor", "cores", "memory (MB)", "kernel", "Python", "commit", "begun (UTC)", "measurements",
            "seeds", "load at begin")  # fmt: skip
    return table(head, rows)


def _size(slopes: Slopes) -> list[str]:
    """Numbers derived from the operators' by division."""
    lines = [
        ["gateways of a site", f"{num(SIZE.gateways)} ÷ {num(SIZE.sites)}", num(SIZE.site)],
        ["gateways of a zone", f"{num(SIZE.gateways)} ÷ {num(SIZE.zones)}", num(SIZE.zone_gateways)],
        ["gateways of a region", f"{num(SIZE.gateways)} ÷ {num(SIZE.regions)}", num(SIZE.region_gateways)],
        ["stores of a zone", f"{num(SIZE.stores)} ÷ {num(SIZE.zones)}", num(SIZE.zone_stores)],
        ["requests a second at a gateway", f"{num(SIZE.requests)} ÷ {num(SIZE.gateways)}",
         num(SIZE.gateway_rate)],
        ["KB of a request", f"{num(SIZE.bits)} ÷ 8 ÷ {num(SIZE.requests)}", num(SIZE.body_kb)],
        ["followers of a control machine", f"{num(SIZE.gateways)} ÷ {num(SIZE.control_machines)}",
         num(SIZE.followers)],
        ["changes of configuration a second", f"{num(SIZE.changes_a_day)} ÷ 86,400", num(SIZE.changes)],
    ]  # fmt: skip
    return table(("what", "from", "result"), lines)


def _role(role: str) -> Callable[[Slopes], list[str]]:
    head = ("kind", "quantity", "arithmetic", "slope", "result", "allowed", "verdict", "mechanism")
    return lambda slopes: table(head, [row_line(row, SIZE, slopes) for row in ROWS if row.role == role])


def _failures(slopes: Slopes) -> list[str]:
    head = ("failure", "how often", "what is lost", "how it is noticed", "until all is whole",
            "what it costs", "slope", "allowed", "verdict", "mechanism")  # fmt: skip
    return table(head, [failure_line(failure, SIZE, slopes) for failure in FAILURES])


def _verdicts(slopes: Slopes) -> list[str]:
    """The number of rows with each verdict, by role."""
    kinds = ("carried", "**not carried**", "**missing**", "not measured", "no bound told")
    lines = []
    for role, title in ROLES.items():
        verdicts = [row_line(row, SIZE, slopes)[6] for row in ROWS if row.role == role]
        lines.append([title, *(str(verdicts.count(kind)) for kind in kinds)])
    verdicts = [failure_line(failure, SIZE, slopes)[8] for failure in FAILURES]
    lines.append(["Failures", *(str(verdicts.count(kind)) for kind in kinds)])
    return table(("role", *(kind.strip("*") for kind in kinds)), lines)


BLOCKS: dict[str, Callable[[Slopes], list[str]]] = {
    "size": _size,
    "verdicts": _verdicts,
    **{f"role {role}": _role(role) for role in ROLES},
    "failures": _failures,
    "measurements": _measurements,
    "slopes": slopes_table,
    "points": _points,
    "machines": _machines,
}


def blocks(text: str) -> Iterator[tuple[str, str]]:
    """Names and texts of the page's blocks. PageError if one is missing, doubled, unknown or not ended."""
    found = [(match[2], match[3]) for match in _BLOCK.finditer(text)]
    names = [name for name, _ in found]
    if len(_MARK.findall(text)) != 2 * len(found):
        raise PageError("a block is not ended, or ended twice")
    for name in BLOCKS:
        if names.count(name) != 1:
            raise PageError(f"the block {name!r} is there {names.count(name)} times")
    for name in names:
        if name not in BLOCKS:
            raise PageError(f"there is no block {name!r}")
    yield from found


def render(text: str, slopes: Slopes) -> str:
    """The page with its blocks generated again. Raises PageError."""
    dict(blocks(text))
    return _BLOCK.sub(lambda match: match[1] + "\n".join(BLOCKS[match[2]](slopes)) + "\n" + match[4], text)


def differences(text: str, slopes: Slopes) -> list[str]:
    """The first line of each block that differs from the results. Raises PageError."""
    differing = []
    for name, block in blocks(text):
        present, expected = block.splitlines(), BLOCKS[name](slopes)
        for number, (old, new) in enumerate(zip_longest(present, expected, fillvalue="")):
            if old != new:
                differing.append(f"{name}, line {number + 1}: the page says {old!r}, the results {new!r}")
                break
    return differing
