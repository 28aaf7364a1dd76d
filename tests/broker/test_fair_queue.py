"""Fair queueing: slots are shared by weight, lent while unused, and returned."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hallproxy.broker.fair_queue import FairQueue
from hallproxy.broker.quota_tree import ACTIVE_DURATION, QuotaNode, QuotaTree

MS, SECOND = 10**6, 10**9
START = 1_700_000_000 * SECOND
EXPECTED_DURATION = 10 * MS


class QueueDriver:
    """Teams that request and release the slots of a fair queue, in virtual time."""

    def __init__(self, limit: int, **weights: float) -> None:
        self.queue, self.now = FairQueue(), START
        self.queue.limit = limit
        self.leaves = {
            team: self.queue.tree.leaf(((team, weight), ("s", 1.0)), START)
            for team, weight in weights.items()
        }
        self.last_id = 0
        self.in_flight: dict[int, str] = {}  # team by request
        self.queued: dict[int, str] = {}  # team by request

    def node(self, team: str) -> QuotaNode:
        return self.queue.tree.root.children[team]

    def request(self, team: str) -> bool:
        """Whether the request has a slot at once; else it is queued, or dropped by a full queue."""
        self.last_id += 1
        leaf = self.leaves[team]
        self.queue.tree.mark_active(leaf, self.now)
        if self.queue.try_grant(leaf, self.last_id, EXPECTED_DURATION, self.now):
            self.in_flight[self.last_id] = team
            return True
        if self.queue.enqueue(leaf, self.last_id, EXPECTED_DURATION):
            self.queued[self.last_id] = team
        return False

    def release(self, request_id: int) -> None:
        del self.in_flight[request_id]
        self.queue.release(request_id, self.now)
        while (granted := self.queue.dequeue(self.now)) is not None:
            self.in_flight[granted] = self.queued.pop(granted)

    def fill_queues(self, length: int) -> None:
        for team, leaf in self.leaves.items():
            while leaf.queued < length:
                self.request(team)

    def release_first_finished(self, ends_at: dict[int, int], durations: dict[str, int]) -> str:
        """Release the request that ends first; return its team."""
        for request_id, team in self.in_flight.items():
            ends_at.setdefault(request_id, self.now + durations[team])
        first = min(self.in_flight, key=lambda request_id: (ends_at[request_id], request_id))
        self.now = max(self.now, ends_at.pop(first))
        team = self.in_flight[first]
        self.release(first)
        return team

    def run_saturated(self, seconds: float) -> dict[str, int]:
        """Keep requests of all teams queued; return how many of each are served."""
        served = dict.fromkeys(self.leaves, 0)
        durations = dict.fromkeys(self.leaves, 10 * MS)
        ends_at: dict[int, int] = {}
        until = self.now + int(seconds * SECOND)
        while self.now < until:
            self.fill_queues(20)
            served[self.release_first_finished(ends_at, durations)] += 1
        return served


@pytest.mark.parametrize("limit", [1, 3, 8, 20])
def test_saturated_teams_share_slots_by_weight(limit: int) -> None:
    served = QueueDriver(limit, one=1, two=2, five=5).run_saturated(20)
    total = sum(served.values())
    for team, weight in (("one", 1), ("two", 2), ("five", 5)):
        assert served[team] / total == pytest.approx(weight / 8, rel=0.06)
    assert total >= 0.98 * limit * 2000


def test_the_share_of_a_team_without_requests_goes_to_the_others() -> None:
    driver = QueueDriver(16, one=1, two=2)
    driver.queue.tree.leaf((("five", 5.0),), START)  # known, but never active
    served = driver.run_saturated(10)
    assert sum(served.values()) >= 0.98 * 16 * 1000
    assert served["two"] / served["one"] == pytest.approx(2, rel=0.06)


def test_a_returning_team_has_its_share_back_within_one_release_a_slot() -> None:
    """A flood begins, ends and begins again; the other team has a slot at once and its share soon."""
    driver = QueueDriver(16, quiet=1, flood=1)
    driver.request("quiet")
    driver.release(1)
    for _ in range(3):
        for _ in range(200):
            driver.request("flood")
        assert driver.node("flood").in_use >= 14
        assert driver.request("quiet")  # one slot in eight is reserved while another team is active
        for _ in range(7):
            driver.request("quiet")
        driver.now += 10 * MS
        for request_id in [i for i, team in driver.in_flight.items() if team == "flood"]:
            driver.release(request_id)
            if driver.node("quiet").in_use >= 8:
                break
        assert driver.node("quiet").in_use == 8
        while driver.in_flight:
            driver.release(next(iter(driver.in_flight)))
        driver.now += 2 * SECOND


def test_an_idle_team_earns_nothing() -> None:
    driver = QueueDriver(4, quiet=1, flood=1)
    del driver.leaves["quiet"]
    driver.run_saturated(30)
    driver.leaves["quiet"] = driver.node("quiet").children["s"]
    served = driver.run_saturated(5)
    assert served["quiet"] == pytest.approx(served["flood"], rel=0.1)


def test_slot_time_is_shared_whatever_requests_take() -> None:
    """A team whose requests take ten times as long has a tenth as many served."""
    driver = QueueDriver(4, large=1, small=1)
    durations = {"large": 100 * MS, "small": 10 * MS}
    served = {"large": 0, "small": 0}
    ends_at: dict[int, int] = {}
    for _ in range(8000):
        driver.fill_queues(5)
        served[driver.release_first_finished(ends_at, durations)] += 1
    assert served["small"] / served["large"] == pytest.approx(10, rel=0.15)


@settings(max_examples=200, deadline=None)
@given(
    st.integers(1, 12),
    st.lists(st.tuples(st.sampled_from("abc"), st.integers(0, 3), st.integers(0, 400 * MS)), max_size=150),
)
def test_grants_stay_within_the_limit_and_teams_below_their_share_come_first(
    limit: int, steps: list[tuple[str, int, int]]
) -> None:
    driver = QueueDriver(limit, a=1, b=2, c=5)
    for team, choice, gap in steps:
        driver.now += gap
        in_flight_before = len(driver.in_flight)
        if choice or not driver.in_flight:
            driver.request(team)
        else:
            driver.release(next(iter(driver.in_flight)))
        queue = driver.queue
        teams = queue.tree.root.children.values()
        assert queue.in_use == len(driver.in_flight) <= max(limit, in_flight_before)
        assert queue.queued == len(driver.queued)
        assert sum(node.in_use for node in teams) == queue.in_use
        if queue.in_use < limit:
            # A team with queued requests has its share: what is free is reserved for others.
            for node in teams:
                assert not node.queued or node.in_use + 1 > max(1.0, queue.quota(node))


def test_unused_nodes_are_forgotten() -> None:
    tree = QuotaTree()
    for n in range(50):
        tree.mark_active(tree.leaf(((f"t-{n}", 1.0), ("s", 1.0)), START), START)
    tree.forget_unused(START + 2 * ACTIVE_DURATION)
    assert not tree.root.children
    assert tree.root.active_weight == 0.0
