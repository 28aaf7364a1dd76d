"""Token buckets in integer arithmetic: refill, spending and debt are exact at any rate and age."""

from __future__ import annotations

from dataclasses import dataclass

SECOND = 1_000_000_000  # ns
RATE_PRECISION = 1_000_000  # rates are rounded to millionths of a token per second
# One token, in the bucket's unit: a millionth of a token per second, for 1 ns.
TOKEN = SECOND * RATE_PRECISION


@dataclass(slots=True, frozen=True)
class Rate:
    """A refill rate and a burst size. A rate of 0 means unlimited."""

    per_second: float = 0.0
    burst: float = 0.0  # tokens; 0: what is refilled in one second, at least one token

    @property
    def capacity(self) -> float:
        """The most tokens that a bucket with this rate holds."""
        return self.burst or max(1.0, self.per_second)

    def __bool__(self) -> bool:
        """Whether there is a limit."""
        return self.per_second > 0


class TokenBucket:
    """A token bucket whose level stays between zero and its capacity.

    Costs that are only known afterwards (bytes) are charged; what the level does not cover becomes debt,
    which refills pay off before the level rises again. A clock that stands still or goes back refills
    nothing until it has passed the latest time seen.
    """

    __slots__ = ("_refill_per_ns", "_capacity", "level", "debt", "updated_at")

    def __init__(self, rate: Rate, now: int) -> None:
        self._refill_per_ns, self._capacity = _bucket_units(rate)
        self.level = self._capacity
        self.debt = 0
        self.updated_at = now  # ns

    def _refill(self, now: int) -> None:
        if now <= self.updated_at:
            return
        refill = (now - self.updated_at) * self._refill_per_ns
        self.updated_at = now
        if self.debt:
            repaid = min(self.debt, refill)
            self.debt -= repaid
            refill -= repaid
        self.level = min(self._capacity, self.level + refill)

    def has_tokens(self, tokens: int, now: int) -> bool:
        """Whether so many tokens can be spent now without debt."""
        self._refill(now)
        # A request larger than the capacity needs a full bucket: it could never be satisfied otherwise.
        return not self.debt and self.level >= min(tokens * TOKEN, self._capacity)

    def try_take(self, tokens: int, now: int) -> bool:
        """Spend the tokens if the bucket has them; otherwise change nothing."""
        if not self.has_tokens(tokens, now):
            return False
        self.charge(tokens, now)
        return True

    def charge(self, tokens: int, now: int) -> None:
        """Spend the tokens; what the level does not cover becomes debt."""
        self._refill(now)
        cost = tokens * TOKEN
        covered = min(cost, self.level)
        self.level -= covered
        self.debt += cost - covered

    def cap_debt(self) -> None:
        """Limit the debt to one capacity; the rest is paid for elsewhere."""
        self.debt = min(self.debt, self._capacity)

    def time_until_available(self, tokens: int, now: int) -> int:
        """Time (ns) until so many tokens can be taken if nothing else is spent meanwhile."""
        self._refill(now)
        missing = self.debt + max(0, min(tokens * TOKEN, self._capacity) - self.level)
        return -(-missing // self._refill_per_ns) if missing else 0

    def is_full(self, now: int) -> bool:
        """Whether the bucket equals a new one, so that it can be dropped."""
        self._refill(now)
        return not self.debt and self.level == self._capacity

    def set_rate(self, rate: Rate, now: int) -> None:
        """Change the rate. Level and debt stay, so a larger burst has to be refilled first."""
        self._refill(now)
        self._refill_per_ns, self._capacity = _bucket_units(rate)
        self.level = min(self.level, self._capacity)


def _bucket_units(rate: Rate) -> tuple[int, int]:
    """Refill per ns and capacity, both in the bucket's unit."""
    refill_per_ns = max(1, round(rate.per_second * RATE_PRECISION))
    capacity = max(TOKEN, round(rate.capacity * RATE_PRECISION) * SECOND)
    return refill_per_ns, capacity
