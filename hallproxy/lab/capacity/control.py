"""Cost of control traffic at one gateway: a real process with a configuration that follows a stand-in log.

Bytes are those that the log counted on the gateway's connections: requests and answers, headers included.
"""

from __future__ import annotations

import gzip
import json
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

from hallproxy.lab.capacity import control_fleet as fleet
from hallproxy.lab.capacity.children import Child, Program, cpu_s, memory_mb, until
from hallproxy.lab.capacity.hollow import FIRST
from hallproxy.lab.capacity.registry import Measured, MeasurementError, Quantity, Run, measurement

PURGES_PER_S = 180.0  # at the operators' size
MEMBERS = 1_500  # stores at the operators' size
MEMBERS_TINY = 60
MAX_EVENT_BYTES = 400.0  # of an event in a page of its own, both ways, with the protocol's headers and JSON
CORE_PERCENT = 100.0  # of one core
SHARED_PROCESS_GATEWAYS = 10  # hollow gateways in one process, one event a page


def purging_s(run: Run) -> float:
    """How long purges are published at one size."""
    return 0.3 if run.tiny else 8.0


def list_size(run: Run) -> int:
    return MEMBERS_TINY if run.tiny else MEMBERS


def require(condition: bool, error: str) -> None:
    if not condition:
        raise MeasurementError(error)


@contextmanager
def gateway(run: Run, log: Child, members: int, *options: str) -> Iterator[Program]:
    """A real gateway that follows the log, starting from the list in its configuration."""
    known = {"seq": FIRST, "results": [{"seq": FIRST, "fleet": fleet.list_event(members)}]}
    config = {
        "name": "measured",
        "listen": "127.0.0.1:0",
        "seed": f"{run.seed:x}",
        "limits": {"memory_mb": 256, "sockets": 1024},
        "changelog": log.first_message["address"],
        "flow_bytes_per_s": 6_000_000,
        "link_bytes_per_s": 50_000_000,
        "known": known,
        "settings": fleet.settings(),
    }
    path = run.scratch_dir / "gateway.json"
    path.write_text(json.dumps(config))
    with Program(*options, EDGE_CONFIG=str(path), EDGE_NAME="measured") as program:
        program.listening_address()
        yield program
        require(not any("change log:" in x or "fault" in x for x in program.lines), "\n".join(program.lines))


@dataclass
class PurgeFigures:
    """Cost of some purges that each follower of a log received; bytes and answers are one follower's."""

    events: int
    elapsed_s: float
    cpu_s: tuple[float, ...]  # of each process
    bytes_both: float  # sent to the log and received from it
    answers: float  # with events

    @property
    def core_share(self) -> float:
        return CORE_PERCENT * self.cpu_s[0] / self.elapsed_s

    @property
    def bytes_per_s(self) -> float:
        return self.bytes_both / self.elapsed_s

    @property
    def us_per_event(self) -> float:
        return self.cpu_s[0] / self.events * 1e6

    @property
    def bytes_per_event(self) -> float:
        return self.bytes_both / self.events


def measure_purges(log: Child, rate: float, count: int, *pids: int, per_process: int = 1) -> PurgeFigures:
    """Publish purges and wait until all followers, `per_process` in each process, have confirmed them.

    Raises MeasurementError if a follower was sent one twice or not at all.
    """
    followers = per_process * len(pids)
    before, cpu, began = log.ask("report"), [cpu_s(pid) for pid in pids], time.monotonic()
    require(
        before["followers"] == followers, f"{before['followers']} followers of the log, {followers} expected"
    )
    log.command("purge", rate=rate, count=count)
    time.sleep(count / rate)
    until(
        lambda: log.ask("report")["confirmed"] == before["seq"] + count,
        f"{count} purges confirmed by all followers",
    )
    took, spent = time.monotonic() - began, [cpu_s(pid) - start for pid, start in zip(pids, cpu, strict=True)]
    after = log.ask("report")
    sent = after["told"] - before["told"]
    require(sent == count * followers, f"{count} purges, but {sent} events sent; followers: {followers}")
    require(after["connects"] == before["connects"], "a gateway opened another connection to the log")
    answers = after["polls"] - before["polls"] - (after["empty"] - before["empty"])
    bytes_both = sum(after[name] - before[name] for name in ("bytes_in", "bytes_out"))
    return PurgeFigures(count, took, tuple(spent), bytes_both / followers, answers / followers)


