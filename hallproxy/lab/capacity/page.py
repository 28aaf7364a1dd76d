"""The generated blocks of docs/CAPACITY.md. The words between them are written by hand and stay."""

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
    """The page's marks are not those of the blocks there are."""


def slopes(results: Sequence[Result]) -> Slopes:
    """Raises ResultsError where lines don't fit the measurements there are."""
    return Slopes(results, catalogue())


def table(head: Sequence[str], lines: Sequence[Sequence[str]]) -> list[str]:
    def row(cells: Sequence[str]) -> str:
        return "| " + " | ".join(cell.replace("|", "\\|") for cell in cells) + " |"

    return [row(head), "|" + " --- |" * len(head), *(row(line) for line in lines)]


def _share(part: float) -> str:
    return f"{num(100 * part)}%"


def _x(value: float) -> str:
    return num(int(value) if value == int(value) else value)


def slopes_table(of: Slopes) -> list[str]:
    """One line for each quantity of each measurement, also of what was not run or failed."""
    head = ("measurement", "by", "quantity", "sizes", "runs", "line", "residual", "furthest", "shape",
            "power", "spread")  # fmt: skip
    lines = []
    for one in of.measurements.values():
        for quantity in one.quantities:
            by = f"{one.x} {one.x_unit}".strip()
            lines.append([one.name, by, quantity.name, *_fitted(of.lines[one.name], quantity)])
    return table(head, lines)


def _fitted(lines: Sequence[Result], quantity: Quantity) -> list[str]:
    if not lines:
        return ["–", "0", "not measured", *["–"] * 5]
    of = points(lines, quantity.name)
    sizes, runs = ", ".join(_x(p.x) for p in of) or "–", str(max((p.repeats for p in of), default=0))
    whys = sorted({line.failed for line in lines if line.failed})
    if whys:
        runs += f"; {sum(bool(line.failed) for line in lines)} of {len(lines)} failed: {'; '.join(whys)}"
    if not quantity.fitted:
        return [sizes, runs, "by size" if of else "not measured", *["–"] * 4, _share(spread(of))]
    try:
        made = fit(of)
    except FitError as error:
        return [sizes, runs, f"not measured: {error}", *["–"] * 5]
    sign = "-" if made.slope < 0 else "+"
    line = f"{num(made.at_zero)} {sign} {num(abs(made.slope))}·x {quantity.unit}".strip()
    power = "–" if made.power is None else f"{made.power:.2f}"
    return [sizes, runs, line, _share(made.residual), _share(made.deviation), made.shape, power,
            _share(made.spread)]  # fmt: skip


def _measurements(of: Slopes) -> list[str]:
    """What each measures, and its plot."""
    lines = []
    for one in of.measurements.values():
        drawn = f"[plot](capacity/{plots.name(one.name)})" if plots.drawn(of, one) else "–"
        lines.append([one.name, one.title, drawn])
    return table(("measurement", "what is measured", "plot"), lines)


def _points(of: Slopes) -> list[str]:
    """The medians themselves, with the least and the most of the repeats."""
    lines = []
    for one in of.measurements.values():
        for quantity in one.quantities:
            found = points(of.lines[one.name], quantity.name)
            if found:
                said = (f"{_x(p.x)}: {num(p.y)} ({num(p.low)}–{num(p.high)})" for p in found)
                lines.append([one.name, quantity.name, quantity.unit, "; ".join(said)])
    if not lines:
        return ["Nothing has been measured yet."]
    return table(("measurement", "quantity", "unit", "size: median (least–most)"), lines)


