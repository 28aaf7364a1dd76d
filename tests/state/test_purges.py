"""Purges: their retention, eviction from a full table, and that no older copy is served."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from hallproxy import interface as i
from hallproxy.state import effects, events
from hallproxy.state.limits import Limits
from hallproxy.state.local_cache import CacheKey, LocalCacheEntry
from hallproxy.state.purges import EXPIRED_PER_EVENT, MAX_PURGES, NEVER, PurgeTable, PurgeTimes
from hallproxy.wire.changelog import decode_events
from tests.support.reducer import MS, SECOND, START, ReducerHarness, response_kinds

RATE = 180  # purges per second at the operators' scale
PURGE_DURATION, DEADLINE = 6 * SECOND, 10 * SECOND
RETENTION = 27 * SECOND  # PURGE_DURATION + clock allowance + FILL_HOPS * DEADLINE: 6 + 1 + 2 x 10


class PurgeHarness(ReducerHarness):
    """The reducer with a local cache and a known longest deadline; class 0 is always fresh."""

    def __init__(self, purge_duration: int = PURGE_DURATION, **state_fields: Any) -> None:
        super().__init__(stores=1, limits=Limits(local_cache_bytes=10**6), **state_fields)
        self.reload(purge_duration)
        self.downstreams = 0

    def reload(self, purge_duration: int, deadline: int = DEADLINE) -> None:
        first, *rest = self.state.settings.classes
        classes = (replace(first, deadline=deadline), *(replace(c, deadline=SECOND) for c in rest))
        settings = replace(self.state.settings, purge_duration=purge_duration, classes=classes)
        self.dispatch(events.Reconfigured(self.now, settings, self.state.limits))

    def purge(self, obj: int, group: int = 0, at: int | None = None, live: bool = True) -> None:
        at = self.now if at is None else at
        self.dispatch(events.PurgeNotified(self.now, obj, group, at, max(self.now, at) if live else at))

    def tick(self) -> None:
        """Dispatch an event that changes nothing by itself, so that purges expire."""
        self.dispatch(events.WatchCaughtUp(self.now))

    def cache_entry(self, obj: int, generated_at: int, group: int = 0) -> None:
        self.state.local_cache.put(
            CacheKey(0, obj, 0), LocalCacheEntry(b"x", "t", generated_at, group, 1, "v")
        )

    def send(self, obj: int, group: int = 0) -> int:
        """Request an object that is not cached; return the connection that its attempt was sent on."""
        self.downstreams += 1
        request = events.ClientRequest(f"n-{self.downstreams}", 0, DEADLINE, obj, f"{obj:x}", group=group)
        emitted = self.dispatch(events.RequestReceived(self.now, self.downstreams, request))
        assert not response_kinds(emitted)
        connection = next(
            e.connection for e in emitted if isinstance(e, effects.OpenConnection | effects.SendRequest)
        )
        if any(isinstance(e, effects.OpenConnection) for e in emitted):
            assert any(
                isinstance(e, effects.SendRequest)
                for e in self.dispatch(events.ConnectionOpened(self.now, connection))
            )
        return connection

    def respond(self, connection: int, generated_at: int, **response_fields: Any) -> list[effects.Effect]:
        """Dispatch the response on a connection, as one that the router ranked for caching."""
        attempt = self.state.connections[connection].attempt
        assert attempt is not None
        attempt.action = replace(attempt.action, cache_rank=1)
        result = events.AttemptResult(
            i.AttemptStatus.OK, b"y", etag="t", generated_at=generated_at, validator="v"
        )
        return self.dispatch(
            events.ResponseReceived(self.now, connection, replace(result, **response_fields), True)
        )

    def is_served_locally(self, obj: int, group: int = 0) -> bool:
        """Whether a request is answered from the local cache; the change log is caught up."""
        self.downstreams += 1
        request = events.ClientRequest(f"s-{self.downstreams}", 0, DEADLINE, obj, f"{obj:x}", group=group)
        kinds = response_kinds(self.dispatch(events.RequestReceived(self.now, self.downstreams, request)))
        if not kinds:
            self.dispatch(events.DownstreamClosed(self.now, self.downstreams))
        return kinds == [events.ResponseKind.SERVED]


def test_an_entry_older_than_all_purges_is_served_if_its_object_was_not_purged() -> None:
    """At the operators' rate all unexpired purges fit into the table, so none raises the watermark."""
    harness = PurgeHarness()
    harness.cache_entry(1, START)
    for n in range(20_000):
        harness.now = START + n * SECOND // RATE
        harness.purge(1_000 + n)
    assert harness.now - START > 60 * SECOND
    assert harness.state.purges.watermark == NEVER
    assert harness.is_served_locally(1)
    expected = RATE * RETENTION // SECOND
    assert expected - 2 * RATE < len(harness.state.purges.objects) <= expected + 2 < MAX_PURGES