def measure_idle(log: Child, pid: int, idle_s: float) -> Measured:
    """One follower's figures while nothing is published: its polls time out without events."""
    before, cpu, began = log.ask("report"), cpu_s(pid), time.monotonic()
    time.sleep(idle_s)
    until(lambda: log.ask("report")["empty"] > before["empty"], "a poll that timed out")
    took, spent, after = time.monotonic() - began, cpu_s(pid) - cpu, log.ask("report")
    require(after["told"] == before["told"], "the log sent events though none were published")
    bytes_both = sum(after[name] - before[name] for name in ("bytes_in", "bytes_out"))
    return {
        "core_share": CORE_PERCENT * spent / took,
        "bytes_per_s": bytes_both / took,
        "us_per_event": None,
        "bytes_per_event": None,
        "events_per_page": None,
    }


@measurement(
    name="control.purge_rate",
    role="control",
    title="A gateway that is told of purges one by one",
    x="purges",
    x_unit="/s",
    sizes=(0, 45, 90, 180, 720),
    tiny=(0, 20, 40, 80, 160),
    quantities=(
        Quantity("core_share", "%"),
        Quantity("bytes_per_s", "B/s"),
        Quantity("us_per_event", "us", fitted=False),
        Quantity("bytes_per_event", "B", fitted=False),
        Quantity("events_per_page", "", fitted=False),
        Quantity("memory_mb", "MB", fitted=False),
    ),
)
def purge_rate(size: float, run: Run) -> Measured:
    members = list_size(run)
    with Child("changelog", "--members", members, "--seed", run.seed).ready() as log:
        with gateway(run, log, members) as program:
            if not size:
                return {**measure_idle(log, program.pid, purging_s(run)), "memory_mb": memory_mb(program.pid)}
            figures = measure_purges(log, size, max(2, round(size * purging_s(run))), program.pid)
            require(
                figures.bytes_per_event < MAX_EVENT_BYTES + 400 / size,
                f"{figures.bytes_per_event:.0f} bytes per event exceed the bound",
            )
            return {
                "core_share": figures.core_share,
                "bytes_per_s": figures.bytes_per_s,
                "us_per_event": figures.us_per_event,
                "bytes_per_event": figures.bytes_per_event,
                "events_per_page": figures.events / figures.answers,
                "memory_mb": memory_mb(program.pid),
            }


def purge_page(seed: int, first: int, events: int) -> bytes:
    """A page of purges in the log's format, built without a log: one purge every 1/180 s."""
    purged = fleet.PurgeSequence(seed)
    at = time.time_ns() // 1_000_000
    results = [
        {
            "seq": first + n,
            "invalidate": {"object": f"{purged[n]:016x}", "time": at + int(n / PURGES_PER_S * 1000)},
        }
        for n in range(events)
    ]
    return json.dumps({"seq": first + events - 1, "results": results}, separators=(",", ":")).encode()


@measurement(
    name="control.page_events",
    role="control",
    title="A gateway that is told of 180 purges a second in pages of so many",
    x="events",
    x_unit="a page",
    sizes=(1, 5, 45, 180),
    tiny=(1, 2, 5, 9),
    quantities=(
        Quantity("core_share", "%", fitted=False),
        Quantity("us_per_event", "us", fitted=False),
        Quantity("bytes_per_s", "B/s", fitted=False),
        Quantity("bytes_per_event", "B", fitted=False),
        Quantity("page_bytes", "B"),
        Quantity("page_bytes_gzip", "B"),
    ),
)
def page_events(size: float, run: Run) -> Measured:
    """Processor time and bytes are the real process's, with plain pages; page bytes count bodies alone."""
    members, events = list_size(run), int(size)
    count = max(1, round(PURGES_PER_S * purging_s(run) / events)) * events
    plain = purge_page(run.seed, 100_000, events)
    zipped = gzip.compress(plain, 6, mtime=0)
    require(gzip.decompress(zipped) == plain, "the decompressed page differs from the plain one")
    options = ("--gather-events", events, "--page-events", events)
    with Child("changelog", "--members", members, "--seed", run.seed, *options).ready() as log:
        with gateway(run, log, members) as program:
            figures = measure_purges(log, PURGES_PER_S, count, program.pid)
            require(
                figures.answers == count / events,
                f"{figures.answers} pages of {events} events for {count} purges",
            )
            return {
                "core_share": figures.core_share,
                "us_per_event": figures.us_per_event,
                "bytes_per_s": figures.bytes_per_s,
                "bytes_per_event": figures.bytes_per_event,
                "page_bytes": float(len(plain)),
                "page_bytes_gzip": float(len(zipped)),
            }


def hollow(address: str, run: Run, count: int, members: int, *options: object) -> Child:
    """A process of hollow gateways that follow the log, or relay, at this address."""
    args: list[object] = ["--at", address, "--gateways", count, "--members", members]
    return Child("hollow", *args, "--seed", run.seed, *options)


