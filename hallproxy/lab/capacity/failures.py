"""Rows of the failures table: what each failure loses and costs until service is fully restored."""

import json
from dataclasses import dataclass

from hallproxy.lab.capacity import program
from hallproxy.lab.capacity.gateway_rows import READY, SITE_START, START_BYTES
from hallproxy.lab.capacity.rows import Computed, Figure, Mechanism, Need, Slope, Slopes, amount, num, sources
from hallproxy.lab.capacity.size import SIZE, Size
from hallproxy.run import change_log_poller, shutdown

POLL_FAILURE_TIME = change_log_poller.POLL_WAIT / 1000 + change_log_poller.RESPONSE_TIMEOUT
"""s after which an unanswered poll fails."""
RACK_STORES = 10
"""Stores of a rack, as an example: the operators give no number of machines per rack."""
GROUPS = 256
"""Groups of objects; a whole page purges each of them."""
EVENT_BYTES = len(json.dumps({"seq": 10**9, "invalidate": {"object": "0" * 16, "time": 1_700_000_000_000}}))
"""An uncompressed purge in a page."""


@dataclass(frozen=True)
class Failure:
    """`frequency` is the operators'; `loss` and `detection` are text; `recovery` and `cost` are computed."""

    name: str
    frequency: str
    loss: str
    detection: str
    recovery: Figure
    cost: Figure
    cost_text: str
    mechanism: Mechanism


def _objects_requested(objects: float) -> Figure:
    """A store's objects requested again, each once, at its rate of requests."""
    rate = SIZE.requests / SIZE.stores
    text = f"{num(objects)} objects asked for again at {num(rate)} requests/s, at the very least"
    return Figure("min", lambda size: Computed(objects / rate / 60, text))


def _refilled(stores: float) -> Figure:
    objects = SIZE.objects / SIZE.stores
    text = f"{num(stores)} × {num(objects)} objects × {num(SIZE.body_kb)} KB"
    return Figure("TB", lambda size: Computed(stores * objects * SIZE.body_kb / 1e9, text))


def _list_changes(stores: float) -> Figure:
    def computation(size: Size, change: Slope) -> Computed:
        ms = change.at(size.stores)
        return Computed(3 * stores * ms, f"3 × {num(stores)} changes of the list × {num(ms)} ms")

    return Figure("ms of each gateway's loop", computation, (Need("control.members", "core_ms"),))


def _ready(size: Size, ready: Slope) -> Computed:
    ms = ready.at(size.stores)
    return Computed(ms / 1e3, f"{num(ms)} ms from start to listening, {num(size.stores)} members")


def _start_bytes(size: Size, known: Slope, poll: Slope) -> Computed:
    kb = known.at(size.stores), poll.at(size.stores)
    return Computed(sum(kb), f"{num(kb[0])} KB that its configuration knows + {num(kb[1])} KB of a poll")


def _site_mb(size: Size, known: Slope, poll: Slope) -> Computed:
    kb = known.at(size.stores) + poll.at(size.stores)
    return Computed(size.site * kb / 1e3, f"{num(size.site)} gateways × {num(kb)} KB")


def _site_start(size: Size, slowest: Slope) -> Computed:
    ms = slowest.at(size.site)
    return Computed(ms / 1e3, f"{num(size.site)} gateways start on the cores of one machine")


def _missed_events(size: Size) -> Computed:
    events = size.purges * size.partition
    seconds = events * EVENT_BYTES / size.control_bytes
    text = (
        f"{num(size.purges)}/s × {num(size.partition)} s = {num(events)} events × {num(EVENT_BYTES)} bytes "
        f"÷ {num(size.control_bytes)} bytes/s"
    )
    return Computed(seconds, text)


def _whole_page(size: Size, listed: Slope) -> Computed:
    each = (listed.at(size.stores) + GROUPS * EVENT_BYTES) / size.control_bytes
    text = (
        f"({num(listed.at(size.stores))} bytes of the list + {num(GROUPS)} groups × "
        f"{num(EVENT_BYTES)} bytes) "
        f"÷ {num(size.control_bytes)} bytes/s"
    )
    return Computed(each, text)


def _whole_pages(size: Size, listed: Slope) -> Computed:
    each = (listed.at(size.stores) + GROUPS * EVENT_BYTES) / 1e6
    text = f"{num(size.region_gateways)} gateways × {num(each)} MB, plain"
    return Computed(size.region_gateways * each, text)


def _moved_followers(size: Size) -> Computed:
    followers = size.followers
    text = f"{num(followers)} followers connect anew to {num(size.control_machines - 1)} machines"
    return Computed(followers / (size.control_machines - 1), text)