def test_purges_of_groups_expire_and_are_bounded() -> None:
    harness = PurgeHarness()
    harness.cache_entry(1, START - 1, group=7)
    for n in range(3):
        harness.purge(0, 100 + n)
    harness.now += RETENTION
    harness.tick()
    assert len(harness.state.purges.groups) == 3
    harness.now += 1
    harness.tick()
    assert len(harness.state.purges.groups) == 3 - EXPIRED_PER_EVENT  # in steps
    harness.tick()
    assert not harness.state.purges.groups and harness.is_served_locally(1, 7)
    harness.state.purges.max_entries = 2
    for n in range(3):
        harness.now += 1
        harness.purge(0, 100 + n)
    assert len(harness.state.purges.groups) == 2
    assert harness.state.purges.purged_at(5, 9) == harness.now - 2 and not harness.is_served_locally(1, 7)


def test_an_evicted_purge_raises_the_watermark_which_expires_with_it() -> None:
    harness = PurgeHarness()
    harness.state.purges.max_entries = 2
    first = harness.now
    for n in range(3):
        harness.purge(10 + n)
        harness.now += SECOND
    purges = harness.state.purges
    assert purges.watermark == PurgeTimes(first, first, first) and purges.purged_at(99, 0) == first
    harness.now = first + RETENTION
    harness.tick()
    assert purges.purged_at(99, 0) == first and len(purges.objects) == 2
    harness.now += 1
    harness.tick()
    assert purges.purged_at(99, 0) == 0 and purges.age_counted_from(99, 0) == 0 and len(purges.objects) == 2


def test_an_expired_purge_is_evicted_without_raising_the_watermark() -> None:
    """More purges expire at once than one event removes."""
    harness = PurgeHarness()
    purges = harness.state.purges
    for obj in range(1, EXPIRED_PER_EVENT + 4):
        harness.purge(obj)
    purges.max_entries = 2
    harness.now += RETENTION + 1
    harness.purge(10)
    assert list(purges.objects) == [EXPIRED_PER_EVENT + 3, 10] and purges.watermark == NEVER
    purges.max_entries = 1
    harness.purge(11)  # the evicted purge has not expired: the watermark applies it to every object
    assert list(purges.objects) == [11] and purges.watermark.purged_at == harness.now


def test_a_purge_whose_own_time_is_ahead_does_not_delay_the_expiry_of_others() -> None:
    """Guards against a table that fills up behind it, until the watermark applies it to every object."""
    harness = PurgeHarness()
    harness.cache_entry(1, START)
    purges, ahead = harness.state.purges, START + 10**6 * SECOND
    harness.purge(9, at=ahead)
    for n in range(10_000):
        harness.now = START + n * SECOND // RATE
        harness.purge(1_000 + n)
    assert len(purges.objects) <= RATE * RETENTION // SECOND + 3 and purges.watermark == NEVER
    assert harness.is_served_locally(1)
    assert purges.purged_at(9, 0) == ahead  # the purge itself still applies
    harness.now = ahead + RETENTION
    harness.tick()
    assert purges.purged_at(9, 0) == ahead
    harness.now += 1
    for _ in range(len(purges.objects)):
        harness.tick()
    assert not purges.objects


