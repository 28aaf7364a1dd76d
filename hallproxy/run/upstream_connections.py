"""Connections to endpoints, with one task for each."""

from __future__ import annotations

import asyncio
import socket
import ssl
from dataclasses import dataclass, field
from typing import Protocol

from tornado.iostream import StreamClosedError

from hallproxy.run.byte_budget import ByteBudget
from hallproxy.run.config import ConfigError, address
from hallproxy.run.effect_runner import EffectRunner
from hallproxy.run.log import log_line
from hallproxy.run.response_reader import read_body, read_head
from hallproxy.run.sockets import Buffer, Stream, tcp_stream, tls_client_stream
from hallproxy.state.effects import SendRequest, UpstreamRequest
from hallproxy.state.events import (
    AttemptResult,
    ConnectionClosed,
    ConnectionOpened,
    FailureReason,
    ResponseReceived,
)
from hallproxy.wire.http1 import Head, HttpError

THREAD_DECODE_BYTES = 262_144  # size from which a body is decoded in a thread; the platform's are smaller
CHUNKED_BODY_BYTES = 1024 * 1024  # counted in the budget for a body of unknown length
READ_BYTES = 2048  # free space in the buffer for the first read of a response
BUFFER_SIZE = 4096  # initial bytes; a connection keeps them while it is idle
CREDENTIAL_REJECTIONS = (401, 403, 407)  # statuses; the operator's credentials are wrong, not the endpoint


class ProtocolCodec(Protocol):
    """How requests are encoded for the endpoints of one front, and their responses decoded."""

    max_body_bytes: int

    @property
    def stall_timeout(self) -> float:
        """Seconds without a byte after which a response that has begun counts as stalled."""
        ...

    def head(self, request: UpstreamRequest, host: str) -> bytes:
        """The request's head."""
        ...

    def tls(self, host: str) -> tuple[ssl.SSLContext, str] | None:
        """The context, and the name to verify; None: without TLS."""
        ...

    def read(
        self, request: UpstreamRequest, head: Head, body: bytes, sent_at: int, host: str
    ) -> AttemptResult:
        """The attempt's result for the complete response."""
        ...


class Download(Protocol):
    """A response body that is written to disk as it arrives."""

    async def receive(
        self, stream: Stream, buffer: Buffer, stall_timeout: float, sent_at: int
    ) -> AttemptResult:
        """Receive the complete body. A failed connection raises; the received part is kept to be resumed.

        ``stall_timeout``: s without a byte after which the response has stalled. ``sent_at``: Unix ns.
        """
        ...


class Downloads(Protocol):
    """Selects the response bodies that go to disk."""

    def with_range(self, request: UpstreamRequest, host: str) -> UpstreamRequest:
        """The request, with a range for the rest where a partial download can be resumed."""
        ...

    def begin(self, request: UpstreamRequest, head: Head, host: str) -> Download | None:
        """The download of this response's body; None: it is read into memory."""
        ...


@dataclass(slots=True)
class _Connection:
    """One connection to an endpoint, and the request that it carries, if any."""

    number: int  # the reducer's
    stream: Stream
    host: str
    tls_name: str | None  # name that the certificate must have; None: without TLS
    buffer: Buffer = field(default_factory=lambda: Buffer(BUFFER_SIZE))
    request: UpstreamRequest | None = None
    sent_at: int = 0  # Unix ns


