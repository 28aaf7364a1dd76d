"""Stand-ins on loopback for the review's cases: the platform, a change log, stores and clients.

Standard library alone. Everything runs in one asyncio loop; the gateway is a process of its own, started
with the command ``run`` of the deploy file.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
REQUEST, ANSWER, WITHDRAW, READY_CALL, READY_ANSWER, GO_AWAY = 65, 66, 67, 80, 81, 90
CODES = {79: "served", 66: "refused", 69: "failed"}
SECOND, MS = 10**9, 10**6


def now_ms() -> float:
    """The Unix time in milliseconds."""
    return time.time_ns() / MS


class Record:
    """The file ``record.txt`` of one case: what was sent, answered and run, each line with its time."""

    def __init__(self, folder: Path) -> None:
        self._file = open(folder / "record.txt", "w", encoding="utf-8")  # noqa: SIM115 - open for the whole run
        self._start = time.time()
        self.write(f"start at Unix {self._start:.3f}, disruption {'on' if TROUBLE else 'off'}")

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time.time() - self._start:8.3f} {text}\n")
        self._file.flush()


def read_loopback_settings(window_ms: int = 6000) -> dict[str, Any]:
    """Settings like those of a small deployment of the site: one station of the site's classes and rules."""
    common = {"dedup_scope": "all", "stream": False}
    return {
        "bounds": {
            "cancelling": True, "cpu_us_per_request": 0.0, "cpu_us_per_s": 400_000,
            "dial_timeout_ns": 400 * MS, "idle_close_ns": 15 * SECOND, "max_attempts": 8, "max_open": 20_000,
            "max_retry_after_ns": 500 * MS, "peer_messages": False, "probes": False, "retry_after": True,
            "second_copies": True, "streams_per_conn": 32,
        },
        "classes": [
            {"name": "firmware-parts", "aim_ns": 600 * MS, "aim_stretch": 1.6, "deadline_ns": 6 * SECOND,
             "effect": "pure", "key_ttl_ns": 5 * SECOND, "late_share": 0.15, "points": 2.0, **common},
            {"name": "small-files", "aim_ns": 300 * MS, "aim_stretch": 2.0, "deadline_ns": 3 * SECOND,
             "effect": "pure", "key_ttl_ns": 5 * SECOND, "late_share": 0.2, "points": 1.0, **common},
            {"name": "session-close", "aim_ns": 600 * MS, "deadline_ns": 3 * SECOND,
             "effect": "token", "key_ttl_ns": window_ms * MS, "late_share": 0.0, "points": 3.0, **common},
        ],
        "clients": {"marks_retry": True},
        "domain_type": "edge",
        "feedback": {"names": ["inflight", "x0"], "source": "inline"},
        "fees": {"cross_zone": 0.01, "late_fail": 0.11, "origin": 0.16, "waste": 0.18},
        "goal": {"whole": 0.5, "worst_class": 0.2, "worst_tenant": 0.0, "worst_window": 0.3},
        "group_size": 1, "layer": 0, "me": 0, "membership_mode": "push",
        "models": ["std", "parent", "origin"],
        "rules": {
            "cold_ns": 17 * SECOND, "cold_share": 0.23, "drain_grace_ns": 250 * MS, "fall_multiple": 4.0,
            "fall_ns": 1500 * MS, "grace_to_answer_ns": 8 * MS, "must_ask_in_ns": 10 * SECOND,
        },
        "specifics": {
            "class_write": [False, False, True], "detail": "off", "fresh_for_ns": [0, 12 * SECOND, 0],
            "gone_everywhere_ns": 6 * SECOND, "home_hub": [0, 1, 2, 0], "inlet_kb_per_s": [0.0] * 4,
            "instances_by_zone": [0, 0, 0, 1], "joins": True, "may_pass_by": False,
            "multi_part": [True, False, False], "old_copy_worth": [0.7] * 3, "origin_fall_ns": 3 * SECOND,
            "origin_stops_at": 2.5, "pace_kb_per_s": 4100.0, "parent_breaks_at": 2.0,
            "parent_warms_in_ns": 19 * SECOND, "peers_fill": "any", "price_of_link": 0.06,
            "purge_grace_ns": 300 * MS, "store_kind": 2, "upper_cold_from": 0.067, "upper_kind": 1,
            "usable_after_ns": [0, 0, 0],
        },
        "tenants": [], "tick_ns": 2 * MS, "tiers": ["edge-cache"], "value_by": "request",
        "weight_source": "rough", "zone": 3, "zones": ["north", "central", "south", "edge-1"],
    }  # fmt: skip


def instance(identity: str, address: str, kind: str, zone: str, lifecycle: str = "Ready") -> dict[str, Any]:
    """One entry of the change log's list."""
    return {
        "instanceId": identity, "hostPort": address, "zone": zone, "machineType": kind, "cell": 0,
        "lifecycle": lifecycle, "weight": 5, "startedAtMs": 0,
    }  # fmt: skip


