"""The effect runner: it dispatches events to the reducer and performs the effects that it returns."""

from __future__ import annotations

import asyncio
import time
import traceback
from collections import deque
from collections.abc import Callable
from typing import Protocol

from hallproxy.run.log import log_line
from hallproxy.run.timer_queue import TimerQueue
from hallproxy.state.effects import (
    CloseConnection,
    Effect,
    ExtensionEffect,
    LogRecord,
    OpenConnection,
    ScheduleTimer,
    SendRequest,
    SendResponse,
)
from hallproxy.state.events import Event, Response, TimerEvent
from hallproxy.state.model import GatewayState
from hallproxy.state.reducer import reduce
from hallproxy.state.timers import is_timer_needed

# Turns of the event loop from a timer to its event: one that polls the sockets, as the turn of the timer may
# not have polled them (after a signal), one that wakes a reader, and one in which the reader has run.
TIMER_TURNS = 3


class UpstreamTransport(Protocol):
    """Upstream connections, by the reducer's ids."""

    def open(self, connection_id: int, address: str) -> None:
        """Connect to the address."""
        ...

    def send(self, connection_id: int, effect: SendRequest) -> None:
        """Send a request on an open connection."""
        ...

    def close(self, connection_id: int) -> None:
        """Close the connection at once."""
        ...


ResponseCallback = Callable[[Response], None]


class EffectRunner:
    """Owns the state. ``dispatch`` is the only entry of events; fronts register a callback per response."""

    def __init__(self, state: GatewayState) -> None:
        self.state = state
        self.connections: UpstreamTransport
        self.response_callbacks: dict[int, ResponseCallback] = {}
        self.extension_handler: Callable[[ExtensionEffect], None] = (
            lambda _: None
        )  # performs the effects of extensions
        self.timers = TimerQueue(lambda event: is_timer_needed(state, event), self._timer_due)
        self._events: deque[Event] = deque()
        self._dispatching = False
        self._last_downstream = 0
        self._last_time = 0  # Unix ns

    def now(self) -> int:
        """Unix ns by the system's clock, which all rules use; monotonic here."""
        self._last_time = max(self._last_time, time.time_ns())
        return self._last_time

    def register_downstream(self, callback: ResponseCallback) -> int:
        """Allocate a downstream number; ``callback`` is called once, with its response."""
        self._last_downstream += 1
        self.response_callbacks[self._last_downstream] = callback
        return self._last_downstream

    def dispatch(self, event: Event) -> None:
        """Reduce one event and perform its effects; events dispatched meanwhile are reduced after it."""
        self._events.append(event)
        if self._dispatching:
            return
        self._dispatching = True
        try:
            while self._events:
                event = self._events.popleft()
                try:
                    effects = reduce(self.state, event)
                except Exception as error:  # noqa: BLE001 - one event that fails must not stop the others
                    _log_fault(event, error)
                    continue
                for effect in effects:
                    try:
                        self._perform(effect)
                    except Exception as error:  # noqa: BLE001 - nor one effect the others of its event
                        _log_fault(effect, error)
        finally:
            self._dispatching = False

    def _perform(self, effect: Effect) -> None:
        match effect:
            case SendRequest():
                self.connections.send(effect.connection, effect)
            case SendResponse():
                callback = self.response_callbacks.pop(effect.downstream, None)
                if callback is not None:
                    callback(effect.response)
            case ScheduleTimer():
                self.timers.schedule(effect.event)
            case OpenConnection():
                self.connections.open(effect.connection, effect.address)
            case CloseConnection():
                self.connections.close(effect.connection)
            case LogRecord():
                log_line(effect.text)
            case ExtensionEffect():
                self.extension_handler(effect)

    def _timer_due(self, event: TimerEvent) -> None:
        self._dispatch_after(event, TIMER_TURNS)

    def _dispatch_after(self, event: Event, turns: int) -> None:
        """Dispatch the event some turns later, after what the sockets had received when its timer fired.

        A response, a cancellation or a close that is still unread in a socket precedes the timer, which must
        not act as if it had not arrived.
        """
        if turns:
            asyncio.get_running_loop().call_soon(self._dispatch_after, event, turns - 1)
        else:
            self.dispatch(event)


def _log_fault(subject: Event | Effect, error: Exception) -> None:
    where = traceback.extract_tb(error.__traceback__)[-1]
    what = f"{type(error).__name__}: {error} ({where.name}, line {where.lineno})"
    log_line(f"fault on {type(subject).__name__}: {what}")
