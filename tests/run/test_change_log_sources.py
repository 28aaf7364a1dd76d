"""Following the change log through several relays, on real connections with stand-ins.

The order of addresses is computed, not chosen: ``sorted_by_preference`` sorts the stand-ins in polling order.
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
from hallproxy.run.change_log_follower import MAX_PAGE_BYTES
from hallproxy.run.change_log_poller import Poller
from hallproxy.run.config import ConfigError, address
from hallproxy.run.effect_runner import EffectRunner
from hallproxy.run.poll_connection import PollConnection
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
MAX_DELIVERY_TIME = 2.4  # s in which events must be delivered, also while the source changes


class Relay:
    """A stand-in for one relay of a log; ``mode`` selects how it responds."""

    def __init__(self, log: ChangeLog, mode: str = "good") -> None:
        self.log, self.mode = log, mode
        self.fields: dict[str, str] = {}  # headers of good responses
        self.page: Callable[[int], bytes] | None = None  # overrides the body, by the number polled from
        self.http = HttpStandIn(self._answer)
        self.address = address(self.http.address)
        self.polls: list[tuple[int, int]] = []  # number polled from, ms to wait

    def _answer(self, request: ReceivedRequest) -> bytes | None:
        since, wait = poll_parameters(request)
        self.polls.append((since, wait))
        with self.log._changed:
            self.log._changed.wait_for(
                lambda: len(self.log.events) > since or self.mode != "good", wait / 1000
            )
            if self.mode == "silent":
                return None
            if self.mode == "not current":
                return response(503, Retry_After="1")
            body = json.dumps(self.log.page(since)).encode() if self.page is None else self.page(since)
            return response(200, body, **self.fields)

    def set_mode(self, mode: str) -> None:
        with self.log._changed:
            self.mode = mode
            self.log._changed.notify_all()

    def kill(self) -> None:
        """Simulate the death of the process: open connections are reset, connects refused."""
        self.http.listener.close()


def purge(number: int) -> dict[str, Any]:
    return {"object": f"{number:016x}", "time": now_ms()}


def sorted_by_preference(relays: list[Relay], name: str = "n1") -> list[Relay]:
    order = rendezvous_order(name, [r.address for r in relays])
    return sorted(relays, key=lambda r: order.index(r.address))


def start_relays(count: int, log: ChangeLog | None = None) -> list[Relay]:
    log = log or ChangeLog()
    return sorted_by_preference([Relay(log) for _ in range(count)])


class Follower:
    """A poller in this process that records the events it dispatches."""

    def __init__(self, addresses: list[Any], since: int = 0, spread: float = 0.5) -> None:
        self.runner = EffectRunner(GatewayState(SETTINGS, Router(SETTINGS, 1)))
        self.events: list[tuple[float, Event]] = []
        dispatch = self.runner.dispatch

        def record(event: Event) -> None:
            self.events.append((time.monotonic(), event))
            dispatch(event)

        self.runner.dispatch = record  # type: ignore[method-assign]
        self.sources = SourceSelection("n1", tuple(addresses), spread, Random(7))
        self.poller = Poller(self.runner, self.sources, since, has_alternatives=len(addresses) > 1)

    @property
    def purged(self) -> list[int]:
        """The objects of the dispatched purges, in order; groups as negative numbers."""
        purges = [e for _, e in self.events if isinstance(e, PurgeNotified)]
        return [e.object if e.object else -1 - e.group for e in purges]

    @property
    def caught_up_times(self) -> list[int]:
        return [e.at for _, e in self.events if isinstance(e, WatchCaughtUp)]

    @asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        task = asyncio.ensure_future(self.poller.run())
        try:
            yield
        finally:
            assert not task.done()
            task.cancel()


@pytest.fixture
def log_lines(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    logged: list[str] = []
    for module in (change_log_follower, change_log_poller):
        monkeypatch.setattr(module, "log_line", logged.append)
    return logged


# Source selection -----------------------------------------------------------------------------------------

ADDRESSES = tuple((f"10.0.0.{n}", 7000) for n in range(1, 10))
NAMES = [f"gateway-{n}" for n in range(7_100)]


def test_followers_spread_evenly_and_those_of_a_removed_relay_spread_over_the_others() -> None:
    before = {name: rendezvous_order(name, ADDRESSES)[0] for name in NAMES}
    counts = Counter(before.values())
    share = len(NAMES) / len(ADDRESSES)
    assert len(counts) == 9 and all(abs(n - share) <= share / 10 for n in counts.values()), counts
    removed = ADDRESSES[4]
    after = {name: rendezvous_order(name, [a for a in ADDRESSES if a != removed])[0] for name in NAMES}
    moved = [name for name in NAMES if before[name] != after[name]]
    assert set(moved) == {name for name in NAMES if before[name] == removed}
    new = Counter(after[name] for name in moved)
    # 789 over 8: 99 each, sigma 9.3. A deviation of more than 4 sigma is not chance.
    assert len(new) == 8 and all(abs(n - len(moved) / 8) < 4 * 9.3 for n in new.values()), new


def test_the_order_depends_on_the_follower_name_and_not_on_the_file() -> None:
    assert rendezvous_order("n1", ADDRESSES) == rendezvous_order("n1", ADDRESSES[::-1])
    assert rendezvous_order("n1", ADDRESSES) != rendezvous_order("n2", ADDRESSES)


def new_selection(count: int = 3, spread: float = 0.5, seed: int = 1) -> SourceSelection:
    return SourceSelection("n1", ADDRESSES[:count], spread, Random(seed))


def test_the_backoff_of_a_failed_address_doubles_up_to_8_s() -> None:
    now, backoffs = 0, list[int]()
    for _ in range(7):
        sources = new_selection()
        first = sources.select(0)
        for _ in range(len(backoffs) + 1):
            now += 100 * SECOND
            sources.record_failure(first, now)
        sources.record_success(rendezvous_order("n1", ADDRESSES[:3])[1], now)
        end = next(n for n in range(0, 20_000, 100) if sources.select(now + n * SECOND // 1000) == first)
        backoffs.append(end)
    assert backoffs == [500, 1000, 2000, 4000, 8000, 8000, 8000]  # ms


def test_failures_are_forgotten_only_after_a_lasting_success() -> None:
    for succeeded_for, backoff in ((5, 1000), (11, 500)):
        sources = new_selection()
        first = sources.select(0)
        sources.record_failure(first, SECOND)
        sources.record_success(first, 2 * SECOND)
        sources.record_success(first, (2 + succeeded_for) * SECOND)
        sources.record_failure(first, 20 * SECOND)
        sources.record_success(rendezvous_order("n1", ADDRESSES[:3])[1], 20 * SECOND)
        assert sources.select(20 * SECOND + (backoff - 100) * 10**6) != first
        assert sources.select(20 * SECOND + backoff * 10**6) == first


def test_if_all_back_off_the_one_whose_backoff_ends_first_is_selected() -> None:
    sources = new_selection()
    a, b, c = rendezvous_order("n1", ADDRESSES[:3])
    sources.record_failure(a, 0)
    sources.record_failure(a, 0)
    sources.record_failure(c, 1)
    sources.record_failure(b, 2)
    assert sources.select(3) == c


def test_a_third_address_is_selected_before_one_that_failed_though_its_backoff_has_ended() -> None:
    sources = new_selection()
    a, b, c = rendezvous_order("n1", ADDRESSES[:3])
    sources.record_failure(sources.select(0), 0)
    assert sources.select(SECOND) == b
    sources.record_failure(b, SECOND)
    assert sources.select(2 * SECOND) == c
    sources.record_failure(c, 2 * SECOND)
    assert sources.select(3 * SECOND) == a  # all have failed: the next round begins
    sources.record_failure(a, 3 * SECOND)
    assert sources.select(int(3.1 * SECOND)) == b
    sources.record_failure(b, int(4.1 * SECOND))  # a's backoff ended at 4
    assert sources.select(int(4.2 * SECOND)) == c


def test_the_first_pause_is_spread_the_next_are_short_and_long_once_all_have_failed() -> None:
    first, next_, last = [], [], []
    for seed in range(2_000):
        sources = new_selection(seed=seed)
        first.append(sources.record_failure(sources.select(0), 0))
        next_.append(sources.record_failure(sources.select(1), 1))
        last.append(sources.record_failure(sources.select(2), 2))
    assert 0 <= min(first) < 0.01 and 0.49 < max(first) <= 0.5
    assert 0.2 < sum(first) / 2_000 < 0.3
    assert max(next_) <= 0.125
    assert min(last) >= 0.5 and 1.4 < max(last) <= 1.5


def test_an_address_has_an_alternative_until_all_others_have_failed() -> None:
    """Guards against a short timeout at the last address left: the machine may be slow."""
    sources = new_selection()
    a, b, c = rendezvous_order("n1", ADDRESSES[:3])
    assert all(sources.has_alternative(address) for address in (a, b, c))
    for failed in (a, b):
        assert sources.select(0) == failed
        sources.record_failure(failed, 0)
    assert not sources.has_alternative(c) and sources.has_alternative(a)
    sources.record_success(c, 0)
    assert sources.has_alternative(c)


def test_the_pause_stays_long_without_spread_when_all_are_down() -> None:
    sources = new_selection(count=1, spread=0.0)
    assert sources.record_failure(sources.select(0), 0) == 0.0
    assert sources.record_failure(sources.select(1), 1) >= 0.5


def test_followers_return_at_random_times_and_only_after_the_backoff() -> None:
    returns = []
    for seed in range(500):
        sources = new_selection(seed=seed)
        first = sources.select(0)
        assert sources.preferred(100 * SECOND) is None  # it is the current one
        sources.record_failure(first, 0)
        second = sources.select(1)
        sources.record_success(second, 1)
        at = next(n for n in range(0, 20_000, 10) if sources.preferred(n * 10**6) == first)
        returns.append(at / 1000)
        assert sources.preferred(at * 10**6) is None  # not offered again at once
    assert 5 <= min(returns) < 5.5 and 14.5 < max(returns) <= 15.01
    tried = []
    for seed in range(50):
        sources = new_selection(seed=seed)
        first = sources.select(0)
        for _ in range(9):
            sources.record_failure(first, 14 * SECOND)  # it backs off until 22
        sources.record_success(sources.select(14 * SECOND), 14 * SECOND)
        assert sources.preferred(int(21.9 * SECOND)) is None
        tried.append(sources.preferred(22 * SECOND) == first)
    assert any(tried) and not all(tried)


def test_a_failed_trial_of_a_preferred_address_does_not_affect_the_current_one() -> None:
    sources = new_selection()
    first = sources.select(0)
    sources.record_failure(first, 0)
    sources.record_success(sources.select(1), 1)
    assert sources.record_failure(first, 2) == 0.0
    assert sources.record_failure(sources.select(3), 3) <= 0.5


# Failover -------------------------------------------------------------------------------------------------


@contextmanager
def unresponsive_address() -> Iterator[Any]:
    """An address whose listen backlog is full: a connect never completes."""
    server = socket.socket()
    server.bind(("127.0.0.1", 0))
    server.listen(0)
    fillers = []
    for _ in range(4):
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex(server.getsockname())
        fillers.append(filler)
    try:
        yield server.getsockname()
    finally:
        for opened in (server, *fillers):
            opened.close()


def assert_delivered_on_time(follower: Follower, added: dict[int, float]) -> None:
    """Each purge was dispatched once, in order, and in time."""
    assert follower.purged == sorted(added), follower.purged
    at = {e.object: when for when, e in follower.events if isinstance(e, PurgeNotified)}
    delays = {n: at[n] - when for n, when in added.items()}
    assert max(delays.values()) < MAX_DELIVERY_TIME, delays


async def publish_purges(log: ChangeLog, added: dict[int, float], count: int, pause: float = 0.02) -> None:
    for _ in range(count):
        number = len(log.events) + 1
        added[number] = time.monotonic()
        log.add(invalidate=purge(number))
        await asyncio.sleep(pause)


FAILURES = ["killed", "silent", "not current", "silent, next silent", "killed, next killed"]


@pytest.mark.timing("each purge is dispatched within 2.4 s")
@pytest.mark.parametrize("failure", FAILURES)
def test_no_event_is_lost_late_or_dispatched_twice_when_the_source_fails(failure: str) -> None:
    relays = start_relays(3)
    added: dict[int, float] = {}

    async def scenario() -> None:
        follower = Follower([r.address for r in relays])
        async with follower.running():
            await publish_purges(relays[0].log, added, 25)
            assert relays[0].polls and not relays[1].polls
            for relay, mode in zip(relays, failure.split(", "), strict=False):
                relay.kill() if "killed" in mode else relay.set_mode(mode.removeprefix("next "))
            await publish_purges(relays[0].log, added, 50)
            await eventually(lambda: len(follower.purged) == len(added))
        assert_delivered_on_time(follower, added)

    asyncio.run(scenario())
    assert relays[1].polls or "next" in failure


@pytest.mark.timing("each purge is dispatched within 2.4 s")
def test_an_address_that_never_answers_a_connect_is_abandoned_in_time() -> None:
    log, added = ChangeLog(), dict[int, float]()
    with unresponsive_address() as hung:
        # Enough that one is preferred to the hung one: it is polled first, then killed.
        relays = [Relay(log) for _ in range(6)]
        addresses = rendezvous_order("n1", [hung, *(r.address for r in relays)])
        name = next(n for n in range(1_000) if rendezvous_order(f"{n}", addresses)[1] == hung)
        first = next(r for r in relays if r.address == rendezvous_order(f"{name}", addresses)[0])

        async def scenario() -> None:
            follower = Follower(list(addresses))
            follower.poller._sources = SourceSelection(f"{name}", addresses, 0.5, Random(7))
            async with follower.running():
                await publish_purges(log, added, 10)
                assert first.polls
                first.kill()
                await publish_purges(log, added, 50)
                await eventually(lambda: len(follower.purged) == len(added))
            assert_delivered_on_time(follower, added)

        asyncio.run(scenario())


def test_a_relay_that_is_not_current_is_not_logged_for_each_poll(log_lines: list[str]) -> None:
    """Neither relay is current: both are polled without haste, and the follower is not caught up."""
    relays = start_relays(2)
    for relay in relays:
        relay.mode = "not current"

    async def scenario() -> None:
        follower = Follower([r.address for r in relays], spread=0.02)
        async with follower.running():
            began = time.monotonic()
            await eventually(lambda: sum(len(r.polls) for r in relays) >= 6)
            # From the second failure on pauses are at least 0.5 s, so this many polls take at least 2 s.
            assert time.monotonic() - began >= 2.0
            assert all(r.polls for r in relays)
            assert not follower.caught_up_times
            assert len(log_lines) == 1 and "not current" in log_lines[0]
            relays[1].log.add(invalidate=purge(1))
            relays[1].set_mode("good")
            await eventually(lambda: follower.purged == [1] and follower.caught_up_times)

    asyncio.run(scenario())


@pytest.mark.timing("a first poll has 0.6 s, a later one 1.25 s")
def test_the_last_page_of_a_closing_relay_is_applied_and_the_close_not_logged(log_lines: list[str]) -> None:
    relays = start_relays(2)
    relays[0].fields = {"Connection": "close"}

    async def scenario() -> None:
        follower = Follower([r.address for r in relays])
        relays[0].log.add(invalidate=purge(1))
        async with follower.running():
            await eventually(lambda: relays[1].polls)
            assert follower.purged == [1] and len(relays[0].polls) == 1
            assert relays[1].polls[0][0] == 1

    asyncio.run(scenario())
    assert not log_lines


@pytest.mark.timing("a first poll has 0.6 s, a later one 1.25 s")
def test_the_first_poll_at_startup_moves_to_the_next_address_if_the_first_is_down(
    log_lines: list[str],
) -> None:
    for failure in ("killed", "silent"):
        relays = start_relays(3)
        relays[0].kill() if failure == "killed" else relays[0].set_mode("silent")
        relays[0].log.add(invalidate=purge(1))

        async def scenario(relays: list[Relay] = relays) -> None:
            follower = Follower([r.address for r in relays])
            async with follower.running():
                await follower.poller.wait_until_current()
                assert follower.purged == [1]
                assert relays[1].polls[0] == (0, 0)

        asyncio.run(scenario())
    assert not any("starting with" in x for x in log_lines)


@pytest.mark.timing("each purge is dispatched within 0.4 s")
@pytest.mark.parametrize("trial", ["good", "silent", "not current"])
def test_a_follower_returns_to_a_preferred_relay_and_no_poll_waits_for_it(
    trial: str, monkeypatch: pytest.MonkeyPatch, log_lines: list[str]
) -> None:
    """The preferred relay is tried on a second connection; one that is silent there delays no poll."""
    monkeypatch.setattr(source_selection, "RETURN_DELAY", (0.2, 0.3))
    relays = start_relays(2)
    log, added = relays[0].log, dict[int, float]()
    relays[0].mode = "not current"

    async def scenario() -> None:
        follower = Follower([r.address for r in relays], spread=0.02)
        async with follower.running():
            await eventually(lambda: relays[1].polls)
            relays[0].set_mode(trial)
            before = len(relays[0].polls)
            await publish_purges(log, added, 100)
            await eventually(lambda: len(relays[0].polls) > before)
            await publish_purges(log, added, 50)
            await eventually(lambda: len(follower.purged) == len(added))
            assert follower.purged == sorted(added)
            at = {e.object: when for when, e in follower.events if isinstance(e, PurgeNotified)}
            if trial == "good":
                assert follower.poller._connection is not None
                assert follower.poller._connection.source == relays[0].address
                until(lambda: relays[1].http.listener.connections[-1].fileno() < 0)
            else:
                assert follower.poller._connection is not None
                assert follower.poller._connection.source == relays[1].address
                # Had a poll waited for the trial, events added meanwhile would be late by its duration.
                assert (
                    max(at[n] - when for n, when in added.items()) < change_log_follower.SHORT_CONNECT_TIMEOUT
                )

    asyncio.run(scenario())
    assert len(log_lines) == 1 and "not current" in log_lines[0]  # from the start: a return logs nothing


def test_a_follower_does_not_return_to_a_preferred_address_that_is_behind(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its page ends at a lower number than the current one: following it would undo events."""
    monkeypatch.setattr(source_selection, "RETURN_DELAY", (0.1, 0.2))
    log, lagging = ChangeLog(), ChangeLog()
    lagging.add(invalidate=purge(1))
    for n in range(1, 4):
        log.add(invalidate=purge(n))
    relays = sorted_by_preference([Relay(log), Relay(log)])
    relays[0].log, relays[0].mode = lagging, "not current"

    async def scenario() -> None:
        follower = Follower([r.address for r in relays], spread=0.02)
        async with follower.running():
            await eventually(lambda: len(follower.purged) == 3)
            relays[0].set_mode("good")
            before = len(relays[0].polls)
            await eventually(lambda: len(relays[0].polls) >= before + 2 * change_log_follower.TRIAL_POLLS)
            assert (
                follower.poller._connection is not None
                and follower.poller._connection.source == relays[1].address
            )
            assert follower.purged == [1, 2, 3]
            lagging.events += [{"seq": n, "invalidate": purge(n)} for n in (2, 3, 4)]
            await eventually(lambda: follower.purged == [1, 2, 3, 4])
            assert follower.poller._connection.source == relays[0].address

    asyncio.run(scenario())


