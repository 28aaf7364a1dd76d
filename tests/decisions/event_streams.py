"""Event streams for the differential test: generated in a closed loop, or recorded and replayed."""

from __future__ import annotations

import hashlib
import heapq
import random
from collections.abc import Iterable, Sequence
from dataclasses import replace

from hallproxy import Router
from hallproxy import interface as i
from tests.decisions.event_encoding import Batch, decode_event, encode_action, encode_event
from tests.support.fleet import CLIP, SETTINGS, SMALL

MS = 1_000_000
SECOND = 1_000_000_000
START = 1_000 * SECOND

WRITE = replace(SMALL, is_write=True, idempotency=i.Idempotency.NOT_IDEMPOTENT, deadline=3 * SECOND)
KEYED = replace(
    SMALL,
    idempotency=i.Idempotency.IDEMPOTENCY_KEY,
    idempotency_scope=i.Scope.ZONE,
    idempotency_window=2 * SECOND,
    priority_weight=3.0,
)
KEYED_ANYWHERE = replace(
    SMALL,
    idempotency=i.Idempotency.IDEMPOTENCY_KEY,
    idempotency_scope=i.Scope.ALL,
    idempotency_window=2 * SECOND,
)
STREAM = replace(CLIP, streaming=True, stale_grace=2 * SECOND, fresh_for=6 * SECOND)

DEPLOYMENTS = {
    # No hedging, answers without cache status, no weights, long deadlines.
    "plain": replace(SETTINGS, classes=(CLIP, SMALL, WRITE)),
    # All that a deployment can allow: hedging, cache statuses, weights, load reports, a polled list.
    "rich": replace(
        SETTINGS,
        classes=(CLIP, SMALL, KEYED, KEYED_ANYWHERE, WRITE, STREAM),
        gateways_by_zone=(3, 0, 2, 4),
        gateway_count=9,
        gateway_index=4,
        fill_detail=i.FillDetail.ALL,
        weights_known=True,
        hedging=True,
        direct_to_source=True,
        sibling_scope=i.Scope.ZONE,
        load_reports=i.LoadReports.ANSWERS,
        report_fields=("x0", "x1"),
        polls_endpoint_list=True,
        poll_within=10 * SECOND,
        max_attempts=4,
    ),
    # A zone with one gateway and two caches, and priority weights that differ by class.
    "single": replace(
        SETTINGS,
        classes=(replace(CLIP, priority_weight=7.0), SMALL, KEYED),
        gateways_by_zone=(1, 1, 1, 1),
        gateway_count=4,
        fill_detail=i.FillDetail.HIT,
        weights_known=True,
        hedging=True,
        load_reports=i.LoadReports.ANSWERS,
        report_fields=("x1",),
        max_attempts=8,
    ),
}
CACHE_COUNT = 6
FLEET: tuple[i.Endpoint, ...] = (
    *(i.Endpoint(b"c-%d" % n, i.EndpointState.READY, 0, 2, n % 2, 6.0 + n) for n in range(CACHE_COUNT)),
    *(i.Endpoint(b"far-%d" % n, i.EndpointState.READY, 0, 3, 0, 8.0) for n in range(2)),
    *(i.Endpoint(b"p-%d" % n, i.EndpointState.READY, 1, n % 2, 0, 20.0 + 9 * n) for n in range(4)),
    i.Endpoint(b"origin", i.EndpointState.READY, 2, 0, 0, 30.0),
)


class Recorder:
    """Runs a router; records its events and keeps a digest of its actions."""

    def __init__(self, deployment: str, seed: int) -> None:
        self.router = Router(DEPLOYMENTS[deployment], seed)
        self.digest = hashlib.sha256()
        self.events: list[Batch] = []
        self.kinds: set[str] = set()
        self.count = 0

    def handle(self, now: int, events: Sequence[i.Event]) -> list[i.Action]:
        actions = self.router.handle(now, events)
        self.count += len(events)
        for action in actions:
            encoded = encode_action(action)
            self.kinds.add(encoded[0])
            self.digest.update(f"{now} {encoded!r}\n".encode())
        self.events.append((now, [encode_event(event) for event in events]))
        return actions


