"""Rows of the gateway's own work: serving, decisions, start, and the second front."""

from hallproxy.decisions.valuation import COUNT_HALVING_INTERVAL, COUNTS_MAX
from hallproxy.lab.capacity import program
from hallproxy.lab.capacity.control_rows import purges_single
from hallproxy.lab.capacity.rows import Computed, Figure, Mechanism, Need, Row, Slope, constant, num
from hallproxy.lab.capacity.size import SIZE, Size
from hallproxy.repository.front import MAX_RENDERED_INDEX_BYTES
from hallproxy.run import change_log_poller, shutdown
from hallproxy.wire.frames import MAX_FRAME_BYTES


def _decisions(size: Size, decision: Slope) -> Computed:
    us = decision.at(size.stores)
    text = f"{num(program.PARTS)} parts/s × {num(us)} µs among {num(size.stores)} members"
    return Computed(program.PARTS * us / 1e6, text)


def _bodies(size: Size, body: Slope) -> Computed:
    us = body.at(program.PART_KB)
    return Computed(
        program.PARTS * us / 1e6, f"{num(program.PARTS)} parts/s × {num(us)} µs for {num(program.PART_KB)} KB"
    )


def _bytes_per_core(size: Size, body: Slope) -> Computed:
    us = body.at(program.PART_KB)
    return Computed(program.PART_KB * 1e3 / us, f"{num(program.PART_KB)} KB ÷ {num(us)} µs of a core")


def _cores_by_rate(size: Size, core: Slope) -> Computed:
    return Computed(core.cores(size.gateway_rate), f"measured by rate, at {num(size.gateway_rate)}/s")


def _serving(size: Size, decision: Slope, body: Slope) -> Computed:
    each = decision.at(size.stores), body.at(program.PART_KB)
    text = f"{num(program.PARTS)} parts/s × ({num(each[0])} + {num(each[1])}) µs, each a core's"
    return Computed(program.PARTS * sum(each) / 1e6, text)


def _fleet_cores(size: Size, decision: Slope, body: Slope) -> Computed:
    cores = _serving(size, decision, body).value
    return Computed(size.gateways * cores, f"{num(size.gateways)} gateways × {num(cores)} cores")


DECISION = Need("decisions.members", "decision_us")
BODY = Need("serving.body", "core_us")

