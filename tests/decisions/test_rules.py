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


def final_answers(actions: list[Action]) -> list[Reject | Fail]:
    return [a for a in actions if isinstance(a, Reject | Fail)]


def test_an_empty_list_answers_each_request_in_time_and_recovers() -> None:
    d = Driver(fleet=())
    d.request(time_left=2 * SECOND)
    assert not d.attempts
    answers = final_answers(d.advance(2 * SECOND))
    assert [a.request_id for a in answers] == [1]
    d.handle(EndpointsChanged(EndpointListKind.FULL, tuple(FLEET)))
    assert d.attempts[d.request()]


def test_a_request_whose_attempt_never_ends_is_answered_before_the_deadline_and_cancelled() -> None:
    d = Driver()
    request_id = d.request(time_left=2 * SECOND)
    actions = d.advance(2 * SECOND)
    assert [a.request_id for a in final_answers(actions)] == [request_id]
    assert [a for a in actions if isinstance(a, CancelAttempt)] == [CancelAttempt(request_id, 0)]
    assert final_answers(d.end_attempt(request_id, AttemptStatus.CANCELLED)) == []


def test_nothing_is_started_after_the_client_disconnected() -> None:
    d = Driver()
    request_id = d.request()
    d.handle(ClientDisconnected(request_id))
    assert not [
        a
        for a in d.end_attempt(request_id, AttemptStatus.ERROR)
        if isinstance(a, StartAttempt | Reject | Fail)
    ]


