"""The rows of the page's first table: each role's state, messages, processor time and memory at the size.

Each row's arithmetic is its own text; figures of the program are taken from it, so that they change with it.
"""

from hallproxy import logic
from hallproxy.lab.capacity.rows import Figure, Mechanism, Need, Row, Slope, Work, Worked, num
from hallproxy.lab.capacity.size import SIZE, Size
from hallproxy.run import changelog, main
from hallproxy.state import calls
from hallproxy.state.bounds import MB, Bounds
from hallproxy.state.purges import PURGES_MAX
from hallproxy.wire.changelog import poll_head
from hallproxy.wire.frames import LONGEST

SECOND = 1_000_000_000  # ns
PART_KB = 240.0
"""KB of an object's largest part (docs/architecture.md, whole answers)."""
MEMORY_MB, SOCKETS = 192, 1_024
"""A gateway's limits where its configuration names none (`run/config.py`)."""
GATHER = 0.25
"""s that a relay waits for more events before it cuts a page (`gather_ms` where its file does not say)."""
CALM = 0.1
"""s that a request is taken to be open, as nobody told; what grows with it is said for each 0.1 s."""
SPARE = MEMORY_MB * MB - main.BASE
"""Bytes of a gateway's memory beyond the program itself, which `run/main.py` shares out."""
CALLERS = SOCKETS * 2 // 5
LINKS = SOCKETS - CALLERS - main.RESERVE
POLL = len(poll_head(10**9, changelog.WAIT, "10.100.100.100:4222"))
"""Bytes of a poll's request, its number a billion."""

ROLES = {
    "serving": "The gateway's serving",
    "control": "The gateway's control",
    "machine": "Each control machine",
    "store": "A store and its connections",
    "decision": "The decision module",
    "start": "Start and restart",
    "second": "The second front",
}

FRAMES = Mechanism("answers in frames, a part at a time", "hallproxy/wire/frames.py")
ONE_LOOP = Mechanism("one process on one event loop", "hallproxy/run/loop.py")
PROCESSES = Mechanism("several gateway processes on a machine that share its port, list and news")
MODULE = Mechanism("the decision module", "hallproxy/logic.py")
BOUNDS = Mechanism("parts of the configuration's limits", "hallproxy/run/main.py")
COPIES = Mechanism("own copies", "hallproxy/state/copies.py")
POLLER = Mechanism("one long poll after another", "hallproxy/run/changelog.py")
RELAY = Mechanism("relays that gather, code once and pass on", "hallproxy/relay/__init__.py")
PURGES = Mechanism("the table of purges", "hallproxy/state/purges.py")
MEMBERS = Mechanism("the list, changed in place", "hallproxy/state/members.py")
DEAF = Mechanism("own copies rest without news", "hallproxy/state/calls.py")
LINKED = Mechanism("connections kept and closed by the reducer", "hallproxy/state/links.py")
CONFIGURATION = Mechanism("a file and SIGHUP on each machine; nothing carries a change to all of them")
REPORTS = Mechanism("nothing sends use, health or versions in force; `hallproxy usage` asks one gateway")
FRONT = Mechanism("the package repositories' front", "hallproxy/repository/front.py")
DRAIN = Mechanism("answers what is open, then ends", "hallproxy/run/main.py")
START = Mechanism("listens behind the change log's first answer", "hallproxy/run/main.py")

parts = SIZE.asked * SIZE.body_kb / PART_KB
"""Parts a second at one gateway, were bodies told in the largest parts there are."""


def told(value: float, text: str) -> Work:
    """Arithmetic on the operators' numbers and the program's own bounds alone."""
    return lambda size, *slopes: Worked(value, text)


def _decisions(size: Size, decision: Slope) -> Worked:
    us = decision.at(size.stores)
    text = f"{num(parts)} parts/s × {num(us)} µs among {num(size.stores)} members"
    return Worked(parts * us / 1e6, text)


def _bodies(size: Size, body: Slope) -> Worked:
    us = body.at(PART_KB)
    return Worked(parts * us / 1e6, f"{num(parts)} parts/s × {num(us)} µs for {num(PART_KB)} KB")


def _core_bytes(size: Size, body: Slope) -> Worked:
    us = body.at(PART_KB)
    return Worked(PART_KB * 1e3 / us, f"{num(PART_KB)} KB ÷ {num(us)} µs of a core")


