"""The time that a client has for a frame: for its first one, and for the rest of each that has begun."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

FRAME_TIMEOUT = 2.0  # s


class FrameTimer:
    """Runs while a frame is incomplete.

    It references the callback only while it runs: a connection that it kept would stay in memory, with its
    buffers, until a full collection.
    """

    def __init__(self) -> None:
        self._timer: asyncio.TimerHandle | None = None

    def start(self, expired: Callable[[], None]) -> None:
        """Give the next frame its whole time, and call ``expired`` at its end."""
        self.cancel()
        self._timer = asyncio.get_running_loop().call_later(FRAME_TIMEOUT, expired)

    def cancel(self) -> None:
        """Let the client be idle without limit."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def renew(self, begun: bool, completed: bool, expired: Callable[[], None]) -> None:
        """Note what was read: whether a frame has ``begun``, and whether others were ``completed``."""
        if not begun:
            self.cancel()
        elif completed or self._timer is None:
            self.start(expired)
