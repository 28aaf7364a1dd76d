"""A small hand-made fleet for the tests, and a driver that plays the servers' part by hand."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from typing import Any

from hallproxy import Router
from hallproxy.interface import (
    Action,
    Event,
    Get,
    ListKind,
    Member,
    MembersChanged,
    Outcome,
    Request,
    RequestClass,
    SetTimer,
    Settings,
    State,
    Status,
)

MS = 1_000_000
SECOND = 1_000_000_000
START = 1_000 * SECOND

CLIP = RequestClass(400 * MS, 5 * SECOND, worth=2.0, late_worth=0.15, aim_stretch=2.0, parts=True)
SMALL = RequestClass(aim=250 * MS, deadline=2500 * MS, aim_stretch=2.0, fresh=8 * SECOND)

SETTINGS = Settings(
    classes=(CLIP, SMALL),
    zone=2,
    zone_hub=(0, 1, 0, 1),
    parent_kind=1,
    origin_kind=2,
    cold_share=0.2,
    cold_time=15 * SECOND,
    fall_multiple=3.0,
    fall_time=SECOND,
    drain_grace=500 * MS,
    answer_slack=8 * MS,
    zone_routers=(0, 0, 1, 1),
    routers=2,
    tick=2 * MS,
    flow_kb_s=1000.0,
    parent_cold_share=0.06,
    parent_cold_time=22 * SECOND,
    parent_fall_multiple=2.0,
    purge_grace=SECOND,
    purge_done=6 * SECOND,
    joins=True,
    cancel=True,
    max_attempts=6,
    max_retry_after=SECOND,
    connect_timeout=400 * MS,
)

CACHES = [Member(b"cache%d" % n, State.READY, kind=0, zone=2, weight=10.0) for n in range(4)]
FAR_CACHE = Member(b"other", State.READY, kind=0, zone=3, weight=10.0)
NEAR = [Member(b"near%d" % n, State.READY, kind=1, zone=0, weight=30.0) for n in range(2)]
NEXT = [Member(b"next0", State.READY, kind=1, zone=1, weight=30.0)]
ORIGIN = Member(b"origin", State.READY, kind=2, zone=0, weight=30.0)
FLEET = [*CACHES, FAR_CACHE, *NEAR, *NEXT, ORIGIN]


class Driver:
    """One router, its clock, and what it has out."""

    def __init__(self, fleet: Sequence[Member] = tuple(FLEET), seed: int = 7, **changed: Any) -> None:
        self.settings = replace(SETTINGS, **changed)
        self.router = Router(self.settings, seed)
        self.now = START
        self.next_id = 1
        self.sent: dict[int, list[Get]] = {}
        self.timers: list[SetTimer] = []
        self.handle(MembersChanged(ListKind.CACHED, tuple(fleet)))

    def handle(self, *events: Event) -> list[Action]:
        actions = self.router.handle(self.now, events)
        for action in actions:
            if isinstance(action, Get):
                self.sent.setdefault(action.request, []).append(action)
            elif isinstance(action, SetTimer):
                self.timers.append(action)
        return actions

    def ask(
        self, obj: int = 1, cls: int = 0, size: float = 400.0, left: int = 5 * SECOND, **more: Any
    ) -> int:
        ident, self.next_id = self.next_id, self.next_id + 1
        self.handle(Request(ident, cls, left, object=obj, size_kb=size, **more))
        return ident

    def end(
        self, ident: int, status: Status = Status.OK, latency: int = 50 * MS, note: int = 0
    ) -> list[Action]:
        attempt = len(self.sent[ident]) - 1
        get = self.sent[ident][-1]
        closed = status is Status.OK
        return self.handle(Outcome(ident, attempt, get.server, status, latency, closed, note))

    def first(self, **more: Any) -> Get:
        """The first attempt of a new request, which is then served."""
        ident = self.ask(**more)
        self.end(ident)
        return self.sent[ident][0]

    def serve(self, times: int, first: int = 1, **more: Any) -> None:
        """Requests for ``times`` different objects, each answered in time."""
        for n in range(times):
            ident = self.ask(obj=first + n, **more)
            self.now += 50 * MS
            self.end(ident)

    def wait(self, time: int) -> list[Action]:
        """Let time pass, the timers firing as they fall due."""
        from hallproxy.interface import TimerFired

        until, actions = self.now + time, []
        while True:
            due = [t for t in self.timers if t.at <= until]
            if not due:
                break
            first = min(due, key=lambda t: t.at)
            self.timers.remove(first)
            self.now = max(self.now, first.at)
            actions += self.handle(TimerFired(first.token))
        self.now = until
        return actions
