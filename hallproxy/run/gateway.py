"""The components of one running gateway, and how they are built from its configuration."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path

from hallproxy.decisions import Router
from hallproxy.run import platform_teams
from hallproxy.run.change_log_poller import Poller
from hallproxy.run.change_log_source import ConfiguredSource, configured_source
from hallproxy.run.config import Config
from hallproxy.run.downstream_connections import DownstreamConnections
from hallproxy.run.effect_runner import EffectRunner
from hallproxy.run.limits import derive_limits
from hallproxy.run.upstream_connections import UpstreamConnections
from hallproxy.state.events import ContractsUpdated, WatchCaughtUp
from hallproxy.state.model import GatewayState
from hallproxy.wire.stores import PlatformProtocol


@dataclass(slots=True, frozen=True)
class GatewayFiles:
    """Optional files besides the configuration; each reload reads them again."""

    teams: Path | None = None
    change_logs: Path | None = None


@dataclass(slots=True)
class Gateway:
    """The configuration at the start, and the components that a reload or a shutdown acts on."""

    config: Config
    files: GatewayFiles
    runner: EffectRunner
    codec: PlatformProtocol
    clients: DownstreamConnections
    class_names: list[str]
    poller: Poller | None = field(default=None)


def build(config: Config, files: GatewayFiles) -> Gateway:
    """Build the components and apply the files; ConfigError where one of them is invalid."""
    source = configured_source(config, files.change_logs)
    runner = EffectRunner(
        GatewayState(config.settings, Router(config.settings, config.seed), derive_limits(config))
    )
    codec = PlatformProtocol(config.settings)
    runner.connections = UpstreamConnections(runner, codec)
    since = _apply_known_events(runner, config)
    if source.sources is not None:
        runner.dispatch(WatchCaughtUp(runner.now()))
    class_names = [request_class.name for request_class in config.settings.classes]
    gateway = Gateway(config, files, runner, codec, DownstreamConnections(runner), class_names)
    if files.teams is not None:
        apply_teams(gateway, platform_teams.load(files.teams, class_names))
    gateway.poller = _poller(runner, source, since)
    return gateway


def apply_teams(gateway: Gateway, teams: platform_teams.PlatformTeams) -> None:
    """Attribute new requests to these teams and enforce their contracts."""
    gateway.clients.teams = teams
    gateway.runner.dispatch(ContractsUpdated(gateway.runner.now(), teams.contracts))


def _apply_known_events(runner: EffectRunner, config: Config) -> int:
    """Apply the events that the configuration contains; returns the number of the last one."""
    since, events = config.initial_events(runner.now())
    for event in events:
        runner.dispatch(event)
    return since


def _poller(runner: EffectRunner, source: ConfiguredSource, since: int) -> Poller | None:
    if source.sources is None:
        return None
    return Poller(runner, source.sources, since, source.has_alternatives)
