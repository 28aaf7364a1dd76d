"""The relay's server side: polls are read, held and answered.

There is no task for a connection and no timer for a poll: a connection is read when the event loop reports
bytes, held polls are in one table, and deadlines are checked every ``TICK``. With thousands of polls a
second, each further iteration of the loop would cost more than the answer.
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

MAX_HEAD_BYTES = 4_096  # bytes of a request's head
HEAD_TIMEOUT = 5 * SECOND  # from the connect, or from its first byte
SEND_TIMEOUT = 2 * SECOND  # for the peer to read a response
IDLE_TIMEOUT = 60 * SECOND  # without a poll
MAX_POLL_WAIT_MS = 5_000  # that a poll is held
AHEAD_WAIT = 400 * MS  # for a number above the last one, which a relay that is ahead may have sent
HELD_UP_AFTER = 5 * TICK  # without a tick: the process was held up, and its upstream not read meanwhile
CATCH_UP_TIME = AHEAD_WAIT  # then, in which the upstream is heard again before a poll is answered with 503
LINGER_TIMEOUT = 500 * MS  # from our end of a connection to its close, ...
MAX_DRAINED_BYTES = 262_144  # ...or so many bytes of what it still sends
MAX_ENDING_CONNECTIONS = 256  # further ones are closed at once
IDLE_CHECK_TICKS = 50  # between checks for idle connections
ANSWER_BATCH = 64  # held polls answered in one turn of the event loop
MAX_STATUS_CONNECTIONS = 8  # above the limit, for the status alone
STOPPING_IDLE_TIMEOUT = 500 * MS  # after SIGTERM, without a request

_READ_BUFFER = bytearray(MAX_HEAD_BYTES)
_READ_VIEW = memoryview(_READ_BUFFER)

COUNTERS = ("polls", "plain", "whole", "empty", "behind", "bad", "turned_away", "bytes")

HELD_KINDS = (PageKind.UP_TO_DATE, PageKind.AHEAD, PageKind.UNKNOWN)


class Front:
    """Connections of followers, and their polls.

    Attributes:
        log: the change log that is served.
        current: how fresh the log is.
        confirmed: the numbers that followers have confirmed.
        followers: the most connections served; further ones are rejected.
        status: returns what ``/status`` reports.
        connections: all that are open.
        held: those whose poll waits for events.
        counts: responses and bytes by kind, as reported.
        stopping: whether each connection ends with its next response.
    """

    def __init__(
        self,
        log: ChangeLog,
        current: Freshness,
        confirmed: ConfirmationTracker,
        followers: int,
        now: Callable[[], int],
    ) -> None:
        self.log, self.current, self.confirmed, self.followers = log, current, confirmed, followers
        self.status: Callable[[], dict[str, Any]] = dict
        self.connections: dict[Connection, None] = {}
        self.held: dict[Connection, None] = {}
        self.counts = dict.fromkeys(COUNTERS, 0)
        self.stopping = False
        self._stopping_since = 0
        self._now = now
        self._loop = asyncio.get_running_loop()
        self._ending: dict[Connection, None] = {}
        self._timers = TimerWheel(now())
        self._ticks_since_idle_check = 0
        self._to_answer: list[Connection] = []  # held polls, the next one last
        self._is_answering = False
        self._was_behind = True
        self._ticked_at = now()
        self._catch_up_until = 0  # ns
        self._timer = self._loop.call_later(TICK / SECOND, self._on_tick)

    # Connections

    def accept(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        """Serve a connection, or reject it where there are too many."""
        sock.setblocking(False)
        try:
            made = tcp_stream(sock)
        except OSError:  # the peer has disconnected already
            sock.close()
            return
        connection = Connection(made, f"{peer[0]}:{peer[1]}", self._now())
        self.connections[connection] = None
        self._loop.add_reader(connection.fd, self._readable, connection)
        over = len(self.connections) - len(self._ending) - self.followers
        if over > MAX_STATUS_CONNECTIONS:
            self._reject_overloaded(connection)
            return
        # The status of a relay at its limit must be available to operators.
        connection.status_only = over > 0
        self._timers.schedule(connection, connection.last_request_at + HEAD_TIMEOUT)

    def _reject_overloaded(self, connection: Connection) -> None:
        self.counts["turned_away"] += 1
        self._respond(connection, 503, True, b"Retry-After: 1\r\n")

    def free_descriptor(self) -> bool:
        """Close a connection that is ending anyway; whether there was one."""
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
        self.held.pop(connection, None)
        self._ending.pop(connection, None)
        connection.stream.close()
        self._forget_follower(connection)

    def _forget_follower(self, connection: Connection) -> None:
        if connection.confirmed_number is not None:
            self.confirmed.move_follower(connection.confirmed_number, None, self._now())
            connection.confirmed_number = None

    def _end_gracefully(self, connection: Connection) -> None:
        """End after all that was written: closing with unread bytes would discard it by a reset."""
        if connection.stream.closed() or (len(self._ending) >= MAX_ENDING_CONNECTIONS and not self.stopping):
            self._close(connection)
            return
        connection.state, connection.generation = ConnectionState.ENDING, connection.generation + 1
        self._forget_follower(connection)
        self._ending[connection] = None
        connection.stream.half_close()
        connection.buffer.clear()
        self._timers.schedule(connection, self._now() + LINGER_TIMEOUT)
        self._resume_reading(connection)

    # Times

    def _on_tick(self) -> None:
        self._timer = self._loop.call_later(TICK / SECOND, self._on_tick)
        now = self._now()
        for connection in self._timers.expired(now):
            self._safely(self._on_timer, connection, now)
        behind = self.current.is_stale(now) and not self._may_recover(now)
        self._ticked_at = now
        if behind and not self._was_behind and self.held:
            self.answer_held()
        self._was_behind = behind
        self._ticks_since_idle_check += 1
        if self._ticks_since_idle_check >= IDLE_CHECK_TICKS or self.stopping:
            self._ticks_since_idle_check = 0
            self._end_idle_connections(now)

    def _is_catching_up(self, now: int) -> bool:
        """Whether the process was held up so lately that its upstream may not have been read since."""
        if now - self._ticked_at > HELD_UP_AFTER:
            self._catch_up_until = now + CATCH_UP_TIME
        return now < self._catch_up_until

    def _may_recover(self, now: int) -> bool:
        """Whether the log is stale only because the process was held up, so that polls wait a moment."""
        return self.current.is_stale(now) and self._is_catching_up(now) and not self.stopping

    def _on_timer(self, connection: Connection, now: int) -> None:
        if connection.state is ConnectionState.HELD:
            if self._may_recover(now):
                self._timers.schedule(connection, self._catch_up_until)
            else:
                self._answer(connection, now, waited=True)
        else:
            self._close(connection)  # a head or a response took too long, or the connection was ending

    def _end_idle_connections(self, now: int) -> None:
        """End connections without a request for too long."""
        longest = STOPPING_IDLE_TIMEOUT if self.stopping else IDLE_TIMEOUT
        for connection in list(self.connections):
            if (
                connection.state is ConnectionState.IDLE
                and now - max(connection.last_request_at, self._stopping_since) > longest
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
        if connection.state is ConnectionState.HELD:
            # Only its end matters; other bytes stay unread until the poll is answered.
            if self._peer_has_closed(connection):
                self._close(connection)
            else:
                self._pause_reading(connection)
            return
        room = MAX_HEAD_BYTES - len(connection.buffer)
        if not room:
            self._parse_next(connection)
            return
        try:
            size = connection.stream.read_available(_READ_VIEW[:room])
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
                self._poll(connection, int(poll[1]), int(poll[2]), poll[3] is not None, False)
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
        into = bytearray(MAX_HEAD_BYTES - len(connection.buffer))

        def done(read: asyncio.Future[int]) -> None:
            connection.reading = False
            if read.cancelled() or read.exception() is not None or not read.result():
                self._close(connection)
                return
            if connection.state is not ConnectionState.CLOSED:
                self._on_bytes(connection, into[: read.result()])

        try:
            reading = connection.stream.read_into(into, partial=True)
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
        began = not connection.buffer
        connection.buffer += data
        self._parse_next(connection)
        if connection.state is ConnectionState.IDLE:
            if (
                connection.buffer and began and connection.generation
            ):  # the first head's timeout runs from the connect
                connection.generation += 1
                self._timers.schedule(connection, self._now() + HEAD_TIMEOUT)
            if connection.streamed:
                self._read_stream(connection)

    def _parse_next(self, connection: Connection) -> None:
        """Handle the next request in the buffer, if it is complete."""
        if connection.state is not ConnectionState.IDLE or not connection.buffer:
            return
        try:
            head = decode_request_head(connection.buffer, len(connection.buffer))
            if head is None:
                if len(connection.buffer) >= MAX_HEAD_BYTES:
                    self._reject(connection, 400, True)
                return
            if head.body_length:
                raise HttpError("a body")
        except HttpError:
            self._reject(connection, 400, True)
            return
        del connection.buffer[: head.size]
        self._on_request(connection, head)

    def _on_request(self, connection: Connection, head: Head) -> None:
        request = parse_request(head)
        if isinstance(request, BadRequest):
            self._reject(connection, request.status, request.close_after_response)
            return
        if isinstance(request, StatusRequest):
            connection.last_request_at = self._now()
            body = json.dumps(self.status()).encode()
            self._respond(
                connection, 200, request.close_after_response, b"Content-Type: application/json\r\n", body
            )
            return
        self._poll(
            connection, request.since, request.timeout, request.accepts_gzip, request.close_after_response
        )

    def _reject(self, connection: Connection, status: int, close_after_response: bool) -> None:
        self.counts["bad"] += 1
        self._respond(connection, status, close_after_response, b"Allow: GET\r\n" if status == 405 else b"")

    # Answering

    def _poll(
        self, connection: Connection, since: int, wait: int, zipped: bool, close_after_response: bool
    ) -> None:
        if connection.status_only:
            self._reject_overloaded(connection)
            return
        now = connection.last_request_at = self._now()
        log = self.log
        self.counts["polls"] += 1
        connection.since, connection.accepts_gzip, connection.close_after_response = (
            since,
            zipped,
            close_after_response,
        )
        connection.answer_at_once = not wait or self.stopping
        connection.generation += 1
        found = log.page_kind(since, connection.log_incarnation, connection.answer_at_once)
        if found is PageKind.EVENTS or found is PageKind.UP_TO_DATE:
            connection.log_incarnation = log.incarnation
            held = min(since, log.ring.last_number)
        else:
            held = min(since, log.ring.first_number - 1)
        if held != connection.confirmed_number:
            self.confirmed.move_follower(connection.confirmed_number, held, now)
            connection.confirmed_number = held
        behind = self.current.is_stale(now)
        if self._may_recover(now):
            wait = CATCH_UP_TIME // MS
        elif found is PageKind.AHEAD and not self.stopping and not behind:
            connection.log_incarnation = log.incarnation
            wait = min(wait or MAX_POLL_WAIT_MS, AHEAD_WAIT // MS)
        elif behind or connection.answer_at_once or found not in HELD_KINDS:
            self._answer(connection, now)
            return
        connection.state = ConnectionState.HELD
        self.held[connection] = None
        self._timers.schedule(connection, now + min(wait, MAX_POLL_WAIT_MS) * MS)

    def _answer(self, connection: Connection, now: int, waited: bool = False) -> None:
        """Answer its poll; without new events it stays held, unless it has ``waited``."""
        log = self.log
        if self.current.is_stale(now):
            if connection.state is ConnectionState.HELD and not waited and self._may_recover(now):
                return
            self.counts["behind"] += 1
            self._respond(
                connection, 503, connection.close_after_response or self.stopping, b"Retry-After: 1\r\n"
            )
            return
        at_once = connection.answer_at_once or self.stopping
        found = log.page_kind(connection.since, connection.log_incarnation, at_once)
        page: Page
        if found is PageKind.EVENTS:
            page = log.events_page(connection.since, connection.accepts_gzip, at_once)
            self.counts["plain"] += 1
        elif found is PageKind.SNAPSHOT or (found is PageKind.AHEAD and waited):
            page = log.snapshot_page(connection.accepts_gzip, at_once)
            self.counts["whole"] += 1
        elif found is PageKind.UNAVAILABLE:
            self.counts["behind"] += 1
            self._respond(
                connection, 503, connection.close_after_response or self.stopping, b"Retry-After: 1\r\n"
            )
            return
        elif waited or self.stopping or (at_once and found is not PageKind.AHEAD):
            page = log.empty_page(connection.since, found is not PageKind.UNKNOWN)
            self.counts["empty"] += 1
        else:
            return
        if found is not PageKind.UNKNOWN:
            connection.log_incarnation = log.incarnation
        close_after_response = connection.close_after_response or self.stopping
        self._write(
            connection,
            (page.head(self.current.age_seconds(now), self.current.via, close_after_response), page.body),
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
        ends = b"Connection: close\r\n" if close_after_response else b""
        head = b"HTTP/1.1 %d %b\r\n%bVia: %b\r\nContent-Length: %d\r\n%b\r\n" % (
            status, STATUSES[status], fields, self.current.via, len(body), ends)  # fmt: skip
        self._write(connection, (head, body) if body else (head,), close_after_response)

    def _write(self, connection: Connection, pieces: tuple[bytes, ...], close_after_response: bool) -> None:
        if connection.state is ConnectionState.HELD:
            del self.held[connection]
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
        if connection.stream.closed():  # the write met a reset
            self._close(connection)
            return
        self.counts["bytes"] += sum(map(len, pieces))
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
        """The stream is registered with the event loop now, and reads go through it from here on."""
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

    def answer_held(self) -> None:
        """Answer the held polls for which there is something new, a batch in each turn of the loop."""
        self._to_answer = list(self.held)
        self._to_answer.reverse()
        if not self._is_answering and self._to_answer:
            self._is_answering = True
            self._answer_batch()

    def _answer_batch(self) -> None:
        now, turn = self._now(), self._to_answer
        for _ in range(min(ANSWER_BATCH, len(turn))):
            connection = turn.pop()
            if connection.state is ConnectionState.HELD:
                self._safely(self._answer, connection, now)
        if turn:
            self._loop.call_soon(self._answer_batch)
        else:
            self._is_answering = False

    def _safely(self, do: Callable[[Connection, int], None], connection: Connection, now: int) -> None:
        """Close a connection that fails, so that the others are still served."""
        try:
            do(connection, now)
        except Exception as error:  # noqa: BLE001 - any fault ends one connection only
            where = traceback.extract_tb(error.__traceback__)[-1]
            place = f"{where.name}, line {where.lineno}"
            log_line(f"fault at {connection.peer}: {type(error).__name__}: {error} ({place})")
            self._close(connection)

    # The end

    def stop(self) -> None:
        """Answer all held polls; each connection ends with its next response."""
        self.stopping = True
        self._stopping_since = self._now()
        self.answer_held()

    def close(self) -> None:
        """Close all connections at once."""
        self._timer.cancel()
        for connection in list(self.connections):
            self._close(connection)