def _serving(size: Size, decision: Slope, body: Slope) -> Worked:
    each = decision.at(size.stores), body.at(PART_KB)
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
        ONE_LOOP,
    ),
    Row(
        "serving",
        "body of a request in one frame, mean",
        Figure(
            "KB",
            told(SIZE.body_kb, f"{num(SIZE.bits)} bit/s ÷ 8 ÷ {num(SIZE.requests)}/s"),
            allowed=LONGEST / 1e3,
        ),
        FRAMES,
    ),
    Row(
        "serving",
        "parts a second, if bodies come in the largest parts",
        Figure("/s", told(parts, f"{num(SIZE.asked)}/s × {num(SIZE.body_kb)} KB ÷ {num(PART_KB)} KB")),
        FRAMES,
    ),
    Row(
        "serving",
        "bytes a second to clients",
        Figure("MB/s", told(SIZE.sent_mb, f"{num(SIZE.bits)} bit/s ÷ 8 ÷ {num(SIZE.gateways)} gateways")),
        ONE_LOOP,
    ),
    Row(
        "serving",
        "bytes of bodies by one core",
        Figure("MB/s", _core_bytes, (BODY,), SIZE.sent_mb, True),
        ONE_LOOP,
    ),
    Row("serving", "processor time of decisions", Figure("cores", _decisions, (DECISION,), 1.0), MODULE),
    Row("serving", "processor time of bodies", Figure("cores", _bodies, (BODY,), 1.0), ONE_LOOP),
    Row("serving", "processor time of both", Figure("cores", _serving, (DECISION, BODY), 1.0), PROCESSES),
    Row(
        "serving",
        "cores of all gateways for that",
        Figure("cores", _fleet_cores, (DECISION, BODY)),
        PROCESSES,
    ),
    Row(
        "serving",
        "requests open at once, for each 0.1 s one is",
        Figure(
            "", told(parts * CALM, f"{num(parts)}/s × {num(CALM)} s"), allowed=min(4_000, SPARE // main.CALL)
        ),
        BOUNDS,
    ),
    Row(
        "serving",
        "bodies held at once, for each 0.1 s one is",
        Figure(
            "MB",
            told(
                SIZE.sent_mb * CALM,
                f"{num(SIZE.sent_mb)} MB/s × {num(CALM)} s; "
                f"a quarter of {num(MEMORY_MB)} MB less {num(main.BASE // MB)} may be bodies",
            ),
            allowed=SPARE / 4 / 1e6,
        ),
        BOUNDS,
    ),
    Row(
        "serving",
        "own copies held, of mean size",
        Figure(
            "",
            told(
                min(MEMORY_MB * MB * 3 / 20, SPARE / 3) / 1e3 / SIZE.body_kb,
                f"{num(min(MEMORY_MB * MB * 3 / 20, SPARE / 3) / 1e6)} MB ÷ {num(SIZE.body_kb)} KB, of "
                f"{num(SIZE.objects)} objects",
            ),
        ),
        COPIES,
    ),
)


def _purges_single(size: Size, core: Slope) -> Worked:
    share = core.cores(size.purges)
    return Worked(share, f"measured at {num(size.purges)} purges/s, an event a page")


def _bytes_single(size: Size, flow: Slope) -> Worked:
    return Worked(
        flow.at(size.purges), f"measured at {num(size.purges)} purges/s, both ways, an event a page"
    )


EVENTS = SIZE.purges * GATHER
"""Events of a page that a relay cuts every `GATHER` s."""


def _purges_paged(size: Size, core: Slope) -> Worked:
    text = f"{num(size.purges)} purges/s in pages of {num(EVENTS)}, what {num(GATHER)} s gather"
    return Worked(core.cores(EVENTS), text)


def _bytes_paged(size: Size, flow: Slope) -> Worked:
    text = f"{num(size.purges)} purges/s in pages of {num(EVENTS)}, plain, both ways"
    return Worked(flow.at(EVENTS), text)


