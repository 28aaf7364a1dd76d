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
    """Enough answers to tell which ones are long, some from each cache."""
    for obj in range(5000, 5000 + times):
        d.end_attempt(d.request(object_id=obj, size=10.0), latency=20 * MS)
        d.now += MS


@pytest.mark.parametrize(
    "second, effect, most",
    [
        (False, Idempotency.IDEMPOTENT, 1),
        (True, Idempotency.IDEMPOTENT, 2),
        (False, Idempotency.IDEMPOTENCY_KEY, 1),
    ],
)
def test_one_attempt_at_a_time_where_hedging_is_not_allowed(
    second: bool, effect: Idempotency, most: int
) -> None:
    d = Driver(
        hedging=second, classes=(replace(CLIP, idempotency=effect, idempotency_window=2 * SECOND), SMALL)
    )
    answer_others(d)
    d.router.overdue.late_share = 0.0  # what stays away here gets lost
    ident = d.request(object_id=1, size=10.0)
    out_at_once = 0
    for _ in range(40):
        answer_others(d, 4)
        d.advance(50 * MS)
        entry = d.router.requests.get(ident)
        out_at_once = max(out_at_once, len(entry.attempts) if entry else 0)
    assert out_at_once == 1 if most == 1 else out_at_once >= most


def test_an_attempt_is_abandoned_before_its_retry_starts() -> None:
    """A host that vanished: its connection closes before the next one opens, never after it."""
    core = ReducerHarness(stores=2)
    first = next(e for e in core.request(1) if isinstance(e, effects.OpenConnection))
    core.dispatch(events.ConnectionOpened(core.now, first.connection))
    core.now += SECOND
    opened = core.request(2)  # another connection to the same store, which never comes up
    while True:
        link = next((e for e in opened if isinstance(e, effects.OpenConnection)), None)
        assert link is not None
        connections = core.state.connections
        same_endpoint = connections[link.connection].endpoint == connections[first.connection].endpoint
        if link.address == first.address and same_endpoint:
            break
        core.dispatch(events.ConnectionOpened(core.now, link.connection))
        awaiting = len(core.state.awaiting_response)
        opened = core.request(awaiting + 1, object_id=awaiting + 7)
    done = core.advance(core.state.settings.connect_timeout + MS)
    kinds = [
        (type(e), getattr(e, "connection", 0))
        for e in done
        if isinstance(e, effects.CloseConnection | effects.OpenConnection | effects.SendRequest)
    ]
    closed = kinds.index((effects.CloseConnection, first.connection))
    assert any(kind is not effects.CloseConnection for kind, _ in kinds[closed:])


@pytest.mark.parametrize(
    "joins, fresh, flags",
    [(False, 0, FetchFlags.NONE), (True, 0, FetchFlags.JOIN), (False, 8 * SECOND, FetchFlags.REVALIDATE)],
)
def test_fills_are_joined_and_copies_revalidated_only_where_settings_allow_it(
    joins: bool, fresh: int, flags: FetchFlags
) -> None:
    d = Driver(joins_fills=joins, classes=(replace(CLIP, fresh_for=fresh), SMALL))
    assert {d.first_attempt(object_id=obj).flags for obj in range(1, 20)} == {flags}


@pytest.mark.parametrize("direct", [False, True])
def test_a_source_answers_itself_only_where_that_is_allowed_and_no_cache_is_left(direct: bool) -> None:
    d = Driver(direct_to_source=direct)
    caches = {c.id for c in CACHES}
    assert all(d.first_attempt(object_id=obj).endpoint in caches for obj in range(1, 20))
    lost = Driver(fleet=[*HUB_PARENTS, ORIGIN], direct_to_source=direct)
    ident = lost.request(object_id=1)
    assert (ident in lost.attempts) == direct
    if direct:
        assert lost.attempts[ident][0].endpoint in {p.id for p in HUB_PARENTS}
        assert lost.attempts[ident][0].source == lost.attempts[ident][0].endpoint


def test_an_origin_that_rejects_gets_retries_within_the_budget_and_clients_are_answered_at_once() -> None:
    """With no parent left all fills go to the origin; its rejections must not multiply its load."""
    d = Driver(fleet=[*CACHES, ORIGIN], fill_detail=FillDetail.NONE)
    answer_others(d, 40)
    asked, refused = [], 0
    for obj in range(100, 700):
        ident = d.request(object_id=obj, size=10.0)
        for _ in range(8):
            entry = d.router.requests.get(ident)
            if entry is None or not entry.attempts:
                break
            get = d.attempts[ident][-1]
            asked.append(obj) if get.source != get.endpoint else None
            told = d.end_attempt(
                ident, AttemptStatus.FULL if get.source != get.endpoint else AttemptStatus.MISS, 2 * MS
            )
            refused += any(isinstance(a, Reject) and a.request_id == ident for a in told)
        d.advance(5 * MS)
    assert len(asked) <= 600 * (1 + RETRY_SHARE) + RETRY_BURST and refused > 400


def test_without_load_reports_joins_or_hedging_the_gateway_serves_with_plain_requests(tmp_path: Path) -> None:
    def lean(settings: dict[str, Any]) -> None:
        settings["feedback"] = {"names": [], "source": "off"}
        settings["bounds"] |= {"second_copies": False}
        settings["specifics"] |= {"joins": False, "may_pass_by": True, "fresh_for_ns": [0, 0, 0, 0]}
        settings["specifics"] |= {"purge_grace_ns": 10**9}

    platform = Platform(tmp_path, change_settings=lean).start()
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


NEEDED = {
    "bounds": ("second_copies", "cancelling", "max_attempts", "dial_timeout_ns"),
    "specifics": ("may_pass_by", "joins", "purge_grace_ns", "home_hub", "instances_by_zone", "class_write"),
    "feedback": ("source", "names"),
    "rules": ("cold_share", "drain_grace_ns", "fall_multiple"),
}


@pytest.mark.parametrize("part, name", [(part, name) for part, names in NEEDED.items() for name in names])
def test_a_setting_that_is_missing_is_named_and_gets_no_other_deployment_s_value(
    part: str, name: str
) -> None:
    settings = platform_settings()
    del settings[part][name]
    with pytest.raises(SettingsError, match=name):
        settings_from_json(json.dumps(settings).encode())
