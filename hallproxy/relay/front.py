"""The relay's server side: reads polls, lets them wait for events and answers them.

No connection has a task and no poll a timer: a connection is read when the event loop reports bytes, waiting
polls are in one table, and deadlines are checked every ``TICK``. With thousands of polls a second, each
further iteration of the loop would cost more than the response.
"""

from __future__ import annotations

import asyncio
import json
import socket
import traceback
from collections.abc import Callable
from typing import Any

from tornado.iostream import StreamClosedError

from hallproxy.feed import MS, SECOND
from hallproxy.feed.change_log import ChangeLog, PageKind
from hallproxy.feed.confirmation import ConfirmationTracker
from hallproxy.feed.freshness import Freshness
from hallproxy.feed.pages import STATUSES, Page
from hallproxy.relay.connection import Connection, ConnectionState
from hallproxy.relay.requests import COMMON_POLL, BadRequest, StatusRequest, parse_request
from hallproxy.relay.timer_wheel import TICK, TimerWheel
from hallproxy.run.log import log_line
from hallproxy.run.sockets import tcp_stream
from hallproxy.wire.http1 import Head, HttpError, decode_request_head

MAX_HEAD_BYTES = 4_096  # of a request
HEAD_TIMEOUT = 5 * SECOND  # ns from the connect, or from the first byte of a later head
SEND_TIMEOUT = 2 * SECOND  # ns for the peer to read a response
IDLE_TIMEOUT = 60 * SECOND  # ns without a request
MAX_POLL_WAIT_MS = 5_000  # the longest that a poll waits
AHEAD_WAIT = 400 * MS  # ns for a number above the last one, which a relay that is ahead may have sent
STALL_THRESHOLD = 5 * TICK  # ns without a tick: the process has stalled, and its upstream was not read
CATCH_UP_TIME = AHEAD_WAIT  # ns after a stall to read the upstream before polls are answered with 503
LINGER_TIMEOUT = 500 * MS  # ns from the half-close of a connection to its close
MAX_DRAINED_BYTES = 262_144  # read from a half-closed connection before it is closed
MAX_ENDING_CONNECTIONS = 256  # further connections are closed without lingering
IDLE_CHECK_TICKS = 50  # between checks for idle connections
ANSWER_BATCH = 64  # waiting polls answered in one iteration of the event loop
MAX_STATUS_CONNECTIONS = 8  # above the limit of followers, for status requests only
STOPPING_IDLE_TIMEOUT = 500 * MS  # ns without a request after SIGTERM

_READ_BUFFER = bytearray(MAX_HEAD_BYTES)
_READ_VIEW = memoryview(_READ_BUFFER)

COUNTERS = ("polls", "plain", "whole", "empty", "behind", "bad", "turned_away", "bytes")

WAITING_KINDS = (PageKind.UP_TO_DATE, PageKind.AHEAD, PageKind.UNKNOWN)


