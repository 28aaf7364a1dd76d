"""Replace a running gateway's configuration; one that can't be used changes nothing."""

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

    ConfigError or SettingsError where one of them can't be used; nothing has been applied then.
    """
    config = load(os.environ)
    _check_unchanged(gateway, config)
    source = configured_source(config, gateway.files.change_logs)
    if (source.sources is None) != (gateway.poller is None):
        raise ConfigError("a change log where there was none, or none any more, needs a restart")
    teams_file = gateway.files.teams
    teams = platform_teams.load(teams_file, gateway.class_names) if teams_file is not None else None
    check_settings(config.settings)
    _apply(gateway, config, source)
    if teams is not None:
        apply_teams(gateway, teams)


def _check_unchanged(gateway: Gateway, config: Config) -> None:
    """ConfigError where the configuration changes what only a restart can change."""
    if [request_class.name for request_class in config.settings.classes] != gateway.class_names:
        raise ConfigError("other classes need a restart")
    former = gateway.config
    if config.settings.zone != former.settings.zone or config.listen != former.listen:
        raise ConfigError("another zone or address to listen on needs a restart")


def _apply(gateway: Gateway, config: Config, source: ConfiguredSource) -> None:
    loop = gateway.loop
    gateway.codec.settings = config.settings
    loop.dispatch(Reconfigured(loop.now(), config.settings, derive_limits(config)))
    if gateway.poller is not None and source.sources is not None:
        gateway.poller.reconfigure(source.sources, config.known, source.has_alternatives)
