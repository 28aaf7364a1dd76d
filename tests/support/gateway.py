"""Stand-ins on loopback (a change log, stores with scripted replies) and the program under test."""

from __future__ import annotations

import itertools
import json
import os
import socket
import struct
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from hallproxy.wire import frames
from tests.support.simulator_options import OPTIONS

ROOT = Path(__file__).parents[2]
_CLIENTS = itertools.count(1)
DEADLINE = 10.0  # s within which an awaited condition must hold


def until(condition: Callable[[], Any]) -> Any:
    """Poll the condition until it holds and return its value; AssertionError after ``DEADLINE``."""
    deadline = time.monotonic() + DEADLINE
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(0.005)
    raise AssertionError("the condition did not hold within the deadline")


def now_ms() -> int:
    return time.time_ns() // 1_000_000


def reset(sock: socket.socket) -> None:
    """Close the connection with a reset (RST) instead of a FIN."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


class Listener:
    """A TCP server that runs ``handle`` for each connection, in a thread of its own."""

    def __init__(self, handle: Callable[[socket.socket], None]) -> None:
        self._sock = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.address = "127.0.0.1:%d" % self._sock.getsockname()[1]
        self._handle = handle
        self.connections: list[socket.socket] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._sock.accept()
            except OSError:
                return
            self.connections.append(connection)
            threading.Thread(target=self._run, args=(connection,), daemon=True).start()

    def _run(self, connection: socket.socket) -> None:
        try:
            self._handle(connection)
        except OSError:
            pass
        finally:
            connection.close()

    def stop_listening(self) -> None:
        """Refuse new connections; open ones stay."""
        # shutdown wakes the blocked accept; close alone would leave the port open until accept returns
        self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()

    def close(self) -> None:
        self.stop_listening()
        for connection in self.connections:
            try:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


@dataclass
class ReceivedRequest:
    """One request as a stand-in received it."""

    path: str
    fields: dict[str, str]
    body: bytes
    at_ms: int


def read_request(file: Any) -> ReceivedRequest | None:
    line = file.readline()
    if not line:
        return None
    fields: dict[str, str] = {}
    while (field_line := file.readline().strip()) != b"":
        name, _, value = field_line.decode().partition(":")
        fields[name.lower()] = value.strip()
    body = file.read(int(fields.get("content-length", 0)))
    return ReceivedRequest(line.split()[1].decode(), fields, body, now_ms())


def response(status: int, body: bytes = b"", **fields: str) -> bytes:
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


Reply = Callable[[ReceivedRequest], bytes | None]


class HttpStandIn:
    """An HTTP/1.1 stand-in. ``reply`` returns the bytes to send; None: send nothing; b"": close."""

    def __init__(self, reply: Reply) -> None:
        self.reply = reply
        self.stalls_after_partial = False  # keep the connection open after an incomplete response
        self.requests: list[ReceivedRequest] = []
        self.listener = Listener(self._serve)
        self.address = self.listener.address

    def _serve(self, connection: socket.socket) -> None:
        file = connection.makefile("rb")
        while (request := read_request(file)) is not None:
            self.requests.append(request)
            data = self.reply(request)
            if data is None:
                file.read(1)  # send nothing until the peer closes
                return
            if not data:
                return
            connection.sendall(data)
            head, _, body = data.partition(b"\r\n\r\n")
            if b"Content-Length: %d\r" % len(body) not in head + b"\r":
                if self.stalls_after_partial:
                    file.read(1)
                return  # close after an incomplete response


def ok(body: bytes = b"bytes", etag: str = "t1", born_ms: int = 0) -> Reply:
    return lambda _: response(200, body, ETag=etag, X_Born_Ms=str(born_ms or now_ms()))


def reply_with(status: int, **fields: str) -> Reply:
    return lambda _: response(status, b"", **fields)


def poll_parameters(request: ReceivedRequest) -> tuple[int, int]:
    """The parameters of a change-log poll: the last sequence number received, and the timeout in ms."""
    since, wait = (int(x.split("=")[1]) for x in request.path.split("?")[1].split("&"))
    return since, wait


class ChangeLog:
    """A change log: numbered events, served by long polling."""

    def __init__(self) -> None:
        self.events: list[dict[str, Any]] = []
        self.polls: list[int] = []
        self._changed = threading.Condition()
        self._http = HttpStandIn(self._answer)
        self.address = self._http.address

    def add(self, **event: Any) -> int:
        with self._changed:
            self.events.append({"seq": len(self.events) + 1, **event})
            self._changed.notify_all()
            return len(self.events)

    def page(self, since: int = 0) -> dict[str, Any]:
        return {"seq": len(self.events), "results": self.events[since:]}

    def acknowledged(self, seq: int) -> bool:
        """Whether a poll has asked for the events after ``seq``, which confirms that ``seq`` was received."""
        return seq in self.polls

    def _answer(self, request: ReceivedRequest) -> bytes:
        since, wait = poll_parameters(request)
        with self._changed:
            self.polls.append(since)
            self._changed.wait_for(lambda: len(self.events) > since, wait / 1000)
            return response(200, json.dumps(self.page(since)).encode())


def instance_record(
    instance_id: str,
    address: str,
    machine_type: str,
    state: str = "Ready",
    zone: str = "here",
    **extra_fields: Any,
) -> Any:
    return {"instanceId": instance_id, "hostPort": address, "zone": zone,
            "machineType": machine_type, "cell": 0, "lifecycle": state, "weight": 4,
            "startedAtMs": 0, **extra_fields}  # fmt: skip


def platform_settings() -> dict[str, Any]:
    """The simulator options of the wire tests, changed to four classes and one zone."""
    settings: dict[str, Any] = json.loads(json.dumps(OPTIONS))
    first = settings["classes"][0]
    settings["classes"] = [
        first | {"name": "segment"},
        first | {"name": "small", "deadline_ns": 3 * 10**9},
        first | {"name": "close", "effect": "token", "key_ttl_ns": 6 * 10**9, "deadline_ns": 3 * 10**9},
        first | {"name": "once", "effect": "side_effect", "deadline_ns": 3 * 10**9},
    ]
    spec = settings["specifics"]
    spec |= {"class_write": [False, False, True, True], "multi_part": [True, False, False, False]}
    spec |= {"fresh_for_ns": [0, 2 * 10**9, 0, 0], "usable_after_ns": [0] * 4, "may_pass_by": False}
    spec |= {"home_hub": [0], "instances_by_zone": [1], "joins": True, "purge_grace_ns": 300_000_000}
    settings |= {"zone": 0, "zones": ["here"], "models": ["std", "parent", "origin"], "group_size": 1}
    settings["bounds"] |= {"probes": False, "idle_close_ns": 15 * 10**9}
    settings["feedback"] = {"names": ["inflight", "x0"], "source": "inline"}
    return settings


class Program:
    """A hallproxy process and the lines it writes to standard error."""

    def __init__(self, *args: str, **environ: str) -> None:
        env = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")} | environ
        self.process = subprocess.Popen(
            [sys.executable, "-m", "hallproxy", *args], cwd=ROOT, env=env, stderr=subprocess.PIPE, text=True
        )
        self.lines: list[str] = []
        self._reader = threading.Thread(target=self._read, daemon=True)
        self._reader.start()
        listening = until(lambda: next((x for x in self.lines if " listens on " in x), None))
        self.port = int(listening.rsplit(":", 1)[1])

    def _read(self) -> None:
        assert self.process.stderr is not None
        for line in self.process.stderr:
            self.lines.append(line.rstrip())

    def stop(self) -> int:
        self.process.terminate()
        return self.wait()

    def wait(self) -> int:
        code = self.process.wait(DEADLINE)
        self._reader.join(DEADLINE)
        assert not [x for x in self.lines if "Traceback" in x], self.lines
        return code


class Client:
    """A client connection that speaks the platform's frames."""

    def __init__(self, port: int) -> None:
        self.sock = socket.create_connection(("127.0.0.1", port))
        self.sock.settimeout(DEADLINE)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # each frame leaves at once
        self._last = 0
        self.base = next(_CLIENTS) << 32  # request ids are unique across all clients

    def send_frame(self, kind: int, stream: int, payload: bytes = b"") -> None:
        self.sock.sendall(b"".join(frames.encode_frame(kind, stream, payload)))

    def send_request(self, op: str = "segment", row: int = 1, nth: int = 0, body: bytes = b"",
                     fields: dict[str, str] | None = None, **extra_fields: str) -> int:  # fmt: skip
        self._last += 1
        request = {"op": op, "call": f"{self.base + self._last:016x}", "ttl": "2000", "row": f"{row:016x}"}
        request |= {"nth": str(nth), "batch": "1", "heap": "40.0"} | extra_fields | (fields or {})
        self.send_frame(frames.REQUEST, self._last, frames.encode_fields(request) + body)
        return self._last

    def read_frame(self) -> tuple[int, int, bytes] | None:
        """The next frame: type, stream, payload; None at a close."""
        head = self._read_exactly(4)
        if head is None:
            return None
        rest = self._read_exactly(int.from_bytes(head, "big"))
        assert rest is not None, "the connection closed within a frame"
        return rest[0], int.from_bytes(rest[1:5], "big"), rest[5:]

    def read_response(self) -> tuple[int, dict[str, str], bytes]:
        """The next response: code, fields, body."""
        frame = self.read_frame()
        assert frame is not None and frame[0] == frames.RESPONSE, frame
        fields, body = frames.decode_fields(memoryview(frame[2])[1:])
        return frame[2][0], fields, bytes(body)

    def _read_exactly(self, size: int) -> bytes | None:
        data = b""
        while len(data) < size:
            try:
                chunk = self.sock.recv(size - len(data))
            except ConnectionResetError:
                chunk = b""
            if not chunk:
                return None
            data += chunk
        return data


