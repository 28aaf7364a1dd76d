"""Rows of control: what each gateway spends on it, and each control machine."""

from hallproxy.decisions import purges
from hallproxy.lab.capacity import program
from hallproxy.lab.capacity.rows import Figure, Mechanism, Need, Row, Slope, Work, Worked, num, told
from hallproxy.lab.capacity.size import SIZE, Size
from hallproxy.state.purges import MAX_PURGES


def purges_single(size: Size, core: Slope) -> Worked:
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
    text = (
        f"{num(pages)} pages/s × ({num(page)} bytes in gzip + {num(program.POLL_BYTES)} of a poll), no heads"
    )
    return Worked(pages * (page + program.POLL_BYTES), text)


def _relayed(size: Size, of: Slope) -> Worked:
    ms = 1e3 * program.GATHER
    return Worked(of.at(ms), f"measured at {num(size.purges)} purges/s, gathered for {num(ms)} ms")


def _relayed_core(size: Size, core: Slope) -> Worked:
    ms = 1e3 * program.GATHER
    return Worked(core.cores(ms), f"measured at {num(size.purges)} purges/s, gathered for {num(ms)} ms")


def _tiers(size: Size, delay: Slope) -> Worked:
    below = size.control_machines - 1
    text = f"one relay at the log, {num(below)} below it, of 200 followers each; {num(FEWER)} at the size"
    return Worked(delay.at(below), text)


def _own_copies(size: Size, core: Slope) -> Worked:
    copies = program.BOUNDS.local_cache_bytes / SMALL
    text = f"{num(program.BOUNDS.local_cache_bytes / 1e6)} MB ÷ {num(SMALL / 1e3)} KB = {num(copies)} copies"
    return Worked(core.cores(copies), text)


def _list_changes(size: Size, change: Slope) -> Worked:
    ms = change.at(size.stores)
    text = (
        f"3 × ({num(size.failed_a_day)} + {num(size.restarted_a_day)}) changes a day, if all were stores, "
        f"÷ 86,400 s × {num(ms)} ms among {num(size.stores)} members"
    )
    return Worked(size.list_changes * ms / 1e3, text)


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


SMALL = 4_000
"""Bytes of an own copy where all are small: the kind that makes a gateway hold most of them."""
FEWER = SIZE.gateways / (SIZE.control_machines - 1)
"""Followers of a control machine while one of them is away, or is at the log and has relays alone."""

CHANGE = Need("control.members", "core_ms")
PAGED = Need("control.page_events", "core_share")

