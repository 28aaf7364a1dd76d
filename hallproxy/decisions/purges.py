"""Purges that may not have reached every cache yet, and the age limits that they put on copies."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from hallproxy.decisions.context import DecisionContext
from hallproxy.decisions.units import MILLISECOND, SECOND
from hallproxy.interface import ObjectPurged, Request

PURGES_MAX = 4096  # purges in a table; above it the oldest becomes an age limit for all objects
EXPIRY_MARGIN = SECOND  # ns for which a purge is remembered beyond the settings' purge duration


@dataclass(slots=True, frozen=True)
class Purge:
    """When something was purged, and until when the purge must be remembered (ns)."""

    purged_at: int
    expires_at: int


NO_PURGE = Purge(0, 0)


class PurgeGuard:
    """Remembers purges of objects and groups, each until all caches have executed it."""

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self.objects: OrderedDict[int, Purge] = OrderedDict()
        self.groups: OrderedDict[int, Purge] = OrderedDict()
        self.watermark = NO_PURGE  # applies to all objects, once a table has overflowed

    def add(self, event: ObjectPurged) -> None:
        """Add a purge, and drop expired ones."""
        context = self._context
        purged_at = max(1, context.now - event.age)
        expires_at = context.now + context.settings.purge_duration + EXPIRY_MARGIN
        if event.object:
            table, key = self.objects, event.object
        else:
            table, key = self.groups, event.group
        known = table.get(key, NO_PURGE)
        table[key] = Purge(max(purged_at, known.purged_at), expires_at)
        table.move_to_end(key)
        self._evict(table)

    def age_limit(self, request: Request) -> int:
        """Return the maximum age (ns) of a usable copy: the time since the purge; 0 for no limit."""
        context = self._context
        purged_at = 0
        for purge in (
            self.objects.get(request.object, NO_PURGE),
            self.groups.get(request.group, NO_PURGE),
            self.watermark,
        ):
            if context.now < purge.expires_at:
                purged_at = max(purged_at, purge.purged_at)
        if not purged_at:
            return 0
        limit = max(1, context.now - purged_at - max(context.settings.tick, MILLISECOND))
        fresh_for = context.settings.classes[request.class_index].fresh_for
        return min(limit, fresh_for) if fresh_for else limit

    def _evict(self, table: OrderedDict[int, Purge]) -> None:
        """Drop expired purges from the front; an overflow raises the watermark."""
        while table:
            key, oldest = next(iter(table.items()))
            if oldest.expires_at > self._context.now:
                if len(table) <= PURGES_MAX:
                    break
                self.watermark = Purge(
                    max(self.watermark.purged_at, oldest.purged_at),
                    max(self.watermark.expires_at, oldest.expires_at),
                )
                self._context.log("purges", "purge table full; an age limit applies to all objects")
            del table[key]
