"""Usage of teams: bounds of the table, and old rounds that the report drops."""

from __future__ import annotations

import pytest

from hallproxy.broker.usage import REQUESTED, Usage

MS, SECOND = 10**6, 10**9
START = 1_700_000_000 * SECOND


def test_usage_is_bounded_and_old_rounds_are_dropped() -> None:
    usage = Usage(max_teams=3)
    for n in range(10):
        usage.count(f"t-{n}", REQUESTED, START)
    usage.team("t-9").record_latency(50 * MS, START)
    report = usage.report(START)
    assert list(report) == ["t-7", "t-8", "t-9"]
    assert report["t-9"]["latency"]["p50_ms"] == pytest.approx(50, rel=0.07)
    later = usage.report(START + 200 * SECOND)["t-9"]
    assert not later["counts"] and not later["latency"]