class Simulation:
    """Clients, caches and the endpoint list, drawn from one seed; ends the attempts that the router starts.

    Its phases: normal load, overload, a failing cache, a failing parent, a stall behind the caches, and an
    outage in which nearly all attempts fail.
    """

    def __init__(self, deployment: str, seed: int) -> None:
        self.deployment, self.settings = deployment, DEPLOYMENTS[deployment]
        self.rng = random.Random(f"{deployment}/{seed}")
        self.recorder = Recorder(deployment, seed)
        self.queue: list[tuple[int, int, i.Event]] = []
        self.sequence = 0
        self.now = START
        removed = {b"c-2", b"c-3", b"c-4", b"c-5"} if deployment == "single" else set()
        self.initial_endpoints = tuple(endpoint for endpoint in FLEET if endpoint.id not in removed)
        self.fleet = {endpoint.id: endpoint for endpoint in self.initial_endpoints}
        self.open_requests: set[int] = set()
        self.sizes_kb: dict[int, float] = {}
        self.attempts: dict[int, int] = {}
        self.in_flight: dict[tuple[int, int], bytes] = {}

    def schedule(self, delay: int, event: i.Event) -> None:
        self.sequence += 1
        heapq.heappush(self.queue, (self.now + max(0, delay), self.sequence, event))

    def run(self, seconds: int) -> Recorder:
        self.deliver([i.EndpointsChanged(i.EndpointListKind.CACHED, self.initial_endpoints, 1)])
        end = START + seconds * SECOND
        request_at, other_events_at, request_id = START, START + 100 * MS, 0
        while self.now < end:
            at = min(request_at, other_events_at, self.queue[0][0] if self.queue else end)
            self.now = max(self.now, at)
            batch: list[i.Event] = []
            while self.queue and self.queue[0][0] <= self.now:
                batch.append(heapq.heappop(self.queue)[2])
            if request_at <= self.now:
                request_id += 1
                batch.append(self.request(request_id))
                request_at = self.now + int(self.rng.expovariate(self.request_rate()) * SECOND)
            if other_events_at <= self.now:
                batch.extend(self.other_events())
                other_events_at = self.now + int(self.rng.expovariate(6.0) * SECOND)
            self.deliver(batch)
        return self.recorder

    def phase(self) -> int:
        return (self.now - START) // (4 * SECOND) % 6

    def request_rate(self) -> float:
        if self.deployment == "single":
            return 900.0 if self.phase() == 1 else 120.0
        return 400.0 if self.phase() == 1 else 60.0

    def request(self, request_id: int) -> i.Request:
        rng = self.rng
        class_index = rng.randrange(len(self.settings.classes))
        object_id = int(rng.paretovariate(0.8)) % 400 + 1
        size_kb = 0.0 if rng.random() < 0.05 else min(4000.0, 30.0 * rng.paretovariate(0.9))
        time_left = int(self.settings.classes[class_index].deadline * rng.choice((0.02, 0.5, 1.0, 1.0, 1.0)))
        caches = [endpoint.id for endpoint in FLEET[:CACHE_COUNT]]
        allowed = frozenset(rng.sample(caches, 3)) if rng.random() < 0.03 else frozenset()
        self.open_requests.add(request_id)
        self.sizes_kb[request_id] = size_kb
        part = rng.randrange(3) if self.settings.classes[class_index].multipart else 0
        if rng.random() < 0.04:
            self.schedule(int(rng.expovariate(4.0) * SECOND), i.ClientDisconnected(request_id))
        is_write = rng.random() < 0.02
        return i.Request(
            request_id,
            class_index,
            time_left,
            object_id,
            part,
            object_id % 8,
            size_kb,
            is_write=is_write,
            allowed_endpoints=allowed,
        )

    def other_events(self) -> list[i.Event]:
        """Events besides requests and answers: endpoints, purges, settings, unexpected timers and others."""
        rng, endpoint_id = self.rng, self.rng.choice(list(self.fleet))
        endpoint = self.fleet[endpoint_id]
        match rng.randrange(12):
            case 0 | 1:
                state = rng.choice(
                    (
                        i.EndpointState.READY,
                        i.EndpointState.READY,
                        i.EndpointState.DRAINING,
                        i.EndpointState.GONE,
                    )
                )
                started = rng.choice((endpoint.started_at, self.now - 50 * MS))
                self.fleet[endpoint_id] = replace(endpoint, state=state, started_at=started)
                return [
                    i.EndpointsChanged(i.EndpointListKind.DELTA, (self.fleet[endpoint_id],), self.sequence)
                ]
            case 2:
                restored = {m.id: replace(m, state=i.EndpointState.READY) for m in self.fleet.values()}
                self.fleet = restored
                kind = rng.choice((i.EndpointListKind.FULL, i.EndpointListKind.CACHED))
                return [i.EndpointsChanged(kind, tuple(restored.values()), self.sequence)]
            case 3:
                return [i.EndpointsChanged(i.EndpointListKind.FAILED)]
            case 4 | 5:
                return [i.ObjectPurged(rng.randrange(1, 30), 0, rng.randrange(400) * MS)]
            case 6:
                if self.deployment == "single" and self.phase() == 0:
                    return [i.ObjectPurged(n, 0, n % 400 * MS) for n in range(1, 4200)]
                return [i.ObjectPurged(0, rng.randrange(8), rng.randrange(400) * MS)]
            case 7:
                if self.deployment == "single" and self.phase() == 4:
                    return [i.ServedLocally(n) for n in range(1000, 32_000)]
                return [i.ServedLocally(rng.randrange(1, 400)) for _ in range(5)]
            case 8:
                return [i.TimerFired(rng.randrange(3))]
            case 9:
                return [
                    i.HealthCheckEnded(
                        endpoint_id, rng.choice((i.AttemptStatus.OK, i.AttemptStatus.TIMEOUT)), 3 * MS
                    )
                ]
            case 10:
                return [i.GossipReceived(1, b"anything")]
            case _:
                attempts = rng.choice((self.settings.max_attempts, 2, 6))
                return [i.SettingsChanged(replace(self.settings, max_attempts=attempts))]

    def deliver(self, batch: list[i.Event]) -> None:
        for event in batch:
            if isinstance(event, i.AttemptEnded):
                self.in_flight.pop((event.request_id, event.attempt), None)
                if event.status is i.AttemptStatus.OK:
                    self.open_requests.discard(event.request_id)
            elif isinstance(event, i.ClientDisconnected):
                self.open_requests.discard(event.request_id)
        batch = [self.mark_closed(event) for event in batch]
        for action in self.recorder.handle(self.now, batch):
            match action:
                case i.StartAttempt():
                    self.answer_attempt(action)
                case i.Reject() | i.Fail():
                    self.open_requests.discard(action.request_id)
                case i.SetTimer():
                    self.schedule(action.at - self.now, i.TimerFired(action.token))
                case i.CancelAttempt():
                    endpoint_id = self.in_flight.get((action.request_id, action.attempt))
                    if endpoint_id is not None:
                        status = i.AttemptStatus.CANCELLED
                        self.schedule(
                            0,
                            i.AttemptEnded(action.request_id, action.attempt, endpoint_id, status, MS, True),
                        )
                case _:
                    pass

    def mark_closed(self, event: i.Event) -> i.Event:
        if isinstance(event, i.AttemptEnded):
            return replace(event, request_closed=event.request_id not in self.open_requests)
        return event

    def answer_attempt(self, started: i.StartAttempt) -> None:
        rng, phase = self.rng, self.phase()
        attempt = self.attempts.get(started.request_id, 0)
        self.attempts[started.request_id] = attempt + 1
        self.in_flight[started.request_id, attempt] = started.endpoint
        sending_time = self.sizes_kb[started.request_id] / self.settings.transfer_kb_s
        latency = int(
            (sending_time * (0.1 if self.deployment == "single" else 1.0) + rng.expovariate(30.0)) * SECOND
        )
        status, cache_status = i.AttemptStatus.OK, i.CacheStatus.HIT
        if rng.random() < 0.35:
            cache_status = rng.choice(
                (
                    i.CacheStatus.FILLED,
                    i.CacheStatus.FILLED_BY_ORIGIN,
                    i.CacheStatus.JOINED,
                    i.CacheStatus.STALE,
                )
            )
            latency += int(rng.uniform(0.02, 0.2) * SECOND)
        faulty = (phase == 2 and started.endpoint == b"c-1") or (phase == 3 and started.source == b"p-0")
        if rng.random() < (0.9 if phase == 5 else 0.7 if faulty else 0.04):
            status = rng.choice(
                (
                    i.AttemptStatus.ERROR,
                    i.AttemptStatus.FULL,
                    i.AttemptStatus.CONNECT_FAILED,
                    i.AttemptStatus.RESET,
                    i.AttemptStatus.MISS,
                    i.AttemptStatus.NOT_SENT,
                )
            )
            cache_status = (
                rng.choice(tuple(i.CacheStatus))
                if status is not i.AttemptStatus.NOT_SENT
                else i.CacheStatus.NONE
            )
            latency = int(rng.uniform(0.001, 0.05) * SECOND)
        elif (phase == 4 and rng.random() < 0.6) or rng.random() < 0.02:
            latency = 10 * started.timeout
        if latency >= started.timeout:
            status, cache_status, latency = i.AttemptStatus.TIMEOUT, i.CacheStatus.NONE, started.timeout
        if self.settings.fill_detail is i.FillDetail.NONE:
            cache_status = i.CacheStatus.NONE
        load = (rng.random(), rng.random()) if self.settings.report_fields else ()
        if status is i.AttemptStatus.OK and rng.random() < 0.05:
            self.schedule(
                latency // 2, i.StreamStarted(started.request_id, attempt, started.endpoint, latency // 2)
            )
        ended = i.AttemptEnded(
            started.request_id,
            attempt,
            started.endpoint,
            status,
            latency,
            False,
            int(cache_status),
            latency // 3,
            load,
        )
        self.schedule(latency, ended)


def replay(deployment: str, batches: Iterable[Batch], seed: int) -> Recorder:
    """Pass recorded batches to a new router, regardless of its actions."""
    recorder = Recorder(deployment, seed)
    for now, events in batches:
        recorder.handle(now, [decode_event(DEPLOYMENTS[deployment], event) for event in events])
    return recorder
