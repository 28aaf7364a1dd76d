"""The reducer with a simulated clock and its scheduled timers, without sockets."""

from __future__ import annotations

import json
from collections.abc import Sequence
from typing import Any

from hallproxy import interface as i
from hallproxy.decisions import Router
from hallproxy.state import effects, events
from hallproxy.state.model import GatewayState
from hallproxy.state.reducer import reduce
from hallproxy.wire.simulator_settings import settings_from_json
from tests.support.gateway import platform_settings

MS, SECOND = 10**6, 10**9
START = 10**18


class ReducerHarness:
    """The reducer and the real router over ``stores`` ready endpoints, with a clock that tests set.

    ``timers`` are the scheduled events that have not fired. Effects are returned without timers and logs.
    """

    def __init__(self, stores: int = 2, **state_fields: Any) -> None:
        """``state_fields`` are fields of ``GatewayState``."""
        settings = settings_from_json(json.dumps(platform_settings()).encode())
        self.state = GatewayState(settings, Router(settings, 1), **state_fields)
        self.now = START
        self.timers: list[events.Event] = []
        endpoints = tuple(i.Endpoint(b"s-%d" % n, i.EndpointState.READY) for n in range(stores))
        change = i.EndpointsChanged(i.EndpointListKind.FULL, endpoints)
        self.dispatch(events.EndpointListUpdated(START, change, ("a:1",) * stores))

    def dispatch(self, event: events.Event) -> list[effects.Effect]:
        """Reduce one event."""
        emitted = reduce(self.state, event)
        self.timers += [e.event for e in emitted if isinstance(e, effects.ScheduleTimer)]
        return [e for e in emitted if not isinstance(e, effects.ScheduleTimer | effects.LogRecord)]

    def request(self, downstream: int, object_id: int = 1, class_index: int = 1) -> list[effects.Effect]:
        """Dispatch a request with a deadline of 2 s."""
        name = f"{object_id:016x}"
        request = events.ClientRequest(f"id-{downstream}", class_index, 2 * SECOND, object_id, name)
        return self.dispatch(events.RequestReceived(self.now, downstream, request))

    def advance(self, duration: int) -> list[effects.Effect]:
        """Let ``duration`` ns pass, and fire the timers that are due meanwhile."""
        until = self.now + duration
        emitted: list[effects.Effect] = []
        while due := [timer for timer in self.timers if timer.at <= until]:
            first = min(due, key=lambda timer: timer.at)
            self.timers.remove(first)
            self.now = max(self.now, first.at)
            emitted += self.dispatch(first)
        self.now = until
        return emitted


def response_kinds(emitted: Sequence[effects.Effect]) -> list[events.ResponseKind]:
    """The kinds of the responses among the effects."""
    return [e.response.kind for e in emitted if isinstance(e, effects.SendResponse)]
