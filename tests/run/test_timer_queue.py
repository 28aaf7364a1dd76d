"""The queue of timers, on an event loop, with attempts as what the timers act on."""

from __future__ import annotations

import asyncio
import time

from hallproxy.run.timer_queue import MIN_COMPACTED_ENTRIES, TimerQueue
from hallproxy.state.events import AttemptTimerDue, TimerEvent

MS = 1_000_000  # ns
MINUTE = 60_000 * MS


class Attempts:
    """The attempts that exist, and the timers that fired, with the time (Unix ns) of each."""

    def __init__(self) -> None:
        self.existing: set[int] = set()
        self.fired: list[tuple[int, int]] = []
        self.queue = TimerQueue(self._exists, self._fire)

    def _exists(self, event: TimerEvent) -> bool:
        assert isinstance(event, AttemptTimerDue)
        return event.attempt in self.existing

    def _fire(self, event: TimerEvent) -> None:
        assert isinstance(event, AttemptTimerDue)
        self.fired.append((event.attempt, time.time_ns()))

    def start(self, attempt: int, deadline: int) -> None:
        self.existing.add(attempt)
        self.queue.schedule(AttemptTimerDue(deadline, attempt))


def test_timers_of_what_has_ended_take_no_memory_until_their_time() -> None:
    # Guards against a number of timers that grows with the rate of requests times their deadline.
    async def run() -> None:
        attempts, at = Attempts(), time.time_ns() + MINUTE
        for number in range(20_000):
            attempts.start(number, at + number)
            if number >= 1_000:
                attempts.existing.remove(number - 1_000)
            assert len(attempts.queue) <= 2 * 1_000 + MIN_COMPACTED_ENTRIES
        entries = {entry.event for entry in attempts.queue._entries}
        assert {AttemptTimerDue(at + n, n) for n in attempts.existing} <= entries

    asyncio.run(run())


def test_timers_fire_in_the_order_of_their_times_and_not_before() -> None:
    async def run() -> None:
        attempts, now = Attempts(), time.time_ns()
        deadlines = {
            1: now + MINUTE,
            2: now + 40 * MS,
            3: now + 20 * MS,
            4: now,
            5: now + 60 * MS,
            6: now + 30 * MS,
        }
        for number, deadline in deadlines.items():
            attempts.start(number, deadline)
        attempts.existing.remove(6)
        await asyncio.sleep(0.1)
        assert [number for number, _ in attempts.fired] == [4, 3, 2, 5]
        assert all(fired_at >= deadlines[number] for number, fired_at in attempts.fired)
        attempts.start(7, time.time_ns() + 10 * MS)  # before the one that the event loop waits for
        await asyncio.sleep(0.05)
        assert attempts.fired[-1][0] == 7 and len(attempts.fired) == 5

    asyncio.run(run())
