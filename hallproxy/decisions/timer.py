"""The single timer of a router."""

from __future__ import annotations

import heapq

from hallproxy.decisions.context import DecisionContext
from hallproxy.decisions.hedging import OverdueAttempts
from hallproxy.decisions.queueing import RequestQueue
from hallproxy.decisions.units import MILLISECOND, NEVER
from hallproxy.interface import SetTimer

TIMER_TOKEN = 0


class DecisionTimer:
    """Sets a timer for the next deadline, check of an overdue attempt, check of the queue, or poll."""

    def __init__(self, context: DecisionContext, queue: RequestQueue, overdue: OverdueAttempts) -> None:
        self._context = context
        self._queue = queue
        self._overdue = overdue
        self._fires_at = NEVER  # ns

    def clear_if_fired(self) -> None:
        """Clear the timer once it has fired."""
        if self._context.now >= self._fires_at:
            self._fires_at = NEVER

    def schedule(self, poll_at: int) -> None:
        """Set the timer if something is due before it fires; finished requests need none."""
        queue, deadlines, checks = self._queue, self._queue.deadlines, self._overdue.checks
        while deadlines and queue.is_finished(deadlines[0][1]):
            heapq.heappop(deadlines)
        while checks and queue.is_finished(checks[0].request_id):
            heapq.heappop(checks)
        at = min(poll_at, queue.next_check_at())
        if deadlines and deadlines[0][0] < at:
            at = deadlines[0][0]
        if checks and checks[0].at < at:
            at = checks[0].at
        if at < self._fires_at:
            self._fires_at = max(at, self._context.now + MILLISECOND)
            self._context.actions.append(SetTimer(self._fires_at, TIMER_TOKEN))
