"""Negative cache: what the sources recently reported as not found."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import NamedTuple

from hallproxy.state.local_cache import CacheKey

MAX_ENTRIES = 8_192


class NegativeCacheEntry(NamedTuple):
    """When (ns) the source was requested, and the object's purge group."""

    requested_at: int
    group: int


@dataclass(slots=True)
class NegativeCache:
    """Entries in the order they were recorded; the oldest one is evicted first.

    ``ttl`` is how long (ns) an entry is valid; 0: nothing is recorded.
    """

    ttl: int = 0
    max_entries: int = MAX_ENTRIES
    _entries: OrderedDict[CacheKey, NegativeCacheEntry] = field(default_factory=OrderedDict)

    def __len__(self) -> int:
        return len(self._entries)

    def record(self, key: CacheKey, group: int, requested_at: int, purged_at: int) -> None:
        """Record that a source requested at ``requested_at`` (ns) did not have it.

        An object purged since (``purged_at``, ns) may exist by now, and is not recorded.
        """
        if not self.ttl or requested_at <= purged_at:
            return
        self._entries.pop(key, None)
        self._entries[key] = NegativeCacheEntry(requested_at, group)
        while len(self._entries) > self.max_entries:
            self._entries.popitem(last=False)

    def contains(self, key: CacheKey, now: int) -> bool:
        """Whether it is known not to exist; expired entries are removed."""
        while self._entries:
            oldest_key, oldest = next(iter(self._entries.items()))
            if now - oldest.requested_at < self.ttl:
                break
            del self._entries[oldest_key]
        entry = self._entries.get(key)
        return entry is not None and now - entry.requested_at < self.ttl

    def purge(self, object_id: int, group: int, purged_at: int) -> None:
        """Remove what was requested before the purge of the object, or with object 0 of its whole group."""
        purged = [
            key
            for key, entry in self._entries.items()
            if entry.requested_at <= purged_at
            and (key.object == object_id if object_id else entry.group == group)
        ]
        for key in purged:
            del self._entries[key]