def _bytes_coded(size: Size, coded: Slope) -> Worked:
    page, pages = coded.at(EVENTS), 1 / GATHER
    text = f"{num(pages)} pages/s × ({num(page)} bytes in gzip + {num(POLL)} of a poll); answers' heads aside"
    return Worked(pages * (page + POLL), text)


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
        POLLER,
    ),
    Row(
        "control",
        "purges, one event a page: bytes a second",
        Figure("bytes/s", _bytes_single, (Need("control.purge_rate", "bytes_per_s"),), SIZE.control_bytes),
        POLLER,
    ),
    Row(
        "control",
        "of those, the polls alone",
        Figure(
            "bytes/s",
            told(SIZE.purges * POLL, f"{num(SIZE.purges)} polls/s × {num(POLL)} bytes"),
            allowed=SIZE.control_bytes,
        ),
        POLLER,
    ),
    Row(
        "control",
        "purges in pages: processor time",
        Figure("cores", _purges_paged, (PAGED,), SIZE.control_core),
        RELAY,
    ),
    Row(
        "control",
        "purges in pages: bytes a second, plain",
        Figure("bytes/s", _bytes_paged, (Need("control.page_events", "bytes_per_s"),), SIZE.control_bytes),
        RELAY,
    ),
    Row(
        "control",
        "purges in pages: bytes a second, gzip",
        Figure(
            "bytes/s", _bytes_coded, (Need("control.page_events", "page_bytes_gzip"),), SIZE.control_bytes
        ),
        RELAY,
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
        RELAY,
    ),
    Row(
        "control",
        "purges the module holds until each is done everywhere",
        Figure(
            "",
            told(SIZE.purges * (SIZE.purge_in + 1), f"{num(SIZE.purges)}/s × ({num(SIZE.purge_in)} + 1) s"),
            allowed=logic.PURGES_MAX,
        ),
        MODULE,
    ),
    Row(
        "control",
        "age at which an own copy falls under the floor of the full table",
        Figure(
            "s", told(PURGES_MAX / SIZE.purges, f"{num(PURGES_MAX)} objects ÷ {num(SIZE.purges)} purges/s")
        ),
        PURGES,
    ),
    Row(
        "control",
        "time for which a gateway without news still serves own copies",
        Figure("s", told(calls.DEAF_AFTER / SECOND, "the program's own bound"), allowed=SIZE.purge_in),
        DEAF,
    ),
    Row(
        "control",
        "changes of the list: processor time",
        Figure("cores", _list_changes, (CHANGE,), SIZE.control_core),
        MEMBERS,
    ),
    Row(
        "control",
        "changes of the list when a zone goes: the loop's time",
        Figure("ms", _zone_changes, (CHANGE,)),
        MEMBERS,
    ),
    Row(
        "control",
        "a whole list: the loop's time",
        Figure("ms", _whole_list, (Need("control.members", "core_ms_whole"),)),
        MEMBERS,
    ),
    Row(
        "control",
        "a whole list: the module's and tables' memory",
        Figure("MB", _whole_list, (Need("lists.members", "memory_mb"),), SIZE.control_mb),
        MEMBERS,
    ),
    Row(
        "control",
        "processor time of all that is carried",
        Figure("cores", _control_core, (PAGED, CHANGE), SIZE.control_core),
        RELAY,
    ),
    Row(
        "control",
        "memory of a gateway that only follows",
        Figure("MB", _memory, (Need("control.members", "memory_mb"),), SIZE.control_mb),
        BOUNDS,
    ),
    Row(
        "control",
        "changes of configuration a second",
        Figure("/s", told(SIZE.changes, f"{num(SIZE.changes_a_day)} a day ÷ 86,400 s")),
        CONFIGURATION,
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
        CONFIGURATION,
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
        CONFIGURATION,
    ),
    Row(
        "control",
        "bytes a second of reports to one place, were each gateway to send 1 KB every 10 s",
        Figure("KB/s", told(SIZE.gateways / 10, f"{num(SIZE.gateways)} gateways × 1 KB ÷ 10 s")),
        REPORTS,
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
    text = f"{num(size.followers)} followers × {num(1 / GATHER)} pages/s × {num(page)} bytes in gzip × 8"
    return Worked(size.followers / GATHER * page * 8 / 1e6, text)


MACHINE = (
    Row(
        "machine",
        "followers of each",
        Figure("", told(SIZE.followers, f"{num(SIZE.gateways)} ÷ {num(SIZE.control_machines)}")),
        RELAY,
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
        POLLER,
    ),
    Row(
        "machine",
        "a log that tells one by one: processor time",
        Figure("cores", _machine("cores", "an event a page"), (Need("logs.followers", "core_share"),), 1.0),
        POLLER,
    ),
    Row(
        "machine",
        "a log that tells one by one: memory",
        Figure("MB", _machine("MB", "an event a page"), (Need("logs.followers", "memory_mb"),)),
        POLLER,
    ),
    Row(
        "machine",
        "a log that tells in pages: processor time",
        Figure("cores", _machine("cores", "in pages"), (Need("logs.pages", "core_share"),), 1.0),
        RELAY,
    ),
    Row(
        "machine",
        "a relay: processor time",
        Figure("cores", _machine("cores", "in pages"), (Need("relay.followers", "core_share"),), 1.0),
        RELAY,
    ),
    Row(
        "machine",
        "a relay: memory",
        Figure("MB", _machine("MB", "in pages"), (Need("relay.followers", "memory_mb"),)),
        RELAY,
    ),
    Row(
        "machine",
        "a relay: the longest from a purge to its follower",
        Figure(
            "ms", _machine("ms", "in pages"), (Need("relay.followers", "delay_p100_ms"),), 1e3 * SIZE.purge_in
        ),
        RELAY,
    ),
    Row(
        "machine",
        "a relay while one of the nine is away: processor time",
        Figure("cores", _one_fewer, (Need("relay.followers", "core_share"),), 1.0),
        RELAY,
    ),
    Row(
        "machine",
        "sent by a relay",
        Figure("Mbit/s", _out, (Need("control.page_events", "page_bytes_gzip"),)),
        RELAY,
    ),
    Row(
        "machine",
        "confirmed numbers heard a second, in pages",
        Figure("/s", told(SIZE.followers / GATHER, f"{num(SIZE.followers)} followers ÷ {num(GATHER)} s")),
        RELAY,
    ),
    Row(
        "machine",
        "answers a second for changes of configuration",
        Figure("/s", told(SIZE.followers * SIZE.changes, f"{num(SIZE.followers)} × {num(SIZE.changes)}/s")),
        CONFIGURATION,
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
                f"{num(Bounds().idle / SECOND)} s",
            ),
        ),
        LINKED,
    ),
    Row(
        "store",
        "the same, were only its own zone's gateways to ask it",
        Figure("", told(SIZE.zone_gateways, f"{num(SIZE.gateways)} ÷ {num(SIZE.zones)} zones")),
        LINKED,
    ),
    Row(
        "store",
        "a parent's, asked by its region's gateways",
        Figure("", told(SIZE.region_gateways, f"{num(SIZE.gateways)} ÷ {num(SIZE.regions)} regions")),
        LINKED,
    ),
    Row(
        "store",
        "connections of a gateway, one to each store",
        Figure(
            "",
            told(
                SIZE.stores,
                f"{num(SIZE.stores)} stores; {num(SOCKETS)} sockets less {num(CALLERS)} for "
                f"clients and {num(main.RESERVE)}",
            ),
            allowed=LINKS,
        ),
        BOUNDS,
    ),
    Row(
        "store",
        "a gateway's idle connections: processor time of each",
        Figure("µs", _idle_core, (Need("stores.connections", "core_us"),)),
        LINKED,
    ),
    Row(
        "store",
        "a gateway's idle connections: memory of each",
        Figure("KB", _idle_core, (Need("stores.connections", "memory_kb"),)),
        LINKED,
    ),
    Row(
        "store",
        "requests a second at one, own copies left out",
        Figure("/s", told(SIZE.requests / SIZE.stores, f"{num(SIZE.requests)}/s ÷ {num(SIZE.stores)}")),
        MODULE,
    ),
    Row(
        "store",
        "bytes a second out of one",
        Figure(
            "MB/s",
            told(SIZE.bits / 8 / SIZE.stores / 1e6, f"{num(SIZE.bits)} bit/s ÷ 8 ÷ {num(SIZE.stores)}"),
        ),
        MODULE,
    ),
    Row(
        "store",
        "objects on one, each kept once",
        Figure("", told(SIZE.objects / SIZE.stores, f"{num(SIZE.objects)} ÷ {num(SIZE.stores)}")),
        MODULE,
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
        MODULE,
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
        MODULE,
    ),
    Row(
        "store",
        "a cold cache's calls in a window over the N it bears, in parts of 2√N + 2",
        Figure("", _cold, (Need("stores.cold", "over"),), 1.0),
        MODULE,
    ),
    Row(
        "store",
        "a cold parent's, by all gateways of its hub",
        Figure("", _cold_parent, (Need("stores.cold", "over_parent"),), 1.0),
        MODULE,
    ),
    Row(
        "store",
        "purges a second that it hears of",
        Figure(
            "/s", told(SIZE.purges, "from its own log; a gateway tells it an age limit with each request")
        ),
        PURGES,
    ),
)


