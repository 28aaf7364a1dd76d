"""When changes that were not received count as notified, by the protocol's times."""

from __future__ import annotations

import pytest

from hallproxy.interface import AttemptStatus
from hallproxy.state import events
from hallproxy.state.change_log_watch import ChangeLogWatch
from hallproxy.state.effects import OpenConnection, SendRequest, UpstreamRequest
from hallproxy.state.events import ResponseKind, WatchFailure
from hallproxy.state.local_cache import CacheKey, LocalCacheEntry
from tests.support.reducer import MS, SECOND, START, ReducerHarness, response_kinds

GRACE = 300 * MS
WAIT = SECOND
FAILURES = list(WatchFailure)


def caught_up_watch() -> ChangeLogWatch:
    watch = ChangeLogWatch()
    watch.caught_up(START)
    watch.polled(START + SECOND, WAIT, GRACE)
    return watch


def test_without_a_change_log_nothing_is_missed() -> None:
    assert not ChangeLogWatch().may_have_missed_changes(START)


def test_answered_polls_miss_nothing() -> None:
    watch = caught_up_watch()
    for n in range(1, 10):
        watch.polled(START + n * SECOND, WAIT, GRACE)
        assert not watch.may_have_missed_changes(START + (n + 1) * SECOND)
        watch.caught_up(START + n * SECOND)


# Guards against own copies that are used until 5 s after the last page, though a change that broke off
# counts as notified 2 s after the break.
@pytest.mark.parametrize("failure", FAILURES)
def test_changes_count_as_notified_2_s_after_a_break(failure: WatchFailure) -> None:
    watch = caught_up_watch()
    broke_at = START + SECOND + 200 * MS
    watch.failed(broke_at, failure)
    for n in range(1, 100):  # connects are refused; a later failure does not extend the time
        watch.failed(broke_at + n * 50 * MS, WatchFailure.DISCONNECTED)
    assert not watch.may_have_missed_changes(broke_at + 2 * SECOND)
    assert watch.may_have_missed_changes(broke_at + 2 * SECOND + 1)


def test_changes_count_as_notified_2_s_after_the_wait_of_a_poll_that_hangs() -> None:
    watch = caught_up_watch()
    assert not watch.may_have_missed_changes(START + SECOND + WAIT + 2 * SECOND)
    assert watch.may_have_missed_changes(START + SECOND + WAIT + 2 * SECOND + 1)


@pytest.mark.parametrize(
    ("failure", "usable"),
    [
        (WatchFailure.UNANSWERED, GRACE),
        (WatchFailure.CUT_OFF, GRACE),
        # Nothing was asked: the poll on the new connection is the first one, and is answered as any other.
        (WatchFailure.DISCONNECTED, 2 * SECOND),
    ],
)
def test_changes_count_as_notified_when_the_gateway_polls_again(failure: WatchFailure, usable: int) -> None:
    watch = caught_up_watch()
    at = START + SECOND + 500 * MS
    watch.failed(at, failure)
    watch.polled(at, 0, GRACE)
    assert not watch.may_have_missed_changes(at + usable)
    assert watch.may_have_missed_changes(at + usable + 1)


def test_a_poll_that_is_answered_after_a_failure_ends_it() -> None:
    watch = caught_up_watch()
    watch.failed(START + 2 * SECOND, WatchFailure.CUT_OFF)
    watch.polled(START + 2 * SECOND + 50 * MS, 0, GRACE)
    assert watch.missed_changes_until(START + 4 * SECOND) == START + 2 * SECOND
    watch.caught_up(START + 2 * SECOND + 50 * MS)
    assert not watch.may_have_missed_changes(START + 7 * SECOND)
    assert watch.missed_changes_until(START + 8 * SECOND) == 0


def test_a_page_from_before_the_failure_does_not_end_it() -> None:
    watch = caught_up_watch()
    watch.failed(START + 2 * SECOND, WatchFailure.CUT_OFF)
    watch.caught_up(START + SECOND)
    assert watch.may_have_missed_changes(START + 4 * SECOND + 1)


