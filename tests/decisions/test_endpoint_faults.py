"""Faults of a whole fleet: waves of drains, a mass restart, inconsistent lists."""

from __future__ import annotations

from dataclasses import replace

from hallproxy.interface import (
    AttemptStatus,
    Endpoint,
    EndpointListKind,
    EndpointsChanged,
    EndpointState,
    Fail,
    Reject,
)
from tests.support.fleet import CACHES, FLEET, HUB_PARENTS, MS, ORIGIN, OTHER_HUB_PARENTS, SECOND, Driver


def test_draining_endpoints_get_nothing_new_and_warming_replacements_get_load() -> None:
    d = Driver(fleet=[*CACHES, *HUB_PARENTS, ORIGIN], weights_known=True)
    for wave in range(3):
        old = CACHES[wave]
        d.handle(EndpointsChanged(EndpointListKind.DELTA, (replace(old, state=EndpointState.DRAINING),)))
        new = replace(old, id=b"new%d" % wave, started_at=d.now)
        d.handle(EndpointsChanged(EndpointListKind.DELTA, (new,)))
        seen = set()
        for obj in range(100):
            d.now += 40 * MS
            seen.add(d.first_attempt(object_id=1000 * wave + obj).endpoint)
        assert old.id not in seen and new.id in seen
        d.handle(EndpointsChanged(EndpointListKind.DELTA, (replace(old, state=EndpointState.GONE),)))


def test_a_mass_restart_not_yet_listed_is_detected_from_outcomes_and_served_by_the_others() -> None:
    d = Driver()
    dead = {c.id for c in CACHES[:2]}
    late = []
    for obj in range(1, 200):
        ident = d.request(object_id=obj, time_left=2 * SECOND)
        d.now += 20 * MS
        while ident in d.attempts and d.attempts[ident][-1].endpoint in dead and len(d.attempts[ident]) < 3:
            if any(
                isinstance(a, Reject | Fail)
                for a in d.end_attempt(ident, AttemptStatus.CONNECT_FAILED, 400 * MS)
            ):
                break
        else:
            d.end_attempt(ident)
        late.append(d.attempts[ident][0].endpoint in dead)
    assert sum(late[100:]) <= 8
    d.handle(
        EndpointsChanged(EndpointListKind.DELTA, tuple(replace(c, started_at=d.now) for c in CACHES[:2]))
    )
    again = set()
    for obj in range(500, 900):
        d.now += 50 * MS
        again.add(d.first_attempt(object_id=obj).endpoint)
    assert dead <= again


def test_lists_of_any_order_and_content_are_accepted_and_each_request_is_answered() -> None:
    many = [
        Endpoint(b"m%03d" % n, EndpointState.READY, n % 3, n % 4, weight=float(n % 7)) for n in range(400)
    ]
    d = Driver(fleet=many, gateways_by_zone=(0, 0, 0, 0), gateway_count=0)
    odd = (
        replace(many[2], state=EndpointState.GONE),
        Endpoint(b"unknown", EndpointState.GONE),
        replace(many[6], zone=1),
        replace(many[10], kind=1),
        many[14],
        many[14],
        replace(many[18], zone=99, kind=1),
    )
    for changes in (odd, odd[::-1], tuple(replace(m, state=EndpointState.GONE) for m in many), tuple(many)):
        d.handle(EndpointsChanged(EndpointListKind.DELTA, changes))
        for obj in range(1, 20):
            ident = d.request(object_id=obj, time_left=2 * SECOND)
            if ident in d.attempts:
                d.end_attempt(ident)
            else:
                assert [
                    a for a in d.advance(2 * SECOND) if isinstance(a, Reject | Fail) and a.request_id == ident
                ]
    assert d.attempts[d.request(object_id=77)]
    d.handle(EndpointsChanged(EndpointListKind.FULL, (*OTHER_HUB_PARENTS, ORIGIN)))
    d.handle(EndpointsChanged(EndpointListKind.FULL, tuple(FLEET)))
    assert d.attempts[d.request(object_id=78)]
