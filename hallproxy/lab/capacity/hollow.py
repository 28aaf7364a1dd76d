"""Hollow gateways: all of a gateway's control, with no clients and no listener, hundreds in a process.

    python -m hallproxy.lab.capacity.hollow --at 127.0.0.1:8080 --gateways 200 --members 150 --seed 1

Each has its own poller, loop, state, module and tables, as a gateway has. Settings and list are decoded once
and shared, as nothing changes them. The process says when all of them have heard the log, and obeys `report`
on standard input. Each purge is counted by its place in the order that the seed gives: one that is passed
over is lost, one that comes again is twice.

With `--light` followers poll and count alone: pages are read once for all that got the same. They stand for
followers of whom only the log's or relay's side is looked at.
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
PURGES_MOST = 200_000  # that are counted one by one
FIRST = 1  # the list's own number: what the configuration's `known` ends with
RETRY = 0.05  # s from one connect of a light follower to the next
CONNECTS_MOST = 20_000  # that are noted with their time
WAIT = 1_000  # ms that a light follower's poll is held


class Tally:
    """What all followers of this process have held."""

    def __init__(self, purged: fleet.PurgeSequence) -> None:
        self._purged = purged
        self.held = array("I")  # by a purge's place: how many followers hold it
        self.delay = array("q")  # by a purge's place: us from its own time until the last one did
        self.lost = self.twice = self.foreign = self.groups = self.lists = 0
        self.connects = self.bytes_in = self.bytes_out = self.polls = 0
        # Unix ms and port of connects, the last ones.
        self.connected: deque[tuple[int, int]] = deque(maxlen=CONNECTS_MOST)

    def connects_to(self, where: Address) -> None:
        self.connects += 1
        self.connected.append((time.time_ns() // MS, where[1]))

    def record_purge(self, follower: Follower, obj: int, at_ms: int) -> None:
        """A follower holds this purge now, which was made at `at_ms`."""
        place = self._purged.place(obj, PURGES_MOST)
        if place is None:
            self.foreign += 1
            return
        if place < follower.next_index:
            self.twice += 1
            return
        self.lost += place - follower.next_index
        follower.next_index = place + 1
        while len(self.held) <= place:
            self.held.append(0)
            self.delay.append(0)
        self.held[place] += 1
        self.delay[place] = time.time_ns() // 1_000 - at_ms * 1_000

    def report(self, followers: Sequence[Follower]) -> Command:
        return {
            "followers": len(followers),
            "least": min(f.next_index for f in followers),
            "most": max(f.next_index for f in followers),
            "held": self.held.tolist(),
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
    """Who holds purges: `next_index` is the place of the next one."""

    next_index = 0


class CountedStream(Stream):
    """The poller's stream, whose connects and bytes are counted."""

    tally: Tally

    def connect(self: Self, address: Any, server_hostname: str | None = None) -> asyncio.Future[Self]:
        self.tally.connects_to(address)
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
    def made(cls, sock: socket.socket) -> Stream:
        """As `sockets.tcp_stream` creates one."""
        made = cls(sock, max_buffer_size=1 << 40, read_chunk_size=65_536)
        made.set_nodelay(True)
        return made


class NoStores:
    """Nobody asks for anything, so no connection to a store is ever wanted."""

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
    known = {"seq": FIRST, "results": [{"seq": FIRST, "fleet": fleet.list_event(members)}]}
    made = []
    told = [
        event for _, event in decode_events(known, 0, settings, time.time_ns(), True, live=False) if event
    ]
    for number in range(count):
        hollow = HollowGateway(GatewayState(settings, Router(settings, seed + number), bounds), tally)
        for event in told:
            hollow.dispatch(event)
        hollow.dispatch(WatchCaughtUp(hollow.now()))
        made.append(hollow)
    tally.lists = 0
    return made


# Light followers ------------------------------------------------------------------------------------------

_LENGTH = re.compile(rb"\r\ncontent-length: *(\d+)", re.IGNORECASE)
Page = list[tuple[int, int, int]]  # number, object (0: none), its own time in ms


class Pages:
    """Pages that have been read, by their bytes."""

    def __init__(self) -> None:
        self._read: OrderedDict[bytes, Page] = OrderedDict()

    def read(self, body: bytes, zipped: bool) -> Page:
        page = self._read.get(body)
        if page is None:
            page = []
            for event in json.loads(gzip.decompress(body) if zipped else body)["results"]:
                gone = event.get("invalidate", {})
                page.append((event["seq"], int(gone.get("object", "0"), 16), gone.get("time", 0)))
            self._read[body] = page
            if len(self._read) > 16:
                self._read.popitem(last=False)
        return page


