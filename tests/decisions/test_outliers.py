"""Ejection of failing endpoints, and cases that must not eject any."""

from __future__ import annotations

from hallproxy.interface import (
    AttemptStatus,
    FillDetail,
)
from tests.support.fleet import CACHES, HUB_PARENTS, MS, ORIGIN, SECOND, Driver


def test_a_quickly_failing_cache_is_ejected_and_health_checked_now_and_then() -> None:
    d = Driver()
    bad = CACHES[0].id
    for object_id in range(1, 200):
        request_id = d.request(object_id=object_id)
        d.now += 5 * MS
        while d.attempts[request_id][-1].endpoint == bad and len(d.attempts[request_id]) < 3:
            d.end_attempt(request_id, AttemptStatus.ERROR, MS)
        d.end_attempt(request_id)
    later_endpoints = [
        attempts[0].endpoint for request_id, attempts in d.attempts.items() if request_id > 100
    ]
    assert later_endpoints.count(bad) <= 1
    d.now += 2 * SECOND
    for object_id in range(300, 400):
        request_id = d.request(object_id=object_id)
        d.now += 100 * MS
        d.end_attempt(request_id)
    assert not d.router.endpoints.by_id[bad].ejected


def test_a_shared_cause_ejects_no_cache() -> None:
    d = Driver()
    for object_id in range(1, 120):
        request_id = d.request(object_id=object_id)
        d.now += 20 * MS
        d.end_attempt(request_id, AttemptStatus.ERROR, MS)
    assert not any(p.ejected for p in d.router.endpoints.caches)


def test_a_slow_cache_that_still_answers_others_is_not_ejected_by_timeouts() -> None:
    d = Driver()
    for object_id in range(1, 40):
        request_id = d.request(object_id=object_id)
        peer = d.router.endpoints.by_id[d.attempts[request_id][0].endpoint]
        d.now += SECOND
        peer.last_responded_at = d.now - 10 * MS
        d.end_attempt(request_id, AttemptStatus.TIMEOUT, SECOND)
        d.end_attempt(request_id)
    assert not any(p.ejected for p in d.router.endpoints.caches)


def test_occasional_resets_eject_neither_a_cache_nor_a_source() -> None:
    """One connection in eight breaks, at all caches alike."""
    d = Driver()
    for object_id in range(1, 400):
        request_id = d.request(object_id=object_id)
        d.now += 20 * MS
        if object_id % 8 < 1 or object_id % 64 < 4:  # also four in a row
            d.end_attempt(request_id, AttemptStatus.RESET)
        d.end_attempt(request_id)
        assert not any(p.ejected for p in d.router.endpoints.by_id.values())
    assert not any(p.failure_share for p in d.router.endpoints.source_tiers[0])


def test_with_all_parents_dead_fills_go_to_the_origin_before_the_list_changes() -> None:
    """With no parent alive, parents are still ejected while the origin was never tried."""
    d = Driver(fleet=[*CACHES, *HUB_PARENTS, ORIGIN], fill_detail=FillDetail.NONE)
    dead = {p.id for p in HUB_PARENTS}
    d.serve_objects(40)
    for object_id in range(100, 160):
        request_id = d.request(object_id=object_id)
        d.now += 10 * MS
        while request_id in d.router.requests and d.router.requests[request_id].attempts:
            d.end_attempt(
                request_id,
                AttemptStatus.FULL if d.attempts[request_id][-1].source in dead else AttemptStatus.OK,
                2 * MS,
            )
    sources = [
        started.source
        for request_id, attempts in d.attempts.items()
        if request_id > 40
        for started in attempts
    ]
    assert sum(source in dead for source in sources) < 10 < 50 < sources.count(ORIGIN.id)


def test_timeouts_of_impatient_clients_neither_lower_the_limit_nor_eject_a_cache() -> None:
    """They disconnect before an answer could be late, so they say nothing about endpoints or the limit."""
    d = Driver()
    d.serve_objects(20)
    limit_before = d.router.concurrency.limit
    for object_id in range(100, 140):
        request_id = d.request(object_id=object_id, size=50.0, time_left=80 * MS)
        d.now += 76 * MS
        d.end_attempt(request_id, AttemptStatus.TIMEOUT, 76 * MS)
    assert d.router.concurrency.limit == limit_before
    assert not any(p.ejected or p.failure_share for p in d.router.endpoints.caches)
    request_id = d.request(object_id=200, size=50.0)
    d.now += SECOND
    d.end_attempt(request_id, AttemptStatus.TIMEOUT, SECOND)
    assert d.router.concurrency.limit < limit_before