SERVING = (
    Row(
        "serving",
        "messages",
        "requests a second",
        Figure("/s", constant(SIZE.gateway_rate, f"{num(SIZE.requests)}/s ÷ {num(SIZE.gateways)} gateways")),
        program.ONE_LOOP,
    ),
    Row(
        "serving",
        "messages",
        "body of a request in one frame, mean",
        Figure(
            "KB",
            constant(SIZE.body_kb, f"{num(SIZE.bits)} bit/s ÷ 8 ÷ {num(SIZE.requests)}/s"),
            allowed=MAX_FRAME_BYTES / 1e3,
        ),
        program.FRAMES,
    ),
    Row(
        "serving",
        "messages",
        "parts a second, if bodies come in the largest parts",
        Figure(
            "/s",
            constant(
                program.PARTS,
                f"{num(SIZE.gateway_rate)}/s × {num(SIZE.body_kb)} KB ÷ {num(program.PART_KB)} KB",
            ),
        ),
        program.FRAMES,
    ),
    Row(
        "serving",
        "messages",
        "bytes a second to clients",
        Figure("MB/s", constant(SIZE.sent_mb, f"{num(SIZE.bits)} bit/s ÷ 8 ÷ {num(SIZE.gateways)} gateways")),
        program.ONE_LOOP,
    ),
    Row(
        "serving",
        "processor",
        "bytes of bodies by one core",
        Figure("MB/s", _bytes_per_core, (BODY,), SIZE.sent_mb, True),
        program.ONE_LOOP,
    ),
    Row(
        "serving",
        "processor",
        "processor time of decisions",
        Figure("cores", _decisions, (DECISION,), 1.0),
        program.MODULE,
    ),
    Row(
        "serving",
        "processor",
        "processor time of bodies",
        Figure("cores", _bodies, (BODY,), 1.0),
        program.ONE_LOOP,
    ),
    Row(
        "serving",
        "processor",
        "processor time of as many requests of 1 KB",
        Figure("cores", _cores_by_rate, (Need("serving.rate", "core_percent"),), 1.0),
        program.ONE_LOOP,
    ),
    Row(
        "serving",
        "processor",
        "processor time of both",
        Figure("cores", _serving, (DECISION, BODY), 1.0),
        program.PROCESSES,
    ),
    Row(
        "serving",
        "processor",
        "cores of all gateways for that",
        Figure("cores", _fleet_cores, (DECISION, BODY)),
        program.PROCESSES,
    ),
    Row(
        "serving",
        "state",
        "requests open at once, for each 0.1 s one is",
        Figure(
            "",
            constant(
                program.PARTS * program.OPEN_TIME, f"{num(program.PARTS)}/s × {num(program.OPEN_TIME)} s"
            ),
            allowed=program.BOUNDS.requests,
        ),
        program.LIMITS,
    ),
    Row(
        "serving",
        "memory",
        "bodies held at once, for each 0.1 s one is",
        Figure(
            "MB",
            constant(
                SIZE.sent_mb * program.OPEN_TIME,
                f"{num(SIZE.sent_mb)} MB/s × {num(program.OPEN_TIME)} s; "
                f"allowed: a gateway's with {num(program.MEMORY_MB)} MB",
            ),
            allowed=program.BOUNDS.body_bytes / 1e6,
        ),
        program.LIMITS,
    ),
    Row(
        "serving",
        "state",
        "own copies held, of mean size",
        Figure(
            "",
            constant(
                program.BOUNDS.local_cache_bytes / 1e3 / SIZE.body_kb,
                f"{num(program.BOUNDS.local_cache_bytes / 1e6)} MB ÷ {num(SIZE.body_kb)} KB, of "
                f"{num(SIZE.objects)} objects",
            ),
        ),
        program.COPIES,
    ),
)


def _decision(size: Size, decision: Slope) -> Computed:
    return Computed(
        decision.at(size.stores), f"{num(size.stores)} members; allowed: 1 s ÷ {num(program.PARTS)} parts"
    )


DECISIONS = (
    Row(
        "decision",
        "messages",
        "events a second, a request's and its outcome's at the least",
        Figure("/s", constant(2 * program.PARTS, f"2 × {num(program.PARTS)} parts/s")),
        program.MODULE,
    ),
    Row(
        "decision",
        "processor",
        "a decision, by members",
        Figure("µs", _decision, (DECISION,), 1e6 / program.PARTS),
        program.MODULE,
    ),
    Row(
        "decision",
        "processor",
        "a decision, by zones",
        Figure(
            "µs",
            lambda size, slope: Computed(slope.at(size.zones), f"{num(size.zones)} zones"),
            (Need("decisions.zones", "decision_us"),),
            1e6 / program.PARTS,
        ),
        program.MODULE,
    ),
    Row(
        "decision",
        "processor",
        "a decision, by parents, were there one in each zone",
        Figure(
            "µs",
            lambda size, slope: Computed(slope.at(size.zones), f"{num(size.zones)} parents"),
            (Need("decisions.parents", "decision_us"),),
            1e6 / program.PARTS,
        ),
        program.MODULE,
    ),
    Row(
        "decision",
        "processor",
        "a decision, by objects counted",
        Figure(
            "µs",
            lambda size, slope: Computed(slope.at(COUNTS_MAX), f"{num(COUNTS_MAX)}, the most counted"),
            (Need("decisions.objects", "decision_us"),),
            1e6 / program.PARTS,
        ),
        program.MODULE,
    ),
    Row(
        "decision",
        "memory",
        "memory, by members",
        Figure(
            "KB",
            lambda size, slope: Computed(slope.at(size.stores), f"{num(size.stores)} members"),
            (Need("decisions.members", "memory_kb"),),
        ),
        program.MODULE,
    ),
    Row(
        "decision",
        "memory",
        "memory, by zones",
        Figure(
            "KB",
            lambda size, slope: Computed(slope.at(size.zones), f"{num(size.zones)} zones"),
            (Need("decisions.zones", "memory_kb"),),
        ),
        program.MODULE,
    ),
    Row(
        "decision",
        "memory",
        "memory, by objects counted",
        Figure(
            "KB",
            lambda size, slope: Computed(slope.at(COUNTS_MAX), f"{num(COUNTS_MAX)} objects"),
            (Need("decisions.objects", "memory_kb"),),
        ),
        program.MODULE,
    ),
    Row(
        "decision",
        "state",
        "objects that a gateway hears of in 10 s, were each asked for once",
        Figure(
            "",
            constant(
                SIZE.gateway_rate * COUNT_HALVING_INTERVAL / program.SECOND,
                f"{num(SIZE.gateway_rate)}/s × {num(COUNT_HALVING_INTERVAL / program.SECOND)} s; "
                "counts are halved then",
            ),
            allowed=COUNTS_MAX,
        ),
        program.MODULE,
    ),
    Row(
        "decision",
        "state",
        "of all objects, those that a gateway can have counted",
        Figure(
            "in a million",
            constant(
                1e6 * COUNTS_MAX / SIZE.objects,
                f"{num(COUNTS_MAX)} ÷ {num(SIZE.objects)}",
            ),
        ),
        program.MODULE,
    ),
)


