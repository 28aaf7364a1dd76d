"""A real gateway in a process of its own, with stand-ins on loopback, and what that process uses.

The stand-ins are forked, so that they are there at once; their sockets are bound ahead of it. They count what
they are asked in shared memory. Their own processor time, and the client's, is no part of any figure.
"""

import asyncio
import ctypes
import json
import multiprocessing
import os
import re
import select
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

from hallproxy.lab.capacity import fleet
from hallproxy.lab.capacity.registry import MeasurementError

ROOT = Path(__file__).parents[3]
READY_IN = 30.0  # s
END_IN = 15.0  # s
_ASKED = re.compile(rb"GET /v2/q/(\w+)/([0-9a-f]{16})/(\d+) HTTP/1\.1\r\n")
_POLLED = re.compile(rb"GET /changes\?since=(\d+)&timeout=(\d+) HTTP/1\.1\r\n")


def processor_s(pid: int) -> float:
    """utime + stime of a process so far, all its threads together.

    Read from the process's own clock, as clock_getcpuclockid(3) names it: /proc/PID/stat counts in
    steps of 10 ms.
    Raises MeasurementError where there is no such process.
    """
    try:
        return time.clock_gettime(~pid << 3 | 2)
    except OSError as error:
        raise MeasurementError(f"no processor time of process {pid}: {error.strerror}") from None


