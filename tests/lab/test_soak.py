"""The soak: a few seeds on real processes, and that its checks see what breaks a rule."""

from __future__ import annotations

import time
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context

import pytest

from hallproxy.lab.soak.plan import KEYED, ONCE, SIGNAL_SERIES, StoreMode, draw_plan
from hallproxy.lab.soak.rules import NotifiedPurge, Rules
from hallproxy.lab.soak.run import play

SEEDS = range(1001, 1025)
JOBS = 3  # runs at a time


@pytest.mark.timing("drains, purges and answers have limits of 0.25 to 0.5 s")
def test_no_seed_breaks_a_rule() -> None:
    """Guards against lost, late, repeated and stale answers amid disturbances, reloads and shutdowns."""
    with ProcessPoolExecutor(JOBS, mp_context=get_context("spawn")) as pool:
        outcomes = list(pool.map(play, SEEDS))
    assert not [(one.line(), one.broken, one.log) for one in outcomes if one.broken]
    assert sum(one.tally.requests for one in outcomes) > 200 * len(SEEDS)


def test_a_seed_is_the_same_run_each_time_and_all_kinds_of_trouble_are_drawn() -> None:
    assert draw_plan(7) == draw_plan(7) != draw_plan(8)
    plans = [draw_plan(seed) for seed in SEEDS]
    assert {plan.signals for plan in plans} == set(SIGNAL_SERIES)
    modes = {one.store_mode for plan in plans for one in plan.disturbances}
    assert modes == set(StoreMode)
    assert any(plan.crowd for plan in plans) and not all(plan.crowd for plan in plans)


def rules() -> Rules:
    return Rules(drain_grace=0.25, purge_grace=0.3, key_window=1.0, hedging=True)


@pytest.mark.parametrize(("after", "is_broken"), [(0.25, False), (0.31, True)])
def test_a_send_to_a_store_that_leaves_is_seen(after: float, is_broken: bool) -> None:
    seen, now = rules(), time.time()
    seen.store_notified("s-0", True, now)
    seen.attempt_received("id", "segment", "s-1", "s-0", now + after)
    seen.store_notified("s-0", False, now + 5.0)
    seen.attempt_received("id", "segment", "s-0", "", now + 6.0)
    seen.judge()
    assert bool(seen.broken) is is_broken


@pytest.mark.parametrize(
    ("after", "born_ms", "is_broken"), [(0.3, 5, False), (0.4, 5, True), (0.4, 10, False)]
)
def test_a_copy_from_before_a_purge_is_seen(after: float, born_ms: int, is_broken: bool) -> None:
    seen, now = rules(), time.time()
    seen.purges.append(NotifiedPurge(0, 2, 10, now))
    seen.copy_used("id", 5, 2, born_ms, now + after)
    seen.copy_used("id", 5, 1, born_ms, now + after)
    seen.judge()
    assert bool(seen.broken) is is_broken


@pytest.mark.parametrize(
    ("class_name", "after", "proved_not_run", "broken"),
    [
        ("segment", 9.0, False, []),
        (ONCE, 0.1, True, []),
        (ONCE, 0.1, False, ["repeat", "refusal"]),
        (KEYED, 0.9, False, []),
        (KEYED, 1.1, False, ["repeat"]),
    ],
)
def test_a_repeat_or_refusal_of_what_may_have_run_is_seen(
    class_name: str, after: float, proved_not_run: bool, broken: list[str]
) -> None:
    seen, now = rules(), time.time()
    first = seen.attempt_received("id", class_name, "s-0", "", now)
    first.proved_not_run = proved_not_run
    second = seen.attempt_received("id", class_name, "s-1", "", now + after)
    second.proved_not_run = True
    seen.check_rejection("id", class_name)
    assert [line.partition(":")[0] for line in seen.broken] == broken