@pytest.mark.parametrize("obj, group", [(1, 0), (0, 7)])
@pytest.mark.parametrize("live", [True, False])
@pytest.mark.parametrize("ahead", [0, -4 * SECOND, 4 * SECOND])
def test_nothing_generated_before_a_purge_is_cached_until_it_expires(
    obj: int, group: int, ahead: int, live: bool
) -> None:
    """A purge's own time may be behind or ahead (another clock, an old change): the later time counts."""
    harness = PurgeHarness()
    at = harness.now + ahead
    expiry_counted_from = max(harness.now, at)
    harness.purge(obj, group, at, live)
    for elapsed, is_kept in (
        (PURGE_DURATION, True),
        (RETENTION - MS, True),
        (RETENTION, True),
        (RETENTION + 1, False),
    ):
        harness.now = expiry_counted_from + elapsed
        harness.tick()
        assert bool(harness.state.purges.purged_at(1, 7)) is is_kept
        if is_kept:
            harness.respond(harness.send(1, 7), at)
            assert not harness.state.local_cache.cached_bytes
    harness.respond(harness.send(1, 7), harness.now)
    assert harness.is_served_locally(1, 7)


@pytest.mark.parametrize("strict", [False, True])
@pytest.mark.parametrize("old", [True, False])
def test_a_response_from_before_a_purge_is_not_cached_however_late_it_is_read(
    strict: bool, old: bool
) -> None:
    """A process that was stopped reads responses before its timers fire: the purge is kept for these."""
    harness = PurgeHarness(strict_purges=strict)
    if not old:
        harness.purge(1)
    before = harness.now
    harness.now += 0 if old else RETENTION
    connection = harness.send(1)
    if old:
        harness.purge(1)
    harness.now += 10 * RETENTION
    emitted = harness.respond(connection, before)
    assert not harness.state.local_cache.cached_bytes
    assert (events.ResponseKind.SERVED in response_kinds(emitted)) is not strict
    harness.advance(DEADLINE)
    assert not harness.state.attempts
    harness.tick()
    assert not harness.state.purges.objects


@pytest.mark.parametrize("obj, group", [(1, 0), (0, 7)])
def test_an_entry_from_before_a_purge_stays_removed_when_the_purge_expires(obj: int, group: int) -> None:
    """Also a stale entry within its grace, and one that a 304 would revalidate."""
    harness = PurgeHarness(strict_purges=True, serves_stale=True)
    harness.cache_entry(1, harness.now, 7)
    harness.cache_entry(2, harness.now, 8)
    connection = harness.send(3, 7)
    attempt = harness.state.connections[connection].attempt
    assert attempt is not None
    attempt.validator = "v"
    harness.cache_entry(3, harness.now, 7)
    harness.purge(obj, group)
    harness.purge(3)
    if not obj:
        assert [p[1] for rank in harness.state.local_cache.ranks for p in rank] == [2]
    harness.now += 2 * RETENTION
    assert events.ResponseKind.SERVED not in response_kinds(
        harness.respond(connection, harness.now, revalidated=True)
    )
    harness.advance(DEADLINE)
    for _ in range(3):
        harness.tick()
    assert not harness.state.purges.purged_at(1, 7)
    assert (
        not harness.is_served_locally(1, 7)
        and harness.is_served_locally(2, 8)
        and not harness.is_served_locally(3, 7)
    )


def test_strict_purges_accept_older_responses_only_after_the_purge_expires() -> None:
    harness = PurgeHarness(strict_purges=True)
    cached_since = harness.now - 60 * SECOND
    harness.purge(1)
    notified_at = harness.now
    harness.now = notified_at + RETENTION
    assert events.ResponseKind.SERVED not in response_kinds(harness.respond(harness.send(1), notified_at))
    harness.advance(DEADLINE)
    assert response_kinds(harness.respond(harness.send(1), cached_since)) == [events.ResponseKind.SERVED]


def test_strict_purges_of_other_objects_do_not_stop_responses() -> None:
    """More purges than the table holds must not turn good responses into misses."""
    harness = PurgeHarness(strict_purges=True)
    for n in range(10_000):
        harness.now = START + n * SECOND // RATE
        harness.purge(1_000 + n)
    emitted = harness.respond(harness.send(1), START)
    assert response_kinds(emitted) == [events.ResponseKind.SERVED]