def _machines(of: Slopes) -> list[str]:
    """Which machine and which commit the figures are from, and how busy the machine was."""
    seen: dict[tuple[str, ...], list[str]] = {}
    for name, lines in of.lines.items():
        for line in lines:
            m, dirty = line.machine, ", with changes" if line.version["dirty"] else ""
            of_machine: tuple[str, ...] = (
                str(m["cpu"]),
                str(m["cores"]),
                num(m["memory_mb"]),
                str(m["kernel"]),
                str(m["python"]),
            )
            what = (*of_machine, f"{line.version['commit']}{dirty}", line.run)
            seen.setdefault(what, []).append(name)
    if not seen:
        return ["Nothing has been measured yet."]
    rows = []
    for what, names in seen.items():
        loads = [line.load for name in set(names) for line in of.lines[name]]
        seeds = sorted({line.seed for name in set(names) for line in of.lines[name]})
        rows.append([*what, ", ".join(dict.fromkeys(names)), ", ".join(str(seed) for seed in seeds),
                         f"{min(loads):.1f}–{max(loads):.1f}"])  # fmt: skip
    head = ("processor", "cores", "memory (MB)", "kernel", "Python", "commit", "begun (UTC)", "measurements",
            "seeds", "load at begin")  # fmt: skip
    return table(head, rows)


def _size(of: Slopes) -> list[str]:
    """What follows from the operators' numbers by division."""
    lines = [
        ["gateways of a site", f"{num(SIZE.gateways)} ÷ {num(SIZE.sites)}", num(SIZE.site)],
        ["gateways of a zone", f"{num(SIZE.gateways)} ÷ {num(SIZE.zones)}", num(SIZE.zone_gateways)],
        ["gateways of a region", f"{num(SIZE.gateways)} ÷ {num(SIZE.regions)}", num(SIZE.region_gateways)],
        ["stores of a zone", f"{num(SIZE.stores)} ÷ {num(SIZE.zones)}", num(SIZE.zone_stores)],
        ["requests a second at a gateway", f"{num(SIZE.requests)} ÷ {num(SIZE.gateways)}", num(SIZE.asked)],
        ["KB of a request", f"{num(SIZE.bits)} ÷ 8 ÷ {num(SIZE.requests)}", num(SIZE.body_kb)],
        ["followers of a control machine", f"{num(SIZE.gateways)} ÷ {num(SIZE.control_machines)}",
         num(SIZE.followers)],
        ["changes of configuration a second", f"{num(SIZE.changes_a_day)} ÷ 86,400", num(SIZE.changes)],
    ]  # fmt: skip
    return table(("what", "from", "result"), lines)


def _role(role: str) -> Callable[[Slopes], list[str]]:
    head = ("kind", "quantity", "arithmetic", "slope", "result", "allowed", "verdict", "mechanism")
    return lambda of: table(head, [row_line(row, SIZE, of) for row in ROWS if row.role == role])


def _failures(of: Slopes) -> list[str]:
    head = ("failure", "how often", "what is lost", "how it is noticed", "until all is whole",
            "what it costs", "slope", "allowed", "verdict", "mechanism")  # fmt: skip
    return table(head, [failure_line(failure, SIZE, of) for failure in FAILURES])


def _verdicts(of: Slopes) -> list[str]:
    """How many rows of each role are carried, and how many not."""
    kinds = ("carried", "**not carried**", "**missing**", "not measured", "no bound told")
    lines = []
    for role, title in ROLES.items():
        said = [row_line(row, SIZE, of)[6] for row in ROWS if row.role == role]
        lines.append([title, *(str(said.count(kind)) for kind in kinds)])
    said = [failure_line(failure, SIZE, of)[8] for failure in FAILURES]
    lines.append(["Failures", *(str(said.count(kind)) for kind in kinds)])
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
    """Names and texts of the page's blocks. PageError where one is missing, doubled, unknown or not ended."""
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


def render(text: str, of: Slopes) -> str:
    """The page with its blocks anew. Raises PageError."""
    dict(blocks(text))
    return _BLOCK.sub(lambda match: match[1] + "\n".join(BLOCKS[match[2]](of)) + "\n" + match[4], text)


def differences(text: str, of: Slopes) -> list[str]:
    """Each first line of a block that is not what the results give. Raises PageError."""
    wrong = []
    for name, there in blocks(text):
        had, wanted = there.splitlines(), BLOCKS[name](of)
        for number, (old, new) in enumerate(zip_longest(had, wanted, fillvalue="")):
            if old != new:
                wrong.append(f"{name}, line {number + 1}: the page says {old!r}, the results {new!r}")
                break
    return wrong
