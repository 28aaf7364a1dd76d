"""Weighted fair queueing of requests for slots, over a tree of organisations, teams and contracts.

A slot is in use for as long as its request is in flight, so what is shared is slot time: large bodies and
slow responses count against those who request them. At each node of the tree the child with the earliest
start tag goes first. A grant advances the tag by the expected slot time over the weight, and the release
corrects it by the difference to the actual slot time: start-time fair queueing with several slots, as
published for SFQ(D). An idle team earns nothing: with its next request its tag is raised to the node's
virtual time.

Slots may be lent beyond a team's quota except for a reserve: one in eight stays free for teams below their
quota while another team is active, so that a returning team need not wait for a release. After that, a team
below its quota has the next slot that is released.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from itertools import islice

from hallproxy.broker.quota_tree import QuotaNode, QuotaTree

RESERVED_DIVISOR = 8  # one slot in so many is not lent
MAX_EXAMINED_TEAMS = 32  # up to which each team's demand, or place in the queue, is examined
MAX_QUEUED = 256  # requests of one contract


@dataclass(slots=True)
class _Slot:
    leaf: QuotaNode
    granted_at: int  # ns
    expected_duration: int  # ns


@dataclass(slots=True)
class _QueuedRequest:
    leaf: QuotaNode
    expected_duration: int  # ns


class FairQueue:
    """Slots granted and requests queued for one.

    ``try_grant`` grants a slot at once, or the request is queued with ``enqueue``; ``release`` frees the
    slot and ``dequeue`` grants it to a queued request.

    Attributes:
        tree: the contracts that share the slots.
        limit: slots.
    """

    def __init__(self) -> None:
        self.tree = QuotaTree()
        self.limit = 1
        self._slots: dict[int, _Slot] = {}  # by request id
        self._queued: dict[int, _QueuedRequest] = {}  # by request id

    @property
    def in_use(self) -> int:
        """Slots in use."""
        return self.tree.root.in_use

    @property
    def queued(self) -> int:
        """Requests queued."""
        return self.tree.root.queued

    def quota(self, node: QuotaNode) -> float:
        """Slots of the node's quota."""
        return self.tree.quota(node, self.limit)

    def expected_slots(self, leaf: QuotaNode) -> float:
        """Slots that the leaf can count on: its quota, or what it has in use if that is more."""
        return max(self.quota(leaf), float(leaf.in_use))

    def try_grant(self, leaf: QuotaNode, request_id: int, expected_duration: int, now: int) -> bool:
        """Grant a slot at once, if one is available and no request of the contract is queued."""
        self.tree.root.deactivate_idle_children(now)
        if leaf.queued or not self._may_grant(_top_level(leaf)):
            return False
        self._grant(leaf, request_id, expected_duration, now)
        return True

    def enqueue(self, leaf: QuotaNode, request_id: int, expected_duration: int) -> bool:
        """Queue a request; False: the contract's queue is full."""
        if len(leaf.request_ids) >= MAX_QUEUED:
            return False
        leaf.request_ids.append(request_id)
        self._queued[request_id] = _QueuedRequest(leaf, expected_duration)
        _add_queued(leaf, 1)
        return True

    def cancel(self, request_id: int) -> bool:
        """Remove a request from its queue; False: it was not queued."""
        request = self._queued.pop(request_id, None)
        if request is None:
            return False
        request.leaf.request_ids.remove(request_id)
        _add_queued(request.leaf, -1)
        return True

    def dequeue(self, now: int) -> int | None:
        """Grant a slot to the next queued request; None: no slot or no request may have one."""
        root = self.tree.root
        root.deactivate_idle_children(now)
        if root.in_use >= self.limit:
            return None
        # Teams further back have had more than their quota and would hardly be granted a slot.
        first_teams = islice(root.queued_children, MAX_EXAMINED_TEAMS)
        top_level = next((team for team in first_teams if self._may_grant(team)), None)
        if top_level is None:
            return None
        leaf = _first_queued_leaf(top_level)
        request_id = leaf.request_ids.popleft()
        request = self._queued.pop(request_id)
        _add_queued(leaf, -1)
        self._grant(leaf, request_id, request.expected_duration, now)
        return request_id

    def release(self, request_id: int, now: int) -> int:
        """Free the request's slot; return how long (ns) it was in use. 0: the request had none."""
        slot = self._slots.pop(request_id, None)
        if slot is None:
            return 0
        duration = max(0, now - slot.granted_at)
        node = slot.leaf
        while (parent := node.parent) is not None:
            node.in_use -= 1
            _advance_start_tag(node, parent, duration - slot.expected_duration)
            node = parent
        node.in_use -= 1  # the root
        return duration

    def _grant(self, leaf: QuotaNode, request_id: int, expected_duration: int, now: int) -> None:
        self._slots[request_id] = _Slot(leaf, now, expected_duration)
        node = leaf
        while (parent := node.parent) is not None:
            node.in_use += 1
            parent.virtual_time = max(parent.virtual_time, node.start_tag)
            _advance_start_tag(node, parent, expected_duration)
            node = parent
        node.in_use += 1  # the root

    def _may_grant(self, top_level: QuotaNode) -> bool:
        """Whether a request below this child of the root may have a slot now."""
        in_use = self.tree.root.in_use
        if in_use >= self.limit:
            return False
        if top_level.in_use + 1 <= max(1.0, self.quota(top_level)):
            return True
        return in_use < self.limit - self._reserved_from(top_level)

    def _reserved_from(self, borrower: QuotaNode) -> int:
        """Slots that are not lent to the borrower: the demand of the other teams, and a minimum.

        Teams with queued requests need no reserve: the next slot goes by start tag.
        """
        root = self.tree.root
        teams_without_queue = len(root.active_children) - len(root.queued_children) - (not borrower.queued)
        if teams_without_queue <= 0 or self.limit <= 1:
            return 0
        minimum = -(-self.limit // RESERVED_DIVISOR)
        if len(root.active_children) > MAX_EXAMINED_TEAMS:
            return min(minimum, teams_without_queue)  # the demand of so many evens out
        demand = sum(
            self._unused_demand(team)
            for team in root.active_children.values()
            if team is not borrower and not team.queued
        )
        return max(minimum, demand)

    def _unused_demand(self, team: QuotaNode) -> int:
        """Slots that the team is likely to need, within its quota, beyond those in use."""
        return max(0, int(min(self.quota(team), math.ceil(team.demand)) - team.in_use))


def _top_level(leaf: QuotaNode) -> QuotaNode:
    """The child of the root that the leaf is below."""
    node = leaf
    while node.parent is not None and node.parent.parent is not None:
        node = node.parent
    return node


def _first_queued_leaf(node: QuotaNode) -> QuotaNode:
    """The leaf below the node whose request is next."""
    while node.children and node.queued_children:
        node = node.queued_children[0]
    return node


def _advance_start_tag(node: QuotaNode, parent: QuotaNode, slot_time: int) -> None:
    """Advance the start tag, and keep the order of the parent's queued children."""
    if node.queued:
        parent.queued_children.remove(node)
    node.start_tag += slot_time / node.weight
    if node.queued:
        parent.queued_children.add(node)


def _add_queued(leaf: QuotaNode, change: int) -> None:
    """Count a request in or out of the queues of the leaf and the nodes above it."""
    node = leaf
    while (parent := node.parent) is not None:
        was_queued = node.queued
        if was_queued and not was_queued + change:
            parent.queued_children.remove(node)
        node.queued = was_queued + change
        if not was_queued and node.queued:
            node.start_tag = max(node.start_tag, parent.virtual_time)
            parent.queued_children.add(node)
        node = parent
    node.queued += change  # the root
