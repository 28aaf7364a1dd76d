"""Cost of one decision: the module receives a request, starts an attempt and then receives its outcome.

One request is open at a time, in a gateway as the operators plan them (7,100 in 51 zones). Two members in
nine are parents. Everything is warm, each answer OK and each object new, except where a measurement differs.
"""

import gc
import statistics
import time
import tracemalloc

from hallproxy.decisions import Router
from hallproxy.decisions.recent_values import RECENT_VALUES_MAX
from hallproxy.decisions.valuation import COUNTS_MAX
from hallproxy.interface import (
    Action,
    AttemptEnded,
    AttemptStatus,
    Endpoint,
    EndpointListKind,
    EndpointsChanged,
    Request,
    ServedLocally,
    Settings,
    StartAttempt,
)
from hallproxy.lab.capacity import fleet
from hallproxy.lab.capacity.registry import Measured, MeasurementError, Quantity, Run, measurement
from hallproxy.wire.changelog import decode_endpoint

NOW = 1_700_000_000 * fleet.SECOND
BLOCKS = 5  # the figure is the median of their means
BLOCK_DECISIONS, BLOCK_TIME = 400, 1.2  # decisions in a block; time (s) after which it ends early


class Decider:
    """A router, its clock and the number of its requests."""

    def __init__(self, settings: Settings, members: tuple[Endpoint, ...], seed: int) -> None:
        self.router = Router(settings, seed)
        self.now, self.requests = NOW, 0
        self.router.handle(self.now, [EndpointsChanged(EndpointListKind.FULL, members, 1)])

    def decide(self, obj: int, size_kb: float = 40.0) -> list[Action]:
        """Run a request to its end; returns its actions. MeasurementError if none starts an attempt."""
        self.requests += 1
        ident = self.requests
        self.now += fleet.MS
        actions = self.router.handle(self.now, [Request(ident, 0, 5 * fleet.SECOND, obj, size_kb=size_kb)])
        attempt = next((action for action in actions if isinstance(action, StartAttempt)), None)
        if attempt is None:
            raise MeasurementError(f"request {ident} started no attempt: {actions}")
        self.now += fleet.MS
        self.router.handle(
            self.now, [AttemptEnded(ident, 0, attempt.endpoint, AttemptStatus.OK, 20 * fleet.MS, True)]
        )
        return actions

    def block(self, first: int, limit: int) -> tuple[int, float]:
        """Decisions on new objects from number ``first`` on: how many, and the mean µs of one."""
        began = time.process_time()
        for n in range(limit):
            self.decide(first + n)
            spent = time.process_time() - began
            if spent > BLOCK_TIME:
                break
        return n + 1, spent / (n + 1) * 1e6


def settings_and_members(
    members: int, zones: int, run: Run, parents: int | None = None
) -> tuple[Settings, tuple[Endpoint, ...]]:
    settings = fleet.settings(zones)
    listed = fleet.endpoint_lines(members, run.random, zones, parents)
    return settings, tuple(decode_endpoint(line, settings)[0] for line in listed)


def _measure(members: int, zones: int, run: Run, parents: int | None = None) -> Measured:
    settings, listed = settings_and_members(members, zones, run, parents)
    decider = Decider(settings, listed, run.seed)
    blocks, first = [], 1
    for _ in range(1 if run.tiny else BLOCKS):
        count, mean = decider.block(first, 20 if run.tiny else BLOCK_DECISIONS)
        first += count
        blocks.append(mean)
    router = decider.router
    if len(router.endpoints.by_id) != members or router.requests or len(router.valuation.counts) > first - 1:
        raise MeasurementError(
            f"{len(router.endpoints.by_id)} of {members} members, {len(router.requests)} requests open"
        )
    if sum(peer.in_flight for peer in router.endpoints.by_id.values()):
        raise MeasurementError("attempts are in flight though all were answered")
    caches = len(router.endpoints.caches)
    del decider, router
    gc.collect()
    tracemalloc.start()
    traced = Decider(settings, listed, run.seed)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del traced
    return {
        "decision_us": statistics.median(blocks),
        "memory_kb": size / 1e3,
        "caches": float(caches),
        "parents": float(fleet.default_parent_count(members) if parents is None else parents),
    }


