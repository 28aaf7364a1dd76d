"""The share of a zone's fills that each parent gets.

Departure from the design: the zones of a hub fill from the nearest parents up to those parents' share of all
link capacity, and beyond that from the parents of the next hub. This guards a small parent against the load
that hashing alone would give it, which each gateway notices too late; it costs longer fill paths. All
gateways compute the same shares from the same list.
"""

from __future__ import annotations

from collections.abc import Sequence

from hallproxy.decisions.endpoint_statistics import EndpointStatistics
from hallproxy.interface import Settings

FILL_SHARE_MIN = 1e-6  # gateways' worth of traffic; less than this is a rounding error

Ring = dict[int, list[EndpointStatistics]]  # hub -> the parents at one distance, in steps, from it


def assign_fill_shares(
    settings: Settings, parents: Sequence[EndpointStatistics]
) -> list[list[EndpointStatistics]]:
    """Set each parent's ``fill_share`` of this zone's fills; return the tiers of parents, nearest first."""
    hubs = sorted(set(settings.zone_hub))
    own_hub = settings.zone_hub[settings.zone]
    demand = _demand_by_hub(settings, hubs)
    total_weight = sum(p.endpoint.weight for p in parents) or 1.0
    total_demand = sum(demand.values())
    capacity = {p: p.endpoint.weight / total_weight * total_demand for p in parents}
    for parent in parents:
        parent.fill_share = 0.0
    rings = _rings(hubs, parents)
    for ring in rings:
        requested = _requested_fills(ring, parents, demand, capacity)
        _grant_fills(requested, demand, capacity, own_hub)
    return [tier for ring in rings if (tier := ring[own_hub])]


def _demand_by_hub(settings: Settings, hubs: Sequence[int]) -> dict[int, float]:
    """Return the fills of each hub's zones, in gateways' worth of traffic."""
    demand = dict.fromkeys(hubs, 0.0)
    gateways_by_zone = settings.gateways_by_zone or (1,) * len(settings.zone_hub)
    for gateways, hub in zip(gateways_by_zone, settings.zone_hub, strict=False):
        demand[hub] += gateways
    return demand


def _rings(hubs: Sequence[int], parents: Sequence[EndpointStatistics]) -> list[Ring]:
    """Group the parents by their distance from each hub, in steps along the ring of hubs."""
    count = len(hubs)
    rings: list[Ring] = [{hub: [] for hub in hubs} for _ in range(count // 2 + 1)]
    groups_by_zone = {
        zone: [rings[min((a - b) % count, (b - a) % count)][hub] for b, hub in enumerate(hubs)]
        for a, zone in enumerate(hubs)
    }
    in_no_hub = rings[0].values()  # a parent whose zone is no hub has distance 0 to all
    for parent in parents:
        for group in groups_by_zone.get(parent.endpoint.zone, in_no_hub):
            group.append(parent)
    return rings


def _requested_fills(
    ring: Ring,
    parents: Sequence[EndpointStatistics],
    demand: dict[int, float],
    capacity: dict[EndpointStatistics, float],
) -> dict[EndpointStatistics, dict[int, float]]:
    """Divide each hub's remaining demand among the ring's parents, by their free capacity."""
    requested: dict[EndpointStatistics, dict[int, float]] = {parent: {} for parent in parents}
    for hub, group in ring.items():
        group_capacity = sum(capacity[parent] for parent in group) or 1.0
        for parent in group:
            requested[parent][hub] = demand[hub] * capacity[parent] / group_capacity
    return requested


def _grant_fills(
    requested: dict[EndpointStatistics, dict[int, float]],
    demand: dict[int, float],
    capacity: dict[EndpointStatistics, float],
    own_hub: int,
) -> None:
    """Grant what each parent's free capacity allows, and subtract it from demand and capacity."""
    for parent, by_hub in requested.items():
        total = sum(by_hub.values())
        granted_share = min(1.0, capacity[parent] / (total or 1.0))
        capacity[parent] = max(0.0, capacity[parent] - total)
        for hub, fills in by_hub.items():
            granted = fills * granted_share
            demand[hub] = max(0.0, demand[hub] - granted)
            if hub == own_hub and granted > FILL_SHARE_MIN:
                parent.fill_share += granted
