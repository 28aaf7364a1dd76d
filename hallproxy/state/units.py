"""Units of time and memory that the state's modules use."""

MS = 1_000_000  # ns
SECOND = 1_000_000_000  # ns
MB = 1024 * 1024  # bytes
