"""Handlers of request events: received, abandoned by the client, timed out, ended by the router."""

from __future__ import annotations

from dataclasses import replace

from hallproxy import interface as i
from hallproxy.broker.admission import RequestOutcome, SlotGrant
from hallproxy.broker.contracts import Contract
from hallproxy.state import admission, caching, lifecycle
from hallproxy.state.effects import ScheduleTimer, SendResponse
from hallproxy.state.events import (
    ClientRequest,
    DownstreamClosed,
    FailureReason,
    RequestReceived,
    RequestTimerDue,
    Response,
    ResponseKind,
    ShutdownStarted,
)
from hallproxy.state.in_flight import InFlightRequest
from hallproxy.state.model import GatewayState

LOCAL_OBJECTIVE_SHARE = 0.4  # a local response must be sent in this share of the latency objective
DUPLICATE_ID = Response(ResponseKind.FAILED, reason=FailureReason.ERROR)
KNOWN_NOT_FOUND = Response(ResponseKind.FAILED, reason=FailureReason.NOT_FOUND)


def receive(state: GatewayState, event: RequestReceived) -> None:
    """Handle a client's request: answer it at once, queue it or start it."""
    response = _answer_or_open(state, event)
    if response is not None:
        state.effects.append(SendResponse(event.downstream, response))


def _answer_or_open(state: GatewayState, event: RequestReceived) -> Response | None:
    """The immediate response; None: the request is in flight now."""
    request, contract = event.request, None
    if state.rejects_new:
        # The process is about to end. Nothing has executed, so the client may retry elsewhere at once.
        return lifecycle.BUSY
    if state.shutdown_deadline:
        time_left = max(0, min(request.time_left, state.shutdown_deadline - state.now))
        request = replace(request, time_left=time_left)
    if state.broker is not None:
        admitted = admission.admit(state, state.broker, request)
        if isinstance(admitted, Response):
            return admitted
        request, contract = admitted.request, admitted.contract
    if len(state.awaiting_response) >= state.limits.requests:
        return lifecycle.BUSY
    request_id = request.request_id
    if request_id and (request_id in state.request_ids or request_id in state.executed_requests.ids):
        # Ids must be unique: endpoints would mistake the second request for the first, or execute it twice.
        return DUPLICATE_ID
    response = _local_response(state, request, contract)
    if response is not None:
        return response
    return _open(state, event.downstream, request, contract)


def _local_response(
    state: GatewayState, request: ClientRequest, contract: Contract | None
) -> Response | None:
    """The response from the local or the negative cache."""
    response = caching.cached_response(state, request, request.time_left, LOCAL_OBJECTIVE_SHARE)
    if response is not None:
        if state.broker is not None and contract is not None:
            admission.record_served_locally(state, state.broker, contract, response)
        state.pending_events.append(i.ServedLocally(request.object))
        return response
    return KNOWN_NOT_FOUND if caching.is_known_not_found(state, request) else None


def _open(
    state: GatewayState, downstream: int, request: ClientRequest, contract: Contract | None
) -> Response | None:
    """Put the request in flight, queued or started; the response if the broker has no slot for it."""
    in_flight = InFlightRequest(state.next_id(), downstream, request, state.now)
    grant = None
    if state.broker is not None and contract is not None:
        grant = admission.acquire_slot(state, state.broker, in_flight, contract)
        if isinstance(grant, Response):
            return grant
    state.request_ids.add(request.request_id)
    state.requests[in_flight.id] = in_flight
    state.awaiting_response[downstream] = in_flight
    state.effects.append(ScheduleTimer(RequestTimerDue(state.now + request.time_left, in_flight.id)))
    if grant is not SlotGrant.QUEUED:
        lifecycle.start(state, in_flight)
    return None


def downstream_closed(state: GatewayState, event: DownstreamClosed) -> None:
    """The client has disconnected: it needs no response, and its attempts are cancelled by the router."""
    in_flight = state.awaiting_response.pop(event.downstream, None)
    if in_flight is None:
        return
    if state.file_cache is not None and state.file_cache.downstream_closed(in_flight):
        return  # others wait for the same bytes
    in_flight.answered = True
    if state.broker is not None:
        state.broker.release(in_flight.id, RequestOutcome.DISCONNECTED, state.now)
    state.pending_events.append(i.ClientDisconnected(in_flight.id))
    lifecycle.remove_if_finished(state, in_flight)


def start_shutdown(state: GatewayState, event: ShutdownStarted) -> None:
    """Bound all requests by the shutdown deadline, so that none is in flight when the process is killed."""
    if not state.shutdown_deadline:
        for in_flight in state.awaiting_response.values():
            if in_flight.received_at + in_flight.request.time_left > event.deadline:
                state.effects.append(ScheduleTimer(RequestTimerDue(event.deadline, in_flight.id)))
    state.shutdown_deadline, state.rejects_new = event.deadline, event.rejects_new


def timer_due(state: GatewayState, event: RequestTimerDue) -> None:
    """End the request at its deadline. The router always answers earlier, unless it failed on the request."""
    in_flight = state.requests.get(event.request)
    if in_flight is not None and not in_flight.answered:
        lifecycle.respond(state, in_flight, Response(ResponseKind.FAILED, reason=FailureReason.TIMEOUT))
        state.pending_events.append(i.ClientDisconnected(in_flight.id))


def reject(state: GatewayState, action: i.Reject) -> None:
    """The router rejects the request."""
    _give_up(state, action.request_id, ResponseKind.REJECTED, action.retry_after)


def fail(state: GatewayState, action: i.Fail) -> None:
    """The router ends the request as failed."""
    _give_up(state, action.request_id, ResponseKind.FAILED, 0)


def _give_up(state: GatewayState, request_id: int, kind: ResponseKind, retry_after: int) -> None:
    """Answer a request that the router gave up, from the local cache if possible."""
    in_flight = state.requests.get(request_id)
    if in_flight is None or in_flight.answered:
        return
    # With an attempt in flight the request has run out of time; else the last attempt has the reason.
    reason = FailureReason.TIMEOUT if in_flight.attempts else in_flight.failure_reason
    if reason is FailureReason.NONE:
        reason = FailureReason.BUSY
    # "Not found" is not an error: a stale entry must not hide it.
    on_error = reason not in (FailureReason.NOT_FOUND, FailureReason.REPLACED)
    time_left = in_flight.time_left(state.now)
    local = caching.cached_response(state, in_flight.request, time_left, on_error=on_error)
    response = local or Response(kind, retry_after=retry_after, reason=reason)
    lifecycle.respond(state, in_flight, response)
