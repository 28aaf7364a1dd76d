"""What a change log carries when all gateways ask it themselves, without a tier between.

So many followers as four processes carry well are hollow gateways; the rest of them poll and count alone, as
their own work would fill the machine that is to show the log's. A log that is full shows as delay. So does a
process of followers that is: `fullest_process` tells whether the delay may be its own.
"""

from __future__ import annotations

import time
from contextlib import ExitStack
from typing import Any

from hdrh.histogram import HdrHistogram

from hallproxy.lab.capacity.children import Child, until
from hallproxy.lab.capacity.control import CORE, RATE, all_held, require
from hallproxy.lab.capacity.registry import Measured, Quantity, Run, measurement

MEMBERS = 150  # stores on the list: what purges cost does not depend on it
MEMBERS_TINY = 20
HOLLOW_MOST = 60  # hollow gateways that four processes carry when told one by one
HOLLOW_MOST_PAGES = 400  # ...and when told in pages: 200 in one have filled it, and held purges for seconds
PROCESSES = 4  # of hollow gateways
LIGHT_EACH = 800  # light followers in a process
DRAIN = 15.0  # s in which all that was told must be held
HOUR_US = 3_600 * 1_000_000


def seconds(run: Run) -> float:
    return 0.25 if run.tiny else 5.0


class Followers:
    """Processes of followers at some addresses, hollow ones first, and what all of them hold together."""

    def __init__(
        self,
        run: Run,
        stack: ExitStack,
        addresses: list[str],
        count: int,
        hollow: int,
        *words: object,
        parts: int = 0,
    ) -> None:
        """`count` of them in all, up to `hollow` of them gateways, in `parts` processes of each kind.

        Each process follows one of the addresses, which take turns.
        """
        listed = MEMBERS_TINY if run.tiny else MEMBERS
        self.count = count
        self.children: list[tuple[Child, int, bool]] = []  # process, followers in it, whether they are hollow
        self.before: list[dict[str, Any]] = []
        kinds = [(min(count, hollow), False), (max(0, count - hollow), True)]
        for followers, light in kinds:
            fitting = 1 + followers // LIGHT_EACH if light else 1 if run.tiny else PROCESSES
            processes = parts or fitting
            for part in range(processes):
                size = followers // processes + (part < followers % processes)
                if size:
                    args: list[object] = ["--at", addresses[part % len(addresses)], "--gateways", size]
                    args += ["--members", listed, "--seed", run.seed, "--first", 10_000 * part, *words]
                    child = Child("hollow", *args, *(["--light"] if light else []))
                    self.children.append((stack.enter_context(child), size, not light))
        for child, _, _ in self.children:
            child.ready()

    def begin(self) -> None:
        self.before = [child.ask("report") for child, _, _ in self.children]

    def least(self) -> int:
        """How many purges every one of them holds."""
        return min(int(child.ask("least")["least"]) for child, _, _ in self.children)

    def hold(self, count: int) -> list[dict[str, Any]]:
        """Wait until each holds so many purges; what each process then tells."""

        until(lambda: self.least() >= count, f"{count} purges at {self.count} followers", DRAIN)
        reports = [child.ask("report") for child, _, _ in self.children]
        for report, (child, size, _) in zip(reports, self.children, strict=True):
            all_held(report, size, count)
            require(not child.faults, f"a follower had a fault: {list(child.lines)[-3:]}")
        return reports

    def connects(self) -> list[tuple[int, int]]:
        """Unix ms and port of each connect that a follower has made, in the order of time."""
        told = [child.ask("connects")["connects"] for child, _, _ in self.children]
        return sorted((at, port) for one in told for at, port in one)

    def figures(self, reports: list[dict[str, Any]], took: float) -> Measured:
        """Delays are each purge's, from its own time until the last of all followers held it."""
        delays = HdrHistogram(1, HOUR_US, 3)
        for last in zip(*(report["delay_us"] for report in reports), strict=True):
            delays.record_value(max(1, *last))
        cpu = size = memory = share = bytes_both = 0.0
        for report, before, (child, followers, hollow) in zip(
            reports, self.before, self.children, strict=True
        ):
            if hollow:
                cpu += report["cpu_s"] - before["cpu_s"]
                memory += report["peak_mb"] - child.first_message["empty_mb"]
                bytes_both += sum(report[x] - before[x] for x in ("bytes_in", "bytes_out"))
                size += followers
            share = max(share, CORE * (report["cpu_s"] - before["cpu_s"]) / took)
        return {
            "delay_p50_ms": delays.get_value_at_percentile(50) / 1000,
            "delay_p99_ms": delays.get_value_at_percentile(99) / 1000,
            "delay_p100_ms": delays.get_max_value() / 1000,
            "follower_core_share": CORE * cpu / took / size,
            "follower_bytes_per_s": bytes_both / took / size,
            "follower_memory_mb": memory / size,
            "fullest_process": share,
        }


