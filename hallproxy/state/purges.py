"""What was purged and when, for as long as an older copy may still be about."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

PURGES_MAX = 8_192  # held one by one; over that the oldest becomes a floor under everything


@dataclass(slots=True)
class Purges:
    """Times are those of the purge itself. ``floor`` stands for all that the tables could not hold."""

    objects: OrderedDict[int, int] = field(default_factory=OrderedDict)
    groups: dict[int, int] = field(default_factory=dict)
    floor: int = 0
    most: int = PURGES_MAX

    def add(self, obj: int, group: int, purged: int) -> None:
        if not obj:
            self.groups[group] = max(purged, self.groups.get(group, 0))
            return
        self.objects[obj] = max(purged, self.objects.pop(obj, 0))
        while len(self.objects) > self.most:
            self.floor = max(self.floor, self.objects.popitem(last=False)[1])

    def last(self, obj: int, group: int) -> int:
        """When it was last purged; 0: never heard of."""
        return max(self.floor, self.objects.get(obj, 0), self.groups.get(group, 0))
