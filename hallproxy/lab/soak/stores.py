"""Stand-in stores over HTTP/1.1, one request at a time on a connection."""

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
USUAL_DELAY, SLOW_DELAY = 0.01, 0.8  # s, means
FRESH_FOR_MS = {"small": 2_000}
COPY_RETENTION_MS = 4_000  # a copy that was purged goes by then by itself
BODY_BYTES = 600
NO_EFFECT = b"X-No-Effect: 1\r\n"


def body_of(object_name: str, part: int, born_ms: int) -> bytes:
    """What a store made at that time of the object's part; clients look whether it is so."""
    return f"{object_name} {part} {born_ms} ".encode().ljust(BODY_BYTES, b".")


class StoreStandin:
    """One store's process: its address, its copies and how it treats requests."""

    def __init__(self, name: str, rules: Rules, drawn: random.Random) -> None:
        self.name = name
        self.mode = StoreMode.GOOD
        self._rules = rules
        self._drawn = drawn
        self._copies: dict[tuple[str, str, int], int] = {}  # class, object, part -> born (Unix ms)
        self._server = StandinServer(self._serve)

    async def start(self) -> None:
        """Listen, at the same port after a restart."""
        await self._server.start(self._server.port)

    def stop(self) -> None:
        """End the process: its connections are reset, connects refused, its copies gone."""
        self._server.stop()
        self._copies.clear()

    def set_mode(self, mode: StoreMode) -> None:
        """Change how requests are treated from now on; those that are silent go on being so."""
        self.mode = mode

    def line(self, lifecycle: str = "Ready", started_at_ms: int = 0, kind: str = "std") -> dict[str, Any]:
        """Its line in the list."""
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
                    self._rules.violate("form", f"a request that can't be read: {head[:80]!r}")
                    return
                class_name, name, part = request[1].decode(), request[2].decode(), int(request[3])
                attempt = self._rules.attempt_received(
                    fields["x-hop-id"], class_name, self.name, fields.get("x-fill-from", ""), began_at
                )
                key = class_name, name, part
                if not await self._answer(reader, writer, attempt, key, fields, began_at):
                    return
        finally:
            if attempt is not None:
                attempt.is_out = False

    async def _answer(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        attempt: SentAttempt,
        key: tuple[str, str, int],
        fields: dict[str, str],
        began_at: float,
    ) -> bool:
        """Answer as the mode says; false: the connection ends."""
        mode = self.mode
        if mode is StoreMode.SILENT:
            await reader.read(1)  # until the gateway gives it up
            return False
        if mode is StoreMode.BREAKING:
            writer.transport.abort()
            return False
        delay = self._drawn.expovariate(1.0 / (SLOW_DELAY if mode is StoreMode.SLOW else USUAL_DELAY))
        if not await self._wait(reader, delay):
            return False
        if mode in (StoreMode.FULL, StoreMode.FAILING):
            attempt.proved_not_run = mode is StoreMode.FULL
            status = b"503 X\r\n" + NO_EFFECT if mode is StoreMode.FULL else b"500 X\r\n"
            attempt.is_out = False
            writer.write(b"HTTP/1.1 " + status + b"Content-Length: 0\r\n\r\n")
            return True
        answer = self._good_answer(key, fields, began_at)
        if mode is StoreMode.HALF:
            writer.write(answer[: len(answer) * 2 // 3])
            return False
        attempt.is_out = False
        writer.write(answer)
        return True

    @staticmethod
    async def _wait(reader: asyncio.StreamReader, delay: float) -> bool:
        """Work for so long; false: the gateway has given the attempt up meanwhile."""
        try:
            await asyncio.wait_for(reader.read(1), delay)
        except TimeoutError:
            return True
        return False

    def _good_answer(self, key: tuple[str, str, int], fields: dict[str, str], began_at: float) -> bytes:
        class_name, name, part = key
        now_ms = time.time_ns() // 1_000_000
        born_ms = self._copies.get(key, 0)
        most_ms = int(fields.get("x-max-age-ms", "0")) or FRESH_FOR_MS.get(class_name, 1 << 62)
        if not born_ms or now_ms - born_ms > most_ms or self._is_dropped(name, born_ms, now_ms):
            born_ms = self._copies[key] = now_ms
        object_id = int(name, 16)
        self._rules.copy_used(fields["x-hop-id"], object_id, object_id % 3, born_ms, began_at)
        body = body_of(name, part, born_ms)
        head = f'HTTP/1.1 200 OK\r\nETag: "{born_ms:x}"\r\nX-Born-Ms: {born_ms}\r\n'
        return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body

    def _is_dropped(self, name: str, born_ms: int, now_ms: int) -> bool:
        """Whether a purge of it has reached this store by now."""
        object_id = int(name, 16)
        return any(
            purge.concerns(object_id, object_id % 3)
            and born_ms < purge.made_at_ms < now_ms - COPY_RETENTION_MS
            for purge in self._rules.purges
        )
