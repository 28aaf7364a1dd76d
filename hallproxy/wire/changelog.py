"""The change log's pages: endpoint lists and purges, decoded into events."""

from __future__ import annotations

import json
import zlib
from collections.abc import Iterator
from typing import Any

from hallproxy import interface as i
from hallproxy.state.events import EndpointListUpdated, PurgeNotified

MS = 1_000_000  # ns
SECOND = 1_000_000_000  # ns
MAX_WAIT_MS = 5_000  # for which a poll may be held
GROUP_COUNT = 256  # groups of objects that are purged together


class ChangeLogError(ValueError):
    """A page that can't be decoded, or whose sequence numbers have a gap (``is_gap``)."""

    is_gap = False


def encode_poll(since: int, wait_ms: int, host: str, accept_gzip: bool = False) -> bytes:
    """A poll for the events after number ``since``; ``accept_gzip``: the response may be compressed."""
    accepts = "Accept-Encoding: gzip\r\n" if accept_gzip else ""
    return f"GET /changes?since={since}&timeout={wait_ms} HTTP/1.1\r\nHost: {host}\r\n{accepts}\r\n".encode()


def decompress(body: bytes, coding: str, max_bytes: int) -> bytes:
    """The body without its content coding (gzip or none); ChangeLogError if over ``max_bytes``."""
    match coding.strip().lower():
        case "" | "identity":
            return body
        case "gzip" | "x-gzip":
            decompressor = zlib.decompressobj(wbits=31)
            try:
                plain = decompressor.decompress(body, max_bytes + 1)
            except zlib.error as error:
                raise ChangeLogError(f"page can't be decompressed: {error}") from None
            # Guards the memory against a small body that decompresses to a huge one.
            if len(plain) > max_bytes:
                raise ChangeLogError(f"page is over {max_bytes} bytes when decompressed")
            if not decompressor.eof or decompressor.unused_data:
                raise ChangeLogError(
                    "page can't be decompressed: gzip data is truncated or has trailing bytes"
                )
            return plain
    raise ChangeLogError(f"Content-Encoding is neither gzip nor identity: {coding[:40]!r}")


def decode_age(text: str) -> int:
    """A response's age (ns) by its ``Age`` header (RFC 9111, 5.1: whole seconds)."""
    if not (text.isascii() and text.isdigit() and len(text) <= 10):
        raise ChangeLogError(f"Age is not a number of seconds of at most 10 digits: {text[:40]!r}")
    return int(text) * SECOND


def decode_page(raw: bytes | str) -> dict[str, Any]:
    """The page in a response's body, its entries not yet decoded."""
    try:
        page = json.loads(raw)
    except (ValueError, RecursionError):  # the latter for deeply nested arrays
        raise ChangeLogError("page is not JSON") from None
    if not isinstance(page, dict):
        raise ChangeLogError("page is not a JSON object")
    return page


def _sorted_entries(page: dict[str, Any]) -> list[tuple[int, dict[str, Any]]]:
    """The page's entries in the order of their sequence numbers."""
    return sorted(((int(entry["seq"]), entry) for entry in page["results"]), key=lambda pair: pair[0])


def snapshot_start(page: dict[str, Any]) -> int | None:
    """The number before a snapshot page's first event; None for any other page.

    A snapshot replaces everything before it: its first event is a full list (``reset``), the next ones purge
    each of the groups, and its numbers have no gap. A follower continues from it whatever its own number is.
    """
    try:
        if len(page["results"]) <= GROUP_COUNT:  # nearly all pages
            return None
        results = _sorted_entries(page)
        if not results[0][1]["fleet"]["reset"]:
            return None
        first = results[0][0]
        if any(seq != first + index for index, (seq, _) in enumerate(results)):
            return None
        purged = set()
        for _, entry in results[1 : GROUP_COUNT + 1]:
            purge = entry["invalidate"]
            if entry.get("fleet") is not None or (purge.get("object") and int(purge["object"], 16)):
                return None
            purged.add(int(purge["bucket"]))
        return first - 1 if purged == set(range(GROUP_COUNT)) else None
    except (KeyError, TypeError, ValueError, AttributeError):
        return None


