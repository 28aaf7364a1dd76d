"""What control costs one gateway: a real process with a configuration, and a change log as it likes.

Bytes are those that the log counted on the gateway's connections: requests and answers, heads included.
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

RATE = 180.0  # purges a second at the operators' size
MEMBERS = 1_500  # stores there
MEMBERS_TINY = 60
EVENT_MOST = 400.0  # bytes of an event told alone, both ways: what the protocol's heads and JSON can come to
CORE = 100.0  # %
CROWD = 10  # hollow gateways in one process, told one by one


def seconds(run: Run) -> float:
    """How long purges come in one point."""
    return 0.3 if run.tiny else 8.0


def members(run: Run) -> int:
    return MEMBERS_TINY if run.tiny else MEMBERS


def require(held: bool, what: str) -> None:
    if not held:
        raise MeasurementError(what)


@contextmanager
def gateway(run: Run, log: Child, members: int, *words: str) -> Iterator[Program]:
    """A real gateway that follows the log from the list that its configuration knows."""
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
    with Program(*words, EDGE_CONFIG=str(path), EDGE_NAME="measured") as program:
        program.listening_address()
        yield program
        require(not any("change log:" in x or "fault" in x for x in program.lines), "\n".join(program.lines))


@dataclass
class Told:
    """What came of some purges that each follower of a log was told; figures are one follower's."""

    events: int
    seconds: float
    cpu_s: tuple[float, ...]  # of each process
    bytes_both: float  # to the log and from it
    answers: float  # with events

    @property
    def core_share(self) -> float:
        return CORE * self.cpu_s[0] / self.seconds

    @property
    def bytes_per_s(self) -> float:
        return self.bytes_both / self.seconds

    @property
    def us_per_event(self) -> float:
        return self.cpu_s[0] / self.events * 1e6

    @property
    def bytes_per_event(self) -> float:
        return self.bytes_both / self.events


def purged(log: Child, rate: float, count: int, *pids: int, each: int = 1) -> Told:
    """Have the log tell so many purges, until its followers, `each` in each process, have confirmed them.

    Raises MeasurementError if one is told twice or not at all.
    """
    followers = each * len(pids)
    before, cpu, began = log.ask("report"), [cpu_s(pid) for pid in pids], time.monotonic()
    require(before["followers"] == followers, f"{before['followers']} followers, {followers} wanted")
    log.command("purge", rate=rate, count=count)
    time.sleep(count / rate)
    until(lambda: log.ask("report")["confirmed"] == before["seq"] + count, f"{count} purges at the gateway")
    took, spent = time.monotonic() - began, [cpu_s(pid) - was for pid, was in zip(pids, cpu, strict=True)]
    after = log.ask("report")
    told = after["told"] - before["told"]
    require(told == count * followers, f"{count} purges, but {told} were told to {followers}")
    require(after["connects"] == before["connects"], "a gateway connected anew")
    answers = after["polls"] - before["polls"] - (after["empty"] - before["empty"])
    bytes_both = sum(after[name] - before[name] for name in ("bytes_in", "bytes_out"))
    return Told(count, took, tuple(spent), bytes_both / followers, answers / followers)


