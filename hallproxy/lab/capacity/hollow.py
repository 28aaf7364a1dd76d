"""Hollow gateways: all of a gateway's control without clients or a listener, hundreds in one process.

    python -m hallproxy.lab.capacity.hollow --at 127.0.0.1:8080 --gateways 200 --members 150 --seed 1

Like a real gateway, each has its own poller, loop, state, module and tables. Settings and list are decoded
once and shared, as nothing changes them. The process reports when all have caught up with the log, and runs
`report`, `least` and `connects` from standard input. Each purge is identified by its index in the sequence of
the seed: a skipped one counts as `lost`, a repeated one as `twice`.

With `--light`, followers only poll and count; each distinct page is parsed once for all of them. They are for
measurements of the log's or relay's side only.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import gzip
import json
import re
import socket
import sys
import time
from array import array
from collections import OrderedDict, deque
from collections.abc import Sequence
from random import Random
from typing import Any, Self

from hallproxy.decisions import Router
from hallproxy.feed.source_selection import SourceSelection
from hallproxy.lab.capacity import control_fleet as fleet
from hallproxy.lab.capacity.children import Command, max_connections, own_usage, serve_commands, tell
from hallproxy.run import poll_connection
from hallproxy.run.change_log_poller import Poller
from hallproxy.run.config import Address, address
from hallproxy.run.effect_runner import EffectRunner
from hallproxy.run.sockets import Stream
from hallproxy.state.effects import SendRequest
from hallproxy.state.events import EndpointListUpdated, Event, PurgeNotified, WatchCaughtUp
from hallproxy.state.limits import Limits
from hallproxy.state.model import GatewayState
from hallproxy.state.units import MB
from hallproxy.wire.changelog import decode_events
from hallproxy.wire.simulator_settings import settings_from_json

MS = 1_000_000  # ns
MAX_PURGES = 200_000  # counted one by one
FIRST = 1  # the list's sequence number, the last one in the configuration's `known`
RECONNECT_DELAY = 0.05  # s between two connects of a light follower
MAX_CONNECTS = 20_000  # recorded with their time
POLL_WAIT_MS = 1_000  # of a light follower


class Tally:
    """What all followers of this process have received."""

    def __init__(self, purges: fleet.PurgeSequence) -> None:
        self._purge_sequence = purges
        self.holders = array("I")  # by a purge's index: the number of followers that hold it
        self.delay = array("q")  # by a purge's index: us from its timestamp until the last follower held it
        self.lost = self.twice = self.foreign = self.groups = self.lists = 0
        self.connects = self.bytes_in = self.bytes_out = self.polls = 0
        # Unix ms and port of the last connects.
        self.connected: deque[tuple[int, int]] = deque(maxlen=MAX_CONNECTS)

    def record_connect(self, target: Address) -> None:
        self.connects += 1
        self.connected.append((time.time_ns() // MS, target[1]))

    def record_purge(self, follower: Follower, obj: int, at_ms: int) -> None:
        """Record that a follower received this purge, whose timestamp is `at_ms`."""
        index = self._purge_sequence.index_of(obj, MAX_PURGES)
        if index is None:
            self.foreign += 1
            return
        if index < follower.next_index:
            self.twice += 1
            return
        self.lost += index - follower.next_index
        follower.next_index = index + 1
        while len(self.holders) <= index:
            self.holders.append(0)
            self.delay.append(0)
        self.holders[index] += 1
        self.delay[index] = time.time_ns() // 1_000 - at_ms * 1_000

    def report(self, followers: Sequence[Follower]) -> Command:
        return {
            "followers": len(followers),
            "least": min(f.next_index for f in followers),
            "most": max(f.next_index for f in followers),
            "held": self.holders.tolist(),
            "delay_us": self.delay.tolist(),
            "lost": self.lost,
            "twice": self.twice,
            "foreign": self.foreign,
            "groups": self.groups,
            "lists": self.lists,
            "polls": self.polls,
            "connects": self.connects,
            "bytes_in": self.bytes_in,
            "bytes_out": self.bytes_out,
            **own_usage(),
        }


class Follower:
    """A receiver of purges: `next_index` is the index of the next one."""

    next_index = 0


class CountedStream(Stream):
    """The poller's stream, with its connects and bytes counted."""

    tally: Tally

    def connect(self: Self, address: Any, server_hostname: str | None = None) -> asyncio.Future[Self]:
        self.tally.record_connect(address)
        return super().connect(address, server_hostname)

    def write_pieces(self, pieces: Sequence[bytes]) -> None:
        super().write_pieces(pieces)
        self.tally.polls += 1
        self.tally.bytes_out += sum(map(len, pieces))

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        size = super().read_from_fd(buf)
        self.tally.bytes_in += size or 0
        return size

    @classmethod
    def create(cls, sock: socket.socket) -> Stream:
        """With the same options as `sockets.tcp_stream`."""
        stream = cls(sock, max_buffer_size=1 << 40, read_chunk_size=65_536)
        stream.set_nodelay(True)
        return stream


