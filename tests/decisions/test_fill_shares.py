"""The fill shares of parents: equal to a reference computation to the last bit, in linear time.

`reference_shares` computes the rule in quadratic time; it iterates over all parents for each parent, hub and
distance. All gateways compute the same shares only if a release does not change the last bit.
"""

from __future__ import annotations

import random
import sys
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import replace
from types import FrameType
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hallproxy.decisions import Router
from hallproxy.decisions.endpoint_statistics import EndpointStatistics
from hallproxy.decisions.fill_shares import assign_fill_shares
from hallproxy.interface import (
    Endpoint,
    EndpointListKind,
    EndpointsChanged,
    EndpointState,
    Settings,
)
from tests.support.fleet import CACHES, ORIGIN, SETTINGS, START, Driver

FillShares = dict[EndpointStatistics, float]
WEIGHTS = (0.0, 0.0, 1.0, 10.0, 20.5, 40.0, 58.0, 1 / 3, 0.1, 1e-9, 7e11)


def reference_shares(
    s: Settings, parents: list[EndpointStatistics]
) -> tuple[list[list[EndpointStatistics]], FillShares]:
    """The tiers of parents, and the fill share of each."""

    def steps_between(parent: EndpointStatistics, hub: int) -> int:
        steps = abs(hubs.index(zone) - hubs.index(hub)) if (zone := parent.endpoint.zone) in hubs else 0
        return min(steps, len(hubs) - steps)

    hubs = sorted(set(s.zone_hub))
    demand = dict.fromkeys(hubs, 0.0)
    for gateways, hub in zip(s.gateways_by_zone or (1,) * len(s.zone_hub), s.zone_hub, strict=False):
        demand[hub] += gateways
    total_weight = sum(p.endpoint.weight for p in parents) or 1.0
    capacity = {p: p.endpoint.weight / total_weight * sum(demand.values()) for p in parents}
    tiers: list[list[EndpointStatistics]] = []
    shares = dict.fromkeys(parents, 0.0)
    for steps in range(len(hubs) // 2 + 1):
        near = {hub: [p for p in parents if steps_between(p, hub) == steps] for hub in hubs}
        requests = [
            (hub, p, demand[hub] * capacity[p] / (sum(capacity[q] for q in near[hub]) or 1.0))
            for hub in hubs
            for p in near[hub]
        ]
        requested = {p: sum(request for _, q, request in requests if q is p) for p in parents}
        for hub, p, request in requests:
            granted = request * min(1.0, capacity[p] / (requested[p] or 1.0))
            demand[hub] = max(0.0, demand[hub] - granted)
            shares[p] += granted if hub == s.zone_hub[s.zone] and granted > 1e-6 else 0.0
        capacity = {p: max(0.0, capacity[p] - requested[p]) for p in parents}
        tiers += [tier] if (tier := near[s.zone_hub[s.zone]]) else []
    return tiers, shares


def router_with(
    s: Settings, zones_and_weights: Sequence[tuple[int, float]]
) -> tuple[Router, list[EndpointStatistics]]:
    """A router whose list has these parents, and its parents in the order in which it processes them."""
    parents = [
        Endpoint(
            b"p%08x" % (n * 0x9E3779B1 % (1 << 32)), EndpointState.READY, kind=s.parent_kind, zone=z, weight=w
        )
        for n, (z, w) in enumerate(zones_and_weights)
    ]
    router = Router(s, 7)
    router.handle(START, [EndpointsChanged(EndpointListKind.FULL, (*CACHES, *parents, ORIGIN))])
    known = [p for p in router.endpoints.by_id.values() if p.endpoint.kind == s.parent_kind]
    assert len(known) == len(parents)
    return router, sorted(known, key=lambda p: p.endpoint.id)


def assert_reference_shares(router: Router, parents: list[EndpointStatistics]) -> FillShares:
    """Compare a router's tiers and shares with the reference; return the shares."""
    tiers, shares = reference_shares(router.context.settings, parents)
    assert router.endpoints.source_tiers[:-1] == tiers  # peers compare by identity
    assert [p.fill_share.hex() for p in parents] == [float(shares[p]).hex() for p in parents]  # also for NaN
    return shares


def random_settings(
    r: random.Random, hubs: int, parents: int, realistic: bool = False
) -> tuple[Settings, list[tuple[int, float]]]:
    """Settings with this many hubs in up to 51 zones, and this many parents, some in zones that are no hub.

    Realistic settings have gateways in each zone, and no weight that is negligible beside the others.
    """
    zones = r.randint(hubs, 51)
    hub_zones = r.sample(range(zones), hubs)
    zone_hub = tuple(r.sample([*hub_zones, *(r.choice(hub_zones) for _ in range(zones - hubs))], zones))
    gateways_by_zone = r.choice(
        [
            (),
            tuple(r.choice((0, 1, 3, 140)) for _ in range(zones)),
            tuple(r.randint(0, 7) for _ in range(r.randint(1, zones))),
            (0,) * zones,
        ]
    )
    gateways_by_zone = tuple(r.randint(1, 7) for _ in range(zones)) if realistic else gateways_by_zone
    s = replace(
        SETTINGS,
        zone=r.randrange(len(gateways_by_zone) or zones),
        zone_hub=zone_hub,
        gateways_by_zone=gateways_by_zone,
        gateway_count=max(1, sum(gateways_by_zone)),
    )
    outside_share = r.choice((0.0, 0.1, 1.0))
    parent_zones = [
        r.randrange(60) if r.random() < outside_share else r.choice(hub_zones) for _ in range(parents)
    ]
    weights = r.choice((WEIGHTS, (0.0,), (20.5, 40.0, 58.0))) if not realistic else (20.5, 40.0, 58.0)
    return s, [(zone, r.choice(weights)) for zone in parent_zones]


@pytest.mark.parametrize("hubs", range(1, 18))
def test_fill_shares_equal_the_reference_to_the_last_bit(hubs: int) -> None:
    r = random.Random(hubs)
    tiers = 0
    for parents in (0, 1, 2, 3, hubs, 17, 40, 40, 90, r.randint(100, 400)):
        assert_reference_shares(*router_with(*random_settings(r, hubs, parents)))
        router, known = router_with(*random_settings(r, hubs, parents, realistic=True))
        shares = assert_reference_shares(router, known)
        assert any(shares.values()) == bool(parents)
        tiers = max(tiers, len(router.endpoints.source_tiers) - 1)
    assert tiers == hubs // 2 + 1


@settings(max_examples=120, deadline=None)
@given(st.integers(0, 1 << 32), st.integers(1, 17), st.integers(0, 120))
def test_fill_shares_equal_the_reference_for_generated_lists(seed: int, hubs: int, parents: int) -> None:
    assert_reference_shares(*router_with(*random_settings(random.Random(seed), hubs, parents)))


@settings(max_examples=200, deadline=None)
@given(
    st.lists(st.integers(0, 9), min_size=1, max_size=12),
    st.lists(st.integers(0, 5), max_size=14),
    st.lists(st.tuples(st.integers(0, 10), st.sampled_from(WEIGHTS) | st.floats()), max_size=12),
    st.data(),
)
def test_fill_shares_equal_the_reference_for_any_weight(
    zone_hub: list[int], gateways_by_zone: list[int], parents: list[tuple[int, float]], data: st.DataObject
) -> None:
    """Also for negative, infinite and NaN weights: a list may contain them."""
    zone = data.draw(st.integers(0, min(len(zone_hub), len(gateways_by_zone) or len(zone_hub)) - 1))
    s = replace(SETTINGS, zone=zone, zone_hub=tuple(zone_hub), gateways_by_zone=tuple(gateways_by_zone))
    assert_reference_shares(*router_with(s, parents))


def test_fill_shares_are_computed_anew_when_a_parent_drains() -> None:
    r = random.Random(3)
    router, known = router_with(*random_settings(r, 6, 50))
    for drained in r.sample(known, 10):
        change = EndpointsChanged(
            EndpointListKind.DELTA, (replace(drained.endpoint, state=EndpointState.DRAINING),)
        )
        router.handle(router.context.now + 1, [change])
        known.remove(drained)
        assert_reference_shares(router, known)


class Weight(float):
    """A weight whose arithmetic runs as Python code, so that sums in built-in functions are counted too."""

    def __add__(self, other: float) -> Weight:
        return Weight(float(self) + other)

    __radd__ = __add__

    def __mul__(self, other: float) -> Weight:
        return Weight(float(self) * other)

    __rmul__ = __mul__

    def __truediv__(self, other: float) -> Weight:
        return Weight(float(self) / other)


def count_instructions(call: Callable[[], object]) -> int:
    """The number of interpreter instructions that a call executes, with all that it calls."""
    counted = 0

    def count(frame: FrameType, event: str, arg: Any) -> Any:
        nonlocal counted
        frame.f_trace_opcodes = True
        counted += event == "opcode"
        return count

    previous_trace = sys.gettrace()
    sys.settrace(count)
    try:
        call()
    finally:
        sys.settrace(previous_trace)
    return counted


def instructions_for(parents: int, function: Callable[[Settings, list[EndpointStatistics]], object]) -> int:
    """The instructions for this many parents in 17 hubs of three zones, as in the capacity measurements."""
    s = replace(SETTINGS, zone=0, zone_hub=tuple(z - z % 3 for z in range(51)), gateways_by_zone=(139,) * 51)
    router, known = router_with(s, [(n % 17 * 3, Weight(WEIGHTS[3 + n % 4])) for n in range(parents)])
    return count_instructions(lambda: function(router.context.settings, known))


def test_the_computation_is_linear_in_the_parents() -> None:
    few, many = (instructions_for(parents, assign_fill_shares) for parents in (100, 1_000))
    assert 5 * few < many < 11 * few


def test_the_instruction_count_shows_quadratic_computation() -> None:
    """The reference, with fewer parents: for five times as many it takes over ten times the instructions."""
    few, many = (instructions_for(parents, reference_shares) for parents in (30, 150))
    assert many > 10 * few


def test_fill_shares_follow_link_capacity_nearest_zones_first() -> None:
    """A parent with a third of another's link must not get as many fills as that one."""
    small = Endpoint(b"small", EndpointState.READY, kind=1, zone=2, weight=20.0)
    large = Endpoint(b"large", EndpointState.READY, kind=1, zone=0, weight=60.0)

    def shares(zone: int, fleet: list[Endpoint]) -> dict[bytes, float]:
        d = Driver(
            fleet=[*(replace(c, zone=zone) for c in CACHES), *fleet, ORIGIN],
            zone=zone,
            zone_hub=(0, 1, 2, 0, 1, 2),
            gateways_by_zone=(0, 0, 0, 6, 6, 8),
            gateway_count=20,
        )
        used = Counter(d.first_attempt(object_id=object_id, size=1.0).source for object_id in range(1, 401))
        return {server: round(times / 400, 1) for server, times in used.items()}

    assert shares(3, [small, large]) == {b"large": 1.0}
    assert shares(4, [small, large]) == {b"large": 1.0}  # equally near to both: filled where capacity is free
    assert shares(5, [small, large]) == {
        b"small": 0.6,
        b"large": 0.4,
    }  # its own hub's parent has a quarter of the capacity
    assert shares(5, [small]) == {b"small": 1.0} and shares(5, [large]) == {b"large": 1.0}
    equal = [replace(small, zone=0), replace(small, id=b"other", zone=0)]
    assert shares(3, equal) == {b"small": 0.5, b"other": 0.5}


@pytest.mark.parametrize("zone", [3, 6])
def test_what_rounding_leaves_of_a_zone_s_fills_is_no_fill_share(zone: int) -> None:
    """A negative share would sort first, and a zone would fill from the far parent alone."""
    far = Endpoint(b"far", EndpointState.READY, kind=1, zone=0, weight=21.5)
    near = Endpoint(b"near", EndpointState.READY, kind=1, zone=2, weight=29.5)
    hubs, gateways_by_zone = (0, 1, 2, 2, 0, 1, 2, 0, 1), (0, 0, 0, 7, 5, 6, 7, 10, 5)
    caches = [replace(c, zone=zone) for c in CACHES]
    d = Driver(
        fleet=[*caches, far, near, ORIGIN],
        zone=zone,
        zone_hub=hubs,
        gateways_by_zone=gateways_by_zone,
        gateway_count=40,
    )
    assert {d.first_attempt(object_id=object_id, size=1.0).source for object_id in range(1, 100)} == {b"near"}
    assert all(p.fill_share >= 0.0 for p in d.router.endpoints.by_id.values())