@pytest.mark.timing("a first poll has 0.6 s, a later one 1.25 s")
def test_a_page_read_while_its_connection_is_replaced_is_dropped() -> None:
    """The bytes have been read, but the connection is replaced before the poll resumes."""
    relays = sorted_by_preference([Relay(ChangeLog()), Relay(ChangeLog())])
    former, preferred = relays

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        follower = Follower([r.address for r in relays])
        async with follower.running():
            await eventually(lambda: len(former.polls) >= 2)
            current = follower.poller._connection
            assert current is not None and current.source == former.address
            replacement = PollConnection.open(preferred.address)
            await replacement.connect(1.0)
            replacement.fresh = False

            def replace_connection() -> None:
                follower.poller._connection = replacement
                current.stream.close()

            loop.call_later(0.01, replace_connection)
            timer_due = time.monotonic() + 0.02
            former.fields = {"Connection": "close"}
            former.log.add(invalidate=purge(1))
            # Blocks the loop until both are ready.
            until(lambda: current.stream.is_stale() and time.monotonic() > timer_due)
            await eventually(lambda: preferred.polls)
            assert not follower.purged and preferred.polls[0][0] == 0
            preferred.log.add(invalidate=purge(2))
            await eventually(lambda: follower.purged == [2])
            assert len(preferred.http.listener.connections) == 1

    asyncio.run(scenario())


