"""The clients' frames against tables of cases."""

from __future__ import annotations

import json
from dataclasses import replace
from typing import Any

import pytest

from hallproxy.state.events import ClientRequest, Response, ResponseKind
from hallproxy.wire import frames
from hallproxy.wire.simulator_settings import settings_from_json
from tests.support.gateway import platform_settings

SETTINGS = settings_from_json(json.dumps(platform_settings()).encode())
CLASSES = {c.name: n for n, c in enumerate(SETTINGS.classes)}
VALID_FIELDS = {"op": "segment", "call": "9b1f03aa5c7e2d41", "ttl": "1500", "row": "7f3a9c21e0b4d655",
                "nth": "3", "batch": "17", "heap": "412.5"}  # fmt: skip


@pytest.mark.parametrize(
    ("raw", "expected"),
    [
        (b"", None),
        (b"\0\0\0", None),
        (b"\0\0\0\x05\x41\0\0\0", None),
        (b"\0\0\0\x05\x41\0\0\0\x07", frames.FrameHeader(9, 65, 7)),
        (b"\0\0\0\x07\x50\0\0\0\x01abmore", frames.FrameHeader(11, 80, 1)),
        (b"\0\0\0\x04....", frames.FrameError),
        (b"\0\x04\0\x01....", frames.FrameError),
    ],
)
def test_frame_headers(raw: bytes, expected: Any) -> None:
    if expected is frames.FrameError:
        with pytest.raises(frames.FrameError):
            frames.decode_header(raw)
    else:
        assert frames.decode_header(raw) == expected


@pytest.mark.parametrize(
    ("changes", "error"),
    [
        ({}, ""),
        ({"rep": "1", "dedupe": "k1", "got": "t1"}, ""),
        ({"op": "none"}, "op"),
        ({"call": "9b1f"}, "call"),
        ({"call": "+b1f03aa5c7e2d41"}, "call"),
        ({"row": "xyz"}, "row"),
        ({"ttl": "-1"}, "ttl"),
        ({"ttl": "1e3"}, "ttl"),
        ({"nth": ""}, "nth"),
        ({"batch": "256"}, "batch"),
        ({"heap": "nan"}, "heap"),
        ({"heap": "much"}, "heap"),
        ({"dedupe": "a\r\nX-Keep: 3"}, "dedupe"),
        ({"got": "a b"}, "got"),
    ],
)
def test_requests(changes: dict[str, str], error: str) -> None:
    payload = memoryview(frames.encode_fields(VALID_FIELDS | changes) + b"body")
    if error:
        with pytest.raises(frames.FieldError, match=error):
            frames.decode_request(payload, CLASSES, SETTINGS)
    else:
        request = frames.decode_request(payload, CLASSES, SETTINGS)
        assert (request.request_id, request.name, request.part, request.group) == (
            VALID_FIELDS["call"],
            VALID_FIELDS["row"],
            3,
            17,
        )
        assert (request.object, request.time_left, request.body) == (
            0x7F3A9C21E0B4D655,
            1_496_000_000,
            b"body",
        )


@pytest.mark.parametrize("payload", [b"", b"\x01", b"\x01\x05ab", b"\x01\x01a\0\x09x", b"\x01\x01\xff\0\0"])
def test_truncated_fields(payload: bytes) -> None:
    with pytest.raises(frames.FieldError):
        frames.decode_fields(memoryview(payload))


def test_every_field_of_a_request_is_decoded() -> None:
    fields = {
        "op": "close", "call": "9b1f03aa5c7e2d41", "ttl": "1500", "row": "7f3a9c21e0b4d655", "nth": "3",
        "batch": "17", "heap": "412.5", "rep": "1", "dedupe": "key-1", "got": "tag-1",
    }  # fmt: skip
    payload = memoryview(frames.encode_fields(fields) + b"body")
    assert frames.decode_request(payload, CLASSES, SETTINGS) == ClientRequest(
        request_id="9b1f03aa5c7e2d41",
        class_index=CLASSES["close"],
        time_left=1_496_000_000,
        object=0x7F3A9C21E0B4D655,
        name="7f3a9c21e0b4d655",
        part=3,
        group=17,
        size_kb=412.5,
        is_retry=True,
        is_write=True,
        idempotency_key="key-1",
        client_etag="tag-1",
        body=b"body",
    )


