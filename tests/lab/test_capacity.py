"""Capacity planning: fits on known data, results read strictly, page and plots as the results give them."""

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


def of(pairs: dict[float, float]) -> list[Point]:
    return [Point(x, y, y, y, 1) for x, y in sorted(pairs.items())]


# Fits ---------------------------------------------------------------------------------------------------


def test_points_on_a_line_give_that_line_and_no_residual() -> None:
    made = fit(of({x: 3.0 + 0.5 * x for x in (10, 100, 1_000, 4_000)}))
    assert made.slope == pytest.approx(0.5) and made.intercept == pytest.approx(3.0)
    assert made.residual < 1e-9 and made.deviation < 1e-9
    assert made.shape == "straight" and made.at(2_000) == pytest.approx(1_003.0)


def test_in_proportion_the_power_is_one() -> None:
    made = fit(of({x: 0.25 * x for x in (1, 10, 100, 1_000)}))
    assert made.power == pytest.approx(1.0) and made.intercept == pytest.approx(0.0, abs=1e-9)


def test_a_square_shows_by_its_power_and_its_residual() -> None:
    made = fit(of({x: 2.0 * x * x for x in (1, 10, 100, 1_000)}))
    assert made.power == pytest.approx(2.0) and made.residual > 0.05
    assert not made.straight and made.shape == "worse than in proportion, power 2.00"
    assert made.estimate(10) == pytest.approx(200.0) and made.estimate(2_000) == pytest.approx(8e6)
    assert made.estimate(55) == pytest.approx((200 + 20_000) / 2)  # halfway from 10 to 100, on the chord


def test_a_size_of_nothing_counts_for_the_line_and_not_for_the_power() -> None:
    made = fit(of({0: 5.0, 1: 7.0, 10: 25.0, 100: 205.0, 1_000: 2_005.0}))
    assert made.intercept == pytest.approx(5.0) and made.slope == pytest.approx(2.0)
    of_the_rest = fit(of({1: 7.0, 10: 25.0, 100: 205.0, 1_000: 2_005.0})).power
    assert made.power is not None and made.power == pytest.approx(of_the_rest)


def test_a_root_is_less_than_in_proportion() -> None:
    assert fit(of({x: x**0.5 for x in (1, 10, 100, 1_000)})).shape == "less than in proportion, power 0.50"


def test_what_does_not_grow_is_flat() -> None:
    made = fit(of({x: 7.0 for x in (1, 10, 100, 1_000)}))
    assert made.shape == "flat" and made.slope == pytest.approx(0.0, abs=1e-12)


def test_the_residual_and_the_largest_deviation_of_known_points() -> None:
    # Through (1, 1), (2, 3), (3, 3), (4, 5) by hand: 0 + 1.2 x, off by -0.2, 0.6, -0.6, 0.2.
    made = fit(of({1: 1.0, 2: 3.0, 3: 3.0, 4: 5.0}))
    assert made.slope == pytest.approx(1.2) and made.intercept == pytest.approx(0.0, abs=1e-9)
    assert made.residual == pytest.approx(math.sqrt((0.04 + 0.36 + 0.36 + 0.04) / 4) / 3)
    assert made.deviation == pytest.approx(0.2)
    assert not made.straight


def test_a_figure_of_nothing_that_the_line_misses_is_infinitely_far_off() -> None:
    made = fit(of({1: 0.0, 2: 1.0, 3: 1.0, 4: 5.0}))
    assert made.deviation == math.inf and made.power is None and made.shape == "not straight"


@pytest.mark.parametrize("count", [0, 1, 3])
def test_fewer_than_four_sizes_are_refused(count: int) -> None:
    with pytest.raises(FitError, match=f"^{count} sizes of at least 4$"):
        fit(of({float(x): 1.0 for x in range(1, count + 1)}))


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


