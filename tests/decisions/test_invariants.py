"""The rules as invariants over random event sequences."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from hallproxy.interface import (
    AttemptEnded,
    AttemptStatus,
    ClientDisconnected,
    EndpointListKind,
    EndpointsChanged,
    EndpointState,
    Fail,
    FetchFlags,
    Idempotency,
    ObjectPurged,
    Reject,
    Scope,
    StartAttempt,
    TimerFired,
)
from tests.support.fleet import CACHES, CLIP, FLEET, HUB_PARENTS, MS, ORIGIN, SECOND, SMALL, Driver

NOT_EXECUTED = {AttemptStatus.FULL, AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_SENT, AttemptStatus.MISS}
STEPS = st.one_of(
    st.tuples(st.just("request"), st.integers(1, 6), st.integers(0, 2)),
    st.tuples(st.just("end"), st.integers(0, 30), st.sampled_from(list(AttemptStatus))),
    st.tuples(st.just("late"), st.integers(0, 30), st.sampled_from(list(AttemptStatus))),
    st.tuples(st.just("wait"), st.integers(1, 3000), st.just(0)),
    st.tuples(st.just("state"), st.integers(0, len(FLEET) - 1), st.sampled_from(list(EndpointState))),
    st.tuples(st.just("purge"), st.integers(0, 6), st.integers(0, 400)),
    st.tuples(st.just("disconnect"), st.integers(0, 30), st.just(0)),
)
CLASSES = (
    CLIP,
    replace(SMALL, idempotency=Idempotency.NOT_IDEMPOTENT),
    replace(
        CLIP, idempotency=Idempotency.IDEMPOTENCY_KEY, idempotency_scope=Scope.ZONE, idempotency_window=SECOND
    ),
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.lists(STEPS, max_size=60), st.booleans())
def test_rules_hold_over_random_events(steps: list[tuple[str, int, object]], direct: bool) -> None:
    d = Driver(classes=CLASSES, direct_to_source=direct)
    state = {m.id: m.state for m in FLEET}
    purged: dict[int, int] = {}
    accepted: dict[int, tuple[int, int]] = {}  # request -> (deadline, class)
    objects: dict[int, int] = {}
    in_flight: dict[int, list[int]] = {}
    may_have_run: dict[int, bool] = {}
    answered: set[int] = set()
    disconnected: set[int] = set()

    def check_actions(actions: list[object]) -> None:
        for a in actions:
            if isinstance(a, StartAttempt):
                assert a.request_id in accepted and a.request_id not in answered | disconnected
                assert state[a.endpoint] is EndpointState.READY and state[a.source] is EndpointState.READY
                assert not in_flight[a.request_id], "two attempts in flight at once"
                if accepted[a.request_id][1] == 1:
                    assert not may_have_run[a.request_id], "a request that is not idempotent was sent again"
                purged_at = purged.get(objects[a.request_id])
                if purged_at is not None and d.now - purged_at < 6 * SECOND:
                    assert 0 < a.max_age <= max(1, d.now - purged_at) and not a.flags & FetchFlags.JOIN
                assert a.timeout <= accepted[a.request_id][0] - d.now
                in_flight[a.request_id].append(len(d.attempts[a.request_id]) - 1)
            elif isinstance(a, Reject | Fail):
                assert a.request_id in accepted and a.request_id not in answered | disconnected
                assert d.now <= accepted[a.request_id][0]
                if isinstance(a, Reject) and accepted[a.request_id][1] > 0:
                    assert not may_have_run[a.request_id] and not in_flight[a.request_id]
                answered.add(a.request_id)

    def send(*events: object) -> None:
        check_actions(list(d.handle(*events)))  # type: ignore[arg-type]

    for step, number, extra in steps:
        if step == "request":
            assert isinstance(extra, int)
            request_id = d.next_id
            accepted[request_id] = (d.now + 2 * SECOND, extra)
            objects[request_id], in_flight[request_id], may_have_run[request_id] = number, [], False
            d.next_id += 1
            from hallproxy.interface import Request

            send(Request(request_id, extra, 2 * SECOND, object=number, size_kb=200.0, group=3))
        elif step in ("end", "late"):
            assert isinstance(extra, AttemptStatus)
            with_attempts = [i for i, o in sorted(in_flight.items()) if o]
            if not with_attempts:
                continue
            request_id = with_attempts[number % len(with_attempts)]
            attempt = in_flight[request_id].pop()
            may_have_run[request_id] = may_have_run[request_id] or extra not in NOT_EXECUTED
            needs_no_answer = request_id in answered | disconnected
            closed = needs_no_answer or extra is AttemptStatus.OK
            if extra is AttemptStatus.OK and not needs_no_answer:
                answered.add(request_id)
            started = d.attempts[request_id][attempt]
            event = AttemptEnded(request_id, attempt, started.endpoint, extra, 5 * MS, closed)
            send(event)
            send(event)  # a repeated end is ignored
        elif step == "wait":
            until = d.now + number * MS
            while due := [t for t in d.timers if t.at <= until]:
                first = min(due, key=lambda t: t.at)
                d.timers.remove(first)
                d.now = max(d.now, first.at)
                send(TimerFired(first.token))
            d.now = until
        elif step == "state":
            assert isinstance(extra, EndpointState)
            member = replace(FLEET[number], state=extra)
            state[member.id] = extra
            send(EndpointsChanged(EndpointListKind.DELTA, (member,)))
        elif step == "purge":
            assert isinstance(extra, int)
            for object_id in range(1, 7):
                if number in (0, object_id):
                    purged[object_id] = max(purged.get(object_id, 0), d.now - extra * MS)
            send(ObjectPurged(number, 3, extra * MS))
        else:
            unanswered = [i for i in sorted(accepted) if i not in answered | disconnected]
            if unanswered:
                request_id = unanswered[number % len(unanswered)]
                disconnected.add(request_id)
                send(ClientDisconnected(request_id))
    until = d.now + 3 * SECOND
    while due := [t for t in d.timers if t.at <= until]:
        first = min(due, key=lambda t: t.at)
        d.timers.remove(first)
        d.now = max(d.now, first.at)
        send(TimerFired(first.token))
    assert set(accepted) <= answered | disconnected


@settings(max_examples=50, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.integers(0, 2000), st.floats(1.0, 5000.0)), max_size=150))
def test_a_warming_cache_never_gets_more_than_its_budget(requests: list[tuple[int, float]]) -> None:
    d = Driver(
        fleet=[replace(CACHES[0], started_at=1_000 * SECOND), *HUB_PARENTS, ORIGIN], weights_known=True
    )
    sent: list[tuple[int, float]] = []
    for gap, size in requests:
        d.now += gap * MS // 10
        request_id = d.request(object_id=gap, size=size)
        sending_time = d.router.latency.class_sending_times[0]
        if request_id in d.attempts:
            sent.append((d.now, sending_time))
            d.end_attempt(request_id)
        share = min(1.0, 0.2 + 0.8 * (d.now - 1_000 * SECOND) / (15 * SECOND))
        assert sum(w for t, w in sent if t > d.now - SECOND) <= 3.0 * share * 10.0