def test_without_a_purge_duration_no_purge_expires() -> None:
    harness = PurgeHarness(purge_duration=0)
    harness.purge(1)
    harness.purge(0, 7)
    harness.now += 10_000 * SECOND
    harness.tick()
    assert harness.state.purges.purged_at(1, 0) == harness.state.purges.purged_at(2, 7) == START
    harness.state.purges.max_entries = 1
    harness.purge(2)
    assert harness.state.purges.watermark.purged_at == START


@pytest.mark.parametrize(
    "before, after",
    [((60, 10), (6, 10)), ((6, 10), (60, 10)), ((6, 60), (6, 10)), ((0, 60), (6, 10)), ((6, 10), (6, 10))],
)
def test_reloaded_durations_apply_from_the_reload(before: tuple[int, int], after: tuple[int, int]) -> None:
    harness = PurgeHarness()
    harness.reload(before[0] * SECOND, before[1] * SECOND)
    harness.now += 1_000 * SECOND  # earlier durations no longer apply
    harness.purge(1)
    notified_at = harness.now
    harness.now += SECOND
    harness.reload(after[0] * SECOND, after[1] * SECOND)
    harness.reload(after[0] * SECOND, after[1] * SECOND)
    longest = max(before[1], after[1])
    retention = (max(before[0], after[0]) + 1 + 2 * longest) * SECOND
    harness.now = notified_at + retention
    harness.tick()
    assert harness.state.purges.objects
    harness.now += SECOND + 1  # it expires at the latest one retention after the reload
    harness.tick()
    assert not harness.state.purges.objects
    harness.purge(2)
    harness.now += (after[0] + 1 + 2 * after[1]) * SECOND + 1
    harness.tick()
    assert not harness.state.purges.objects
    harness.purge(3)
    harness.reload(0)
    harness.now += 10_000 * SECOND
    harness.tick()
    assert harness.state.purges.objects


def test_purges_beyond_the_limit_apply_to_every_object() -> None:
    purges = PurgeTable(max_entries=2)
    for obj in (1, 2, 3):
        purges.add(obj, 0, 10 * obj)
    purges.add(0, 5, 7)
    assert [purges.purged_at(n, 0) for n in (1, 2, 3, 4)] == [10, 20, 30, 10]
    assert purges.purged_at(4, 5) == 10 and len(purges.objects) == 2
    purges.add(2, 0, 5)
    assert purges.purged_at(2, 0) == 20


@pytest.mark.parametrize("while_connecting", [False, True])
def test_a_clock_ahead_of_the_endpoints_accepts_no_copy_from_before_a_purge(while_connecting: bool) -> None:
    """By a clock 2 s ahead a new purge appears 2 s old, and copies older than it would be accepted."""
    harness, obj, ahead = ReducerHarness(), 7, 2 * SECOND
    page = {"results": [{"seq": 1, "invalidate": {"object": f"{obj:x}", "time": (START - ahead) // MS}}]}

    def notify() -> None:
        for _, event in decode_events(page, 0, harness.state.settings, harness.now):
            assert isinstance(event, events.PurgeNotified)
            harness.dispatch(event)

    notify() if not while_connecting else None
    opening = next(e for e in harness.request(1, obj) if isinstance(e, effects.OpenConnection))
    notify() if while_connecting else None
    harness.now += 300 * MS
    sent = harness.dispatch(events.ConnectionOpened(harness.now, opening.connection))
    upstream_request = next(e.request for e in sent if isinstance(e, effects.SendRequest))
    assert 0 < upstream_request.max_age <= 300 * MS and not upstream_request.join


def test_ages_after_an_old_purge_count_from_the_purge_itself() -> None:
    page = {"results": [{"seq": 1, "invalidate": {"bucket": 3, "time": START // MS - 5000}}]}
    for live, since in ((True, START), (False, START - 5 * SECOND + MS - 1)):
        ((_, event),) = decode_events(page, 0, ReducerHarness().state.settings, START, live=live)
        assert isinstance(event, events.PurgeNotified) and event.age_counted_from == since
