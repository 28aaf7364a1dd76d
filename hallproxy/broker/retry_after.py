"""Spreads the times at which rejected requests may retry."""

from __future__ import annotations

MAX_EXTENSION = 0.25  # of the time
PRECISION = 1_000_000  # positions
GOLDEN_RATIO_STEP = 618_034  # of ``PRECISION``: successive steps are spread evenly


class RetryAfterSpread:
    """Extends each time by a different fraction, so that requests rejected together do not retry together."""

    def __init__(self) -> None:
        self._position = 0

    def extend(self, retry_after: int) -> int:
        """The time (ns), extended."""
        self._position = (self._position + GOLDEN_RATIO_STEP) % PRECISION
        return retry_after + int(retry_after * MAX_EXTENSION * self._position / PRECISION)
