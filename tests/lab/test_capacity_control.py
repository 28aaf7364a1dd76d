"""Capacity of control traffic: the stand-in log, hollow gateways, and that their counts detect errors."""

from __future__ import annotations

import gzip
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack
from pathlib import Path
from random import Random
from typing import Any

import pytest

from hallproxy.lab.capacity import children, control, hollow, logs, relay
from hallproxy.lab.capacity import control_fleet as fleet
from hallproxy.lab.capacity.children import Child
from hallproxy.lab.capacity.registry import MeasurementError, Run
from hallproxy.state.events import PurgeNotified
from tests.support.gateway import ROOT, until

MEMBERS = 20
SEED = 7
Page = tuple[dict[str, str], dict[str, Any]]


@pytest.fixture
def started() -> Iterator[Callable[..., Child]]:
    children_started: list[Child] = []

    def start(module: str, *args: object) -> Child:
        children_started.append(Child(module, *args))
        return children_started[-1].ready()

    yield start
    for child in children_started:
        if child.process.poll() is None:
            child.process.kill()
            child.process.wait()


def start_log(started: Callable[..., Child], *options: object) -> Child:
    return started("changelog", "--members", MEMBERS, "--seed", SEED, *options)


def start_followers(started: Callable[..., Child], log: Child, count: int, *options: object) -> Child:
    at, listed = log.first_message["address"], ("--members", MEMBERS, "--seed", SEED)
    return started("hollow", "--at", at, "--gateways", count, *listed, *options)


class Poller:
    """One connection that polls a log."""

    def __init__(self, log: Child) -> None:
        host, port = log.first_message["address"].split(":")
        self.sock = socket.create_connection((host, int(port)), timeout=10)
        self.file = self.sock.makefile("rb")

    def send(self, since: int, wait: int, fields: str = "") -> None:
        self.sock.sendall(
            f"GET /changes?since={since}&timeout={wait} HTTP/1.1\r\nHost: x\r\n{fields}\r\n".encode()
        )

    def page(self) -> Page:
        assert self.file.readline().split()[1] == b"200"
        fields: dict[str, str] = {}
        while line := self.file.readline().strip().decode():
            name, _, value = line.partition(": ")
            fields[name.lower()] = value
        body = self.file.read(int(fields["content-length"]))
        return fields, json.loads(gzip.decompress(body) if "content-encoding" in fields else body)

    def ask(self, since: int, wait: int = 5_000, fields: str = "") -> Page:
        self.send(since, wait, fields)
        return self.page()


def numbers(page: Page) -> list[int]:
    return [event["seq"] for event in page[1]["results"]]


def test_the_log_starts_with_its_list_and_continues_with_the_purges_of_its_seed(
    started: Callable[..., Child],
) -> None:
    log = start_log(started)
    poller = Poller(log)
    first = poller.ask(0)[1]["results"]
    assert [e["seq"] for e in first] == [1] and first[0]["fleet"] == fleet.list_event(MEMBERS)
    before = time.time_ns() // 1_000_000
    log.command("purge", rate=1000, count=5)
    until(lambda: log.ask("report")["purges"] == 5)
    page = poller.ask(1)[1]
    assert page["seq"] == 6 and [e["seq"] for e in page["results"]] == [2, 3, 4, 5, 6]
    wanted = fleet.PurgeSequence(SEED)
    assert [int(e["invalidate"]["object"], 16) for e in page["results"]] == [wanted[n] for n in range(5)]
    times = [e["invalidate"]["time"] for e in page["results"]]
    assert times == sorted(times) and before <= times[0] and times[-1] <= time.time_ns() // 1_000_000


