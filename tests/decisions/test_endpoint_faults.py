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


def test_draining_endpoints_get_no_attempts_and_warming_replacements_get_load() -> None:
    d = Driver(fleet=[*CACHES, *HUB_PARENTS, ORIGIN], weights_known=True)
    for wave in range(3):
        old = CACHES[wave]
        d.handle(EndpointsChanged(EndpointListKind.DELTA, (replace(old, state=EndpointState.DRAINING),)))
        new = replace(old, id=b"new%d" % wave, started_at=d.now)
        d.handle(EndpointsChanged(EndpointListKind.DELTA, (new,)))
        seen = set()
        for object_id in range(100):
            d.now += 40 * MS
            seen.add(d.first_attempt(object_id=1000 * wave + object_id).endpoint)
        assert old.id not in seen and new.id in seen
        d.handle(EndpointsChanged(EndpointListKind.DELTA, (replace(old, state=EndpointState.GONE),)))


def test_a_mass_restart_not_yet_listed_is_detected_from_outcomes_and_served_by_the_others() -> None:
    d = Driver()
    dead = {c.id for c in CACHES[:2]}
    first_at_dead = []
    for object_id in range(1, 200):
        request_id = d.request(object_id=object_id, time_left=2 * SECOND)
        d.now += 20 * MS
        while (
            request_id in d.attempts
            and d.attempts[request_id][-1].endpoint in dead
            and len(d.attempts[request_id]) < 3
        ):
            if any(
                isinstance(a, Reject | Fail)
                for a in d.end_attempt(request_id, AttemptStatus.CONNECT_FAILED, 400 * MS)
            ):
                break
        else:
            d.end_attempt(request_id)
        first_at_dead.append(d.attempts[request_id][0].endpoint in dead)
    assert sum(first_at_dead[100:]) <= 8
    d.handle(
        EndpointsChanged(EndpointListKind.DELTA, tuple(replace(c, started_at=d.now) for c in CACHES[:2]))
    )
    used_again = set()
    for object_id in range(500, 900):
        d.now += 50 * MS
        used_again.add(d.first_attempt(object_id=object_id).endpoint)
    assert dead <= used_again


def test_lists_of_any_order_and_content_are_accepted_and_each_request_is_answered() -> None:
    listed = [
        Endpoint(b"m%03d" % n, EndpointState.READY, n % 3, n % 4, weight=float(n % 7)) for n in range(400)
    ]
    d = Driver(fleet=listed, gateways_by_zone=(0, 0, 0, 0), gateway_count=0)
    inconsistent = (
        replace(listed[2], state=EndpointState.GONE),
        Endpoint(b"unknown", EndpointState.GONE),
        replace(listed[6], zone=1),
        replace(listed[10], kind=1),
        listed[14],
        listed[14],
        replace(listed[18], zone=99, kind=1),
    )
    for changes in (
        inconsistent,
        inconsistent[::-1],
        tuple(replace(m, state=EndpointState.GONE) for m in listed),
        tuple(listed),
    ):
        d.handle(EndpointsChanged(EndpointListKind.DELTA, changes))
        for object_id in range(1, 20):
            request_id = d.request(object_id=object_id, time_left=2 * SECOND)
            if request_id in d.attempts:
                d.end_attempt(request_id)
            else:
                assert [
                    a
                    for a in d.advance(2 * SECOND)
                    if isinstance(a, Reject | Fail) and a.request_id == request_id
                ]
    assert d.attempts[d.request(object_id=77)]
    d.handle(EndpointsChanged(EndpointListKind.FULL, (*OTHER_HUB_PARENTS, ORIGIN)))
    d.handle(EndpointsChanged(EndpointListKind.FULL, tuple(FLEET)))
    assert d.attempts[d.request(object_id=78)]
