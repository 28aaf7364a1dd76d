"""Usage of each team: counts by outcome, slot time used and borrowed, bytes and latencies.

Counts cover rounds of ``ROUND_DURATION``, the latest ``ROUND_COUNT`` of them. Latencies are in two HDR
histograms, each for half of the rounds, so that memory is bounded and old latencies are dropped.
"""

from __future__ import annotations

from collections import Counter, OrderedDict, deque
from dataclasses import dataclass, field
from enum import Enum, StrEnum
from typing import Any, NewType

MS = 1_000_000  # ns
SECOND = 1_000_000_000  # ns
ROUND_DURATION = 10 * SECOND  # ns
ROUND_COUNT = 6
ROUNDS_PER_HISTOGRAM = ROUND_COUNT // 2
MAX_TEAMS = 16_384  # least recently used teams are dropped first
MAX_LATENCY_MS = 120_000  # longer latencies count as this
LATENCY_DIGITS = 1  # significant digits; two would take four times the memory for each team
PERCENTILES = (50, 90, 99, 99.9)


class UsageEvent(StrEnum):
    """What is counted. The values are the labels of the usage report."""

    REQUESTED = "asked"
    SERVED = "served"
    SERVED_IN_TIME = "in time"
    SERVED_FROM_CACHE = "served here"
    REJECTED = "refused"
    FAILED = "failed"
    DISCONNECTED = "left"
    RETRIED = "retries spent"


UsageLabel = NewType("UsageLabel", str)
"""The key of a count: the name of an event in the usage report, with its reason where there is one."""


def usage_label(event: UsageEvent, reason: Enum | None = None) -> UsageLabel:
    """The label that an event with this reason is counted under."""
    if reason is None or not reason.value:
        return UsageLabel(event.value)
    return UsageLabel(f"{event.value}: {reason.value}")


REQUESTED = usage_label(UsageEvent.REQUESTED)
SERVED = usage_label(UsageEvent.SERVED)
SERVED_IN_TIME = usage_label(UsageEvent.SERVED_IN_TIME)
SERVED_FROM_CACHE = usage_label(UsageEvent.SERVED_FROM_CACHE)
RETRIED = usage_label(UsageEvent.RETRIED)


@dataclass(slots=True)
class UsageRound:
    """Usage in one round."""

    number: int
    counts: Counter[UsageLabel] = field(default_factory=Counter)
    slot_seconds: float = 0.0
    borrowed_slot_seconds: float = 0.0  # of these, beyond the team's share
    bytes: int = 0


def _new_histogram() -> Any:
    # Imported here: a gateway without contracts must not pay for it.
    from hdrh.histogram import HdrHistogram

    return HdrHistogram(1, MAX_LATENCY_MS, LATENCY_DIGITS, word_size=4)


class TeamUsage:
    """The usage of one team."""

    __slots__ = ("_rounds", "_current_latencies", "_previous_latencies", "_period")

    def __init__(self) -> None:
        self._rounds: deque[UsageRound] = deque(maxlen=ROUND_COUNT)
        self._current_latencies: Any = None  # created with the first response: many teams have none
        self._previous_latencies: Any = None
        self._period = -1  # of the current histogram

    def current_round(self, now: int) -> UsageRound:
        """The round in progress."""
        latest = self._rounds[-1].number if self._rounds else 0
        number = max(now // ROUND_DURATION, latest)
        if not self._rounds or latest != number:
            self._rounds.append(UsageRound(number))
        period = number // ROUNDS_PER_HISTOGRAM
        if period != self._period:
            self._start_period(period)
        return self._rounds[-1]

    def _start_period(self, period: int) -> None:
        """Reuse the histogram of the period before the last one, which is dropped."""
        previous = self._current_latencies if period == self._period + 1 else None
        self._current_latencies, self._previous_latencies = self._previous_latencies, previous
        if self._current_latencies is not None:
            self._current_latencies.reset()
        self._period = period

    def record_latency(self, latency: int, now: int) -> None:
        """Record the latency (ns) of a response."""
        self.current_round(now)
        if self._current_latencies is None:
            self._current_latencies = _new_histogram()
        self._current_latencies.record_value(min(MAX_LATENCY_MS, max(1, latency // MS)))

    def report(self, now: int) -> dict[str, Any]:
        """The latest rounds as plain figures: counts, slot seconds, bytes, latencies in ms."""
        self.current_round(now)
        oldest = now // ROUND_DURATION - ROUND_COUNT
        recent = [usage_round for usage_round in self._rounds if usage_round.number > oldest]
        return {
            "seconds": ROUND_COUNT * ROUND_DURATION // SECOND,
            "counts": _labelled_counts(recent),
            "place_seconds": round(sum(usage_round.slot_seconds for usage_round in recent), 3),
            "lent_place_seconds": round(sum(usage_round.borrowed_slot_seconds for usage_round in recent), 3),
            "bytes": sum(usage_round.bytes for usage_round in recent),
            "latency": self._latency_percentiles(),
        }

    def _latency_percentiles(self) -> dict[str, int]:
        histograms = [
            histogram
            for histogram in (self._current_latencies, self._previous_latencies)
            if histogram is not None and histogram.total_count
        ]
        if not histograms:
            return {}
        merged = _new_histogram()
        for histogram in histograms:
            merged.add(histogram)
        return {
            f"p{percentile:g}_ms": int(merged.get_value_at_percentile(percentile))
            for percentile in PERCENTILES
        }


def _labelled_counts(rounds: list[UsageRound]) -> dict[str, int]:
    """Counts of all rounds by label, in order of labels."""
    counts: Counter[str] = Counter()
    for usage_round in rounds:
        counts.update(usage_round.counts)
    return dict(sorted(counts.items()))


class Usage:
    """The usage of all teams, least recently used first."""

    def __init__(self, max_teams: int = MAX_TEAMS) -> None:
        self._max_teams = max_teams
        self._teams: OrderedDict[str, TeamUsage] = OrderedDict()

    def team(self, name: str) -> TeamUsage:
        """The usage of a team, created where it is new."""
        usage = self._teams.get(name)
        if usage is None:
            usage = self._teams[name] = TeamUsage()
            if len(self._teams) > self._max_teams:
                self._teams.popitem(last=False)
        else:
            self._teams.move_to_end(name)
        return usage

    def count(self, team: str, label: UsageLabel, now: int) -> None:
        """Count one event of a team."""
        self.team(team).current_round(now).counts[label] += 1

    def report(self, now: int, team: str = "") -> dict[str, Any]:
        """The usage of all teams by name, or of one."""
        return {
            name: usage.report(now) for name, usage in sorted(self._teams.items()) if not team or name == team
        }
