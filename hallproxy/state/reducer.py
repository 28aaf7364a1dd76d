"""The one place where state changes: ``reduce(state, event) -> effects``.

It uses no socket and no clock. The router decides about a request (which endpoint, which source, what cache
rank, when to give up). The reducer turns its actions into attempts, connections and responses, and reports
their outcomes to it as events.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from hallproxy import interface as i
from hallproxy.state import admission, attempts, connection_events, connection_pool, requests
from hallproxy.state.effects import Effect, LogRecord, ScheduleTimer
from hallproxy.state.events import (
    AttemptTimerDue,
    ConnectionClosed,
    ConnectionOpened,
    ConnectionTimerDue,
    ContractsUpdated,
    DownstreamClosed,
    EndpointListUpdated,
    Event,
    EventLoopLagged,
    ExtensionEvent,
    PurgeNotified,
    QueueTimerDue,
    Reconfigured,
    RequestReceived,
    RequestTimerDue,
    ResponseReceived,
    RouterTimerDue,
    ShutdownStarted,
    WatchCaughtUp,
    WatchFailed,
    WatchPolled,
)
from hallproxy.state.model import GatewayState


def reduce(state: GatewayState, event: Event) -> list[Effect]:
    """Apply one event to the state; return the effects to carry out, in order."""
    state.now = max(state.now, event.at)
    state.purges.expire(state.now, _oldest_attempt_at(state))
    EVENT_HANDLERS.get(type(event), _extension_event)(state, event)
    _run_router(state)
    while state.broker is not None and admission.start_queued(state):
        _run_router(state)
    effects, state.effects = state.effects, []
    return effects


def _oldest_attempt_at(state: GatewayState) -> int:
    """When (ns) the oldest attempt in flight was started; now, if there is none."""
    oldest = next(iter(state.attempts.values()), None)
    return state.now if oldest is None else oldest.started_at


def _run_router(state: GatewayState) -> None:
    """Hand the router its pending events and carry out its actions, until there are no more of either."""
    while state.pending_events:
        events = list(state.pending_events)
        state.pending_events.clear()
        for action in state.router.handle(state.now, events):
            handler = ACTION_HANDLERS.get(type(action))
            if handler is not None:
                handler(state, action)


def _router_timer_due(state: GatewayState, event: RouterTimerDue) -> None:
    state.pending_events.append(i.TimerFired(event.token))


def _endpoint_list_updated(state: GatewayState, event: EndpointListUpdated) -> None:
    for endpoint in state.endpoints.apply(event.change, event.addresses):
        connection_pool.close_idle(state, endpoint)
        state.last_heard_at.pop(endpoint, None)
    state.pending_events.append(event.change)


def _purge_notified(state: GatewayState, event: PurgeNotified) -> None:
    age_counted_from = event.age_counted_from or event.purged_at
    state.purges.add(event.object, event.group, event.purged_at, age_counted_from, state.now)
    state.local_cache.purge(event.object, event.group, event.purged_at)
    state.negative_cache.purge(event.object, event.group, event.purged_at)
    if state.file_cache is not None:
        state.file_cache.purge(event.object, event.group)
    age = max(0, state.now - age_counted_from)
    state.pending_events.append(i.ObjectPurged(event.object, event.group, age))


def _watch_caught_up(state: GatewayState, event: WatchCaughtUp) -> None:
    state.watch.caught_up(event.at)


def _watch_polled(state: GatewayState, event: WatchPolled) -> None:
    state.watch.polled(event.at, event.wait, state.settings.purge_grace)


def _watch_failed(state: GatewayState, event: WatchFailed) -> None:
    state.watch.failed(event.at, event.failure)


def _event_loop_lagged(state: GatewayState, event: EventLoopLagged) -> None:
    if state.broker is not None:
        state.broker.concurrency_limits.event_loop_lagged(event.lag)


def _reconfigured(state: GatewayState, event: Reconfigured) -> None:
    """Apply new settings and limits. Requests in flight keep their deadlines."""
    state.settings = event.settings
    state.purges.configure(event.settings, state.now)
    state.apply_limits(event.limits)
    state.pending_events.append(i.SettingsChanged(event.settings))


def _extension_event(state: GatewayState, event: ExtensionEvent) -> None:
    if state.file_cache is not None:
        state.file_cache.handle(event)


def _set_timer(state: GatewayState, action: i.SetTimer) -> None:
    state.effects.append(ScheduleTimer(RouterTimerDue(action.at, action.token)))


def _log(state: GatewayState, action: i.Log) -> None:
    state.effects.append(LogRecord(action.text))


# Each handler takes the state and an event of the type it is listed under; extension events are not listed.
EVENT_HANDLERS: dict[type[Any], Callable[[GatewayState, Any], None]] = {
    RequestReceived: requests.receive,
    DownstreamClosed: requests.downstream_closed,
    ResponseReceived: connection_events.response_received,
    ConnectionOpened: connection_events.opened,
    ConnectionClosed: connection_events.closed,
    AttemptTimerDue: attempts.timer_due,
    RequestTimerDue: requests.timer_due,
    QueueTimerDue: admission.queue_timer_due,
    ConnectionTimerDue: connection_events.timer_due,
    RouterTimerDue: _router_timer_due,
    EndpointListUpdated: _endpoint_list_updated,
    PurgeNotified: _purge_notified,
    WatchCaughtUp: _watch_caught_up,
    WatchPolled: _watch_polled,
    WatchFailed: _watch_failed,
    ContractsUpdated: admission.update_contracts,
    EventLoopLagged: _event_loop_lagged,
    Reconfigured: _reconfigured,
    ShutdownStarted: requests.start_shutdown,
}

# ``CheckHealth`` and ``PollEndpointList`` are not listed: the gateway follows the change log instead.
ACTION_HANDLERS: dict[type[Any], Callable[[GatewayState, Any], None]] = {
    i.StartAttempt: attempts.start,
    i.CancelAttempt: attempts.cancel,
    i.Reject: requests.reject,
    i.Fail: requests.fail,
    i.SetTimer: _set_timer,
    i.Log: _log,
}
