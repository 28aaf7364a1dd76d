"""Child processes of measurements, and their protocol: one JSON object per line in both directions.

A child exits at the end of its standard input, so it never outlives the process that started it, however that
ended. It also exits by itself after its time limit.
"""

from __future__ import annotations

import asyncio
import ctypes
import json
import os
import queue
import resource
import signal
import subprocess
import sys
import threading
import time
from collections import deque
from collections.abc import Callable
from pathlib import Path
from typing import Any, Self

from hallproxy.lab.capacity.registry import MeasurementError

ROOT = Path(__file__).parents[3]
MB = 1024 * 1024
ANSWER_TIMEOUT = 20.0  # s for one answer of a child
EXIT_TIMEOUT = 5.0  # s from the end of its input to its exit
MAX_KEPT_LINES = 200  # of standard error
FAULTS = ("Traceback", "fault on ")  # how Python and the gateway's loop begin a line that reports an error
RESERVED_DESCRIPTORS = 64  # of the process's limit, for everything but connections

Command = dict[str, Any]


# In the child ---------------------------------------------------------------------------------------------


def tell(**figures: Any) -> None:
    print(json.dumps(figures), flush=True)


async def serve_commands(do: Callable[[Command], Command | None], seconds: float) -> None:
    """Run the command in each line of standard input and write its result, until its end or the timeout."""
    reader = asyncio.StreamReader()
    running = asyncio.get_running_loop()
    await running.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    try:
        async with asyncio.timeout(seconds):
            while line := await reader.readline():
                result = do(json.loads(line))
                if result is not None:
                    tell(**result)
    except TimeoutError:
        print(f"ended after {seconds:g} s", file=sys.stderr, flush=True)


def own_usage() -> dict[str, float]:
    """This process's processor time (s) and peak memory (MB)."""
    # Not from getrusage: its peak includes that of the process that started this one.
    return {"cpu_s": time.process_time(), "peak_mb": memory_mb(os.getpid())}


def max_connections() -> int:
    """How many connections the process's descriptor limit allows."""
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0] - RESERVED_DESCRIPTORS


# In the parent --------------------------------------------------------------------------------------------


class Child:
    """One child process that runs a module of this package."""

    def __init__(self, module: str, *args: object) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-m", f"hallproxy.lab.capacity.{module}", *map(str, args)],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        self.module = module
        self.lines: deque[str] = deque(maxlen=MAX_KEPT_LINES)
        self.faults = 0  # lines of standard error that report an error in the program
        self._answers: queue.Queue[str] = queue.Queue()
        self._readers = [
            threading.Thread(target=self._read_stdout, daemon=True),
            threading.Thread(target=self._read_stderr, daemon=True),
        ]
        for reader in self._readers:
            reader.start()
        self.first_message: Command = {}

    def _read_stdout(self) -> None:
        assert self.process.stdout is not None
        for line in self.process.stdout:
            self._answers.put(line)
        self._answers.put("")

    def _read_stderr(self) -> None:
        assert self.process.stderr is not None
        for line in self.process.stderr:
            self.faults += line.startswith(FAULTS)
            self.lines.append(line.rstrip())

    @property
    def pid(self) -> int:
        return self.process.pid

    def answer(self, within: float = ANSWER_TIMEOUT) -> Command:
        """The next line of its output; raises MeasurementError if there is none in time."""
        try:
            line = self._answers.get(timeout=within)
        except queue.Empty:
            raise MeasurementError(f"{self.module} sent no line within {within:g} s") from None
        if not line:
            raise MeasurementError(f"{self.module} has ended: {' / '.join(list(self.lines)[-3:])}")
        message = json.loads(line)
        assert isinstance(message, dict)
        return message

    def ready(self, within: float = ANSWER_TIMEOUT) -> Self:
        self.first_message = self.answer(within)
        return self

    def command(self, do: str, **words: Any) -> None:
        assert self.process.stdin is not None
        try:
            self.process.stdin.write(json.dumps({"do": do, **words}) + "\n")
            self.process.stdin.flush()
        except OSError:
            raise MeasurementError(f"{self.module} has ended: {' / '.join(list(self.lines)[-3:])}") from None

    def ask(self, do: str, **words: Any) -> Command:
        self.command(do, **words)
        return self.answer()

    def end(self) -> None:
        """Close its input and wait for its exit; if it doesn't exit, kill it and raise MeasurementError."""
        assert self.process.stdin is not None
        try:
            self.process.stdin.close()
        except OSError:  # it has already exited
            pass
        try:
            self.process.wait(EXIT_TIMEOUT)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
            raise MeasurementError(f"{self.module} did not exit at the end of its input") from None
        for reader in self._readers:
            reader.join(EXIT_TIMEOUT)

    def __enter__(self) -> Self:
        return self

    def __exit__(self, kind: object, *_: object) -> None:
        try:
            self.end()
        except MeasurementError:
            if kind is None:  # an earlier error says more
                raise


