"""Graceful shutdown: stop accepting, answer what is in flight, then end every connection in order."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from hallproxy.run.downstream_connections import DownstreamConnections
from hallproxy.run.effect_runner import EffectRunner
from hallproxy.run.log import log_line
from hallproxy.state.events import ShutdownStarted

SECOND = 1_000_000_000
POLL_INTERVAL = 0.02  # s
# Times after SIGTERM:
ACCEPT_FOR = 0.8  # s in which new connections and requests are still accepted
GO_AWAY_AFTER = 0.45  # s until clients are sent a go-away, once the load balancer has noticed
QUIET_FOR = 0.3  # s without a new request or connection that end the wait for late ones, ...
MAX_LATE_REQUEST_WAIT = 3.0  # s ...which ends at this latest, as some clients go on sending all the same
MAX_COUNTED_DEADLINE = 3 * SECOND  # ns; a longer deadline does not put off the SIGKILL
KILLED_AFTER = 700_000_000  # ns from the longest deadline, as it is counted, to the SIGKILL
REJECTS_BEFORE = 100_000_000  # ns before all is answered from which new requests are rejected in any case
EXIT_TIME = 200_000_000  # ns that the process may take to exit
CONNECTION_END_MARGIN = 500_000_000  # ns before the SIGKILL by which all is answered


async def drain(
    clients: DownstreamConnections, loop: EffectRunner, stop_listening: Callable[[], None]
) -> None:
    """Take what still comes, answer all of it, end the connections, then return."""
    shutdown = _Shutdown(clients, loop, stop_listening)
    shutdown.begin()
    while not shutdown.finished():
        await asyncio.sleep(POLL_INTERVAL)
        shutdown.advance()
    await clients.end(shutdown.seconds_to_end)
    cached = loop.state.local_cache.cached_bytes
    log_line(f"own copies served {loop.state.served_locally}, hold {cached} bytes")
    log_line("stopped: all is answered")


class _Shutdown:
    """The steps of a shutdown: go-away, stop listening, reject new requests, wait for responses.

    New connections come until the load balancer has noticed; a client that is sent a go-away too early would
    only open another one. Requests long after that are rejected: a client that never stops would keep the
    shutdown from its end.
    """

    def __init__(
        self, clients: DownstreamConnections, loop: EffectRunner, stop_listening: Callable[[], None]
    ) -> None:
        self._clients = clients
        self._loop = loop
        self._stop_listening = stop_listening
        self._clock = asyncio.get_running_loop().time
        self._began_at = self._clock()
        self._deadline = 0  # Unix ns
        self._sent_go_away = False
        self._listening = True
        self._rejecting = False

    def begin(self) -> None:
        """Tell the clients' front and the reducer that the process ends."""
        log_line("stopping: no new work is asked for")
        self._clients.stopping = True
        classes = self._loop.state.settings.classes
        longest = max((request_class.deadline for request_class in classes), default=0)
        kill_delay = min(MAX_COUNTED_DEADLINE, longest) + KILLED_AFTER
        self._deadline = self._loop.now() + kill_delay - CONNECTION_END_MARGIN
        self._loop.dispatch(ShutdownStarted(self._loop.now(), self._deadline))

    def advance(self) -> None:
        """Take the steps whose time has come."""
        elapsed = self._clock() - self._began_at
        if elapsed >= GO_AWAY_AFTER:
            self._send_go_away()
        if self._listening and elapsed >= ACCEPT_FOR:
            self._listening = False
            self._stop_listening()
        is_last_moment = self._loop.now() >= self._deadline - REJECTS_BEFORE
        if not self._rejecting and (is_last_moment or self._is_quiet(elapsed)):
            self._reject_new()

    def finished(self) -> bool:
        """All is answered, or the deadline has passed for a client that does not read its responses."""
        return self._rejecting and (not self._clients.has_unfinished or self._loop.now() >= self._deadline)

    @property
    def seconds_to_end(self) -> float:
        """Seconds that ending the connections may take."""
        until = self._deadline + CONNECTION_END_MARGIN - EXIT_TIME
        return (until - self._loop.now()) / SECOND

    def _send_go_away(self) -> None:
        self._sent_go_away = True
        for connection in list(self._clients.connections):
            connection.go_away()

    def _is_quiet(self, elapsed: float) -> bool:
        """Whether nothing new comes any more, or has come for as long as is waited for that."""
        if self._listening or not self._sent_go_away:
            return False
        last = max(self._clients.last_activity_at, self._began_at)
        return self._clock() - last >= QUIET_FOR or elapsed >= MAX_LATE_REQUEST_WAIT

    def _reject_new(self) -> None:
        self._rejecting = True
        log_line("stopping: what is asked now is refused")
        self._loop.dispatch(ShutdownStarted(self._loop.now(), self._deadline, rejects_new=True))