def test_unknown_and_finished_things_are_ignored() -> None:
    d = Driver()
    request_id = d.request()
    d.end_attempt(request_id)
    for event in (
        AttemptEnded(request_id, 0, CACHES[0].id, AttemptStatus.ERROR, MS),
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
    request_id = d.request()
    assert final_answers(d.end_attempt(request_id, status)) == [Fail(request_id)]
    assert len(d.attempts[request_id]) == 1


@pytest.mark.parametrize("status", [AttemptStatus.FULL, AttemptStatus.CONNECT_FAILED, AttemptStatus.MISS])
def test_a_request_that_is_not_idempotent_and_never_ran_is_retried(status: AttemptStatus) -> None:
    d = Driver(classes=(replace(CLIP, idempotency=Idempotency.NOT_IDEMPOTENT), SMALL))
    request_id = d.request()
    d.end_attempt(request_id, status)
    assert len(d.attempts[request_id]) == 2


def test_a_request_with_an_idempotency_key_stays_in_its_scope_and_window() -> None:
    cells = [replace(c, cell=n // 2) for n, c in enumerate(CACHES)]
    keyed = replace(
        CLIP, idempotency=Idempotency.IDEMPOTENCY_KEY, idempotency_scope=Scope.CELL, idempotency_window=SECOND
    )
    d = Driver(fleet=[*cells, *HUB_PARENTS, ORIGIN], classes=(keyed, SMALL))
    cell_of = {c.id: c.cell for c in cells}
    for object_id in range(1, 16):
        request_id = d.request(object_id=object_id)
        d.now += 10 * MS
        d.end_attempt(request_id, AttemptStatus.RESET)
        attempts = d.attempts[request_id]
        assert len({cell_of[g.endpoint] for g in attempts}) == 1 and len(attempts) == 2
        d.now += 2 * SECOND
        assert final_answers(d.end_attempt(request_id, AttemptStatus.ERROR)) == [Fail(request_id)]
        assert len(d.attempts[request_id]) == 2


def test_rejecting_a_request_with_a_key_that_may_have_run_needs_the_scope_of_all() -> None:
    keyed = replace(
        CLIP, idempotency=Idempotency.IDEMPOTENCY_KEY, idempotency_scope=Scope.ALL, idempotency_window=20 * MS
    )
    d = Driver(classes=(keyed, SMALL))
    request_id = d.request()
    d.now += SECOND
    assert [type(a) for a in final_answers(d.end_attempt(request_id, AttemptStatus.ERROR))] == [Reject]


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.GONE])
def test_a_draining_or_gone_endpoint_is_chosen_neither_as_cache_nor_as_source(state: EndpointState) -> None:
    d = Driver()
    unavailable = [CACHES[1], HUB_PARENTS[0]]
    d.handle(EndpointsChanged(EndpointListKind.DELTA, tuple(replace(m, state=state) for m in unavailable)))
    for object_id in range(1, 60):
        request_id = d.request(object_id=object_id)
        d.end_attempt(request_id)
    used = {g.endpoint for attempts in d.attempts.values() for g in attempts} | {
        g.source for attempts in d.attempts.values() for g in attempts
    }
    assert used.isdisjoint(m.id for m in unavailable) and len(used) > 3


def test_an_endpoint_missing_from_a_full_list_is_gone() -> None:
    d = Driver()
    d.handle(EndpointsChanged(EndpointListKind.FULL, (CACHES[0], ORIGIN)))
    for object_id in range(1, 30):
        started = d.first_attempt(object_id=object_id)
        assert (started.endpoint, started.source) == (CACHES[0].id, ORIGIN.id)


@pytest.mark.parametrize("gateways", [1, 20, 200])
@pytest.mark.parametrize("role", ["cache", "parent"])
def test_a_warming_endpoint_gets_load_within_its_budget_from_all_gateways_together(
    gateways: int, role: str
) -> None:
    """The load is far above the budget; what all gateways send in any second stays within it."""
    warming = replace(CACHES[0] if role == "cache" else HUB_PARENTS[0], started_at=START)
    fleet = [warming, *HUB_PARENTS, ORIGIN] if role == "cache" else [*CACHES, warming, ORIGIN]
    fleet_settings: dict[str, Any] = {
        "weights_known": True,
        "gateways_by_zone": (0, 0, gateways, 0),
        "gateway_count": gateways,
    }
    drivers = [Driver(fleet=fleet, seed=n, gateway_index=n, **fleet_settings) for n in range(gateways)]
    initial_share, duration_s, multiple = (0.2, 15, 3.0) if role == "cache" else (0.06, 22, 2.0)
    sent: list[int] = []  # ticks of 100 ms in which an attempt started; each takes 0.4 s to send
    rate = 20 if role == "cache" else 40  # requests per tick, over all gateways
    for tick in range(80):
        for n in range(rate):
            d = drivers[(tick * rate + n) % gateways]
            d.now = START + tick * 100 * MS
            request_id = d.request(object_id=tick * rate + n + 1, time_left=600 * MS)
            if request_id in d.attempts:
                started = d.attempts[request_id][0]
                sent += [tick] * (warming.id in (started.endpoint, started.source))
                d.end_attempt(request_id)
    for start in range(80):
        work = 0.4 * sum(start <= tick < start + 10 for tick in sent)
        assert (
            work
            <= multiple
            * (initial_share + (1 - initial_share) * start / 10 / duration_s)
            * warming.weight
            * 1.05
        )
    budget = (
        sum(multiple * (initial_share + (1 - initial_share) * t / duration_s) for t in range(8))
        * warming.weight
    )
    assert 0.4 * len(sent) > 0.2 * budget


@pytest.mark.parametrize("weight", [2.0, 4.0, 12.0])
@pytest.mark.parametrize("pattern", ["flood", "quiet, then all at once", "thin"])
@pytest.mark.parametrize("role", ["cache", "parent", "parent of two hubs"])
def test_thirty_gateways_stay_within_a_warming_endpoint_s_budget_but_for_chance(
    role: str, pattern: str, weight: float
) -> None:
    """The bound is the budget of N attempts per window plus 2 * sqrt(N) + 2; gateways know only their own."""
    gateways, far, rng = 30, 15 if role == "parent of two hubs" else 0, random.Random(3)
    warming = replace(CACHES[0] if role == "cache" else HUB_PARENTS[0], started_at=START, weight=weight)
    others = [CACHES[1], *HUB_PARENTS] if role == "cache" else [*CACHES]
    if far:
        others += [FAR_CACHE, replace(OTHER_HUB_PARENTS[0], weight=1.0)]
    fleet_settings: dict[str, Any] = {"weights_known": True, "gateways_by_zone": (0, 0, gateways - far, far)}
    drivers = [
        Driver(
            [warming, *others, ORIGIN],
            n,
            gateway_index=n,
            gateway_count=gateways,
            zone=2 if n >= far else 3,
            **fleet_settings,
        )
        for n in range(gateways)
    ]
    initial_share, duration_s, multiple = (0.2, 15, 3.0) if role == "cache" else (0.06, 22, 2.0)
    sent: list[int] = []  # ticks of 100 ms in which an attempt started; each takes 0.4 s to send
    for tick in range(100):
        burst = {"flood": True, "thin": tick % 20 == 0}.get(pattern, tick in (40, 41, 42, 70, 71))
        for n in range((40 if pattern == "flood" else 180) if burst else 6 if pattern == "thin" else 0):
            d = drivers[rng.randrange(gateways)]
            d.now = max(d.now, START + tick * 100 * MS)
            request_id = d.request(object_id=1_000 * tick + n, time_left=3000 * MS)
            if request_id in d.attempts:
                started = d.attempts[request_id][0]
                sent += [tick] * (warming.id in (started.endpoint, started.source))
                d.end_attempt(request_id)
    assert sent
    for start in range(100):
        budget = multiple * (initial_share + (1 - initial_share) * start / 10 / duration_s) * weight / 0.4
        assert sum(start <= tick < start + 10 for tick in sent) <= budget + 2 * budget**0.5 + 2


def test_what_a_warming_parent_may_not_take_goes_to_the_next_hub() -> None:
    warming = [replace(p, started_at=START) for p in HUB_PARENTS]
    d = Driver(fleet=[*CACHES, *warming, *OTHER_HUB_PARENTS, ORIGIN], weights_known=True, gateway_count=50)
    assert OTHER_HUB_PARENTS[0].id in {
        d.first_attempt(object_id=object_id).source for object_id in range(1, 60)
    }
    d.advance(22 * SECOND)
    assert {d.first_attempt(object_id=object_id).source for object_id in range(1, 60)} == {
        p.id for p in HUB_PARENTS
    }


def test_after_a_purge_every_attempt_carries_the_time_since_it_and_joins_nothing() -> None:
    d = Driver()
    d.handle(ObjectPurged(5, 0, 100 * MS))
    d.now += 300 * MS
    request_id = d.request(object_id=5, part=3)
    first = d.attempts[request_id][0]
    assert 0 < first.max_age <= 400 * MS and not first.flags & FetchFlags.JOIN
    d.now += 500 * MS
    d.end_attempt(request_id, AttemptStatus.ERROR)
    second = d.attempts[request_id][1]
    assert first.max_age < second.max_age <= 900 * MS and not second.flags & FetchFlags.JOIN
    assert d.attempts[d.request(object_id=6)][0].max_age == 0
    d.now += 10 * SECOND
    assert d.attempts[d.request(object_id=5)][0].max_age == 0


def test_a_group_purge_covers_its_objects_and_a_fresh_time_bounds_the_age() -> None:
    d = Driver()
    d.handle(ObjectPurged(0, 9, 30 * SECOND))
    d.now += 10 * MS
    started = d.attempts[d.request(object_id=5, class_index=1, group=9, time_left=2 * SECOND)][0]
    assert started.max_age == SMALL.fresh_for and not started.flags & (
        FetchFlags.JOIN | FetchFlags.REVALIDATE
    )


def test_a_full_purge_table_limits_the_age_of_everything() -> None:
    d = Driver()
    d.handle(*(ObjectPurged(n, 0, 0) for n in range(1, 6000)))
    d.now += 50 * MS
    for object_id in (1, 5999, 70_000):
        assert 0 < d.attempts[d.request(object_id=object_id)][0].max_age <= 50 * MS


def test_without_hedging_no_second_attempt_is_in_flight() -> None:
    d = Driver()
    request_id = d.request()
    d.advance(4 * SECOND)
    assert len(d.attempts[request_id]) == 1


def test_a_failed_poll_is_repeated() -> None:
    d = Driver(polls_endpoint_list=True)
    d.handle(TimerFired(0))
    actions = d.handle(EndpointsChanged(EndpointListKind.FAILED))
    assert not [a for a in actions if isinstance(a, PollEndpointList)]
    assert [a for a in d.advance(5 * SECOND) if isinstance(a, PollEndpointList)] == [PollEndpointList()]


@pytest.mark.parametrize(
    ("name", "value"),
    [("classes", ()), ("zone", 9), ("overload_window", 0), ("max_attempts", 0), ("slow_start_share", 0.0)],
)
def test_a_setting_out_of_range_is_named(name: str, value: object) -> None:
    with pytest.raises(SettingsError, match=name):
        Router(replace(SETTINGS, **{name: value}), 1)  # type: ignore[arg-type]
