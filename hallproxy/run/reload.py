"""Replacing a running gateway's configuration; an invalid one changes nothing."""

from __future__ import annotations

import os

from hallproxy.decisions.settings import check_settings
from hallproxy.run import platform_teams
from hallproxy.run.change_log_source import ConfiguredSource, configured_source
from hallproxy.run.config import Config, ConfigError, load
from hallproxy.run.gateway import Gateway, apply_teams
from hallproxy.run.limits import derive_limits
from hallproxy.state.events import Reconfigured


def reload(gateway: Gateway) -> None:
    """Read the configuration and its files and apply them together.

    ConfigError or SettingsError where one of them is invalid; then nothing has been applied.
    """
    config = load(os.environ)
    _check_unchanged(gateway, config)
    source = configured_source(config, gateway.files.change_logs)
    if (source.sources is None) != (gateway.poller is None):
        raise ConfigError("adding or removing the change log needs a restart")
    teams_file = gateway.files.teams
    teams = platform_teams.load(teams_file, gateway.class_names) if teams_file is not None else None
    check_settings(config.settings)
    _apply(gateway, config, source)
    if teams is not None:
        apply_teams(gateway, teams)


def _check_unchanged(gateway: Gateway, config: Config) -> None:
    """ConfigError where the configuration changes what only a restart can change."""
    if [request_class.name for request_class in config.settings.classes] != gateway.class_names:
        raise ConfigError("changing the classes needs a restart")
    previous = gateway.config
    if config.settings.zone != previous.settings.zone or config.listen != previous.listen:
        raise ConfigError("changing the zone or the listening address needs a restart")


def _apply(gateway: Gateway, config: Config, source: ConfiguredSource) -> None:
    runner = gateway.runner
    gateway.codec.settings = config.settings
    runner.dispatch(Reconfigured(runner.now(), config.settings, derive_limits(config)))
    if gateway.poller is not None and source.sources is not None:
        gateway.poller.reconfigure(source.sources, config.known_events, source.has_alternatives)
