"""Rows of a store: the connections and requests of all gateways to it, also when it is cold."""

from hallproxy.decisions import slow_start
from hallproxy.lab.capacity import program
from hallproxy.lab.capacity.rows import Computed, Figure, Need, Row, Slope, constant, num
from hallproxy.lab.capacity.size import SIZE, Size
from hallproxy.run import limits


def _idle_cores(size: Size, share: Slope) -> Computed:
    held = program.BOUNDS.connections
    return Computed(share.cores(held), f"{num(held)} connections")


def _opening_cores(size: Size, opened: Slope) -> Computed:
    us = opened.at(opened.fit.largest if opened.fit else 0)
    text = f"{num(size.gateway_rate)} requests/s × {num(us)} µs, at the most connections measured"
    return Computed(size.gateway_rate * us / 1e6, text)


def _connection_memory(size: Size, memory: Slope) -> Computed:
    held, kb = program.BOUNDS.connections, memory.per_unit
    return Computed(held * kb / 1e3, f"{num(held)} connections × {num(kb)} KB")


def _cold(size: Size, excess: Slope) -> Computed:
    return Computed(
        excess.at(size.zone_gateways), f"{num(size.zone_gateways)} gateways of its zone ask at once"
    )


def _cold_parent(size: Size, excess: Slope) -> Computed:
    return Computed(
        excess.at(size.gateways), f"all {num(size.gateways)} gateways ask at once, more than any hub has"
    )


COLD_CALLS = 100.0
"""Calls a window that a cold store takes, as an example: the settings define it."""

STORE = (
    Row(
        "store",
        "state",
        "connections that all gateways hold to one, one each",
        Figure(
            "",
            constant(
                SIZE.gateways,
                f"{num(SIZE.gateways)} gateways × 1; a gateway's asks it "
                f"{num(SIZE.gateway_rate / SIZE.stores)} times a second, and idle ones are kept "
                f"{num(program.BOUNDS.idle_timeout / program.SECOND)} s",
            ),
        ),
        program.CONNECTION_POOL,
    ),
    Row(
        "store",
        "state",
        "the same, were only its own zone's gateways to ask it",
        Figure("", constant(SIZE.zone_gateways, f"{num(SIZE.gateways)} ÷ {num(SIZE.zones)} zones")),
        program.CONNECTION_POOL,
    ),
    Row(
        "store",
        "state",
        "a parent's, asked by its region's gateways",
        Figure("", constant(SIZE.region_gateways, f"{num(SIZE.gateways)} ÷ {num(SIZE.regions)} regions")),
        program.CONNECTION_POOL,
    ),
    Row(
        "store",
        "state",
        "connections of a gateway, one to each store",
        Figure(
            "",
            constant(
                SIZE.stores,
                f"{num(SIZE.stores)} stores; {num(program.SOCKETS)} sockets less "
                f"{num(program.BOUNDS.downstreams)} for clients and {num(limits.RESERVED_DESCRIPTORS)}",
            ),
            allowed=program.BOUNDS.connections,
        ),
        program.LIMITS,
    ),
    Row(
        "store",
        "processor",
        "a gateway with all the connections it may hold, idle",
        Figure("cores", _idle_cores, (Need("stores.connections", "core_us"),)),
        program.CONNECTION_POOL,
    ),
    Row(
        "store",
        "processor",
        "opening a connection and closing another for it, as each request may where they are too few",
        Figure("cores", _opening_cores, (Need("stores.connections", "open_us"),), 1.0),
        program.CONNECTION_POOL,
    ),
    Row(
        "store",
        "memory",
        "a gateway's connections, as many as it may hold",
        Figure("MB", _connection_memory, (Need("stores.connections", "memory_kb"),)),
        program.CONNECTION_POOL,
    ),
    Row(
        "store",
        "messages",
        "requests a second at one, own copies left out",
        Figure("/s", constant(SIZE.requests / SIZE.stores, f"{num(SIZE.requests)}/s ÷ {num(SIZE.stores)}")),
        program.MODULE,
    ),
    Row(
        "store",
        "messages",
        "bytes a second out of one",
        Figure(
            "MB/s",
            constant(SIZE.bits / 8 / SIZE.stores / 1e6, f"{num(SIZE.bits)} bit/s ÷ 8 ÷ {num(SIZE.stores)}"),
        ),
        program.MODULE,
    ),
    Row(
        "store",
        "state",
        "objects on one, each kept once",
        Figure("", constant(SIZE.objects / SIZE.stores, f"{num(SIZE.objects)} ÷ {num(SIZE.stores)}")),
        program.MODULE,
    ),
    Row(
        "store",
        "messages",
        "a cold cache that bears 100 calls a window: calls a window of each gateway of its zone",
        Figure(
            "",
            constant(
                slow_start.BUDGET_SHARE * COLD_CALLS / SIZE.zone_gateways,
                f"{num(slow_start.BUDGET_SHARE)} × {num(COLD_CALLS)} ÷ {num(SIZE.zone_gateways)} gateways",
            ),
        ),
        program.MODULE,
    ),
    Row(
        "store",
        "messages",
        "a cold parent that bears 100 calls a window: calls a window of each gateway",
        Figure(
            "",
            constant(
                slow_start.BUDGET_SHARE * COLD_CALLS / SIZE.gateways,
                f"{num(slow_start.BUDGET_SHARE)} × {num(COLD_CALLS)} ÷ {num(SIZE.gateways)} gateways, its "
                "own hub's aside",
            ),
        ),
        program.MODULE,
    ),
    Row(
        "store",
        "messages",
        "a cold cache's calls in a window after a quiet time, over the N it bears, in parts of 2√N + 2",
        Figure("", _cold, (Need("stores.cold", "over"),), 1.0),
        program.MODULE,
    ),
    Row(
        "store",
        "messages",
        "the same of a cold parent, by all gateways of its hub",
        Figure("", _cold_parent, (Need("stores.cold", "over_parent"),), 1.0),
        program.MODULE,
    ),
    Row(
        "store",
        "messages",
        "purges a second that it hears of",
        Figure(
            "/s", constant(SIZE.purges, "from its own log; a gateway tells it an age limit with each request")
        ),
        program.PURGES,
    ),
)