CONTROL = (
    Row(
        "control",
        "processor",
        "purges, one event a page: processor time",
        Figure("cores", purges_single, (Need("control.purge_rate", "core_share"),), SIZE.control_core),
        program.POLLER,
    ),
    Row(
        "control",
        "messages",
        "purges, one event a page: bytes a second",
        Figure("bytes/s", _bytes_single, (Need("control.purge_rate", "bytes_per_s"),), SIZE.control_bytes),
        program.POLLER,
    ),
    Row(
        "control",
        "messages",
        "of those, the polls alone",
        Figure(
            "bytes/s",
            told(
                SIZE.purges * program.POLL_BYTES,
                f"{num(SIZE.purges)} polls/s × {num(program.POLL_BYTES)} bytes",
            ),
            allowed=SIZE.control_bytes,
        ),
        program.POLLER,
    ),
    Row(
        "control",
        "processor",
        "purges in pages: processor time",
        Figure("cores", _purges_paged, (PAGED,), SIZE.control_core),
        program.RELAY,
    ),
    Row(
        "control",
        "messages",
        "purges in pages: bytes a second, plain",
        Figure("bytes/s", _bytes_paged, (Need("control.page_events", "bytes_per_s"),), SIZE.control_bytes),
        program.RELAY,
    ),
    Row(
        "control",
        "messages",
        "purges in pages: bytes a second, gzip",
        Figure(
            "bytes/s", _bytes_coded, (Need("control.page_events", "page_bytes_gzip"),), SIZE.control_bytes
        ),
        program.RELAY,
    ),
    Row(
        "control",
        "processor",
        "a gateway that follows a relay: processor time",
        Figure("cores", _relayed_core, (Need("relay.control", "core_share"),), SIZE.control_core),
        program.RELAY,
    ),
    Row(
        "control",
        "messages",
        "a gateway that follows a relay: bytes a second, gzip, both ways",
        Figure("bytes/s", _relayed, (Need("relay.control", "bytes_per_s"),), SIZE.control_bytes),
        program.RELAY,
    ),
    Row(
        "control",
        "memory",
        "a gateway that follows a relay: memory",
        Figure("MB", _relayed, (Need("relay.control", "memory_mb"),), SIZE.control_mb),
        program.RELAY,
    ),
    Row(
        "control",
        "time",
        "time from a purge to the last gateway that holds it, through two tiers of relays",
        Figure("ms", _tiers, (Need("relay.tiers", "delay_p100_ms"),), 1e3 * SIZE.purge_deadline),
        program.RELAY,
    ),
    Row(
        "control",
        "processor",
        "purges, while own copies are held, were those 4 KB each",
        Figure("cores", _own_copies, (Need("purges.copies", "core_percent"),), SIZE.control_core),
        program.COPIES,
    ),
    Row(
        "control",
        "memory",
        "the table of purges when it is full",
        Figure(
            "KB",
            lambda size, of: Worked(of.at(MAX_PURGES), f"{num(MAX_PURGES)} objects"),
            (Need("purges.held", "memory_kb"),),
            1e3 * SIZE.control_mb,
        ),
        program.PURGES,
    ),
    Row(
        "control",
        "state",
        "purges the module holds until each is done everywhere",
        Figure(
            "",
            told(
                SIZE.purges * (SIZE.purge_deadline + 1),
                f"{num(SIZE.purges)}/s × ({num(SIZE.purge_deadline)} + 1) s",
            ),
            allowed=purges.PURGES_MAX,
        ),
        program.MODULE,
    ),
    Row(
        "control",
        "state",
        "the longest that a purge may take to be over by the settings without a floor under everything",
        Figure(
            "s", told(MAX_PURGES / SIZE.purges, f"{num(MAX_PURGES)} objects ÷ {num(SIZE.purges)} purges/s")
        ),
        program.PURGES,
    ),
    Row(
        "control",
        "state",
        "time for which a gateway without news still serves own copies",
        Figure("s", told(program.STALE_WATCH_TIME, "the program's own bound"), allowed=SIZE.purge_deadline),
        program.STALE_COPIES,
    ),
    Row(
        "control",
        "processor",
        "changes of the list: processor time",
        Figure("cores", _list_changes, (CHANGE,), SIZE.control_core),
        program.MEMBERS,
    ),
    Row(
        "control",
        "processor",
        "changes of the list when a zone goes: the loop's time",
        Figure("ms", _zone_changes, (CHANGE,)),
        program.MEMBERS,
    ),
    Row(
        "control",
        "processor",
        "a whole list: the loop's time",
        Figure("ms", _whole_list, (Need("control.members", "core_ms_whole"),)),
        program.MEMBERS,
    ),
    Row(
        "control",
        "memory",
        "a whole list: the module's and tables' memory",
        Figure("MB", _whole_list, (Need("lists.members", "memory_mb"),), SIZE.control_mb),
        program.MEMBERS,
    ),
    Row(
        "control",
        "processor",
        "processor time of all that is carried",
        Figure("cores", _control_core, (PAGED, CHANGE), SIZE.control_core),
        program.RELAY,
    ),
    Row(
        "control",
        "memory",
        "memory of a gateway that only follows",
        Figure("MB", _memory, (Need("control.members", "memory_mb"),), SIZE.control_mb),
        program.LIMITS,
    ),
    Row(
        "control",
        "messages",
        "changes of configuration a second",
        Figure("/s", told(SIZE.changes, f"{num(SIZE.changes_a_day)} a day ÷ 86,400 s")),
        program.CONFIGURATION,
    ),
    Row(
        "control",
        "messages",
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
        "time",
        "time from a change of configuration to its being in force everywhere",
        Figure(
            "s",
            lambda size, delay: Worked(delay.at(size.gateways), f"{num(size.gateways)} gateways"),
            (Need("configuration.gateways", "in_force_s"),),
            SIZE.change_deadline,
        ),
        program.CONFIGURATION,
    ),
    Row(
        "control",
        "messages",
        "bytes a second of reports to one place, were each gateway to send 1 KB every 10 s",
        Figure("KB/s", told(SIZE.gateways / 10, f"{num(SIZE.gateways)} gateways × 1 KB ÷ 10 s")),
        program.REPORTS,
    ),
)


def _machine(quantity: str, text: str) -> Work:
    def work(size: Size, of: Slope) -> Worked:
        value = of.cores(size.followers) if quantity == "cores" else of.at(size.followers)
        return Worked(value, f"{num(size.followers)} followers, {num(size.purges)} purges/s, {text}")

    return work


def _one_fewer(size: Size, core: Slope) -> Worked:
    text = f"{num(size.gateways)} ÷ {num(size.control_machines - 1)} = {num(FEWER)} followers, in pages"
    return Worked(core.cores(FEWER), text)


