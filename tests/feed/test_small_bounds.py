"""A relay's change log with ring and pages limited to a few entries, and followers that poll it.

Whatever the ring has dropped, each follower converges to the log's endpoint list and purges: it gets every
event after its number, or a snapshot that replaces them.
"""

from __future__ import annotations

import json
import random
from dataclasses import dataclass, field
from typing import Any

import pytest

from hallproxy.feed import MS, FeedError
from hallproxy.feed.change_log import ChangeLog, ChangeLogLimits, PageKind
from hallproxy.feed.pages import PageCache
from hallproxy.wire.changelog import decode_events, snapshot_start
from hallproxy.wire.simulator_settings import settings_from_json
from tests.support.gateway import platform_settings

STEPS = 3_000
GROUP_COUNT = 256
LIMITS = ChangeLogLimits(gather_delay=20 * MS, max_events=5, max_page_events=2, max_endpoints=8)
SETTINGS = settings_from_json(json.dumps(platform_settings()).encode())


class SourceLog:
    """The platform's change log: numbered from 1 in each incarnation, without a limit of events."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.events: list[dict[str, Any]] = []
        self.endpoints: dict[str, dict[str, Any]] = {}
        self.purges = 0
        self.add_list(reset=True)

    def add(self, **event: Any) -> None:
        self.events.append({"seq": len(self.events) + 1, **event})

    def add_list(self, reset: bool = False) -> None:
        instances = list(self.endpoints.values()) if reset else [self.change_endpoint()]
        self.add(fleet={"generation": len(self.events), "reset": reset, "instances": instances})

    def change_endpoint(self) -> dict[str, Any]:
        name = f"s-{self.rng.randrange(6)}"
        lifecycle = self.rng.choice(("Ready", "Terminating", "Gone"))
        endpoint = {"instanceId": name, "lifecycle": lifecycle, "hostPort": "a:1", "zone": "here"}
        endpoint["machineType"] = "std"
        self.endpoints.pop(name, None)
        if lifecycle != "Gone":
            self.endpoints[name] = endpoint
        return endpoint

    def add_purge(self) -> None:
        self.purges += 1
        self.add(invalidate={"object": f"{self.purges:x}", "time": self.purges})

    def restart(self) -> None:
        """Restart the log: its numbers begin again with the current endpoint list."""
        self.events.clear()
        self.add_list(reset=True)

    def page(self, since: int, max_events_per_page: int) -> dict[str, Any]:
        return {"seq": len(self.events), "results": self.events[since : since + max_events_per_page]}


@dataclass
class FollowerModel:
    """A gateway that polls the relay: its number, its endpoint list, and the purges that it has received."""

    since: int = 0
    incarnation: int = -1  # of the relay's last response on this connection; -1: a new connection
    endpoint_ids: set[bytes] = field(default_factory=set)
    purged: set[int] = field(default_factory=set)  # objects
    purged_all_at: int = -1  # ms; the latest purge of all groups

    def apply(self, page: dict[str, Any]) -> None:
        start = snapshot_start(page)
        self.since = self.since if start is None else start
        for number, event in list(decode_events(page, self.since, SETTINGS, 0)):
            self.since = number
            change = getattr(event, "change", None)
            if change is not None:
                self.endpoint_ids = set() if change.kind.name == "FULL" else self.endpoint_ids
                for endpoint in change.endpoints:
                    (self.endpoint_ids.discard if endpoint.state.name == "GONE" else self.endpoint_ids.add)(
                        endpoint.id
                    )
            elif event is not None and event.object:  # type: ignore[union-attr]
                self.purged.add(event.object)  # type: ignore[union-attr]
            elif event is not None:
                self.purged_all_at = event.purged_at // MS  # type: ignore[union-attr]

    def knows_purge(self, number: int) -> bool:
        return number in self.purged or number <= self.purged_all_at


class Simulation:
    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.source = SourceLog(self.rng)
        self.log = ChangeLog(LIMITS)
        self.log.pages = PageCache(max_pages=2, max_bytes=100_000)
        self.followers = [FollowerModel() for _ in range(4)]
        self.now = 0
        self.kinds: set[PageKind] = set()

    def poll_source(self, max_events_per_page: int) -> None:
        page = self.source.page(self.log.poll_from, max_events_per_page)
        if self.rng.random() < 0.1 and len(page["results"]) > 1:
            del page["results"][self.rng.randrange(len(page["results"]) - 1)]  # a gap
        try:
            self.log.apply(json.loads(json.dumps(page)), self.now)
        except FeedError:
            return
        assert len(self.log.ring.events) <= LIMITS.max_events
        assert len(self.log.pages) <= 2

    def answer(self, follower: FollowerModel, at_once: bool) -> None:
        """Answer as ``relay/front.py`` does after a poll's whole wait."""
        kind = self.log.page_kind(follower.since, follower.incarnation, at_once)
        self.kinds.add(kind)
        if kind is PageKind.UNAVAILABLE:
            return
        if kind is PageKind.EVENTS:
            page = self.log.events_page(follower.since, False, at_once)
        elif kind in (PageKind.SNAPSHOT, PageKind.AHEAD):
            page = self.log.snapshot_page(False, at_once)
        else:
            page = self.log.empty_page(follower.since, kind is not PageKind.UNKNOWN)
        if kind is not PageKind.UNKNOWN:
            follower.incarnation = self.log.incarnation
        follower.apply(json.loads(page.body))

    def step(self) -> None:
        self.now += self.rng.randrange(10) * MS
        draw = self.rng.random()
        if draw < 0.30:
            self.source.add_purge()
        elif draw < 0.40:
            self.source.add_list()
        elif draw < 0.405:
            self.source.restart()
        elif draw < 0.65:
            self.poll_source(self.rng.choice((1, 2, 100)))
        elif draw < 0.96:
            self.answer(self.rng.choice(self.followers), self.rng.random() < 0.5)
        else:
            self.rng.choice(self.followers).incarnation = -1  # it reconnects
        publish_at = self.log.publish_at()
        if publish_at is not None and self.now >= publish_at:
            self.log.publish()

    def settle(self) -> None:
        """Let the relay and its followers catch up while the source log is idle."""
        for _ in range(8):
            self.poll_source_completely()
        self.log.publish()
        for follower in self.followers:
            for _ in range(2 * LIMITS.max_events + 4):
                self.answer(follower, at_once=True)

    def poll_source_completely(self) -> None:
        self.log.apply(json.loads(json.dumps(self.source.page(self.log.poll_from, 10**6))), self.now)


@pytest.mark.parametrize("seed", range(6))
def test_followers_have_the_logs_list_and_purges_however_small_the_ring_is(seed: int) -> None:
    """Guards against losing events that a ring of five and pages of two drop before a follower has them."""
    simulation = Simulation(seed)
    for _ in range(STEPS):
        simulation.step()
    simulation.settle()
    expected = {name.encode() for name in simulation.source.endpoints}
    assert {name.encode() for name in simulation.log.ring.endpoints} == expected
    for follower in simulation.followers:
        assert follower.endpoint_ids == expected
        missing = [n for n in range(1, simulation.source.purges + 1) if not follower.knows_purge(n)]
        assert not missing
    assert simulation.kinds >= {PageKind.EVENTS, PageKind.SNAPSHOT, PageKind.UP_TO_DATE}
