"""The start of an attempt: its endpoints, its parameters, and its use of the budgets."""

from __future__ import annotations

from hallproxy.decisions.concurrency import LOOKUP_LIMIT_MULTIPLE, ConcurrencyLimit
from hallproxy.decisions.context import DecisionContext
from hallproxy.decisions.endpoint_statistics import EndpointStatistics
from hallproxy.decisions.hedging import OverdueAttempts
from hallproxy.decisions.idempotency import IdempotencyRule
from hallproxy.decisions.placement import Placement
from hallproxy.decisions.purges import PurgeGuard
from hallproxy.decisions.queueing import RequestQueue
from hallproxy.decisions.requests import RoutedAttempt, RoutedRequest
from hallproxy.decisions.slow_start import SlowStart
from hallproxy.decisions.valuation import Valuation
from hallproxy.interface import FetchFlags, Request, StartAttempt

FETCH_FLAGS = {  # (joins fills, revalidates) -> flags
    (False, False): FetchFlags.NONE,
    (False, True): FetchFlags.REVALIDATE,
    (True, False): FetchFlags.JOIN,
    (True, True): FetchFlags.JOIN | FetchFlags.REVALIDATE,
}


class AttemptStarter:
    """Starts attempts, one at a time per request except for hedges."""

    def __init__(
        self,
        context: DecisionContext,
        queue: RequestQueue,
        placement: Placement,
        slow_start: SlowStart,
        concurrency: ConcurrencyLimit,
        overdue: OverdueAttempts,
        valuation: Valuation,
        purges: PurgeGuard,
        idempotency: IdempotencyRule,
    ) -> None:
        self._context = context
        self._queue = queue
        self._placement = placement
        self._slow_start = slow_start
        self._concurrency = concurrency
        self._overdue = overdue
        self._valuation = valuation
        self._purges = purges
        self._idempotency = idempotency

    def start(self, entry: RoutedRequest, lookup_only: bool = False) -> bool:
        """Start one attempt if a usable endpoint is found; return whether it was started."""
        context = self._context
        if not self._queue.can_finish_in_time(entry):
            return False
        if entry.attempts_started >= context.settings.max_attempts:
            return False
        cache = self._placement.choose_cache(entry)
        source = self._placement.choose_source(entry)
        if cache is None:
            cache = self._direct_source(entry, source)
            if cache is None:
                return False
        if source is None or lookup_only:
            source = cache
        entry.lookup_only = lookup_only
        context.actions.append(self._action(entry, cache, source))
        self._track(entry, RoutedAttempt(cache, source, context.now))
        return True

    def start_lookup(self, entry: RoutedRequest) -> bool:
        """Start a lookup, within a multiple of the concurrency limit.

        Departure from the design: used at the concurrency limit, which leaves no slot for a fill.
        """
        if self._is_write(entry.request) or self._concurrency.is_at_limit(entry, LOOKUP_LIMIT_MULTIPLE):
            return False
        return self.start(entry, lookup_only=True)

    def _direct_source(
        self, entry: RoutedRequest, source: EndpointStatistics | None
    ) -> EndpointStatistics | None:
        """Return the source if it may answer itself. Departure: only if allowed and no cache is usable."""
        if not self._context.settings.direct_to_source or source is None:
            return None
        return source if self._idempotency.may_run_at(entry, source) else None

    def _action(
        self, entry: RoutedRequest, cache: EndpointStatistics, source: EndpointStatistics
    ) -> StartAttempt:
        """Build the action. Its timeout is the deadline: an earlier one wastes work under overload."""
        request, settings = entry.request, self._context.settings
        is_write = self._is_write(request)
        age_limit = self._purges.age_limit(request)
        flags = FetchFlags.NONE
        if not age_limit and not is_write:
            revalidates = settings.classes[request.class_index].fresh_for != 0
            flags = FETCH_FLAGS[settings.joins_fills, revalidates]
        return StartAttempt(
            request.id,
            cache.endpoint.id,
            entry.deadline - self._context.now,
            source.endpoint.id,
            0 if is_write else self._valuation.cache_rank(request, entry.cache_gain),
            age_limit,
            flags,
        )

    def _track(self, entry: RoutedRequest, attempt: RoutedAttempt) -> None:
        """Record the attempt at its endpoints and in its request."""
        endpoints = attempt.endpoints()
        self._slow_start.spend(endpoints, entry.request.class_index)
        for peer in endpoints:
            peer.in_flight += 1
        entry.attempts[entry.attempts_started] = attempt
        self._overdue.watch(entry, entry.attempts_started)
        entry.attempts_started += 1
        entry.tried_caches.append(attempt.cache)
        entry.tried_sources.append(attempt.source)

    def _is_write(self, request: Request) -> bool:
        return request.is_write or self._context.settings.classes[request.class_index].is_write
