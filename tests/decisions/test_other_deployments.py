"""Differences between deployments: each is read from the settings."""

from __future__ import annotations

import json
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from hallproxy.decisions.retries import RETRY_BURST, RETRY_SHARE
from hallproxy.interface import AttemptStatus, FetchFlags, FillDetail, Idempotency, Reject, SettingsError
from hallproxy.state import effects, events
from hallproxy.wire.frames import SERVED
from hallproxy.wire.simulator_settings import settings_from_json
from tests.support.fleet import CACHES, CLIP, HUB_PARENTS, MS, ORIGIN, SECOND, SMALL, Driver
from tests.support.gateway import Platform, now_ms, platform_settings, until
from tests.support.reducer import ReducerHarness


def answer_others(d: Driver, times: int = 120) -> None:
    """Answer enough requests, some at each cache, to tell which answers are slow."""
    for object_id in range(5000, 5000 + times):
        d.end_attempt(d.request(object_id=object_id, size=10.0), latency=20 * MS)
        d.now += MS


@pytest.mark.parametrize(
    "hedging, idempotency, expected_in_flight",
    [
        (False, Idempotency.IDEMPOTENT, 1),
        (True, Idempotency.IDEMPOTENT, 2),
        (False, Idempotency.IDEMPOTENCY_KEY, 1),
    ],
)
def test_one_attempt_at_a_time_where_hedging_is_not_allowed(
    hedging: bool, idempotency: Idempotency, expected_in_flight: int
) -> None:
    d = Driver(
        hedging=hedging,
        classes=(replace(CLIP, idempotency=idempotency, idempotency_window=2 * SECOND), SMALL),
    )
    answer_others(d)
    d.router.overdue.late_share = 0.0  # an answer that does not arrive here counts as lost
    request_id = d.request(object_id=1, size=10.0)
    max_in_flight = 0
    for _ in range(40):
        answer_others(d, 4)
        d.advance(50 * MS)
        entry = d.router.requests.get(request_id)
        max_in_flight = max(max_in_flight, len(entry.attempts) if entry else 0)
    assert max_in_flight == 1 if expected_in_flight == 1 else max_in_flight >= expected_in_flight


def test_an_attempt_is_abandoned_before_its_retry_starts() -> None:
    """A connection to a host that vanished is closed before the retry opens the next one, never after it."""
    harness = ReducerHarness(stores=2)
    first = next(e for e in harness.request(1) if isinstance(e, effects.OpenConnection))
    harness.dispatch(events.ConnectionOpened(harness.now, first.connection))
    harness.now += SECOND
    opened = harness.request(2)  # another connection to the same store, which is never established
    while True:
        opening = next((e for e in opened if isinstance(e, effects.OpenConnection)), None)
        assert opening is not None
        connections = harness.state.connections
        same_endpoint = connections[opening.connection].endpoint == connections[first.connection].endpoint
        if opening.address == first.address and same_endpoint:
            break
        harness.dispatch(events.ConnectionOpened(harness.now, opening.connection))
        awaiting = len(harness.state.awaiting_response)
        opened = harness.request(awaiting + 1, object_id=awaiting + 7)
    effects_after = harness.advance(harness.state.settings.connect_timeout + MS)
    kinds = [
        (type(e), getattr(e, "connection", 0))
        for e in effects_after
        if isinstance(e, effects.CloseConnection | effects.OpenConnection | effects.SendRequest)
    ]
    closed = kinds.index((effects.CloseConnection, first.connection))
    assert any(kind is not effects.CloseConnection for kind, _ in kinds[closed:])


@pytest.mark.parametrize(
    "joins, fresh_for, flags",
    [(False, 0, FetchFlags.NONE), (True, 0, FetchFlags.JOIN), (False, 8 * SECOND, FetchFlags.REVALIDATE)],
)
def test_fills_are_joined_and_copies_revalidated_only_where_settings_allow_it(
    joins: bool, fresh_for: int, flags: FetchFlags
) -> None:
    d = Driver(joins_fills=joins, classes=(replace(CLIP, fresh_for=fresh_for), SMALL))
    assert {d.first_attempt(object_id=object_id).flags for object_id in range(1, 20)} == {flags}


