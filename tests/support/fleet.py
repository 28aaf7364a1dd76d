"""A small fleet for the tests, and a driver that sends requests to a router and ends its attempts."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from typing import Any

from hallproxy import Router
from hallproxy.interface import (
    Action,
    AttemptEnded,
    AttemptStatus,
    Endpoint,
    EndpointListKind,
    EndpointsChanged,
    EndpointState,
    Event,
    Request,
    RequestClass,
    SetTimer,
    Settings,
    StartAttempt,
)

MS = 1_000_000
SECOND = 1_000_000_000
START = 1_000 * SECOND

CLIP = RequestClass(
    400 * MS, 5 * SECOND, priority_weight=2.0, late_weight=0.15, objective_stretch=2.0, multipart=True
)
SMALL = RequestClass(
    latency_objective=250 * MS, deadline=2500 * MS, objective_stretch=2.0, fresh_for=8 * SECOND
)

SETTINGS = Settings(
    classes=(CLIP, SMALL),
    zone=2,
    zone_hub=(0, 1, 0, 1),
    parent_kind=1,
    origin_kind=2,
    slow_start_share=0.2,
    slow_start_duration=15 * SECOND,
    overload_multiple=3.0,
    overload_window=SECOND,
    drain_grace=500 * MS,
    answer_slack=8 * MS,
    gateways_by_zone=(0, 0, 1, 1),
    gateway_count=2,
    tick=2 * MS,
    transfer_kb_s=1000.0,
    parent_slow_start_share=0.06,
    parent_slow_start_duration=22 * SECOND,
    parent_overload_multiple=2.0,
    purge_grace=SECOND,
    purge_duration=6 * SECOND,
    joins_fills=True,
    cancellation=True,
    max_attempts=6,
    max_retry_after=SECOND,
    connect_timeout=400 * MS,
)

CACHES = [Endpoint(b"cache%d" % n, EndpointState.READY, kind=0, zone=2, weight=10.0) for n in range(4)]
FAR_CACHE = Endpoint(b"other", EndpointState.READY, kind=0, zone=3, weight=10.0)
HUB_PARENTS = [Endpoint(b"near%d" % n, EndpointState.READY, kind=1, zone=0, weight=30.0) for n in range(2)]
OTHER_HUB_PARENTS = [Endpoint(b"next0", EndpointState.READY, kind=1, zone=1, weight=30.0)]
ORIGIN = Endpoint(b"origin", EndpointState.READY, kind=2, zone=0, weight=30.0)
FLEET = [*CACHES, FAR_CACHE, *HUB_PARENTS, *OTHER_HUB_PARENTS, ORIGIN]


class Driver:
    """A router with its clock, its timers and the attempts it has started."""

    def __init__(
        self, fleet: Sequence[Endpoint] = tuple(FLEET), seed: int = 7, **changed_settings: Any
    ) -> None:
        self.settings = replace(SETTINGS, **changed_settings)
        self.router = Router(self.settings, seed)
        self.now = START
        self.next_id = 1
        self.attempts: dict[int, list[StartAttempt]] = {}
        self.timers: list[SetTimer] = []
        self.handle(EndpointsChanged(EndpointListKind.CACHED, tuple(fleet)))

    def handle(self, *events: Event) -> list[Action]:
        actions = self.router.handle(self.now, events)
        for action in actions:
            if isinstance(action, StartAttempt):
                self.attempts.setdefault(action.request_id, []).append(action)
            elif isinstance(action, SetTimer):
                self.timers.append(action)
        return actions

    def request(
        self,
        object_id: int = 1,
        class_index: int = 0,
        size: float = 400.0,
        time_left: int = 5 * SECOND,
        **request_fields: Any,
    ) -> int:
        """Send a new request and return its id."""
        request_id, self.next_id = self.next_id, self.next_id + 1
        self.handle(
            Request(request_id, class_index, time_left, object=object_id, size_kb=size, **request_fields)
        )
        return request_id

    def end_attempt(
        self,
        request_id: int,
        status: AttemptStatus = AttemptStatus.OK,
        latency: int = 50 * MS,
        cache_status: int = 0,
    ) -> list[Action]:
        """End the request's latest attempt."""
        attempt = len(self.attempts[request_id]) - 1
        started = self.attempts[request_id][-1]
        closed = status is AttemptStatus.OK
        return self.handle(
            AttemptEnded(request_id, attempt, started.endpoint, status, latency, closed, cache_status)
        )

    def first_attempt(self, **request_fields: Any) -> StartAttempt:
        """The first attempt of a new request, which is then answered."""
        request_id = self.request(**request_fields)
        self.end_attempt(request_id)
        return self.attempts[request_id][0]

    def serve_objects(self, count: int, first_object: int = 1, **request_fields: Any) -> None:
        """Send a request for each of ``count`` objects in turn and answer it after 50 ms."""
        for n in range(count):
            request_id = self.request(object_id=first_object + n, **request_fields)
            self.now += 50 * MS
            self.end_attempt(request_id)

    def advance(self, duration: int) -> list[Action]:
        """Let ``duration`` ns pass, and fire the timers that are due meanwhile."""
        from hallproxy.interface import TimerFired

        until, actions = self.now + duration, []
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
