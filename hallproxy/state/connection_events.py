"""Handlers of upstream connection events, and their effect on the attempts that the connections carry."""

from __future__ import annotations

from hallproxy import interface as i
from hallproxy.state import attempts, caching, connection_pool
from hallproxy.state.effects import ScheduleTimer
from hallproxy.state.events import (
    AttemptResult,
    ConnectionClosed,
    ConnectionOpened,
    ConnectionTimerDue,
    FailureReason,
    ResponseReceived,
)
from hallproxy.state.in_flight import Attempt
from hallproxy.state.model import GatewayState


def opened(state: GatewayState, event: ConnectionOpened) -> None:
    """Send the attempt that waits for the connection."""
    connection = state.connections.get(event.connection)
    if connection is None or connection.is_open:
        return
    connection.is_open = True
    connection_pool.record_activity(state, connection.endpoint)
    if connection.attempt is not None:
        attempts.send(state, connection, connection.attempt)


def response_received(state: GatewayState, event: ResponseReceived) -> None:
    """Finish the attempt that the connection carries with the endpoint's response."""
    connection = state.connections.get(event.connection)
    if state.file_cache is not None and event.result.stored_file:
        state.file_cache.adopt(event.result)
    if connection is None:
        return
    attempt = connection.attempt
    connection_pool.record_activity(state, connection.endpoint)
    # After an unsolicited response, the next one would be matched to the wrong request.
    connection_pool.release(state, connection, event.reusable and attempt is not None)
    if attempt is not None:
        result = _checked(state, attempt, event.result)
        attempts.finish(state, attempt, result.status, result)


def _checked(state: GatewayState, attempt: Attempt, result: AttemptResult) -> AttemptResult:
    """The result after revalidation and the check against purges received meanwhile."""
    request = state.requests[attempt.request_id].request
    if result.revalidated:
        result = caching.revalidated(state, request, attempt.validator, result)
    if result.status is not i.AttemptStatus.OK or not state.strict_purges:
        return result
    if result.generated_at > state.purges.purged_at(request.object, request.group):
        return result
    # Generated before a purge notified meanwhile, or from an intermediate cache: it is requested again.
    if state.file_cache is not None and result.stored_file:
        state.file_cache.discard(result.stored_file)
    return AttemptResult(i.AttemptStatus.MISS, reason=FailureReason.BUSY)


def closed(state: GatewayState, event: ConnectionClosed) -> None:
    """Finish the attempt that the connection carried, or connect again for it."""
    _close(state, event.connection, event.unused, event.out_of_descriptors)


def _close(
    state: GatewayState, connection_id: int, unused: bool = False, out_of_descriptors: bool = False
) -> None:
    """A failed connect proves that nothing executed; a reset after the first byte proves nothing."""
    connection = state.connections.get(connection_id)
    if connection is None:
        return
    attempt, was_open = connection.attempt, connection.is_open
    connection_pool.close(state, connection)
    if attempt is None:
        return
    if out_of_descriptors and not connection_pool.close_longest_idle(state):
        attempts.finish(state, attempt, i.AttemptStatus.NOT_SENT)
    elif (unused or out_of_descriptors) and state.endpoints.is_ready(connection.endpoint):
        # The endpoint itself may be healthy: only its idle connection was not.
        attempts.withdraw(state, attempt)
        attempts.connect(state, attempt)
    else:
        was_used = was_open and not unused
        status = i.AttemptStatus.RESET if was_used else i.AttemptStatus.CONNECT_FAILED
        attempts.finish(state, attempt, status)


def timer_due(state: GatewayState, event: ConnectionTimerDue) -> None:
    """Close a connection that did not open in time or has been idle for too long."""
    connection = state.connections.get(event.connection)
    if connection is None:
        return
    if not connection.is_open:
        _reset_attempts_if_unresponsive(state, connection.endpoint)
        _close(state, connection.id)
        return
    # Each connection has a single timer, which is rescheduled only here.
    time_left = state.limits.idle_timeout
    if connection.attempt is None:
        time_left += connection.idle_since - state.now
        if time_left <= 0:
            connection_pool.close(state, connection)
            return
    state.effects.append(ScheduleTimer(ConnectionTimerDue(state.now + time_left, connection.id)))


def _reset_attempts_if_unresponsive(state: GatewayState, endpoint: bytes) -> None:
    """Reset attempts after a connect timeout if nothing else was received from the endpoint meanwhile.

    Its machine has vanished then: its open connections stay silent, and attempts on them would wait for
    their whole timeouts. Requests that are not idempotent wait all the same: nothing proves that they did
    not execute.
    """
    since = state.now - state.settings.connect_timeout
    if state.last_heard_at.get(endpoint, 0) > since:
        return
    for attempt in list(state.attempts.values()):
        if attempt.action.endpoint != endpoint or not attempt.written or attempt.started_at > since:
            continue
        request = state.requests[attempt.request_id].request
        if state.request_class(request).idempotency is not i.Idempotency.NOT_IDEMPOTENT:
            attempts.abandon(state, attempt, i.AttemptStatus.RESET)
