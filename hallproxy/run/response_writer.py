"""Writing frames to one client, within the bytes that clients may leave unread."""

from __future__ import annotations

import asyncio
from typing import Protocol

from tornado.iostream import StreamClosedError

from hallproxy.run.log import log_line
from hallproxy.run.sockets import Stream

MAX_UNSENT_BYTES = 2 * 1024 * 1024  # for a client that does not read; over that it is closed


class UnsentLimit(Protocol):
    """The limit on the unsent bytes of all connections together."""

    def has_room_for(self, size: int) -> bool:
        """Whether all connections together may have ``size`` more unsent bytes."""
        ...

    def shed_unsent(self) -> None:
        """Close connections whose responses stay unread, until all have few enough unsent bytes."""
        ...


class ResponseWriter:
    """Writes frames at once, or appends them to the stream's buffer while the client does not read."""

    def __init__(self, stream: Stream, limit: UnsentLimit) -> None:
        self._stream = stream
        self._limit = limit
        self._clock = asyncio.get_running_loop().time
        self.unsent_since = self._clock()  # since when the client has not read all; valid with unsent bytes

    @property
    def unsent_bytes(self) -> int:
        """Bytes not yet passed to the system, as the client does not read."""
        return self._stream.unsent_bytes

    def has_room_for(self, size: int) -> bool:
        """Whether ``size`` more bytes may be written; always to a client that has read everything."""
        return not (size and self._stream.unsent_bytes) or self._limit.has_room_for(size)

    def write(self, pieces: list[bytes]) -> None:
        """Write the pieces in order; closes the stream of a client that leaves too much unread."""
        if not self._stream.unsent_bytes:
            self.unsent_since = self._clock()
        try:
            self._stream.write_pieces(pieces)
        except StreamClosedError:
            return  # the connection's reader ends it
        unsent = self._stream.unsent_bytes
        if unsent > MAX_UNSENT_BYTES:
            log_line("a client does not read its responses: connection closed")
            self._stream.close()
        elif unsent:
            self._limit.shed_unsent()
