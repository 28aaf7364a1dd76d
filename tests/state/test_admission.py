"""The broker in the reducer: slots, the queue, retry budgets, keys and changes of contracts."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

import pytest

from hallproxy import interface as i
from hallproxy.broker.contracts import Contract, Contracts, Team
from hallproxy.broker.idempotency_keys import KeyStatus
from hallproxy.broker.token_bucket import Rate
from hallproxy.state import attempts, effects, events
from tests.support.reducer import MS, SECOND, ReducerHarness, response_kinds

KEYED = 2  # the class of the test settings whose requests have an idempotency key
PLAIN = 1  # an idempotent class


class ContractHarness(ReducerHarness):
    """The reducer with contracts in force. ``responses``: the one final response of each downstream."""

    def __init__(self, contracts: Sequence[Contract], teams: Sequence[Team] = (), stores: int = 1) -> None:
        super().__init__(stores)
        self.responses: dict[int, events.Response] = {}
        self.set_contracts(contracts, teams)

    def set_contracts(self, contracts: Sequence[Contract], teams: Sequence[Team] = ()) -> None:
        self.dispatch(events.ContractsUpdated(self.now, Contracts(tuple(contracts), tuple(teams))))

    def dispatch(self, event: events.Event) -> list[effects.Effect]:
        emitted = super().dispatch(event)
        for effect in emitted:
            if isinstance(effect, effects.SendResponse):
                assert effect.downstream not in self.responses, "a second final response"
                self.responses[effect.downstream] = effect.response
        return emitted

    def send(
        self, downstream: int, team: str, cls: int = PLAIN, **request_fields: object
    ) -> list[effects.Effect]:
        name = f"{downstream:016x}"
        request = events.ClientRequest(
            f"id-{downstream}", cls, 2 * SECOND, downstream, name, team=team, service="s"
        )
        request = replace(request, **request_fields)  # type: ignore[arg-type]
        return self.connect(self.dispatch(events.RequestReceived(self.now, downstream, request)))

    def connect(self, emitted: Sequence[effects.Effect]) -> list[effects.Effect]:
        """Dispatch that the requested connections are open; return these effects and those that follow."""
        all_emitted = list(emitted)
        for effect in emitted:
            if isinstance(effect, effects.OpenConnection):
                all_emitted += self.dispatch(events.ConnectionOpened(self.now, effect.connection))
        return all_emitted

    def respond(self, status: i.AttemptStatus = i.AttemptStatus.OK, count: int = 1) -> list[effects.Effect]:
        """Dispatch the endpoints' responses to the oldest attempts in flight."""
        emitted: list[effects.Effect] = []
        for attempt in list(self.state.attempts.values())[:count]:
            result = events.AttemptResult(status, b"x" * 10, generated_at=self.now)
            emitted += self.connect(
                self.dispatch(events.ResponseReceived(self.now, attempt.connection_id, result, True))
            )
        return emitted


def sends(emitted: Sequence[effects.Effect]) -> list[effects.UpstreamRequest]:
    return [e.request for e in emitted if isinstance(e, effects.SendRequest)]


def test_a_queued_request_starts_on_a_free_slot_or_is_rejected_in_time() -> None:
    harness = ContractHarness([Contract("a", "s"), Contract("b", "s")])
    assert harness.state.broker is not None
    slots = harness.state.broker.concurrency_limits.total_limit()
    for n in range(slots + 6):
        harness.send(n, "a")
    assert len(harness.state.attempts) == slots and harness.state.broker.fair_queue.queued >= 1
    queued = harness.state.broker.fair_queue.queued
    harness.now += 20 * MS
    harness.respond()
    assert len(harness.state.attempts) == slots and harness.state.broker.fair_queue.queued == queued - 1
    harness.advance(SECOND)  # no slot is released: queued requests are rejected in time, with a retry_after
    overloaded = [a for a in harness.responses.values() if a.reason is events.FailureReason.OVERLOADED]
    assert len(overloaded) >= queued - 1 and all(a.retry_after > 0 for a in overloaded)
    harness.advance(3 * SECOND)
    assert len(harness.responses) == slots + 6 and not harness.state.awaiting_response
    assert not harness.state.broker.fair_queue.in_use and not harness.state.broker.fair_queue.queued


