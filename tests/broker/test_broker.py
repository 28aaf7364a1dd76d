"""The broker as a whole: teams before a simulated source, and contracts that change."""

from __future__ import annotations

import pytest

from hallproxy.broker.admission import (
    AdmissionRequest,
    Rejection,
    RejectionReason,
    RequestOutcome,
    SlotGrant,
)
from hallproxy.broker.broker import Broker
from hallproxy.broker.contracts import Contract, Contracts, Team
from hallproxy.broker.token_bucket import Rate
from hallproxy.lab.virtual import Load, Simulation, Source, contracts_of

MS, SECOND = 10**6, 10**9
START = 1_700_000_000 * SECOND
REQUEST = AdmissionRequest("a", "s", "c", time_left=2 * SECOND, latency_objective=500 * MS)
CALM = [Load("quiet", 60), Load("flood", 60)]
FLOOD = [Load("quiet", 60), Load("flood", 600)]


def world(loads: list[Load], seconds: float = 20.0, slowdown: float = 1.0, **contract: float) -> Simulation:
    """Teams before a source of 400 requests a second, slower in the second half of the time."""
    source = Source(8, 20 * MS, lambda at: slowdown if at > seconds / 2 else 1.0, spread=0.3)
    return Simulation(loads, source, Broker(contracts_of(loads, **contract), START))


@pytest.mark.parametrize("slowdown", [1.0, 5.0])
def test_a_quiet_team_keeps_its_service_in_another_teams_flood(slowdown: float) -> None:
    """Also while the source is five times slower."""
    calm = world(CALM, slowdown=slowdown).run(20)
    flood = world(FLOOD, slowdown=slowdown).run(20)
    assert flood["quiet"].in_time_share() >= 0.97 * calm["quiet"].in_time_share()
    assert flood["quiet"].latency_ms(0.99) <= 3 * calm["quiet"].latency_ms(0.99)
    served_in_time = sum(tally.in_time for tally in flood.values())
    assert served_in_time >= 0.93 * 400 * (10 + 10 / slowdown)


def test_without_a_broker_a_flood_starves_the_quiet_team() -> None:
    """The same load before the source alone shows what the broker prevents."""
    flood = Simulation(FLOOD, Source(8, 20 * MS, spread=0.3), None).run(20)
    assert flood["quiet"].in_time_share() < 0.2


def test_floods_of_large_bodies_and_of_retries_cost_their_own_team() -> None:
    large = world([Load("quiet", 60), Load("flood", 600, size=20)]).run(20)
    assert large["quiet"].in_time_share() >= 0.95
    loads = [Load("quiet", 60), Load("flood", 600, retry_share=1.0)]
    retries = world(loads, retry_ratio=0.2, min_retries_per_second=1.0).run(20)
    assert retries["quiet"].in_time_share() >= 0.99 and retries["flood"].served <= 20 * 1.5
    assert retries["flood"].rejected["retry budget"] > 10_000


def test_a_team_over_its_budget_is_rejected_while_the_source_slows() -> None:
    """What its contract excludes is rejected at once; the slowdown costs both teams by their weights."""
    contracts = Contracts((Contract("flood", "all", rate=Rate(100, 100)), Contract("quiet", "all")))
    source = Source(8, 20 * MS, lambda at: 5.0 if at > 10 else 1.0, spread=0.3)
    flood = Simulation(FLOOD, source, Broker(contracts, START)).run(20)
    calm = world(CALM, slowdown=5.0).run(20)
    assert flood["quiet"].in_time_share() >= 0.97 * calm["quiet"].in_time_share()
    assert flood["flood"].rejected["over budget"] >= 9000 and flood["flood"].served <= 100 * 21


def test_concurrency_limits_recover_with_the_source() -> None:
    source = Source(8, 20 * MS, lambda at: 5.0 if 5 < at < 10 else 1.0)
    flood = Simulation(FLOOD, source, Broker(contracts_of(FLOOD), START)).run(20)
    served_after_recovery = sum(1 for tally in flood.values() for at in tally.times if 13 < at < 20)
    assert served_after_recovery >= 0.9 * 7 * 400


