"""The stand-in change log: long polls over HTTP/1.1, with unresponsive and down modes and address changes."""

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
    """Serves numbered events and reports to the rules when the gateway was notified of each."""

    def __init__(self, rules: Rules) -> None:
        self._rules = rules
        self.events: list[dict[str, Any]] = []
        self.mode = LogMode.NORMAL
        self._notified = 0  # number of the last event that the gateway has received
        self._sent: dict[asyncio.StreamWriter, tuple[int, float]] = {}  # last event number sent, and when
        self._changed = asyncio.Event()
        self._server = StandinServer(self._serve)

    @property
    def address(self) -> str:
        """The current address as HOST:PORT."""
        return f"127.0.0.1:{self._server.port}"

    async def start(self) -> None:
        """Listen on a new port."""
        await self._server.start()

    def add(self, **event: Any) -> None:
        """Add an event with the next number."""
        self.events.append({"seq": len(self.events) + 1, **event})
        self._wake()

    def page(self, since: int = 0) -> dict[str, Any]:
        """The events after ``since``, as a response body."""
        return {"seq": len(self.events), "results": self.events[since:]}

    async def set_mode(self, mode: LogMode) -> None:
        """Change how polls are handled, including those that are waiting."""
        previous_mode, self.mode = self.mode, mode
        if mode is LogMode.DOWN:
            self.stop()
        elif previous_mode is LogMode.DOWN:
            await self._server.start(self._server.port)
        self._wake()

    async def move(self) -> None:
        """Move to a new address; connections to the old one stay open without a response."""
        self._server.close_port()
        self._server.connections.clear()
        await self.start()

    def stop(self) -> None:
        """Close the port and reset the open connections."""
        self._server.stop()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head = await reader.readuntil(HEAD_END)
            poll = POLL.match(head)
            if poll is None:
                self._rules.violate("form", f"received an invalid poll: {head[:80]!r}")
                return
            self._record_notified(writer, int(poll[1]))
            await self._answer(writer, int(poll[1]), int(poll[2]) * MS)

    async def _answer(self, writer: asyncio.StreamWriter, since: int, wait: float) -> None:
        deadline = asyncio.get_running_loop().time() + wait
        while (
            self.mode is not LogMode.NORMAL
            or writer not in self._server.connections
            or since >= len(self.events)
        ):
            remaining = deadline - asyncio.get_running_loop().time()
            unresponsive = self.mode is not LogMode.NORMAL or writer not in self._server.connections
            if remaining <= 0 and not unresponsive:
                break
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), None if unresponsive else remaining)
            except TimeoutError:
                break
        body = json.dumps(self.page(since)).encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        self._sent[writer] = len(self.events), time.time()

    def _record_notified(self, writer: asyncio.StreamWriter, since: int) -> None:
        """Record what a poll proves to have arrived: the last response on its connection, and ``since``."""
        last, sent_at = self._sent.get(writer, (0, 0.0))
        if since > last:
            # The page arrived over another connection, now at the latest.
            last, sent_at = (
                since,
                max((at for n, at in self._sent.values() if n >= since), default=time.time()),
            )
        for event in self.events[self._notified : last]:
            for entry in event.get("fleet", {}).get("instances", ()):
                self._rules.store_notified(entry["instanceId"], entry["lifecycle"] != "Ready", sent_at)
            purge = event.get("invalidate")
            if purge is not None:
                object_id = int(purge["object"] or "0", 16)
                self._rules.purges.append(NotifiedPurge(object_id, purge["bucket"], purge["time"], sent_at))
        self._notified = max(self._notified, last)
