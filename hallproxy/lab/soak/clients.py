"""Clients of the platform's front that use their connections until the gateway's kill."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from dataclasses import dataclass, field
from typing import Any

from hallproxy.lab.soak.plan import CLASS_NAMES, KEYED, ONCE
from hallproxy.lab.soak.rules import ANSWER_GRACE, Rules
from hallproxy.wire import frames

CROSSING = 0.05  # s between a request and the end of a connection with nothing in flight that it may cross
MAX_IN_FLIGHT = 30  # requests of one connection
OBJECTS = 12
CANCEL_SHARE = 0.05  # of requests
STUBBORN_SHARE = 0.5  # of clients, which go on after a go-away
FRESH_FOR_MS = {"small": 2_000}
HEAD_BYTES = 9  # of a frame: length, type, stream
_IDS = itertools.count(1)


@dataclass(eq=False)
class PendingRequest:
    """A request that has been written and is owed an answer."""

    request_id: str
    class_name: str
    object_id: int
    part: int
    written_at: float  # Unix s
    time_left: float  # s

    @property
    def group(self) -> int:
        """The object's purge group."""
        return self.object_id % 3


@dataclass
class Tally:
    """What all clients got."""

    requests: int = 0
    codes: dict[int, int] = field(default_factory=dict)
    crossed: int = 0  # requests that crossed the end of their connection
    cancelled: int = 0


