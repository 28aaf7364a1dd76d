"""Long random event streams through the reducer with every table and queue bounded to a few entries.

So evictions happen while requests are queued, connecting, sent or answered. The tables are checked after
each event; at the end every request has had one final response and no state remains.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Sequence

import pytest

from hallproxy import interface as i
from hallproxy.broker import fair_queue, quota_tree, retry_budget, slot_time, source_limit
from hallproxy.broker.contracts import Contract, Contracts, Organisation, Team
from hallproxy.broker.idempotency_keys import IdempotencyKeys
from hallproxy.broker.usage import Usage
from hallproxy.decisions import purges, recent_values, valuation
from hallproxy.state import effects, events
from hallproxy.state.limits import Limits
from hallproxy.state.local_cache import ENTRY_BYTES
from tests.support.reducer import MS, SECOND, ReducerHarness

STEPS = 3_000
STORES = 4
TEAMS = 5
NOT_IDEMPOTENT = 3  # the class of the test settings whose requests may execute only once
LIMITS = Limits(
    connections=4,
    requests=8,
    local_cache_bytes=3 * ENTRY_BYTES + 60,
    negative_ttl=SECOND // 2,
    idle_timeout=SECOND,
)
CONTRACTS = Contracts(
    tuple(
        Contract(f"team-{n}", "s", retry_ratio=0.3 if n % 2 else None, max_concurrency=4 * (n % 3))
        for n in range(TEAMS)
    ),
    tuple(Team(f"team-{n}", organisation="org" if n < 3 else "") for n in range(TEAMS)),
    (Organisation("org", max_concurrency=6),),
)
FEWER_CONTRACTS = Contracts(CONTRACTS.contracts[:2], CONTRACTS.teams[2:])
STATUSES = [status for status in i.AttemptStatus if status is not i.AttemptStatus.NOT_SENT]


class BoundedGateway(ReducerHarness):
    """The reducer over four stores, whose responses, closes and list changes are random from one seed."""

    def __init__(self, seed: int, has_contracts: bool, is_strict: bool) -> None:
        super().__init__(STORES, limits=LIMITS, strict_purges=is_strict, serves_stale=is_strict)
        self.rng = random.Random(seed)
        self.has_contracts = has_contracts
        self.downstreams = 0
        self.final_responses: Counter[int] = Counter()  # by downstream; a disconnect counts as one
        self.written: dict[str, list[i.AttemptStatus | None]] = {}  # by request id; None: not ended
        self.request_ids: dict[int, str] = {}  # connection -> the id of the request written on it
        self.state.purges.max_entries = 2
        self.state.executed_requests.max_ids = 2
        self.state.negative_cache.max_entries = 2
        self.set_contracts()

    def set_contracts(self, contracts: Contracts | None = CONTRACTS) -> None:
        had_broker = self.state.broker is not None
        self.dispatch(events.ContractsUpdated(self.now, contracts if self.has_contracts else None))
        if self.state.broker is not None and not had_broker:
            self.state.broker.idempotency_keys = IdempotencyKeys(max_keys=3, max_keys_per_team=2)
            self.state.broker.usage = Usage(max_teams=1)

    def dispatch(self, event: events.Event) -> list[effects.Effect]:
        emitted = super().dispatch(event)
        for effect in emitted:
            if isinstance(effect, effects.SendResponse):
                self.final_responses[effect.downstream] += 1
                assert self.final_responses[effect.downstream] == 1, "a second final response"
            elif isinstance(effect, effects.SendRequest):
                self.check_written(effect)
        self.check_tables()
        return emitted

    def check_written(self, sent: effects.SendRequest) -> None:
        """A request that may execute only once is written again only if it provably has not executed."""
        request = sent.request
        before = self.written.setdefault(request.request_id, [])
        if request.class_index == NOT_IDEMPOTENT:
            assert all(status in i.PROVES_NOT_EXECUTED for status in before)
        before.append(None)
        self.request_ids[sent.connection] = request.request_id

    def record_end(self, connection: int, status: i.AttemptStatus) -> None:
        request_id = self.request_ids.pop(connection, None)
        if request_id is not None:
            ends = self.written[request_id]
            ends[ends.index(None)] = status

    def check_tables(self) -> None:
        state = self.state
        assert len(state.connections) <= state.limits.connections
        assert len(state.awaiting_response) <= state.limits.requests
        in_requests = {a.id: a for r in state.requests.values() for a in r.attempts.values()}
        assert in_requests == dict(state.attempts)
        assert all(state.requests[a.request_id].attempts[a.number] is a for a in state.attempts.values())
        idle = [c for listed in state.idle_connections.values() for c in listed]
        assert all(c.attempt is None and state.connections[c.id] is c for c in idle)
        for connection in state.connections.values():
            attempt = connection.attempt
            assert (attempt is None) == (connection in idle)
            assert attempt is None or state.attempts[attempt.id] is attempt
        assert {r.request.request_id for r in state.requests.values()} == state.request_ids
        for request in state.requests.values():
            assert request.attempts or not request.answered
        cached = [entry for rank in state.local_cache.ranks for entry in rank.values()]
        assert state.local_cache.cached_bytes == sum(c.size for c in cached) <= LIMITS.local_cache_bytes
        assert len(state.purges.objects) <= 2 and len(state.purges.groups) <= 2
        assert len(state.negative_cache) <= 2
        assert len(state.executed_requests.ids) <= 2
        if state.broker is not None:
            self.check_broker()

    def check_broker(self) -> None:
        broker = self.state.broker
        assert broker is not None
        known = {r.id: r for r in self.state.requests.values() if not r.answered}
        admitted = broker._requests
        assert admitted.keys() <= known.keys()
        queued = [n for n, request in admitted.items() if request.is_queued]
        assert broker.fair_queue.queued == len(queued) == len(broker.fair_queue._queued)
        assert broker.fair_queue.in_use == len(admitted) - len(queued) == len(broker.fair_queue._slots)
        assert all(not known[n].started for n in queued)
        in_flight = Counter(request.contract.key for request in admitted.values())
        for contract in CONTRACTS.contracts:
            usage = broker.contract_budgets.entries.get(contract.key)
            assert (usage.in_flight if usage else 0) == in_flight[contract.key]
        assert len(broker.idempotency_keys) <= 3

    def run_steps(self, count: int) -> None:
        for _ in range(count):
            self.now += int(self.rng.expovariate(1.0) * 15 * MS)
            self.advance(0)
            self.step()

    def step(self) -> None:
        draw = self.rng.random()
        if draw < 0.40:
            self.send()
        elif draw < 0.50 and self.opening():
            connection = self.rng.choice(self.opening())
            if self.rng.random() < 0.8:
                self.dispatch(events.ConnectionOpened(self.now, connection))
            else:
                no_descriptor = self.rng.random() < 0.3
                self.dispatch(events.ConnectionClosed(self.now, connection, out_of_descriptors=no_descriptor))
        elif draw < 0.80 and self.state.connections:
            self.respond(self.rng.choice(list(self.state.connections)))
        elif draw < 0.86 and self.state.connections:
            self.close(self.rng.choice(list(self.state.connections)))
        elif draw < 0.90 and self.state.awaiting_response:
            self.disconnect(self.rng.choice(list(self.state.awaiting_response)))
        elif draw < 0.95:
            self.change_endpoint_list()
        elif draw < 0.98:
            obj = self.rng.randrange(6)
            at = self.now - self.rng.randrange(100) * MS
            self.dispatch(events.PurgeNotified(self.now, obj, self.rng.randrange(3), at, self.now))
        elif draw < 0.99:
            self.set_contracts(self.rng.choice((CONTRACTS, FEWER_CONTRACTS, None)))
        else:
            self.dispatch(events.WatchCaughtUp(self.now))

    def opening(self) -> list[int]:
        return [c.id for c in self.state.connections.values() if not c.is_open]

    def send(self) -> None:
        self.downstreams += 1
        rng, obj = self.rng, self.rng.randrange(1, 6)
        cls = rng.randrange(4)
        request = events.ClientRequest(
            f"id-{self.downstreams}",
            cls,
            rng.choice((30 * MS, SECOND, 3 * SECOND)),
            obj,
            f"{obj:016x}",
            group=obj % 3,
            size_kb=rng.choice((0.0, 5.0, 300.0)),
            is_write=cls >= 2,
            idempotency_key=f"key-{rng.randrange(5)}" if cls == 2 else "",
            team=f"team-{rng.randrange(TEAMS)}",
            service="s",
        )
        self.dispatch(events.RequestReceived(self.now, self.downstreams, request))

    def respond(self, connection: int) -> None:
        if not self.state.connections[connection].is_open:
            return
        status = self.rng.choice(STATUSES if self.rng.random() < 0.4 else [i.AttemptStatus.OK])
        self.record_end(connection, status)
        reason = (
            events.FailureReason.NOT_FOUND if status is i.AttemptStatus.MISS else events.FailureReason.NONE
        )
        result = events.AttemptResult(
            status, b"x" * self.rng.randrange(40), generated_at=self.now - 5 * MS, reason=reason
        )
        reusable = self.rng.random() < 0.8
        self.dispatch(events.ResponseReceived(self.now, connection, result, reusable))

    def close(self, connection: int) -> None:
        unused = self.state.connections[connection].is_open and self.rng.random() < 0.4
        self.record_end(connection, i.AttemptStatus.CONNECT_FAILED if unused else i.AttemptStatus.RESET)
        self.dispatch(events.ConnectionClosed(self.now, connection, unused=unused))

    def disconnect(self, downstream: int) -> None:
        self.final_responses[downstream] += 1
        self.dispatch(events.DownstreamClosed(self.now, downstream))

    def change_endpoint_list(self) -> None:
        """Change random entries of the endpoint list, sometimes several of one endpoint at once."""
        rng = self.rng
        entries: list[i.Endpoint] = []
        addresses: list[str] = []
        for _ in range(rng.choice((1, 1, 3))):
            name = b"s-%d" % rng.randrange(STORES)
            known = self.state.endpoints.by_id.get(name)
            started_at = known.started_at if known is not None and rng.random() < 0.5 else self.now
            state = rng.choice((i.EndpointState.READY, i.EndpointState.READY, *i.EndpointState))
            entries.append(i.Endpoint(name, state, started_at=started_at))
            addresses.append(rng.choice(("a:1", "a:2")))
        kind = rng.choice((i.EndpointListKind.DELTA,) * 4 + (i.EndpointListKind.FULL,))
        change = i.EndpointsChanged(kind, tuple(entries))
        self.dispatch(events.EndpointListUpdated(self.now, change, tuple(addresses)))

    def shut_down(self) -> None:
        """Shut down: all requests are answered by the deadline, and then no state remains."""
        deadline = self.now + 2 * SECOND
        self.dispatch(events.ShutdownStarted(self.now, deadline, rejects_new=True))
        self.send()
        self.advance(2 * SECOND)
        assert not self.state.awaiting_response
        assert set(range(1, self.downstreams + 1)) == self.final_responses.keys()
        assert set(self.final_responses.values()) == {1}
        self.advance(20 * SECOND)
        assert not self.state.requests and not self.state.attempts and not self.state.connections
        assert not self.state.router.requests


@pytest.mark.parametrize("has_contracts", [False, True])
@pytest.mark.parametrize("is_strict", [False, True])
@pytest.mark.parametrize("seed", range(3))
def test_each_request_is_answered_once_and_no_table_loses_what_is_in_use(
    seed: int, is_strict: bool, has_contracts: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against evicting what a request, attempt or connection in flight refers to."""
    set_small_bounds(monkeypatch)
    gateway = BoundedGateway(seed, has_contracts, is_strict)
    gateway.run_steps(STEPS)
    gateway.shut_down()


def set_small_bounds(monkeypatch: pytest.MonkeyPatch) -> None:
    bounds: Sequence[tuple[object, str, int]] = (
        (valuation, "COUNTS_MAX", 2),
        (purges, "PURGES_MAX", 2),
        (recent_values, "RECENT_VALUES_MAX", 8),
        (quota_tree, "MAX_NODES", 2),
        (fair_queue, "MAX_QUEUED", 2),
        (retry_budget, "MAX_TEAMS", 1),
        (slot_time, "MAX_COST_CLASSES", 1),
        (source_limit, "MAX_COST_CLASSES", 1),
        (source_limit, "MAX_BASELINE_SAMPLES", 1),
    )
    for module, name, value in bounds:
        monkeypatch.setattr(module, name, value)
