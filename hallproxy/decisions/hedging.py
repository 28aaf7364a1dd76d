"""Overdue attempts, and the hedges that replace those which are probably lost.

Departure from the design: an attempt whose answer is overdue while its cache answers others does not count
against the concurrency limit, and its request is sent once more.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterator, Mapping
from typing import NamedTuple

from hallproxy.decisions.concurrency import ConcurrencyLimit
from hallproxy.decisions.context import DecisionContext
from hallproxy.decisions.endpoint_statistics import EndpointStatistics
from hallproxy.decisions.latency import RESPONSE_OVERHEAD, LatencyStatistics
from hallproxy.decisions.requests import RoutedAttempt, RoutedRequest
from hallproxy.decisions.units import SECOND
from hallproxy.interface import AttemptEnded, AttemptStatus, Idempotency

OVERDUE_QUANTILE = 0.98  # an answer is slow if it takes longer than this share of recent ones
OVERDUE_MULTIPLE = 2  # multiple of a slow answer's time at which an attempt is overdue in any case
HEDGE_TIME_MULTIPLE = 1.5  # multiple of the typical time that a hedge needs to meet the objective
LATE_SHARE_MAX = 0.85  # share of overdue attempts still answered, below which lost can be told from late
LATE_SHARE_INITIAL = 0.8  # until the first overdue attempt has ended
LATE_SHARE_SMOOTHING = 0.1  # weight of one overdue attempt
RECHECK_INTERVAL = int(RESPONSE_OVERHEAD * SECOND)  # ns between checks while the cache answers nothing


class OverdueCheck(NamedTuple):
    """The time (ns) at which an attempt is overdue if it is still in flight."""

    at: int
    request_id: int
    attempt: int


class OverdueAttempts:
    """The attempts whose answers are overdue, and the times at which others will be."""

    def __init__(
        self, context: DecisionContext, latency: LatencyStatistics, concurrency: ConcurrencyLimit
    ) -> None:
        self._context = context
        self._latency = latency
        self._concurrency = concurrency
        self.overdue: dict[tuple[int, int], EndpointStatistics] = {}  # (request, attempt) -> cache
        self.late_share = LATE_SHARE_INITIAL  # smoothed share of them that still got an answer
        self.checks: list[OverdueCheck] = []  # a heap

    def watch(self, entry: RoutedRequest, attempt: int) -> None:
        """Schedule the check of a new attempt, once there are enough answers to tell which are slow."""
        slowness = self._latency.recent_slowness.ordered
        if len(slowness) * (1 - OVERDUE_QUANTILE) >= 1:
            check = OverdueCheck(self._context.now + self._overdue_delay(entry), entry.request.id, attempt)
            heapq.heappush(self.checks, check)

    def detect(self, requests: Mapping[int, RoutedRequest]) -> Iterator[tuple[RoutedRequest, int]]:
        """Yield the attempts that are overdue by now, with their requests.

        An attempt at a cache that has answered nothing since it started is checked again later: the cache
        itself may be slow.
        """
        now = self._context.now
        while self.checks and self.checks[0].at <= now:
            _, request_id, number = heapq.heappop(self.checks)
            entry = requests.get(request_id)
            if entry is None or entry.finished or number not in entry.attempts:
                continue
            attempt = entry.attempts[number]
            if attempt.cache.last_responded_at <= attempt.started_at:
                heapq.heappush(self.checks, OverdueCheck(now + RECHECK_INTERVAL, request_id, number))
                continue
            self.overdue[request_id, number] = attempt.cache
            attempt.cache.overdue += 1
            yield entry, number

    def may_hedge(self, entry: RoutedRequest) -> bool:
        """Return whether a request whose attempts are overdue gets another one.

        More overdue attempts than the allowance mean an overload, which a hedge would add to.
        """
        settings = self._context.settings
        idempotency = settings.classes[entry.request.class_index].idempotency
        if not settings.hedging or idempotency is Idempotency.NOT_IDEMPOTENT:
            return False
        if len(self.overdue) > self._concurrency.overdue_allowance() or self.late_share >= LATE_SHARE_MAX:
            return False
        return all((entry.request.id, number) in self.overdue for number in entry.attempts)

    def attempt_ended(self, event: AttemptEnded, attempt: RoutedAttempt) -> bool:
        """Record an attempt's end; return whether it was overdue."""
        if self.overdue.pop((event.request_id, event.attempt), None) is None:
            return False
        attempt.cache.overdue -= 1
        answered = event.status is AttemptStatus.OK
        self.late_share += LATE_SHARE_SMOOTHING * (answered - self.late_share)
        return True

    def _overdue_delay(self, entry: RoutedRequest) -> int:
        """Return the time (ns) from which an answer is overdue.

        It is at least the time of recent slow answers, as under overload all are slow. Where lost attempts
        can be told from late ones, it ends early enough for a hedge to meet the latency objective.
        """
        slowness = self._latency.recent_slowness.ordered
        expected = self._latency.expected_time(entry.request) * SECOND
        slow_time = slowness[int(OVERDUE_QUANTILE * len(slowness))] * expected
        hedge_time = HEDGE_TIME_MULTIPLE * self._latency.typical_slowness * expected
        hedge_delay = max(slow_time, entry.objective_at - self._context.now - hedge_time)
        return int(
            min(OVERDUE_MULTIPLE * slow_time, hedge_delay if self.late_share < LATE_SHARE_MAX else math.inf)
        )
