"""Long event streams with every table of the decisions bounded to a few entries.

So each eviction meets requests that wait or have attempts in flight. Attempts that get no answer end in every
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
from tests.decisions.event_streams import SITES, Recorder, World

SECONDS = 26  # of each stream: all phases once and the first again
BOUNDS = {"least": (1, 1, 8), "few": (40, 8, 64)}  # objects counted, purges in a table, recent values
UNANSWERED_ENDS = (
    i.AttemptStatus.RESET,
    i.AttemptStatus.CONNECT_FAILED,
    i.AttemptStatus.FULL,
    i.AttemptStatus.ERROR,
    i.AttemptStatus.MISS,
    i.AttemptStatus.TIMEOUT,
)


class AnswerCounter(Recorder):
    """A recorder that counts the final answers of each request, those of the router and those of caches."""

    def __init__(self, site: str, seed: int) -> None:
        super().__init__(site, seed)
        self.ends: Counter[int] = Counter()

    def handle(self, now: int, events: Sequence[i.Event]) -> list[i.Action]:
        actions = super().handle(now, events)
        self.ends.update(a.request_id for a in actions if isinstance(a, i.Reject | i.Fail))
        return actions


class HarshWorld(World):
    """A world that checks the router's tables after each call, and each request's final answer."""

    def __init__(self, site: str, seed: int) -> None:
        super().__init__(site, seed)
        self.recorder: AnswerCounter = AnswerCounter(site, seed)
        self.drawn_ends = random.Random(f"ends/{site}/{seed}")

    def later(self, delay: int, event: i.Event) -> None:
        if isinstance(event, i.AttemptEnded) and event.status is i.AttemptStatus.TIMEOUT:
            delay = int(delay * self.drawn_ends.uniform(0.2, 1.0))
            event = replace(event, status=self.drawn_ends.choice(UNANSWERED_ENDS), latency=delay)
        super().later(delay, event)

    def deliver(self, batch: list[i.Event]) -> None:
        open_before = set(self.live)
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
        for site in SITES:
            for seed in range(1, 4):
                yield site, seed, bounds


@pytest.mark.parametrize(("site", "seed", "bounds"), each_stream())
def test_no_eviction_or_end_of_an_attempt_breaks_the_decisions(
    site: str, seed: int, bounds: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against state that an eviction or a hedge dropped while an open request still needed it."""
    counts, purges_max, recent = BOUNDS[bounds]
    monkeypatch.setattr(valuation, "COUNTS_MAX", counts)
    monkeypatch.setattr(purges, "PURGES_MAX", purges_max)
    monkeypatch.setattr(recent_values, "RECENT_VALUES_MAX", recent)
    world = HarshWorld(site, seed)
    recorder = world.run(SECONDS)
    assert recorder.kinds >= {"get", "refuse", "fail", "cancel"}
    assert world.sizes.keys() - world.live == world.recorder.ends.keys()
    assert set(world.recorder.ends.values()) == {1}
    assert world.live <= world.recorder.router.requests.keys()
