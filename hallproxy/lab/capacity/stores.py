"""What connections to stores cost a gateway, and how a cold store's budget holds over many gateways.

Gateways send nothing to a store that rests: there is no probe, no keep-alive, and no handshake but TCP's own.
What a connection costs is its opening, the memory it holds, and a timer now and then.
"""

import asyncio
import time
from dataclasses import replace
from typing import Any

from hallproxy.interface import Get, ListKind, Member, MembersChanged, Outcome, Request, State, Status
from hallproxy.lab.capacity import fleet, process
from hallproxy.lab.capacity.client import Client
from hallproxy.lab.capacity.decisions import NOW
from hallproxy.lab.capacity.registry import Measured, MeasurementError, Quantity, Run, measurement
from hallproxy.logic import Router
from hallproxy.run.main import RESERVE

CACHES = 64
IDLE_FOR = 4.0  # s
OPEN_AT_ONCE = 25  # requests on one client's connection; a gateway takes 32


def sockets_for(links: int) -> int:
    """The limit of sockets under which a gateway may have just so many connections to stores."""
    return next(s for s in range(links, 4 * links + 4 * RESERVE) if s - s * 2 // 5 - RESERVE == links)


@measurement(
    name="stores.connections", role="gateway", x="connections", sizes=(16, 64, 128, 256),
    tiny=(8, 12, 16, 24),
    title=f"Held connections to {CACHES} stores, as many as the limit of sockets allows: the gateway's "
    "resident memory and idle share of a core with all of them open; and what opening one, with the close of "
    "another for it, costs over using a kept one",
    quantities=(Quantity("memory_kb", "KB"), Quantity("idle_percent", "%"),
                Quantity("open_us", "us", fitted=False)),
    minutes=1.0,
)  # fmt: skip
def connections(size: float, run: Run) -> Measured:
    many, length = int(size), 1024
    rounds = 2 if run.tiny else max(4, 1_000 // many)

    async def ask(made: process.Gateway, counts: Any) -> tuple[float, float]:
        """What opening one costs (µs), and the idle share of a core (%)."""
        client = Client(made.port, length, -(-many // OPEN_AT_ONCE))
        await client.open()
        # Each pair of rounds asks for the same objects twice. The first time many go to stores that have no
        # idle connection, the second time next to none. The store answers when all are with it.
        spent, opened, first = [0.0, 0.0], [0, 0], 0
        for nth in range(rounds):
            rows = [run.random.getrandbits(63) for _ in range(many)]
            for again in (0, 1):
                before, accepted = made.processor_s(), counts.accepted
                await asyncio.gather(*(client.one(row, n) for n, row in enumerate(rows)))
                if nth:  # the first pair fills the program's own tables as well
                    spent[again] += made.processor_s() - before
                    opened[again] += counts.accepted - accepted
                first = first or counts.accepted
        await _settled(counts, many)
        before, began = made.processor_s(), time.perf_counter()
        await asyncio.sleep(0.2 if run.tiny else IDLE_FOR)
        idle = (made.processor_s() - before) / (time.perf_counter() - began)
        await _settled(counts, many)
        client.counted.check(2 * rounds * many, length)
        client.close()
        if first != many or not opened[1] < opened[0]:
            raise MeasurementError(f"{first}, then {opened} connections were opened for {many} at once")
        return (spent[0] - spent[1]) / (opened[0] - opened[1]) * 1e6, idle * 100

    def page(address: str) -> fleet.Json:
        return fleet.page([fleet.whole(process.few(address, CACHES))])

    with process.standins(page, length, many, dated=False) as (standins, told):
        settings, limit = process.one_zone(), sockets_for(many)
        with process.gateway(run.where, told, standins.log, settings, limit) as made:
            opening, idle = asyncio.run(ask(made, standins.counts))
            resident = made.memory_kb()
    return {"memory_kb": resident, "idle_percent": idle, "open_us": opening}


async def _settled(counts: Any, many: int) -> None:
    """Wait until just so many are open. Raises MeasurementError where that doesn't come about."""
    for _ in range(200):
        if counts.connections == many:
            return
        await asyncio.sleep(0.01)
    raise MeasurementError(f"{counts.connections} connections are open where {many} were to be")


COLD_FOR, WINDOW = 15, 10  # s; ticks of 100 ms, as a fall budget counts over 1 s
WORK = 0.0435  # s of sending of each request: 400 KB at 9,200 KB/s
SENT_KB = WORK * 9_200


@measurement(
    name="stores.cold", role="gateway", x="gateways", sizes=(30, 100, 300, 1000), tiny=(4, 8, 16, 32),
    title="First attempts of all a zone's gateways together at one cold cache, in its worst window of 1 s: N "
    "by the settings, N + 2 x root of N + 2 allowed (worst_over: what was sent over that); the same requests "
    "in all, drawn to gateways by chance (a count: exact for a seed)",
    quantities=(Quantity("worst_over", "requests", fitted=False), Quantity("sent", "requests", fitted=False),
                Quantity("share_of_budget", "", fitted=False), Quantity("windows_over", "", fitted=False)),
    minutes=1.0,
)  # fmt: skip
def cold(size: float, run: Run) -> Measured:
    gateways, a_tick, ticks = int(size), 10 if run.tiny else 100, 20 if run.tiny else COLD_FOR * 10
    settings = replace(fleet.settings(zones=1, gateways=gateways), zone_routers=(gateways,))
    store = Member(b"cold", State.READY, 0, 0, 0, 2.0, NOW)
    # One warm cache as large: the hash alone would give the cold one half of all, far more than its budget.
    others = (Member(b"warm", State.READY, 0, 0, 0, 2.0), Member(b"parent", State.READY, 1, 0, 0, 60.0),
              Member(b"origin", State.READY, 2, 0, 0, 60.0))  # fmt: skip
    routers = [Router(replace(settings, me=n), run.seed + n) for n in range(gateways)]
    for router in routers:
        router.handle(NOW, [MembersChanged(ListKind.FULL, (store, *others), 1)])
    sent: list[int] = [0] * ticks
    answered = 0
    for tick in range(ticks):
        now = NOW + tick * 100 * fleet.MS
        for n in range(a_tick):
            ident = 1 + tick * a_tick + n
            router = routers[run.random.randrange(gateways)]
            said = router.handle(now, [Request(ident, 0, 3 * fleet.SECOND, ident, size_kb=SENT_KB)])
            got = next((action for action in said if isinstance(action, Get)), None)
            if got is None:
                continue
            answered += 1
            sent[tick] += got.server == store.server
            router.handle(now, [Outcome(ident, 0, got.server, Status.OK, 50 * fleet.MS, True)])
    if answered != ticks * a_tick:
        raise MeasurementError(f"{answered} of {ticks * a_tick} requests got an attempt")
    if not sum(sent):
        raise MeasurementError("nothing was sent to the cold store: its budget is not tried")
    overs, budgets = [], 0.0
    for start in range(ticks):
        share = settings.cold_share + (1 - settings.cold_share) * start / (COLD_FOR * 10)
        budget = settings.fall_multiple * share * store.weight / WORK
        budgets += budget / WINDOW
        overs.append(sum(sent[start : start + WINDOW]) - (budget + 2 * budget**0.5 + 2))
    return {
        "worst_over": max(overs),
        "sent": float(sum(sent)),
        "share_of_budget": sum(sent) / budgets,
        "windows_over": float(sum(over > 0 for over in overs)),
    }
