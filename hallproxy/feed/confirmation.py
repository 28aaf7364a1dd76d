"""Tracks which events all followers have: one that polls from a number confirms all events up to it."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Any

from hdrh.histogram import HdrHistogram

MICROSECOND = 1_000  # ns
MAX_DELAY = 600_000_000  # µs; longer delays are recorded as this
MAX_ARRIVALS = 16_384  # upstream pages not confirmed by all followers; the oldest is dropped
PERCENTILES = {"p50": 50.0, "p90": 90.0, "p99": 99.0, "max": 100.0}


@dataclass(slots=True, frozen=True)
class _Arrival:
    """An upstream page that not all followers have confirmed."""

    last_number: int
    arrived_at: int  # ns
    event_count: int


class ConfirmationTracker:
    """Followers by their numbers, and the delays from an event's arrival to its confirmation by all."""

    def __init__(self) -> None:
        self.followers_by_number: dict[int, int] = {}  # counts; at most one entry per follower
        self.lowest_confirmed: int | None = None  # None: there are no followers
        self.follower_count = 0
        self._arrivals: deque[_Arrival] = deque(maxlen=MAX_ARRIVALS)
        self._delays: Any = HdrHistogram(1, MAX_DELAY, 2, word_size=4)

    def record_arrival(self, last_number: int, event_count: int, now: int) -> None:
        """Record the arrival of an upstream page, from which the delay of its confirmation is measured."""
        if self.follower_count and event_count:
            self._arrivals.append(_Arrival(last_number, now, event_count))

    def move_follower(self, old: int | None, new: int | None, now: int) -> None:
        """Move a follower from number ``old`` (None: it is new) to ``new`` (None: it disconnects)."""
        if old == new:
            return
        if new is not None:
            self._add(new, is_new=old is None)
        if old is not None:
            self._remove(old, disconnects=new is None, now=now)

    def _add(self, number: int, is_new: bool) -> None:
        counts = self.followers_by_number
        counts[number] = counts.get(number, 0) + 1
        if is_new:
            self.follower_count += 1
        if self.lowest_confirmed is None or number < self.lowest_confirmed:
            self.lowest_confirmed = number

    def _remove(self, number: int, disconnects: bool, now: int) -> None:
        counts = self.followers_by_number
        if disconnects:
            self.follower_count -= 1
        if counts[number] > 1:
            counts[number] -= 1
            return
        del counts[number]
        if number == self.lowest_confirmed:
            self.lowest_confirmed = min(counts) if counts else None
            self._record_confirmed(now)

    def _record_confirmed(self, now: int) -> None:
        arrivals = self._arrivals
        if self.lowest_confirmed is None:
            arrivals.clear()  # no follower remains to confirm them
            return
        while arrivals and arrivals[0].last_number <= self.lowest_confirmed:
            arrival = arrivals.popleft()
            delay = (now - arrival.arrived_at) // MICROSECOND
            self._delays.record_value(min(MAX_DELAY, max(1, delay)), arrival.event_count)

    def reset(self) -> None:
        """Drop the unconfirmed pages: their numbers are of a former incarnation of the log."""
        self._arrivals.clear()

    def unconfirmed_pages(self) -> int:
        """The number of upstream pages not confirmed by all followers."""
        return len(self._arrivals)

    def delays_ms(self) -> dict[str, float]:
        """Percentiles in ms; ``count`` is the number of events."""
        count = self._delays.get_total_count()
        summary: dict[str, float] = {"count": count}
        if count:
            for name, percentile in PERCENTILES.items():
                summary[name] = round(self._delays.get_value_at_percentile(percentile) / 1000, 3)
        return summary