@pytest.mark.parametrize("step", [0, -3600 * SECOND, 24 * 3600 * SECOND])
def test_a_clock_that_stands_still_or_jumps_adds_no_budget(step: int) -> None:
    broker = Broker(Contracts((Contract("a", "s", rate=Rate(10, 10), retry_ratio=0.1),)), START)

    def count_admitted(now: int) -> int:
        return sum(isinstance(broker.admit(REQUEST, now), Contract) for _ in range(50))

    assert count_admitted(START) == 10
    assert count_admitted(START + step) == (10 if step > 0 else 0)


def test_a_removed_contract_rejects_only_new_requests() -> None:
    contract = Contract("a", "s", max_concurrency=2)
    broker = Broker(Contracts((contract,)), START)
    assert broker.acquire(1, REQUEST, contract, START) is SlotGrant.GRANTED
    broker.update_contracts(Contracts(), START)
    assert broker.admit(REQUEST, START) == Rejection(RejectionReason.NO_CONTRACT)
    broker.update_contracts(Contracts((contract,)), START)
    assert broker.acquire(2, REQUEST, contract, START) is SlotGrant.GRANTED
    rejection = broker.acquire(3, REQUEST, contract, START)  # the first request still counts
    assert isinstance(rejection, Rejection)
    assert rejection.reason is RejectionReason.TOO_MANY_IN_FLIGHT and rejection.retry_after > 0
    broker.release(1, RequestOutcome.SERVED, START + MS, size=10)
    assert broker.acquire(4, REQUEST, contract, START + MS) is SlotGrant.GRANTED


def test_a_queued_request_whose_client_disconnects_is_dropped() -> None:
    contract = Contract("a", "s")
    broker = Broker(Contracts((contract,)), START, max_concurrency=1)
    assert broker.acquire(1, REQUEST, contract, START) is SlotGrant.GRANTED
    assert broker.acquire(2, REQUEST, contract, START) is SlotGrant.QUEUED
    broker.release(2, RequestOutcome.DISCONNECTED, START + MS)
    assert not broker.is_queued(2) and not broker.fair_queue.queued
    broker.release(1, RequestOutcome.SERVED, START + 2 * MS)
    assert broker.dequeue(START + 2 * MS) is None
    assert not broker.fair_queue.in_use


def test_only_allowed_networks_are_admitted_and_others_are_reported() -> None:
    contracts = Contracts((Contract("a", "s"),), (Team("a", networks=("10.1.0.0/16", "fd00::/8")),))
    broker = Broker(contracts, START)
    allowed = ("10.1.2.3", "::ffff:10.1.2.3", "fd00::1")
    forbidden = ("10.2.0.1", "nowhere")
    for address in (*allowed, *forbidden):
        request = AdmissionRequest("a", "s", "c", SECOND, SECOND, client_address=address)
        assert isinstance(broker.admit(request, START), Contract) is (address in allowed), address
    counts = broker.report(START)["teams"]["a"]["counts"]  # type: ignore[index]
    assert counts == {"asked": 3, "refused: network": 2}


def test_outcomes_have_the_labels_of_the_usage_report() -> None:
    contract = Contract("a", "s")
    broker = Broker(Contracts((contract,)), START)
    for request_id, (outcome, reason) in enumerate(
        (
            (RequestOutcome.SERVED, None),
            (RequestOutcome.REJECTED, RejectionReason.OVERLOADED),
            (RequestOutcome.FAILED, None),
            (RequestOutcome.DISCONNECTED, None),
        )
    ):
        assert broker.acquire(request_id, REQUEST, contract, START) is SlotGrant.GRANTED
        broker.release(request_id, outcome, START + MS, reason=reason)
    broker.served_from_cache(contract, 10, START)
    counts = broker.report(START)["teams"]["a"]["counts"]  # type: ignore[index]
    assert counts == {
        "failed": 1,
        "in time": 2,
        "left": 1,
        "refused: crowded": 1,
        "served": 2,
        "served here": 1,
    }
