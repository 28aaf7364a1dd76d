"""Attempts: started by the router, sent once a connection is open, and finished in one place."""

from __future__ import annotations

from dataclasses import replace

from hallproxy import interface as i
from hallproxy.state import admission, caching, connection_pool, lifecycle
from hallproxy.state.effects import ScheduleTimer, SendRequest, UpstreamRequest
from hallproxy.state.events import (
    AttemptResult,
    AttemptTimerDue,
    FailureReason,
    Response,
    ResponseKind,
)
from hallproxy.state.in_flight import Attempt, InFlightRequest, UpstreamConnection
from hallproxy.state.model import GatewayState
from hallproxy.state.units import MS

IDEMPOTENCY_MARGIN = 2 * MS  # an idempotency key is not resent this close to the end of its window
PURGE_MARGIN = 2 * MS  # by which a copy must be younger than a purge
MIN_MAX_AGE = MS  # 0 would mean any age
FAILURE_REASONS = {
    i.AttemptStatus.OK: FailureReason.NONE,
    i.AttemptStatus.ERROR: FailureReason.ERROR,
    i.AttemptStatus.FULL: FailureReason.BUSY,
    i.AttemptStatus.TIMEOUT: FailureReason.TIMEOUT,
    i.AttemptStatus.CONNECT_FAILED: FailureReason.UNREACHABLE,
    i.AttemptStatus.RESET: FailureReason.CONNECTION_RESET,
    i.AttemptStatus.CANCELLED: FailureReason.TIMEOUT,
    i.AttemptStatus.NOT_SENT: FailureReason.BUSY,
    i.AttemptStatus.MISS: FailureReason.NOT_FOUND,
}


def start(state: GatewayState, action: i.StartAttempt) -> None:
    """Start an attempt: on an idle connection at once, else on a new one."""
    in_flight = state.requests.get(action.request_id)
    if in_flight is None:
        return
    attempt = _new_attempt(state, in_flight, action)
    if in_flight.answered or not _are_ready(state, action):
        finish(state, attempt, i.AttemptStatus.NOT_SENT)
        return
    if state.broker is not None:
        if in_flight.any_written and not state.broker.try_retry(in_flight.id, state.now):
            # The retry budget only prevents new attempts: one that is in flight continues.
            admission.end_without_retry(state, in_flight, in_flight.failure_reason)
            finish(state, attempt, i.AttemptStatus.NOT_SENT)
            return
        state.broker.attempt_started(action.endpoint, state.now)
        attempt.counted_by_broker = True
    state.effects.append(ScheduleTimer(AttemptTimerDue(attempt.deadline, attempt.id)))
    connection = connection_pool.take_idle(state, attempt)
    if connection is not None:
        send(state, connection, attempt)
    else:
        connect(state, attempt)


def _new_attempt(state: GatewayState, in_flight: InFlightRequest, action: i.StartAttempt) -> Attempt:
    attempt = Attempt(
        state.next_id(),
        in_flight.id,
        in_flight.attempt_count,
        action,
        state.now,
        state.now + action.timeout,
        state.endpoints.process(action.endpoint),
        state.endpoints.process(action.source),
    )
    in_flight.attempts[attempt.number] = attempt
    state.attempts[attempt.id] = attempt
    in_flight.attempt_count += 1
    return attempt


def _are_ready(state: GatewayState, action: i.StartAttempt) -> bool:
    return state.endpoints.is_ready(action.endpoint) and state.endpoints.is_ready(action.source)


def connect(state: GatewayState, attempt: Attempt) -> None:
    """Open a connection for the attempt."""
    # The client may have disconnected, or another attempt may have answered the request.
    answered = state.requests[attempt.request_id].answered
    if answered or not connection_pool.open_connection(state, attempt):
        finish(state, attempt, i.AttemptStatus.NOT_SENT)


