"""A stand-in's listening port and open connections."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

ConnectionHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class StandinServer:
    """Listens on loopback; ``serve`` handles a connection until it returns or the connection breaks."""

    def __init__(self, serve: ConnectionHandler) -> None:
        self.port = 0
        self.connections: set[asyncio.StreamWriter] = set()
        self._serve = serve
        self._server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> None:
        """Listen on a port; 0: a port that the system assigns."""
        self._server = await asyncio.start_server(self._run, "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]

    def close_port(self) -> None:
        """Refuse new connections; open ones stay."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def stop(self) -> None:
        """Refuse new connections and reset the open ones."""
        self.close_port()
        for writer in list(self.connections):
            writer.transport.abort()

    async def _run(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.add(writer)
        try:
            await self._serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()
