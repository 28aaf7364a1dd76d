"""Rows of control traffic: its cost at each gateway and at each control machine."""

from hallproxy.decisions import purges
from hallproxy.lab.capacity import program
from hallproxy.lab.capacity.rows import (
    Computation,
    Computed,
    Figure,
    Mechanism,
    Need,
    Row,
    Slope,
    constant,
    num,
)
from hallproxy.lab.capacity.size import SIZE, Size
from hallproxy.state.local_cache import ENTRY_BYTES
from hallproxy.state.purges import MAX_PURGES


def purges_single(size: Size, core: Slope) -> Computed:
    share = core.cores(size.purges)
    return Computed(share, f"measured at {num(size.purges)} purges/s, an event a page")


def _bytes_single(size: Size, flow: Slope) -> Computed:
    return Computed(
        flow.at(size.purges), f"measured at {num(size.purges)} purges/s, both ways, an event a page"
    )


EVENTS_PER_PAGE = SIZE.purges * program.GATHER
"""Events of a page that a relay publishes every `program.GATHER` s."""


def _purges_paged(size: Size, core: Slope) -> Computed:
    text = (
        f"{num(size.purges)} purges/s in pages of {num(EVENTS_PER_PAGE)}, what {num(program.GATHER)} s gather"
    )
    return Computed(core.cores(EVENTS_PER_PAGE), text)


def _bytes_paged(size: Size, flow: Slope) -> Computed:
    text = f"{num(size.purges)} purges/s in pages of {num(EVENTS_PER_PAGE)}, plain, both ways"
    return Computed(flow.at(EVENTS_PER_PAGE), text)


def _bytes_gzip(size: Size, page_bytes: Slope) -> Computed:
    page, pages = page_bytes.at(EVENTS_PER_PAGE), 1 / program.GATHER
    text = (
        f"{num(pages)} pages/s × ({num(page)} bytes in gzip + {num(program.POLL_BYTES)} of a poll), no heads"
    )
    return Computed(pages * (page + program.POLL_BYTES), text)


def _through_relay(size: Size, slope: Slope) -> Computed:
    ms = 1e3 * program.GATHER
    return Computed(slope.at(ms), f"measured at {num(size.purges)} purges/s, gathered for {num(ms)} ms")


def _through_relay_cores(size: Size, core: Slope) -> Computed:
    ms = 1e3 * program.GATHER
    return Computed(core.cores(ms), f"measured at {num(size.purges)} purges/s, gathered for {num(ms)} ms")


def _tiers(size: Size, delay: Slope) -> Computed:
    below = size.control_machines - 1
    text = (
        f"one relay at the log, {num(below)} below it, of 200 followers each; "
        f"{num(FOLLOWERS_WITHOUT_ONE)} at the size"
    )
    return Computed(delay.at(below), text)


def _own_copies(size: Size, core: Slope) -> Computed:
    copies = program.BOUNDS.local_cache_bytes / (SMALL_COPY_BYTES + ENTRY_BYTES)
    text = (
        f"{num(program.BOUNDS.local_cache_bytes / 1e6)} MB ÷ ({num(SMALL_COPY_BYTES / 1e3)} + "
        f"{num(ENTRY_BYTES / 1e3)}) KB = {num(copies)} copies"
    )
    return Computed(core.cores(copies), text)


def _list_changes(size: Size, change: Slope) -> Computed:
    ms = change.at(size.stores)
    text = (
        f"3 × ({num(size.failed_a_day)} + {num(size.restarted_a_day)}) changes a day, if all were stores, "
        f"÷ 86,400 s × {num(ms)} ms among {num(size.stores)} members"
    )
    return Computed(size.list_changes * ms / 1e3, text)


def _zone_changes(size: Size, change: Slope) -> Computed:
    ms = change.at(size.stores)
    return Computed(size.zone_stores * ms, f"{num(size.zone_stores)} stores of a zone × {num(ms)} ms")


def _whole_list(size: Size, full: Slope) -> Computed:
    return Computed(full.at(size.stores), f"measured by members, at {num(size.stores)}")


