"""IOStreams with gathered writes, and a buffer for parsing in place."""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
import ssl
from collections.abc import Sequence
from typing import Any

from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, SSLIOStream, StreamClosedError

INITIAL_BUFFER_SIZE = 16_384  # bytes
SCRATCH = bytearray(INITIAL_BUFFER_SIZE)  # for reads that do not wait; copied out at once


class Stream(IOStream):
    """An IOStream with reads that do not wait and gathered writes; it receives only what is asked for.

    ``read_waited``: whether the last ``read_some`` had to wait, so that the event loop has had a turn.
    """

    read_waited = False

    @property
    def unsent_bytes(self) -> int:
        """Bytes not yet passed to the system, as the peer does not read."""
        # A closed stream has no buffer, while its owner may still list it as open.
        return 0 if self.closed() else len(self._write_buffer)

    def close(self, exc_info: Any = False) -> None:
        """As IOStream's. The error's traceback references the stream, and the stream the error: without the
        cycle broken, each reset connection and its buffer would stay in memory until a full collection."""
        super().close(exc_info)
        if self.error is not None:
            self.error.__traceback__ = None

    def _handle_events(self, fd: Any, events: int) -> None:
        """As IOStream's, which also reads a block while no read is pending.

        No budget would count that block, and reads that do not wait would continue behind it.
        """
        if events & IOLoop.READ and not (self.reading() or self._connecting or self.closed()):
            events &= ~IOLoop.READ
            assert self._state is not None, "events arrive only for a registered stream"
            self._state &= ~IOLoop.READ  # the next read registers it again
            self.io_loop.update_handler(self.fileno(), self._state)
            if not events:
                return
        super()._handle_events(fd, events)

    async def read_some(self, into: memoryview, timeout: float | None = None) -> int:
        """Read what is available, at least a byte; TimeoutError if there is none within ``timeout`` s."""
        reading = self.read_into(into, partial=True)  # type: ignore[arg-type]
        self.read_waited = not reading.done()  # type: ignore[attr-defined]
        try:
            # Most reads complete at once: a timer for each would cost more than the read.
            if timeout is not None and isinstance(reading, asyncio.Future) and not reading.done():
                await asyncio.wait((reading,), timeout=timeout)
                if not reading.done():
                    reading.cancel()
                    raise TimeoutError
            return await reading
        finally:
            # An error's traceback references this frame (or wait_for's), and the read the error: each ended
            # connection and its buffer would stay in memory until a full collection.
            del reading

    def is_stale(self) -> bool:
        """Whether the peer has closed, or has sent data that has not been read."""
        if self.closed():
            return True
        try:
            self.socket.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True
        return True

    def peer_has_closed(self) -> bool:
        """Whether the peer has closed or reset the connection, also behind data that has not been read."""
        if self.closed():
            return True
        poll = select.poll()
        poll.register(self.fileno(), select.POLLRDHUP | select.POLLHUP | select.POLLERR)
        return bool(poll.poll(0))

    def read_available(self, into: memoryview) -> int | None:
        """Read without waiting; returns the number of bytes, 0 at the peer's close, None if there are none.

        StreamClosedError if the connection was reset. Only while no other read is pending.
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
        """Close the write side after all that was written; the peer may still send."""
        if not self.closed():
            with contextlib.suppress(OSError):  # the peer has closed
                self.socket.shutdown(socket.SHUT_WR)

    def write_pieces(self, pieces: Sequence[bytes]) -> None:
        """Write the pieces in order, in one system call if the socket accepts them.

        What it does not accept is appended to the stream's own write buffer.
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
            self._write_behind(memoryview(piece)[sent:] if sent else piece)
            sent = 0

    def _write_behind(self, piece: bytes | memoryview) -> None:
        """Append to the write buffer. A failure shows at the reader, which is always waiting.

        IOStream's ``write`` also tries to send and keeps a future for each call, of which a client that does
        not read would have one for each small response.
        """
        if not self.writing():
            self.write(piece).add_done_callback(lambda f: f.exception())
            return
        self._write_buffer.append(piece)
        self._total_write_index += len(piece)


class TlsStream(SSLIOStream, Stream):
    """A Stream over TLS. TLS records can't be gathered or peeked at, so each write is one piece, and an idle
    connection counts as usable until a read finds it closed: a request lost that way counts as sent, and is
    retried only as its class allows."""

    def is_stale(self) -> bool:
        """Whether the connection is known to have closed."""
        return self.closed()

    def write_pieces(self, pieces: Sequence[bytes]) -> None:
        """Write the pieces in order, joined to one."""
        if self.closed():
            raise StreamClosedError(self.error)
        self._write_behind(b"".join(pieces))


def tls_client_stream(sock: socket.socket, context: ssl.SSLContext) -> Stream:
    """A stream that uses TLS with ``context``; its ``connect`` includes the handshake."""
    stream = TlsStream(sock, ssl_options=context, max_buffer_size=1 << 40, read_chunk_size=65_536)
    stream.set_nodelay(True)
    return stream


def tls_server_stream(sock: socket.socket, context: ssl.SSLContext) -> Stream:
    """A client's connection that uses TLS with ``context``, usable after ``wait_for_handshake``."""
    wrapped = context.wrap_socket(sock, server_side=True, do_handshake_on_connect=False)
    stream = TlsStream(wrapped, max_buffer_size=1 << 40, read_chunk_size=65_536)
    stream.set_nodelay(True)
    return stream


def tcp_stream(sock: socket.socket) -> Stream:
    """A stream whose own read buffer is never filled, as reads go into a ``Buffer``."""
    # The stream's own limit would also count what is read into a Buffer, whose users have their own limits.
    stream = Stream(sock, max_buffer_size=1 << 40, read_chunk_size=65_536)
    stream.set_nodelay(True)
    return stream


class Buffer:
    """Received bytes: the first ``filled`` ones of ``data``, which shrinks to its initial size again."""

    __slots__ = ("data", "filled", "_initial_size")

    def __init__(self, size: int = INITIAL_BUFFER_SIZE) -> None:
        self._initial_size = size
        self.data = bytearray(size)
        self.filled = 0

    async def fill(self, source: Stream, min_free: int = 1, timeout: float | None = None) -> None:
        """Read what is available, with at least ``min_free`` bytes free; TimeoutError as in ``read_some``."""
        if len(self.data) - self.filled < min_free:
            self.data.extend(bytes(min_free - (len(self.data) - self.filled)))
        self.filled += await source.read_some(memoryview(self.data)[self.filled :], timeout)

    def fill_available(self, source: Stream, max_bytes: int) -> int | None:
        """Read up to ``max_bytes`` bytes without waiting; returns the same as ``Stream.read_available``."""
        size = source.read_available(memoryview(SCRATCH)[:max_bytes])
        if size:
            # Grows by the received bytes only: many connections are idle, each with its own buffer.
            self.data[self.filled : self.filled + size] = SCRATCH[:size]
            self.filled += size
        return size

    def discard(self, size: int) -> None:
        """Discard the first ``size`` bytes."""
        if not size:
            return  # moves nothing while a message arrives in small pieces
        remaining = self.filled - size
        if remaining:
            self.data[:remaining] = self.data[size : self.filled]
        self.filled = remaining
        if remaining <= self._initial_size < len(self.data):
            self.data = self.data[: self._initial_size]  # frees the memory of a large message