def memory_kb(pid: int, which: str = "VmRSS") -> float:
    """Resident memory of a process, in KB of 1,000 bytes; `VmHWM`: the most so far."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(which + ":"):
            return int(line.split()[1]) * 1.024
    raise MeasurementError(f"/proc/{pid}/status has no {which}")


def object_body(row: int, size: int) -> bytes:
    """What the stand-in store holds of an object: made of its number, so that a mix-up shows."""
    return (row.to_bytes(8, "big") * (size // 8 + 1))[:size]


class Counts(ctypes.Structure):
    """What the stand-ins have seen; one process writes, the measurement reads."""

    _fields_ = [
        ("polls", ctypes.c_int64),
        ("first_poll_bytes", ctypes.c_int64),  # of the first answer's body
        ("heard", ctypes.c_int64),  # the highest number that a poll asked from
        ("asked", ctypes.c_int64),  # requests that came to the store
        ("connections", ctypes.c_int64),  # open to the store now
        ("accepted", ctypes.c_int64),  # connections to it so far
        ("unread", ctypes.c_int64),  # heads that make no sense here
    ]


class Log(asyncio.Protocol):
    """One connection to the stand-in change log: long polls of one fixed page."""

    def __init__(self, page: fleet.Json, counts: Any) -> None:
        self._page, self._counts, self._came = page, counts, b""
        self._transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._came += data
        head, found, self._came = self._came.partition(b"\r\n\r\n")
        if not found:
            self._came = head
            return
        asked = _POLLED.match(head + b"\r\n")
        if asked is None:
            self._counts.unread += 1
            return self._transport.close()
        since, wait = int(asked[1]), int(asked[2])
        self._counts.heard = max(self._counts.heard, since)
        more = [entry for entry in self._page["results"] if entry["seq"] > since]
        body = json.dumps({"seq": self._page["seq"], "results": more}).encode()
        self._counts.polls += 1
        self._counts.first_poll_bytes = self._counts.first_poll_bytes or len(body)
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        running = asyncio.get_running_loop()
        running.call_later(0.0 if more else wait / 1000, self._transport.write, answer)


class Store(asyncio.Protocol):
    """One connection to the stand-in store, one request at a time, as gateways send them."""

    held: list["Store"] = []  # connections whose requests wait until there are as many as are held

    def __init__(self, size: int, hold: int, dated: bool, counts: Any) -> None:
        self._size, self._hold, self._dated, self._counts = size, hold, dated, counts
        self._came, self._row = b"", 0
        self._transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._counts.connections += 1
        self._counts.accepted += 1

    def connection_lost(self, exc: Exception | None) -> None:
        self._counts.connections -= 1

    def data_received(self, data: bytes) -> None:
        self._came += data
        head, found, self._came = self._came.partition(b"\r\n\r\n")
        if not found:
            self._came = head
            return
        asked = _ASKED.match(head + b"\r\n")
        if asked is None:
            self._counts.unread += 1
            return self._transport.close()
        self._row = int(asked[2], 16)
        self._counts.asked += 1
        Store.held.append(self)
        if len(Store.held) >= self._hold:
            for store in Store.held:
                store.answer()
            Store.held.clear()

    def answer(self) -> None:
        born = b"X-Born-Ms: %d\r\n" % (time.time_ns() // fleet.MS) if self._dated else b""
        head = b'HTTP/1.1 200 OK\r\nETag: "%x"\r\n%s' % (self._row, born)
        head += b"Content-Length: %d\r\n\r\n" % self._size
        self._transport.write(head + object_body(self._row, self._size))


@dataclass
class Standins:
    log: str  # addresses
    store: str
    counts: Any


def _serve(
    log: socket.socket, store: socket.socket, page: fleet.Json, size: int, hold: int, dated: bool, counts: Any
) -> None:
    async def serve() -> None:
        running = asyncio.get_running_loop()
        await running.create_server(lambda: Log(page, counts), sock=log, backlog=512)
        made = partial(Store, size, hold, dated, counts)
        server = await running.create_server(made, sock=store, backlog=512)
        await server.serve_forever()

    asyncio.run(serve())


@contextmanager
def standins(
    page: Callable[[str], fleet.Json], size: int = 0, hold: int = 1, dated: bool = True
) -> Iterator[tuple[Standins, fleet.Json]]:
    """A change log and a store in a process of their own.

    ``page`` gives the log's whole page for the store's address. The store's bodies have ``size`` bytes each;
    it answers when ``hold`` requests are with it. What is not ``dated`` is no copy that a gateway keeps.
    """
    log, store = (socket.create_server(("127.0.0.1", 0), backlog=512) for _ in range(2))
    addresses = ["127.0.0.1:%d" % sock.getsockname()[1] for sock in (log, store)]
    forking = multiprocessing.get_context("fork")
    counts: Any = forking.Value(Counts, lock=False)
    told = page(addresses[1])
    process = forking.Process(target=_serve, args=(log, store, told, size, hold, dated, counts), daemon=True)
    process.start()
    log.close()
    store.close()
    try:
        yield Standins(addresses[0], addresses[1], counts), told
        if counts.unread:
            raise MeasurementError(f"{counts.unread} heads came to the stand-ins that they can't read")
    finally:
        process.kill()
        process.join()


class Gateway:
    """One gateway's process. It is ready when its port takes connections."""

    def __init__(
        self, where: Path, name: str, known: fleet.Json, log: str, settings: fleet.Json, sockets: int = 1024
    ) -> None:
        config = {"name": name, "listen": "127.0.0.1:0", "seed": "8c1f", "known": known, "changelog": log,
                  "limits": {"memory_mb": 256, "sockets": sockets}, "settings": settings,
                  "flow_bytes_per_s": 10**7, "link_bytes_per_s": 10**8}  # fmt: skip
        path = where / f"{name}.json"
        path.write_text(json.dumps(config))
        self.known_kb = len(json.dumps(known)) / 1e3
        env = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")}
        self._said: list[str] = []
        self._rest = b""
        self.began = time.perf_counter()
        self.ready_ms = 0.0
        self.port = 0
        self.core_s = self.peak_kb = 0.0  # for whoever notes them
        self.process = subprocess.Popen(
            [sys.executable, "-m", "hallproxy"], cwd=ROOT, stderr=subprocess.PIPE,
            env=env | {"EDGE_CONFIG": str(path), "EDGE_NAME": name, "PYTHONPATH": str(ROOT)},
        )  # fmt: skip
        self.pid = self.process.pid

    def listen(self, within: float) -> bool:
        """Read what it says for so many s at most; true once it has said where it listens."""
        assert self.process.stderr is not None
        descriptor = self.process.stderr.fileno()
        if select.select([descriptor], [], [], within)[0]:
            more = os.read(descriptor, 65_536)
            *lines, self._rest = (self._rest + more).split(b"\n")
            self._said += [line.decode(errors="replace") for line in lines]
            for line in lines:
                if b" listens on " in line:
                    self.ready_ms = (time.perf_counter() - self.began) * 1e3
                    self.port = int(line.rsplit(b":", 1)[1])
            if not more and not self.port:
                raise MeasurementError(f"the gateway ended: {self._said[-3:]}")
        return self.port > 0

    def ready(self) -> "Gateway":
        """Raises MeasurementError where it isn't, in its time."""
        end = time.perf_counter() + READY_IN
        while not self.port and not self.listen(max(0.0, end - time.perf_counter())):
            if time.perf_counter() > end:
                raise MeasurementError(f"no gateway after {READY_IN:g} s: {self._said[-3:]}")
        socket.create_connection(("127.0.0.1", self.port), READY_IN).close()
        return self

    def processor_s(self) -> float:
        return processor_s(self.pid)

    def memory_kb(self, which: str = "VmRSS") -> float:
        return memory_kb(self.pid, which)

    def kill(self) -> None:
        self.process.kill()
        self.process.wait(END_IN)
        assert self.process.stderr is not None
        self._said += self.process.stderr.read().decode(errors="replace").splitlines()
        self.process.stderr.close()

    def faults(self) -> list[str]:
        """Lines of the log that tell of a fault of the program; known after the end."""
        return [line for line in self._said if "Traceback" in line or line.startswith("fault on")]


@contextmanager
def gateway(
    where: Path, known: fleet.Json, log: str, settings: fleet.Json, sockets: int = 1024
) -> Iterator[Gateway]:
    """One gateway, ready. Killed at the end: how it stops is no matter of capacity."""
    made = Gateway(where, "n1", known, log, settings, sockets)
    try:
        yield made.ready()
    finally:
        made.kill()
    if made.faults():
        raise MeasurementError(f"the gateway's log tells of faults: {made.faults()[:2]}")


def small_list(address: str, caches: int = 4) -> list[fleet.Json]:
    """A list of so many caches, a parent and the origin, all at one address, in the one zone there is."""
    made = [("o-0", "origin"), ("p-0", "parent"), *((f"s-{n}", "std") for n in range(caches))]
    return [{"instanceId": ident, "hostPort": address, "zone": "zone-0", "machineType": kind, "cell": 0,
             "lifecycle": "Ready", "weight": 100.0, "startedAtMs": 0} for ident, kind in made]  # fmt: skip


def one_zone_settings() -> fleet.Json:
    """Settings of a site that one gateway has to itself, so that what it does is bounded by itself alone.

    The aim is long: on a busy machine the gateway must not take its own lateness for a jam.
    """
    return fleet.settings_json(zones=1, gateways=1, aim_ms=5_000)