def _control_core(size: Size, core: Slope, change: Slope) -> Computed:
    purges, lists = core.cores(EVENTS_PER_PAGE), _list_changes(size, change).value
    text = f"{num(100 * purges)}% for purges in pages + {num(100 * lists)}% for the list, no configuration"
    return Computed(purges + lists, text)


def _memory(size: Size, memory: Slope) -> Computed:
    return Computed(
        memory.at(size.stores), f"a real gateway's with {num(size.stores)} members, no requests open"
    )


SMALL_COPY_BYTES = 4_000
"""An own copy where all are small, the case in which a gateway holds the most of them."""
FOLLOWERS_WITHOUT_ONE = SIZE.gateways / (SIZE.control_machines - 1)
"""Followers of a control machine while one is down, or while one follows the log and serves only relays."""

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
            constant(
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
        Figure("bytes/s", _bytes_gzip, (Need("control.page_events", "page_bytes_gzip"),), SIZE.control_bytes),
        program.RELAY,
    ),
    Row(
        "control",
        "processor",
        "a gateway that follows a relay: processor time",
        Figure("cores", _through_relay_cores, (Need("relay.control", "core_share"),), SIZE.control_core),
        program.RELAY,
    ),
    Row(
        "control",
        "messages",
        "a gateway that follows a relay: bytes a second, gzip, both ways",
        Figure("bytes/s", _through_relay, (Need("relay.control", "bytes_per_s"),), SIZE.control_bytes),
        program.RELAY,
    ),
    Row(
        "control",
        "memory",
        "a gateway that follows a relay: memory",
        Figure("MB", _through_relay, (Need("relay.control", "memory_mb"),), SIZE.control_mb),
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
            lambda size, slope: Computed(slope.at(MAX_PURGES), f"{num(MAX_PURGES)} objects"),
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
            constant(
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
            "s",
            constant(MAX_PURGES / SIZE.purges, f"{num(MAX_PURGES)} objects ÷ {num(SIZE.purges)} purges/s"),
        ),
        program.PURGES,
    ),
    Row(
        "control",
        "state",
        "time for which a gateway without news still serves own copies",
        Figure(
            "s", constant(program.STALE_WATCH_TIME, "the program's own bound"), allowed=SIZE.purge_deadline
        ),
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
        Figure("/s", constant(SIZE.changes, f"{num(SIZE.changes_a_day)} a day ÷ 86,400 s")),
        program.CONFIGURATION,
    ),
    Row(
        "control",
        "messages",
        "bytes that one change may have, if configuration has a tenth of what control may send",
        Figure(
            "KB",
            constant(
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
            lambda size, delay: Computed(delay.at(size.gateways), f"{num(size.gateways)} gateways"),
            (Need("configuration.gateways", "in_force_s"),),
            SIZE.change_deadline,
        ),
        program.CONFIGURATION,
    ),
    Row(
        "control",
        "messages",
        "bytes a second of reports to one place, were each gateway to send 1 KB every 10 s",
        Figure("KB/s", constant(SIZE.gateways / 10, f"{num(SIZE.gateways)} gateways × 1 KB ÷ 10 s")),
        program.REPORTS,
    ),
)


def _per_machine(quantity: str, text: str) -> Computation:
    def computation(size: Size, slope: Slope) -> Computed:
        value = slope.cores(size.followers) if quantity == "cores" else slope.at(size.followers)
        return Computed(value, f"{num(size.followers)} followers, {num(size.purges)} purges/s, {text}")

    return computation


def _one_fewer(size: Size, core: Slope) -> Computed:
    text = (
        f"{num(size.gateways)} ÷ {num(size.control_machines - 1)} = {num(FOLLOWERS_WITHOUT_ONE)} "
        "followers, in pages"
    )
    return Computed(core.cores(FOLLOWERS_WITHOUT_ONE), text)


def _top_relay(size: Size, core: Slope) -> Computed:
    below = size.control_machines - 1
    return Computed(core.cores(below), f"{num(below)} relays below it, {num(size.purges)} purges/s")


def _connects(size: Size, connects: Slope) -> Computed:
    below = size.control_machines - 1
    return Computed(
        connects.at(below), f"{num(below)} relays with 400 followers in all; {num(size.gateways)} at the size"
    )


