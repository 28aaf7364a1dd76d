"""Stable 64-bit hashes and the weighted rendezvous distance that is built on them."""

from __future__ import annotations

from hashlib import blake2b
from math import log

MASK_64 = (1 << 64) - 1
HASH_RANGE = MASK_64 + 2  # divisor that keeps a hash strictly between 0 and 1
OBJECT_MULTIPLIER = 1_000_003  # separates objects, so that the keys of their parts do not collide


def mix(x: int) -> int:
    """Finalise a 64-bit value: the same on every machine, and evenly spread also for similar ids."""
    x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9 & MASK_64
    x = (x ^ (x >> 27)) * 0x94D049BB133111EB & MASK_64
    return x ^ (x >> 31)


def part_hash(object_id: int, part: int) -> int:
    """Hash one part of an object; the parts of an object spread over all caches."""
    return mix(object_id * OBJECT_MULTIPLIER + part & MASK_64)


def endpoint_hash(endpoint_id: bytes) -> int:
    """Hash an endpoint's id, the same in every process."""
    return int.from_bytes(blake2b(endpoint_id, digest_size=8).digest(), "little")


def rendezvous_distance(endpoint_seed: int, key: int, weight: float) -> float:
    """Return the distance of a key from an endpoint: the lowest wins, in proportion to the weights."""
    return -log((mix(endpoint_seed ^ key) + 1) / HASH_RANGE) / weight
