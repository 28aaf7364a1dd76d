"""Capacity planning: fits of known data, strict parsing of results, and the page and plots made from them."""

from __future__ import annotations

import json
import math
import sys
import time
from collections.abc import Callable, Iterator
from dataclasses import replace
from pathlib import Path

import pytest
from click.testing import CliRunner

from hallproxy.lab.capacity import page, plots, registry, results, runner
from hallproxy.lab.capacity.__main__ import PAGE, RESULTS, main
from hallproxy.lab.capacity.catalogue import catalogue
from hallproxy.lab.capacity.failures import FAILURES
from hallproxy.lab.capacity.fits import FitError, Point, fit, points
from hallproxy.lab.capacity.registry import Measurement, Quantity, Run
from hallproxy.lab.capacity.results import Result, ResultsError
from hallproxy.lab.capacity.roles import ROLES, ROWS
from hallproxy.lab.capacity.rows import KINDS, Computed, Figure, Mechanism, Need, Slopes, num, row_line
from hallproxy.lab.capacity.size import SIZE
from tests.support.capacity_runs import run_tiny
from tests.support.gateway import ROOT

MACHINE = {"cpu": "a processor", "cores": 8, "memory_mb": 16_000, "kernel": "6.1", "python": "3.11.7"}
VERSION = {"commit": "0123456789ab", "dirty": False}


def line(
    measurement: str = "stores.cold", x: float = 1.0, values: registry.Measured | None = None,
    failed: str = "", repeat: int = 0, run: str = "2026-12-02T00:00:00+00:00", tiny: bool = False,
) -> Result:  # fmt: skip
    return Result(measurement, x, values or {}, failed, repeat, 1, tiny, run, run, 0.5, MACHINE, VERSION)


def points_of(pairs: dict[float, float]) -> list[Point]:
    return [Point(x, y, y, y, 1) for x, y in sorted(pairs.items())]


# Fits ---------------------------------------------------------------------------------------------------


def test_points_on_a_line_give_that_line_and_no_residual() -> None:
    line_fit = fit(points_of({x: 3.0 + 0.5 * x for x in (10, 100, 1_000, 4_000)}))
    assert line_fit.slope == pytest.approx(0.5) and line_fit.intercept == pytest.approx(3.0)
    assert line_fit.residual < 1e-9 and line_fit.deviation < 1e-9
    assert line_fit.shape == "straight" and line_fit.at(2_000) == pytest.approx(1_003.0)


def test_proportional_points_have_power_one() -> None:
    line_fit = fit(points_of({x: 0.25 * x for x in (1, 10, 100, 1_000)}))
    assert line_fit.power == pytest.approx(1.0) and line_fit.intercept == pytest.approx(0.0, abs=1e-9)


def test_a_square_has_power_two_and_a_large_residual() -> None:
    line_fit = fit(points_of({x: 2.0 * x * x for x in (1, 10, 100, 1_000)}))
    assert line_fit.power == pytest.approx(2.0) and line_fit.residual > 0.05
    assert not line_fit.straight and line_fit.shape == "worse than in proportion, power 2.00"
    assert line_fit.estimate(10) == pytest.approx(200.0) and line_fit.estimate(2_000) == pytest.approx(8e6)
    assert line_fit.estimate(55) == pytest.approx((200 + 20_000) / 2)  # halfway from 10 to 100, on the chord


def test_size_zero_counts_for_the_line_but_not_for_the_power() -> None:
    line_fit = fit(points_of({0: 5.0, 1: 7.0, 10: 25.0, 100: 205.0, 1_000: 2_005.0}))
    assert line_fit.intercept == pytest.approx(5.0) and line_fit.slope == pytest.approx(2.0)
    of_the_rest = fit(points_of({1: 7.0, 10: 25.0, 100: 205.0, 1_000: 2_005.0})).power
    assert line_fit.power is not None and line_fit.power == pytest.approx(of_the_rest)


