"""Stand-in stores over HTTP/1.1, with one request at a time on each connection."""

from __future__ import annotations

import asyncio
import random
import re
import time
from typing import Any

from hallproxy.lab.soak.plan import StoreMode
from hallproxy.lab.soak.rules import Rules, SentAttempt
from hallproxy.lab.soak.server import StandinServer

HEAD_END = b"\r\n\r\n"
REQUEST = re.compile(rb"GET /v2/q/(\w+)/([0-9a-f]{16})/(\d+) HTTP/1\.1\r\n")
FIELD = re.compile(rb"([A-Za-z-]+): ([^\r]*)\r\n")
NORMAL_DELAY, SLOW_DELAY = 0.01, 0.8  # s, mean
FRESH_FOR_MS = {"small": 2_000}
COPY_RETENTION_MS = 4_000  # a store drops a purged copy at the latest after this
BODY_BYTES = 600
NO_EFFECT = b"X-No-Effect: 1\r\n"


def object_body(object_name: str, part: int, generated_at_ms: int) -> bytes:
    """The body that a store generates for an object's part at a time; clients check it."""
    return f"{object_name} {part} {generated_at_ms} ".encode().ljust(BODY_BYTES, b".")


class StoreStandin:
    """One store: its address, its copies and how it handles requests."""

    def __init__(self, name: str, rules: Rules, rng: random.Random) -> None:
        self.name = name
        self.mode = StoreMode.NORMAL
        self._rules = rules
        self._rng = rng
        self._copies: dict[tuple[str, str, int], int] = {}  # (class, object, part) -> generated at (Unix ms)
        self._server = StandinServer(self._serve)

    async def start(self) -> None:
        """Start listening; a restart uses the same port."""
        await self._server.start(self._server.port)

    def stop(self) -> None:
        """Simulate the end of the process: reset connections, refuse new ones, drop all copies."""
        self._server.stop()
        self._copies.clear()

    def set_mode(self, mode: StoreMode) -> None:
        """Change how new requests are handled; requests left without a response stay so."""
        self.mode = mode

    def instance_entry(
        self, lifecycle: str = "Ready", started_at_ms: int = 0, kind: str = "std"
    ) -> dict[str, Any]:
        """The store's entry in the list of instances."""
        return {"instanceId": self.name, "hostPort": f"127.0.0.1:{self._server.port}", "zone": "zone-0",
                "machineType": kind, "cell": 0, "lifecycle": lifecycle, "weight": 100.0,
                "startedAtMs": started_at_ms}  # fmt: skip

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        attempt: SentAttempt | None = None
        try:
            while True:
                attempt = None
                first = await reader.readexactly(1)
                began_at = time.time()
                head = first + await reader.readuntil(HEAD_END)
                fields = {name.lower().decode(): value.decode() for name, value in FIELD.findall(head)}
                await reader.readexactly(int(fields.get("content-length", "0")))
                request = REQUEST.match(head)
                if request is None:
                    self._rules.violate("form", f"received an invalid request: {head[:80]!r}")
                    return
                class_name, name, part = request[1].decode(), request[2].decode(), int(request[3])
                attempt = self._rules.attempt_received(
                    fields["x-hop-id"], class_name, self.name, fields.get("x-fill-from", ""), began_at
                )
                key = class_name, name, part
                if not await self._respond(reader, writer, attempt, key, fields, began_at):
                    return
        finally:
            if attempt is not None:
                attempt.in_flight = False

    async def _respond(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        attempt: SentAttempt,
        key: tuple[str, str, int],
        fields: dict[str, str],
        began_at: float,
    ) -> bool:
        """Respond according to the mode; return False to close the connection."""
        mode = self.mode
        if mode is StoreMode.UNRESPONSIVE:
            await reader.read(1)  # until the gateway abandons the attempt
            return False
        if mode is StoreMode.RESETTING:
            writer.transport.abort()
            return False
        delay = self._rng.expovariate(1.0 / (SLOW_DELAY if mode is StoreMode.SLOW else NORMAL_DELAY))
        if not await self._wait(reader, delay):
            return False
        if mode in (StoreMode.FULL, StoreMode.FAILING):
            attempt.proved_not_run = mode is StoreMode.FULL
            status = b"503 X\r\n" + NO_EFFECT if mode is StoreMode.FULL else b"500 X\r\n"
            attempt.in_flight = False
            writer.write(b"HTTP/1.1 " + status + b"Content-Length: 0\r\n\r\n")
            return True
        response = self._ok_response(key, fields, began_at)
        if mode is StoreMode.TRUNCATED:
            writer.write(response[: len(response) * 2 // 3])
            return False
        attempt.in_flight = False
        writer.write(response)
        return True

    @staticmethod
    async def _wait(reader: asyncio.StreamReader, delay: float) -> bool:
        """Wait out the processing time; return False if the gateway abandons the attempt meanwhile."""
        try:
            await asyncio.wait_for(reader.read(1), delay)
        except TimeoutError:
            return True
        return False

    def _ok_response(self, key: tuple[str, str, int], fields: dict[str, str], began_at: float) -> bytes:
        class_name, name, part = key
        now_ms = time.time_ns() // 1_000_000
        generated_at_ms = self._copies.get(key, 0)
        max_age_ms = int(fields.get("x-max-age-ms", "0")) or FRESH_FOR_MS.get(class_name, 1 << 62)
        if (
            not generated_at_ms
            or now_ms - generated_at_ms > max_age_ms
            or self._is_purged(name, generated_at_ms, now_ms)
        ):
            generated_at_ms = self._copies[key] = now_ms
        object_id = int(name, 16)
        self._rules.copy_used(fields["x-hop-id"], object_id, object_id % 3, generated_at_ms, began_at)
        body = object_body(name, part, generated_at_ms)
        head = f'HTTP/1.1 200 OK\r\nETag: "{generated_at_ms:x}"\r\nX-Born-Ms: {generated_at_ms}\r\n'
        return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body

    def _is_purged(self, name: str, generated_at_ms: int, now_ms: int) -> bool:
        """Whether a purge of the object has reached this store."""
        object_id = int(name, 16)
        return any(
            purge.covers(object_id, object_id % 3)
            and generated_at_ms < purge.made_at_ms < now_ms - COPY_RETENTION_MS
            for purge in self._rules.purges
        )
