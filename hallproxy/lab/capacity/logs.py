"""Capacity of a change log that all gateways poll directly, without a relay tier.

As many followers as four processes can run without overload are hollow gateways; the others only poll and
count, since their own work would load the machine that measures the log. A saturated log shows as delay, and
so does a saturated process of followers: `fullest_process` shows whether the delay may come from that.
"""

from __future__ import annotations

import time
from contextlib import ExitStack
from typing import Any

from hdrh.histogram import HdrHistogram

from hallproxy.lab.capacity.children import Child, until
from hallproxy.lab.capacity.control import CORE_PERCENT, PURGES_PER_S, require, require_all_held
from hallproxy.lab.capacity.registry import Measured, Quantity, Run, measurement

MEMBERS = 150  # stores on the list; the cost of purges does not depend on their number
MEMBERS_TINY = 20
MAX_HOLLOW_SINGLE = 60  # hollow gateways that four processes can run with one event a page
MAX_HOLLOW_PAGED = 400  # the same with gathered pages: 200 in one saturate it, which delays purges by seconds
HOLLOW_PROCESSES = 4
LIGHT_PER_PROCESS = 800  # light followers
DRAIN_TIMEOUT = 15.0  # s until all followers must hold all published purges
HOUR_US = 3_600 * 1_000_000


def purging_s(run: Run) -> float:
    return 0.25 if run.tiny else 5.0


class Followers:
    """Processes of followers of some addresses, hollow ones first, and their combined figures."""

    def __init__(
        self,
        run: Run,
        stack: ExitStack,
        addresses: list[str],
        count: int,
        max_hollow: int,
        *options: object,
        processes: int = 0,
    ) -> None:
        """Start `count` followers, `max_hollow` of them hollow at most, in `processes` processes per kind.

        The processes are assigned to the addresses round robin.
        """
        listed = MEMBERS_TINY if run.tiny else MEMBERS
        self.count = count
        self.children: list[tuple[Child, int, bool]] = []  # process, its followers, whether hollow
        self.baseline: list[dict[str, Any]] = []
        kinds = [(min(count, max_hollow), False), (max(0, count - max_hollow), True)]
        for followers, light in kinds:
            default_processes = (
                1 + followers // LIGHT_PER_PROCESS if light else 1 if run.tiny else HOLLOW_PROCESSES
            )
            process_count = processes or default_processes
            for part in range(process_count):
                size = followers // process_count + (part < followers % process_count)
                if size:
                    args: list[object] = ["--at", addresses[part % len(addresses)], "--gateways", size]
                    args += ["--members", listed, "--seed", run.seed, "--first", 10_000 * part, *options]
                    child = Child("hollow", *args, *(["--light"] if light else []))
                    self.children.append((stack.enter_context(child), size, not light))
        for child, _, _ in self.children:
            child.ready()

    def take_baseline(self) -> None:
        self.baseline = [child.ask("report") for child, _, _ in self.children]

    def min_held(self) -> int:
        """How many purges every follower holds at least."""
        return min(int(child.ask("least")["least"]) for child, _, _ in self.children)

    def wait_held(self, count: int) -> list[dict[str, Any]]:
        """Wait until each follower holds `count` purges; returns each process's report."""

        until(lambda: self.min_held() >= count, f"{count} purges at {self.count} followers", DRAIN_TIMEOUT)
        reports = [child.ask("report") for child, _, _ in self.children]
        for report, (child, size, _) in zip(reports, self.children, strict=True):
            require_all_held(report, size, count)
            require(not child.faults, f"a process of followers logged a fault: {list(child.lines)[-3:]}")
        return reports

    def connects(self) -> list[tuple[int, int]]:
        """Unix ms and port of each connect of a follower, in order of time."""
        by_process = [child.ask("connects")["connects"] for child, _, _ in self.children]
        return sorted((at, port) for connects in by_process for at, port in connects)

    def figures(self, reports: list[dict[str, Any]], took: float) -> Measured:
        """The delay of a purge is from its timestamp until the last follower holds it."""
        delays = HdrHistogram(1, HOUR_US, 3)
        for of_purge in zip(*(report["delay_us"] for report in reports), strict=True):
            delays.record_value(max(1, *of_purge))
        cpu = size = memory = max_share = bytes_both = 0.0
        for report, before, (child, followers, hollow) in zip(
            reports, self.baseline, self.children, strict=True
        ):
            if hollow:
                cpu += report["cpu_s"] - before["cpu_s"]
                memory += report["peak_mb"] - child.first_message["empty_mb"]
                bytes_both += sum(report[name] - before[name] for name in ("bytes_in", "bytes_out"))
                size += followers
            max_share = max(max_share, CORE_PERCENT * (report["cpu_s"] - before["cpu_s"]) / took)
        return {
            "delay_p50_ms": delays.get_value_at_percentile(50) / 1000,
            "delay_p99_ms": delays.get_value_at_percentile(99) / 1000,
            "delay_p100_ms": delays.get_max_value() / 1000,
            "follower_core_share": CORE_PERCENT * cpu / took / size,
            "follower_bytes_per_s": bytes_both / took / size,
            "follower_memory_mb": memory / size,
            "fullest_process": max_share,
        }


