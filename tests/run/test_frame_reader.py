"""A client's frames within a budget of bytes, on a stand-in stream."""

from __future__ import annotations

import asyncio
from typing import cast

import pytest

from hallproxy.run.byte_budget import ByteBudget
from hallproxy.run.frame_reader import (
    READ_AHEAD_BYTES,
    DroppedFrame,
    DropReason,
    FrameReader,
    ReceivedFrame,
)
from hallproxy.run.sockets import Stream
from hallproxy.wire import frames
from tests.support.received_bytes import ReceivedBytes

LIMIT = 60_000  # bytes of the budget
MAX_WAIT = 0.05  # s for memory, where a test waits for its end
MAX_OPEN = 6  # requests that a client may have unanswered


def encode(kind: int, stream: int, size: int) -> bytes:
    return b"".join(frames.encode_frame(kind, stream, bytes([stream]) * size))


async def read(reader: FrameReader) -> list[ReceivedFrame | DroppedFrame]:
    """The frames that are complete and have their memory."""
    received = []
    while True:
        while (frame := reader.next_frame()) is not None:
            received.append(frame)
        reader.discard_decoded()
        if reader.needs_memory or reader.read_available() is None:
            return received


def start(budget: ByteBudget, *encoded: bytes, max_wait: float = 5.0) -> tuple[FrameReader, ReceivedBytes]:
    stream = ReceivedBytes(b"".join(encoded))
    return FrameReader(cast(Stream, stream), budget, lambda: max_wait, MAX_OPEN), stream


async def start_stalled() -> tuple[ByteBudget, FrameReader, ReceivedBytes]:
    """A reader of one frame that has waited as long as it may for memory that others hold."""
    budget = ByteBudget(lambda: LIMIT)
    assert budget.try_acquire(LIMIT)
    reader, stream = start(budget, encode(65, 1, 20_000), max_wait=MAX_WAIT)
    assert await read(reader) == []
    await reader.wait()
    return budget, reader, stream


def test_a_frame_without_memory_stays_unread_until_there_is_some() -> None:
    async def run() -> None:
        budget = ByteBudget(lambda: LIMIT)
        reader, stream = start(budget, encode(65, 1, 40_000), encode(65, 2, 40_000), encode(65, 3, 100))
        (first,) = await read(reader)
        assert isinstance(first, ReceivedFrame) and first.payload == bytes([1]) * 40_000
        assert reader.needs_memory and stream.unread_bytes > 40_000 - READ_AHEAD_BYTES
        asyncio.get_running_loop().call_later(0.05, budget.release, first.reserved)
        await reader.wait()
        second, third = await read(reader)
        assert isinstance(second, ReceivedFrame) and second.payload == bytes([2]) * 40_000
        assert isinstance(third, ReceivedFrame) and third.stream == 3 and second.waited >= 0.04
        for frame in (second, third):
            budget.release(frame.reserved)
        stream.receive(encode(65, 4, 100))
        (later,) = await read(reader)
        assert isinstance(later, ReceivedFrame) and later.waited == 0

    asyncio.run(run())


def test_frames_that_wait_too_long_are_dropped_and_the_next_ones_read() -> None:
    async def run() -> None:
        budget = ByteBudget(lambda: LIMIT)
        assert budget.try_acquire(LIMIT)
        frames_sent = [encode(65, n, 20_000) for n in (1, 2, 3)]
        reader, _ = start(budget, *frames_sent, max_wait=MAX_WAIT)
        assert await read(reader) == []
        await reader.wait()
        assert await read(reader) == [DroppedFrame(1), DroppedFrame(2), DroppedFrame(3)]
        assert not reader.needs_memory and reader.missing == 0

    asyncio.run(run())


def test_frames_of_a_client_that_is_still_sending_do_not_wait_afresh() -> None:
    # Guards against a stalled client whose last requests are answered several waits after it sent them.
    async def run() -> None:
        budget, reader, stream = await start_stalled()
        stream.receive(encode(65, 2, 20_000)[:100])  # the system had no more of it yet
        assert await read(reader) == [DroppedFrame(1)]
        stream.receive(encode(65, 2, 20_000)[100:] + encode(65, 3, 20_000) + encode(65, 4, 100)[:50])
        assert await read(reader) == [DroppedFrame(2), DroppedFrame(3)]
        budget.release(LIMIT)
        stream.receive(encode(65, 4, 100)[50:] + encode(65, 5, 100))
        for frame in await read(reader):
            assert isinstance(frame, DroppedFrame) or frame.waited >= MAX_WAIT

    asyncio.run(run())


def test_a_client_that_never_stops_sending_has_not_waited_since_its_first_frame() -> None:
    # Guards against requests that are rejected for good, as the socket is never found empty between two.
    async def run() -> None:
        budget, reader, stream = await start_stalled()
        budget.release(LIMIT)
        waited = []
        for number in range(1, 4 * MAX_OPEN):
            await asyncio.sleep(MAX_WAIT)
            following = encode(65, number + 1, 20_000)
            stream.receive(following[:100])
            for frame in await read(reader):
                assert isinstance(frame, ReceivedFrame)
                waited.append(frame.waited)
                budget.release(frame.reserved)
            stream.receive(following[100:])
        assert len(waited) > 3 * MAX_OPEN
        assert max(waited) < (MAX_OPEN + 3) * MAX_WAIT

    asyncio.run(run())


def test_a_request_that_is_too_long_is_dropped_as_it_arrives_and_the_next_one_read() -> None:
    # Guards against one request that ends the connection of others, and against memory for what is dropped.
    async def run() -> None:
        budget = ByteBudget(lambda: LIMIT)
        longest = frames.MAX_FRAME_BYTES - 5
        reader, _ = start(budget, encode(65, 1, longest), encode(65, 2, 100))
        dropped, received = await read(reader)
        assert dropped == DroppedFrame(1, DropReason.TOO_LONG)
        assert isinstance(received, ReceivedFrame) and received.stream == 2
        assert budget.try_acquire(LIMIT - received.reserved)

    asyncio.run(run())


@pytest.mark.parametrize("kind", [frames.CANCEL, frames.READINESS_REQUEST])
def test_frames_without_a_request_need_no_memory(kind: int) -> None:
    async def run() -> None:
        budget = ByteBudget(lambda: LIMIT)
        assert budget.try_acquire(LIMIT)
        reader, _ = start(budget, encode(kind, 1, 0), encode(kind, 2, 1))
        assert [frame.stream for frame in await read(reader)] == [1, 2]
        reader, _ = start(budget, encode(kind, 1, READ_AHEAD_BYTES))
        with pytest.raises(frames.FrameError):
            await read(reader)

    asyncio.run(run())


def test_the_memory_of_an_incomplete_frame_is_released_at_the_end() -> None:
    async def run() -> None:
        budget = ByteBudget(lambda: LIMIT)
        reader, _ = start(budget, encode(65, 1, 40_000)[:-1])
        assert await read(reader) == [] and reader.missing == 1
        assert not budget.try_acquire(40_000)
        reader.close()
        assert budget.try_acquire(LIMIT)

    asyncio.run(run())
