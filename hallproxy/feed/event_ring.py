"""A change log's last events, and the state that results from all of its events."""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import orjson

from hallproxy.feed import GROUP_COUNT, FeedError, GapError

Entry = dict[str, Any]  # an event, or an endpoint of the list, decoded from JSON
GONE = "Gone"
MAX_EVENT_BYTES = 64 * 1024 * 1024  # of the events in the ring: endpoint lists are large
MAX_PURGE_TIME = 253_402_300_799_999  # Unix ms; the end of the year 9999
MAX_OBJECT_DIGITS = 32  # hexadecimal
_GROUPS = set(range(GROUP_COUNT))
_HEX = re.compile(r"[0-9A-Fa-f\n]*")


@dataclass(slots=True, frozen=True)
class _NewEvents:
    """Events in order; ``before_gap`` of them precede the last gap."""

    results: list[Entry]
    before_gap: int = 0
    has_gap: bool = False


@dataclass(slots=True)
class EventRing:
    """``events`` are the last ones as JSON, contiguous, up to number ``last_number``.

    ``endpoints`` is the endpoint list by instanceId, empty until an event has contained one. ``latest_purge``
    is the latest time of a purge, Unix ms. All numbers are the log's.
    """

    max_events: int = 16_384
    max_endpoints: int = 8_192
    events: list[bytes] = field(default_factory=list)
    last_number: int = 0
    endpoints: dict[str, Entry] = field(default_factory=dict)
    generation: int = 0
    has_endpoint_list: bool = False
    latest_purge: int = 0
    event_bytes: int = 0  # of ``events``

    @property
    def first_number(self) -> int:
        """Number of the first event in the ring; one past the last where there is none."""
        return self.last_number - len(self.events) + 1

    def apply(self, results: list[Entry], allow_gaps: bool = False) -> bool:
        """Apply the events after ``last_number``, all or none; returns whether the endpoint list has changed.

        ``allow_gaps``: the log has no events that fill a gap. Then only the events after the last gap are
        stored, as no follower may continue across it.
        """
        try:
            new = self._select_new(results, allow_gaps)
            results = new.results
            if not results:
                return False
            list_updates = [entry["fleet"] for entry in results if entry.get("fleet") is not None]
            endpoints, generation = self._updated_endpoints(list_updates)
            latest_purge = max(self.latest_purge, _latest_purge(results))
            first = max(new.before_gap, len(results) - self.max_events)
            encoded = [orjson.dumps(entry) for entry in results[first:]]
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            if isinstance(error, FeedError):
                raise
            raise FeedError(
                f"events have missing or invalid fields: {type(error).__name__} {error}"
            ) from None
        if new.has_gap:
            self.clear_events()  # the stored events end before a gap
        self.events += encoded
        self.event_bytes += sum(map(len, encoded))
        self.last_number = results[-1]["seq"]
        self.endpoints, self.generation, self.latest_purge = endpoints, generation, latest_purge
        self.has_endpoint_list |= bool(list_updates)
        self.trim()
        return bool(list_updates)

    def clear_events(self) -> None:
        """Empty the ring: no follower may continue from within the events so far."""
        self.events = []
        self.event_bytes = 0

    def trim(self) -> None:
        """Drop the oldest events beyond the limits of number and bytes."""
        dropped = max(0, len(self.events) - self.max_events)
        remaining = self.event_bytes - sum(map(len, self.events[:dropped]))
        while remaining > MAX_EVENT_BYTES:
            remaining -= len(self.events[dropped])
            dropped += 1
        if dropped:
            del self.events[:dropped]
        self.event_bytes = remaining

    def _select_new(self, results: list[Entry], allow_gaps: bool) -> _NewEvents:
        """The events after ``last_number`` in order; FeedError or GapError where they can't be used."""
        next_number = self.last_number + 1
        numbers = [entry["seq"] for entry in results]
        if not set(map(type, numbers)) <= {int}:
            raise FeedError("event number is not an integer")
        # The common case; one comparison, as a backlog has hundreds of thousands of events.
        if numbers == list(range(next_number, next_number + len(numbers))):
            return _NewEvents(results)
        # Events may be repeated and in any order.
        by_number = {entry["seq"]: entry for entry in results if entry["seq"] >= next_number}
        numbers = sorted(by_number)
        results = [by_number[n] for n in numbers]
        before_gap, has_gap, expected = 0, False, next_number
        for index, number in enumerate(numbers):
            if number != expected:
                if not allow_gaps:
                    raise GapError(f"the change log leaves a gap between {expected - 1} and {number}")
                before_gap, has_gap = index, True
            expected = number + 1
        return _NewEvents(results, before_gap, has_gap)

    def _updated_endpoints(self, list_updates: Iterable[Entry]) -> tuple[dict[str, Entry], int]:
        endpoints, generation = self.endpoints, self.generation
        for update in list_updates:
            endpoints = {} if update.get("reset") else dict(endpoints)
            generation = int(update.get("generation") or 0)
            for endpoint in update["instances"]:
                name, lifecycle = endpoint["instanceId"], endpoint["lifecycle"]
                if not isinstance(name, str) or not isinstance(lifecycle, str):
                    raise FeedError("endpoint has no instanceId or no lifecycle of type string")
                if lifecycle == GONE:
                    endpoints.pop(name, None)
                else:
                    endpoints[name] = endpoint
            if len(endpoints) > self.max_endpoints:
                raise FeedError(f"endpoint list has more than {self.max_endpoints} endpoints")
        return endpoints, generation

    def events_after(self, since: int, end: int, max_bytes: int) -> list[bytes]:
        """The events after ``since`` up to ``end``, all in the ring; at most ``max_bytes``, or one event."""
        events = self.events[since + 1 - self.first_number : end + 1 - self.first_number]
        if sum(map(len, events)) > max_bytes:
            size = 0
            for index, event in enumerate(events):
                size += len(event) + 1
                if size > max_bytes:
                    return events[: max(1, index)]
        return events

    def snapshot(self, end: int) -> bytes:
        """The endpoint list and a purge of each group, numbered up to ``end``; replaces all before."""
        fleet = {"generation": self.generation, "reset": True, "instances": list(self.endpoints.values())}
        number = end - GROUP_COUNT
        events = [orjson.dumps({"seq": number, "fleet": fleet})]
        for group in range(GROUP_COUNT):
            number += 1
            purge = {"object": "", "bucket": group, "time": self.latest_purge}
            events.append(orjson.dumps({"seq": number, "invalidate": purge}))
        return b",".join(events)


