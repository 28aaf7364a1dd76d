"""Checks that the processor time of an operation grows in proportion to its input."""

from __future__ import annotations

import time
from collections.abc import Callable

GROWTH = 4  # from the smaller input to the larger one
MAX_TIME_GROWTH = 2 * GROWTH  # half way, in factors, to the growth of quadratic time
REPEATS = 7  # the fastest one counts, as other processes delay the others
MIN_DURATION = 0.002  # s of one measurement, in which a short operation is repeated


def time_growth(prepare: Callable[[int], Callable[[], object]], size: int) -> float:
    """The factor by which processor time grows from an input of ``size`` to one ``GROWTH`` times as large.

    ``prepare`` returns the operation on an input of the given size.
    """
    small, large = prepare(size), prepare(size * GROWTH)
    calls = 1
    while _duration(small, calls) < MIN_DURATION:
        calls *= 2
    return min(_duration(large, 1) for _ in range(REPEATS)) / min(
        _duration(small, calls) / calls for _ in range(REPEATS)
    )


def _duration(operation: Callable[[], object], calls: int) -> float:
    began_at = time.process_time()
    for _ in range(calls):
        operation()
    return time.process_time() - began_at
