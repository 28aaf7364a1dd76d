"""Deadlines of connections, grouped by tick: with thousands of polls, a timer each would cost more."""

from __future__ import annotations

from collections.abc import Iterator

from hallproxy.feed import MS
from hallproxy.relay.connection import Connection

TICK = 20 * MS  # ns


class TimerWheel:
    """Timers that fire with the first tick after their deadline. Times are in ns."""

    def __init__(self, now: int) -> None:
        self._tick = now // TICK
        self._timers: dict[int, list[tuple[Connection, int]]] = {}  # connection and its generation, by tick

    def schedule(self, connection: Connection, deadline: int) -> None:
        """Set a timer, which is void once the connection's generation has changed."""
        tick = max(self._tick, deadline // TICK) + 1
        self._timers.setdefault(tick, []).append((connection, connection.generation))

    def expired(self, now: int) -> Iterator[Connection]:
        """Remove the timers that fire and yield their connections, in order of ticks."""
        former_tick, self._tick = self._tick, now // TICK
        for tick in self._ticks_until_now(former_tick):
            for connection, generation in self._timers.pop(tick, ()):
                if connection.generation == generation:
                    yield connection

    def _ticks_until_now(self, former_tick: int) -> range | list[int]:
        passed = range(former_tick, self._tick + 1)
        if len(passed) < len(self._timers):
            return passed
        # After a long pause fewer ticks may have timers than have passed.
        return sorted(tick for tick in self._timers if tick <= self._tick)
