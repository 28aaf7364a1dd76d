"""Attempts and the connections that carry them: one attempt at a time on each connection."""

from __future__ import annotations

from dataclasses import replace

from hallproxy import interface as i
from hallproxy.state import calls, teams
from hallproxy.state.effects import Close, Open, Order, Send, Wake
from hallproxy.state.events import Answer, Answered, AttemptDue, LinkDue, Reason, Result, Verdict
from hallproxy.state.model import Attempt, Call, Link, State

MS = 1_000_000  # ns
KEY_MARGIN = 2 * MS  # ahead of the end of a key's window from which it is not sent again
REASONS = {
    i.Status.OK: Reason.NONE,
    i.Status.ERROR: Reason.ERROR,
    i.Status.FULL: Reason.BUSY,
    i.Status.TIMEOUT: Reason.TIMEOUT,
    i.Status.CONNECT_FAILED: Reason.UNREACHED,
    i.Status.RESET: Reason.BROKEN,
    i.Status.CANCELLED: Reason.TIMEOUT,
    i.Status.MOOT: Reason.BUSY,
    i.Status.MISS: Reason.ABSENT,
}


def attempt(state: State, get: i.Get) -> None:
    """The module wants an attempt: on an idle connection at once, else on a new one."""
    call = state.calls.get(get.request)
    if call is None:
        return
    one = Attempt(state.number(), call.ident, call.sent, get, state.now, state.now + get.timeout)
    one.processes = _processes(state, get)
    call.attempts[one.number] = state.attempts[one.ident] = one
    call.sent += 1
    if call.answered or not state.members.ready(get.server) or not state.members.ready(get.source):
        return _over(state, one, i.Status.MOOT)
    if state.broker is not None:
        if call.tried and not state.broker.may_try_again(call.ident, state.now):
            # The budget only takes away: an attempt that is out goes on, and with none out this is the end.
            teams.spent(state, call, call.reason)
            return _over(state, one, i.Status.MOOT)
        state.broker.sent(get.server, state.now)
        one.counted = True
    state.effects.append(Wake(AttemptDue(one.until, one.ident)))
    idle = state.idle.get(get.server)
    if idle:
        link = idle.pop()
        link.attempt, one.link = one, link.ident
        return _send(state, link, one)
    _connect(state, one)


def _connect(state: State, one: Attempt) -> None:
    get = one.get
    if state.calls[one.request].answered:  # its client has gone, or another attempt was first
        return _over(state, one, i.Status.MOOT)
    if len(state.links) >= state.bounds.links and not _make_room(state):
        return _over(state, one, i.Status.MOOT)
    link = Link(state.number(), get.server, state.members.process(get.server), one)
    one.link = link.ident
    state.links[link.ident] = link
    state.effects.append(Open(link.ident, link.process[0]))
    state.effects.append(Wake(LinkDue(state.now + state.settings.connect_timeout, link.ident)))


def up(state: State, ident: int) -> None:
    link = state.links.get(ident)
    if link is not None and not link.up:
        link.up = True
        _alive(state, link.store)
        if link.attempt is not None:
            _send(state, link, link.attempt)


