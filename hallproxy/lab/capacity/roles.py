"""The rows of the page's first table: each role's state, messages, processor time and memory at the size.

Each row's arithmetic is its own text; figures of the program are taken from it, so that they change with it.
"""

from hallproxy import logic
from hallproxy.lab.capacity import program
from hallproxy.lab.capacity.rows import Figure, Mechanism, Need, Row, Slope, Work, Worked, num
from hallproxy.lab.capacity.size import SIZE, Size
from hallproxy.run import changelog, main
from hallproxy.state.purges import PURGES_MAX
from hallproxy.wire.frames import LONGEST

ROLES = {
    "serving": "The gateway's serving",
    "control": "The gateway's control",
    "machine": "Each control machine",
    "store": "A store and its connections",
    "decision": "The decision module",
    "start": "Start and restart",
    "second": "The second front",
}

parts = SIZE.asked * SIZE.body_kb / program.PART_KB
"""Parts a second at one gateway, were bodies told in the largest parts there are."""


def told(value: float, text: str) -> Work:
    """Arithmetic on the operators' numbers and the program's own bounds alone."""
    return lambda size, *slopes: Worked(value, text)


def _decisions(size: Size, decision: Slope) -> Worked:
    us = decision.at(size.stores)
    text = f"{num(parts)} parts/s × {num(us)} µs among {num(size.stores)} members"
    return Worked(parts * us / 1e6, text)


def _bodies(size: Size, body: Slope) -> Worked:
    us = body.at(program.PART_KB)
    return Worked(parts * us / 1e6, f"{num(parts)} parts/s × {num(us)} µs for {num(program.PART_KB)} KB")


def _core_bytes(size: Size, body: Slope) -> Worked:
    us = body.at(program.PART_KB)
    return Worked(program.PART_KB * 1e3 / us, f"{num(program.PART_KB)} KB ÷ {num(us)} µs of a core")


def _rate(size: Size, core: Slope) -> Worked:
    return Worked(core.cores(size.asked), f"measured by rate, at {num(size.asked)}/s")


def _serving(size: Size, decision: Slope, body: Slope) -> Worked:
    each = decision.at(size.stores), body.at(program.PART_KB)
    text = f"{num(parts)} parts/s × ({num(each[0])} + {num(each[1])}) µs, each a core's"
    return Worked(parts * sum(each) / 1e6, text)


def _fleet_cores(size: Size, decision: Slope, body: Slope) -> Worked:
    cores = _serving(size, decision, body).value
    return Worked(size.gateways * cores, f"{num(size.gateways)} gateways × {num(cores)} cores")


DECISION = Need("decisions.members", "decision_us")
BODY = Need("serving.body", "core_us")

SERVING = (
    Row(
        "serving",
        "requests a second",
        Figure("/s", told(SIZE.asked, f"{num(SIZE.requests)}/s ÷ {num(SIZE.gateways)} gateways")),
        program.ONE_LOOP,
    ),
    Row(
        "serving",
        "body of a request in one frame, mean",
        Figure(
            "KB",
            told(SIZE.body_kb, f"{num(SIZE.bits)} bit/s ÷ 8 ÷ {num(SIZE.requests)}/s"),
            allowed=LONGEST / 1e3,
        ),
        program.FRAMES,
    ),
    Row(
        "serving",
        "parts a second, if bodies come in the largest parts",
        Figure(
            "/s", told(parts, f"{num(SIZE.asked)}/s × {num(SIZE.body_kb)} KB ÷ {num(program.PART_KB)} KB")
        ),
        program.FRAMES,
    ),
    Row(
        "serving",
        "bytes a second to clients",
        Figure("MB/s", told(SIZE.sent_mb, f"{num(SIZE.bits)} bit/s ÷ 8 ÷ {num(SIZE.gateways)} gateways")),
        program.ONE_LOOP,
    ),
    Row(
        "serving",
        "bytes of bodies by one core",
        Figure("MB/s", _core_bytes, (BODY,), SIZE.sent_mb, True),
        program.ONE_LOOP,
    ),
    Row(
        "serving",
        "processor time of decisions",
        Figure("cores", _decisions, (DECISION,), 1.0),
        program.MODULE,
    ),
    Row("serving", "processor time of bodies", Figure("cores", _bodies, (BODY,), 1.0), program.ONE_LOOP),
    Row(
        "serving",
        "processor time of as many requests of 1 KB",
        Figure("cores", _rate, (Need("serving.rate", "core_percent"),), 1.0),
        program.ONE_LOOP,
    ),
    Row(
        "serving",
        "processor time of both",
        Figure("cores", _serving, (DECISION, BODY), 1.0),
        program.PROCESSES,
    ),
    Row(
        "serving",
        "cores of all gateways for that",
        Figure("cores", _fleet_cores, (DECISION, BODY)),
        program.PROCESSES,
    ),
    Row(
        "serving",
        "requests open at once, for each 0.1 s one is",
        Figure(
            "",
            told(parts * program.CALM, f"{num(parts)}/s × {num(program.CALM)} s"),
            allowed=program.BOUNDS.calls,
        ),
        program.LIMITS,
    ),
    Row(
        "serving",
        "bodies held at once, for each 0.1 s one is",
        Figure(
            "MB",
            told(
                SIZE.sent_mb * program.CALM,
                f"{num(SIZE.sent_mb)} MB/s × {num(program.CALM)} s; "
                f"allowed: a gateway's with {num(program.MEMORY_MB)} MB",
            ),
            allowed=program.BOUNDS.bodies / 1e6,
        ),
        program.LIMITS,
    ),
    Row(
        "serving",
        "own copies held, of mean size",
        Figure(
            "",
            told(
                program.BOUNDS.copies / 1e3 / SIZE.body_kb,
                f"{num(program.BOUNDS.copies / 1e6)} MB ÷ {num(SIZE.body_kb)} KB, of "
                f"{num(SIZE.objects)} objects",
            ),
        ),
        program.COPIES,
    ),
)


