"""The concurrency limit, and which requests are admitted at it."""

from __future__ import annotations

from dataclasses import replace

import pytest

from hallproxy.decisions.concurrency import LIMIT_MIN
from hallproxy.interface import (
    AttemptStatus,
    Reject,
    StartAttempt,
)
from tests.support.fleet import CACHES, FLEET, MS, SECOND, Driver


def reach_the_limit(d: Driver) -> None:
    """Answer late, then send more requests than a low concurrency limit admits."""
    for n in range(400):
        request_id = d.request(object_id=10_000 + n)
        d.now += 3 * SECOND
        d.end_attempt(request_id, latency=3 * SECOND)
    d.router.concurrency.limit = 24.0
    for n in range(25):
        d.request(object_id=20_000 + n)


def test_at_the_concurrency_limit_a_cache_gets_lookups_only() -> None:
    d = Driver()
    reach_the_limit(d)
    request_id = d.request(object_id=1)
    started = d.attempts[request_id][0]
    assert started.source == started.endpoint
    actions = d.end_attempt(request_id, AttemptStatus.MISS, MS)
    assert not [a for a in actions if isinstance(a, StartAttempt | Reject)]
    rejected = [a for a in d.advance(SECOND) if isinstance(a, Reject)]
    assert request_id in {a.request_id for a in rejected}


def test_at_the_concurrency_limit_value_density_decides_what_is_admitted() -> None:
    d = Driver()
    reach_the_limit(d)
    small, large = (
        d.request(object_id=2, class_index=1, size=40.0, time_left=2 * SECOND),
        d.request(object_id=3, size=4000.0),
    )
    first = d.attempts[small][0]
    assert first.source != first.endpoint
    assert large not in d.attempts or d.attempts[large][0].source == d.attempts[large][0].endpoint


def test_attempts_at_an_ejected_cache_take_no_place_under_the_limit() -> None:
    d = Driver()
    reach_the_limit(d)
    for peer in d.router.endpoints.caches[:3]:
        peer.ejected = True
    assert d.router.concurrency.in_flight() == d.router.endpoints.caches[3].in_flight


def test_a_lookup_that_missed_is_filled_once_in_flight_is_under_the_limit() -> None:
    d = Driver()
    reach_the_limit(d)
    request_id = d.request(object_id=1)
    d.end_attempt(request_id, AttemptStatus.MISS, MS)
    for other in [i for i in list(d.attempts) if i != request_id and d.router.requests.get(i)]:
        d.end_attempt(other)
    assert (
        len(d.attempts[request_id]) == 2
        and d.attempts[request_id][1].source != d.attempts[request_id][1].endpoint
    )


def test_the_limit_of_all_a_zone_s_gateways_together_does_not_grow_with_their_number() -> None:
    """Guards against a gateway that uses the zone's limit as its own and so never reaches it."""
    attempts_by_gateways = {}
    for gateways in (1, 20):
        fleet = [
            Driver(seed=n, gateways_by_zone=(0, 0, gateways, 0), gateway_count=gateways)
            for n in range(gateways)
        ]
        for object_id in range(400):
            fleet[object_id % gateways].request(object_id=object_id + 1)
        attempts_by_gateways[gateways] = sum(len(d.attempts) for d in fleet)
    assert attempts_by_gateways[20] <= 1.5 * attempts_by_gateways[1] < 400


def test_a_cache_that_rejects_attempts_as_full_lowers_the_limit() -> None:
    d = Driver()
    d.serve_objects(4)
    before = d.router.concurrency.limit
    d.end_attempt(d.request(object_id=9), AttemptStatus.FULL)
    assert d.router.concurrency.limit < before


def test_a_request_rejected_as_full_at_the_limit_is_queued_and_not_sent_to_the_next_cache() -> None:
    d = Driver(gateways_by_zone=(0, 0, 20, 0), gateway_count=20)
    request_ids = [d.request(object_id=object_id) for object_id in range(1, 9)]
    sent = [request_id for request_id in request_ids if request_id in d.attempts]
    d.end_attempt(sent[0], AttemptStatus.FULL, MS)
    assert len(d.attempts[sent[0]]) == 1


def test_the_limit_falls_to_one_attempt_where_all_are_late_and_recovers() -> None:
    """A higher minimum would overload an origin that has become slow."""
    d = Driver(weights_known=True)
    for object_id in range(1, 400):
        request_id = d.request(object_id=object_id)
        d.now += 4 * SECOND
        if request_id in d.attempts:
            d.end_attempt(request_id, latency=4 * SECOND)
    assert LIMIT_MIN <= d.router.concurrency.limit < 1.5
    for turn in range(60):
        request_ids = [d.request(object_id=1000 + 20 * turn + n, size=10.0) for n in range(20)]
        d.now += 20 * MS
        for request_id in request_ids:
            if request_id in d.router.requests and d.router.requests[request_id].attempts:
                d.end_attempt(request_id, latency=20 * MS)
    assert d.router.concurrency.limit > 10.0


def test_many_overdue_attempts_take_places_under_the_limit() -> None:
    """Fills that wait for a stopped origin are overdue while hits are answered; they are not lost."""
    d = Driver()
    d.serve_objects(100)
    d.router.concurrency.limit = 8.0
    for n in range(12):  # each cache answers other requests meanwhile
        d.request(object_id=1000 + n)
        for peer in d.router.endpoints.caches:
            peer.last_responded_at = d.now + SECOND
        d.advance(400 * MS)
    overdue = sum(p.overdue for p in d.router.endpoints.caches)
    in_flight = sum(p.in_flight for p in d.router.endpoints.caches)
    assert overdue > 4 and d.router.concurrency.in_flight() == in_flight - 2.0  # a quarter of the limit


def test_the_limit_grows_with_link_capacity_where_weights_are_known() -> None:
    """The maximum per cache alone would be far below what large links carry."""
    fleet = [replace(m, weight=100.0) if m in CACHES else m for m in FLEET]
    d = Driver(fleet=fleet, weights_known=True, gateways_by_zone=(0, 0, 1, 1))
    for object_id in range(1, 400):
        d.request(object_id=object_id)
    d.router.concurrency.limit = 1_000.0
    d.now += 50 * MS
    d.end_attempt(1)
    assert d.router.concurrency.limit == pytest.approx(2 * 0.75 * 400)
