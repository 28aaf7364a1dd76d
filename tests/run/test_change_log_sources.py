"""Following the change log through several relays, on real connections with stand-ins.

Orders of addresses are looked up, not arranged: ``ordered`` sorts the stand-ins as they will be asked.
"""

from __future__ import annotations

import asyncio
import gzip
import json
import os
import signal
import socket
import subprocess
import sys
import time
import zlib
from collections import Counter
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager
from pathlib import Path
from random import Random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hallproxy import Router
from hallproxy.feed import source_selection
from hallproxy.feed.source_selection import SourceSelection, rendezvous_order
from hallproxy.run import change_log_follower, change_log_poller, change_logs
from hallproxy.run.change_log_poller import Poller
from hallproxy.run.config import ConfigError, address
from hallproxy.run.effect_runner import EffectRunner
from hallproxy.run.poll_connection import MAX_PAGE_BYTES, PollConnection
from hallproxy.state.endpoints import EndpointList
from hallproxy.state.events import EndpointListUpdated, Event, PurgeNotified, WatchCaughtUp
from hallproxy.state.local_cache import CacheKey, LocalCache, LocalCacheEntry
from hallproxy.state.model import GatewayState
from hallproxy.state.purges import PurgeTable
from hallproxy.wire import frames
from hallproxy.wire.changelog import (
    GROUP_COUNT,
    ChangeLogError,
    decode_age,
    decode_events,
    decompress,
    snapshot_start,
)
from hallproxy.wire.simulator_settings import settings_from_json
from tests.support.gateway import (
    ROOT,
    ChangeLog,
    HttpStandIn,
    Platform,
    ReceivedRequest,
    instance_record,
    now_ms,
    ok,
    platform_settings,
    poll_parameters,
    response,
    until,
)
from tests.support.processes import eventually, reload_config, reload_count

SECOND = 10**9
SETTINGS = settings_from_json(json.dumps(platform_settings()).encode())
OVER_IN = 2.4  # s in which news must be held, also while who is followed changes


class Relay:
    """A stand-in for one relay of a log; ``way`` is how it answers."""

    def __init__(self, log: ChangeLog, way: str = "good") -> None:
        self.log, self.way = log, way
        self.fields: dict[str, str] = {}  # of good answers
        self.page: Callable[[int], bytes] | None = None  # a body of its own, by the number asked from
        self.http = HttpStandIn(self._answer)
        self.address = address(self.http.address)
        self.asked: list[tuple[int, int]] = []  # number held, ms to wait

    def _answer(self, seen: ReceivedRequest) -> bytes | None:
        since, wait = poll_parameters(seen)
        self.asked.append((since, wait))
        with self.log._changed:
            self.log._changed.wait_for(
                lambda: len(self.log.events) > since or self.way != "good", wait / 1000
            )
            if self.way == "silent":
                return None
            if self.way == "not current":
                return response(503, Retry_After="1")
            body = json.dumps(self.log.page(since)).encode() if self.page is None else self.page(since)
            return response(200, body, **self.fields)

    def turn(self, way: str) -> None:
        with self.log._changed:
            self.way = way
            self.log._changed.notify_all()

    def kill(self) -> None:
        """The process is gone: what is open is reset, connects are refused."""
        self.http.listener.close()


def purge(number: int) -> dict[str, Any]:
    return {"object": f"{number:016x}", "time": now_ms()}


def ordered(relays: list[Relay], name: str = "n1") -> list[Relay]:
    places = rendezvous_order(name, [r.address for r in relays])
    return sorted(relays, key=lambda r: places.index(r.address))


def relays(count: int, log: ChangeLog | None = None) -> list[Relay]:
    log = log or ChangeLog()
    return ordered([Relay(log) for _ in range(count)])


class Follows:
    """A poller in this process, and what it has brought."""

    def __init__(self, addresses: list[Any], since: int = 0, spread: float = 0.5) -> None:
        self.loop = EffectRunner(GatewayState(SETTINGS, Router(SETTINGS, 1)))
        self.brought: list[tuple[float, Event]] = []
        bring = self.loop.dispatch

        def note(event: Event) -> None:
            self.brought.append((time.monotonic(), event))
            bring(event)

        self.loop.dispatch = note  # type: ignore[method-assign]
        self.choice = SourceSelection("n1", tuple(addresses), spread, Random(7))
        self.poller = Poller(self.loop, self.choice, since, has_alternatives=len(addresses) > 1)

    @property
    def purged(self) -> list[int]:
        """The objects of the purges brought, in their order; groups as negative numbers."""
        told = [e for _, e in self.brought if isinstance(e, PurgeNotified)]
        return [e.object if e.object else -1 - e.group for e in told]

    @property
    def news(self) -> list[int]:
        return [e.at for _, e in self.brought if isinstance(e, WatchCaughtUp)]

    @asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        task = asyncio.ensure_future(self.poller.run())
        try:
            yield
        finally:
            assert not task.done()
            task.cancel()