class HttpRequest:
    """One request that a stand-in has read to its end."""

    def __init__(self, target: str, fields: dict[str, str], body: bytes) -> None:
        self.target, self.fields, self.body = target, fields, body
        self.at = now_ms()


async def read_http(reader: asyncio.StreamReader) -> HttpRequest | None:
    """Read one whole request; None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        fields = {}
        for line in head[1:]:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(fields.get("content-length", "0") or 0))
        return HttpRequest(head[0].split(" ")[1], fields, body)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


def http_answer(status: int, body: bytes = b"", **fields: str) -> bytes:
    """One whole HTTP answer."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


Serve = Callable[[HttpRequest, asyncio.StreamWriter], Awaitable[bool]]


class HttpServer:
    """An HTTP/1.1 server with one request at a time on a connection; ``serve`` says whether it stays open."""

    def __init__(self, serve: Serve) -> None:
        self._serve = serve
        self.address = ""

    async def start(self) -> HttpServer:
        """Listen on a free loopback port."""
        self._server = await asyncio.start_server(self._connection, "127.0.0.1", 0, limit=1 << 20)
        self.address = "127.0.0.1:%d" % self._server.sockets[0].getsockname()[1]
        return self

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while (request := await read_http(reader)) is not None:
                if not await self._serve(request, writer):
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class ChangeLog:
    """The change log. ``delay``: seconds by which each answer comes late."""

    def __init__(self) -> None:
        self.events: list[dict[str, Any]] = []
        self.delay = 0.0
        self.polls: list[tuple[float, int]] = []  # (ms, since)
        self._more = asyncio.Event()

    async def start(self) -> ChangeLog:
        """Listen."""
        self._server = await HttpServer(self._serve).start()
        self.address = self._server.address
        return self

    def add(self, **event: Any) -> int:
        """Add an event; returns its number."""
        self.events.append({"seq": len(self.events) + 1, **event})
        self._more.set()
        self._more = asyncio.Event()
        return len(self.events)

    def page(self, since: int = 0) -> dict[str, Any]:
        """The events after ``since``."""
        return {"seq": len(self.events), "results": self.events[since:]}

    async def _serve(self, request: HttpRequest, writer: asyncio.StreamWriter) -> bool:
        query = dict(pair.split("=") for pair in request.target.partition("?")[2].split("&"))
        since, wait = int(query["since"]), int(query["timeout"])
        self.polls.append((now_ms(), since))
        if len(self.events) <= since:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._more.wait(), wait / 1000)
        if self.delay:
            await asyncio.sleep(self.delay)
        writer.write(http_answer(200, json.dumps(self.page(since)).encode(), Content_Type="application/json"))
        await writer.drain()
        return True


def encode_request(stream: int, fields: dict[str, str], body: bytes = b"") -> bytes:
    """A client's frame with a request."""
    payload = bytes([len(fields)])
    for name, value in fields.items():
        payload += bytes([len(name)]) + name.encode() + struct.pack(">H", len(value)) + value.encode()
    payload += body
    return struct.pack(">IBI", 5 + len(payload), REQUEST, stream) + payload


class Answer:
    """What a client was told."""

    def __init__(self, code: int, fields: dict[str, str], body: bytes) -> None:
        self.code, self.fields, self.body, self.at = CODES.get(code, str(code)), fields, body, now_ms()


def decode_answer(payload: bytes) -> Answer:
    """An answer's payload."""
    fields, offset = {}, 2
    for _ in range(payload[1]):
        size = payload[offset]
        name = payload[offset + 1 : offset + 1 + size].decode()
        offset += 1 + size
        (size,) = struct.unpack_from(">H", payload, offset)
        fields[name] = payload[offset + 2 : offset + 2 + size].decode()
        offset += 2 + size
    return Answer(payload[0], fields, payload[offset:])


