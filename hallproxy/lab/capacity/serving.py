"""Cost of a request at a real gateway that requests it from a store and forwards its bytes.

The list has four caches, a parent and the origin; `decisions.members` measures the cost of longer lists. Each
object is requested once, so none is answered from an own copy. KB are of 1,024 bytes.
"""

import asyncio

from hallproxy.lab.capacity import fleet, process
from hallproxy.lab.capacity.client import Client
from hallproxy.lab.capacity.registry import Measured, MeasurementError, Quantity, Run, measurement

KB = 1024
WARM_UP = 200  # requests before the measured ones: they fill connections, tables and the interpreter's caches
AT_ONCE = 8


def _page(address: str) -> fleet.Json:
    return fleet.page([fleet.full_list(process.small_list(address))])


@measurement(
    name="serving.body", role="gateway", x="body", x_unit="KB", sizes=(1, 10, 50, 100, 200, 234),
    tiny=(1, 10, 100, 234), minutes=2.0,
    title=f"Processor time (user and system) of a request that a store answers, {AT_ONCE} out at a time on "
    "four connections, six members in the list; an object is 234 KB at most",
    quantities=(Quantity("core_us", "us"),),
)  # fmt: skip
def body(size: float, run: Run) -> Measured:
    length = int(size * KB)
    count = 40 if run.tiny else 4_000 if size <= 50 else 2_000
    warm_up = 10 if run.tiny else WARM_UP
    rows = [run.random.getrandbits(63) for _ in range(warm_up + count)]

    async def measure(port: int, pid: int) -> float:
        client = Client(port, length)
        await client.open()
        await client.closed_loop(rows[:warm_up], AT_ONCE)
        before = process.processor_s(pid)
        await client.closed_loop(rows[warm_up:], AT_ONCE)
        spent = process.processor_s(pid) - before
        client.close()
        client.counts.check(len(rows), length)
        return spent

    with process.standins(_page, length) as (standins, page):
        with process.gateway(run.scratch_dir, page, standins.log, process.one_zone_settings()) as gateway:
            spent = asyncio.run(measure(gateway.port, gateway.pid))
        if standins.counts.asked != len(rows):
            raise MeasurementError(f"the store received {standins.counts.asked} of {len(rows)} requests")
    return {"core_us": spent / count * 1e6}


@measurement(
    name="serving.rate", role="gateway", x="rate", x_unit="requests/s", sizes=(200, 400, 800, 1127),
    tiny=(20, 40, 60, 80), minutes=2.0,
    title="Share of a core at requests of 1 KB that come at a steady rate, six members in the list",
    quantities=(Quantity("core_percent", "%"), Quantity("core_us", "us", fitted=False)),
)  # fmt: skip
def rate(size: float, run: Run) -> Measured:
    count = int(size * (0.3 if run.tiny else 6))
    warm_up = 10 if run.tiny else WARM_UP
    rows = [run.random.getrandbits(63) for _ in range(warm_up + count)]

    async def measure(port: int, pid: int) -> tuple[float, float]:
        client = Client(port, KB)
        await client.open()
        await client.closed_loop(rows[:warm_up], 2)
        before = process.processor_s(pid)
        took = await client.open_loop(rows[warm_up:], size)
        spent = process.processor_s(pid) - before
        client.close()
        client.counts.check(len(rows), KB)
        return spent, took

    with process.standins(_page, KB) as (standins, page):
        with process.gateway(run.scratch_dir, page, standins.log, process.one_zone_settings()) as gateway:
            spent, took = asyncio.run(measure(gateway.port, gateway.pid))
        if standins.counts.asked != len(rows):
            raise MeasurementError(f"the store received {standins.counts.asked} of {len(rows)} requests")
    # A share of the time that the rate allows, so that a client that falls behind does not lower it.
    if not run.tiny and took > 1.25 * count / size:
        raise MeasurementError(
            f"{count} requests at {size:g}/s took {took:.1f} s: the client fell behind the rate"
        )
    return {"core_percent": spent / (count / size) * 100, "core_us": spent / count * 1e6}
