"""Retry budgets: retries are limited to a ratio of recent first attempts, plus a small constant rate.

Follows Finagle's retry budgets: a client with little traffic may still retry now and then, while a client
whose requests all fail cannot multiply its load by more than one plus the ratio.
"""

from __future__ import annotations

from collections import OrderedDict

from hallproxy.broker.contracts import Contract, Contracts

SECOND = 1_000_000_000  # ns
SLOT_COUNT = 10  # one-second slots in the sliding window
MIN_RETRY_AFTER = SECOND // 5  # ns
MAX_TEAMS = 16_384


class RetryBudget:
    """First attempts and retries of a sliding window, counted in slots of one second.

    Attributes:
        ratio: retries allowed for each first attempt in the window.
        min_per_second: retries a second that are always allowed.
    """

    __slots__ = (
        "ratio",
        "min_per_second",
        "_first_attempts",
        "_retries",
        "_current_slot",
        "_first_attempt_total",
        "_retry_total",
    )

    def __init__(self, ratio: float, min_per_second: float, now: int) -> None:
        self.ratio = ratio
        self.min_per_second = min_per_second
        self._first_attempts = [0] * SLOT_COUNT
        self._retries = [0] * SLOT_COUNT
        self._first_attempt_total = 0
        self._retry_total = 0
        self._current_slot = now // SECOND

    def _advance(self, now: int) -> int:
        """Clear the slots that have left the window; return the index of the current slot."""
        slot = now // SECOND
        # When the clock goes back, events count in the latest slot seen: nothing is earned twice.
        for passed in range(self._current_slot + 1, min(slot, self._current_slot + SLOT_COUNT) + 1):
            index = passed % SLOT_COUNT
            self._first_attempt_total -= self._first_attempts[index]
            self._retry_total -= self._retries[index]
            self._first_attempts[index] = 0
            self._retries[index] = 0
        self._current_slot = max(self._current_slot, slot)
        return self._current_slot % SLOT_COUNT

    def record_first_attempt(self, now: int) -> None:
        """Count a first attempt, which earns a part of a retry."""
        index = self._advance(now)
        self._first_attempts[index] += 1
        self._first_attempt_total += 1

    def available(self, now: int) -> float:
        """Retries that the budget still allows."""
        self._advance(now)
        earned = self._first_attempt_total * self.ratio + self.min_per_second * SLOT_COUNT
        return max(0.0, earned - self._retry_total)

    def try_spend(self, now: int) -> bool:
        """Count one retry if the budget allows it."""
        if self.available(now) < 1.0:
            return False
        self._retries[self._advance(now)] += 1
        self._retry_total += 1
        return True

    def time_until_available(self, now: int) -> int:
        """Time (ns) until the oldest counted retry leaves the window."""
        self._advance(now)
        slots_until_expiry = next(
            (
                distance
                for distance in range(1, SLOT_COUNT + 1)
                if self._retries[(self._current_slot + distance) % SLOT_COUNT]
            ),
            1,
        )
        return max(MIN_RETRY_AFTER, (self._current_slot + slots_until_expiry) * SECOND - now)

    def is_unused(self, now: int) -> bool:
        """Whether the budget equals a new one, so that it can be dropped."""
        self._advance(now)
        return not self._first_attempt_total and not self._retry_total


class TeamRetryBudgets:
    """The retry budgets of teams whose contracts have one, in a bounded table.

    Attributes:
        by_team: least recently used first.
    """

    def __init__(self) -> None:
        self.by_team: OrderedDict[str, RetryBudget] = OrderedDict()

    def update_contracts(self, contracts: Contracts) -> None:
        """Apply the limits of other contracts to the budgets in use."""
        for contract in contracts.contracts:
            budget = self.by_team.get(contract.team)
            if budget is not None and contract.retry_ratio is not None:
                budget.ratio = contract.retry_ratio
                budget.min_per_second = contract.min_retries_per_second

    def budget_of(self, contract: Contract, now: int) -> RetryBudget | None:
        """The budget of the contract's team; None: its retries are not limited."""
        if contract.retry_ratio is None:
            return None
        budget = self.by_team.get(contract.team)
        if budget is None:
            budget = RetryBudget(contract.retry_ratio, contract.min_retries_per_second, now)
            self.by_team[contract.team] = budget
            if len(self.by_team) > MAX_TEAMS:
                self.by_team.popitem(last=False)
        self.by_team.move_to_end(contract.team)
        return budget

    def forget_unused(self, now: int) -> None:
        """Drop the budgets that equal new ones."""
        for team in [team for team, budget in self.by_team.items() if budget.is_unused(now)]:
            del self.by_team[team]
