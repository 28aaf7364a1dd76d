"""Guards against a local cache of tiny bodies whose entries take the gateway over its memory."""

from __future__ import annotations

import tracemalloc

from hallproxy.state.local_cache import CacheKey, LocalCache, LocalCacheEntry

MAX_BYTES = 400_000
ENTRIES = 20_000


def test_the_entries_of_tiny_bodies_take_no_more_than_the_cache_may() -> None:
    cache = LocalCache(MAX_BYTES)
    tracemalloc.start()
    for number in range(ENTRIES):
        key = CacheKey(1, (1 << 60) + number, 0)
        cache.put(key, LocalCacheEntry(b"%020d" % number, f"{number:016x}", 1 << 60, number % 256, rank=1))
    taken, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert taken <= MAX_BYTES