_LIBC = ctypes.CDLL(None, use_errno=True)
_PR_SET_PDEATHSIG = 1  # linux/prctl.h


def _die_with_parent() -> None:
    """In the child before exec: have it killed when the thread that started it ends.

    Without it, a killed measurement leaves the program running, as that does not read its standard input.
    """
    if _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0):
        raise OSError(ctypes.get_errno(), "prctl")


class Program:
    """One process of `python -m hallproxy`, ready once it logs that it listens."""

    def __init__(self, *args: str, ready: str = " listens on ", **environ: str) -> None:
        env = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")} | environ
        self.process = subprocess.Popen(
            [sys.executable, "-m", "hallproxy", *args],
            cwd=ROOT,
            env=env,
            stderr=subprocess.PIPE,
            text=True,
            preexec_fn=_die_with_parent,
        )
        self.lines: deque[str] = deque(maxlen=MAX_KEPT_LINES)
        self._ready, self._ready_text, self._address = threading.Event(), ready, ""
        self._reader = threading.Thread(target=self._read_stdout, daemon=True)
        self._reader.start()

    def _read_stdout(self) -> None:
        assert self.process.stderr is not None
        for line in self.process.stderr:
            self.lines.append(line.rstrip())
            if self._ready_text in line and not self._address:
                self._address = line.split()[-1]
                self._ready.set()
        self._ready.set()

    def listening_address(self) -> str:
        """Its address; raises MeasurementError if it exited or did not log it in time."""
        if not self._ready.wait(ANSWER_TIMEOUT) or not self._address:
            raise MeasurementError(f"hallproxy does not listen: {' / '.join(list(self.lines)[-3:])}")
        return self._address

    @property
    def pid(self) -> int:
        return self.process.pid

    def kill(self) -> None:
        self.process.kill()
        self.process.wait()

    def end(self) -> None:
        """Kill it, as its shutdown isn't measured. Raises MeasurementError if it logged a traceback."""
        self.kill()
        self._reader.join(EXIT_TIMEOUT)
        if any("Traceback" in line for line in self.lines):
            raise MeasurementError(f"hallproxy: {' / '.join(self.lines)}")

    def __enter__(self) -> Self:
        return self

    def __exit__(self, kind: object, *_: object) -> None:
        if kind is None:
            self.end()
        else:
            self.kill()


def cpu_s(pid: int) -> float:
    """Processor time of a process so far (s), summed over its threads, to the nanosecond."""
    tasks = Path(f"/proc/{pid}/task").glob("*/schedstat")
    return sum(int(task.read_text().split()[0]) for task in tasks) / 1e9


def memory_mb(pid: int, field: str = "VmHWM") -> float:
    """A process's memory in MB: current (VmRSS) or peak (VmHWM)."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(field + ":"):
            return int(line.split()[1]) / 1024
    raise MeasurementError(f"process {pid} has ended")


def until(condition: Callable[[], bool], what: str, within: float = ANSWER_TIMEOUT) -> None:
    """Poll a condition; raise MeasurementError that names `what` if it is not met in time."""
    deadline = time.monotonic() + within
    while not condition():
        if time.monotonic() > deadline:
            raise MeasurementError(f"{what}: not within {within:g} s")
        time.sleep(0.02)
