"""The simulator's batches of events, decoded from its binary frames.

A batch is a header, fixed-size records and a tail with the lists and texts that records refer to. All numbers
are little-endian; the first byte of a record is its kind.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import dataclass

from hallproxy import interface as i
from hallproxy.wire.simulator_settings import settings_from_json

EVENT_BYTES = 64

_BATCH_HEADER = struct.Struct("<IIQI")

# Kinds of event records.
_INSTANCE = 1
_HEALTH_CHECK_ENDED = 2
_REQUEST = 3
_ATTEMPT_ENDED = 4
_BEGIN = 5
_OBJECT_PURGED = 6
_ENDPOINTS_CHANGED = 7
_KILLED = 8
_TIMER_FIRED = 9
_STREAM_STARTED = 10
_CLIENT_DISCONNECTED = 11
_ENDPOINT_LIST = 12
_GOSSIP_RECEIVED = 13

_INSTANCE_RECORD = struct.Struct("<xH")
_HEALTH_CHECK_ENDED_RECORD = struct.Struct("<x6sHQB4f")
_REQUEST_RECORD = struct.Struct("<xQBIQfBffQ")
_ATTEMPT_ENDED_RECORD = struct.Struct("<xQ6sHQQBHIB4f")
_BEGIN_RECORD = struct.Struct("<xQII")
_OBJECT_PURGED_RECORD = struct.Struct("<xQHQ")
_ENDPOINTS_CHANGED_RECORD = struct.Struct("<xIBB")
_TIMER_FIRED_RECORD = struct.Struct("<xI")
_STREAM_STARTED_RECORD = struct.Struct("<xQH6sQ")
_CLIENT_DISCONNECTED_RECORD = struct.Struct("<xQ")
_ENDPOINT_LIST_RECORD = struct.Struct("<xBII")
_GOSSIP_RECEIVED_RECORD = struct.Struct("<xHII")
_ENDPOINT_ENTRY = struct.Struct("<QHBBHf6s")

_REQUEST_IS_RETRY = 2
_REQUEST_IS_WRITE = 4

STATUS = {
    0: i.AttemptStatus.OK,
    2: i.AttemptStatus.MISS,
    5: i.AttemptStatus.ERROR,
    11: i.AttemptStatus.FULL,
    104: i.AttemptStatus.RESET,
    110: i.AttemptStatus.TIMEOUT,
    111: i.AttemptStatus.CONNECT_FAILED,
    114: i.AttemptStatus.NOT_SENT,
    125: i.AttemptStatus.CANCELLED,
}
"""Results of attempts and health checks by their codes."""


class WireError(ValueError):
    """A frame that does not conform to the simulator's protocol."""


@dataclass(slots=True, frozen=True)
class InstanceStarted:
    """An instance starts: its seed and its settings."""

    seed: int
    settings: i.Settings


@dataclass(slots=True, frozen=True)
class InstanceKilled:
    """An instance was killed."""


WireEvent = i.Event | InstanceStarted | InstanceKilled


@dataclass(slots=True)
class InstanceEvents:
    """One instance's events, in order."""

    instance: int
    events: list[WireEvent]


@dataclass(slots=True)
class EventBatch:
    """One frame: its number, its time (ns) and each instance's events."""

    number: int
    now: int
    instances: list[InstanceEvents]


def read_frame(read: Callable[[int], bytes]) -> bytes | None:
    """The next complete frame from a blocking reader; None at the end of input between frames."""
    header = read(_BATCH_HEADER.size)
    if not header:
        return None
    if len(header) < _BATCH_HEADER.size:
        raise WireError("input ended in a batch header")
    length = _BATCH_HEADER.unpack(header)[1]
    if length < _BATCH_HEADER.size:
        raise WireError(f"batch length {length} is less than a header's")
    body = read(length - _BATCH_HEADER.size)
    if len(body) < length - _BATCH_HEADER.size:
        raise WireError("input ended in a batch")
    return header + body


class Decoder:
    """Decodes frames into batches. Keeps the numbered endpoint lists, which later events refer to."""

    __slots__ = ("_lists",)

    def __init__(self) -> None:
        self._lists: dict[int, tuple[i.Endpoint, ...]] = {}

    def batch(self, frame: bytes) -> EventBatch:
        """Decode one complete frame; WireError where it is malformed."""
        if len(frame) < _BATCH_HEADER.size:
            raise WireError("batch is shorter than its header")
        number, length, now, count = _BATCH_HEADER.unpack_from(frame)
        tail = _BATCH_HEADER.size + count * EVENT_BYTES
        if length != len(frame) or tail > length:
            raise WireError(f"batch {number}: {count} records do not fit in {length} bytes")
        instances: list[InstanceEvents] = []
        for start in range(_BATCH_HEADER.size, tail, EVENT_BYTES):
            kind = frame[start]
            if kind == _INSTANCE:
                instances.append(InstanceEvents(_INSTANCE_RECORD.unpack_from(frame, start)[0], []))
            elif kind == _ENDPOINT_LIST:
                list_number, offset, size = _ENDPOINT_LIST_RECORD.unpack_from(frame, start)
                self._lists[list_number] = _endpoints(frame, tail + offset, size)
            elif not instances:
                raise WireError(f"batch {number}: an event record precedes the first instance record")
            else:
                instances[-1].events.append(self._event(kind, frame, start, tail))
        return EventBatch(number, now, instances)

    def _event(self, kind: int, frame: bytes, start: int, tail: int) -> WireEvent:
        if kind == _ENDPOINTS_CHANGED:
            return self._endpoints_changed(frame, start)
        decode = _EVENT_DECODERS.get(kind)
        if decode is None:
            raise WireError(f"unknown event code {kind}")
        return decode(frame, start, tail)

    def _endpoints_changed(self, frame: bytes, start: int) -> i.EndpointsChanged:
        version, list_number, kind = _ENDPOINTS_CHANGED_RECORD.unpack_from(frame, start)
        if kind == i.EndpointListKind.FAILED:
            return i.EndpointsChanged(i.EndpointListKind.FAILED, (), version)
        if list_number not in self._lists or kind > i.EndpointListKind.FAILED:
            raise WireError(f"membership of kind {kind} names list {list_number}")
        return i.EndpointsChanged(i.EndpointListKind(kind), self._lists[list_number], version)


