"""One size in a process of its own, ended with all its children when its time is over."""

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
"""Environment variable that all processes of one size inherit, also those in a session of their own."""
COMMAND = [sys.executable, "-m", "hallproxy.lab.capacity.one"]
WHY_MOST = 300  # characters of why a size failed
LEAVE_IN = 2.0  # s that children may take to go once the measurement has ended


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
    """All sizes of each measurement, `plan.repeats` times, one after another; lines are written as they come.

    Gives the failed ones.
    """
    machine, version, began, failed = results.machine(), results.version(), now(), []
    for one in chosen:
        for repeat in range(plan.repeats):
            for x in one.tiny if plan.tiny else one.sizes:
                at, load, seed = now(), os.getloadavg()[0], plan.seed + repeat
                values, why = measure(one, x, seed, plan.tiny)
                result = results.Result(one.name, x, values, why, repeat, seed, plan.tiny, began, at, load,
                                        machine, version)  # fmt: skip
                results.append(out, result)
                say(f"{one.name} {x:g}: {why or json.dumps(values)}")
                if why:
                    failed.append(result)
    return failed


def measure(one: Measurement, x: float, seed: int, tiny: bool) -> tuple[Measured, str]:
    """The values, or why there are none. Whatever came of it, no process of it is left."""
    with tempfile.TemporaryDirectory(prefix="capacity-") as scratch:
        where, outcome, mark = Path(scratch, "where"), Path(scratch, "outcome.json"), uuid.uuid4().hex
        where.mkdir()
        task = {"name": one.name, "x": x, "seed": seed, "tiny": tiny,
                "where": str(where), "outcome": str(outcome)}  # fmt: skip
        limit, over = one.minutes * 60, False
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
                over = True
            left = 0 if over else _left(mark)
        finally:
            if process is not None:
                _end(process, mark)
        if over:
            return {}, f"over its limit of {limit:g} s"
        values, why = _outcome(one, outcome, process.returncode)
        if left:
            values, why = {}, "; ".join([*([why] if why else []), f"left {left} processes running"])
        return values, _plain(why, scratch)


@contextlib.contextmanager
def _termination_deferred() -> Iterator[None]:
    """Handle a SIGTERM behind the block: amid a spawn it would leave a process that nobody knows of."""
    came = False

    def note(_number: int, _frame: object) -> None:
        nonlocal came
        came = True

    former = signal.signal(signal.SIGTERM, note)
    try:
        yield
    finally:
        signal.signal(signal.SIGTERM, former)
        if came:
            signal.raise_signal(signal.SIGTERM)


def _plain(why: str, scratch: str) -> str:
    """In one line for the results and the page, without where it was on this machine."""
    shown = why.replace(scratch, "scratch").replace(str(results.ROOT), ".")
    return " ".join(shown.split())[:WHY_MOST]


def _outcome(one: Measurement, outcome: Path, status: int) -> tuple[Measured, str]:
    try:
        told = json.loads(outcome.read_text("utf-8"))
    except (OSError, ValueError):
        return {}, f"ended with status {status} and no outcome"
    if status != 0 or "failed" in told:
        return {}, str(told.get("failed") or f"ended with status {status}")
    values = told["values"]
    if values.keys() != {quantity.name for quantity in one.quantities}:
        return {}, f"gave {', '.join(sorted(values))}"
    for name, value in values.items():
        if value is not None and not results.is_figure(value):
            return {}, f"{name} is {value}"
    if all(value is None for value in values.values()):
        return {}, "measured nothing"
    return values, ""


def _marked(mark: str) -> Iterator[int]:
    """Processes of this user that carry the mark; one that has ended and waits to be reaped has none."""
    wanted = f"{MARK}={mark}".encode()
    for entry in os.scandir("/proc"):
        if entry.name.isdigit():
            with contextlib.suppress(OSError):
                if wanted in Path(entry.path, "environ").read_bytes().split(b"\0"):
                    yield int(entry.name)


def _left(mark: str) -> int:
    """How many are left once they have had their time to go."""
    until = time.monotonic() + LEAVE_IN
    while (count := len(list(_marked(mark)))) and time.monotonic() < until:
        time.sleep(0.02)
    return count


def _end(process: "subprocess.Popen[bytes]", mark: str) -> None:
    """SIGKILL to all that carry the mark until there are none: a child may be starting another meanwhile."""
    while found := list(_marked(mark)):
        for pid in found:
            with contextlib.suppress(ProcessLookupError):
                os.kill(pid, signal.SIGKILL)
        with contextlib.suppress(subprocess.TimeoutExpired):
            process.wait(0.05)
    process.wait()
