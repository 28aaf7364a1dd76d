"""A change log for many followers on loopback, in its own process.

    python -m hallproxy.lab.capacity.changelog --members 150 --seed 1

It prints its address and runs commands from standard input: `purge` (rate, count), `change` (members, whole),
`cuts` (as Cuts), `report`. `GET /changes?since=N&timeout=MS` returns the published events after N, or none
at the end of the wait. Pending events are published once there are `gather_events` of them, or `gather_ms`
after the first. A purge's timestamp is its scheduled time, even if the log adds it late.
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
MAX_WAIT_MS = 5_000
SWEEP_INTERVAL = 0.025  # s between checks for polls whose wait has expired
MAX_EVENTS = 200_000
MAX_HEAD_BYTES = 4_096  # of a poll request
MAX_UNSENT_BYTES = 8 * 1024 * 1024  # to one follower that does not read
MAX_CACHED_PAGES = 64  # encoded pages, shared by followers that poll from the same number
BURST_WINDOW = 0.1  # s in which connects are counted together

_POLL = re.compile(rb"GET /changes\?since=(\d{1,18})&timeout=(\d{1,9}) HTTP/1\.1\r\n")
_GZIP = re.compile(rb"\r\naccept-encoding:[^\r]*\bgzip\b", re.IGNORECASE)


@dataclass
class Cuts:
    """When pending events are published, and how many of them one response holds."""

    gather_ms: float = 0.0  # from the first pending event; 0: no delay
    gather_events: int = 1  # publish at once with so many pending; 0: only by time
    page_events: int = 0  # at most in one response; 0: no limit


@dataclass
class Counts:
    polls: int = 0
    empty: int = 0  # responses without an event
    told: int = 0  # events in all responses
    bytes_in: int = 0
    bytes_out: int = 0
    connects: int = 0
    refused: int = 0  # invalid requests
    gzipped: int = 0  # responses
    late_ms: float = 0.0  # longest delay of an event after its scheduled time


class ChangeLog:
    def __init__(self, cuts: Cuts, members: int, purges: fleet.PurgeSequence) -> None:
        self.cuts, self.counts, self._purge_sequence = cuts, Counts(), purges
        self.published = 0  # number of the last published event
        self.waiting: dict[Peer, float] = {}  # held polls, with the end of their wait
        self.peers: set[Peer] = set()
        self.generation, self.members, self.purges = 1, members, 0
        self.connected: deque[float] = deque(maxlen=100_000)
        self._events: list[bytes] = []
        self._pages: OrderedDict[tuple[int, int, bool], bytes] = OrderedDict()
        self._timer: asyncio.TimerHandle | None = None
        self.add(fleet=fleet.list_event(members))
        self._publish()

    @property
    def seq(self) -> int:
        return len(self._events)

    # Events

    def add(self, **event: Any) -> None:
        if self.seq >= MAX_EVENTS:
            raise OverflowError(f"more than {MAX_EVENTS} events")
        self._events.append(json.dumps({"seq": self.seq + 1, **event}, separators=(",", ":")).encode())
        if "fleet" in event or 0 < self.cuts.gather_events <= self.seq - self.published:
            self._publish()
        elif self.cuts.gather_ms and self._timer is None:
            running = asyncio.get_running_loop()
            self._timer = running.call_later(self.cuts.gather_ms / 1000, self._publish)

    def _publish(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self.published = self.seq
        for peer in [p for p in self.waiting if p.since < self.published]:
            del self.waiting[peer]
            self.respond(peer)

    def purge(self, rate: float, count: int) -> None:
        """Add `count` purges at `rate` per second, starting now."""
        running = asyncio.get_running_loop()
        started, clock = running.time(), time.time_ns()
        first = self.purges

        def add_due(number: int) -> None:
            while number < count:
                delay = started + number / rate - running.time()
                if delay > 0:
                    running.call_later(delay, add_due, number)
                    return
                self.counts.late_ms = max(self.counts.late_ms, -delay * 1000)
                obj = f"{self._purge_sequence[first + number]:016x}"
                self.add(invalidate={"object": obj, "time": (clock + int(number / rate * 1e9)) // MS})
                self.purges += 1
                number += 1

        add_due(0)

    def change(self, members: int, whole: bool) -> None:
        """Add an event that the first `members` stores restarted: only their lines, or the whole list."""
        self.generation += 1
        now = time.time_ns() // MS
        lines = [fleet.store(n, now if n < members else 0) for n in range(self.members if whole else members)]
        self.add(fleet={"generation": self.generation, "reset": whole, "instances": lines})

    # Polls

    def poll(self, peer: Peer, wait_ms: int) -> None:
        self.counts.polls += 1
        if peer.since < self.published or (not wait_ms and peer.since < self.seq):
            self.respond(peer, not wait_ms)
        elif not wait_ms:
            self.respond(peer)
        else:
            self.waiting[peer] = asyncio.get_running_loop().time() + min(wait_ms, MAX_WAIT_MS) / 1000

    def respond(self, peer: Peer, unpublished: bool = False) -> None:
        last = self.seq if unpublished else self.published
        if self.cuts.page_events:
            last = min(last, peer.since + self.cuts.page_events)
        key = peer.since, last, peer.gzip
        response = self._pages.get(key)
        if response is None:
            response = self._pages[key] = self._page(*key)
            if len(self._pages) > MAX_CACHED_PAGES:
                self._pages.popitem(last=False)
        self.counts.told += max(0, last - peer.since)
        self.counts.empty += last <= peer.since
        self.counts.gzipped += peer.gzip
        self.counts.bytes_out += len(response)
        peer.send(response)

    def _page(self, since: int, last: int, compress: bool) -> bytes:
        body = b'{"seq":%d,"results":[%s]}' % (max(since, last), b",".join(self._events[since:last]))
        encoding = b""
        if compress:
            body, encoding = gzip.compress(body, 6, mtime=0), b"Content-Encoding: gzip\r\n"
        head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n%sContent-Length: %d\r\n\r\n"
        return head % (encoding, len(body)) + body

    async def sweep(self) -> None:
        """Answer held polls whose wait has expired."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL)
            now = asyncio.get_running_loop().time()
            for peer in [p for p, deadline in self.waiting.items() if deadline <= now]:
                del self.waiting[peer]
                self.respond(peer)

    def report(self) -> Command:
        first = max_burst = 0
        times = list(self.connected)
        for index, at in enumerate(times):
            while times[first] <= at - BURST_WINDOW:
                first += 1
            max_burst = max(max_burst, index - first + 1)
        lowest = min((p.since for p in self.peers), default=self.seq)
        return {
            **vars(self.counts),
            **own_usage(),
            "seq": self.seq,
            "purges": self.purges,
            "confirmed": lowest,
            "followers": len(self.peers),
            "connects_burst": max_burst,
        }


