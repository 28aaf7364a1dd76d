"""Units of time. Times are integer nanoseconds; durations in seconds are floats and marked as such."""

MILLISECOND = 1_000_000  # ns
SECOND = 1_000_000_000  # ns
NEVER = 1 << 62  # ns; later than any time
