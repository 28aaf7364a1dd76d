"""Capacity of relays and the cost of following one: real relays between the stand-in log and hollow gateways.

All followers accept gzip, as a gateway with `--change-logs` does. At most `MAX_HOLLOW_FOLLOWERS` of them are
hollow gateways; the others only poll and count.
"""

from __future__ import annotations

import time
from collections import Counter, deque
from collections.abc import Iterable
from contextlib import ExitStack
from typing import Any, Self

from hallproxy.lab.capacity.children import Child, Program, cpu_s, memory_mb, until
from hallproxy.lab.capacity.control import (
    CORE_PERCENT,
    PURGES_PER_S,
    gateway,
    hollow,
    require,
    require_all_held,
)
from hallproxy.lab.capacity.logs import (
    BUSIEST_PROCESS,
    FOLLOWER_QUANTITIES,
    LATENESS,
    MEMBERS,
    MEMBERS_TINY,
    Followers,
    purging_s,
)
from hallproxy.lab.capacity.registry import Measured, Quantity, Run, measurement
from hallproxy.relay.status import fetch

GATHER_MS = 250  # where a measurement does not vary it
GATHER_MS_TINY = 50
UNWANTED_ANSWERS = "whole", "behind", "bad", "turned_away"  # kinds that no follower may receive
BURST_MS = 100  # window in which connects count as one burst
TIER_FOLLOWERS = 200  # per relay below the top one
MAX_HOLLOW_FOLLOWERS = 800  # hollow gateways in all processes of a measurement
FOLLOWER_PROCESSES = 6  # leaves two cores of the machine measured on to the log and the relay
CHANGEOVER_FOLLOWERS = 400  # of all relays together


class Relay:
    """A relay process and the status that it reports."""

    def __init__(self, run: Run, stack: ExitStack, name: str, upstream: Iterable[str], gather: int) -> None:
        quoted = ", ".join(f'"{address}"' for address in upstream)
        path = run.scratch_dir / f"{name}.toml"
        path.write_text(
            f'name = "{name}"\nlisten = "127.0.0.1:0"\nupstream = [{quoted}]\ngather_ms = {gather}\n', "utf-8"
        )
        self.program = stack.enter_context(Program("relay", str(path)))
        self.name, self.address = name, ""
        self._baseline: dict[str, Any] = {}
        self._baseline_cpu_s = 0.0

    def ready(self) -> Self:
        """Wait until it listens and is current with its upstream; take the first baseline."""
        self.address = self.program.listening_address()
        until(lambda: bool(self.status().get("current")), f"{self.name}: status current")
        self._baseline = self.status()
        return self

    def status(self) -> dict[str, Any]:
        return fetch(self.address)

    def take_baseline(self) -> None:
        """Start the period that `cpu_seconds` and `answers` count."""
        self._baseline, self._baseline_cpu_s = self.status(), cpu_s(self.program.pid)

    @property
    def cpu_seconds(self) -> float:
        """Processor time since the baseline."""
        return cpu_s(self.program.pid) - self._baseline_cpu_s

    @property
    def peak_memory_mb(self) -> float:
        return memory_mb(self.program.pid)

    def answers(self) -> Counter[str]:
        """Its counts of polls and answers since the baseline."""
        counts = Counter(self.status()["answers"])
        counts.subtract(self._baseline["answers"])
        return counts


def wait_all_ready(relays: list[Relay]) -> list[Relay]:
    return [relay.ready() for relay in relays]


def start_log(run: Run, stack: ExitStack) -> Child:
    listed = MEMBERS_TINY if run.tiny else MEMBERS
    return stack.enter_context(Child("changelog", "--members", listed, "--seed", run.seed)).ready()


def gather_ms(run: Run) -> int:
    return GATHER_MS_TINY if run.tiny else GATHER_MS


def run_purges(log: Child, followers: Followers, run: Run) -> tuple[list[dict[str, Any]], float]:
    """Publish purges and wait until all followers hold them; returns their reports and the seconds taken."""
    count = round(PURGES_PER_S * purging_s(run))
    followers.take_baseline()
    began = time.monotonic()
    log.command("purge", rate=PURGES_PER_S, count=count)
    time.sleep(purging_s(run))
    reports = followers.wait_held(count)
    return reports, time.monotonic() - began


def require_normal_answers(relays: Iterable[Relay]) -> None:
    """Raise MeasurementError if a relay sent a follower any of `UNWANTED_ANSWERS`."""
    for relay in relays:
        unwanted = {kind: n for kind, n in relay.answers().items() if n and kind in UNWANTED_ANSWERS}
        require(not unwanted, f"{relay.name} sent unwanted answers: {unwanted}")


