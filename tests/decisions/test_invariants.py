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

NEVER_RAN = {AttemptStatus.FULL, AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_SENT, AttemptStatus.MISS}
STEPS = st.one_of(
    st.tuples(st.just("ask"), st.integers(1, 6), st.integers(0, 2)),
    st.tuples(st.just("end"), st.integers(0, 30), st.sampled_from(list(AttemptStatus))),
    st.tuples(st.just("late"), st.integers(0, 30), st.sampled_from(list(AttemptStatus))),
    st.tuples(st.just("wait"), st.integers(1, 3000), st.just(0)),
    st.tuples(st.just("state"), st.integers(0, len(FLEET) - 1), st.sampled_from(list(EndpointState))),
    st.tuples(st.just("purge"), st.integers(0, 6), st.integers(0, 400)),
    st.tuples(st.just("gone"), st.integers(0, 30), st.just(0)),
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
    live: dict[int, tuple[int, int]] = {}  # request -> (deadline, class)
    objects: dict[int, int] = {}
    out: dict[int, list[int]] = {}
    ran: dict[int, bool] = {}
    answered: set[int] = set()
    left_early: set[int] = set()

    def look(actions: list[object]) -> None:
        for a in actions:
            if isinstance(a, StartAttempt):
                assert a.request_id in live and a.request_id not in answered | left_early
                assert state[a.endpoint] is EndpointState.READY and state[a.source] is EndpointState.READY
                assert not out[a.request_id], "two attempts out at once"
                if live[a.request_id][1] == 1:
                    assert not ran[a.request_id], "an unsafe request was sent again"
                made = purged.get(objects[a.request_id])
                if made is not None and d.now - made < 6 * SECOND:
                    assert 0 < a.max_age <= max(1, d.now - made) and not a.flags & FetchFlags.JOIN
                assert a.timeout <= live[a.request_id][0] - d.now
                out[a.request_id].append(len(d.attempts[a.request_id]) - 1)
            elif isinstance(a, Reject | Fail):
                assert a.request_id in live and a.request_id not in answered | left_early
                assert d.now <= live[a.request_id][0]
                if isinstance(a, Reject) and live[a.request_id][1] > 0:
                    assert not ran[a.request_id] and not out[a.request_id]
                answered.add(a.request_id)

    def tell(*events: object) -> None:
        look(list(d.handle(*events)))  # type: ignore[arg-type]

    for step, number, extra in steps:
        if step == "ask":
            assert isinstance(extra, int)
            ident = d.next_id
            live[ident] = (d.now + 2 * SECOND, extra)
            objects[ident], out[ident], ran[ident] = number, [], False
            d.next_id += 1
            from hallproxy.interface import Request

            tell(Request(ident, extra, 2 * SECOND, object=number, size_kb=200.0, group=3))
        elif step in ("end", "late"):
            assert isinstance(extra, AttemptStatus)
            having = [i for i, o in sorted(out.items()) if o]
            if not having:
                continue
            ident = having[number % len(having)]
            attempt = out[ident].pop()
            ran[ident] = ran[ident] or extra not in NEVER_RAN
            over = ident in answered | left_early
            closed = over or extra is AttemptStatus.OK
            if extra is AttemptStatus.OK and not over:
                answered.add(ident)
            get = d.attempts[ident][attempt]
            event = AttemptEnded(ident, attempt, get.endpoint, extra, 5 * MS, closed)
            tell(event)
            tell(event)  # a repeat of it is ignored
        elif step == "wait":
            until = d.now + number * MS
            while due := [t for t in d.timers if t.at <= until]:
                first = min(due, key=lambda t: t.at)
                d.timers.remove(first)
                d.now = max(d.now, first.at)
                tell(TimerFired(first.token))
            d.now = until
        elif step == "state":
            assert isinstance(extra, EndpointState)
            member = replace(FLEET[number], state=extra)
            state[member.id] = extra
            tell(EndpointsChanged(EndpointListKind.DELTA, (member,)))
        elif step == "purge":
            assert isinstance(extra, int)
            for obj in range(1, 7):
                if number in (0, obj):
                    purged[obj] = max(purged.get(obj, 0), d.now - extra * MS)
            tell(ObjectPurged(number, 3, extra * MS))
        else:
            open_now = [i for i in sorted(live) if i not in answered | left_early]
            if open_now:
                ident = open_now[number % len(open_now)]
                left_early.add(ident)
                tell(ClientDisconnected(ident))
    until = d.now + 3 * SECOND
    while due := [t for t in d.timers if t.at <= until]:
        first = min(due, key=lambda t: t.at)
        d.timers.remove(first)
        d.now = max(d.now, first.at)
        tell(TimerFired(first.token))
    assert set(live) <= answered | left_early


@settings(max_examples=50, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.integers(0, 2000), st.floats(1.0, 5000.0)), max_size=150))
def test_a_warming_cache_never_gets_more_than_its_budget(asks: list[tuple[int, float]]) -> None:
    d = Driver(
        fleet=[replace(CACHES[0], started_at=1_000 * SECOND), *HUB_PARENTS, ORIGIN], weights_known=True
    )
    sent: list[tuple[int, float]] = []
    for gap, size in asks:
        d.now += gap * MS // 10
        ident = d.request(object_id=gap, size=size)
        work = d.router.latency.class_sending_times[0]
        if ident in d.attempts:
            sent.append((d.now, work))
            d.end_attempt(ident)
        share = min(1.0, 0.2 + 0.8 * (d.now - 1_000 * SECOND) / (15 * SECOND))
        assert sum(w for t, w in sent if t > d.now - SECOND) <= 3.0 * share * 10.0
