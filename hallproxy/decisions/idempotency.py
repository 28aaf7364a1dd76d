"""Whether a request may run again, or may be rejected, without its effect happening twice."""

from __future__ import annotations

from hallproxy.decisions.context import DecisionContext
from hallproxy.decisions.endpoint_statistics import EndpointStatistics
from hallproxy.decisions.requests import PossibleExecution, RoutedAttempt, RoutedRequest
from hallproxy.decisions.units import MILLISECOND
from hallproxy.interface import PROVES_NOT_EXECUTED, AttemptStatus, Endpoint, Idempotency, Scope


class IdempotencyRule:
    """Allows or denies a further attempt, or a rejection, by the request's class."""

    def __init__(self, context: DecisionContext) -> None:
        self._context = context

    def may_run_at(self, entry: RoutedRequest, peer: EndpointStatistics) -> bool:
        """Return whether the class allows one more attempt at this endpoint.

        A request with a key may run again only while the endpoints of the key's scope still remember it.
        """
        context, execution = self._context, entry.possible_execution
        request_class = context.settings.classes[entry.request.class_index]
        if execution is None or request_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        if request_class.idempotency is not Idempotency.IDEMPOTENCY_KEY:
            return False
        remembered_for = request_class.idempotency_window - max(context.settings.tick, MILLISECOND)
        if context.now - execution.started_at >= remembered_for:
            return False
        scope = request_class.idempotency_scope
        return _scope_of(execution.endpoint, scope) == _scope_of(peer.endpoint, scope)

    def may_reject(self, entry: RoutedRequest) -> bool:
        """Return whether a rejection is correct: the client may safely repeat the request."""
        request_class = self._context.settings.classes[entry.request.class_index]
        if request_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        if entry.possible_execution is None and not entry.attempts:
            return True
        has_key = request_class.idempotency is Idempotency.IDEMPOTENCY_KEY
        return has_key and request_class.idempotency_scope is Scope.ALL

    def observe_end(self, entry: RoutedRequest, attempt: RoutedAttempt, status: AttemptStatus) -> None:
        """Record that an attempt may have run, unless its status proves that it did not."""
        if status not in PROVES_NOT_EXECUTED:
            self.observe_possible_execution(entry, attempt)

    def observe_possible_execution(self, entry: RoutedRequest, attempt: RoutedAttempt) -> None:
        """Record the first attempt that may have run."""
        if entry.possible_execution is None:
            entry.possible_execution = PossibleExecution(attempt.cache.endpoint, attempt.started_at)


def _scope_of(endpoint: Endpoint, scope: Scope) -> object:
    """Return what endpoints that share their keys have in common."""
    if scope is Scope.CELL:
        return endpoint.zone, endpoint.cell
    return endpoint.zone if scope is Scope.ZONE else None
