"""The ids of requests that may have executed and must not execute again."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

MAX_IDS = 8_192


@dataclass(slots=True)
class ExecutedRequests:
    """The latest ``max_ids`` ids, as the keys of ``ids``, the oldest first."""

    max_ids: int = MAX_IDS
    ids: OrderedDict[str, None] = field(default_factory=OrderedDict)

    def add(self, request_id: str) -> None:
        """Remember an id."""
        self.ids[request_id] = None
        if len(self.ids) > self.max_ids:
            self.ids.popitem(last=False)