def test_a_flood_is_rejected_at_once_and_the_quiet_team_is_admitted() -> None:
    harness = ContractHarness([Contract("flood", "s"), Contract("quiet", "s")])
    harness.send(1, "quiet")
    harness.now += 20 * MS
    harness.respond()
    for n in range(100, 400):
        harness.send(n, "flood")
    rejected = [a for a in harness.responses.values() if a.reason is events.FailureReason.OVERLOADED]
    assert len(rejected) >= 150
    attempts_before = len(harness.state.attempts)
    harness.send(2, "quiet")
    assert len(harness.state.attempts) == attempts_before + 1


def test_an_empty_retry_budget_ends_the_request_with_its_last_reason() -> None:
    """With a budget the router retries the same failure."""
    for share, retried in ((0.0, False), (1.0, True)):
        harness = ContractHarness([Contract("a", "s", retry_ratio=share)])
        harness.send(1, "a")
        harness.now += 20 * MS
        emitted = harness.respond(i.AttemptStatus.ERROR)
        assert bool(sends(emitted)) is retried
        if not retried:
            assert harness.responses[1].kind is events.ResponseKind.REJECTED
            assert (
                harness.responses[1].reason is events.FailureReason.ERROR and harness.responses[1].retry_after
            )
            assert (
                not harness.state.requests
                and not harness.state.attempts
                and not harness.state.router.requests
            )


def test_a_hedge_without_budget_leaves_the_first_attempt_in_flight() -> None:
    harness = ContractHarness([Contract("a", "s", retry_ratio=0.0)])
    harness.send(1, "a")
    action = next(iter(harness.state.attempts.values())).action
    harness.state.pending_events.append(i.ServedLocally(1))
    attempts.start(harness.state, action)  # the router asks for a hedged request
    assert not harness.responses and len(harness.state.attempts) == 1
    harness.now += 20 * MS
    harness.respond()
    assert harness.responses[1].kind is events.ResponseKind.SERVED


def test_retries_of_clients_draw_on_the_retry_budget() -> None:
    harness = ContractHarness([Contract("a", "s", retry_ratio=0.5)])
    for n in range(4):
        harness.send(n, "a")
    sent = [bool(sends(harness.send(10 + n, "a", is_retry=True))) for n in range(4)]
    assert sent == [True, True, False, False]
    assert (
        harness.responses[12].reason is events.FailureReason.RETRY_BUDGET
        and harness.responses[12].retry_after > 0
    )


def test_a_key_is_rejected_for_other_teams_and_past_its_window() -> None:
    harness = ContractHarness([Contract("a", "s"), Contract("b", "s")])
    window = harness.state.settings.classes[KEYED].idempotency_window
    assert sends(harness.send(1, "a", KEYED, idempotency_key="k"))
    assert not sends(harness.send(2, "b", KEYED, idempotency_key="k"))
    assert (harness.responses[2].kind, harness.responses[2].reason) == (
        events.ResponseKind.REJECTED,
        events.FailureReason.IDEMPOTENCY_KEY,
    )
    harness.now += window // 2
    assert sends(harness.send(3, "a", KEYED, idempotency_key="k", is_retry=True))
    harness.now += window
    assert not sends(harness.send(4, "a", KEYED, idempotency_key="k", is_retry=True))
    # It may have executed before, so a retry is not safe and it fails instead of being rejected.
    assert (harness.responses[4].kind, harness.responses[4].reason) == (
        events.ResponseKind.FAILED,
        events.FailureReason.IDEMPOTENCY_KEY,
    )


def test_a_keys_window_outlives_contract_changes_and_reloads() -> None:
    harness = ContractHarness([Contract("a", "s"), Contract("b", "s")])
    window = harness.state.settings.classes[KEYED].idempotency_window
    harness.send(1, "a", KEYED, idempotency_key="k")
    harness.set_contracts([Contract("b", "s")])
    harness.set_contracts(
        [Contract("a", "s", retry_ratio=1.0, min_retries_per_second=9.0, rate=Rate(9, 9)), Contract("b", "s")]
    )
    harness.dispatch(events.Reconfigured(harness.now, harness.state.settings, harness.state.limits))
    harness.now += window
    for downstream, team in ((2, "a"), (3, "b")):
        harness.send(downstream, team, KEYED, idempotency_key="k", is_retry=team == "a")
        assert harness.responses[downstream].reason is events.FailureReason.IDEMPOTENCY_KEY