def _purges_single(size: Size, core: Slope) -> Worked:
    share = core.cores(size.purges)
    return Worked(share, f"measured at {num(size.purges)} purges/s, an event a page")


def _bytes_single(size: Size, flow: Slope) -> Worked:
    return Worked(
        flow.at(size.purges), f"measured at {num(size.purges)} purges/s, both ways, an event a page"
    )


EVENTS = SIZE.purges * program.GATHER
"""Events of a page that a relay cuts every `program.GATHER` s."""


def _purges_paged(size: Size, core: Slope) -> Worked:
    text = f"{num(size.purges)} purges/s in pages of {num(EVENTS)}, what {num(program.GATHER)} s gather"
    return Worked(core.cores(EVENTS), text)


def _bytes_paged(size: Size, flow: Slope) -> Worked:
    text = f"{num(size.purges)} purges/s in pages of {num(EVENTS)}, plain, both ways"
    return Worked(flow.at(EVENTS), text)


def _bytes_coded(size: Size, coded: Slope) -> Worked:
    page, pages = coded.at(EVENTS), 1 / program.GATHER
    text = f"{num(pages)} pages/s × ({num(page)} bytes in gzip + {num(program.POLL)} of a poll), no heads"
    return Worked(pages * (page + program.POLL), text)


def _list_changes(size: Size, change: Slope) -> Worked:
    ms = change.at(size.stores)
    text = (
        f"3 × ({num(size.failed_a_day)} + {num(size.restarted_a_day)}) changes a day, if all were stores, "
        f"÷ 86,400 s × {num(ms)} ms among {num(size.stores)} members"
    )
    return Worked(size.members_told * ms / 1e3, text)


def _zone_changes(size: Size, change: Slope) -> Worked:
    ms = change.at(size.stores)
    return Worked(size.zone_stores * ms, f"{num(size.zone_stores)} stores of a zone × {num(ms)} ms")


def _whole_list(size: Size, full: Slope) -> Worked:
    return Worked(full.at(size.stores), f"measured by members, at {num(size.stores)}")


def _control_core(size: Size, core: Slope, change: Slope) -> Worked:
    purges, lists = core.cores(EVENTS), _list_changes(size, change).value
    text = f"{num(100 * purges)}% for purges in pages + {num(100 * lists)}% for the list, no configuration"
    return Worked(purges + lists, text)


def _memory(size: Size, memory: Slope) -> Worked:
    return Worked(
        memory.at(size.stores), f"a real gateway's with {num(size.stores)} members, no requests open"
    )


CHANGE = Need("control.members", "core_ms")
PAGED = Need("control.page_events", "core_share")

