"""Run each size in its own process, which is killed with all its children at its time limit."""

import contextlib
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import uuid
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path

from hallproxy.lab.capacity import results
from hallproxy.lab.capacity.registry import Measured, Measurement

MARK = "HALLPROXY_CAPACITY_RUN"
"""Environment variable that all processes of one size inherit, even those in another session."""
COMMAND = [sys.executable, "-m", "hallproxy.lab.capacity.one"]
MAX_REASON_LENGTH = 300  # characters of the reason why a size failed
EXIT_TIMEOUT = 2.0  # s for children to exit after the measurement has ended


@dataclass(frozen=True)
class Plan:
    repeats: int
    seed: int
    tiny: bool


def now() -> str:
    return datetime.now(UTC).isoformat(timespec="seconds")


def run(
    chosen: Sequence[Measurement], plan: Plan, out: Path, say: Callable[[str], None]
) -> list[results.Result]:
    """Run all sizes of each measurement, `plan.repeats` times, in sequence; append each result at once.

    Return the failed results.
    """
    machine, version, started_at, failed = results.machine(), results.version(), now(), []
    for measurement in chosen:
        for repeat in range(plan.repeats):
            for x in measurement.tiny if plan.tiny else measurement.sizes:
                at, load, seed = now(), os.getloadavg()[0], plan.seed + repeat
                values, why = measure(measurement, x, seed, plan.tiny)
                result = results.Result(measurement.name, x, values, why, repeat, seed, plan.tiny, started_at,
                                        at, load, machine, version)  # fmt: skip
                results.append(out, result)
                say(f"{measurement.name} {x:g}: {why or json.dumps(values)}")
                if why:
                    failed.append(result)
    return failed


def measure(measurement: Measurement, x: float, seed: int, tiny: bool) -> tuple[Measured, str]:
    """The values, or the reason why there are none. No process of the measurement is left in either case."""
    with tempfile.TemporaryDirectory(prefix="capacity-") as scratch:
        where, outcome, mark = Path(scratch, "where"), Path(scratch, "outcome.json"), uuid.uuid4().hex
        where.mkdir()
        task = {"name": measurement.name, "x": x, "seed": seed, "tiny": tiny,
                "where": str(where), "outcome": str(outcome)}  # fmt: skip
        limit, timed_out = measurement.minutes * 60, False
        process: subprocess.Popen[bytes] | None = None
        try:
            with _termination_deferred():
                process = subprocess.Popen(
                    [*COMMAND, json.dumps(task)], cwd=results.ROOT,
                    env={**os.environ, MARK: mark}, stdin=subprocess.DEVNULL, stdout=subprocess.DEVNULL,
                    start_new_session=True,
                )  # fmt: skip
            try:
                process.wait(limit)
            except subprocess.TimeoutExpired:
                timed_out = True
            remaining = 0 if timed_out else _count_remaining(mark)
        finally:
            if process is not None:
                _kill_all(process, mark)
        if timed_out:
            return {}, f"over its limit of {limit:g} s"
        values, why = _read_outcome(measurement, outcome, process.returncode)
        if remaining:
            values, why = {}, "; ".join([*([why] if why else []), f"left {remaining} processes running"])
        return values, _one_line(why, scratch)


@contextlib.contextmanager
def _termination_deferred() -> Iterator[None]:
    """Defer SIGTERM to the end of the block: during a spawn it would leave a process that nobody ends."""
    received = False

    def defer(_number: int, _frame: object) -> None:
        nonlocal received
        received = True

    previous = signal.signal(signal.SIGTERM, defer)
    try:
        yield
    finally:
        signal.signal(signal.SIGTERM, previous)
        if received:
            signal.raise_signal(signal.SIGTERM)


def _one_line(why: str, scratch: str) -> str:
    """The reason on one line for the results and the page, without paths of this machine."""
    shown = why.replace(scratch, "scratch").replace(str(results.ROOT), ".")
    return " ".join(shown.split())[:MAX_REASON_LENGTH]


def _read_outcome(measurement: Measurement, outcome: Path, status: int) -> tuple[Measured, str]:
    try:
        reported = json.loads(outcome.read_text("utf-8"))
    except (OSError, ValueError):
        return {}, f"ended with status {status} and no outcome"
    if status != 0 or "failed" in reported:
        return {}, str(reported.get("failed") or f"ended with status {status}")
    values = reported["values"]
    if values.keys() != {quantity.name for quantity in measurement.quantities}:
        return {}, f"gave {', '.join(sorted(values))}"
    for name, value in values.items():
        if value is not None and not results.is_figure(value):
            return {}, f"{name} is {value}"
    if all(value is None for value in values.values()):
        return {}, "measured nothing"
    return values, ""


def _marked_processes(mark: str) -> Iterator[int]:
    """Processes of this user with this run's mark; a zombie has none, as its environment is gone."""
    wanted = f"{MARK}={mark}".encode()
    for entry in os.scandir("/proc"):
        if entry.name.isdigit():
            with contextlib.suppress(OSError):
                if wanted in Path(entry.path, "environ").read_bytes().split(b"\0"):
                    yield int(entry.name)


def _count_remaining(mark: str) -> int:
    """The number of marked processes that still run after EXIT_TIMEOUT."""
    deadline = time.monotonic() + EXIT_TIMEOUT
    while (count := len(list(_marked_processes(mark)))) and time.monotonic() < deadline:
        time.sleep(0.02)
    return count


def _kill_all(process: "subprocess.Popen[bytes]", mark: str) -> None:
    """Send SIGKILL to all marked processes until there are none: a child may spawn another meanwhile."""
    while found := list(_marked_processes(mark)):
        for pid in found:
            with contextlib.suppress(ProcessLookupError):
                os.kill(pid, signal.SIGKILL)
        with contextlib.suppress(subprocess.TimeoutExpired):
            process.wait(0.05)
    process.wait()
