"""The endpoint list as last received from the change log, and the address of each endpoint's process."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from hallproxy import interface as i


class EndpointProcess(NamedTuple):
    """One incarnation of an endpoint: a restart or a move to another address starts a new one."""

    address: str
    started_at: int  # ns


UNLISTED = EndpointProcess("", 0)


@dataclass(slots=True)
class EndpointList:
    """The endpoints by their ids. ``processes`` has the same keys as ``by_id``."""

    by_id: dict[bytes, i.Endpoint] = field(default_factory=dict)
    processes: dict[bytes, EndpointProcess] = field(default_factory=dict)

    def apply(self, change: i.EndpointsChanged, addresses: tuple[str, ...]) -> list[bytes]:
        """Apply a change of the list; return the endpoints whose open connections are no longer valid.

        If the change names an endpoint several times, the last one applies.
        """
        missing = self._missing_from(change)
        for endpoint_id in missing:
            self._remove(endpoint_id)
        invalidated = dict.fromkeys(missing)  # without repeats, in order
        for endpoint, address in zip(change.endpoints, addresses, strict=True):
            process = EndpointProcess(address, endpoint.started_at)
            moved = self.processes.get(endpoint.id, process) != process
            if moved or endpoint.state is i.EndpointState.GONE:
                invalidated[endpoint.id] = None
            self.by_id[endpoint.id] = endpoint
            self.processes[endpoint.id] = process
        for endpoint in change.endpoints:
            known = self.by_id.get(endpoint.id)
            if known is not None and known.state is i.EndpointState.GONE:
                self._remove(endpoint.id)
        return list(invalidated)

    def _remove(self, endpoint_id: bytes) -> None:
        del self.by_id[endpoint_id], self.processes[endpoint_id]

    def _missing_from(self, change: i.EndpointsChanged) -> list[bytes]:
        """The known endpoints that a complete list no longer names."""
        if change.kind not in (i.EndpointListKind.FULL, i.EndpointListKind.CACHED):
            return []
        listed = {endpoint.id for endpoint in change.endpoints}
        return [endpoint_id for endpoint_id in self.by_id if endpoint_id not in listed]

    def process(self, endpoint_id: bytes) -> EndpointProcess:
        """The endpoint's current process; ``UNLISTED`` for an endpoint that is not in the list."""
        return self.processes.get(endpoint_id, UNLISTED)

    def is_ready(self, endpoint_id: bytes) -> bool:
        """Whether the endpoint is listed and takes requests."""
        endpoint = self.by_id.get(endpoint_id)
        return endpoint is not None and endpoint.state is i.EndpointState.READY
