"""The gateway's local cache: bounded in bytes, lowest rank and least recently used evicted first."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import NamedTuple

from hallproxy.state.units import SECOND

ENTRY_BYTES = 1_152  # of memory for an entry and its places in the tables and indexes, without its texts


class CacheKey(NamedTuple):
    """Identifies a cached body: one part of an object, as one request class reads it."""

    class_index: int
    object: int
    part: int


@dataclass(slots=True, frozen=True)
class LocalCacheEntry:
    """A cached body. ``rank`` is the cache rank that the router gave it: 1 to 3, 3 is evicted last.

    ``generated_at``: ns; when the origin generated it. ``validator``: the source's own identifier of this
    version, for revalidation; empty: unknown.
    """

    body: bytes
    etag: str
    generated_at: int
    group: int
    rank: int
    validator: str = ""

    @property
    def size(self) -> int:
        """Bytes of memory that the entry takes."""
        return len(self.body) + len(self.etag) + len(self.validator) + ENTRY_BYTES


@dataclass(slots=True)
class Uplink:
    """Estimates when a local response will be sent: each transfer has its own rate, and all share one link.

    Both rates are bytes per second; 0: unknown, and then every transfer is assumed to end at once.
    """

    transfer_bytes_s: int = 0
    link_bytes_s: int = 0
    free_at: int = 0  # ns; when the link will have sent what was reserved

    def done_at(self, now: int, size: int) -> int:
        """When (ns) a transfer of ``size`` bytes that starts now would end."""
        if not self.transfer_bytes_s or not self.link_bytes_s:
            return now
        transferred_at = now + size * SECOND // self.transfer_bytes_s
        sent_at = max(now, self.free_at) + size * SECOND // self.link_bytes_s
        return max(transferred_at, sent_at)

    def reserve(self, now: int, size: int) -> None:
        """Count a transfer of ``size`` bytes that starts now."""
        if self.link_bytes_s:
            self.free_at = max(now, self.free_at) + size * SECOND // self.link_bytes_s


@dataclass(slots=True)
class LocalCache:
    """Entries by rank, in the order of their use, with an index of their keys by object and by group.

    The index lets a purge visit only matching entries. It contains exactly the entries' keys.

    Attributes:
        max_bytes: limit of ``cached_bytes``; 0: nothing is cached.
        cached_bytes: bytes of memory that all entries take.
        bytes_by_rank: the same by rank, lowest first; kept because summing at each admission is too slow.
        ranks: the entries by rank, lowest first, least recently used first.
    """

    max_bytes: int = 0
    cached_bytes: int = 0
    bytes_by_rank: list[int] = field(default_factory=lambda: [0, 0, 0])
    ranks: tuple[OrderedDict[CacheKey, LocalCacheEntry], ...] = field(
        default_factory=lambda: (OrderedDict(), OrderedDict(), OrderedDict())
    )
    _by_object: dict[int, set[CacheKey]] = field(default_factory=dict)
    _by_group: dict[int, set[CacheKey]] = field(default_factory=dict)

    def put(self, key: CacheKey, entry: LocalCacheEntry) -> None:
        """Cache the entry if it fits after evicting entries of no higher rank."""
        self.drop(key)
        size = entry.size
        if size > self.max_bytes or not 1 <= entry.rank <= len(self.ranks):
            return
        free = self.max_bytes - self.cached_bytes
        if free + sum(self.bytes_by_rank[: entry.rank]) < size:
            return
        for rank_index in range(entry.rank):
            while free < size and self.ranks[rank_index]:
                free += self._evict(rank_index)
        self.ranks[entry.rank - 1][key] = entry
        self._by_object.setdefault(key.object, set()).add(key)
        self._by_group.setdefault(entry.group, set()).add(key)
        self._count(entry.rank - 1, size)

    def resize(self, max_bytes: int) -> None:
        """Change the limit, and evict what no longer fits."""
        self.max_bytes = max_bytes
        for rank_index, rank in enumerate(self.ranks):
            while self.cached_bytes > max_bytes and rank:
                self._evict(rank_index)

    def get(self, key: CacheKey) -> LocalCacheEntry | None:
        """The entry, which becomes the most recently used one of its rank."""
        for rank in self.ranks:
            if key in rank:
                rank.move_to_end(key)
                return rank[key]
        return None

    def drop(self, key: CacheKey) -> None:
        """Remove the entry, if there is one."""
        for rank_index, rank in enumerate(self.ranks):
            entry = rank.pop(key, None)
            if entry is not None:
                self._removed(rank_index, key, entry)

    def purge(self, object_id: int, group: int, purged_at: int) -> None:
        """Remove what was generated before the purge of the object, or with object 0 of its whole group."""
        keys = self._by_object.get(object_id, ()) if object_id else self._by_group.get(group, ())
        for key in tuple(keys):
            if next(rank[key] for rank in self.ranks if key in rank).generated_at <= purged_at:
                self.drop(key)

    def _evict(self, rank_index: int) -> int:
        """Remove the rank's least recently used entry; return its size in bytes."""
        key, entry = self.ranks[rank_index].popitem(last=False)
        self._removed(rank_index, key, entry)
        return entry.size

    def _removed(self, rank_index: int, key: CacheKey, entry: LocalCacheEntry) -> None:
        self._count(rank_index, -entry.size)
        _remove_from_index(self._by_object, key.object, key)
        _remove_from_index(self._by_group, entry.group, key)

    def _count(self, rank_index: int, size: int) -> None:
        self.cached_bytes += size
        self.bytes_by_rank[rank_index] += size


def _remove_from_index(index: dict[int, set[CacheKey]], index_key: int, key: CacheKey) -> None:
    keys = index[index_key]
    keys.remove(key)
    if not keys:
        del index[index_key]