CONTROL = (
    Row(
        "control",
        "purges, one event a page: processor time",
        Figure("cores", _purges_single, (Need("control.purge_rate", "core_share"),), SIZE.control_core),
        program.POLLER,
    ),
    Row(
        "control",
        "purges, one event a page: bytes a second",
        Figure("bytes/s", _bytes_single, (Need("control.purge_rate", "bytes_per_s"),), SIZE.control_bytes),
        program.POLLER,
    ),
    Row(
        "control",
        "of those, the polls alone",
        Figure(
            "bytes/s",
            told(SIZE.purges * program.POLL, f"{num(SIZE.purges)} polls/s × {num(program.POLL)} bytes"),
            allowed=SIZE.control_bytes,
        ),
        program.POLLER,
    ),
    Row(
        "control",
        "purges in pages: processor time",
        Figure("cores", _purges_paged, (PAGED,), SIZE.control_core),
        program.RELAY,
    ),
    Row(
        "control",
        "purges in pages: bytes a second, plain",
        Figure("bytes/s", _bytes_paged, (Need("control.page_events", "bytes_per_s"),), SIZE.control_bytes),
        program.RELAY,
    ),
    Row(
        "control",
        "purges in pages: bytes a second, gzip",
        Figure(
            "bytes/s", _bytes_coded, (Need("control.page_events", "page_bytes_gzip"),), SIZE.control_bytes
        ),
        program.RELAY,
    ),
    Row(
        "control",
        "time from a purge to the last gateway that holds it, through the tiers",
        Figure(
            "ms",
            lambda size, delay: Worked(delay.at(size.gateways), f"{num(size.gateways)} followers"),
            (Need("relay.tiers", "delay_p100_ms"),),
            1e3 * SIZE.purge_in,
        ),
        program.RELAY,
    ),
    Row(
        "control",
        "purges the module holds until each is done everywhere",
        Figure(
            "",
            told(SIZE.purges * (SIZE.purge_in + 1), f"{num(SIZE.purges)}/s × ({num(SIZE.purge_in)} + 1) s"),
            allowed=logic.PURGES_MAX,
        ),
        program.MODULE,
    ),
    Row(
        "control",
        "age at which an own copy falls under the floor of the full table",
        Figure(
            "s", told(PURGES_MAX / SIZE.purges, f"{num(PURGES_MAX)} objects ÷ {num(SIZE.purges)} purges/s")
        ),
        program.PURGES,
    ),
    Row(
        "control",
        "time for which a gateway without news still serves own copies",
        Figure("s", told(program.DEAF_IN, "the program's own bound"), allowed=SIZE.purge_in),
        program.DEAF,
    ),
    Row(
        "control",
        "changes of the list: processor time",
        Figure("cores", _list_changes, (CHANGE,), SIZE.control_core),
        program.MEMBERS,
    ),
    Row(
        "control",
        "changes of the list when a zone goes: the loop's time",
        Figure("ms", _zone_changes, (CHANGE,)),
        program.MEMBERS,
    ),
    Row(
        "control",
        "a whole list: the loop's time",
        Figure("ms", _whole_list, (Need("control.members", "core_ms_whole"),)),
        program.MEMBERS,
    ),
    Row(
        "control",
        "a whole list: the module's and tables' memory",
        Figure("MB", _whole_list, (Need("lists.members", "memory_mb"),), SIZE.control_mb),
        program.MEMBERS,
    ),
    Row(
        "control",
        "processor time of all that is carried",
        Figure("cores", _control_core, (PAGED, CHANGE), SIZE.control_core),
        program.RELAY,
    ),
    Row(
        "control",
        "memory of a gateway that only follows",
        Figure("MB", _memory, (Need("control.members", "memory_mb"),), SIZE.control_mb),
        program.LIMITS,
    ),
    Row(
        "control",
        "changes of configuration a second",
        Figure("/s", told(SIZE.changes, f"{num(SIZE.changes_a_day)} a day ÷ 86,400 s")),
        program.CONFIGURATION,
    ),
    Row(
        "control",
        "bytes that one change may have, if configuration has a tenth of what control may send",
        Figure(
            "KB",
            told(
                SIZE.control_bytes / 10 / SIZE.changes / 1e3,
                f"{num(SIZE.control_bytes)} bytes/s ÷ 10 ÷ {num(SIZE.changes)}/s",
            ),
        ),
        program.CONFIGURATION,
    ),
    Row(
        "control",
        "time from a change of configuration to its being in force everywhere",
        Figure(
            "s",
            lambda size, delay: Worked(delay.at(size.gateways), f"{num(size.gateways)} gateways"),
            (Need("configuration.gateways", "in_force_s"),),
            SIZE.change_in,
        ),
        program.CONFIGURATION,
    ),
    Row(
        "control",
        "bytes a second of reports to one place, were each gateway to send 1 KB every 10 s",
        Figure("KB/s", told(SIZE.gateways / 10, f"{num(SIZE.gateways)} gateways × 1 KB ÷ 10 s")),
        program.REPORTS,
    ),
)


