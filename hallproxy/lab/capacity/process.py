"""A real gateway in its own process, with stand-ins on loopback, and the resources that it uses.

The stand-ins are forked so that they start without delay; their sockets are bound before the fork. They count
requests in shared memory. Their own processor time, and the client's, is not part of any figure.
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
READY_TIMEOUT = 30.0  # s
EXIT_TIMEOUT = 15.0  # s
_OBJECT_REQUEST = re.compile(rb"GET /v2/q/(\w+)/([0-9a-f]{16})/(\d+) HTTP/1\.1\r\n")
_POLL_REQUEST = re.compile(rb"GET /changes\?since=(\d+)&timeout=(\d+) HTTP/1\.1\r\n")


def processor_s(pid: int) -> float:
    """utime + stime of a process so far, summed over its threads.

    Read from the process's own clock (see clock_getcpuclockid(3)): /proc/PID/stat counts in steps of 10 ms.
    Raises MeasurementError if there is no such process.
    """
    try:
        return time.clock_gettime(~pid << 3 | 2)
    except OSError as error:
        raise MeasurementError(f"no processor time of process {pid}: {error.strerror}") from None


def memory_kb(pid: int, which: str = "VmRSS") -> float:
    """Resident memory of a process, in KB of 1,000 bytes; its peak with `VmHWM`."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(which + ":"):
            return int(line.split()[1]) * 1.024
    raise MeasurementError(f"/proc/{pid}/status has no {which}")