@pytest.mark.parametrize(
    "options, sizes",
    [
        (("--gather-events", 4), [4, 8, 4, 8]),  # the second page has all events since the first
        (("--gather-events", 4, "--page-events", 4), [4, 4, 4, 4, 4, 4]),
        (("--gather-events", 6, "--page-events", 4), [4, 4, 4, 4, 4, 4]),
        (("--gather-events", 12, "--page-events", 7), [7, 5, 7, 5]),
        (("--page-events", 1), [1] * 24),
        (("--gather-ms", 60_000, "--gather-events", 12), [12, 12]),
    ],
)
def test_pages_have_the_configured_sizes_and_are_contiguous(
    started: Callable[..., Child], options: tuple[object, ...], sizes: list[int]
) -> None:
    """Two batches of twelve events, each published at once while a poll is open."""
    log = start_log(started, *options)
    poller = Poller(log)
    seen: list[int] = []
    last = 1
    for until_seq in (13, 25):
        poller.send(last, 5_000)
        until(lambda: log.ask("report")["polls"] == len(seen) + 1)
        log.command("purge", rate=1e9, count=12)
        while last < until_seq:
            page = numbers(poller.page())
            assert page == list(range(last + 1, last + 1 + len(page)))
            seen.append(len(page))
            last = page[-1]
            if last < until_seq:
                poller.send(last, 5_000)
    assert seen == sizes


def test_gathered_events_are_sent_when_due_or_at_once_to_a_poll_that_does_not_wait(
    started: Callable[..., Child],
) -> None:
    log = start_log(started, "--gather-ms", 60_000)
    poller = Poller(log)
    log.command("purge", rate=100_000, count=3)
    until(lambda: log.ask("report")["purges"] == 3)
    assert numbers(poller.ask(1, 50)) == []  # not published: the wait ends without events
    assert numbers(poller.ask(1, 0)) == [2, 3, 4]
    log.command("change", members=1, whole=False)  # a list change publishes the gathered events at once
    page = poller.ask(1)
    assert numbers(page) == [2, 3, 4, 5] and page[1]["results"][-1]["fleet"]["generation"] == 2
    soon = start_log(started, "--gather-ms", 100)
    other = Poller(soon)
    other.send(1, 5_000)
    until(lambda: soon.ask("report")["polls"] == 1)
    soon.command("purge", rate=100_000, count=3)
    assert numbers(other.page()) == [2, 3, 4]


def test_a_page_is_compressed_on_request_and_every_byte_is_counted(
    started: Callable[..., Child],
) -> None:
    log = start_log(started)
    log.command("purge", rate=100_000, count=50)
    until(lambda: log.ask("report")["purges"] == 50)
    poller = Poller(log)
    plain = poller.ask(1)
    zipped = poller.ask(1, 5_000, "Accept-Encoding: br, gzip\r\n")
    assert plain[1] == zipped[1] and "content-encoding" not in plain[0]
    assert zipped[0]["content-encoding"] == "gzip"
    assert int(zipped[0]["content-length"]) * 2 < int(plain[0]["content-length"])
    report = log.ask("report")
    request_bytes = len("GET /changes?since=1&timeout=5000 HTTP/1.1\r\nHost: x\r\n\r\n")
    assert report["bytes_in"] == 2 * request_bytes + len("Accept-Encoding: br, gzip\r\n")
    wanted = 0
    for fields, _ in (plain, zipped):
        wanted += len("HTTP/1.1 200 OK\r\n\r\n") + int(fields["content-length"])
        wanted += sum(len(f"{name}: {value}\r\n") for name, value in fields.items())
    assert report["bytes_out"] == wanted
    assert (report["polls"], report["told"], report["gzipped"]) == (2, 100, 1)


def test_the_log_rejects_requests_that_are_not_polls(started: Callable[..., Child]) -> None:
    log = start_log(started)
    for request in ("/other HTTP/1.1\r\n\r\n", "x" * 5_000, "/changes?since=-1&timeout=1 HTTP/1.1\r\n\r\n"):
        poller = Poller(log)
        poller.sock.sendall(b"GET " + request.encode())
        assert poller.file.readline().split()[1] == b"400"
    assert log.ask("report")["refused"] == 3


@pytest.mark.parametrize("options", [(), ("--light",), ("--light", "--gzip")])
def test_followers_hold_every_purge_once(started: Callable[..., Child], options: tuple[object, ...]) -> None:
    log = start_log(started)
    followers = start_followers(started, log, 5, *options)
    assert followers.first_message["ready"] == 5
    initial = log.ask("report")
    assert initial["followers"] == 5
    log.command("purge", rate=400, count=60)
    until(lambda: followers.ask("least")["least"] == 60)
    report = followers.ask("report")
    control.require_all_held(report, 5, 60)
    assert report["lists"] == 0 and min(report["delay_us"]) >= 0
    until(lambda: log.ask("report")["confirmed"] == 61)
    log.command("change", members=2, whole=False)
    until(lambda: followers.ask("report")["lists"] == 5)
    # Followers and log count the same bytes once nothing is in flight.
    until(lambda: log.ask("report")["confirmed"] == 62)
    of_log, of_followers = log.ask("report"), followers.ask("report")
    assert (of_followers["bytes_in"], of_followers["bytes_out"]) == (of_log["bytes_out"], of_log["bytes_in"])
    assert of_followers["polls"] == of_log["polls"] and of_log["told"] == 5 * 61


