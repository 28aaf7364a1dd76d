"""One client's connection to the platform's front, with concurrent requests on it."""

from __future__ import annotations

import asyncio
from typing import NamedTuple, Protocol

from tornado.iostream import StreamClosedError

from hallproxy.run.byte_budget import ByteBudget
from hallproxy.run.effect_runner import EffectRunner
from hallproxy.run.frame_reader import DroppedFrame, DropReason, FrameReader, ReceivedFrame
from hallproxy.run.frame_timer import FrameTimer
from hallproxy.run.log import log_line
from hallproxy.run.platform_teams import PlatformTeams
from hallproxy.run.response_writer import ResponseWriter, UnsentLimit
from hallproxy.run.sockets import Stream
from hallproxy.state.events import (
    ClientRequest,
    DownstreamClosed,
    FailureReason,
    RequestReceived,
    Response,
    ResponseKind,
)
from hallproxy.state.lifecycle import BUSY
from hallproxy.state.units import SECOND
from hallproxy.wire import frames

MAX_IN_FLIGHT = 32  # requests on one connection, queued ones included
MAX_INVALID_REQUESTS = 16  # on one connection; then it is closed
MAX_RECEIVED_BYTES = 131_072  # read before the received requests are started
MAX_FRAMES_PER_TURN = 2 * MAX_IN_FLIGHT  # of one connection: all its requests, and their cancellations
LINGER_DURATION = 0.5  # s for which a connection is read after its write side is closed, ...
MAX_LINGER_BYTES = 262_144  # ...or until this many bytes
UNSENT_POLL_INTERVAL = 0.02  # s between checks whether the last bytes have been sent
MAX_UNSENT_WAIT = 3.0  # s for which a client that reads nothing can delay the close of its connection
TOO_LONG = f"a frame of more than {frames.MAX_REQUEST_FRAME_BYTES} bytes"
# In place of a response for which a client that reads slowly leaves no memory.
UNSENT_LIMIT_REACHED = Response(ResponseKind.FAILED, reason=FailureReason.BUSY)
# In place of a response that no frame can carry. The request has run.
NOT_ENCODABLE = Response(ResponseKind.FAILED, reason=FailureReason.ERROR)


class Owner(UnsentLimit, Protocol):
    """The interface of the set of all connections to one of them."""

    runner: EffectRunner
    class_indices: dict[str, int]
    teams: PlatformTeams | None
    stopping: bool
    last_activity_at: float
    request_budget: ByteBudget

    def max_memory_wait(self) -> float:
        """How long (s) requests may wait unread for memory."""
        ...

    def enqueue(self, connection: DownstreamConnection, stream_id: int) -> None:
        """Queue a request that has been received."""
        ...

    def dequeue(self, connection: DownstreamConnection, stream_id: int) -> None:
        """Remove a queued request."""
        ...

    def start_queued(self) -> None:
        """Start queued requests, up to the limit of this turn of the event loop."""
        ...

    def linger(self, connection: DownstreamConnection) -> None:
        """Move the connection to those whose write side is closed."""
        ...

    def discard(self, connection: DownstreamConnection) -> None:
        """Remove the connection."""
        ...


class QueuedRequest(NamedTuple):
    """A request that has been received and not started yet."""

    payload: bytes
    received_at: int  # Unix ns; the earliest that it can have arrived
    reserved: int  # bytes of the budget for requests


class StartedRequest(NamedTuple):
    """A request that awaits its response."""

    downstream: int  # the runner's number
    reserved: int  # bytes of the budget for requests


