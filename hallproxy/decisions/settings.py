"""Validation of the settings, and values derived from them."""

from __future__ import annotations

from hallproxy.interface import Settings, SettingsError


def check_settings(settings: Settings) -> None:
    """Raise SettingsError, which names the setting, where a required one is missing or out of range."""
    deadlines = [request_class.deadline for request_class in settings.classes]
    objectives = [request_class.latency_objective for request_class in settings.classes]
    checks: tuple[tuple[str, object, bool], ...] = (
        ("classes", settings.classes, bool(settings.classes)),
        ("zone", settings.zone, 0 <= settings.zone < max(1, len(settings.zone_hub))),
        ("zone_hub", settings.zone_hub, bool(settings.zone_hub)),
        ("slow_start_duration", settings.slow_start_duration, settings.slow_start_duration >= 0),
        ("overload_window", settings.overload_window, settings.overload_window > 0),
        ("overload_multiple", settings.overload_multiple, settings.overload_multiple > 0),
        ("drain_grace", settings.drain_grace, settings.drain_grace >= 0),
        ("slow_start_share", settings.slow_start_share, 0 < settings.slow_start_share <= 1),
        ("max_attempts", settings.max_attempts, settings.max_attempts >= 1),
        ("classes.deadline", deadlines, all(deadline > 0 for deadline in deadlines)),
        ("classes.latency_objective", objectives, all(objective > 0 for objective in objectives)),
    )
    for name, value, is_valid in checks:
        if not is_valid:
            raise SettingsError(f"setting {name} is missing or out of range: {value!r}")


def gateways_in_zone(settings: Settings) -> int:
    """Count the gateways that share this gateway's zone, itself included."""
    by_zone = settings.gateways_by_zone
    return max(1, by_zone[settings.zone] if by_zone else settings.gateway_count)
