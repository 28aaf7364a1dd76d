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
        while (head := decode_response_head(buffer.data, buffer.filled)) is None:
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
    body = bytearray()
    framing = 0  # bytes of chunk sizes and trailers, which need a limit too
    while length := decode_chunk_size(line := await _read_line(stream, buffer, stall_timeout)):
        framing += len(line)
        if len(body) + length > max_bytes:
            raise HttpError(f"chunked body exceeds {max_bytes} bytes")
        body += await _read_exactly(stream, buffer, length, stall_timeout)
        if await _read_line(stream, buffer, stall_timeout):
            raise HttpError("chunk is longer than its size")
        if framing > MAX_FRAMING_BYTES:
            raise HttpError("chunk sizes exceed the limit of framing bytes")
    while line := await _read_line(stream, buffer, stall_timeout):  # trailers
        framing += len(line)
        if framing > MAX_FRAMING_BYTES:
            raise HttpError("chunk sizes and trailers exceed the limit of framing bytes")
    return bytes(body)


async def _read_line(stream: Stream, buffer: Buffer, stall_timeout: float | None) -> bytes:
    while (end := buffer.data.find(b"\r\n", 0, buffer.filled)) < 0:
        if buffer.filled > MAX_LINE_BYTES:
            raise HttpError("line of a chunk size or trailer is too long")
        await buffer.fill(stream, READ_BYTES, stall_timeout)
    line = bytes(buffer.data[:end])
    buffer.discard(end + 2)
    return line


async def _read_exactly(stream: Stream, buffer: Buffer, size: int, stall_timeout: float | None) -> bytes:
    while buffer.filled < size:
        await buffer.fill(stream, size - buffer.filled, stall_timeout)
    data = bytes(buffer.data[:size])
    buffer.discard(size)
    return data