def _decision(size: Size, decision: Slope) -> Worked:
    return Worked(decision.at(size.stores), f"{num(size.stores)} members; allowed: 1 s ÷ {num(parts)} parts")


DECISIONS = (
    Row("decision", "a decision, by members", Figure("µs", _decision, (DECISION,), 1e6 / parts), MODULE),
    Row(
        "decision",
        "a decision, by zones",
        Figure(
            "µs",
            lambda size, of: Worked(of.at(size.zones), f"{num(size.zones)} zones"),
            (Need("decisions.zones", "decision_us"),),
            1e6 / parts,
        ),
        MODULE,
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
        MODULE,
    ),
    Row(
        "decision",
        "memory, by members",
        Figure(
            "KB",
            lambda size, of: Worked(of.at(size.stores), f"{num(size.stores)} members"),
            (Need("decisions.members", "memory_kb"),),
        ),
        MODULE,
    ),
    Row(
        "decision",
        "memory, by zones",
        Figure(
            "KB",
            lambda size, of: Worked(of.at(size.zones), f"{num(size.zones)} zones"),
            (Need("decisions.zones", "memory_kb"),),
        ),
        MODULE,
    ),
    Row(
        "decision",
        "memory, by objects counted",
        Figure(
            "KB",
            lambda size, of: Worked(of.at(logic.COUNTS_MAX), f"{num(logic.COUNTS_MAX)} objects"),
            (Need("decisions.objects", "memory_kb"),),
        ),
        MODULE,
    ),
    Row(
        "decision",
        "objects that a gateway hears of in 10 s, were each asked for once",
        Figure(
            "",
            told(
                SIZE.asked * logic.AGE_EVERY / SECOND,
                f"{num(SIZE.asked)}/s × {num(logic.AGE_EVERY / SECOND)} s; counts are halved that often",
            ),
            allowed=logic.COUNTS_MAX,
        ),
        MODULE,
    ),
    Row(
        "decision",
        "of all objects, those that a gateway can have counted",
        Figure(
            "in a million",
            told(1e6 * logic.COUNTS_MAX / SIZE.objects, f"{num(logic.COUNTS_MAX)} ÷ {num(SIZE.objects)}"),
        ),
        MODULE,
    ),
)