@dataclass
class Platform:
    """A gateway process with its change log and two stand-in caches; parent and origin are unreachable."""

    path: Path
    limits: dict[str, Any] = field(default_factory=lambda: {"memory_mb": 192, "sockets": 256})
    caches: list[HttpStandIn] = field(default_factory=lambda: [HttpStandIn(ok()), HttpStandIn(ok())])
    change_settings: Callable[[dict[str, Any]], None] = lambda settings: None
    args: tuple[str, ...] = ()  # command-line arguments

    def start(self, **extra_config: Any) -> Platform:
        self.log = ChangeLog()
        instances = [instance_record(f"s-{n}", c.address, "std") for n, c in enumerate(self.caches)]
        instances += [
            instance_record("p-0", "127.0.0.1:1", "parent"),
            instance_record("o-0", "127.0.0.1:1", "origin"),
        ]
        self.log.add(fleet={"generation": 1, "reset": True, "instances": instances})
        settings = platform_settings()
        self.change_settings(settings)
        self.config = {"name": "n1", "listen": "127.0.0.1:0", "seed": "8c1f", "limits": self.limits,
                       "changelog": self.log.address, "flow_bytes_per_s": 10**7, "link_bytes_per_s": 10**7,
                       "known": self.log.page(), "settings": settings, **extra_config}  # fmt: skip
        (self.path / "config.json").write_text(json.dumps(self.config))
        self.program = Program(*self.args, EDGE_CONFIG=str(self.path / "config.json"), EDGE_NAME="n1")
        return self

    def client(self) -> Client:
        return Client(self.program.port)

    def set_reply(self, reply: Reply) -> None:
        for cache in self.caches:
            cache.reply = reply

    @property
    def requests(self) -> list[ReceivedRequest]:
        return sorted((s for c in self.caches for s in c.requests), key=lambda s: s.at_ms)

    def publish(self, **event: Any) -> None:
        """Add an event and wait until the gateway has received it."""
        seq = self.log.add(**event)
        until(lambda: self.log.acknowledged(seq))

    def drain(self, number: int, state: str = "Terminating") -> None:
        instance = instance_record(f"s-{number}", self.caches[number].address, "std", state)
        self.publish(fleet={"generation": 2, "reset": False, "instances": [instance]})
