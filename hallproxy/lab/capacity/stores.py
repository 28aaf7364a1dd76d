"""What connections to stores cost a gateway; `cold` has how a cold store's budget holds over many of them.

Gateways send nothing to a store that rests: there is no probe, no keep-alive, and no handshake but TCP's own.
What a connection costs is its opening, the memory it holds, and a timer now and then.
"""

import asyncio
import time
from typing import Any

from hallproxy.lab.capacity import fleet, process
from hallproxy.lab.capacity.client import Client
from hallproxy.lab.capacity.registry import Measured, MeasurementError, Quantity, Run, measurement
from hallproxy.run.limits import RESERVED_DESCRIPTORS

CACHES = 64
IDLE_FOR = 4.0  # s
TTL_MS = 4_000  # what a client waits at most
OPEN_AT_ONCE = 25  # requests on one client's connection; a gateway takes 32


def sockets_for(links: int) -> int:
    """The limit of sockets under which a gateway may have just so many connections to stores."""
    most = 4 * links + 4 * RESERVED_DESCRIPTORS
    return next(s for s in range(links, most) if s - s * 2 // 5 - RESERVED_DESCRIPTORS == links)


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
    many, length = int(size), 1024
    # As many requests at every size: the module's counts of objects are in the memory too.
    rounds = 2 if run.tiny else 3_072 // many

    async def ask(made: process.Gateway, counts: Any) -> tuple[float, float]:
        """What opening one costs (µs), and processor time of a second in which all idle (µs)."""
        client = Client(made.port, length, -(-many // OPEN_AT_ONCE), TTL_MS)
        await client.open()
        # Each pair of rounds asks for the same objects twice. The first time many go to stores that have no
        # idle connection, the second time next to none. The store answers when all are with it.
        spent, opened, first = [0.0, 0.0], [0, 0], 0
        for nth in range(rounds):
            rows = [run.random.getrandbits(63) for _ in range(many)]
            for again in (0, 1):
                before, accepted = made.processor_s(), counts.accepted
                await asyncio.gather(*(client.request(row, n) for n, row in enumerate(rows)))
                if nth:  # the first pair fills the program's own tables as well
                    spent[again] += made.processor_s() - before
                    opened[again] += counts.accepted - accepted
                first = first or counts.accepted
        await _settled(counts, many)
        if not run.tiny:
            # Timers of requests that were answered stand until those would have run out of time.
            await asyncio.sleep(TTL_MS / 1e3 + 0.2)
        before, began = made.processor_s(), time.perf_counter()
        await asyncio.sleep(0.2 if run.tiny else IDLE_FOR)
        idle = (made.processor_s() - before) / (time.perf_counter() - began)
        await _settled(counts, many)
        client.counts.check(2 * rounds * many, length)
        client.close()
        if first != many or not opened[1] < opened[0]:
            raise MeasurementError(f"{first}, then {opened} connections were opened for {many} at once")
        return (spent[0] - spent[1]) / (opened[0] - opened[1]) * 1e6, idle * 1e6

    def page(address: str) -> fleet.Json:
        return fleet.page([fleet.full_list(process.small_list(address, CACHES))])

    with process.standins(page, length, many, dated=False) as (standins, told):
        settings, limit = process.one_zone_settings(), sockets_for(many)
        with process.gateway(run.scratch_dir, told, standins.log, settings, limit) as made:
            opening, idle = asyncio.run(ask(made, standins.counts))
            resident = made.memory_kb()
    return {"memory_kb": resident, "core_us": idle, "open_us": opening}


async def _settled(counts: Any, many: int) -> None:
    """Wait until just so many are open. Raises MeasurementError where that doesn't come about."""
    for _ in range(200):
        if counts.connections == many:
            return
        await asyncio.sleep(0.01)
    raise MeasurementError(f"{counts.connections} connections are open where {many} were to be")
