"""A change log for many followers on loopback, as a process of its own.

    python -m hallproxy.lab.capacity.changelog --members 150 --seed 1

It says its address and obeys lines on standard input: `purge` (rate, count), `change` (members, whole),
`cuts` (as Cuts), `report`. `GET /changes?since=N&timeout=MS` answers with the events after N up to the last
cut, or at the end of the wait with none. What waits is cut when so many events have gathered, or so long
after the first of them. A purge's own time is when it was due, also where the log came to it late.
"""

from __future__ import annotations

import argparse
import asyncio
import gzip
import json
import re
import sys
import time
from collections import OrderedDict, deque
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from hallproxy.lab.capacity import control_fleet as fleet
from hallproxy.lab.capacity.children import Command, max_connections, own_usage, serve_commands, tell

MS = 1_000_000  # ns
WAIT_MOST = 5_000  # ms
SWEEP = 0.025  # s between looks for polls whose wait is over
EVENTS_MOST = 200_000
HEAD_MOST = 4_096  # bytes of a poll's head
UNSENT_MOST = 8 * 1024 * 1024  # bytes that one follower may leave unread
PAGES_MOST = 64  # coded pages that are kept for who asks from the same number
BURST = 0.1  # s in which connects are counted together

_POLL = re.compile(rb"GET /changes\?since=(\d{1,18})&timeout=(\d{1,9}) HTTP/1\.1\r\n")
_GZIP = re.compile(rb"\r\naccept-encoding:[^\r]*\bgzip\b", re.IGNORECASE)


@dataclass
class Cuts:
    """When what waits becomes a page, and how much of it one answer holds."""

    gather_ms: float = 0.0  # from the first event that waits; 0: no waiting
    gather_events: int = 1  # so many that wait are cut at once; 0: only the time counts
    page_events: int = 0  # at most in one answer; 0: no bound


@dataclass
class Counts:
    polls: int = 0
    empty: int = 0  # answers without an event
    told: int = 0  # events in all answers
    bytes_in: int = 0
    bytes_out: int = 0
    connects: int = 0
    refused: int = 0  # what is no poll
    gzipped: int = 0  # answers
    late_ms: float = 0.0  # the most that an event came into being after it was due