def test_a_key_whose_window_ended_while_connecting_is_not_sent() -> None:
    """The window is checked when the first byte can be sent, not at the router's decision."""
    harness = ContractHarness([Contract("a", "s")])
    window = harness.state.settings.classes[KEYED].idempotency_window
    harness.send(1, "a", KEYED, idempotency_key="k")
    harness.now += window - 30 * MS
    request = events.ClientRequest(
        "late", KEYED, 2 * SECOND, 9, "9", team="a", service="s", idempotency_key="k", is_retry=True
    )
    opened = [
        e
        for e in harness.dispatch(events.RequestReceived(harness.now, 2, request))
        if isinstance(e, effects.OpenConnection)
    ]
    harness.now += 20 * MS
    for effect in opened:
        assert not sends(harness.dispatch(events.ConnectionOpened(harness.now, effect.connection)))
    assert opened and harness.responses[2].reason is events.FailureReason.IDEMPOTENCY_KEY


def test_removing_a_contract_ends_new_requests_only() -> None:
    harness = ContractHarness([Contract("a", "s"), Contract("b", "s")])
    harness.send(1, "a")
    for n in range(50):
        harness.send(100 + n, "b")
    queued = [c.downstream for c in harness.state.awaiting_response.values() if not c.started]
    assert queued
    harness.set_contracts([])
    harness.send(2, "a")
    assert harness.responses[2].reason is events.FailureReason.NO_CONTRACT
    harness.now += 20 * MS
    harness.respond(count=len(harness.state.attempts))
    assert harness.responses[1].kind is events.ResponseKind.SERVED
    harness.respond(count=len(harness.state.attempts))
    assert harness.responses[queued[0]].kind is events.ResponseKind.SERVED


def test_queued_requests_start_when_all_contracts_are_removed() -> None:
    harness = ContractHarness([Contract("a", "s")])
    for n in range(30):
        harness.send(n, "a")
    in_flight = len(harness.state.awaiting_response)
    harness.connect(harness.dispatch(events.ContractsUpdated(harness.now, None)))
    assert harness.state.broker is None and all(c.started for c in harness.state.awaiting_response.values())
    harness.advance(3 * SECOND)
    assert not harness.state.awaiting_response and len(harness.responses) == 30 and in_flight


def test_a_client_that_disconnects_while_queued_takes_no_slot() -> None:
    harness = ContractHarness([Contract("a", "s")])
    for n in range(14):
        harness.send(n, "a")
    assert harness.state.broker is not None
    queued = [c.downstream for c in harness.state.awaiting_response.values() if not c.started]
    for downstream in queued:
        harness.dispatch(events.DownstreamClosed(harness.now, downstream))
    assert queued and not harness.state.broker.fair_queue.queued
    assert len(harness.state.requests) == 14 - len(queued) - len(harness.responses)


@pytest.mark.parametrize("jump", [0, -SECOND, 3600 * SECOND])
def test_each_request_gets_one_response_whatever_the_clock_does(jump: int) -> None:
    harness = ContractHarness([Contract("a", "s", rate=Rate(20, 20)), Contract("b", "s", max_concurrency=3)])
    for n in range(40):
        harness.send(n, "ab"[n % 2])
        if n == 20:
            harness.now += jump
        if n % 3 == 0:
            harness.respond()
    harness.now = max(harness.now, harness.state.now)
    harness.advance(4 * SECOND)
    assert len(harness.responses) == 40 and not harness.state.awaiting_response and not harness.state.requests


def test_without_contracts_every_request_starts() -> None:
    harness = ReducerHarness()
    assert harness.state.broker is None
    assert response_kinds(harness.request(1)) == [] and len(harness.state.attempts) == 1


@pytest.mark.parametrize("reconnects", [False, True])
def test_a_key_whose_attempt_was_never_sent_counts_as_new(reconnects: bool) -> None:
    """Guards against a key counted as used though its idle connection was closed and nothing was sent."""
    harness = ContractHarness([Contract("a", "s")])
    harness.send(1, "a")
    harness.respond()  # leaves an idle connection
    (connection_id,) = harness.state.connections
    harness.send(2, "a", KEYED, idempotency_key="k")
    emitted = harness.dispatch(events.ConnectionClosed(harness.now, connection_id, unused=True))
    (opened,) = (e.connection for e in emitted if isinstance(e, effects.OpenConnection))
    if reconnects:
        harness.dispatch(events.ConnectionOpened(harness.now, opened))
        while harness.state.attempts:  # later attempts as well
            harness.respond(i.AttemptStatus.FULL)
    else:
        harness.dispatch(events.ConnectionClosed(harness.now, opened))
    assert harness.state.broker is not None
    status = harness.state.broker.idempotency_keys.check("a", "k", harness.now + 10 * SECOND)
    assert status is KeyStatus.NEW
