"""A cold store and many gateways: each knows only its own calls, and all together must not overload it."""

import math
from dataclasses import replace

from hallproxy import Router
from hallproxy.interface import (
    AttemptEnded,
    AttemptStatus,
    Endpoint,
    EndpointListKind,
    EndpointsChanged,
    EndpointState,
    Request,
    RequestClass,
    Settings,
    StartAttempt,
)
from hallproxy.lab.capacity.registry import Measured, MeasurementError, Quantity, Run, measurement

MS, SECOND = 1_000_000, 1_000_000_000  # ns
START = 1_000 * SECOND
TICK = 100 * MS
TICKS = 80
BURSTS = (30, 31, 32, 60, 61)
"""Ticks at which all gateways send requests; in the idle ticks between, each accumulates its budget."""
TRANSFER_TIME = 0.4  # s of sending for each request
SIZE_KB = 400.0
WEIGHT = 40.0  # concurrent transfers that the cold store's link carries

SETTINGS = Settings(
    classes=(RequestClass(400 * MS, 5 * SECOND),),
    zone=0,
    zone_hub=(0,),
    parent_kind=1,
    origin_kind=2,
    slow_start_share=0.2,
    slow_start_duration=15 * SECOND,
    overload_multiple=3.0,
    overload_window=SECOND,
    drain_grace=500 * MS,
    answer_slack=8 * MS,
    tick=2 * MS,
    transfer_kb_s=SIZE_KB / TRANSFER_TIME,
    parent_slow_start_share=0.06,
    parent_slow_start_duration=22 * SECOND,
    parent_overload_multiple=2.0,
    cancellation=True,
    max_attempts=6,
    weights_known=True,
)
CACHE = Endpoint(b"cold", EndpointState.READY, kind=0, weight=WEIGHT, started_at=START)
PARENT = Endpoint(b"cold", EndpointState.READY, kind=1, weight=WEIGHT, started_at=START)
WARM = Endpoint(b"warm", EndpointState.READY, kind=0, weight=WEIGHT)
WARM_PARENT = Endpoint(b"parent", EndpointState.READY, kind=1, weight=WEIGHT)
ORIGIN = Endpoint(b"origin", EndpointState.READY, kind=2, weight=WEIGHT)


def call_limit(cold: Endpoint, tick: int) -> float:
    """Calls that the store can take in the window that begins at the tick."""
    min_share, duration_s, multiple = (0.2, 15, 3.0) if cold.kind == 0 else (0.06, 22, 2.0)
    return (
        multiple
        * (min_share + (1 - min_share) * tick * TICK / SECOND / duration_s)
        * cold.weight
        / TRANSFER_TIME
    )


def calls_by_tick(cold: Endpoint, routers: int, run: Run) -> list[int]:
    """The store's calls in each tick. Raises MeasurementError if a request starts more than one attempt."""
    others = (WARM, WARM_PARENT) if cold.kind == 0 else (WARM,)
    settings = replace(SETTINGS, gateways_by_zone=(routers,), gateway_count=routers)
    members = EndpointsChanged(EndpointListKind.CACHED, (cold, *others, ORIGIN))
    fleet = []
    for index in range(routers):
        fleet.append(Router(replace(settings, gateway_index=index), run.random.getrandbits(32)))
        fleet[-1].handle(START, [members])
    calls, ident = [0] * TICKS, 0
    for tick in BURSTS:
        now = START + tick * TICK
        for _ in range(max(routers, 8 * math.ceil(call_limit(cold, tick)))):
            router, ident = fleet[run.random.randrange(routers)], ident + 1
            request = Request(ident, 0, 3 * SECOND, object=run.random.getrandbits(48) + 1, size_kb=SIZE_KB)
            attempts = [
                action for action in router.handle(now, [request]) if isinstance(action, StartAttempt)
            ]
            if len(attempts) > 1:
                raise MeasurementError(f"{len(attempts)} attempts for one request")
            for attempt in attempts:
                calls[tick] += cold.id in (attempt.endpoint, attempt.source)
                router.handle(
                    now, [AttemptEnded(ident, 0, attempt.endpoint, AttemptStatus.OK, 50 * MS, True, 0)]
                )
    return calls


def max_excess(cold: Endpoint, calls: list[int]) -> tuple[float, float]:
    """The maxima over all windows of (calls - N) / (2 x root of N + 2) and calls / N; N is the call limit."""
    window = SECOND // TICK
    windows = [(sum(calls[tick : tick + window]), call_limit(cold, tick)) for tick in range(TICKS)]
    if not any(calls):
        raise MeasurementError("the cold store was never called")
    return max((sent - n) / (2 * math.sqrt(n) + 2) for sent, n in windows), max(
        sent / n for sent, n in windows
    )


@measurement(
    name="stores.cold", role="store", x="gateways", sizes=(30, 139, 418, 1_500, 7_100),
    tiny=(4, 8, 16, 32),
    title="Calls of a cold store in a window after a quiet time, over the N that it bears: what is over, in "
    "parts of 2 x root of N + 2, and the most as a share of N; all gateways share one cache, or one parent",
    quantities=(Quantity("over", "", fitted=False), Quantity("of_n", "", fitted=False),
                Quantity("over_parent", "", fitted=False), Quantity("of_n_parent", "", fitted=False)),
    minutes=3.0,
)  # fmt: skip
def cold(size: float, run: Run) -> Measured:
    routers = int(size)
    cache = max_excess(CACHE, calls_by_tick(CACHE, routers, run))
    parent = max_excess(PARENT, calls_by_tick(PARENT, routers, run))
    if run.tiny and max(cache[0], parent[0]) > 1:
        raise MeasurementError(
            f"calls exceed the cold store's limit by {max(cache[0], parent[0]):.2f} times (2 x root of N + 2)"
        )
    return {"over": cache[0], "of_n": cache[1], "over_parent": parent[0], "of_n_parent": parent[1]}
