"""Measures the cost of a broker decision by the number of contracts.

    python -m hallproxy.lab.cost

One decision covers a request's admission, its slot and its response. Contracts are used in turn, so that each
is active. The bytes are those of a contract and all of its state.
"""

from __future__ import annotations

import gc
import json
import sys
import time
import tracemalloc

from hallproxy.broker.admission import AdmissionRequest, RequestOutcome
from hallproxy.broker.broker import Broker
from hallproxy.broker.contracts import Contract, Contracts, Organisation, Team
from hallproxy.broker.source_limit import AttemptOutcome
from hallproxy.broker.token_bucket import Rate

MS, SECOND = 1_000_000, 1_000_000_000  # ns
START = 1_700_000_000 * SECOND
DECISIONS = 30_000


def contracts_of(count: int) -> Contracts:
    """Contracts with one team each; every organisation has ten teams."""
    organisations = tuple(Organisation(f"o-{n}", rate=Rate(1e6, 1e6)) for n in range(max(1, count // 10)))
    teams = tuple(Team(f"t-{n}", 1.0 + n % 5, f"o-{n // 10}") for n in range(count))
    contracts = tuple(
        Contract(t.name, "s", rate=Rate(1e4, 1e4), retry_ratio=0.2, min_retries_per_second=1.0) for t in teams
    )
    return Contracts(contracts, teams, organisations)


def run_decision(broker: Broker, request_id: int, team: str, now: int) -> None:
    request = AdmissionRequest(team, "s", "c", 2 * SECOND, 500 * MS, size_kb=40.0)
    contract = broker.admit(request, now)
    assert isinstance(contract, Contract)
    broker.acquire(request_id, request, contract, now)
    broker.attempt_started(b"source", now)
    broker.attempt_ended(b"source", request_id, 20 * MS, AttemptOutcome.SUCCEEDED, now)
    broker.release(request_id, RequestOutcome.SERVED, now, size=40_000)
    broker.dequeue(now)


def measure(count: int) -> dict[str, float]:
    gc.collect()
    tracemalloc.start()
    broker = Broker(contracts_of(count), START, 4096)
    now = START
    for n in range(count):
        now += MS // 10
        run_decision(broker, n, f"t-{n}", now)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    best_s = float("inf")
    for _ in range(3):
        began_at = time.perf_counter()
        for n in range(DECISIONS):
            now += MS // 10
            run_decision(broker, n, f"t-{n % count}", now)
        best_s = min(best_s, time.perf_counter() - began_at)
    return {"contracts": count, "us": round(best_s / DECISIONS * 1e6, 1), "bytes": round(size / count)}


def main() -> int:
    for count in (10, 1_000, 10_000):
        print(json.dumps(measure(count)), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
