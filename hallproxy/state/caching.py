"""The local and the negative cache: lookups, admissions and revalidation for requests."""

from __future__ import annotations

from dataclasses import replace

from hallproxy import interface as i
from hallproxy.state.events import AttemptResult, ClientRequest, FailureReason, Response, ResponseKind
from hallproxy.state.in_flight import Attempt, InFlightRequest
from hallproxy.state.local_cache import CacheKey, LocalCacheEntry
from hallproxy.state.model import GatewayState
from hallproxy.state.units import MS

AGE_MARGIN = 50 * MS  # an entry counts as stale this long before its freshness lifetime ends
NOT_MODIFIED_DIVISOR = 20  # a "not modified" response counts as the body's bytes divided by this


def cached_response(
    state: GatewayState,
    request: ClientRequest,
    time_left: int,
    objective_share: float = 1.0,
    on_error: bool = False,
) -> Response | None:
    """The response from the local cache, if there is a usable entry and the uplink can send it in time.

    In time is within ``time_left`` (ns) and within ``objective_share`` of the latency objective.
    ``on_error``: the alternative is an error, so a stale entry is served within its grace, but never one
    generated before a purge.
    """
    if state.watch.may_have_missed_changes(state.now):
        # Endpoints carry out purges on their own; an entry here would outlive a purge that was missed.
        return None
    entry = _usable_entry(state, request, on_error)
    if entry is None:
        return None
    not_modified = bool(entry.etag) and entry.etag == request.client_etag
    size = len(entry.body) // NOT_MODIFIED_DIVISOR if not_modified else len(entry.body)
    duration = state.uplink.done_at(state.now, size) - state.now
    if duration > min(objective_share * state.latency_objective(request), time_left):
        return None  # the uplink is busy: an endpoint sends it sooner
    state.uplink.reserve(state.now, size)
    state.served_locally += 1
    return Response(
        ResponseKind.SERVED,
        b"" if not_modified else entry.body,
        not_modified,
        etag=entry.etag,
        generated_at=entry.generated_at,
        stale=on_error and _is_stale(state.request_class(request), state.now - entry.generated_at),
    )


def _usable_entry(state: GatewayState, request: ClientRequest, on_error: bool) -> LocalCacheEntry | None:
    """The request's entry; one that can never be served again is dropped."""
    if request.is_write or not state.local_cache.cached_bytes:
        return None
    key = _cache_key(request)
    entry = state.local_cache.get(key)
    if entry is None:
        return None
    cls = state.request_class(request)
    age = state.now - entry.generated_at
    grace = cls.stale_grace if state.serves_stale else 0
    stale = _is_stale(cls, age)
    if stale and (not grace or age > cls.fresh_for + grace):
        state.local_cache.drop(key)
        return None
    if entry.generated_at <= state.purges.purged_at(request.object, entry.group):
        state.local_cache.drop(key)
        return None
    return entry if on_error or not stale else None


def _is_stale(cls: i.RequestClass, age: int) -> bool:
    return bool(cls.fresh_for) and age > cls.fresh_for - AGE_MARGIN


def _cache_key(request: ClientRequest) -> CacheKey:
    return CacheKey(request.class_index, request.object, request.part)


def is_known_not_found(state: GatewayState, request: ClientRequest) -> bool:
    """Whether the sources recently reported the requested part as not found."""
    if request.digest or state.watch.may_have_missed_changes(state.now):
        return False
    return state.negative_cache.contains(_cache_key(request), state.now)


def record_not_found(state: GatewayState, request: ClientRequest, requested_at: int) -> None:
    """Record that a source requested at ``requested_at`` (ns) does not have the part.

    Not recorded for bytes that are named by a digest: the index that named them is requested again.
    """
    if state.negative_cache.ttl and not request.digest and not request.is_write:
        purged_at = state.purges.purged_at(request.object, request.group)
        state.negative_cache.record(_cache_key(request), request.group, requested_at, purged_at)


def validator(state: GatewayState, request: ClientRequest) -> str:
    """The validator to revalidate the local entry with; empty: none.

    Bytes that are named by a digest never change, and are not revalidated.
    """
    if not state.serves_stale or request.digest or request.is_write:
        return ""
    entry = state.local_cache.get(_cache_key(request))
    return entry.validator if entry is not None else ""


def revalidated(
    state: GatewayState, request: ClientRequest, sent_validator: str, result: AttemptResult
) -> AttemptResult:
    """The result with the body of the local entry that the source confirmed; a miss if it is gone."""
    entry = state.local_cache.get(_cache_key(request))
    if entry is None or not sent_validator or entry.validator != sent_validator:
        return AttemptResult(i.AttemptStatus.MISS, reason=FailureReason.BUSY)
    return replace(result, body=entry.body, etag=entry.etag, validator=sent_validator)


def store(state: GatewayState, in_flight: InFlightRequest, attempt: Attempt, result: AttemptResult) -> None:
    """Cache the result if the router ranked it for that and its object was not purged since."""
    rank, request = attempt.action.cache_rank, in_flight.request
    if not rank or request.is_write:
        return
    if result.not_modified or not result.generated_at or result.stored_file:
        return
    if result.generated_at <= state.purges.purged_at(request.object, request.group):
        return
    entry = LocalCacheEntry(
        result.body, result.etag, result.generated_at, request.group, rank, result.validator
    )
    state.local_cache.put(_cache_key(request), entry)


def drop_object(state: GatewayState, request: ClientRequest) -> None:
    """Remove all entries of the request's object."""
    state.local_cache.purge(request.object, 0, state.now)
