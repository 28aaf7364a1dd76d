"""The platform's front: clients' connections, many open requests on each."""

from __future__ import annotations

import asyncio
import socket

from tornado.iostream import StreamClosedError

from hallproxy.run.loop import Loop, say
from hallproxy.run.sockets import Buffer, Stream, stream
from hallproxy.state.calls import BUSY_RETRY
from hallproxy.state.events import Answer, Arrived, CallerLeft, Verdict
from hallproxy.wire import frames

OPEN_MOST = 32  # requests open on one connection
UNSENT_MOST = 2 * 1024 * 1024  # bytes waiting for a client that does not read; over that it is closed

ALL_UNSENT_MOST = 24 * 1024 * 1024


class Connection:
    """One client's connection, from the accept to the close."""

    def __init__(self, front: Clients, made: Stream) -> None:
        self._front, self._made = front, made
        self.open: dict[int, int] = {}  # stream -> caller
        self._told_no_more = False

    async def serve(self) -> None:
        buffer = Buffer(4096)
        try:
            while True:
                at = 0
                view = memoryview(buffer.data)[: buffer.filled]
                while (found := frames.next_frame(view[at:])) is not None:
                    self._take(found[0])
                    at += found[1]
                room = max(2048, frames.needed(view[at:]) - (buffer.filled - at))
                view.release()
                del found
                buffer.drop(at)
                await buffer.fill(self._made, room)
        except frames.FrameError as error:
            self._write(frames.error(str(error)))
        except StreamClosedError:
            pass
        finally:
            # Whatever ended the connection, nobody waits for its requests any more.
            for caller in list(self.open.values()):
                self._front.loop.repliers.pop(caller, None)
                self._front.loop.bring(CallerLeft(self._front.loop.now(), caller))
            self.open.clear()
            self._front.connections.discard(self)
            self._made.close()

    def _take(self, frame: frames.Frame) -> None:
        stream_id = frame.stream
        if frame.kind == frames.ASK:
            self._front.asked_at = asyncio.get_running_loop().time()
            if not stream_id or stream_id in self.open:
                raise frames.FrameError(f"stream {stream_id} is not new")
            if len(self.open) >= OPEN_MOST:
                # Closing would cost the client all that is open; a plain no costs it this one.
                return self._write(frames.answer(stream_id, Answer(Verdict.REFUSED, retry_after=BUSY_RETRY)))
            try:
                asked = frames.read_request(
                    frame.payload, self._front.classes, self._front.loop.state.settings
                )
            except frames.FieldError as error:
                return self._write(frames.error(str(error), stream_id))
            caller = self._front.loop.caller(lambda answer: self._answer(stream_id, answer))
            self.open[stream_id] = caller
            self._front.loop.bring(Arrived(self._front.loop.now(), caller, asked))
        elif frame.kind == frames.LEFT:
            left = self.open.pop(stream_id, None)
            if left is not None:
                self._front.loop.repliers.pop(left, None)
                self._front.loop.bring(CallerLeft(self._front.loop.now(), left))
        elif frame.kind == frames.IS_READY:
            code = frames.SERVED if not self._front.stopping else frames.REFUSED
            self._write(frames.pieces(frames.READINESS, stream_id, bytes((code, 0))))
        else:
            raise frames.FrameError(f"a frame of type {frame.kind}")

    def _answer(self, stream_id: int, answer: Answer) -> None:
        self.open.pop(stream_id, None)
        self._write(frames.answer(stream_id, answer))

    def _write(self, pieces: list[bytes]) -> None:
        try:
            self._made.gather(pieces)
            if self._made.unsent > UNSENT_MOST or (self._made.unsent and self._front.over()):
                say("a client does not read its answers: closed")
                self._made.close()
        except StreamClosedError:
            pass  # the reader ends the connection

    @property
    def unsent(self) -> int:
        return self._made.unsent

    def no_more(self) -> None:
        """Ask the client to send nothing new here."""
        if not self._told_no_more:
            self._told_no_more = True
            self._write(frames.pieces(frames.NO_MORE, 0))


class Clients:
    def __init__(self, loop: Loop, most: int) -> None:
        self.loop = loop
        self.classes = {c.name: n for n, c in enumerate(loop.state.settings.classes)}
        self.connections: set[Connection] = set()
        self.stopping = False
        self.asked_at = 0.0  # when the last request or connection came
        self.most = most
        self._tasks: set[asyncio.Task[None]] = set()

    def over(self) -> bool:
        """Whether all clients together leave more unread than there is memory for."""
        return sum(c.unsent for c in self.connections) > ALL_UNSENT_MOST

    def accept(self, sock: socket.socket, _: object) -> None:
        if len(self.connections) >= self.most:
            # Guards the descriptors: the front keeps to a third of them, so this is no client of ours.
            sock.close()
            return
        self.asked_at = asyncio.get_running_loop().time()
        connection = Connection(self, stream(sock))
        self.connections.add(connection)
        task = asyncio.get_running_loop().create_task(connection.serve())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
