"""Guards against input that keeps the event loop busy: parsing takes time in proportion to the bytes."""

from __future__ import annotations

import json
from collections.abc import Callable
from contextlib import suppress

import pytest

from hallproxy.feed.freshness import via_names
from hallproxy.relay.requests import accepts_gzip
from hallproxy.repository.ranges import requested_range
from hallproxy.wire import changelog, frames, http1
from hallproxy.wire.stores import decode_load_report
from tests.support.proportion import MAX_TIME_GROWTH, time_growth

pytestmark = pytest.mark.timing("compares the processor time of two sizes")

STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
REQUEST_LINE = b"GET / HTTP/1.1\r\n"
HEADER_SIZE = 800  # bytes of the smaller header; the larger one still fits into a head


def decode_head(head: bytes) -> Callable[[], None]:
    decode = http1.decode_response_head if head.startswith(b"HTTP") else http1.decode_request_head
    buffer = bytearray(head)

    def operation() -> None:
        with suppress(http1.HttpError):
            decode(buffer, len(buffer))

    return operation


@pytest.mark.parametrize("start", [STATUS_LINE, REQUEST_LINE])
@pytest.mark.parametrize(
    ("before", "unit", "after"),
    [
        (b"A: ", b" ", b"\0\r\n"),
        (b"A: ", b"\t ", b"\0\r\n"),
        (b"A: x", b" ", b"x\r\n"),
        (b"A:", b"x ", b"\r\r\n"),
        (b"A", b"A", b"\r\n"),
        (b"A: ", b":", b"\0\r\n"),
        (b"", b"A:b\r\n", b""),
        (b"", b"A:\r\n", b"\0\r\n"),
    ],
)
def test_a_head_is_decoded_in_time_proportional_to_its_size(
    start: bytes, before: bytes, unit: bytes, after: bytes
) -> None:
    def prepare(size: int) -> Callable[[], None]:
        return decode_head(start + before + unit * (size // len(unit)) + after + b"\r\n")

    assert time_growth(prepare, HEADER_SIZE) <= MAX_TIME_GROWTH


@pytest.mark.parametrize("start", [b"HTTP/1.1 200 ", b"GET /"])
def test_a_long_first_line_is_decoded_in_time_proportional_to_its_size(start: bytes) -> None:
    assert time_growth(lambda size: decode_head(start + b"x" * size + b"\r\r\n\r\n"), 1000) <= MAX_TIME_GROWTH


@pytest.mark.parametrize("start", [STATUS_LINE, REQUEST_LINE])
def test_a_head_that_arrives_byte_by_byte_is_searched_once(start: bytes) -> None:
    decode = http1.decode_response_head if start is STATUS_LINE else http1.decode_request_head

    def prepare(size: int) -> Callable[[], None]:
        buffer = bytearray(start + b"A: " + b"\r" * size)

        def operation() -> None:
            for filled in range(1, len(buffer)):
                assert decode(buffer, filled, filled - 1) is None

        return operation

    assert time_growth(prepare, 4000) <= MAX_TIME_GROWTH


def test_a_head_is_found_wherever_it_was_split() -> None:
    buffer = bytearray(b"HTTP/1.1 200 OK\r\nA: b\r\n\r\nbody")
    for searched in range(25):
        head = http1.decode_response_head(buffer, len(buffer), searched)
        assert head is not None
        assert head.size == 25


@pytest.mark.parametrize(
    "decode",
    [
        lambda size: lambda: http1.decode_chunk_size(b"1" + b";x" * size),
        lambda size: lambda: http1.decode_chunk_size(b" " * size + b"1" + b" " * size),
        lambda size: lambda: decode_load_report("inflight:1;" * size, ("inflight",)),
        lambda size: lambda: decode_load_report("inflight:" + "9" * size, ("inflight",)),
        lambda size: lambda: via_names("(" * size),
        lambda size: lambda: via_names("(a " * size + "1.1 a," * size),
        lambda size: lambda: accepts_gzip("gzip;" * size + "," * size),
        lambda size: lambda: requested_range("bytes " + " " * size + "=" + "1-1," * size, 10),
    ],
)
def test_a_header_value_is_decoded_in_time_proportional_to_its_size(
    decode: Callable[[int], Callable[[], object]],
) -> None:
    assert time_growth(decode, 1000) <= MAX_TIME_GROWTH


@pytest.mark.parametrize("value", ["1", "1.", "0.", " ", "1e", "_"])
def test_the_fields_of_a_frame_are_decoded_in_time_proportional_to_their_size(value: str) -> None:
    def prepare(size: int) -> Callable[[], object]:
        payload = memoryview(frames.encode_fields({"heap": value + "1" * size, "ttl": "1" * size}))

        def operation() -> None:
            fields, _ = frames.decode_fields(payload)
            with suppress(frames.FieldError):
                frames._decode_size_kb(fields)
            with suppress(frames.FieldError):
                frames._decode_number(fields, "ttl", 1, 10)

        return operation

    assert time_growth(prepare, 8000) <= MAX_TIME_GROWTH


@pytest.mark.parametrize(
    "entries",
    [
        lambda size: [{"seq": n} for n in range(size, 0, -1)],
        lambda size: [{"seq": 1, "invalidate": {"bucket": 1, "time": 1}}] * size,
        lambda size: [{"seq": "9" * (3 * size)}],
    ],
)
def test_a_page_is_decoded_in_time_proportional_to_its_size(
    entries: Callable[[int], list[dict[str, object]]],
) -> None:
    def prepare(size: int) -> Callable[[], None]:
        body = json.dumps({"seq": size, "results": entries(size)}).encode()

        def operation() -> None:
            page = changelog.decode_page(body)
            changelog.snapshot_start(page)
            with suppress(changelog.ChangeLogError, ValueError):
                changelog._sorted_entries(page)

        return operation

    assert time_growth(prepare, 5000) <= MAX_TIME_GROWTH
