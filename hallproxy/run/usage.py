"""The command that shows what teams use of a running front, and what the front has room for."""

from __future__ import annotations

import base64
import http.client
import json
from typing import Any

from hallproxy.run.config import ConfigError, address

COLUMNS = ("asked", "served", "in time", "served here", "left", "retries spent")


def fetch(where: str, team: str, token: str, within: float = 5.0) -> dict[str, Any]:
    """The front's use page; ConfigError, one plain line, where it does not say."""
    host, port = address(where)
    secret = base64.b64encode(f"{team}:{token}".encode()).decode()
    made = http.client.HTTPConnection(host, port, timeout=within)
    try:
        made.request("GET", "/.use", headers={"Authorization": f"Basic {secret}"})
        said = made.getresponse()
        body = said.read()
    except (OSError, http.client.HTTPException) as error:
        raise ConfigError(f"{where} does not answer: {error}") from None
    finally:
        made.close()
    if said.status != 200:
        raise ConfigError(f"{where} says {said.status}: {body.decode(errors='replace').strip()}")
    shown = json.loads(body)
    if not isinstance(shown, dict):
        raise ConfigError(f"{where} says something else")
    return shown


def lines(shown: dict[str, Any]) -> list[str]:
    """A table of teams, what each was refused for, and the room there is where an operator asks."""
    out = []
    heads = ("team", *COLUMNS, "refused", "p50 ms", "p99 ms", "places", "lent")
    rows = [heads]
    for name, use in shown.get("teams", {}).items():
        counts = use["counts"]
        refused = sum(n for what, n in counts.items() if what.startswith("refused"))
        took = use["latency"]
        places = use["place_seconds"] / use["seconds"], use["lent_place_seconds"] / use["seconds"]
        cells = [counts.get(c, 0) for c in COLUMNS] + [
            refused,
            took.get("p50_ms", "-"),
            took.get("p99_ms", "-"),
        ]
        rows.append((name, *map(str, cells), f"{places[0]:.2f}", f"{places[1]:.2f}"))
    widths = [max(len(row[n]) for row in rows) for n in range(len(heads))]
    for row in rows:
        cells = [row[0].ljust(widths[0]), *(c.rjust(w) for c, w in zip(row[1:], widths[1:], strict=True))]
        out.append("  ".join(cells))
    for name, use in shown.get("teams", {}).items():
        reasons = [f"{what} {n}" for what, n in use["counts"].items() if ":" in what]
        if reasons:
            out.append(f"{name}: {', '.join(reasons)}")
    for what in ("capacity", "places"):
        if what in shown:
            out.append(f"{what}: {json.dumps(shown[what])}")
    return out
