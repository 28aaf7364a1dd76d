"""Ejection of endpoints that fail, and what must not eject."""

from __future__ import annotations

from hallproxy.interface import (
    AttemptStatus,
    FillDetail,
)
from tests.support.fleet import CACHES, HUB_PARENTS, MS, ORIGIN, SECOND, Driver


def test_a_quickly_failing_cache_is_ejected_and_health_checked_now_and_then() -> None:
    d = Driver()
    bad = CACHES[0].id
    for obj in range(1, 200):
        ident = d.request(object_id=obj)
        d.now += 5 * MS
        while d.attempts[ident][-1].endpoint == bad and len(d.attempts[ident]) < 3:
            d.end_attempt(ident, AttemptStatus.ERROR, MS)
        d.end_attempt(ident)
    late = [gets[0].endpoint for ident, gets in d.attempts.items() if ident > 100]
    assert late.count(bad) <= 1
    d.now += 2 * SECOND
    for obj in range(300, 400):
        ident = d.request(object_id=obj)
        d.now += 100 * MS
        d.end_attempt(ident)
    assert not d.router.endpoints.by_id[bad].ejected


def test_a_shared_cause_ejects_no_cache() -> None:
    d = Driver()
    for obj in range(1, 120):
        ident = d.request(object_id=obj)
        d.now += 20 * MS
        d.end_attempt(ident, AttemptStatus.ERROR, MS)
    assert not any(p.ejected for p in d.router.endpoints.caches)


def test_a_slow_cache_that_still_answers_others_is_not_ejected_by_timeouts() -> None:
    d = Driver()
    for obj in range(1, 40):
        ident = d.request(object_id=obj)
        peer = d.router.endpoints.by_id[d.attempts[ident][0].endpoint]
        d.now += SECOND
        peer.last_responded_at = d.now - 10 * MS
        d.end_attempt(ident, AttemptStatus.TIMEOUT, SECOND)
        d.end_attempt(ident)
    assert not any(p.ejected for p in d.router.endpoints.caches)


def test_occasional_resets_eject_neither_a_cache_nor_a_source() -> None:
    """One connection in eight breaks, at all caches alike."""
    d = Driver()
    for obj in range(1, 400):
        ident = d.request(object_id=obj)
        d.now += 20 * MS
        if obj % 8 < 1 or obj % 64 < 4:  # also four in a row
            d.end_attempt(ident, AttemptStatus.RESET)
        d.end_attempt(ident)
        assert not any(p.ejected for p in d.router.endpoints.by_id.values())
    assert not any(p.failure_share for p in d.router.endpoints.source_tiers[0])


def test_with_all_parents_dead_fills_go_to_the_origin_before_the_list_changes() -> None:
    """With no parent alive, parents are still ejected while the origin was never tried."""
    d = Driver(fleet=[*CACHES, *HUB_PARENTS, ORIGIN], fill_detail=FillDetail.NONE)
    dead = {p.id for p in HUB_PARENTS}
    d.serve_objects(40)
    for obj in range(100, 160):
        ident = d.request(object_id=obj)
        d.now += 10 * MS
        while ident in d.router.requests and d.router.requests[ident].attempts:
            d.end_attempt(
                ident,
                AttemptStatus.FULL if d.attempts[ident][-1].source in dead else AttemptStatus.OK,
                2 * MS,
            )
    sources = [get.source for ident, gets in d.attempts.items() if ident > 40 for get in gets]
    assert sum(source in dead for source in sources) < 10 < 50 < sources.count(ORIGIN.id)


def test_timeouts_of_impatient_clients_neither_lower_the_limit_nor_eject_a_cache() -> None:
    """They disconnect before an answer could be late, so they tell nothing about endpoints or the limit."""
    d = Driver()
    d.serve_objects(20)
    room = d.router.concurrency.limit
    for obj in range(100, 140):
        ident = d.request(object_id=obj, size=50.0, time_left=80 * MS)
        d.now += 76 * MS
        d.end_attempt(ident, AttemptStatus.TIMEOUT, 76 * MS)
    assert d.router.concurrency.limit == room
    assert not any(p.ejected or p.failure_share for p in d.router.endpoints.caches)
    ident = d.request(object_id=200, size=50.0)
    d.now += SECOND
    d.end_attempt(ident, AttemptStatus.TIMEOUT, SECOND)
    assert d.router.concurrency.limit < room