def test_lost_duplicate_and_foreign_purges_are_detected() -> None:
    purged = fleet.PurgeSequence(SEED)
    cases = (
        ([0, 2], "lost"),
        ([0, 1, 1], "twice"),
        ([0, None, 1], "foreign"),
        ([0], "to 1 purges per follower, expected 2"),
    )
    for order, word in cases:
        tally, follower = hollow.Tally(purged), hollow.Follower()
        for place in order:
            tally.record_purge(follower, 1 if place is None else purged[place], 0)
        with pytest.raises(MeasurementError, match=word):
            control.require_all_held(tally.report([follower]), 1, 2)
    tally, pair = hollow.Tally(purged), [hollow.Follower(), hollow.Follower()]
    for one in pair:
        for place in range(2):
            tally.record_purge(one, purged[place], 0)
    control.require_all_held(tally.report(pair), 2, 2)


def test_a_hollow_gateway_has_the_state_of_a_gateway() -> None:
    """The list reaches its module, and a purge its tables, through the reducer."""
    tally = hollow.Tally(fleet.PurgeSequence(SEED))
    one, other = hollow.hollow_gateways(2, MEMBERS, 0, tally)
    assert len(one.state.endpoints.by_id) == MEMBERS and one.state.endpoints is not other.state.endpoints
    assert one.state.settings is other.state.settings
    obj = fleet.PurgeSequence(SEED)[0]
    now = one.now()
    one.dispatch(PurgeNotified(now, obj, 0, now, now))
    assert one.state.purges.purged_at(obj, 0) == now and obj in one.state.router.purges.objects
    assert other.state.purges.purged_at(obj, 0) == 0 and (one.next_index, other.next_index) == (1, 0)


def alive(pid: int) -> bool:
    """Whether the process runs; a zombie does not."""
    try:
        return Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()[0] != "Z"
    except OSError:
        return False


def test_no_process_is_left_when_its_parent_is_killed(tmp_path: Path) -> None:
    """A log, a relay and followers, whose parent is killed while purges are published."""
    path = tmp_path / "relay.toml"
    text = (
        "import pathlib, time\n"
        "from hallproxy.lab.capacity.children import Child, Program\n"
        "log = Child('changelog', '--members', 20).ready()\n"
        "at = log.first_message['address']\n"
        "words = '--at', at, '--gateways', 3, '--members', 20\n"
        "made = [Child('hollow', *words), Child('hollow', *words, '--light')]\n"
        "for one in made: one.ready()\n"
        'text = f\'name = "r"\\nlisten = "127.0.0.1:0"\\nupstream = ["{at}"]\\n\'\n'
        f"pathlib.Path({str(path)!r}).write_text(text)\n"
        f"made.append(Program('relay', {str(path)!r}))\n"
        "made[-1].listening_address()\n"
        "log.command('purge', rate=200, count=5000)\n"
        "print(log.pid, *(one.pid for one in made), flush=True)\n"
        "time.sleep(60)\n"
    )
    parent = subprocess.Popen([sys.executable, "-c", text], cwd=ROOT, stdout=subprocess.PIPE, text=True)
    assert parent.stdout is not None
    pids = [int(word) for word in parent.stdout.readline().split()]
    assert len(pids) == 4 and all(alive(pid) for pid in pids)
    parent.kill()
    parent.wait()
    parent.stdout.close()
    try:
        until(lambda: not any(alive(pid) for pid in pids))
    finally:
        for pid in filter(alive, pids):
            os.kill(pid, signal.SIGKILL)


