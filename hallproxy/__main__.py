"""``python -m hallproxy``: the same as the console script ``hallproxy``."""

from __future__ import annotations

import signal
import sys
from collections.abc import Sequence


def main(argv: Sequence[str] | None = None) -> int:
    """Run the command; returns the exit code."""
    # Stays pending until the event loop handles it: its default action would end the process during the
    # imports, and a file that changes after it was read is read again then.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    from hallproxy import commands

    return commands.main(argv)


if __name__ == "__main__":
    sys.exit(main())