def test_a_root_is_less_than_in_proportion() -> None:
    assert (
        fit(points_of({x: x**0.5 for x in (1, 10, 100, 1_000)})).shape
        == "less than in proportion, power 0.50"
    )


def test_constant_points_are_flat() -> None:
    line_fit = fit(points_of({x: 7.0 for x in (1, 10, 100, 1_000)}))
    assert line_fit.shape == "flat" and line_fit.slope == pytest.approx(0.0, abs=1e-12)


def test_the_residual_and_the_largest_deviation_of_known_points() -> None:
    # Through (1, 1), (2, 3), (3, 3), (4, 5) by hand: 0 + 1.2 x, off by -0.2, 0.6, -0.6, 0.2.
    line_fit = fit(points_of({1: 1.0, 2: 3.0, 3: 3.0, 4: 5.0}))
    assert line_fit.slope == pytest.approx(1.2) and line_fit.intercept == pytest.approx(0.0, abs=1e-9)
    assert line_fit.residual == pytest.approx(math.sqrt((0.04 + 0.36 + 0.36 + 0.04) / 4) / 3)
    assert line_fit.deviation == pytest.approx(0.2)
    assert not line_fit.straight


def test_a_line_that_misses_a_zero_has_infinite_deviation() -> None:
    line_fit = fit(points_of({1: 0.0, 2: 1.0, 3: 1.0, 4: 5.0}))
    assert line_fit.deviation == math.inf and line_fit.power is None and line_fit.shape == "not straight"


@pytest.mark.parametrize("count", [0, 1, 3])
def test_fewer_than_four_sizes_are_rejected(count: int) -> None:
    with pytest.raises(FitError, match=f"^{count} sizes of at least 4$"):
        fit(points_of({float(x): 1.0 for x in range(1, count + 1)}))


def test_each_size_is_the_median_of_its_repeats_with_their_spread() -> None:
    lines = [
        line(x=x, values={"y": y * x}, repeat=n)
        for x in (1.0, 2.0, 3.0, 4.0)
        for n, y in enumerate((9, 1, 2))
    ]
    lines += [line(x=5.0, values={"y": None}), line(x=6.0, failed="over its limit")]
    found = points(lines, "y")
    assert [(p.x, p.y, p.low, p.high, p.repeats) for p in found] == [
        (x, 2 * x, x, 9 * x, 3) for x in (1, 2, 3, 4)
    ]
    assert fit(found).spread == pytest.approx((9 - 1) / 2)


def body(size: float, run: Run) -> registry.Measured:
    return {"y": size}


