"""What relays carry, and what following them costs: real relays between the stand-in log and hollow gateways.

All follow with gzip, as `--change-logs` makes a gateway do. Up to `RELAY_HOLLOW` followers are hollow
gateways in all, any more poll and count alone.
"""

from __future__ import annotations

import time
from collections import Counter, deque
from collections.abc import Iterable
from contextlib import ExitStack
from typing import Any, Self

from hallproxy.lab.capacity.children import Child, Program, cpu_s, memory_mb, until
from hallproxy.lab.capacity.control import CORE, RATE, all_held, gateway, hollow, require
from hallproxy.lab.capacity.logs import (
    FOLLOWER_QUANTITIES,
    FULLEST,
    LATE,
    MEMBERS,
    MEMBERS_TINY,
    Followers,
    seconds,
)
from hallproxy.lab.capacity.registry import Measured, Quantity, Run, measurement
from hallproxy.relay.status import fetch

GATHER = 250  # ms, where a measurement does not vary it
GATHER_TINY = 50
OTHERWISE = "whole", "behind", "bad", "turned_away"  # answers that nobody is to get
BURST = 100  # ms in which connects are counted together
TIER_FOLLOWERS = 200  # of each relay below the top, ...
RELAY_HOLLOW = 800  # hollow gateways, at most, in all processes of a measurement
RELAY_PROCESSES = 6  # of them: the log and the relay have the other two cores of the machine measured on
CHANGEOVER_FOLLOWERS = 400  # of all relays


class Relay:
    """One relay's process, and what it says of itself."""

    def __init__(self, run: Run, stack: ExitStack, name: str, upstream: Iterable[str], gather: int) -> None:
        named = ", ".join(f'"{at}"' for at in upstream)
        path = run.scratch_dir / f"{name}.toml"
        path.write_text(
            f'name = "{name}"\nlisten = "127.0.0.1:0"\nupstream = [{named}]\ngather_ms = {gather}\n', "utf-8"
        )
        self.program = stack.enter_context(Program("relay", str(path)))
        self.name, self.address = name, ""
        self._before: dict[str, Any] = {}
        self._cpu = 0.0

    def ready(self) -> Self:
        """It listens and has heard the log."""
        self.address = self.program.listening_address()
        until(lambda: bool(self.status().get("current")), f"{self.name}: current")
        self._before = self.status()
        return self

    def status(self) -> dict[str, Any]:
        return fetch(self.address)

    def begin(self) -> None:
        self._before, self._cpu = self.status(), cpu_s(self.program.pid)

    @property
    def cpu(self) -> float:
        """Processor time (s) since the beginning."""
        return cpu_s(self.program.pid) - self._cpu

    @property
    def memory(self) -> float:
        return memory_mb(self.program.pid)

    def answers(self) -> Counter[str]:
        """Its counts of polls and answers since the beginning."""
        now = Counter(self.status()["answers"])
        now.subtract(self._before["answers"])
        return now


def ready(relays: list[Relay]) -> list[Relay]:
    return [relay.ready() for relay in relays]


def log_of(run: Run, stack: ExitStack) -> Child:
    listed = MEMBERS_TINY if run.tiny else MEMBERS
    return stack.enter_context(Child("changelog", "--members", listed, "--seed", run.seed)).ready()


def gather_of(run: Run) -> int:
    return GATHER_TINY if run.tiny else GATHER


def told(log: Child, asking: Followers, run: Run) -> tuple[list[dict[str, Any]], float]:
    """Have the log tell purges until all followers hold them; their reports, and how long it took (s)."""
    count = round(RATE * seconds(run))
    asking.begin()
    began = time.monotonic()
    log.command("purge", rate=RATE, count=count)
    time.sleep(seconds(run))
    reports = asking.hold(count)
    return reports, time.monotonic() - began


def plain_only(relays: Iterable[Relay]) -> None:
    """Nobody was told a whole page, turned away, or that the relay is behind."""
    for relay in relays:
        wrong = {kind: n for kind, n in relay.answers().items() if n and kind in OTHERWISE}
        require(not wrong, f"{relay.name} answered otherwise: {wrong}")


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
        LATE,
        *FOLLOWER_QUANTITIES,
    ),
)
def followers(size: float, run: Run) -> Measured:
    count = int(size)
    with ExitStack() as stack:
        log = log_of(run, stack)
        relay = Relay(run, stack, "top", [log.first_message["address"]], gather_of(run)).ready()
        most = 4 if run.tiny else RELAY_HOLLOW
        parts = 1 if run.tiny else RELAY_PROCESSES
        asking = Followers(run, stack, [relay.address], count, most, "--gzip", parts=parts)
        relay.begin()
        reports, took = told(log, asking, run)
        cpu, answers = relay.cpu, relay.answers()
        plain_only([relay])
        status = relay.status()
        require(status["followers"] == count, f"{status['followers']} followers, {count} wanted")
        heard = sum(r["bytes_in"] for r in reports) - sum(r["bytes_in"] for r in asking.before)
        require(heard <= answers["bytes"], f"followers count {heard} bytes, the relay {answers['bytes']}")
        return {
            "core_share": CORE * cpu / took,
            "memory_mb": relay.memory,
            "polls_per_s": answers["polls"] / took,
            "bytes_per_s": answers["bytes"] / took,
            "confirmed_p99_ms": float(status["confirmed_ms"]["p99"]),
            "late_ms": log.ask("report")["late_ms"],
            **asking.figures(reports, took),
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
        LATE,
        *FOLLOWER_QUANTITIES,
    ),
)
def tiers(size: float, run: Run) -> Measured:
    below = int(size)
    each = 2 if run.tiny else TIER_FOLLOWERS
    parts = below if run.tiny else 2 * below  # of 100 hollow gateways each
    with ExitStack() as stack:
        log = log_of(run, stack)
        top = Relay(run, stack, "top", [log.first_message["address"]], gather_of(run)).ready()
        relays = ready([Relay(run, stack, f"below-{n}", [top.address], 0) for n in range(below)])
        addresses = [relay.address for relay in relays]
        asking = Followers(run, stack, addresses, each * below, each * below, "--gzip", parts=parts)
        for relay in (top, *relays):
            relay.begin()
        reports, took = told(log, asking, run)
        shares = [CORE * relay.cpu / took for relay in (top, *relays)]
        plain_only([top, *relays])
        for relay in relays:
            require(relay.status()["followers"] == each, f"not {each} followers at each relay")
        require(top.status()["followers"] == below, f"not {below} relays at the top")
        return {
            "core_share": sum(shares[1:]) / below,
            "core_share_top": shares[0],
            "memory_mb": max(relay.memory for relay in relays),
            "late_ms": log.ask("report")["late_ms"],
            **asking.figures(reports, took),
        }