def send(state: GatewayState, connection: UpstreamConnection, attempt: Attempt) -> None:
    """Send the attempt on the open connection, if it may still be sent.

    Drains and purges that were notified while it was connecting, after the router's decision, apply.
    """
    in_flight = state.requests[attempt.request_id]
    if not _may_send(state, in_flight, attempt):
        connection_pool.release(state, connection, reusable=True)
        finish(state, attempt, i.AttemptStatus.NOT_SENT)
        return
    max_age, flags = _freshness(state, in_flight, attempt)
    if state.broker is not None and not admission.may_send_key(state, state.broker, in_flight.request):
        connection_pool.release(state, connection, reusable=True)
        admission.end_without_retry(state, in_flight, FailureReason.IDEMPOTENCY_KEY)
        finish(state, attempt, i.AttemptStatus.NOT_SENT)
        return
    attempt.written = in_flight.any_written = True
    attempt.written_at = state.now
    attempt.validator = caching.validator(state, in_flight.request)
    upstream_request = _upstream_request(state, in_flight, attempt, max_age, flags)
    state.effects.append(SendRequest(connection.id, upstream_request))


def withdraw(state: GatewayState, attempt: Attempt) -> None:
    """Mark the attempt as not written, as none of its bytes were sent: it may be sent elsewhere."""
    if attempt.written and state.broker is not None:
        admission.undo_key_attempt(state, state.broker, state.requests[attempt.request_id].request, attempt)
    attempt.written = False


def _may_send(state: GatewayState, in_flight: InFlightRequest, attempt: Attempt) -> bool:
    """Whether the decision that started the attempt still holds."""
    action = attempt.action
    if in_flight.answered or attempt.deadline <= state.now or not _are_ready(state, action):
        return False
    # A process that started meanwhile is warming up, which the router has not considered.
    same_processes = (
        state.endpoints.process(action.endpoint) == attempt.endpoint_process
        and state.endpoints.process(action.source) == attempt.source_process
    )
    return same_processes and _may_execute(state, in_flight)


def _may_execute(state: GatewayState, in_flight: InFlightRequest) -> bool:
    """Whether an attempt may be written, given the request's other attempts that may have executed.

    The router has checked that at its decision, but connecting may have taken until after the key's window.
    """
    cls = state.request_class(in_flight.request)
    if cls.idempotency is i.Idempotency.IDEMPOTENT:
        return True
    written = [attempt.written_at for attempt in in_flight.attempts.values() if attempt.written]
    if in_flight.first_executed_at:
        written.append(in_flight.first_executed_at)
    if not written:
        return True
    if cls.idempotency is not i.Idempotency.IDEMPOTENCY_KEY:
        return False
    return state.now - min(written) < cls.idempotency_window - IDEMPOTENCY_MARGIN


def _freshness(state: GatewayState, in_flight: InFlightRequest, attempt: Attempt) -> tuple[int, i.FetchFlags]:
    """The age limit (ns) and flags to send: stricter than the router's for purges that it did not know."""
    action, request = attempt.action, in_flight.request
    max_age, flags = action.max_age, i.FetchFlags(action.flags)
    age_counted_from = state.purges.age_counted_from(request.object, request.group)
    purged_recently = age_counted_from > attempt.started_at - state.settings.purge_duration
    if not purged_recently or state.now <= attempt.started_at:
        age_counted_from = 0
    if state.watch.cut_off_at:
        age_counted_from = max(age_counted_from, _missed_purge(state))
    if not age_counted_from:
        return max_age, flags
    since_purge = max(MIN_MAX_AGE, state.now - age_counted_from - PURGE_MARGIN)
    max_age = min(max_age or since_purge, since_purge)
    fresh_for = state.request_class(request).fresh_for
    if fresh_for:
        max_age = min(max_age, fresh_for)
    return max_age, flags & ~(i.FetchFlags.JOIN | i.FetchFlags.REVALIDATE)


def _missed_purge(state: GatewayState) -> int:
    """From when (ns) ages are counted for purges that count as notified though they were cut off; 0: none."""
    missed_until = state.watch.missed_changes_until(state.now)
    duration = state.settings.purge_duration
    executed_everywhere = duration and state.now - missed_until >= duration
    return 0 if executed_everywhere else missed_until


