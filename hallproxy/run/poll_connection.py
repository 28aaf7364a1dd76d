"""A connection to one address of the change log, for consecutive polls."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass, field

from hallproxy.run.config import Address
from hallproxy.run.response_reader import read_body, read_head
from hallproxy.run.sockets import Buffer, Stream, tcp_stream
from hallproxy.state.events import WatchFailure
from hallproxy.wire.changelog import encode_poll
from hallproxy.wire.http1 import Head


@dataclass(slots=True, frozen=True)
class RawResponse:
    """A poll's response as it was received."""

    polled_at: int  # Unix ns; when the poll was sent
    source: Address
    head: Head
    body: bytes


@dataclass(slots=True)
class PollConnection:
    """A connection and its buffer; ``fresh``: no poll has been sent on it yet."""

    stream: Stream
    source: Address
    buffer: Buffer = field(default_factory=Buffer)
    fresh: bool = True
    _failure: WatchFailure = WatchFailure.DISCONNECTED  # what the end of the connection would mean now

    @classmethod
    def open(cls, source: Address) -> PollConnection:
        """Create a socket without connecting it; OSError where the process is out of descriptors."""
        return cls(tcp_stream(socket.socket(socket.AF_INET, socket.SOCK_STREAM)), source)

    async def connect(self, timeout: float) -> None:
        """Connect within ``timeout`` s, or raise TimeoutError."""
        await asyncio.wait_for(self.stream.connect(self.source), timeout)

    def send_poll(self, since: int, wait: int, compressed: bool) -> None:
        """Send a poll for the events after ``since``; the source may hold it for ``wait`` ms."""
        host = f"{self.source[0]}:{self.source[1]}"
        self._failure = WatchFailure.UNANSWERED
        self.stream.write_pieces([encode_poll(since, wait, host, compressed)])

    async def read_response(self, max_bytes: int) -> tuple[Head, bytes]:
        """The head and the complete body; HttpError for one over ``max_bytes``."""
        head = await read_head(self.stream, self.buffer)
        self._failure = WatchFailure.CUT_OFF
        return head, await read_body(self.stream, self.buffer, head, max_bytes)

    def applied(self) -> None:
        """Record that the page of the last response has been applied."""
        self._failure = WatchFailure.DISCONNECTED

    def declined(self) -> None:
        """Record that the last response has no page, as the source is not current."""
        self._failure = WatchFailure.UNANSWERED

    @property
    def failure(self) -> WatchFailure:
        """How the connection has failed, if it ends now."""
        if self._failure is WatchFailure.UNANSWERED and self.buffer.filled:
            return WatchFailure.CUT_OFF  # amid the head
        return self._failure

    def close(self) -> None:
        """Close at once; a pending read fails."""
        self.stream.close()
