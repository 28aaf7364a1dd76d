"""The lifecycle of every request: submitted to the router, answered once, removed."""

from __future__ import annotations

from hallproxy import interface as i
from hallproxy.broker.admission import RequestOutcome
from hallproxy.state.effects import SendResponse
from hallproxy.state.events import FailureReason, Response, ResponseKind
from hallproxy.state.in_flight import InFlightRequest
from hallproxy.state.model import GatewayState
from hallproxy.state.units import MS

BUSY_RETRY_AFTER = 200 * MS  # sent to clients when too many requests are in flight
BUSY = Response(ResponseKind.REJECTED, retry_after=BUSY_RETRY_AFTER, reason=FailureReason.BUSY)
OUTCOMES = {
    ResponseKind.SERVED: RequestOutcome.SERVED,
    ResponseKind.REJECTED: RequestOutcome.REJECTED,
    ResponseKind.FAILED: RequestOutcome.FAILED,
}


def start(state: GatewayState, in_flight: InFlightRequest) -> None:
    """Start a request that has its slot, in the file cache or else in the router."""
    if state.file_cache is not None and state.file_cache.lookup(in_flight):
        in_flight.started = True
    else:
        submit(state, in_flight)


def submit(state: GatewayState, in_flight: InFlightRequest) -> None:
    """Submit the request to the router."""
    request = in_flight.request
    in_flight.started = True
    state.pending_events.append(
        i.Request(
            in_flight.id,
            request.class_index,
            in_flight.time_left(state.now),
            request.object,
            request.part,
            request.group,
            request.size_kb,
            is_retry=request.is_retry,
            is_write=request.is_write,
            allowed_endpoints=request.allowed_endpoints,
        )
    )


def respond(state: GatewayState, in_flight: InFlightRequest, response: Response) -> None:
    """Send the final response, unless the request is already answered."""
    if in_flight.answered:
        return
    in_flight.answered = True
    # The entry is missing if the client disconnected while others waited for the same bytes.
    state.awaiting_response.pop(in_flight.downstream, None)
    if state.broker is not None:
        size = response.size or len(response.body)
        outcome = OUTCOMES[response.kind]
        state.broker.release(in_flight.id, outcome, state.now, reason=response.reason, size=size)
    state.effects.append(SendResponse(in_flight.downstream, response))
    remove_if_finished(state, in_flight)
    if state.file_cache is not None:
        state.file_cache.finished(in_flight, response)


def remove_if_finished(state: GatewayState, in_flight: InFlightRequest) -> None:
    """Remove the request once it is answered and has no attempt in flight."""
    if in_flight.answered and not in_flight.attempts:
        request = in_flight.request
        if state.requests.pop(in_flight.id, None) is None:
            return  # already removed
        state.request_ids.discard(request.request_id)
        idempotency = state.settings.classes[request.class_index].idempotency
        executed = in_flight.first_executed_at and idempotency is not i.Idempotency.IDEMPOTENT
        if executed and request.request_id:
            state.executed_requests.add(request.request_id)
