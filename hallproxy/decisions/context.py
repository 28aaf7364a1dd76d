"""The state that all rules share: the settings, the time, and the actions decided so far."""

from __future__ import annotations

from dataclasses import dataclass, field

from hallproxy.decisions.units import SECOND
from hallproxy.interface import Action, EndpointId, Log, Settings

LOG_INTERVAL = SECOND  # ns between two log lines of one subsystem


@dataclass(slots=True, eq=False)
class DecisionContext:
    """The router's settings, its current time (ns) and the actions of the current call."""

    settings: Settings
    zone_gateways: int  # gateways that share the zone, this one included
    now: int = 0
    actions: list[Action] = field(default_factory=list)
    logged_at: dict[str, int] = field(default_factory=dict)  # subsystem -> ns

    def log(self, subsystem: str, text: str) -> None:
        """Emit a log line; further lines of the subsystem within LOG_INTERVAL are dropped."""
        if self.now - self.logged_at.get(subsystem, -LOG_INTERVAL) >= LOG_INTERVAL:
            self.logged_at[subsystem] = self.now
            self.actions.append(Log(f"{subsystem}: {text}"))


def printable_id(endpoint_id: EndpointId) -> str:
    """Return an endpoint's id for the log: as text where it is printable, else in hex."""
    if endpoint_id.isascii() and endpoint_id.decode().isprintable():
        return endpoint_id.decode()
    return endpoint_id.hex()
