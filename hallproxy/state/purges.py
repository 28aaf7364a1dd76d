"""What was purged and when, for as long as an older copy may still be about."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

Times = tuple[int, int]
NEVER: Times = 0, 0
PURGES_MAX = 8_192  # held one by one; over that the oldest becomes a floor under everything


@dataclass(slots=True)
class Purges:
    """Times are pairs: of the purge itself, and the one that stores' copies are counted from.

    ``floor`` stands for all that the tables could not hold.
    """

    objects: OrderedDict[int, Times] = field(default_factory=OrderedDict)
    groups: dict[int, Times] = field(default_factory=dict)
    floor: Times = NEVER
    most: int = PURGES_MAX

    def add(self, obj: int, group: int, purged: int, counted: int = 0) -> None:
        times = purged, max(purged, counted)
        if not obj:
            self.groups[group] = _later(times, self.groups.get(group, NEVER))
            return
        self.objects[obj] = _later(times, self.objects.pop(obj, NEVER))
        while len(self.objects) > self.most:
            self.floor = _later(self.floor, self.objects.popitem(last=False)[1])

    def last(self, obj: int, group: int) -> int:
        """When it was last purged; 0: never heard of."""
        return self._latest(obj, group)[0]

    def counted(self, obj: int, group: int) -> int:
        """From when the age of a store's copy is counted; 0: never heard of a purge."""
        return self._latest(obj, group)[1]

    def _latest(self, obj: int, group: int) -> Times:
        kept = _later(self.objects.get(obj, NEVER), self.groups.get(group, NEVER))
        return _later(self.floor, kept)


def _later(a: Times, b: Times) -> Times:
    return max(a[0], b[0]), max(a[1], b[1])
