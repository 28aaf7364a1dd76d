"""The relay's configuration file."""

from __future__ import annotations

import re
import resource
from dataclasses import dataclass
from pathlib import Path

from hallproxy.feed import MS
from hallproxy.feed.change_log import ChangeLogLimits
from hallproxy.run.config import Address, ConfigError, address, read_toml
from hallproxy.run.log import log_line

NAME_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,64}")
LOOPBACK, ANY_HOST = "127.0.0.1", "0.0.0.0"
RESERVED_DESCRIPTORS = 48  # for the listener, the upstream, the log and connections being closed
# Key: minimum, maximum, default.
INTEGER_SETTINGS = {
    "gather_ms": (0, 5_000, 250),
    "ring_events": (512, 1_048_576, 16_384),
    "page_events": (1, 65_536, 4_096),
    "followers": (1, 65_536, 2_000),
    "members": (1, 32_768, 8_192),
    "current_ms": (100, 60_000, 1_000),
    "spread_ms": (0, 60_000, 500),
    "wait_ms": (10, 5_000, 500),
}
KEYS = {"name", "listen", "upstream", *INTEGER_SETTINGS}


@dataclass(slots=True, frozen=True)
class RelayConfig:
    """A relay's settings.

    Attributes:
        max_followers: the maximum of followers' connections.
        max_age: ns without a complete upstream response after which the relay is stale.
        spread_ms: the time over which followers that lose an upstream together reconnect to others.
        wait_ms: the time that the upstream may let a poll wait.
    """

    name: str
    listen: Address
    upstream: tuple[Address, ...]
    limits: ChangeLogLimits
    max_followers: int
    max_age: int  # ns
    spread_ms: int
    wait_ms: int


def load(path: Path) -> RelayConfig:
    """Read and check the file; ConfigError, in one line, if it is invalid."""
    settings = read_toml(path)
    try:
        for key in settings:
            if key not in KEYS:
                raise ConfigError(f"unknown key {key!r}")
        name, listen = _string(settings, "name"), _parse_address("listen", _string(settings, "listen"))
        if not NAME_PATTERN.fullmatch(name):
            raise ConfigError(f"name {name!r} is not 1 to 64 letters, digits, dots, hyphens and underscores")
        values = {key: _integer(settings, key) for key in INTEGER_SETTINGS}
        return RelayConfig(
            name=name,
            listen=listen,
            upstream=_upstream(settings["upstream"], listen),
            limits=ChangeLogLimits(
                gather_delay=values["gather_ms"] * MS,
                max_events=values["ring_events"],
                max_page_events=values["page_events"],
                max_endpoints=values["members"],
            ),
            max_followers=values["followers"],
            max_age=values["current_ms"] * MS,
            spread_ms=values["spread_ms"],
            wait_ms=values["wait_ms"],
        )
    except KeyError as error:
        raise ConfigError(f"{path}: {error} is missing") from None
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}") from None


def _string(settings: dict[str, object], key: str) -> str:
    value = settings[key]
    if not isinstance(value, str):
        raise ConfigError(f"{key} is {value!r}, not a string")
    return value


def _integer(settings: dict[str, object], key: str) -> int:
    minimum, maximum, default = INTEGER_SETTINGS[key]
    value = settings.get(key, default)
    if type(value) is not int or not minimum <= value <= maximum:
        raise ConfigError(f"{key} is {value!r}, not an integer from {minimum} to {maximum}")
    return value


def _parse_address(key: str, value: object) -> Address:
    try:
        return address(value)
    except ConfigError as error:
        raise ConfigError(f"{key}: {error}") from None


def _upstream(value: object, listen: Address) -> tuple[Address, ...]:
    if not isinstance(value, list) or not value or not all(isinstance(v, str) for v in value):
        raise ConfigError('upstream is not a list of one or more addresses, ["host:port", ...]')
    addresses = tuple(_parse_address("upstream", v) for v in value)
    if len(set(addresses)) < len(addresses):
        raise ConfigError("upstream contains an address twice")
    own_hosts = {LOOPBACK, ANY_HOST} if _normalized_host(listen[0]) in (LOOPBACK, ANY_HOST) else {listen[0]}
    for host, port in addresses:
        # Loops through other relays are detected by ``Via``; this one can be rejected here.
        if port == listen[1] and _normalized_host(host) in own_hosts:
            raise ConfigError(f"upstream contains the relay's own address {host}:{port}")
    if any(port == 0 for _, port in addresses):
        raise ConfigError("upstream contains an address with port 0")
    return addresses


def _normalized_host(host: str) -> str:
    return LOOPBACK if host == "localhost" else host


def connection_limit(max_followers: int) -> int:
    """``max_followers``, or as many as the descriptor limit allows: further ones could not be opened."""
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if limit == resource.RLIM_INFINITY or max_followers <= limit - RESERVED_DESCRIPTORS:
        return max_followers
    allowed = max(1, limit - RESERVED_DESCRIPTORS)
    log_line(f"followers: {allowed} instead of {max_followers}, as the process may open {limit} descriptors")
    return allowed