@pytest.mark.timing("the new address is polled within 0.7 s")
def test_open_connections_are_closed_when_the_addresses_change() -> None:
    """A poll that waits at the old address, or is unanswered, does not delay the poll of the new one."""
    log = ChangeLog()
    old, new = Relay(log, "silent"), Relay(log)

    async def scenario() -> None:
        follower = Follower([old.address], since=0)
        follower.poller._first_response.set()
        async with follower.running():
            await eventually(lambda: old.polls)
            assert old.polls == [(0, 1_000)]
            began = time.monotonic()
            follower.poller.reconfigure(
                SourceSelection("n1", (new.address,), 0.5, Random(1)), {"results": []}
            )
            await eventually(lambda: new.polls)
            assert time.monotonic() - began < 0.7  # the poll has 1.25 s

    asyncio.run(scenario())


@pytest.mark.parametrize("alternatives", [True, False])
def test_new_sources_decide_whether_there_are_alternatives(alternatives: bool) -> None:
    """Timeouts are shorter with alternatives: covers one address changed to several, and several to one."""

    async def scenario() -> None:
        former = [("127.0.0.1", 1)] if alternatives else [("127.0.0.1", 1), ("127.0.0.1", 2)]
        poller = Follower(former).poller
        assert poller.has_alternatives is not alternatives
        sources = SourceSelection("n1", (("127.0.0.1", 3),), 0.5, Random(1))
        poller.reconfigure(sources, {"results": []}, alternatives)
        assert poller.has_alternatives is alternatives

    asyncio.run(scenario())


