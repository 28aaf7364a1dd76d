"""Cost of a list of members at a gateway, and of one change of it.

Events take the same path as in a gateway: `decode_page`, `decode_events`, `reduce`. Two members in nine are
parents (`fleet.CACHES_A_PARENT`), except in `lists.parents`, which sets their number.
"""

import json
import statistics
import time
import tracemalloc

from hallproxy.decisions import Router
from hallproxy.lab.capacity import fleet
from hallproxy.lab.capacity.registry import Measured, MeasurementError, Quantity, Run, measurement
from hallproxy.state.model import GatewayState
from hallproxy.state.reducer import reduce
from hallproxy.wire.changelog import decode_events, decode_page

NOW = 1_700_000_000 * fleet.SECOND
MAX_CHANGES, MAX_CHANGES_TIME = 25, 3.0  # changes at one size; processor time (s) after which they end


class Gateway:
    """The state of one gateway and the sequence number of the last event that it processed."""

    def __init__(self, seed: int, zones: int = fleet.ZONES) -> None:
        settings = fleet.settings(zones)
        self.state = GatewayState(settings, Router(settings, seed))
        self.last_seq = 0
        self.now = NOW

    def process_page(self, raw: bytes) -> float:
        """Process one page in its wire form; returns the processor time (s)."""
        self.now += fleet.MS
        began = time.process_time()
        for seq, event in decode_events(decode_page(raw), self.last_seq, self.state.settings, self.now):
            if event is not None:
                reduce(self.state, event)
            self.last_seq = seq
        return time.process_time() - began

    def ready(self) -> int:
        """How many members are READY in the decision module's view."""
        return sum(peer.endpoint.state.name == "READY" for peer in self.state.router.endpoints.by_id.values())


def _measure(members: int, parents: int, run: Run) -> Measured:
    listed = fleet.endpoint_lines(members, run.random, parents=parents)
    raw = json.dumps(fleet.page([fleet.full_list(listed)])).encode()
    list_times = []
    for _ in range(1 if run.tiny else 3):
        gateway = Gateway(run.seed)
        list_times.append(gateway.process_page(raw))
    if len(gateway.state.endpoints.by_id) != members or gateway.ready() != members:
        raise MeasurementError(f"{gateway.ready()} of {members} members are in the list and ready")
    tiers = gateway.state.router.endpoints.source_tiers
    if sum(map(len, tiers)) > parents + 1 or len(tiers[-1]) != 1:
        raise MeasurementError(f"{sum(map(len, tiers))} sources of {parents} parents and an origin")
    fill_share = sum(peer.fill_share for tier in tiers[:-1] for peer in tier)
    hub_gateways = sum(gateway.state.settings.gateways_by_zone[: fleet.ZONES_PER_HUB])
    if not 0 < fill_share <= hub_gateways * (1 + 1e-6):
        raise MeasurementError(
            f"parents have a fill share of {fill_share} for the region's {hub_gateways} gateways"
        )
    caches = [line for line in listed if line["machineType"] == "std"]
    changes: list[float] = []
    for n, line in enumerate(caches[:-1][: 3 if run.tiny else MAX_CHANGES]):
        drain = json.dumps(
            fleet.page([fleet.list_change(line, 2 + n, lifecycle="Terminating")], gateway.last_seq + 1)
        )
        changes.append(gateway.process_page(drain.encode()))
        if sum(changes) > MAX_CHANGES_TIME and n >= 4:
            break
    if gateway.ready() != members - len(changes) or gateway.last_seq != 1 + len(changes):
        raise MeasurementError(
            f"{gateway.ready()} members are ready after {len(changes)} of {members} drained"
        )
    del gateway
    tracemalloc.start()
    traced = Gateway(run.seed)
    traced.process_page(raw)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return {
        "change_ms": statistics.median(changes) * 1e3 if changes else None,
        "full_ms": statistics.median(list_times) * 1e3,
        "memory_mb": size / 1e6,
        "list_kb": len(raw) / 1e3,
        "parents": float(parents),
    }


QUANTITIES = (
    Quantity("change_ms", "ms"),
    Quantity("full_ms", "ms"),
    Quantity("memory_mb", "MB"),
    Quantity("list_kb", "KB"),
    Quantity("parents", "", fitted=False),
)


@measurement(
    name="lists.members", role="list", x="members", sizes=(150, 500, 1500, 5000), tiny=(4, 8, 16, 32),
    title="Processor time of one change (a cache drains) and of a whole list, of which two in nine are "
    "parents, in 51 zones of 17 regions", quantities=QUANTITIES, minutes=3.0,
)  # fmt: skip
def members(size: float, run: Run) -> Measured:
    return _measure(int(size), fleet.default_parent_count(int(size)), run)


@measurement(
    name="lists.parents", role="list", x="parents", sizes=(4, 17, 51, 150, 500), tiny=(1, 2, 4, 8),
    title="The same by the number of parents, among 1,500 members in 51 zones of 17 regions",
    quantities=QUANTITIES[:-1], minutes=3.0,
)  # fmt: skip
def parents(size: float, run: Run) -> Measured:
    measured = _measure(32 if run.tiny else 1_500, int(size), run)
    del measured["parents"]
    return measured
