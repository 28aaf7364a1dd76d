"""The five rules of the design, each through the router's interface."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Any

import pytest

from hallproxy import Router
from hallproxy.interface import (
    Action,
    AttemptEnded,
    AttemptStatus,
    CancelAttempt,
    ClientDisconnected,
    EndpointListKind,
    EndpointsChanged,
    EndpointState,
    Fail,
    FetchFlags,
    Idempotency,
    ObjectPurged,
    PollEndpointList,
    Reject,
    Scope,
    SettingsError,
    StartAttempt,
    TimerFired,
)
from tests.support.fleet import (
    CACHES,
    CLIP,
    FAR_CACHE,
    FLEET,
    HUB_PARENTS,
    MS,
    ORIGIN,
    OTHER_HUB_PARENTS,
    SECOND,
    SETTINGS,
    SMALL,
    START,
    Driver,
)


def finals(actions: list[Action]) -> list[Reject | Fail]:
    return [a for a in actions if isinstance(a, Reject | Fail)]


def test_an_empty_list_answers_each_request_in_time_and_recovers() -> None:
    d = Driver(fleet=())
    d.request(time_left=2 * SECOND)
    assert not d.attempts
    answers = finals(d.advance(2 * SECOND))
    assert [a.request_id for a in answers] == [1]
    d.handle(EndpointsChanged(EndpointListKind.FULL, tuple(FLEET)))
    assert d.attempts[d.request()]


def test_a_request_whose_attempt_never_ends_is_answered_before_the_deadline_and_cancelled() -> None:
    d = Driver()
    ident = d.request(time_left=2 * SECOND)
    actions = d.advance(2 * SECOND)
    assert [a.request_id for a in finals(actions)] == [ident]
    assert [a for a in actions if isinstance(a, CancelAttempt)] == [CancelAttempt(ident, 0)]
    assert finals(d.end_attempt(ident, AttemptStatus.CANCELLED)) == []


def test_nothing_is_started_after_the_client_disconnected() -> None:
    d = Driver()
    ident = d.request()
    d.handle(ClientDisconnected(ident))
    assert not [
        a for a in d.end_attempt(ident, AttemptStatus.ERROR) if isinstance(a, StartAttempt | Reject | Fail)
    ]


def test_unknown_and_finished_things_are_ignored() -> None:
    d = Driver()
    ident = d.request()
    d.end_attempt(ident)
    for event in (
        AttemptEnded(ident, 0, CACHES[0].id, AttemptStatus.ERROR, MS),
        AttemptEnded(999, 3, b"nobody", AttemptStatus.OK, MS),
        ClientDisconnected(999),
        TimerFired(77),
        ObjectPurged(0, 31, MS),
    ):
        assert not [a for a in d.handle(event) if isinstance(a, StartAttempt | Reject | Fail)]


@pytest.mark.parametrize(
    "status", [AttemptStatus.ERROR, AttemptStatus.RESET, AttemptStatus.TIMEOUT, AttemptStatus.CANCELLED]
)
def test_a_request_that_is_not_idempotent_and_may_have_run_is_neither_retried_nor_rejected(
    status: AttemptStatus,
) -> None:
    d = Driver(classes=(replace(CLIP, idempotency=Idempotency.NOT_IDEMPOTENT), SMALL))
    ident = d.request()
    assert finals(d.end_attempt(ident, status)) == [Fail(ident)]
    assert len(d.attempts[ident]) == 1


@pytest.mark.parametrize("status", [AttemptStatus.FULL, AttemptStatus.CONNECT_FAILED, AttemptStatus.MISS])
def test_a_request_that_is_not_idempotent_and_never_ran_is_retried(status: AttemptStatus) -> None:
    d = Driver(classes=(replace(CLIP, idempotency=Idempotency.NOT_IDEMPOTENT), SMALL))
    ident = d.request()
    d.end_attempt(ident, status)
    assert len(d.attempts[ident]) == 2


def test_a_request_with_an_idempotency_key_stays_in_its_scope_and_window() -> None:
    cells = [replace(c, cell=n // 2) for n, c in enumerate(CACHES)]
    keyed = replace(
        CLIP, idempotency=Idempotency.IDEMPOTENCY_KEY, idempotency_scope=Scope.CELL, idempotency_window=SECOND
    )
    d = Driver(fleet=[*cells, *HUB_PARENTS, ORIGIN], classes=(keyed, SMALL))
    cell_of = {c.id: c.cell for c in cells}
    for obj in range(1, 16):
        ident = d.request(object_id=obj)
        d.now += 10 * MS
        d.end_attempt(ident, AttemptStatus.RESET)
        again = d.attempts[ident]
        assert len({cell_of[g.endpoint] for g in again}) == 1 and len(again) == 2
        d.now += 2 * SECOND
        assert finals(d.end_attempt(ident, AttemptStatus.ERROR)) == [Fail(ident)]
        assert len(d.attempts[ident]) == 2


def test_rejecting_a_request_with_a_key_that_may_have_run_needs_the_scope_of_all() -> None:
    keyed = replace(
        CLIP, idempotency=Idempotency.IDEMPOTENCY_KEY, idempotency_scope=Scope.ALL, idempotency_window=20 * MS
    )
    d = Driver(classes=(keyed, SMALL))
    ident = d.request()
    d.now += SECOND
    assert [type(a) for a in finals(d.end_attempt(ident, AttemptStatus.ERROR))] == [Reject]


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.GONE])
def test_a_draining_or_gone_endpoint_is_chosen_neither_as_cache_nor_as_source(state: EndpointState) -> None:
    d = Driver()
    out = [CACHES[1], HUB_PARENTS[0]]
    d.handle(EndpointsChanged(EndpointListKind.DELTA, tuple(replace(m, state=state) for m in out)))
    for obj in range(1, 60):
        ident = d.request(object_id=obj)
        d.end_attempt(ident)
    named = {g.endpoint for gets in d.attempts.values() for g in gets} | {
        g.source for gets in d.attempts.values() for g in gets
    }
    assert named.isdisjoint(m.id for m in out) and len(named) > 3


def test_an_endpoint_missing_from_a_full_list_is_gone() -> None:
    d = Driver()
    d.handle(EndpointsChanged(EndpointListKind.FULL, (CACHES[0], ORIGIN)))
    for obj in range(1, 30):
        get = d.first_attempt(object_id=obj)
        assert (get.endpoint, get.source) == (CACHES[0].id, ORIGIN.id)


@pytest.mark.parametrize("gateways", [1, 20, 200])
@pytest.mark.parametrize("what", ["cache", "parent"])
def test_a_warming_endpoint_gets_load_within_its_budget_from_all_gateways_together(
    gateways: int, what: str
) -> None:
    """The load is far above the budget; what all gateways send in any second stays inside it."""
    cold = replace(CACHES[0] if what == "cache" else HUB_PARENTS[0], started_at=START)
    fleet = [cold, *HUB_PARENTS, ORIGIN] if what == "cache" else [*CACHES, cold, ORIGIN]
    fleet_settings: dict[str, Any] = {
        "weights_known": True,
        "gateways_by_zone": (0, 0, gateways, 0),
        "gateway_count": gateways,
    }
    drivers = [Driver(fleet=fleet, seed=n, gateway_index=n, **fleet_settings) for n in range(gateways)]
    least, time, multiple = (0.2, 15, 3.0) if what == "cache" else (0.06, 22, 2.0)
    sent: list[int] = []  # when, in ticks of 100 ms; each is 0.4 s of sending
    rate = 20 if what == "cache" else 40  # requests a tick, of all
    for tick in range(80):
        for n in range(rate):
            d = drivers[(tick * rate + n) % gateways]
            d.now = START + tick * 100 * MS
            ident = d.request(object_id=tick * rate + n + 1, time_left=600 * MS)
            if ident in d.attempts:
                get = d.attempts[ident][0]
                sent += [tick] * (cold.id in (get.endpoint, get.source))
                d.end_attempt(ident)
    for start in range(80):
        work = 0.4 * sum(start <= tick < start + 10 for tick in sent)
        assert work <= multiple * (least + (1 - least) * start / 10 / time) * cold.weight * 1.05
    budget = sum(multiple * (least + (1 - least) * t / time) for t in range(8)) * cold.weight
    assert 0.4 * len(sent) > 0.2 * budget


@pytest.mark.parametrize("weight", [2.0, 4.0, 12.0])
@pytest.mark.parametrize("pattern", ["flood", "quiet, then all at once", "thin"])
@pytest.mark.parametrize("what", ["cache", "parent", "parent of two hubs"])
def test_thirty_gateways_stay_within_a_warming_endpoint_s_budget_but_for_chance(
    what: str, pattern: str, weight: float
) -> None:
    """N attempts a window by the settings, and 2 x root of N + 2 over it. Each gateway knows only its own."""
    gateways, far, draw = 30, 15 if what == "parent of two hubs" else 0, random.Random(3)
    cold = replace(CACHES[0] if what == "cache" else HUB_PARENTS[0], started_at=START, weight=weight)
    others = [CACHES[1], *HUB_PARENTS] if what == "cache" else [*CACHES]
    if far:
        others += [FAR_CACHE, replace(OTHER_HUB_PARENTS[0], weight=1.0)]
    fleet_settings: dict[str, Any] = {"weights_known": True, "gateways_by_zone": (0, 0, gateways - far, far)}
    drivers = [
        Driver(
            [cold, *others, ORIGIN],
            n,
            gateway_index=n,
            gateway_count=gateways,
            zone=2 if n >= far else 3,
            **fleet_settings,
        )
        for n in range(gateways)
    ]
    least, time, multiple = (0.2, 15, 3.0) if what == "cache" else (0.06, 22, 2.0)
    sent: list[int] = []  # when, in ticks of 100 ms; each is 0.4 s of sending
    for tick in range(100):
        burst = {"flood": True, "thin": tick % 20 == 0}.get(pattern, tick in (40, 41, 42, 70, 71))
        for n in range((40 if pattern == "flood" else 180) if burst else 6 if pattern == "thin" else 0):
            d = drivers[draw.randrange(gateways)]
            d.now = max(d.now, START + tick * 100 * MS)
            ident = d.request(object_id=1_000 * tick + n, time_left=3000 * MS)
            if ident in d.attempts:
                get = d.attempts[ident][0]
                sent += [tick] * (cold.id in (get.endpoint, get.source))
                d.end_attempt(ident)
    assert sent
    for start in range(100):
        budget = multiple * (least + (1 - least) * start / 10 / time) * weight / 0.4
        assert sum(start <= tick < start + 10 for tick in sent) <= budget + 2 * budget**0.5 + 2


def test_what_a_warming_parent_may_not_take_goes_to_the_next_hub() -> None:
    cold = [replace(p, started_at=START) for p in HUB_PARENTS]
    d = Driver(fleet=[*CACHES, *cold, *OTHER_HUB_PARENTS, ORIGIN], weights_known=True, gateway_count=50)
    assert OTHER_HUB_PARENTS[0].id in {d.first_attempt(object_id=obj).source for obj in range(1, 60)}
    d.advance(22 * SECOND)
    assert {d.first_attempt(object_id=obj).source for obj in range(1, 60)} == {p.id for p in HUB_PARENTS}


def test_after_a_purge_every_attempt_carries_the_time_since_it_and_joins_nothing() -> None:
    d = Driver()
    d.handle(ObjectPurged(5, 0, 100 * MS))
    d.now += 300 * MS
    ident = d.request(object_id=5, part=3)
    first = d.attempts[ident][0]
    assert 0 < first.max_age <= 400 * MS and not first.flags & FetchFlags.JOIN
    d.now += 500 * MS
    d.end_attempt(ident, AttemptStatus.ERROR)
    second = d.attempts[ident][1]
    assert first.max_age < second.max_age <= 900 * MS and not second.flags & FetchFlags.JOIN
    assert d.attempts[d.request(object_id=6)][0].max_age == 0
    d.now += 10 * SECOND
    assert d.attempts[d.request(object_id=5)][0].max_age == 0


def test_a_group_purge_covers_its_objects_and_a_fresh_time_bounds_the_age() -> None:
    d = Driver()
    d.handle(ObjectPurged(0, 9, 30 * SECOND))
    d.now += 10 * MS
    get = d.attempts[d.request(object_id=5, class_index=1, group=9, time_left=2 * SECOND)][0]
    assert get.max_age == SMALL.fresh_for and not get.flags & (FetchFlags.JOIN | FetchFlags.REVALIDATE)


def test_a_full_purge_table_limits_the_age_of_everything() -> None:
    d = Driver()
    d.handle(*(ObjectPurged(n, 0, 0) for n in range(1, 6000)))
    d.now += 50 * MS
    for obj in (1, 5999, 70_000):
        assert 0 < d.attempts[d.request(object_id=obj)][0].max_age <= 50 * MS


def test_without_hedging_no_second_attempt_is_in_flight() -> None:
    d = Driver()
    ident = d.request()
    d.advance(4 * SECOND)
    assert len(d.attempts[ident]) == 1


def test_a_failed_poll_is_repeated() -> None:
    d = Driver(polls_endpoint_list=True)
    d.handle(TimerFired(0))
    again = d.handle(EndpointsChanged(EndpointListKind.FAILED))
    assert not [a for a in again if isinstance(a, PollEndpointList)]
    assert [a for a in d.advance(5 * SECOND) if isinstance(a, PollEndpointList)] == [PollEndpointList()]


@pytest.mark.parametrize(
    ("name", "value"),
    [("classes", ()), ("zone", 9), ("overload_window", 0), ("max_attempts", 0), ("slow_start_share", 0.0)],
)
def test_a_setting_out_of_range_is_named(name: str, value: object) -> None:
    with pytest.raises(SettingsError, match=name):
        Router(replace(SETTINGS, **{name: value}), 1)  # type: ignore[arg-type]