def quiet(log: Child, pid: int, during: float) -> Measured:
    """One follower's figures where nothing is told for so many s: its polls are held to their ends."""
    before, cpu, began = log.ask("report"), cpu_s(pid), time.monotonic()
    time.sleep(during)
    until(lambda: log.ask("report")["empty"] > before["empty"], "a poll that is held to its end")
    took, spent, after = time.monotonic() - began, cpu_s(pid) - cpu, log.ask("report")
    require(after["told"] == before["told"], "something was told though nothing was to tell")
    bytes_both = sum(after[name] - before[name] for name in ("bytes_in", "bytes_out"))
    return {
        "core_share": CORE * spent / took,
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
    listed = members(run)
    with Child("changelog", "--members", listed, "--seed", run.seed).ready() as log:
        with gateway(run, log, listed) as program:
            if not size:
                return {**quiet(log, program.pid, seconds(run)), "memory_mb": memory_mb(program.pid)}
            told = purged(log, size, max(2, round(size * seconds(run))), program.pid)
            require(told.bytes_per_event < EVENT_MOST + 400 / size, f"{told.bytes_per_event:.0f} B an event")
            return {
                "core_share": told.core_share,
                "bytes_per_s": told.bytes_per_s,
                "us_per_event": told.us_per_event,
                "bytes_per_event": told.bytes_per_event,
                "events_per_page": told.events / told.answers,
                "memory_mb": memory_mb(program.pid),
            }


def page(seed: int, first: int, events: int) -> bytes:
    """A page of purges as the log words it, made without one: a purge each 1/180 s."""
    told = fleet.PurgeSequence(seed)
    at = time.time_ns() // 1_000_000
    results = [
        {"seq": first + n, "invalidate": {"object": f"{told[n]:016x}", "time": at + int(n / RATE * 1000)}}
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
    """Core and bytes are the real process's, on plain pages; the bytes of pages are their bodies'."""
    listed, events = members(run), int(size)
    count = max(1, round(RATE * seconds(run) / events)) * events
    plain = page(run.seed, 100_000, events)
    zipped = gzip.compress(plain, 6, mtime=0)
    require(gzip.decompress(zipped) == plain, "a page is not what was zipped")
    words = ("--gather-events", events, "--page-events", events)
    with Child("changelog", "--members", listed, "--seed", run.seed, *words).ready() as log:
        with gateway(run, log, listed) as program:
            told = purged(log, RATE, count, program.pid)
            require(told.answers == count / events, f"{told.answers} pages of {events} for {count} purges")
            return {
                "core_share": told.core_share,
                "us_per_event": told.us_per_event,
                "bytes_per_s": told.bytes_per_s,
                "bytes_per_event": told.bytes_per_event,
                "page_bytes": float(len(plain)),
                "page_bytes_gzip": float(len(zipped)),
            }


def hollow(at: str, run: Run, count: int, listed: int, *words: object) -> Child:
    """A process of hollow gateways that follow the log, or relay, at this address."""
    asked: list[object] = ["--at", at, "--gateways", count, "--members", listed]
    return Child("hollow", *asked, "--seed", run.seed, *words)


def all_held(report: dict[str, Any], followers: int, count: int) -> None:
    """Every purge at every follower, none twice, and nothing that was never made."""
    wrong = {name: report[name] for name in ("lost", "twice", "foreign", "groups") if report[name]}
    require(not wrong, f"purges went wrong: {wrong}")
    require(report["least"] == report["most"] == count, f"{report['least']} to {report['most']} of {count}")
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
    """Both are told at once, each in a process of its own, so what else the machine does costs both alike.

    Many in one process share its waking up: what they cost is less than what as many gateways would.
    """
    listed, count = members(run), max(2, round(size * seconds(run) / 2))
    crowd = 4 if run.tiny else CROWD
    with Child("changelog", "--members", listed, "--seed", run.seed).ready() as log:
        with (
            gateway(run, log, listed) as program,
            hollow(log.first_message["address"], run, 1, listed).ready() as one,
        ):
            before = one.ask("report")
            both = purged(log, size, count, program.pid, one.pid)
            after = one.ask("report")
            all_held(after, 1, count)
            bytes_hollow = sum(after[name] - before[name] for name in ("bytes_in", "bytes_out"))
            bytes_real = 2 * both.bytes_both - bytes_hollow
            require(
                abs(bytes_real - bytes_hollow) < 4 * EVENT_MOST,
                f"the hollow gateway counts {bytes_hollow} bytes, the log {bytes_real} for the real one",
            )
    with Child("changelog", "--members", listed, "--seed", run.seed).ready() as log:
        with hollow(log.first_message["address"], run, crowd, listed).ready() as many:
            told = purged(log, size, count, many.pid, each=crowd)
            all_held(many.ask("report"), crowd, count)
    real, like = both.cpu_s
    return {
        "core_us_real": real / count * 1e6,
        "core_us_hollow": like / count * 1e6,
        "difference_percent": 100 * (like / real - 1),
        "core_us_crowded": told.us_per_event / crowd,
        "bytes_real": bytes_real / count,
        "bytes_hollow": bytes_hollow / count,
    }


CHANGES = 12  # of the list, in a point


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
    """A change tells of one store that has started anew; a whole list tells all of them again."""
    listed, changes = int(size), 3 if run.tiny else CHANGES
    figures: dict[str, float] = {}
    with Child("changelog", "--members", listed, "--seed", run.seed).ready() as log:
        with gateway(run, log, listed) as program:
            for whole in (False, True):
                before, cpu = log.ask("report"), cpu_s(program.pid)
                for number in range(changes):
                    log.command("change", members=1, whole=whole)
                    wanted = before["seq"] + number + 1
                    until(lambda wanted=wanted: log.ask("report")["confirmed"] == wanted, "a change")  # type: ignore[misc]
                spent, after = cpu_s(program.pid) - cpu, log.ask("report")
                require(after["told"] - before["told"] == changes, "a change was told twice, or not at all")
                figures["core_ms_whole" if whole else "core_ms"] = spent / changes * 1000
                figures["bytes_whole"] = (after["bytes_out"] - before["bytes_out"]) / changes
            require(figures["bytes_whole"] > 100 * listed, "a whole list that does not tell all stores")
            return {**figures, "memory_mb": memory_mb(program.pid)}
