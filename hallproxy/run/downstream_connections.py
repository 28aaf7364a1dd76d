"""All clients' connections to the platform's front: their limits, request queue and shutdown."""

from __future__ import annotations

import asyncio
import socket

from hallproxy.run.byte_budget import ByteBudget
from hallproxy.run.downstream_connection import LINGER_DURATION, DownstreamConnection
from hallproxy.run.effect_runner import EffectRunner
from hallproxy.run.log import log_line
from hallproxy.run.platform_teams import PlatformTeams
from hallproxy.run.sockets import tcp_stream
from hallproxy.state.units import SECOND

MAX_STARTS_PER_TURN = 16  # requests, of all connections, in one turn of the event loop
MAX_LINGERING = 16  # connections; over that the oldest is closed at once
SILENT_AGE = 0.3  # s from which a connection without a request is ended first for another
END_POLL_INTERVAL = 0.002  # s
SMALL_REQUEST_BYTES = 4096  # up to which a request may use the last quarter of the memory for requests
MEMORY_WAIT_SHARE = 0.25  # of the shortest deadline, for which requests may wait unread for memory


class DownstreamConnections:
    """All downstream connections of a gateway, within its limits of descriptors and unsent bytes."""

    def __init__(self, runner: EffectRunner) -> None:
        self.runner = runner
        classes = runner.state.settings.classes
        self.class_indices = {request_class.name: n for n, request_class in enumerate(classes)}
        self.connections: set[DownstreamConnection] = set()  # those whose write side is open
        self.lingering: dict[DownstreamConnection, None] = {}  # the others, oldest first
        self.teams: PlatformTeams | None = None  # None: requests are not attributed to teams
        self.stopping = False  # the process is shutting down: not ready for new requests
        self.last_activity_at = 0.0  # event loop's time of the last request or connection
        # From a request's first byte to its response: frames, queued requests, bodies in flight.
        self.request_budget = ByteBudget(
            lambda: runner.state.limits.request_bytes, lambda: SMALL_REQUEST_BYTES
        )
        self._queue: dict[tuple[DownstreamConnection, int], None] = {}  # in the order of arrival
        self._starts_left = MAX_STARTS_PER_TURN  # in this turn of the event loop
        self._turn_scheduled = False
        self._tasks: set[asyncio.Task[None]] = set()

    def enqueue(self, connection: DownstreamConnection, stream_id: int) -> None:
        """Queue a request that has been received."""
        self._queue[connection, stream_id] = None

    def dequeue(self, connection: DownstreamConnection, stream_id: int) -> None:
        """Remove a queued request that is cancelled, or whose client has disconnected."""
        self._queue.pop((connection, stream_id), None)

    def start_queued(self) -> None:
        """Start queued requests, a limited number in each turn of the event loop.

        Cancellations and disconnects are read between turns; those requests are not started.
        """
        while self._queue and self._starts_left:
            self._starts_left -= 1
            connection, stream_id = next(iter(self._queue))
            del self._queue[connection, stream_id]
            connection.start_request(stream_id)
        if self._starts_left < MAX_STARTS_PER_TURN and not self._turn_scheduled:
            self._turn_scheduled = True
            asyncio.get_running_loop().call_soon(self._next_turn)

    def _next_turn(self) -> None:
        self._turn_scheduled = False
        self._starts_left = MAX_STARTS_PER_TURN
        self.start_queued()

    @property
    def has_unfinished(self) -> bool:
        """Whether a request awaits memory or its response, or a response is not sent completely."""
        return bool(self._queue or self.runner.state.awaiting_response) or any(
            c.unsent_bytes or c.has_unread_requests for c in self.connections
        )

    def max_memory_wait(self) -> float:
        """How long (s) requests may wait unread for memory; what is left of their time is for the answer."""
        classes = self.runner.state.settings.classes
        return MEMORY_WAIT_SHARE * min(request_class.deadline for request_class in classes) / SECOND

    def has_room_for(self, size: int) -> bool:
        """Whether all connections together may have ``size`` more unsent bytes."""
        return self._unsent_bytes() + size <= self.runner.state.limits.unsent_bytes

    def _unsent_bytes(self) -> int:
        return sum(c.unsent_bytes for c in self.connections)

    def shed_unsent(self) -> None:
        """Close connections whose responses stay unread, until all have few enough unsent bytes.

        The one that has not read all for the longest time goes first: another may be about to read.
        """
        while self._unsent_bytes() > self.runner.state.limits.unsent_bytes:
            slow = min((c for c in self.connections if c.unsent_bytes), key=lambda c: c.unsent_since)
            log_line("too many responses are unread: the connection that has not read for longest is closed")
            slow.close()

    def discard(self, connection: DownstreamConnection) -> None:
        """Remove a connection that is closed."""
        self.connections.discard(connection)
        self.lingering.pop(connection, None)

    def linger(self, connection: DownstreamConnection) -> None:
        """Move the connection to those whose write side is closed; over the limit the oldest is closed."""
        self.connections.discard(connection)
        self.lingering[connection] = None
        if len(self.lingering) > MAX_LINGERING:
            next(iter(self.lingering)).close()

    def _longest_idle(self) -> DownstreamConnection | None:
        """The connection to end for another: one without a request first, then the one idle longest.

        A client retries a request that crosses the end, while a rejected connection is a failed request. New
        connections come last, as many may be accepted before the first request of any is read.
        """
        silent_since = asyncio.get_running_loop().time() - SILENT_AGE

        def rank(connection: DownstreamConnection) -> tuple[int, float]:
            if connection.has_requested:
                return 1, connection.idle_since
            return (0 if connection.idle_since < silent_since else 2), connection.idle_since

        for connection in sorted(self.connections, key=rank):
            if connection.is_idle and not connection.ending:
                return connection
        return None

    def free_descriptor(self) -> bool:
        """Close a connection that is not needed; returns whether there was one."""
        freed = next(iter(self.lingering), None) or self._longest_idle()
        if freed is not None:
            freed.close()
        return freed is not None

    def accept(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        """Serve a new connection; at the limit, end an idle one for it, or close it if there is none."""
        if len(self.connections) >= self.runner.state.limits.downstreams:
            idle = self._longest_idle()
            if idle is None:
                sock.close()
                return
            idle.end()
        self.last_activity_at = asyncio.get_running_loop().time()
        connection = DownstreamConnection(self, tcp_stream(sock), peer[0])
        self.connections.add(connection)
        task = asyncio.get_running_loop().create_task(connection.serve())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def end(self, within: float) -> None:
        """End every connection once it is idle, for at most ``within`` s or ``LINGER_DURATION``.

        Requests that have arrived by then are read and rejected. A later one meets a connection that was
        closed cleanly, which its client detects, not one that is reset.
        """
        clock = asyncio.get_running_loop().time
        until = clock() + min(within, LINGER_DURATION)
        while (self.connections or self.lingering) and clock() < until:
            for connection in list(self.connections):
                if connection.is_idle:
                    connection.end()
            await asyncio.sleep(END_POLL_INTERVAL)
