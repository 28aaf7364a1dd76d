"""All capacity measurements at their tiny sizes, through the command line.

The long test is first: pytest-xdist then gives this module's worker no other module to wait behind it.
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

TINY_RUN_TIMEOUT = 600.0
"""s for all tiny sizes together; guards against a hang, not a limit on speed."""


def test_everything_runs_at_a_tiny_size_and_leaves_no_process(tmp_path: Path) -> None:
    """Measurements check their own counts, bytes and bounds; this checks that each wrote all its lines."""
    out, page_copy = tmp_path / "out.jsonl", tmp_path / "page.md"
    program = [sys.executable, "-m", "hallproxy.lab.capacity"]
    mark = f"{tmp_path.name}-{os.getpid()}"
    env = {**os.environ, "CAPACITY_TEST": mark}
    completed = subprocess.run(
        [*program, "run", "--tiny", "--repeats", "1", "--out", str(out)],
        cwd=ROOT, env=env, capture_output=True, text=True, timeout=TINY_RUN_TIMEOUT,
    )  # fmt: skip
    assert completed.returncode == 0, completed.stdout + completed.stderr
    lines = results.read(out, tiny=True)
    assert catalogue()
    assert [(one.measurement, one.x) for one in lines] == [
        (one.name, x) for one in catalogue().values() for x in one.tiny
    ]
    assert not any(one.failed for one in lines)
    assert not marked_processes(f"CAPACITY_TEST={mark}")
    page_copy.write_text(PAGE.read_text("utf-8"))
    options = ["--tiny", "--results", str(out), "--page", str(page_copy), "--plots", str(tmp_path / "plots")]
    for command in ("render", "check"):
        completed = subprocess.run(
            [*program, command, *options], cwd=ROOT, capture_output=True, text=True, timeout=120
        )
        assert completed.returncode == 0, completed.stdout + completed.stderr


def test_a_terminated_run_ends_its_measurement(tmp_path: Path) -> None:
    mark = f"CAPACITY_TEST={tmp_path.name}-{os.getpid()}"
    command = [
        sys.executable,
        "-m",
        "hallproxy.lab.capacity",
        "run",
        "stores.cold",
        "--out",
        str(tmp_path / "out"),
    ]
    process = subprocess.Popen(command, cwd=ROOT, env={**os.environ, "CAPACITY_TEST": mark.partition("=")[2]})
    try:
        until(lambda: len(marked_processes(mark)) == 2)  # the run, and the size that it measures
        process.terminate()
        assert process.wait(20) == 128 + signal.SIGTERM
    finally:
        process.kill()
        process.wait()
    assert marked_processes(mark) == []


def test_an_unknown_name_and_a_tiny_run_into_the_results_are_rejected(tmp_path: Path) -> None:
    status, output, lines = run_tiny(tmp_path / "out.jsonl", "no.such")
    assert status == 2 and "no.such" in output and not lines
    before = RESULTS.read_bytes()
    status, output, _ = run_tiny(RESULTS)
    assert status == 2 and RESULTS.read_bytes() == before


def marked_processes(mark: str) -> list[int]:
    found = []
    for entry in Path("/proc").iterdir():
        if entry.name.isdigit():
            try:
                if mark.encode() in (entry / "environ").read_bytes().split(b"\0"):
                    found.append(int(entry.name))
            except OSError:
                pass
    return found


def test_a_termination_during_a_spawn_leaves_no_process(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a process that keeps measuring because its run received SIGTERM while spawning it."""
    spawned: list[subprocess.Popen[bytes]] = []
    popen = subprocess.Popen

    def spawn(*args: Any, **kwargs: Any) -> subprocess.Popen[bytes]:
        spawned.append(popen(*args, **kwargs))
        os.kill(os.getpid(), signal.SIGTERM)
        return spawned[0]

    def stop(number: int, _frame: object) -> None:
        raise SystemExit(128 + number)

    monkeypatch.setattr(subprocess, "Popen", spawn)
    measurement = catalogue()["stores.cold"]
    previous = signal.signal(signal.SIGTERM, stop)
    try:
        with pytest.raises(SystemExit):
            runner.measure(measurement, measurement.sizes[0], 1, tiny=True)
        assert spawned[0].poll() == -signal.SIGKILL
    finally:
        signal.signal(signal.SIGTERM, previous)
        spawned[0].kill()
        spawned[0].wait()