# Response parsing -----------------------------------------------------------------------------------------


@pytest.mark.timing("a first poll has 0.6 s, a later one 1.25 s")
def test_a_poll_accepts_gzip_but_not_with_a_single_address_from_the_configuration() -> None:
    relays = start_relays(2)
    compressed = gzip.compress(
        json.dumps({"seq": 1, "results": [{"seq": 1, "invalidate": purge(1)}]}).encode()
    )
    relays[0].fields, relays[0].page = {"Content-Encoding": "gzip"}, lambda since: compressed

    async def scenario() -> None:
        follower = Follower([r.address for r in relays])
        async with follower.running():
            await eventually(lambda: follower.purged == [1])
        assert relays[0].http.requests[0].fields["accept-encoding"] == "gzip"
        runner = EffectRunner(GatewayState(SETTINGS, Router(SETTINGS, 1)))
        task = asyncio.ensure_future(Poller(runner, relays[1].address, 0).run())
        await eventually(lambda: len(relays[1].http.requests) > 1)
        assert all(set(request.fields) == {"host"} for request in relays[1].http.requests)
        task.cancel()

    asyncio.run(scenario())


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
    # Named, because compressed bytes carry the time and would change the test ids with each run.
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
def test_an_invalid_page_is_not_applied_and_the_next_relay_is_polled(
    fields: dict[str, str], body: bytes, log_lines: list[str]
) -> None:
    assert len(BOMB) < 100_000  # small on the wire
    relays = start_relays(2)
    relays[0].log.add(invalidate=purge(9))
    relays[0].fields, relays[0].page = fields, lambda since: body

    async def scenario() -> None:
        follower = Follower([r.address for r in relays])
        async with follower.running():
            await eventually(lambda: follower.purged)
            assert follower.purged == [9] and len(relays[0].polls) == 1
            assert len(follower.caught_up_times) == 1

    asyncio.run(scenario())
    assert any("ChangeLogError" in x for x in log_lines)


