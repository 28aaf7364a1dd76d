"""The load of endpoints that warm up."""

from __future__ import annotations

from tests.support.fleet import CACHES, HUB_PARENTS, MS, ORIGIN, SECOND, Driver


def test_where_weights_are_unknown_a_warming_cache_s_link_is_judged_by_what_warm_ones_carry() -> None:
    d = Driver(fleet=[*CACHES, HUB_PARENTS[0], ORIGIN])
    before = d.router.slow_start.carried_load[0]
    for obj in range(1, 400):
        d.first_attempt(object_id=obj, size=2000.0, time_left=4 * SECOND)
        d.now += 50 * MS
    # 20 requests a second of 2 s each over four caches: ten transfers at each
    assert before < d.router.slow_start.carried_load[0] <= 12.0
