"""Budgets of contracts and organisations: request and byte rates, windows, requests in flight.

The token bucket of an organisation stands above those of its teams, in the manner of hierarchical token
buckets. What a team's own rate allows is always admitted and charged to the organisation as well; beyond its
rate the team may borrow from the organisation's unused tokens. Charges past the organisation's level become
debt, so all its teams together stay within the organisation's rate and burst, and a borrower cannot take
what another team's own rate allows.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from hallproxy.broker.contracts import Contract, ContractKey, Contracts, Organisation
from hallproxy.broker.token_bucket import Rate, TokenBucket

BudgetKey = ContractKey | str  # a contract's key or an organisation's name


@dataclass(slots=True)
class _Window:
    started_at: int
    requests: int = 0
    bytes: int = 0


@dataclass(slots=True)
class BudgetUsage:
    """What one contract or organisation has used.

    Attributes:
        window: the running window of a contract with limits per window.
        window_duration: ns.
        request_bucket: None: no request rate is set.
        byte_bucket: None: no byte rate is set.
        in_flight: requests admitted and not ended.
    """

    window: _Window | None = None
    window_duration: int = 0
    request_bucket: TokenBucket | None = None
    byte_bucket: TokenBucket | None = None
    in_flight: int = 0

    def set_rates(self, rate: Rate, byte_rate: Rate, now: int) -> None:
        """Apply other rates; what was spent stays spent."""
        self.request_bucket = _with_rate(self.request_bucket, rate, now)
        self.byte_bucket = _with_rate(self.byte_bucket, byte_rate, now)

    def is_unused(self, now: int) -> bool:
        """Whether it equals a new one, so that it can be dropped."""
        window_ended = self.window is None or now - self.window.started_at >= self.window_duration
        buckets = [bucket for bucket in (self.request_bucket, self.byte_bucket) if bucket is not None]
        return not self.in_flight and window_ended and all(bucket.is_full(now) for bucket in buckets)


def _with_rate(bucket: TokenBucket | None, rate: Rate, now: int) -> TokenBucket | None:
    if not rate:
        return None
    if bucket is None:
        return TokenBucket(rate, now)
    bucket.set_rate(rate, now)
    return bucket


@dataclass(slots=True)
class ContractBudgets:
    """The budgets of all contracts and organisations that are in use."""

    contracts: Contracts = field(default_factory=Contracts)
    entries: dict[BudgetKey, BudgetUsage] = field(default_factory=dict)

    def update_contracts(self, contracts: Contracts, now: int) -> None:
        """Replace the contracts. Usage is kept, also of a contract that is removed and added again."""
        self.contracts = contracts
        for contract in contracts.contracts:
            usage = self.entries.get(contract.key)
            if usage is not None:
                usage.set_rates(contract.rate, contract.byte_rate, now)
        for organisation in contracts.organisations:
            usage = self.entries.get(organisation.name)
            if usage is not None:
                usage.set_rates(organisation.rate, organisation.byte_rate, now)
        self.forget_unused(now)

    def forget_unused(self, now: int) -> None:
        """Drop the entries that equal new ones, which bounds the table."""
        for key in [key for key, usage in self.entries.items() if usage.is_unused(now)]:
            del self.entries[key]

    def admit_request(self, contract: Contract, now: int) -> int:
        """Charge one request and return 0, or return the time (ns) until there is budget again."""
        usage = self._usage_of(contract, now)
        window = usage.window
        if window is not None and _window_exhausted(window, contract):
            return max(1, window.started_at + contract.window - now)
        organisation, parent = self._organisation_usage(contract, now)
        lends = organisation is None or organisation.lends
        retry_after = max(
            _time_until_available(usage.request_bucket, parent.request_bucket, lends, 1, now),
            # Bytes are charged after they are sent: here only debt delays the request.
            _time_until_available(usage.byte_bucket, parent.byte_bucket, lends, 0, now),
        )
        if retry_after:
            return retry_after
        if usage.request_bucket is not None:
            usage.request_bucket.try_take(1, now)  # without a token the request is borrowed
        if parent.request_bucket is not None:
            parent.request_bucket.charge(1, now)
        if window is not None:
            window.requests += 1
        return 0

    def charge_bytes(self, contract: Contract, now: int, size: int) -> None:
        """Charge bytes that were sent, also where the contract has been removed meanwhile."""
        usage = self._usage_of(contract, now)
        if usage.window is not None:
            usage.window.bytes += size
        organisation, parent = self._organisation_usage(contract, now)
        if parent.byte_bucket is not None:
            parent.byte_bucket.charge(size, now)
        if usage.byte_bucket is not None:
            usage.byte_bucket.charge(size, now)
            if organisation is not None and organisation.lends and parent.byte_bucket is not None:
                usage.byte_bucket.cap_debt()  # what was borrowed is the organisation's debt

    def request_started(self, contract: Contract, now: int) -> bool:
        """Count a request in flight; False: the contract or its organisation is at its limit."""
        usage = self._usage_of(contract, now)
        organisation, parent = self._organisation_usage(contract, now)
        if contract.max_concurrency and usage.in_flight >= contract.max_concurrency:
            return False
        organisation_limit = organisation.max_concurrency if organisation is not None else 0
        if organisation_limit and parent.in_flight >= organisation_limit:
            return False
        usage.in_flight += 1
        parent.in_flight += 1
        return True

    def request_ended(self, key: ContractKey, organisation: str) -> None:
        """Undo ``request_started``, whatever contracts are in force by now."""
        for budget_key in (key, organisation):
            usage = self.entries.get(budget_key)
            if usage is not None and usage.in_flight:
                usage.in_flight -= 1

    def _usage_of(self, contract: Contract, now: int) -> BudgetUsage:
        usage = self.entries.get(contract.key)
        if usage is None:
            usage = self.entries[contract.key] = BudgetUsage(window_duration=contract.window)
            usage.set_rates(contract.rate, contract.byte_rate, now)
        if contract.max_requests or contract.max_bytes:
            usage.window_duration = contract.window
            if usage.window is None or now - usage.window.started_at >= contract.window:
                usage.window = _Window(now)
        return usage

    def _organisation_usage(self, contract: Contract, now: int) -> tuple[Organisation | None, BudgetUsage]:
        organisation = self.contracts.organisation_of(contract.team)
        if organisation is None:
            return None, BudgetUsage()
        usage = self.entries.get(organisation.name)
        if usage is None:
            usage = self.entries[organisation.name] = BudgetUsage()
            usage.set_rates(organisation.rate, organisation.byte_rate, now)
        return organisation, usage


def _window_exhausted(window: _Window, contract: Contract) -> bool:
    requests_exhausted = contract.max_requests and window.requests >= contract.max_requests
    bytes_exhausted = contract.max_bytes and window.bytes >= contract.max_bytes
    return bool(requests_exhausted or bytes_exhausted)


def _time_until_available(
    bucket: TokenBucket | None, parent: TokenBucket | None, lends: bool, tokens: int, now: int
) -> int:
    """Time (ns) until the bucket has the tokens or, where the parent lends, until the parent does."""
    if bucket is None:
        return parent.time_until_available(tokens, now) if parent is not None else 0
    own_wait = bucket.time_until_available(tokens, now)
    if not own_wait or parent is None or not lends:
        return own_wait
    return min(own_wait, parent.time_until_available(tokens, now))
