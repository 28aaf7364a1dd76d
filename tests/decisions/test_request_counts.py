"""The halving of request counts: queued requests are not affected."""

from __future__ import annotations

from collections.abc import Sequence

from hallproxy.decisions import valuation
from hallproxy.interface import (
    EndpointListKind,
    EndpointsChanged,
    Fail,
    Reject,
    ServedLocally,
    StartAttempt,
    TimerFired,
)
from tests.support.fleet import FLEET, MS, Driver


def overflow_counts(driver: Driver, first_object: int) -> None:
    """Count more objects than the table holds, so that it is halved at the next call."""
    objects = range(first_object, first_object + valuation.COUNTS_MAX + 1)
    driver.handle(*(ServedLocally(number) for number in objects))


def final_answers(actions: Sequence[object], request_id: int) -> list[object]:
    return [a for a in actions if isinstance(a, Reject | Fail) and a.request_id == request_id]


def test_a_queued_request_survives_the_ageing_of_a_full_count_table() -> None:
    driver = Driver(fleet=())
    request_id = driver.request(object_id=1)
    assert list(driver.router.queue.queued) == [request_id]
    for repeat in range(4):  # a count of one, halved three times, is below COUNT_MIN
        overflow_counts(driver, 1_000_000 * (repeat + 1))
    driver.now += 10 * MS
    driver.handle(TimerFired(0))
    assert 1_000_000 not in driver.router.valuation.counts  # requested once as well, in the first round
    actions = driver.handle(EndpointsChanged(EndpointListKind.FULL, tuple(FLEET)))
    started = [a for a in actions if isinstance(a, StartAttempt) and a.request_id == request_id]
    assert len(started) == 1 and not final_answers(actions, request_id)
