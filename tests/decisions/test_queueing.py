"""Queued requests, deadlines and the timer."""

from __future__ import annotations

from hallproxy.decisions.requests import RoutedRequest
from hallproxy.interface import (
    Reject,
    Request,
    SetTimer,
    TimerFired,
)
from tests.support.fleet import MS, SECOND, Driver


def test_what_cannot_finish_in_time_is_rejected_at_once_and_what_can_is_attempted() -> None:
    d = Driver()
    request_id = d.next_id
    actions = d.handle(Request(request_id, 0, 300 * MS, object=1, size_kb=400.0))  # takes 400 ms to send
    d.next_id += 1
    assert [type(a) for a in actions if not isinstance(a, SetTimer)] == [
        Reject
    ] and request_id not in d.attempts
    assert d.attempts[d.request(size=5.0, time_left=15 * MS)]


def test_a_long_queue_is_not_searched_at_every_event() -> None:
    d = Driver(cancellation=False)
    for object_id in range(1, 400):
        d.request(object_id=object_id)
    assert len(d.router.queue.queued) > 200
    checked = 0
    original = d.router.concurrency.is_at_limit

    def counted(entry: RoutedRequest, multiple: float = 1.0) -> bool:
        nonlocal checked
        checked += 1
        return original(entry, multiple)

    d.router.concurrency.is_at_limit = counted  # type: ignore[method-assign]
    d.handle(TimerFired(0))
    assert checked <= 2


def test_no_timer_is_set_for_requests_that_are_answered() -> None:
    d = Driver()
    d.serve_objects(200)
    d.advance(SECOND)  # beyond the checks of overdue attempts too
    calls, original = [], d.router.handle
    d.router.handle = lambda now, events: calls.append(now) or original(now, events)  # type: ignore
    d.advance(20 * SECOND)
    assert not d.router.queue.deadlines and not d.timers and len(calls) < 3
