"""The broker between requests and the module: who comes in, who waits, and what further attempts may cost."""

from __future__ import annotations

from dataclasses import replace

from hallproxy import interface as i
from hallproxy.broker.broker import Ask, Broker, Refusal, Turn, Why
from hallproxy.broker.contracts import Contract
from hallproxy.state import calls
from hallproxy.state.effects import Wake
from hallproxy.state.events import Answer, Asked, ContractsTold, Reason, TurnDue, Verdict
from hallproxy.state.model import Attempt, Call, State

SECOND = 1_000_000_000  # ns
REASONS = {
    Why.NO_CONTRACT: Reason.NO_CONTRACT,
    Why.NETWORK: Reason.NETWORK,
    Why.BUDGET: Reason.BUDGET,
    Why.OPEN: Reason.OPEN,
    Why.RETRIES: Reason.RETRIES,
    Why.FOREIGN_KEY: Reason.KEY,
    Why.LATE_KEY: Reason.KEY,
    Why.CROWDED: Reason.CROWDED,
}
NEVER_RAN = (i.Status.FULL, i.Status.CONNECT_FAILED, i.Status.MOOT, i.Status.MISS)
LOST = (i.Status.FULL, i.Status.TIMEOUT, i.Status.CONNECT_FAILED, i.Status.RESET, i.Status.ERROR)


def told(state: State, event: ContractsTold) -> None:
    if event.contracts is None:
        state.broker = None
        for call in state.callers.values():
            if not call.begun:
                calls.start(state, call)
    elif state.broker is None:
        state.broker = Broker(event.contracts, state.now, state.bounds.links)
    else:
        state.broker.tell(event.contracts, state.now)


def ask_of(state: State, asked: Asked) -> Ask:
    cls = state.settings.classes[asked.cls]
    work = asked.size_kb / state.settings.flow_kb_s if state.settings.flow_kb_s else 0.0
    return Ask(
        team=asked.team,
        service=asked.service,
        cls=cls.name,
        left=asked.left,
        aim=cls.aim + int(cls.aim_stretch * work * SECOND),
        number=asked.cls,
        size_kb=asked.size_kb,
        repeat=asked.repeat,
        key=asked.key if cls.effect is i.Effect.KEYED else "",
        address=asked.address,
    )


def admit(state: State, broker: Broker, asked: Asked) -> tuple[Answer | None, Asked, Contract | None]:
    """Whether the contract lets it in; the request comes back with the contract's deadline."""
    said = broker.admit(ask_of(state, asked), state.now)
    if isinstance(said, Refusal):
        return _answer(said), asked, None
    return None, replace(asked, left=min(asked.left, said.deadline or asked.left)), said


def _answer(refusal: Refusal) -> Answer:
    # A keyed request that came too late may have run before: a refusal would call another try harmless.
    verdict = Verdict.FAILED if refusal.why is Why.LATE_KEY else Verdict.REFUSED
    return Answer(verdict, retry_after=refusal.retry_after, reason=REASONS[refusal.why])


def seek(state: State, broker: Broker, call: Call, contract: Contract) -> tuple[Answer | None, bool]:
    """A place for the request: an answer where there is none in time, and whether it waits for one."""
    ask = ask_of(state, call.asked)
    said = broker.seek(call.ident, ask, contract, state.now)
    if isinstance(said, Refusal):
        # A copy held here, too crowded a link or not, still beats a refusal.
        own = calls.own_copy(state, call.asked, 1.0, call.asked.left, in_need=True)
        if own is not None:
            broker.served_own(ask, contract, len(own.body), state.now)
        return own or _answer(said), False
    if said is Turn.WAITS:
        state.effects.append(Wake(TurnDue(state.now + broker.wait_of(ask), call.ident)))
    return None, said is Turn.WAITS


def start_waiting(state: State) -> bool:
    """Let those in who have a place now; whether there was any."""
    broker = state.broker
    any_began = False
    while broker is not None and (ident := broker.next(state.now)) is not None:
        call = state.calls.get(ident)
        if call is not None and not call.answered:
            calls.start(state, call)
            any_began = True
    return any_began


def turn_due(state: State, ident: int) -> None:
    """Answered at once, now that it can't be in time; who has a place by now has nothing to do with it."""
    call = state.calls.get(ident)
    if state.broker is None or call is None or call.answered or not state.broker.waits(ident):
        return
    refusal = _answer(state.broker.crowded(ident, state.now))
    left = call.came + call.asked.left - state.now
    own = calls.own_copy(state, call.asked, 1.0, left, in_need=True)
    calls.reply(state, call, own or refusal)


def spent(state: State, call: Call, reason: Reason) -> None:
    """No further attempt may be made: the end, at once, unless one is still out."""
    if call.answered or len(call.attempts) > 1:
        return
    safe = state.settings.classes[call.asked.cls].effect is i.Effect.SAFE
    verdict = Verdict.REFUSED if safe else Verdict.FAILED
    own = calls.own_copy(state, call.asked, 1.0, call.came + call.asked.left - state.now, in_need=True)
    back = calls.BUSY_RETRY if safe else 0
    calls.reply(state, call, own or Answer(verdict, reason=reason, retry_after=back))


def key_sent(state: State, broker: Broker, call: Call) -> bool:
    """Whether a keyed attempt may go out now; its window runs from the first one that may have run."""
    cls = state.settings.classes[call.asked.cls]
    if cls.effect is not i.Effect.KEYED or not call.asked.key:
        return True
    return broker.keys.sent(call.asked.team, call.asked.key, cls.window, state.now)


def attempt_over(state: State, broker: Broker, call: Call, one: Attempt, status: i.Status) -> None:
    """What the end of an attempt tells of its source, and of its key."""
    if one.counted:
        took = state.now - one.sent_at
        good, lost = status in (i.Status.OK, i.Status.MISS), status in LOST
        if status is i.Status.TIMEOUT and took < state.settings.classes[call.asked.cls].aim // 2:
            lost = False  # its client had no time to begin with
        broker.ended(one.get.server, call.ident, took, good, lost, state.now)
    cls = state.settings.classes[call.asked.cls]
    if one.written and status in NEVER_RAN and cls.effect is i.Effect.KEYED and call.asked.key:
        broker.keys.never_ran(call.asked.team, call.asked.key)