def decode_events(
    page: dict[str, Any],
    since: int,
    settings: i.Settings,
    now: int,
    allow_gaps: bool = False,
    live: bool = True,
) -> Iterator[tuple[int, EndpointListUpdated | PurgeNotified | None]]:
    """The events after ``since`` in order, each with its number; None for an unknown kind of event.

    A gap in the numbers raises ChangeLogError, as the events after it must not be applied, unless
    ``allow_gaps``: the log has been polled again and has nothing to fill it. Events that are not ``live``
    may be old.
    """
    try:
        for seq, entry in _sorted_entries(page):
            if seq <= since:
                continue
            if seq != since + 1 and not allow_gaps:
                gap = ChangeLogError(f"sequence numbers have a gap between {since} and {seq}")
                gap.is_gap = True
                raise gap
            since = seq
            yield seq, _decode_event(entry, settings, now, live)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        if isinstance(error, ChangeLogError):
            raise
        raise ChangeLogError(f"page can't be decoded: {type(error).__name__} {error}") from None


def _decode_event(
    entry: dict[str, Any], settings: i.Settings, now: int, live: bool
) -> EndpointListUpdated | PurgeNotified | None:
    fleet, purge = entry.get("fleet"), entry.get("invalidate")
    if fleet is not None:
        return _decode_list_update(fleet, settings, now)
    if purge is not None:
        return _decode_purge(purge, now, live)
    return None


def _decode_list_update(fleet: dict[str, Any], settings: i.Settings, now: int) -> EndpointListUpdated:
    decoded = [decode_endpoint(instance, settings) for instance in fleet["instances"]]
    kind = i.EndpointListKind.FULL if fleet.get("reset") else i.EndpointListKind.DELTA
    endpoints = tuple(endpoint for endpoint, _ in decoded)
    change = i.EndpointsChanged(kind, endpoints, int(fleet.get("generation", 0)))
    return EndpointListUpdated(now, change, tuple(address for _, address in decoded))


def _decode_purge(purge: dict[str, Any], now: int, live: bool) -> PurgeNotified:
    object_id = int(purge["object"], 16) if purge.get("object") else 0
    # Purge times are whole milliseconds: a copy generated in the same one may precede the purge.
    purged_at = int(purge["time"]) * MS + MS - 1
    # An endpoint measures an entry's age by its own clock, and ours may be ahead. Counting from the arrival
    # of a live event is slightly strict and never lax, whatever the offset between the two clocks.
    age_counted_from = max(now, purged_at) if live else purged_at
    return PurgeNotified(now, object_id, int(purge.get("bucket", 0)), purged_at, age_counted_from)


_LIFECYCLES = {
    "Ready": i.EndpointState.READY,
    "Terminating": i.EndpointState.DRAINING,
    "Gone": i.EndpointState.GONE,
}


def decode_endpoint(instance: dict[str, Any], settings: i.Settings) -> tuple[i.Endpoint, str]:
    """An endpoint and its address; ValueError for a ready one of a zone or kind not in the settings."""
    zone, kind = instance.get("zone", ""), instance.get("machineType", "")
    state = _LIFECYCLES[instance["lifecycle"]]
    known = zone in settings.zone_names and kind in settings.kind_names
    if not known and state is i.EndpointState.READY:
        raise ValueError(f"zone {zone!r} or machineType {kind!r} is not in the settings")
    return i.Endpoint(
        str(instance["instanceId"]).encode(),
        state,
        settings.kind_names.index(kind) if known else 0,
        settings.zone_names.index(zone) if known else 0,
        int(instance.get("cell") or 0),
        float(instance.get("weight") or 1.0),
        int(instance.get("startedAtMs") or 0) * 1_000_000,
    ), str(instance.get("hostPort", ""))
