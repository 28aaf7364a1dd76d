"""Idempotency keys: ownership, expiry, and bounds of the table."""

from __future__ import annotations

from hallproxy.broker.idempotency_keys import IdempotencyKeys, KeyStatus

SECOND = 10**9
START = 1_700_000_000 * SECOND
WINDOW = 6 * SECOND


def test_a_key_belongs_to_one_team() -> None:
    keys = IdempotencyKeys()
    assert keys.attempt_sent("a", "k", WINDOW, START)
    assert keys.check("b", "k", START) is KeyStatus.FOREIGN
    assert not keys.attempt_sent("b", "k", WINDOW, START)
    assert keys.check("a", "k", START + 5 * SECOND) is KeyStatus.REPEAT


def test_an_expired_key_is_rejected_and_later_forgotten() -> None:
    keys = IdempotencyKeys()
    assert keys.attempt_sent("a", "k", WINDOW, START)
    # A repeat does not extend the window, which runs from the first attempt that may have run.
    assert keys.attempt_sent("a", "k", WINDOW, START + 4 * SECOND)
    assert keys.check("a", "k", START + WINDOW) is KeyStatus.EXPIRED
    assert not keys.attempt_sent("a", "k", WINDOW, START + WINDOW)
    assert keys.check("a", "k", START + 67 * SECOND) is KeyStatus.NEW
    assert not len(keys)


def test_an_attempt_that_never_ran_starts_no_window() -> None:
    keys = IdempotencyKeys()
    assert keys.attempt_sent("a", "k", SECOND, START)
    keys.attempt_never_ran("a", "k", START)
    assert keys.check("a", "k", START + 5 * SECOND) is KeyStatus.NEW
    assert keys.attempt_sent("a", "k", SECOND, START)
    assert keys.attempt_sent("a", "k", SECOND, START)
    keys.attempt_never_ran("a", "k", START)
    assert keys.check("a", "k", START + 5 * SECOND) is KeyStatus.EXPIRED


def test_a_flood_of_keys_evicts_the_teams_own() -> None:
    keys = IdempotencyKeys(max_keys=100, max_keys_per_team=1000)
    assert keys.attempt_sent("quiet", "mine", SECOND, START)
    for n in range(500):
        keys.attempt_sent("flood", f"k-{n}", SECOND, START)
    assert len(keys) <= 101
    assert keys.check("quiet", "mine", START) is KeyStatus.REPEAT


def test_the_end_of_an_attempt_from_before_an_eviction_leaves_the_keys_new_entry() -> None:
    """Guards against a key counting as new while a later attempt under it may have run."""
    keys = IdempotencyKeys(max_keys=2, max_keys_per_team=1)
    assert keys.attempt_sent("a", "k", WINDOW, START)
    assert keys.attempt_sent("a", "other", WINDOW, START + SECOND)  # evicts the first
    assert keys.attempt_sent("a", "k", WINDOW, START + 2 * SECOND)
    keys.attempt_never_ran("a", "k", START)
    assert keys.check("a", "k", START + 3 * SECOND) is KeyStatus.REPEAT
    assert keys.check("a", "k", START + 2 * SECOND + WINDOW) is KeyStatus.EXPIRED
    keys.attempt_never_ran("a", "k", START + 2 * SECOND)
    assert keys.check("a", "k", START + 3 * SECOND) is KeyStatus.NEW