class SoakClient(asyncio.Protocol):
    """One connection, from its connect to the kill or its end."""

    def __init__(self, rules: Rules, tally: Tally, drawn: random.Random, class_deadline: float) -> None:
        self._rules, self._tally, self._drawn = rules, tally, drawn
        self._class_deadline = class_deadline
        self._stubborn = drawn.random() < STUBBORN_SHARE
        self._received = bytearray()
        self._last_stream = 0
        self._answered: set[int] = set()
        self._is_new = True  # nothing has come on it
        self.turned_away_allowed = False  # the descriptors are full of idle clients
        self.pending: dict[int, PendingRequest] = {}
        self.transport: asyncio.Transport | None = None
        self.told_to_go_away = False
        self._readiness_stream = 0  # asked once the gateway was told to end
        self.ready_code_when_stopping: int | None = None
        self.ended = False

    @property
    def may_request(self) -> bool:
        """Whether another request may be sent on it."""
        going = not self.told_to_go_away or self._stubborn
        return not self.ended and going and len(self.pending) < MAX_IN_FLIGHT

    def request(self) -> None:
        """Send a drawn request."""
        drawn = self._drawn
        pending = PendingRequest(
            f"{next(_IDS):016x}",
            drawn.choice(CLASS_NAMES),
            drawn.randrange(1, OBJECTS),
            0,
            time.time(),
            self._class_deadline * drawn.choice((0.05, 0.3, 1.0, 1.0)),
        )
        self.write(pending)
        if drawn.random() < CANCEL_SHARE:
            stream = self._last_stream
            asyncio.get_running_loop().call_later(drawn.uniform(0.0, 0.1), self._cancel, stream)

    def write(self, pending: PendingRequest) -> None:
        """Send this request on a new stream."""
        assert self.transport is not None
        self._last_stream += 1
        fields = {
            "op": pending.class_name,
            "call": pending.request_id,
            "ttl": f"{pending.time_left * 1e3:.0f}",
        }
        fields |= {"row": f"{pending.object_id:016x}", "nth": str(pending.part), "batch": str(pending.group)}
        fields |= {"heap": "40.0"}
        if pending.class_name == KEYED:
            fields["dedupe"] = pending.request_id * 2
        body = b"w" * 100 if pending.class_name in (KEYED, ONCE) else b""
        payload = frames.encode_fields(fields) + body
        pending.written_at = time.time()
        self.pending[self._last_stream] = pending
        self._tally.requests += 1
        self.transport.write(b"".join(frames.encode_frame(frames.REQUEST, self._last_stream, payload)))

    def ask_readiness(self, stopping: bool = False) -> None:
        """Ask whether the gateway takes new work."""
        if self.transport is not None and not self.ended:
            self._last_stream += 1
            if stopping:
                self._readiness_stream = self._last_stream
            fields = frames.encode_fields({})
            frame = frames.encode_frame(frames.READINESS_REQUEST, self._last_stream, fields)
            self.transport.write(b"".join(frame))

    def _cancel(self, stream: int) -> None:
        if self.transport is not None and not self.ended and self.pending.pop(stream, None) is not None:
            self._answered.add(stream)
            self._tally.cancelled += 1
            self.transport.write(b"".join(frames.encode_frame(frames.CANCEL, stream)))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Take the frames that are complete."""
        self._is_new = False
        self._received += data
        while len(self._received) >= HEAD_BYTES:
            length, kind, stream = frames.HEAD.unpack_from(self._received)
            end = frames.SIZE.size + length
            if len(self._received) < end:
                return
            payload = bytes(self._received[HEAD_BYTES:end])
            del self._received[:end]
            self._take(kind, stream, payload)

    def _take(self, kind: int, stream: int, payload: bytes) -> None:
        if kind == frames.GO_AWAY:
            self.told_to_go_away = True
        elif kind == frames.READINESS_RESPONSE:
            if stream == self._readiness_stream:
                self.ready_code_when_stopping = payload[0]
        elif kind == frames.RESPONSE:
            self._take_answer(stream, payload)
        else:
            self._rules.violate("lost", f"a frame of type {kind}")

    def _take_answer(self, stream: int, payload: bytes) -> None:
        pending = self.pending.pop(stream, None)
        code = payload[0]
        if pending is None:
            if stream == 0:
                self._rules.violate("lost", f"an error on the connection: {payload[1:]!r}")
            elif stream not in self._answered:
                self._rules.violate("lost", f"an answer to stream {stream}, which nobody waits for")
            elif stream in self._answered and code != 0:
                return  # a cancel crossed it
            return
        fields, body = frames.decode_fields(memoryview(payload)[1:])
        self._tally.codes[code] = self._tally.codes.get(code, 0) + 1
        late = time.time() - pending.written_at - pending.time_left
        if late > ANSWER_GRACE + self._rules.slack:
            self._rules.violate("lost", f"{pending.request_id} is answered {late:.3f} s after its time")
        if code == frames.SERVED:
            self._check_served(pending, bytes(body))
        elif code == frames.REJECTED:
            self._rules.check_rejection(pending.request_id, pending.class_name)
        elif "error" in fields:
            self._rules.violate("form", f"{pending.request_id} is answered with {fields['error']!r}")

    def _check_served(self, pending: PendingRequest, body: bytes) -> None:
        words = body.split(b" ")
        name = f"{pending.object_id:016x}".encode()
        if len(words) != 4 or words[:2] != [name, b"%d" % pending.part]:
            self._rules.violate("lost", f"{pending.request_id} is served with {body[:40]!r}")
            return
        born_ms = int(words[2])
        self._rules.copy_used(
            pending.request_id, pending.object_id, pending.group, born_ms, pending.written_at
        )
        fresh_for_ms = FRESH_FOR_MS.get(pending.class_name)
        age_ms = pending.written_at * 1e3 - born_ms
        if fresh_for_ms is not None and age_ms > fresh_for_ms + 1e3 * self._rules.slack:
            self._rules.violate("lost", f"{pending.request_id} is served with a copy of {age_ms:.0f} ms")

    def eof_received(self) -> bool:
        """The gateway ends the connection in order."""
        self._end("ended")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is gone."""
        self._end("reset" if exc is not None else "closed")

    def _end(self, how: str) -> None:
        """What is pending now was lost, but for what crossed the end."""
        if self.ended:
            return
        self.ended = True
        if self._received:
            self._rules.violate("lost", f"a connection {how} amid a frame")
        now = time.time()
        crossing = CROSSING + self._rules.slack
        all_cross = all(now - one.written_at <= crossing for one in self.pending.values())
        turned_away = self._is_new and self.turned_away_allowed
        for pending in self.pending.values():
            if all_cross or turned_away:
                self._tally.crossed += 1
            else:
                age = now - pending.written_at
                what = f"{pending.request_id} ({pending.class_name}), written {age:.3f} s before"
                self._rules.violate("lost", f"{what} its connection was {how}")
        self.pending.clear()

    def check_overdue(self) -> None:
        """What was not answered in its time is lost."""
        now = time.time()
        for pending in self.pending.values():
            late = now - pending.written_at - pending.time_left
            if late > ANSWER_GRACE + self._rules.slack:
                self._rules.violate("lost", f"{pending.request_id} has no answer {late:.3f} s after its time")


async def connect(port: int, *made_with: Any) -> SoakClient | None:
    """A client's connection; None where the gateway's port is closed."""
    loop = asyncio.get_running_loop()
    try:
        _, client = await loop.create_connection(lambda: SoakClient(*made_with), "127.0.0.1", port)
    except OSError:
        return None
    return client