def test_a_process_ends_when_its_time_limit_expires(started: Callable[..., Child]) -> None:
    log = start_log(started, "--seconds", 0.2)
    until(lambda: log.process.poll() is not None)
    assert log.process.returncode == 0 and "ended after 0.2 s" in "".join(log.lines)
    assert log.answer()["seq"] == 1  # it still reports its figures
    with pytest.raises(MeasurementError, match="has ended"):
        log.ask("report")


def test_a_child_reports_its_end_and_its_faults(started: Callable[..., Child]) -> None:
    with pytest.raises(MeasurementError, match="limit of descriptors"):
        started("hollow", "--at", "127.0.0.1:1", "--gateways", 10_000_000)
    log = start_log(started)
    with pytest.raises(MeasurementError, match="within 0.05 s"):
        log.answer(0.05)
    assert children.memory_mb(log.pid) > 1 and children.cpu_s(log.pid) > 0
    log.end()
    assert log.process.returncode == 0


def test_duplicate_and_missing_purges_of_a_real_gateway_are_detected(tmp_path: Path) -> None:
    run = Run(SEED, True, Random(SEED), tmp_path)
    with Child("changelog", "--members", MEMBERS, "--seed", SEED).ready() as log:
        with control.gateway(run, log, MEMBERS) as program:
            figures = control.measure_purges(log, 200, 20, program.pid)
            assert figures.events == 20 and 0 < figures.answers <= 20 and figures.cpu_s[0] > 0
            with pytest.raises(MeasurementError, match="1 followers of the log, 2 expected"):
                control.measure_purges(log, 200, 20, program.pid, program.pid)
            # The other follower receives one event, then disconnects.
            other = threading.Thread(target=lambda: Poller(log).ask(21))
            other.start()
            until(lambda: log.ask("report")["followers"] == 2)
            with pytest.raises(MeasurementError, match="events sent; followers: 2"):
                control.measure_purges(log, 200, 20, program.pid, program.pid)
            other.join()
        assert not alive(program.pid) and os.path.exists(tmp_path / "gateway.json")


def test_connects_are_counted_by_relay_in_any_100_ms() -> None:
    connects = [(at, 1) for at in (0, 5, 10, 15, 1000, 1050, 1099, 1100, 1199)] + [(1100, 2), (1100, 3)]
    assert relay.burst(sorted(connects), 100, {1, 2}) == 3  # 1000, 1050, 1099: 1000 leaves at 1100
    assert relay.burst(sorted(connects), 0, {1, 2}) == 4
    assert relay.burst(sorted(connects), 1150, {2}) == 0


def test_followers_of_two_relays_hold_all_purges_and_a_missing_one_is_detected(tmp_path: Path) -> None:
    """Hollow and light followers of two relays; a purge missing in one process is detected."""
    run = Run(SEED, True, Random(SEED), tmp_path)
    with ExitStack() as stack:
        log = relay.start_log(run, stack)
        above = [log.first_message["address"]]
        relays = relay.wait_all_ready([relay.Relay(run, stack, f"r-{n}", above, 20) for n in range(2)])
        followers = logs.Followers(run, stack, [r.address for r in relays], 6, 4, "--gzip", processes=2)
        assert [(size, real) for _, size, real in followers.children] == [
            (2, True), (2, True), (1, False), (1, False),
        ]  # fmt: skip
        followers.take_baseline()
        log.command("purge", rate=1_000, count=30)
        reports = followers.wait_held(30)
        figures = followers.figures(reports, 1.0)
        assert 0 < (figures["delay_p50_ms"] or 0) <= (figures["delay_p100_ms"] or 0)
        assert sorted(r.status()["followers"] for r in relays) == [3, 3]
        relay.require_normal_answers(relays)
        assert {at for _, at in followers.connects()} == {int(r.address.split(":")[1]) for r in relays}
        reports[0]["held"][7] -= 1
        with pytest.raises(MeasurementError, match="not held by every follower"):
            control.require_all_held(reports[0], 2, 30)
        connection = socket.create_connection(("127.0.0.1", int(relays[0].address.split(":")[1])), timeout=10)
        connection.sendall(b"GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n")
        assert connection.recv(100).startswith(b"HTTP/1.1 404 ")
        with pytest.raises(MeasurementError, match="r-0 sent unwanted answers: {'bad': 1}"):
            relay.require_normal_answers(relays)