def _sent(size: Size, page_bytes: Slope) -> Computed:
    page = page_bytes.at(EVENTS_PER_PAGE)
    text = (
        f"{num(size.followers)} followers × {num(1 / program.GATHER)} pages/s × {num(page)} bytes in gzip × 8"
    )
    return Computed(size.followers / program.GATHER * page * 8 / 1e6, text)


MACHINE = (
    Row(
        "machine",
        "state",
        "followers of each",
        Figure("", constant(SIZE.followers, f"{num(SIZE.gateways)} ÷ {num(SIZE.control_machines)}")),
        program.RELAY,
    ),
    Row(
        "machine",
        "state",
        "regions with a control machine of their own",
        Figure(
            "",
            constant(
                SIZE.control_machines,
                f"{num(SIZE.control_machines)} machines, " f"{num(SIZE.regions)} regions",
            ),
            allowed=SIZE.regions,
            minimum=True,
        ),
        Mechanism("a control machine in each region, that goes on when the region is cut off"),
    ),
    Row(
        "machine",
        "messages",
        "polls a second, one event a page",
        Figure(
            "/s",
            constant(SIZE.followers * SIZE.purges, f"{num(SIZE.followers)} followers × {num(SIZE.purges)}/s"),
        ),
        program.POLLER,
    ),
    Row(
        "machine",
        "processor",
        "a log that tells one by one: processor time",
        Figure(
            "cores", _per_machine("cores", "an event a page"), (Need("logs.followers", "core_share"),), 1.0
        ),
        program.POLLER,
    ),
    Row(
        "machine",
        "messages",
        "polls a second that a log which tells one by one answered; 95 in 100 of those needed",
        Figure(
            "/s",
            _per_machine("/s", "an event a page, if it keeps up"),
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
            _per_machine("ms", "an event a page, if it keeps up"),
            (Need("logs.followers", "delay_p100_ms"),),
            1e3 * SIZE.purge_deadline,
        ),
        program.POLLER,
    ),
    Row(
        "machine",
        "memory",
        "a log that tells one by one: memory",
        Figure("MB", _per_machine("MB", "an event a page"), (Need("logs.followers", "memory_mb"),)),
        program.POLLER,
    ),
    Row(
        "machine",
        "processor",
        "a log that tells in pages: processor time",
        Figure("cores", _per_machine("cores", "in pages"), (Need("logs.pages", "core_share"),), 1.0),
        program.RELAY,
    ),
    Row(
        "machine",
        "time",
        "a log that tells in pages: the longest from a purge to its last follower",
        Figure(
            "ms",
            _per_machine("ms", "in pages"),
            (Need("logs.pages", "delay_p100_ms"),),
            1e3 * SIZE.purge_deadline,
        ),
        program.RELAY,
    ),
    Row(
        "machine",
        "processor",
        "a relay: processor time",
        Figure("cores", _per_machine("cores", "in pages"), (Need("relay.followers", "core_share"),), 1.0),
        program.RELAY,
    ),
    Row(
        "machine",
        "memory",
        "a relay: memory",
        Figure("MB", _per_machine("MB", "in pages"), (Need("relay.followers", "memory_mb"),)),
        program.RELAY,
    ),
    Row(
        "machine",
        "time",
        "a relay: the longest from a purge to its last follower",
        Figure(
            "ms",
            _per_machine("ms", "in pages"),
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
        Figure("cores", _top_relay, (Need("relay.tiers", "core_share_top"),), 1.0),
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
        Figure("Mbit/s", _sent, (Need("control.page_events", "page_bytes_gzip"),)),
        program.RELAY,
    ),
    Row(
        "machine",
        "messages",
        "confirmed numbers heard a second, in pages",
        Figure(
            "/s",
            constant(
                SIZE.followers / program.GATHER, f"{num(SIZE.followers)} followers ÷ {num(program.GATHER)} s"
            ),
        ),
        program.RELAY,
    ),
    Row(
        "machine",
        "messages",
        "answers a second for changes of configuration",
        Figure(
            "/s", constant(SIZE.followers * SIZE.changes, f"{num(SIZE.followers)} × {num(SIZE.changes)}/s")
        ),
        program.CONFIGURATION,
    ),
)
