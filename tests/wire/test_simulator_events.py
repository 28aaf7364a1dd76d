"""The simulator's batches against their byte layouts."""

from __future__ import annotations

import struct

import pytest

from hallproxy.interface import (
    AttemptEnded,
    AttemptStatus,
    ClientDisconnected,
    EndpointListKind,
    EndpointsChanged,
    EndpointState,
    Event,
    GossipReceived,
    HealthCheckEnded,
    ObjectPurged,
    Request,
    StreamStarted,
    TimerFired,
)
from hallproxy.wire.simulator_events import Decoder, InstanceKilled, WireEvent
from tests.support.simulator_frames import ENDPOINT, INSTANCE_3, batch_frame


def decode(record: bytes, tail: bytes = b"") -> WireEvent:
    batch = Decoder().batch(batch_frame([INSTANCE_3, record], tail))
    assert (batch.number, batch.now, batch.instances[0].instance) == (12, 5 * 10**9, 3)
    return batch.instances[0].events[0]


def test_events_decode_field_by_field() -> None:
    request = bytes.fromhex(
        "03c4913a5d370c0c000100000000640ad2557c3bf0910000304100000040400000204400" "1c4e0e00000000"
    )
    event = decode(request)
    assert isinstance(event, Request)
    assert (event.id, event.group, event.class_index, event.part, event.size_kb) == (
        0xC0C375D3A91C4,
        11,
        0,
        3,
        640.0,
    )
    assert event.time_left == 240_000_000 and not event.is_retry and not event.is_write
    attempt_ended = bytes.fromhex(
        "04c4913a5d370c0c000a124a075b1b0000c06e8f0000000000a0491a01000000000100000200000000"
    )
    assert decode(attempt_ended) == AttemptEnded(
        0xC0C375D3A91C4, 0, ENDPOINT, AttemptStatus.OK, 18500000, True, 2, 9400000, ()
    )
    stream_started = bytes.fromhex("0ac4913a5d370c0c0000000a124a075b1bd0248d0000000000")
    assert decode(stream_started) == StreamStarted(0xC0C375D3A91C4, 0, ENDPOINT, 9250000)
    health_check_ended = struct.pack("<B6sHQB4f", 2, ENDPOINT, 0, 1400000, 1, 0.5, 0, 0, 0)
    assert decode(health_check_ended) == HealthCheckEnded(ENDPOINT, AttemptStatus.OK, 1400000, (0.5,))
    assert decode(struct.pack("<BQHQ", 6, 77, 11, 17)) == ObjectPurged(77, 11, 17)


def test_lists_are_resolved_in_the_order_of_records() -> None:
    entry = bytes.fromhex("009d966b01000000000002000100" + "0000c03f" + "0a9011f2841b")
    list_record = struct.pack("<BBII", 12, 0, 0, 1)
    change = struct.pack("<BIBB", 7, 41, 0, 2)
    event = Decoder().batch(batch_frame([list_record, INSTANCE_3, change], entry)).instances[0].events[0]
    assert isinstance(event, EndpointsChanged) and event.kind is EndpointListKind.CACHED
    endpoint = event.endpoints[0]
    assert (endpoint.id, endpoint.state, endpoint.zone, endpoint.weight) == (
        bytes.fromhex("0a9011f2841b"), EndpointState.READY, 1, 1.5,
    )  # fmt: skip
    assert endpoint.started_at == 6100000000


@pytest.mark.parametrize(
    ("record", "event"),
    [
        (
            struct.pack("<BQBIQfBffQ", 3, 1, 6, 2, 3, 4.0, 5, 6.0, 7.5, 8),
            Request(
                id=1,
                class_index=5,
                time_left=8,
                object=3,
                part=6,
                group=4,
                size_kb=7.5,
                tenant=2,
                is_retry=True,
                is_write=True,
            ),
        ),
        (
            struct.pack("<BQ6sHQQBHIB4f", 4, 1, ENDPOINT, 5, 2, 3, 1, 4, 5, 2, 0.5, 1.5, 2.5, 3.5),
            AttemptEnded(
                request_id=1,
                attempt=4,
                endpoint=ENDPOINT,
                status=AttemptStatus.ERROR,
                latency=3,
                request_closed=True,
                cache_status=5,
                source_wait=2,
                load=(0.5, 1.5),
            ),
        ),
        (
            struct.pack("<B6sHQB4f", 2, ENDPOINT, 110, 1, 4, 0.5, 1.5, 2.5, 3.5),
            HealthCheckEnded(ENDPOINT, AttemptStatus.TIMEOUT, 1, (0.5, 1.5, 2.5, 3.5)),
        ),
        (struct.pack("<BQHQ", 6, 1, 2, 3), ObjectPurged(1, 2, 3)),
        (struct.pack("<BIBB", 7, 1, 9, 3), EndpointsChanged(EndpointListKind.FAILED, (), 1)),
        (struct.pack("<B", 8), InstanceKilled()),
        (struct.pack("<BI", 9, 7), TimerFired(7)),
        (struct.pack("<BQH6sQ", 10, 1, 2, ENDPOINT, 3), StreamStarted(1, 2, ENDPOINT, 3)),
        (struct.pack("<BQ", 11, 5), ClientDisconnected(5)),
        (struct.pack("<BHII", 13, 3, 1, 2), GossipReceived(3, b"ab")),
    ],
)
def test_every_kind_of_event_is_decoded(record: bytes, event: Event | InstanceKilled) -> None:
    assert decode(record, b"-ab-") == event


@pytest.mark.parametrize(
    ("code", "status"),
    [
        (0, AttemptStatus.OK),
        (2, AttemptStatus.MISS),
        (5, AttemptStatus.ERROR),
        (11, AttemptStatus.FULL),
        (104, AttemptStatus.RESET),
        (110, AttemptStatus.TIMEOUT),
        (111, AttemptStatus.CONNECT_FAILED),
        (114, AttemptStatus.NOT_SENT),
        (125, AttemptStatus.CANCELLED),
    ],
)
def test_every_status_is_decoded_from_its_code(code: int, status: AttemptStatus) -> None:
    event = decode(struct.pack("<B6sHQB4f", 2, ENDPOINT, code, 0, 0, 0, 0, 0, 0))
    assert event == HealthCheckEnded(ENDPOINT, status, 0, ())
