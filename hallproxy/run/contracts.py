"""Contracts files, and ``plan`` and ``apply``, which bring them into force.

A TOML file is the desired state; the applied state is a JSON file that only ``apply`` writes. A plan is the
difference between the two at one moment, and is stale once the applied state has changed.
"""

from __future__ import annotations

import fcntl
import hashlib
import json
import os
import re
from collections.abc import Mapping
from dataclasses import dataclass, field
from fnmatch import fnmatchcase
from pathlib import Path
from typing import Any

from hallproxy.broker.contracts import Contract, Contracts, Organisation, Team
from hallproxy.broker.networks import NetworkError, normalize_network
from hallproxy.broker.token_bucket import Rate
from hallproxy.run.config import read_toml
from hallproxy.state.units import SECOND

FORMAT = 1  # version of the plan and state files
MS = 1_000_000  # ns
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
_CONTRACT_TYPES = {"team": str, "service": str, "class": str, "deadline_ms": int, "requests": int,
                   "bytes": int, "window_s": int, "rate": float, "burst": float, "byte_rate": float,
                   "byte_burst": float, "concurrency": int, "retry_share": float, "retry_floor": float,
                   "weight": float}  # fmt: skip
_TEAM_TYPES = {"token_sha256": str, "weight": float, "organisation": str, "networks": list, "operator": bool}
_ORGANISATION_TYPES = {"weight": float, "rate": float, "burst": float, "byte_rate": float,
                       "byte_burst": float, "concurrency": int, "lends": bool}  # fmt: skip
_WEIGHT_RANGE = 0.001, 1000.0
Document = dict[str, Any]


class ContractError(ValueError):
    """An invalid contracts file, plan or applied state; the message is one line."""


@dataclass(slots=True, frozen=True)
class AppliedContracts:
    """The contracts in force, with what the fronts need to assign requests to them."""

    contracts: Contracts = field(default_factory=Contracts)
    tokens: Mapping[str, str] = field(default_factory=dict)  # team -> SHA-256 of its token
    services: Mapping[str, tuple[str, ...]] = field(default_factory=dict)  # service -> patterns of projects

    def service_of(self, project: str) -> str:
        """The first service, by name, with a pattern that the project matches; empty if none."""
        for name, patterns in self.services.items():  # in order of names, see applied_contracts
            if any(fnmatchcase(project, pattern) for pattern in patterns):
                return name
        return ""


def empty_document() -> Document:
    """The document of the state before the first ``apply``."""
    return {"teams": {}, "services": {}, "contracts": {}}


SECTIONS = (("organisations", "organisation"), ("teams", "team"), ("services", "service"),
            ("contracts", "contract"))  # fmt: skip


def read_contracts(path: Path) -> Document:
    """Read, check and normalize a contracts file."""
    top = read_toml(path, ContractError)
    try:
        return check_document(top)
    except ContractError as error:
        raise ContractError(f"{path}: {error}") from None


def check_document(top: Document) -> Document:
    """Check the document and normalize it to the form that plans compare; ContractError where invalid."""
    _check_keys(top, tuple(key for key, _ in SECTIONS), "the file")
    document = empty_document()
    for name, organisation in _tables(top, "organisations"):
        _check_values(organisation, _ORGANISATION_TYPES, f"organisation {name}")
        # Added only where there is one, so that a file without organisations keeps its form and digest.
        document.setdefault("organisations", {})[name] = organisation
    for name, team in _tables(top, "teams"):
        where = f"team {name}"
        _check_values(team, _TEAM_TYPES, where)
        token = team.get("token_sha256", "")
        if not isinstance(token, str) or not re.fullmatch(r"[0-9a-f]{64}", token):
            raise ContractError(f"team {name}: token_sha256 is not 64 hex digits")
        organisation_name = team.get("organisation", "")
        if organisation_name and organisation_name not in document.get("organisations", {}):
            raise ContractError(f"{where}: organisation {organisation_name!r} is not among the organisations")
        try:
            networks = [normalize_network(str(network)) for network in team.get("networks", ())]
        except NetworkError as error:
            raise ContractError(f"{where}: networks: {error}") from None
        document["teams"][name] = team | ({"networks": networks} if networks else {})
    for name, service in _tables(top, "services"):
        _check_keys(service, ("projects",), f"service {name}")
        projects = service.get("projects")
        if not isinstance(projects, list) or not projects or not all(isinstance(p, str) for p in projects):
            raise ContractError(f"service {name}: projects is not a non-empty list of patterns")
        document["services"][name] = {"projects": projects}
    contracts = top.get("contracts", [])
    if not isinstance(contracts, list) or not all(isinstance(c, dict) for c in contracts):
        raise ContractError("contracts is not a list of tables")
    for number, contract in enumerate(contracts, 1):
        where = f"contract {number}"
        _check_values(contract, _CONTRACT_TYPES, where)
        for key, section in (("team", "teams"), ("service", "services")):
            if contract.get(key) not in document[section]:
                raise ContractError(f"{where}: {key} {contract.get(key)!r} is not among the {section}")
        if contract.get("window_s") == 0:
            raise ContractError(f"{where}: window_s is 0; 1 or more is accepted")
        key = f"{contract['team']}/{contract['service']}/{contract.get('class', '')}"
        if key in document["contracts"]:
            raise ContractError(f"{where}: duplicate contract for {key}")
        document["contracts"][key] = dict(contract)
    _check_guarantees(document)
    return document


