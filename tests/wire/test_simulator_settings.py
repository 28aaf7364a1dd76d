"""Decoding of the settings: external names, defaults and errors."""

from __future__ import annotations

import json
from typing import Any

import pytest

from hallproxy.interface import (
    FillDetail,
    Idempotency,
    LoadReports,
    RequestClass,
    Scope,
    Settings,
    SettingsError,
)
from hallproxy.wire.simulator_settings import settings_from_json
from tests.support.simulator_options import OPTIONS


def test_settings_skip_unknown_keys_and_name_missing_ones() -> None:
    options = {**OPTIONS, "something_new": {"x": 1}}
    settings = settings_from_json(json.dumps(options).encode())
    assert (
        settings.zone_hub == (0, 0) and settings.classes[0].priority_weight == 2.0 and settings.weights_known
    )
    for key in ("classes", "rules", "zone"):
        broken = {k: v for k, v in OPTIONS.items() if k != key}
        with pytest.raises(SettingsError, match=key):
            settings_from_json(json.dumps(broken).encode())


ALL_OPTIONS: dict[str, Any] = {
    "zone": 1,
    "me": 2,
    "group_size": 3,
    "tick_ns": 4,
    "weight_source": "nominal",
    "membership_mode": "ask",
    "zones": ["here", "there"],
    "models": ["std", "parent"],
    "feedback": {"source": "inline", "names": ["x0", "x1"]},
    "bounds": {
        "probes": True, "cancelling": True, "second_copies": True, "max_attempts": 5, "retry_after": True,
        "max_retry_after_ns": 6, "dial_timeout_ns": 7, "idle_close_ns": 8,
    },
    "rules": {
        "cold_share": 0.1, "cold_ns": 9, "fall_multiple": 2.5, "fall_ns": 10, "drain_grace_ns": 11,
        "grace_to_answer_ns": 12, "must_ask_in_ns": 13,
    },
    "specifics": {
        "home_hub": [14, 15], "upper_kind": 16, "store_kind": 17, "instances_by_zone": [18, 19],
        "pace_kb_per_s": 20.5, "inlet_kb_per_s": [21.5, 22.5], "upper_cold_from": 0.2,
        "parent_warms_in_ns": 23, "parent_breaks_at": 3.5, "origin_stops_at": 4.5,
        "purge_grace_ns": 24, "gone_everywhere_ns": 25,
        "detail": "hit", "peers_fill": "location", "joins": True, "may_pass_by": True,
        "fresh_for_ns": [26, 27], "usable_after_ns": [28, 29], "multi_part": [True, False],
        "class_write": [False, True],
    },
    "classes": [
        {
            "aim_ns": 30, "aim_stretch": 1.5, "deadline_ns": 31, "points": 5.5, "late_share": 0.3,
            "effect": "token", "dedup_scope": "cell", "key_ttl_ns": 32, "stream": True, "name": "first",
        },
        {
            "aim_ns": 33, "deadline_ns": 34, "points": 6.5, "late_share": 0.4, "effect": "side_effect",
            "dedup_scope": "zone", "key_ttl_ns": 35, "stream": False,
        },
    ],
}  # fmt: skip