def _upstream_request(
    state: GatewayState, in_flight: InFlightRequest, attempt: Attempt, max_age: int, flags: i.FetchFlags
) -> UpstreamRequest:
    request, action = in_flight.request, attempt.action
    return UpstreamRequest(
        request_id=request.request_id,
        class_index=request.class_index,
        name=request.name,
        part=request.part,
        time_budget=attempt.deadline - state.now,
        idempotency_key=request.idempotency_key,
        client_etag=request.client_etag,
        body=request.body,
        is_write=request.is_write,
        source="" if action.source == action.endpoint else action.source.decode(),
        cache_rank=action.cache_rank,
        max_age=max_age,
        join=bool(flags & i.FetchFlags.JOIN),
        cached_only=bool(flags & i.FetchFlags.CACHED_ONLY),
        no_parent_copy=bool(flags & i.FetchFlags.NO_PARENT_COPY),
        revalidate=bool(flags & i.FetchFlags.REVALIDATE),
        digest=request.digest,
        validator=attempt.validator,
        object=request.object,
    )


def cancel(state: GatewayState, action: i.CancelAttempt) -> None:
    """Cancel the attempt, as the router decided."""
    in_flight = state.requests.get(action.request_id)
    attempt = in_flight.attempts.get(action.attempt) if in_flight is not None else None
    if attempt is not None:
        abandon(state, attempt, i.AttemptStatus.CANCELLED)


def timer_due(state: GatewayState, event: AttemptTimerDue) -> None:
    """End the attempt at its deadline."""
    attempt = state.attempts.get(event.attempt)
    if attempt is not None:
        status = i.AttemptStatus.TIMEOUT if attempt.written else i.AttemptStatus.CONNECT_FAILED
        abandon(state, attempt, status)


def abandon(state: GatewayState, attempt: Attempt, status: i.AttemptStatus) -> None:
    """End an attempt without its response: its connection closes, which cancels it at the endpoint."""
    connection = state.connections.get(attempt.connection_id)
    if connection is not None and connection.attempt is attempt:
        connection_pool.close(state, connection)
    finish(state, attempt, status)


def finish(
    state: GatewayState, attempt: Attempt, status: i.AttemptStatus, result: AttemptResult | None = None
) -> None:
    """Remove an ended attempt. The first success answers its request; the router is notified of each end."""
    del state.attempts[attempt.id]
    in_flight = state.requests[attempt.request_id]
    del in_flight.attempts[attempt.number]
    if attempt.written and status not in i.PROVES_NOT_EXECUTED:
        in_flight.first_executed_at = min(
            attempt.written_at, in_flight.first_executed_at or attempt.written_at
        )
    if state.broker is not None:
        admission.attempt_ended(state, state.broker, in_flight.request, attempt, status)
    if status is i.AttemptStatus.OK and result is not None:
        _succeeded(state, in_flight, attempt, result)
    else:
        reason = result.reason if result is not None else FailureReason.NONE
        if reason is FailureReason.NONE:
            reason = FAILURE_REASONS[status]
        _failed(state, in_flight, attempt, reason)
    ended = i.AttemptEnded(
        in_flight.id,
        attempt.number,
        attempt.action.endpoint,
        status,
        state.now - attempt.started_at,
        in_flight.answered,
        load=result.load if result is not None else (),
    )
    state.pending_events.append(ended)
    lifecycle.remove_if_finished(state, in_flight)


def _succeeded(
    state: GatewayState, in_flight: InFlightRequest, attempt: Attempt, result: AttemptResult
) -> None:
    response = Response(
        ResponseKind.SERVED,
        result.body,
        result.not_modified,
        etag=result.etag,
        generated_at=result.generated_at,
    )
    if result.stored_file:
        response = replace(response, stored_file=result.stored_file, size=result.size)
    lifecycle.respond(state, in_flight, response)
    caching.store(state, in_flight, attempt, result)
    if state.file_cache is not None and attempt.action.cache_rank and not result.not_modified:
        state.file_cache.store(in_flight, result.body)


def _failed(state: GatewayState, in_flight: InFlightRequest, attempt: Attempt, reason: FailureReason) -> None:
    request = in_flight.request
    in_flight.failure_reason = reason
    if reason is FailureReason.NOT_FOUND:
        caching.record_not_found(state, request, attempt.started_at)
    if request.digest and reason in (FailureReason.NOT_FOUND, FailureReason.REPLACED):
        # The cached index that named these bytes is outdated, and would name them again.
        caching.drop_object(state, request)