FEWER = SIZE.gateways / (SIZE.control_machines - 1)


def _machine(quantity: str, text: str) -> Work:
    def work(size: Size, of: Slope) -> Worked:
        value = of.cores(size.followers) if quantity == "cores" else of.at(size.followers)
        return Worked(value, f"{num(size.followers)} followers, {num(size.purges)} purges/s, {text}")

    return work


def _one_fewer(size: Size, core: Slope) -> Worked:
    text = f"{num(size.gateways)} ÷ {num(size.control_machines - 1)} = {num(FEWER)} followers, in pages"
    return Worked(core.cores(FEWER), text)


def _out(size: Size, coded: Slope) -> Worked:
    page = coded.at(EVENTS)
    text = (
        f"{num(size.followers)} followers × {num(1 / program.GATHER)} pages/s × {num(page)} bytes in gzip × 8"
    )
    return Worked(size.followers / program.GATHER * page * 8 / 1e6, text)


MACHINE = (
    Row(
        "machine",
        "followers of each",
        Figure("", told(SIZE.followers, f"{num(SIZE.gateways)} ÷ {num(SIZE.control_machines)}")),
        program.RELAY,
    ),
    Row(
        "machine",
        "regions with a control machine of their own",
        Figure(
            "",
            told(
                SIZE.control_machines,
                f"{num(SIZE.control_machines)} machines, " f"{num(SIZE.regions)} regions",
            ),
            allowed=SIZE.regions,
            least=True,
        ),
        Mechanism("a control machine in each region, that goes on when the region is cut off"),
    ),
    Row(
        "machine",
        "polls a second, one event a page",
        Figure(
            "/s",
            told(SIZE.followers * SIZE.purges, f"{num(SIZE.followers)} followers × {num(SIZE.purges)}/s"),
        ),
        program.POLLER,
    ),
    Row(
        "machine",
        "a log that tells one by one: processor time",
        Figure("cores", _machine("cores", "an event a page"), (Need("logs.followers", "core_share"),), 1.0),
        program.POLLER,
    ),
    Row(
        "machine",
        "polls a second that a log which tells one by one answered; 95 in 100 of those needed",
        Figure(
            "/s",
            _machine("/s", "an event a page, if it keeps up"),
            (Need("logs.followers", "polls_per_s"),),
            0.95 * SIZE.followers * SIZE.purges,
            True,
        ),
        program.POLLER,
    ),
    Row(
        "machine",
        "a log that tells one by one: the longest from a purge to its last follower",
        Figure(
            "ms",
            _machine("ms", "an event a page, if it keeps up"),
            (Need("logs.followers", "delay_p100_ms"),),
            1e3 * SIZE.purge_in,
        ),
        program.POLLER,
    ),
    Row(
        "machine",
        "a log that tells one by one: memory",
        Figure("MB", _machine("MB", "an event a page"), (Need("logs.followers", "memory_mb"),)),
        program.POLLER,
    ),
    Row(
        "machine",
        "a log that tells in pages: processor time",
        Figure("cores", _machine("cores", "in pages"), (Need("logs.pages", "core_share"),), 1.0),
        program.RELAY,
    ),
    Row(
        "machine",
        "a log that tells in pages: the longest from a purge to its last follower",
        Figure("ms", _machine("ms", "in pages"), (Need("logs.pages", "delay_p100_ms"),), 1e3 * SIZE.purge_in),
        program.RELAY,
    ),
    Row(
        "machine",
        "a relay: processor time",
        Figure("cores", _machine("cores", "in pages"), (Need("relay.followers", "core_share"),), 1.0),
        program.RELAY,
    ),
    Row(
        "machine",
        "a relay: memory",
        Figure("MB", _machine("MB", "in pages"), (Need("relay.followers", "memory_mb"),)),
        program.RELAY,
    ),
    Row(
        "machine",
        "a relay: the longest from a purge to its last follower",
        Figure(
            "ms", _machine("ms", "in pages"), (Need("relay.followers", "delay_p100_ms"),), 1e3 * SIZE.purge_in
        ),
        program.RELAY,
    ),
    Row(
        "machine",
        "a relay while one of the nine is away: processor time",
        Figure("cores", _one_fewer, (Need("relay.followers", "core_share"),), 1.0),
        program.RELAY,
    ),
    Row(
        "machine",
        "sent by a relay",
        Figure("Mbit/s", _out, (Need("control.page_events", "page_bytes_gzip"),)),
        program.RELAY,
    ),
    Row(
        "machine",
        "confirmed numbers heard a second, in pages",
        Figure(
            "/s",
            told(
                SIZE.followers / program.GATHER, f"{num(SIZE.followers)} followers ÷ {num(program.GATHER)} s"
            ),
        ),
        program.RELAY,
    ),
    Row(
        "machine",
        "answers a second for changes of configuration",
        Figure("/s", told(SIZE.followers * SIZE.changes, f"{num(SIZE.followers)} × {num(SIZE.changes)}/s")),
        program.CONFIGURATION,
    ),
)


