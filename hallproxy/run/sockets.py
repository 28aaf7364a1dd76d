"""IOStreams with gathered writes, and a buffer that heads are parsed in where they lie."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import ssl
from collections import deque
from collections.abc import Callable, Sequence
from typing import Any

from tornado.iostream import IOStream, SSLIOStream, StreamClosedError

INITIAL_BUFFER_SIZE = 16_384  # bytes a buffer starts with
SCRATCH = bytearray(INITIAL_BUFFER_SIZE)  # of reads that do not wait: what came is taken out at once


class Stream(IOStream):
    """An IOStream that takes several pieces in one write."""

    @property
    def unsent_bytes(self) -> int:
        """Bytes that the other side has not taken yet."""
        # A stream that has closed has no buffer any more, while its owner may still be listed as open.
        return 0 if self.closed() else len(self._write_buffer)

    def close(self, exc_info: Any = False) -> None:
        """As IOStream's. The error's traceback holds the stream, and the stream the error: each connection
        that was reset would stay in memory, its buffer too, until a full collection comes by."""
        super().close(exc_info)
        if self.error is not None:
            self.error.__traceback__ = None

    async def read_some(self, into: memoryview, timeout: float | None = None) -> int:
        """Read what there is, at least a byte; TimeoutError if none comes within so many seconds."""
        reading = self.read_into(into, partial=True)  # type: ignore[arg-type]
        try:
            # Most reads are over at once: a timer for each would cost more than they do.
            if timeout is not None and isinstance(reading, asyncio.Future) and not reading.done():
                await asyncio.wait((reading,), timeout=timeout)
                if not reading.done():
                    reading.cancel()
                    raise TimeoutError
            return await reading
        finally:
            # An error's traceback holds this frame (or wait_for's) and the read holds the error: each
            # connection that ends would stay in memory, its buffer too, until a full collection comes by.
            del reading

    def is_stale(self) -> bool:
        """Whether the other side has closed, or has sent something that nobody has read yet."""
        if self.closed():
            return True
        try:
            self.socket.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True
        return True

    def read_available(self, into: memoryview) -> int | None:
        """Read without waiting: how many bytes; 0 at the other side's close; None if there is nothing.

        StreamClosedError if the connection was reset. Only while no other read waits.
        """
        if self.closed():
            raise StreamClosedError(self.error)
        try:
            return self.socket.recv_into(into)
        except (BlockingIOError, InterruptedError):
            return None
        except OSError as error:
            raise StreamClosedError(error) from None

    def half_close(self) -> None:
        """End our direction behind all that was written; the other side may still send."""
        if not self.closed():
            with contextlib.suppress(OSError):  # it has closed already
                self.socket.shutdown(socket.SHUT_WR)

    def write_pieces(self, pieces: Sequence[bytes]) -> None:
        """Write the pieces in their order: in one system call where the socket takes them.

        What it does not take waits in the stream's own buffer, behind what waits there already.
        """
        if self.closed():
            raise StreamClosedError(self.error)
        sent = 0
        if not self.writing():
            try:
                sent = self.socket.sendmsg(pieces)
            except (BlockingIOError, InterruptedError):
                sent = 0
            except OSError as error:
                self.close(error)
                raise StreamClosedError(error) from None
        for piece in pieces:
            if sent >= len(piece):
                sent -= len(piece)
                continue
            # The future is of no use here: a break shows at the reader, which is always waiting.
            self.write(memoryview(piece)[sent:] if sent else piece).add_done_callback(lambda f: f.exception())
            sent = 0


class TlsStream(SSLIOStream, Stream):
    """A Stream over TLS. Records can't be gathered or peeked at, so each write is one piece, and an idle
    connection counts as usable until a read shows it closed: what is then lost was sent, and is repeated
    only as its class allows."""

    def is_stale(self) -> bool:
        """Whether the connection is known to have closed."""
        return self.closed()

    def write_pieces(self, pieces: Sequence[bytes]) -> None:
        """Write the pieces in their order, as one."""
        if self.closed():
            raise StreamClosedError(self.error)
        self.write(b"".join(pieces)).add_done_callback(lambda f: f.exception())


def tls_client_stream(sock: socket.socket, context: ssl.SSLContext) -> Stream:
    """A stream that speaks TLS with ``context`` once connected; its ``connect`` ends after the handshake."""
    made = TlsStream(sock, ssl_options=context, max_buffer_size=1 << 40, read_chunk_size=65_536)
    made.set_nodelay(True)
    return made


def tls_server_stream(sock: socket.socket, context: ssl.SSLContext) -> Stream:
    """A client's connection that speaks TLS with ``context``; ``wait_for_handshake`` tells when it can."""
    wrapped = context.wrap_socket(sock, server_side=True, do_handshake_on_connect=False)
    made = TlsStream(wrapped, max_buffer_size=1 << 40, read_chunk_size=65_536)
    made.set_nodelay(True)
    return made


