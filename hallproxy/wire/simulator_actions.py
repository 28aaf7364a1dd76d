"""The simulator's replies: actions encoded into its binary frames.

A reply is a header, fixed-size records and a tail with the texts that records refer to. All numbers are
little-endian; the first byte of a record is its kind.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from hallproxy import interface as i

ACTION_BYTES = 40

_REPLY_HEADER = struct.Struct("<III")

# Kinds of action records.
_REJECT = 66
_FAIL = 67
_CANCEL_ATTEMPT = 68
_SET_TIMER = 69
_CHECK_HEALTH = 70
_LOG = 73
_FAULT = 74
_POLL_ENDPOINT_LIST = 75
_START_ATTEMPT = 77
_INSTANCE_OF_REPLY = 78

_REJECT_RECORD = struct.Struct("<BQQ")
_FAIL_RECORD = struct.Struct("<BQ")
_CANCEL_ATTEMPT_RECORD = struct.Struct("<BQH")
_SET_TIMER_RECORD = struct.Struct("<BQI")
_CHECK_HEALTH_RECORD = struct.Struct("<B6s")
_TEXT_RECORD = struct.Struct("<BII")
_POLL_ENDPOINT_LIST_RECORD = struct.Struct("<BB")
_START_ATTEMPT_RECORD = struct.Struct("<BQ6sq6sBQB")
_INSTANCE_OF_REPLY_RECORD = struct.Struct("<BH")


@dataclass(slots=True)
class InstanceActions:
    """One instance's actions, in order."""

    instance: int
    actions: list[i.Action]


def encode_reply(number: int, replies: Iterable[InstanceActions]) -> bytes:
    """The reply to one batch: each instance's actions, in order."""
    records: list[bytes] = []
    tail = bytearray()
    for reply in replies:
        if reply.actions:
            records.append(_INSTANCE_OF_REPLY_RECORD.pack(_INSTANCE_OF_REPLY, reply.instance))
            records += [_ACTION_ENCODERS[type(action)](action, tail) for action in reply.actions]
    return _join(number, records, bytes(tail))


def encode_fault(number: int, instance: int, text: str) -> bytes:
    """A reply that reports a failure of an instance's decision code."""
    data = text.encode()
    records = [
        _INSTANCE_OF_REPLY_RECORD.pack(_INSTANCE_OF_REPLY, instance),
        _TEXT_RECORD.pack(_FAULT, 0, len(data)),
    ]
    return _join(number, records, data)


def _join(number: int, records: list[bytes], tail: bytes) -> bytes:
    body = b"".join(record.ljust(ACTION_BYTES, b"\0") for record in records)
    length = _REPLY_HEADER.size + len(body) + len(tail)
    return _REPLY_HEADER.pack(number, len(records), length) + body + tail


def _start_attempt(action: i.StartAttempt, _tail: bytearray) -> bytes:
    return _START_ATTEMPT_RECORD.pack(
        _START_ATTEMPT,
        action.request_id,
        action.endpoint,
        action.timeout,
        action.source,
        action.cache_rank,
        action.max_age,
        action.flags,
    )


def _set_timer(action: i.SetTimer, _tail: bytearray) -> bytes:
    return _SET_TIMER_RECORD.pack(_SET_TIMER, action.at, action.token)


def _cancel_attempt(action: i.CancelAttempt, _tail: bytearray) -> bytes:
    return _CANCEL_ATTEMPT_RECORD.pack(_CANCEL_ATTEMPT, action.request_id, action.attempt)


def _reject(action: i.Reject, _tail: bytearray) -> bytes:
    return _REJECT_RECORD.pack(_REJECT, action.request_id, action.retry_after)


def _fail(action: i.Fail, _tail: bytearray) -> bytes:
    return _FAIL_RECORD.pack(_FAIL, action.request_id)


def _check_health(action: i.CheckHealth, _tail: bytearray) -> bytes:
    return _CHECK_HEALTH_RECORD.pack(_CHECK_HEALTH, action.endpoint)


def _poll_endpoint_list(_action: i.PollEndpointList, _tail: bytearray) -> bytes:
    return _POLL_ENDPOINT_LIST_RECORD.pack(_POLL_ENDPOINT_LIST, 1)


def _log(action: i.Log, tail: bytearray) -> bytes:
    data = action.text.encode()
    record = _TEXT_RECORD.pack(_LOG, len(tail), len(data))
    tail += data
    return record


_ACTION_ENCODERS: dict[type, Callable[[Any, bytearray], bytes]] = {
    i.StartAttempt: _start_attempt,
    i.SetTimer: _set_timer,
    i.CancelAttempt: _cancel_attempt,
    i.Reject: _reject,
    i.Fail: _fail,
    i.CheckHealth: _check_health,
    i.PollEndpointList: _poll_endpoint_list,
    i.Log: _log,
}
"""Encoders of actions, by type; each takes the action and the reply's tail, which it may extend."""
