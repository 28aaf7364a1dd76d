"""A sliding window of values, among which a new value is ranked."""

from __future__ import annotations

from bisect import bisect_left, bisect_right, insort
from collections import deque
from dataclasses import dataclass, field

RECENT_VALUES_MAX = 512  # values in the window
RECENT_VALUES_MIN = 8  # values; with fewer a rank is not significant
RANK_UNKNOWN = 0.5  # rank while there are fewer values


@dataclass(slots=True, eq=False)
class RecentValues:
    """The latest values, both in order of arrival and sorted."""

    recent: deque[float] = field(default_factory=deque)
    ordered: list[float] = field(default_factory=list)

    def add(self, value: float) -> None:
        """Add a value; a full window drops its oldest."""
        self.recent.append(value)
        insort(self.ordered, value)
        if len(self.recent) > RECENT_VALUES_MAX:
            del self.ordered[bisect_left(self.ordered, self.recent.popleft())]

    def rank_of(self, value: float) -> float:
        """Return a value's rank, from 0 (below all) to 1; RANK_UNKNOWN while there are too few values."""
        if len(self.ordered) < RECENT_VALUES_MIN:
            return RANK_UNKNOWN
        below = bisect_left(self.ordered, value) + bisect_right(self.ordered, value)
        return below / (2 * len(self.ordered))
