"""The local cache, compared with a model that has no index, and the uplink's estimates."""

from __future__ import annotations

from collections import OrderedDict
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hallproxy.state.local_cache import ENTRY_BYTES, CacheKey, LocalCache, LocalCacheEntry, Uplink
from tests.support.reducer import SECOND


def test_entries_are_evicted_by_rank_then_use_within_the_limit() -> None:
    cache = LocalCache(max_bytes=100 * ENTRY_BYTES)

    def put(n: int, rank: int, size: int = 40) -> None:
        body = b"x" * ((size - 1) * ENTRY_BYTES)  # so that the entry takes ``size`` times ``ENTRY_BYTES``
        cache.put(CacheKey(0, n, 0), LocalCacheEntry(body, "", 1, 7, rank))

    def cached_objects() -> set[int]:
        return {key[1] for rank in cache.ranks for key in rank}

    put(1, 2)
    put(2, 1)
    assert cache.get(CacheKey(0, 2, 0))
    put(3, 1)
    assert cached_objects() == {1, 3} and cache.cached_bytes == 80 * ENTRY_BYTES
    put(4, 1, 70)  # would have to evict rank 2
    assert cached_objects() == {1, 3}
    put(5, 3, 90)
    assert cached_objects() == {5} and cache.cached_bytes == 90 * ENTRY_BYTES
    put(6, 3, 101)
    assert cached_objects() == {5}
    cache.purge(0, 7, 1)
    assert cached_objects() == set() and cache.cached_bytes == 0


def test_bytes_by_rank_are_the_sums_over_the_entries() -> None:
    """Guards against counters that drift from the entries after evictions, purges and a smaller limit."""
    cache = LocalCache(max_bytes=6 * ENTRY_BYTES + 300)
    for n in range(200):
        entry = LocalCacheEntry(b"x" * (n % 90), "t" * (n % 3), n, n % 5, n % 4, "v" * (n % 7))
        cache.put(CacheKey(0, n * 7 % 40, 0), entry)
        if n % 9 == 0:
            cache.purge(0, n % 5, n - 3)
        if n == 150:
            cache.resize(2 * ENTRY_BYTES + 120)
        assert cache.bytes_by_rank == [sum(c.size for c in rank.values()) for rank in cache.ranks]
        assert cache.cached_bytes == sum(cache.bytes_by_rank) <= cache.max_bytes


def test_the_uplink_sends_in_order_at_its_rate() -> None:
    uplink = Uplink(transfer_bytes_s=100, link_bytes_s=200)
    assert uplink.done_at(0, 100) == SECOND
    uplink.reserve(0, 400)
    assert uplink.done_at(0, 100) == 2 * SECOND + SECOND // 2
    assert uplink.done_at(3 * SECOND, 100) == 4 * SECOND
    assert Uplink().done_at(5, 100) == 5


