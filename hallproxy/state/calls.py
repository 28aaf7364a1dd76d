"""Requests: taken, looked for among the own copies, and given exactly one answer."""

from __future__ import annotations

from hallproxy import interface as i
from hallproxy.state.effects import Reply
from hallproxy.state.events import Answer, Arrived, Verdict
from hallproxy.state.model import Call, State

BUSY_RETRY = 200_000_000  # ns of advice when more is open than the gateway may hold


def arrived(state: State, event: Arrived) -> None:
    asked = event.asked
    if len(state.callers) >= state.calls_most:
        # Guards memory: what is open is bounded, and over that a plain no costs least.
        state.effects.append(Reply(event.caller, Answer(Verdict.REFUSED, retry_after=BUSY_RETRY)))
        return
    call = Call(state.number(), event.caller, asked, state.now)
    state.calls[call.ident] = state.callers[event.caller] = call
    state.told.append(
        i.Request(
            call.ident,
            asked.cls,
            asked.left,
            asked.object,
            asked.part,
            asked.group,
            asked.size_kb,
            repeat=asked.repeat,
            write=asked.write,
        )
    )


def left(state: State, caller: int) -> None:
    """Nobody waits any more: no answer is owed, and what is out for it is given up."""
    call = state.callers.pop(caller, None)
    if call is not None:
        call.answered = True
        state.told.append(i.ClientGone(call.ident))
        forget(state, call)


def reply(state: State, call: Call, answer: Answer) -> None:
    """The final answer. A second one is never given, whoever asks for it."""
    if call.answered:
        return
    call.answered = True
    del state.callers[call.caller]
    state.effects.append(Reply(call.caller, answer))
    forget(state, call)


def refuse(state: State, ident: int, retry_after: int) -> None:
    call = state.calls.get(ident)
    if call is not None:
        reply(state, call, Answer(Verdict.REFUSED, retry_after=retry_after))


def fail(state: State, ident: int) -> None:
    call = state.calls.get(ident)
    if call is not None:
        reply(state, call, Answer(Verdict.FAILED))


def forget(state: State, call: Call) -> None:
    if call.answered and not call.attempts:
        state.calls.pop(call.ident, None)
