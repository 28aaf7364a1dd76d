"""Teams on the platform's front, from the operators' file, by class and group of a request.

The platform's clients send no token, so a request belongs to the first assignment that matches it. Contracts
have the form of a contracts file; teams need no token here, and a service is just a name.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from hallproxy.broker.contracts import Contracts
from hallproxy.run.config import ConfigError, read_toml
from hallproxy.run.contracts import ContractError, applied_contracts, check_document
from hallproxy.state.events import ClientRequest

GROUPS = 256
NO_TOKEN = "0" * 64  # the schema requires a digest; no client can present a token here
KEYS = ("teams", "services", "organisations", "contracts", "assign")


@dataclass(slots=True, frozen=True)
class PlatformTeams:
    """The teams' contracts, and which team and service a request belongs to."""

    contracts: Contracts
    owners: tuple[tuple[tuple[str, str], ...], ...]  # [class index][group] -> team and service

    def assign_owner(self, request: ClientRequest, client_address: str) -> ClientRequest:
        """The request with its team, service and client address set."""
        team, service = self.owners[request.class_index][request.group]
        return replace(request, team=team, service=service, client_address=client_address)


def load(path: Path, classes: Sequence[str]) -> PlatformTeams:
    """Read and check the file; ConfigError with a one-line message where it is invalid."""
    top = read_toml(path)
    try:
        assignments = top.pop("assign", None)
        for team in top.get("teams", {}).values():
            team.setdefault("token_sha256", NO_TOKEN)
        for service in top.get("services", {}).values():
            service.setdefault("projects", ["*"])
        applied = applied_contracts(check_document(top))
        return PlatformTeams(applied.contracts, _owners(assignments, applied.contracts, classes))
    except (ContractError, ConfigError) as error:
        raise ConfigError(f"{path}: {error}") from None
    except (TypeError, AttributeError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from None


def _owners(
    assignments: Any, contracts: Contracts, classes: Sequence[str]
) -> tuple[tuple[tuple[str, str], ...], ...]:
    if not isinstance(assignments, list) or not all(isinstance(a, dict) for a in assignments):
        raise ConfigError("assign is not a list of tables")
    owners: list[list[tuple[str, str] | None]] = [[None] * GROUPS for _ in classes]
    for number, assignment in enumerate(assignments, 1):
        where = f"assign {number}"
        for key in assignment:
            if key not in ("team", "service", "classes", "groups"):
                raise ConfigError(f"{where}: unknown key {key!r}")
        team, service = assignment.get("team"), assignment.get("service")
        class_names = assignment.get("classes", list(classes))
        if not isinstance(class_names, list) or not class_names:
            raise ConfigError(f"{where}: classes is not a non-empty list of names")
        first, last = _range(assignment.get("groups", [0, GROUPS - 1]), where)
        for name in class_names:
            if name not in classes:
                raise ConfigError(f"{where}: {name!r} is not a class of the settings")
            if contracts.find(team, service, name) is None:
                raise ConfigError(f"{where}: {team!r} has no contract for {service!r} and class {name!r}")
            row = owners[list(classes).index(name)]
            for group in range(first, last + 1):
                row[group] = row[group] or (team, service)  # the first match wins
    for name, row in zip(classes, owners, strict=True):
        if None in row:
            raise ConfigError(f"class {name!r}, group {row.index(None)} is not assigned to a team")
    return tuple(tuple(owner for owner in row if owner is not None) for row in owners)


def _range(value: Any, where: str) -> tuple[int, int]:
    if (
        not isinstance(value, list)
        or len(value) != 2
        or not all(type(v) is int for v in value)
        or not 0 <= value[0] <= value[1] < GROUPS
    ):
        raise ConfigError(f"{where}: groups is not [first, last] within 0 to {GROUPS - 1}")
    return value[0], value[1]
