"""Requests queued for an endpoint, and the deadlines by which requests get their final answer."""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Iterable, Iterator, Mapping

from hallproxy.decisions.context import DecisionContext
from hallproxy.decisions.latency import LatencyStatistics
from hallproxy.decisions.requests import RoutedRequest
from hallproxy.decisions.units import MILLISECOND, NEVER, SECOND

RESPONSE_TIME_MIN = 2 * MILLISECOND  # ns beyond the sending time; with less remaining no attempt is started
QUEUE_TIME_MAX = 500 * MILLISECOND  # ns that a request waits for a usable endpoint
QUEUE_CHECK_INTERVAL = 50 * MILLISECOND  # ns between two checks of queued requests


class RequestQueue:
    """The queued requests, and a heap of deadlines of all requests."""

    def __init__(
        self,
        context: DecisionContext,
        latency: LatencyStatistics,
        requests: Mapping[int, RoutedRequest],
    ) -> None:
        self._context = context
        self._latency = latency
        self._requests = requests
        self.queued: deque[int] = deque()  # request ids
        self.deadlines: list[tuple[int, int]] = []  # a heap of (ns, request id)

    def add_deadline(self, entry: RoutedRequest) -> None:
        """Schedule the deadline of a request's answer."""
        heapq.heappush(self.deadlines, (entry.deadline, entry.request.id))

    def enqueue(self, entry: RoutedRequest) -> None:
        """Queue a request for an endpoint, for a limited time; then it gets its final answer."""
        self.queued.append(entry.request.id)
        now = self._context.now
        sending_time = int(self._latency.sending_time(entry.request) * SECOND)
        in_time_until = max(now + MILLISECOND, entry.objective_at - sending_time)
        until = min(entry.deadline, in_time_until, now + QUEUE_TIME_MAX)
        heapq.heappush(self.deadlines, (until, entry.request.id))

    def can_finish_in_time(self, entry: RoutedRequest) -> bool:
        """Return whether the bytes could arrive before the client disconnects."""
        request, transfer_kb_s = entry.request, self._context.settings.transfer_kb_s
        sending_time = 0  # ns
        if request.size_kb > 0 and transfer_kb_s > 0 and not request.is_write:
            sending_time = int(request.size_kb / transfer_kb_s * SECOND)
        return entry.deadline - self._context.now >= sending_time + RESPONSE_TIME_MIN

    def waiting(self) -> list[RoutedRequest]:
        """Return the requests that are still queued, highest value density first."""
        entries = map(self._requests.get, self.queued)
        waiting = [e for e in entries if e is not None and not e.finished and not e.attempts]
        waiting.sort(key=lambda e: -e.value_density)
        return waiting

    def replace(self, entries: Iterable[RoutedRequest]) -> None:
        """Replace the queued requests by these."""
        self.queued = deque(entry.request.id for entry in entries)

    def expired(self) -> Iterator[RoutedRequest]:
        """Yield the expired requests; one with an attempt in flight expires only at its deadline."""
        now = self._context.now
        while self.deadlines and self.deadlines[0][0] <= now:
            entry = self._requests.get(heapq.heappop(self.deadlines)[1])
            if entry is None or entry.finished or entry.streaming:
                continue
            if not entry.attempts or now >= entry.deadline:
                yield entry

    def next_check_at(self) -> int:
        """Return the time (ns) at which the queued requests are checked again."""
        return self._context.now + QUEUE_CHECK_INTERVAL if self.queued else NEVER

    def is_finished(self, request_id: int) -> bool:
        """Return whether a request needs no further answer."""
        entry = self._requests.get(request_id)
        return entry is None or entry.finished
