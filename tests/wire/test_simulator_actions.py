"""The simulator's replies against their byte layouts."""

from __future__ import annotations

import struct

import pytest

from hallproxy.interface import (
    Action,
    CancelAttempt,
    CheckHealth,
    Fail,
    FetchFlags,
    Log,
    PollEndpointList,
    Reject,
    SetTimer,
    StartAttempt,
)
from hallproxy.wire.simulator_actions import InstanceActions, encode_fault, encode_reply
from tests.support.simulator_frames import ENDPOINT


def test_actions_encode_byte_by_byte() -> None:
    source = bytes.fromhex("0a9011f2841b")
    ref = 0xC0C375D3A91C4
    actions: list[Action] = [
        StartAttempt(
            ref, ENDPOINT, 900000000, source, 2, 1500000000, FetchFlags.JOIN | FetchFlags.REVALIDATE
        ),
        Reject(ref, 250000000),
        Fail(ref),
        CancelAttempt(ref, 1),
        SetTimer(9000000000, 77),
        CheckHealth(ENDPOINT),
        PollEndpointList(),
        Log("hi"),
    ]
    reply = encode_reply(12, [InstanceActions(3, actions), InstanceActions(4, [])])
    number, count, length = struct.unpack_from("<III", reply)
    assert (number, count, length) == (12, 9, len(reply))
    records = [reply[12 + 40 * n : 52 + 40 * n] for n in range(count)]
    assert records[0] == bytes.fromhex("4e0300").ljust(40, b"\0")
    assert records[1] == bytes.fromhex(
        "4dc4913a5d370c0c000a124a075b1b00e9a435000000000a9011f2841b02002f68590000000009"
    ).ljust(40, b"\0")
    assert records[2] == struct.pack("<BQQ", 66, ref, 250000000).ljust(40, b"\0")
    assert [r[0] for r in records[3:]] == [67, 68, 69, 70, 75, 73]
    assert reply.endswith(b"hi")


@pytest.mark.parametrize(
    ("action", "record", "tail"),
    [
        (
            StartAttempt(1, ENDPOINT, 2, b"source", 3, 4, FetchFlags.CACHED_ONLY),
            struct.pack("<BQ6sq6sBQB", 77, 1, ENDPOINT, 2, b"source", 3, 4, 2),
            b"",
        ),
        (Reject(1, 2), struct.pack("<BQQ", 66, 1, 2), b""),
        (Fail(1), struct.pack("<BQ", 67, 1), b""),
        (CancelAttempt(1, 2), struct.pack("<BQH", 68, 1, 2), b""),
        (SetTimer(1, 2), struct.pack("<BQI", 69, 1, 2), b""),
        (CheckHealth(ENDPOINT), struct.pack("<B6s", 70, ENDPOINT), b""),
        (Log("hi"), struct.pack("<BII", 73, 0, 2), b"hi"),
        (PollEndpointList(), struct.pack("<BB", 75, 1), b""),
    ],
)
def test_every_kind_of_action_is_encoded(action: Action, record: bytes, tail: bytes) -> None:
    reply = encode_reply(5, [InstanceActions(3, [action])])
    instance = struct.pack("<BH", 78, 3).ljust(40, b"\0")
    body = instance + record.ljust(40, b"\0") + tail
    assert reply == struct.pack("<III", 5, 2, 12 + len(body)) + body


def test_a_fault_is_encoded_with_its_text() -> None:
    instance = struct.pack("<BH", 78, 3).ljust(40, b"\0")
    body = instance + struct.pack("<BII", 74, 0, 4).ljust(40, b"\0") + b"why?"
    assert encode_fault(5, 3, "why?") == struct.pack("<III", 5, 2, 12 + len(body)) + body