LISTED = Need("control.members", "bytes_whole")
STORE_OBJECTS = SIZE.objects / SIZE.stores

FAILURES = (
    Failure(
        "a store's machine",
        f"{num(SIZE.failed_a_day)} machines a day, if all were stores",
        f"{num(STORE_OBJECTS)} copies; the attempts that are out at it",
        "by each gateway for itself: two failed connects, or answers that stay away; by all through the list",
        _objects_requested(STORE_OBJECTS),
        _refilled(1),
        "fills from parents and origin",
        program.MODULE,
    ),
    Failure(
        "a gateway's machine",
        f"{num(SIZE.failed_a_day)} machines a day, if all were gateways",
        f"{num(SIZE.gateway_rate)} requests/s until clients ask another; nothing that is kept elsewhere too",
        "by clients and the front ahead of it; nothing here tells that a gateway is gone",
        Figure("s", _ready, (READY,)),
        Figure("KB", _start_bytes, START_BYTES),
        "what a start asks for",
        program.START,
    ),
    Failure(
        "a planned restart or replacement",
        f"{num(SIZE.restarted_a_day)} a day",
        "nothing: what is open is answered, what comes late refused with a time to come back",
        "told ahead: clients by go-away, the front by readiness",
        Figure(
            "s",
            lambda size, ready: Computed(
                shutdown.MAX_LATE_REQUEST_WAIT + ready.at(size.stores) / 1e3,
                f"{num(shutdown.MAX_LATE_REQUEST_WAIT)} s at most to drain"
                f" + {num(ready.at(size.stores))} ms to listen",
            ),
            (READY,),
        ),
        Figure(
            "s of a core a day",
            lambda size, core: Computed(
                size.restarted_a_day * core.at(size.stores) / 1e3,
                f"{num(size.restarted_a_day)} × {num(core.at(size.stores))} ms",
            ),
            (Need("starts.members", "core_ms"),),
        ),
        "starts",
        program.DRAIN,
    ),
    Failure(
        f"a rack or switch; for each {RACK_STORES} stores on it",
        f"{num(SIZE.racks_a_week)} a week",
        f"{num(RACK_STORES)} of a zone's {num(SIZE.zone_stores)} stores and "
        f"{num(RACK_STORES * STORE_OBJECTS)} copies",
        "as a store's machine, at all of them at once; a switch that comes back brings the copies back",
        _objects_requested(STORE_OBJECTS),
        _list_changes(RACK_STORES),
        "changes of the list",
        program.MEMBERS,
    ),
    Failure(
        "a zone",
        f"at most {num(SIZE.zones_a_year)} a year",
        f"{num(SIZE.zone_stores)} stores with {num(SIZE.zone_stores * STORE_OBJECTS)} copies, "
        f"{num(SIZE.zone_gateways)} gateways with {num(SIZE.requests / SIZE.zones)} requests/s",
        "stores as one machine each, all at once; gateways by clients and the front",
        _objects_requested(STORE_OBJECTS),
        _list_changes(SIZE.zone_stores),
        "changes of the list",
        program.MEMBERS,
    ),
    Failure(
        "a zone: what the other two of its region take over",
        f"at most {num(SIZE.zones_a_year)} a year",
        "nothing further while they carry it",
        "by their own clients' requests",
        Figure("", lambda size: Computed(float("nan"), "until the zone is back; not worked out")),
        Figure(
            "requests/s at each gateway",
            lambda size: Computed(
                size.requests / size.zones / (2 * size.zone_gateways),
                f"{num(size.requests / size.zones)}/s ÷ 2 zones of {num(size.zone_gateways)} gateways, "
                f"over the {num(size.gateway_rate)}/s they have",
            ),
        ),
        "requests more",
        Mechanism("spare room in each zone, planned and watched"),
    ),
    Failure(
        "a region cut off for an hour: the cut",
        "now and then",
        f"news at {num(SIZE.region_gateways)} gateways: {num(SIZE.purges * SIZE.partition)} purges and "
        f"{num(SIZE.changes * SIZE.partition)} changes of configuration; own copies rest",
        f"by each gateway: a poll fails after {num(POLL_FAILURE_TIME)} s",
        Figure(
            "s",
            lambda size: Computed(program.STALE_WATCH_TIME, "own copies rest so long after the last news"),
            allowed=SIZE.purge_deadline,
        ),
        Figure(
            "requests/s to stores more",
            lambda size: Computed(
                size.gateway_rate * size.region_gateways,
                f"{num(size.gateway_rate)}/s × {num(size.region_gateways)} gateways, at most",
            ),
        ),
        "own copies that rest",
        Mechanism("news inside a region that is cut off, from a log of its own"),
    ),
    Failure(
        "a region cut off for an hour: its return, told event by event",
        "now and then",
        "nothing more; what was purged meanwhile is not served until it is told",
        "the first answer of the log",
        Figure("s", _missed_events, allowed=SIZE.purge_deadline),
        Figure(
            "GB",
            lambda size: Computed(
                size.region_gateways * size.purges * size.partition * EVENT_BYTES / 1e9,
                f"{num(size.region_gateways)} gateways × {num(size.purges * size.partition)} × "
                f"{num(EVENT_BYTES)} bytes",
            ),
        ),
        "to the region, plain",
        program.POLLER,
    ),
    Failure(
        "a region cut off for an hour: its return, by a whole page",
        "now and then",
        "all own copies; every store's copies bear an age limit for a while",
        "the first answer of a relay whose ring no longer reaches back",
        Figure("s", _whole_page, (LISTED,), SIZE.purge_deadline),
        Figure("MB", _whole_pages, (LISTED,)),
        "to the region",
        program.RELAY,
    ),
    Failure(
        "a control machine",
        "as other machines",
        f"news at {num(SIZE.followers)} gateways until they follow another",
        f"at once where the connection is reset; else a poll fails after {num(POLL_FAILURE_TIME)} s",
        Figure(
            "ms",
            lambda size, delay: Computed(
                delay.at(size.control_machines - 1),
                f"a purge to its last follower; {num(size.control_machines - 1)} relays with 400 followers, "
                f"{num(size.gateways)} at the size",
            ),
            (Need("relay.changeover", "delay_p100_ms"),),
            1e3 * SIZE.purge_deadline,
        ),
        Figure("followers more at each other", _moved_followers),
        "changing over",
        program.RELAY,
    ),
    Failure(
        "the change log itself",
        "not told",
        "all news everywhere; own copies rest at all gateways",
        f"by each follower: a poll fails after {num(POLL_FAILURE_TIME)} s",
        Figure(
            "s",
            lambda size: Computed(
                program.STALE_WATCH_TIME, "own copies rest; news come when the log is back"
            ),
        ),
        Figure("requests/s to stores more", lambda size: Computed(size.requests, "all requests, at most")),
        "own copies that rest",
        Mechanism("a second log with the same numbers"),
    ),
    Failure(
        "all gateways of a site at once: they stop",
        "not told",
        f"{num(SIZE.site)} gateways with {num(SIZE.site * SIZE.gateway_rate)} requests/s",
        "by clients and the front ahead of them",
        Figure("s", _site_start, (SITE_START,)),
        Figure("MB", _site_mb, START_BYTES),
        "starts",
        program.START,
    ),
    Failure(
        "all gateways of a site at once: they come back",
        "not told",
        "own copies and what each believed of the stores",
        "by the stores: connections anew, from empty",
        Figure("s", _site_start, (SITE_START,)),
        Figure(
            "connections opened",
            lambda size: Computed(
                size.site * program.BOUNDS.connections,
                f"{num(size.site)} × {num(program.BOUNDS.connections)} at most",
            ),
        ),
        "at stores",
        program.START,
    ),
    Failure(
        "a change of configuration that is wrong, told to all",
        f"{num(SIZE.changes_a_day)} changes a day, not told how many are wrong",
        "whatever it breaks, everywhere within seconds",
        "a file that can't be used changes nothing and is a line in each gateway's own log",
        Figure("s", lambda size, of: Computed(of.at(size.gateways), f"{num(size.gateways)} gateways"),
               (Need("configuration.gateways", "in_force_s"),), SIZE.change_deadline),
        Figure("", lambda size: Computed(float("nan"), "not worked out")),
        "taking it back",
        Mechanism("a change tried at few gateways first, and taken back by itself"),
    ),
)  # fmt: skip


def failure_line(failure: Failure, size: Size, slopes: Slopes) -> list[str]:
    """The cells of a failure's line; the verdict is that of its recovery time."""
    recovery, recovery_slopes = failure.recovery.compute(size, slopes)
    cost, cost_slopes = failure.cost.compute(size, slopes)
    verdict = failure.recovery.verdict(recovery.value) if failure.mechanism.exists else "**missing**"
    return [
        failure.name,
        failure.frequency,
        failure.loss,
        failure.detection,
        _result(recovery, failure.recovery),
        _result(cost, failure.cost) + f" ({failure.cost_text})",
        sources([*recovery_slopes, *cost_slopes]),
        failure.recovery.bound(),
        verdict,
        str(failure.mechanism),
    ]


def _result(computed: Computed, figure: Figure) -> str:
    result = "not measured" if computed.value != computed.value else amount(computed.value, figure.unit)
    return f"{computed.text} = {result}" if computed.text else result