@measurement(
    name="relay.followers",
    role="relay",
    title="A relay that gathers 180 purges a second for 250 ms, by its followers",
    x="followers",
    sizes=(100, 200, 400, 800, 1_200),
    tiny=(2, 4, 6, 8),
    quantities=(
        Quantity("core_share", "%"),
        Quantity("memory_mb", "MB"),
        Quantity("polls_per_s", "/s"),
        Quantity("bytes_per_s", "B/s"),
        Quantity("confirmed_p99_ms", "ms", fitted=False),
        LATENESS,
        *FOLLOWER_QUANTITIES,
    ),
)
def followers(size: float, run: Run) -> Measured:
    count = int(size)
    with ExitStack() as stack:
        log = start_log(run, stack)
        relay = Relay(run, stack, "top", [log.first_message["address"]], gather_ms(run)).ready()
        max_hollow = 4 if run.tiny else MAX_HOLLOW_FOLLOWERS
        processes = 1 if run.tiny else FOLLOWER_PROCESSES
        followers = Followers(run, stack, [relay.address], count, max_hollow, "--gzip", processes=processes)
        relay.take_baseline()
        reports, took = run_purges(log, followers, run)
        cpu, answers = relay.cpu_seconds, relay.answers()
        require_normal_answers([relay])
        status = relay.status()
        require(
            status["followers"] == count, f"{status['followers']} followers of the relay, {count} expected"
        )
        received = sum(r["bytes_in"] for r in reports) - sum(r["bytes_in"] for r in followers.baseline)
        require(
            received <= answers["bytes"],
            f"followers received {received} bytes, the relay sent {answers['bytes']}",
        )
        return {
            "core_share": CORE_PERCENT * cpu / took,
            "memory_mb": relay.peak_memory_mb,
            "polls_per_s": answers["polls"] / took,
            "bytes_per_s": answers["bytes"] / took,
            "confirmed_p99_ms": float(status["confirmed_ms"]["p99"]),
            "late_ms": log.ask("report")["late_ms"],
            **followers.figures(reports, took),
        }


@measurement(
    name="relay.tiers",
    role="relay",
    title="A log, a relay that gathers for 250 ms, and relays below it of 200 followers each",
    x="relays",
    sizes=(1, 2, 3, 4),
    tiny=(1, 2, 3, 4),
    quantities=(
        Quantity("core_share", "% of each relay below", fitted=False),
        Quantity("core_share_top", "%"),
        Quantity("memory_mb", "MB of a relay below", fitted=False),
        LATENESS,
        *FOLLOWER_QUANTITIES,
    ),
)
def tiers(size: float, run: Run) -> Measured:
    below = int(size)
    per_relay = 2 if run.tiny else TIER_FOLLOWERS
    processes = below if run.tiny else 2 * below  # with 100 hollow gateways each
    with ExitStack() as stack:
        log = start_log(run, stack)
        top = Relay(run, stack, "top", [log.first_message["address"]], gather_ms(run)).ready()
        relays = wait_all_ready([Relay(run, stack, f"below-{n}", [top.address], 0) for n in range(below)])
        addresses = [relay.address for relay in relays]
        followers = Followers(
            run,
            stack,
            addresses,
            per_relay * below,
            per_relay * below,
            "--gzip",
            processes=processes,
        )
        for relay in (top, *relays):
            relay.take_baseline()
        reports, took = run_purges(log, followers, run)
        shares = [CORE_PERCENT * relay.cpu_seconds / took for relay in (top, *relays)]
        require_normal_answers([top, *relays])
        for relay in relays:
            require(relay.status()["followers"] == per_relay, f"not {per_relay} followers at each relay")
        require(top.status()["followers"] == below, f"not {below} relays below the top one")
        return {
            "core_share": sum(shares[1:]) / below,
            "core_share_top": shares[0],
            "memory_mb": max(relay.peak_memory_mb for relay in relays),
            "late_ms": log.ask("report")["late_ms"],
            **followers.figures(reports, took),
        }


def burst(connects: Iterable[tuple[int, int]], since: int, ports: set[int]) -> int:
    """The maximum number of connects to one of these ports within 100 ms, from `since` (ms) on."""
    largest, recent = 0, {port: deque[int]() for port in ports}
    for at, port in connects:
        if at >= since and port in recent:
            window = recent[port]
            window.append(at)
            while window[0] <= at - BURST_MS:
                window.popleft()
            largest = max(largest, len(window))
    return largest


