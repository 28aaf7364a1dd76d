"""The adaptive concurrency limit of one source, learned from the latencies of its responses.

The measure is the latency ratio: a latency over the source's baseline, which is its latency with nothing
queued. A window of responses whose median ratio exceeds ``TARGET_RATIO`` shows that requests queue at the
source, so the limit is reduced by that factor. Below it the limit grows while it is in use. A source that
became slower looks like one with a queue, so the baseline is measured again every ``BASELINE_INTERVAL``: for
one window the limit is lowered, the queue at the source drains, and the remaining latency is the baseline.
No request is sent for this.

The design is weighed against others in docs/TEAMS-DESIGN.md; it follows BBR (a baseline measured while the
queue is drained) and gradient limits (the latency ratio as the factor).
"""

from __future__ import annotations

import statistics
from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

MS = 1_000_000  # ns
SECOND = 1_000_000_000  # ns

INITIAL_LIMIT = 8.0  # attempts in flight
MIN_LIMIT = 2.0  # attempts in flight; always allowed, so that a source's recovery is seen

WINDOW_MIN = 100 * MS  # ns
WINDOW_MIN_ATTEMPTS = 12
WINDOW_MAX = 2 * SECOND  # ns; ends the window with any number of attempts
BASELINE_INTERVAL = 3 * SECOND  # ns
BASELINE_LIMIT_FACTOR = 0.5  # of the limit, while the baseline is measured

TARGET_RATIO = 1.6  # median ratio above which requests queue
MIN_REDUCTION_FACTOR = 0.7
LOSS_REDUCTION_FACTOR = 0.7
LOSS_THRESHOLD = 0.1  # share of a window's attempts

IN_USE_THRESHOLD = 0.7  # share of the limit in flight from which it grows
GROWTH_FACTOR = 0.1  # for a ratio of 1, falling to nothing at the target ratio
MIN_GROWTH = 0.2  # attempts per window
MAX_GROWTH = 2.0  # attempts per window
MAX_GROWTH_FACTOR = 0.05  # of the limit, if that is more than ``MAX_GROWTH``
FAST_GROWTH_RATIO = 1.2  # up to which a limit that was never reduced grows fast
FAST_GROWTH_FACTOR = 1.5

SILENCE_FACTOR = 4.0  # times the smoothed latency without a response, after which a source is stalled
LATENCY_SMOOTHING = 0.1  # weight of the latest response

HALVED_FACTOR = 0.55  # of the limit before a run of reductions, at which the run is reviewed
UNCHANGED_FACTOR = 0.75  # of the ratio before the run, below which the run has drained a queue
FASTER_RATIO = 0.8  # median ratio below which the baseline is too high

MAX_BASELINE_SAMPLES = 64  # latencies of one cost class
MAX_COST_CLASSES = 64


class AttemptOutcome(Enum):
    """What the end of an attempt says about its source."""

    SUCCEEDED = "succeeded"
    LOST = "lost"  # timed out, rejected or failed
    INCONCLUSIVE = "inconclusive"  # nothing about its load


@dataclass(slots=True)
class _Baseline:
    """The latency, with nothing queued, of requests that cost about the same."""

    latency: float = 0.0  # ns; 0: not measured yet
    samples: list[float] = field(default_factory=list)  # ns, of the measurement in progress


@dataclass(slots=True)
class _Reductions:
    """The limit and median ratio before a run of reductions."""

    limit: float
    ratio: float


