"""All capacity measurements at their tiny sizes, by the command line.

The long test stands first: pytest-xdist then gives this module's worker no other module to wait behind it.
"""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from hallproxy.lab.capacity import results, runner
from hallproxy.lab.capacity.__main__ import PAGE, RESULTS
from hallproxy.lab.capacity.catalogue import catalogue
from tests.support.capacity_runs import run_tiny
from tests.support.gateway import ROOT, until

LONGEST = 600.0
"""s that all tiny sizes together may take; a bound against hanging, not on speed."""


def test_everything_runs_at_a_tiny_size_and_leaves_no_process(tmp_path: Path) -> None:
    """Measurements assert their own counts, bytes and bounds; here: that each gave all its lines."""
    out, page_copy = tmp_path / "out.jsonl", tmp_path / "page.md"
    words = [sys.executable, "-m", "hallproxy.lab.capacity"]
    mark = f"{tmp_path.name}-{os.getpid()}"
    env = {**os.environ, "CAPACITY_TEST": mark}
    ran = subprocess.run(
        [*words, "run", "--tiny", "--repeats", "1", "--out", str(out)],
        cwd=ROOT, env=env, capture_output=True, text=True, timeout=LONGEST,
    )  # fmt: skip
    assert ran.returncode == 0, ran.stdout + ran.stderr
    lines = results.read(out, tiny=True)
    assert catalogue()
    assert [(one.measurement, one.x) for one in lines] == [
        (one.name, x) for one in catalogue().values() for x in one.tiny
    ]
    assert not any(one.failed for one in lines)
    assert not carrying(f"CAPACITY_TEST={mark}")
    page_copy.write_text(PAGE.read_text("utf-8"))
    told = ["--tiny", "--results", str(out), "--page", str(page_copy), "--plots", str(tmp_path / "plots")]
    for command in ("render", "check"):
        ran = subprocess.run([*words, command, *told], cwd=ROOT, capture_output=True, text=True, timeout=120)
        assert ran.returncode == 0, ran.stdout + ran.stderr


def test_a_run_that_is_told_to_end_ends_what_it_measures(tmp_path: Path) -> None:
    mark = f"CAPACITY_TEST={tmp_path.name}-{os.getpid()}"
    words = [
        sys.executable,
        "-m",
        "hallproxy.lab.capacity",
        "run",
        "stores.cold",
        "--out",
        str(tmp_path / "out"),
    ]
    ran = subprocess.Popen(words, cwd=ROOT, env={**os.environ, "CAPACITY_TEST": mark.partition("=")[2]})
    try:
        until(lambda: len(carrying(mark)) == 2)  # it, and the size that is measured
        ran.terminate()
        assert ran.wait(20) == 128 + signal.SIGTERM
    finally:
        ran.kill()
        ran.wait()
    assert carrying(mark) == []


def test_a_name_that_there_is_not_and_tiny_lines_for_the_results_are_refused(tmp_path: Path) -> None:
    status, output, lines = run_tiny(tmp_path / "out.jsonl", "no.such")
    assert status == 2 and "no.such" in output and not lines
    before = RESULTS.read_bytes()
    status, output, _ = run_tiny(RESULTS)
    assert status == 2 and RESULTS.read_bytes() == before


def carrying(mark: str) -> list[int]:
    found = []
    for entry in Path("/proc").iterdir():
        if entry.name.isdigit():
            try:
                if mark.encode() in (entry / "environ").read_bytes().split(b"\0"):
                    found.append(int(entry.name))
            except OSError:
                pass
    return found


def test_a_termination_amid_a_spawn_leaves_no_process(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a process that goes on measuring, as its run was told to end while it was spawned."""
    spawned: list[subprocess.Popen[bytes]] = []
    popen = subprocess.Popen

    def spawn(*args: Any, **more: Any) -> subprocess.Popen[bytes]:
        spawned.append(popen(*args, **more))
        os.kill(os.getpid(), signal.SIGTERM)
        return spawned[0]

    def stop(number: int, _frame: object) -> None:
        raise SystemExit(128 + number)

    monkeypatch.setattr(subprocess, "Popen", spawn)
    one = catalogue()["stores.cold"]
    former = signal.signal(signal.SIGTERM, stop)
    try:
        with pytest.raises(SystemExit):
            runner.measure(one, one.sizes[0], 1, tiny=True)
        assert spawned[0].poll() == -signal.SIGKILL
    finally:
        signal.signal(signal.SIGTERM, former)
        spawned[0].kill()
        spawned[0].wait()
