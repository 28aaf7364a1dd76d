"""Stand-ins of the second review: a change log, stores, clients, and the gateway under test.

Everything listens on loopback and on free ports. Each case imports this module and judges only what clients
and stores see.
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
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
HELD, BROKEN, COULD_NOT_RUN = 0, 10, 2  # run.sh ends with 1 for BROKEN; Python ends with 1 by itself
REQUEST, ANSWER, CANCEL, READY_QUESTION, READY_ANSWER, GO_AWAY = 65, 66, 67, 80, 81, 90
SERVED, REFUSED, FAILED = 79, 66, 69
CODES = {SERVED: "served", REFUSED: "refused", FAILED: "failed"}
SECOND = 1_000_000_000  # ns


class CouldNotRunError(Exception):
    """The case could not be played, so it says nothing about the rule."""


def now_ms() -> int:
    """The Unix time in ms."""
    return time.time_ns() // 1_000_000


class Record:
    """The file ``record.txt`` of a case: a line for each thing that was sent, answered or run."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / "record.txt"
        self._path.write_text("")
        self._began = time.time()

    def note(self, text: str) -> None:
        """Write a line with the seconds since the start."""
        with open(self._path, "a", encoding="utf-8") as file:
            file.write(f"{time.time() - self._began:9.4f} {text}\n")


def settings(**changes: Any) -> dict[str, Any]:
    """The settings of a small deployment: two classes of reads, one keyed class of writes, one station."""
    classes = [
        {"name": "firmware-parts", "effect": "pure", "points": 2.0, "aim_ns": 600_000_000, "aim_stretch": 1.6,
         "deadline_ns": 6 * SECOND, "late_share": 0.15},
        {"name": "small-files", "effect": "pure", "points": 1.0, "aim_ns": 300_000_000, "aim_stretch": 2.0,
         "deadline_ns": 3 * SECOND, "late_share": 0.2},
        {"name": "session-close", "effect": "token", "points": 3.0, "aim_ns": 600_000_000,
         "deadline_ns": 3 * SECOND, "late_share": 0.0},
    ]  # fmt: skip
    for entry in classes:
        entry |= {"dedup_scope": "all", "key_ttl_ns": 6 * SECOND, "stream": False}
    result: dict[str, Any] = {
        "bounds": {"cancelling": True, "cpu_us_per_request": 0.0, "cpu_us_per_s": 400_000,
                   "dial_timeout_ns": 400_000_000, "idle_close_ns": 15 * SECOND, "max_attempts": 8,
                   "max_open": 20_000, "max_retry_after_ns": 500_000_000, "peer_messages": False,
                   "probes": False, "retry_after": True, "second_copies": True, "streams_per_conn": 32},
        "classes": classes,
        "clients": {"marks_retry": True},
        "domain_type": "edge",
        "feedback": {"names": ["inflight", "x0"], "source": "inline"},
        "fees": {"cross_zone": 0.01, "late_fail": 0.11, "origin": 0.16, "waste": 0.18},
        "goal": {"whole": 0.5, "worst_class": 0.2, "worst_tenant": 0.0, "worst_window": 0.3},
        "group_size": 1, "layer": 0, "me": 0, "membership_mode": "push", "over_share_worth": 0.1,
        "models": ["std", "parent", "origin"],
        "rules": {"cold_ns": 17 * SECOND, "cold_share": 0.23, "drain_grace_ns": 250_000_000,
                  "fall_multiple": 4.0, "fall_ns": 1_500_000_000, "grace_to_answer_ns": 8_000_000,
                  "must_ask_in_ns": 10 * SECOND},
        "specifics": {"class_write": [False, False, True], "detail": "off",
                      "fresh_for_ns": [0, 12 * SECOND, 0], "gone_everywhere_ns": 6 * SECOND,
                      "home_hub": [0, 0], "inlet_kb_per_s": [0.0, 0.0], "instances_by_zone": [0, 1],
                      "joins": True, "may_pass_by": False, "multi_part": [True, False, False],
                      "old_copy_worth": [0.7, 0.7, 0.7], "origin_fall_ns": 3 * SECOND,
                      "origin_stops_at": 2.5, "pace_kb_per_s": 4100.0, "parent_breaks_at": 2.0,
                      "parent_warms_in_ns": 19 * SECOND, "peers_fill": "any", "price_of_link": 0.06,
                      "purge_grace_ns": 300_000_000, "store_kind": 2, "upper_cold_from": 0.067,
                      "upper_kind": 1, "usable_after_ns": [0, 0, 0]},
        "tenants": [], "tick_ns": 2_000_000, "tiers": ["edge-cache"], "value_by": "request",
        "weight_source": "rough", "zone": 1, "zones": ["north", "edge-1"],
    }  # fmt: skip
    for section, values in changes.items():
        result[section] |= values
    return result


