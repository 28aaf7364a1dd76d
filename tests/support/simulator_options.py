"""The simulator's options for one class of requests, under their wire names."""

from __future__ import annotations

from typing import Any

OPTIONS: dict[str, Any] = {
    "bounds": {"cancelling": True, "dial_timeout_ns": 400000000, "max_attempts": 6,
               "max_retry_after_ns": 1000000000, "probes": True, "retry_after": True, "second_copies": True},
    "classes": [{"aim_ns": 400000000, "aim_stretch": 2.0, "deadline_ns": 5000000000, "dedup_scope": "all",
                 "effect": "pure", "key_ttl_ns": 5000000000, "late_share": 0.15, "points": 2.0,
                 "stream": False}],
    "feedback": {"names": ["x1"], "source": "on_probe"},
    "group_size": 3, "me": 0, "membership_mode": "push", "tick_ns": 2000000, "weight_source": "nominal",
    "zone": 1,
    "rules": {"cold_ns": 15000000000, "cold_share": 0.22, "drain_grace_ns": 500000000, "fall_multiple": 3.0,
              "fall_ns": 1000000000, "grace_to_answer_ns": 8000000, "must_ask_in_ns": 10000000000},
    "specifics": {"class_write": [False], "detail": "off", "fresh_for_ns": [0],
                  "gone_everywhere_ns": 6000000000, "home_hub": [0, 0], "inlet_kb_per_s": [0.0, 85366.0],
                  "instances_by_zone": [0, 1], "joins": False, "may_pass_by": True, "multi_part": [True],
                  "origin_stops_at": 0.0, "pace_kb_per_s": 9200.0, "parent_breaks_at": 2.0,
                  "parent_warms_in_ns": 22000000000, "peers_fill": "any", "purge_grace_ns": 1000000000,
                  "store_kind": 2, "upper_cold_from": 0.06, "upper_kind": 1, "usable_after_ns": [0]},
}  # fmt: skip