def test_a_measurement_needs_four_sizes_and_a_name_of_its_own(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(registry, "register", {})
    told = {"role": "serving", "title": "t", "x": "x", "quantities": (Quantity("y", ""),)}
    enter = registry.measurement(name="a", sizes=(1, 2, 3, 4), tiny=(1, 2, 3, 4), **told)  # type: ignore[arg-type]
    assert enter(body) is body
    with pytest.raises(ValueError, match="two measurements are named a"):
        enter(body)
    for sizes, tiny in (
        ((1, 2, 3), (1, 2, 3, 4)),
        ((1, 2, 3, 4), (1, 2, 2, 4)),
        ((0, 1, 2, 3), (1, 2, 3, 4)),
        ((-1, 1, 2, 3, 4), (1, 2, 3, 4)),
    ):
        with pytest.raises(ValueError, match="at least 4 different sizes over 0"):
            registry.measurement(name="b", sizes=sizes, tiny=tiny, **told)(body)  # type: ignore[arg-type]


# Results ------------------------------------------------------------------------------------------------


def test_lines_read_back_as_they_were_written(tmp_path: Path) -> None:
    path = tmp_path / "results.jsonl"
    written = [line(values={"over": 0.5, "of_n": None}), line(x=2.5, failed="over its limit of 2 s")]
    for one in written:
        results.append(path, one)
    assert results.read(path) == written


def spoilt(**fields: object) -> str:
    whole = {
        "measurement": "m", "x": 1.0, "values": {"y": 1.0}, "repeat": 0, "seed": 1, "tiny": False, "run": "r",
        "at": "a", "load": 0.5, "machine": MACHINE, "version": VERSION,
    }  # fmt: skip
    return json.dumps({name: value for name, value in {**whole, **fields}.items() if value != "gone"})


def test_the_line_that_the_bad_ones_are_made_from_is_good(tmp_path: Path) -> None:
    path = tmp_path / "results.jsonl"
    path.write_text(spoilt() + "\n")
    assert len(results.read(path)) == 1


@pytest.mark.parametrize(
    "text",
    [
        "", "{", "[]", "1", spoilt(x="gone"), spoilt(x=True), spoilt(x="0"), spoilt(x=-1.0),
        spoilt(repeat=1.5),
        spoilt(values="gone"), spoilt(values={}), spoilt(values={"y": "1"}), spoilt(values={"y": True}),
        spoilt(failed="why"), spoilt(values="gone", failed=""), spoilt(values="gone", failed=1),
        spoilt(more=1), spoilt(machine={}), spoilt(version={"commit": "c"}), spoilt(tiny=0),
        spoilt(load=None),
        spoilt().replace("1.0", "NaN", 1), spoilt(values={"y": math.inf}), spoilt(values=[1]),
    ],
)  # fmt: skip
def test_a_line_that_cannot_be_used_is_a_plain_error_that_names_it(tmp_path: Path, text: str) -> None:
    path = tmp_path / "results.jsonl"
    path.write_text(f"{spoilt()}\n{text}\n")
    with pytest.raises(ResultsError, match="results.jsonl, line 2: "):
        results.read(path)
    ran = CliRunner().invoke(main, ["fit", str(path)])
    assert ran.exit_code == 1 and ran.output.startswith("Error: ") and ran.output.count("\n") == 1


def test_a_tiny_run_is_no_result(tmp_path: Path) -> None:
    path = tmp_path / "results.jsonl"
    results.append(path, line(values={"y": 1.0}, tiny=True))
    with pytest.raises(ResultsError, match="no results"):
        results.read(path)
    assert len(results.read(path, tiny=True)) == 1


def test_a_measurement_that_there_is_no_more_or_of_other_quantities(tmp_path: Path) -> None:
    with pytest.raises(ResultsError, match="stores.cold at 1: quantities"):
        page.slopes([line(values={"former": 1.0})])
    page.slopes([line("a.former.one", values={"former": 1.0})])  # journal entries stay


def test_the_last_run_of_a_measurement_counts_whole() -> None:
    one = measured()
    early, late = "2026-12-01T00:00:00+00:00", "2026-12-02T00:00:00+00:00"
    lines = [line("m", x, {"y": x}, run=early) for x in (1.0, 2.0, 3.0, 4.0, 5.0)]
    lines += [line("m", x, {"y": 2 * x}, run=late) for x in (1.0, 2.0, 3.0, 4.0)]
    assert Slopes(lines, {"m": one}).slope(Need("m", "y")).at(4.0) == pytest.approx(8.0)
    lines.append(line("m", 1.0, failed="broke", run="2026-12-03T00:00:00+00:00"))
    lacking = Slopes(lines, {"m": one}).slope(Need("m", "y"))
    assert math.isnan(lacking.at(4.0)) and lacking.missing_reason == "0 sizes of at least 4; failed: broke"


# Rows ---------------------------------------------------------------------------------------------------


def measured(unit: str = "", fitted: bool = True) -> Measurement:
    sizes = (1.0, 2.0, 3.0, 4.0)
    return Measurement("m", "serving", "t", "x", "", sizes, sizes, (Quantity("y", unit, fitted),), 1.0, body)


def slopes_of(law: Callable[[float], float], unit: str = "", fitted: bool = True) -> Slopes:
    return Slopes([line("m", x, {"y": law(x)}) for x in (1.0, 2.0, 3.0, 4.0)], {"m": measured(unit, fitted)})


def test_a_row_says_where_its_figure_is_weaker_than_a_line() -> None:
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


def test_a_line_that_falls_under_nothing_is_not_followed_there() -> None:
    falling = slopes_of(lambda x: 10.0 - x).slope(Need("m", "y"))
    assert falling.at(4.0) == pytest.approx(6.0) and falling.notes == []
    assert 0 < falling.at(20.0) < 6.0
    assert "y: the line would be under 0" in falling.notes


def test_what_is_told_by_size_is_taken_there() -> None:
    by_size = slopes_of(lambda x: 2 * x, fitted=False).slope(Need("m", "y"))
    assert by_size.at(3.0) == 6.0 and by_size.notes == []
    assert by_size.at(3.5) == pytest.approx(7.0) and by_size.notes == ["between two sizes measured"]


def test_what_arithmetic_leaves_is_nothing() -> None:
    """Else the page would differ in its last places from one machine to the next."""
    made = fit(of({x: 26 + 79 * x for x in (1, 2, 5, 9)}))
    assert (made.residual, made.deviation) == (0.0, 0.0)
    made = fit(of({x: 0.1 * x for x in (1, 7, 49, 343)}))
    assert (made.intercept, made.residual) == (0.0, 0.0)
    assert fit(of({x: 0.1 for x in (1, 7, 49, 343)})).slope == 0.0


def test_shares_of_a_core_go_by_their_unit() -> None:
    assert slopes_of(lambda x: x, "%").slope(Need("m", "y")).cores(2.0) == pytest.approx(0.02)
    assert slopes_of(lambda x: x, "% of each relay").slope(Need("m", "y")).cores(2.0) == pytest.approx(0.02)
    assert slopes_of(lambda x: x, "us/s").slope(Need("m", "y")).cores(2.0) == pytest.approx(2e-6)
    with pytest.raises(KeyError):
        slopes_of(lambda x: x, "MB").slope(Need("m", "y")).cores(2.0)


@pytest.mark.parametrize(
    "value, allowed, least, verdict",
    [
        (1.0, 2.0, False, "carried"), (2.0, 2.0, False, "carried"), (2.1, 2.0, False, "**not carried**"),
        (2.1, 2.0, True, "carried"), (1.9, 2.0, True, "**not carried**"), (1.0, None, False, "no bound told"),
        (math.nan, 2.0, False, "not measured"), (math.nan, None, True, "not measured"),
    ],
)  # fmt: skip
def test_verdicts(value: float, allowed: float | None, least: bool, verdict: str) -> None:
    figure = Figure("", lambda size: Computed(value, ""), (), allowed, least)
    assert figure.verdict(value) == verdict


def test_a_mechanism_whose_file_is_not_there_is_missing() -> None:
    file = "hallproxy/decisions/router.py"
    assert str(Mechanism("the module", file)) == f"the module (`{file}`)"
    assert str(Mechanism("a thing", "hallproxy/no_such.py")) == "missing: a thing"
    assert str(Mechanism("a thing")) == "missing: a thing"


@pytest.mark.parametrize(
    "value, shown",
    [(7_100, "7,100"), (1126.76, "1,130"), (0.04977, "0.0498"), (2.4, "2.4"), (42.0, "42"),
     (8e6, "8,000,000"), (0.0, "0"), (-1.2345, "-1.23"), (math.nan, "?"), (999.7, "1,000")],
)  # fmt: skip
def test_figures_as_shown(value: float, shown: str) -> None:
    assert num(value) == shown


def needs() -> Iterator[Need]:
    for row in ROWS:
        yield from row.figure.needs
    for failure in FAILURES:
        yield from (*failure.recovery.needs, *failure.cost.needs)


AWAITED = {"configuration.gateways"}
"""Measurements that rows wait for. One that is there is taken out of here."""


def test_rows_name_quantities_that_are_measured_or_awaited() -> None:
    there, lacking = catalogue(), set()
    for need in needs():
        if need.measurement in there:
            there[need.measurement].quantity(need.quantity)
        else:
            lacking.add(need.measurement)
    assert lacking == AWAITED


def test_every_role_has_rows_and_every_row_a_role() -> None:
    assert {row.role for row in ROWS} == set(ROLES)
    assert len({(row.role, row.quantity) for row in ROWS}) == len(ROWS)
    for role in ROLES:
        kinds = {row.kind for row in ROWS if row.role == role}
        assert set(KINDS[:4]) <= kinds <= set(KINDS), role


def everything(law: Callable[[float], float]) -> list[Result]:
    """Made-up results of the whole catalogue."""
    return [
        line(one.name, x, {quantity.name: law(x) for quantity in one.quantities})
        for one in catalogue().values()
        for x in one.sizes
    ]


def test_with_results_no_row_lacks_a_measurement_that_there_is() -> None:
    of_all = page.slopes(everything(lambda x: 1.0 + x))
    for row in ROWS:
        computed, used = row.figure.compute(SIZE, of_all)
        if all(slope.fit for slope in used):
            assert math.isfinite(computed.value), row
            assert "?" not in computed.text, row
        else:
            assert math.isnan(computed.value) and "not measured" in row_line(row, SIZE, of_all)[4], row


# The page and the plots ---------------------------------------------------------------------------------


def test_the_page_and_the_plots_are_what_the_committed_results_give() -> None:
    of_all = page.slopes(results.read(RESULTS))
    assert page.differences(PAGE.read_text("utf-8"), of_all) == []
    assert plots.differences(RESULTS.parent, of_all) == []


def test_a_figure_changed_by_hand_is_found(tmp_path: Path) -> None:
    text = PAGE.read_text("utf-8")
    changed = text.replace("| 139 |", "| 140 |", 1)
    assert changed != text
    found = page.differences(changed, page.slopes(results.read(RESULTS)))
    assert len(found) == 1 and "139" in found[0] and "140" in found[0]
    (tmp_path / "page.md").write_text(changed)
    ran = CliRunner().invoke(main, ["check", "--page", str(tmp_path / "page.md")])
    assert ran.exit_code == 1 and "140" in ran.output


def test_words_between_the_blocks_are_nobody_s_but_the_writer_s() -> None:
    text, of_all = PAGE.read_text("utf-8"), page.slopes(results.read(RESULTS))
    assert page.render("More words.\n" + text, of_all) == "More words.\n" + text


@pytest.mark.parametrize(
    "spoil",
    [lambda t: t.replace("<!-- generated: failures -->\n", ""), lambda t: t.replace("<!-- end -->", "", 1),
     lambda t: t + "<!-- generated: more -->\n<!-- end -->",
     lambda t: t + "<!-- generated: size -->\n<!-- end -->"],
)  # fmt: skip
def test_marks_that_are_not_the_page_s_are_refused(spoil: Callable[[str], str], tmp_path: Path) -> None:
    text = spoil(PAGE.read_text("utf-8"))
    with pytest.raises(page.PageError):
        page.render(text, page.slopes([]))
    (tmp_path / "page.md").write_text(text)
    for command in ("render", "check"):
        ran = CliRunner().invoke(main, [command, "--page", str(tmp_path / "page.md")])
        assert ran.exit_code == 1 and "Traceback" not in ran.output
    assert (tmp_path / "page.md").read_text() == text


def test_other_results_make_another_page_and_other_plots(tmp_path: Path) -> None:
    """Rendered from one set of results the page matches those, and no longer when one of them changes."""
    path, file, directory = tmp_path / "page.md", tmp_path / "results.jsonl", tmp_path / "plots"
    path.write_text(PAGE.read_text("utf-8"))
    told = ["--results", str(file), "--page", str(path), "--plots", str(directory)]
    lines = everything(lambda x: 1.0 + x)

    def write() -> None:
        file.unlink(missing_ok=True)
        for one in lines:
            results.append(file, one)

    write()
    assert CliRunner().invoke(main, ["check", *told]).exit_code == 1
    assert CliRunner().invoke(main, ["render", *told]).exit_code == 0
    assert CliRunner().invoke(main, ["check", *told]).exit_code == 0
    assert {p.name for p in directory.iterdir()} == {plots.file_name(name) for name in catalogue()}
    assert CliRunner().invoke(main, ["render", *told]).output == ""  # nothing to draw again
    changed = lines[0]
    lines[0] = replace(changed, values=dict.fromkeys(changed.values, 7.5))
    write()
    ran = CliRunner().invoke(main, ["check", *told])
    assert ran.exit_code == 1
    assert f"{plots.file_name(changed.measurement)}: drawn from other figures" in ran.output
    assert "the page says" in ran.output


def test_a_plot_of_nothing_is_found_and_taken_away(tmp_path: Path) -> None:
    of_all = page.slopes([])
    (tmp_path / "old.png").write_bytes(b"no picture")
    assert plots.differences(tmp_path, of_all) == ["old.png: of no results"]
    plots.render(tmp_path, of_all)
    assert list(tmp_path.iterdir()) == []


def test_a_plot_that_is_missing_or_spoilt_is_found(tmp_path: Path) -> None:
    of_all = page.slopes(everything(lambda x: 1.0 + x))
    names = sorted(plots.render(tmp_path, of_all))
    assert plots.differences(tmp_path, of_all) == []
    (tmp_path / names[0]).write_bytes(b"no picture")
    assert plots.differences(tmp_path, of_all) == [f"{names[0]}: drawn from other figures"]
    (tmp_path / names[0]).unlink()
    assert plots.differences(tmp_path, of_all) == [f"{names[0]}: not drawn"]


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
    """Makes the catalogue one measurement `m` of some statements. Gives the file of its processes' ids."""
    catalogue()

    def make(what: str, minutes: float = 0.5) -> Path:
        noted, script = tmp_path / "noted", tmp_path / "script.py"
        script.write_text(SCRIPT.format(root=str(ROOT), noted=str(noted), what=what))
        monkeypatch.setattr(registry, "register", {})
        monkeypatch.setattr(
            "hallproxy.lab.capacity.catalogue.register", {"m": replace(measured(), minutes=minutes)}
        )
        monkeypatch.setattr(runner, "COMMAND", [sys.executable, str(script)])
        return noted

    return make


def alive(pid: int) -> bool:
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
    except OSError:
        return False


def test_each_size_runs_in_a_process_of_its_own(scripted: Callable[..., Path], tmp_path: Path) -> None:
    noted = scripted("assert not list(run.where.iterdir()); (run.where / 'x').touch(); return {'y': size}")
    status, _, lines = run_tiny(tmp_path / "out.jsonl")
    assert status == 0 and [(one.x, one.values) for one in lines] == [(x, {"y": x}) for x in (1, 2, 3, 4)]
    assert len(set(noted.read_text().split())) == 4
    assert {one.version["commit"] for one in lines} != {""} and lines[0].machine.keys() == MACHINE.keys()


@pytest.mark.timing("each process has 2 s")
def test_one_that_hangs_is_ended_with_its_children_and_recorded(
    scripted: Callable[..., Path], tmp_path: Path
) -> None:
    """The child sits in a session of its own, so that a signal to the group would miss it."""
    hang = f"c = {CHILD}; Path({str(tmp_path / 'child')!r}).write_text(str(c.pid)); time.sleep(600)"
    noted = scripted(f"if size != 2: return {{'y': size}}\n    {hang}", minutes=2 / 60)
    began = time.monotonic()
    status, output, lines = run_tiny(tmp_path / "out.jsonl")
    assert time.monotonic() - began < 60
    assert status == 1 and "failed: m at 2: over its limit of 2 s" in output
    assert [one.failed for one in lines] == ["", "over its limit of 2 s", "", ""]
    pids = [int(pid) for pid in (*noted.read_text().split(), (tmp_path / "child").read_text())]
    assert len(pids) == 5 and not any(alive(pid) for pid in pids)


def test_one_that_leaves_a_process_has_failed(scripted: Callable[..., Path], tmp_path: Path) -> None:
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
        ("raise registry.MeasurementError(f'{run.where}/log:\\n\\tbroke')",
         "MeasurementError: scratch/where/log: broke"),
        ("raise registry.MeasurementError('x' * 1000)", "MeasurementError: " + "x" * 282),
        (f"{CHILD}; return 1 / 0", "ZeroDivisionError: division by zero; left 1 processes running"),
    ],
)  # fmt: skip
def test_why_one_failed_is_in_its_line(
    scripted: Callable[..., Path], tmp_path: Path, what: str, why: str
) -> None:
    scripted(what)
    status, output, lines = run_tiny(tmp_path / "out.jsonl")
    assert status == 1 and [one.failed for one in lines] == [why] * 4 and f"failed: m at 1: {why}" in output