def _request(frame: bytes, start: int, _tail: int) -> i.Request:
    ident, flags, tenant, key, group, class_index, part, size_kb, time_left = _REQUEST_RECORD.unpack_from(
        frame, start
    )
    is_retry, is_write = bool(flags & _REQUEST_IS_RETRY), bool(flags & _REQUEST_IS_WRITE)
    return i.Request(
        ident, class_index, time_left, key, int(part), int(group), size_kb, tenant, is_retry, is_write
    )


def _attempt_ended(frame: bytes, start: int, _tail: int) -> i.AttemptEnded:
    ident, endpoint, status, waited, latency, closed, attempt, note, report_length, *report = (
        _ATTEMPT_ENDED_RECORD.unpack_from(frame, start)
    )
    return i.AttemptEnded(
        ident,
        attempt,
        endpoint,
        _status(status),
        latency,
        bool(closed),
        note,
        waited,
        tuple(report[:report_length]),
    )


def _health_check_ended(frame: bytes, start: int, _tail: int) -> i.HealthCheckEnded:
    endpoint, status, latency, report_length, *report = _HEALTH_CHECK_ENDED_RECORD.unpack_from(frame, start)
    return i.HealthCheckEnded(endpoint, _status(status), latency, tuple(report[:report_length]))


def _begin(frame: bytes, start: int, tail: int) -> InstanceStarted:
    seed, offset, size = _BEGIN_RECORD.unpack_from(frame, start)
    return InstanceStarted(seed, settings_from_json(_slice(frame, tail + offset, size)))


def _killed(_frame: bytes, _start: int, _tail: int) -> InstanceKilled:
    return InstanceKilled()


def _object_purged(frame: bytes, start: int, _tail: int) -> i.ObjectPurged:
    return i.ObjectPurged(*_OBJECT_PURGED_RECORD.unpack_from(frame, start))


def _timer_fired(frame: bytes, start: int, _tail: int) -> i.TimerFired:
    return i.TimerFired(*_TIMER_FIRED_RECORD.unpack_from(frame, start))


def _stream_started(frame: bytes, start: int, _tail: int) -> i.StreamStarted:
    return i.StreamStarted(*_STREAM_STARTED_RECORD.unpack_from(frame, start))


def _client_disconnected(frame: bytes, start: int, _tail: int) -> i.ClientDisconnected:
    return i.ClientDisconnected(*_CLIENT_DISCONNECTED_RECORD.unpack_from(frame, start))


def _gossip_received(frame: bytes, start: int, tail: int) -> i.GossipReceived:
    sender, offset, size = _GOSSIP_RECEIVED_RECORD.unpack_from(frame, start)
    return i.GossipReceived(sender, _slice(frame, tail + offset, size))


_EVENT_DECODERS: dict[int, Callable[[bytes, int, int], WireEvent]] = {
    _HEALTH_CHECK_ENDED: _health_check_ended,
    _REQUEST: _request,
    _ATTEMPT_ENDED: _attempt_ended,
    _BEGIN: _begin,
    _OBJECT_PURGED: _object_purged,
    _KILLED: _killed,
    _TIMER_FIRED: _timer_fired,
    _STREAM_STARTED: _stream_started,
    _CLIENT_DISCONNECTED: _client_disconnected,
    _GOSSIP_RECEIVED: _gossip_received,
}
"""Decoders of event records, by kind; each takes the frame, the record's start and the tail's start."""


def _status(code: int) -> i.AttemptStatus:
    try:
        return STATUS[code]
    except KeyError:
        raise WireError(f"unknown result code {code}") from None


def _slice(frame: bytes, start: int, size: int) -> bytes:
    if start + size > len(frame):
        raise WireError("a record refers past the end of the frame")
    return frame[start : start + size]


def _endpoints(frame: bytes, start: int, count: int) -> tuple[i.Endpoint, ...]:
    entries = _slice(frame, start, count * _ENDPOINT_ENTRY.size)
    endpoints = []
    for started_at, cell, state, kind, zone, weight, ident in _ENDPOINT_ENTRY.iter_unpack(entries):
        if state > i.EndpointState.READY:
            raise WireError(f"unknown endpoint state {state}")
        endpoints.append(i.Endpoint(ident, i.EndpointState(state), kind, zone, cell, weight, started_at))
    return tuple(endpoints)