def _ready(size: Size, ready: Slope) -> Computed:
    return Computed(ready.at(size.stores), f"{num(size.stores)} members in the configuration's list")


def _start_core_time(size: Size, core: Slope) -> Computed:
    ms = core.at(size.stores)
    text = f"{num(size.restarted_a_day)} starts a day × {num(ms)} ms"
    return Computed(size.restarted_a_day * ms / 1e3, text)


def _start_bytes(size: Size, known: Slope, poll: Slope) -> Computed:
    kb = known.at(size.stores), poll.at(size.stores)
    text = f"{num(kb[0])} KB that its configuration knows + {num(kb[1])} KB of the first poll"
    return Computed(sum(kb), text)


def _start_seconds(size: Size, known: Slope, poll: Slope) -> Computed:
    kb = _start_bytes(size, known, poll).value
    return Computed(1e3 * kb / size.control_bytes, f"{num(kb)} KB ÷ {num(size.control_bytes)} bytes/s")


def _site_start(size: Size, slowest: Slope) -> Computed:
    return Computed(slowest.at(size.site), f"{num(size.site)} gateways of a site on the cores of one machine")


def _rollout(size: Size, ready: Slope) -> Computed:
    ms, at_once = ready.at(size.stores), size.gateways / 100
    drain = num(shutdown.MAX_LATE_REQUEST_WAIT)
    text = f"100 steps of {num(at_once)} gateways × ({drain} s of drain + {num(ms)} ms)"
    return Computed(100 * (shutdown.MAX_LATE_REQUEST_WAIT + ms / 1e3) / 60, text)


READY = Need("starts.members", "ready_ms")
START_BYTES = Need("starts.members", "known_kb"), Need("starts.members", "poll_kb")
SITE_START = Need("starts.together", "slowest_ms")

