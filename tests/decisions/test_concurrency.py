"""The concurrency limit, and what is admitted at it."""

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
    """Late answers, then more requests than a low concurrency limit admits."""
    for n in range(400):
        ident = d.request(object_id=10_000 + n)
        d.now += 3 * SECOND
        d.end_attempt(ident, latency=3 * SECOND)
    d.router.concurrency.limit = 24.0
    for n in range(25):
        d.request(object_id=20_000 + n)


def test_at_the_concurrency_limit_a_cache_gets_lookups_only() -> None:
    d = Driver()
    reach_the_limit(d)
    ident = d.request(object_id=1)
    get = d.attempts[ident][0]
    assert get.source == get.endpoint
    actions = d.end_attempt(ident, AttemptStatus.MISS, MS)
    assert not [a for a in actions if isinstance(a, StartAttempt | Reject)]
    refused = [a for a in d.advance(SECOND) if isinstance(a, Reject)]
    assert ident in {a.request_id for a in refused}


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
    ident = d.request(object_id=1)
    d.end_attempt(ident, AttemptStatus.MISS, MS)
    for other in [i for i in list(d.attempts) if i != ident and d.router.requests.get(i)]:
        d.end_attempt(other)
    assert len(d.attempts[ident]) == 2 and d.attempts[ident][1].source != d.attempts[ident][1].endpoint


def test_the_limit_of_all_a_zone_s_gateways_together_does_not_grow_with_their_number() -> None:
    """A gateway that takes the zone's limit for its own never reaches it."""
    out = {}
    for gateways in (1, 20):
        fleet = [
            Driver(seed=n, gateways_by_zone=(0, 0, gateways, 0), gateway_count=gateways)
            for n in range(gateways)
        ]
        for obj in range(400):
            fleet[obj % gateways].request(object_id=obj + 1)
        out[gateways] = sum(len(d.attempts) for d in fleet)
    assert out[20] <= 1.5 * out[1] < 400


def test_a_cache_that_rejects_attempts_as_full_lowers_the_limit() -> None:
    d = Driver()
    d.serve_objects(4)
    before = d.router.concurrency.limit
    d.end_attempt(d.request(object_id=9), AttemptStatus.FULL)
    assert d.router.concurrency.limit < before


def test_a_request_rejected_as_full_at_the_limit_is_queued_and_not_sent_to_the_next_cache() -> None:
    d = Driver(gateways_by_zone=(0, 0, 20, 0), gateway_count=20)
    idents = [d.request(object_id=obj) for obj in range(1, 9)]
    sent = [ident for ident in idents if ident in d.attempts]
    d.end_attempt(sent[0], AttemptStatus.FULL, MS)
    assert len(d.attempts[sent[0]]) == 1


def test_the_limit_falls_to_one_attempt_where_all_are_late_and_recovers() -> None:
    """A higher minimum would overload an origin that has become slow."""
    d = Driver(weights_known=True)
    for obj in range(1, 400):
        ident = d.request(object_id=obj)
        d.now += 4 * SECOND
        if ident in d.attempts:
            d.end_attempt(ident, latency=4 * SECOND)
    assert LIMIT_MIN <= d.router.concurrency.limit < 1.5
    for turn in range(60):
        idents = [d.request(object_id=1000 + 20 * turn + n, size=10.0) for n in range(20)]
        d.now += 20 * MS
        for ident in idents:
            if ident in d.router.requests and d.router.requests[ident].attempts:
                d.end_attempt(ident, latency=20 * MS)
    assert d.router.concurrency.limit > 10.0


def test_many_overdue_attempts_take_places_under_the_limit() -> None:
    """Fills that wait for a stopped origin are overdue while hits are answered; they are not lost."""
    d = Driver()
    d.serve_objects(100)
    d.router.concurrency.limit = 8.0
    for n in range(12):  # each cache answers others all the while
        d.request(object_id=1000 + n)
        for peer in d.router.endpoints.caches:
            peer.last_responded_at = d.now + SECOND
        d.advance(400 * MS)
    stuck = sum(p.overdue for p in d.router.endpoints.caches)
    out = sum(p.in_flight for p in d.router.endpoints.caches)
    assert stuck > 4 and d.router.concurrency.in_flight() == out - 2.0  # a quarter of the limit


def test_the_limit_grows_with_link_capacity_where_weights_are_known() -> None:
    """The maximum for each cache would bind far under what large links carry."""
    fleet = [replace(m, weight=100.0) if m in CACHES else m for m in FLEET]
    d = Driver(fleet=fleet, weights_known=True, gateways_by_zone=(0, 0, 1, 1))
    for obj in range(1, 400):
        d.request(object_id=obj)
    d.router.concurrency.limit = 1_000.0
    d.now += 50 * MS
    d.end_attempt(1)
    assert d.router.concurrency.limit == pytest.approx(2 * 0.75 * 400)