def test_a_page_of_the_maximum_size_is_decompressed_and_one_byte_more_is_not() -> None:
    assert decompress(gzip.compress(b"x" * 1000), "gzip", 1000) == b"x" * 1000
    with pytest.raises(ChangeLogError, match="over"):
        decompress(gzip.compress(b"x" * 1001), "gzip", 1000)
    assert decompress(b"as it is", "", 3) == b"as it is"
    assert decompress(b"as it is", "Identity", 3) == b"as it is"


@pytest.mark.timing("a first poll has 0.6 s, a later one 1.25 s")
def test_the_age_of_a_response_dates_its_events_back() -> None:
    relays = start_relays(1)
    relays[0].fields = {"Age": "3"}

    async def scenario() -> None:
        follower = Follower([r.address for r in relays])
        async with follower.running():
            began = time.time_ns()
            await eventually(lambda: len(follower.caught_up_times) >= 2)
            assert began - 3 * SECOND <= follower.caught_up_times[0] <= time.time_ns() - 3 * SECOND

    asyncio.run(scenario())
    assert decode_age("0") == 0 and decode_age("17") == 17 * SECOND


@pytest.mark.timing("a first poll has 0.6 s, a later one 1.25 s")
def test_a_gap_is_polled_twice_and_an_unreadable_page_does_not_count(log_lines: list[str]) -> None:
    """The first relay's page is unreadable, the second one's has a gap, which another poll may still fill."""
    log = ChangeLog()
    log.add(invalidate=purge(1))
    log.add(invalidate=purge(2))
    relays = start_relays(2, log)
    gapped = json.dumps({"seq": 2, "results": log.events[1:]}).encode()
    relays[0].page = lambda since: b"{" if len(relays[0].polls) == 1 else json.dumps(log.page(since)).encode()
    relays[1].page = lambda since: gapped

    async def scenario() -> None:
        follower = Follower([r.address for r in relays], spread=0.0)
        async with follower.running():
            await eventually(lambda: follower.purged)
            assert follower.purged == [1, 2] and len(relays[1].polls) == 1

    asyncio.run(scenario())
    assert any("gap" in x for x in log_lines)


