"""Support for the relay tests: a change log that fails on demand, followers, and the relay program."""

from __future__ import annotations

import asyncio
import contextlib
import gzip
import json
import os
import re
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

from hallproxy import Router
from hallproxy.feed.source_selection import SourceSelection
from hallproxy.run.change_log_poller import Poller
from hallproxy.run.effect_runner import EffectRunner
from hallproxy.state.events import EndpointListUpdated, PurgeNotified
from hallproxy.state.model import GatewayState
from hallproxy.wire.simulator_settings import settings_from_json
from tests.support.gateway import (
    DEADLINE,
    ROOT,
    Listener,
    Program,
    ReceivedRequest,
    now_ms,
    platform_settings,
    poll_parameters,
    read_request,
    response,
    until,
)

GROUPS = 256  # purge groups; a snapshot page has one purge of each
Event = dict[str, Any]
# Answers a poll; False: close the connection.
PollHandler = Callable[["ScriptedLog", ReceivedRequest, socket.socket], bool]


def purge_event(number: int, time_ms: int | None = None) -> Event:
    """A purge of the object with this number."""
    purged_ms = time_ms or now_ms()
    return {"invalidate": {"object": f"{number:016x}", "bucket": number % GROUPS, "time": purged_ms}}


def fleet_event(*instances: Any, generation: int = 1, reset: bool = False) -> Event:
    return {"fleet": {"generation": generation, "reset": reset, "instances": list(instances)}}


def send_page(log: ScriptedLog, request: ReceivedRequest, connection: socket.socket) -> bool:
    """The normal handler: wait for events up to the poll's timeout, then send a page."""
    since, wait = poll_parameters(request)
    with log.changed:
        log.changed.wait_for(lambda: log.last > since or log.handler is not send_page, wait / 1000)
        handler, page = log.handler, log.page(since)
    if handler is not send_page:
        return handler(log, request, connection)
    connection.sendall(response(200, page))
    return True


class ScriptedLog:
    """A change log whose ``handler`` answers each poll, well or badly."""

    def __init__(self, max_page_events: int = 20_000) -> None:
        self.changed = threading.Condition()
        self.handler: PollHandler = send_page
        self.max_page_events = max_page_events
        self.last_dropped = 0  # the sequence number before the first event that is kept
        self.encoded_events: list[bytes] = []
        self.polls: list[tuple[int, int]] = []  # since, wait
        self.requests: list[ReceivedRequest] = []
        self._listener = Listener(self._serve)
        self.address = self._listener.address

    @property
    def last(self) -> int:
        return self.last_dropped + len(self.encoded_events)

    def add(self, *events: Event) -> int:
        with self.changed:
            for event in events:
                self.encoded_events.append(json.dumps({"seq": self.last + 1, **event}).encode())
            self.changed.notify_all()
            return self.last

    def restart(self, *events: Event) -> None:
        """Drop all events and number new ones from 1, as a new incarnation of the log."""
        with self.changed:
            self.last_dropped, self.encoded_events = 0, []
            self.add(*events)

    def set_handler(self, handler: PollHandler = send_page) -> int:
        """Answer polls with ``handler``, waiting ones too; return the number of polls received so far."""
        with self.changed:
            self.handler = handler
            self.changed.notify_all()
            return len(self.polls)

    def page(self, since: int) -> bytes:
        start = max(0, since - self.last_dropped)
        page = self.encoded_events[start : start + self.max_page_events]
        return b'{"seq": %d, "results": [%s]}' % (self.last, b", ".join(page))

    def acknowledged(self, seq: int) -> bool:
        return any(since == seq for since, _ in self.polls)

    def close(self) -> None:
        self._listener.close()

    def _serve(self, connection: socket.socket) -> None:
        file = connection.makefile("rb")
        while (request := read_request(file)) is not None:
            self.requests.append(request)
            self.polls.append(poll_parameters(request))
            if not self.handler(self, request, connection):
                return


# Handlers that answer badly -----------------------------------------------------------------------------


def reply_with_bytes(data: bytes | Callable[[ScriptedLog, int], bytes]) -> PollHandler:
    """A handler that sends these bytes and keeps the connection open."""

    def handler(log: ScriptedLog, request: ReceivedRequest, connection: socket.socket) -> bool:
        connection.sendall(data if isinstance(data, bytes) else data(log, poll_parameters(request)[0]))
        return True

    return handler


def reply_with_body(make: Callable[[ScriptedLog, int], bytes], **fields: str) -> PollHandler:
    return reply_with_bytes(lambda log, since: response(200, make(log, since), **fields))


def reply_with_changed_events(change: Callable[[list[Any]], Any]) -> PollHandler:
    """A handler that sends the correct page with its list of events changed."""

    def make(log: ScriptedLog, since: int) -> bytes:
        page = json.loads(log.page(since))
        changed = change(page["results"])
        page["results"] = page["results"] if changed is None else changed
        return json.dumps(page).encode()

    return reply_with_body(make)


