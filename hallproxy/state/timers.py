"""Which scheduled timers still have something to act on."""

from __future__ import annotations

from hallproxy.state.events import (
    AttemptTimerDue,
    ConnectionTimerDue,
    QueueTimerDue,
    RequestTimerDue,
    TimerEvent,
)
from hallproxy.state.model import GatewayState


def is_timer_needed(state: GatewayState, event: TimerEvent) -> bool:
    """Whether the request, attempt or connection of the timer still exists; True for the router's own."""
    match event:
        case AttemptTimerDue():
            return event.attempt in state.attempts
        case RequestTimerDue() | QueueTimerDue():
            return event.request in state.requests
        case ConnectionTimerDue():
            return event.connection in state.connections
    return True
