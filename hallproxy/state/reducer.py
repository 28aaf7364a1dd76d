"""The one place where state changes: ``reduce(state, event) -> effects``.

It imports no socket and no clock. What is decided about a request (which store, which source, what rank,
when to give up) is the module's; here its words become attempts, connections and answers, and what came of
them goes back to it.
"""

from __future__ import annotations

from hallproxy import interface as i
from hallproxy.state import calls, links, teams
from hallproxy.state.effects import Effect, Say, Wake
from hallproxy.state.events import (
    Answered,
    Arrived,
    AttemptDue,
    CallDue,
    CallerLeft,
    ContractsTold,
    Due,
    Event,
    Lagged,
    LinkDown,
    LinkDue,
    LinkUp,
    MembersTold,
    NewsHeard,
    OtherEvent,
    PurgeTold,
    Reconfigured,
    Stopping,
    TurnDue,
)
from hallproxy.state.model import State


def reduce(state: State, event: Event) -> list[Effect]:
    """Take one event; say what is to be done about it, in order."""
    state.now = max(state.now, event.at)
    state.purges.forget(_out_since(state))
    match event:
        case Arrived():
            calls.arrived(state, event)
        case CallerLeft():
            calls.left(state, event.caller)
        case Answered():
            links.answered(state, event)
        case LinkUp():
            links.up(state, event.link)
        case LinkDown():
            links.down(state, event.link, event.unused, event.exhausted)
        case AttemptDue():
            links.attempt_due(state, event.attempt)
        case CallDue():
            calls.due(state, event.call)
        case TurnDue():
            teams.turn_due(state, event.call)
        case LinkDue():
            links.due(state, event.link)
        case Due():
            state.told.append(i.TimerFired(event.token))
        case MembersTold():
            _members(state, event)
        case PurgeTold():
            _purge(state, event)
        case NewsHeard():
            state.heard_at = max(state.heard_at, event.at)
        case ContractsTold():
            teams.told(state, event)
        case Lagged() if state.broker is not None:
            state.broker.capacity.lagged(event.lag)
        case Reconfigured():
            _reconfigured(state, event)
        case Stopping():
            calls.stopping(state, event)
        case OtherEvent() if state.files is not None:
            state.files.take(state, event)
    _consult(state)
    while state.broker is not None and teams.start_waiting(state):
        _consult(state)
    effects, state.effects = state.effects, []
    return effects


def _consult(state: State) -> None:
    """Hand the module what it has not heard yet, and carry out its words, until it has no more to say."""
    while state.told:
        events = list(state.told)
        state.told.clear()
        for action in state.router.handle(state.now, events):
            match action:
                case i.Get():
                    links.attempt(state, action)
                case i.Cancel():
                    links.cancel(state, action.request, action.attempt)
                case i.Refuse():
                    calls.refuse(state, action.request, action.retry_after)
                case i.Fail():
                    calls.fail(state, action.request)
                case i.SetTimer():
                    state.effects.append(Wake(Due(action.at, action.token)))
                case i.Log():
                    state.effects.append(Say(action.text))
                case _:  # probes and subscriptions: nothing here answers them
                    pass


def _reconfigured(state: State, event: Reconfigured) -> None:
    """New figures from here on. What is open keeps what it was opened with."""
    state.settings = event.settings
    state.purges.configure(event.settings, state.now)
    state.bound(event.bounds)
    state.told.append(i.SettingsChanged(event.settings))


def _members(state: State, event: MembersTold) -> None:
    for server in state.members.change(event.change, event.addresses):
        links.drop_idle(state, server)
        state.heard.pop(server, None)
    state.told.append(event.change)


def _out_since(state: State) -> int:
    """When the first was sent of the attempts that are out; now, where none is."""
    first = next(iter(state.attempts.values()), None)
    return state.now if first is None else first.sent_at


def _purge(state: State, event: PurgeTold) -> None:
    counted = event.counted or event.purged
    state.purges.add(event.object, event.group, event.purged, counted, state.now)
    state.copies.purge(event.object, event.group, event.purged)
    state.absent.purge(event.object, event.group, event.purged)
    if state.files is not None:
        state.files.purge(state, event.object, event.group)
    state.told.append(i.Purge(event.object, event.group, max(0, state.now - counted)))
