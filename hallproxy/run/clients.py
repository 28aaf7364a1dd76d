"""The platform's front: clients' connections, many open requests on each."""

from __future__ import annotations

import asyncio
import socket

from tornado.iostream import StreamClosedError

from hallproxy.run.loop import Loop, say
from hallproxy.run.platform_teams import PlatformTeams
from hallproxy.run.sockets import Buffer, Stream, stream
from hallproxy.state.calls import BUSY_RETRY
from hallproxy.state.events import Answer, Arrived, CallerLeft, Verdict
from hallproxy.wire import frames

OPEN_MOST = 32  # requests open on one connection
UNSENT_MOST = 2 * 1024 * 1024  # bytes waiting for a client that does not read; over that it is closed
WHOLE_IN = 2.0  # s for a first whole frame, and for the rest of each that has begun; a refusal is owed in 3 s
SPEAK_IN = 0.3  # s without a word from which a new connection may be closed for another's
AT_ONCE = 8  # frames of one connection that are taken before the others have their turn
FAULTS_MOST = 16  # frames turned away on one connection for what they hold; then it is closed
READ_MOST = 16_384  # bytes that the buffer grows by at a time, whatever length a frame claims


class Connection:
    """One client's connection, from the accept to the close."""

    def __init__(self, front: Clients, made: Stream, address: str) -> None:
        self._front, self._made, self._address = front, made, address
        self.open: dict[int, int] = {}  # stream -> caller
        self.asked = False  # a whole frame has come
        self.quiet_since = asyncio.get_running_loop().time()
        self._faults = 0
        self._told_no_more = False

    async def serve(self) -> None:
        buffer = Buffer(2048)
        clock = asyncio.get_running_loop().time
        # Guards against those who connect and say nothing, or begin a frame and never end it. Who has asked
        # may stay for good.
        due: float | None = clock() + WHOLE_IN
        try:
            while True:
                at, rest = await self._take_all(buffer)
                buffer.drop(at)
                if at:
                    due = clock() + WHOLE_IN if rest else None
                elif rest and due is None:
                    due = clock() + WHOLE_IN
                within = None if due is None else due - clock()
                await buffer.fill(self._made, min(READ_MOST, max(1024, rest)), within)
        except TimeoutError:
            self._write(frames.error("no whole frame in time"))
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

    async def _take_all(self, buffer: Buffer) -> tuple[int, int]:
        """Take all whole frames: how many bytes they were, and how many the next one still wants."""
        at = 0
        found: list[frames.Frame] = []
        with memoryview(buffer.data) as data, data[: buffer.filled] as view:
            while (one := frames.next_frame(view[at:])) is not None:
                found.append(one[0])
                at += one[1]
            rest = frames.needed(view[at:]) - (buffer.filled - at) if at < buffer.filled else 0
            # What is taken back in the same breath is never begun: hundreds at once must cost nothing.
            back = {f.stream for f in found if f.kind == frames.LEFT}
            if back:
                back -= self.open.keys()
            for n, frame in enumerate(found):
                if n and n % AT_ONCE == 0:
                    await asyncio.sleep(0)
                    if self._made.closed():
                        raise StreamClosedError()
                if frame.stream not in back:
                    self._take(frame)
            if found:
                self.asked = True
                self.quiet_since = asyncio.get_running_loop().time()
            for frame in found:
                frame.payload.release()  # the buffer can't be resized while a view of it is about
        return at, rest

    def _fault(self, pieces: list[bytes]) -> None:
        self._write(pieces)
        self._faults += 1
        if self._faults >= FAULTS_MOST:
            raise frames.FrameError("too many requests that can't be used")

    def _take(self, frame: frames.Frame) -> None:
        stream_id = frame.stream
        if frame.kind == frames.ASK:
            self._front.asked_at = asyncio.get_running_loop().time()
            if not stream_id or stream_id in self.open:
                raise frames.FrameError(f"stream {stream_id} is not new")
            if len(self.open) >= OPEN_MOST:
                # Closing would cost the client all that is open; a plain no costs it this one.
                return self._fault(frames.answer(stream_id, Answer(Verdict.REFUSED, retry_after=BUSY_RETRY)))
            try:
                asked = frames.read_request(
                    frame.payload, self._front.classes, self._front.loop.state.settings
                )
            except frames.FieldError as error:
                return self._fault(frames.error(str(error), stream_id))
            if self._front.teams is not None:
                asked = self._front.teams.owned(asked, self._address)
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

    def close(self) -> None:
        self._front.connections.discard(self)
        self._made.close()

    @property
    def unsent(self) -> int:
        return self._made.unsent

    def no_more(self) -> None:
        """Ask the client to send nothing new here."""
        if not self._told_no_more:
            self._told_no_more = True
            self._write(frames.pieces(frames.NO_MORE, 0))


class Clients:
    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.classes = {c.name: n for n, c in enumerate(loop.state.settings.classes)}
        self.connections: set[Connection] = set()
        self.teams: PlatformTeams | None = None  # whose requests are whose; None: no teams are told apart
        self.stopping = False
        self.asked_at = 0.0  # when the last request or connection came
        self._tasks: set[asyncio.Task[None]] = set()

    def over(self) -> bool:
        """Whether all clients together leave more unread than there is memory for."""
        return sum(c.unsent for c in self.connections) > self.loop.state.bounds.unsent

    def make_room(self) -> bool:
        """Close one that has nothing open: who has long said nothing at all, else who has been quiet longest.

        What crosses such a close is sent again by its client; a connection turned away is a request failed.
        Who has just come goes last: many are accepted before the first word of any is read.
        """
        silent_since = asyncio.get_running_loop().time() - SPEAK_IN

        def rank(one: Connection) -> tuple[int, float]:
            return (1 if one.asked else 0 if one.quiet_since < silent_since else 2), one.quiet_since

        free = [c for c in self.connections if not c.open and not c.unsent]
        longest = min(free, key=rank, default=None)
        if longest is not None:
            longest.close()
        return longest is not None

    def accept(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        if len(self.connections) >= self.loop.state.bounds.callers and not self.make_room():
            # Guards the descriptors: the front keeps to a third of them, so this is no client of ours.
            sock.close()
            return
        self.asked_at = asyncio.get_running_loop().time()
        connection = Connection(self, stream(sock), peer[0])
        self.connections.add(connection)
        task = asyncio.get_running_loop().create_task(connection.serve())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
