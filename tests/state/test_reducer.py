"""The reducer: its handlers, one response for each request, and that all tables stay bounded."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from typing import get_args

import pytest

from hallproxy import interface as i
from hallproxy.state import effects, events
from hallproxy.state.events import Event, ExtensionEvent
from hallproxy.state.executed_requests import ExecutedRequests
from hallproxy.state.limits import Limits
from hallproxy.state.local_cache import CacheKey, LocalCacheEntry
from hallproxy.state.reducer import EVENT_HANDLERS
from tests.support.reducer import MS, SECOND, START, ReducerHarness, response_kinds


def test_every_event_but_the_extensions_has_a_handler() -> None:
    assert set(EVENT_HANDLERS) == set(get_args(Event)) - {ExtensionEvent}


def test_a_request_that_the_router_fails_on_still_gets_one_response() -> None:
    harness = ReducerHarness()

    class FailingRouter:
        def handle(self, now: int, events: Sequence[i.Event]) -> list[i.Action]:
            raise RuntimeError("fault")

    working_router = harness.state.router
    harness.state.router = FailingRouter()  # type: ignore[assignment]
    with pytest.raises(RuntimeError):
        harness.request(1)
    harness.state.router = working_router
    harness.state.pending_events.clear()
    client_request = events.ClientRequest("id", 1, 2 * SECOND, 1, "1")
    in_flight = harness.state.awaiting_response[1]
    assert in_flight.request.time_left == client_request.time_left
    emitted = harness.dispatch(events.RequestTimerDue(harness.now + 2 * SECOND, in_flight.id))
    assert response_kinds(emitted) == [events.ResponseKind.FAILED] and not harness.state.requests


def test_connections_are_bounded_and_requests_without_one_are_answered() -> None:
    harness = ReducerHarness(limits=Limits(connections=2))
    opened = [e for n in range(5) for e in harness.request(n) if isinstance(e, effects.OpenConnection)]
    assert len(opened) == 2 and len(harness.state.connections) == 2
    emitted = harness.advance(3 * SECOND)
    assert (
        not harness.state.awaiting_response and not harness.state.requests and not harness.state.connections
    )
    assert len(response_kinds(emitted)) <= 5


@pytest.mark.parametrize(
    ("class_index", "sign_of_life", "is_reset"), [(1, False, True), (1, True, False), (3, False, False)]
)
def test_attempts_at_a_vanished_machine_are_reset_if_idempotent(
    class_index: int, sign_of_life: bool, is_reset: bool
) -> None:
    harness = ReducerHarness(stores=1)
    first = next(
        e.connection
        for e in harness.request(1, class_index=class_index)
        if isinstance(e, effects.OpenConnection)
    )
    harness.dispatch(events.ConnectionOpened(harness.now, first))
    harness.now += 50 * MS
    harness.request(2, class_index=class_index)  # on a new connection, which never opens
    harness.advance(300 * MS)
    if sign_of_life:
        other = next(
            e.connection
            for e in harness.request(3, class_index=class_index)
            if isinstance(e, effects.OpenConnection)
        )
        harness.dispatch(events.ConnectionOpened(harness.now, other))
    emitted = harness.advance(101 * MS)
    assert (effects.CloseConnection(first) in emitted) is is_reset
    assert 1 in harness.state.awaiting_response or response_kinds(emitted)


def test_requests_in_flight_are_bounded() -> None:
    harness = ReducerHarness(limits=Limits(requests=1))
    harness.request(1)
    assert response_kinds(harness.request(2)) == [events.ResponseKind.REJECTED]


def test_no_state_is_left_when_all_requests_have_finished() -> None:
    harness = ReducerHarness()
    for n in range(20):
        opened = [
            e
            for e in harness.request(n, object_id=n + 1)
            if isinstance(e, effects.OpenConnection | effects.SendRequest)
        ]
        connection = opened[0].connection
        harness.dispatch(events.ConnectionOpened(harness.now, connection))
        assert not harness.dispatch(events.ConnectionOpened(harness.now, connection))
        if n % 3 == 0:
            harness.dispatch(events.DownstreamClosed(harness.now, n))
        else:
            result = events.AttemptResult(i.AttemptStatus.OK, b"x")
            emitted = harness.dispatch(events.ResponseReceived(harness.now, connection, result, n % 2 == 0))
            assert response_kinds(emitted) == [events.ResponseKind.SERVED]
            assert not response_kinds(
                harness.dispatch(events.ResponseReceived(harness.now, connection, result, True))
            )
    harness.advance(30 * SECOND)
    state = harness.state
    assert not (state.requests or state.awaiting_response or state.attempts or state.connections)
    assert len(harness.timers) < 5


def test_a_stale_watch_stops_local_responses() -> None:
    """Guards against a purge that counts as notified though it was never received."""
    harness = ReducerHarness()
    harness.state.local_cache.max_bytes = 10_000
    harness.state.local_cache.put(CacheKey(0, 1, 0), LocalCacheEntry(b"x", "", START, 0, 1))
    for elapsed, served in ((0, True), (4 * SECOND, True), (6 * SECOND, False)):
        harness.dispatch(events.WatchCaughtUp(harness.now))
        harness.now += elapsed
        assert bool(response_kinds(harness.request(1, class_index=0))) is served
    harness.dispatch(events.DownstreamClosed(harness.now, 1))
    harness.dispatch(events.WatchCaughtUp(harness.now))
    assert response_kinds(harness.request(2, class_index=0)) == [events.ResponseKind.SERVED]


@pytest.mark.parametrize("last", list(i.EndpointState))
def test_of_several_entries_of_one_endpoint_the_last_one_applies(last: i.EndpointState) -> None:
    """Guards against a change that names an endpoint twice updating the list but not the router's."""
    harness = ReducerHarness(stores=1)
    gone = i.Endpoint(b"s-0", i.EndpointState.GONE)
    entries = (gone, replace(gone, started_at=START), i.Endpoint(b"s-0", last, started_at=START))
    change = i.EndpointsChanged(i.EndpointListKind.DELTA, entries)
    harness.dispatch(events.EndpointListUpdated(harness.now, change, ("a:1", "a:2", "a:3")))
    listed = [] if last is i.EndpointState.GONE else [b"s-0"]
    assert list(harness.state.endpoints.by_id) == list(harness.state.endpoints.processes) == listed
    assert list(harness.state.router.endpoints.by_id) == listed
    assert harness.state.endpoints.is_ready(b"s-0") is (last is i.EndpointState.READY)


def test_the_ids_of_executed_requests_are_bounded_and_the_oldest_forgotten() -> None:
    executed = ExecutedRequests(max_ids=2)
    for request_id in ("a", "b", "a", "c"):
        executed.add(request_id)
    assert list(executed.ids) == ["b", "c"]
