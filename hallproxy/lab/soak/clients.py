"""Clients of the platform front that use their connections until the gateway is killed."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from dataclasses import dataclass, field
from typing import Any

from hallproxy.lab.soak.plan import CLASS_NAMES, KEYED_CLASS, ONCE_CLASS
from hallproxy.lab.soak.rules import RESPONSE_GRACE, Rules
from hallproxy.wire import frames

CROSSING_WINDOW = 0.05  # s; a request written this shortly before an idle close may cross it
MAX_IN_FLIGHT = 30  # requests per connection
OBJECTS = 12
CANCEL_SHARE = 0.05  # of requests
IGNORES_GO_AWAY_SHARE = 0.5  # of clients; they keep sending after a GO_AWAY frame
FRESH_FOR_MS = {"small": 2_000}
HEAD_BYTES = 9  # of a frame head: length, type, stream
_REQUEST_IDS = itertools.count(1)


@dataclass(eq=False)
class PendingRequest:
    """A request that has been written and has no response yet."""

    request_id: str
    class_name: str
    object_id: int
    part: int
    written_at: float  # Unix s
    timeout: float  # s

    @property
    def group(self) -> int:
        """The object's purge group."""
        return self.object_id % 3


@dataclass
class Tally:
    """Counts over all clients."""

    requests: int = 0
    codes: dict[int, int] = field(default_factory=dict)
    crossed: int = 0  # requests that crossed the close of their connection
    cancelled: int = 0