LATENESS = Quantity("late_ms", "ms that a purge came into being late", fitted=False)
BUSIEST_PROCESS = Quantity("fullest_process", "% of a core, of the followers' processes", fitted=False)
FOLLOWER_QUANTITIES = (
    Quantity("delay_p50_ms", "ms", fitted=False),
    Quantity("delay_p99_ms", "ms", fitted=False),
    Quantity("delay_p100_ms", "ms", fitted=False),
    Quantity("follower_core_share", "%", fitted=False),
    Quantity("follower_bytes_per_s", "B/s", fitted=False),
    Quantity("follower_memory_mb", "MB", fitted=False),
    BUSIEST_PROCESS,
)
LOG_QUANTITIES = (
    Quantity("core_share", "%"),
    Quantity("memory_mb", "MB"),
    Quantity("polls_per_s", "/s"),
    Quantity("bytes_per_s", "B/s"),
    Quantity("events_per_page", "", fitted=False),
    LATENESS,
    Quantity("reconnects", "of followers that had no answer in time", fitted=False),
)


def measure_log(run: Run, followers: int, max_hollow: int, *options: object) -> Measured:
    """Figures of a log with `followers` followers and purges at the operators' rate."""
    listed, count = MEMBERS_TINY if run.tiny else MEMBERS, round(PURGES_PER_S * purging_s(run))
    with ExitStack() as stack:
        log = stack.enter_context(
            Child("changelog", "--members", listed, "--seed", run.seed, *options)
        ).ready()
        follower_group = Followers(run, stack, [log.first_message["address"]], followers, max_hollow)
        follower_group.take_baseline()
        before, began = log.ask("report"), time.monotonic()
        log.command("purge", rate=PURGES_PER_S, count=count)
        time.sleep(purging_s(run))
        reports = follower_group.wait_held(count)
        after, took = log.ask("report"), time.monotonic() - began
        events = after["told"] - before["told"]
        reconnects = after["connects"] - followers
        expected = count * followers  # an answer that a follower no longer waits for is sent once more
        require(
            events == expected or (reconnects and events > expected),
            f"{events} events sent, {expected} expected",
        )
        answers = after["polls"] - before["polls"] - (after["empty"] - before["empty"])
        bytes_both = sum(after[name] - before[name] for name in ("bytes_in", "bytes_out"))
        return {
            "core_share": CORE_PERCENT * (after["cpu_s"] - before["cpu_s"]) / took,
            "memory_mb": after["peak_mb"],
            "polls_per_s": (after["polls"] - before["polls"]) / took,
            "bytes_per_s": bytes_both / took,
            "events_per_page": events / answers,
            "late_ms": after["late_ms"],
            "reconnects": float(reconnects),
            **follower_group.figures(reports, took),
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
    """Pages grow when the log or a follower is late: the next page has all events since the last one."""
    return measure_log(run, int(size), 4 if run.tiny else MAX_HOLLOW_SINGLE)


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
    return measure_log(run, int(size), 4 if run.tiny else MAX_HOLLOW_PAGED, "--gather-ms", 250)