class Log:
    def __init__(self, cuts: Cuts, members: int, purged: fleet.PurgeSequence) -> None:
        self.cuts, self.counts, self._purged = cuts, Counts(), purged
        self.cut = 0  # the last event that may be told
        self.held: dict[Peer, float] = {}  # who waits, until when
        self.peers: set[Peer] = set()
        self.generation, self.members, self.purges = 1, members, 0
        self.connected: deque[float] = deque(maxlen=100_000)
        self._events: list[bytes] = []
        self._pages: OrderedDict[tuple[int, int, bool], bytes] = OrderedDict()
        self._timer: asyncio.TimerHandle | None = None
        self.add(fleet=fleet.list_event(members))
        self._cut()

    @property
    def seq(self) -> int:
        return len(self._events)

    # What it tells

    def add(self, **event: Any) -> None:
        if self.seq >= EVENTS_MOST:
            raise OverflowError(f"over {EVENTS_MOST} events")
        self._events.append(json.dumps({"seq": self.seq + 1, **event}, separators=(",", ":")).encode())
        if "fleet" in event or 0 < self.cuts.gather_events <= self.seq - self.cut:
            self._cut()
        elif self.cuts.gather_ms and self._timer is None:
            running = asyncio.get_running_loop()
            self._timer = running.call_later(self.cuts.gather_ms / 1000, self._cut)

    def _cut(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self.cut = self.seq
        for peer in [p for p in self.held if p.since < self.cut]:
            del self.held[peer]
            self.answer(peer)

    def purge(self, rate: float, count: int) -> None:
        """Bring about so many purges, at this rate a second, from now on."""
        running = asyncio.get_running_loop()
        began, clock = running.time(), time.time_ns()
        first = self.purges

        def due(number: int) -> None:
            while number < count:
                ahead = began + number / rate - running.time()
                if ahead > 0:
                    running.call_later(ahead, due, number)
                    return
                self.counts.late_ms = max(self.counts.late_ms, -ahead * 1000)
                obj = f"{self._purged[first + number]:016x}"
                self.add(invalidate={"object": obj, "time": (clock + int(number / rate * 1e9)) // MS})
                self.purges += 1
                number += 1

        due(0)

    def change(self, members: int, whole: bool) -> None:
        """Tell that the first so many stores have started anew: as a change, or in a whole list."""
        self.generation += 1
        now = time.time_ns() // MS
        lines = [fleet.store(n, now if n < members else 0) for n in range(self.members if whole else members)]
        self.add(fleet={"generation": self.generation, "reset": whole, "instances": lines})

    # Who asks

    def asked(self, peer: Peer, wait_ms: int) -> None:
        self.counts.polls += 1
        if peer.since < self.cut or (not wait_ms and peer.since < self.seq):
            self.answer(peer, not wait_ms)
        elif not wait_ms:
            self.answer(peer)
        else:
            self.held[peer] = asyncio.get_running_loop().time() + min(wait_ms, WAIT_MOST) / 1000

    def answer(self, peer: Peer, at_once: bool = False) -> None:
        last = self.seq if at_once else self.cut
        if self.cuts.page_events:
            last = min(last, peer.since + self.cuts.page_events)
        key = peer.since, last, peer.gzip
        said = self._pages.get(key)
        if said is None:
            said = self._pages[key] = self._page(*key)
            if len(self._pages) > PAGES_MOST:
                self._pages.popitem(last=False)
        self.counts.told += max(0, last - peer.since)
        self.counts.empty += last <= peer.since
        self.counts.gzipped += peer.gzip
        self.counts.bytes_out += len(said)
        peer.say(said)

    def _page(self, since: int, last: int, zipped: bool) -> bytes:
        body = b'{"seq":%d,"results":[%s]}' % (max(since, last), b",".join(self._events[since:last]))
        coding = b""
        if zipped:
            body, coding = gzip.compress(body, 6, mtime=0), b"Content-Encoding: gzip\r\n"
        head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n%sContent-Length: %d\r\n\r\n"
        return head % (coding, len(body)) + body

    async def sweep(self) -> None:
        """End the waits that are over."""
        while True:
            await asyncio.sleep(SWEEP)
            now = asyncio.get_running_loop().time()
            for peer in [p for p, until in self.held.items() if until <= now]:
                del self.held[peer]
                self.answer(peer)

    def report(self) -> Command:
        burst = most = 0
        times = list(self.connected)
        for place, at in enumerate(times):
            while times[burst] <= at - BURST:
                burst += 1
            most = max(most, place - burst + 1)
        lowest = min((p.since for p in self.peers), default=self.seq)
        return {
            **vars(self.counts),
            **own_usage(),
            "seq": self.seq,
            "purges": self.purges,
            "confirmed": lowest,
            "followers": len(self.peers),
            "connects_burst": most,
        }


class Peer(asyncio.Protocol):
    """One connection: a poll at a time."""

    def __init__(self, log: Log) -> None:
        self._log = log
        self._came = b""
        self.since, self.gzip = 0, False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if len(self._log.peers) >= max_connections():
            transport.abort()
            return
        self._log.peers.add(self)
        self._log.counts.connects += 1
        self._log.connected.append(asyncio.get_running_loop().time())

    def data_received(self, data: bytes) -> None:
        self._log.counts.bytes_in += len(data)
        self._came += data
        if not self._came.endswith(b"\r\n\r\n"):
            if len(self._came) > HEAD_MOST:
                self._refuse()
            return
        asked = _POLL.match(self._came)
        if asked is None or self._came.count(b"\r\n\r\n") > 1 or self in self._log.held:
            self._refuse()
            return
        self.gzip = _GZIP.search(self._came) is not None
        self._came = b""
        self.since = int(asked[1])
        self._log.asked(self, int(asked[2]))

    def _refuse(self) -> None:
        self._log.counts.refused += 1
        self._transport.write(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
        self._transport.close()

    def say(self, said: bytes) -> None:
        self._transport.write(said)
        if self._transport.get_write_buffer_size() > UNSENT_MOST:
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self._log.held.pop(self, None)
        self._log.peers.discard(self)


async def serve(log: Log, seconds: float) -> None:
    running = asyncio.get_running_loop()
    server = await running.create_server(lambda: Peer(log), "127.0.0.1", 0, backlog=4_096)
    sweeping = asyncio.ensure_future(log.sweep())
    tell(address="%s:%d" % server.sockets[0].getsockname()[:2])

    def do(command: Command) -> Command | None:
        match command:
            case {"do": "purge", "rate": rate, "count": count}:
                log.purge(rate, count)
                return None
            case {"do": "change", "members": members, "whole": whole}:
                log.change(members, whole)
                return None
            case {"do": "cuts"}:
                log.cuts = Cuts(**{name: value for name, value in command.items() if name != "do"})
                return None
            case _:
                return log.report()

    await serve_commands(do, seconds)
    sweeping.cancel()
    server.close()
    tell(**log.report())


def main(argv: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="hallproxy.lab.capacity.changelog", description="A change log.")
    parser.add_argument("--members", type=int, default=150, help="stores on its list")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--gather-ms", type=float, default=0.0, help="from the first event that waits")
    parser.add_argument("--gather-events", type=int, help="so many are cut at once (1, or 0 with a time)")
    parser.add_argument("--page-events", type=int, default=0, help="at most in one answer; 0: no bound")
    parser.add_argument("--seconds", type=float, default=60.0, help="after which it ends by itself")
    args = parser.parse_args(argv)
    gather = args.gather_events if args.gather_events is not None else 0 if args.gather_ms else 1
    if not gather and not args.gather_ms:
        parser.error("without a time to gather for, events are cut by their number")
    cuts = Cuts(args.gather_ms, gather, args.page_events)
    log = Log(cuts, args.members, fleet.PurgeSequence(args.seed))
    asyncio.run(serve(log, args.seconds))
    return 0


if __name__ == "__main__":
    sys.exit(main())