EXPECTED = Settings(
    classes=(
        RequestClass(
            latency_objective=30,
            deadline=31,
            priority_weight=5.5,
            late_weight=0.3,
            objective_stretch=1.5,
            idempotency=Idempotency.IDEMPOTENCY_KEY,
            idempotency_scope=Scope.CELL,
            idempotency_window=32,
            streaming=True,
            fresh_for=26,
            stale_grace=28,
            multipart=True,
            is_write=False,
            name="first",
        ),
        RequestClass(
            latency_objective=33,
            deadline=34,
            priority_weight=6.5,
            late_weight=0.4,
            objective_stretch=0.0,
            idempotency=Idempotency.NOT_IDEMPOTENT,
            idempotency_scope=Scope.ZONE,
            idempotency_window=35,
            streaming=False,
            fresh_for=27,
            stale_grace=29,
            multipart=False,
            is_write=True,
            name="",
        ),
    ),
    zone=1,
    zone_hub=(14, 15),
    parent_kind=16,
    origin_kind=17,
    slow_start_share=0.1,
    slow_start_duration=9,
    overload_multiple=2.5,
    overload_window=10,
    drain_grace=11,
    answer_slack=12,
    gateways_by_zone=(18, 19),
    gateway_count=3,
    gateway_index=2,
    tick=4,
    transfer_kb_s=20.5,
    zone_link_kb_s=(21.5, 22.5),
    parent_slow_start_share=0.2,
    parent_slow_start_duration=23,
    parent_overload_multiple=3.5,
    origin_overload_multiple=4.5,
    purge_grace=24,
    purge_duration=25,
    weights_known=True,
    fill_detail=FillDetail.HIT,
    sibling_scope=Scope.ZONE,
    joins_fills=True,
    direct_to_source=True,
    health_checks=True,
    cancellation=True,
    hedging=True,
    max_attempts=5,
    max_retry_after=6,
    connect_timeout=7,
    load_reports=LoadReports.ANSWERS,
    report_fields=("x0", "x1"),
    polls_endpoint_list=True,
    poll_within=13,
    idle_close=8,
    zone_names=("here", "there"),
    kind_names=("std", "parent"),
)
OPTIONAL = {"zones", "models", "idle_close_ns", "aim_stretch", "name"}


def test_every_external_name_is_decoded() -> None:
    assert settings_from_json(json.dumps(ALL_OPTIONS).encode()) == EXPECTED


@pytest.mark.parametrize(
    ("section", "name"),
    [
        *(("", name) for name in ALL_OPTIONS),
        *(
            (section, name)
            for section in ("feedback", "bounds", "rules", "specifics")
            for name in ALL_OPTIONS[section]
        ),
        *(("classes", name) for name in ALL_OPTIONS["classes"][0]),
    ],
)
def test_a_missing_name_is_reported_and_an_optional_one_has_a_default(section: str, name: str) -> None:
    options = json.loads(json.dumps(ALL_OPTIONS))
    parent = options[section] if section else options
    del (parent[0] if section == "classes" else parent)[name]
    if name in OPTIONAL:
        defaults = settings_from_json(json.dumps(options).encode())
        assert defaults != EXPECTED
    else:
        with pytest.raises(SettingsError, match=f"missing or unknown value '{name}'"):
            settings_from_json(json.dumps(options).encode())


@pytest.mark.parametrize(
    ("section", "name", "keyword", "field", "value"),
    [
        ("", "weight_source", "off", "weights_known", False),
        ("", "membership_mode", "push", "polls_endpoint_list", False),
        ("feedback", "source", "off", "load_reports", LoadReports.NONE),
        ("feedback", "source", "on_probe", "load_reports", LoadReports.PROBE),
        ("bounds", "retry_after", False, "max_retry_after", 0),
        ("specifics", "detail", "off", "fill_detail", FillDetail.NONE),
        ("specifics", "detail", "all", "fill_detail", FillDetail.ALL),
        ("specifics", "peers_fill", "off", "sibling_scope", Scope.NONE),
        ("specifics", "peers_fill", "any", "sibling_scope", Scope.ALL),
    ],
)
def test_every_keyword_is_decoded(
    section: str, name: str, keyword: object, field: str, value: object
) -> None:
    options = json.loads(json.dumps(ALL_OPTIONS))
    (options[section] if section else options)[name] = keyword
    assert getattr(settings_from_json(json.dumps(options).encode()), field) == value


@pytest.mark.parametrize(
    ("name", "keyword", "field", "value"),
    [
        ("effect", "pure", "idempotency", Idempotency.IDEMPOTENT),
        ("effect", "token", "idempotency", Idempotency.IDEMPOTENCY_KEY),
        ("effect", "side_effect", "idempotency", Idempotency.NOT_IDEMPOTENT),
        ("dedup_scope", "cell", "idempotency_scope", Scope.CELL),
        ("dedup_scope", "zone", "idempotency_scope", Scope.ZONE),
        ("dedup_scope", "all", "idempotency_scope", Scope.ALL),
    ],
)
def test_every_keyword_of_a_class_is_decoded(name: str, keyword: str, field: str, value: object) -> None:
    options = json.loads(json.dumps(ALL_OPTIONS))
    options["classes"][0][name] = keyword
    assert getattr(settings_from_json(json.dumps(options).encode()).classes[0], field) == value