LATE = Quantity("late_ms", "ms that a purge came into being late", fitted=False)
FULLEST = Quantity("fullest_process", "% of a core, of the followers' processes", fitted=False)
FOLLOWER_QUANTITIES = (
    Quantity("delay_p50_ms", "ms", fitted=False),
    Quantity("delay_p99_ms", "ms", fitted=False),
    Quantity("delay_p100_ms", "ms", fitted=False),
    Quantity("follower_core_share", "%", fitted=False),
    Quantity("follower_bytes_per_s", "B/s", fitted=False),
    Quantity("follower_memory_mb", "MB", fitted=False),
    FULLEST,
)
LOG_QUANTITIES = (
    Quantity("core_share", "%"),
    Quantity("memory_mb", "MB"),
    Quantity("polls_per_s", "/s"),
    Quantity("bytes_per_s", "B/s"),
    Quantity("events_per_page", "", fitted=False),
    LATE,
    Quantity("reconnects", "of followers that had no answer in time", fitted=False),
)


def told(run: Run, followers: int, hollow: int, *words: object) -> Measured:
    """A log with so many followers, and purges at the operators' rate."""
    listed, count = MEMBERS_TINY if run.tiny else MEMBERS, round(RATE * seconds(run))
    with ExitStack() as stack:
        log = stack.enter_context(Child("changelog", "--members", listed, "--seed", run.seed, *words)).ready()
        asking = Followers(run, stack, [log.first_message["address"]], followers, hollow)
        asking.begin()
        before, began = log.ask("report"), time.monotonic()
        log.command("purge", rate=RATE, count=count)
        time.sleep(seconds(run))
        reports = asking.hold(count)
        after, took = log.ask("report"), time.monotonic() - began
        events = after["told"] - before["told"]
        again = after["connects"] - followers
        wanted = count * followers  # an answer that came too late for its follower is told once more
        require(events == wanted or (again and events > wanted), f"{events} events told, {wanted} wanted")
        answers = after["polls"] - before["polls"] - (after["empty"] - before["empty"])
        bytes_both = sum(after[name] - before[name] for name in ("bytes_in", "bytes_out"))
        return {
            "core_share": CORE * (after["cpu_s"] - before["cpu_s"]) / took,
            "memory_mb": after["peak_mb"],
            "polls_per_s": (after["polls"] - before["polls"]) / took,
            "bytes_per_s": bytes_both / took,
            "events_per_page": events / answers,
            "late_ms": after["late_ms"],
            "reconnects": float(again),
            **asking.figures(reports, took),
        }


@measurement(
    name="logs.followers",
    role="logs",
    title="A change log whose followers are told of 180 purges a second as they come",
    x="followers",
    sizes=(100, 200, 400, 800, 1_600),
    tiny=(2, 4, 6, 8),
    quantities=LOG_QUANTITIES + FOLLOWER_QUANTITIES,
)
def followers(size: float, run: Run) -> Measured:
    """Pages grow where the log or a follower is late: the page then holds all that has come meanwhile."""
    return told(run, int(size), 4 if run.tiny else HOLLOW_MOST)


@measurement(
    name="logs.pages",
    role="logs",
    title="A change log that gathers 180 purges a second for 250 ms",
    x="followers",
    sizes=(100, 200, 400, 800, 1_600),
    tiny=(2, 4, 6, 8),
    quantities=LOG_QUANTITIES + FOLLOWER_QUANTITIES,
)
def pages(size: float, run: Run) -> Measured:
    return told(run, int(size), 4 if run.tiny else HOLLOW_MOST_PAGES, "--gather-ms", 250)
