"""The decisions stay exactly the same: digests of all actions over long event streams.

The digests are those of commit 7e494e6, before the decision module was split. A change that is meant to alter
a decision replaces them, and its commit says which decision that is.
"""

from __future__ import annotations

import importlib
from pathlib import Path

import pytest

from tests.decisions.event_encoding import load
from tests.decisions.event_streams import DEPLOYMENTS, Simulation, replay

SECONDS = 26  # of each generated stream: about 7,000 events, all phases once and the first again
RECORDED = Path(__file__).parent / "recorded"
GENERATED_DIGESTS = {
    ("plain", 1): "ad8d46613b2f226a6536c67de709e3bf45da9e72733d31720dcfdc5c183d48f0",
    ("plain", 2): "ba36c559382ddf37915b71802a51f23ed9f9a8a1e43ce7949e20839f51bf299d",
    ("rich", 1): "d44393fba7a18157d2f7a0bd83146614c718a55e593f85fd684dde05f033df9c",
    ("rich", 2): "3b2d9dc941bcb94de6a8e8600f5f860167bca8bbaf6187ca3b817e6276e94c85",
    ("single", 2): "6a9e2564a8f22d62b0e4301ac0a0efbd43bf97842e9a918223306e1a057dd3f2",
}
RECORDED_DIGESTS = {
    "plain": "4ceb0e8f59446850f9f790c1ab290236cc8916a74c10c9939d7d625f1660551a",
    "rich": "d3ca9ad0f14d46b34d18ecda4cc44679d95760ca4b9f2673297e369b4edfe429",
    "single": "10f7f00c5ce788b06bf79ef050e6a19a7b00a55297d8627d909f6fb3ea06d6b6",
}
RECORDED_SEED = 77
EVENT_KINDS = {
    "members", "settings", "request", "seen", "outcome", "stream", "gone", "timer", "probed", "purge", "peer",
}  # fmt: skip


@pytest.mark.parametrize(("deployment", "seed"), GENERATED_DIGESTS)
def test_generated_streams_lead_to_the_same_actions(deployment: str, seed: int) -> None:
    recorder = Simulation(deployment, seed).run(SECONDS)
    assert recorder.digest.hexdigest() == GENERATED_DIGESTS[deployment, seed]
    assert recorder.count > 7_000
    assert {event[0] for _, events in recorder.events for event in events} == EVENT_KINDS
    assert recorder.kinds >= {"get", "refuse", "fail", "cancel", "timer", "log"}
    assert ("subscribe" in recorder.kinds) == DEPLOYMENTS[deployment].polls_endpoint_list


@pytest.mark.parametrize("deployment", RECORDED_DIGESTS)
def test_recorded_streams_lead_to_the_same_actions(deployment: str) -> None:
    recorder = replay(deployment, load(RECORDED / f"{deployment}.json.gz"), RECORDED_SEED)
    assert recorder.digest.hexdigest() == RECORDED_DIGESTS[deployment]
    assert recorder.count > 4_000


@pytest.mark.parametrize(
    ("module", "name", "deployment"),
    [
        ("concurrency", "LIMIT_STEP", "plain"),
        ("endpoints", "POLL_RETRY_INTERVAL", "rich"),
        ("hashing", "HASH_RANGE", "plain"),
        ("hedging", "OVERDUE_QUANTILE", "plain"),
        ("latency", "SLOW_MULTIPLE", "plain"),
        ("outliers", "EJECT_ABOVE", "plain"),
        ("placement", "BOUNDED_LOAD_SLACK", "plain"),
        ("purges", "EXPIRY_MARGIN", "plain"),
        ("queueing", "QUEUE_TIME_MAX", "plain"),
        ("recent_values", "RECENT_VALUES_MAX", "plain"),
        ("retries", "RETRY_SHARE", "plain"),
        ("router", "RETRY_AFTER", "plain"),
        ("slow_start", "BUDGET_SHARE", "plain"),
        ("status", "STATUS_INTERVAL", "plain"),
        ("valuation", "ADMIT_FROM_COUNT", "plain"),
    ],
)
def test_one_constant_changed_by_a_fifth_changes_the_digest(
    module: str, name: str, deployment: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    rule_module = importlib.import_module(f"hallproxy.decisions.{module}")
    monkeypatch.setattr(rule_module, name, getattr(rule_module, name) * 0.8)
    digest = Simulation(deployment, 1).run(SECONDS).digest.hexdigest()
    assert digest != GENERATED_DIGESTS[deployment, 1]
