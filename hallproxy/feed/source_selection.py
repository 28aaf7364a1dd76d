"""Selects which of several addresses a follower polls: rendezvous order, backoff, return to preferred ones.

Times are Unix ns and passed in; delays are in s.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

Address = tuple[str, int]

SECOND = 1_000_000_000  # ns
INITIAL_BACKOFF = SECOND // 2  # ns; doubled with each further failure
MAX_BACKOFF = 8 * SECOND  # ns
FORGET_AFTER = 10 * SECOND  # ns of successes after which an address's failures are forgotten
RETURN_DELAY = 5.0, 15.0  # s; range of the random delay before a preferred address is tried
LATER_SPREAD = 0.25  # fraction of the spread used from the second consecutive failure on
ALL_FAILED_DELAY = 0.5  # s; once all have failed, delays are from this to three times this


def rendezvous_order(name: str, addresses: Iterable[Address]) -> tuple[Address, ...]:
    """Rendezvous hashing (highest random weight): the addresses in the follower's own order.

    Each address comes first for an equal part of many followers, and the followers of one that is removed
    spread evenly over the others, as nothing else in their orders changes.
    """

    def weight(address: Address) -> bytes:
        return hashlib.blake2b(f"{name}\0{address[0]}:{address[1]}".encode(), digest_size=16).digest()

    return tuple(sorted(addresses, key=weight, reverse=True))


@dataclass(slots=True)
class _Backoff:
    duration: int  # ns
    until: int  # Unix ns
    succeeding_since: int = 0  # Unix ns; 0: no success since the failure


@dataclass(slots=True)
class SourceSelection:
    """Selects the address that one follower polls.

    ``spread`` (s): the time over which followers that lose an address together reconnect to others.
    """

    name: str
    addresses: tuple[Address, ...]
    spread: float
    random: Random = field(compare=False)
    _order: tuple[Address, ...] = field(init=False, compare=False)
    _backoffs: dict[Address, _Backoff] = field(init=False, compare=False, default_factory=dict)
    _current: Address | None = field(init=False, compare=False, default=None)
    _failures_in_row: int = field(init=False, compare=False, default=0)
    _failed_in_round: set[Address] = field(init=False, compare=False, default_factory=set)
    _return_at: int = field(init=False, compare=False, default=0)  # when a preferred address may be tried

    def __post_init__(self) -> None:
        self._order = rendezvous_order(self.name, self.addresses)

    def select(self, now: int) -> Address:
        """The first in the order that does not back off; if all do, the one whose backoff ends first.

        Those that have failed since the last success come last: otherwise, as a backoff may end before a
        second silent address has timed out, a third would never be tried.
        """
        available = [address for address in self._order if not self._backs_off(address, now)]
        if available:
            untried = (address for address in available if address not in self._failed_in_round)
            address = next(untried, available[0])
        else:
            address = min(self._order, key=lambda address: self._backoffs[address].until)
        self._set_current(address, now)
        return address

    def record_failure(self, address: Address, now: int) -> float:
        """Start the address's backoff. Returns the delay (s) before the next connect to any address.

        The first delay spreads the followers that lose an address together; at the next failure they are
        spread already. Once all addresses have failed, delays are long.
        """
        former = self._backoffs.get(address)
        duration = min(MAX_BACKOFF, former.duration * 2) if former is not None else INITIAL_BACKOFF
        self._backoffs[address] = _Backoff(duration, now + duration)
        if address != self._current:
            return 0.0  # a preferred address that was tried in parallel to the current one
        self._failures_in_row += 1
        self._failed_in_round.add(address)
        if len(self._failed_in_round) == len(self._order):
            self._failed_in_round.clear()
        return self._connect_delay()

    def _connect_delay(self) -> float:
        if self._failures_in_row >= max(2, len(self._order)):
            min_delay = max(self.spread, ALL_FAILED_DELAY)
            return self.random.uniform(min_delay, 3 * min_delay)
        first = self._failures_in_row == 1
        return self.random.uniform(0.0, self.spread if first else self.spread * LATER_SPREAD)

    def record_success(self, address: Address, now: int) -> None:
        """Make the address the current one; forget its failures after ``FORGET_AFTER`` of successes."""
        self._failures_in_row = 0
        self._failed_in_round.clear()
        self._set_current(address, now)
        backoff = self._backoffs.get(address)
        if backoff is None:
            return
        backoff.succeeding_since = backoff.succeeding_since or now
        if now - backoff.succeeding_since >= FORGET_AFTER:
            del self._backoffs[address]

    def has_alternative(self, address: Address) -> bool:
        """Whether an address other than this one has not failed in this round."""
        return any(other != address and other not in self._failed_in_round for other in self._order)

    def preferred(self, now: int) -> Address | None:
        """The first address before the current one not in backoff, once the random delay has passed."""
        if self._current is None or self._current == self._order[0] or now < self._return_at:
            return None
        for address in self._order[: self._order.index(self._current)]:
            if not self._backs_off(address, now):
                self._schedule_return(now)
                return address
        return None

    def _backs_off(self, address: Address, now: int) -> bool:
        backoff = self._backoffs.get(address)
        return backoff is not None and now < backoff.until

    def _set_current(self, address: Address, now: int) -> None:
        if address != self._current:
            self._current = address
            self._schedule_return(now)

    def _schedule_return(self, now: int) -> None:
        self._return_at = now + int(self.random.uniform(*RETURN_DELAY) * SECOND)
