"""The endpoint table: statistics by id, and the ready endpoints by their role."""

from __future__ import annotations

import random

from hallproxy.decisions.context import DecisionContext
from hallproxy.decisions.endpoint_statistics import EndpointStatistics
from hallproxy.decisions.fill_shares import assign_fill_shares
from hallproxy.decisions.hashing import MASK_64, endpoint_hash
from hallproxy.decisions.units import NEVER, SECOND
from hallproxy.interface import (
    Endpoint,
    EndpointId,
    EndpointListKind,
    EndpointsChanged,
    EndpointState,
    PollEndpointList,
)

POLL_RETRY_INTERVAL = SECOND  # ns before a failed poll is repeated, plus random jitter up to as much again
GOLDEN_RATIO = 0.6180339887  # its multiples are evenly spaced modulo 1, however many there are


class EndpointTable:
    """The listed endpoints; applies changes of the list."""

    def __init__(self, context: DecisionContext, seed: int) -> None:
        self._context = context
        self._random = random.Random(seed)
        self.by_id: dict[EndpointId, EndpointStatistics] = {}
        self.caches: list[EndpointStatistics] = []  # ready, of the gateway's zone, by id
        self.source_tiers: list[list[EndpointStatistics]] = []  # ready: nearest parents first, origins last
        self.poll_at = 0 if context.settings.polls_endpoint_list else NEVER  # ns

    def apply(self, change: EndpointsChanged) -> None:
        """Apply a change of the list; a failed poll is repeated later."""
        if change.kind is EndpointListKind.FAILED:
            self._repeat_poll()
            return
        if change.kind is not EndpointListKind.DELTA:
            listed = {endpoint.id for endpoint in change.endpoints}
            self.by_id = {name: peer for name, peer in self.by_id.items() if name in listed}
        for endpoint in change.endpoints:
            self._update(endpoint)
        self.assign_roles()

    def poll_if_due(self) -> None:
        """Poll the list when the poll is due."""
        if self._context.now >= self.poll_at:
            self.poll_at = NEVER
            self._context.actions.append(PollEndpointList())

    def parents(self) -> list[EndpointStatistics]:
        """Return the ready parents, the nearest tier first."""
        return [parent for tier in self.source_tiers[:-1] for parent in tier]

    def sources(self) -> list[EndpointStatistics]:
        """Return the ready fill sources, the nearest tier first and the origins last."""
        return [source for tier in self.source_tiers for source in tier]

    def assign_roles(self) -> None:
        """Sort the ready endpoints into caches and tiers of fill sources."""
        settings = self._context.settings
        ready = [p for p in self.by_id.values() if p.endpoint.state is EndpointState.READY]
        ready.sort(key=lambda p: p.endpoint.id)
        source_kinds = (settings.parent_kind, settings.origin_kind)
        self.caches = [
            p for p in ready if p.endpoint.zone == settings.zone and p.endpoint.kind not in source_kinds
        ]
        parents = [p for p in ready if p.endpoint.kind == settings.parent_kind]
        origins = [p for p in ready if p.endpoint.kind == settings.origin_kind]
        self.source_tiers = [*assign_fill_shares(settings, parents), origins]

    def _repeat_poll(self) -> None:
        if self._context.settings.polls_endpoint_list:
            jitter = int(self._random.random() * POLL_RETRY_INTERVAL)
            self.poll_at = self._context.now + POLL_RETRY_INTERVAL + jitter

    def _update(self, endpoint: Endpoint) -> None:
        """Apply one entry of the list; a process that restarted starts with new statistics."""
        known = self.by_id.get(endpoint.id)
        if endpoint.state is EndpointState.GONE:
            self.by_id.pop(endpoint.id, None)
        elif known is None or endpoint.started_at != known.endpoint.started_at:
            self.by_id[endpoint.id] = self._new_statistics(endpoint)
        else:
            known.endpoint = endpoint

    def _new_statistics(self, endpoint: Endpoint) -> EndpointStatistics:
        """Create statistics whose slow-start budget starts at a phase that differs by gateway."""
        hash_seed = endpoint_hash(endpoint.id)
        phase = (self._context.settings.gateway_index * GOLDEN_RATIO + hash_seed / MASK_64) % 1.0
        return EndpointStatistics(
            endpoint, hash_seed, slow_start_budget=phase, budget_updated_at=endpoint.started_at
        )
