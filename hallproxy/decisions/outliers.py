"""Failure shares of endpoints, ejection of outliers, and the health checks that reinstate them."""

from __future__ import annotations

from collections.abc import Sequence

from hallproxy.decisions.context import DecisionContext, printable_id
from hallproxy.decisions.endpoint_statistics import EndpointStatistics
from hallproxy.decisions.endpoints import EndpointTable
from hallproxy.decisions.latency import FILLED
from hallproxy.decisions.requests import RoutedAttempt, RoutedRequest
from hallproxy.decisions.units import SECOND
from hallproxy.interface import AttemptEnded, AttemptStatus, CacheStatus, FillDetail

FAILURE_SMOOTHING = 0.15  # weight of one outcome in the failure share
CONNECT_FAILURE_SMOOTHING = 0.2  # weight of a failed connect: two in a row eject an endpoint
RESET_SMOOTHING = 0.05  # weight of a broken connection: only many of them eject an endpoint
EJECT_ABOVE = 0.35  # failure share from which an endpoint is ejected ...
EJECT_MULTIPLE = 2.0  # ... if it is this multiple of its peers' median: a shared cause ejects none
UNEJECT_BELOW = 0.15  # failure share below which it is unejected
HEALTH_CHECK_INTERVAL = SECOND  # ns between the single requests that check an ejected endpoint
SILENT_AFTER = 2 * SECOND  # ns without an answer, after which an endpoint does not count as alive

SOURCE_FAULTS = (
    CacheStatus.SOURCE_REFUSED,
    CacheStatus.SOURCE_UNREACHABLE,
    CacheStatus.SOURCE_MISS,
    CacheStatus.ORIGIN_FAILED,
)


class OutlierDetector:
    """Ejects endpoints that fail much more than others of their role."""

    def __init__(self, context: DecisionContext, endpoints: EndpointTable) -> None:
        self._context = context
        self._endpoints = endpoints

    def try_use(self, peer: EndpointStatistics) -> bool:
        """Return whether an endpoint may be chosen; an ejected one gets a health check at each interval.

        Returning True for an ejected endpoint uses up its health check.
        """
        now = self._context.now
        if peer.ejected and now < peer.next_health_check_at:
            return False
        peer.next_health_check_at = now + HEALTH_CHECK_INTERVAL
        return True

    def observe(self, entry: RoutedRequest, attempt: RoutedAttempt, event: AttemptEnded) -> None:
        """Learn from the end of an attempt."""
        if event.status is AttemptStatus.OK:
            self._observe_success(attempt, event)
        elif event.status is AttemptStatus.CONNECT_FAILED:
            self._update(attempt.cache, 1.0, CONNECT_FAILURE_SMOOTHING)  # says nothing about the source
        elif event.status is AttemptStatus.RESET:
            self._update(attempt.cache, 1.0, RESET_SMOOTHING)
        else:
            self._observe_failure(entry, attempt, event)

    def _observe_success(self, attempt: RoutedAttempt, event: AttemptEnded) -> None:
        attempt.cache.last_responded_at = self._context.now
        self._update(attempt.cache, 0.0)
        if event.cache_status in FILLED or self._context.settings.fill_detail is FillDetail.NONE:
            self._update(attempt.source, 0.0)
            attempt.source.last_responded_at = self._context.now

    def _observe_failure(self, entry: RoutedRequest, attempt: RoutedAttempt, event: AttemptEnded) -> None:
        cache, source, status = attempt.cache, attempt.source, event.status
        if event.cache_status in SOURCE_FAULTS:
            self._update(source, 1.0)
            return
        if status is AttemptStatus.MISS or event.cache_status == CacheStatus.NO_FILL_SLOT:
            return
        if status is AttemptStatus.TIMEOUT and cache.last_responded_at > self._context.now - event.latency:
            return  # it answered others meanwhile; ejecting a slow cache moves its load to the next
        if status is AttemptStatus.ERROR:
            entry.error_count += 1
            if entry.error_count > 1:
                return  # a second endpoint failed as well: the request may be at fault
        self._update(cache, 1.0)
        if source is not cache and self._context.settings.fill_detail is not FillDetail.ALL:
            self._update(source, 1.0)  # answers don't say which of them failed; the medians show it over time

    def _update(self, peer: EndpointStatistics, failure: float, smoothing: float = FAILURE_SMOOTHING) -> None:
        """Smooth one outcome (1 for a failure) into the failure share; eject or uneject."""
        peer.failure_share += smoothing * (failure - peer.failure_share)
        if peer.ejected:
            if peer.failure_share < UNEJECT_BELOW:
                peer.ejected = False
                self._context.log("outliers", f"unejected {printable_id(peer.endpoint.id)}")
        elif peer.failure_share > EJECT_ABOVE and self._is_outlier(peer):
            peer.ejected = True
            peer.next_health_check_at = self._context.now + HEALTH_CHECK_INTERVAL
            name = printable_id(peer.endpoint.id)
            self._context.log("outliers", f"ejected {name} (failure share {peer.failure_share:.2f})")

    def _is_outlier(self, peer: EndpointStatistics) -> bool:
        """Return whether others of its role are alive and fail much less."""
        is_cache = peer in self._endpoints.caches
        same_role = self._endpoints.caches if is_cache else self._endpoints.sources()
        others = [p for p in same_role if p is not peer and not p.ejected]
        others.sort(key=lambda p: p.failure_share)
        if not self._any_alive(others, untried_counts=not is_cache):
            return False
        return peer.failure_share >= EJECT_MULTIPLE * others[len(others) // 2].failure_share

    def _any_alive(self, peers: Sequence[EndpointStatistics], untried_counts: bool) -> bool:
        """Return whether one of them answered recently; a source that was never tried may be alive."""
        silent_since = self._context.now - SILENT_AFTER
        return any(
            p.last_responded_at > silent_since
            or (untried_counts and not p.last_responded_at + p.failure_share)
            for p in peers
        )