def _check_values(table: Mapping[str, Any], types: Mapping[str, type], where: str) -> None:
    """Check the type and range of each value; an integer is accepted for a float."""
    _check_keys(table, tuple(types), where)
    for key, value in table.items():
        expected = types[key]
        has_type = type(value) is expected or (expected is float and type(value) is int)
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if not has_type or (is_number and not 0 <= value < 1 << 53):
            raise ContractError(f"{where}: {key} has the wrong type or is out of range: {value!r}")
        if key == "weight" and not _WEIGHT_RANGE[0] <= value <= _WEIGHT_RANGE[1]:
            raise ContractError(
                f"{where}: weight is {value!r}, not from {_WEIGHT_RANGE[0]} to {_WEIGHT_RANGE[1]}"
            )
    for rate, burst in (("rate", "burst"), ("byte_rate", "byte_burst")):
        if table.get(burst) and not table.get(rate):
            raise ContractError(f"{where}: {burst} without {rate}")


def _check_guarantees(document: Document) -> None:
    """An organisation's rate must cover its contracts' rates: otherwise lending could break a contract."""
    for name, organisation in document.get("organisations", {}).items():
        for rate in ("rate", "byte_rate"):
            total = organisation.get(rate, 0)
            guaranteed = sum(
                contract.get(rate, 0)
                for contract in document["contracts"].values()
                if document["teams"][contract["team"]].get("organisation") == name
            )
            if total and guaranteed > total:
                excess = f"the sum of its contracts' {rate} is {guaranteed:g}, over {total:g}"
                raise ContractError(f"organisation {name}: {excess}")


def _check_keys(table: Mapping[str, Any], accepted: tuple[str, ...], where: str) -> None:
    for key in table:
        if key not in accepted:
            raise ContractError(f"{where}: unknown key {key!r}")


def _tables(top: Document, key: str) -> list[tuple[str, Document]]:
    tables = top.get(key, {})
    if not isinstance(tables, dict) or not all(isinstance(t, dict) for t in tables.values()):
        raise ContractError(f"{key} is not a table of tables")
    for name in tables:
        if not _NAME.fullmatch(name):
            raise ContractError(f"{key}: {name!r} is not a name of 1 to 64 letters, digits, '.', '_' and '-'")
    return sorted(tables.items())


def _digest(document: Document) -> str:
    return hashlib.sha256(json.dumps(document, sort_keys=True).encode()).hexdigest()


def read_applied(path: Path) -> tuple[int, Document]:
    """The serial number and document of the applied state; 0 and an empty one before the first ``apply``."""
    try:
        top = json.loads(path.read_text("utf-8"))
        if top["format"] != FORMAT or top["digest"] != _digest(top["document"]):
            raise ContractError(f"{path}: not written by apply, or modified since")
        return int(top["serial"]), top["document"]
    except FileNotFoundError:
        return 0, empty_document()
    except OSError as error:
        raise ContractError(f"{path} can't be read: {error.strerror}") from None
    except ContractError:
        raise
    except (ValueError, KeyError, TypeError):
        raise ContractError(f"{path} is not an applied state") from None