STARTS = (
    Row(
        "start",
        "state",
        "own copies that a restart drops, at most",
        Figure("MB", constant(program.BOUNDS.local_cache_bytes / 1e6, "the program's own bound")),
        program.COPIES,
    ),
    Row(
        "start",
        "memory",
        "the most while it starts",
        Figure(
            "MB",
            lambda size, peak: Computed(peak.at(size.stores), f"{num(size.stores)} members"),
            (Need("starts.members", "peak_mb"),),
        ),
        program.START,
    ),
    Row(
        "start",
        "messages",
        "starts and restarts, if all were gateways: one every",
        Figure("s", constant(86_400 / SIZE.restarted_a_day, f"86,400 s ÷ {num(SIZE.restarted_a_day)}")),
        program.START,
    ),
    Row(
        "start",
        "time",
        "from the process's start until it listens",
        Figure("ms", _ready, (READY,)),
        program.START,
    ),
    Row(
        "start",
        "time",
        "the same where the log does not answer: at most so much more",
        Figure("s", constant(change_log_poller.FIRST_RESPONSE_TIMEOUT, "the program's own bound")),
        program.START,
    ),
    Row(
        "start",
        "processor",
        "processor time of a day's starts",
        Figure("s", _start_core_time, (Need("starts.members", "core_ms"),)),
        program.START,
    ),
    Row(
        "start",
        "time",
        "the same of all gateways of a site at once: the slowest",
        Figure("ms", _site_start, (SITE_START,)),
        program.START,
    ),
    Row(
        "start",
        "messages",
        "bytes that a start takes",
        Figure("KB", _start_bytes, START_BYTES),
        program.START,
    ),
    Row(
        "start",
        "messages",
        "seconds of what control may send that one start uses up",
        Figure("s", _start_seconds, START_BYTES),
        program.START,
    ),
    Row(
        "start",
        "time",
        "a planned stop: the longest until its last answer, classes' deadlines aside",
        Figure("s", constant(shutdown.MAX_LATE_REQUEST_WAIT, "the program's own bound")),
        program.DRAIN,
    ),
    Row(
        "start",
        "time",
        "all gateways restarted, a hundredth at a time",
        Figure("min", _rollout, (READY,)),
        Mechanism("a roll-out over the fleet that waits for each step"),
    ),
)


FILES = Need("second.files", "core_us")


def _files(size: Size, core: Slope) -> Computed:
    us = core.at(size.body_kb)
    return Computed(1e6 / us, f"1 s ÷ {num(us)} µs for {num(size.body_kb)} KB")


def _files_cores(size: Size, core: Slope) -> Computed:
    us = core.at(size.body_kb)
    return Computed(
        size.gateway_rate * us / 1e6, f"{num(size.gateway_rate)}/s × {num(us)} µs for {num(size.body_kb)} KB"
    )


def _indexes(size: Size, core: Slope) -> Computed:
    us = core.at(100)
    return Computed(1e6 / us, f"1 s ÷ {num(us)} µs")


def _first_requests(size: Size, core: Slope) -> Computed:
    us = core.at(PROJECTS)
    return Computed(1e6 / us, f"1 s ÷ {num(us)} µs, {num(PROJECTS)} projects held")


PROJECTS = 6_400
"""Projects held, as an example: the operators give no number."""

SECOND_FRONT = (
    Row(
        "second",
        "state",
        "indexes kept in the forms they were served in, at most",
        Figure("MB", constant(MAX_RENDERED_INDEX_BYTES / 1e6, "the program's own bound")),
        program.FRONT,
    ),
    Row(
        "second",
        "messages",
        "purges a second that each front hears of",
        Figure("/s", constant(SIZE.purges, "as a gateway")),
        program.POLLER,
    ),
    Row(
        "second",
        "processor",
        "indexes of 100 files by one core, from memory",
        Figure("/s", _indexes, (Need("second.indexes", "core_us"),)),
        program.FRONT,
    ),
    Row(
        "second",
        "processor",
        "files of the mean size by one core, from memory",
        Figure("/s", _files, (FILES,)),
        program.FRONT,
    ),
    Row(
        "second",
        "processor",
        "a gateway's bytes a second, were all of them such files",
        Figure("cores", _files_cores, (FILES,), 1.0),
        program.FRONT,
    ),
    Row(
        "second",
        "processor",
        "projects asked for a first time, by one core",
        Figure("/s", _first_requests, (Need("second.projects", "core_us"),)),
        program.FRONT,
    ),
    Row(
        "second",
        "memory",
        f"memory with {num(PROJECTS)} projects held",
        Figure(
            "MB",
            lambda size, memory: Computed(memory.at(PROJECTS) / 1e3, "resident, the process itself included"),
            (Need("second.projects", "memory_kb"),),
        ),
        program.FRONT,
    ),
    Row(
        "second",
        "processor",
        "purges, one event a page: as the gateway's control",
        Figure("cores", purges_single, (Need("control.purge_rate", "core_share"),), SIZE.control_core),
        program.POLLER,
    ),
)