def test_no_entry_is_used_once_a_missed_purge_counts_as_notified() -> None:
    # Guards against each use of what a purge would have ended: an entry, a known absence, an entry on errors.
    harness = ReducerHarness()
    state = harness.state
    state.serves_stale = True
    state.local_cache.max_bytes = 10_000
    state.local_cache.put(CacheKey(0, 1, 0), LocalCacheEntry(b"x", "", START, 0, 1))
    state.negative_cache.ttl = 60 * SECOND
    state.negative_cache.record(CacheKey(0, 2, 0), 0, START, 0)
    harness.dispatch(events.WatchCaughtUp(START))
    harness.dispatch(events.WatchFailed(START + 100 * MS, WatchFailure.CUT_OFF))
    harness.now = START + 2 * SECOND
    assert response_kinds(harness.request(1, 1, class_index=0)) == [ResponseKind.SERVED]
    assert response_kinds(harness.request(2, 2, class_index=0)) == [ResponseKind.FAILED]
    harness.now = START + 2 * SECOND + 101 * MS
    assert not response_kinds(harness.request(3, 1, class_index=0))
    assert not response_kinds(harness.request(4, 2, class_index=0))
    ended = harness.advance(3 * SECOND)  # no store answers, and the entry must not stand in on the error
    assert ResponseKind.SERVED not in response_kinds(ended) and len(response_kinds(ended)) == 2
    harness.dispatch(events.WatchCaughtUp(harness.now))
    assert response_kinds(harness.request(5, 1, class_index=0)) == [ResponseKind.SERVED]


def sent_request(harness: ReducerHarness, downstream: int) -> UpstreamRequest:
    """What is sent to the store for a request of an object."""
    effects = harness.request(downstream, object_id=7)
    connection = next((e.connection for e in effects if isinstance(e, OpenConnection)), None)
    if connection is not None:
        effects = harness.dispatch(events.ConnectionOpened(harness.now, connection))
    sent = next(e for e in effects if isinstance(e, SendRequest))
    result = events.AttemptResult(AttemptStatus.OK, b"x")
    harness.dispatch(events.ResponseReceived(harness.now, sent.connection, result, True))
    return sent.request


def test_stores_are_asked_for_younger_copies_while_a_purge_that_was_cut_off_binds() -> None:
    # Guards against a store's copy from before a missed purge, which the store executes in its own time.
    harness = ReducerHarness()
    duration = harness.state.settings.purge_duration
    harness.dispatch(events.WatchCaughtUp(START))
    cut_off_at = START + 100 * MS
    harness.dispatch(events.WatchFailed(cut_off_at, WatchFailure.CUT_OFF))
    harness.now = cut_off_at + 2 * SECOND
    assert sent_request(harness, 1).max_age == 0  # it does not count as notified yet
    for downstream, elapsed in ((2, 2 * SECOND + MS), (3, duration - MS)):
        harness.now = cut_off_at + elapsed
        sent = sent_request(harness, downstream)
        assert 0 < sent.max_age < elapsed and not sent.join and not sent.revalidate
    harness.now = cut_off_at + duration
    assert sent_request(harness, 4).max_age == 0  # every store has executed it


@pytest.mark.parametrize("failure", [WatchFailure.DISCONNECTED, WatchFailure.UNANSWERED])
def test_copies_of_stores_have_no_age_limit_if_nothing_was_cut_off(failure: WatchFailure) -> None:
    # A limit on all copies makes every request a fill: only for a purge that is known to exist.
    harness = ReducerHarness()
    harness.dispatch(events.WatchCaughtUp(START))
    harness.dispatch(events.WatchFailed(START + 100 * MS, failure))
    harness.now = START + 3 * SECOND
    assert sent_request(harness, 1).max_age == 0


def test_the_age_limit_ends_with_the_next_page() -> None:
    harness = ReducerHarness()
    harness.dispatch(events.WatchCaughtUp(START))
    harness.dispatch(events.WatchFailed(START + 100 * MS, WatchFailure.CUT_OFF))
    harness.now = START + 3 * SECOND
    harness.dispatch(events.WatchCaughtUp(harness.now))
    assert sent_request(harness, 1).max_age == 0
