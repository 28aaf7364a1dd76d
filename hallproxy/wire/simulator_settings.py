"""The settings of the simulator and the configuration, decoded from JSON into ``Settings``.

The tables below are the only place that has the external names.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from hallproxy import interface as i

_TOP = ""  # the section of top-level names

_IDEMPOTENCY = {
    "pure": i.Idempotency.IDEMPOTENT,
    "token": i.Idempotency.IDEMPOTENCY_KEY,
    "side_effect": i.Idempotency.NOT_IDEMPOTENT,
}
_IDEMPOTENCY_SCOPE = {"cell": i.Scope.CELL, "zone": i.Scope.ZONE, "all": i.Scope.ALL}
_SIBLING_SCOPE = {"off": i.Scope.NONE, "location": i.Scope.ZONE, "any": i.Scope.ALL}
_FILL_DETAIL = {"off": i.FillDetail.NONE, "hit": i.FillDetail.HIT, "all": i.FillDetail.ALL}
_LOAD_REPORTS = {"off": i.LoadReports.NONE, "on_probe": i.LoadReports.PROBE, "inline": i.LoadReports.ANSWERS}


def _unchanged(value: Any) -> Any:
    return value


@dataclass(frozen=True)
class _SettingKey:
    """The section and key of a field's value, and its conversion; ``default`` makes the key optional."""

    section: str
    key: str
    convert: Callable[[Any], Any] = _unchanged
    default: Any = None

    def read(self, sections: Mapping[str, Any]) -> Any:
        section = sections[self.section]
        value = section[self.key] if self.default is None else section.get(self.key, self.default)
        return self.convert(value)


_CLASS_FIELDS = {
    "latency_objective": _SettingKey(_TOP, "aim_ns"),
    "deadline": _SettingKey(_TOP, "deadline_ns"),
    "priority_weight": _SettingKey(_TOP, "points"),
    "late_weight": _SettingKey(_TOP, "late_share"),
    "objective_stretch": _SettingKey(_TOP, "aim_stretch", default=0.0),
    "idempotency": _SettingKey(_TOP, "effect", _IDEMPOTENCY.__getitem__),
    "idempotency_scope": _SettingKey(_TOP, "dedup_scope", _IDEMPOTENCY_SCOPE.__getitem__),
    "idempotency_window": _SettingKey(_TOP, "key_ttl_ns"),
    "streaming": _SettingKey(_TOP, "stream"),
    "name": _SettingKey(_TOP, "name", default=""),
}
"""Fields of a class from its own entry."""

_CLASS_LISTS = {
    "fresh_for": "fresh_for_ns",
    "stale_grace": "usable_after_ns",
    "multipart": "multi_part",
    "is_write": "class_write",
}
"""Fields of a class from lists in the section ``specifics``, at the class's index."""

_FIELDS = {
    "zone": _SettingKey(_TOP, "zone"),
    "zone_hub": _SettingKey("specifics", "home_hub", tuple),
    "parent_kind": _SettingKey("specifics", "upper_kind"),
    "origin_kind": _SettingKey("specifics", "store_kind"),
    "slow_start_share": _SettingKey("rules", "cold_share"),
    "slow_start_duration": _SettingKey("rules", "cold_ns"),
    "overload_multiple": _SettingKey("rules", "fall_multiple"),
    "overload_window": _SettingKey("rules", "fall_ns"),
    "drain_grace": _SettingKey("rules", "drain_grace_ns"),
    "answer_slack": _SettingKey("rules", "grace_to_answer_ns"),
    "gateways_by_zone": _SettingKey("specifics", "instances_by_zone", tuple),
    "gateway_count": _SettingKey(_TOP, "group_size"),
    "gateway_index": _SettingKey(_TOP, "me"),
    "tick": _SettingKey(_TOP, "tick_ns"),
    "transfer_kb_s": _SettingKey("specifics", "pace_kb_per_s"),
    "zone_link_kb_s": _SettingKey("specifics", "inlet_kb_per_s", tuple),
    "parent_slow_start_share": _SettingKey("specifics", "upper_cold_from"),
    "parent_slow_start_duration": _SettingKey("specifics", "parent_warms_in_ns"),
    "parent_overload_multiple": _SettingKey("specifics", "parent_breaks_at"),
    "origin_overload_multiple": _SettingKey("specifics", "origin_stops_at"),
    "purge_grace": _SettingKey("specifics", "purge_grace_ns"),
    "purge_duration": _SettingKey("specifics", "gone_everywhere_ns"),
    "weights_known": _SettingKey(_TOP, "weight_source", lambda source: source != "off"),
    "fill_detail": _SettingKey("specifics", "detail", _FILL_DETAIL.__getitem__),
    "sibling_scope": _SettingKey("specifics", "peers_fill", _SIBLING_SCOPE.__getitem__),
    "joins_fills": _SettingKey("specifics", "joins"),
    "direct_to_source": _SettingKey("specifics", "may_pass_by"),
    "health_checks": _SettingKey("bounds", "probes"),
    "cancellation": _SettingKey("bounds", "cancelling"),
    "hedging": _SettingKey("bounds", "second_copies"),
    "max_attempts": _SettingKey("bounds", "max_attempts"),
    "max_retry_after": _SettingKey(
        _TOP, "bounds", lambda bounds: bounds["max_retry_after_ns"] if bounds["retry_after"] else 0
    ),
    "connect_timeout": _SettingKey("bounds", "dial_timeout_ns"),
    "load_reports": _SettingKey(_TOP, "feedback", lambda feedback: _LOAD_REPORTS[feedback["source"]]),
    "report_fields": _SettingKey(_TOP, "feedback", lambda feedback: tuple(feedback["names"])),
    "polls_endpoint_list": _SettingKey(_TOP, "membership_mode", lambda mode: mode == "ask"),
    "poll_within": _SettingKey("rules", "must_ask_in_ns"),
    "idle_close": _SettingKey("bounds", "idle_close_ns", default=0),
    "zone_names": _SettingKey(_TOP, "zones", tuple, default=()),
    "kind_names": _SettingKey(_TOP, "models", tuple, default=()),
}


def settings_from_json(text: bytes) -> i.Settings:
    """Settings from the ``options`` text. Unknown names are ignored; a missing one raises SettingsError."""
    try:
        top = json.loads(text)
    except ValueError as error:
        raise i.SettingsError(f"options is not JSON: {error}") from None
    try:
        sections = {
            _TOP: top,
            "bounds": top["bounds"],
            "rules": top["rules"],
            "specifics": top["specifics"],
        }
        classes = tuple(
            _request_class(entry, index, sections["specifics"]) for index, entry in enumerate(top["classes"])
        )
        return i.Settings(
            classes=classes, **{name: setting.read(sections) for name, setting in _FIELDS.items()}
        )
    except KeyError as error:
        raise i.SettingsError(f"options: missing or unknown value {error}") from None
    except (TypeError, IndexError, AttributeError) as error:
        raise i.SettingsError(f"options: {error}") from None


def _request_class(entry: Any, index: int, specifics: Any) -> i.RequestClass:
    sections = {_TOP: entry}
    own = {name: setting.read(sections) for name, setting in _CLASS_FIELDS.items()}
    listed = {name: specifics[key][index] for name, key in _CLASS_LISTS.items()}
    return i.RequestClass(**own, **listed)
