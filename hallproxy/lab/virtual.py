"""Simulates teams in virtual time: the real broker in front of a source with several servers.

    python -m hallproxy.lab.virtual --teams 200 --rate 100000 --seconds 5

The same seed always gives the same figures. No sockets are used; the time is a number.
"""

from __future__ import annotations

import argparse
import heapq
import json
import random
import sys
import time
from collections import Counter, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from hallproxy.broker.admission import AdmissionRequest, Rejection, RequestOutcome, SlotGrant
from hallproxy.broker.broker import Broker
from hallproxy.broker.contracts import Contract, Contracts, Team
from hallproxy.broker.source_limit import AttemptOutcome

MS = 1_000_000  # ns
SECOND = 1_000_000_000  # ns
SOURCE = b"source"


@dataclass
class Load:
    """The requests of one team: their rate, their start and end, and their relative size."""

    team: str
    rate: float
    weight: float = 1.0
    start: float = 0.0  # s
    end: float = float("inf")
    size: float = 1.0  # relative to the source's time for a request
    retry_share: float = 0.0  # share of its requests that are marked as retries


@dataclass
class Source:
    """Servers with one queue; ``slowdown`` gives the factor on the service time at a time (s)."""

    servers: int
    service_time: int  # ns per request
    slowdown: Callable[[float], float] = lambda at: 1.0
    spread: float = 0.0  # relative variation of service times
    busy: int = 0
    queue: deque[tuple[int, float]] = field(default_factory=deque)


@dataclass
class TeamStats:
    requests: int = 0
    served: int = 0
    in_time: int = 0
    rejected: Counter[str] = field(default_factory=Counter)
    served_size: float = 0.0  # sizes served after the warm-up
    latencies: list[int] = field(default_factory=list)  # ns
    times: list[float] = field(default_factory=list)  # s; when each request in time was served

    def in_time_share(self) -> float:
        return self.in_time / max(1, self.requests)

    def latency_ms(self, quantile: float) -> float:
        """A quantile of the latencies in ms."""
        ordered = sorted(self.latencies) or [0]
        return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))] / MS


def contracts_of(loads: Sequence[Load], **options: float) -> Contracts:
    names = {load.team: load.weight for load in loads}
    return Contracts(
        tuple(Contract(name, "all", **options) for name in names),  # type: ignore[arg-type]
        tuple(Team(name, weight) for name, weight in names.items()),
    )


@dataclass
class Simulation:
    """Loads and a source, with a broker or without."""

    loads: Sequence[Load]
    source: Source
    broker: Broker | None
    seed: int = 1
    latency_objective: int = 500 * MS
    deadline: int = 2 * SECOND
    start: int = 1_700_000_000 * SECOND
    warm_up: float = 0.0  # s; served sizes are not counted while the concurrency limit is being learned

    def run(self, seconds: float) -> dict[str, TeamStats]:
        # One generator per load: the load of one team must not change the arrivals of another.
        rng = random.Random(self.seed)
        load_rngs = {id(load): random.Random(f"{self.seed}/{load.team}") for load in self.loads}
        stats_by_team = {load.team: TeamStats() for load in self.loads}
        event_count = 0
        events: list[tuple[float, int, str, int, Load | None]] = []
        pending: dict[int, tuple[Load, float, AdmissionRequest]] = {}

        def schedule(at: float, kind: str, request_id: int, load: Load | None) -> None:
            nonlocal event_count
            event_count += 1
            heapq.heappush(events, (at, event_count, kind, request_id, load))

        def start_attempt(request_id: int, at: float) -> None:
            source, size = self.source, pending[request_id][0].size
            if self.broker is not None:
                self.broker.attempt_started(SOURCE, self.ns(at))
                began[request_id] = at
            if source.busy < source.servers:
                start_service(request_id, at, size)
            else:
                source.queue.append((request_id, size))

        def start_service(request_id: int, at: float, size: float) -> None:
            source = self.source
            source.busy += 1
            variation = 1.0 + source.spread * (2 * rng.random() - 1.0)
            schedule(
                at + source.service_time / SECOND * size * source.slowdown(at) * variation,
                "done",
                request_id,
                None,
            )

        began: dict[int, float] = {}
        for load in self.loads:
            first = load_rngs[id(load)].expovariate(load.rate) if load.rate else float("inf")
            schedule(load.start + first, "ask", 0, load)
        while events and events[0][0] < seconds:
            at, number, kind, event_request_id, event_load = heapq.heappop(events)
            now = self.ns(at)
            if kind == "ask" and event_load is not None:
                if at < event_load.end:
                    load_rng = load_rngs[id(event_load)]
                    schedule(at + load_rng.expovariate(event_load.rate), "ask", 0, event_load)
                    self._submit(
                        event_load, at, number, pending, stats_by_team, load_rng, start_attempt, schedule
                    )
            elif kind == "due":
                if self.broker is not None and self.broker.is_queued(event_request_id):
                    team = pending.pop(event_request_id)[0].team
                    refusal = self.broker.reject_queued(event_request_id, now)
                    stats_by_team[team].rejected[refusal.reason.value] += 1
                    self.broker.release(event_request_id, RequestOutcome.REJECTED, now, reason=refusal.reason)
            else:
                completed, arrived_at, _ = pending.pop(event_request_id)
                stats = stats_by_team[completed.team]
                latency = int((at - arrived_at) * SECOND)
                stats.served += 1
                stats.served_size += completed.size if at >= self.warm_up else 0.0
                stats.latencies.append(latency)
                if latency <= self.latency_objective:
                    stats.in_time += 1
                    stats.times.append(at)
                if self.broker is not None:
                    self.broker.attempt_ended(
                        SOURCE,
                        event_request_id,
                        int((at - began.pop(event_request_id)) * SECOND),
                        AttemptOutcome.SUCCEEDED,
                        now,
                    )
                    self.broker.release(event_request_id, RequestOutcome.SERVED, now, size=1)
                self.source.busy -= 1
                if self.source.queue:
                    waiting, size = self.source.queue.popleft()
                    start_service(waiting, at, size)
            while self.broker is not None and (ready := self.broker.dequeue(now)) is not None:
                start_attempt(ready, at)
        return stats_by_team

    def ns(self, at: float) -> int:
        return self.start + int(at * SECOND)

    def _submit(
        self,
        load: Load,
        at: float,
        request_id: int,
        pending: dict[int, tuple[Load, float, AdmissionRequest]],
        stats_by_team: dict[str, TeamStats],
        rng: random.Random,
        start_attempt: Callable[[int, float], None],
        schedule: Callable[[float, str, int, Load | None], None],
    ) -> None:
        stats, now = stats_by_team[load.team], self.ns(at)
        stats.requests += 1
        is_retry = rng.random() < load.retry_share
        request = AdmissionRequest(
            load.team,
            "all",
            "any",
            self.deadline,
            self.latency_objective,
            size_kb=100.0 * load.size,
            is_retry=is_retry,
        )
        pending[request_id] = load, at, request
        if self.broker is None:
            return start_attempt(request_id, at)
        decision: SlotGrant | Rejection
        admission = self.broker.admit(request, now)
        decision = (
            admission
            if isinstance(admission, Rejection)
            else self.broker.acquire(request_id, request, admission, now)
        )
        if isinstance(decision, Rejection):
            del pending[request_id]
            stats.rejected[decision.reason.value] += 1
        elif decision is SlotGrant.GRANTED:
            start_attempt(request_id, at)
        else:
            schedule(at + self.broker.max_queue_time(request) / SECOND, "due", request_id, None)


