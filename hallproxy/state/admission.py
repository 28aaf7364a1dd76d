"""The broker's part in handling a request: admission, the queue, retry budgets and idempotency keys."""

from __future__ import annotations

from dataclasses import dataclass, replace

from hallproxy import interface as i
from hallproxy.broker.admission import AdmissionRequest, Rejection, RejectionReason, SlotGrant
from hallproxy.broker.broker import Broker
from hallproxy.broker.contracts import Contract
from hallproxy.broker.source_limit import AttemptOutcome
from hallproxy.state import caching, lifecycle
from hallproxy.state.effects import ScheduleTimer
from hallproxy.state.events import (
    ClientRequest,
    ContractsUpdated,
    FailureReason,
    QueueTimerDue,
    Response,
    ResponseKind,
)
from hallproxy.state.in_flight import Attempt, InFlightRequest
from hallproxy.state.model import GatewayState

FAILURE_REASONS = {
    RejectionReason.NO_CONTRACT: FailureReason.NO_CONTRACT,
    RejectionReason.FORBIDDEN_NETWORK: FailureReason.FORBIDDEN_NETWORK,
    RejectionReason.OVER_BUDGET: FailureReason.OVER_BUDGET,
    RejectionReason.TOO_MANY_IN_FLIGHT: FailureReason.TOO_MANY_IN_FLIGHT,
    RejectionReason.RETRY_BUDGET: FailureReason.RETRY_BUDGET,
    RejectionReason.FOREIGN_KEY: FailureReason.IDEMPOTENCY_KEY,
    RejectionReason.EXPIRED_KEY: FailureReason.IDEMPOTENCY_KEY,
    RejectionReason.OVERLOADED: FailureReason.OVERLOADED,
}
OVERLOAD_STATUSES = (
    i.AttemptStatus.FULL,
    i.AttemptStatus.TIMEOUT,
    i.AttemptStatus.CONNECT_FAILED,
    i.AttemptStatus.RESET,
    i.AttemptStatus.ERROR,
)


@dataclass(slots=True, frozen=True)
class Admission:
    """An admitted request, limited to the contract's deadline, and the contract that admits it."""

    request: ClientRequest
    contract: Contract


def update_contracts(state: GatewayState, event: ContractsUpdated) -> None:
    """Apply new contracts. If there are none, queued requests start at once."""
    if event.contracts is None:
        state.broker = None
        for in_flight in state.awaiting_response.values():
            if not in_flight.started:
                lifecycle.start(state, in_flight)
    elif state.broker is None:
        state.broker = Broker(event.contracts, state.now, state.limits.connections)
    else:
        state.broker.update_contracts(event.contracts, state.now)


def admission_request(state: GatewayState, request: ClientRequest) -> AdmissionRequest:
    """The request in the form that the broker takes."""
    cls = state.request_class(request)
    has_key = cls.idempotency is i.Idempotency.IDEMPOTENCY_KEY
    return AdmissionRequest(
        team=request.team,
        service=request.service,
        class_name=cls.name,
        time_left=request.time_left,
        latency_objective=state.latency_objective(request),
        class_index=request.class_index,
        size_kb=request.size_kb,
        is_retry=request.is_retry,
        idempotency_key=request.idempotency_key if has_key else "",
        client_address=request.client_address,
    )


def admit(state: GatewayState, broker: Broker, request: ClientRequest) -> Admission | Response:
    """Admit the request under a contract, or return the response that rejects it."""
    decision = broker.admit(admission_request(state, request), state.now)
    if isinstance(decision, Rejection):
        return _rejection_response(decision)
    time_left = min(request.time_left, decision.deadline or request.time_left)
    return Admission(replace(request, time_left=time_left), decision)


def _rejection_response(rejection: Rejection) -> Response:
    # With an expired key an earlier attempt may have executed; a rejection would mean that a retry is safe.
    expired_key = rejection.reason is RejectionReason.EXPIRED_KEY
    kind = ResponseKind.FAILED if expired_key else ResponseKind.REJECTED
    return Response(kind, retry_after=rejection.retry_after, reason=FAILURE_REASONS[rejection.reason])


def acquire_slot(
    state: GatewayState, broker: Broker, in_flight: InFlightRequest, contract: Contract
) -> SlotGrant | Response:
    """Acquire a slot or queue the request; return a response if it cannot be served in time."""
    request = in_flight.request
    demand = admission_request(state, request)
    grant = broker.acquire(in_flight.id, demand, contract, state.now)
    if isinstance(grant, Rejection):
        # A local entry is preferred to a rejection, even if it is stale or the uplink is busy.
        local = caching.cached_response(state, request, request.time_left, on_error=True)
        if local is None:
            return _rejection_response(grant)
        record_served_locally(state, broker, contract, local)
        return local
    if grant is SlotGrant.QUEUED:
        deadline = state.now + broker.max_queue_time(demand)
        state.effects.append(ScheduleTimer(QueueTimerDue(deadline, in_flight.id)))
    return grant