@pytest.mark.timing("a first poll has 0.6 s, a later one 1.25 s")
def test_a_gap_that_persists_is_skipped(log_lines: list[str]) -> None:
    relays = start_relays(2)
    gapped = json.dumps({"seq": 2, "results": [{"seq": 2, "invalidate": purge(2)}]}).encode()
    for relay in relays:
        relay.page = lambda since: gapped if since < 2 else b'{"seq": 2, "results": []}'

    async def scenario() -> None:
        follower = Follower([r.address for r in relays])
        async with follower.running():
            await eventually(lambda: follower.purged)
            assert follower.purged == [2] and sum(since < 2 for r in relays for since, _ in r.polls) == 2

    asyncio.run(scenario())
    assert sum("gap" in x for x in log_lines) == 1


# Snapshots ------------------------------------------------------------------------------------------------


def snapshot(last: int, instances: list[Any], purged: int = 0) -> dict[str, Any]:
    """A snapshot page that ends at ``last``: the list, then each group purged at ``purged`` (ms)."""
    events: list[dict[str, Any]] = [{"fleet": {"generation": 1, "reset": True, "instances": instances}}]
    events += [
        {"invalidate": {"object": "", "bucket": n, "time": purged or now_ms()}} for n in range(GROUP_COUNT)
    ]
    return {
        "seq": last,
        "results": [{"seq": last - GROUP_COUNT + n, **event} for n, event in enumerate(events)],
    }


INSTANCES = [instance_record("s-9", "127.0.0.1:9", "std")]
ALL_GROUPS = [-1 - n for n in range(GROUP_COUNT)]


@pytest.mark.parametrize(
    ("last", "since"), [(900, 5), (900, 700), (900, 900), (900, 5_000), (1, 0), (1, 1), (1, 5_000)]
)
def test_a_snapshot_is_applied_whatever_number_the_follower_has_reached(last: int, since: int) -> None:
    """The follower is far below its numbers, within them, at the last or above; the first may be negative."""
    relays = start_relays(1)
    relays[0].page = lambda number: json.dumps(
        snapshot(last, INSTANCES) if len(relays[0].polls) == 1 else {"seq": last + 1, "results": [
            {"seq": last + 1, "invalidate": purge(77)}] if number == last else []}
    ).encode()  # fmt: skip

    async def scenario() -> None:
        follower = Follower([r.address for r in relays], since=since)
        async with follower.running():
            await eventually(lambda: 77 in follower.purged)
            assert follower.purged == [*ALL_GROUPS, 77]
            assert list(follower.runner.state.endpoints.by_id) == [b"s-9"]
            assert relays[0].polls[0][0] == since and relays[0].polls[1][0] == last

    asyncio.run(scenario())


def with_defect(page: dict[str, Any], defect: str) -> dict[str, Any]:
    results = page["results"]
    if defect == "a group is missing":
        del results[-1]
    elif defect == "a group is there twice":
        results[-1]["invalidate"]["bucket"] = 3
    elif defect == "a gap":
        results[-1]["seq"] += 1
    elif defect == "no reset":
        results[0]["fleet"]["reset"] = False
    elif defect == "no list":
        del results[0]
        results.append({"seq": 901, "invalidate": {"object": "", "bucket": 0, "time": 1}})
    elif defect == "an object's purge":
        results[7]["invalidate"]["object"] = f"{7:016x}"
    elif defect == "an unknown kind":
        results[7] = {"seq": results[7]["seq"], "other": {}}
    else:
        assert defect == "a list among the purges"
        results[7]["fleet"] = results[0]["fleet"]
    return page


DEFECTS = ["a group is missing", "a group is there twice", "a gap", "no reset", "no list",
           "an object's purge", "an unknown kind", "a list among the purges"]  # fmt: skip


@pytest.mark.timing("a first poll has 0.6 s, a later one 1.25 s")
@pytest.mark.parametrize("defect", DEFECTS)
@pytest.mark.parametrize("since", [5, 5_000])
def test_an_incomplete_snapshot_is_not_applied(defect: str, since: int) -> None:
    page = with_defect(snapshot(900, INSTANCES), defect)
    assert snapshot_start(snapshot(900, INSTANCES)) == 900 - GROUP_COUNT - 1 and snapshot_start(page) is None
    relays = start_relays(2)
    relays[0].page = lambda _: json.dumps(page).encode()
    relays[1].mode = "silent"

    async def scenario() -> None:
        follower = Follower([r.address for r in relays], since=since)
        async with follower.running():
            await eventually(lambda: len(relays[0].polls) >= (1 if since < 100 else 2))
            assert not follower.purged and follower.poller.since == since

    asyncio.run(scenario())


@pytest.mark.timing("a first poll has 0.6 s, a later one 1.25 s")
@pytest.mark.parametrize("position", [0, 100, GROUP_COUNT])
def test_nothing_of_an_unreadable_snapshot_is_applied(position: int) -> None:
    page = snapshot(900, INSTANCES)
    if position:
        page["results"][position]["invalidate"]["time"] = "soon"
    else:
        page["results"][0]["fleet"]["instances"] = [{"instanceId": "s-9"}]
    relays = start_relays(2)
    relays[0].page = lambda _: json.dumps(page).encode()
    relays[1].log.add(invalidate=purge(1))

    async def scenario() -> None:
        follower = Follower([r.address for r in relays])
        async with follower.running():
            await eventually(lambda: follower.purged)
            assert follower.purged == [1] and not follower.runner.state.endpoints.by_id

    asyncio.run(scenario())