class LightFollower(Follower, asyncio.Protocol):
    """A follower that polls and counts alone. What it is told must be contiguous."""

    def __init__(self, where: Address, tally: Tally, pages: Pages, coding: bytes) -> None:
        self._where, self._tally, self._pages, self._coding = where, tally, pages, coding
        self._came = b""
        self.since = FIRST
        self.heard = False
        self._wait = 0

    async def run(self) -> None:
        running = asyncio.get_running_loop()
        while True:
            self._lost = running.create_future()
            self._came = b""
            try:
                self._tally.connects_to(self._where)
                await running.create_connection(lambda: self, *self._where)
                await self._lost
            except OSError as error:
                print(f"light: {error}", file=sys.stderr, flush=True)
            await asyncio.sleep(RETRY)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._poll()

    def connection_lost(self, exc: Exception | None) -> None:
        if not self._lost.done():
            self._lost.set_result(None)

    def _poll(self) -> None:
        said = b"GET /changes?since=%d&timeout=%d HTTP/1.1\r\nHost: %s:%d\r\n%s\r\n" % (
            self.since, self._wait, self._where[0].encode(), self._where[1], self._coding,
        )  # fmt: skip
        self._tally.polls += 1
        self._tally.bytes_out += len(said)
        self._transport.write(said)

    def data_received(self, data: bytes) -> None:
        self._tally.bytes_in += len(data)
        self._came += data
        at = self._came.find(b"\r\n\r\n")
        if at < 0:
            return
        head = self._came[:at]
        length = _LENGTH.search(head)
        if not head.startswith(b"HTTP/1.1 200 ") or length is None:
            print(f"light: {head[:60]!r}", file=sys.stderr, flush=True)
            self._transport.abort()
            return
        if len(self._came) < at + 4 + int(length[1]):
            return
        body, self._came = self._came[at + 4 :], b""
        for seq, obj, at_ms in self._pages.read(body, b"gzip" in head):
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
        self.heard, self._wait = True, WAIT
        self._poll()


# The process ----------------------------------------------------------------------------------------------


async def serve(args: argparse.Namespace) -> None:
    empty_mb = own_usage()["peak_mb"]
    tally = Tally(fleet.PurgeSequence(args.seed))
    addresses = tuple(map(address, args.at.split(",")))
    where = addresses[0]
    followers: Sequence[Follower]
    tasks: list[asyncio.Future[Any]]
    if args.light:
        coding = b"Accept-Encoding: gzip\r\n" if args.gzip else b""
        pages = Pages()
        light = [LightFollower(where, tally, pages, coding) for _ in range(args.gateways)]
        followers = light
        tasks = [asyncio.ensure_future(one.run()) for one in light]
        while not all(one.heard for one in light):
            await asyncio.sleep(0.01)
    else:
        CountedStream.tally = tally
        poll_connection.tcp_stream = CountedStream.made  # type: ignore[attr-defined]
        made = hollow_gateways(args.gateways, args.members, args.first, tally)
        followers = made
        gc.collect()
        gc.freeze()
        others = len(addresses) > 1
        pollers = []
        for number, one in enumerate(made, args.first):
            name = f"hollow-{number}"
            many = SourceSelection(name, addresses, args.spread_ms / 1000, Random(name))
            whom: Address | SourceSelection = many if others or args.gzip else where
            pollers.append(Poller(one, whom, FIRST, others))
        tasks = [asyncio.ensure_future(one.run()) for one in pollers]
        for poller in pollers:
            await poller.wait_until_current()
    tell(ready=len(followers), empty_mb=empty_mb, **own_usage())

    def do(command: Command) -> Command:
        if command["do"] == "least":
            return {"least": min(one.next_index for one in followers)}
        if command["do"] == "connects":
            return {"connects": list(tally.connected)}
        return tally.report(followers)

    await serve_commands(do, args.seconds)
    for task in tasks:
        task.cancel()
    tell(**tally.report(followers))


def main(argv: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="hallproxy.lab.capacity.hollow", description="Hollow gateways.")
    parser.add_argument("--at", required=True, help="addresses of a change log or of relays, with commas")
    parser.add_argument("--gateways", type=int, required=True)
    parser.add_argument("--members", type=int, default=150, help="stores on the list")
    parser.add_argument("--seed", type=int, default=1, help="of the purges")
    parser.add_argument("--first", type=int, default=0, help="number of the first gateway")
    parser.add_argument("--seconds", type=float, default=60.0, help="after which it ends by itself")
    parser.add_argument("--light", action="store_true", help="followers that poll and count alone")
    parser.add_argument("--gzip", action="store_true", help="ask for it")
    parser.add_argument("--spread-ms", type=int, default=500, help="how long a change of address may take")
    args = parser.parse_args(argv)
    if args.gateways > max_connections():
        parser.error(f"the limit of descriptors leaves room for {max_connections()} connections")
    asyncio.run(serve(args))
    return 0


if __name__ == "__main__":
    sys.exit(main())
