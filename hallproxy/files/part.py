"""Kept files in the life of a request, as a part of the reducer: looked for before the module is asked.

A request that names a digest is answered from the disk where it can be; else it goes the way of all others.
Its contract, budgets and deadline were looked at before, and its one answer goes out through ``calls.reply``.
"""

from __future__ import annotations

from hallproxy.files.kept import Kept, Name
from hallproxy.files.messages import DropKept, FetchKept, KeptRead, KeptWritten, StoreKept
from hallproxy.state import calls
from hallproxy.state.events import Answer, OtherEvent, Verdict
from hallproxy.state.model import Call, State


class Files:
    def __init__(self, kept: Kept) -> None:
        self.kept = kept
        self.served = 0

    def read(self, state: State, call: Call) -> bool:
        """Ask the disk for the bytes; false: they are not there, and the module is to be asked."""
        name = self._name(call)
        if name is None or not self.kept.use(name):
            return False
        state.effects.append(FetchKept(call.ident, name))
        return True

    def keep(self, state: State, call: Call, body: bytes) -> None:
        """Good bytes have come, and the module ranked them for keeping."""
        name = self._name(call)
        if name is None or not body:
            return
        gone = self.kept.begin(name, len(body), state.now)
        if gone is None:
            return
        state.effects += [DropKept(old) for old in gone]
        state.effects.append(StoreKept(name, body))

    def purge(self, state: State, obj: int, group: int) -> None:
        state.effects += [DropKept(name) for name in self.kept.purge(obj, group)]

    def take(self, state: State, event: OtherEvent) -> None:
        match event:
            case KeptRead():
                self._read(state, event)
            case KeptWritten() if not self.kept.written(event.name, event.good, state.now) and event.good:
                state.effects.append(DropKept(event.name))  # purged while it was being written
            case _:
                pass

    def _read(self, state: State, event: KeptRead) -> None:
        call = state.calls.get(event.call)
        if event.body is None and self.kept.drop(event.name):
            state.effects.append(DropKept(event.name))
        if call is None or call.answered:
            return
        if event.body is None or event.name not in self.kept.sizes:  # or purged while it was read
            return calls.begin(state, call)
        self.served += 1
        unchanged = call.asked.held == event.name.digest
        body, tag = b"" if unchanged else event.body, event.name.digest
        calls.reply(state, call, Answer(Verdict.SERVED, body, unchanged, tag=tag, born=state.now))

    def _name(self, call: Call) -> Name | None:
        """What it asks for by digest: a file or its metadata; an index has none and is never on disk."""
        asked = call.asked
        return Name(asked.object, asked.digest) if asked.digest and not asked.write else None