@dataclass(slots=True)
class SourceLimit:
    """The limit of one source and what it is learned from. Times in ns.

    Attributes:
        limit: requests that may be in flight.
        max_limit: the most that the limit grows to.
        in_flight: attempts in flight.
        last_used_at: when an attempt was last sent.
    """

    limit: float
    max_limit: float
    window_started_at: int
    in_flight: int = 0
    last_used_at: int = 0
    _last_response_at: int = 0  # or the first attempt since none were in flight
    _peak_in_flight: int = 0  # in the window
    _latency_ratios: list[float] = field(default_factory=list)  # of the window
    _lost: int = 0  # attempts of the window
    _measuring_baseline: bool = True
    _baseline_measured_at: int = 0
    _was_reduced: bool = False
    _limit_since: int = 0  # attempts sent before it say nothing about the present limit
    _reductions: _Reductions | None = None
    _smoothed_latency: float = 0.0
    _baselines: OrderedDict[int, _Baseline] = field(default_factory=OrderedDict)  # by cost class

    def allowed_in_flight(self) -> float:
        """The limit that holds now, lowered while the baseline is measured."""
        if self._measuring_baseline and self._was_reduced:
            return max(MIN_LIMIT, self.limit * BASELINE_LIMIT_FACTOR)
        return self.limit

    def attempt_started(self, now: int) -> None:
        """Count an attempt in flight."""
        if not self.in_flight:
            self._last_response_at = now
        self.in_flight += 1
        self._peak_in_flight = max(self._peak_in_flight, self.in_flight)
        self.last_used_at = now

    def attempt_ended(
        self, cost_class: int, latency: int, outcome: AttemptOutcome, gateway_delay: float, now: int
    ) -> bool:
        """Learn from the end of an attempt; whether the limit was reduced.

        ``gateway_delay`` (ns) is the part of the latency that the gateway itself causes.
        """
        self.in_flight = max(0, self.in_flight - 1)
        if outcome is AttemptOutcome.SUCCEEDED:
            self._record_response(latency, now)
            baseline = self._baseline(cost_class)
            if now - latency < self._limit_since:
                return False  # it queued behind attempts under the former limit
            self._record_latency(baseline, latency, gateway_delay)
        elif outcome is AttemptOutcome.LOST:
            self._lost += 1
        return self._end_window_if_due(gateway_delay, now)

    def reduce_if_silent(self, now: int) -> bool:
        """Reduce the limit of a source that responds to nothing, so that no window ends; whether it was."""
        silence = now - self._last_response_at
        if not self.in_flight or not self._smoothed_latency:
            return False
        if silence <= max(SILENCE_FACTOR * self._smoothed_latency, WINDOW_MIN):
            return False
        self.limit = max(MIN_LIMIT, self.limit * MIN_REDUCTION_FACTOR)
        self._last_response_at = now
        self._was_reduced = True
        return True

    def _record_response(self, latency: int, now: int) -> None:
        self._last_response_at = now
        if not self._smoothed_latency:
            self._smoothed_latency = float(latency)
        else:
            self._smoothed_latency += LATENCY_SMOOTHING * (latency - self._smoothed_latency)

    def _baseline(self, cost_class: int) -> _Baseline:
        baseline = self._baselines.get(cost_class)
        if baseline is None:
            baseline = self._baselines[cost_class] = _Baseline()
            while len(self._baselines) > MAX_COST_CLASSES:
                self._baselines.popitem(last=False)
        self._baselines.move_to_end(cost_class)
        return baseline

    def _record_latency(self, baseline: _Baseline, latency: int, gateway_delay: float) -> None:
        if self._measuring_baseline and len(baseline.samples) < MAX_BASELINE_SAMPLES:
            baseline.samples.append(max(1.0, latency))
        ratio = latency / (baseline.latency + gateway_delay) if baseline.latency else 1.0
        self._latency_ratios.append(ratio)

    def _end_window_if_due(self, gateway_delay: float, now: int) -> bool:
        duration = now - self.window_started_at
        attempts = len(self._latency_ratios) + self._lost
        if duration < WINDOW_MIN or (attempts < WINDOW_MIN_ATTEMPTS and duration < WINDOW_MAX):
            return False
        reduced = False
        if self._measuring_baseline:
            self._finish_baselines(gateway_delay, now)
        else:
            reduced = self._adjust_limit(attempts, now)
            self._start_baselines_if_due(now)
        self._latency_ratios.clear()
        self._lost = 0
        self._peak_in_flight = self.in_flight
        self.window_started_at = now
        return reduced

    def _start_baselines_if_due(self, now: int) -> None:
        self._measuring_baseline = now - self._baseline_measured_at >= BASELINE_INTERVAL
        if self._measuring_baseline:
            self._limit_since = now

    def _finish_baselines(self, gateway_delay: float, now: int) -> None:
        for baseline in self._baselines.values():
            if not baseline.samples:
                continue
            measured = max(float(MS), statistics.median(baseline.samples) - gateway_delay)
            if baseline.latency and measured > baseline.latency:
                # Half of the rise: other clients may have loaded the source in this window.
                measured = (baseline.latency + measured) / 2
            baseline.latency = measured
            baseline.samples.clear()
        self._measuring_baseline = False
        self._baseline_measured_at = now

    def _adjust_limit(self, attempts: int, now: int) -> bool:
        """Reduce or grow the limit by what the window has shown; whether it was reduced."""
        ratio = self._median_ratio()
        if ratio < FASTER_RATIO:
            self._scale_baselines(ratio)
        if ratio <= TARGET_RATIO:
            self._reductions = None
        if self._lost > LOSS_THRESHOLD * attempts:
            self._reduce(LOSS_REDUCTION_FACTOR, now)
            return True
        if ratio > TARGET_RATIO:
            if self._is_slower_without_queue(ratio):
                return False
            self._reduce(max(MIN_REDUCTION_FACTOR, TARGET_RATIO / ratio), now)
            return True
        if self._peak_in_flight >= self.limit * IN_USE_THRESHOLD:
            self._grow(ratio)
        return False

    def _median_ratio(self) -> float:
        if not self._latency_ratios:
            return TARGET_RATIO
        return sorted(self._latency_ratios)[len(self._latency_ratios) // 2]

    def _reduce(self, factor: float, now: int) -> None:
        self.limit = max(MIN_LIMIT, self.limit * factor)
        self._was_reduced = True
        self._limit_since = now

    def _grow(self, ratio: float) -> None:
        if not self._was_reduced and ratio <= FAST_GROWTH_RATIO:
            grown = self.limit * FAST_GROWTH_FACTOR
        else:
            growth = GROWTH_FACTOR * self.limit * (TARGET_RATIO - ratio) / (TARGET_RATIO - 1.0) + MIN_GROWTH
            grown = self.limit + min(max(MAX_GROWTH, MAX_GROWTH_FACTOR * self.limit), growth)
        self.limit = min(self.max_limit, grown)

    def _is_slower_without_queue(self, ratio: float) -> bool:
        """Whether a run of reductions halved the limit without lowering the ratio.

        Then the source is slower for all requests: the baselines are scaled and the limit is restored.
        """
        if self._reductions is None:
            self._reductions = _Reductions(self.limit, ratio)
            return False
        if self.limit > max(MIN_LIMIT, HALVED_FACTOR * self._reductions.limit):
            return False
        if ratio < UNCHANGED_FACTOR * self._reductions.ratio:
            self._reductions = _Reductions(self.limit, ratio)  # part of the latency was a queue
            return False
        self._scale_baselines(ratio)
        self.limit = self._reductions.limit
        self._reductions = None
        return True

    def _scale_baselines(self, factor: float) -> None:
        for baseline in self._baselines.values():
            baseline.latency *= factor