@pytest.mark.parametrize(("elapsed", "time_left"), [(96_000_000, 1_400_000_000), (2_000_000_000, 0)])
def test_the_time_since_the_arrival_counts_as_the_requests_own(elapsed: int, time_left: int) -> None:
    payload = memoryview(frames.encode_fields(VALID_FIELDS))
    assert frames.decode_request(payload, CLASSES, SETTINGS, elapsed).time_left == time_left


@pytest.mark.parametrize(
    ("response", "frame"),
    [
        (Response(ResponseKind.SERVED, b"abc"), b"\0\0\0\x0a\x42\0\0\0\x07\x4f\0abc"),
        (
            Response(ResponseKind.SERVED, not_modified=True),
            b"\0\0\0\x10\x42\0\0\0\x07\x4f\x01\x05ok304\0\x011",
        ),
        (
            Response(ResponseKind.REJECTED, retry_after=250_000_000),
            b"\0\0\0\x15\x42\0\0\0\x07\x42\x01\x08pushback\0\x03250",
        ),
        (Response(ResponseKind.FAILED), b"\0\0\0\x07\x42\0\0\0\x07\x45\0"),
    ],
)
def test_every_kind_of_response_is_encoded(response: Response, frame: bytes) -> None:
    assert b"".join(frames.encode_response(7, response)) == frame


def test_an_error_response_has_its_text() -> None:
    assert b"".join(frames.encode_error("no", 7)) == b"\0\0\0\x11\x42\0\0\0\x07\x45\x01\x05error\0\x02no"


# Guards against a frame that its receiver can't read, nor find where the next one begins.
@pytest.mark.parametrize(
    ("response", "longest"),
    [
        (Response(ResponseKind.SERVED), frames.MAX_FRAME_BYTES - 5 - 2),
        (Response(ResponseKind.SERVED, not_modified=True), frames.MAX_FRAME_BYTES - 5 - 2 - 9),
    ],
)
def test_a_response_over_the_limit_of_a_frame_is_not_encoded(response: Response, longest: int) -> None:
    encoded = b"".join(frames.encode_response(7, replace(response, body=bytes(longest))))
    assert int.from_bytes(encoded[:4], "big") == len(encoded) - 4 == frames.MAX_FRAME_BYTES
    with pytest.raises(frames.EncodeError):
        frames.encode_response(7, replace(response, body=bytes(longest + 1)))


@pytest.mark.parametrize(
    ("fits", "too_long"),
    [
        ({str(n): "" for n in range(255)}, {str(n): "" for n in range(256)}),
        ({"n" * 255: ""}, {"n" * 256: ""}),
        ({"name": "\N{EURO SIGN}" * 21_845}, {"name": "\N{EURO SIGN}" * 21_846}),  # 3 bytes each
    ],
    ids=["count", "name", "value"],
)
def test_fields_whose_sizes_do_not_fit_are_not_encoded(
    fits: dict[str, str], too_long: dict[str, str]
) -> None:
    assert frames.decode_fields(memoryview(frames.encode_fields(fits))) == (fits, b"")
    with pytest.raises(frames.EncodeError):
        frames.encode_fields(too_long)
    with pytest.raises(frames.EncodeError):
        frames.encode_error("x" * 65_536)


def test_numbers_of_the_kinds_of_frames() -> None:
    kinds = (
        frames.REQUEST,
        frames.RESPONSE,
        frames.CANCEL,
        frames.READINESS_REQUEST,
        frames.READINESS_RESPONSE,
        frames.GO_AWAY,
    )
    assert kinds == (65, 66, 67, 80, 81, 90)