def test_a_measurement_needs_four_sizes_and_a_unique_name(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(registry, "register", {})
    options = {"role": "serving", "title": "t", "x": "x", "quantities": (Quantity("y", ""),)}
    decorate = registry.measurement(name="a", sizes=(1, 2, 3, 4), tiny=(1, 2, 3, 4), **options)  # type: ignore[arg-type]
    assert decorate(body) is body
    with pytest.raises(ValueError, match="two measurements are named a"):
        decorate(body)
    for sizes, tiny in (
        ((1, 2, 3), (1, 2, 3, 4)),
        ((1, 2, 3, 4), (1, 2, 2, 4)),
        ((0, 1, 2, 3), (1, 2, 3, 4)),
        ((-1, 1, 2, 3, 4), (1, 2, 3, 4)),
    ):
        with pytest.raises(ValueError, match="at least 4 different sizes over 0"):
            registry.measurement(name="b", sizes=sizes, tiny=tiny, **options)(body)  # type: ignore[arg-type]


# Results ------------------------------------------------------------------------------------------------


def test_lines_read_back_as_they_were_written(tmp_path: Path) -> None:
    path = tmp_path / "results.jsonl"
    written = [line(values={"over": 0.5, "of_n": None}), line(x=2.5, failed="over its limit of 2 s")]
    for one in written:
        results.append(path, one)
    assert results.read(path) == written


def record(**fields: object) -> str:
    valid = {
        "measurement": "m", "x": 1.0, "values": {"y": 1.0}, "repeat": 0, "seed": 1, "tiny": False, "run": "r",
        "at": "a", "load": 0.5, "machine": MACHINE, "version": VERSION,
    }  # fmt: skip
    return json.dumps({name: value for name, value in {**valid, **fields}.items() if value != "gone"})


def test_the_unmodified_line_is_valid(tmp_path: Path) -> None:
    path = tmp_path / "results.jsonl"
    path.write_text(record() + "\n")
    assert len(results.read(path)) == 1


@pytest.mark.parametrize(
    "text",
    [
        "", "{", "[]", "1", record(x="gone"), record(x=True), record(x="0"), record(x=-1.0),
        record(repeat=1.5),
        record(values="gone"), record(values={}), record(values={"y": "1"}), record(values={"y": True}),
        record(failed="why"), record(values="gone", failed=""), record(values="gone", failed=1),
        record(more=1), record(machine={}), record(version={"commit": "c"}), record(tiny=0),
        record(load=None),
        record().replace("1.0", "NaN", 1), record(values={"y": math.inf}), record(values=[1]),
    ],
)  # fmt: skip
def test_an_invalid_line_is_an_error_that_names_it(tmp_path: Path, text: str) -> None:
    path = tmp_path / "results.jsonl"
    path.write_text(f"{record()}\n{text}\n")
    with pytest.raises(ResultsError, match="results.jsonl, line 2: "):
        results.read(path)
    ran = CliRunner().invoke(main, ["fit", str(path)])
    assert ran.exit_code == 1 and ran.output.startswith("Error: ") and ran.output.count("\n") == 1


def test_a_tiny_run_is_not_a_result(tmp_path: Path) -> None:
    path = tmp_path / "results.jsonl"
    results.append(path, line(values={"y": 1.0}, tiny=True))
    with pytest.raises(ResultsError, match="no results"):
        results.read(path)
    assert len(results.read(path, tiny=True)) == 1


def test_removed_measurements_are_ignored_and_changed_quantities_rejected(tmp_path: Path) -> None:
    with pytest.raises(ResultsError, match="stores.cold at 1: quantities"):
        page.slopes([line(values={"former": 1.0})])
    page.slopes([line("a.former.one", values={"former": 1.0})])  # journal entries stay


def test_only_the_last_run_of_a_measurement_counts() -> None:
    one = measured()
    early, late = "2026-12-01T00:00:00+00:00", "2026-12-02T00:00:00+00:00"
    lines = [line("m", x, {"y": x}, run=early) for x in (1.0, 2.0, 3.0, 4.0, 5.0)]
    lines += [line("m", x, {"y": 2 * x}, run=late) for x in (1.0, 2.0, 3.0, 4.0)]
    assert Slopes(lines, {"m": one}).slope(Need("m", "y")).at(4.0) == pytest.approx(8.0)
    lines.append(line("m", 1.0, failed="broke", run="2026-12-03T00:00:00+00:00"))
    failed = Slopes(lines, {"m": one}).slope(Need("m", "y"))
    assert math.isnan(failed.at(4.0)) and failed.missing_reason == "0 sizes of at least 4; failed: broke"


# Rows ---------------------------------------------------------------------------------------------------


def measured(unit: str = "", fitted: bool = True) -> Measurement:
    sizes = (1.0, 2.0, 3.0, 4.0)
    return Measurement("m", "serving", "t", "x", "", sizes, sizes, (Quantity("y", unit, fitted),), 1.0, body)


def slopes_of(law: Callable[[float], float], unit: str = "", fitted: bool = True) -> Slopes:
    return Slopes([line("m", x, {"y": law(x)}) for x in (1.0, 2.0, 3.0, 4.0)], {"m": measured(unit, fitted)})


def test_a_slope_notes_where_its_figure_is_weaker_than_a_straight_line() -> None:
    straight = slopes_of(lambda x: 2 * x).slope(Need("m", "y"))
    assert straight.at(3.5) == pytest.approx(7.0) and straight.notes == []
    assert straight.at(8.0) == pytest.approx(16.0) and straight.notes == ["2 × the largest size measured"]
    assert (
        straight.at(0.5) == pytest.approx(1.0) and straight.notes[1] == "under the smallest size measured, 1"
    )
    curve = slopes_of(lambda x: x**3).slope(Need("m", "y"))
    assert curve.at(3.0) == 27.0 and curve.notes == []
    assert curve.at(3.5) == pytest.approx((27 + 64) / 2)
    assert curve.notes == ["y is no straight line: worse than in proportion, power 3.00"]


def test_a_falling_line_is_not_followed_below_zero() -> None:
    falling = slopes_of(lambda x: 10.0 - x).slope(Need("m", "y"))
    assert falling.at(4.0) == pytest.approx(6.0) and falling.notes == []
    assert 0 < falling.at(20.0) < 6.0
    assert "y: the line would be under 0" in falling.notes


def test_an_unfitted_quantity_is_read_by_size() -> None:
    by_size = slopes_of(lambda x: 2 * x, fitted=False).slope(Need("m", "y"))
    assert by_size.at(3.0) == 6.0 and by_size.notes == []
    assert by_size.at(3.5) == pytest.approx(7.0) and by_size.notes == ["between two sizes measured"]


def test_rounding_errors_count_as_zero() -> None:
    """Otherwise the last digits on the page would differ between machines."""
    line_fit = fit(points_of({x: 26 + 79 * x for x in (1, 2, 5, 9)}))
    assert (line_fit.residual, line_fit.deviation) == (0.0, 0.0)
    line_fit = fit(points_of({x: 0.1 * x for x in (1, 7, 49, 343)}))
    assert (line_fit.intercept, line_fit.residual) == (0.0, 0.0)
    assert fit(points_of({x: 0.1 for x in (1, 7, 49, 343)})).slope == 0.0


def test_shares_of_a_core_are_converted_by_unit() -> None:
    assert slopes_of(lambda x: x, "%").slope(Need("m", "y")).cores(2.0) == pytest.approx(0.02)
    assert slopes_of(lambda x: x, "% of each relay").slope(Need("m", "y")).cores(2.0) == pytest.approx(0.02)
    assert slopes_of(lambda x: x, "us/s").slope(Need("m", "y")).cores(2.0) == pytest.approx(2e-6)
    with pytest.raises(KeyError):
        slopes_of(lambda x: x, "MB").slope(Need("m", "y")).cores(2.0)


@pytest.mark.parametrize(
    "value, allowed, minimum, verdict",
    [
        (1.0, 2.0, False, "carried"), (2.0, 2.0, False, "carried"), (2.1, 2.0, False, "**not carried**"),
        (2.1, 2.0, True, "carried"), (1.9, 2.0, True, "**not carried**"), (1.0, None, False, "no bound told"),
        (math.nan, 2.0, False, "not measured"), (math.nan, None, True, "not measured"),
    ],
)  # fmt: skip
def test_verdicts(value: float, allowed: float | None, minimum: bool, verdict: str) -> None:
    figure = Figure("", lambda size: Computed(value, ""), (), allowed, minimum)
    assert figure.verdict(value) == verdict


def test_a_mechanism_without_its_file_is_missing() -> None:
    file = "hallproxy/decisions/router.py"
    assert str(Mechanism("the module", file)) == f"the module (`{file}`)"
    assert str(Mechanism("a thing", "hallproxy/no_such.py")) == "missing: a thing"
    assert str(Mechanism("a thing")) == "missing: a thing"


@pytest.mark.parametrize(
    "value, shown",
    [(7_100, "7,100"), (1126.76, "1,130"), (0.04977, "0.0498"), (2.4, "2.4"), (42.0, "42"),
     (8e6, "8,000,000"), (0.0, "0"), (-1.2345, "-1.23"), (math.nan, "?"), (999.7, "1,000")],
)  # fmt: skip
def test_numbers_are_formatted(value: float, shown: str) -> None:
    assert num(value) == shown


def needs() -> Iterator[Need]:
    for row in ROWS:
        yield from row.figure.needs
    for failure in FAILURES:
        yield from (*failure.recovery.needs, *failure.cost.needs)


PENDING_MEASUREMENTS = {"configuration.gateways"}
"""Measurements that rows need and that do not exist yet; remove each from here once it does."""


def test_rows_name_quantities_that_are_measured_or_pending() -> None:
    measurements, missing = catalogue(), set()
    for need in needs():
        if need.measurement in measurements:
            measurements[need.measurement].quantity(need.quantity)
        else:
            missing.add(need.measurement)
    assert missing == PENDING_MEASUREMENTS


def test_every_role_has_rows_and_every_row_a_role() -> None:
    assert {row.role for row in ROWS} == set(ROLES)
    assert len({(row.role, row.quantity) for row in ROWS}) == len(ROWS)
    for role in ROLES:
        kinds = {row.kind for row in ROWS if row.role == role}
        assert set(KINDS[:4]) <= kinds <= set(KINDS), role


def catalogue_results(law: Callable[[float], float]) -> list[Result]:
    """Synthetic results for the whole catalogue."""
    return [
        line(one.name, x, {quantity.name: law(x) for quantity in one.quantities})
        for one in catalogue().values()
        for x in one.sizes
    ]


def test_rows_of_existing_measurements_are_computed_from_results() -> None:
    all_slopes = page.slopes(catalogue_results(lambda x: 1.0 + x))
    for row in ROWS:
        computed, used = row.figure.compute(SIZE, all_slopes)
        if all(slope.fit for slope in used):
            assert math.isfinite(computed.value), row
            assert "?" not in computed.text, row
        else:
            assert math.isnan(computed.value) and "not measured" in row_line(row, SIZE, all_slopes)[4], row


# The page and the plots ---------------------------------------------------------------------------------


def test_the_page_and_the_plots_match_the_committed_results() -> None:
    all_slopes = page.slopes(results.read(RESULTS))
    assert page.differences(PAGE.read_text("utf-8"), all_slopes) == []
    assert plots.differences(RESULTS.parent, all_slopes) == []


def test_a_figure_changed_by_hand_is_detected(tmp_path: Path) -> None:
    text = PAGE.read_text("utf-8")
    changed = text.replace("| 139 |", "| 140 |", 1)
    assert changed != text
    found = page.differences(changed, page.slopes(results.read(RESULTS)))
    assert len(found) == 1 and "139" in found[0] and "140" in found[0]
    (tmp_path / "page.md").write_text(changed)
    ran = CliRunner().invoke(main, ["check", "--page", str(tmp_path / "page.md")])
    assert ran.exit_code == 1 and "140" in ran.output


def test_text_between_the_blocks_is_preserved() -> None:
    text, all_slopes = PAGE.read_text("utf-8"), page.slopes(results.read(RESULTS))
    assert page.render("More words.\n" + text, all_slopes) == "More words.\n" + text


@pytest.mark.parametrize(
    "spoil",
    [lambda t: t.replace("<!-- generated: failures -->\n", ""), lambda t: t.replace("<!-- end -->", "", 1),
     lambda t: t + "<!-- generated: more -->\n<!-- end -->",
     lambda t: t + "<!-- generated: size -->\n<!-- end -->"],
)  # fmt: skip
def test_wrong_block_marks_are_rejected(spoil: Callable[[str], str], tmp_path: Path) -> None:
    text = spoil(PAGE.read_text("utf-8"))
    with pytest.raises(page.PageError):
        page.render(text, page.slopes([]))
    (tmp_path / "page.md").write_text(text)
    for command in ("render", "check"):
        ran = CliRunner().invoke(main, [command, "--page", str(tmp_path / "page.md")])
        assert ran.exit_code == 1 and "Traceback" not in ran.output
    assert (tmp_path / "page.md").read_text() == text


def test_other_results_make_another_page_and_other_plots(tmp_path: Path) -> None:
    """A rendered page matches its results until one of them changes."""
    path, file, directory = tmp_path / "page.md", tmp_path / "results.jsonl", tmp_path / "plots"
    path.write_text(PAGE.read_text("utf-8"))
    options = ["--results", str(file), "--page", str(path), "--plots", str(directory)]
    lines = catalogue_results(lambda x: 1.0 + x)

    def write() -> None:
        file.unlink(missing_ok=True)
        for one in lines:
            results.append(file, one)

    write()
    assert CliRunner().invoke(main, ["check", *options]).exit_code == 1
    assert CliRunner().invoke(main, ["render", *options]).exit_code == 0
    assert CliRunner().invoke(main, ["check", *options]).exit_code == 0
    assert {p.name for p in directory.iterdir()} == {plots.file_name(name) for name in catalogue()}
    assert CliRunner().invoke(main, ["render", *options]).output == ""  # nothing to draw again
    changed = lines[0]
    lines[0] = replace(changed, values=dict.fromkeys(changed.values, 7.5))
    write()
    ran = CliRunner().invoke(main, ["check", *options])
    assert ran.exit_code == 1
    assert f"{plots.file_name(changed.measurement)}: drawn from other figures" in ran.output
    assert "the page says" in ran.output


def test_a_plot_without_results_is_detected_and_deleted(tmp_path: Path) -> None:
    all_slopes = page.slopes([])
    (tmp_path / "old.png").write_bytes(b"no picture")
    assert plots.differences(tmp_path, all_slopes) == ["old.png: of no results"]
    plots.render(tmp_path, all_slopes)
    assert list(tmp_path.iterdir()) == []


def test_a_missing_or_damaged_plot_is_detected(tmp_path: Path) -> None:
    all_slopes = page.slopes(catalogue_results(lambda x: 1.0 + x))
    names = sorted(plots.render(tmp_path, all_slopes))
    assert plots.differences(tmp_path, all_slopes) == []
    (tmp_path / names[0]).write_bytes(b"no picture")
    assert plots.differences(tmp_path, all_slopes) == [f"{names[0]}: drawn from other figures"]
    (tmp_path / names[0]).unlink()
    assert plots.differences(tmp_path, all_slopes) == [f"{names[0]}: not drawn"]


# Running ------------------------------------------------------------------------------------------------

SCRIPT = """\
import os, subprocess, sys, time
sys.path.insert(0, {root!r})
from pathlib import Path
from hallproxy.lab.capacity import catalogue, one, registry
catalogue.MODULES = ()

@registry.measurement(name="m", role="serving", title="t", x="x", sizes=(1, 2, 3, 4), tiny=(1, 2, 3, 4),
                      quantities=(registry.Quantity("y", ""),))
def body(size, run):
    Path({noted!r}).open("a").write(f"{{os.getpid()}}\\n")
    {what}

sys.exit(one.main(sys.argv[1]))
"""
CHILD = 'subprocess.Popen([sys.executable, "-c", "import time; time.sleep(600)"], start_new_session=True)'


@pytest.fixture
def scripted(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Callable[[str], Path]:
    """Replaces the catalogue by a measurement `m` of some statements; gives the file of its process ids."""
    catalogue()

    def make(what: str, minutes: float = 0.5) -> Path:
        pid_file, script = tmp_path / "noted", tmp_path / "script.py"
        script.write_text(SCRIPT.format(root=str(ROOT), noted=str(pid_file), what=what))
        monkeypatch.setattr(registry, "register", {})
        monkeypatch.setattr(
            "hallproxy.lab.capacity.catalogue.register", {"m": replace(measured(), minutes=minutes)}
        )
        monkeypatch.setattr(runner, "COMMAND", [sys.executable, str(script)])
        return pid_file

    return make


def alive(pid: int) -> bool:
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
    except OSError:
        return False


def test_each_size_runs_in_a_process_of_its_own(scripted: Callable[..., Path], tmp_path: Path) -> None:
    pid_file = scripted(
        "assert not list(run.scratch_dir.iterdir()); (run.scratch_dir / 'x').touch(); return {'y': size}"
    )
    status, _, lines = run_tiny(tmp_path / "out.jsonl")
    assert status == 0 and [(one.x, one.values) for one in lines] == [(x, {"y": x}) for x in (1, 2, 3, 4)]
    assert len(set(pid_file.read_text().split())) == 4
    assert {one.version["commit"] for one in lines} != {""} and lines[0].machine.keys() == MACHINE.keys()


@pytest.mark.timing("each process has 2 s")
def test_a_hanging_measurement_is_killed_with_its_children_and_recorded(
    scripted: Callable[..., Path], tmp_path: Path
) -> None:
    """The child runs in its own session, which a signal to the process group does not reach."""
    hang = f"c = {CHILD}; Path({str(tmp_path / 'child')!r}).write_text(str(c.pid)); time.sleep(600)"
    pid_file = scripted(f"if size != 2: return {{'y': size}}\n    {hang}", minutes=2 / 60)
    began = time.monotonic()
    status, output, lines = run_tiny(tmp_path / "out.jsonl")
    assert time.monotonic() - began < 60
    assert status == 1 and "failed: m at 2: over its limit of 2 s" in output
    assert [one.failed for one in lines] == ["", "over its limit of 2 s", "", ""]
    pids = [int(pid) for pid in (*pid_file.read_text().split(), (tmp_path / "child").read_text())]
    assert len(pids) == 5 and not any(alive(pid) for pid in pids)


def test_a_measurement_that_leaves_a_process_running_fails(
    scripted: Callable[..., Path], tmp_path: Path
) -> None:
    scripted(f"c = {CHILD}; Path({str(tmp_path / 'child')!r}).write_text(str(c.pid)); return {{'y': size}}")
    status, output, lines = run_tiny(tmp_path / "out.jsonl")
    assert status == 1 and {one.failed for one in lines} == {"left 1 processes running"}
    assert not alive(int((tmp_path / "child").read_text()))


@pytest.mark.parametrize(
    "what, why",
    [
        ("raise registry.MeasurementError('3 of 4 came')", "MeasurementError: 3 of 4 came"),
        ("return {'z': 1.0}", "gave z"), ("return {'y': None}", "measured nothing"),
        ("return {'y': float('nan')}", "y is nan"), ("return {'y': 'much'}", "y is much"),
        ("return {'y': True}", "y is True"), ("os._exit(9)", "ended with status 9 and no outcome"),
        ("return 1 / 0", "ZeroDivisionError: division by zero"),
        ("raise registry.MeasurementError(f'{run.scratch_dir}/log:\\n\\tbroke')",
         "MeasurementError: scratch/where/log: broke"),
        ("raise registry.MeasurementError('x' * 1000)", "MeasurementError: " + "x" * 282),
        (f"{CHILD}; return 1 / 0", "ZeroDivisionError: division by zero; left 1 processes running"),
    ],
)  # fmt: skip
def test_a_failed_line_has_the_reason(
    scripted: Callable[..., Path], tmp_path: Path, what: str, why: str
) -> None:
    scripted(what)
    status, output, lines = run_tiny(tmp_path / "out.jsonl")
    assert status == 1 and [one.failed for one in lines] == [why] * 4 and f"failed: m at 1: {why}" in output
