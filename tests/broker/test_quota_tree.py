"""The tree of organisations, teams and contracts, with its bound so small that each new node prunes it."""

from __future__ import annotations

import random
from collections.abc import Iterator

import pytest

from hallproxy.broker import quota_tree
from hallproxy.broker.fair_queue import FairQueue
from hallproxy.broker.quota_tree import QuotaNode, QuotaPath

MS, SECOND = 10**6, 10**9
START = 1_700_000_000 * SECOND
EXPECTED_DURATION = 10 * MS
SMALL_BOUND = 4  # nodes


def nodes_below(node: QuotaNode) -> Iterator[QuotaNode]:
    for child in node.children.values():
        yield child
        yield from nodes_below(child)


def check_tree(queue: FairQueue, leaves: dict[int, QuotaNode]) -> None:
    """Weights and counts of each node are the sums of its children's; every node in use is in the tree."""
    root = queue.tree.root
    nodes = [root, *nodes_below(root)]
    for node in nodes:
        active = {child.name: child for child in node.children.values() if child.is_active}
        assert dict(node.active_children) == active
        assert node.active_weight == pytest.approx(sum(child.weight for child in active.values()))
        if node.children:
            assert node.in_use == sum(child.in_use for child in node.children.values())
            assert node.queued == sum(child.queued for child in node.children.values())
        assert list(node.queued_children) == sorted(
            (child for child in node.children.values() if child.queued),
            key=lambda child: (child.start_tag, child.sequence),
        )
    in_tree = set(nodes)
    assert all(leaf in in_tree for leaf in leaves.values())


def test_a_request_is_counted_on_a_node_of_the_tree(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against the bound's pruning dropping the node of the very request that it was created for."""
    monkeypatch.setattr(quota_tree, "MAX_NODES", SMALL_BOUND)
    queue = FairQueue()
    queue.limit = 100
    now = START
    for request_id in range(4_000):
        now += 10 * MS
        team = f"team{request_id * 7919 % 23}" if request_id <= 3_000 else "team0"
        leaf = queue.tree.leaf((("all", 1.0), (team, 1.0)), now)
        queue.tree.mark_active(leaf, now)
        assert queue.try_grant(leaf, request_id, EXPECTED_DURATION, now)
        check_tree(queue, {request_id: leaf})
        queue.release(request_id, now)
    assert queue.quota(leaf) == 100.0  # alone for 10 s


@pytest.mark.parametrize("seed", range(6))
def test_weights_and_counts_hold_while_each_new_node_prunes_the_tree(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against nodes that are pruned while a request is queued or has its slot there."""
    monkeypatch.setattr(quota_tree, "MAX_NODES", SMALL_BOUND)
    rng = random.Random(seed)
    queue = FairQueue()
    queue.limit = 5
    now, queued, granted = START, dict[int, QuotaNode](), dict[int, QuotaNode]()
    for request_id in range(3_000):
        now += int(rng.expovariate(1.0) * 50 * MS) + (8 * SECOND if rng.random() < 0.005 else 0)
        leaf = queue.tree.leaf(random_path(rng), now)
        queue.tree.mark_active(leaf, now)
        if queue.try_grant(leaf, request_id, EXPECTED_DURATION, now):
            granted[request_id] = leaf
        elif queue.enqueue(leaf, request_id, EXPECTED_DURATION):
            queued[request_id] = leaf
        if queued and rng.random() < 0.2:
            cancelled = rng.choice(list(queued))
            assert queue.cancel(cancelled)
            del queued[cancelled]
        while granted and rng.random() < 0.55:
            released = rng.choice(list(granted))
            del granted[released]
            queue.release(released, now)
            while (next_id := queue.dequeue(now)) is not None:
                granted[next_id] = queued.pop(next_id)
        if rng.random() < 0.02:
            queue.tree.forget_unused(now)
        check_tree(queue, queued | granted)
        assert queue.in_use == len(granted) and queue.queued == len(queued)


def random_path(rng: random.Random) -> QuotaPath:
    """A team with or without an organisation, and one of its contracts; weights change now and then."""
    team = (f"team{rng.randrange(9)}", rng.choice((1.0, 1.0, 1.0, 2.5)))
    contract = (f"service{rng.randrange(2)}", 1.0)
    if rng.random() < 0.5:
        return team, contract
    return (f"@org{rng.randrange(3)}", 2.0), (f"member-{team[0]}", team[1]), contract