def _idle_core(size: Size, core: Slope) -> Worked:
    return Worked(core.at(size.stores), f"{num(size.stores)} connections, one to each store")


def _cold(size: Size, over: Slope) -> Worked:
    return Worked(over.at(size.zone_gateways), f"{num(size.zone_gateways)} gateways of its zone ask at once")


def _cold_parent(size: Size, over: Slope) -> Worked:
    return Worked(
        over.at(size.gateways), f"all {num(size.gateways)} gateways ask at once, more than any hub has"
    )


COLD_EXAMPLE = 100.0
"""Calls a window that a cold store bears, for the sake of an example: the settings tell it."""

STORE = (
    Row(
        "store",
        "connections that all gateways hold to one, one each",
        Figure(
            "",
            told(
                SIZE.gateways,
                f"{num(SIZE.gateways)} gateways × 1; a gateway's asks it "
                f"{num(SIZE.asked / SIZE.stores)} times a second, and idle ones are kept "
                f"{num(program.BOUNDS.idle / program.SECOND)} s",
            ),
        ),
        program.LINKED,
    ),
    Row(
        "store",
        "the same, were only its own zone's gateways to ask it",
        Figure("", told(SIZE.zone_gateways, f"{num(SIZE.gateways)} ÷ {num(SIZE.zones)} zones")),
        program.LINKED,
    ),
    Row(
        "store",
        "a parent's, asked by its region's gateways",
        Figure("", told(SIZE.region_gateways, f"{num(SIZE.gateways)} ÷ {num(SIZE.regions)} regions")),
        program.LINKED,
    ),
    Row(
        "store",
        "connections of a gateway, one to each store",
        Figure(
            "",
            told(
                SIZE.stores,
                f"{num(SIZE.stores)} stores; {num(program.SOCKETS)} sockets less "
                f"{num(program.BOUNDS.callers)} for clients and {num(main.RESERVE)}",
            ),
            allowed=program.BOUNDS.links,
        ),
        program.LIMITS,
    ),
    Row(
        "store",
        "a gateway's idle connections: processor time of each",
        Figure("µs", _idle_core, (Need("stores.connections", "core_us"),)),
        program.LINKED,
    ),
    Row(
        "store",
        "a gateway's idle connections: memory of each",
        Figure("KB", _idle_core, (Need("stores.connections", "memory_kb"),)),
        program.LINKED,
    ),
    Row(
        "store",
        "requests a second at one, own copies left out",
        Figure("/s", told(SIZE.requests / SIZE.stores, f"{num(SIZE.requests)}/s ÷ {num(SIZE.stores)}")),
        program.MODULE,
    ),
    Row(
        "store",
        "bytes a second out of one",
        Figure(
            "MB/s",
            told(SIZE.bits / 8 / SIZE.stores / 1e6, f"{num(SIZE.bits)} bit/s ÷ 8 ÷ {num(SIZE.stores)}"),
        ),
        program.MODULE,
    ),
    Row(
        "store",
        "objects on one, each kept once",
        Figure("", told(SIZE.objects / SIZE.stores, f"{num(SIZE.objects)} ÷ {num(SIZE.stores)}")),
        program.MODULE,
    ),
    Row(
        "store",
        "a cold cache that bears 100 calls a window: calls a window of each gateway of its zone",
        Figure(
            "",
            told(
                logic.COLD_CAUTION * COLD_EXAMPLE / SIZE.zone_gateways,
                f"{num(logic.COLD_CAUTION)} × {num(COLD_EXAMPLE)} ÷ {num(SIZE.zone_gateways)} gateways",
            ),
        ),
        program.MODULE,
    ),
    Row(
        "store",
        "a cold parent that bears 100 calls a window: calls a window of each gateway",
        Figure(
            "",
            told(
                logic.COLD_CAUTION * COLD_EXAMPLE / SIZE.gateways,
                f"{num(logic.COLD_CAUTION)} × {num(COLD_EXAMPLE)} ÷ {num(SIZE.gateways)} gateways, its "
                "own hub's aside",
            ),
        ),
        program.MODULE,
    ),
    Row(
        "store",
        "a cold cache's calls in a window over the N it bears, in parts of 2√N + 2",
        Figure("", _cold, (Need("stores.cold", "over"),), 1.0),
        program.MODULE,
    ),
    Row(
        "store",
        "a cold parent's, by all gateways of its hub",
        Figure("", _cold_parent, (Need("stores.cold", "over_parent"),), 1.0),
        program.MODULE,
    ),
    Row(
        "store",
        "purges a second that it hears of",
        Figure(
            "/s", told(SIZE.purges, "from its own log; a gateway tells it an age limit with each request")
        ),
        program.PURGES,
    ),
)


