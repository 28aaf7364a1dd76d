"""Connections and request rate divided among client networks."""

from __future__ import annotations

import random

import pytest

from hallproxy.broker import connection_slots
from hallproxy.broker.connection_slots import ACTIVE_DURATION, ConnectionSlots
from hallproxy.broker.request_rate import OVERLOAD_LAG, ROUND_DURATION

MS, SECOND = 10**6, 10**9
START = 1_700_000_000 * SECOND


def test_connections_are_shared_by_network_with_a_reserve() -> None:
    slots = ConnectionSlots(80)
    slots.try_connect("quiet", START)
    taken = sum(slots.try_connect("flood", START) for _ in range(1000))
    assert taken == 69  # all but one in eight, which are reserved for networks below their share
    assert sum(slots.try_connect("quiet", START) for _ in range(50)) == 10
    for _ in range(taken):
        slots.disconnect("flood")
    assert sum(slots.try_connect("quiet", START) for _ in range(100)) == 59
    assert slots.try_connect("flood", START)


def test_the_request_rate_is_divided_by_network_while_the_event_loop_lags() -> None:
    """A network with few requests passes them all; the flood has the rest, and later all it sends."""
    slots, now = ConnectionSlots(100), START
    passed = {"quiet": 0, "flood": 0}
    requests_per_round = 100  # that the simulated event loop completes without lag
    rejection_cost = 0.1  # of a request
    for round_number in range(400):
        now += ROUND_DURATION
        work = 0.0
        for name, count in (("quiet", 20), ("flood", 200 if round_number < 300 else 20)):
            for _ in range(count):
                passes = slots.admit_request(name, now)
                work += 1.0 if passes else rejection_cost
                if passes and work <= requests_per_round:
                    slots.request_finished()
                if 100 <= round_number < 300:
                    passed[name] += passes
        excess = max(0.0, work - requests_per_round)
        slots.event_loop_lagged(int(excess * MS) + (2 * OVERLOAD_LAG if excess else 0), now)
    assert passed["quiet"] >= 0.99 * 200 * 20
    assert 200 * 40 <= passed["flood"] <= 200 * 90
    assert all(slots.admit_request("flood", now) for _ in range(20))


def test_networks_are_bounded() -> None:
    slots = ConnectionSlots(10)
    for n in range(10_000):
        slots.admit_request(f"10.{n}.0.0/24", START)
    assert len(slots._networks) <= 4_097


def connections_by_network(slots: ConnectionSlots) -> int:
    return sum(network.connections for network in slots._networks.values())


def test_a_slot_taken_while_the_table_was_full_is_released_where_it_was_counted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against slots that no disconnect releases: in the end no client may connect."""
    monkeypatch.setattr(connection_slots, "MAX_NETWORKS", 2)
    slots = ConnectionSlots(10)
    for name in ("a", "b"):
        assert slots.admit_request(name, START)
    assert slots.try_connect("late", START)  # counted with the other networks
    later = START + ACTIVE_DURATION
    assert slots.try_connect("late", later)  # has an entry of its own by now
    for remaining in (1, 0):
        slots.disconnect("late")
        assert slots.connections == connections_by_network(slots) == remaining


@pytest.mark.parametrize("seed", range(4))
def test_every_slot_is_released_while_networks_come_and_go(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against slots that no disconnect releases, with a table of three networks."""
    monkeypatch.setattr(connection_slots, "MAX_NETWORKS", 3)
    rng, slots, now = random.Random(seed), ConnectionSlots(20), START
    connected: list[str] = []
    for _ in range(5_000):
        now += int(rng.expovariate(1.0) * SECOND)
        name = f"10.{rng.randrange(12)}.0.0/24"
        if rng.random() < 0.5 and slots.try_connect(name, now):
            connected.append(name)
        elif rng.random() < 0.5:
            slots.admit_request(name, now)
        if connected and rng.random() < 0.4:
            slots.disconnect(connected.pop(rng.randrange(len(connected))))
        assert slots.connections == connections_by_network(slots) == len(connected)
        assert len(slots._networks) <= 4
    for name in connected:
        slots.disconnect(name)
    assert slots.connections == connections_by_network(slots) == 0