def never_answer(log: ScriptedLog, request: ReceivedRequest, connection: socket.socket) -> bool:
    """Send nothing until the peer closes the connection."""
    connection.recv(1)
    return False


def close_connection(log: ScriptedLog, request: ReceivedRequest, connection: socket.socket) -> bool:
    return False


def send_partial_page(log: ScriptedLog, request: ReceivedRequest, connection: socket.socket) -> bool:
    """Send two thirds of a page, then close the connection."""
    data = response(200, log.page(poll_parameters(request)[0]))
    connection.sendall(data[: len(data) * 2 // 3])
    return False


def trickle_page(log: ScriptedLog, request: ReceivedRequest, connection: socket.socket) -> bool:
    """Send a valid page at ten bytes per second."""
    for byte in response(200, log.page(poll_parameters(request)[0])):
        connection.sendall(bytes([byte]))
        time.sleep(0.1)
    return True


def send_endless_body(log: ScriptedLog, request: ReceivedRequest, connection: socket.socket) -> bool:
    """Send chunks without end, as fast as the peer reads them."""
    connection.sendall(b'HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n{"results":\r\n')
    piece = b"10000\r\n" + b" " * 0x10000 + b"\r\n"
    while True:
        connection.sendall(piece)


# Followers ----------------------------------------------------------------------------------------------


@dataclass
class RelayResponse:
    status: int
    fields: dict[str, str]
    body: bytes
    size: int  # bytes on the wire

    def page(self) -> dict[str, Any]:
        assert self.status == 200, (self.status, self.body)
        decoded = gzip.decompress(self.body) if self.fields.get("content-encoding") == "gzip" else self.body
        page: dict[str, Any] = json.loads(decoded)
        return page

    @property
    def events(self) -> list[Event]:
        events: list[Event] = self.page()["results"]
        return events

    @property
    def numbers(self) -> list[int]:
        return [event["seq"] for event in self.events]


class RelayConnection:
    """A client connection to a relay."""

    def __init__(self, port: int) -> None:
        self.sock = socket.create_connection(("127.0.0.1", port))
        self.sock.settimeout(DEADLINE)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._file = self.sock.makefile("rb")

    def send(self, since: object, timeout: object = 0, **fields: str) -> None:
        lines = [f"GET /changes?since={since}&timeout={timeout} HTTP/1.1", "Host: relay"]
        lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
        self.sock.sendall("\r\n".join([*lines, "", ""]).encode())

    def read_response(self) -> RelayResponse:
        """The next response; ConnectionError if the connection closes before its end."""
        start = self._file.readline()
        if not start.endswith(b"\n"):
            raise ConnectionError("the connection closed before a response")
        size = len(start)
        fields: dict[str, str] = {}
        while (line := self._file.readline()) not in (b"\r\n", b""):
            name, _, value = line.decode().partition(":")
            fields[name.lower()] = value.strip()
            size += len(line)
        length = int(fields["content-length"])
        body = self._file.read(length)
        if len(body) < length:
            raise ConnectionError("the connection closed within a response body")
        return RelayResponse(int(start.split()[1]), fields, body, size + 2 + length)

    def poll(self, since: object, timeout: object = 0, **fields: str) -> RelayResponse:
        self.send(since, timeout, **fields)
        return self.read_response()

    def closed_by_peer(self) -> bool:
        """Wait until the peer closes; return whether it sent nothing before."""
        try:
            return self._file.read(1) == b""
        except ConnectionResetError:
            return True

    def close(self) -> None:
        self._file.close()
        self.sock.close()


def poll(port: int, since: object, timeout: object = 0, **fields: str) -> RelayResponse:
    connection = RelayConnection(port)
    try:
        return connection.poll(since, timeout, **fields)
    finally:
        connection.close()


def is_snapshot(events: Sequence[Event]) -> bool:
    """Whether the events are a snapshot: the full list, then a purge per group of one time, in sequence."""
    first = events[0] if events else {}
    purges = [event.get("invalidate", {}) for event in events[1:]]
    return (
        bool(first.get("fleet", {}).get("reset"))
        and sorted(p.get("bucket", -1) for p in purges) == list(range(GROUPS))
        and not any(p.get("object") for p in purges)
        and len({p["time"] for p in purges}) == 1
        and [e["seq"] for e in events] == list(range(first["seq"], first["seq"] + GROUPS + 1))
    )


class Follower:
    """Polls a relay as the specification says, the next one when it fails, and checks every page."""

    def __init__(self, ports: Sequence[int], since: int = 0) -> None:
        self.ports, self.since, self.first_since = list(ports), since, since
        self.received: list[tuple[int, Event, int]] = []  # sequence number, event, Unix ms of receipt
        self.snapshot_sizes: list[int] = []  # events of each snapshot
        self.errors: list[str] = []
        self.page_sizes: list[int] = []  # events of each page
        self.bytes_received = 0
        self.unavailable_responses = 0
        self._stopping = False
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def caught_up_to(self, seq: int) -> bool:
        return self.since == seq

    def stop_polling(self) -> None:
        """Stop polling and abort an open poll."""
        self._stopping = True
        with contextlib.suppress(OSError, AttributeError):
            self._connection.sock.shutdown(socket.SHUT_RDWR)

    def stop(self) -> None:
        """Stop, and check that no event was duplicated, missing or incomplete."""
        self.stop_polling()
        self._thread.join(DEADLINE)
        assert not self.errors, self.errors

    def _run(self) -> None:
        index = 0
        while not self._stopping:
            try:
                connection = self._connection = RelayConnection(self.ports[index % len(self.ports)])
            except OSError:
                index += 1
                time.sleep(0.02)
                continue
            try:
                while not self._stopping:
                    answer = connection.poll(self.since, 500, Accept_Encoding="gzip")
                    self.bytes_received += answer.size
                    if answer.status == 503:
                        self.unavailable_responses += 1
                        raise ConnectionError("not current")
                    self._receive(answer.events)
            except OSError:
                index += 1
                time.sleep(0.02)
            except Exception as error:  # noqa: BLE001 - stop() asserts that a follower met no error
                self.errors.append(f"{type(error).__name__} {error}")
                return
            finally:
                connection.close()

    def _receive(self, events: list[Event]) -> None:
        if not events:
            return
        numbers = [e["seq"] for e in events]
        if is_snapshot(events):
            self.snapshot_sizes.append(len(events))
        elif numbers != list(range(self.since + 1, self.since + 1 + len(numbers))):
            raise AssertionError(
                f"events after {self.since}: received {numbers[0]} to {numbers[-1]} ({len(numbers)})"
            )
        self.page_sizes.append(len(events))
        at = now_ms()
        self.received += [(e["seq"], e, at) for e in events]
        self.since = numbers[-1]


class GatewayPollers:
    """A gateway's change-log pollers, in one thread; what each receives is recorded with its time.

    Each has its own order of relays, as with ``--change-logs``.
    """

    def __init__(self, count: int, ports: Sequence[int], since: int = 0, spread: float = 0.3) -> None:
        settings = settings_from_json(json.dumps(platform_settings()).encode())
        addresses = tuple(("127.0.0.1", port) for port in ports)
        self.received: list[list[tuple[Any, int]]] = [[] for _ in range(count)]  # event, when (Unix ms)
        self.pollers: list[Poller] = []
        for n in range(count):
            loop = EffectRunner(GatewayState(settings, Router(settings, 1)))
            loop.dispatch = partial(self._record, n)  # type: ignore[method-assign]
            selection = SourceSelection(f"g{n}", addresses, spread, Random(n))
            self.pollers.append(Poller(loop, selection, since, has_alternatives=len(addresses) > 1))
        self._ready = threading.Event()
        self._thread = threading.Thread(target=lambda: asyncio.run(self._run()), daemon=True)
        self._thread.start()
        self._ready.wait()

    def caught_up_to(self, seq: int) -> bool:
        return all(p.since == seq for p in self.pollers)

    def purged_objects(self, n: int) -> list[int]:
        """The objects whose purges that poller received, in order."""
        return [e.object for e, _ in self.received[n] if isinstance(e, PurgeNotified) and e.object]

    def snapshot_count(self, n: int) -> int:
        """How many snapshots that poller received."""
        lists = [e for e, _ in self.received[n] if isinstance(e, EndpointListUpdated)]
        groups = sum(isinstance(e, PurgeNotified) and not e.object for e, _ in self.received[n])
        assert lists or not groups
        return groups // GROUPS

    def max_latency_ms(self) -> int:
        """The longest time (ms) from an object's purge to its receipt by a poller."""
        received = [(e, at) for events in self.received for e, at in events]
        return max(
            at - e.purged_at // 1_000_000 for e, at in received if isinstance(e, PurgeNotified) and e.object
        )

    def stop(self) -> None:
        self._loop.call_soon_threadsafe(self._stopping.set)
        self._thread.join(DEADLINE)

    def _record(self, n: int, event: Any) -> None:
        if isinstance(event, PurgeNotified | EndpointListUpdated):
            self.received[n].append((event, now_ms()))

    async def _run(self) -> None:
        self._loop, self._stopping = asyncio.get_running_loop(), asyncio.Event()
        tasks = [asyncio.ensure_future(p.run()) for p in self.pollers]
        self._ready.set()
        await self._stopping.wait()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


# The program --------------------------------------------------------------------------------------------


def toml(value: object) -> str:
    if isinstance(value, dict):
        return "{" + ", ".join(f"{k} = {toml(v)}" for k, v in value.items()) + "}"
    if isinstance(value, list):
        return "[" + ", ".join(map(toml, value)) + "]"
    return json.dumps(value)


@dataclass
class Relay:
    """A relay process with its file. A further ``start`` runs a new process at the same address."""

    path: Path
    upstreams: list[str]
    name: str = "r1"
    extra_settings: dict[str, Any] = field(default_factory=dict)
    port: int = 0

    def write_config(self, **changed: Any) -> None:
        """Write the configuration file with these settings changed."""
        settings = {
            "name": self.name,
            "listen": f"127.0.0.1:{self._configured_port}",
            "upstream": self.upstreams,
        }
        text = "".join(f"{k} = {toml(v)}\n" for k, v in (settings | self.extra_settings | changed).items())
        (self.path / f"{self.name}.toml").write_text(text)

    def start(self) -> Relay:
        self._configured_port = self.port  # a reload must find the same address to listen on
        self.write_config()
        self.program = Program("relay", str(self.path / f"{self.name}.toml"))
        self.port = self.program.port
        return self

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    @property
    def pid(self) -> int:
        return self.program.process.pid

    def kill(self) -> None:
        self.program.process.send_signal(signal.SIGKILL)
        self.program.wait()

    def send_sighup(self) -> None:
        self.program.process.send_signal(signal.SIGHUP)

    def connect(self) -> RelayConnection:
        return RelayConnection(self.port)

    def poll(self, since: object, timeout: object = 0, **fields: str) -> RelayResponse:
        return poll(self.port, since, timeout, **fields)

    def is_current(self) -> bool:
        return self.poll(0).status == 200

    def caught_up_to(self, seq: int) -> bool:
        """Whether the relay is current and has no event after ``seq``."""
        answer = self.poll(seq)
        return answer.status == 200 and not answer.events

    def status(self) -> dict[str, Any]:
        connection = self.connect()
        connection.sock.sendall(b"GET /status HTTP/1.1\r\nHost: relay\r\n\r\n")
        status: dict[str, Any] = json.loads(connection.read_response().body)
        connection.close()
        return status

    def peak_memory_mb(self) -> float:
        """The peak resident memory of the process."""
        found = re.search(r"VmHWM:\s+(\d+) kB", Path(f"/proc/{self.pid}/status").read_text())
        assert found
        return int(found[1]) / 1024

    def cpu_seconds(self) -> float:
        """The CPU time of the process so far, in seconds."""
        parts = Path(f"/proc/{self.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(parts[11]) + int(parts[12])) / os.sysconf("SC_CLK_TCK")


class Tunnel:
    """A second address of a server: a TCP proxy that forwards bytes unchanged."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._listener = Listener(self._forward)
        self.address = self._listener.address

    def _forward(self, connection: socket.socket) -> None:
        with socket.create_connection(("127.0.0.1", self._port)) as other:
            threading.Thread(target=_copy_bytes, args=(other, connection), daemon=True).start()
            _copy_bytes(connection, other)

    def close(self) -> None:
        self._listener.close()


def _copy_bytes(source: socket.socket, sink: socket.socket) -> None:
    with contextlib.suppress(OSError):
        while data := source.recv(65_536):
            sink.sendall(data)
    with contextlib.suppress(OSError):
        sink.shutdown(socket.SHUT_WR)


def run_program(*args: str) -> subprocess.CompletedProcess[str]:
    """Run the program with these arguments until it exits."""
    env = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")}
    command = [sys.executable, "-m", "hallproxy", *args]
    return subprocess.run(command, cwd=ROOT, env=env, capture_output=True, text=True, timeout=DEADLINE)


class PurgeStream:
    """Adds purges to a log at a steady rate, in a thread of its own; each one's object is its number."""

    def __init__(self, log: ScriptedLog, per_second: int) -> None:
        self.log, self.first, self._rate = log, log.last + 1, per_second
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self) -> None:
        began = time.monotonic()
        while not self._stopping.wait(0.01):
            due = int((time.monotonic() - began) * self._rate) - (self.log.last + 1 - self.first)
            self.log.add(*[purge_event(self.log.last + n) for n in range(1, due + 1)])

    def has_sent(self, count: int) -> bool:
        return self.log.last + 1 - self.first >= count

    def stop(self) -> int:
        """Stop, and return the sequence number of the last purge."""
        self._stopping.set()
        self._thread.join(DEADLINE)
        return self.log.last


def wait_until_caught_up(followers: Sequence[Follower], seq: int) -> None:
    """Wait until each follower has received ``seq`` or met an error."""
    until(lambda: all(f.caught_up_to(seq) or f.errors for f in followers))