@pytest.mark.parametrize("direct", [False, True])
def test_a_source_answers_itself_only_where_that_is_allowed_and_no_cache_is_left(direct: bool) -> None:
    d = Driver(direct_to_source=direct)
    caches = {c.id for c in CACHES}
    assert all(d.first_attempt(object_id=object_id).endpoint in caches for object_id in range(1, 20))
    without_caches = Driver(fleet=[*HUB_PARENTS, ORIGIN], direct_to_source=direct)
    request_id = without_caches.request(object_id=1)
    assert (request_id in without_caches.attempts) == direct
    if direct:
        assert without_caches.attempts[request_id][0].endpoint in {p.id for p in HUB_PARENTS}
        assert (
            without_caches.attempts[request_id][0].source == without_caches.attempts[request_id][0].endpoint
        )


def test_an_origin_that_rejects_gets_retries_within_the_budget_and_clients_are_answered_at_once() -> None:
    """With no parent left all fills go to the origin; its rejections must not multiply its load."""
    d = Driver(fleet=[*CACHES, ORIGIN], fill_detail=FillDetail.NONE)
    answer_others(d, 40)
    fills, rejected = [], 0
    for object_id in range(100, 700):
        request_id = d.request(object_id=object_id, size=10.0)
        for _ in range(8):
            entry = d.router.requests.get(request_id)
            if entry is None or not entry.attempts:
                break
            started = d.attempts[request_id][-1]
            fills.append(object_id) if started.source != started.endpoint else None
            actions = d.end_attempt(
                request_id,
                AttemptStatus.FULL if started.source != started.endpoint else AttemptStatus.MISS,
                2 * MS,
            )
            rejected += any(isinstance(a, Reject) and a.request_id == request_id for a in actions)
        d.advance(5 * MS)
    assert len(fills) <= 600 * (1 + RETRY_SHARE) + RETRY_BURST and rejected > 400


def test_without_load_reports_joins_or_hedging_the_gateway_serves_with_plain_requests(tmp_path: Path) -> None:
    def disable_features(settings: dict[str, Any]) -> None:
        settings["feedback"] = {"names": [], "source": "off"}
        settings["bounds"] |= {"second_copies": False}
        settings["specifics"] |= {"joins": False, "may_pass_by": True, "fresh_for_ns": [0, 0, 0, 0]}
        settings["specifics"] |= {"purge_grace_ns": 10**9}

    platform = Platform(tmp_path, change_settings=disable_features).start()
    try:
        client = platform.client()
        stream = client.send_request(row=7)
        frame = client.read_frame()
        assert frame is not None and frame[1] == stream and frame[2][0] == SERVED
        platform.publish(invalidate={"object": f"{7:016x}", "time": now_ms()})
        client.send_request(row=7)
        until(lambda: len(platform.requests) == 2)
        first, second = platform.requests
        assert "x-flags" not in first.fields and "x-max-age-ms" not in first.fields
        assert int(second.fields["x-max-age-ms"]) >= 1 and "x-flags" not in second.fields
    finally:
        platform.program.stop()


REQUIRED_SETTINGS = {
    "bounds": ("second_copies", "cancelling", "max_attempts", "dial_timeout_ns"),
    "specifics": ("may_pass_by", "joins", "purge_grace_ns", "home_hub", "instances_by_zone", "class_write"),
    "feedback": ("source", "names"),
    "rules": ("cold_share", "drain_grace_ns", "fall_multiple"),
}


@pytest.mark.parametrize(
    "part, name", [(part, name) for part, names in REQUIRED_SETTINGS.items() for name in names]
)
def test_a_setting_that_is_missing_is_named_and_gets_no_other_deployment_s_value(
    part: str, name: str
) -> None:
    settings = platform_settings()
    del settings[part][name]
    with pytest.raises(SettingsError, match=name):
        settings_from_json(json.dumps(settings).encode())