def burst(connects: Iterable[tuple[int, int]], since: int, ports: set[int]) -> int:
    """The most connects to one of these ports within 100 ms, of those since then."""
    most, recent = 0, {port: deque[int]() for port in ports}
    for at, port in connects:
        if at >= since and port in recent:
            held = recent[port]
            held.append(at)
            while held[0] <= at - BURST:
                held.popleft()
            most = max(most, len(held))
    return most


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
        LATE,
        FULLEST,
    ),
)
def changeover(size: float, run: Run) -> Measured:
    """Purges come on through it. Every follower knows all relays; each relay follows the log."""
    count, many = round(2 * RATE * seconds(run)), 12 if run.tiny else CHANGEOVER_FOLLOWERS
    with ExitStack() as stack:
        log = log_of(run, stack)
        above = [log.first_message["address"]]
        relays = ready([Relay(run, stack, f"r-{n}", above, gather_of(run)) for n in range(int(size))])
        addresses = ",".join(relay.address for relay in relays)
        parts = 1 if run.tiny else RELAY_PROCESSES
        asking = Followers(run, stack, [addresses], many, many, "--gzip", parts=parts)
        asking.begin()

        def at_each() -> list[int]:
            return [relay.status()["followers"] for relay in relays]

        until(lambda: sum(at_each()) == many, f"{many} followers at their relays")
        # One of them has most to move.
        killed = max(relays, key=lambda relay: int(relay.status()["followers"]))
        moved = killed.status()["followers"]
        others = [relay for relay in relays if relay is not killed]
        began = time.monotonic()
        log.command("purge", rate=RATE, count=count)
        time.sleep(seconds(run))
        ahead = asking.least()
        at = time.time_ns() // 1_000_000
        killed.program.kill()
        reports, took = asking.hold(count), time.monotonic() - began
        until(lambda: sum(relay.status()["followers"] for relay in others) == many, "all followers elsewhere")
        connects = asking.connects()
        ports = {int(relay.address.rpartition(":")[2]) for relay in others}
        again = [when for when, port in connects if when >= at and port in ports]
        require(len(again) >= moved, f"{len(again)} connects of {moved} followers that lost their relay")
        delays = [max(all_of) / 1000 for all_of in zip(*(r["delay_us"] for r in reports), strict=True)]
        return {
            "moved": float(moved),
            "delay_p100_ms": max(delays),
            "before_ms": max(delays[:ahead], default=0.0),
            "connects": float(len(again)),
            "connects_burst": float(burst(connects, at, ports)),
            "moved_ms": float(max(again) - at),
            "late_ms": log.ask("report")["late_ms"],
            "fullest_process": asking.figures(reports, took)["fullest_process"],
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
    """Core and memory are a real gateway's; bytes and delays those of a hollow one beside it."""
    listed, count = MEMBERS_TINY if run.tiny else MEMBERS, round(RATE * seconds(run))
    with ExitStack() as stack:
        log = log_of(run, stack)
        relay = Relay(run, stack, "top", [log.first_message["address"]], int(size)).ready()
        path = run.scratch_dir / "change-logs.toml"
        path.write_text(f'addresses = ["{relay.address}"]\n', "utf-8")
        real = stack.enter_context(gateway(run, log, listed, "--change-logs", str(path)))
        one = stack.enter_context(hollow(relay.address, run, 1, listed, "--gzip")).ready()
        until(lambda: bool(relay.status()["followers"] == 2), "both followers")
        relay.begin()
        before, cpu, began = one.ask("report"), cpu_s(real.pid), time.monotonic()
        log.command("purge", rate=RATE, count=count)
        time.sleep(seconds(run))
        until(lambda: relay.status()["lowest"] == count + 1, f"{count} purges at both")
        took, spent = time.monotonic() - began, cpu_s(real.pid) - cpu
        after = one.ask("report")
        all_held(after, 1, count)
        plain_only([relay])
        bytes_both = sum(after[name] - before[name] for name in ("bytes_in", "bytes_out"))
        require(bytes_both < 120 * count + 1_000 * (after["polls"] - before["polls"]), f"{bytes_both} bytes")
        return {
            "core_share": CORE * spent / took,
            "us_per_event": spent / count * 1e6,
            "memory_mb": memory_mb(real.pid),
            "bytes_per_s": bytes_both / took,
            "bytes_per_event": bytes_both / count,
            "delay_p100_ms": max(after["delay_us"]) / 1000,
        }
