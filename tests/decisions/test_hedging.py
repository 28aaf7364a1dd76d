"""Overdue attempts and hedges."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from hallproxy.interface import (
    AttemptEnded,
    AttemptStatus,
    CancelAttempt,
    Fail,
    Idempotency,
    Reject,
    StartAttempt,
)
from tests.support.fleet import MS, SECOND, SETTINGS, Driver


def cache_answers_another(d: Driver, request_id: int) -> None:
    """Let the cache of the request's first attempt answer another request."""
    d.now += MS
    d.router.endpoints.by_id[d.attempts[request_id][0].endpoint].last_responded_at = d.now


def router_with_lost_attempts(**changed: Any) -> Driver:
    """A router that has observed two lost attempts: they timed out while their caches answered others."""
    d = Driver(hedging=True, **changed)
    d.serve_objects(50)
    limit_before = d.router.concurrency.limit
    for object_id in (90, 91):
        request_id = d.request(object_id=object_id)
        cache_answers_another(d, request_id)
        d.advance(SECOND)
        ends = zip(
            d.attempts[request_id], (AttemptStatus.TIMEOUT, AttemptStatus.CANCELLED), strict=False
        )  # a hedge is lost too
        for number, (started, status) in enumerate(ends):
            d.handle(AttemptEnded(request_id, number, started.endpoint, status, 4 * SECOND, True))
    assert d.router.concurrency.limit >= limit_before and not d.router.overdue.overdue
    return d


def test_an_overdue_attempt_is_hedged_and_takes_no_place_under_the_limit() -> None:
    """An overdue attempt does not lower the limit, neither in flight nor when it times out."""
    d = router_with_lost_attempts()
    request_id = d.request(object_id=101)
    cache_answers_another(d, request_id)
    d.advance(SECOND)
    assert (
        len(d.attempts[request_id]) == 2
        and d.attempts[request_id][0].endpoint == d.attempts[request_id][1].endpoint
    )
    assert d.router.concurrency.in_flight() == 1  # the hedge alone
    started = d.attempts[request_id][1]
    actions = d.handle(AttemptEnded(request_id, 1, started.endpoint, AttemptStatus.OK, 50 * MS, True))
    assert CancelAttempt(request_id, 0) in actions  # the request is finished
    d.handle(AttemptEnded(request_id, 0, started.endpoint, AttemptStatus.CANCELLED, SECOND, True))
    assert request_id not in d.router.requests and not any(
        p.in_flight or p.overdue for p in d.router.endpoints.caches
    )
    assert not d.router.overdue.overdue


def test_a_hedge_starts_while_it_can_meet_the_objective_and_another_after_it() -> None:
    """The hedge is early enough to meet the latency objective."""
    d = router_with_lost_attempts()
    d.router.latency.recent_slowness.add(4.0)  # one of the slowest
    request_id = d.request(object_id=101, size=100.0)
    objective_at = d.router.requests[request_id].objective_at
    cache_answers_another(d, request_id)
    while len(d.attempts[request_id]) < 2:
        d.advance(10 * MS)
    assert d.now + 1.5 * d.router.latency.typical_slowness * 150 * MS <= objective_at + 10 * MS
    cache_answers_another(d, request_id)
    d.advance(SECOND)
    assert len(d.attempts[request_id]) == 3


def test_where_overdue_attempts_answer_after_all_nothing_is_hedged() -> None:
    """Late answers mean overload, which hedges would add to."""
    d = router_with_lost_attempts()
    for object_id in range(100, 125):
        request_id = d.request(object_id=object_id)
        cache_answers_another(d, request_id)
        d.advance(SECOND)
        for number, started in enumerate(d.attempts[request_id]):
            d.handle(AttemptEnded(request_id, number, started.endpoint, AttemptStatus.OK, SECOND, True))
    assert len(d.attempts[request_id]) == 1 and d.router.overdue.late_share > 0.85


def test_a_cache_that_answers_nobody_is_checked_again() -> None:
    """The check is repeated until the cache answers another request."""
    d = router_with_lost_attempts()
    request_id = d.request(object_id=100)
    d.now += MS
    d.advance(SECOND)
    assert len(d.attempts[request_id]) == 1 and not d.router.overdue.overdue  # its cache may be slow
    cache_answers_another(d, request_id)
    d.advance(100 * MS)
    assert len(d.attempts[request_id]) == 2


@pytest.mark.parametrize(
    ("idempotency", "attempts"), [(Idempotency.IDEMPOTENCY_KEY, 2), (Idempotency.NOT_IDEMPOTENT, 1)]
)
def test_a_hedge_starts_only_as_the_class_allows(idempotency: Idempotency, attempts: int) -> None:
    classes = tuple(
        replace(c, idempotency=idempotency, idempotency_window=1600 * MS) for c in SETTINGS.classes
    )
    d = router_with_lost_attempts(classes=classes)
    for expected in (attempts, 1):
        request_id = d.request(object_id=100 + expected, size=100.0)
        if expected == 1:
            d.now += 1600 * MS  # the caches no longer remember its key
        cache_answers_another(d, request_id)
        d.advance(SECOND)
        assert (request_id, 0) in d.router.overdue.overdue and len(d.attempts[request_id]) == expected


def test_while_many_attempts_are_overdue_nothing_is_hedged() -> None:
    """Hedges would add to an overload behind the caches."""
    hedges = {}
    for overdue_count in (1, 12):
        d = router_with_lost_attempts()
        d.router.concurrency.limit = 16.0
        d.router.overdue.late_share = 0.0
        request_ids = [d.request(object_id=1000 + n) for n in range(overdue_count)]
        for _ in range(20):
            for peer in d.router.endpoints.caches:
                peer.last_responded_at = d.now + SECOND
            d.advance(50 * MS)
        hedges[overdue_count] = sum(len(d.attempts[request_id]) - 1 for request_id in request_ids)
    assert hedges[1] >= 1 and hedges[12] <= 5  # up to the allowance, as they become overdue one by one


@pytest.mark.parametrize(
    "status", [AttemptStatus.RESET, AttemptStatus.CONNECT_FAILED, AttemptStatus.FULL, AttemptStatus.MISS]
)
@pytest.mark.parametrize("hedge_starts", [False, True])
def test_an_overdue_attempt_may_end_in_any_way_after_its_hedge(
    status: AttemptStatus, hedge_starts: bool
) -> None:
    """Guards against removing an attempt's endpoints twice from those that its request has tried."""
    d = router_with_lost_attempts(max_attempts=3 if hedge_starts else 1)
    request_id = d.request(object_id=101)
    first = d.attempts[request_id][0].endpoint
    cache_answers_another(d, request_id)
    d.router.endpoints.by_id[first].in_flight += 30  # above its load bound: the hedge goes to another cache
    d.advance(SECOND)
    d.router.endpoints.by_id[first].in_flight -= 30
    assert (request_id, 0) in d.router.overdue.overdue and len(d.attempts[request_id]) == 1 + hedge_starts
    if hedge_starts:
        hedged_at = d.attempts[request_id][1].endpoint
        assert hedged_at != first
        d.handle(AttemptEnded(request_id, 1, hedged_at, AttemptStatus.ERROR, 50 * MS))
    actions = d.handle(AttemptEnded(request_id, 0, first, status, SECOND))
    started = [a for a in actions if isinstance(a, StartAttempt) and a.request_id == request_id]
    given_up = [a for a in actions if isinstance(a, Fail | Reject) and a.request_id == request_id]
    assert len(started) + len(given_up) == 1 and len(started) == hedge_starts
