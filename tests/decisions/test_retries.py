"""Retries and their budget."""

from __future__ import annotations

import pytest

from hallproxy.decisions.retries import ERRORS_MAX
from hallproxy.interface import (
    AttemptStatus,
    Reject,
)
from tests.support.fleet import MS, Driver


@pytest.mark.parametrize("status", [AttemptStatus.FULL, AttemptStatus.CONNECT_FAILED, AttemptStatus.RESET])
def test_a_retry_fills_from_the_same_parent_unless_that_failed(status: AttemptStatus) -> None:
    """Another parent would fetch the part from the origin again, which can overload the origin."""
    for object_id in range(1, 9):
        d = Driver()
        request_id = d.request(object_id=object_id)
        d.end_attempt(request_id, status)
        first, second = d.attempts[request_id]
        assert second.source == first.source
        d.end_attempt(request_id)


def test_a_retry_after_an_error_uses_another_parent() -> None:
    d = Driver()
    request_id = d.request()
    d.end_attempt(request_id, AttemptStatus.ERROR)
    first, second = d.attempts[request_id]
    assert second.source != first.source and second.endpoint != first.endpoint


def test_retries_are_budgeted() -> None:
    d = Driver()
    for object_id in range(1, 200):
        request_id = d.request(object_id=object_id)
        while d.router.requests.get(request_id):
            d.end_attempt(request_id, AttemptStatus.ERROR, MS)
    sent = sum(len(g) for g in d.attempts.values())
    assert sent <= 199 * 1.25 + 21


def test_errors_of_one_request_are_counted_once_and_end_its_retries() -> None:
    """A request that no endpoint can use must not eject endpoints, nor use up the retry budget."""
    d = Driver(max_attempts=8)
    d.serve_objects(40)
    for object_id in range(100, 108):
        request_id = d.request(object_id=object_id)
        for _ in range(8):
            if d.end_attempt(request_id, AttemptStatus.ERROR, 2 * MS)[-1:] == [Reject(request_id, 200 * MS)]:
                break
        assert len(d.attempts[request_id]) == ERRORS_MAX
        d.serve_objects(6, first_object=1_000 + 10 * object_id)
    assert not any(p.ejected for p in d.router.endpoints.by_id.values())


def test_after_a_reset_the_same_cache_gets_one_retry_then_another_cache() -> None:
    """The cache has the part or is getting it; another one would fill it again."""
    d = Driver()
    request_id = d.request()
    d.end_attempt(request_id, AttemptStatus.RESET)
    first, second = d.attempts[request_id]
    assert (second.endpoint, second.source) == (first.endpoint, first.source)
    d.end_attempt(request_id, AttemptStatus.RESET)
    assert d.attempts[request_id][2].endpoint != first.endpoint