def applied_contracts(document: Document) -> AppliedContracts:
    """The contracts, tokens and services of a checked document."""
    contracts = tuple(
        Contract(
            c["team"],
            c["service"],
            c.get("class", ""),
            c.get("deadline_ms", 0) * MS,
            c.get("requests", 0),
            c.get("bytes", 0),
            c.get("window_s", 60) * SECOND,
            Rate(c.get("rate", 0), c.get("burst", 0)),
            Rate(c.get("byte_rate", 0), c.get("byte_burst", 0)),
            c.get("concurrency", 0),
            c.get("retry_share", 0.0 if "retry_floor" in c else None),
            c.get("retry_floor", 0.0),
            c.get("weight", 1.0),
        )
        for c in document["contracts"].values()
    )
    teams = tuple(
        Team(name, t.get("weight", 1.0), t.get("organisation", ""), tuple(t.get("networks", ())),
             t.get("operator", False))
        for name, t in document["teams"].items()
    )  # fmt: skip
    organisations = tuple(
        Organisation(
            name,
            o.get("weight", 1.0),
            Rate(o.get("rate", 0), o.get("burst", 0)),
            Rate(o.get("byte_rate", 0), o.get("byte_burst", 0)),
            o.get("concurrency", 0),
            o.get("lends", True),
        )
        for name, o in document.get("organisations", {}).items()
    )
    return AppliedContracts(
        Contracts(contracts, teams, organisations),
        {name: team["token_sha256"] for name, team in document["teams"].items()},
        {name: tuple(service["projects"]) for name, service in sorted(document["services"].items())},
    )


def difference(old: Document, new: Document) -> list[str]:
    """One line for each addition (+), removal (-) or changed key (~)."""
    lines: list[str] = []
    for section, kind in SECTIONS:
        old_section, new_section = old.get(section, {}), new.get(section, {})
        for name in sorted({*old_section, *new_section}):
            before, after = old_section.get(name), new_section.get(name)
            if before is None:
                lines.append(f"+ {kind} {name}")
            elif after is None:
                lines.append(f"- {kind} {name}")
            else:
                for key in sorted({*before, *after}):
                    if before.get(key) != after.get(key):
                        lines.append(f"~ {kind} {name}: {key} {before.get(key)!r} -> {after.get(key)!r}")
    return lines


def plan(source: Path, applied: Path, out: Path) -> list[str]:
    """Save a plan that applies the file; returns the lines of the difference."""
    target = read_contracts(source)
    serial, document = read_applied(applied)
    changes = difference(document, target)
    saved = {"format": FORMAT, "base": serial, "base_digest": _digest(document), "target": target,
             "target_digest": _digest(target), "changes": changes}  # fmt: skip
    _write(out, saved)
    return changes


def apply(saved: Path, applied: Path) -> list[str]:
    """Apply a saved plan. One already applied changes nothing; ContractError for a stale one."""
    try:
        loaded = json.loads(saved.read_text("utf-8"))
        target, base = loaded["target"], (loaded["base"], loaded["base_digest"])
        if loaded["format"] != FORMAT or loaded["target_digest"] != _digest(target):
            raise ContractError(f"{saved}: not written by plan, or modified since")
    except OSError as error:
        raise ContractError(f"{saved} can't be read: {error.strerror}") from None
    except ContractError:
        raise
    except (ValueError, KeyError, TypeError):
        raise ContractError(f"{saved} is not a plan") from None
    try:
        lock = open(applied.with_name(applied.name + ".lock"), "w")
    except OSError as error:
        raise ContractError(f"{applied} can't be locked: {error.strerror}") from None
    with lock:
        # Concurrent applies must not both find their plans fresh.
        fcntl.flock(lock, fcntl.LOCK_EX)
        serial, document = read_applied(applied)
        if _digest(document) == _digest(target):
            return []
        if (serial, _digest(document)) != base:
            cause = f"made from state {base[0]}, which is now {serial}"
            raise ContractError(f"{saved} is stale: {cause}; plan again")
        new = {"format": FORMAT, "serial": serial + 1, "digest": _digest(target), "document": target}
        _write(applied, new)
    return difference(document, target)


def _write(path: Path, contents: Document) -> None:
    """Write the file atomically: a reader never sees a partial one, even after a crash."""
    temporary = path.with_name(f"{path.name}.{os.getpid()}.new")
    try:
        with open(temporary, "w", encoding="utf-8") as file:
            json.dump(contents, file, indent=1, sort_keys=True)
            file.write("\n")
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, path)
    except OSError as error:
        raise ContractError(f"{path} can't be written: {error.strerror}") from None
