"""The router as a whole."""

from __future__ import annotations

from dataclasses import replace

from hallproxy.interface import (
    AttemptStatus,
    EndpointListKind,
    EndpointsChanged,
    EndpointState,
)
from tests.support.fleet import CACHES, MS, Driver


def test_the_same_events_give_the_same_actions_and_routers_share_no_state() -> None:
    def play(d: Driver) -> list[object]:
        actions: list[object] = []
        for n in range(120):
            request_id = d.request(object_id=n % 17, part=n % 3)
            d.now += 7 * MS
            actions += d.end_attempt(request_id, AttemptStatus.ERROR if n % 5 == 0 else AttemptStatus.OK)
        return [*actions, d.attempts]

    alone = play(Driver())
    a, b = Driver(), Driver()
    b.serve_objects(40, first_object=500)
    b.handle(EndpointsChanged(EndpointListKind.DELTA, (replace(CACHES[0], state=EndpointState.DRAINING),)))
    assert play(a) == alone