class Client:
    """One connection of a sound client."""

    _calls = itertools.count(int(time.time()) << 24)

    def __init__(self, address: str) -> None:
        self._address = address
        self._last = 0
        self.waiting: dict[int, asyncio.Future[Answer | None]] = {}
        self.closed = False
        self.extra: list[str] = []

    async def connect(self) -> Client:
        """Connect."""
        host, _, port = self._address.rpartition(":")
        self._reader, self.writer = await asyncio.open_connection(host, int(port))
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._task = asyncio.get_running_loop().create_task(self._read())
        return self

    async def _read(self) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                (length,) = struct.unpack(">I", await self._reader.readexactly(4))
                frame = await self._reader.readexactly(length)
                kind, stream = struct.unpack_from(">BI", frame)
                future = self.waiting.pop(stream, None)
                if future is not None and not future.done():
                    future.set_result(
                        decode_answer(frame[5:]) if kind == ANSWER else Answer(frame[5], {}, b"")
                    )
                elif kind != GO_AWAY:
                    self.extra.append(f"type {kind} stream {stream}")
        self.closed = True
        for future in self.waiting.values():
            if not future.done():
                future.set_result(None)

    def new_call(self) -> str:
        """A new request id."""
        return f"{next(self._calls):016x}"

    def send(
        self,
        op: str,
        row: int,
        ttl: int,
        batch: int = 1,
        body: bytes = b"",
        call: str = "",
        **more: str,
    ) -> asyncio.Future[Answer | None]:
        """Send one request; the future has its answer, or None where the connection ended without one."""
        self._last += 1
        fields = {"op": op, "call": call or self.new_call(), "ttl": str(ttl), "row": f"{row:016x}",
                  "nth": "0", "batch": str(batch), "heap": "40", **more}  # fmt: skip
        future: asyncio.Future[Answer | None] = asyncio.get_running_loop().create_future()
        self.waiting[self._last] = future
        self.writer.write(encode_request(self._last, fields, body))
        return future

    async def is_ready(self) -> bool:
        """Ask whether the gateway is ready."""
        self._last += 1
        future: asyncio.Future[Answer | None] = asyncio.get_running_loop().create_future()
        self.waiting[self._last] = future
        self.writer.write(struct.pack(">IBI", 6, READY_CALL, self._last) + b"\0")
        answer = await asyncio.wait_for(future, 2)
        return answer is not None and answer.code == "served"

    def close(self) -> None:
        """Close the connection."""
        self._task.cancel()
        self.writer.close()


def free_port() -> int:
    """A free loopback port."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


class Gateway:
    """One gateway process, started by ``run`` of the deploy file from the root."""

    def __init__(self, record: Record, name: str = "n1") -> None:
        self._record = record
        self.name = name
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.address = f"127.0.0.1:{free_port()}"
        self.process: subprocess.Popen[bytes] | None = None

    def configure(self, settings: dict[str, Any], changelog: ChangeLog, **more: Any) -> None:
        """Write the configuration file."""
        config = {
            "name": self.name, "listen": self.address, "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "changelog": changelog.address,
            "flow_bytes_per_s": 310_000, "link_bytes_per_s": 1_240_000, "known": changelog.page(),
            "settings": settings, **more,
        }  # fmt: skip
        temporary = self.folder / "config.json.new"
        temporary.write_text(json.dumps(config))
        temporary.rename(self.folder / "config.json")

    async def start(self) -> Gateway:
        """Start the process and wait until it says that it is ready."""
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        scratch = self.folder / f"tmp-{time.time_ns()}"
        scratch.mkdir()
        env = {
            key: value
            for key, value in os.environ.items()
            if not key.startswith("EDGE_") and key != "PYTHONPATH"
        }
        env |= {"EDGE_NAME": self.name, "EDGE_LISTEN": self.address, "TMPDIR": str(scratch),
                "EDGE_CONFIG": str(self.folder / "config.json")}  # fmt: skip
        self.log = open(self.folder / "log.txt", "ab")  # noqa: SIM115 - the process writes to it
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", command],
            cwd=ROOT,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
        )
        self._record.write(f"gateway {self.name}: process {self.process.pid} started")
        for _ in range(300):
            await asyncio.sleep(0.1)
            if self.process.poll() is not None:
                raise RuntimeError(f"the gateway ended with {self.process.returncode}")
            with contextlib.suppress(OSError, TimeoutError):
                client = await Client(self.address).connect()
                ready = await client.is_ready()
                client.close()
                if ready:
                    self._record.write(f"gateway {self.name}: ready")
                    return self
        raise RuntimeError("the gateway was not ready in 30 s")

    def memory_mb(self, key: str = "VmRSS") -> float:
        """The resident memory of the process in MB."""
        assert self.process is not None
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith(key):
                    return int(line.split()[1]) / 1024
        return 0.0

    def stop(self) -> None:
        """End the process, and put its log into the record."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
        with contextlib.suppress(OSError):
            lines = (self.folder / "log.txt").read_text("utf-8", "replace").splitlines()
            for line in lines[:60] + (["..."] if len(lines) > 100 else []) + lines[60:][-40:]:
                self._record.write(f"gateway log: {line}")
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder: Path, play: Callable[[Record, Gateway], Awaitable[bool]], most_s: float = 110.0) -> int:
    """Play one case; returns the exit status of its script. ``play`` returns whether the rule held."""
    record = Record(folder)
    gateway = Gateway(record)

    async def bounded() -> bool:
        try:
            return await asyncio.wait_for(play(record, gateway), most_s)
        finally:
            gateway.stop()  # ahead of the stand-ins, so that it does not connect to them as they end
            await asyncio.sleep(0.2)

    try:
        held = asyncio.run(bounded())
    except Exception as error:  # noqa: BLE001 - whatever keeps the case from running is its result
        record.write(f"NOT RUN: {type(error).__name__} {error}")
        print(f"not run: {type(error).__name__} {error}")
        return NOT_RUN
    record.write("HELD" if held else "BROKEN")
    print("held" if held else "broken")
    return HELD if held else BROKEN