def _top(size: Size, core: Slope) -> Worked:
    below = size.control_machines - 1
    return Worked(core.cores(below), f"{num(below)} relays below it, {num(size.purges)} purges/s")


def _connects(size: Size, connects: Slope) -> Worked:
    below = size.control_machines - 1
    return Worked(
        connects.at(below), f"{num(below)} relays with 400 followers in all; {num(size.gateways)} at the size"
    )


def _out(size: Size, coded: Slope) -> Worked:
    page = coded.at(EVENTS)
    text = (
        f"{num(size.followers)} followers × {num(1 / program.GATHER)} pages/s × {num(page)} bytes in gzip × 8"
    )
    return Worked(size.followers / program.GATHER * page * 8 / 1e6, text)


MACHINE = (
    Row(
        "machine",
        "state",
        "followers of each",
        Figure("", told(SIZE.followers, f"{num(SIZE.gateways)} ÷ {num(SIZE.control_machines)}")),
        program.RELAY,
    ),
    Row(
        "machine",
        "state",
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
        "messages",
        "polls a second, one event a page",
        Figure(
            "/s",
            told(SIZE.followers * SIZE.purges, f"{num(SIZE.followers)} followers × {num(SIZE.purges)}/s"),
        ),
        program.POLLER,
    ),
    Row(
        "machine",
        "processor",
        "a log that tells one by one: processor time",
        Figure("cores", _machine("cores", "an event a page"), (Need("logs.followers", "core_share"),), 1.0),
        program.POLLER,
    ),
    Row(
        "machine",
        "messages",
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
        "time",
        "a log that tells one by one: the longest from a purge to its last follower",
        Figure(
            "ms",
            _machine("ms", "an event a page, if it keeps up"),
            (Need("logs.followers", "delay_p100_ms"),),
            1e3 * SIZE.purge_deadline,
        ),
        program.POLLER,
    ),
    Row(
        "machine",
        "memory",
        "a log that tells one by one: memory",
        Figure("MB", _machine("MB", "an event a page"), (Need("logs.followers", "memory_mb"),)),
        program.POLLER,
    ),
    Row(
        "machine",
        "processor",
        "a log that tells in pages: processor time",
        Figure("cores", _machine("cores", "in pages"), (Need("logs.pages", "core_share"),), 1.0),
        program.RELAY,
    ),
    Row(
        "machine",
        "time",
        "a log that tells in pages: the longest from a purge to its last follower",
        Figure(
            "ms",
            _machine("ms", "in pages"),
            (Need("logs.pages", "delay_p100_ms"),),
            1e3 * SIZE.purge_deadline,
        ),
        program.RELAY,
    ),
    Row(
        "machine",
        "processor",
        "a relay: processor time",
        Figure("cores", _machine("cores", "in pages"), (Need("relay.followers", "core_share"),), 1.0),
        program.RELAY,
    ),
    Row(
        "machine",
        "memory",
        "a relay: memory",
        Figure("MB", _machine("MB", "in pages"), (Need("relay.followers", "memory_mb"),)),
        program.RELAY,
    ),
    Row(
        "machine",
        "time",
        "a relay: the longest from a purge to its last follower",
        Figure(
            "ms",
            _machine("ms", "in pages"),
            (Need("relay.followers", "delay_p100_ms"),),
            1e3 * SIZE.purge_deadline,
        ),
        program.RELAY,
    ),
    Row(
        "machine",
        "processor",
        "a relay while one of the nine is away: processor time",
        Figure("cores", _one_fewer, (Need("relay.followers", "core_share"),), 1.0),
        program.RELAY,
    ),
    Row(
        "machine",
        "processor",
        "the relay at the log, with relays alone below it: processor time",
        Figure("cores", _top, (Need("relay.tiers", "core_share_top"),), 1.0),
        program.RELAY,
    ),
    Row(
        "machine",
        "messages",
        "connects at one relay in 100 ms when another is lost",
        Figure("", _connects, (Need("relay.changeover", "connects_burst"),)),
        program.RELAY,
    ),
    Row(
        "machine",
        "messages",
        "sent by a relay",
        Figure("Mbit/s", _out, (Need("control.page_events", "page_bytes_gzip"),)),
        program.RELAY,
    ),
    Row(
        "machine",
        "messages",
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
        "messages",
        "answers a second for changes of configuration",
        Figure("/s", told(SIZE.followers * SIZE.changes, f"{num(SIZE.followers)} × {num(SIZE.changes)}/s")),
        program.CONFIGURATION,
    ),
)