QUANTITIES = (
    Quantity("decision_us", "us"),
    Quantity("memory_kb", "KB"),
    Quantity("caches", "", fitted=False),
    Quantity("parents", "", fitted=False),
)


@measurement(
    name="decisions.members", role="decision", x="members", sizes=(150, 500, 1500, 5000), tiny=(4, 8, 16, 32),
    title="Processor time of a decision and memory of the module (the list's own lines aside), by members in "
    "51 zones of 17 regions; caches: those of the own zone", quantities=QUANTITIES, minutes=2.0,
)  # fmt: skip
def members(size: float, run: Run) -> Measured:
    return _measure(int(size), fleet.ZONES, run)


@measurement(
    name="decisions.zones", role="decision", x="zones", sizes=(3, 12, 24, 51), tiny=(3, 6, 9, 12),
    title="The same with 1,500 members by the number of zones they are spread over, three to a region",
    quantities=QUANTITIES, minutes=2.0,
)  # fmt: skip
def zones(size: float, run: Run) -> Measured:
    return _measure(32 if run.tiny else 1_500, int(size), run)


@measurement(
    name="decisions.parents", role="decision", x="parents", sizes=(4, 17, 51, 150, 500), tiny=(1, 2, 4, 8),
    title="The same by the number of parents, among 1,500 members in 51 zones of 17 regions",
    quantities=QUANTITIES[:3], minutes=2.0,
)  # fmt: skip
def parents(size: float, run: Run) -> Measured:
    measured = _measure(32 if run.tiny else 1_500, fleet.ZONES, run, int(size))
    del measured["parents"]
    return measured


@measurement(
    name="decisions.objects", role="decision", x="objects", sizes=(1_000, 10_000, 100_000, 400_000),
    tiny=(10, 20, 40, 80), minutes=2.0,
    title="A decision among 150 members after so many objects were asked for inside 10 s: the table of "
    f"counts is bounded at {COUNTS_MAX:,} and aged at once over that, so memory and counted level off; "
    "memory: the most while they were counted",
    quantities=(Quantity("decision_us", "us"), Quantity("count_us", "us"),
                Quantity("memory_kb", "KB", fitted=False), Quantity("counted", "", fitted=False)),
)  # fmt: skip
def objects(size: float, run: Run) -> Measured:
    settings, listed = settings_and_members(8 if run.tiny else 150, fleet.ZONES, run)
    idents = [run.random.getrandbits(64) for _ in range(int(size))]
    peaks_kb: list[float] = []
    for trace in (True, False):
        decider = Decider(settings, listed, run.seed)
        gc.collect()
        if trace:
            tracemalloc.start()
        began = time.process_time()
        for n, ident in enumerate(idents):
            # All within one ageing period of 10 s, so that only the bound itself removes any.
            decider.router.handle(NOW + n * 8 * fleet.SECOND // len(idents), [ServedLocally(ident)])
        spent = time.process_time() - began
        if trace:
            peaks_kb.append(tracemalloc.get_traced_memory()[1] / 1e3)
            tracemalloc.stop()
    counted = len(decider.router.valuation.counts)
    if counted > COUNTS_MAX + 1 or (size <= COUNTS_MAX and counted != int(size)):
        raise MeasurementError(f"{counted} of {int(size)} objects are counted")
    decider.now = NOW + 8 * fleet.SECOND
    blocks, first = [], 1 << 65  # above all drawn numbers
    for _ in range(1 if run.tiny else BLOCKS):
        count, mean = decider.block(first, 20 if run.tiny else 150)
        first += count
        blocks.append(mean)
    gains = decider.router.valuation.recent_gains
    if len(gains.recent) > RECENT_VALUES_MAX or len(gains.ordered) != len(gains.recent):
        raise MeasurementError(f"{len(gains.recent)} gains are stored")
    return {
        "decision_us": statistics.median(blocks),
        "count_us": spent / len(idents) * 1e6,
        "memory_kb": peaks_kb[0],
        "counted": float(counted),
    }