def shares(teams: int, rate: float, seconds: float, seed: int) -> dict[str, float]:
    """Simulate many teams with weights 1, 2 and 5 that exceed their shares; return the errors of shares."""
    weights = (1.0, 2.0, 5.0)
    loads = [Load(f"team-{n}", rate / teams, weights[n % 3]) for n in range(teams)]
    capacity = rate / 3
    source = Source(servers=int(capacity / 50), service_time=20 * MS, spread=0.3)
    broker = Broker(contracts_of(loads), 0, max_concurrency=4 * source.servers)
    began = time.perf_counter()
    warm_up = seconds / 2
    stats_by_team = Simulation(loads, source, broker, seed, warm_up=warm_up).run(seconds)
    elapsed = time.perf_counter() - began
    total = sum(t.served_size for t in stats_by_team.values())
    total_weight = sum(load.weight for load in loads)
    # Max-min: a team requests at most rate / teams, so what the heavy ones leave goes to the others.
    fair_rates = max_min([(load.team, load.weight, load.rate) for load in loads], total / (seconds - warm_up))
    errors = sorted(
        abs(stats_by_team[n].served_size / (seconds - warm_up) / e - 1.0) for n, e in fair_rates.items() if e
    )
    requests = sum(t.requests for t in stats_by_team.values())
    return {
        "teams": teams,
        "weights": total_weight,
        "asked": requests,
        "served_per_s": round(total / (seconds - warm_up), 1),
        "capacity_per_s": capacity,
        "share_error_median": round(errors[len(errors) // 2], 4),
        "share_error_most": round(errors[-1], 4),
        "requests_per_s_of_real_time": round(requests / elapsed),
    }


def max_min(demands: Sequence[tuple[str, float, float]], capacity: float) -> dict[str, float]:
    """Weighted max-min allocation by progressive filling of (name, weight, demand)."""
    remaining, weight, allocation = capacity, sum(w for _, w, _ in demands), {}
    for name, own_weight, demand in sorted(demands, key=lambda x: x[2] / x[1]):
        allocation[name] = min(demand, remaining * own_weight / weight)
        remaining -= allocation[name]
        weight -= own_weight
    return allocation


def main(argv: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        prog="hallproxy.lab.virtual", description="Simulates the shares of teams in virtual time."
    )
    parser.add_argument("--teams", type=int, default=200)
    parser.add_argument(
        "--rate", type=float, default=100_000.0, help="requests per second of all teams together"
    )
    parser.add_argument("--seconds", type=float, default=5.0, help="virtual time to simulate")
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args(argv)
    json.dump(shares(args.teams, args.rate, args.seconds, args.seed), sys.stdout, indent=1)
    print()
    return 0


if __name__ == "__main__":
    sys.exit(main())
