"""Several addresses of the change log, from the operators' file named by ``--change-logs``."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from random import Random

from hallproxy.feed.source_selection import Address, SourceSelection
from hallproxy.run.config import Config, ConfigError, address, read_toml

MAX_ADDRESSES = 64
MAX_SPREAD_MS = 10_000  # ms


@dataclass(slots=True, frozen=True)
class ChangeLogs:
    """The addresses of the file, in its order."""

    addresses: tuple[Address, ...]
    spread_ms: int

    @property
    def has_alternatives(self) -> bool:
        """Whether there are several addresses."""
        return len(self.addresses) > 1

    def selection(self, config: Config) -> SourceSelection:
        """The selection among the addresses, in an order of this gateway's own."""
        name = config.name or "%s:%d" % config.listen
        return SourceSelection(name, self.addresses, self.spread_ms / 1000, Random(f"{config.seed:x} {name}"))


def load(path: Path) -> ChangeLogs:
    """Read and check the file; ConfigError with a one-line message where it is invalid."""
    top = read_toml(path)
    for key in top:
        if key not in ("addresses", "spread_ms"):
            raise ConfigError(f"{path}: unknown key {key!r}")
    entries = top.get("addresses")
    if not isinstance(entries, list) or not 1 <= len(entries) <= MAX_ADDRESSES:
        raise ConfigError(f"{path}: addresses is not a list of 1 to {MAX_ADDRESSES}")
    addresses = []
    for entry in entries:
        try:
            decoded = address(entry if isinstance(entry, str) else repr(entry))
        except ConfigError as error:
            raise ConfigError(f"{path}: {error}") from None
        if not decoded[1]:
            raise ConfigError(f"{path}: addresses: {entry!r} has port 0; 1 to 65535 is accepted")
        if decoded in addresses:
            raise ConfigError(f"{path}: addresses: {entry!r} is repeated")
        addresses.append(decoded)
    spread_ms = top.get("spread_ms", 500)
    if type(spread_ms) is not int or not 0 <= spread_ms <= MAX_SPREAD_MS:
        raise ConfigError(f"{path}: spread_ms is not a whole number from 0 to {MAX_SPREAD_MS}")
    return ChangeLogs(tuple(addresses), spread_ms)
