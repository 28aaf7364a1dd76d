"""The status report of a relay, and the tree of several relays."""

from __future__ import annotations

import http.client
import json
from collections.abc import Iterable, Sequence
from typing import Any

from hallproxy.feed import MS
from hallproxy.relay.connection import ConnectionState
from hallproxy.relay.front import Front
from hallproxy.relay.upstream import Upstream
from hallproxy.run.config import Address, ConfigError, address

MAX_NUMBERS = 64  # followers' numbers in a report, the lowest ones
TIMEOUT = 2.0  # s; of a status request
MAX_STATUS_BYTES = 1024 * 1024

Status = dict[str, Any]


def format_address(source: Address) -> str:
    """An address as ``host:port``."""
    return f"{source[0]}:{source[1]}"


def build_status(name: str, front: Front, upstream: Upstream, sources: Iterable[Address], now: int) -> Status:
    """The relay's status report."""
    log, freshness, confirmations = front.log, front.freshness, front.confirmations
    polling = [c for c in front.connections if c.confirmed_number is not None]
    slowest = min(polling, key=lambda c: (c.confirmed_number, c.last_request_at), default=None)
    numbers = sorted(confirmations.followers_by_number.items())[:MAX_NUMBERS]
    never_polled = upstream.last_source is None
    return {
        "name": name,
        "upstream": [format_address(source) for source in sources],
        "follows": None if upstream.last_source is None else format_address(upstream.last_source),
        "via": list(freshness.upstream_relays),
        "current": not freshness.is_stale(now),
        "behind_ms": None if never_polled else (now - freshness.upstream_polled_at) // MS,
        "age": None if never_polled else freshness.age_seconds(now),
        "life": log.incarnation,
        "doubtful": log.ambiguous,
        "first": log.ring.first_number,
        "last": log.ring.last_number,
        "cut": log.published,
        "generation": log.ring.generation,
        "members": len(log.ring.endpoints),
        "connections": len(front.connections),
        "followers": confirmations.follower_count,
        "held": sum(c.state is ConnectionState.WAITING for c in polling),
        "lowest": confirmations.lowest_confirmed,
        "slowest": None
        if slowest is None
        else {
            "peer": slowest.peer,
            "number": slowest.confirmed_number,
            "silent_ms": (now - slowest.last_request_at) // MS,
        },
        "numbers": [{"number": number, "followers": count} for number, count in numbers],
        "confirmed_ms": confirmations.delays_ms(),
        "unconfirmed": confirmations.unconfirmed_pages(),
        "pages": {"built": log.pages.build_count, "held": len(log.pages), "bytes": log.pages.byte_count},
        "answers": dict(front.counters),
        "heard": {"events": upstream.event_count, "bytes": upstream.byte_count},
    }


def fetch(relay: str) -> Status:
    """One relay's status, or an ``error`` that says why it is not available."""
    host, port = address(relay)
    connection = http.client.HTTPConnection(host, port, timeout=TIMEOUT)
    try:
        connection.request("GET", "/status", headers={"Connection": "close"})
        response = connection.getresponse()
        body = response.read(MAX_STATUS_BYTES)
        if response.status != 200:
            return {"error": f"HTTP status {response.status}"}
        report: Status = json.loads(body)
        return report if _is_status(report) else {"error": "response is not a relay's status"}
    except (OSError, http.client.HTTPException) as error:
        return {"error": getattr(error, "strerror", None) or str(error) or type(error).__name__}
    except (ValueError, RecursionError):
        return {"error": "response is not JSON"}
    finally:
        connection.close()


def _is_status(report: object) -> bool:
    """Whether it has the fields that are displayed, with valid types; the server may be no relay."""
    if not isinstance(report, dict) or not isinstance(report.get("name"), str):
        return False
    slowest, delays = report.get("slowest"), report.get("confirmed_ms")
    return (
        isinstance(report.get("follows"), str | None)
        and (slowest is None or (isinstance(slowest, dict) and isinstance(slowest.get("peer"), str)))
        and isinstance(delays, dict)
        and all(isinstance(value, int | float) for value in delays.values())
        and (not delays.get("count") or {"p50", "p99", "max"} <= set(delays))
    )


def fetch_all(addresses: Sequence[str]) -> dict[str, Status]:
    """The status of several relays, by address; ConfigError if an address is given twice."""
    if len(set(addresses)) < len(addresses):
        raise ConfigError("an address is given twice")
    return {format_address(address(relay)): fetch(relay) for relay in addresses}


def format_tree(reports: dict[str, Status]) -> list[str]:
    """The relays as lines, each below the one it follows; one that was not requested is only named."""
    children: dict[str, list[str]] = {}
    for relay, report in reports.items():
        children.setdefault(str(report.get("follows") or "?") if "error" not in report else "", []).append(
            relay
        )
    lines: list[str] = []
    shown: set[str] = set()

    def show(relay: str, depth: int) -> None:
        shown.add(relay)
        lines.append("  " * depth + _line(relay, reports.get(relay)))
        for child in sorted(children.get(relay, ())):
            if child not in shown:
                show(child, depth + 1)

    for root in sorted(set(children) - set(reports) - {"", "?"}):
        show(root, 0)
    for relay in sorted(reports):
        if relay not in shown and reports[relay].get("follows") not in reports:
            show(relay, 0)
    for relay in sorted(reports):
        if relay not in shown:  # they follow each other
            show(relay, 0)
    return lines


def _line(relay: str, report: Status | None) -> str:
    if report is None:
        return relay
    if "error" in report:
        return f"{relay}  not reached: {report['error']}"
    state = "current" if report.get("current") else "BEHIND"
    line = f"{relay}  {report.get('name')}  {state}  age {report.get('age')} s  at {report.get('last')}"
    line += f"  {report.get('followers')} followers"
    slowest = report.get("slowest")
    if slowest:
        line += f", lowest {report.get('lowest')} ({slowest.get('peer')})"
    delays = report.get("confirmed_ms") or {}
    if delays.get("count"):
        line += f"  confirmed by all in {delays['p50']:g} ms (p99 {delays['p99']:g}, max {delays['max']:g})"
    return line
