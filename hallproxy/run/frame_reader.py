"""Reading a client's frames within the limit of bytes that clients' requests may take in memory."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from hallproxy.run.byte_budget import ByteBudget
from hallproxy.run.sockets import Buffer, Stream
from hallproxy.wire import frames

BUFFER_SIZE = 2048  # initial bytes
MIN_READ_BYTES = 1024  # free space in the buffer for each read that waits
READ_AHEAD_BYTES = 4096  # read beyond the frames that have their memory
MAX_READ_BYTES = 16_384  # in one read, whatever length a frame claims


class ReceivedFrame(NamedTuple):
    """A complete frame. Its ``reserved`` bytes of the budget are the receiver's to release."""

    kind: int
    stream: int
    payload: bytes
    reserved: int
    waited: float  # s; the longest that it can have been unread, as there was no memory


class DropReason(Enum):
    """Why a request's frame is dropped as it arrives."""

    NO_MEMORY = "no memory"  # in time
    TOO_LONG = "too long"


class DroppedFrame(NamedTuple):
    """A request's frame that was dropped as it arrived."""

    stream: int
    reason: DropReason = DropReason.NO_MEMORY


@dataclass(slots=True)
class _Drop:
    frame: DroppedFrame
    remaining: int  # bytes


class FrameReader:
    """Reads frames, each within bytes that are reserved in ``budget`` as soon as its size is known.

    Without free bytes the reader waits and the rest stays unread, which stalls the client. Frames that would
    have to wait longer than ``max_wait`` (s) in all are dropped as they arrive, so that each is answered, and
    so are those that are longer than a request may be.

    A client that was stalled may still be sending when the socket is empty, with its next requests behind the
    frame that has begun. They have waited as long, until all is read. ``max_open``: requests that a client
    may have unanswered, so that it has sent the next one later than the first of them was read.
    """

    def __init__(
        self, stream: Stream, budget: ByteBudget, max_wait: Callable[[], float], max_open: int
    ) -> None:
        self._stream = stream
        self._budget = budget
        self._max_wait = max_wait
        self._max_open = max_open
        self._clock = asyncio.get_running_loop().time
        self._buffer = Buffer(BUFFER_SIZE)
        self._offset = 0  # bytes of the buffer that are decoded
        self._reserved = 0  # bytes, for the frame at the offset
        self._drop: _Drop | None = None
        self._waiting_since: float | None = None  # None: nothing that had to wait is still unread
        self._read_at: deque[float] = deque()  # of the last requests since then, at most ``max_open``
        self._needed = 0  # bytes that the frame at the offset waits for
        self.missing = 0  # bytes of the frame that has begun

    @property
    def needs_memory(self) -> bool:
        """Whether the next frame waits for memory."""
        return self._needed > 0

    def wait(self) -> Awaitable[None]:
        """Wait for bytes to decode, or for the memory of the next frame, as long as it may wait."""
        if self._needed:
            return self._wait_for_memory()
        if self._drop is not None:
            # Without reserved memory: what is dropped must not take more than an idle connection does.
            return self._buffer.fill(self._stream, MIN_READ_BYTES)
        return self._buffer.fill(self._stream, min(MAX_READ_BYTES, max(MIN_READ_BYTES, self.missing)))

    async def _wait_for_memory(self) -> None:
        try:
            await asyncio.wait_for(self._budget.acquire(self._needed), max(0.0, self._wait_left()))
        except TimeoutError:
            return  # dropped by the next call of ``next_frame``
        self._reserved = self._needed

    def read_available(self) -> int | None:
        """Read without waiting; returns the same as ``Stream.read_available``."""
        limit = min(MAX_READ_BYTES, self.missing) if self.missing else READ_AHEAD_BYTES
        size = self._buffer.fill_available(self._stream, limit)
        if size is None and not self.missing:
            self._waiting_since = None  # what is still to come arrives later
            self._read_at.clear()
        return size

    def next_frame(self) -> ReceivedFrame | DroppedFrame | None:
        """The next frame; None if more bytes or memory are needed. FrameError for an invalid one."""
        self.missing = self._needed = 0
        if self._drop is not None:
            return self._drop_available(self._drop)
        available = self._buffer.filled - self._offset
        if not available:
            return None
        header = frames.decode_header(self._buffer.data, self._offset, self._buffer.filled)
        if header is None:
            self.missing = frames.HEAD.size - available
            return None
        if header.size > frames.MAX_REQUEST_SIZE and header.kind == frames.REQUEST:
            return self._start_drop(header, DropReason.TOO_LONG)
        if self._may_hold(header):
            if available >= header.size:
                return self._complete(header)
            self.missing = header.size - available
            return None
        if self._wait_left() > 0:
            self._needed = header.size
            return None
        return self._start_drop(header, DropReason.NO_MEMORY)

    def _may_hold(self, header: frames.FrameHeader) -> bool:
        """Whether the frame has its memory; frames other than requests have no payload and need none."""
        if header.kind == frames.REQUEST:
            return self._reserve(header.size)
        if header.size > READ_AHEAD_BYTES:
            raise frames.FrameError(f"a frame of type {header.kind} and {header.size} bytes")
        return True

    def _reserve(self, size: int) -> bool:
        if not self._reserved and self._budget.try_acquire(size):
            self._reserved = size
        if not self._reserved and self._waiting_since is None:
            self._waiting_since = self._clock()
        return self._reserved > 0

    def _wait_left(self) -> float:
        assert self._waiting_since is not None, "only frames that have to wait are asked for"
        return self._waiting_since + self._max_wait() - self._clock()

    def _complete(self, header: frames.FrameHeader) -> ReceivedFrame:
        end = self._offset + header.size
        with memoryview(self._buffer.data) as data:
            payload = bytes(data[self._offset + frames.HEAD.size : end])
        self._offset = end
        reserved, self._reserved = self._reserved, 0
        waited = 0.0 if self._waiting_since is None else self._clock() - self._waiting_since
        if header.kind == frames.REQUEST:
            self._count_request()
        return ReceivedFrame(header.kind, header.stream, payload, reserved, waited)

    def _count_request(self) -> None:
        """Note that a request has been read while others waited, which limits how long those have waited."""
        if self._waiting_since is None:
            return
        self._read_at.append(self._clock())
        if len(self._read_at) == self._max_open:
            self._waiting_since = max(self._waiting_since, self._read_at.popleft())

    def _start_drop(self, header: frames.FrameHeader, reason: DropReason) -> DroppedFrame | None:
        self._drop = _Drop(DroppedFrame(header.stream, reason), header.size)
        return self._drop_available(self._drop)

    def _drop_available(self, drop: _Drop) -> DroppedFrame | None:
        size = min(drop.remaining, self._buffer.filled - self._offset)
        self._offset += size
        drop.remaining -= size
        self.missing = drop.remaining
        if drop.remaining:
            return None
        self._drop = None
        self._count_request()
        return drop.frame

    def discard_decoded(self) -> int:
        """Remove the decoded bytes from the buffer; returns their number."""
        size, self._offset = self._offset, 0
        self._buffer.discard(size)
        return size

    def discard_all(self) -> int:
        """Remove all received bytes and release their memory; returns their number."""
        size = self._buffer.filled
        self._offset = 0
        self._buffer.discard(size)
        self.close()
        return size

    def close(self) -> None:
        """Release the memory that is reserved for an incomplete frame."""
        self.missing = self._needed = 0
        reserved, self._reserved = self._reserved, 0
        self._budget.release(reserved)