def record_served_locally(
    state: GatewayState, broker: Broker, contract: Contract, response: Response
) -> None:
    """Count a response from the local cache towards the contract."""
    broker.served_from_cache(contract, len(response.body), state.now)


def start_queued(state: GatewayState) -> bool:
    """Start the queued requests that have a slot now; return whether there were any."""
    broker = state.broker
    any_started = False
    while broker is not None and (request_id := broker.dequeue(state.now)) is not None:
        in_flight = state.requests.get(request_id)
        if in_flight is not None and not in_flight.answered:
            lifecycle.start(state, in_flight)
            any_started = True
    return any_started


def queue_timer_due(state: GatewayState, event: QueueTimerDue) -> None:
    """Answer a request that is still queued and can no longer be served in time."""
    in_flight = state.requests.get(event.request)
    if state.broker is None or in_flight is None or in_flight.answered:
        return
    if not state.broker.is_queued(in_flight.id):
        return
    rejection = _rejection_response(state.broker.reject_queued(in_flight.id, state.now))
    time_left = in_flight.time_left(state.now)
    local = caching.cached_response(state, in_flight.request, time_left, on_error=True)
    lifecycle.respond(state, in_flight, local or rejection)


def end_without_retry(state: GatewayState, in_flight: InFlightRequest, reason: FailureReason) -> None:
    """Answer a request that may not be retried, unless another attempt is in flight."""
    if in_flight.answered or len(in_flight.attempts) > 1:
        return
    request = in_flight.request
    idempotent = state.request_class(request).idempotency is i.Idempotency.IDEMPOTENT
    kind = ResponseKind.REJECTED if idempotent else ResponseKind.FAILED
    retry_after = lifecycle.BUSY_RETRY_AFTER if idempotent else 0
    local = caching.cached_response(state, request, in_flight.time_left(state.now), on_error=True)
    response = local or Response(kind, reason=reason, retry_after=retry_after)
    lifecycle.respond(state, in_flight, response)


def may_send_key(state: GatewayState, broker: Broker, request: ClientRequest) -> bool:
    """Whether the request's idempotency key may be sent now.

    The key's window runs from the first attempt with it that may have executed.
    """
    cls = state.request_class(request)
    if cls.idempotency is not i.Idempotency.IDEMPOTENCY_KEY or not request.idempotency_key:
        return True
    return broker.idempotency_keys.attempt_sent(
        request.team, request.idempotency_key, cls.idempotency_window, state.now
    )


def attempt_ended(
    state: GatewayState,
    broker: Broker,
    request: ClientRequest,
    attempt: Attempt,
    status: i.AttemptStatus,
) -> None:
    """Report an attempt's end to the concurrency limit of its endpoint, and to the idempotency keys."""
    if attempt.counted_by_broker:
        duration = state.now - attempt.started_at
        outcome = _attempt_outcome(state.request_class(request), status, duration)
        broker.attempt_ended(attempt.action.endpoint, attempt.request_id, duration, outcome, state.now)
    if attempt.written and status in i.PROVES_NOT_EXECUTED:
        undo_key_attempt(state, broker, request, attempt)


def undo_key_attempt(state: GatewayState, broker: Broker, request: ClientRequest, attempt: Attempt) -> None:
    """Undo what ``may_send_key`` recorded for a written attempt that did not execute."""
    cls = state.request_class(request)
    if cls.idempotency is i.Idempotency.IDEMPOTENCY_KEY and request.idempotency_key:
        broker.idempotency_keys.attempt_never_ran(request.team, request.idempotency_key, attempt.written_at)


def _attempt_outcome(request_class: i.RequestClass, status: i.AttemptStatus, duration: int) -> AttemptOutcome:
    """What the end of an attempt after ``duration`` (ns) says about the endpoint's load."""
    if status in (i.AttemptStatus.OK, i.AttemptStatus.MISS):
        return AttemptOutcome.SUCCEEDED
    if status is i.AttemptStatus.TIMEOUT and duration < request_class.latency_objective // 2:
        return AttemptOutcome.INCONCLUSIVE  # the client's deadline was too short from the start
    return AttemptOutcome.LOST if status in OVERLOAD_STATUSES else AttemptOutcome.INCONCLUSIVE
