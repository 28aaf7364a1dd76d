"""The router: applies the rules of this package, in order, to one batch of events."""

from __future__ import annotations

from collections.abc import Sequence

from hallproxy import interface as i
from hallproxy.decisions.attempts import AttemptStarter
from hallproxy.decisions.concurrency import ConcurrencyLimit
from hallproxy.decisions.context import DecisionContext
from hallproxy.decisions.endpoints import EndpointTable
from hallproxy.decisions.hashing import part_hash
from hallproxy.decisions.hedging import OverdueAttempts
from hallproxy.decisions.idempotency import IdempotencyRule
from hallproxy.decisions.latency import LatencyStatistics
from hallproxy.decisions.outliers import OutlierDetector
from hallproxy.decisions.placement import Placement
from hallproxy.decisions.purges import PurgeGuard
from hallproxy.decisions.queueing import RequestQueue
from hallproxy.decisions.requests import RoutedAttempt, RoutedRequest
from hallproxy.decisions.retries import ERRORS_MAX, RetryBudget
from hallproxy.decisions.settings import check_settings, gateways_in_zone
from hallproxy.decisions.slow_start import SlowStart
from hallproxy.decisions.status import StatusReporter
from hallproxy.decisions.timer import DecisionTimer
from hallproxy.decisions.units import MILLISECOND, SECOND
from hallproxy.decisions.valuation import Valuation, value_density

RETRY_AFTER = 200 * MILLISECOND  # ns; retry-after time in a rejection
RESPONSE_MARGIN = MILLISECOND  # ns; minimum time between the last possible answer and the client's disconnect

NOT_TRIED = (i.AttemptStatus.NOT_SENT, i.AttemptStatus.CANCELLED)  # these say nothing about endpoints
SOURCE_NOT_TRIED = (i.AttemptStatus.FULL, i.AttemptStatus.CONNECT_FAILED, i.AttemptStatus.RESET)
"""Statuses after which the source does not count as tried."""


