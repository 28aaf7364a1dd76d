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


def cache_answers_another(d: Driver, ident: int) -> None:
    """Let the cache of the request's first attempt answer another request."""
    d.now += MS
    d.router.endpoints.by_id[d.attempts[ident][0].endpoint].last_responded_at = d.now


def router_with_lost_attempts(**changed: Any) -> Driver:
    """A router that has observed two lost attempts: clients disconnected, caches answered others."""
    d = Driver(hedging=True, **changed)
    d.serve_objects(50)
    room = d.router.concurrency.limit
    for obj in (90, 91):
        lost = d.request(object_id=obj)
        cache_answers_another(d, lost)
        d.advance(SECOND)
        ends = zip(
            d.attempts[lost], (AttemptStatus.TIMEOUT, AttemptStatus.CANCELLED), strict=False
        )  # a hedge is lost too
        for number, (get, status) in enumerate(ends):
            d.handle(AttemptEnded(lost, number, get.endpoint, status, 4 * SECOND, True))
    assert d.router.concurrency.limit >= room and not d.router.overdue.overdue
    return d


def test_an_overdue_attempt_is_hedged_and_takes_no_place_under_the_limit() -> None:
    """Neither while it is overdue nor when it times out does it lower the limit."""
    d = router_with_lost_attempts()
    late = d.request(object_id=101)
    cache_answers_another(d, late)
    d.advance(SECOND)
    assert len(d.attempts[late]) == 2 and d.attempts[late][0].endpoint == d.attempts[late][1].endpoint
    assert d.router.concurrency.in_flight() == 1  # the hedge alone
    get = d.attempts[late][1]
    actions = d.handle(AttemptEnded(late, 1, get.endpoint, AttemptStatus.OK, 50 * MS, True))
    assert CancelAttempt(late, 0) in actions  # the request is finished
    d.handle(AttemptEnded(late, 0, get.endpoint, AttemptStatus.CANCELLED, SECOND, True))
    assert late not in d.router.requests and not any(
        p.in_flight or p.overdue for p in d.router.endpoints.caches
    )
    assert not d.router.overdue.overdue


def test_a_hedge_starts_while_it_can_meet_the_objective_and_another_after_it() -> None:
    """The hedge is early enough to meet the latency objective."""
    d = router_with_lost_attempts()
    d.router.latency.recent_slowness.add(4.0)  # one of the slowest
    late = d.request(object_id=101, size=100.0)
    aim = d.router.requests[late].objective_at
    cache_answers_another(d, late)
    while len(d.attempts[late]) < 2:
        d.advance(10 * MS)
    assert d.now + 1.5 * d.router.latency.typical_slowness * 150 * MS <= aim + 10 * MS
    cache_answers_another(d, late)
    d.advance(SECOND)
    assert len(d.attempts[late]) == 3


def test_where_overdue_attempts_answer_after_all_nothing_is_hedged() -> None:
    """In a jam, hedges would add to the jam."""
    d = router_with_lost_attempts()
    for obj in range(100, 125):
        late = d.request(object_id=obj)
        cache_answers_another(d, late)
        d.advance(SECOND)
        for number, get in enumerate(d.attempts[late]):
            d.handle(AttemptEnded(late, number, get.endpoint, AttemptStatus.OK, SECOND, True))
    assert len(d.attempts[late]) == 1 and d.router.overdue.late_share > 0.85


def test_a_cache_that_answers_nobody_is_checked_again() -> None:
    """The check is repeated until the cache answers another request."""
    d = router_with_lost_attempts()
    alone = d.request(object_id=100)
    d.now += MS
    d.advance(SECOND)
    assert len(d.attempts[alone]) == 1 and not d.router.overdue.overdue  # its cache may be slow
    cache_answers_another(d, alone)
    d.advance(100 * MS)
    assert len(d.attempts[alone]) == 2


@pytest.mark.parametrize(
    ("effect", "sent"), [(Idempotency.IDEMPOTENCY_KEY, 2), (Idempotency.NOT_IDEMPOTENT, 1)]
)
def test_a_hedge_starts_only_as_the_class_allows(effect: Idempotency, sent: int) -> None:
    classes = tuple(replace(c, idempotency=effect, idempotency_window=1600 * MS) for c in SETTINGS.classes)
    d = router_with_lost_attempts(classes=classes)
    for again in (sent, 1):
        late = d.request(object_id=100 + again, size=100.0)
        if again == 1:
            d.now += 1600 * MS  # the caches remember its key no longer
        cache_answers_another(d, late)
        d.advance(SECOND)
        assert (late, 0) in d.router.overdue.overdue and len(d.attempts[late]) == again


def test_while_many_attempts_are_overdue_nothing_is_hedged() -> None:
    """Hedges would add to a jam behind the caches."""
    sent = {}
    for jammed in (1, 12):
        d = router_with_lost_attempts()
        d.router.concurrency.limit = 16.0
        d.router.overdue.late_share = 0.0
        idents = [d.request(object_id=1000 + n) for n in range(jammed)]
        for _ in range(20):
            for peer in d.router.endpoints.caches:
                peer.last_responded_at = d.now + SECOND
            d.advance(50 * MS)
        sent[jammed] = sum(len(d.attempts[ident]) - 1 for ident in idents)
    assert sent[1] >= 1 and sent[12] <= 5  # up to the allowance, as they become overdue one by one


@pytest.mark.parametrize(
    "status", [AttemptStatus.RESET, AttemptStatus.CONNECT_FAILED, AttemptStatus.FULL, AttemptStatus.MISS]
)
@pytest.mark.parametrize("hedge_starts", [False, True])
def test_an_overdue_attempt_may_end_in_any_way_after_its_hedge(
    status: AttemptStatus, hedge_starts: bool
) -> None:
    """Guards against an attempt's endpoints being taken off what its request has tried twice."""
    d = router_with_lost_attempts(max_attempts=3 if hedge_starts else 1)
    late = d.request(object_id=101)
    first = d.attempts[late][0].endpoint
    cache_answers_another(d, late)
    d.router.endpoints.by_id[first].in_flight += 30  # past its load bound: the hedge goes to another cache
    d.advance(SECOND)
    d.router.endpoints.by_id[first].in_flight -= 30
    assert (late, 0) in d.router.overdue.overdue and len(d.attempts[late]) == 1 + hedge_starts
    if hedge_starts:
        hedged_at = d.attempts[late][1].endpoint
        assert hedged_at != first
        d.handle(AttemptEnded(late, 1, hedged_at, AttemptStatus.ERROR, 50 * MS))
    actions = d.handle(AttemptEnded(late, 0, first, status, SECOND))
    started = [a for a in actions if isinstance(a, StartAttempt) and a.request_id == late]
    given_up = [a for a in actions if isinstance(a, Fail | Reject) and a.request_id == late]
    assert len(started) + len(given_up) == 1 and len(started) == hedge_starts
