"""Turning a connection away for a small part of what an answer costs: no stream, no task, ready-made bytes.

The answer goes out once the request has come, or a little later without it: closing a socket with unread
bytes resets it, and the client would see a broken connection in place of when to come back.
"""

from __future__ import annotations

import asyncio
import socket

LINGER = 0.5  # s for the request's first bytes
HELD_MOST = 256  # sockets that linger; over that a connection is just closed
READ = 65_536
BODY = b"the gateway has no room for it now\n"
_FIELDS = b"Content-Type: text/plain; charset=utf-8\r\nCache-Control: no-store\r\nRetry-After: 1\r\n"
NO_ROOM = b"HTTP/1.1 503 Service Unavailable\r\n%sContent-Length: %d\r\n\r\n%s" % (_FIELDS, len(BODY), BODY)
CLOSING = NO_ROOM.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n", 1)


class TurnAway:
    def __init__(self) -> None:
        self._held: dict[int, tuple[socket.socket, asyncio.TimerHandle]] = {}
        self.count = 0

    def take(self, sock: socket.socket, plain: bool = True) -> None:
        """Answer and close it, now or as soon as it has said something.

        ``plain`` False: the listener speaks TLS, and a handshake would cost more than the answer: closed.
        """
        self.count += 1
        if not plain:
            return sock.close()
        sock.setblocking(False)
        try:
            if sock.recv(READ):
                return self._answer(sock)
            return sock.close()
        except (BlockingIOError, InterruptedError):
            pass
        except OSError:
            return sock.close()
        if len(self._held) >= HELD_MOST:
            return self._answer(sock)
        running = asyncio.get_running_loop()
        number = sock.fileno()
        self._held[number] = sock, running.call_later(LINGER, self._end, number)
        running.add_reader(number, self._end, number)

    def _end(self, number: int) -> None:
        sock, timer = self._held.pop(number)
        timer.cancel()
        asyncio.get_running_loop().remove_reader(number)
        try:
            sock.recv(READ)
        except OSError:
            pass
        self._answer(sock)

    def _answer(self, sock: socket.socket) -> None:
        try:
            sock.send(CLOSING)
        except OSError:
            pass
        sock.close()

    def close(self) -> None:
        for number in list(self._held):
            self._end(number)