IDS = [f"s-{n}" for n in range(4)]
CHANGE = st.tuples(st.sampled_from(IDS), st.sampled_from(["Ready", "Terminating", "Gone"]), st.integers(1, 3))
STEP = st.one_of(
    st.tuples(st.just("list"), st.booleans(), st.lists(CHANGE, max_size=4, unique_by=lambda c: c[0])),
    st.tuples(st.just("purge"), st.integers(0, 5), st.integers(0, 3)),
)


def fold_instances(events: list[dict[str, Any]]) -> list[Any]:
    """The endpoint list as a relay folds it from the events."""
    instances: dict[str, Any] = {}
    for event in events:
        if "fleet" in event:
            if event["fleet"]["reset"]:
                instances = {}
            instances |= {record["instanceId"]: record for record in event["fleet"]["instances"]}
    return [record for record in instances.values() if record["lifecycle"] != "Gone"]


@settings(max_examples=200, deadline=None)
@given(st.lists(STEP, max_size=12), st.integers(0, 12))
def test_a_snapshot_restores_what_a_replay_does_and_leaves_no_copy_from_before_a_purge(
    steps: list[Any], applied: int
) -> None:
    """One follower applies the first ``applied`` events, then a snapshot; the other applies all events."""
    start = 1_700_000_000_000
    log: list[dict[str, Any]] = []
    for n, step in enumerate(steps):
        if step[0] == "list":
            instances = [
                instance_record(s, f"127.0.0.1:{p}", "std", state, startedAtMs=p) for s, state, p in step[2]
            ]
            change = {"generation": n, "reset": step[1], "instances": instances}
            log.append({"seq": n + 1, "fleet": change})
        else:
            obj = f"{step[1]:016x}" if step[1] else ""
            log.append({"seq": n + 1, "invalidate": {"object": obj, "bucket": step[2], "time": start + n}})
    latest = max((e["invalidate"]["time"] for e in log if "invalidate" in e), default=1)

    def apply_page(
        page: dict[str, Any], since: int, target: tuple[EndpointList, PurgeTable, LocalCache]
    ) -> int:
        first = snapshot_start(page)
        now = (start + 50) * 10**6
        for seq, event in decode_events(page, since if first is None else first, SETTINGS, now):
            since = seq
            if isinstance(event, EndpointListUpdated):
                target[0].apply(event.change, event.addresses)
            elif isinstance(event, PurgeNotified):
                target[1].add(event.object, event.group, event.purged_at, event.age_counted_from)
                target[2].purge(event.object, event.group, event.purged_at)
        return since

    def filled_cache() -> LocalCache:
        cache = LocalCache(max_bytes=10**7)
        for obj in range(1, 6):
            for group in range(4):
                for born in range(len(steps) + 1):
                    key = CacheKey(group, obj, born)
                    cache.put(key, LocalCacheEntry(b"x", "t", (start + born) * 10**6, group, 1))
        return cache

    replayed, restored = (
        (EndpointList(), PurgeTable(), filled_cache()),
        (EndpointList(), PurgeTable(), filled_cache()),
    )
    apply_page({"results": log}, 0, replayed)
    since = apply_page({"results": log[:applied]}, 0, restored)
    page = snapshot(1_000 + len(log), fold_instances(log), latest)
    assert apply_page(page, since, restored) == 1_000 + len(log)
    assert restored[0].by_id == replayed[0].by_id and restored[0].processes == replayed[0].processes
    remaining = {(p, c.generated_at) for rank in restored[2].ranks for p, c in rank.items()}
    for number in range(1, 6):
        for group in range(4):
            # No copy survives here that is purged there, and none from before a purge is accepted later.
            assert restored[1].purged_at(number, group) >= replayed[1].purged_at(number, group)
            assert restored[1].age_counted_from(number, group) >= replayed[1].age_counted_from(number, group)
    assert remaining <= {(p, c.generated_at) for rank in replayed[2].ranks for p, c in rank.items()}
    assert all(born > restored[1].purged_at(key[1], key[0]) for key, born in remaining)


# The program ----------------------------------------------------------------------------------------------


def write_logs_file(path: Path, relays: list[Relay], **extra_keys: Any) -> Path:
    file = path / "change-logs.toml"
    names = ", ".join(f'"{r.http.address}"' for r in relays)
    extra = "".join(f"{key} = {value}\n" for key, value in extra_keys.items())
    file.write_text(f"addresses = [{names}]\n{extra}")
    return file


@contextmanager
def relayed_gateway(path: Path, count: int, **extra_config: Any) -> Iterator[tuple[Platform, list[Relay]]]:
    """A gateway that follows relays; nobody polls the log's own address from the configuration."""
    log = ChangeLog()
    platform = Platform(path)
    instances = [instance_record(f"s-{n}", c.address, "std") for n, c in enumerate(platform.caches)]
    instances += [
        instance_record("p-0", "127.0.0.1:1", "parent"),
        instance_record("o-0", "127.0.0.1:1", "origin"),
    ]
    log.add(fleet={"generation": 1, "reset": True, "instances": instances})
    relays = start_relays(count, log)
    platform.args = ("--change-logs", str(write_logs_file(path, relays)))
    platform.start(**extra_config)
    try:
        yield platform, relays
    finally:
        if platform.program.process.poll() is None:
            platform.program.process.kill()
        platform.program.wait()


