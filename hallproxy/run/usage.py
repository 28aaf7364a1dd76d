"""The ``usage`` command: shows the usage of teams at a running front, and the front's capacity."""

from __future__ import annotations

import base64
import contextlib
import http.client
import json
from typing import Any

from hallproxy.run.config import ConfigError, address

COLUMNS = ("asked", "served", "in time", "served here", "left", "retries spent")  # labels of the usage report
REJECTED = "refused"  # prefix of the report's labels of rejections
HTTP_OK = 200
TIMEOUT = 5.0  # s


def fetch(front: str, team: str, token: str, timeout: float = TIMEOUT) -> dict[str, Any]:
    """Fetch the usage report of the front at HOST:PORT; ConfigError with a one-line message on failure.

    ``timeout`` (s) applies to each operation on the connection.
    """
    host, port = address(front)
    credentials = base64.b64encode(f"{team}:{token}".encode()).decode()
    try:
        with contextlib.closing(http.client.HTTPConnection(host, port, timeout=timeout)) as connection:
            connection.request("GET", "/.use", headers={"Authorization": f"Basic {credentials}"})
            response = connection.getresponse()
            body = response.read()
    except (OSError, http.client.HTTPException) as error:
        raise ConfigError(f"{front} did not respond: {error}") from None
    if response.status != HTTP_OK:
        raise ConfigError(f"{front} responded {response.status}: {body.decode(errors='replace').strip()}")
    report = json.loads(body)
    if not isinstance(report, dict):
        raise ConfigError(f"{front} did not send a usage report")
    return report


def format_report(report: dict[str, Any]) -> list[str]:
    """A table of teams, the reasons of each team's rejections, and the capacity if the report has it."""
    teams = report.get("teams", {})
    header = ("team", *COLUMNS, REJECTED, "p50 ms", "p99 ms", "places", "lent")
    lines = _aligned([header, *(_row(name, usage) for name, usage in teams.items())])
    for name, usage in teams.items():
        reasons = [f"{label} {count}" for label, count in usage["counts"].items() if ":" in label]
        if reasons:
            lines.append(f"{name}: {', '.join(reasons)}")
    lines += [f"{part}: {json.dumps(report[part])}" for part in ("capacity", "places") if part in report]
    return lines


def _row(team: str, usage: dict[str, Any]) -> tuple[str, ...]:
    counts, latency, seconds = usage["counts"], usage["latency"], usage["seconds"]
    rejected = sum(count for label, count in counts.items() if label.startswith(REJECTED))
    figures = [counts.get(column, 0) for column in COLUMNS]
    figures += [rejected, latency.get("p50_ms", "-"), latency.get("p99_ms", "-")]
    slots = usage["place_seconds"] / seconds
    borrowed = usage["lent_place_seconds"] / seconds
    return (team, *map(str, figures), f"{slots:.2f}", f"{borrowed:.2f}")


def _aligned(rows: list[tuple[str, ...]]) -> list[str]:
    """The rows with aligned columns, the first to the left and the others to the right."""
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines = []
    for first, *others in rows:
        cells = [cell.rjust(width) for cell, width in zip(others, widths[1:], strict=True)]
        lines.append("  ".join([first.ljust(widths[0]), *cells]))
    return lines
