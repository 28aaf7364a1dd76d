"""Troubles of a whole fleet: waves of drains, a mass restart, lists that make little sense."""

from __future__ import annotations

from dataclasses import replace

from hallproxy.interface import Fail, ListKind, Member, MembersChanged, Refuse, State, Status
from tests.fleet import CACHES, FLEET, MS, NEAR, NEXT, ORIGIN, SECOND, Driver


def test_waves_of_drains_get_nothing_new_and_cold_replacements_are_brought_in() -> None:
    d = Driver(fleet=[*CACHES, *NEAR, ORIGIN], weights_told=True)
    for wave in range(3):
        old = CACHES[wave]
        d.handle(MembersChanged(ListKind.DELTA, (replace(old, state=State.DRAINING),)))
        new = replace(old, server=b"new%d" % wave, started=d.now)
        d.handle(MembersChanged(ListKind.DELTA, (new,)))
        seen = set()
        for obj in range(100):
            d.now += 40 * MS
            seen.add(d.first(obj=1000 * wave + obj).server)
        assert old.server not in seen and new.server in seen
        d.handle(MembersChanged(ListKind.DELTA, (replace(old, state=State.GONE),)))


def test_a_mass_restart_not_yet_listed_is_noticed_from_outcomes_and_served_by_what_is_left() -> None:
    d = Driver()
    dead = {c.server for c in CACHES[:2]}
    late = []
    for obj in range(1, 200):
        ident = d.ask(obj=obj, left=2 * SECOND)
        d.now += 20 * MS
        while ident in d.sent and d.sent[ident][-1].server in dead and len(d.sent[ident]) < 3:
            if any(isinstance(a, Refuse | Fail) for a in d.end(ident, Status.CONNECT_FAILED, 400 * MS)):
                break
        else:
            d.end(ident)
        late.append(d.sent[ident][0].server in dead)
    assert sum(late[100:]) <= 8
    d.handle(MembersChanged(ListKind.DELTA, tuple(replace(c, started=d.now) for c in CACHES[:2])))
    again = set()
    for obj in range(500, 900):
        d.now += 50 * MS
        again.add(d.first(obj=obj).server)
    assert dead <= again


def test_lists_of_any_order_and_content_are_taken_and_each_request_is_answered() -> None:
    many = [Member(b"m%03d" % n, State.READY, n % 3, n % 4, weight=float(n % 7)) for n in range(400)]
    d = Driver(fleet=many, zone_routers=(0, 0, 0, 0), routers=0)
    odd = (
        replace(many[2], state=State.GONE),
        Member(b"unknown", State.GONE),
        replace(many[6], zone=1),
        replace(many[10], kind=1),
        many[14],
        many[14],
        replace(many[18], zone=99, kind=1),
    )
    for changes in (odd, odd[::-1], tuple(replace(m, state=State.GONE) for m in many), tuple(many)):
        d.handle(MembersChanged(ListKind.DELTA, changes))
        for obj in range(1, 20):
            ident = d.ask(obj=obj, left=2 * SECOND)
            if ident in d.sent:
                d.end(ident)
            else:
                assert [a for a in d.wait(2 * SECOND) if isinstance(a, Refuse | Fail) and a.request == ident]
    assert d.sent[d.ask(obj=77)]
    d.handle(MembersChanged(ListKind.FULL, (*NEXT, ORIGIN)))
    d.handle(MembersChanged(ListKind.FULL, tuple(FLEET)))
    assert d.sent[d.ask(obj=78)]
