"""Endpoint lists of any size, and matching settings, for the measurements of one gateway.

A region is one hub and up to three zones, as in the operators' plan (17 regions, 51 zones). Parents are in
their region's first zone, which is its hub; caches are assigned to all zones in turn, starting with the
gateway's own. One member is the origin. All are warm unless a measurement sets otherwise.
"""

import json
import random
from typing import Any

from hallproxy.interface import Settings
from hallproxy.wire.simulator_settings import settings_from_json

ZONES_PER_HUB = 3
ZONES = 51
GATEWAYS = 7_100
CACHES_PER_PARENT = 3.45
"""The middle of `per_parent` in both files of deploy/sites (2.7 to 4.2, 2.5 to 4.4)."""

MS = 1_000_000  # ns
SECOND = 1_000_000_000  # ns
Json = dict[str, Any]


def hub_of(zone: int) -> int:
    return zone - zone % ZONES_PER_HUB


def hub_zones(zones: int) -> list[int]:
    return sorted({hub_of(zone) for zone in range(zones)})


def default_parent_count(members: int) -> int:
    """The number of parents among `members`, unless a measurement sets it."""
    return max(1, round((members - 1) / (1 + CACHES_PER_PARENT)))


def settings_json(zones: int = ZONES, gateways: int = GATEWAYS, aim_ms: int = 400) -> Json:
    """Settings in the format of the configuration, with the gateways spread evenly over the zones."""
    common = {"aim_ns": aim_ms * MS, "aim_stretch": 2.0, "deadline_ns": 10 * SECOND, "dedup_scope": "all",
             "effect": "pure", "key_ttl_ns": 5 * SECOND, "late_share": 0.15, "points": 2.0,
             "stream": False}  # fmt: skip
    return {
        "bounds": {"cancelling": True, "dial_timeout_ns": 2 * SECOND, "max_attempts": 6, "probes": False,
                   "max_retry_after_ns": SECOND, "retry_after": True, "second_copies": False,
                   "idle_close_ns": 60 * SECOND},
        "classes": [common | {"name": "segment"}, common | {"name": "small"}],
        "feedback": {"names": [], "source": "off"},
        "group_size": gateways, "me": 0, "membership_mode": "push", "tick_ns": 2 * MS,
        "weight_source": "nominal", "zone": 0,
        "zones": [f"zone-{zone}" for zone in range(zones)], "models": ["std", "parent", "origin"],
        "rules": {"cold_ns": 15 * SECOND, "cold_share": 0.2, "drain_grace_ns": 500 * MS, "fall_multiple": 3.0,
                  "fall_ns": SECOND, "grace_to_answer_ns": 8 * MS, "must_ask_in_ns": 10 * SECOND},
        "specifics": {"class_write": [False, False], "detail": "off", "fresh_for_ns": [0, 0],
                      "gone_everywhere_ns": 6 * SECOND, "home_hub": [hub_of(zone) for zone in range(zones)],
                      "inlet_kb_per_s": [0.0] * zones, "joins": True, "may_pass_by": False,
                      "instances_by_zone": [gateways // zones + (z < gateways % zones) for z in range(zones)],
                      "multi_part": [True, False], "origin_stops_at": 0.0, "pace_kb_per_s": 9200.0,
                      "parent_breaks_at": 2.0, "parent_warms_in_ns": 22 * SECOND, "peers_fill": "any",
                      "purge_grace_ns": 300 * MS, "store_kind": 2, "upper_cold_from": 0.06,
                      "upper_kind": 1, "usable_after_ns": [0, 0]},
    }  # fmt: skip


def settings(zones: int = ZONES, gateways: int = GATEWAYS) -> Settings:
    return settings_from_json(json.dumps(settings_json(zones, gateways)).encode())


def endpoint_lines(
    members: int, rng: random.Random, zones: int = ZONES, parents: int | None = None, address: str = ""
) -> list[Json]:
    """The list's lines in the format of the change log, shuffled and with random ids.

    All members have ``address``, or each its own if it is empty. Raises ValueError unless there is at least
    one cache besides the origin and the parents.
    """
    parents = default_parent_count(members) if parents is None else parents
    caches, hubs = members - 1 - parents, hub_zones(zones)
    if caches < 1 or parents < 0:
        raise ValueError(
            f"{members} members with {parents} parents: at least one cache and 0 parents are required"
        )
    idents = rng.sample(range(1 << 32), members)
    listed = [_line(f"o-{idents[0]:08x}", "origin", 0, 60.0)]
    listed += [_line(f"p-{idents[1 + n]:08x}", "parent", hubs[n % len(hubs)], rng.choice((20.5, 40.0, 58.0)))
             for n in range(parents)]  # fmt: skip
    listed += [_line(f"s-{idents[1 + parents + n]:08x}", "std", n % zones, rng.choice((8.0, 10.0, 12.0)))
             for n in range(caches)]  # fmt: skip
    for n, line in enumerate(listed):
        line["hostPort"] = address or f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}:8080"
    rng.shuffle(listed)
    return listed


def _line(ident: str, kind: str, zone: int, weight: float) -> Json:
    return {"instanceId": ident, "hostPort": "", "zone": f"zone-{zone}", "machineType": kind, "cell": 0,
            "lifecycle": "Ready", "weight": weight, "startedAtMs": 0}  # fmt: skip


def page(entries: list[Json], seq: int | None = None) -> Json:
    """One page of the change log with these events, numbered up to ``seq`` (default: their number)."""
    last = len(entries) if seq is None else seq
    first = last - len(entries) + 1
    return {"seq": last, "results": [{"seq": first + n, **entry} for n, entry in enumerate(entries)]}


def full_list(listed: list[Json], generation: int = 1) -> Json:
    return {"fleet": {"generation": generation, "reset": True, "instances": listed}}


def list_change(line: Json, generation: int = 2, **changed: Any) -> Json:
    """An event that changes the given fields of one member's line."""
    return {"fleet": {"generation": generation, "reset": False, "instances": [line | changed]}}


def purge(obj: int, time_ms: int, group: int = 0) -> Json:
    """The purge of an object, or of the whole group if ``obj`` is 0."""
    return {"invalidate": {"object": f"{obj:016x}" if obj else "", "bucket": group, "time": time_ms}}