@measurement(
    name="relay.changeover",
    role="relay",
    title="Relays with 400 followers in all, of which one is killed",
    x="relays",
    sizes=(2, 3, 4, 8),
    tiny=(2, 3, 4, 5),
    quantities=(
        Quantity("moved", "followers of the one killed", fitted=False),
        Quantity("delay_p100_ms", "ms until a purge was held by all", fitted=False),
        Quantity("before_ms", "the same, of those held by all ahead of the kill", fitted=False),
        Quantity("connects", "to the others, from the kill on", fitted=False),
        Quantity("connects_burst", "in 100 ms at one of the others, at most", fitted=False),
        Quantity("moved_ms", "ms from the kill to the last connect", fitted=False),
        LATENESS,
        BUSIEST_PROCESS,
    ),
)
def changeover(size: float, run: Run) -> Measured:
    """Purges continue throughout. Every follower knows all relays; each relay follows the log."""
    count, follower_count = round(2 * PURGES_PER_S * purging_s(run)), 12 if run.tiny else CHANGEOVER_FOLLOWERS
    with ExitStack() as stack:
        log = start_log(run, stack)
        above = [log.first_message["address"]]
        relays = wait_all_ready(
            [Relay(run, stack, f"r-{n}", above, gather_ms(run)) for n in range(int(size))]
        )
        addresses = ",".join(relay.address for relay in relays)
        processes = 1 if run.tiny else FOLLOWER_PROCESSES
        followers = Followers(
            run,
            stack,
            [addresses],
            follower_count,
            follower_count,
            "--gzip",
            processes=processes,
        )
        followers.take_baseline()

        def followers_by_relay() -> list[int]:
            return [relay.status()["followers"] for relay in relays]

        until(lambda: sum(followers_by_relay()) == follower_count, f"{follower_count} followers connected")
        # The relay with the most followers is the one killed.
        killed = max(relays, key=lambda relay: int(relay.status()["followers"]))
        moved = killed.status()["followers"]
        others = [relay for relay in relays if relay is not killed]
        began = time.monotonic()
        log.command("purge", rate=PURGES_PER_S, count=count)
        time.sleep(purging_s(run))
        held_before = followers.min_held()
        killed_at = time.time_ns() // 1_000_000
        killed.program.kill()
        reports, took = followers.wait_held(count), time.monotonic() - began
        until(
            lambda: sum(relay.status()["followers"] for relay in others) == follower_count,
            "all followers at other relays",
        )
        connects = followers.connects()
        ports = {int(relay.address.rpartition(":")[2]) for relay in others}
        reconnects = [at for at, port in connects if at >= killed_at and port in ports]
        require(
            len(reconnects) >= moved, f"{len(reconnects)} connects of {moved} followers that lost their relay"
        )
        delays = [max(of_purge) / 1000 for of_purge in zip(*(r["delay_us"] for r in reports), strict=True)]
        return {
            "moved": float(moved),
            "delay_p100_ms": max(delays),
            "before_ms": max(delays[:held_before], default=0.0),
            "connects": float(len(reconnects)),
            "connects_burst": float(burst(connects, killed_at, ports)),
            "moved_ms": float(max(reconnects) - killed_at),
            "late_ms": log.ask("report")["late_ms"],
            "fullest_process": followers.figures(reports, took)["fullest_process"],
        }


@measurement(
    name="relay.control",
    role="control",
    title="A gateway that follows a relay, by the time for which that gathers 180 purges a second",
    x="gather",
    x_unit="ms",
    sizes=(50, 125, 250, 500),
    tiny=(20, 40, 60, 80),
    quantities=(
        Quantity("core_share", "%", fitted=False),
        Quantity("us_per_event", "us", fitted=False),
        Quantity("memory_mb", "MB", fitted=False),
        Quantity("bytes_per_s", "B/s", fitted=False),
        Quantity("bytes_per_event", "B", fitted=False),
        Quantity("delay_p100_ms", "ms", fitted=False),
    ),
)
def control_by_gather(size: float, run: Run) -> Measured:
    """Processor time and memory are a real gateway's; bytes and delays a hollow one's beside it."""
    listed, count = MEMBERS_TINY if run.tiny else MEMBERS, round(PURGES_PER_S * purging_s(run))
    with ExitStack() as stack:
        log = start_log(run, stack)
        relay = Relay(run, stack, "top", [log.first_message["address"]], int(size)).ready()
        path = run.scratch_dir / "change-logs.toml"
        path.write_text(f'addresses = ["{relay.address}"]\n', "utf-8")
        real_gateway = stack.enter_context(gateway(run, log, listed, "--change-logs", str(path)))
        hollow_gateway = stack.enter_context(hollow(relay.address, run, 1, listed, "--gzip")).ready()
        until(lambda: bool(relay.status()["followers"] == 2), "two followers of the relay")
        relay.take_baseline()
        before, cpu, began = hollow_gateway.ask("report"), cpu_s(real_gateway.pid), time.monotonic()
        log.command("purge", rate=PURGES_PER_S, count=count)
        time.sleep(purging_s(run))
        until(lambda: relay.status()["lowest"] == count + 1, f"{count} purges at both followers")
        took, spent = time.monotonic() - began, cpu_s(real_gateway.pid) - cpu
        after = hollow_gateway.ask("report")
        require_all_held(after, 1, count)
        require_normal_answers([relay])
        bytes_both = sum(after[name] - before[name] for name in ("bytes_in", "bytes_out"))
        require(
            bytes_both < 120 * count + 1_000 * (after["polls"] - before["polls"]),
            f"{bytes_both} bytes exceed the bound",
        )
        return {
            "core_share": CORE_PERCENT * spent / took,
            "us_per_event": spent / count * 1e6,
            "memory_mb": memory_mb(real_gateway.pid),
            "bytes_per_s": bytes_both / took,
            "bytes_per_event": bytes_both / count,
            "delay_p100_ms": max(after["delay_us"]) / 1000,
        }