def _send(state: State, link: Link, one: Attempt) -> None:
    """The first byte is about to go out: what was heard since the module spoke counts now.

    Guards the rules on drains and purges against time spent connecting.
    """
    get, call = one.get, state.calls[one.request]
    ready = state.members.ready(get.server) and state.members.ready(get.source)
    # A process that started meanwhile is cold: the module has not reckoned with that.
    same = one.processes == _processes(state, get)
    if call.answered or not (ready and same) or one.until <= state.now or not _may_run(state, call):
        _free(state, link, True)
        return _over(state, one, i.Status.MOOT)
    max_age, how = get.max_age, i.How(get.how)
    purged = state.purges.counted(call.asked.object, call.asked.group)
    if purged > one.sent_at - state.settings.purge_done and state.now > one.sent_at:
        limit = max(MS, state.now - purged - 2 * MS)
        max_age = min(max_age or limit, limit)
        fresh = state.settings.classes[call.asked.cls].fresh
        max_age = min(max_age, fresh) if fresh else max_age
        how &= ~(i.How.JOIN | i.How.RENEW)
    if state.broker is not None and not teams.key_sent(state, state.broker, call):
        _free(state, link, True)
        teams.spent(state, call, Reason.KEY)
        return _over(state, one, i.Status.MOOT)
    one.written = call.tried = True
    one.written_at = state.now
    asked = call.asked
    one.validator = calls.condition(state, asked)
    order = Order(
        label=asked.label,
        cls=asked.cls,
        name=asked.name,
        part=asked.part,
        budget=one.until - state.now,
        key=asked.key,
        held=asked.held,
        body=asked.body,
        write=asked.write,
        source="" if get.source == get.server else get.source.decode(),
        keep=get.keep,
        max_age=max_age,
        join=bool(how & i.How.JOIN),
        held_only=bool(how & i.How.HELD_ONLY),
        no_parent_copy=bool(how & i.How.NO_PARENT_COPY),
        renew=bool(how & i.How.RENEW),
        digest=asked.digest,
        validator=one.validator,
        object=asked.object,
    )
    state.effects.append(Send(link.ident, order))


def _may_run(state: State, call: Call) -> bool:
    """Whether an attempt may be written now, next to those of the request that may have run before it.

    The module has looked at that when it spoke; a connect may have taken until after the key's window.
    """
    cls = state.settings.classes[call.asked.cls]
    if cls.effect is i.Effect.SAFE:
        return True
    written = [a.written_at for a in call.attempts.values() if a.written]
    written += [call.ran_at] if call.ran_at else []
    inside = cls.effect is i.Effect.KEYED and state.now - min(written, default=0) < cls.window - KEY_MARGIN
    return not written or inside


def _processes(state: State, get: i.Get) -> tuple[tuple[str, int], tuple[str, int]]:
    return state.members.process(get.server), state.members.process(get.source)


def _leads_there(state: State, link: Link) -> bool:
    """Whether the store is still the process that the connection was opened to."""
    return state.members.process(link.store) == link.process


def answered(state: State, event: Answered) -> None:
    link = state.links.get(event.link)
    if state.files is not None and event.result.spooled:
        state.files.adopt(state, event.result)
    if link is None:
        return
    one = link.attempt
    _alive(state, link.store)
    # An answer that nobody asked for: what comes next on that connection would be taken for another's.
    _free(state, link, event.reusable and one is not None)
    if one is None:
        return
    result = event.result
    if result.renewed:
        result = calls.renewed(state, state.calls[one.request].asked, one.validator, result)
    if result.status is i.Status.OK and state.purge_strict:
        asked = state.calls[one.request].asked
        if result.born <= state.purges.last(asked.object, asked.group):
            # Older than a purge heard meanwhile, or held by a cache on the way: asked for again.
            if state.files is not None and result.spooled:
                state.files.discard(state, result.spooled)
            result = Result(i.Status.MISS, reason=Reason.BUSY)
    _over(state, one, result.status, result)


def down(state: State, ident: int, unused: bool = False, exhausted: bool = False) -> None:
    """A refused connect proves that nothing ran; a break after the first byte proves nothing."""
    link = state.links.get(ident)
    if link is None:
        return
    one, was_up = link.attempt, link.up
    _free(state, link, False)
    if one is not None and exhausted and not _make_room(state):
        _over(state, one, i.Status.MOOT)
    elif one is not None and (unused or exhausted) and state.members.ready(link.store):
        one.written = False
        _connect(state, one)  # the store itself may be well: its idle connection was not
    elif one is not None:
        _over(state, one, i.Status.RESET if was_up and not unused else i.Status.CONNECT_FAILED)


def cancel(state: State, request: int, number: int) -> None:
    call = state.calls.get(request)
    one = call.attempts.get(number) if call is not None else None
    if one is not None:
        _abandon(state, one, i.Status.CANCELLED)


def attempt_due(state: State, ident: int) -> None:
    one = state.attempts.get(ident)
    if one is not None:
        _abandon(state, one, i.Status.TIMEOUT if one.written else i.Status.CONNECT_FAILED)