def _decision(size: Size, decision: Slope) -> Worked:
    return Worked(decision.at(size.stores), f"{num(size.stores)} members; allowed: 1 s ÷ {num(parts)} parts")


DECISIONS = (
    Row(
        "decision",
        "a decision, by members",
        Figure("µs", _decision, (DECISION,), 1e6 / parts),
        program.MODULE,
    ),
    Row(
        "decision",
        "a decision, by zones",
        Figure(
            "µs",
            lambda size, of: Worked(of.at(size.zones), f"{num(size.zones)} zones"),
            (Need("decisions.zones", "decision_us"),),
            1e6 / parts,
        ),
        program.MODULE,
    ),
    Row(
        "decision",
        "a decision, by objects counted",
        Figure(
            "µs",
            lambda size, of: Worked(of.at(logic.COUNTS_MAX), f"{num(logic.COUNTS_MAX)}, the most counted"),
            (Need("decisions.objects", "decision_us"),),
            1e6 / parts,
        ),
        program.MODULE,
    ),
    Row(
        "decision",
        "memory, by members",
        Figure(
            "KB",
            lambda size, of: Worked(of.at(size.stores), f"{num(size.stores)} members"),
            (Need("decisions.members", "memory_kb"),),
        ),
        program.MODULE,
    ),
    Row(
        "decision",
        "memory, by zones",
        Figure(
            "KB",
            lambda size, of: Worked(of.at(size.zones), f"{num(size.zones)} zones"),
            (Need("decisions.zones", "memory_kb"),),
        ),
        program.MODULE,
    ),
    Row(
        "decision",
        "memory, by objects counted",
        Figure(
            "KB",
            lambda size, of: Worked(of.at(logic.COUNTS_MAX), f"{num(logic.COUNTS_MAX)} objects"),
            (Need("decisions.objects", "memory_kb"),),
        ),
        program.MODULE,
    ),
    Row(
        "decision",
        "objects that a gateway hears of in 10 s, were each asked for once",
        Figure(
            "",
            told(
                SIZE.asked * logic.AGE_EVERY / program.SECOND,
                f"{num(SIZE.asked)}/s × {num(logic.AGE_EVERY / program.SECOND)} s; counts are halved then",
            ),
            allowed=logic.COUNTS_MAX,
        ),
        program.MODULE,
    ),
    Row(
        "decision",
        "of all objects, those that a gateway can have counted",
        Figure(
            "in a million",
            told(1e6 * logic.COUNTS_MAX / SIZE.objects, f"{num(logic.COUNTS_MAX)} ÷ {num(SIZE.objects)}"),
        ),
        program.MODULE,
    ),
)


def _ready(size: Size, ready: Slope) -> Worked:
    return Worked(ready.at(size.stores), f"{num(size.stores)} members in the configuration's list")


