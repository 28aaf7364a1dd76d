"""Rejection of a connection at a small part of a response's cost: no stream, no task, prepared bytes.

The response is sent once the request has arrived, or after a timeout without it: closing a socket with unread
bytes resets it, and the client would see a broken connection instead of the Retry-After.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from dataclasses import dataclass

REQUEST_WAIT = 0.5  # s for the request's first bytes
MAX_WAITING = 256  # sockets whose request has not arrived; further connections are answered at once
READ_BYTES = 65_536
BODY = b"the gateway has no room for it now\n"
_FIELDS = b"Content-Type: text/plain; charset=utf-8\r\nCache-Control: no-store\r\nRetry-After: 1\r\n"
OVERLOADED = b"HTTP/1.1 503 Service Unavailable\r\n%sContent-Length: %d\r\n\r\n%s" % (
    _FIELDS,
    len(BODY),
    BODY,
)
CLOSING = OVERLOADED.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n", 1)


@dataclass(slots=True, frozen=True)
class _WaitingSocket:
    """A socket whose request has not arrived, and the timer that ends the wait."""

    sock: socket.socket
    timer: asyncio.TimerHandle


class ConnectionRejecter:
    """Answers connections with 503 and closes them.

    Attributes:
        count: connections rejected so far.
    """

    def __init__(self) -> None:
        self.count = 0
        self._waiting: dict[int, _WaitingSocket] = {}  # by file descriptor

    def reject(self, sock: socket.socket, plaintext: bool = True) -> None:
        """Answer and close the connection, now or once its request has arrived.

        ``plaintext`` False: a TLS listener's connection is closed without a response, as a handshake would
        cost more than the response.
        """
        self.count += 1
        if not plaintext:
            sock.close()
            return
        sock.setblocking(False)
        try:
            has_request = bool(sock.recv(READ_BYTES))
        except (BlockingIOError, InterruptedError):
            self._wait_for_request(sock)
            return
        except OSError:
            has_request = False
        if has_request:
            self._answer(sock)
        else:
            sock.close()

    def _wait_for_request(self, sock: socket.socket) -> None:
        if len(self._waiting) >= MAX_WAITING:
            self._answer(sock)
            return
        loop = asyncio.get_running_loop()
        descriptor = sock.fileno()
        timer = loop.call_later(REQUEST_WAIT, self._end, descriptor)
        self._waiting[descriptor] = _WaitingSocket(sock, timer)
        loop.add_reader(descriptor, self._end, descriptor)

    def _end(self, descriptor: int) -> None:
        waiting = self._waiting.pop(descriptor)
        waiting.timer.cancel()
        asyncio.get_running_loop().remove_reader(descriptor)
        with contextlib.suppress(OSError):
            waiting.sock.recv(READ_BYTES)
        self._answer(waiting.sock)

    def _answer(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError):
            sock.send(CLOSING)
        sock.close()

    def close(self) -> None:
        """Answer and close every waiting connection."""
        for descriptor in list(self._waiting):
            self._end(descriptor)
