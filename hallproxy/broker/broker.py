"""The broker: whether a request is admitted, queued for a slot, or rejected.

The broker only restricts. Which endpoint serves a request, whether to retry, and what else to reject is up
to the decision module, which sees no request that is rejected or queued here.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from hallproxy.broker import slot_time, usage
from hallproxy.broker.admission import (
    AdmissionRequest,
    Rejection,
    RejectionReason,
    RequestOutcome,
    SlotGrant,
)
from hallproxy.broker.capacity_report import capacity_report
from hallproxy.broker.concurrency_limits import ConcurrencyLimits
from hallproxy.broker.contract_budgets import ContractBudgets
from hallproxy.broker.contracts import Contract, Contracts
from hallproxy.broker.fair_queue import FairQueue
from hallproxy.broker.idempotency_keys import IdempotencyKeys, KeyStatus
from hallproxy.broker.quota_tree import QuotaNode, QuotaPath
from hallproxy.broker.retry_after import RetryAfterSpread
from hallproxy.broker.retry_budget import TeamRetryBudgets
from hallproxy.broker.slot_time import SlotTimes
from hallproxy.broker.source_limit import AttemptOutcome
from hallproxy.broker.usage import Usage, UsageEvent, usage_label

SECOND = 1_000_000_000  # ns
MAX_CONCURRENCY = 256  # requests in flight
MAX_QUEUE_TIME_FACTOR = 0.4  # of the latency objective
OVERLOADED_RETRY_FACTOR = 2  # times the expected slot time
CLEANUP_INTERVAL = 10 * SECOND  # ns
KEY_REJECTIONS = {
    KeyStatus.FOREIGN: RejectionReason.FOREIGN_KEY,
    KeyStatus.EXPIRED: RejectionReason.EXPIRED_KEY,
}
OUTCOME_EVENTS = {
    RequestOutcome.SERVED: UsageEvent.SERVED,
    RequestOutcome.REJECTED: UsageEvent.REJECTED,
    RequestOutcome.FAILED: UsageEvent.FAILED,
    RequestOutcome.DISCONNECTED: UsageEvent.DISCONNECTED,
}


@dataclass(slots=True)
class _Request:
    """A request that has its slot or is queued for one. Times in ns."""

    contract: Contract
    organisation: str
    leaf: QuotaNode
    cost_class: int
    acquired_at: int
    latency_objective: int
    is_queued: bool = False


class Broker:
    """Admission of requests by contracts, budgets and slots.

    A request is admitted (``admit``), has a slot or is queued (``acquire``, ``dequeue``) and ends
    (``release``). Times in ns.

    Attributes:
        contracts: in force.
        contract_budgets: usage of budgets by contract and organisation.
        concurrency_limits: of sources; their total is the number of slots.
        fair_queue: slots and queued requests.
        idempotency_keys: in use.
        usage: what is reported to operators.
        retry_budgets: of teams.
    """

    def __init__(self, contracts: Contracts, now: int, max_concurrency: int = MAX_CONCURRENCY) -> None:
        self.contracts = contracts
        self.contract_budgets = ContractBudgets(contracts)
        self.concurrency_limits = ConcurrencyLimits(float(max_concurrency))
        self.fair_queue = FairQueue()
        self.idempotency_keys = IdempotencyKeys()
        self.usage = Usage()
        self.retry_budgets = TeamRetryBudgets()
        self._requests: dict[int, _Request] = {}
        self._slot_times = SlotTimes()
        self._retry_after = RetryAfterSpread()
        self._cleaned_at = now

    def update_contracts(self, contracts: Contracts, now: int) -> None:
        """Replace the contracts. Usage, slots and queues stay; a removed contract admits nothing new."""
        self.contracts = contracts
        self.contract_budgets.update_contracts(contracts, now)
        self.retry_budgets.update_contracts(contracts)

    def admit(self, request: AdmissionRequest, now: int) -> Rejection | Contract:
        """The contract that admits the request, whose budgets are charged; it has no slot yet."""
        self._clean_up_if_due(now)
        contract = self.contracts.find(request.team, request.service, request.class_name)
        if contract is None:
            return self._reject(request.team, RejectionReason.NO_CONTRACT, 0, now)
        if request.client_address and not self.contracts.allows_address(request.team, request.client_address):
            return self._reject(request.team, RejectionReason.FORBIDDEN_NETWORK, 0, now)
        self.usage.count(request.team, usage.REQUESTED, now)
        rejection = self._check_key(request, now)
        if rejection is None:
            rejection = self._charge_budgets(request, contract, now)
        return contract if rejection is None else rejection

    def try_retry(self, request_id: int, now: int) -> bool:
        """Charge one retry to the budget of the request's team; False: it is used up."""
        request = self._requests.get(request_id)
        return request is None or self._charge_retry(request.contract, now)

    def _check_key(self, request: AdmissionRequest, now: int) -> Rejection | None:
        if not request.idempotency_key:
            return None
        status = self.idempotency_keys.check(request.team, request.idempotency_key, now)
        reason = KEY_REJECTIONS.get(status)
        return None if reason is None else self._reject(request.team, reason, 0, now)

    def _charge_budgets(self, request: AdmissionRequest, contract: Contract, now: int) -> Rejection | None:
        retry_budget = self.retry_budgets.budget_of(contract, now)
        if request.is_retry and retry_budget is not None and retry_budget.available(now) < 1.0:
            retry_after = retry_budget.time_until_available(now)
            return self._reject(request.team, RejectionReason.RETRY_BUDGET, retry_after, now)
        retry_after = self.contract_budgets.admit_request(contract, now)
        if retry_after:
            return self._reject(request.team, RejectionReason.OVER_BUDGET, retry_after, now)
        if request.is_retry:
            self._charge_retry(contract, now)
        elif retry_budget is not None:
            retry_budget.record_first_attempt(now)
        return None

    def _charge_retry(self, contract: Contract, now: int) -> bool:
        budget = self.retry_budgets.budget_of(contract, now)
        if budget is None:
            return True
        if not budget.try_spend(now):
            return False
        self.usage.count(contract.team, usage.RETRIED, now)
        return True

    def _reject(self, team: str, reason: RejectionReason, retry_after: int, now: int) -> Rejection:
        if reason is not RejectionReason.NO_CONTRACT:  # unknown names must not fill the usage table
            self.usage.count(team, usage_label(UsageEvent.REJECTED, reason), now)
        if reason is RejectionReason.OVER_BUDGET:
            return Rejection(reason, retry_after)  # the budget is refilled at this time for all requests
        return Rejection(reason, self._retry_after.extend(retry_after))

    def acquire(
        self, request_id: int, request: AdmissionRequest, contract: Contract, now: int
    ) -> SlotGrant | Rejection:
        """Grant a slot, queue the request, or reject it if its slot would be granted too late."""
        cost_class = slot_time.cost_class(request.class_index, request.size_kb)
        expected = self._slot_times.expected(cost_class)
        if not self.contract_budgets.request_started(contract, now):
            return self._reject(contract.team, RejectionReason.TOO_MANY_IN_FLIGHT, expected, now)
        organisation = self.contracts.organisation_of(contract.team)
        leaf = self.fair_queue.tree.leaf(_quota_path(self.contracts, contract), now)
        pending = _Request(
            contract,
            organisation.name if organisation else "",
            leaf,
            cost_class,
            now,
            request.latency_objective,
        )
        self.concurrency_limits.check_silent_sources(now)
        self.fair_queue.limit = self.concurrency_limits.total_limit()
        self.fair_queue.tree.mark_active(leaf, now)
        if self.fair_queue.try_grant(leaf, request_id, expected, now):
            self._requests[request_id] = pending
            return SlotGrant.GRANTED
        too_late = self._expected_wait(leaf, expected) > _max_wait(request, expected)
        if too_late or not self.fair_queue.enqueue(leaf, request_id, expected):
            self.contract_budgets.request_ended(contract.key, pending.organisation)
            return self._reject_overloaded(pending, now)
        pending.is_queued = True
        self._requests[request_id] = pending
        return SlotGrant.QUEUED

    def max_queue_time(self, request: AdmissionRequest) -> int:
        """How long (ns) a request may be queued before it is rejected."""
        cost_class = slot_time.cost_class(request.class_index, request.size_kb)
        return max(0, _max_wait(request, self._slot_times.expected(cost_class)))

    def dequeue(self, now: int) -> int | None:
        """The next queued request, which has its slot now; None: there is none."""
        if not self.fair_queue.queued:
            return None
        self.fair_queue.limit = self.concurrency_limits.total_limit()
        request_id = self.fair_queue.dequeue(now)
        if request_id is not None:
            self._requests[request_id].is_queued = False
        return request_id

    def is_queued(self, request_id: int) -> bool:
        """Whether the request is queued for a slot."""
        request = self._requests.get(request_id)
        return request is not None and request.is_queued

    def reject_queued(self, request_id: int, now: int) -> Rejection:
        """The rejection of a request that has been queued for as long as it may be."""
        return self._reject_overloaded(self._requests[request_id], now)

    def _expected_wait(self, leaf: QuotaNode, expected_slot_time: int) -> int:
        """Time (ns) until a request that is queued at the leaf now has its slot."""
        slots = max(1.0, self.fair_queue.expected_slots(leaf))
        return int((leaf.queued + 1) * expected_slot_time / slots)

    def _reject_overloaded(self, request: _Request, now: int) -> Rejection:
        expected = self._slot_times.expected(request.cost_class)
        wait = self._expected_wait(request.leaf, expected)
        retry_after = max(wait, OVERLOADED_RETRY_FACTOR * expected)
        return self._reject(request.contract.team, RejectionReason.OVERLOADED, retry_after, now)

    def attempt_started(self, endpoint: bytes, now: int) -> None:
        """An attempt was sent to the endpoint."""
        self.concurrency_limits.attempt_started(endpoint, now)

    def attempt_ended(
        self, endpoint: bytes, request_id: int, latency: int, outcome: AttemptOutcome, now: int
    ) -> None:
        """An attempt of the request has ended after ``latency`` (ns)."""
        request = self._requests.get(request_id)
        if request is None and outcome is AttemptOutcome.SUCCEEDED:
            outcome = AttemptOutcome.INCONCLUSIVE  # its cost class is no longer known
        cost_class = request.cost_class if request is not None else 0
        self.concurrency_limits.attempt_ended(endpoint, cost_class, latency, outcome, now)

    def release(
        self,
        request_id: int,
        outcome: RequestOutcome,
        now: int,
        *,
        reason: Enum | None = None,
        size: int = 0,
    ) -> None:
        """Free the slot of a request that has its response, of ``size`` bytes, or lost its client.

        The value of ``reason`` is reported with the outcome. A second release does nothing.
        """
        request = self._requests.pop(request_id, None)
        if request is None:
            return
        if request.is_queued:
            self.fair_queue.cancel(request_id)
        self.contract_budgets.request_ended(request.contract.key, request.organisation)
        team = self.usage.team(request.contract.team)
        current = team.current_round(now)
        current.counts[usage_label(OUTCOME_EVENTS[outcome], reason)] += 1
        is_borrowed = request.leaf.in_use > self.fair_queue.quota(request.leaf)
        used = self.fair_queue.release(request_id, now)
        if used:
            current.slot_seconds += used / SECOND
            current.borrowed_slot_seconds += used / SECOND if is_borrowed else 0.0
        if outcome is RequestOutcome.SERVED:
            current.bytes += size
            latency = now - request.acquired_at
            team.record_latency(latency, now)
            if latency <= request.latency_objective:
                current.counts[usage.SERVED_IN_TIME] += 1
            if used:
                self._slot_times.record(request.cost_class, used)
        if size:
            self.contract_budgets.charge_bytes(request.contract, now, size)

    def served_from_cache(self, contract: Contract, size: int, now: int) -> None:
        """Count a response from the local cache, which needs no slot."""
        team = self.usage.team(contract.team)
        current = team.current_round(now)
        for key in (usage.SERVED, usage.SERVED_FROM_CACHE, usage.SERVED_IN_TIME):
            current.counts[key] += 1
        current.bytes += size
        team.record_latency(0, now)
        self.contract_budgets.charge_bytes(contract, now, size)

    def _clean_up_if_due(self, now: int) -> None:
        if now - self._cleaned_at < CLEANUP_INTERVAL:
            return
        self._cleaned_at = now
        self.contract_budgets.forget_unused(now)
        self.concurrency_limits.forget_unused(now)
        self.fair_queue.tree.forget_unused(now)
        self.retry_budgets.forget_unused(now)

    def report(self, now: int, team: str = "") -> dict[str, object]:
        """What operators see: usage of all teams or one, and for all of them slots and limits."""
        report: dict[str, object] = {"teams": self.usage.report(now, team)}
        if not team:
            report["capacity"] = capacity_report(self.concurrency_limits, self.fair_queue)
        return report


def _quota_path(contracts: Contracts, contract: Contract) -> QuotaPath:
    team = contracts.team(contract.team)
    team_path = (
        (team.name, team.weight),
        (f"{contract.service}/{contract.class_name}", contract.weight),
    )
    organisation = contracts.organisation_of(contract.team)
    if organisation is None:
        return team_path
    return ((f"@{organisation.name}", organisation.weight), *team_path)


def _max_wait(request: AdmissionRequest, expected_slot_time: int) -> int:
    """How long (ns) the request can wait for a slot and still be in time; negative: not at all."""
    time_limit = min(request.latency_objective, request.time_left)
    return min(int(request.latency_objective * MAX_QUEUE_TIME_FACTOR), time_limit - expected_slot_time)