class SoakClient(asyncio.Protocol):
    """One connection, until it closes or the gateway is killed."""

    def __init__(self, rules: Rules, tally: Tally, rng: random.Random, class_deadline: float) -> None:
        self._rules, self._tally, self._rng = rules, tally, rng
        self._class_deadline = class_deadline
        self._ignores_go_away = rng.random() < IGNORES_GO_AWAY_SHARE
        self._received = bytearray()
        self._last_stream = 0
        self._answered: set[int] = set()
        self._nothing_received = True
        self.refusal_allowed = False  # idle clients may exhaust the gateway's descriptors
        self.pending: dict[int, PendingRequest] = {}
        self.transport: asyncio.Transport | None = None
        self.go_away_received = False
        self._readiness_stream = 0  # of the readiness request sent after SIGTERM
        self.readiness_code_after_sigterm: int | None = None
        self.ended = False

    @property
    def may_request(self) -> bool:
        """Whether another request may be sent on this connection."""
        accepts_requests = not self.go_away_received or self._ignores_go_away
        return not self.ended and accepts_requests and len(self.pending) < MAX_IN_FLIGHT

    def request(self) -> None:
        """Send a randomly drawn request."""
        rng = self._rng
        pending = PendingRequest(
            f"{next(_REQUEST_IDS):016x}",
            rng.choice(CLASS_NAMES),
            rng.randrange(1, OBJECTS),
            0,
            time.time(),
            self._class_deadline * rng.choice((0.05, 0.3, 1.0, 1.0)),
        )
        self.write(pending)
        if rng.random() < CANCEL_SHARE:
            stream = self._last_stream
            asyncio.get_running_loop().call_later(rng.uniform(0.0, 0.1), self._cancel, stream)

    def write(self, pending: PendingRequest) -> None:
        """Send the request on a new stream."""
        assert self.transport is not None
        self._last_stream += 1
        fields = {
            "op": pending.class_name,
            "call": pending.request_id,
            "ttl": f"{pending.timeout * 1e3:.0f}",
        }
        fields |= {"row": f"{pending.object_id:016x}", "nth": str(pending.part), "batch": str(pending.group)}
        fields |= {"heap": "40.0"}
        if pending.class_name == KEYED_CLASS:
            fields["dedupe"] = pending.request_id * 2
        body = b"w" * 100 if pending.class_name in (KEYED_CLASS, ONCE_CLASS) else b""
        payload = frames.encode_fields(fields) + body
        pending.written_at = time.time()
        self.pending[self._last_stream] = pending
        self._tally.requests += 1
        self.transport.write(b"".join(frames.encode_frame(frames.REQUEST, self._last_stream, payload)))

    def request_readiness(self, after_sigterm: bool = False) -> None:
        """Ask whether the gateway accepts new requests."""
        if self.transport is not None and not self.ended:
            self._last_stream += 1
            if after_sigterm:
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
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Handle the frames that are complete."""
        self._nothing_received = False
        self._received += data
        while len(self._received) >= HEAD_BYTES:
            length, kind, stream = frames.HEAD.unpack_from(self._received)
            end = frames.SIZE.size + length
            if len(self._received) < end:
                return
            payload = bytes(self._received[HEAD_BYTES:end])
            del self._received[:end]
            self._handle_frame(kind, stream, payload)

    def _handle_frame(self, kind: int, stream: int, payload: bytes) -> None:
        if kind == frames.GO_AWAY:
            self.go_away_received = True
        elif kind == frames.READINESS_RESPONSE:
            if stream == self._readiness_stream:
                self.readiness_code_after_sigterm = payload[0]
        elif kind == frames.RESPONSE:
            self._handle_response(stream, payload)
        else:
            self._rules.violate("lost", f"received an unexpected frame of type {kind}")

    def _handle_response(self, stream: int, payload: bytes) -> None:
        pending = self.pending.pop(stream, None)
        code = payload[0]
        if pending is None:
            if stream == 0:
                self._rules.violate("lost", f"received a connection error: {payload[1:]!r}")
            elif stream not in self._answered:
                self._rules.violate(
                    "lost", f"received a response on stream {stream}, which has no pending request"
                )
            elif stream in self._answered and code != 0:
                return  # crossed the CANCEL frame
            return
        fields, body = frames.decode_fields(memoryview(payload)[1:])
        self._tally.codes[code] = self._tally.codes.get(code, 0) + 1
        late = time.time() - pending.written_at - pending.timeout
        if late > RESPONSE_GRACE + self._rules.slack:
            self._rules.violate("lost", f"{pending.request_id} was answered {late:.3f} s after its deadline")
        if code == frames.SERVED:
            self._check_served(pending, bytes(body))
        elif code == frames.REJECTED:
            self._rules.check_rejection(pending.request_id, pending.class_name)
        elif "error" in fields:
            self._rules.violate("form", f"{pending.request_id} was answered with error {fields['error']!r}")

    def _check_served(self, pending: PendingRequest, body: bytes) -> None:
        words = body.split(b" ")
        name = f"{pending.object_id:016x}".encode()
        if len(words) != 4 or words[:2] != [name, b"%d" % pending.part]:
            self._rules.violate("lost", f"{pending.request_id} was served with the wrong body {body[:40]!r}")
            return
        generated_at_ms = int(words[2])
        self._rules.copy_used(
            pending.request_id, pending.object_id, pending.group, generated_at_ms, pending.written_at
        )
        fresh_for_ms = FRESH_FOR_MS.get(pending.class_name)
        age_ms = pending.written_at * 1e3 - generated_at_ms
        if fresh_for_ms is not None and age_ms > fresh_for_ms + 1e3 * self._rules.slack:
            self._rules.violate(
                "lost", f"{pending.request_id} was served with a copy that is {age_ms:.0f} ms old"
            )

    def eof_received(self) -> bool:
        """Handle an orderly close by the gateway."""
        self._end("ended")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle the loss of the connection."""
        self._end("reset" if exc is not None else "closed")

    def _end(self, how: str) -> None:
        """Count each pending request as lost unless it crossed the close."""
        if self.ended:
            return
        self.ended = True
        if self._received:
            self._rules.violate("lost", f"a connection was {how} partway through a frame")
        now = time.time()
        crossing = CROSSING_WINDOW + self._rules.slack
        all_cross = all(now - request.written_at <= crossing for request in self.pending.values())
        refused = self._nothing_received and self.refusal_allowed
        for pending in self.pending.values():
            if all_cross or refused:
                self._tally.crossed += 1
            else:
                age = now - pending.written_at
                what = f"{pending.request_id} ({pending.class_name}), written {age:.3f} s before"
                self._rules.violate("lost", f"{what} its connection was {how}")
        self.pending.clear()

    def check_overdue(self) -> None:
        """Report each request without a response after its deadline as lost."""
        now = time.time()
        for pending in self.pending.values():
            late = now - pending.written_at - pending.timeout
            if late > RESPONSE_GRACE + self._rules.slack:
                self._rules.violate(
                    "lost", f"{pending.request_id} has no response {late:.3f} s after its deadline"
                )


async def connect(port: int, *client_args: Any) -> SoakClient | None:
    """Connect a client; return None if the gateway's port is closed."""
    loop = asyncio.get_running_loop()
    try:
        _, client = await loop.create_connection(lambda: SoakClient(*client_args), "127.0.0.1", port)
    except OSError:
        return None
    return client
