"""The stand-in change log: long polls over HTTP/1.1, silent or down for a while, at new addresses."""

from __future__ import annotations

import asyncio
import json
import re
import time
from typing import Any

from hallproxy.lab.soak.plan import LogMode
from hallproxy.lab.soak.rules import NotifiedPurge, Rules
from hallproxy.lab.soak.server import StandinServer

MS = 0.001  # s
HEAD_END = b"\r\n\r\n"
POLL = re.compile(rb"GET /changes\?since=(\d+)&timeout=(\d+) HTTP/1\.1\r\n")


class ChangeLogStandin:
    """Numbered events; what a gateway is told is told to the rules with its time."""

    def __init__(self, rules: Rules) -> None:
        self._rules = rules
        self.events: list[dict[str, Any]] = []
        self.mode = LogMode.GOOD
        self._notified = 0  # number of the last event that the gateway has
        self._sent: dict[asyncio.StreamWriter, tuple[int, float]] = {}  # last number sent there, and when
        self._more = asyncio.Event()
        self._server = StandinServer(self._serve)

    @property
    def address(self) -> str:
        """HOST:PORT of now."""
        return f"127.0.0.1:{self._server.port}"

    async def start(self) -> None:
        """Listen at a new port."""
        await self._server.start()

    def add(self, **event: Any) -> None:
        """Add an event with the next number."""
        self.events.append({"seq": len(self.events) + 1, **event})
        self._wake()

    def page(self, since: int = 0) -> dict[str, Any]:
        """The events after a number."""
        return {"seq": len(self.events), "results": self.events[since:]}

    async def set_mode(self, mode: LogMode) -> None:
        """Change how polls are treated; what is open and waits is treated so as well."""
        was, self.mode = self.mode, mode
        if mode is LogMode.DOWN:
            self.stop()
        elif was is LogMode.DOWN:
            await self._server.start(self._server.port)
        self._wake()

    async def move(self) -> None:
        """Go to a new address; connections to the former one stay open and silent."""
        self._server.close_port()
        self._server.connections.clear()
        await self.start()

    def stop(self) -> None:
        """Close the port and reset what is open."""
        self._server.stop()

    def _wake(self) -> None:
        self._more.set()
        self._more = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head = await reader.readuntil(HEAD_END)
            poll = POLL.match(head)
            if poll is None:
                self._rules.violate("form", f"a poll that can't be read: {head[:80]!r}")
                return
            self._note_notified(writer, int(poll[1]))
            await self._answer(writer, int(poll[1]), int(poll[2]) * MS)

    async def _answer(self, writer: asyncio.StreamWriter, since: int, wait: float) -> None:
        until = asyncio.get_running_loop().time() + wait
        while (
            self.mode is not LogMode.GOOD
            or writer not in self._server.connections
            or since >= len(self.events)
        ):
            left = until - asyncio.get_running_loop().time()
            silent = self.mode is not LogMode.GOOD or writer not in self._server.connections
            if left <= 0 and not silent:
                break
            more = self._more
            try:
                await asyncio.wait_for(more.wait(), None if silent else left)
            except TimeoutError:
                break
        body = json.dumps(self.page(since)).encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        self._sent[writer] = len(self.events), time.time()

    def _note_notified(self, writer: asyncio.StreamWriter, since: int) -> None:
        """A poll shows that the answer ahead of it here has arrived, and what the gateway holds."""
        last, sent_at = self._sent.get(writer, (0, 0.0))
        if since > last:
            # Its page came by another connection, at the latest now.
            last, sent_at = (
                since,
                max((at for n, at in self._sent.values() if n >= since), default=time.time()),
            )
        for event in self.events[self._notified : last]:
            for line in event.get("fleet", {}).get("instances", ()):
                self._rules.store_notified(line["instanceId"], line["lifecycle"] != "Ready", sent_at)
            purge = event.get("invalidate")
            if purge is not None:
                object_id = int(purge["object"] or "0", 16)
                self._rules.purges.append(NotifiedPurge(object_id, purge["bucket"], purge["time"], sent_at))
        self._notified = max(self._notified, last)