def require_all_held(report: dict[str, Any], followers: int, count: int) -> None:
    """Require that every follower holds every purge, none twice, and none that was never published."""
    errors = {name: report[name] for name in ("lost", "twice", "foreign", "groups") if report[name]}
    require(not errors, f"purges were not delivered exactly once: {errors}")
    require(
        report["least"] == report["most"] == count,
        f"{report['least']} to {report['most']} purges per follower, expected {count}",
    )
    require(report["held"] == [followers] * count, "a purge is not held by every follower")


@measurement(
    name="control.hollow",
    role="control",
    title="A hollow gateway against a real one, told of the same purges by the same log",
    x="purges",
    x_unit="/s",
    sizes=(45, 90, 180, 360),
    tiny=(20, 40, 80, 160),
    quantities=(
        Quantity("core_us_real", "us an event", fitted=False),
        Quantity("core_us_hollow", "us an event", fitted=False),
        Quantity("difference_percent", "%", fitted=False),
        Quantity("core_us_crowded", "us an event, of each of many in a process", fitted=False),
        Quantity("bytes_real", "B an event", fitted=False),
        Quantity("bytes_hollow", "B an event", fitted=False),
    ),
)
def hollow_against_real(size: float, run: Run) -> Measured:
    """Both run at once, each in a process of its own, so that other load on the machine affects both alike.

    Hollow gateways in one process share its wakeups: they cost less than as many real gateways would.
    """
    members, count = list_size(run), max(2, round(size * purging_s(run) / 2))
    shared = 4 if run.tiny else SHARED_PROCESS_GATEWAYS
    with Child("changelog", "--members", members, "--seed", run.seed).ready() as log:
        with (
            gateway(run, log, members) as program,
            hollow(log.first_message["address"], run, 1, members).ready() as hollow_one,
        ):
            before = hollow_one.ask("report")
            both = measure_purges(log, size, count, program.pid, hollow_one.pid)
            after = hollow_one.ask("report")
            require_all_held(after, 1, count)
            bytes_hollow = sum(after[name] - before[name] for name in ("bytes_in", "bytes_out"))
            bytes_real = 2 * both.bytes_both - bytes_hollow
            require(
                abs(bytes_real - bytes_hollow) < 4 * MAX_EVENT_BYTES,
                f"the hollow gateway counted {bytes_hollow} bytes, the log {bytes_real} for the real one",
            )
    with Child("changelog", "--members", members, "--seed", run.seed).ready() as log:
        with hollow(log.first_message["address"], run, shared, members).ready() as shared_process:
            figures = measure_purges(log, size, count, shared_process.pid, per_process=shared)
            require_all_held(shared_process.ask("report"), shared, count)
    real_cpu_s, hollow_cpu_s = both.cpu_s
    return {
        "core_us_real": real_cpu_s / count * 1e6,
        "core_us_hollow": hollow_cpu_s / count * 1e6,
        "difference_percent": 100 * (hollow_cpu_s / real_cpu_s - 1),
        "core_us_crowded": figures.us_per_event / shared,
        "bytes_real": bytes_real / count,
        "bytes_hollow": bytes_hollow / count,
    }


CHANGES = 12  # list changes at one size


@measurement(
    name="control.members",
    role="control",
    title="A gateway that is told of a change of its list, by the stores on it",
    x="members",
    sizes=(150, 500, 1_500, 5_000),
    tiny=(20, 40, 80, 160),
    quantities=(
        Quantity("core_ms", "ms a change"),
        Quantity("core_ms_whole", "ms a whole list"),
        Quantity("bytes_whole", "B a whole list"),
        Quantity("memory_mb", "MB"),
    ),
)
def members_listed(size: float, run: Run) -> Measured:
    """A change restarts one store; a whole list contains all of them again."""
    members, changes = int(size), 3 if run.tiny else CHANGES
    figures: dict[str, float] = {}
    with Child("changelog", "--members", members, "--seed", run.seed).ready() as log:
        with gateway(run, log, members) as program:
            for whole in (False, True):
                before, cpu = log.ask("report"), cpu_s(program.pid)
                for number in range(changes):
                    log.command("change", members=1, whole=whole)
                    wanted = before["seq"] + number + 1
                    until(lambda wanted=wanted: log.ask("report")["confirmed"] == wanted, "a list change")  # type: ignore[misc]
                spent, after = cpu_s(program.pid) - cpu, log.ask("report")
                require(
                    after["told"] - before["told"] == changes,
                    "the gateway was sent a list change twice or not at all",
                )
                figures["core_ms_whole" if whole else "core_ms"] = spent / changes * 1000
                figures["bytes_whole"] = (after["bytes_out"] - before["bytes_out"]) / changes
            require(
                figures["bytes_whole"] > 100 * members, "a whole list is smaller than 100 bytes per store"
            )
            return {**figures, "memory_mb": memory_mb(program.pid)}
