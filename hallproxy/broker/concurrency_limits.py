"""The concurrency limits of all sources, and the total of requests that may be in flight."""

from __future__ import annotations

from collections import OrderedDict

from hallproxy.broker.source_limit import INITIAL_LIMIT, MS, SECOND, AttemptOutcome, SourceLimit

MIN_GATEWAY_DELAY = 2 * MS  # ns
GATEWAY_DELAY_FACTOR = 2.0  # times the event loop's lag: a response passes through the loop twice
GATEWAY_DELAY_SMOOTHING = 0.3  # weight of the latest sample
UNUSED_AFTER = 5 * SECOND  # ns without an attempt after which a source adds nothing to the total
FORGET_AFTER = 60 * SECOND  # ns without an attempt


class ConcurrencyLimits:
    """The limits of all sources.

    Attributes:
        max_total: the most that the total and each limit may be.
        initial_limit: the limit of a source about which nothing is known.
        sources: by endpoint id.
        reductions: how often any limit was reduced.
    """

    def __init__(self, max_total: float = 256.0, initial_limit: float = INITIAL_LIMIT) -> None:
        self.max_total = max_total
        self.initial_limit = initial_limit
        self.sources: OrderedDict[bytes, SourceLimit] = OrderedDict()
        self.reductions = 0
        self._gateway_delay = float(MIN_GATEWAY_DELAY)  # ns of a latency that the gateway itself causes
        self._last_used_at = 0

    def total_limit(self) -> int:
        """Requests that may be in flight at all sources, at least one."""
        # The limit of an unused source must not be lent to the others.
        used = [source for source in self.sources.values() if self._is_used(source)]
        total = sum(source.allowed_in_flight() for source in used) if used else self.initial_limit
        return max(1, int(min(self.max_total, total)))

    def _is_used(self, source: SourceLimit) -> bool:
        return bool(source.in_flight) or self._last_used_at - source.last_used_at < UNUSED_AFTER

    def event_loop_lagged(self, lag: int) -> None:
        """Account for the event loop's lag (ns), so that it is not taken for a queue at the sources."""
        delay = max(float(MIN_GATEWAY_DELAY), GATEWAY_DELAY_FACTOR * lag)
        self._gateway_delay += GATEWAY_DELAY_SMOOTHING * (delay - self._gateway_delay)

    def attempt_started(self, endpoint: bytes, now: int) -> None:
        """Count an attempt in flight."""
        source = self.sources.get(endpoint)
        if source is None:
            source = self.sources[endpoint] = SourceLimit(self.initial_limit, self.max_total, now)
        source.attempt_started(now)
        self._last_used_at = now

    def attempt_ended(
        self, endpoint: bytes, cost_class: int, latency: int, outcome: AttemptOutcome, now: int
    ) -> None:
        """Learn from the end of an attempt. ``latency`` in ns."""
        source = self.sources.get(endpoint)
        if source is not None:
            self.reductions += source.attempt_ended(cost_class, latency, outcome, self._gateway_delay, now)

    def check_silent_sources(self, now: int) -> None:
        """Reduce the limits of sources that respond to nothing."""
        for source in self.sources.values():
            self.reductions += source.reduce_if_silent(now)

    def forget_unused(self, now: int) -> None:
        """Drop sources without an attempt for ``FORGET_AFTER``, which bounds the table."""
        unused = [
            endpoint
            for endpoint, source in self.sources.items()
            if not source.in_flight and now - source.last_used_at > FORGET_AFTER
        ]
        for endpoint in unused:
            del self.sources[endpoint]