def body_of(name: str, part: str, size: int = 2_000) -> bytes:
    """The bytes of a part as the origin has them; they name the object and the part."""
    mark = f"<{name}/{part}>".encode()
    return (mark * (size // len(mark) + 1))[:size]


@dataclass(frozen=True)
class StoreRequest:
    """A request as a store received it."""

    class_name: str
    name: str
    part: str
    fields: dict[str, str]
    body: bytes
    began_ms: int  # when its first byte was read


def answer(status: int, body: bytes = b"", **fields: Any) -> bytes:
    """An HTTP/1.1 answer of a store."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


def ok(body: bytes, tag: str = "t1", born_ms: int | None = None) -> bytes:
    """A store's answer 200 with the bytes."""
    return answer(200, body, ETag=tag, X_Born_Ms=now_ms() if born_ms is None else born_ms)


Reply = Callable[[StoreRequest, asyncio.StreamWriter], Awaitable[None]]


class Listener:
    """A server on a free loopback port, whose handler errors are ignored."""

    def __init__(self) -> None:
        self.address = ""
        self.writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.AbstractServer | None = None

    async def listen(self, address: str = "127.0.0.1:0") -> None:
        """Listen at the address; port 0 is a free one."""
        host, port = address.split(":")
        self._server = await asyncio.start_server(self._serve, host, int(port), limit=1 << 20)
        self.address = "%s:%d" % self._server.sockets[0].getsockname()[:2]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self.handle(reader, writer)
        except (OSError, EOFError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection to its end."""
        raise NotImplementedError

    def stop_listening(self) -> None:
        """Refuse connections from now on; open ones stay."""
        if self._server is not None:
            for sock in self._server.sockets:
                asyncio.get_running_loop().remove_reader(sock.fileno())
            self._server.close()
            self._server = None


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], int] | None:
    """A request's target, its fields, and when its first byte was read; None at the close."""
    first = await reader.read(1)
    if not first:
        return None
    began = now_ms()
    lines = (first + await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.lower()] = value.strip()
    return lines[0].split()[1], fields, began


class Store(Listener):
    """A store, parent or origin: one request at a time on a connection; ``reply`` writes the answer."""

    def __init__(self, record: Record, store_id: str, reply: Reply) -> None:
        super().__init__()
        self.record, self.id, self.reply = record, store_id, reply

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection to its end."""
        while (head := await read_head(reader)) is not None:
            target, fields, began = head
            body = await reader.readexactly(int(fields.get("content-length", 0)))
            _, _, _, class_name, name, part = target.split("/")
            request = StoreRequest(class_name, name, part, fields, body, began)
            extra = {k: fields[k] for k in ("x-fill-from", "x-replay-key", "x-max-age-ms") if k in fields}
            self.record.note(f"{self.id} <- {class_name} {name}/{part} id {fields['x-hop-id']} {extra or ''}")
            await self.reply(request, writer)
            await writer.drain()


class ChangeLog(Listener):
    """A sound change log: numbered events by long polls; it can be down for a while."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.record = record
        self.events: list[dict[str, Any]] = []
        self._changed = asyncio.Condition()

    def page(self, since: int = 0) -> dict[str, Any]:
        """The events after ``since`` in the form of the protocol."""
        return {"seq": len(self.events), "results": self.events[since:]}

    async def add(self, **event: Any) -> None:
        """Append an event and answer the polls that wait."""
        async with self._changed:
            self.events.append({"seq": len(self.events) + 1, **event})
            self.record.note(f"change log: event {json.dumps(self.events[-1])[:300]}")
            self._changed.notify_all()

    def go_down(self) -> None:
        """End all connections, and refuse new ones."""
        self.stop_listening()
        for writer in list(self.writers):
            writer.transport.abort()
        self.record.note("change log: is down")

    async def come_back(self) -> None:
        """Listen at the same address again."""
        await self.listen(self.address)
        self.record.note("change log: is back")

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the polls of one connection."""
        while (head := await read_head(reader)) is not None:
            query = dict(part.split("=") for part in head[0].split("?")[1].split("&"))
            since, wait = int(query["since"]), min(5_000, int(query["timeout"]))
            async with self._changed:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(
                        self._changed.wait_for(lambda since=since: len(self.events) > since), wait / 1000
                    )
            await self.respond(since, writer)

    async def respond(self, since: int, writer: asyncio.StreamWriter) -> None:
        """Write the answer to a poll."""
        writer.write(answer(200, json.dumps(self.page(since), separators=(",", ":")).encode()))
        await writer.drain()


def instance(store_id: str, address: str, kind: str = "std", **changes: Any) -> dict[str, Any]:
    """One entry of the list of stores."""
    zone = "edge-1" if kind == "std" else "north"
    return {"instanceId": store_id, "hostPort": address, "zone": zone, "machineType": kind, "cell": 0,
            "lifecycle": "Ready", "weight": 8, "startedAtMs": 0} | changes  # fmt: skip


@dataclass
class Answer:
    """A gateway's answer as the client read it; ``code`` 0: the connection ended without one."""

    code: int
    fields: dict[str, str]
    body: bytes
    sent_ms: int
    got_ms: int

    @property
    def word(self) -> str:
        """The code in words."""
        return CODES.get(self.code, "lost" if not self.code else f"code {self.code}")


_CALLS = itertools.count(1)


def encode_fields(fields: dict[str, str]) -> bytes:
    """Fields in the clients' frames."""
    parts = [bytes((len(fields),))]
    for name, value in fields.items():
        parts.append(bytes((len(name),)) + name.encode() + struct.pack(">H", len(value)) + value.encode())
    return b"".join(parts)


def decode_fields(payload: bytes) -> tuple[dict[str, str], bytes]:
    """The fields of a payload, and what follows them."""
    fields, offset = {}, 1
    for _ in range(payload[0]):
        size = payload[offset]
        name = payload[offset + 1 : offset + 1 + size].decode()
        offset += 1 + size
        (size,) = struct.unpack_from(">H", payload, offset)
        fields[name] = payload[offset + 2 : offset + 2 + size].decode()
        offset += 2 + size
    return fields, payload[offset:]


class Client:
    """A client's connection. ``bytes_per_s`` limits how fast it reads; 0: as fast as it can."""

    def __init__(self, record: Record, name: str, bytes_per_s: int = 0) -> None:
        self.record, self.name, self.bytes_per_s = record, name, bytes_per_s
        self.ended = False
        self.error_frames: list[str] = []
        self._stream = 0
        self._open: dict[int, tuple[asyncio.Future[Answer], int]] = {}

    async def connect(self, port: int, receive_buffer: int = 0) -> None:
        """Connect to the gateway."""
        sock = socket.socket()
        if receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", port))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        limit = 16_384 if self.bytes_per_s else 1 << 20
        self._reader, self._writer = await asyncio.open_connection(sock=sock, limit=limit)
        self._task = asyncio.create_task(self._read())

    def send(
        self, op: str, row: int, part: int = 0, ttl: int = 3_000, body: bytes = b"", **fields: str
    ) -> tuple[int, str, asyncio.Future[Answer]]:
        """Send a request; returns its stream, its id and the future answer."""
        self._stream += 1
        call = f"{os.getpid() & 0xFFFF:04x}{next(_CALLS):012x}"
        values = {"op": op, "call": call, "ttl": str(ttl), "row": f"{row:016x}", "nth": str(part)}
        values |= {"batch": "17", "heap": "20.0"} | fields
        payload = struct.pack(">BI", REQUEST, self._stream) + encode_fields(values) + body
        future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self._open[self._stream] = future, now_ms()
        self.record.note(f"{self.name} -> {op} {row:016x}/{part} id {call} ttl {ttl} {fields or ''}")
        if not self.ended:
            self._writer.write(struct.pack(">I", len(payload)) + payload)
        else:
            self._lose_all()
        return self._stream, call, future

    @property
    def open_requests(self) -> int:
        """The number of requests without an answer."""
        return len(self._open)

    def cancel(self, stream: int) -> None:
        """Stop waiting for a request."""
        self._open.pop(stream, None)
        self.record.note(f"{self.name} -> gives up stream {stream}")
        self._writer.write(struct.pack(">IBI", 5, CANCEL, stream))

    async def _read_exactly(self, size: int) -> bytes:
        data = b""
        while len(data) < size:
            step = min(size - len(data), 10_000 if self.bytes_per_s else 1 << 20)
            chunk = await self._reader.readexactly(step)
            data += chunk
            if self.bytes_per_s:
                await asyncio.sleep(len(chunk) / self.bytes_per_s)
        return data

    async def _read(self) -> None:
        try:
            while True:
                (size,) = struct.unpack(">I", await self._read_exactly(4))
                if not 5 <= size <= 262_144:
                    self.record.note(f"{self.name} <- a frame of {size} bytes: can't be read")
                    break
                frame = await self._read_exactly(size)
                self._frame(frame[0], int.from_bytes(frame[1:5], "big"), frame[5:])
        except (OSError, EOFError, asyncio.IncompleteReadError) as error:
            self.record.note(f"{self.name} <- the connection ended: {type(error).__name__}")
        self.ended = True
        self._lose_all()
        self._writer.close()

    def _frame(self, kind: int, stream: int, payload: bytes) -> None:
        if kind != ANSWER or stream not in self._open:
            self.record.note(f"{self.name} <- frame {kind} on stream {stream} {payload[:80]!r}")
            return
        future, sent = self._open.pop(stream)
        fields, body = decode_fields(payload[1:])
        got = Answer(payload[0], fields, body, sent, now_ms())
        self.record.note(
            f"{self.name} <- stream {stream} {got.word} {fields or ''} {len(body)} bytes {body[:32]!r} "
            f"after {got.got_ms - sent} ms"
        )
        if not future.done():
            future.set_result(got)

    def _lose_all(self) -> None:
        for stream, (future, sent) in self._open.items():
            self.record.note(f"{self.name} <- stream {stream} has no answer: its connection ended")
            if not future.done():
                future.set_result(Answer(0, {}, b"", sent, now_ms()))
        self._open.clear()

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


@dataclass
class Gateway:
    """A gateway process, started by ``run`` of the deploy file."""

    record: Record
    folder: Path
    log: ChangeLog
    settings: dict[str, Any]
    limits: dict[str, Any] = field(default_factory=lambda: {"cores": 1.0, "memory_mb": 192, "sockets": 1024})
    extra: dict[str, Any] = field(default_factory=dict)
    port: int = 0
    process: asyncio.subprocess.Process | None = None

    async def start(self, known: dict[str, Any] | None = None) -> None:
        """Start it and wait until it says that it is ready."""
        if not self.port:
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", 0))
                self.port = probe.getsockname()[1]
        self.write_config(known)
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        env = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")}
        env |= {"EDGE_CONFIG": str(self.folder / "config.json"), "EDGE_NAME": "n1"}
        env |= {"EDGE_LISTEN": f"127.0.0.1:{self.port}", "TMPDIR": str(self.folder)}
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=env, stderr=asyncio.subprocess.PIPE
        )
        self._task = asyncio.create_task(self._log(self.process))
        await self._wait_ready()

    def write_config(self, known: dict[str, Any] | None = None) -> None:
        """Write the configuration file, whole."""
        config = {"name": "n1", "listen": f"127.0.0.1:{self.port}", "seed": "8c1f30d27a5be964",
                  "limits": self.limits, "changelog": self.log.address, "flow_bytes_per_s": 310_000,
                  "link_bytes_per_s": 1_240_000, "known": known or self.log.page(),
                  "settings": self.settings, **self.extra}  # fmt: skip
        temporary = self.folder / "config.json.new"
        temporary.write_text(json.dumps(config))
        temporary.rename(self.folder / "config.json")

    async def _log(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        async for line in process.stderr:
            self.record.note(f"gateway: {line.decode().rstrip()}")

    async def _wait_ready(self) -> None:
        for _ in range(300):
            await asyncio.sleep(0.05)
            if self.process is None or self.process.returncode is not None:
                raise CouldNotRunError("the gateway has ended")
            with contextlib.suppress(OSError, EOFError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(struct.pack(">IBIB", 6, READY_QUESTION, 0, 0))
                frame = await asyncio.wait_for(reader.readexactly(10), 2)
                writer.close()
                if frame[4] == READY_ANSWER and frame[9] == SERVED:
                    self.record.note("the gateway is ready")
                    return
        raise CouldNotRunError("the gateway was not ready within 15 s")

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    async def stop(self) -> None:
        """Kill the process, if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


class Case:
    """What a case needs: its record, a temporary folder, and whether the disruption is played."""

    def __init__(self, folder: Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(folder)
        self.temporary = Path(tempfile.mkdtemp(prefix="review-2-"))
        self.gateways: list[Gateway] = []
        self.log = ChangeLog(self.record)
        self.stores: list[Store] = []

    async def store(self, store_id: str, reply: Reply) -> Store:
        """Start a store."""
        store = Store(self.record, store_id, reply)
        await store.listen()
        self.stores.append(store)
        return store

    async def platform(self, reply_of: Callable[[str], Reply]) -> list[Store]:
        """Start three stores of the station, a parent, an origin and the change log that lists them."""
        stores = [await self.store(f"s-{n}", reply_of(f"s-{n}")) for n in range(3)]
        parent, origin = await self.store("p-0", reply_of("p-0")), await self.store("o-0", reply_of("o-0"))
        listed = [instance(store.id, store.address) for store in stores]
        listed += [instance("p-0", parent.address, "parent"), instance("o-0", origin.address, "origin")]
        await self.log.listen()
        await self.log.add(fleet={"generation": 1, "reset": True, "instances": listed})
        return stores

    async def connect(self, name: str, port: int, bytes_per_s: int = 0, receive_buffer: int = 0) -> Client:
        """Connect a client to a gateway."""
        client = Client(self.record, name, bytes_per_s)
        await client.connect(port, receive_buffer)
        return client

    def gateway(self, gateway_settings: dict[str, Any], **options: Any) -> Gateway:
        """A gateway that is not started yet."""
        gateway = Gateway(self.record, self.temporary, self.log, gateway_settings, **options)
        self.gateways.append(gateway)
        return gateway


class Release:
    """A release in a large fleet: stores of other stations are replaced step by step.

    All but the six stores of ``own_platform`` are entries of the list alone, as nobody asks them.
    """

    STORES = 3_200  # in the list, parent and origin included
    REPLACED = 1_920  # six in ten
    SECONDS = 7.0

    def __init__(self, case: Case, step: int) -> None:
        self._case, self._step = case, step
        self._address = ""
        self._old = [f"s-{number:08x}" for number in range(self.STORES - 6)]

    async def own_platform(self, reply_of: Callable[[str], Reply]) -> list[Store]:
        """Start the four stores of the gateway's station, a parent, an origin and the change log."""
        case = self._case
        own = [await case.store(f"own-{n}", reply_of(f"own-{n}")) for n in range(4)]
        parent, origin = await case.store("p-0", reply_of("p-0")), await case.store("o-0", reply_of("o-0"))
        self._address = (await case.store("others", reply_of("others"))).address
        listed = [instance(store.id, store.address) for store in own]
        listed += [self._entry(store_id, "Ready") for store_id in self._old]
        listed += [instance("p-0", parent.address, "parent"), instance("o-0", origin.address, "origin")]
        await case.log.listen()
        await case.log.add(fleet={"generation": 1, "reset": True, "instances": listed})
        return own

    def settings(self) -> dict[str, Any]:
        """Settings with a second station, that of the replaced stores."""
        result = settings(specifics={"home_hub": [0, 0, 0], "instances_by_zone": [0, 1, 1]})
        result["specifics"]["inlet_kb_per_s"] = [0.0] * 3
        result["zones"] = ["north", "edge-1", "edge-2"]
        return result

    async def play(self) -> None:
        """Replace the stores: in each step some drain, their successors start, and they are gone."""
        for first in range(0, self.REPLACED, self._step):
            names = self._old[first : first + self._step]
            await self.change([self._entry(name, "Terminating") for name in names])
            await self.change([self._entry(f"n{name[1:]}", "Ready", now_ms()) for name in names])
            await self.change([self._entry(name, "Gone") for name in names])
            await asyncio.sleep(self.SECONDS / (self.REPLACED / self._step))

    async def change(self, instances: list[dict[str, Any]]) -> None:
        """Add a change of the list to the change log."""
        generation = len(self._case.log.events) + 1
        await self._case.log.add(fleet={"generation": generation, "reset": False, "instances": instances})

    def _entry(self, store_id: str, lifecycle: str, started_ms: int = 0) -> dict[str, Any]:
        return instance(store_id, self._address, zone="edge-2", lifecycle=lifecycle, startedAtMs=started_ms)


def main(file: str, play: Callable[[Case], Awaitable[list[str]]]) -> None:
    """Play a case and exit with its verdict; ``play`` returns one line for each time the rule was broken."""
    sys.exit(asyncio.run(_main(Path(file).resolve().parent, play)))


async def _main(folder: Path, play: Callable[[Case], Awaitable[list[str]]]) -> int:
    case = Case(folder)
    try:
        broken = await asyncio.wait_for(play(case), 110)
    except Exception as error:  # noqa: BLE001 - a fault of the script is no broken rule
        text, verdict = f"the case could not run: {type(error).__name__} {error}", COULD_NOT_RUN
    else:
        for line in broken:
            case.record.note(f"BROKEN: {line}")
        text = f"the rule was broken {len(broken)} times" if broken else "the rule held"
        verdict = BROKEN if broken else HELD
    finally:
        for gateway in case.gateways:
            await gateway.stop()
        shutil.rmtree(case.temporary, ignore_errors=True)
    case.record.note(text)
    print(f"{folder.name}: {text}")
    return verdict
