"""One client's connection to the platform's front, with concurrent requests on it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from typing import Protocol

from tornado.iostream import StreamClosedError

from hallproxy.run.effect_runner import EffectRunner
from hallproxy.run.log import log_line
from hallproxy.run.platform_teams import PlatformTeams
from hallproxy.run.sockets import Buffer, Stream
from hallproxy.state.events import ClientRequest, DownstreamClosed, RequestReceived, Response
from hallproxy.state.lifecycle import BUSY
from hallproxy.wire import frames

MAX_IN_FLIGHT = 32  # requests on one connection, queued ones included
MAX_UNSENT_BYTES = 2 * 1024 * 1024  # for a client that does not read; over that it is closed
FRAME_TIMEOUT = 2.0  # s for the first frame, and for the rest of each one that has begun
MAX_INVALID_REQUESTS = 16  # on one connection; then it is closed
BUFFER_SIZE = 2048  # initial bytes
MIN_READ_BYTES = 1024  # free space in the buffer for each read, ...
MAX_READ_BYTES = 16_384  # ...and its maximum, whatever length a frame claims
MAX_READ_PASSES = 8  # reads before the received requests are started
LINGER_DURATION = 0.5  # s for which a connection is read after its write side is closed, ...
MAX_LINGER_BYTES = 262_144  # ...or until this many bytes
UNSENT_POLL_INTERVAL = 0.02  # s between checks whether the last bytes have been sent
MAX_UNSENT_WAIT = 3.0  # s for which a client that reads nothing can delay the close of its connection


class Owner(Protocol):
    """The interface of the set of all connections to one of them."""

    runner: EffectRunner
    class_indices: dict[str, int]
    teams: PlatformTeams | None
    stopping: bool
    last_activity_at: float

    def enqueue(self, connection: DownstreamConnection, stream_id: int) -> None:
        """Queue a request that has been received."""
        ...

    def dequeue(self, connection: DownstreamConnection, stream_id: int) -> None:
        """Remove a queued request."""
        ...

    def start_queued(self) -> None:
        """Start queued requests, up to the limit of this turn of the event loop."""
        ...

    def exceeds_unsent_limit(self) -> bool:
        """Whether all connections together have too many unsent bytes."""
        ...

    def linger(self, connection: DownstreamConnection) -> None:
        """Move the connection to those whose write side is closed."""
        ...

    def discard(self, connection: DownstreamConnection) -> None:
        """Remove the connection."""
        ...


@dataclass(slots=True, frozen=True)
class QueuedRequest:
    """A request that has been received and not started yet."""

    payload: bytes
    received_at: int  # Unix ns


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
        self.in_flight: dict[int, int] = {}  # stream -> the runner's downstream number
        self.has_requested = False  # a complete frame has been received
        self.ending = False
        self.write_closed = False
        self._clock = asyncio.get_running_loop().time
        self.idle_since = self._clock()
        self._invalid_requests = 0
        self._sent_go_away = False
        self._frame_timer: asyncio.TimerHandle | None = None
        self._end_deadline = 0.0

    async def serve(self) -> None:
        """Read frames until the connection ends."""
        buffer = Buffer(BUFFER_SIZE)
        # Ends connections that never send a complete frame; others may be idle without limit.
        self._set_frame_timeout(FRAME_TIMEOUT)
        try:
            await self._read(buffer)
        except StreamClosedError:
            pass
        finally:
            self._set_frame_timeout(None)
            self._abandon_requests()
            self._owner.discard(self)
            self._stream.close()

    async def _read(self, buffer: Buffer) -> None:
        dropped = 0
        missing = 0  # bytes of the next frame
        while not (self.write_closed and dropped > MAX_LINGER_BYTES):
            await buffer.fill(self._stream, min(MAX_READ_BYTES, max(MIN_READ_BYTES, missing)))
            if not self.ending:
                missing = self._receive(buffer)
            if self.ending:
                dropped += buffer.filled
                buffer.discard(buffer.filled)
                if dropped > MAX_LINGER_BYTES and not self.write_closed:
                    # Throttles a client that keeps sending after an error, while responses are still unsent.
                    await asyncio.sleep(UNSENT_POLL_INTERVAL)

    def _abandon_requests(self) -> None:
        """Drop the requests of a client that has disconnected."""
        for stream_id in list(self.queued):
            self._owner.dequeue(self, stream_id)
        self.queued.clear()
        for downstream in list(self.in_flight.values()):
            self._close_downstream(downstream)
        self.in_flight.clear()

    def _close_downstream(self, downstream: int) -> None:
        runner = self._owner.runner
        runner.response_callbacks.pop(downstream, None)
        runner.dispatch(DownstreamClosed(runner.now(), downstream))

    def _receive(self, buffer: Buffer) -> int:
        """Read all received data, then start its requests; returns the bytes missing of the next frame.

        Reading comes first, as a request may be followed by its cancellation or the connection's end, and is
        not started then. StreamClosedError if the client has closed.
        """
        missing = 0
        decoded = 0
        for _ in range(MAX_READ_PASSES):
            size = buffer.fill_available(self._stream, MAX_READ_BYTES)
            try:
                end, missing = self._decode_frames(buffer)
            except frames.FrameError as error:
                self._fail(str(error))
                break
            decoded += end
            buffer.discard(end)
            if size == 0:
                raise StreamClosedError()
            if size is None:
                break
        if decoded:
            self.idle_since = self._clock()
        if not self.ending:
            self._renew_frame_timeout(decoded > 0, missing > 0)
        self._owner.start_queued()
        return missing

    def _renew_frame_timeout(self, completed: bool, begun: bool) -> None:
        if completed or not begun:
            self._set_frame_timeout(FRAME_TIMEOUT if begun else None)
        elif self._frame_timer is None:
            self._set_frame_timeout(FRAME_TIMEOUT)

    def _decode_frames(self, buffer: Buffer) -> tuple[int, int]:
        """Handle all complete frames; returns their bytes, and the bytes missing of the next one."""
        end = 0
        with memoryview(buffer.data) as data, data[: buffer.filled] as view:
            while (decoded := frames.next_frame(view[end:])) is not None:
                frame, size = decoded
                end += size
                self.has_requested = True
                try:
                    self._handle_frame(frame)
                finally:
                    frame.payload.release()  # the buffer can't be resized while a view of it exists
            missing = frames.frame_size(view[end:]) - (buffer.filled - end) if end < buffer.filled else 0
        return end, missing

    def _handle_frame(self, frame: frames.Frame) -> None:
        if frame.kind == frames.REQUEST:
            self._queue_request(frame)
        elif frame.kind == frames.CANCEL:
            self._cancel(frame.stream)
        elif frame.kind == frames.READINESS_REQUEST:
            code = frames.SERVED if not self._owner.stopping else frames.REJECTED
            self._write(frames.encode_frame(frames.READINESS_RESPONSE, frame.stream, bytes((code, 0))))
        else:
            raise frames.FrameError(f"a frame of type {frame.kind}")

    def _queue_request(self, frame: frames.Frame) -> None:
        stream_id = frame.stream
        self._owner.last_activity_at = self._clock()
        if not stream_id or stream_id in self.in_flight or stream_id in self.queued:
            raise frames.FrameError(f"stream {stream_id} is not new")
        if len(self.in_flight) + len(self.queued) >= MAX_IN_FLIGHT:
            # A rejection fails this request only; closing the connection would fail all in flight.
            self._reject_request(frames.encode_response(stream_id, BUSY))
            return
        self.queued[stream_id] = QueuedRequest(bytes(frame.payload), self._owner.runner.now())
        self._owner.enqueue(self, stream_id)

    def _cancel(self, stream_id: int) -> None:
        if self.queued.pop(stream_id, None) is not None:
            self._owner.dequeue(self, stream_id)
            return
        downstream = self.in_flight.pop(stream_id, None)
        if downstream is not None:
            self._close_downstream(downstream)

    def start_request(self, stream_id: int) -> None:
        """Dispatch a queued request; an invalid one is answered with an error."""
        queued = self.queued.pop(stream_id)
        if self._stream.closed():
            return
        request = self._decode_request(stream_id, queued.payload)
        if request is None:
            return
        if self._owner.teams is not None:
            request = self._owner.teams.assign_owner(request, self._address)
        runner = self._owner.runner
        now = runner.now()
        downstream = runner.register_downstream(lambda response: self._respond(stream_id, response))
        self.in_flight[stream_id] = downstream
        # The client's deadline counts from the arrival and so includes the time in the queue.
        time_left = max(0, request.time_left - (now - queued.received_at))
        runner.dispatch(RequestReceived(now, downstream, replace(request, time_left=time_left)))

    def _decode_request(self, stream_id: int, payload: bytes) -> ClientRequest | None:
        settings = self._owner.runner.state.settings
        try:
            return frames.decode_request(memoryview(payload), self._owner.class_indices, settings)
        except frames.FieldError as error:
            try:
                self._reject_request(frames.encode_error(str(error), stream_id))
            except frames.FrameError as limit_error:
                self._fail(str(limit_error))
        return None

    def _reject_request(self, pieces: list[bytes]) -> None:
        self._write(pieces)
        self._invalid_requests += 1
        if self._invalid_requests >= MAX_INVALID_REQUESTS:
            raise frames.FrameError("too many requests that can't be used")

    def _fail(self, text: str) -> None:
        """Send the error, accept no more requests, and end after the last response."""
        self._write(frames.encode_error(text))
        self.end()

    def _set_frame_timeout(self, timeout: float | None) -> None:
        if self._frame_timer is not None:
            self._frame_timer.cancel()
        self._frame_timer = None
        if timeout is not None:
            event_loop = asyncio.get_running_loop()
            self._frame_timer = event_loop.call_later(timeout, self._fail, "no whole frame in time")

    def _respond(self, stream_id: int, response: Response) -> None:
        self.in_flight.pop(stream_id, None)
        self._write(frames.encode_response(stream_id, response))
        if self.ending:
            self._finish_writing()

    def _write(self, pieces: list[bytes]) -> None:
        try:
            self._stream.write_pieces(pieces)
        except StreamClosedError:
            return  # serve() ends the connection
        unsent = self._stream.unsent_bytes
        if unsent > MAX_UNSENT_BYTES or (unsent and self._owner.exceeds_unsent_limit()):
            log_line("a client does not read its responses: connection closed")
            self._stream.close()

    def end(self) -> None:
        """Accept no more requests; close the write side after the last response."""
        if not self.ending:
            self.ending = True
            self._set_frame_timeout(None)
            self._end_deadline = self._clock() + MAX_UNSENT_WAIT
            self._finish_writing()

    def _finish_writing(self) -> None:
        event_loop = asyncio.get_running_loop()
        if self.in_flight or self.queued:
            self._end_deadline = self._clock() + MAX_UNSENT_WAIT
        elif self._stream.closed() or self.write_closed:
            return
        elif not self._stream.unsent_bytes:
            self.write_closed = True
            self._stream.half_close()
            self._owner.linger(self)
            event_loop.call_later(LINGER_DURATION, self._stream.close)
        elif self._clock() > self._end_deadline:
            self._stream.close()
        else:
            event_loop.call_later(UNSENT_POLL_INTERVAL, self._finish_writing)

    def close(self) -> None:
        """Close at once, even with unread bytes: only where the descriptor is needed."""
        self._owner.discard(self)
        self._stream.close()

    @property
    def is_idle(self) -> bool:
        """Whether nothing is in flight, unsent or unread."""
        return not (self.in_flight or self.queued or self._stream.unsent_bytes or self._stream.is_stale())

    @property
    def unsent_bytes(self) -> int:
        """Bytes not yet passed to the system, as the client does not read."""
        return self._stream.unsent_bytes

    def go_away(self) -> None:
        """Tell the client, once, to send no more requests on this connection."""
        if not self._sent_go_away:
            self._sent_go_away = True
            self._write(frames.encode_frame(frames.GO_AWAY, 0))