class DownstreamConnection:
    """A connection from the accept to the close.

    It is open until an error, the gateway's shutdown, or another connection needs its descriptor. Then it is
    ``ending``: requests in flight are still answered, and received data is dropped. Then it is
    ``write_closed``: its write side is closed, and it is read for a while longer, as closing it with unread
    bytes would reset it and lose responses in transit.
    """

    def __init__(self, owner: Owner, stream: Stream, address: str) -> None:
        self._owner = owner
        self._stream = stream
        self._address = address
        self.queued: dict[int, QueuedRequest] = {}  # by stream
        self.in_flight: dict[int, StartedRequest] = {}  # by stream
        self.has_requested = False  # a complete frame has been received
        self.ending = False
        self.write_closed = False
        self._clock = asyncio.get_running_loop().time
        self._reader = FrameReader(stream, owner.request_budget, owner.max_memory_wait, MAX_IN_FLIGHT)
        self._writer = ResponseWriter(stream, owner)
        self.idle_since = self._clock()
        self._invalid_requests = 0
        self._sent_go_away = False
        self._frame_timer = FrameTimer()
        self._end_deadline = 0.0
        self._frames_left = MAX_FRAMES_PER_TURN  # in this connection's turn
        self._has_undecoded = False  # the buffer may hold complete frames
        self._has_unread = True  # the socket may hold data, and behind it the client's close

    async def serve(self) -> None:
        """Read frames until the connection ends."""
        # Ends connections that never send a complete frame; others may be idle without limit.
        self._frame_timer.start(self._frame_overdue)
        try:
            await self._read()
        except StreamClosedError:
            pass
        finally:
            self._frame_timer.cancel()
            self._reader.close()
            self._abandon_requests()
            self._owner.discard(self)
            self._stream.close()

    async def _read(self) -> None:
        dropped = 0
        while not (self.write_closed and dropped > MAX_LINGER_BYTES):
            if self._frames_left <= 0:
                # A client that sends at full speed always has bytes to read: reading alone never waits.
                await asyncio.sleep(0)
                self._frames_left = MAX_FRAMES_PER_TURN
            self._frames_left -= 1
            if not self._has_undecoded:
                await self._reader.wait()
                if self._stream.read_waited:
                    self._frames_left = MAX_FRAMES_PER_TURN
            if not self.ending:
                self._receive()
            if self.ending:
                self._has_undecoded = False
                dropped += self._reader.discard_all()
                if dropped > MAX_LINGER_BYTES and not self.write_closed:
                    # Throttles a client that keeps sending after an error, while responses are still unsent.
                    await asyncio.sleep(UNSENT_POLL_INTERVAL)

    def _abandon_requests(self) -> None:
        """Drop the requests of a client that has disconnected."""
        for stream_id, queued in self.queued.items():
            self._owner.dequeue(self, stream_id)
            self._owner.request_budget.release(queued.reserved)
        self.queued.clear()
        for started in list(self.in_flight.values()):
            self._close_downstream(started)
        self.in_flight.clear()

    def _close_downstream(self, started: StartedRequest) -> None:
        runner = self._owner.runner
        runner.response_callbacks.pop(started.downstream, None)
        runner.dispatch(DownstreamClosed(runner.now(), started.downstream))
        self._owner.request_budget.release(started.reserved)

    def _receive(self) -> None:
        """Read all received data, then start its requests.

        Reading comes first, as a request may be followed by its cancellation or the connection's end, and is
        not started then. StreamClosedError if the client has closed.
        """
        decoded = received = 0
        while True:
            try:
                decoded += self._decode_frames()
            except frames.FrameError as error:
                self._fail(str(error))
                break
            if self._has_undecoded or self._reader.needs_memory or received >= MAX_RECEIVED_BYTES:
                break
            size = self._reader.read_available()
            self._has_unread = size is not None
            if size is None:
                break
            if size == 0:
                raise StreamClosedError()
            received += size
        if decoded:
            self.idle_since = self._clock()
        if not self.ending:
            # A frame that waits for memory is incomplete because it is not read.
            begun = self._reader.missing > 0 and not self._reader.needs_memory
            self._frame_timer.renew(begun, decoded > 0, self._frame_overdue)
        self._owner.start_queued()

    def _decode_frames(self) -> int:
        """Handle the frames that are complete and have their memory, in this turn; returns their bytes."""
        self._has_undecoded = False
        try:
            while (frame := self._reader.next_frame()) is not None:
                self.has_requested = True
                self._frames_left -= 1
                if isinstance(frame, DroppedFrame):
                    self._answer_dropped(frame)
                elif not self._is_queued(frame):
                    self._owner.request_budget.release(frame.reserved)
                if self._frames_left <= 0:
                    self._has_undecoded = True
                    break
        finally:
            decoded = self._reader.discard_decoded()
        return decoded

    def _answer_dropped(self, frame: DroppedFrame) -> None:
        self._check_new(frame.stream)
        if frame.reason is DropReason.TOO_LONG:
            self._reject_request(frames.encode_error(TOO_LONG, frame.stream))
        else:
            self._writer.write(frames.encode_response(frame.stream, BUSY))

    def _is_queued(self, frame: ReceivedFrame) -> bool:
        """Handle the frame; returns whether it is in the queue now, with its memory."""
        try:
            if frame.kind == frames.REQUEST:
                return self._queue_request(frame)
            self._handle_control_frame(frame)
        except frames.FrameError:
            self._owner.request_budget.release(frame.reserved)
            raise
        return False

    def _handle_control_frame(self, frame: ReceivedFrame) -> None:
        if frame.kind == frames.CANCEL:
            self._cancel(frame.stream)
        elif frame.kind == frames.READINESS_REQUEST:
            code = frames.SERVED if not self._owner.stopping else frames.REJECTED
            self._writer.write(frames.encode_frame(frames.READINESS_RESPONSE, frame.stream, bytes((code, 0))))
        else:
            raise frames.FrameError(f"a frame of type {frame.kind}")

    def _check_new(self, stream_id: int) -> None:
        self._owner.last_activity_at = self._clock()
        if not stream_id or stream_id in self.in_flight or stream_id in self.queued:
            raise frames.FrameError(f"stream {stream_id} is not new")

    def _queue_request(self, frame: ReceivedFrame) -> bool:
        stream_id = frame.stream
        self._check_new(stream_id)
        if len(self.in_flight) + len(self.queued) >= MAX_IN_FLIGHT:
            # A rejection fails this request only; closing the connection would fail all in flight.
            self._reject_request(frames.encode_response(stream_id, BUSY))
            return False
        received_at = self._owner.runner.now() - int(frame.waited * SECOND)
        self.queued[stream_id] = QueuedRequest(frame.payload, received_at, frame.reserved)
        self._owner.enqueue(self, stream_id)
        return True

    def _cancel(self, stream_id: int) -> None:
        queued = self.queued.pop(stream_id, None)
        if queued is not None:
            self._owner.dequeue(self, stream_id)
            self._owner.request_budget.release(queued.reserved)
            return
        started = self.in_flight.pop(stream_id, None)
        if started is not None:
            self._close_downstream(started)

    def start_request(self, stream_id: int) -> None:
        """Dispatch a queued request; an invalid one is answered with an error."""
        queued = self.queued.pop(stream_id)
        runner = self._owner.runner
        now = runner.now()
        if self._has_unread and self._stream.peer_has_closed():
            # The close is behind data that has not been read. The reader abandons the other requests.
            self._stream.close()
        request = None if self._stream.closed() else self._decode_request(stream_id, queued, now)
        if request is None:
            self._owner.request_budget.release(queued.reserved)
            return
        if self._owner.teams is not None:
            request = self._owner.teams.assign_owner(request, self._address)
        downstream = runner.register_downstream(lambda response: self._respond(stream_id, response))
        self.in_flight[stream_id] = StartedRequest(downstream, queued.reserved)
        runner.dispatch(RequestReceived(now, downstream, request))

    def _decode_request(self, stream_id: int, queued: QueuedRequest, now: int) -> ClientRequest | None:
        settings = self._owner.runner.state.settings
        payload, elapsed = memoryview(queued.payload), now - queued.received_at
        try:
            return frames.decode_request(payload, self._owner.class_indices, settings, elapsed)
        except frames.FieldError as error:
            try:
                self._reject_request(frames.encode_error(str(error), stream_id))
            except frames.FrameError as limit_error:
                self._fail(str(limit_error))
        return None

    def _reject_request(self, pieces: list[bytes]) -> None:
        self._writer.write(pieces)
        self._invalid_requests += 1
        if self._invalid_requests >= MAX_INVALID_REQUESTS:
            raise frames.FrameError("too many requests that can't be used")

    def _frame_overdue(self) -> None:
        self._fail("no whole frame in time")

    def _fail(self, text: str) -> None:
        """Send the error, accept no more requests, and end after the last response."""
        self._writer.write(frames.encode_error(text))
        self.end()

    def _respond(self, stream_id: int, response: Response) -> None:
        started = self.in_flight.pop(stream_id, None)
        if started is not None:
            self._owner.request_budget.release(started.reserved)
        if not self._writer.has_room_for(len(response.body)):
            response = UNSENT_LIMIT_REACHED
        try:
            pieces = frames.encode_response(stream_id, response)
        except frames.EncodeError as error:
            log_line(f"response on stream {stream_id} is not sent: {error}")
            pieces = frames.encode_response(stream_id, NOT_ENCODABLE)
        self._writer.write(pieces)
        if self.ending:
            self._finish_writing()

    def end(self) -> None:
        """Accept no more requests; close the write side after the last response."""
        if not self.ending:
            self.ending = True
            self._frame_timer.cancel()
            self._end_deadline = self._clock() + MAX_UNSENT_WAIT
            self._finish_writing()

    def _finish_writing(self) -> None:
        event_loop = asyncio.get_running_loop()
        if self.in_flight or self.queued:
            self._end_deadline = self._clock() + MAX_UNSENT_WAIT
        elif self._stream.closed() or self.write_closed:
            return
        elif not self._writer.unsent_bytes:
            self.write_closed = True
            self._stream.half_close()
            self._owner.linger(self)
            event_loop.call_later(LINGER_DURATION, self._stream.close)
        elif self._clock() > self._end_deadline:
            self._stream.close()
        else:
            event_loop.call_later(UNSENT_POLL_INTERVAL, self._finish_writing)

    def close(self) -> None:
        """Close at once, even with unread bytes: only where the descriptor or the memory is needed."""
        self._owner.discard(self)
        self._stream.close()

    @property
    def is_idle(self) -> bool:
        """Whether nothing is in flight, unsent or unread."""
        return not (
            self.in_flight
            or self.queued
            or self._writer.unsent_bytes
            or self.has_unread_requests
            or self._stream.is_stale()
        )

    @property
    def has_unread_requests(self) -> bool:
        """Whether a request may wait, for memory or for this connection's turn, not read or not decoded."""
        return self._reader.needs_memory or self._has_undecoded

    @property
    def unsent_bytes(self) -> int:
        """Bytes not yet passed to the system, as the client does not read."""
        return self._writer.unsent_bytes

    @property
    def unsent_since(self) -> float:
        """Since when (event loop's time) the client has not read all; valid while there are unsent bytes."""
        return self._writer.unsent_since

    def go_away(self) -> None:
        """Tell the client, once, to send no more requests on this connection."""
        if not self._sent_go_away:
            self._sent_go_away = True
            self._writer.write(frames.encode_frame(frames.GO_AWAY, 0))