class Front:
    """Serves the connections of followers, and their polls.

    Attributes:
        log: the change log that is served.
        freshness: the age of the log.
        confirmations: the numbers that followers have confirmed.
        max_followers: the maximum of connections served; further ones are rejected.
        report_status: returns the report for ``/status``.
        connections: all open connections.
        waiting: those whose poll waits for events.
        counters: responses and bytes by kind, as reported.
        stopping: whether each connection ends with its next response.
    """

    def __init__(
        self,
        log: ChangeLog,
        freshness: Freshness,
        confirmations: ConfirmationTracker,
        max_followers: int,
        now: Callable[[], int],
    ) -> None:
        self.log, self.freshness, self.confirmations, self.max_followers = (
            log,
            freshness,
            confirmations,
            max_followers,
        )
        self.report_status: Callable[[], dict[str, Any]] = dict
        self.connections: dict[Connection, None] = {}
        self.waiting: dict[Connection, None] = {}
        self.counters = dict.fromkeys(COUNTERS, 0)
        self.stopping = False
        self._stopping_since = 0
        self._now = now
        self._loop = asyncio.get_running_loop()
        self._ending: dict[Connection, None] = {}
        self._timers = TimerWheel(now())
        self._ticks_since_idle_check = 0
        self._answer_queue: list[Connection] = []  # waiting polls, the next one last
        self._is_answering = False
        self._was_stale = True
        self._ticked_at = now()
        self._catch_up_until = 0  # ns
        self._timer = self._loop.call_later(TICK / SECOND, self._on_tick)

    # Connections

    def accept(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        """Serve a connection, or reject it above the limit."""
        sock.setblocking(False)
        try:
            stream = tcp_stream(sock)
        except OSError:  # the peer has disconnected already
            sock.close()
            return
        connection = Connection(stream, f"{peer[0]}:{peer[1]}", self._now())
        self.connections[connection] = None
        self._loop.add_reader(connection.fd, self._readable, connection)
        excess = len(self.connections) - len(self._ending) - self.max_followers
        if excess > MAX_STATUS_CONNECTIONS:
            self._reject_overloaded(connection)
            return
        # The status must stay available to operators when the limit is reached.
        connection.status_only = excess > 0
        self._timers.schedule(connection, connection.last_request_at + HEAD_TIMEOUT)

    def _reject_overloaded(self, connection: Connection) -> None:
        self.counters["turned_away"] += 1
        self._respond(connection, 503, True, b"Retry-After: 1\r\n")

    def free_descriptor(self) -> bool:
        """Close a connection that is ending anyway; returns whether there was one."""
        for connection in self._ending:
            self._close(connection)
            return True
        return False

    def _close(self, connection: Connection) -> None:
        if connection.state is ConnectionState.CLOSED:
            return
        connection.state, connection.generation = ConnectionState.CLOSED, connection.generation + 1
        if not connection.streamed and not connection.paused:
            self._loop.remove_reader(connection.fd)
        self.connections.pop(connection, None)
        self.waiting.pop(connection, None)
        self._ending.pop(connection, None)
        connection.stream.close()
        self._forget_follower(connection)

    def _forget_follower(self, connection: Connection) -> None:
        if connection.confirmed_number is not None:
            self.confirmations.move_follower(connection.confirmed_number, None, self._now())
            connection.confirmed_number = None

    def _end_gracefully(self, connection: Connection) -> None:
        """Half-close after pending writes; closing with unread bytes would discard them by a reset."""
        if connection.stream.closed() or (len(self._ending) >= MAX_ENDING_CONNECTIONS and not self.stopping):
            self._close(connection)
            return
        connection.state, connection.generation = ConnectionState.ENDING, connection.generation + 1
        self._forget_follower(connection)
        self._ending[connection] = None
        connection.stream.half_close()
        connection.buffer.clear()
        connection.searched = 0
        self._timers.schedule(connection, self._now() + LINGER_TIMEOUT)
        self._resume_reading(connection)

    # Timers

    def _on_tick(self) -> None:
        self._timer = self._loop.call_later(TICK / SECOND, self._on_tick)
        now = self._now()
        for connection in self._timers.expired(now):
            self._handle_safely(self._on_timer, connection, now)
        stale = self.freshness.is_stale(now) and not self._may_recover(now)
        self._ticked_at = now
        if stale and not self._was_stale and self.waiting:
            self.answer_waiting_polls()
        self._was_stale = stale
        self._ticks_since_idle_check += 1
        if self._ticks_since_idle_check >= IDLE_CHECK_TICKS or self.stopping:
            self._ticks_since_idle_check = 0
            self._end_idle_connections(now)

    def _is_catching_up(self, now: int) -> bool:
        """Whether the process stalled so recently that its upstream may not have been read since."""
        if now - self._ticked_at > STALL_THRESHOLD:
            self._catch_up_until = now + CATCH_UP_TIME
        return now < self._catch_up_until

    def _may_recover(self, now: int) -> bool:
        """Whether the log is stale only because the process stalled, so that polls wait for the upstream."""
        return self.freshness.is_stale(now) and self._is_catching_up(now) and not self.stopping

    def _on_timer(self, connection: Connection, now: int) -> None:
        if connection.state is ConnectionState.WAITING:
            if self._may_recover(now):
                self._timers.schedule(connection, self._catch_up_until)
            else:
                self._answer(connection, now, waited=True)
        else:
            self._close(connection)  # a request head, a response or the peer's close took too long

    def _end_idle_connections(self, now: int) -> None:
        """End connections without a request for too long."""
        timeout = STOPPING_IDLE_TIMEOUT if self.stopping else IDLE_TIMEOUT
        for connection in list(self.connections):
            if (
                connection.state is ConnectionState.IDLE
                and now - max(connection.last_request_at, self._stopping_since) > timeout
            ):
                self._end_gracefully(connection)

    # Reading

    def _resume_reading(self, connection: Connection) -> None:
        """Watch the connection for bytes again."""
        if connection.streamed:
            self._read_stream(connection)
        elif connection.paused:
            connection.paused = False
            self._loop.add_reader(connection.fd, self._readable, connection)

    def _pause_reading(self, connection: Connection) -> None:
        if not connection.streamed and not connection.paused:
            connection.paused = True
            self._loop.remove_reader(connection.fd)

    def _readable(self, connection: Connection) -> None:
        if connection.state is ConnectionState.WAITING:
            # Only a close matters; other bytes stay unread until the poll is answered.
            if self._peer_has_closed(connection):
                self._close(connection)
            else:
                self._pause_reading(connection)
            return
        free = MAX_HEAD_BYTES - len(connection.buffer)
        if not free:
            self._parse_next(connection)
            return
        try:
            size = connection.stream.read_available(_READ_VIEW[:free])
        except StreamClosedError:
            self._close(connection)
            return
        if size is None:
            return
        if not size:
            self._close(connection)
            return
        if connection.state is ConnectionState.IDLE and not connection.buffer:
            poll = COMMON_POLL.fullmatch(_READ_BUFFER, 0, size)
            if poll is not None:
                self._on_poll(connection, int(poll[1]), int(poll[2]), poll[3] is not None, False)
                return
        self._on_bytes(connection, _READ_BUFFER[:size])

    @staticmethod
    def _peer_has_closed(connection: Connection) -> bool:
        try:
            return not connection.stream.socket.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True

    def _read_stream(self, connection: Connection) -> None:
        """Like ``_readable``, for a connection that is read through its stream."""
        if (
            connection.reading
            or len(connection.buffer) >= MAX_HEAD_BYTES
            or connection.state is ConnectionState.CLOSED
        ):
            return
        buffer = bytearray(MAX_HEAD_BYTES - len(connection.buffer))

        def done(read: asyncio.Future[int]) -> None:
            connection.reading = False
            if read.cancelled() or read.exception() is not None or not read.result():
                self._close(connection)
                return
            if connection.state is not ConnectionState.CLOSED:
                self._on_bytes(connection, buffer[: read.result()])

        try:
            reading = connection.stream.read_into(buffer, partial=True)
        except StreamClosedError:
            self._close(connection)
            return
        connection.reading = True
        asyncio.ensure_future(reading).add_done_callback(done)

    def _on_bytes(self, connection: Connection, data: bytearray) -> None:
        if connection.state is ConnectionState.ENDING:
            connection.drained_bytes += len(data)
            if connection.drained_bytes > MAX_DRAINED_BYTES:
                self._close(connection)
            elif connection.streamed:
                self._read_stream(connection)
            return
        was_empty = not connection.buffer
        connection.buffer += data
        self._parse_next(connection)
        if connection.state is ConnectionState.IDLE:
            # The timeout of the first head runs from the connect.
            if connection.buffer and was_empty and connection.generation:
                connection.generation += 1
                self._timers.schedule(connection, self._now() + HEAD_TIMEOUT)
            if connection.streamed:
                self._read_stream(connection)

    def _parse_next(self, connection: Connection) -> None:
        """Handle the next request in the buffer, if it is complete."""
        if connection.state is not ConnectionState.IDLE or not connection.buffer:
            return
        try:
            head = decode_request_head(connection.buffer, len(connection.buffer), connection.searched)
            if head is None:
                connection.searched = len(connection.buffer)
                if len(connection.buffer) >= MAX_HEAD_BYTES:
                    self._reject(connection, 400, True)
                return
            if head.body_length:
                raise HttpError("request has a body")
        except HttpError:
            self._reject(connection, 400, True)
            return
        del connection.buffer[: head.size]
        connection.searched = 0
        self._on_request(connection, head)

    def _on_request(self, connection: Connection, head: Head) -> None:
        request = parse_request(head)
        if isinstance(request, BadRequest):
            self._reject(connection, request.status, request.close_after_response)
            return
        if isinstance(request, StatusRequest):
            connection.last_request_at = self._now()
            body = json.dumps(self.report_status()).encode()
            self._respond(
                connection, 200, request.close_after_response, b"Content-Type: application/json\r\n", body
            )
            return
        self._on_poll(
            connection, request.since, request.timeout, request.accepts_gzip, request.close_after_response
        )

    def _reject(self, connection: Connection, status: int, close_after_response: bool) -> None:
        self.counters["bad"] += 1
        self._respond(connection, status, close_after_response, b"Allow: GET\r\n" if status == 405 else b"")

    # Answering

    def _on_poll(
        self, connection: Connection, since: int, wait: int, accepts_gzip: bool, close_after_response: bool
    ) -> None:
        if connection.status_only:
            self._reject_overloaded(connection)
            return
        now = connection.last_request_at = self._now()
        log = self.log
        self.counters["polls"] += 1
        connection.since, connection.accepts_gzip, connection.close_after_response = (
            since,
            accepts_gzip,
            close_after_response,
        )
        connection.answer_at_once = not wait or self.stopping
        connection.generation += 1
        kind = log.page_kind(since, connection.log_incarnation, connection.answer_at_once)
        if kind is PageKind.EVENTS or kind is PageKind.UP_TO_DATE:
            connection.log_incarnation = log.incarnation
            confirmed_number = min(since, log.ring.last_number)
        else:
            confirmed_number = min(since, log.ring.first_number - 1)
        if confirmed_number != connection.confirmed_number:
            self.confirmations.move_follower(connection.confirmed_number, confirmed_number, now)
            connection.confirmed_number = confirmed_number
        stale = self.freshness.is_stale(now)
        if self._may_recover(now):
            wait = CATCH_UP_TIME // MS
        elif kind is PageKind.AHEAD and not self.stopping and not stale:
            connection.log_incarnation = log.incarnation
            wait = min(wait or MAX_POLL_WAIT_MS, AHEAD_WAIT // MS)
        elif stale or connection.answer_at_once or kind not in WAITING_KINDS:
            self._answer(connection, now)
            return
        connection.state = ConnectionState.WAITING
        self.waiting[connection] = None
        self._timers.schedule(connection, now + min(wait, MAX_POLL_WAIT_MS) * MS)

    def _answer(self, connection: Connection, now: int, waited: bool = False) -> None:
        """Answer its poll; without new events it goes on waiting, unless it has ``waited`` its time."""
        log = self.log
        if self.freshness.is_stale(now):
            if connection.state is ConnectionState.WAITING and not waited and self._may_recover(now):
                return
            self.counters["behind"] += 1
            self._respond(
                connection, 503, connection.close_after_response or self.stopping, b"Retry-After: 1\r\n"
            )
            return
        at_once = connection.answer_at_once or self.stopping
        kind = log.page_kind(connection.since, connection.log_incarnation, at_once)
        page: Page
        if kind is PageKind.EVENTS:
            page = log.events_page(connection.since, connection.accepts_gzip, at_once)
            self.counters["plain"] += 1
        elif kind is PageKind.SNAPSHOT or (kind is PageKind.AHEAD and waited):
            page = log.snapshot_page(connection.accepts_gzip, at_once)
            self.counters["whole"] += 1
        elif kind is PageKind.UNAVAILABLE:
            self.counters["behind"] += 1
            self._respond(
                connection, 503, connection.close_after_response or self.stopping, b"Retry-After: 1\r\n"
            )
            return
        elif waited or self.stopping or (at_once and kind is not PageKind.AHEAD):
            page = log.empty_page(connection.since, kind is not PageKind.UNKNOWN)
            self.counters["empty"] += 1
        else:
            return
        if kind is not PageKind.UNKNOWN:
            connection.log_incarnation = log.incarnation
        close_after_response = connection.close_after_response or self.stopping
        self._write(
            connection,
            (page.head(self.freshness.age_seconds(now), self.freshness.via, close_after_response), page.body),
            close_after_response,
        )

    def _respond(
        self,
        connection: Connection,
        status: int,
        close_after_response: bool,
        fields: bytes = b"",
        body: bytes = b"",
    ) -> None:
        """Send a response other than a page."""
        close_after_response = close_after_response or self.stopping
        connection_field = b"Connection: close\r\n" if close_after_response else b""
        head = b"HTTP/1.1 %d %b\r\n%bVia: %b\r\nContent-Length: %d\r\n%b\r\n" % (
            status, STATUSES[status], fields, self.freshness.via, len(body), connection_field)  # fmt: skip
        self._write(connection, (head, body) if body else (head,), close_after_response)

    def _write(self, connection: Connection, pieces: tuple[bytes, ...], close_after_response: bool) -> None:
        if connection.state is ConnectionState.WAITING:
            del self.waiting[connection]
        connection.state, connection.generation, connection.close_after_response = (
            ConnectionState.IDLE,
            connection.generation + 1,
            close_after_response,
        )
        try:
            connection.stream.write_pieces(pieces)
        except StreamClosedError:
            self._close(connection)
            return
        if connection.stream.closed():  # the peer has reset the connection
            self._close(connection)
            return
        self.counters["bytes"] += sum(map(len, pieces))
        if connection.stream.writing():
            self._wait_until_sent(connection)
            return
        if close_after_response:
            self._end_gracefully(connection)
            return
        if connection.paused or connection.streamed:
            self._resume_reading(connection)
        if connection.buffer:
            self._loop.call_soon(self._parse_next, connection)

    def _wait_until_sent(self, connection: Connection) -> None:
        """Wait until the response is sent; the event loop has the stream now, so reads go through it too."""
        self._pause_reading(connection)
        connection.state, connection.streamed = ConnectionState.SENDING, True
        self._timers.schedule(connection, self._now() + SEND_TIMEOUT)

        def done(write: asyncio.Future[None]) -> None:
            if write.cancelled() or write.exception() is not None:
                self._close(connection)
                return
            if connection.state is not ConnectionState.SENDING:
                return
            connection.state, connection.generation, connection.last_request_at = (
                ConnectionState.IDLE,
                connection.generation + 1,
                self._now(),
            )
            if connection.close_after_response:
                self._end_gracefully(connection)
                return
            self._read_stream(connection)
            self._parse_next(connection)

        connection.stream.write(b"").add_done_callback(done)  # done when all before it is sent

    def answer_waiting_polls(self) -> None:
        """Answer the waiting polls that have new events, one batch in each iteration of the event loop."""
        self._answer_queue = list(self.waiting)
        self._answer_queue.reverse()
        if not self._is_answering and self._answer_queue:
            self._is_answering = True
            self._answer_batch()

    def _answer_batch(self) -> None:
        now, queue = self._now(), self._answer_queue
        for _ in range(min(ANSWER_BATCH, len(queue))):
            connection = queue.pop()
            if connection.state is ConnectionState.WAITING:
                self._handle_safely(self._answer, connection, now)
        if queue:
            self._loop.call_soon(self._answer_batch)
        else:
            self._is_answering = False

    def _handle_safely(
        self, handle: Callable[[Connection, int], None], connection: Connection, now: int
    ) -> None:
        """Close a connection whose handling fails, so that the others are still served."""
        try:
            handle(connection, now)
        except Exception as error:  # noqa: BLE001 - a fault must end one connection only
            frame = traceback.extract_tb(error.__traceback__)[-1]
            location = f"{frame.name}, line {frame.lineno}"
            log_line(f"fault at {connection.peer}: {type(error).__name__}: {error} ({location})")
            self._close(connection)

    # Stopping

    def stop(self) -> None:
        """Answer all waiting polls; each connection ends with its next response."""
        self.stopping = True
        self._stopping_since = self._now()
        self.answer_waiting_polls()

    def close(self) -> None:
        """Close all connections at once."""
        self._timer.cancel()
        for connection in list(self.connections):
            self._close(connection)
