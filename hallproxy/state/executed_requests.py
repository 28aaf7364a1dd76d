"""The ids of requests that may have executed and must not execute again."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

MAX_IDS = 8_192


@dataclass(slots=True)
class ExecutedRequests:
    """The latest ``max_ids`` ids, the oldest forgotten first."""

    max_ids: int = MAX_IDS
    _ids: OrderedDict[str, None] = field(default_factory=OrderedDict)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._ids

    def __len__(self) -> int:
        return len(self._ids)

    def add(self, request_id: str) -> None:
        """Remember an id."""
        self._ids[request_id] = None
        if len(self._ids) > self.max_ids:
            self._ids.popitem(last=False)
