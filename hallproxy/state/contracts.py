"""Contracts: which team may use what, how long it may wait, and how much of it in a while."""

from __future__ import annotations

from dataclasses import dataclass, field

SECOND = 1_000_000_000  # ns


@dataclass(slots=True, frozen=True)
class Contract:
    """A budget of 0 is none; an empty class stands for all of them."""

    team: str
    service: str
    cls: str = ""
    deadline: int = 0  # ns; 0: the class's own
    requests: int = 0  # in each window
    bytes: int = 0  # in each window
    window: int = 60 * SECOND  # ns

    @property
    def key(self) -> tuple[str, str, str]:
        return self.team, self.service, self.cls


@dataclass(slots=True, frozen=True)
class Contracts:
    held: tuple[Contract, ...] = ()

    def find(self, team: str, service: str, cls: str) -> Contract | None:
        """The contract for the class, else the one for all classes of the service."""
        found = [c for c in self.held if c.team == team and c.service == service and c.cls in (cls, "")]
        return max(found, key=lambda c: c.cls) if found else None


@dataclass(slots=True)
class _Spent:
    since: int
    requests: int = 0
    bytes: int = 0


@dataclass(slots=True)
class Use:
    """What each contract has used of its budgets in the window that runs."""

    spent: dict[tuple[str, str, str], _Spent] = field(default_factory=dict)

    def prune(self, contracts: Contracts) -> None:
        """Forget what is in force no more."""
        keys = {c.key for c in contracts.held}
        self.spent = {key: spent for key, spent in self.spent.items() if key in keys}

    def _window(self, contract: Contract, now: int) -> _Spent:
        spent = self.spent.get(contract.key)
        if spent is None or now - spent.since >= contract.window:
            spent = self.spent[contract.key] = _Spent(now)
        return spent

    def ask(self, contract: Contract, now: int) -> int:
        """Count one request in, or say how long (ns) until there is budget again."""
        spent = self._window(contract, now)
        over = contract.requests and spent.requests >= contract.requests
        if over or (contract.bytes and spent.bytes >= contract.bytes):
            return max(1, spent.since + contract.window - now)
        spent.requests += 1
        return 0

    def spend(self, contract: Contract, now: int, size: int) -> None:
        self._window(contract, now).bytes += size