class UpstreamConnections:
    """Sends the reducer's requests over HTTP/1.1 and dispatches their responses."""

    def __init__(self, runner: EffectRunner, codec: ProtocolCodec) -> None:
        self._runner = runner
        state = runner.state
        self._budget = ByteBudget(lambda: state.limits.body_bytes, lambda: state.limits.small_body_bytes)
        self._codec = codec
        self._connections: dict[int, _Connection] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.downloads: Downloads | None = None  # None: every body is read into memory
        self._rejections: dict[str, int] = {}  # host -> status last logged; one for each endpoint

    def open(self, number: int, host: str) -> None:
        """Connect to ``host`` (HOST:PORT); the outcome is dispatched."""
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:
            log_line(f"store {host}: {error.strerror}")
            event = ConnectionClosed(self._runner.now(), number, out_of_descriptors=True)
            self._runner.dispatch(event)
            return
        tls = self._codec.tls(host)
        stream = tcp_stream(sock) if tls is None else tls_client_stream(sock, tls[0])
        connection = _Connection(number, stream, host, tls and tls[1])
        self._connections[number] = connection
        task = asyncio.get_running_loop().create_task(self._serve(connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def send(self, number: int, effect: SendRequest) -> None:
        """Send the request; a connection that is no longer usable is closed, with the request unsent."""
        connection = self._connections.get(number)
        if connection is None:
            return  # it has just failed, and its ConnectionClosed is about to be dispatched
        request = effect.request
        if self.downloads is not None:
            request = self.downloads.with_range(request, connection.host)
        if connection.stream.is_stale():
            # Closed, reset or sent to while it was idle: the unsent request can use another connection.
            self._close_unused(number)
            return
        connection.request = request
        connection.sent_at = self._runner.now()
        head = self._codec.head(request, connection.host)
        try:
            connection.stream.write_pieces([head, request.body] if request.body else [head])
        except StreamClosedError:
            # Failed since that check: the system accepted no byte, so the endpoint can't have run it.
            self._close_unused(number)

    def close(self, number: int) -> None:
        """Close at once, even with a request in flight."""
        connection = self._connections.pop(number, None)
        if connection is not None:
            connection.request = None
            connection.stream.close()

    def _close_unused(self, number: int) -> None:
        self.close(number)
        self._runner.dispatch(ConnectionClosed(self._runner.now(), number, unused=True))

    def _is_open(self, connection: _Connection) -> bool:
        return connection.number in self._connections

    async def _serve(self, connection: _Connection) -> None:
        """Connect, then receive responses until the connection closes."""
        host = connection.host
        try:
            if not self._is_open(connection):
                return  # closed before the task started
            await self._connect(connection)
            self._runner.dispatch(ConnectionOpened(self._runner.now(), connection.number))
            while self._is_open(connection):
                if not await self._receive_response(connection):
                    return
        except TimeoutError:
            # Without the timeout a stalled response would use up its request's time.
            log_line(f"store {host}: response stalled, connection closed")
        except (StreamClosedError, OSError, ConfigError):
            pass
        except HttpError as error:
            log_line(f"store {host}: {error}")
        finally:
            # Even after an unexpected error: an attempt must never wait for a reader that has ended.
            if self._is_open(connection):
                self._runner.dispatch(ConnectionClosed(self._runner.now(), connection.number))
                self.close(connection.number)

    async def _connect(self, connection: _Connection) -> None:
        name = connection.tls_name
        try:
            await connection.stream.connect(address(connection.host), server_hostname=name)
        except (StreamClosedError, OSError) as error:
            if name is not None:
                _log_tls_failure(connection.host, error)
            raise

    def _log_rejection(self, host: str, status: int) -> None:
        """Log the first rejection of the credentials, and their acceptance again, not each rejection."""
        rejection = status if status in CREDENTIAL_REJECTIONS else 0
        if self._rejections.get(host, 0) == rejection:
            return
        if rejection:
            log_line(f"store {host}: rejects the credentials ({rejection}); check the configured ones")
        elif host in self._rejections:
            log_line(f"store {host}: accepts the credentials again")
        self._rejections[host] = rejection

    async def _receive_response(self, connection: _Connection) -> bool:
        """Receive and dispatch one response; returns whether the connection stays open."""
        buffer = connection.buffer
        if not buffer.filled:
            await buffer.fill(connection.stream, READ_BYTES)
        if connection.request is None:
            # These bytes would be taken for the next request's response.
            raise HttpError("data received without a request in flight")
        head = await read_head(connection.stream, buffer, self._codec.stall_timeout)
        self._log_rejection(connection.host, head.status)
        if self.downloads is not None:
            download = self.downloads.begin(_request(connection), head, connection.host)
            if download is not None:
                return await self._receive_download(connection, head, download)
        size = min(
            CHUNKED_BODY_BYTES if head.body_length is None else head.body_length, self._codec.max_body_bytes
        )
        if not self._budget.try_acquire(size):
            await self._budget.acquire(size)
        try:
            return await self._receive_body(connection, head)
        finally:
            self._budget.release(size)

    async def _receive_body(self, connection: _Connection, head: Head) -> bool:
        codec, stream, buffer = self._codec, connection.stream, connection.buffer
        body = await read_body(stream, buffer, head, codec.max_body_bytes, codec.stall_timeout)
        if not self._is_open(connection):
            return False
        request = connection.request
        connection.request = None
        if request is None:
            raise HttpError("response without a request in flight")
        sent_at, host = connection.sent_at, connection.host
        if len(body) < THREAD_DECODE_BYTES:
            result = codec.read(request, head, body, sent_at, host)
        else:
            # Decoding a large index or hashing a large file takes seconds.
            result = await asyncio.to_thread(codec.read, request, head, body, sent_at, host)
            if not self._is_open(connection):
                return False
        # Bytes after the response belong to no request: the connection is not reused.
        reusable = head.keep_alive and not buffer.filled and not stream.closed()
        event = ResponseReceived(self._runner.now(), connection.number, result, reusable)
        self._runner.dispatch(event)
        return True

    async def _receive_download(self, connection: _Connection, head: Head, download: Download) -> bool:
        """Receive a body to disk; the result contains the file's name."""
        stream, buffer = connection.stream, connection.buffer
        result = await download.receive(stream, buffer, self._codec.stall_timeout, connection.sent_at)
        expected = connection.request is not None
        connection.request = None
        # After a disk failure a part of this body is unread.
        complete = result.reason is not FailureReason.BUSY
        reusable = expected and complete and head.keep_alive and not buffer.filled and not stream.closed()
        event = ResponseReceived(self._runner.now(), connection.number, result, reusable)
        self._runner.dispatch(event)
        return reusable


def _request(connection: _Connection) -> UpstreamRequest:
    if connection.request is None:
        raise HttpError("response without a request in flight")
    return connection.request


def _log_tls_failure(host: str, error: Exception) -> None:
    """Log why a handshake failed, as an operator can correct an untrusted or misnamed certificate.

    An endpoint that is down is not logged: its connects fail the same way without TLS.
    """
    cause = error.real_error if isinstance(error, StreamClosedError) else error
    if isinstance(cause, ConnectionRefusedError):
        return
    if isinstance(cause, ssl.SSLCertVerificationError):
        log_line(f"store {host}: its certificate is not trusted: {cause.verify_message}")
        return
    reason = cause.reason if isinstance(cause, ssl.SSLError) else cause
    log_line(f"store {host}: TLS failed: {reason or 'connection closed during the handshake'}")
