"""Contracts: which team may use which service, from which networks, with which budgets and weight."""

from __future__ import annotations

from dataclasses import dataclass, field

from hallproxy.broker.networks import NetworkSet
from hallproxy.broker.token_bucket import SECOND, Rate

ContractKey = tuple[str, str, str]  # team, service, class


@dataclass(slots=True, frozen=True)
class Organisation:
    """Several teams under one budget, who may borrow from each other what they leave unused.

    Attributes:
        weight: of its share, against other organisations and teams without one.
        rate: requests.
        byte_rate: bytes.
        max_concurrency: requests in flight; 0: no limit.
        lends: whether its teams may borrow.
    """

    name: str
    weight: float = 1.0
    rate: Rate = Rate()
    byte_rate: Rate = Rate()
    max_concurrency: int = 0
    lends: bool = True


@dataclass(slots=True, frozen=True)
class Team:
    """A team of clients.

    Attributes:
        weight: of its share, within its organisation or, without one, of the whole.
        networks: the only networks it may connect from; empty: any.
        operator: whether it may see the usage of all teams.
    """

    name: str
    weight: float = 1.0
    organisation: str = ""
    networks: tuple[str, ...] = ()
    operator: bool = False


@dataclass(slots=True, frozen=True)
class Contract:
    """What one team may use of one service. A limit of 0 means unlimited.

    Attributes:
        class_name: request class; empty: all classes.
        deadline: ns; 0: the class's own.
        max_requests: in each window.
        max_bytes: in each window.
        window: ns.
        rate: requests.
        byte_rate: bytes.
        max_concurrency: requests in flight.
        retry_ratio: retries for each first attempt; None: no retry budget.
        min_retries_per_second: retries a second that are always allowed.
        weight: of its team's share, against the team's other contracts.
    """

    team: str
    service: str
    class_name: str = ""
    deadline: int = 0
    max_requests: int = 0
    max_bytes: int = 0
    window: int = 60 * SECOND
    rate: Rate = Rate()
    byte_rate: Rate = Rate()
    max_concurrency: int = 0
    retry_ratio: float | None = None
    min_retries_per_second: float = 0.0
    weight: float = 1.0

    @property
    def key(self) -> ContractKey:
        """What identifies the contract among all others."""
        return self.team, self.service, self.class_name


@dataclass(frozen=True)
class Contracts:
    """All contracts in force, indexed: a lookup costs the same however many there are."""

    contracts: tuple[Contract, ...] = ()
    teams: tuple[Team, ...] = ()
    organisations: tuple[Organisation, ...] = ()
    _contracts_by_key: dict[ContractKey, Contract] = field(init=False, repr=False, compare=False)
    _teams_by_name: dict[str, Team] = field(init=False, repr=False, compare=False)
    _organisations_by_name: dict[str, Organisation] = field(init=False, repr=False, compare=False)
    _networks_by_team: dict[str, NetworkSet] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        """Build the indexes."""
        indexes = {
            "_contracts_by_key": {contract.key: contract for contract in self.contracts},
            "_teams_by_name": {team.name: team for team in self.teams},
            "_organisations_by_name": {
                organisation.name: organisation for organisation in self.organisations
            },
            "_networks_by_team": {
                team.name: NetworkSet(team.networks) for team in self.teams if team.networks
            },
        }
        for name, index in indexes.items():
            object.__setattr__(self, name, index)  # the dataclass is frozen

    def find(self, team: str, service: str, class_name: str) -> Contract | None:
        """The contract for the class, else the one for all classes of the service."""
        exact = self._contracts_by_key.get((team, service, class_name))
        return exact or self._contracts_by_key.get((team, service, ""))

    def team(self, name: str) -> Team:
        """The team of that name, or one with default values."""
        return self._teams_by_name.get(name) or Team(name)

    def organisation_of(self, team: str) -> Organisation | None:
        """The organisation that the team belongs to."""
        return self._organisations_by_name.get(self.team(team).organisation)

    def allows_address(self, team: str, address: str) -> bool:
        """Whether the team may connect from the address."""
        allowed = self._networks_by_team.get(team)
        return allowed is None or allowed.contains(address)