def _start_core(size: Size, core: Slope) -> Worked:
    ms = core.at(size.stores)
    text = f"{num(size.restarted_a_day)} starts a day × {num(ms)} ms"
    return Worked(size.restarted_a_day * ms / 1e3, text)


def _start_kb(size: Size, known: Slope, poll: Slope) -> Worked:
    parts = known.at(size.stores), poll.at(size.stores)
    text = f"{num(parts[0])} KB that its configuration knows + {num(parts[1])} KB of the first poll"
    return Worked(sum(parts), text)


def _start_seconds(size: Size, known: Slope, poll: Slope) -> Worked:
    kb = _start_kb(size, known, poll).value
    return Worked(1e3 * kb / size.control_bytes, f"{num(kb)} KB ÷ {num(size.control_bytes)} bytes/s")


def _together(size: Size, slowest: Slope) -> Worked:
    return Worked(slowest.at(size.site), f"{num(size.site)} gateways of a site on the cores of one machine")


def _roll(size: Size, ready: Slope) -> Worked:
    ms, at_once = ready.at(size.stores), size.gateways / 100
    text = f"100 steps of {num(at_once)} gateways × ({num(main.QUIET_MOST)} s of drain + {num(ms)} ms)"
    return Worked(100 * (main.QUIET_MOST + ms / 1e3) / 60, text)


READY = Need("starts.members", "ready_ms")
STARTED = Need("starts.members", "known_kb"), Need("starts.members", "poll_kb")
TOGETHER = Need("starts.together", "slowest_ms")

STARTS = (
    Row(
        "start",
        "starts and restarts, if all were gateways: one every",
        Figure("s", told(86_400 / SIZE.restarted_a_day, f"86,400 s ÷ {num(SIZE.restarted_a_day)}")),
        program.START,
    ),
    Row("start", "from the process's start until it listens", Figure("ms", _ready, (READY,)), program.START),
    Row(
        "start",
        "the same where the log does not answer: at most so much more",
        Figure("s", told(changelog.CURRENT_IN, "the program's own bound")),
        program.START,
    ),
    Row(
        "start",
        "processor time of a day's starts",
        Figure("s", _start_core, (Need("starts.members", "core_ms"),)),
        program.START,
    ),
    Row(
        "start",
        "the same of all gateways of a site at once: the slowest",
        Figure("ms", _together, (TOGETHER,)),
        program.START,
    ),
    Row("start", "bytes that a start takes", Figure("KB", _start_kb, STARTED), program.START),
    Row(
        "start",
        "seconds of what control may send that one start uses up",
        Figure("s", _start_seconds, STARTED),
        program.START,
    ),
    Row(
        "start",
        "a planned stop: the longest until its last answer, classes' deadlines aside",
        Figure("s", told(main.QUIET_MOST, "the program's own bound")),
        program.DRAIN,
    ),
    Row(
        "start",
        "all gateways restarted, a hundredth at a time",
        Figure("min", _roll, (READY,)),
        Mechanism("a roll-out over the fleet that waits for each step"),
    ),
)


def _front_rate(size: Size, core: Slope) -> Worked:
    us = core.each
    return Worked(1e6 / us, f"1 s ÷ {num(us)} µs for each request")


SECOND_FRONT = (
    Row(
        "second",
        "requests of one core, indexes from memory",
        Figure("/s", _front_rate, (Need("second.requests", "core_us"),)),
        program.FRONT,
    ),
    Row(
        "second",
        "gateways' worth of requests on it, were all of them indexes",
        Figure(
            "cores",
            lambda size, core: Worked(
                size.asked * core.each / 1e6, f"{num(size.asked)}/s × {num(core.each)} µs"
            ),
            (Need("second.requests", "core_us"),),
            1.0,
        ),
        program.FRONT,
    ),
    Row(
        "second",
        "memory of 10,000 projects",
        Figure(
            "MB",
            lambda size, memory: Worked(memory.at(10_000) / 1e3, "10,000 projects, by projects known"),
            (Need("second.projects", "memory_kb"),),
        ),
        program.FRONT,
    ),
    Row(
        "second",
        "purges, one event a page: as the gateway's control",
        Figure("cores", _purges_single, (Need("control.purge_rate", "core_share"),), SIZE.control_core),
        program.POLLER,
    ),
)

ROWS: tuple[Row, ...] = (*SERVING, *CONTROL, *MACHINE, *STORE, *DECISIONS, *STARTS, *SECOND_FRONT)
