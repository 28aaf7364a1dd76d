"""What a relay says of itself, and the tree that many of them make."""

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

NUMBERS_MOST = 64  # numbers told of, the lowest ones
WITHIN = 2.0  # s for an answer
PAGE_MOST = 1024 * 1024  # bytes of one

Status = dict[str, Any]


def text(where: Address) -> str:
    """An address as ``host:port``."""
    return f"{where[0]}:{where[1]}"


def status(name: str, front: Front, upstream: Upstream, sources: Iterable[Address], now: int) -> Status:
    """What the relay reports about itself."""
    log, current, confirmed = front.log, front.current, front.confirmed
    known = [c for c in front.connections if c.confirmed_number is not None]
    slowest = min(known, key=lambda c: (c.confirmed_number, c.last_request_at), default=None)
    numbers = sorted(confirmed.followers_by_number.items())[:NUMBERS_MOST]
    never = upstream.where is None
    return {
        "name": name,
        "upstream": [text(where) for where in sources],
        "follows": None if upstream.where is None else text(upstream.where),
        "via": list(current.upstream_relays),
        "current": not current.is_stale(now),
        "behind_ms": None if never else (now - current.upstream_polled_at) // MS,
        "age": None if never else current.age_seconds(now),
        "life": log.incarnation,
        "doubtful": log.ambiguous,
        "first": log.ring.first_number,
        "last": log.ring.last_number,
        "cut": log.published,
        "generation": log.ring.generation,
        "members": len(log.ring.endpoints),
        "connections": len(front.connections),
        "followers": confirmed.follower_count,
        "held": sum(c.state is ConnectionState.HELD for c in known),
        "lowest": confirmed.lowest_confirmed,
        "slowest": None
        if slowest is None
        else {
            "peer": slowest.peer,
            "number": slowest.confirmed_number,
            "silent_ms": (now - slowest.last_request_at) // MS,
        },
        "numbers": [{"number": number, "followers": count} for number, count in numbers],
        "confirmed_ms": confirmed.delays_ms(),
        "unconfirmed": confirmed.unconfirmed_pages(),
        "pages": {"built": log.pages.build_count, "held": len(log.pages), "bytes": log.pages.bytes},
        "answers": dict(front.counts),
        "heard": {"events": upstream.events, "bytes": upstream.bytes},
    }


def fetch(at: str) -> Status:
    """One relay's status; where it can't be had, ``error`` says why."""
    host, port = address(at)
    asking = http.client.HTTPConnection(host, port, timeout=WITHIN)
    try:
        asking.request("GET", "/status", headers={"Connection": "close"})
        answer = asking.getresponse()
        body = answer.read(PAGE_MOST)
        if answer.status != 200:
            return {"error": f"answer {answer.status}"}
        found: Status = json.loads(body)
        return found if _is_status(found) else {"error": "no relay's status"}
    except (OSError, http.client.HTTPException) as error:
        return {"error": getattr(error, "strerror", None) or str(error) or type(error).__name__}
    except (ValueError, RecursionError):
        return {"error": "no JSON"}
    finally:
        asking.close()


def _is_status(found: object) -> bool:
    """Whether what is shown of it is there, in its form: what answers need be no relay."""
    if not isinstance(found, dict) or not isinstance(found.get("name"), str):
        return False
    slowest, delays = found.get("slowest"), found.get("confirmed_ms")
    return (
        isinstance(found.get("follows"), str | None)
        and (slowest is None or (isinstance(slowest, dict) and isinstance(slowest.get("peer"), str)))
        and isinstance(delays, dict)
        and all(isinstance(value, int | float) for value in delays.values())
        and (not delays.get("count") or {"p50", "p99", "max"} <= set(delays))
    )


def fetch_all(addresses: Sequence[str]) -> dict[str, Status]:
    """The status of several relays, by address; ConfigError if an address is named twice."""
    if len(set(addresses)) < len(addresses):
        raise ConfigError("an address is named twice")
    return {text(address(at)): fetch(at) for at in addresses}


def format_tree(found: dict[str, Status]) -> list[str]:
    """The relays as lines, each below the one that it follows; who was not asked is named alone."""
    below: dict[str, list[str]] = {}
    for at, said in found.items():
        below.setdefault(str(said.get("follows") or "?") if "error" not in said else "", []).append(at)
    lines: list[str] = []
    shown: set[str] = set()

    def show(at: str, depth: int) -> None:
        shown.add(at)
        lines.append("  " * depth + _line(at, found.get(at)))
        for child in sorted(below.get(at, ())):
            if child not in shown:
                show(child, depth + 1)

    for root in sorted(set(below) - set(found) - {"", "?"}):
        show(root, 0)
    for at in sorted(found):
        if at not in shown and found[at].get("follows") not in found:
            show(at, 0)
    for at in sorted(found):
        if at not in shown:  # they follow each other
            show(at, 0)
    return lines


def _line(at: str, said: Status | None) -> str:
    if said is None:
        return at
    if "error" in said:
        return f"{at}  not reached: {said['error']}"
    state = "current" if said.get("current") else "BEHIND"
    line = f"{at}  {said.get('name')}  {state}  age {said.get('age')} s  at {said.get('last')}"
    line += f"  {said.get('followers')} followers"
    slowest = said.get("slowest")
    if slowest:
        line += f", lowest {said.get('lowest')} ({slowest.get('peer')})"
    delays = said.get("confirmed_ms") or {}
    if delays.get("count"):
        line += f"  confirmed by all in {delays['p50']:g} ms (p99 {delays['p99']:g}, max {delays['max']:g})"
    return line
