"""A listening socket that survives running out of descriptors: accepting only pauses."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable

from hallproxy.run.log import log_line

MAX_ACCEPTS_PER_TURN = 128  # connections in one turn of the event loop
MAX_ACCEPTS_AT_CLOSE = 1024  # connections at the close, as many as a backlog holds
RETRY_DELAY = 0.05  # s until the next attempt after an exhaustion error
# The system is out of a resource that a connection needs; connections in the backlog stay there.
EXHAUSTION_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)

AcceptCallback = Callable[[socket.socket, tuple[str, int]], None]


class Listener:
    """Accepts connections on ``sock`` and passes each to ``on_accept`` until ``close``.

    ``free_descriptor`` is called where the process is out of descriptors; it closes a connection that is not
    needed, and returns whether there was one.
    """

    def __init__(
        self, sock: socket.socket, on_accept: AcceptCallback, free_descriptor: Callable[[], bool]
    ) -> None:
        self.sock, self._on_accept, self._free_descriptor = sock, on_accept, free_descriptor
        self._event_loop = asyncio.get_running_loop()
        self._resume_timer: asyncio.TimerHandle | None = None
        self._event_loop.add_reader(sock.fileno(), self._ready)

    def _ready(self) -> None:
        freed = False
        for n in range(MAX_ACCEPTS_PER_TURN):
            try:
                connection, address = self.sock.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                if error.errno not in EXHAUSTION_ERRORS:
                    continue  # this connection failed before it was accepted
                if n and not freed:
                    return  # also raised for an empty backlog: the event loop calls again if it is not
                if freed or not self._free_descriptor():
                    self._pause(error)
                    return
                freed = True
                continue
            self._on_accept(connection, address)
            if freed:
                return

    def _pause(self, error: OSError) -> None:
        """Guards CPU and log: the socket stays readable, so the event loop would call back continuously."""
        log_line(f"listener: {error.strerror}; accepting is paused, connections wait in the backlog")
        self._event_loop.remove_reader(self.sock.fileno())
        self._resume_timer = self._event_loop.call_later(RETRY_DELAY, self._resume)

    def _resume(self) -> None:
        self._resume_timer = None
        self._event_loop.add_reader(self.sock.fileno(), self._ready)

    def close(self) -> None:
        """Stop listening, after accepting the backlog: the system has established those connections."""
        for _ in range(MAX_ACCEPTS_AT_CLOSE):
            try:
                connection, address = self.sock.accept()
            except ConnectionAbortedError:
                continue
            except OSError:
                break
            self._on_accept(connection, address)
        if self._resume_timer is not None:
            self._resume_timer.cancel()
        else:
            self._event_loop.remove_reader(self.sock.fileno())
        self.sock.close()
