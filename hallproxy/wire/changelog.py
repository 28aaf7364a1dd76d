"""The change log's pages: endpoint lists and purges, decoded into events."""

from __future__ import annotations

import json
import zlib
from collections.abc import Iterator
from typing import Any

from hallproxy import interface as i
from hallproxy.state.events import EndpointListUpdated, PurgeNotified

MS = 1_000_000
SECOND = 1_000_000_000
MAX_WAIT_MS = 5_000  # of a poll
GROUP_COUNT = 256  # groups of objects that are purged together


class ChangeLogError(ValueError):
    """A page that can't be read; the text says why. ``is_gap``: it can, but its numbers leave a gap."""

    is_gap = False


def encode_poll(since: int, wait_ms: int, host: str, accept_gzip: bool = False) -> bytes:
    """A poll for what follows number ``since``; ``accept_gzip``: the response may come compressed."""
    accepts = "Accept-Encoding: gzip\r\n" if accept_gzip else ""
    return f"GET /changes?since={since}&timeout={wait_ms} HTTP/1.1\r\nHost: {host}\r\n{accepts}\r\n".encode()


def decompress(body: bytes, coding: str, max_bytes: int) -> bytes:
    """The body without its coding (Content-Encoding; gzip or none), ``max_bytes`` bytes at most."""
    match coding.strip().lower():
        case "" | "identity":
            return body
        case "gzip" | "x-gzip":
            unpacking = zlib.decompressobj(wbits=31)
            try:
                plain = unpacking.decompress(body, max_bytes + 1)
            except zlib.error as error:
                raise ChangeLogError(f"news that can't be unpacked: {error}") from None
            # Guards the memory against a small body that stands for a huge one.
            if len(plain) > max_bytes:
                raise ChangeLogError(f"news of over {max_bytes} bytes")
            if not unpacking.eof or unpacking.unused_data:
                raise ChangeLogError("news that can't be unpacked: it does not end with its coding")
            return plain
    raise ChangeLogError(f"news in a coding that nobody asked for: {coding[:40]!r}")


def decode_age(text: str) -> int:
    """How old (ns) an answer's news is, by its ``Age`` (RFC 9111, 5.1: whole seconds)."""
    if not (text.isascii() and text.isdigit() and len(text) <= 10):
        raise ChangeLogError(f"an age that is no number: {text[:40]!r}")
    return int(text) * SECOND


def decode_page(raw: bytes | str) -> dict[str, Any]:
    """The page as it stands in a response's body, its entries not yet decoded."""
    try:
        page = json.loads(raw)
    except ValueError:
        raise ChangeLogError("the change log's answer is not JSON") from None
    if not isinstance(page, dict):
        raise ChangeLogError("the change log's answer is no object")
    return page


def _numbered(page: dict[str, Any]) -> list[tuple[int, dict[str, Any]]]:
    """The page's entries by their numbers."""
    return sorted(((int(entry["seq"]), entry) for entry in page["results"]), key=lambda one: one[0])


def snapshot_start(page: dict[str, Any]) -> int | None:
    """The number that a snapshot page begins behind; None for any other page.

    A snapshot replaces everything before it: its first event is a full list (``reset``), the next ones purge
    each of the groups, and its numbers leave no gap. A follower goes on from it whatever number it held.
    """
    try:
        if len(page["results"]) <= GROUP_COUNT:  # nearly all pages
            return None
        results = _numbered(page)
        if not results[0][1]["fleet"]["reset"]:
            return None
        first = results[0][0]
        if any(seq != first + place for place, (seq, _) in enumerate(results)):
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
    """The events after ``since`` in their order, each with its number; None for a kind not known here.

    A number that leaves a gap raises ChangeLogError, as what follows it must not be applied, unless
    ``allow_gaps`` says that the log has been polled again and has nothing to fill it. What is not ``live``
    may be old.
    """
    try:
        for seq, entry in _numbered(page):
            if seq <= since:
                continue
            if seq != since + 1 and not allow_gaps:
                error = ChangeLogError(f"the change log leaves a gap between {since} and {seq}")
                error.is_gap = True
                raise error
            since = seq
            yield seq, _event(entry, settings, now, live)
    except (KeyError, TypeError, ValueError, AttributeError) as failed:
        if isinstance(failed, ChangeLogError):
            raise
        raise ChangeLogError(f"news that can't be read: {type(failed).__name__} {failed}") from None


def _event(
    entry: dict[str, Any], settings: i.Settings, now: int, live: bool
) -> EndpointListUpdated | PurgeNotified | None:
    fleet, purge = entry.get("fleet"), entry.get("invalidate")
    if fleet is not None:
        return _list_update(fleet, settings, now)
    if purge is not None:
        return _purge(purge, now, live)
    return None


def _list_update(fleet: dict[str, Any], settings: i.Settings, now: int) -> EndpointListUpdated:
    lines = [decode_endpoint(line, settings) for line in fleet["instances"]]
    kind = i.EndpointListKind.FULL if fleet.get("reset") else i.EndpointListKind.DELTA
    endpoints = tuple(endpoint for endpoint, _ in lines)
    change = i.EndpointsChanged(kind, endpoints, int(fleet.get("generation", 0)))
    return EndpointListUpdated(now, change, tuple(address for _, address in lines))


def _purge(purge: dict[str, Any], now: int, live: bool) -> PurgeNotified:
    object_id = int(purge["object"], 16) if purge.get("object") else 0
    # In whole milliseconds: what was generated in the same one may be from before the purge.
    purged_at = int(purge["time"]) * MS + MS - 1
    # An endpoint counts an entry's age by its own clock, and this one may be ahead: counting from when a live
    # event came in is a little strict and never too lax, whatever the two clocks say.
    age_counted_from = max(now, purged_at) if live else purged_at
    return PurgeNotified(now, object_id, int(purge.get("bucket", 0)), purged_at, age_counted_from)


_LIFECYCLES = {
    "Ready": i.EndpointState.READY,
    "Terminating": i.EndpointState.DRAINING,
    "Gone": i.EndpointState.GONE,
}


def decode_endpoint(line: dict[str, Any], settings: i.Settings) -> tuple[i.Endpoint, str]:
    """An endpoint and its address; ValueError for a zone or kind that is not in the settings."""
    zone, kind = line.get("zone", ""), line.get("machineType", "")
    state = _LIFECYCLES[line["lifecycle"]]
    known = zone in settings.zone_names and kind in settings.kind_names
    if not known and state is i.EndpointState.READY:
        raise ValueError(f"zone {zone!r} or machine {kind!r} is not in the settings")
    return i.Endpoint(
        str(line["instanceId"]).encode(),
        state,
        settings.kind_names.index(kind) if known else 0,
        settings.zone_names.index(zone) if known else 0,
        int(line.get("cell") or 0),
        float(line.get("weight") or 1.0),
        int(line.get("startedAtMs") or 0) * 1_000_000,
    ), str(line.get("hostPort", ""))
