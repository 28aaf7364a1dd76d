"""Reading one HTTP/1.1 response from a connection: the head, then a complete body."""

from __future__ import annotations

from hallproxy.run.sockets import Buffer, Stream
from hallproxy.wire.http1 import Head, HttpError, decode_chunk_size, decode_response_head

MAX_INTERIM_RESPONSES = 8  # heads read, including the final response's
MAX_FRAMING_BYTES = 32_768  # chunk sizes and trailers of a chunked body
MAX_LINE_BYTES = 4096  # of a chunk size or a trailer
READ_BYTES = 2048  # free space in the buffer for each read of a head or line
FIRST_FINAL_STATUS = 200
SWITCHING_PROTOCOLS = 101


async def read_head(stream: Stream, buffer: Buffer, stall_timeout: float | None = None) -> Head:
    """Read the final response's head, after interim ones (1xx); HttpError where there is no final one.

    ``stall_timeout``: s without a byte after which a head that has begun has stalled (TimeoutError). There is
    no time limit between an interim response and the next head.
    """
    for _ in range(MAX_INTERIM_RESPONSES):
        searched = 0
        while (head := decode_response_head(buffer.data, buffer.filled, searched)) is None:
            searched = buffer.filled
            await buffer.fill(stream, READ_BYTES, stall_timeout if buffer.filled else None)
        buffer.discard(head.size)
        if head.status >= FIRST_FINAL_STATUS:
            return head
        if head.status == SWITCHING_PROTOCOLS:
            break
    raise HttpError("interim responses without a final one")


async def read_body(
    stream: Stream, buffer: Buffer, head: Head, max_bytes: int, stall_timeout: float | None = None
) -> bytes:
    """Read a response's complete body. A truncated one raises, as does one over ``max_bytes`` (HttpError)."""
    if head.body_length is not None:
        return await _read_sized(stream, buffer, head.body_length, max_bytes, stall_timeout)
    if not head.chunked:
        raise HttpError("body has neither Content-Length nor chunked coding")
    return await _read_chunked(stream, buffer, max_bytes, stall_timeout)


async def _read_sized(
    stream: Stream, buffer: Buffer, length: int, max_bytes: int, stall_timeout: float | None
) -> bytes:
    if length > max_bytes:
        raise HttpError(f"Content-Length {length} exceeds the limit")
    body = bytearray(length)
    received = min(length, buffer.filled)
    body[:received] = memoryview(buffer.data)[:received]
    buffer.discard(received)
    while received < length:
        received += await stream.read_some(memoryview(body)[received:], stall_timeout)
    return bytes(body)


async def _read_chunked(stream: Stream, buffer: Buffer, max_bytes: int, stall_timeout: float | None) -> bytes:
    reader = _ChunkReader(stream, buffer, stall_timeout)
    body = bytearray()
    framing = 0  # bytes of chunk sizes and trailers, which need a limit too
    while length := decode_chunk_size(line := await reader.read_line()):
        framing += len(line)
        if len(body) + length > max_bytes:
            raise HttpError(f"chunked body exceeds {max_bytes} bytes")
        await reader.read_into(body, length)
        if await reader.read_line():
            raise HttpError("chunk is longer than its size")
        if framing > MAX_FRAMING_BYTES:
            raise HttpError("chunk sizes exceed the limit of framing bytes")
    while line := await reader.read_line():  # trailers
        framing += len(line)
        if framing > MAX_FRAMING_BYTES:
            raise HttpError("chunk sizes and trailers exceed the limit of framing bytes")
    reader.discard_consumed()
    return bytes(body)


class _ChunkReader:
    """Reads lines and chunks from a buffer.

    What was consumed stays in the buffer until more has to be received: discarding it moves the bytes that
    follow, and a buffer may hold thousands of small chunks.
    """

    def __init__(self, stream: Stream, buffer: Buffer, stall_timeout: float | None) -> None:
        self._stream = stream
        self._buffer = buffer
        self._stall_timeout = stall_timeout
        self._consumed = 0  # bytes at the start of the buffer

    async def read_line(self) -> bytes:
        """The next line without its CRLF; HttpError where it is too long."""
        buffer = self._buffer
        searched = self._consumed
        while (end := buffer.data.find(b"\r\n", searched, buffer.filled)) < 0:
            if buffer.filled - self._consumed > MAX_LINE_BYTES:
                raise HttpError("line of a chunk size or trailer is too long")
            self.discard_consumed()
            searched = max(0, buffer.filled - 1)  # the last byte may be the CR
            await buffer.fill(self._stream, READ_BYTES, self._stall_timeout)
        line = bytes(buffer.data[self._consumed : end])
        self._consumed = end + 2
        return line

    async def read_into(self, body: bytearray, size: int) -> None:
        """Append the next ``size`` bytes to ``body``."""
        start = len(body)
        buffered = min(size, self._buffer.filled - self._consumed)
        with memoryview(self._buffer.data) as data:
            body += data[self._consumed : self._consumed + buffered]
        self._consumed += buffered
        if buffered == size:
            return
        self.discard_consumed()
        body += bytes(size - buffered)
        with memoryview(body) as view:
            received = start + buffered
            while received < start + size:
                received += await self._stream.read_some(view[received:], self._stall_timeout)

    def discard_consumed(self) -> None:
        """Remove the consumed bytes from the buffer."""
        self._buffer.discard(self._consumed)
        self._consumed = 0
