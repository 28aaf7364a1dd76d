"""The tree of organisations, teams and contracts among which slots are shared by weight.

A node is active, and counts in its parent's total weight, from a request on until it has nothing in use or
queued and has had no request for ``ACTIVE_DURATION``.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sortedcontainers import SortedKeyList

SECOND = 1_000_000_000  # ns
ACTIVE_DURATION = 3 * SECOND  # ns since its last request
DEMAND_SMOOTHING = 0.05  # weight of the latest request
MAX_NODES = 20_000  # beyond it unused nodes are dropped at the next request
QuotaPath = tuple[tuple[str, float], ...]  # name and weight of each level, from the top down


@dataclass(slots=True, eq=False)
class QuotaNode:
    """An organisation, a team or a contract; a contract is a leaf.

    Attributes:
        sequence: order of creation, which breaks ties between start tags.
        start_tag: virtual time at which its next grant starts.
        virtual_time: of its children: the start tag of the last grant.
        in_use: slots in use below it.
        demand: slots that it needs, smoothed over its requests.
        queued: requests queued below it.
        last_request_at: ns.
        is_active: whether it counts in its parent's ``active_weight``.
        active_children: by name, the one with the oldest request first.
        queued_children: those with queued requests, by start tag.
        request_ids: queued requests of a leaf.
    """

    name: str
    weight: float
    parent: QuotaNode | None
    sequence: int = 0
    start_tag: float = 0.0
    virtual_time: float = 0.0
    in_use: int = 0
    demand: float = 0.0
    queued: int = 0
    last_request_at: int = 0
    is_active: bool = False
    children: dict[str, QuotaNode] = field(default_factory=dict)
    active_children: OrderedDict[str, QuotaNode] = field(default_factory=OrderedDict)
    active_weight: float = 0.0
    queued_children: SortedKeyList = field(default_factory=lambda: _sorted_by_start_tag())
    request_ids: deque[int] = field(default_factory=deque)

    def deactivate_idle_children(self, now: int) -> None:
        """Deactivate children without recent requests; amortised, one step for each request."""
        while self.active_children:
            child = next(iter(self.active_children.values()))
            if now - child.last_request_at < ACTIVE_DURATION:
                return
            del self.active_children[child.name]
            if child.in_use or child.queued:
                child.last_request_at = now
                self.active_children[child.name] = child
                continue
            child.is_active = False
            self.active_weight -= child.weight
            if not self.active_children:
                self.active_weight = 0.0  # clears rounding errors

    def set_weight(self, weight: float) -> None:
        """Change the weight, also in the parent's total."""
        if self.is_active and self.parent is not None:
            self.parent.active_weight += weight - self.weight
        self.weight = weight


def _sorted_by_start_tag() -> SortedKeyList:
    # Imported here: a gateway without contracts must not pay for it.
    from sortedcontainers import SortedKeyList

    return SortedKeyList(key=_dispatch_order)


def _dispatch_order(node: QuotaNode) -> tuple[float, int]:
    return node.start_tag, node.sequence


class QuotaTree:
    """The nodes in use, from ``root`` down."""

    def __init__(self) -> None:
        self.root = QuotaNode("", 1.0, None)
        self._created = 0
        self._node_count = 0
        self._max_nodes = MAX_NODES

    def leaf(self, path: QuotaPath, now: int) -> QuotaNode:
        """The node of a contract, created where it is new; the path's weights apply from now on.

        A tree over its bound is pruned first: nodes that are new here are not active before ``mark_active``.
        """
        if self._node_count > self._max_nodes:
            self.forget_unused(now)
        node = self.root
        for name, weight in path:
            child = node.children.get(name)
            if child is None:
                child = self._create(node, name, weight)
            elif child.weight != weight:
                child.set_weight(weight)
            node = child
        return node

    def mark_active(self, leaf: QuotaNode, now: int) -> None:
        """Record a request of the leaf: it and the nodes above it are active."""
        node = leaf
        while (parent := node.parent) is not None:
            node.last_request_at = now
            node.demand += DEMAND_SMOOTHING * (node.in_use + 1 - node.demand)
            if not node.is_active:
                node.is_active = True
                parent.active_weight += node.weight
                node.start_tag = max(node.start_tag, parent.virtual_time)
            parent.active_children[node.name] = node
            parent.active_children.move_to_end(node.name)
            parent.deactivate_idle_children(now)
            node = parent

    def quota(self, node: QuotaNode, slots: int) -> float:
        """The node's quota of so many slots, among the nodes that are active now."""
        quota = float(slots)
        while (parent := node.parent) is not None:
            quota *= node.weight / max(node.weight, parent.active_weight)
            node = parent
        return quota

    def forget_unused(self, now: int) -> None:
        """Drop inactive nodes with nothing in use or queued, which bounds the tree."""
        self._node_count = self._prune(self.root, now)
        # Twice what remains: pruning again at each new node would cost too much.
        self._max_nodes = max(MAX_NODES, 2 * self._node_count)

    def _create(self, parent: QuotaNode, name: str, weight: float) -> QuotaNode:
        self._created += 1
        node = parent.children[name] = QuotaNode(name, weight, parent, self._created)
        self._node_count += 1
        return node

    def _prune(self, node: QuotaNode, now: int) -> int:
        """Prune below the node; return how many nodes are left below it."""
        node.deactivate_idle_children(now)
        remaining = 0
        for name, child in list(node.children.items()):
            below = self._prune(child, now)
            is_used = child.in_use or child.queued or child.is_active or below
            if not is_used and child.start_tag <= node.virtual_time:
                del node.children[name]  # created anew, it would have the same start tag
            else:
                remaining += 1 + below
        return remaining
