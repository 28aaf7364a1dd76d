"""Long event streams with every table of the decisions limited to a few entries.

Evictions then concern requests that are queued or have attempts in flight. Unanswered attempts end in every
way that a store's connection can end, not only by their deadline.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import replace

import pytest

from hallproxy import interface as i
from hallproxy.decisions import purges, recent_values, valuation
from hallproxy.decisions.endpoint_statistics import EndpointStatistics
from tests.decisions.event_streams import DEPLOYMENTS, Recorder, Simulation

SECONDS = 26  # of each stream: all phases once and the first one again
BOUNDS = {"least": (1, 1, 8), "few": (40, 8, 64)}  # objects counted, purges per table, recent values
UNANSWERED_ENDS = (
    i.AttemptStatus.RESET,
    i.AttemptStatus.CONNECT_FAILED,
    i.AttemptStatus.FULL,
    i.AttemptStatus.ERROR,
    i.AttemptStatus.MISS,
    i.AttemptStatus.TIMEOUT,
)


class AnswerCounter(Recorder):
    """A recorder that counts the final answers of each request, from the router and from caches."""

    def __init__(self, deployment: str, seed: int) -> None:
        super().__init__(deployment, seed)
        self.ends: Counter[int] = Counter()

    def handle(self, now: int, events: Sequence[i.Event]) -> list[i.Action]:
        actions = super().handle(now, events)
        self.ends.update(a.request_id for a in actions if isinstance(a, i.Reject | i.Fail))
        return actions


class FaultySimulation(Simulation):
    """Checks the router's tables after each call, and counts each request's final answers."""

    def __init__(self, deployment: str, seed: int) -> None:
        super().__init__(deployment, seed)
        self.recorder: AnswerCounter = AnswerCounter(deployment, seed)
        self.end_rng = random.Random(f"ends/{deployment}/{seed}")

    def schedule(self, delay: int, event: i.Event) -> None:
        if isinstance(event, i.AttemptEnded) and event.status is i.AttemptStatus.TIMEOUT:
            delay = int(delay * self.end_rng.uniform(0.2, 1.0))
            event = replace(event, status=self.end_rng.choice(UNANSWERED_ENDS), latency=delay)
        super().schedule(delay, event)

    def deliver(self, batch: list[i.Event]) -> None:
        open_before = set(self.open_requests)
        super().deliver(batch)
        for event in batch:
            if not isinstance(event, i.AttemptEnded | i.ClientDisconnected):
                continue
            if isinstance(event, i.AttemptEnded) and event.status is not i.AttemptStatus.OK:
                continue
            if event.request_id in open_before:
                open_before.discard(event.request_id)
                self.recorder.ends[event.request_id] += 1
        self.check_tables()

    def check_tables(self) -> None:
        router = self.recorder.router
        in_flight: Counter[EndpointStatistics] = Counter()
        for entry in router.requests.values():
            assert entry.attempts or not entry.finished
            assert entry.request.object in router.valuation.counts
            for attempt in entry.attempts.values():
                in_flight.update(attempt.endpoints())
        listed = set(router.endpoints.by_id.values())
        assert {p: p.in_flight for p in listed if p.in_flight} == {
            p: n for p, n in in_flight.items() if p in listed
        }
        for request_id, number in router.overdue.overdue:
            assert number in router.requests[request_id].attempts
        for table in (router.purges.objects, router.purges.groups):
            assert len(table) <= purges.PURGES_MAX
        for window in (router.valuation.recent_gains, router.latency.recent_slowness):
            assert len(window.recent) == len(window.ordered) <= recent_values.RECENT_VALUES_MAX


def each_stream() -> Iterator[tuple[str, int, str]]:
    for bounds in BOUNDS:
        for deployment in DEPLOYMENTS:
            for seed in range(1, 4):
                yield deployment, seed, bounds


@pytest.mark.parametrize(("deployment", "seed", "bounds"), each_stream())
def test_no_eviction_or_end_of_an_attempt_breaks_the_decisions(
    deployment: str, seed: int, bounds: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an eviction or a hedge dropping state that an open request still needs."""
    counts_max, purges_max, recent_values_max = BOUNDS[bounds]
    monkeypatch.setattr(valuation, "COUNTS_MAX", counts_max)
    monkeypatch.setattr(purges, "PURGES_MAX", purges_max)
    monkeypatch.setattr(recent_values, "RECENT_VALUES_MAX", recent_values_max)
    simulation = FaultySimulation(deployment, seed)
    recorder = simulation.run(SECONDS)
    assert recorder.kinds >= {"get", "refuse", "fail", "cancel"}
    assert simulation.sizes_kb.keys() - simulation.open_requests == simulation.recorder.ends.keys()
    assert set(simulation.recorder.ends.values()) == {1}
    assert simulation.open_requests <= simulation.recorder.router.requests.keys()
