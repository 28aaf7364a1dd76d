"""The change log as a relay republishes it: applies upstream pages and selects each follower's page."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from typing import Any

from hallproxy.feed import GROUP_COUNT, MS, FeedError, GapError
from hallproxy.feed.event_ring import Entry, EventRing, is_snapshot
from hallproxy.feed.pages import MB, Page, PageCache, build_page

MAX_PAGE_BYTES = 8 * MB  # of an events page; followers reject one of over 16 MB
MAX_NUMBERS_AHEAD = 4_096  # a follower ahead by at most this may come from a relay that is slightly ahead
NO_GAP = -1
NOT_WAITING = -1


class PageKind(Enum):
    """Which page a follower gets, by the number that it polls from."""

    EVENTS = auto()  # the events after its number
    SNAPSHOT = auto()  # the endpoint list and a purge of every group, whatever its number
    UP_TO_DATE = auto()  # no new events
    AHEAD = auto()  # its number is ahead: a snapshot, unless the log reaches that number while it waits
    UNKNOWN = auto()  # its number may be of another incarnation, and a snapshot needs an endpoint list
    UNAVAILABLE = auto()  # its events are no longer in the ring, and a snapshot needs an endpoint list


@dataclass(slots=True, frozen=True)
class ChangeLogLimits:
    """Limits of memory and delay."""

    gather_delay: int = 250 * MS  # ns; the longest that an event waits to be published with others
    max_events: int = 16_384  # in the ring
    max_page_events: int = 4_096
    max_endpoints: int = 8_192


@dataclass(slots=True, frozen=True)
class _UpstreamPage:
    results: list[Entry]
    last_number: int | None  # None: the page does not contain it


class ChangeLog:
    """A change log's events; waiting polls get those up to ``published``.

    An incarnation of the log lasts until its numbers start again. ``former_last`` is the highest number of
    the incarnations before the current one: until the numbers have passed it, a number that a follower polls
    from may be of either.
    """

    def __init__(self, limits: ChangeLogLimits) -> None:
        self.limits = limits
        self.ring = self._empty_ring()
        self.published = 0
        self.publish_count = 0
        self.incarnation = 0
        self.former_last = -1
        self.pages = PageCache()
        self.caught_up = False  # whether the last upstream page reached the log's last event
        self._waiting_since = NOT_WAITING  # ns at which the first unpublished event arrived
        self._rebuilt: EventRing | None = None  # the events since the upstream was polled from 0 again
        self._log_restarted = False  # whether the rebuild began because the upstream's numbers went back
        self._gap_after = NO_GAP  # the number after which a gap was found; polled again from there

    def _empty_ring(self) -> EventRing:
        return EventRing(self.limits.max_events, self.limits.max_endpoints)

    def configure(self, limits: ChangeLogLimits) -> None:
        """Apply other limits, also to the stored events."""
        self.limits = limits
        for ring in (self.ring, self._rebuilt):
            if ring is not None:
                ring.max_events = limits.max_events
                ring.max_endpoints = limits.max_endpoints
                ring.trim()

    @property
    def poll_from(self) -> int:
        """The number that the upstream is to be polled from."""
        return (self._rebuilt or self.ring).last_number

    @property
    def ambiguous(self) -> bool:
        """Whether a follower's number may be of a former incarnation."""
        return self.ring.last_number <= self.former_last

    def apply(self, page: dict[str, Any], now: int) -> int:
        """Apply an upstream page, or raise FeedError and apply nothing of it.

        Returns the number of events that it added, those of a snapshot itself not counted. ``poll_from`` is
        0 afterwards where the log's numbers have gone back, or where the second poll shows the same gap.
        """
        parsed = _parse_page(page)
        if is_snapshot(parsed.results):
            return self._apply_snapshot(parsed)
        ring = self._rebuilt or self.ring
        if parsed.last_number is not None and parsed.last_number < ring.last_number:
            self._start_rebuild()
            return 0
        previous_last = ring.last_number
        try:
            list_changed = ring.apply(parsed.results, allow_gaps=self._gap_after == 0 == previous_last)
        except GapError:
            self._on_gap(previous_last)
            raise
        self._gap_after = NO_GAP
        self.caught_up = parsed.last_number is None or ring.last_number >= parsed.last_number
        self._publish_applied(ring, previous_last, list_changed, now)
        return ring.last_number - previous_last

    def _publish_applied(self, ring: EventRing, previous_last: int, list_changed: bool, now: int) -> None:
        """Publish without delay a completed rebuild and a change of the endpoint list."""
        if ring is self._rebuilt:
            if self.caught_up:
                self._replace_ring(ring)
            return
        if ring.last_number == previous_last:
            return
        if self._waiting_since < 0:
            self._waiting_since = now
        if list_changed:
            self.publish()

    def _start_rebuild(self) -> None:
        self._rebuilt = self._empty_ring()
        self._log_restarted = True
        self._gap_after = NO_GAP
        self.caught_up = False

    def _on_gap(self, number: int) -> None:
        """Poll again from the same number after the first page with a gap, and from 0 after the second."""
        if self._gap_after != number:
            self._gap_after = number
        else:
            self._rebuilt = self._empty_ring()
            self._gap_after = NO_GAP

    def _apply_snapshot(self, page: _UpstreamPage) -> int:
        ring = self._empty_ring()
        ring.last_number = int(page.results[0]["seq"]) - 1
        ring.apply(page.results[: GROUP_COUNT + 1])
        ring.clear_events()  # the events of a snapshot are synthetic
        ring.apply(page.results[GROUP_COUNT + 1 :])
        self._gap_after = NO_GAP
        self.caught_up = page.last_number is None or ring.last_number >= page.last_number
        self._replace_ring(ring)
        return len(page.results) - GROUP_COUNT - 1

    def _replace_ring(self, ring: EventRing) -> None:
        """Replace the current ring by ``ring`` and publish it."""
        if self._log_restarted or ring.last_number < self.ring.last_number:
            self.incarnation += 1
            self.former_last = max(self.former_last, self.ring.last_number)
        # Includes purges of a former incarnation: a follower may lack the last of them.
        ring.latest_purge = max(ring.latest_purge, self.ring.latest_purge)
        self.ring = ring
        self._rebuilt = None
        self._log_restarted = False
        self.pages.clear()
        self.publish()

    def publish_at(self) -> int | None:
        """The time (ns) at which to publish the gathered events; None: there are none."""
        if self._waiting_since < 0 or not self.caught_up:
            return None
        return self._waiting_since + self.limits.gather_delay

    def publish(self) -> None:
        """Make everything up to the last event available to waiting polls."""
        self.published = self.ring.last_number
        self._waiting_since = NOT_WAITING
        self.publish_count += 1

    def page_kind(self, since: int, incarnation: int, at_once: bool) -> PageKind:
        """What a follower that polls from ``since`` gets.

        ``incarnation``: that of the last response to it, -1 for none. ``at_once``: its poll does not wait,
        and gets unpublished events as well. For AHEAD the caller lets it wait all the same: a snapshot makes
        a gateway drop its local cache.
        """
        ring = self.ring
        if incarnation != self.incarnation and (incarnation >= 0 or self.ambiguous):
            return PageKind.SNAPSHOT if ring.has_endpoint_list else PageKind.UNKNOWN
        if since > ring.last_number:
            if not ring.has_endpoint_list:
                return PageKind.UNKNOWN
            return PageKind.AHEAD if since - ring.last_number <= MAX_NUMBERS_AHEAD else PageKind.SNAPSHOT
        if since < ring.first_number - 1:
            return PageKind.SNAPSHOT if ring.has_endpoint_list else PageKind.UNAVAILABLE
        return PageKind.EVENTS if since < self._last_visible(at_once) else PageKind.UP_TO_DATE

    def _last_visible(self, at_once: bool) -> int:
        return self.ring.last_number if at_once else self.published

    def events_page(self, since: int, accept_gzip: bool, at_once: bool) -> Page:
        """The events after ``since``, as many as fit into one page.

        A page has ``max_page_events`` at most, and ``MAX_PAGE_BYTES`` unless one event alone is longer.
        """
        last = self._last_visible(at_once)
        end = min(last, since + self.limits.max_page_events)

        def build() -> Page:
            events = self.ring.events_after(since, end, MAX_PAGE_BYTES)
            return build_page(b",".join(events), last, accept_gzip, len(events))

        return self.pages.get((since, end, end < last, accept_gzip), build)

    def snapshot_page(self, accept_gzip: bool, at_once: bool) -> Page:
        """The endpoint list and a purge of every group."""
        end = self._last_visible(at_once)

        def build() -> Page:
            return build_page(self.ring.snapshot(end), end, accept_gzip, GROUP_COUNT + 1)

        return self.pages.get(("snapshot", end, self.ring.latest_purge, accept_gzip), build)

    def empty_page(self, since: int, number_known: bool = True) -> Page:
        """A page without events for a follower at ``since``; not ``number_known``: of unknown incarnation.

        The last number is never below a known ``since``, which may be that of an unpublished event: the
        follower would conclude that the log had gone back.
        """
        last = max(self.published, since) if number_known else self.ring.last_number
        return self.pages.get(("empty", last), lambda: build_page(b"", last, False, 0))


def _parse_page(page: dict[str, Any]) -> _UpstreamPage:
    """The page's events and last number; FeedError where either is invalid."""
    try:
        results = page["results"]
        last_number = int(page["seq"]) if "seq" in page else None
    except (KeyError, TypeError, ValueError) as error:
        raise FeedError(f"page has missing or invalid fields: {type(error).__name__} {error}") from None
    if not isinstance(results, list) or (last_number is not None and last_number < 0):
        raise FeedError("page has no list of events, or its last number is negative")
    return _UpstreamPage(results, last_number)