def _latest_purge(results: list[Entry]) -> int:
    """The latest time of a purge among these events, 0 without one; FeedError for one a gateway can't read.

    All are checked in a few passes, as a backlog has hundreds of thousands.
    """
    purges = [entry["invalidate"] for entry in results if entry.get("invalidate") is not None]
    if not purges:
        return 0
    times = [purge["time"] for purge in purges]
    if set(map(type, times)) != {int} or min(times) < 0 or max(times) > MAX_PURGE_TIME:
        raise FeedError("purge time is not an integer of Unix ms from 0 to the end of the year 9999")
    objects = [purge.get("object") or "" for purge in purges]
    if max(map(len, objects)) > MAX_OBJECT_DIGITS or not _HEX.fullmatch("\n".join(objects)):
        raise FeedError("purge object is not a hexadecimal number of up to 32 digits")
    groups = {purge.get("bucket", 0) for purge in purges if not purge.get("object")}
    if not groups <= _GROUPS or not set(map(type, groups)) <= {int}:
        raise FeedError("purge group is not an integer from 0 to 255")
    latest: int = max(times)
    return latest


def is_snapshot(results: list[Entry]) -> bool:
    """Whether these events replace all earlier ones: an endpoint list, then a purge of each group."""
    if len(results) <= GROUP_COUNT:
        return False
    try:
        fleet = results[0].get("fleet")
        if not fleet or not fleet.get("reset"):
            return False
        numbers = [entry["seq"] for entry in results]
        if numbers != list(range(numbers[0], numbers[0] + len(numbers))):
            return False
        purges = [entry.get("invalidate") for entry in results[1 : GROUP_COUNT + 1]]
        groups = {int(purge["bucket"]) for purge in purges if purge and not purge.get("object")}
        return groups == _GROUPS
    except (KeyError, TypeError, ValueError, AttributeError):
        return False
