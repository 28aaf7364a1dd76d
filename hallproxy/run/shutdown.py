"""Graceful shutdown: stop accepting, finish the requests in flight, then close every connection cleanly."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from hallproxy.run.downstream_connections import DownstreamConnections
from hallproxy.run.effect_runner import EffectRunner
from hallproxy.run.log import log_line
from hallproxy.state.events import ShutdownStarted
from hallproxy.state.units import SECOND

POLL_INTERVAL = 0.02  # s
# Times after SIGTERM:
ACCEPT_PERIOD = 0.8  # s in which new connections and requests are still accepted
GO_AWAY_DELAY = 0.45  # s until clients are sent a go-away, once the load balancer has noticed
QUIET_PERIOD = 0.3  # s without a new request or connection that end the wait for late ones, ...
MAX_LATE_REQUEST_WAIT = 3.0  # s ...which lasts at most this long, as some clients keep sending
MAX_COUNTED_DEADLINE = 3 * SECOND  # ns; a longer deadline does not delay the SIGKILL
KILL_DELAY = 700_000_000  # ns from the longest deadline, limited as above, to the SIGKILL
REJECT_MARGIN = 100_000_000  # ns before the responses' deadline from which new requests are always rejected
EXIT_TIME = 200_000_000  # ns that the process may take to exit
CONNECTION_END_MARGIN = 500_000_000  # ns from the responses' deadline to the SIGKILL


async def drain(
    clients: DownstreamConnections, runner: EffectRunner, stop_listening: Callable[[], None]
) -> None:
    """Accept late requests, finish all requests, end the connections, then return."""
    shutdown = _Shutdown(clients, runner, stop_listening)
    shutdown.begin()
    while not shutdown.finished():
        await asyncio.sleep(POLL_INTERVAL)
        shutdown.advance()
    await clients.end(shutdown.seconds_to_end)
    cached = runner.state.local_cache.cached_bytes
    log_line(f"local cache: responses served {runner.state.served_locally}, size {cached} bytes")
    log_line("stopped: shutdown is complete")


class _Shutdown:
    """The steps of a shutdown: go-away, stop listening, reject new requests, wait for responses.

    New connections arrive until the load balancer has noticed; a client that is sent a go-away before would
    only open another one. Requests long after that are rejected, as a client that never stops sending would
    prevent the end of the shutdown.
    """

    def __init__(
        self, clients: DownstreamConnections, runner: EffectRunner, stop_listening: Callable[[], None]
    ) -> None:
        self._clients = clients
        self._runner = runner
        self._stop_listening = stop_listening
        self._clock = asyncio.get_running_loop().time
        self._began_at = self._clock()
        self._deadline = 0  # Unix ns; of all responses
        self._sent_go_away = False
        self._listening = True
        self._rejecting = False

    def begin(self) -> None:
        """Start the shutdown in the clients' front and the reducer."""
        log_line("stopping: shutdown has begun, reporting not ready")
        self._clients.stopping = True
        classes = self._runner.state.settings.classes
        longest = max((request_class.deadline for request_class in classes), default=0)
        kill_delay = min(MAX_COUNTED_DEADLINE, longest) + KILL_DELAY
        self._deadline = self._runner.now() + kill_delay - CONNECTION_END_MARGIN
        self._runner.dispatch(ShutdownStarted(self._runner.now(), self._deadline))

    def advance(self) -> None:
        """Take the steps that are due."""
        elapsed = self._clock() - self._began_at
        if elapsed >= GO_AWAY_DELAY:
            self._send_go_away()
        if self._listening and elapsed >= ACCEPT_PERIOD:
            self._listening = False
            self._stop_listening()
        near_deadline = self._runner.now() >= self._deadline - REJECT_MARGIN
        if not self._rejecting and (near_deadline or self._is_quiet(elapsed)):
            self._reject_new()

    def finished(self) -> bool:
        """Whether all responses are delivered, or the deadline has passed (a client may not read its own)."""
        return self._rejecting and (not self._clients.has_unfinished or self._runner.now() >= self._deadline)

    @property
    def seconds_to_end(self) -> float:
        """Seconds that ending the connections may take."""
        end_by = self._deadline + CONNECTION_END_MARGIN - EXIT_TIME
        return (end_by - self._runner.now()) / SECOND

    def _send_go_away(self) -> None:
        self._sent_go_away = True
        for connection in list(self._clients.connections):
            connection.go_away()

    def _is_quiet(self, elapsed: float) -> bool:
        """Whether late requests and connections have ceased, or the wait for that is over."""
        if self._listening or not self._sent_go_away:
            return False
        last = max(self._clients.last_activity_at, self._began_at)
        return self._clock() - last >= QUIET_PERIOD or elapsed >= MAX_LATE_REQUEST_WAIT

    def _reject_new(self) -> None:
        self._rejecting = True
        log_line("stopping: new requests are rejected")
        self._runner.dispatch(ShutdownStarted(self._runner.now(), self._deadline, rejects_new=True))
