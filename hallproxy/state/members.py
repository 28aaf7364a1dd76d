"""The list of stores as it was last told, with their addresses."""

from __future__ import annotations

from dataclasses import dataclass, field

from hallproxy import interface as i


@dataclass(slots=True)
class Members:
    known: dict[bytes, i.Member] = field(default_factory=dict)
    addresses: dict[bytes, str] = field(default_factory=dict)

    def change(self, told: i.MembersChanged, addresses: tuple[str, ...]) -> list[bytes]:
        """Take the news; the ids whose connections are worth nothing any more are returned."""
        stale: list[bytes] = []
        if told.kind in (i.ListKind.FULL, i.ListKind.CACHED):
            named = {m.server for m in told.members}
            stale = [s for s in self.known if s not in named]
        for member, address in zip(told.members, addresses, strict=True):
            old = self.known.get(member.server)
            if member.state is i.State.GONE:
                stale.append(member.server)
                continue
            # A restart, or a move to another address: what was open led to the former process.
            if old and (old.started != member.started or self.addresses[member.server] != address):
                stale.append(member.server)
            self.known[member.server] = member
            self.addresses[member.server] = address
        for server in stale:
            if told.kind is not i.ListKind.DELTA and server not in named or self._gone(told, server):
                self.known.pop(server, None)
                self.addresses.pop(server, None)
        return stale

    @staticmethod
    def _gone(told: i.MembersChanged, server: bytes) -> bool:
        return any(m.server == server and m.state is i.State.GONE for m in told.members)

    def ready(self, server: bytes) -> bool:
        member = self.known.get(server)
        return member is not None and member.state is i.State.READY
