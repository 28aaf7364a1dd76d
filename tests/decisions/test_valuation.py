"""The cache gain with values computed by hand, request counts, and admission to the caches."""

from __future__ import annotations

import pytest

from hallproxy.interface import (
    Request,
)
from tests.support.fleet import SECOND, Driver


def test_cache_gain_is_the_sum_of_normalised_terms_over_the_size() -> None:
    d = Driver()
    r = d.router
    d.request(object_id=1, size=400.0)
    r.valuation.largest_terms = [8.0, 1000.0, 1.0]
    r.valuation.counts[1] = 3.0
    # priority 2 x 3 / 8, network saving 400 x 3 x (0.1 s + 0.5) / 1000, startup 0.1 x 3 / 1
    first = r.valuation.cache_gain(Request(9, 0, SECOND, object=1, part=0, size_kb=400.0))
    assert first == pytest.approx((6 / 8 + 720 / 1000 + 0.3) / 400)
    later = r.valuation.cache_gain(Request(9, 0, SECOND, object=1, part=4, size_kb=400.0))
    assert later == pytest.approx((6 / 8 + 720 / 1000) / 400)


def test_counts_are_halved_every_ten_seconds() -> None:
    d = Driver()
    for _ in range(4):
        d.end_attempt(d.request(object_id=3))
    d.now += 10 * SECOND
    d.request(object_id=4)
    assert d.router.valuation.counts[3] == 2.0


def test_objects_requested_once_are_not_admitted_and_the_rest_are_ranked_by_gain() -> None:
    d = Driver()
    assert d.attempts[d.request(object_id=1)][0].cache_rank == 0
    assert d.attempts[d.request(object_id=1)][0].cache_rank == 1
    r = d.router
    r.valuation.recent_gains.ordered = [float(n) for n in range(100)]
    request = Request(9, 0, SECOND, object=1, size_kb=400.0)
    assert [r.valuation.cache_rank(request, g) for g in (5.0, 30.0, 70.0, 95.0)] == [0, 1, 2, 3]


def test_a_part_requested_again_and_again_is_admitted_however_low_its_gain() -> None:
    d = Driver()
    d.request(object_id=1)
    d.request(object_id=1)
    r = d.router
    r.valuation.recent_gains.ordered = [float(n) for n in range(1, 101)]
    request = Request(9, 0, SECOND, object=1, size_kb=90_000.0)
    assert r.valuation.cache_rank(request, 0.5) == 0
    r.valuation.counts[1] = 3.0
    assert r.valuation.cache_rank(request, 0.5) == 1


def test_copies_are_admitted_where_each_of_many_gateways_gets_one_request_for_an_object() -> None:
    ranks = {}
    for gateways in (1, 20):
        d = Driver(gateways_by_zone=(0, 0, gateways, 0), gateway_count=gateways)
        d.serve_objects(20)
        d.now += 11 * SECOND
        ranks[gateways] = [d.first_attempt(object_id=500 + n).cache_rank for n in range(20)]
    assert ranks[1] == [0] * 20 and ranks[20].count(1) >= 15


def test_a_large_part_at_one_of_many_gateways_is_admitted_as_the_zone_requests_it_again() -> None:
    """Each of eight gateways gets one request in eight, so the zone's count decides."""
    ranks = {}
    for gateways in (1, 8):
        d = Driver(gateways_by_zone=(0, 0, gateways, 1), gateway_count=gateways + 1)
        d.serve_objects(60, size=10.0)
        d.request(object_id=5000, size=2000.0)
        ranks[gateways] = d.attempts[61][0].cache_rank
    assert ranks == {1: 0, 8: 1}
