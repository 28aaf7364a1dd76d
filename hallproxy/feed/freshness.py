"""The age of the change log's events at a relay, and the relays that they passed."""

from __future__ import annotations

import re
from dataclasses import dataclass

from hallproxy.feed import SECOND, FeedError

NEVER = -(1 << 62)  # ns
VIA_COMMENT = re.compile(r"\([^()]*\)")
MAX_RELAYS = 16  # between the change log and here


def via_names(field: str) -> tuple[str, ...]:
    """The names in a ``Via`` field, that of the first relay first (RFC 9110, 7.6.3)."""
    names = []
    for part in VIA_COMMENT.sub("", field).split(","):
        tokens = part.split()
        if len(tokens) >= 2:
            names.append(tokens[1])
    return tuple(names)


@dataclass(slots=True)
class Freshness:
    """``name`` is this relay's; after ``max_age`` ns without an upstream response it is stale.

    Times are ns. ``upstream_polled_at``: the last poll of the upstream that returned all its events.
    ``log_polled_at``: the same for the change log itself, earlier by the ages at all relays between.
    """

    name: str
    max_age: int
    upstream_polled_at: int = NEVER
    log_polled_at: int = NEVER
    upstream_relays: tuple[str, ...] = ()  # between the change log and here
    via: bytes = b""  # the ``Via`` field that this relay sends

    def __post_init__(self) -> None:
        self._set_path(self.upstream_relays)

    def check_path(self, via: tuple[str, ...]) -> None:
        """FeedError where the events have passed this relay already, or too many relays."""
        if self.name in via:
            raise FeedError(f"loop of relays: events arrived via {', '.join(via)}")
        if len(via) > MAX_RELAYS:
            raise FeedError(f"events have passed more than {MAX_RELAYS} relays")

    def update(self, polled_at: int, age: int, via: tuple[str, ...]) -> None:
        """Record a response with all events, generated at ``polled_at`` or later and ``age`` ns old then."""
        self.upstream_polled_at = max(self.upstream_polled_at, polled_at)
        self.log_polled_at = max(self.log_polled_at, polled_at - age)
        if via != self.upstream_relays:
            self._set_path(via)

    def is_stale(self, now: int) -> bool:
        """Whether the last complete response of the upstream is older than ``max_age``."""
        return now - self.upstream_polled_at > self.max_age

    def age_seconds(self, now: int) -> int:
        """Seconds since the change log was last polled, rounded up (RFC 9111 uses whole seconds)."""
        return max(0, -((self.log_polled_at - now) // SECOND))

    def _set_path(self, upstream_relays: tuple[str, ...]) -> None:
        self.upstream_relays = upstream_relays
        self.via = ", ".join(f"1.1 {name}" for name in (*upstream_relays, self.name)).encode()
