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
    """Another parent would fetch the part from the origin anew, which can overload the origin."""
    for obj in range(1, 9):
        d = Driver()
        ident = d.request(object_id=obj)
        d.end_attempt(ident, status)
        first, second = d.attempts[ident]
        assert second.source == first.source
        d.end_attempt(ident)


def test_a_retry_after_an_error_uses_another_parent() -> None:
    d = Driver()
    ident = d.request()
    d.end_attempt(ident, AttemptStatus.ERROR)
    first, second = d.attempts[ident]
    assert second.source != first.source and second.endpoint != first.endpoint


def test_retries_are_budgeted() -> None:
    d = Driver()
    for obj in range(1, 200):
        ident = d.request(object_id=obj)
        while d.router.requests.get(ident):
            d.end_attempt(ident, AttemptStatus.ERROR, MS)
    sent = sum(len(g) for g in d.attempts.values())
    assert sent <= 199 * 1.25 + 21


def test_errors_of_one_request_are_counted_once_and_end_its_retries() -> None:
    """A request that no endpoint can use must not eject endpoints, nor use up the retry budget."""
    d = Driver(max_attempts=8)
    d.serve_objects(40)
    for obj in range(100, 108):
        ident = d.request(object_id=obj)
        for _ in range(8):
            if d.end_attempt(ident, AttemptStatus.ERROR, 2 * MS)[-1:] == [Reject(ident, 200 * MS)]:
                break
        assert len(d.attempts[ident]) == ERRORS_MAX
        d.serve_objects(6, first_object=1_000 + 10 * obj)
    assert not any(p.ejected for p in d.router.endpoints.by_id.values())


def test_after_a_reset_the_same_cache_gets_one_retry_then_another_cache() -> None:
    """The cache has or gets the part; another one would fill it anew."""
    d = Driver()
    ident = d.request()
    d.end_attempt(ident, AttemptStatus.RESET)
    first, second = d.attempts[ident]
    assert (second.endpoint, second.source) == (first.endpoint, first.source)
    d.end_attempt(ident, AttemptStatus.RESET)
    assert d.attempts[ident][2].endpoint != first.endpoint