class NoStores:
    """Without clients there are no requests, so a connection to a store is an error."""

    def open(self, link: int, address: str) -> None:
        raise AssertionError("a hollow gateway connects to no store")

    def send(self, link: int, order: SendRequest) -> None:
        raise AssertionError("a hollow gateway sends nothing")

    def close(self, link: int) -> None:
        raise AssertionError("a hollow gateway has no links")


class HollowGateway(EffectRunner, Follower):
    def __init__(self, state: GatewayState, tally: Tally) -> None:
        super().__init__(state)
        self.connections = NoStores()
        self._tally = tally

    def dispatch(self, event: Event) -> None:
        super().dispatch(event)
        match event:
            case PurgeNotified() if event.object:
                self._tally.record_purge(self, event.object, event.purged_at // MS)
            case PurgeNotified():
                self._tally.groups += 1
            case EndpointListUpdated():
                self._tally.lists += 1


def hollow_gateways(count: int, members: int, seed: int, tally: Tally) -> list[HollowGateway]:
    settings = settings_from_json(json.dumps(fleet.settings()).encode())
    bounds = Limits(local_cache_bytes=24 * MB)
    list_page = {"seq": FIRST, "results": [{"seq": FIRST, "fleet": fleet.list_event(members)}]}
    gateways = []
    events = [
        event for _, event in decode_events(list_page, 0, settings, time.time_ns(), True, live=False) if event
    ]
    for number in range(count):
        gateway = HollowGateway(GatewayState(settings, Router(settings, seed + number), bounds), tally)
        for event in events:
            gateway.dispatch(event)
        gateway.dispatch(WatchCaughtUp(gateway.now()))
        gateways.append(gateway)
    tally.lists = 0
    return gateways


# Light followers ------------------------------------------------------------------------------------------

_LENGTH = re.compile(rb"\r\ncontent-length: *(\d+)", re.IGNORECASE)
Page = list[tuple[int, int, int]]  # sequence number, object (0: none), timestamp in ms


class PageCache:
    """Parsed pages by their bytes."""

    def __init__(self) -> None:
        self._parsed: OrderedDict[bytes, Page] = OrderedDict()

    def parse(self, body: bytes, compressed: bool) -> Page:
        page = self._parsed.get(body)
        if page is None:
            page = []
            for event in json.loads(gzip.decompress(body) if compressed else body)["results"]:
                purge = event.get("invalidate", {})
                page.append((event["seq"], int(purge.get("object", "0"), 16), purge.get("time", 0)))
            self._parsed[body] = page
            if len(self._parsed) > 16:
                self._parsed.popitem(last=False)
        return page


class LightFollower(Follower, asyncio.Protocol):
    """A follower that only polls and counts. The sequence numbers that it receives must be contiguous."""

    def __init__(self, target: Address, tally: Tally, pages: PageCache, encoding: bytes) -> None:
        self._target, self._tally, self._pages, self._encoding = target, tally, pages, encoding
        self._received = b""
        self.since = FIRST
        self.caught_up = False
        self._wait_ms = 0

    async def run(self) -> None:
        running = asyncio.get_running_loop()
        while True:
            self._closed = running.create_future()
            self._received = b""
            try:
                self._tally.record_connect(self._target)
                await running.create_connection(lambda: self, *self._target)
                await self._closed
            except OSError as error:
                print(f"light follower: connection failed: {error}", file=sys.stderr, flush=True)
            await asyncio.sleep(RECONNECT_DELAY)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._poll()

    def connection_lost(self, exc: Exception | None) -> None:
        if not self._closed.done():
            self._closed.set_result(None)

    def _poll(self) -> None:
        request = b"GET /changes?since=%d&timeout=%d HTTP/1.1\r\nHost: %s:%d\r\n%s\r\n" % (
            self.since, self._wait_ms, self._target[0].encode(), self._target[1], self._encoding,
        )  # fmt: skip
        self._tally.polls += 1
        self._tally.bytes_out += len(request)
        self._transport.write(request)

    def data_received(self, data: bytes) -> None:
        self._tally.bytes_in += len(data)
        self._received += data
        head_end = self._received.find(b"\r\n\r\n")
        if head_end < 0:
            return
        head = self._received[:head_end]
        length = _LENGTH.search(head)
        if not head.startswith(b"HTTP/1.1 200 ") or length is None:
            print(f"light follower: unexpected response: {head[:60]!r}", file=sys.stderr, flush=True)
            self._transport.abort()
            return
        if len(self._received) < head_end + 4 + int(length[1]):
            return
        body, self._received = self._received[head_end + 4 :], b""
        for seq, obj, at_ms in self._pages.parse(body, b"gzip" in head):
            if seq <= self.since:
                continue
            if seq != self.since + 1:
                self._tally.foreign += 1
            self.since = seq
            if obj:
                self._tally.record_purge(self, obj, at_ms)
            elif at_ms:
                self._tally.groups += 1
            else:
                self._tally.lists += 1
        self.caught_up, self._wait_ms = True, POLL_WAIT_MS
        self._poll()


# The process ----------------------------------------------------------------------------------------------


async def serve(args: argparse.Namespace) -> None:
    empty_mb = own_usage()["peak_mb"]
    tally = Tally(fleet.PurgeSequence(args.seed))
    addresses = tuple(map(address, args.at.split(",")))
    target = addresses[0]
    followers: Sequence[Follower]
    tasks: list[asyncio.Future[Any]]
    if args.light:
        encoding = b"Accept-Encoding: gzip\r\n" if args.gzip else b""
        pages = PageCache()
        light = [LightFollower(target, tally, pages, encoding) for _ in range(args.gateways)]
        followers = light
        tasks = [asyncio.ensure_future(follower.run()) for follower in light]
        while not all(follower.caught_up for follower in light):
            await asyncio.sleep(0.01)
    else:
        CountedStream.tally = tally
        poll_connection.tcp_stream = CountedStream.create  # type: ignore[attr-defined]
        hollows = hollow_gateways(args.gateways, args.members, args.first, tally)
        followers = hollows
        gc.collect()
        gc.freeze()
        several = len(addresses) > 1
        pollers = []
        for number, hollow in enumerate(hollows, args.first):
            name = f"hollow-{number}"
            selection = SourceSelection(name, addresses, args.spread_ms / 1000, Random(name))
            source: Address | SourceSelection = selection if several or args.gzip else target
            pollers.append(Poller(hollow, source, FIRST, several))
        tasks = [asyncio.ensure_future(one.run()) for one in pollers]
        for poller in pollers:
            await poller.wait_until_current()
    tell(ready=len(followers), empty_mb=empty_mb, **own_usage())

    def do(command: Command) -> Command:
        if command["do"] == "least":
            return {"least": min(follower.next_index for follower in followers)}
        if command["do"] == "connects":
            return {"connects": list(tally.connected)}
        return tally.report(followers)

    await serve_commands(do, args.seconds)
    for task in tasks:
        task.cancel()
    tell(**tally.report(followers))


def main(argv: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="hallproxy.lab.capacity.hollow", description="Hollow gateways.")
    parser.add_argument("--at", required=True, help="comma-separated addresses of a change log or of relays")
    parser.add_argument("--gateways", type=int, required=True)
    parser.add_argument("--members", type=int, default=150, help="stores on the list")
    parser.add_argument("--seed", type=int, default=1, help="seed of the purges")
    parser.add_argument("--first", type=int, default=0, help="number of the first gateway")
    parser.add_argument("--seconds", type=float, default=60.0, help="time limit after which it exits")
    parser.add_argument("--light", action="store_true", help="followers that only poll and count")
    parser.add_argument("--gzip", action="store_true", help="request gzip responses")
    parser.add_argument(
        "--spread-ms", type=int, default=500, help="time over which a change of address is spread"
    )
    args = parser.parse_args(argv)
    if args.gateways > max_connections():
        parser.error(f"--gateways: the limit of descriptors allows {max_connections()} connections")
    asyncio.run(serve(args))
    return 0


if __name__ == "__main__":
    sys.exit(main())