def due(state: State, ident: int) -> None:
    link = state.links.get(ident)
    if link is None:
        return
    if not link.up:
        _silent(state, link.store)
        return down(state, ident)
    # One timer for each connection's whole life: it is set again here and nowhere else.
    left = state.bounds.idle
    if link.attempt is None:
        left += link.idle_since - state.now
        if left <= 0:
            return _free(state, link, False)
    state.effects.append(Wake(LinkDue(state.now + left, ident)))


def _silent(state: State, store: bytes) -> None:
    """A connect got no answer. If nothing else came from the store meanwhile, its machine is gone.

    Guards against a machine that vanishes: its open connections stay quiet, and what was sent on them would
    wait out its whole time. What may not run twice waits all the same: nothing shows that it did not run.
    """
    since = state.now - state.settings.connect_timeout
    if state.heard.get(store, 0) > since:
        return
    for one in list(state.attempts.values()):
        if one.get.server == store and one.written and one.sent_at <= since:
            cls = state.settings.classes[state.calls[one.request].asked.cls]
            if cls.effect is not i.Effect.UNSAFE:
                _abandon(state, one, i.Status.RESET)


def _alive(state: State, store: bytes) -> None:
    if store in state.members.known:  # what has left the list is not to be remembered
        state.heard[store] = state.now


def drop_idle(state: State, store: bytes) -> None:
    """The store's process is another one now, or none: its idle connections lead nowhere."""
    for link in list(state.idle.get(store, ())):
        _free(state, link, False)


def _abandon(state: State, one: Attempt, status: i.Status) -> None:
    """Give an attempt up: closing the connection tells the store so."""
    link = state.links.get(one.link)
    if link is not None and link.attempt is one:
        _free(state, link, False)
    _over(state, one, status)


def _free(state: State, link: Link, reusable: bool) -> None:
    """The connection carries nothing any more: idle for the next attempt at the same store, or closed."""
    link.attempt = None
    idle = state.idle.setdefault(link.store, [])
    if reusable and state.members.ready(link.store) and _leads_there(state, link):
        link.idle_since = state.now
        idle.append(link)
        return
    if link in idle:
        idle.remove(link)
    if not idle:
        del state.idle[link.store]
    del state.links[link.ident]
    state.effects.append(Close(link.ident))


def _make_room(state: State) -> bool:
    """Close the connection that has idled longest. Guards the descriptors; false: all are in use."""
    longest = min((idle[0] for idle in state.idle.values() if idle), key=lambda x: x.idle_since, default=None)
    if longest is None:
        return False
    _free(state, longest, False)
    return True


def _over(state: State, one: Attempt, status: i.Status, result: Result | None = None) -> None:
    """An attempt has ended. The first good one is the answer; the module hears of each."""
    del state.attempts[one.ident]
    call = state.calls[one.request]
    del call.attempts[one.number]
    if one.written and status not in teams.NEVER_RAN:
        call.ran_at = min(one.written_at, call.ran_at or one.written_at)
    if state.broker is not None:
        teams.attempt_over(state, state.broker, call, one, status)
    if status is i.Status.OK and result is not None:
        answer = Answer(Verdict.SERVED, result.body, result.unchanged, tag=result.tag, born=result.born)
        if result.spooled:
            answer = replace(answer, spooled=result.spooled, size=result.size)
        calls.reply(state, call, answer)
        calls.keep(state, call, one.get, result)
        if state.files is not None and one.get.keep and not result.unchanged:
            state.files.keep(state, call, result.body)
    else:
        said = result.reason if result is not None else Reason.NONE
        call.reason = REASONS[status] if said is Reason.NONE else said
        if said is Reason.ABSENT:
            calls.lacked(state, call, one.sent_at)
        if call.asked.digest and call.reason in (Reason.ABSENT, Reason.REPLACED):
            # What named these bytes is out of date: served again from here, it would name them again.
            state.copies.purge(call.asked.object, 0, state.now)
    state.told.append(
        i.Outcome(
            call.ident,
            one.number,
            one.get.server,
            status,
            state.now - one.sent_at,
            call.answered,
            load=result.load if result is not None else (),
        )
    )
    calls.forget(state, call)