def polled_from(relays: list[Relay], number: int) -> bool:
    return any(since == number for r in relays for since, _ in r.polls)


def test_a_gateway_follows_the_addresses_of_the_file_and_survives_the_death_of_one(tmp_path: Path) -> None:
    with relayed_gateway(tmp_path, 3) as (platform, relays):
        until(lambda: relays[0].polls)
        relays[0].log.add(invalidate=purge(1))
        until(lambda: polled_from(relays[:1], 2))
        relays[0].kill()
        relays[0].log.add(invalidate=purge(2))
        until(lambda: polled_from(relays[1:2], 3))
        assert not relays[2].polls and not platform.log.polls
        client = platform.client()
        client.send_request()
        assert client.read_response()[0] == frames.SERVED
        assert platform.program.stop() == 0


def test_a_snapshot_closes_connections_to_removed_processes(tmp_path: Path) -> None:
    with relayed_gateway(tmp_path, 1) as (platform, relays):
        client = platform.client()
        platform.caches[0].reply = platform.caches[1].reply = ok()
        for row in range(1, 9):
            client.send_request(row=row)
            assert client.read_response()[0] == frames.SERVED
        assert all(c.requests for c in platform.caches)
        instances = [instance_record("s-1", platform.caches[1].address, "std")]
        instances += [
            instance_record("p-0", "127.0.0.1:1", "parent"),
            instance_record("o-0", "127.0.0.1:1", "origin"),
        ]
        page = json.dumps(snapshot(900, instances, 1)).encode()
        relays[0].page = lambda since: page if since < 900 else b'{"seq": 900, "results": []}'
        relays[0].log.add(invalidate=purge(1))  # wakes the waiting poll
        until(lambda: polled_from(relays, 900))
        until(lambda: all(s.fileno() < 0 for s in platform.caches[0].listener.connections))
        assert any(s.fileno() >= 0 for s in platform.caches[1].listener.connections)
        before = len(platform.caches[0].requests)
        for row in range(11, 19):
            client.send_request(row=row)
            assert client.read_response()[0] == frames.SERVED
        assert len(platform.caches[0].requests) == before


def test_sighup_rereads_the_file_and_applies_all_of_it_or_nothing(tmp_path: Path) -> None:
    with relayed_gateway(tmp_path, 2) as (platform, relays):
        until(lambda: relays[0].polls)
        replacement = [Relay(relays[0].log)]
        file = write_logs_file(tmp_path, replacement, spread_ms='"much"')
        reload_config(platform)
        assert any("configuration not reloaded" in x and "spread_ms" in x for x in platform.program.lines)
        relays[0].log.add(invalidate=purge(1))
        until(lambda: polled_from(relays, 2))
        assert not replacement[0].polls
        write_logs_file(tmp_path, replacement)
        reload_config(platform)
        until(lambda: replacement[0].polls)
        assert replacement[0].polls[0][0] == 2  # the sequence numbers continue
        polls = [len(r.polls) for r in relays]
        connections = len(replacement[0].http.listener.connections)
        reload_config(platform)  # the same file once more: open connections stay
        replacement[0].log.add(invalidate=purge(2))
        until(lambda: polled_from(replacement, 3))
        assert len(replacement[0].http.listener.connections) == connections
        assert polls == [len(r.polls) for r in relays] and reload_count(platform.program) == 3
        file.unlink()
        reload_config(platform)
        assert any("can't be read" in x for x in platform.program.lines)
        assert platform.program.stop() == 0


INVALID_FILES = [
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


@pytest.mark.parametrize("text", INVALID_FILES)
def test_an_invalid_file_raises_a_one_line_error(tmp_path: Path, text: str) -> None:
    file = tmp_path / "change-logs.toml"
    file.write_bytes(text.encode(errors="surrogateescape"))
    with pytest.raises(ConfigError) as raised:
        change_logs.load(file)
    assert str(file) in str(raised.value) and "\n" not in str(raised.value)


def test_valid_files_are_loaded(tmp_path: Path) -> None:
    file = tmp_path / "change-logs.toml"
    many = [f"10.0.0.1:{n}" for n in range(1, 65)]
    file.write_text(f"addresses = {json.dumps(many)}\nspread_ms = 0\n")
    logs = change_logs.load(file)
    assert len(logs.addresses) == 64 and logs.spread_ms == 0 and logs.has_alternatives
    file.write_text('addresses = ["relay-1:7000"]\n')
    assert change_logs.load(file) == change_logs.ChangeLogs((("relay-1", 7000),), 500)


def test_a_start_with_an_invalid_file_exits_with_one_line_and_status_1(tmp_path: Path) -> None:
    platform = Platform(tmp_path).start()
    platform.program.stop()
    file = tmp_path / "change-logs.toml"
    file.write_text("addresses = []\n")
    completed = subprocess.run(
        [sys.executable, "-m", "hallproxy", "--change-logs", str(file)], cwd=ROOT, capture_output=True,
        text=True, timeout=20, env=os.environ | {"EDGE_CONFIG": str(tmp_path / "config.json")},
    )  # fmt: skip
    assert completed.returncode == 1 and completed.stdout == ""
    assert completed.stderr == f"hallproxy: {file}: addresses is not a list of 1 to 64\n"


def test_a_gateway_without_the_option_imports_nothing_of_it(tmp_path: Path) -> None:
    """It starts, polls and serves where those packages cannot be imported at all."""
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
