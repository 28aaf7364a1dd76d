"""The status line in the log: the concurrency limit, and recent figures of caches and sources."""

from __future__ import annotations

from hallproxy.decisions.concurrency import ConcurrencyLimit
from hallproxy.decisions.context import DecisionContext, printable_id
from hallproxy.decisions.endpoint_statistics import EndpointStatistics
from hallproxy.decisions.endpoints import EndpointTable
from hallproxy.decisions.queueing import RequestQueue
from hallproxy.decisions.slow_start import CACHE, PARENT, SlowStart
from hallproxy.decisions.units import MILLISECOND, SECOND

STATUS_INTERVAL = 5 * SECOND  # ns between status lines


class StatusReporter:
    """Logs a status line at each interval, and has the carried load measured over it."""

    def __init__(
        self,
        context: DecisionContext,
        endpoints: EndpointTable,
        slow_start: SlowStart,
        concurrency: ConcurrencyLimit,
        queue: RequestQueue,
    ) -> None:
        self._context = context
        self._endpoints = endpoints
        self._slow_start = slow_start
        self._concurrency = concurrency
        self._queue = queue
        self._reported_at = 0  # ns; 0 until the first line

    def report_if_due(self) -> None:
        """Log the line when the interval has passed."""
        now = self._context.now
        if now - self._reported_at < STATUS_INTERVAL:
            return
        has_interval = self._reported_at != 0
        self._slow_start.observe_carried_load(CACHE, self._endpoints.caches, STATUS_INTERVAL, has_interval)
        self._slow_start.observe_carried_load(
            PARENT, self._endpoints.parents(), STATUS_INTERVAL, has_interval
        )
        self._reported_at = now
        self._context.log("status", self._line())

    def _line(self) -> str:
        caches = " ".join(_cache_figures(p) for p in self._endpoints.caches)
        sources = " ".join(_source_figures(p) for p in self._endpoints.sources())
        return (
            f"concurrency limit {self._concurrency.limit:.1f}, queued {len(self._queue.queued)}; "
            f"caches in-flight/failures/slowness {caches}; sources first-byte/failures/in-flight {sources}"
        )


def _cache_figures(peer: EndpointStatistics) -> str:
    name = printable_id(peer.endpoint.id)
    return f"{name}:{peer.in_flight}/{peer.failure_share:.2f}/{peer.slowness:.1f}"


def _source_figures(peer: EndpointStatistics) -> str:
    name = printable_id(peer.endpoint.id)
    return f"{name}:{peer.first_byte_time / MILLISECOND:.0f}ms/{peer.failure_share:.2f}/{peer.in_flight}"