def tcp_stream(sock: socket.socket) -> Stream:
    """The read buffer of the stream's own is never filled: reads go into ours."""
    # The stream's own limit would count what is read into our buffers too, which have bounds of their own.
    made = Stream(sock, max_buffer_size=1 << 40, read_chunk_size=65_536)
    made.set_nodelay(True)
    return made


class ByteBudget:
    """Bytes of bodies that may be in memory at once. A reader over the limit waits, and so does its sender.

    Bodies over ``small`` bytes leave the last quarter to those under it, and the two wait in lines of their
    own: a flood of large ones must not make the small ones wait. With ``small`` 0 all are alike.
    """

    def __init__(self, most: Callable[[], int], small: Callable[[], int] = lambda: 0) -> None:
        self._limit, self._small_limit = most, small  # asked each time: a reload may change them
        self._acquired = 0
        self._waiting: tuple[deque[asyncio.Future[None]], ...] = (deque(), deque())  # small, large

    async def acquire(self, size: int) -> None:
        """Wait until ``size`` bytes are free, and take them."""
        small = self._small_limit()
        large = 0 < small < size
        while self._acquired and self._acquired + size > self._limit() * (3 if large else 4) // 4:
            waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self._waiting[large].append(waiter)
            await waiter
        self._acquired += size

    def release(self, size: int) -> None:
        """Return ``size`` bytes, and wake who waits for them."""
        self._acquired -= size
        for line in self._waiting:
            while line:
                waiter = line.popleft()
                if not waiter.done():
                    waiter.set_result(None)


class Buffer:
    """Bytes as they came; ``filled`` of them count, from the start."""

    __slots__ = ("data", "filled")

    def __init__(self, size: int = INITIAL_BUFFER_SIZE) -> None:
        self.data = bytearray(size)
        self.filled = 0

    async def fill(self, source: Stream, min_free: int = 1, timeout: float | None = None) -> None:
        """Read what there is, after making room for so many bytes; TimeoutError if nothing comes."""
        if len(self.data) - self.filled < min_free:
            self.data.extend(bytes(min_free - (len(self.data) - self.filled)))
        self.filled += await source.read_some(memoryview(self.data)[self.filled :], timeout)

    def fill_available(self, source: Stream, max_bytes: int) -> int | None:
        """Read without waiting up to ``max_bytes`` bytes; as ``Stream.read_available`` says."""
        size = source.read_available(memoryview(SCRATCH)[:max_bytes])
        if size:
            # Only what came makes it grow: many connections rest, each with a buffer of its own.
            self.data[self.filled : self.filled + size] = SCRATCH[:size]
            self.filled += size
        return size

    def discard(self, size: int) -> None:
        """Forget the first so many bytes."""
        rest = self.filled - size
        if rest:
            self.data[:rest] = self.data[size : self.filled]
        self.filled = rest
        if rest <= INITIAL_BUFFER_SIZE < len(self.data):
            self.data = self.data[:INITIAL_BUFFER_SIZE]  # a large message must not hold its memory for good