@pytest.fixture
def lines(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    told: list[str] = []
    for module in (change_log_follower, change_log_poller):
        monkeypatch.setattr(module, "log_line", told.append)
    return told


# Whom to ask ----------------------------------------------------------------------------------------------

NINE = tuple((f"10.0.0.{n}", 7000) for n in range(1, 10))
NAMES = [f"gateway-{n}" for n in range(7_100)]


def test_followers_spread_evenly_and_those_of_one_that_goes_spread_over_the_others() -> None:
    before = {name: rendezvous_order(name, NINE)[0] for name in NAMES}
    counts = Counter(before.values())
    share = len(NAMES) / len(NINE)
    assert len(counts) == 9 and all(abs(n - share) <= share / 10 for n in counts.values()), counts
    gone = NINE[4]
    after = {name: rendezvous_order(name, [w for w in NINE if w != gone])[0] for name in NAMES}
    moved = [name for name in NAMES if before[name] != after[name]]
    assert set(moved) == {name for name in NAMES if before[name] == gone}
    new = Counter(after[name] for name in moved)
    # 789 over 8: 99 each, sigma 9.3. More than 4 of them off would be no chance.
    assert len(new) == 8 and all(abs(n - len(moved) / 8) < 4 * 9.3 for n in new.values()), new


def test_the_order_is_the_followers_own_and_not_the_files() -> None:
    assert rendezvous_order("n1", NINE) == rendezvous_order("n1", NINE[::-1])
    assert rendezvous_order("n1", NINE) != rendezvous_order("n2", NINE)


def some(count: int = 3, spread: float = 0.5, seed: int = 1) -> SourceSelection:
    return SourceSelection("n1", NINE[:count], spread, Random(seed))


def test_a_failed_address_rests_for_twice_as_long_each_time_and_at_most_8_s() -> None:
    now, rests = 0, list[int]()
    for _ in range(7):
        whom = some()
        first = whom.select(0)
        for _ in range(len(rests) + 1):
            now += 100 * SECOND
            whom.record_failure(first, now)
        whom.record_success(rendezvous_order("n1", NINE[:3])[1], now)
        end = next(n for n in range(0, 20_000, 100) if whom.select(now + n * SECOND // 1000) == first)
        rests.append(end)
    assert rests == [500, 1000, 2000, 4000, 8000, 8000, 8000]  # ms


def test_failures_are_forgotten_behind_good_answers_that_lasted_and_not_before() -> None:
    for lasted, rest in ((5, 1000), (11, 500)):
        whom = some()
        first = whom.select(0)
        whom.record_failure(first, SECOND)
        whom.record_success(first, 2 * SECOND)
        whom.record_success(first, (2 + lasted) * SECOND)
        whom.record_failure(first, 20 * SECOND)
        whom.record_success(rendezvous_order("n1", NINE[:3])[1], 20 * SECOND)
        assert whom.select(20 * SECOND + (rest - 100) * 10**6) != first
        assert whom.select(20 * SECOND + rest * 10**6) == first


def test_if_all_rest_the_one_whose_rest_ends_first_is_asked() -> None:
    whom = some()
    a, b, c = rendezvous_order("n1", NINE[:3])
    whom.record_failure(a, 0)
    whom.record_failure(a, 0)
    whom.record_failure(c, 1)
    whom.record_failure(b, 2)
    assert whom.select(3) == c


def test_a_third_is_asked_before_one_that_has_failed_twice_though_its_rest_is_over() -> None:
    whom = some()
    a, b, c = rendezvous_order("n1", NINE[:3])
    whom.record_failure(whom.select(0), 0)
    assert whom.select(SECOND) == b
    whom.record_failure(b, SECOND)
    assert whom.select(2 * SECOND) == c
    whom.record_failure(c, 2 * SECOND)
    assert whom.select(3 * SECOND) == a  # a round is over, the next one begins
    whom.record_failure(a, 3 * SECOND)
    assert whom.select(int(3.1 * SECOND)) == b
    whom.record_failure(b, int(4.1 * SECOND))  # a's rest has ended at 4
    assert whom.select(int(4.2 * SECOND)) == c


def test_the_first_pause_is_spread_the_next_ones_short_and_long_once_all_have_failed() -> None:
    first, next_, last = [], [], []
    for seed in range(2_000):
        whom = some(seed=seed)
        first.append(whom.record_failure(whom.select(0), 0))
        next_.append(whom.record_failure(whom.select(1), 1))
        last.append(whom.record_failure(whom.select(2), 2))
    assert 0 <= min(first) < 0.01 and 0.49 < max(first) <= 0.5
    assert 0.2 < sum(first) / 2_000 < 0.3
    assert max(next_) <= 0.125
    assert min(last) >= 0.5 and 1.4 < max(last) <= 1.5


def test_an_address_has_an_alternative_until_all_others_have_failed() -> None:
    """Guards against a short time-out at the last address that is left: the machine may be slow."""
    whom = some()
    a, b, c = rendezvous_order("n1", NINE[:3])
    assert all(whom.has_alternative(address) for address in (a, b, c))
    for failed in (a, b):
        assert whom.select(0) == failed
        whom.record_failure(failed, 0)
    assert not whom.has_alternative(c) and whom.has_alternative(a)
    whom.record_success(c, 0)
    assert whom.has_alternative(c)


def test_a_pause_stays_long_where_nothing_is_to_be_spread_and_all_are_down() -> None:
    whom = some(count=1, spread=0.0)
    assert whom.record_failure(whom.select(0), 0) == 0.0
    assert whom.record_failure(whom.select(1), 1) >= 0.5


def test_followers_come_back_at_random_times_and_only_once_the_rest_is_over() -> None:
    back = []
    for seed in range(500):
        whom = some(seed=seed)
        first = whom.select(0)
        assert whom.preferred(100 * SECOND) is None  # it is followed
        whom.record_failure(first, 0)
        second = whom.select(1)
        whom.record_success(second, 1)
        at = next(n for n in range(0, 20_000, 10) if whom.preferred(n * 10**6) == first)
        back.append(at / 1000)
        assert whom.preferred(at * 10**6) is None  # not again at once
    assert 5 <= min(back) < 5.5 and 14.5 < max(back) <= 15.01
    tried = []
    for seed in range(50):
        whom = some(seed=seed)
        first = whom.select(0)
        for _ in range(9):
            whom.record_failure(first, 14 * SECOND)  # it rests until 22
        whom.record_success(whom.select(14 * SECOND), 14 * SECOND)
        assert whom.preferred(int(21.9 * SECOND)) is None
        tried.append(whom.preferred(22 * SECOND) == first)
    assert any(tried) and not all(tried)


def test_a_better_one_that_was_tried_in_vain_costs_the_one_followed_nothing() -> None:
    whom = some()
    first = whom.select(0)
    whom.record_failure(first, 0)
    whom.record_success(whom.select(1), 1)
    assert whom.record_failure(first, 2) == 0.0
    assert whom.record_failure(whom.select(3), 3) <= 0.5


# Change-over ----------------------------------------------------------------------------------------------


@contextmanager
def never_connects() -> Iterator[Any]:
    """An address whose queue of connections is full: a connect gets no answer."""
    server = socket.socket()
    server.bind(("127.0.0.1", 0))
    server.listen(0)
    waiting = []
    for _ in range(4):
        made = socket.socket()
        made.setblocking(False)
        made.connect_ex(server.getsockname())
        waiting.append(made)
    try:
        yield server.getsockname()
    finally:
        for made in (server, *waiting):
            made.close()


def told_on_time(follows: Follows, added: dict[int, float]) -> None:
    """Each purge was brought once, in order, and within its time."""
    assert follows.purged == sorted(added), follows.purged
    at = {e.object: when for when, e in follows.brought if isinstance(e, PurgeNotified)}
    late = {n: at[n] - when for n, when in added.items()}
    assert max(late.values()) < OVER_IN, late


async def news(log: ChangeLog, added: dict[int, float], count: int, pause: float = 0.02) -> None:
    for _ in range(count):
        number = len(log.events) + 1
        added[number] = time.monotonic()
        log.add(invalidate=purge(number))
        await asyncio.sleep(pause)


WAYS = ["killed", "silent", "not current", "silent, next silent", "killed, next killed"]


@pytest.mark.timing("each purge is held within 2.4 s")
@pytest.mark.parametrize("way", WAYS)
def test_no_event_is_lost_late_or_brought_twice_when_who_is_followed_fails(way: str) -> None:
    those = relays(3)
    added: dict[int, float] = {}

    async def play() -> None:
        follows = Follows([r.address for r in those])
        async with follows.running():
            await news(those[0].log, added, 25)
            assert those[0].asked and not those[1].asked
            for relay, what in zip(those, way.split(", "), strict=False):
                relay.kill() if "killed" in what else relay.turn(what.removeprefix("next "))
            await news(those[0].log, added, 50)
            await eventually(lambda: len(follows.purged) == len(added))
        told_on_time(follows, added)

    asyncio.run(play())
    assert those[1].asked or "next" in way


@pytest.mark.timing("each purge is held within 2.4 s")
def test_an_address_that_never_answers_a_connect_is_left_in_time() -> None:
    log, added = ChangeLog(), dict[int, float]()
    with never_connects() as hung:
        # So many that one comes ahead of the hung one: it is followed, and killed.
        those = [Relay(log) for _ in range(6)]
        places = rendezvous_order("n1", [hung, *(r.address for r in those)])
        name = next(n for n in range(1_000) if rendezvous_order(f"{n}", places)[1] == hung)
        first = next(r for r in those if r.address == rendezvous_order(f"{name}", places)[0])

        async def play() -> None:
            follows = Follows(list(places))
            follows.poller._sources = SourceSelection(f"{name}", places, 0.5, Random(7))
            async with follows.running():
                await news(log, added, 10)
                assert first.asked
                first.kill()
                await news(log, added, 50)
                await eventually(lambda: len(follows.purged) == len(added))
            told_on_time(follows, added)

        asyncio.run(play())


def test_a_relay_that_is_not_current_is_left_without_a_line_for_each_poll(lines: list[str]) -> None:
    """Both are: each goes on being asked, without haste, and nothing counts as heard."""
    those = relays(2)
    for relay in those:
        relay.way = "not current"

    async def play() -> None:
        follows = Follows([r.address for r in those], spread=0.02)
        async with follows.running():
            began = time.monotonic()
            await eventually(lambda: sum(len(r.asked) for r in those) >= 6)
            # From the second failure on pauses are 0.5 s at least: so many can't come sooner.
            assert time.monotonic() - began >= 2.0
            assert all(r.asked for r in those)
            assert not follows.news
            assert len(lines) == 1 and "not current" in lines[0]
            those[1].log.add(invalidate=purge(1))
            those[1].turn("good")
            await eventually(lambda: follows.purged == [1] and follows.news)

    asyncio.run(play())


@pytest.mark.timing("a first poll has 0.6 s, a later one 1.25 s")
def test_a_relay_that_stops_tells_its_page_and_is_left_without_a_line(lines: list[str]) -> None:
    those = relays(2)
    those[0].fields = {"Connection": "close"}

    async def play() -> None:
        follows = Follows([r.address for r in those])
        those[0].log.add(invalidate=purge(1))
        async with follows.running():
            await eventually(lambda: those[1].asked)
            assert follows.purged == [1] and len(those[0].asked) == 1
            assert those[1].asked[0][0] == 1

    asyncio.run(play())
    assert not lines


@pytest.mark.timing("a first poll has 0.6 s, a later one 1.25 s")
def test_the_first_poll_of_a_start_asks_the_next_address_where_the_first_is_down(lines: list[str]) -> None:
    for way in ("killed", "silent"):
        those = relays(3)
        those[0].kill() if way == "killed" else those[0].turn("silent")
        those[0].log.add(invalidate=purge(1))

        async def play(those: list[Relay] = those) -> None:
            follows = Follows([r.address for r in those])
            async with follows.running():
                await follows.poller.wait_until_current()
                assert follows.purged == [1]
                assert those[1].asked[0] == (0, 0)

        asyncio.run(play())
    assert not any("starting with" in x for x in lines)


@pytest.mark.timing("each purge is held within 0.4 s")
@pytest.mark.parametrize("trial", ["good", "silent", "not current"])
def test_a_follower_comes_back_and_no_poll_waits_for_it(
    trial: str, monkeypatch: pytest.MonkeyPatch, lines: list[str]
) -> None:
    """The better one is tried on a second connection; one that is silent there delays nothing."""
    monkeypatch.setattr(source_selection, "RETURN_DELAY", (0.2, 0.3))
    those = relays(2)
    log, added = those[0].log, dict[int, float]()
    those[0].way = "not current"

    async def play() -> None:
        follows = Follows([r.address for r in those], spread=0.02)
        async with follows.running():
            await eventually(lambda: those[1].asked)
            those[0].turn(trial)
            before = len(those[0].asked)
            await news(log, added, 100)
            await eventually(lambda: len(those[0].asked) > before)
            await news(log, added, 50)
            await eventually(lambda: len(follows.purged) == len(added))
            assert follows.purged == sorted(added)
            at = {e.object: when for when, e in follows.brought if isinstance(e, PurgeNotified)}
            if trial == "good":
                assert follows.poller._connection is not None
                assert follows.poller._connection.source == those[0].address
                until(lambda: those[1].http.listener.connections[-1].fileno() < 0)
            else:
                assert follows.poller._connection is not None
                assert follows.poller._connection.source == those[1].address
                # Had a poll waited for the trial, what was told meanwhile would be as late as that takes.
                assert (
                    max(at[n] - when for n, when in added.items()) < change_log_follower.SHORT_CONNECT_TIMEOUT
                )

    asyncio.run(play())
    assert len(lines) == 1 and "not current" in lines[0]  # of the start: coming back is no trouble


def test_a_better_address_that_is_behind_is_not_gone_back_to(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its answer ends at a lower number than the one held: following it would take news back."""
    monkeypatch.setattr(source_selection, "RETURN_DELAY", (0.1, 0.2))
    log, late = ChangeLog(), ChangeLog()
    late.add(invalidate=purge(1))
    for n in range(1, 4):
        log.add(invalidate=purge(n))
    those = ordered([Relay(log), Relay(log)])
    those[0].log, those[0].way = late, "not current"

    async def play() -> None:
        follows = Follows([r.address for r in those], spread=0.02)
        async with follows.running():
            await eventually(lambda: len(follows.purged) == 3)
            those[0].turn("good")
            before = len(those[0].asked)
            await eventually(lambda: len(those[0].asked) >= before + 2 * change_log_follower.TRIAL_POLLS)
            assert (
                follows.poller._connection is not None
                and follows.poller._connection.source == those[1].address
            )
            assert follows.purged == [1, 2, 3]
            late.events += [{"seq": n, "invalidate": purge(n)} for n in (2, 3, 4)]
            await eventually(lambda: follows.purged == [1, 2, 3, 4])
            assert follows.poller._connection.source == those[0].address

    asyncio.run(play())


@pytest.mark.timing("a first poll has 0.6 s, a later one 1.25 s")
def test_a_page_that_is_read_as_another_takes_its_place_is_dropped() -> None:
    """The bytes have been read and the poll has not gone on yet: its turn comes behind the change-over."""
    those = ordered([Relay(ChangeLog()), Relay(ChangeLog())])
    former, better = those

    async def play() -> None:
        running = asyncio.get_running_loop()
        follows = Follows([r.address for r in those])
        async with follows.running():
            await eventually(lambda: len(former.asked) >= 2)
            open_ = follows.poller._connection
            assert open_ is not None and open_.source == former.address
            new = PollConnection.open(better.address)
            await new.connect(1.0)
            new.fresh = False

            def change_over() -> None:
                follows.poller._connection = new
                open_.stream.close()

            running.call_later(0.01, change_over)
            due = time.monotonic() + 0.02
            former.fields = {"Connection": "close"}
            former.log.add(invalidate=purge(1))
            until(lambda: open_.stream.is_stale() and time.monotonic() > due)  # no turn until both are there
            await eventually(lambda: better.asked)
            assert not follows.purged and better.asked[0][0] == 0
            better.log.add(invalidate=purge(2))
            await eventually(lambda: follows.purged == [2])
            assert len(better.http.listener.connections) == 1

    asyncio.run(play())


@pytest.mark.timing("the new address is asked within 0.7 s")
def test_what_is_open_is_closed_as_the_addresses_move() -> None:
    """A poll that is held on it, or silent, delays nothing: new ones are asked at once."""
    log = ChangeLog()
    old, new = Relay(log, "silent"), Relay(log)

    async def play() -> None:
        follows = Follows([old.address], since=0)
        follows.poller._first_response.set()
        async with follows.running():
            await eventually(lambda: old.asked)
            assert old.asked == [(0, 1_000)]
            began = time.monotonic()
            follows.poller.reconfigure(SourceSelection("n1", (new.address,), 0.5, Random(1)), {"results": []})
            await eventually(lambda: new.asked)
            assert time.monotonic() - began < 0.7  # the poll has 1.25 s

    asyncio.run(play())


@pytest.mark.parametrize("alternatives", [True, False])
def test_new_sources_decide_whether_there_are_alternatives(alternatives: bool) -> None:
    """Timeouts are shorter where there are: both a move to several addresses and one back to a single one."""

    async def play() -> None:
        former = [("127.0.0.1", 1)] if alternatives else [("127.0.0.1", 1), ("127.0.0.1", 2)]
        poller = Follows(former).poller
        assert poller.has_alternatives is not alternatives
        sources = SourceSelection("n1", (("127.0.0.1", 3),), 0.5, Random(1))
        poller.reconfigure(sources, {"results": []}, alternatives)
        assert poller.has_alternatives is alternatives

    asyncio.run(play())


# What is said ---------------------------------------------------------------------------------------------


@pytest.mark.timing("a first poll has 0.6 s, a later one 1.25 s")
def test_the_poll_asks_for_gzip_and_a_single_address_from_the_configuration_does_not() -> None:
    those = relays(2)
    packed = gzip.compress(json.dumps({"seq": 1, "results": [{"seq": 1, "invalidate": purge(1)}]}).encode())
    those[0].fields, those[0].page = {"Content-Encoding": "gzip"}, lambda since: packed

    async def play() -> None:
        follows = Follows([r.address for r in those])
        async with follows.running():
            await eventually(lambda: follows.purged == [1])
        assert those[0].http.requests[0].fields["accept-encoding"] == "gzip"
        loop = EffectRunner(GatewayState(SETTINGS, Router(SETTINGS, 1)))
        alone = asyncio.ensure_future(Poller(loop, those[1].address, 0).run())
        await eventually(lambda: len(those[1].http.requests) > 1)
        assert all(set(s.fields) == {"host"} for s in those[1].http.requests)
        alone.cancel()

    asyncio.run(play())


PAGE = json.dumps({"seq": 1, "results": [{"seq": 1, "invalidate": {"object": "07", "time": 1}}]}).encode()
BOMB = gzip.compress(PAGE[:-1] + b" " * (MAX_PAGE_BYTES + 1) + b"}", mtime=0)


@pytest.mark.timing("a first poll has 0.6 s, a later one 1.25 s")
@pytest.mark.parametrize(
    ("fields", "body"),
    [
        ({"Content-Encoding": "gzip"}, BOMB),
        ({"Content-Encoding": "gzip"}, gzip.compress(PAGE, mtime=0)[:-1]),
        ({"Content-Encoding": "gzip"}, gzip.compress(PAGE, mtime=0) + b"more"),
        ({"Content-Encoding": "gzip"}, PAGE),
        ({"Content-Encoding": "deflate"}, zlib.compress(PAGE)),
        ({"Content-Encoding": "br"}, PAGE),
        ({"Content-Encoding": "gzip, gzip"}, gzip.compress(gzip.compress(PAGE, mtime=0), mtime=0)),
        ({"Age": "soon"}, PAGE),
        ({"Age": "-1"}, PAGE),
        ({"Age": "1.5"}, PAGE),
        ({"Age": "9" * 11}, PAGE),
        ({"Age": ""}, PAGE),
        ({}, PAGE[:-20]),
    ],
    # Named, because compressed bytes carry the time and would name each run's tests differently.
    ids=[
        "gzip_beyond_the_limit",
        "gzip_cut_short",
        "gzip_with_trailing_bytes",
        "gzip_declared_but_plain",
        "deflate",
        "brotli",
        "gzip_twice",
        "age_a_word",
        "age_negative",
        "age_fractional",
        "age_of_eleven_digits",
        "age_empty",
        "json_cut_short",
    ],
)
def test_nonsense_is_not_taken_and_the_next_one_is_asked(
    fields: dict[str, str], body: bytes, lines: list[str]
) -> None:
    assert len(BOMB) < 100_000  # small on the way
    those = relays(2)
    those[0].log.add(invalidate=purge(9))
    those[0].fields, those[0].page = fields, lambda since: body

    async def play() -> None:
        follows = Follows([r.address for r in those])
        async with follows.running():
            await eventually(lambda: follows.purged)
            assert follows.purged == [9] and len(those[0].asked) == 1
            assert len(follows.news) == 1

    asyncio.run(play())
    assert any("ChangeLogError" in x for x in lines)


def test_a_plain_page_of_the_most_bytes_is_unpacked_and_one_byte_more_is_not() -> None:
    assert decompress(gzip.compress(b"x" * 1000), "gzip", 1000) == b"x" * 1000
    with pytest.raises(ChangeLogError, match="over"):
        decompress(gzip.compress(b"x" * 1001), "gzip", 1000)
    assert decompress(b"as it is", "", 3) == b"as it is"
    assert decompress(b"as it is", "Identity", 3) == b"as it is"


@pytest.mark.timing("a first poll has 0.6 s, a later one 1.25 s")
def test_the_age_of_an_answer_dates_its_news_back() -> None:
    those = relays(1)
    those[0].fields = {"Age": "3"}

    async def play() -> None:
        follows = Follows([r.address for r in those])
        async with follows.running():
            began = time.time_ns()
            await eventually(lambda: len(follows.news) >= 2)
            assert began - 3 * SECOND <= follows.news[0] <= time.time_ns() - 3 * SECOND

    asyncio.run(play())
    assert decode_age("0") == 0 and decode_age("17") == 17 * SECOND


@pytest.mark.timing("a first poll has 0.6 s, a later one 1.25 s")
def test_a_gap_is_asked_about_twice_and_garbled_news_is_no_first_time(lines: list[str]) -> None:
    """The first relay's page can't be read, the second one's leaves a gap: that may still be filled."""
    log = ChangeLog()
    log.add(invalidate=purge(1))
    log.add(invalidate=purge(2))
    those = relays(2, log)
    gapped = json.dumps({"seq": 2, "results": log.events[1:]}).encode()
    those[0].page = lambda since: b"{" if len(those[0].asked) == 1 else json.dumps(log.page(since)).encode()
    those[1].page = lambda since: gapped

    async def play() -> None:
        follows = Follows([r.address for r in those], spread=0.0)
        async with follows.running():
            await eventually(lambda: follows.purged)
            assert follows.purged == [1, 2] and len(those[1].asked) == 1

    asyncio.run(play())
    assert any("gap" in x for x in lines)


@pytest.mark.timing("a first poll has 0.6 s, a later one 1.25 s")
def test_a_gap_that_stands_is_passed_over(lines: list[str]) -> None:
    those = relays(2)
    gapped = json.dumps({"seq": 2, "results": [{"seq": 2, "invalidate": purge(2)}]}).encode()
    for relay in those:
        relay.page = lambda since: gapped if since < 2 else b'{"seq": 2, "results": []}'

    async def play() -> None:
        follows = Follows([r.address for r in those])
        async with follows.running():
            await eventually(lambda: follows.purged)
            assert follows.purged == [2] and sum(since < 2 for r in those for since, _ in r.asked) == 2

    asyncio.run(play())
    assert sum("gap" in x for x in lines) == 1


# Whole pages ----------------------------------------------------------------------------------------------


def whole(last: int, lines: list[Any], purged: int = 0) -> dict[str, Any]:
    """A whole page that ends at ``last``: the list, then each group purged at that time (ms)."""
    told: list[dict[str, Any]] = [{"fleet": {"generation": 1, "reset": True, "instances": lines}}]
    told += [
        {"invalidate": {"object": "", "bucket": n, "time": purged or now_ms()}} for n in range(GROUP_COUNT)
    ]
    return {"seq": last, "results": [{"seq": last - GROUP_COUNT + n, **one} for n, one in enumerate(told)]}


LINES = [instance_record("s-9", "127.0.0.1:9", "std")]
ALL_GROUPS = [-1 - n for n in range(GROUP_COUNT)]


@pytest.mark.parametrize(
    ("last", "held"), [(900, 5), (900, 700), (900, 900), (900, 5_000), (1, 0), (1, 1), (1, 5_000)]
)
def test_a_whole_page_is_taken_whatever_number_was_held(last: int, held: int) -> None:
    """From far below it, from inside it, from its last number and from above it; it may begin below 0."""
    those = relays(1)
    those[0].page = lambda since: json.dumps(
        whole(last, LINES) if len(those[0].asked) == 1 else {"seq": last + 1, "results": [
            {"seq": last + 1, "invalidate": purge(77)}] if since == last else []}
    ).encode()  # fmt: skip

    async def play() -> None:
        follows = Follows([r.address for r in those], since=held)
        async with follows.running():
            await eventually(lambda: 77 in follows.purged)
            assert follows.purged == [*ALL_GROUPS, 77]
            assert list(follows.loop.state.endpoints.by_id) == [b"s-9"]
            assert those[0].asked[0][0] == held and those[0].asked[1][0] == last

    asyncio.run(play())


def not_whole(page: dict[str, Any], what: str) -> dict[str, Any]:
    results = page["results"]
    if what == "a group is missing":
        del results[-1]
    elif what == "a group is there twice":
        results[-1]["invalidate"]["bucket"] = 3
    elif what == "a gap":
        results[-1]["seq"] += 1
    elif what == "no reset":
        results[0]["fleet"]["reset"] = False
    elif what == "no list":
        del results[0]
        results.append({"seq": 901, "invalidate": {"object": "", "bucket": 0, "time": 1}})
    elif what == "an object's purge":
        results[7]["invalidate"]["object"] = f"{7:016x}"
    elif what == "an unknown kind":
        results[7] = {"seq": results[7]["seq"], "other": {}}
    else:
        assert what == "a list among the purges"
        results[7]["fleet"] = results[0]["fleet"]
    return page


PARTS = ["a group is missing", "a group is there twice", "a gap", "no reset", "no list", "an object's purge",
         "an unknown kind", "a list among the purges"]  # fmt: skip


@pytest.mark.timing("a first poll has 0.6 s, a later one 1.25 s")
@pytest.mark.parametrize("what", PARTS)
@pytest.mark.parametrize("held", [5, 5_000])
def test_anything_less_than_a_whole_page_is_none(what: str, held: int) -> None:
    page = not_whole(whole(900, LINES), what)
    assert snapshot_start(whole(900, LINES)) == 900 - GROUP_COUNT - 1 and snapshot_start(page) is None
    those = relays(2)
    those[0].page = lambda since: json.dumps(page).encode()
    those[1].way = "silent"

    async def play() -> None:
        follows = Follows([r.address for r in those], since=held)
        async with follows.running():
            await eventually(lambda: len(those[0].asked) >= (1 if held < 100 else 2))
            assert not follows.purged and follows.poller.since == held

    asyncio.run(play())


@pytest.mark.timing("a first poll has 0.6 s, a later one 1.25 s")
@pytest.mark.parametrize("place", [0, 100, GROUP_COUNT])
def test_of_a_whole_page_that_cannot_be_read_nothing_is_taken(place: int) -> None:
    page = whole(900, LINES)
    if place:
        page["results"][place]["invalidate"]["time"] = "soon"
    else:
        page["results"][0]["fleet"]["instances"] = [{"instanceId": "s-9"}]
    those = relays(2)
    those[0].page = lambda since: json.dumps(page).encode()
    those[1].log.add(invalidate=purge(1))

    async def play() -> None:
        follows = Follows([r.address for r in those])
        async with follows.running():
            await eventually(lambda: follows.purged)
            assert follows.purged == [1] and not follows.loop.state.endpoints.by_id

    asyncio.run(play())


IDS = [f"s-{n}" for n in range(4)]
CHANGE = st.tuples(st.sampled_from(IDS), st.sampled_from(["Ready", "Terminating", "Gone"]), st.integers(1, 3))
STEP = st.one_of(
    st.tuples(st.just("list"), st.booleans(), st.lists(CHANGE, max_size=4, unique_by=lambda c: c[0])),
    st.tuples(st.just("purge"), st.integers(0, 5), st.integers(0, 3)),
)


def folded(events: list[dict[str, Any]]) -> list[Any]:
    """The list as a relay would fold it."""
    held: dict[str, Any] = {}
    for event in events:
        if "fleet" in event:
            if event["fleet"]["reset"]:
                held = {}
            held |= {line["instanceId"]: line for line in event["fleet"]["instances"]}
    return [line for line in held.values() if line["lifecycle"] != "Gone"]


@settings(max_examples=200, deadline=None)
@given(st.lists(STEP, max_size=12), st.integers(0, 12))
def test_a_whole_page_leaves_what_replaying_all_events_does_and_no_copy_from_before_a_purge(
    steps: list[Any], told: int
) -> None:
    """One has heard the first ``told`` events, then gets a whole page; the other hears all of them."""
    start = 1_700_000_000_000
    log: list[dict[str, Any]] = []
    for n, step in enumerate(steps):
        if step[0] == "list":
            lines = [
                instance_record(s, f"127.0.0.1:{p}", "std", state, startedAtMs=p) for s, state, p in step[2]
            ]
            change = {"generation": n, "reset": step[1], "instances": lines}
            log.append({"seq": n + 1, "fleet": change})
        else:
            obj = f"{step[1]:016x}" if step[1] else ""
            log.append({"seq": n + 1, "invalidate": {"object": obj, "bucket": step[2], "time": start + n}})
    latest = max((e["invalidate"]["time"] for e in log if "invalidate" in e), default=1)

    def hear(page: dict[str, Any], since: int, to: tuple[EndpointList, PurgeTable, LocalCache]) -> int:
        first = snapshot_start(page)
        now = (start + 50) * 10**6
        for seq, event in decode_events(page, since if first is None else first, SETTINGS, now):
            since = seq
            if isinstance(event, EndpointListUpdated):
                to[0].apply(event.change, event.addresses)
            elif isinstance(event, PurgeNotified):
                to[1].add(event.object, event.group, event.purged_at, event.age_counted_from)
                to[2].purge(event.object, event.group, event.purged_at)
        return since

    def copies() -> LocalCache:
        made = LocalCache(max_bytes=10**6)
        for obj in range(1, 6):
            for group in range(4):
                for born in range(len(steps) + 1):
                    place = CacheKey(group, obj, born)
                    made.put(place, LocalCacheEntry(b"x", "t", (start + born) * 10**6, group, 1))
        return made

    replayed, paged = (EndpointList(), PurgeTable(), copies()), (EndpointList(), PurgeTable(), copies())
    hear({"results": log}, 0, replayed)
    since = hear({"results": log[:told]}, 0, paged)
    page = whole(1_000 + len(log), folded(log), latest)
    assert hear(page, since, paged) == 1_000 + len(log)
    assert paged[0].by_id == replayed[0].by_id and paged[0].processes == replayed[0].processes
    left = {(p, c.generated_at) for rank in paged[2].ranks for p, c in rank.items()}
    for thing in range(1, 6):
        for group in range(4):
            # What is left here is left there too, and none that comes later from before a purge will do.
            assert paged[1].purged_at(thing, group) >= replayed[1].purged_at(thing, group)
            assert paged[1].age_counted_from(thing, group) >= replayed[1].age_counted_from(thing, group)
    assert left <= {(p, c.generated_at) for rank in replayed[2].ranks for p, c in rank.items()}
    assert all(born > paged[1].purged_at(place[1], place[0]) for place, born in left)


# The program ----------------------------------------------------------------------------------------------


def logs_file(path: Path, those: list[Relay], **more: Any) -> Path:
    file = path / "change-logs.toml"
    names = ", ".join(f'"{r.http.address}"' for r in those)
    rest = "".join(f"{key} = {value}\n" for key, value in more.items())
    file.write_text(f"addresses = [{names}]\n{rest}")
    return file


@contextmanager
def site(path: Path, count: int, **more: Any) -> Iterator[tuple[Platform, list[Relay]]]:
    """A gateway that follows relays; the log's own address in the configuration is asked by nobody."""
    log = ChangeLog()
    platform = Platform(path)
    lines = [instance_record(f"s-{n}", c.address, "std") for n, c in enumerate(platform.caches)]
    lines += [
        instance_record("p-0", "127.0.0.1:1", "parent"),
        instance_record("o-0", "127.0.0.1:1", "origin"),
    ]
    log.add(fleet={"generation": 1, "reset": True, "instances": lines})
    those = relays(count, log)
    platform.args = ("--change-logs", str(logs_file(path, those)))
    platform.start(**more)
    try:
        yield platform, those
    finally:
        if platform.program.process.poll() is None:
            platform.program.process.kill()
        platform.program.wait()


def held(those: list[Relay], number: int) -> bool:
    return any(since == number for r in those for since, _ in r.asked)


def test_a_gateway_follows_the_files_addresses_and_goes_on_where_one_is_killed(tmp_path: Path) -> None:
    with site(tmp_path, 3) as (platform, those):
        until(lambda: those[0].asked)
        those[0].log.add(invalidate=purge(1))
        until(lambda: held(those[:1], 2))
        those[0].kill()
        those[0].log.add(invalidate=purge(2))
        until(lambda: held(those[1:2], 3))
        assert not those[2].asked and not platform.log.polls
        client = platform.client()
        client.send_request()
        assert client.read_response()[0] == frames.SERVED
        assert platform.program.stop() == 0


def test_a_whole_page_ends_connections_to_processes_that_went(tmp_path: Path) -> None:
    with site(tmp_path, 1) as (platform, those):
        client = platform.client()
        platform.caches[0].reply = platform.caches[1].reply = ok()
        for row in range(1, 9):
            client.send_request(row=row)
            assert client.read_response()[0] == frames.SERVED
        assert all(c.requests for c in platform.caches)
        lines = [instance_record("s-1", platform.caches[1].address, "std")]
        lines += [
            instance_record("p-0", "127.0.0.1:1", "parent"),
            instance_record("o-0", "127.0.0.1:1", "origin"),
        ]
        page = json.dumps(whole(900, lines, 1)).encode()
        those[0].page = lambda since: page if since < 900 else b'{"seq": 900, "results": []}'
        those[0].log.add(invalidate=purge(1))  # wakes the held poll
        until(lambda: held(those, 900))
        until(lambda: all(s.fileno() < 0 for s in platform.caches[0].listener.connections))
        assert any(s.fileno() >= 0 for s in platform.caches[1].listener.connections)
        before = len(platform.caches[0].requests)
        for row in range(11, 19):
            client.send_request(row=row)
            assert client.read_response()[0] == frames.SERVED
        assert len(platform.caches[0].requests) == before


def test_sighup_reads_the_file_anew_and_moves_whole_or_not_at_all(tmp_path: Path) -> None:
    with site(tmp_path, 2) as (platform, those):
        until(lambda: those[0].asked)
        new = [Relay(those[0].log)]
        file = logs_file(tmp_path, new, spread_ms='"much"')
        reload_config(platform)
        assert any("configuration not reloaded" in x and "spread_ms" in x for x in platform.program.lines)
        those[0].log.add(invalidate=purge(1))
        until(lambda: held(those, 2))
        assert not new[0].asked
        logs_file(tmp_path, new)
        reload_config(platform)
        until(lambda: new[0].asked)
        assert new[0].asked[0][0] == 2  # the numbers go on
        asked = [len(r.asked) for r in those]
        connections = len(new[0].http.listener.connections)
        reload_config(platform)  # the same file once more: what is open stays
        new[0].log.add(invalidate=purge(2))
        until(lambda: held(new, 3))
        assert len(new[0].http.listener.connections) == connections
        assert asked == [len(r.asked) for r in those] and reload_count(platform.program) == 3
        file.unlink()
        reload_config(platform)
        assert any("can't be read" in x for x in platform.program.lines)
        assert platform.program.stop() == 0


BAD = [
    "",
    "addresses = []",
    "addresses = 'a:1'",
    "addresses = ['a']",
    "addresses = ['a:0']",
    "addresses = ['a:65536']",
    "addresses = [1]",
    "addresses = [['a:1']]",
    "addresses = ['a:1', 'b:1', 'a:1']",
    "addresses = ['a:1', 'a:01']",
    "addresses = [" + ", ".join(f"'a:{n}'" for n in range(1, 66)) + "]",
    "addresses = ['a:1']\nspread = 1",
    "addresses = ['a:1']\nspread_ms = -1",
    "addresses = ['a:1']\nspread_ms = 10001",
    "addresses = ['a:1']\nspread_ms = 1.5",
    "addresses = ['a:1']\nspread_ms = true",
    "addresses = ['a:1'\n",
    "\udcff",
]


@pytest.mark.parametrize("text", BAD)
def test_a_file_that_cannot_be_used_is_one_plain_line(tmp_path: Path, text: str) -> None:
    file = tmp_path / "change-logs.toml"
    file.write_bytes(text.encode(errors="surrogateescape"))
    with pytest.raises(ConfigError) as raised:
        change_logs.load(file)
    assert str(file) in str(raised.value) and "\n" not in str(raised.value)


def test_what_a_file_may_say(tmp_path: Path) -> None:
    file = tmp_path / "change-logs.toml"
    many = [f"10.0.0.1:{n}" for n in range(1, 65)]
    file.write_text(f"addresses = {json.dumps(many)}\nspread_ms = 0\n")
    told = change_logs.load(file)
    assert len(told.addresses) == 64 and told.spread_ms == 0 and told.has_alternatives
    file.write_text('addresses = ["relay-1:7000"]\n')
    assert change_logs.load(file) == change_logs.ChangeLogs((("relay-1", 7000),), 500)


def test_a_start_with_a_file_that_cannot_be_used_ends_with_one_line_and_a_status(tmp_path: Path) -> None:
    platform = Platform(tmp_path).start()
    platform.program.stop()
    file = tmp_path / "change-logs.toml"
    file.write_text("addresses = []\n")
    ran = subprocess.run(
        [sys.executable, "-m", "hallproxy", "--change-logs", str(file)], cwd=ROOT, capture_output=True,
        text=True, timeout=20, env=os.environ | {"EDGE_CONFIG": str(tmp_path / "config.json")},
    )  # fmt: skip
    assert ran.returncode == 1 and ran.stdout == ""
    assert ran.stderr == f"hallproxy: {file}: addresses is not a list of 1 to 64\n"


def test_a_gateway_without_the_option_imports_nothing_of_it(tmp_path: Path) -> None:
    """It starts, polls and serves where those packages can't be imported at all."""
    platform = Platform(tmp_path).start()
    platform.program.stop()
    text = (
        "import sys, threading, time, signal, os\n"
        "for name in ('feed', 'relay', 'lab', 'run.change_logs'): sys.modules['hallproxy.' + name] = None\n"
        "from hallproxy.commands import main\n"
        "sys.exit(main([]))\n"
    )
    process = subprocess.Popen(
        [sys.executable, "-c", text], cwd=ROOT, stderr=subprocess.PIPE, text=True,
        env=os.environ | {"EDGE_CONFIG": str(tmp_path / "config.json")},
    )  # fmt: skip
    try:
        before = len(platform.log.polls)
        until(lambda: len(platform.log.polls) > before + 1)
        process.send_signal(signal.SIGTERM)
        _, err = process.communicate(timeout=20)
        assert process.returncode == 0 and "listens on" in err and "Error" not in err, err
    finally:
        process.kill()
        process.wait()
