"""How long requests of a cost class use their slot, learned from those served."""

from __future__ import annotations

import math
from collections import OrderedDict

MS = 1_000_000  # ns
INITIAL_SLOT_TIME = 30 * MS  # ns, of a cost class without any request served
SMOOTHING = 0.05  # weight of the latest request
MAX_COST_CLASSES = 256
SMALLEST_SIZE_KB = 4.0  # smaller requests are in one cost class
SIZES_PER_CLASS = 64  # size steps of each request class


def cost_class(class_index: int, size_kb: float) -> int:
    """The cost class of a request: its request class, and its size in powers of two."""
    size = 0
    if size_kb > SMALLEST_SIZE_KB:
        size = max(0, round(math.log2(size_kb / SMALLEST_SIZE_KB)))
    return class_index * SIZES_PER_CLASS + min(SIZES_PER_CLASS - 1, size)


class SlotTimes:
    """Smoothed slot times by cost class, in a bounded table."""

    def __init__(self) -> None:
        self._smoothed: OrderedDict[int, float] = OrderedDict()  # ns

    def expected(self, request_cost_class: int) -> int:
        """The slot time (ns) to expect."""
        return int(self._smoothed.get(request_cost_class, INITIAL_SLOT_TIME))

    def record(self, request_cost_class: int, slot_time: int) -> None:
        """Learn from the slot time (ns) of a request that was served."""
        known = self._smoothed.get(request_cost_class, float(slot_time))
        self._smoothed[request_cost_class] = known + SMOOTHING * (slot_time - known)
        self._smoothed.move_to_end(request_cost_class)
        if len(self._smoothed) > MAX_COST_CLASSES:
            self._smoothed.popitem(last=False)
