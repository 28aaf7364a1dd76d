"""The change log's poller: one long poll after another, each from the last event held."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

from hallproxy.run.config import Address
from hallproxy.run.loop import Loop, say
from hallproxy.run.sockets import Buffer, Stream, stream
from hallproxy.run.stores import read_body, read_head
from hallproxy.state.events import NewsHeard
from hallproxy.wire.changelog import WAIT_MOST, ChangeError, poll_head, read_events, read_page
from hallproxy.wire.http1 import Head

WAIT = 1_000  # ms a poll is held; short, so that a log that has gone silent is noticed
CONNECT_IN = 1.0  # s
ANSWER_IN = 0.25  # s past the wait that was asked for after which a poll has failed
PAUSE = 0.05  # s at least from one connect to the next
CURRENT_IN = 2.0  # s for a first answer; what a broken log would have told counts as told so long after
PAGE_MOST = 16 * 1024 * 1024


async def _page(made: Stream, buffer: Buffer) -> tuple[Head, bytes]:
    head = await read_head(made, buffer)
    return head, await read_body(made, buffer, head, PAGE_MOST)


class Poller:
    def __init__(self, loop: Loop, where: Address, since: int) -> None:
        self._loop, self._where, self._since = loop, where, since
        self._gap = -1  # the number before a gap that the log was asked about once
        self._made: Stream | None = None
        self._current = asyncio.Event()  # the log has answered once

    async def current(self) -> None:
        """Wait until the log has told all that is newer than ``known``, or has had its time for that.

        Guards a gateway killed and started again: ``known`` may lack what the log told long before, and
        a request sent in the meantime could go to a server announced as leaving.
        """
        try:
            await asyncio.wait_for(self._current.wait(), CURRENT_IN)
        except TimeoutError:
            self._current.set()
            say(f"change log: no answer in {CURRENT_IN:g} s, beginning with what the configuration knows")

    def move(self, where: Address, known: dict[str, Any]) -> None:
        """Follow the log at its new address from now on: the numbers go on, and so does what is held.

        What the old address is still sending is dropped whole; the new one tells it from the last event held.
        """
        try:
            self._take(known, False, live=False)
        except ChangeError as error:  # `known` may start later than what is held: the log has the rest
            say(f"change log: {error}")
        if where != self._where:
            self._where = where
            if self._made is not None:
                self._made.close()

    async def run(self) -> None:
        """Poll for ever. Whatever fails is tried again; what was held is not lost by it."""
        while True:
            where, began = self._where, asyncio.get_running_loop().time()
            made = None
            try:
                # In here too: with no descriptor left this fails, and the poll must outlive that.
                self._made = made = stream(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
                await asyncio.wait_for(made.connect(where), CONNECT_IN)
                buffer = Buffer()
                while await self._poll(made, buffer, where):
                    pass
            except Exception as error:  # whatever it is: a gateway that hears no news breaks rules
                if where == self._where:
                    say(f"change log: {type(error).__name__} {error}")
            finally:
                if made is not None:
                    made.close()
            # A poll that broke or went silent is asked again at once, as what it would have told counts as
            # told; a log that takes connections and ends them, or takes none, is not asked without pause.
            if where == self._where:
                await asyncio.sleep(max(0.0, began + PAUSE - asyncio.get_running_loop().time()))

    async def _poll(self, made: Stream, buffer: Buffer, where: Address) -> bool:
        asked = self._loop.now()
        wait = min(WAIT, WAIT_MOST) if self._current.is_set() else 0  # the first one only asks what is new
        made.gather([poll_head(self._since, wait, f"{where[0]}:{where[1]}")])
        limit = wait / 1000 + ANSWER_IN if wait else CONNECT_IN
        head, body = await asyncio.wait_for(_page(made, buffer), limit)
        if where != self._where:
            return False  # the log has moved while the last bytes of this were read
        if head.status != 200:
            raise ChangeError(f"answer {head.status}")
        try:
            self._take(read_page(body), self._gap == self._since)
        except ChangeError:
            self._gap = self._since
            raise
        # An answer that brings news may have been put together when it was asked for.
        self._loop.bring(NewsHeard(asked))
        self._current.set()
        return head.keeps

    def _take(self, page: dict[str, Any], gaps: bool, live: bool = True) -> None:
        """Bring the events that are new, each of them whole or not at all."""
        state = self._loop.state
        for seq, event in read_events(page, self._since, state.settings, self._loop.now(), gaps, live):
            if event is not None:
                self._loop.bring(event)
            self._since = seq