def _ready(size: Size, ready: Slope) -> Worked:
    return Worked(ready.at(size.stores), f"{num(size.stores)} members in the configuration's list")


def _start_core(size: Size, core: Slope) -> Worked:
    ms = core.at(size.stores)
    text = f"{num(size.restarted_a_day)} starts a day × {num(ms)} ms"
    return Worked(size.restarted_a_day * ms / 1e3, text)


def _start_bytes(size: Size, told_bytes: Slope) -> Worked:
    each = told_bytes.at(size.stores)
    return Worked(each / 1e3, f"{num(size.stores)} members")


def _roll(size: Size, ready: Slope) -> Worked:
    ms, at_once = ready.at(size.stores), size.gateways / 100
    text = f"100 steps of {num(at_once)} gateways × ({num(main.QUIET_MOST)} s of drain + {num(ms)} ms)"
    return Worked(100 * (main.QUIET_MOST + ms / 1e3) / 60, text)


READY = Need("starts.members", "ready_ms")
STARTED = Need("starts.members", "bytes")

STARTS = (
    Row(
        "start",
        "starts and restarts, if all were gateways: one every",
        Figure("s", told(86_400 / SIZE.restarted_a_day, f"86,400 s ÷ {num(SIZE.restarted_a_day)}")),
        START,
    ),
    Row("start", "from the process's start until it listens", Figure("ms", _ready, (READY,)), START),
    Row(
        "start",
        "the same where the log does not answer: at most so much more",
        Figure("s", told(changelog.CURRENT_IN, "the program's own bound")),
        START,
    ),
    Row(
        "start",
        "processor time of a day's starts",
        Figure("s", _start_core, (Need("starts.members", "core_ms"),)),
        START,
    ),
    Row("start", "bytes that a start asks for", Figure("KB", _start_bytes, (STARTED,)), START),
    Row(
        "start",
        "seconds of what control may send that one start uses up",
        Figure(
            "s",
            lambda size, of: Worked(
                of.at(size.stores) / size.control_bytes,
                f"{num(of.at(size.stores))} bytes ÷ {num(size.control_bytes)}/s",
            ),
            (STARTED,),
        ),
        START,
    ),
    Row(
        "start",
        "a planned stop: the longest until its last answer, classes' deadlines aside",
        Figure("s", told(main.QUIET_MOST, "the program's own bound")),
        DRAIN,
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
        FRONT,
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
        FRONT,
    ),
    Row(
        "second",
        "memory of 10,000 projects",
        Figure(
            "MB",
            lambda size, memory: Worked(memory.at(10_000) / 1e3, "10,000 projects, by projects known"),
            (Need("second.projects", "memory_kb"),),
        ),
        FRONT,
    ),
    Row(
        "second",
        "purges, one event a page: as the gateway's control",
        Figure("cores", _purges_single, (Need("control.purge_rate", "core_share"),), SIZE.control_core),
        POLLER,
    ),
)

ROWS: tuple[Row, ...] = (*SERVING, *CONTROL, *MACHINE, *STORE, *DECISIONS, *STARTS, *SECOND_FRONT)
