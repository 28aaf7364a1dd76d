"""The rate of requests that the process can serve, learned from the lag of its event loop.

While the event loop keeps up there is no limit. Once it lags, the limit is set below the rate of requests
completed; it rises again while it is in use and the loop keeps up.
"""

from __future__ import annotations

MS = 1_000_000  # ns
SECOND = 1_000_000_000  # ns
ROUND_DURATION = 100 * MS  # ns
OVERLOAD_LAG = 8 * MS  # ns, mean lag of a round above which the event loop is overloaded
REDUCTION_FACTOR = 0.9  # of the completion rate
REDUCTION_INTERVAL = 300 * MS  # ns; requests admitted before a reduction are still being served
GROWTH_FACTOR = 1.02  # per round
IDLE_GROWTH_FACTOR = 1.08  # per round with hardly any lag
IDLE_LAG = OVERLOAD_LAG / 4  # ns
IN_USE_THRESHOLD = 0.7  # share of the limit completed from which it grows
UNLIMITED_DIVISOR = 3  # a completion rate below the limit divided by this removes the limit
FLOOR_FACTOR = 0.75  # of the best recent completion rate
BEST_RATE_DECAY = 0.995  # per round
MIN_RATE = 50.0  # requests a second
RATE_SMOOTHING = 0.3  # weight of the latest round


class RequestRateLimit:
    """The limit, adjusted at the end of each round.

    Attributes:
        limit: requests a second; 0: no limit.
    """

    def __init__(self) -> None:
        self.limit = 0.0
        self._round_started_at = 0  # ns
        self._completed = 0  # requests of the round
        self._rejected = 0  # requests of the round
        self._lag_total = 0  # ns, of the round
        self._lag_samples = 0
        self._completion_rate = 0.0  # requests a second, smoothed
        self._best_rate = 0.0
        self._reduced_at = 0  # ns

    def request_completed(self) -> None:
        """Count a request that was admitted and has its response."""
        self._completed += 1

    def request_rejected(self) -> None:
        """Count a request that the limit did not admit."""
        self._rejected += 1

    def event_loop_lagged(self, lag: int) -> None:
        """Record one sample of the event loop's lag (ns)."""
        self._lag_total += lag
        self._lag_samples += 1

    def round_due(self, now: int) -> bool:
        """Whether the round has lasted long enough to end."""
        return now - self._round_started_at >= ROUND_DURATION

    def end_round(self, now: int) -> float:
        """Adjust the limit by what the round has shown; return the round's duration in seconds."""
        duration = max(ROUND_DURATION, now - self._round_started_at) / SECOND
        is_first = not self._round_started_at
        self._round_started_at = now
        self._update_completion_rate(self._completed / duration)
        if not is_first:
            self._adjust_limit(self._lag_total / max(1, self._lag_samples), now)
        self._completed = self._rejected = 0
        self._lag_total = self._lag_samples = 0
        return duration

    def _update_completion_rate(self, rate: float) -> None:
        smoothing = RATE_SMOOTHING if self._completion_rate else 1.0
        self._completion_rate += smoothing * (rate - self._completion_rate)
        self._best_rate = max(self._best_rate * BEST_RATE_DECAY, self._completion_rate)

    def _adjust_limit(self, mean_lag: float, now: int) -> None:
        if mean_lag > OVERLOAD_LAG:
            self._reduce(now)
        elif self.limit:
            self._grow(mean_lag)

    def _reduce(self, now: int) -> None:
        if now - self._reduced_at < REDUCTION_INTERVAL:
            return
        self._reduced_at = now
        reduced = min(self.limit or self._completion_rate, self._completion_rate) * REDUCTION_FACTOR
        self.limit = max(MIN_RATE, FLOOR_FACTOR * self._best_rate, reduced)

    def _grow(self, mean_lag: float) -> None:
        if self._rejected or self._completion_rate >= IN_USE_THRESHOLD * self.limit:
            self.limit *= IDLE_GROWTH_FACTOR if mean_lag < IDLE_LAG else GROWTH_FACTOR
        elif self._completion_rate < self.limit / UNLIMITED_DIVISOR:
            self.limit = 0.0
