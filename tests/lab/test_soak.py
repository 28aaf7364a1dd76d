"""The soak test: a few seeds with real processes, and checks that the rules detect violations."""

from __future__ import annotations

import time
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context

import pytest

from hallproxy.lab.soak.plan import KEYED_CLASS, ONCE_CLASS, SIGNAL_SERIES, StoreMode, draw_plan
from hallproxy.lab.soak.rules import NotifiedPurge, Rules
from hallproxy.lab.soak.run import run_seed

SEEDS = range(1001, 1025)
JOBS = 3  # concurrent runs


@pytest.mark.timing("drains, purges and responses have limits of 0.25 to 0.5 s")
def test_no_seed_violates_a_rule() -> None:
    """Guards against lost, late, repeated and stale responses during disturbances, reloads and shutdowns."""
    with ProcessPoolExecutor(JOBS, mp_context=get_context("spawn")) as pool:
        outcomes = list(pool.map(run_seed, SEEDS))
    assert not [
        (outcome.summary(), outcome.violations, outcome.gateway_log)
        for outcome in outcomes
        if outcome.violations
    ]
    assert sum(outcome.tally.requests for outcome in outcomes) > 200 * len(SEEDS)


def test_a_seed_always_gives_the_same_plan_and_all_disturbances_are_drawn() -> None:
    assert draw_plan(7) == draw_plan(7) != draw_plan(8)
    plans = [draw_plan(seed) for seed in SEEDS]
    assert {plan.signals for plan in plans} == set(SIGNAL_SERIES)
    modes = {disturbance.store_mode for plan in plans for disturbance in plan.disturbances}
    assert modes == set(StoreMode)
    assert any(plan.idle_connections for plan in plans) and not all(plan.idle_connections for plan in plans)


def rules() -> Rules:
    return Rules(drain_grace=0.25, purge_grace=0.3, key_window=1.0, hedging=True)


@pytest.mark.parametrize(("after", "is_violation"), [(0.25, False), (0.31, True)])
def test_an_attempt_to_a_leaving_store_is_detected(after: float, is_violation: bool) -> None:
    checks, now = rules(), time.time()
    checks.store_notified("s-0", True, now)
    checks.attempt_received("id", "segment", "s-1", "s-0", now + after)
    checks.store_notified("s-0", False, now + 5.0)
    checks.attempt_received("id", "segment", "s-0", "", now + 6.0)
    checks.check_notified()
    assert bool(checks.violations) is is_violation


@pytest.mark.parametrize(
    ("after", "generated_at_ms", "is_violation"), [(0.3, 5, False), (0.4, 5, True), (0.4, 10, False)]
)
def test_a_copy_from_before_a_purge_is_detected(
    after: float, generated_at_ms: int, is_violation: bool
) -> None:
    checks, now = rules(), time.time()
    checks.purges.append(NotifiedPurge(0, 2, 10, now))
    checks.copy_used("id", 5, 2, generated_at_ms, now + after)
    checks.copy_used("id", 5, 1, generated_at_ms, now + after)
    checks.check_notified()
    assert bool(checks.violations) is is_violation


@pytest.mark.parametrize(
    ("class_name", "after", "proved_not_run", "violations"),
    [
        ("segment", 9.0, False, []),
        (ONCE_CLASS, 0.1, True, []),
        (ONCE_CLASS, 0.1, False, ["repeat", "refusal"]),
        (KEYED_CLASS, 0.9, False, []),
        (KEYED_CLASS, 1.1, False, ["repeat"]),
    ],
)
def test_a_repeat_or_rejection_of_a_request_that_may_have_run_is_detected(
    class_name: str, after: float, proved_not_run: bool, violations: list[str]
) -> None:
    checks, now = rules(), time.time()
    first = checks.attempt_received("id", class_name, "s-0", "", now)
    first.proved_not_run = proved_not_run
    second = checks.attempt_received("id", class_name, "s-1", "", now + after)
    second.proved_not_run = True
    checks.check_rejection("id", class_name)
    assert [line.partition(":")[0] for line in checks.violations] == violations
