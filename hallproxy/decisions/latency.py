"""Latency statistics: sending times of classes, slowness of caches, first-byte times of sources."""

from __future__ import annotations

from hallproxy.decisions.context import DecisionContext
from hallproxy.decisions.endpoint_statistics import EndpointStatistics
from hallproxy.decisions.endpoints import EndpointTable
from hallproxy.decisions.recent_values import RecentValues
from hallproxy.decisions.requests import RoutedAttempt, RoutedRequest
from hallproxy.decisions.units import MILLISECOND, SECOND
from hallproxy.interface import AttemptEnded, AttemptStatus, CacheStatus, FillDetail, Request

FIRST_BYTE_SMOOTHING = 0.1  # weight of a new first-byte time
FIRST_BYTE_DEFAULT = 0.1  # s, until a source was observed
SLOWNESS_SMOOTHING = 0.03  # weight of one answer in a cache's slowness
RESPONSE_OVERHEAD = 0.05  # s added to a sending time, so that network latency does not dominate small objects
TYPICAL_INTERVAL = 20 * MILLISECOND  # ns between two computations of the caches' median slowness
SLOW_MULTIPLE = 1.5  # multiple of the median slowness above which a cache's weight falls in proportion
SENDING_TIME_DEFAULT = 0.1  # s, until one of the class is known
SENDING_TIME_SMOOTHING = 0.02  # weight of one request's known sending time in its class's mean
UNKNOWN_SIZE_SMOOTHING_DOWN = 0.1  # weight in its class's mean of an answer of unknown size, faster ...
UNKNOWN_SIZE_SMOOTHING_UP = 0.02  # ... or slower than it: a low expectile, as these times include waiting
FILLED = (CacheStatus.FILLED, CacheStatus.FILLED_BY_ORIGIN)


class LatencyStatistics:
    """Statistics of answer times. Slowness is an answer's time divided by its expected time."""

    def __init__(self, context: DecisionContext, endpoints: EndpointTable) -> None:
        self._context = context
        self._endpoints = endpoints
        self.class_sending_times = [0.0] * len(context.settings.classes)  # s, smoothed
        self.recent_slowness = RecentValues()
        self.typical_slowness = 0.0  # median of the zone's caches
        self._typical_at = 0  # ns

    def sending_time(self, request: Request) -> float:
        """Return the seconds that sending takes at full rate; the class's mean where the size is unknown."""
        transfer_kb_s = self._context.settings.transfer_kb_s
        if request.size_kb > 0 and transfer_kb_s > 0:
            return request.size_kb / transfer_kb_s
        return self.class_sending_times[request.class_index] or SENDING_TIME_DEFAULT

    def expected_time(self, request: Request) -> float:
        """Return the seconds that an answer takes where nothing is slow: overhead and sending time."""
        return RESPONSE_OVERHEAD + self.sending_time(request)

    def observe_request(self, request: Request) -> float:
        """Learn from a request's sending time and return it (s)."""
        sending_time = self.sending_time(request)
        mean = self.class_sending_times[request.class_index]
        self.class_sending_times[request.class_index] = (
            sending_time if mean == 0.0 else mean + SENDING_TIME_SMOOTHING * (sending_time - mean)
        )
        return sending_time

    def observe_response(self, entry: RoutedRequest, attempt: RoutedAttempt, event: AttemptEnded) -> None:
        """Learn from an attempt that ended with an answer or a timeout."""
        if event.status not in (AttemptStatus.OK, AttemptStatus.TIMEOUT):
            return
        filled = event.cache_status in FILLED
        if not filled:
            self._observe_slowness(attempt.cache, event.latency / SECOND / self.expected_time(entry.request))
        if event.status is AttemptStatus.TIMEOUT:
            return
        self.recent_slowness.add(event.latency / SECOND / self.expected_time(entry.request))
        if not entry.request.size_kb:
            self._observe_unknown_size(entry.request, event.latency)
        for peer in attempt.endpoints():
            peer.sending_time_served += self.class_sending_times[entry.request.class_index]
        if filled or self._context.settings.fill_detail is FillDetail.NONE:
            self._observe_first_byte(attempt.source, event.source_wait or event.latency)

    def first_byte_time(self) -> float:
        """Return the sources' mean first-byte time (s), of the nearest tier that was observed."""
        for tier in self._endpoints.source_tiers:
            observed = [p.first_byte_time for p in tier if p.first_byte_time]
            if observed:
                return sum(observed) / len(observed) / SECOND
        return FIRST_BYTE_DEFAULT

    def weight_factor(self, cache: EndpointStatistics) -> float:
        """Return the factor on the placement weight of a slow cache.

        Departure from the design: acts above SLOW_MULTIPLE times the median. Guards against an overloaded
        or degrading cache before anything times out; costs the refill of what moves to other caches.
        """
        return min(1.0, SLOW_MULTIPLE * self.typical_slowness / cache.slowness) if cache.slowness else 1.0

    def update_typical_slowness(self) -> None:
        """Recompute the caches' median slowness when the interval has passed."""
        now = self._context.now
        if not self.typical_slowness or now - self._typical_at >= TYPICAL_INTERVAL:
            observed = sorted(p.slowness for p in self._endpoints.caches if p.slowness)
            self.typical_slowness = observed[(len(observed) - 1) // 2] if observed else 0.0
            self._typical_at = now

    def _observe_slowness(self, cache: EndpointStatistics, slowness: float) -> None:
        """Smooth a cache's slowness; one answer stands for one at each gateway of the zone."""
        weight = 1 - (1 - SLOWNESS_SMOOTHING) ** self._context.zone_gateways
        cache.slowness = cache.slowness or self.typical_slowness or slowness
        cache.slowness += weight * (slowness - cache.slowness)

    def _observe_unknown_size(self, request: Request, latency: int) -> None:
        excess = latency / SECOND - self.class_sending_times[request.class_index]
        weight = UNKNOWN_SIZE_SMOOTHING_DOWN if excess < 0 else UNKNOWN_SIZE_SMOOTHING_UP
        self.class_sending_times[request.class_index] += weight * excess

    def _observe_first_byte(self, source: EndpointStatistics, first_byte_time: int) -> None:
        """Smooth a source's first-byte time; it starts from the sources' mean, as one value is noise."""
        source.first_byte_time = source.first_byte_time or self.first_byte_time() * SECOND
        source.first_byte_time += FIRST_BYTE_SMOOTHING * (first_byte_time - source.first_byte_time)
