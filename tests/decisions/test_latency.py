"""Slowness of caches and sending times of classes."""

from __future__ import annotations

from tests.support.fleet import CACHES, MS, Driver


def test_an_ageing_cache_loses_its_weight_by_degrees_and_gets_it_back() -> None:
    d = Driver()
    slow, share = CACHES[0].id, []
    for phase, factor in enumerate((1, 4, 12, 1, 1)):
        first = 1 + 300 * phase
        for object_id in range(first, first + 300):
            request_id = d.request(object_id=object_id)
            own_factor = factor if d.attempts[request_id][0].endpoint == slow else 1
            d.now += 20 * MS
            d.end_attempt(request_id, latency=420 * MS * own_factor)
        share.append(
            sum(d.attempts[object_id][0].endpoint == slow for object_id in range(first + 150, first + 300))
            / 150
        )
    assert share[0] > 0.18 and share[1] < 0.75 * share[0] and 0 < share[2] < 0.4 * share[0]
    assert share[4] > 0.75 * share[0]


def test_one_of_many_gateways_learns_of_a_slow_cache_from_the_few_answers_that_it_gets() -> None:
    """One gateway of eight gets an eighth of a cache's answers, so each counts for more."""
    weight = {}
    for gateways in (1, 8):
        d = Driver(gateways_by_zone=(0, 0, gateways, 1), gateway_count=gateways + 1)
        bad = CACHES[0].id
        for object_id in range(1, 81):
            request_id = d.request(object_id=object_id, size=10.0)
            endpoint_id = d.attempts[request_id][-1].endpoint
            d.now += 20 * MS
            d.end_attempt(request_id, latency=(400 if endpoint_id == bad else 30) * MS)
        d.router.latency.update_typical_slowness()
        weight[gateways] = d.router.latency.weight_factor(d.router.endpoints.by_id[bad])
    assert weight[8] < 0.3 < 0.4 < weight[1]


def test_slowness_that_all_share_changes_no_placement() -> None:
    def servers(factor: int) -> list[bytes]:
        d = Driver()
        for object_id in range(1, 100):
            request_id = d.request(object_id=object_id)
            d.now += 400 * MS * factor
            d.end_attempt(request_id, latency=400 * MS * factor)
        return [d.attempts[object_id][0].endpoint for object_id in range(1, 100)]

    assert servers(1) == servers(3)


def test_where_sizes_are_unknown_a_class_s_sending_time_is_learned_from_its_answers() -> None:
    """Otherwise all classes have the same value density, and small requests wait for large ones."""
    d = Driver()
    for n in range(60):
        for cls, latency in ((0, (700, 900, 2500)[n % 3]), (1, (60, 80, 300)[n % 3])):
            request_id = d.request(object_id=2 * n + cls + 1, class_index=cls, size=0.0)
            d.now += 50 * MS
            d.end_attempt(request_id, latency=latency * MS)
    large, small = d.router.latency.class_sending_times
    assert 0.6 < large < 1.2 and 0.05 < small < 0.12
    large_id, small_id = (
        d.request(object_id=900, class_index=0, size=0.0),
        d.request(object_id=901, class_index=1, size=0.0),
    )
    assert d.router.requests[small_id].value_density > 3 * d.router.requests[large_id].value_density
