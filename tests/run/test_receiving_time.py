"""Guards against messages in many pieces that keep the event loop busy."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

import pytest

from hallproxy.run.response_reader import read_body, read_head
from hallproxy.run.sockets import Buffer, Stream
from tests.support.proportion import MAX_TIME_GROWTH, time_growth
from tests.support.received_bytes import ReceivedBytes

CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def receive(data: bytes, piece: int) -> bytes:
    async def run() -> bytes:
        stream, buffer = cast(Stream, ReceivedBytes(data, piece)), Buffer()
        head = await read_head(stream, buffer)
        return await read_body(stream, buffer, head, 1 << 20)

    return asyncio.run(run())


@pytest.mark.parametrize("piece", [1, 2, 3, 7, 1 << 20])
def test_a_chunked_body_is_complete_however_it_is_split(piece: int) -> None:
    chunks = [bytes([65 + n % 26]) * (1 + 97 * n % 5000) for n in range(30)]
    encoded = b"".join(b"%x;a=b\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks)
    assert receive(CHUNKED_HEAD + encoded + b"0\r\nA: b\r\n\r\n", piece) == b"".join(chunks)


@pytest.mark.timing("compares the processor time of two sizes")
@pytest.mark.parametrize(
    ("unit", "piece"), [(b"1\r\nx\r\n", 1 << 20), (b"1\r\nx\r\n", 1), (b"1;xxxxxxxx\r\nx\r\n", 100)]
)
def test_small_chunks_are_received_in_time_proportional_to_their_bytes(unit: bytes, piece: int) -> None:
    def prepare(size: int) -> Callable[[], bytes]:
        data = CHUNKED_HEAD + unit * size + b"0\r\n\r\n"
        return lambda: receive(data, piece)

    assert time_growth(prepare, 500) <= MAX_TIME_GROWTH


@pytest.mark.timing("compares the processor time of two sizes")
def test_a_message_in_small_pieces_is_buffered_in_time_proportional_to_its_bytes() -> None:
    def prepare(size: int) -> Callable[[], None]:
        data = bytes(size)

        def operation() -> None:
            stream, buffer = cast(Stream, ReceivedBytes(data)), Buffer()
            for _ in range(size):
                buffer.fill_available(stream, 1)
                buffer.discard(0)

        return operation

    assert time_growth(prepare, 16_000) <= MAX_TIME_GROWTH
