"""The log on standard error: one line for each event."""

from __future__ import annotations

import sys


def log_line(text: str) -> None:
    """Write one line, in the form ``subsystem: what happened (peer, reason, figures)``."""
    print(text, file=sys.stderr, flush=True)