def object_body(row: int, size: int) -> bytes:
    """The stand-in store's body of an object: derived from its number, so that a mix-up is detected."""
    return (row.to_bytes(8, "big") * (size // 8 + 1))[:size]


class Counts(ctypes.Structure):
    """Counters of the stand-ins: their process writes, the measurement reads."""

    _fields_ = [
        ("polls", ctypes.c_int64),
        ("first_poll_bytes", ctypes.c_int64),  # body of the first response
        ("heard", ctypes.c_int64),  # highest `since` of any poll
        ("asked", ctypes.c_int64),  # requests that the store received
        ("connections", ctypes.c_int64),  # to the store, open now
        ("accepted", ctypes.c_int64),  # connections to the store so far
        ("unread", ctypes.c_int64),  # request heads that can't be parsed
    ]


class LogConnection(asyncio.Protocol):
    """One connection to the stand-in change log, which serves long polls from one fixed page."""

    def __init__(self, page: fleet.Json, counts: Any) -> None:
        self._page, self._counts, self._received = page, counts, b""
        self._transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._received += data
        head, found, self._received = self._received.partition(b"\r\n\r\n")
        if not found:
            self._received = head
            return
        request = _POLL_REQUEST.match(head + b"\r\n")
        if request is None:
            self._counts.unread += 1
            return self._transport.close()
        since, wait = int(request[1]), int(request[2])
        self._counts.heard = max(self._counts.heard, since)
        events = [entry for entry in self._page["results"] if entry["seq"] > since]
        body = json.dumps({"seq": self._page["seq"], "results": events}).encode()
        self._counts.polls += 1
        self._counts.first_poll_bytes = self._counts.first_poll_bytes or len(body)
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        running = asyncio.get_running_loop()
        running.call_later(0.0 if events else wait / 1000, self._transport.write, answer)


class StoreConnection(asyncio.Protocol):
    """One connection to the stand-in store. Gateways send one request at a time on it."""

    waiting: list["StoreConnection"] = []  # connections whose requests wait until there are `hold` of them

    def __init__(self, size: int, hold: int, dated: bool, counts: Any) -> None:
        self._size, self._hold, self._dated, self._counts = size, hold, dated, counts
        self._received, self._row = b"", 0
        self._transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._counts.connections += 1
        self._counts.accepted += 1

    def connection_lost(self, exc: Exception | None) -> None:
        self._counts.connections -= 1

    def data_received(self, data: bytes) -> None:
        self._received += data
        head, found, self._received = self._received.partition(b"\r\n\r\n")
        if not found:
            self._received = head
            return
        request = _OBJECT_REQUEST.match(head + b"\r\n")
        if request is None:
            self._counts.unread += 1
            return self._transport.close()
        self._row = int(request[2], 16)
        self._counts.asked += 1
        StoreConnection.waiting.append(self)
        if len(StoreConnection.waiting) >= self._hold:
            for connection in StoreConnection.waiting:
                connection.respond()
            StoreConnection.waiting.clear()

    def respond(self) -> None:
        created = b"X-Born-Ms: %d\r\n" % (time.time_ns() // fleet.MS) if self._dated else b""
        head = b'HTTP/1.1 200 OK\r\nETag: "%x"\r\n%s' % (self._row, created)
        head += b"Content-Length: %d\r\n\r\n" % self._size
        self._transport.write(head + object_body(self._row, self._size))


@dataclass
class Standins:
    log: str  # address
    store: str  # address
    counts: Any


def _serve(
    log: socket.socket, store: socket.socket, page: fleet.Json, size: int, hold: int, dated: bool, counts: Any
) -> None:
    async def serve() -> None:
        running = asyncio.get_running_loop()
        await running.create_server(lambda: LogConnection(page, counts), sock=log, backlog=512)
        connection = partial(StoreConnection, size, hold, dated, counts)
        server = await running.create_server(connection, sock=store, backlog=512)
        await server.serve_forever()

    asyncio.run(serve())


@contextmanager
def standins(
    page: Callable[[str], fleet.Json], size: int = 0, hold: int = 1, dated: bool = True
) -> Iterator[tuple[Standins, fleet.Json]]:
    """A change log and a store, both in one separate process.

    ``page`` returns the log's only page for the store's address. The store's bodies have ``size`` bytes each;
    it responds once ``hold`` requests wait. Gateways keep no copy of a response that is not ``dated``.
    """
    log, store = (socket.create_server(("127.0.0.1", 0), backlog=512) for _ in range(2))
    addresses = ["127.0.0.1:%d" % sock.getsockname()[1] for sock in (log, store)]
    forking = multiprocessing.get_context("fork")
    counts: Any = forking.Value(Counts, lock=False)
    known = page(addresses[1])
    process = forking.Process(target=_serve, args=(log, store, known, size, hold, dated, counts), daemon=True)
    process.start()
    log.close()
    store.close()
    try:
        yield Standins(addresses[0], addresses[1], counts), known
        if counts.unread:
            raise MeasurementError(f"{counts.unread} request heads could not be parsed by the stand-ins")
    finally:
        process.kill()
        process.join()


class Gateway:
    """The process of one gateway. It is ready once its port accepts connections."""

    def __init__(
        self,
        directory: Path,
        name: str,
        known: fleet.Json,
        log: str,
        settings: fleet.Json,
        sockets: int = 1024,
    ) -> None:
        config = {"name": name, "listen": "127.0.0.1:0", "seed": "8c1f", "known": known, "changelog": log,
                  "limits": {"memory_mb": 256, "sockets": sockets}, "settings": settings,
                  "flow_bytes_per_s": 10**7, "link_bytes_per_s": 10**8}  # fmt: skip
        path = directory / f"{name}.json"
        path.write_text(json.dumps(config))
        self.known_kb = len(json.dumps(known)) / 1e3
        env = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")}
        self._log_lines: list[str] = []
        self._partial_line = b""
        self.began = time.perf_counter()
        self.ready_ms = 0.0
        self.port = 0
        self.core_s = self.peak_kb = 0.0  # set by the measurement
        self.process = subprocess.Popen(
            [sys.executable, "-m", "hallproxy"], cwd=ROOT, stderr=subprocess.PIPE,
            env=env | {"EDGE_CONFIG": str(path), "EDGE_NAME": name, "PYTHONPATH": str(ROOT)},
        )  # fmt: skip
        self.pid = self.process.pid

    def listen(self, within: float) -> bool:
        """Read its standard error for at most `within` s; true once it has logged its address."""
        assert self.process.stderr is not None
        descriptor = self.process.stderr.fileno()
        if select.select([descriptor], [], [], within)[0]:
            data = os.read(descriptor, 65_536)
            *lines, self._partial_line = (self._partial_line + data).split(b"\n")
            self._log_lines += [line.decode(errors="replace") for line in lines]
            for line in lines:
                if b" listens on " in line:
                    self.ready_ms = (time.perf_counter() - self.began) * 1e3
                    self.port = int(line.rsplit(b":", 1)[1])
            if not data and not self.port:
                raise MeasurementError(f"the gateway ended: {self._log_lines[-3:]}")
        return self.port > 0

    def ready(self) -> "Gateway":
        """Wait until it is ready; raise MeasurementError after READY_TIMEOUT."""
        deadline = time.perf_counter() + READY_TIMEOUT
        while not self.port and not self.listen(max(0.0, deadline - time.perf_counter())):
            if time.perf_counter() > deadline:
                raise MeasurementError(
                    f"the gateway does not listen after {READY_TIMEOUT:g} s: {self._log_lines[-3:]}"
                )
        socket.create_connection(("127.0.0.1", self.port), READY_TIMEOUT).close()
        return self

    def processor_s(self) -> float:
        return processor_s(self.pid)

    def memory_kb(self, which: str = "VmRSS") -> float:
        return memory_kb(self.pid, which)

    def kill(self) -> None:
        self.process.kill()
        self.process.wait(EXIT_TIMEOUT)
        assert self.process.stderr is not None
        self._log_lines += self.process.stderr.read().decode(errors="replace").splitlines()
        self.process.stderr.close()

    def faults(self) -> list[str]:
        """Lines of its log that report a fault of the program; complete once it has ended."""
        return [line for line in self._log_lines if "Traceback" in line or line.startswith("fault on")]


@contextmanager
def gateway(
    directory: Path, known: fleet.Json, log: str, settings: fleet.Json, sockets: int = 1024
) -> Iterator[Gateway]:
    """One ready gateway. It is killed at the end, as its shutdown isn't measured."""
    started = Gateway(directory, "n1", known, log, settings, sockets)
    try:
        yield started.ready()
    finally:
        started.kill()
    if started.faults():
        raise MeasurementError(f"the gateway's log reports faults: {started.faults()[:2]}")


def small_list(address: str, caches: int = 4) -> list[fleet.Json]:
    """A list of some caches, a parent and the origin, all at one address and in the only zone."""
    named = [("o-0", "origin"), ("p-0", "parent"), *((f"s-{n}", "std") for n in range(caches))]
    return [{"instanceId": ident, "hostPort": address, "zone": "zone-0", "machineType": kind, "cell": 0,
             "lifecycle": "Ready", "weight": 100.0, "startedAtMs": 0} for ident, kind in named]  # fmt: skip


def one_zone_settings() -> fleet.Json:
    """Settings of a site with a single gateway, so that only its own capacity limits it.

    The aim is long: on a busy machine the gateway must not take its own delay for an overloaded endpoint.
    """
    return fleet.settings_json(zones=1, gateways=1, aim_ms=5_000)
