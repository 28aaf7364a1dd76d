"""The gateway's configuration, from the environment and the configuration file."""

from __future__ import annotations

import json
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NamedTuple

from hallproxy import interface as i
from hallproxy.state.events import EndpointListUpdated, PurgeNotified
from hallproxy.wire.changelog import ChangeLogError, decode_events
from hallproxy.wire.simulator_settings import settings_from_json


class ConfigError(ValueError):
    """An invalid configuration; the message is one line."""


def read_toml(path: Path, error: type[ValueError] = ConfigError) -> dict[str, Any]:
    """Read an operators' file; where that fails, ``error`` is raised with a one-line message."""
    try:
        return tomllib.loads(path.read_text("utf-8"))
    except OSError as failed:
        raise error(f"{path} can't be read: {failed.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as failed:
        raise error(f"{path} is not TOML: {failed}") from None


Address = tuple[str, int]


class InitialEvents(NamedTuple):
    """The events to start with, and the number of the last one."""

    last_number: int
    events: list[EndpointListUpdated | PurgeNotified]


@dataclass(slots=True, frozen=True)
class Config:
    """The configuration of one gateway, decoded and checked."""

    name: str
    listen: Address
    seed: int
    memory_mb: int
    sockets: int
    changelog: Address | None
    transfer_bytes_s: int  # bytes/s of one response from the local cache; 0: unknown
    uplink_bytes_s: int  # bytes/s of all of them together
    known_events: dict[str, Any]  # a page of the change log
    settings: i.Settings

    def initial_events(self, now: int) -> InitialEvents:
        """The change log's events that the configuration contains."""
        last, events = 0, []
        # After a restart the log counts from 1 again, but `known` may leave out superseded events.
        for seq, event in decode_events(
            self.known_events, 0, self.settings, now, allow_gaps=True, live=False
        ):
            last = seq
            if event is not None:
                events.append(event)
        return InitialEvents(max(last, int(self.known_events.get("seq", 0))), events)


def address(text: object) -> Address:
    """Decode HOST:PORT; ConfigError where it is invalid."""
    host, _, port = str(text).rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or int(port) > 65_535:
        raise ConfigError(f"{text!r} is not an address HOST:PORT")
    return host, int(port)


def load(environ: Mapping[str, str]) -> Config:
    """Read the file that EDGE_CONFIG names; ConfigError with a one-line message where it is invalid."""
    path = environ.get("EDGE_CONFIG")
    if not path:
        raise ConfigError("EDGE_CONFIG is not set to a configuration file")
    try:
        top = json.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigError(f"{path} can't be read: {error.strerror}") from None
    except ValueError as error:
        raise ConfigError(f"{path} is not JSON: {error}") from None
    if not isinstance(top, dict):
        raise ConfigError(f"{path} is not a JSON object")
    try:
        limits = top.get("limits") or {}
        return Config(
            name=environ.get("EDGE_NAME") or str(top.get("name", "")),
            listen=address(environ.get("EDGE_LISTEN") or top["listen"]),
            seed=int(str(top.get("seed", "0")), 16),
            memory_mb=int(limits.get("memory_mb", 192)),
            sockets=int(limits.get("sockets", 1024)),
            changelog=address(top["changelog"]) if top.get("changelog") else None,
            transfer_bytes_s=int(top.get("flow_bytes_per_s") or 0),
            uplink_bytes_s=int(top.get("link_bytes_per_s") or 0),
            known_events=top.get("known") or {"seq": 0, "results": []},
            settings=settings_from_json(json.dumps(top["settings"]).encode()),
        )
    except KeyError as error:
        raise ConfigError(f"{path}: {error} is missing") from None
    except (ConfigError, i.SettingsError, ChangeLogError) as error:
        raise ConfigError(f"{path}: {error}") from None
    except (TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"{path}: {error}") from None
