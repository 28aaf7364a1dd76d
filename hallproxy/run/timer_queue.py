"""Scheduled events in the order of their times, without those that are no longer needed."""

from __future__ import annotations

import asyncio
import heapq
import time
from collections.abc import Callable
from typing import NamedTuple

from hallproxy.state.events import TimerEvent
from hallproxy.state.units import SECOND

MIN_COMPACTED_ENTRIES = 256  # below that the queue is not searched for entries to remove


class _Entry(NamedTuple):
    at: int  # Unix ns
    number: int  # in the order of scheduling, so that events are never compared
    event: TimerEvent


class TimerQueue:
    """Calls ``fire`` with each event once its time has come by the system's clock.

    Most timers are deadlines of requests that end earlier. Each time the queue has doubled, the events that
    are not ``is_needed`` are removed: it has at most twice as many entries as are needed, or
    ``MIN_COMPACTED_ENTRIES``, whatever the rate of requests and the length of their deadlines.
    """

    def __init__(self, is_needed: Callable[[TimerEvent], bool], fire: Callable[[TimerEvent], None]) -> None:
        self._is_needed = is_needed
        self._fire = fire
        self._entries: list[_Entry] = []  # a heap
        self._scheduled = 0
        self._compacted_at = MIN_COMPACTED_ENTRIES  # number of entries from which the queue is searched
        self._handle: asyncio.TimerHandle | None = None  # the event loop's timer for the first entry
        self._handle_at = 0  # Unix ns

    def __len__(self) -> int:
        return len(self._entries)

    def schedule(self, event: TimerEvent) -> None:
        """Add an event."""
        if len(self._entries) >= self._compacted_at:
            self._compact()
        self._scheduled += 1
        heapq.heappush(self._entries, _Entry(event.at, self._scheduled, event))
        if self._handle is None or event.at < self._handle_at:
            self._set_timer()

    def _compact(self) -> None:
        self._entries = [entry for entry in self._entries if self._is_needed(entry.event)]
        heapq.heapify(self._entries)
        self._compacted_at = max(MIN_COMPACTED_ENTRIES, 2 * len(self._entries))

    def _set_timer(self) -> None:
        if self._handle is not None:
            self._handle.cancel()
        self._handle_at = self._entries[0].at
        delay = max(0, self._handle_at - time.time_ns()) / SECOND
        self._handle = asyncio.get_running_loop().call_later(delay, self._fire_due)

    def _fire_due(self) -> None:
        self._handle = None
        now = time.time_ns()  # which may differ slightly from the event loop's clock
        while self._entries and self._entries[0].at <= now:
            event = heapq.heappop(self._entries).event
            if self._is_needed(event):
                self._fire(event)
        if self._entries and self._handle is None:
            self._set_timer()
