"""A limit on bytes in memory, for which readers wait in the order of their arrival."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class _Waiter:
    size: int  # bytes
    granted: asyncio.Future[None]


class ByteBudget:
    """Limits bytes in memory. A reader over the limit waits, which also stalls its sender.

    Sizes over ``small_limit`` bytes leave the last quarter of the budget to the others, and the two kinds
    have separate queues: many large messages must not make small ones wait. 0: all sizes are alike. A single
    message over the limit is let in alone.
    """

    def __init__(self, limit: Callable[[], int], small_limit: Callable[[], int] = lambda: 0) -> None:
        self._limit, self._small_limit = limit, small_limit  # called each time: a reload may change them
        self._acquired = 0  # bytes
        self._waiters: tuple[deque[_Waiter], ...] = (deque(), deque())  # small, large

    def try_acquire(self, size: int) -> bool:
        """Reserve ``size`` bytes if they are free and no one waits for them; returns whether they are."""
        is_large = self._is_large(size)
        if self._waiters[is_large] or not self._is_free(size, is_large):
            return False
        self._acquired += size
        return True

    async def acquire(self, size: int) -> None:
        """Wait until ``size`` bytes are free, and reserve them."""
        if self.try_acquire(size):
            return
        waiter = _Waiter(size, asyncio.get_running_loop().create_future())
        self._waiters[self._is_large(size)].append(waiter)
        try:
            await waiter.granted
        except asyncio.CancelledError:
            if waiter.granted.done() and not waiter.granted.cancelled():
                self.release(size)
            else:
                self._grant()  # those behind it may fit
            raise

    def release(self, size: int) -> None:
        """Release ``size`` bytes, and grant them to those that wait."""
        self._acquired -= size
        if self._waiters[0] or self._waiters[1]:
            self._grant()

    def _grant(self) -> None:
        for is_large, queue in enumerate(self._waiters):
            while queue:
                waiter = queue[0]
                if not waiter.granted.done():
                    if not self._is_free(waiter.size, bool(is_large)):
                        break
                    self._acquired += waiter.size
                    waiter.granted.set_result(None)
                queue.popleft()

    def _is_large(self, size: int) -> bool:
        return 0 < self._small_limit() < size

    def _is_free(self, size: int, is_large: bool) -> bool:
        quarters = 3 if is_large else 4
        return not self._acquired or self._acquired + size <= self._limit() * quarters // 4