class Peer(asyncio.Protocol):
    """One connection of a follower, with one poll at a time."""

    def __init__(self, log: ChangeLog) -> None:
        self._log = log
        self._received = b""
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
        self._received += data
        if not self._received.endswith(b"\r\n\r\n"):
            if len(self._received) > MAX_HEAD_BYTES:
                self._refuse()
            return
        poll = _POLL.match(self._received)
        if poll is None or self._received.count(b"\r\n\r\n") > 1 or self in self._log.waiting:
            self._refuse()
            return
        self.gzip = _GZIP.search(self._received) is not None
        self._received = b""
        self.since = int(poll[1])
        self._log.poll(self, int(poll[2]))

    def _refuse(self) -> None:
        self._log.counts.refused += 1
        self._transport.write(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
        self._transport.close()

    def send(self, response: bytes) -> None:
        self._transport.write(response)
        if self._transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self._log.waiting.pop(self, None)
        self._log.peers.discard(self)


async def serve(log: ChangeLog, seconds: float) -> None:
    running = asyncio.get_running_loop()
    server = await running.create_server(lambda: Peer(log), "127.0.0.1", 0, backlog=4_096)
    sweeper = asyncio.ensure_future(log.sweep())
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
    sweeper.cancel()
    server.close()
    tell(**log.report())


def main(argv: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="hallproxy.lab.capacity.changelog", description="A change log.")
    parser.add_argument("--members", type=int, default=150, help="stores on the list")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--gather-ms", type=float, default=0.0, help="delay of a page after its first event")
    parser.add_argument(
        "--gather-events",
        type=int,
        help="events that are published at once (default: 1, or 0 with --gather-ms)",
    )
    parser.add_argument("--page-events", type=int, default=0, help="at most in one response; 0: no limit")
    parser.add_argument("--seconds", type=float, default=60.0, help="time limit after which it exits")
    args = parser.parse_args(argv)
    gather = args.gather_events if args.gather_events is not None else 0 if args.gather_ms else 1
    if not gather and not args.gather_ms:
        parser.error("--gather-events 0 requires --gather-ms above 0")
    cuts = Cuts(args.gather_ms, gather, args.page_events)
    log = ChangeLog(cuts, args.members, fleet.PurgeSequence(args.seed))
    asyncio.run(serve(log, args.seconds))
    return 0


if __name__ == "__main__":
    sys.exit(main())
