"""Cost of connections to stores at a gateway; for the budget of a cold store over many gateways see `cold`.

Gateways send nothing to an idle store: there is no probe, no keep-alive, and no handshake but TCP's own.
The cost of a connection is its opening, its memory and occasional timers.
"""

import asyncio
import time
from typing import Any

from hallproxy.lab.capacity import fleet, process
from hallproxy.lab.capacity.client import Client
from hallproxy.lab.capacity.registry import Measured, MeasurementError, Quantity, Run, measurement
from hallproxy.run.limits import RESERVED_DESCRIPTORS

CACHES = 64
IDLE_TIME = 4.0  # s
TTL_MS = 4_000  # the longest that a client waits
OPEN_PER_CONNECTION = 25  # requests on one client's connection; a gateway accepts 32


def sockets_for(links: int) -> int:
    """The limit of sockets with which a gateway may have exactly `links` connections to stores."""
    upper = 4 * links + 4 * RESERVED_DESCRIPTORS
    return next(s for s in range(links, upper) if s - s * 2 // 5 - RESERVED_DESCRIPTORS == links)


@measurement(
    name="stores.connections", role="gateway", x="connections", sizes=(16, 64, 128, 256),
    tiny=(8, 12, 16, 24),
    title=f"Held connections to {CACHES} stores, as many as the limit of sockets allows: the gateway's "
    "resident memory and processor time a second with all of them open and idle; and what opening one, with "
    "the close of another for it, costs over using a kept one",
    quantities=(Quantity("memory_kb", "KB"), Quantity("core_us", "us/s"),
                Quantity("open_us", "us", fitted=False)),
    minutes=1.0,
)  # fmt: skip
def connections(size: float, run: Run) -> Measured:
    count, length = int(size), 1024
    # The same number of requests at every size, since the module's counts of objects take memory too.
    rounds = 2 if run.tiny else 3_072 // count

    async def measure(gateway: process.Gateway, counts: Any) -> tuple[float, float]:
        """The cost of opening one (µs), and processor time per second while all are idle (µs)."""
        client = Client(gateway.port, length, -(-count // OPEN_PER_CONNECTION), TTL_MS)
        await client.open()
        # Each pair of rounds requests the same objects twice. The first time many requests go to stores that
        # have no idle connection, the second time almost none. A store answers once all have arrived.
        spent, opened, initially_opened = [0.0, 0.0], [0, 0], 0
        for pair in range(rounds):
            rows = [run.random.getrandbits(63) for _ in range(count)]
            for again in (0, 1):
                before, accepted = gateway.processor_s(), counts.accepted
                await asyncio.gather(*(client.request(row, n) for n, row in enumerate(rows)))
                if pair:  # the first pair also fills the program's own tables
                    spent[again] += gateway.processor_s() - before
                    opened[again] += counts.accepted - accepted
                initially_opened = initially_opened or counts.accepted
        await _settled(counts, count)
        if not run.tiny:
            # Timers of answered requests remain until the requests' time would have expired.
            await asyncio.sleep(TTL_MS / 1e3 + 0.2)
        before, began = gateway.processor_s(), time.perf_counter()
        await asyncio.sleep(0.2 if run.tiny else IDLE_TIME)
        idle = (gateway.processor_s() - before) / (time.perf_counter() - began)
        await _settled(counts, count)
        client.counts.check(2 * rounds * count, length)
        client.close()
        if initially_opened != count or not opened[1] < opened[0]:
            raise MeasurementError(
                f"{initially_opened}, then {opened} connections were opened for {count} at once"
            )
        return (spent[0] - spent[1]) / (opened[0] - opened[1]) * 1e6, idle * 1e6

    def page(address: str) -> fleet.Json:
        return fleet.page([fleet.full_list(process.small_list(address, CACHES))])

    with process.standins(page, length, count, dated=False) as (standins, known):
        settings, limit = process.one_zone_settings(), sockets_for(count)
        with process.gateway(run.scratch_dir, known, standins.log, settings, limit) as gateway:
            open_us, idle_us = asyncio.run(measure(gateway, standins.counts))
            resident = gateway.memory_kb()
    return {"memory_kb": resident, "core_us": idle_us, "open_us": open_us}


async def _settled(counts: Any, count: int) -> None:
    """Wait until exactly `count` connections are open. Raises MeasurementError after 2 s."""
    for _ in range(200):
        if counts.connections == count:
            return
        await asyncio.sleep(0.01)
    raise MeasurementError(f"{counts.connections} connections are open instead of {count} after 2 s")
