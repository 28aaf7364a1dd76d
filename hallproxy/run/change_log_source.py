"""The addresses that a change log can be polled at."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

from hallproxy.run.config import Address, Config


class Sources(Protocol):
    """Selects the address to poll, given successes and failures. Times are Unix ns."""

    def select(self, now: int) -> Address:
        """The address to connect to next."""
        ...

    def record_failure(self, address: Address, now: int) -> float:
        """Record a failure; returns the backoff (s) before the next connect."""
        ...

    def record_success(self, address: Address, now: int) -> None:
        """Record a success."""
        ...

    def has_alternative(self, address: Address) -> bool:
        """Whether there is another address that has not failed lately."""
        ...

    def preferred(self, now: int) -> Address | None:
        """A preferred address that should be tried alongside the current one, if any."""
        ...


@dataclass(slots=True, frozen=True)
class SingleSource:
    """A single address, polled again without backoff after a failure."""

    address: Address

    def select(self, now: int) -> Address:
        """The one address."""
        return self.address

    def record_failure(self, address: Address, now: int) -> float:
        """No backoff."""
        return 0.0

    def record_success(self, address: Address, now: int) -> None:
        """Nothing to record."""

    def has_alternative(self, address: Address) -> bool:
        """Always false."""
        return False

    def preferred(self, now: int) -> Address | None:
        """Always None."""
        return None


@dataclass(slots=True, frozen=True)
class ConfiguredSource:
    """The change log's sources of one gateway; ``sources`` is None where no log is configured."""

    sources: Sources | None
    has_alternatives: bool


def configured_source(config: Config, change_logs: Path | None) -> ConfiguredSource:
    """The sources in the file of change logs where one is given, otherwise in the configuration."""
    if change_logs is None:
        single = SingleSource(config.changelog) if config.changelog is not None else None
        return ConfiguredSource(single, False)
    # Imported here, as a gateway without the file does not need these modules.
    from hallproxy.run import change_logs as change_logs_file

    logs = change_logs_file.load(change_logs)
    return ConfiguredSource(logs.selection(config), logs.has_alternatives)
