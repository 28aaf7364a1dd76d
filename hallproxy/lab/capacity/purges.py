"""Cost of purges at a gateway: of storing them, of processing them, and of both with own copies stored."""

import gc
import json
import statistics
import time
import tracemalloc

from hallproxy.lab.capacity import fleet
from hallproxy.lab.capacity.lists import NOW, Gateway
from hallproxy.lab.capacity.registry import Measured, MeasurementError, Quantity, Run, measurement
from hallproxy.state.local_cache import CacheKey, LocalCacheEntry
from hallproxy.state.purges import MAX_PURGES, NEVER, PurgeTable
from hallproxy.state.units import MB

RATE = 180  # purges a second at the operators' size
ROUNDS = 3  # the figure is their median


@measurement(
    name="purges.held", role="purge", x="objects", sizes=(1_000, 4_000, 8_192, 20_000), tiny=(10, 20, 40, 80),
    title=f"The table of purges after so many objects were told, {RATE} a second: those over by the settings "
    f"are forgotten; bounded at {MAX_PURGES:,}, over that the oldest becomes a floor under every object; "
    "floor_age: how long before the last it is; memory: told at one time, so that none is over",
    quantities=(Quantity("memory_kb", "KB", fitted=False), Quantity("add_us", "us", fitted=False),
                Quantity("lookup_us", "us", fitted=False), Quantity("held", "", fitted=False),
                Quantity("floor_reached", "", fitted=False), Quantity("floor_age_s", "s", fitted=False)),
)  # fmt: skip
def held(size: float, run: Run) -> Measured:
    count = int(size)
    settings = fleet.settings()
    idents = [run.random.getrandbits(63) | 1 for _ in range(count)]
    times = [NOW + n * fleet.SECOND // RATE for n in range(count)]
    adds, lookups = [], []
    for _ in range(1 if run.tiny else ROUNDS):
        purges = PurgeTable()
        purges.configure(settings, 0)
        began = time.process_time()
        for ident, at in zip(idents, times, strict=True):
            purges.expire(at, at)
            purges.add(ident, 0, at, at, at)
        adds.append((time.process_time() - began) / count * 1e6)
        began = time.process_time()
        for ident in idents:
            purges.purged_at(ident, 0)
        lookups.append((time.process_time() - began) / count * 1e6)
    # The retention by the settings, computed without the table: done everywhere, a second, two fills.
    retention = settings.purge_duration + fleet.SECOND + 2 * max(cls.deadline for cls in settings.classes)
    unexpired = sum(at >= times[-1] - retention for at in times)
    floor = _check(purges, idents[-unexpired:], times[-unexpired:])
    gc.collect()
    tracemalloc.start()
    unexpiring = PurgeTable()
    unexpiring.configure(settings, 0)
    for ident, at in zip(idents, times, strict=True):
        unexpiring.expire(NOW, NOW)
        unexpiring.add(ident, 0, at, at, NOW)
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    _check(unexpiring, idents, times)
    return {
        "memory_kb": used / 1e3,
        "add_us": statistics.median(adds),
        "lookup_us": statistics.median(lookups),
        "held": float(len(purges.objects)),
        "floor_reached": float(floor > 0),
        "floor_age_s": (times[-1] - floor) / 1e9 if floor else None,
    }


def _check(purges: PurgeTable, idents: list[int], times: list[int]) -> int:
    """Check that a table has these unexpired purges and no others; returns its floor."""
    never_purged = 1 << 64
    count, floor, excess = len(idents), purges.watermark.purged_at, max(0, len(idents) - MAX_PURGES)
    if len(purges.objects) != min(count, MAX_PURGES) or purges.purged_at(never_purged, 0) != floor:
        raise MeasurementError(f"{len(purges.objects)} of {count} purges are held, floor {floor}")
    if floor != (times[excess - 1] if excess else NEVER.purged_at):
        raise MeasurementError(f"the floor is {floor} after {excess} purges over the table's limit")
    if any(purges.purged_at(ident, 0) < at for ident, at in zip(idents, times, strict=True)):
        raise MeasurementError("the table has lost a purge that has not expired")
    return floor


def _page(count: int, run: Run, seq: int) -> bytes:
    events = [fleet.purge(run.random.getrandbits(63) | 1, NOW // fleet.MS + n, n % 256) for n in range(count)]
    return json.dumps(fleet.page(events, seq)).encode()


def _event_us(gateway: Gateway, pages: int, count: int, run: Run) -> float:
    """The median over pages of a page's mean µs per event."""
    spent = []
    for _ in range(pages):
        raw = _page(count, run, gateway.last_seq + count)
        spent.append(gateway.process_page(raw) / count * 1e6)
    return statistics.median(spent)


@measurement(
    name="purges.events", role="purge", x="events", x_unit="a page", sizes=(1, 10, 100, 1_000),
    tiny=(1, 2, 5, 10),
    title="Processor time of decoding and reducing one purge, by how many come in one page of the change "
    "log; no own copies are held",
    quantities=(Quantity("event_us", "us", fitted=False), Quantity("page_us", "us"),
                Quantity("event_bytes", "bytes", fitted=False)),
)  # fmt: skip
def events(size: float, run: Run) -> Measured:
    count = int(size)
    gateway = Gateway(run.seed)
    pages = 2 if run.tiny else max(7, 2_000 // count)
    event = _event_us(gateway, pages, count, run)
    published = pages * count
    stored = len(gateway.state.purges.objects)
    if gateway.last_seq != published or stored != min(published, MAX_PURGES):
        raise MeasurementError(
            f"{stored} purges are held after {published}, sequence number {gateway.last_seq}"
        )
    return {
        "event_us": event,
        "page_us": event * count,
        "event_bytes": len(_page(count, run, count)) / count,
    }


@measurement(
    name="purges.copies", role="purge", x="copies", sizes=(100, 1_000, 4_000, 16_000), tiny=(10, 20, 40, 80),
    title="The same, ten to a page, by the own copies held: each purge looks at those of its object alone (a "
    f"limit of 256 MB lets a gateway hold 38 MB of own copies); core_percent: at {RATE} purges a second",
    quantities=(Quantity("event_us", "us"), Quantity("core_percent", "%")),
)  # fmt: skip
def copies(size: float, run: Run) -> Measured:
    count = int(size)
    gateway = Gateway(run.seed)
    state = gateway.state
    state.local_cache.resize(256 * MB * 3 // 20)
    for n in range(count):
        entry = LocalCacheEntry(b"%0512d" % n, "t", NOW, n % 256, 1 + n % 3)
        state.local_cache.put(CacheKey(0, n + 1 << 64, 0), entry)
    if sum(map(len, state.local_cache.ranks)) != count:
        raise MeasurementError(f"{sum(map(len, state.local_cache.ranks))} of {count} copies are held")
    pages = 2 if run.tiny else 9
    event = _event_us(gateway, pages, 10, run)
    removed = count - sum(map(len, state.local_cache.ranks))
    if removed or len(state.purges.objects) != pages * 10:
        raise MeasurementError(f"{removed} copies were removed by purges of other objects")
    last = fleet.page([fleet.purge(1 << 64, NOW // fleet.MS + 1)], gateway.last_seq + 1)
    gateway.process_page(json.dumps(last).encode())
    if sum(map(len, state.local_cache.ranks)) != count - 1:
        raise MeasurementError("a purge did not remove its object's copy")
    return {"event_us": event, "core_percent": event * RATE / 1e4}
