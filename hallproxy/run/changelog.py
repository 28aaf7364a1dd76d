"""The change log's poller: one long poll after another, each from the last event held."""

from __future__ import annotations

import asyncio
import socket

from hallproxy.run.config import Address
from hallproxy.run.loop import Loop, say
from hallproxy.run.sockets import Buffer, Stream, stream
from hallproxy.run.stores import read_body, read_head
from hallproxy.state.events import NewsHeard
from hallproxy.wire.changelog import WAIT_MOST, ChangeError, poll_head, read_events, read_page
from hallproxy.wire.http1 import Head

WAIT = 2_000  # ms a poll is held; short, so that a log that has gone silent is noticed
ANSWER_IN = 1.0  # s more after which a poll has failed
PAUSE = 0.05  # s between a failure and the next try
PAGE_MOST = 16 * 1024 * 1024


async def _page(made: Stream, buffer: Buffer) -> tuple[Head, bytes]:
    head = await read_head(made, buffer)
    return head, await read_body(made, buffer, head, PAGE_MOST)


class Poller:
    def __init__(self, loop: Loop, where: Address, since: int) -> None:
        self._loop, self._where, self._since = loop, where, since
        self._gap = -1  # the number before a gap that the log was asked about once

    async def run(self) -> None:
        """Poll for ever. Whatever fails is tried again; what was held is not lost by it."""
        while True:
            made = stream(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
            try:
                await asyncio.wait_for(made.connect(self._where), ANSWER_IN)
                buffer = Buffer()
                while await self._poll(made, buffer):
                    pass
            except Exception as error:  # whatever it is: a gateway that hears no news breaks rules
                say(f"change log: {type(error).__name__} {error}")
            finally:
                made.close()
            await asyncio.sleep(PAUSE)

    async def _poll(self, made: Stream, buffer: Buffer) -> bool:
        asked = self._loop.now()
        made.gather([poll_head(self._since, min(WAIT, WAIT_MOST), f"{self._where[0]}:{self._where[1]}")])
        limit = WAIT / 1000 + ANSWER_IN
        head, body = await asyncio.wait_for(_page(made, buffer), limit)
        if head.status != 200:
            raise ChangeError(f"answer {head.status}")
        try:
            gaps = self._gap == self._since
            for seq, event in read_events(
                read_page(body), self._since, self._loop.state.settings, self._loop.now(), gaps
            ):
                if event is not None:
                    self._loop.bring(event)
                self._since = seq
            # An answer that brings news may have been put together when it was asked for.
            self._loop.bring(NewsHeard(asked))
        except ChangeError:
            self._gap = self._since
            raise
        return head.keeps