class CacheModel:
    """The behaviour of ``LocalCache``, with a scan of all entries in each operation."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.ranks = [
            OrderedDict[CacheKey, LocalCacheEntry](),
            OrderedDict[CacheKey, LocalCacheEntry](),
            OrderedDict[CacheKey, LocalCacheEntry](),
        ]

    def bytes_by_rank(self) -> list[int]:
        return [sum(entry.size for entry in rank.values()) for rank in self.ranks]

    def put(self, key: CacheKey, entry: LocalCacheEntry) -> None:
        self.drop(key)
        size, bytes_by_rank = entry.size, self.bytes_by_rank()
        if size > self.max_bytes or not 1 <= entry.rank <= 3:
            return
        if self.max_bytes - sum(bytes_by_rank) + sum(bytes_by_rank[: entry.rank]) < size:
            return
        for rank in self.ranks[: entry.rank]:
            while rank and self.max_bytes - sum(self.bytes_by_rank()) < size:
                rank.popitem(last=False)
        self.ranks[entry.rank - 1][key] = entry

    def resize(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        for rank in self.ranks:
            while rank and sum(self.bytes_by_rank()) > max_bytes:
                rank.popitem(last=False)

    def get(self, key: CacheKey) -> LocalCacheEntry | None:
        for rank in self.ranks:
            if key in rank:
                rank.move_to_end(key)
                return rank[key]
        return None

    def drop(self, key: CacheKey) -> None:
        for rank in self.ranks:
            rank.pop(key, None)

    def purge(self, object_id: int, group: int, purged_at: int) -> None:
        for rank in self.ranks:
            for key, entry in list(rank.items()):
                if entry.generated_at <= purged_at and (
                    key[1] == object_id if object_id else entry.group == group
                ):
                    del rank[key]


KEYS = st.builds(CacheKey, st.integers(0, 1), st.integers(0, 4), st.integers(0, 1))
ENTRIES = st.builds(
    LocalCacheEntry,
    st.integers(0, 60).map(bytes),
    st.just("t"),
    st.integers(0, 9),
    st.integers(0, 3),
    st.integers(0, 4),
)
OPERATIONS = st.one_of(
    st.tuples(st.just("put"), KEYS, ENTRIES),
    st.tuples(st.just("put"), KEYS, ENTRIES),
    st.tuples(st.just("get"), KEYS),
    st.tuples(st.just("drop"), KEYS),
    st.tuples(st.just("purge"), st.integers(0, 5), st.integers(0, 4), st.integers(0, 9)),
    st.tuples(st.just("resize"), st.integers(0, 6 * ENTRY_BYTES)),
)


@given(st.lists(OPERATIONS, max_size=60))
def test_the_cache_behaves_as_a_model_without_an_index(operations: list[tuple[Any, ...]]) -> None:
    max_bytes = 4 * ENTRY_BYTES + 100
    cache, model = LocalCache(max_bytes), CacheModel(max_bytes)
    for name, *args in operations:
        assert getattr(cache, name)(*args) == getattr(model, name)(*args)
        assert [list(rank.items()) for rank in cache.ranks] == [list(rank.items()) for rank in model.ranks]
        assert cache.bytes_by_rank == model.bytes_by_rank() and cache.cached_bytes == sum(
            model.bytes_by_rank()
        )
        entries = {key: entry for rank in model.ranks for key, entry in rank.items()}
        by_object = [(key[1], key) for key in entries]
        by_group = [(entry.group, key) for key, entry in entries.items()]
        for index, expected in ((cache._by_object, by_object), (cache._by_group, by_group)):
            listed = [(index_key, key) for index_key, keys in index.items() for key in keys]
            assert all(index.values()) and sorted(listed) == sorted(expected)


class CountedEntry(LocalCacheEntry):
    """An entry that counts how often its ``generated_at`` or ``group`` is read."""

    reads = 0

    def __getattribute__(self, name: str) -> Any:
        if name in ("generated_at", "group"):
            CountedEntry.reads += 1
        return super().__getattribute__(name)


@pytest.mark.parametrize("count", [100, 4_000])
def test_a_purge_looks_only_at_entries_of_its_object_or_group(count: int) -> None:
    cache = LocalCache(max_bytes=10**7)
    for n in range(count):
        cache.put(CacheKey(0, 1 + n // 2, n % 2), CountedEntry(b"x", "t", 5, n % (count // 5), 1 + n % 3))
    size = len("xt") + ENTRY_BYTES
    CountedEntry.reads = 0
    cache.purge(10**6, 0, 9)
    cache.purge(0, 10**6, 9)
    assert CountedEntry.reads == 0 and cache.cached_bytes == count * size
    cache.purge(7, 0, 9)
    assert cache.cached_bytes == (count - 2) * size and CountedEntry.reads <= 2 * 2
    CountedEntry.reads = 0
    cache.purge(0, 3, 9)
    assert cache.cached_bytes == (count - 2 - 5) * size and CountedEntry.reads <= 2 * 5
    CountedEntry.reads = 0
    cache.purge(0, 4, 4)  # the group's entries are younger
    assert cache.cached_bytes == (count - 2 - 5) * size and CountedEntry.reads <= 5
