"""Encodings of events and actions for the differential test.

They depend on positions and values, not on names, so that renaming a type or field changes no digest.
"""

from __future__ import annotations

import gzip
import json
import re
from dataclasses import replace
from pathlib import Path
from typing import Any

from hallproxy import interface as i
from hallproxy.wire.simulator_events import STATUS

STATUS_CODES = {status: status_code for status_code, status in STATUS.items()}

Batch = tuple[int, list[Any]]  # time (ns), encoded events


def encode_action(action: i.Action) -> tuple[Any, ...]:
    """Encode an action as plain values; a log line as its numbers only, as its wording may change."""
    match action:
        case i.StartAttempt():
            return (
                "get",
                action.request_id,
                action.endpoint,
                action.timeout,
                action.source,
                action.cache_rank,
                action.max_age,
                int(action.flags),
            )
        case i.Reject():
            return ("refuse", action.request_id, action.retry_after)
        case i.Fail():
            return ("fail", action.request_id)
        case i.CancelAttempt():
            return ("cancel", action.request_id, action.attempt)
        case i.SetTimer():
            return ("timer", action.at, action.token)
        case i.CheckHealth():
            return ("probe", action.endpoint)
        case i.PollEndpointList():
            return ("subscribe",)
        case i.Log():
            return ("log", *re.findall(r"\d+(?:\.\d+)?", action.text))


def encode_event(event: i.Event) -> list[Any]:
    """Encode an event as plain values, for JSON."""
    match event:
        case i.EndpointsChanged():
            endpoints = [
                [m.id.decode(), int(m.state), m.kind, m.zone, m.cell, m.weight, m.started_at]
                for m in event.endpoints
            ]
            return ["members", int(event.kind), endpoints, event.version]
        case i.SettingsChanged():
            return ["settings", event.settings.max_attempts]
        case i.Request():
            return _encode_request(event)
        case i.ServedLocally():
            return ["seen", event.object]
        case i.AttemptEnded():
            return _encode_attempt_end(event)
        case i.StreamStarted():
            return ["stream", event.request_id, event.attempt, event.endpoint.decode(), event.latency]
        case i.ClientDisconnected():
            return ["gone", event.request_id]
        case i.TimerFired():
            return ["timer", event.token]
        case i.HealthCheckEnded():
            return ["probed", event.endpoint.decode(), STATUS_CODES[event.status], event.latency]
        case i.ObjectPurged():
            return ["purge", event.object, event.group, event.age]
        case i.GossipReceived():
            return ["peer", event.sender, event.data.decode()]


def _encode_request(request: i.Request) -> list[Any]:
    allowed = sorted(endpoint.decode() for endpoint in request.allowed_endpoints)
    return [
        "request",
        request.id,
        request.class_index,
        request.time_left,
        request.object,
        request.part,
        request.group,
        request.size_kb,
        request.is_write,
        allowed,
    ]


def _encode_attempt_end(event: i.AttemptEnded) -> list[Any]:
    return [
        "outcome",
        event.request_id,
        event.attempt,
        event.endpoint.decode(),
        STATUS_CODES[event.status],
        event.latency,
        event.request_closed,
        event.cache_status,
        event.source_wait,
        event.load,
    ]


def decode_event(settings: i.Settings, data: list[Any]) -> i.Event:
    """Decode an event; a settings change starts from these settings. ValueError for an unknown kind."""
    kind, *values = data
    match kind:
        case "members":
            endpoints = tuple(i.Endpoint(m[0].encode(), i.EndpointState(m[1]), *m[2:]) for m in values[1])
            return i.EndpointsChanged(i.EndpointListKind(values[0]), endpoints, values[2])
        case "settings":
            return i.SettingsChanged(replace(settings, max_attempts=values[0]))
        case "request":
            request_id, class_index, time_left, object_id, part, group, size_kb, is_write, allowed_ids = (
                values
            )
            allowed = frozenset(endpoint.encode() for endpoint in allowed_ids)
            return i.Request(
                request_id,
                class_index,
                time_left,
                object_id,
                part,
                group,
                size_kb,
                is_write=is_write,
                allowed_endpoints=allowed,
            )
        case "seen":
            return i.ServedLocally(*values)
        case "outcome":
            (
                request_id,
                attempt,
                endpoint,
                status_code,
                latency,
                request_closed,
                cache_status,
                source_wait,
                load,
            ) = values
            status = STATUS[status_code]
            return i.AttemptEnded(
                request_id,
                attempt,
                endpoint.encode(),
                status,
                latency,
                request_closed,
                cache_status,
                source_wait,
                tuple(load),
            )
        case "stream":
            return i.StreamStarted(values[0], values[1], values[2].encode(), values[3])
        case "gone":
            return i.ClientDisconnected(*values)
        case "timer":
            return i.TimerFired(*values)
        case "probed":
            return i.HealthCheckEnded(values[0].encode(), STATUS[values[1]], values[2])
        case "purge":
            return i.ObjectPurged(*values)
        case "peer":
            return i.GossipReceived(values[0], values[1].encode())
    raise ValueError(f"unknown event kind {kind!r}")


def save(path: Path, batches: list[Batch]) -> None:
    """Write recorded batches."""
    path.write_bytes(gzip.compress(json.dumps(batches).encode(), mtime=0))


def load(path: Path) -> list[Batch]:
    """Read recorded batches."""
    batches: list[Batch] = json.loads(gzip.decompress(path.read_bytes()))
    return batches
