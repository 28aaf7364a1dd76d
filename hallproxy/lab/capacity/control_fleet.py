"""The platform for the measurements of control: its settings, its list of stores, its purges.

All of it is derived from a size and a seed, so the log, the gateways and the measurement agree on it.
"""

from __future__ import annotations

import random
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parents[3]
SITE = ROOT / "deploy" / "sites" / "harbour-tiles.toml"
MS = 1_000_000  # ns
ZONES, REGIONS = 51, 17
GATEWAYS = 7_100
KINDS = ("std", "parent", "origin")
STORES_PER_PARENT = 25
STORES_PER_HOST = 250  # on one host address; nothing listens there


def settings(zone: int = 0) -> dict[str, Any]:
    """A gateway's settings in the format of its configuration, with the site's own classes and rules."""
    site = tomllib.loads(SITE.read_text("utf-8"))
    rules, allow, fam = site["rules"], site["allow"], site["fam"]
    classes = [
        {
            "name": entry["name"],
            "aim_ns": entry["aim_ms"] * MS,
            "aim_stretch": entry.get("aim_stretch", 0.0),
            "deadline_ns": entry["deadline_ms"] * MS,
            "points": entry["worth"],
            "late_share": entry["late_worth"],
            "effect": {"safe": "pure", "keyed": "token", "unsafe": "side_effect"}[entry["effect"]],
            "dedup_scope": entry.get("group", "all"),
            "key_ttl_ns": entry.get("window_ms", 0) * MS,
            "stream": False,
        }
        for entry in site["class"]
    ]
    return {
        "classes": classes,
        "zone": zone,
        "zones": [f"z-{n}" for n in range(ZONES)],
        "models": list(KINDS),
        "group_size": GATEWAYS,
        "me": 0,
        "membership_mode": "push",
        "tick_ns": site["day"]["tick_ms"] * MS,
        "weight_source": "nominal",
        "feedback": {"names": ["inflight", "x0"], "source": "inline"},
        "bounds": {
            "probes": allow["probes"],
            "cancelling": allow["cancel"],
            "second_copies": allow["second_copies"],
            "max_attempts": allow["max_attempts"],
            "retry_after": allow["retry_after"],
            "max_retry_after_ns": site["clients"]["max_retry_after_ms"] * MS,
            "dial_timeout_ns": 600 * MS,
            "idle_close_ns": 8_000 * MS,
        },
        "rules": {
            "cold_share": 0.3,
            "cold_ns": 10_000 * MS,
            "fall_multiple": rules["fall_multiple"],
            "fall_ns": rules["fall_ms"] * MS,
            "drain_grace_ns": rules["drain_grace_ms"] * MS,
            "grace_to_answer_ns": 8 * MS,
            "must_ask_in_ns": 10_000 * MS,
        },
        "specifics": {
            "class_write": [bool(entry.get("write")) for entry in site["class"]],
            "multi_part": [True, False, False],
            "fresh_for_ns": [0, 6_000 * MS, 0],
            "usable_after_ns": [0] * len(classes),
            "home_hub": [n // (ZONES // REGIONS) * (ZONES // REGIONS) for n in range(ZONES)],
            "instances_by_zone": [GATEWAYS // ZONES] * ZONES,
            "inlet_kb_per_s": [0.0] * ZONES,
            "pace_kb_per_s": 6_000.0,
            "detail": "off",
            "peers_fill": "any",
            "joins": fam["joins"],
            "may_pass_by": fam["direct"],
            "store_kind": KINDS.index("origin"),
            "upper_kind": KINDS.index("parent"),
            "upper_cold_from": 0.1,
            "parent_warms_in_ns": 15_000 * MS,
            "parent_breaks_at": fam["parent_fall_multiple"],
            "origin_stops_at": fam["origin_fall_multiple"],
            "purge_grace_ns": fam["purge_grace_ms"] * MS,
            "gone_everywhere_ns": int(fam["purge_done_s"] * 1000) * MS,
        },
    }


def store(number: int, started: int = 0) -> dict[str, Any]:
    """One line of the list. Store 0 is the origin, and one in 25 is a parent."""
    kind = "origin" if number == 0 else "parent" if number % STORES_PER_PARENT == 1 else "std"
    host, port = divmod(number, STORES_PER_HOST)
    return {
        "instanceId": f"s-{number}",
        "hostPort": f"127.0.{host + 1}.1:{10_000 + port}",
        "zone": f"z-{number % ZONES}",
        "machineType": kind,
        "cell": number // ZONES,
        "lifecycle": "Ready",
        "weight": 4.0,
        "startedAtMs": started,
    }


def list_event(members: int) -> dict[str, Any]:
    """The complete list, as in the log's first event."""
    return {"generation": 1, "reset": True, "instances": [store(n) for n in range(members)]}


class PurgeSequence:
    """The sequence of purged objects: the same for the same seed, without repeats."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self._objects: list[int] = []
        self._index: dict[int, int] = {}

    def __getitem__(self, index: int) -> int:
        while len(self._objects) <= index:
            self._draw()
        return self._objects[index]

    def index_of(self, obj: int, limit: int) -> int | None:
        """Its index in the sequence; None if it is not among the first ``limit``."""
        while obj not in self._index and len(self._objects) < limit:
            self._draw()
        return self._index.get(obj)

    def _draw(self) -> None:
        obj = self._rng.getrandbits(64)
        if obj and obj not in self._index:  # object 0 would denote a group
            self._index[obj] = len(self._objects)
            self._objects.append(obj)
