"""Processes that measurements start, and how they are spoken to: a JSON object a line, both ways.

A child ends when its standard input does, so it goes with whoever started it, however that ended; and it
ends by itself once its time is over.
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
ANSWER_IN = 20.0  # s for one answer of a child
END_IN = 5.0  # s from the end of its input to its own end
LINES_MOST = 200  # of standard error that are kept
FAULTS = ("Traceback", "fault on ")  # as Python and the gateway's loop begin such a line
DESCRIPTORS_KEPT = 64  # of the process's limit, for all that is no connection

Command = dict[str, Any]


# In the child ---------------------------------------------------------------------------------------------


def tell(**figures: Any) -> None:
    print(json.dumps(figures), flush=True)


async def serve_commands(do: Callable[[Command], Command | None], seconds: float) -> None:
    """Carry out each line of standard input and tell what comes of it, until it ends or the time is over."""
    reader = asyncio.StreamReader()
    running = asyncio.get_running_loop()
    await running.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    try:
        async with asyncio.timeout(seconds):
            while line := await reader.readline():
                said = do(json.loads(line))
                if said is not None:
                    tell(**said)
    except TimeoutError:
        print(f"ended after {seconds:g} s", file=sys.stderr, flush=True)


def own_usage() -> dict[str, float]:
    """This process's processor time (s), and the most memory that it has held (MB)."""
    # Not getrusage's: that figure goes on from whoever started the process.
    return {"cpu_s": time.process_time(), "peak_mb": memory_mb(os.getpid())}


def max_connections() -> int:
    """How many connections the process's limit of descriptors leaves room for."""
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0] - DESCRIPTORS_KEPT


# In who starts it -----------------------------------------------------------------------------------------


class Child:
    """One process of a module of this package; its first line is `first_message`."""

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
        self.lines: deque[str] = deque(maxlen=LINES_MOST)
        self.faults = 0  # lines of standard error that tell of an error in the program
        self._answers: queue.Queue[str] = queue.Queue()
        self._readers = [
            threading.Thread(target=self._read, daemon=True),
            threading.Thread(target=self._note, daemon=True),
        ]
        for reader in self._readers:
            reader.start()
        self.first_message: Command = {}

    def _read(self) -> None:
        assert self.process.stdout is not None
        for line in self.process.stdout:
            self._answers.put(line)
        self._answers.put("")

    def _note(self) -> None:
        assert self.process.stderr is not None
        for line in self.process.stderr:
            self.faults += line.startswith(FAULTS)
            self.lines.append(line.rstrip())

    @property
    def pid(self) -> int:
        return self.process.pid

    def answer(self, within: float = ANSWER_IN) -> Command:
        """The next line that it says; MeasurementError if none comes in time."""
        try:
            line = self._answers.get(timeout=within)
        except queue.Empty:
            raise MeasurementError(f"{self.module} said nothing within {within:g} s") from None
        if not line:
            raise MeasurementError(f"{self.module} has ended: {' / '.join(list(self.lines)[-3:])}")
        said = json.loads(line)
        assert isinstance(said, dict)
        return said

    def ready(self, within: float = ANSWER_IN) -> Self:
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
        """End its input and wait for its end; one that doesn't end is killed, which is an error."""
        assert self.process.stdin is not None
        try:
            self.process.stdin.close()
        except OSError:  # it has ended already
            pass
        try:
            self.process.wait(END_IN)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
            raise MeasurementError(f"{self.module} did not end with its input") from None
        for reader in self._readers:
            reader.join(END_IN)

    def __enter__(self) -> Self:
        return self

    def __exit__(self, kind: object, *_: object) -> None:
        try:
            self.end()
        except MeasurementError:
            if kind is None:  # what went wrong before says more
                raise


_LIBC = ctypes.CDLL(None, use_errno=True)
_PR_SET_PDEATHSIG = 1  # linux/prctl.h


def _with_parent() -> None:
    """In the process that is to be the program: it is killed when the thread that started it ends.

    Guards a measurement that is killed: the program reads no standard input that would tell it.
    """
    if _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0):
        raise OSError(ctypes.get_errno(), "prctl")


class Program:
    """One process of `python -m hallproxy`, ready once it says that it listens."""

    def __init__(self, *args: str, ready: str = " listens on ", **environ: str) -> None:
        env = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")} | environ
        self.process = subprocess.Popen(
            [sys.executable, "-m", "hallproxy", *args],
            cwd=ROOT,
            env=env,
            stderr=subprocess.PIPE,
            text=True,
            preexec_fn=_with_parent,
        )
        self.lines: deque[str] = deque(maxlen=LINES_MOST)
        self._ready, self._word, self._where = threading.Event(), ready, ""
        self._reader = threading.Thread(target=self._read, daemon=True)
        self._reader.start()

    def _read(self) -> None:
        assert self.process.stderr is not None
        for line in self.process.stderr:
            self.lines.append(line.rstrip())
            if self._word in line and not self._where:
                self._where = line.split()[-1]
                self._ready.set()
        self._ready.set()

    def listening_address(self) -> str:
        """Where it listens; MeasurementError if it ended or did not say so in time."""
        if not self._ready.wait(ANSWER_IN) or not self._where:
            raise MeasurementError(f"hallproxy does not listen: {' / '.join(list(self.lines)[-3:])}")
        return self._where

    @property
    def pid(self) -> int:
        return self.process.pid

    def kill(self) -> None:
        self.process.kill()
        self.process.wait()

    def end(self) -> None:
        """Its end is not what is measured: it is killed. What it said must hold no traceback."""
        self.kill()
        self._reader.join(END_IN)
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
    """Processor time that a process has had (s), of all its threads, to the nanosecond."""
    tasks = Path(f"/proc/{pid}/task").glob("*/schedstat")
    return sum(int(task.read_text().split()[0]) for task in tasks) / 1e9


def memory_mb(pid: int, field: str = "VmHWM") -> float:
    """Memory that a process holds (VmRSS) or has held at most (VmHWM)."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(field + ":"):
            return int(line.split()[1]) / 1024
    raise MeasurementError(f"process {pid} has ended")


def until(condition: Callable[[], bool], what: str, within: float = ANSWER_IN) -> None:
    """Wait for a condition, not for a time; MeasurementError names what did not come."""
    end = time.monotonic() + within
    while not condition():
        if time.monotonic() > end:
            raise MeasurementError(f"{what}: not within {within:g} s")
        time.sleep(0.02)
