"""A follower's connection: its state, the bytes read from it, and its poll."""

from __future__ import annotations

from enum import Enum

from hallproxy.run.sockets import Stream


class ConnectionState(Enum):
    """The state of a connection."""

    IDLE = "idle"  # no request in progress
    WAITING = "held"  # its poll waits for events
    SENDING = "sending"  # a response is not completely sent yet
    ENDING = "ending"  # half-closed: what the peer still sends is discarded
    CLOSED = "closed"


class Connection:
    """One connection. Times are in ns.

    Attributes:
        fd: the descriptor, also once the stream is closed.
        peer: its address, for log lines.
        generation: changes with the state; timers of an earlier generation are void.
        buffer: bytes read and not parsed yet.
        searched: bytes of the buffer in which the end of the next head was not found.
        streamed: whether it is read through its stream, because a response was not sent at once.
        reading: whether such a read is in progress.
        paused: whether it is not registered with the event loop for reading.
        last_request_at: the time of the last request, or of the connect.
        confirmed_number: the event number that the follower has confirmed; None: it has not polled.
        log_incarnation: the incarnation of the log in the last response; -1: none.
        since: the poll's event number.
        answer_at_once: whether the poll is to be answered without waiting.
        accepts_gzip: whether the poll accepts gzip.
        close_after_response: whether the connection ends with the response.
        drained_bytes: bytes read since it was half-closed.
        status_only: whether it exceeds the limit of followers and may only request the status.
    """

    __slots__ = (
        "stream",
        "fd",
        "peer",
        "state",
        "generation",
        "buffer",
        "searched",
        "streamed",
        "reading",
        "paused",
        "last_request_at",
        "confirmed_number",
        "log_incarnation",
        "since",
        "answer_at_once",
        "accepts_gzip",
        "close_after_response",
        "drained_bytes",
        "status_only",
    )

    def __init__(self, stream: Stream, peer: str, now: int) -> None:
        self.stream = stream
        self.fd = stream.fileno()
        self.peer = peer
        self.state = ConnectionState.IDLE
        self.generation = 0
        self.buffer = bytearray()
        self.searched = 0
        self.streamed = False
        self.reading = False
        self.paused = False
        self.last_request_at = now
        self.confirmed_number: int | None = None
        self.log_incarnation = -1
        self.since = 0
        self.answer_at_once = False
        self.accepts_gzip = False
        self.close_after_response = False
        self.drained_bytes = 0
        self.status_only = False
