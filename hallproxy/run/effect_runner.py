"""The effect runner: it dispatches events to the reducer and performs the effects that it returns."""

from __future__ import annotations

import asyncio
import time
import traceback
from collections import deque
from collections.abc import Callable
from typing import Protocol

from hallproxy.run.log import log_line
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
from hallproxy.state.events import Event, Response
from hallproxy.state.model import GatewayState
from hallproxy.state.reducer import reduce

# Turns of the event loop from a timer to its event: one in which the sockets are looked at, as the timers may
# have been looked at alone (after a signal), one in which a reader is woken, and one in which it has run.
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
    """Owns the state: events enter by ``dispatch`` alone; fronts register a callback for each response."""

    def __init__(self, state: GatewayState) -> None:
        self.state = state
        self.connections: UpstreamTransport
        self.response_callbacks: dict[int, ResponseCallback] = {}
        self.extension_handler: Callable[[ExtensionEffect], None] = (
            lambda _: None
        )  # what does the effects of further parts
        self._events: deque[Event] = deque()
        self._dispatching = False
        self._last_downstream = 0
        self._last = 0

    def now(self) -> int:
        """The system's Unix clock in ns, which all rules are counted by; it never goes back here."""
        self._last = max(self._last, time.time_ns())
        return self._last

    def register_downstream(self, callback: ResponseCallback) -> int:
        """A new downstream number, whose response ``callback`` is called with, once."""
        self._last_downstream += 1
        self.response_callbacks[self._last_downstream] = callback
        return self._last_downstream

    def dispatch(self, event: Event) -> None:
        """Reduce one event and perform its effects; events that those cause are reduced after them."""
        self._events.append(event)
        if self._dispatching:
            return
        self._dispatching = True
        try:
            while self._events:
                event = self._events.popleft()
                try:
                    for effect in reduce(self.state, event):
                        self._perform(effect)
                except Exception as error:  # noqa: BLE001 - one event that fails must not stop the others
                    where = traceback.extract_tb(error.__traceback__)[-1]
                    what = f"{type(error).__name__}: {error} ({where.name}, line {where.lineno})"
                    log_line(f"fault on {type(event).__name__}: {what}")
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
                delay = max(0, effect.event.at - time.time_ns()) / 1e9
                asyncio.get_running_loop().call_later(delay, self._timer_due, effect.event)
            case OpenConnection():
                self.connections.open(effect.connection, effect.address)
            case CloseConnection():
                self.connections.close(effect.connection)
            case LogRecord():
                log_line(effect.text)
            case ExtensionEffect():
                self.extension_handler(effect)

    def _timer_due(self, event: Event) -> None:
        if event.at > time.time_ns():  # the loop's clock and the system's differ by a little
            asyncio.get_running_loop().call_later((event.at - time.time_ns()) / 1e9, self._timer_due, event)
        else:
            self._dispatch_after(event, TIMER_TURNS)

    def _dispatch_after(self, event: Event, turns: int) -> None:
        """What the sockets held when a timer fell due came before it: the event is brought behind that.

        An answer, a cancel or a close that lies there unread must not be overtaken by the timer that would
        do without it.
        """
        if turns:
            asyncio.get_running_loop().call_soon(self._dispatch_after, event, turns - 1)
        else:
            self.dispatch(event)