class Router:
    """The decisions of one gateway; see ``hallproxy.interface`` for its use.

    A router sees only its own traffic. It does no I/O, reads no clock and draws random numbers from its seed.
    """

    def __init__(self, settings: i.Settings, seed: int) -> None:
        """Start without observations. Raises SettingsError for invalid settings."""
        check_settings(settings)
        self.context = context = DecisionContext(settings, gateways_in_zone(settings))
        self.requests: dict[int, RoutedRequest] = {}
        self.endpoints = EndpointTable(context, seed)
        self.latency = LatencyStatistics(context, self.endpoints)
        self.slow_start = SlowStart(context, self.latency)
        self.outliers = OutlierDetector(context, self.endpoints)
        self.concurrency = ConcurrencyLimit(context, self.endpoints)
        self.overdue = OverdueAttempts(context, self.latency, self.concurrency)
        self.valuation = Valuation(context, self.endpoints, self.latency, self.requests)
        self.retry_budget = RetryBudget(context.zone_gateways)
        self.idempotency = IdempotencyRule(context)
        self.purges = PurgeGuard(context)
        self.placement = Placement(context, self.endpoints, self.latency, self.slow_start, self.outliers)
        self.queue = RequestQueue(context, self.latency, self.requests)
        self.attempts = AttemptStarter(
            context,
            self.queue,
            self.placement,
            self.slow_start,
            self.concurrency,
            self.overdue,
            self.valuation,
            self.purges,
            self.idempotency,
        )
        self.timer = DecisionTimer(context, self.queue, self.overdue)
        self.status = StatusReporter(context, self.endpoints, self.slow_start, self.concurrency, self.queue)
        self.endpoints.assign_roles()

    def handle(self, now: int, events: Sequence[i.Event]) -> list[i.Action]:
        """Apply the events of one instant (ns) and return the actions for that instant, in order."""
        self.context.now = now
        actions: list[i.Action] = []
        self.context.actions = actions
        self._run_periodic_work()
        for event in events:
            self._apply(event)
        self._retry_queued()
        self._hedge_overdue()
        for entry in self.queue.expired():
            self._give_up(entry)
        self.timer.schedule(self.endpoints.poll_at)
        return actions

    def _apply(self, event: i.Event) -> None:
        """Pass one event to the rule that it concerns; events without a rule are ignored."""
        match event:
            case i.Request():
                self._admit(event)
            case i.ServedLocally():
                self.valuation.count(event.object)
            case i.AttemptEnded():
                self._attempt_ended(event)
            case i.EndpointsChanged():
                self.endpoints.apply(event)
            case i.ObjectPurged():
                self.purges.add(event)
            case i.SettingsChanged():
                self._change_settings(event.settings)
            case i.ClientDisconnected():
                self._finish(event.request_id)
            case i.StreamStarted() if event.request_id in self.requests:
                self.requests[event.request_id].streaming = True

    def _change_settings(self, settings: i.Settings) -> None:
        """Apply other settings from now on; observations and open requests are preserved."""
        check_settings(settings)
        self.context.settings = settings
        self.context.zone_gateways = gateways_in_zone(settings)
        self.retry_budget.resize(self.context.zone_gateways)
        self.slow_start.apply_settings()
        self.endpoints.assign_roles()

    def _run_periodic_work(self) -> None:
        """Run the time-driven work that is due, ahead of the events."""
        self.timer.clear_if_fired()
        self.valuation.age()
        self.latency.update_typical_slowness()
        self.status.report_if_due()
        self.endpoints.poll_if_due()

    # New requests

    def _admit(self, request: i.Request) -> None:
        """Start the first attempt, queue the request, or answer it at once if it cannot finish in time."""
        entry = self._new_entry(request)
        self.requests[request.id] = entry
        self.queue.add_deadline(entry)
        self.valuation.count(request.object)
        self.retry_budget.earn()
        entry.cache_gain = self.valuation.cache_gain(request)
        self.concurrency.recent_densities.add(entry.value_density)
        self.valuation.observe_request(entry)
        if not self.queue.can_finish_in_time(entry):
            self._give_up(entry)
        elif self.concurrency.is_at_limit(entry):
            if not self.attempts.start_lookup(entry):
                self.queue.enqueue(entry)
        elif not self.attempts.start(entry):
            self.queue.enqueue(entry)

    def _new_entry(self, request: i.Request) -> RoutedRequest:
        """Create the entry of a request, with its deadline, latency objective, hash and value density."""
        context = self.context
        request_class = context.settings.classes[request.class_index]
        sending_time = self.latency.observe_request(request)
        stretch = int(request_class.objective_stretch * sending_time * SECOND)
        return RoutedRequest(
            request,
            context.now,
            context.now + request.time_left - max(2 * context.settings.tick, RESPONSE_MARGIN),
            context.now + request_class.latency_objective + stretch,
            part_hash(request.object, request.part),
            value_density(request_class, sending_time),
        )

    # Ends of attempts and further attempts

    def _attempt_ended(self, event: i.AttemptEnded) -> None:
        """Learn from the end of an attempt; then finish its request or retry it where needed."""
        entry = self.requests.get(event.request_id)
        if entry is None or event.attempt not in entry.attempts:
            return
        attempt = entry.attempts.pop(event.attempt)
        for peer in attempt.endpoints():
            peer.in_flight -= 1
        self._observe_end(entry, attempt, event)
        if event.request_closed or entry.finished:
            self._finish(event.request_id)
        elif event.status is not i.AttemptStatus.OK and not entry.attempts:
            self._retry(entry, attempt, event.status)

    def _observe_end(self, entry: RoutedRequest, attempt: RoutedAttempt, event: i.AttemptEnded) -> None:
        """Let each rule learn from the end of an attempt."""
        if event.load:
            self.valuation.observe_load_report(event.endpoint, event.load)
        was_overdue = self.overdue.attempt_ended(event, attempt)
        if event.status not in NOT_TRIED and not entry.timed_out_before_objective(event):
            self.latency.observe_response(entry, attempt, event)
            self.outliers.observe(entry, attempt, event)
            self.valuation.observe_response(entry, event)
        if not was_overdue or event.status is not i.AttemptStatus.TIMEOUT:
            self.concurrency.observe(entry, event)
        self.idempotency.observe_end(entry, attempt, event.status)

    def _retry(self, entry: RoutedRequest, attempt: RoutedAttempt, status: i.AttemptStatus) -> None:
        """Start a further attempt within the budget, queue the request, or answer it."""
        if status in SOURCE_NOT_TRIED:
            entry.mark_source_untried(attempt)  # another source would fetch the part from the origin again
        lookup_missed = status is i.AttemptStatus.MISS and entry.lookup_only
        if lookup_missed or (status is i.AttemptStatus.FULL and self.concurrency.is_at_limit(entry)):
            entry.mark_cache_untried(attempt)  # it may have a copy, so it stays the first choice
            if self.concurrency.is_at_limit(entry) or not self.attempts.start(entry):
                self.queue.enqueue(entry)
            return
        if status is i.AttemptStatus.RESET and not entry.retried_after_reset:
            # Departure: the same cache has the part or is getting it. Costs one connect if it is down.
            entry.retried_after_reset = True
            entry.mark_cache_untried(attempt)
        may_retry = entry.error_count < ERRORS_MAX and self.retry_budget.has_token()
        if may_retry and self.attempts.start(entry):
            self.retry_budget.spend()
        else:
            self._give_up(entry)

    def _hedge_overdue(self) -> None:
        """Start hedges for overdue attempts, within the retry budget and the concurrency limit."""
        for entry, number in self.overdue.detect(self.requests):
            if not self.overdue.may_hedge(entry) or not self.retry_budget.has_token():
                continue
            if self.concurrency.is_at_limit(entry):
                continue
            attempt = entry.attempts[number]
            self.idempotency.observe_possible_execution(entry, attempt)
            entry.mark_cache_untried(attempt)
            entry.mark_source_untried(attempt)
            if self.attempts.start(entry):
                self.retry_budget.spend()

    def _retry_queued(self) -> None:
        """Try the queued requests again, highest value density first."""
        if not self.queue.queued:
            return
        waiting = self.queue.waiting()
        still_queued: list[RoutedRequest] = []
        for position, entry in enumerate(waiting):
            if self.concurrency.is_at_limit(entry):  # true then for all of lower density
                still_queued += waiting[position:]
                break
            if not self.attempts.start(entry):
                still_queued.append(entry)
        self.queue.replace(still_queued)

    # Final answers

    def _give_up(self, entry: RoutedRequest) -> None:
        """Answer a request that gets no further attempt: rejected where a repeat is safe, else failed."""
        request_id = entry.request.id
        if self.idempotency.may_reject(entry):
            retry_after = min(RETRY_AFTER, self.context.settings.max_retry_after)
            self.context.actions.append(i.Reject(request_id, retry_after))
        else:
            self.context.actions.append(i.Fail(request_id))
        self._finish(request_id)

    def _finish(self, request_id: int) -> None:
        """Mark a request finished; drop it, or cancel its attempts in flight."""
        entry = self.requests.get(request_id)
        if entry is None:
            return
        entry.finished = True
        if not entry.attempts:
            del self.requests[request_id]
        elif self.context.settings.cancellation and not entry.streaming:
            self.context.actions += [i.CancelAttempt(request_id, number) for number in entry.attempts]
