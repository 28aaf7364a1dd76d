"""The relay as a process that follows a stand-in change log and serves its events."""

from __future__ import annotations

import contextlib
import gzip
import json
import signal
import socket
import subprocess
import sys
import threading
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from hallproxy.feed import GROUP_COUNT
from hallproxy.feed.event_ring import is_snapshot
from hallproxy.relay.front import MAX_STATUS_CONNECTIONS
from tests.support.gateway import DEADLINE, ROOT, ChangeLog, Program, instance_record, now_ms, until

Response = tuple[int, dict[str, str], Any]


class Relay:
    """A relay process with its configuration file."""

    def __init__(self, path: Path, name: str = "r1", **settings: Any) -> None:
        self.name, self.file = name, path / f"{name}.toml"
        self.settings = {"name": name, "listen": "127.0.0.1:0"} | settings
        self.write()
        self.program = Program("relay", str(self.file))
        self.port = self.program.port
        self.address = f"127.0.0.1:{self.port}"
        self.connections: list[FollowerConnection] = []

    def write(self, **settings: Any) -> None:
        self.settings |= settings
        self.file.write_text(
            "".join(f"{key} = {json.dumps(value)}\n" for key, value in self.settings.items())
        )

    def status(self) -> dict[str, Any]:
        status, _, body = self.request("/status")
        assert status == 200
        found: dict[str, Any] = body
        return found

    def wait_until_at(self, number: int) -> Relay:
        """Wait until its last event has this number and it is current."""
        until(lambda: (report := self.status())["last"] == number and report["current"])
        return self

    def request(self, target: str, method: str = "GET", **fields: str) -> Response:
        with contextlib.closing(FollowerConnection(self.port)) as follower:
            return follower.request(target, method, **fields)

    def changes(self, since: int, wait: int = 0, **fields: str) -> Response:
        return self.request(f"/changes?since={since}&timeout={wait}", **fields)

    def connect(self, receive_buffer: int = 0) -> FollowerConnection:
        self.connections.append(FollowerConnection(self.port, receive_buffer))
        return self.connections[-1]

    def stop(self) -> None:
        for follower in self.connections:
            follower.close()
        if self.program.process.poll() is None:
            assert self.program.stop() == 0


class FollowerConnection:
    """A follower's connection."""

    def __init__(self, port: int, receive_buffer: int = 0) -> None:
        """``receive_buffer``: bytes that the kernel receives for it while it does not read."""
        self.sock = socket.socket()
        if receive_buffer:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.sock.connect(("127.0.0.1", port))
        self.sock.settimeout(DEADLINE)
        self.file = self.sock.makefile("rb")

    def send(self, target: str, method: str = "GET", **fields: str) -> None:
        lines = [f"{method} {target} HTTP/1.1", "Host: x"]
        lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
        self.sock.sendall("\r\n".join([*lines, "", ""]).encode())

    def send_poll(self, since: int, wait: int = 5000, **fields: str) -> None:
        self.send(f"/changes?since={since}&timeout={wait}", **fields)

    def read(self) -> Response:
        status = int(self.file.readline().split()[1])
        fields: dict[str, str] = {}
        while line := self.file.readline().strip():
            name, _, value = line.decode().partition(":")
            fields[name.lower()] = value.strip()
        body = self.file.read(int(fields["content-length"]))
        assert len(body) == int(fields["content-length"])
        if fields.get("content-encoding") == "gzip":
            body = gzip.decompress(body)
        return status, fields, json.loads(body) if body else None

    def request(self, target: str, method: str = "GET", **fields: str) -> Response:
        self.send(target, method, **fields)
        return self.read()

    def closed_by_peer(self) -> bool:
        """Whether the peer has closed the connection without a reset."""
        return not self.file.read(1)

    def close(self) -> None:
        self.file.close()
        self.sock.close()


def purge(n: int) -> dict[str, Any]:
    return {"invalidate": {"object": f"{n:016x}", "time": now_ms()}}


def list_update(*names: str, reset: bool = False, generation: int = 1) -> dict[str, Any]:
    lines = [instance_record(name, "127.0.0.1:1", "std") for name in names]
    return {"fleet": {"generation": generation, "reset": reset, "instances": lines}}


def numbers(page: Any) -> list[int]:
    return [event["seq"] for event in page["results"]]


@pytest.fixture
def log() -> ChangeLog:
    change_log = ChangeLog()
    change_log.add(**list_update("a", "b", reset=True))
    return change_log


Start = Callable[..., Relay]


@pytest.fixture
def start(tmp_path: Path, log: ChangeLog) -> Iterator[Start]:
    started: list[Relay] = []

    def make(name: str = "r1", **settings: Any) -> Relay:
        started.append(Relay(tmp_path, name, **({"upstream": [log.address]} | settings)))
        return started[-1]

    yield make
    for relay in started:
        relay.stop()


def test_the_relay_serves_the_events_of_the_log(log: ChangeLog, start: Start) -> None:
    for n in range(30):
        log.add(**purge(n))
    relay = start(gather_ms=0).wait_until_at(31)
    status, fields, page = relay.changes(0)
    assert status == 200 and page == log.page()
    assert fields["content-type"] == "application/json" and fields["via"] == "1.1 r1"
    assert fields["age"] in "12" and fields["vary"] == "Accept-Encoding"
    assert relay.changes(12)[2] == log.page(12)
    follower = relay.connect()
    follower.send_poll(31)
    until(lambda: relay.status()["held"] == 1)
    log.add(**purge(31))
    assert follower.read()[2] == log.page(31)
    assert follower.request("/changes?since=32&timeout=60")[2] == {"seq": 32, "results": []}


def test_events_gather_into_one_page(log: ChangeLog, start: Start) -> None:
    relay = start(gather_ms=1500).wait_until_at(1)
    follower = relay.connect()
    follower.send_poll(1)
    until(lambda: relay.status()["held"] == 1)
    for n in range(5):
        log.add(**purge(n))
        until(lambda: relay.status()["last"] == len(log.events))  # each is received separately
    assert relay.status()["held"] == 1
    # A poll that does not wait gets the gathered events; a waiting one gets all of them in one page.
    assert numbers(relay.changes(1)[2]) == [2, 3, 4, 5, 6]
    assert numbers(follower.read()[2]) == [2, 3, 4, 5, 6]


def test_a_change_of_the_endpoint_list_is_sent_at_once(log: ChangeLog, start: Start) -> None:
    relay = start(gather_ms=5000).wait_until_at(1)
    follower = relay.connect()
    follower.send_poll(1, wait=3000)
    log.add(**purge(1))
    until(lambda: (report := relay.status())["last"] == 2 and report["held"] == 1)
    log.add(**list_update("c"))
    assert numbers(follower.read()[2]) == [2, 3]  # long before the gather delay ends


def test_gzip_for_followers_that_accept_it(log: ChangeLog, start: Start) -> None:
    for n in range(100):
        log.add(**purge(n))
    relay = start().wait_until_at(101)
    plain = relay.changes(0)
    for accept in ("gzip", "br, gzip;q=0.5", "GZIP"):
        gzipped = relay.changes(0, Accept_Encoding=accept)
        assert gzipped[1]["content-encoding"] == "gzip" and gzipped[2] == plain[2]
        assert int(gzipped[1]["content-length"]) < int(plain[1]["content-length"]) / 3
    for accept in ("identity", "br", "gzip;q=0", "gzip;q=x", ""):
        assert "content-encoding" not in relay.changes(0, Accept_Encoding=accept)[1]
    # Compression would make this page longer.
    assert "content-encoding" not in relay.changes(101, Accept_Encoding="gzip")[1]


def test_one_page_is_built_for_many_followers(log: ChangeLog, start: Start) -> None:
    relay = start(gather_ms=0).wait_until_at(1)
    followers = [relay.connect() for _ in range(200)]
    for follower in followers:
        follower.send_poll(1, Accept_Encoding="gzip")
    until(lambda: relay.status()["held"] == 200)
    built_before = relay.status()["pages"]["built"]
    log.add(**purge(1))
    assert all(numbers(follower.read()[2]) == [2] for follower in followers)
    assert relay.status()["pages"]["built"] == built_before + 1
    # No follower has polled again, so none has confirmed the event; then all do.
    report = relay.status()
    assert report["lowest"] == 1 and report["numbers"] == [{"number": 1, "followers": 200}]
    assert report["confirmed_ms"]["count"] == 0
    for follower in followers:
        follower.send_poll(2)
    report = until(lambda: (report := relay.status())["lowest"] == 2 and report)
    assert report["followers"] == 200 and report["confirmed_ms"]["count"] == 1
    for follower in followers:
        follower.close()
    until(lambda: relay.status()["followers"] == 0)


def test_a_long_backlog_is_sent_in_pages(log: ChangeLog, start: Start) -> None:
    for n in range(24):
        log.add(**purge(n))
    relay = start(page_events=10).wait_until_at(25)
    follower, since, received = relay.connect(), 0, []
    for size in (10, 10, 5):
        page = follower.request(f"/changes?since={since}&timeout=5000")[2]
        assert page["seq"] == 25 and len(page["results"]) == size
        received += page["results"]
        since = received[-1]["seq"]
    assert received == log.events


def test_numbers_below_the_ring_and_above_the_last_get_a_snapshot(log: ChangeLog, start: Start) -> None:
    for n in range(600):
        log.add(**purge(n))
    log.add(**list_update("c", generation=7))
    relay = start(ring_events=512).wait_until_at(602)
    assert numbers(relay.changes(602 - 512)[2]) == list(range(602 - 511, 603))
    for since, wait in ((0, 0), (89, 0), (89, 5000), (603, 0), (10**9, 5000)):
        page = relay.changes(since, wait)[2]
        assert is_snapshot(page["results"]) and numbers(page) == list(range(602 - GROUP_COUNT, 603))
        fleet = page["results"][0]["fleet"]
        assert fleet["reset"] and fleet["generation"] == 7
        assert [line["instanceId"] for line in fleet["instances"]] == ["a", "b", "c"]
        latest = max(e["invalidate"]["time"] for e in log.events if "invalidate" in e)
        assert {e["invalidate"]["time"] for e in page["results"][1:]} == {latest}
    log.add(**purge(1))
    assert numbers(relay.changes(602, 5000)[2]) == [603]


def relay_status(*words: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "hallproxy", "relay-status", *words]
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=DEADLINE)


def test_relays_follow_relays(log: ChangeLog, start: Start) -> None:
    top = start("top").wait_until_at(1)
    middle = start("middle", upstream=[top.address], gather_ms=0).wait_until_at(1)
    low = start("low", upstream=[middle.address], gather_ms=0).wait_until_at(1)
    follower = low.connect()
    follower.send_poll(1)
    for n in range(5):
        log.add(**purge(n))
    status, fields, page = follower.read()
    assert status == 200 and page["results"] == log.events[1:][: len(page["results"])]
    assert fields["via"] == "1.1 top, 1.1 middle, 1.1 low" and 2 <= int(fields["age"]) <= 5
    low.wait_until_at(6)
    completed = relay_status(top.address, middle.address, low.address)
    assert completed.returncode == 0, completed.stderr
    lines = completed.stdout.splitlines()
    assert [line.split()[:2] for line in lines] == [
        [log.address], [top.address, "top"], [middle.address, "middle"], [low.address, "low"]]  # fmt: skip
    assert [len(line) - len(line.lstrip()) for line in lines] == [0, 2, 4, 6]
    completed = relay_status("--json", low.address, "127.0.0.1:1")
    found = json.loads(completed.stdout)
    assert completed.returncode == 1 and "error" in found["127.0.0.1:1"]
    assert found[low.address]["via"] == ["top", "middle"] and found[low.address]["follows"] == middle.address


def test_waiting_polls_are_answered_on_sigterm(log: ChangeLog, start: Start) -> None:
    relay = start(gather_ms=5000).wait_until_at(1)
    some, nothing, silent = relay.connect(), relay.connect(), relay.connect()
    some.send_poll(1)
    log.add(**purge(1))
    relay.wait_until_at(2)
    nothing.send_poll(2)
    until(lambda: relay.status()["held"] == 2)
    relay.program.process.terminate()
    for follower, expected in ((some, [2]), (nothing, [])):
        status, fields, page = follower.read()
        assert status == 200 and fields["connection"] == "close" and numbers(page) == expected
        assert follower.closed_by_peer()
    assert silent.closed_by_peer()
    assert relay.program.wait() == 0
    assert relay.program.lines[-1] == "stopped"


def add_large_backlog(log: ChangeLog) -> None:
    """Add 7 MB of events: more than the kernel buffers for a connection with a small receive buffer."""
    for n in range(24_000):
        log.events.append({"seq": n + 2, **purge(n), "note": "x" * 220})


@pytest.mark.timing("the process stops although the peer has 2 s to read a response")
def test_the_process_stops_although_a_response_is_not_read(log: ChangeLog, start: Start) -> None:
    add_large_backlog(log)
    relay = start(ring_events=65_536, page_events=65_536).wait_until_at(24_001)
    follower = relay.connect(receive_buffer=65_536)
    follower.send_poll(0)
    until(lambda: relay.status()["answers"]["plain"] == 1)
    assert relay.program.stop() == 0  # in time
    received = 0
    with contextlib.suppress(ConnectionResetError):
        while more := follower.sock.recv(1 << 20):
            received += len(more)
    assert 0 < received < 6_000_000  # part of the response was not sent


@pytest.mark.timing("the peer has 2 s to read a response")
def test_a_response_that_is_not_read_closes_its_connection(log: ChangeLog, start: Start) -> None:
    add_large_backlog(log)
    relay = start(ring_events=65_536, page_events=65_536).wait_until_at(24_001)
    stuck, slow = relay.connect(receive_buffer=65_536), relay.connect(receive_buffer=65_536)
    stuck.send_poll(0)
    until(lambda: relay.status()["answers"]["plain"] == 1)
    # A follower that reads its response late is served normally from then on.
    slow.send_poll(0)
    until(lambda: relay.status()["answers"]["plain"] == 2)
    assert len(slow.read()[2]["results"]) == 24_001
    slow.send_poll(24_001)
    # The stuck connection is closed, which leaves this one and that of the status request.
    until(lambda: (report := relay.status())["held"] == 1 and report["connections"] == 2)
    log.add(**purge(1))
    assert numbers(slow.read()[2]) == [24_002]
    slow.send_poll(24_002, wait=0)
    slow.send_poll(24_001, wait=0)
    assert [len(slow.read()[2]["results"]) for _ in range(2)] == [0, 1]


def test_bytes_after_a_waiting_poll_stay_unread(log: ChangeLog, start: Start) -> None:
    relay = start(gather_ms=0).wait_until_at(1)
    follower = relay.connect()
    for since in (1, 2, 0):  # pipelined, followed by more than the relay reads ahead
        follower.send_poll(since)
    for _ in range(200):
        follower.send("/changes?since=0&timeout=0", Padding="x" * 200)
    until(lambda: relay.status()["held"] == 1)
    log.add(**purge(1))
    assert numbers(follower.read()[2]) == [2]
    until(lambda: relay.status()["held"] == 1)
    assert relay.status()["answers"]["polls"] == 2
    log.add(**purge(2))
    assert numbers(follower.read()[2]) == [3]
    for _ in range(201):
        assert numbers(follower.read()[2]) == [1, 2, 3]


def test_followers_that_disconnect_while_waiting_are_removed(log: ChangeLog, start: Start) -> None:
    relay = start().wait_until_at(1)
    for _ in range(3):
        follower = relay.connect()
        follower.send_poll(1)
    until(lambda: relay.status()["followers"] == 3)
    for follower in relay.connections:
        follower.close()
    until(
        lambda: (report := relay.status())["followers"] == report["held"] == 0 and report["connections"] == 1
    )


def test_followers_above_the_limit_are_rejected(log: ChangeLog, start: Start) -> None:
    relay = start(followers=3).wait_until_at(1)
    followers = [relay.connect() for _ in range(3)]
    for follower in followers:
        assert follower.request("/changes?since=0&timeout=0")[0] == 200
    status, fields, _ = relay.changes(0)
    assert status == 503 and fields["connection"] == "close" and fields["retry-after"] == "1"
    followers[0].close()
    until(lambda: relay.changes(0)[0] == 200)


def test_a_relay_at_its_limit_serves_only_its_status(log: ChangeLog, start: Start) -> None:
    """Guards the connections above the limit: they serve no polls, and their number is limited."""
    relay = start(followers=2).wait_until_at(1)
    followers: list[FollowerConnection] = []
    while len(followers) < 2:
        follower = relay.connect()  # the connection of the status request may still be counted
        if follower.request("/changes?since=0&timeout=0")[0] == 200:
            followers.append(follower)
    assert relay.status()["followers"] == 2
    late = relay.connect()
    assert late.request("/status")[0] == 200
    status, fields, _ = late.request("/changes?since=0&timeout=0")
    assert status == 503 and fields["connection"] == "close" and fields["retry-after"] == "1"
    silent = [socket.create_connection(("127.0.0.1", relay.port)) for _ in range(MAX_STATUS_CONNECTIONS + 1)]
    silent[-1].settimeout(DEADLINE)
    assert silent[-1].recv(12) == b"HTTP/1.1 503"  # without a request: no status connection is free
    for sock in silent:
        sock.close()
    answers: list[Any] = []

    def answered() -> bool:
        answers.append(relay.request("/status"))  # 503 while the connections just closed still count
        return bool(answers[-1][0] == 200)

    until(answered)
    # Rejected were the late poll, the last silent connection, and the status requests answered with 503.
    rejections = 2 + len(answers) - 1
    assert answers[-1][2]["answers"]["turned_away"] >= rejections


@pytest.mark.parametrize(
    "request_bytes",
    [
        b"GET /changes?since=x&timeout=0 HTTP/1.1\r\nHost: x\r\n\r\n",
        b"GET /changes?since=-1&timeout=0 HTTP/1.1\r\nHost: x\r\n\r\n",
        b"GET /changes?since=1&since=2 HTTP/1.1\r\nHost: x\r\n\r\n",
        b"GET /changes?since=" + b"9" * 30 + b" HTTP/1.1\r\nHost: x\r\n\r\n",
        b"GET /changes?since=1&timeout=0 HTTP/1.1\r\nContent-Length: 5\r\n\r\nabcde",
        b"GET /changes?since=1&timeout=0 HTTP/1.1\r\nTransfer-Encoding: odd\r\n\r\n",
        b"GET //[/changes HTTP/1.1\r\nHost: x\r\n\r\n",
        b"nonsense\r\n\r\n",
        b"\x16\x03\x01" + bytes(5000),
        b"GET /" + b"x" * 5000,
    ],
)
def test_bad_requests_get_400_and_are_closed(log: ChangeLog, start: Start, request_bytes: bytes) -> None:
    relay = start().wait_until_at(1)
    follower = relay.connect()
    follower.sock.sendall(request_bytes)
    status, fields, _ = follower.read()
    assert status == 400 and fields["connection"] == "close" and follower.closed_by_peer()
    assert relay.changes(0)[0] == 200


def test_other_paths_and_methods(log: ChangeLog, start: Start) -> None:
    relay = start().wait_until_at(1)
    follower = relay.connect()
    assert follower.request("/")[0] == follower.request("/changes/")[0] == 404
    for method in ("POST", "HEADS", "DELETE"):
        status, fields, _ = follower.request("/changes?since=0", method)
        assert status == 405 and fields["allow"] == "GET"
    assert follower.request("/status", "PUT")[0] == 405
    assert numbers(follower.request("/changes")[2]) == [1]  # defaults: from 0, without a wait
    assert follower.request("/changes?since=0&timeout=0", Connection="close")[1]["connection"] == "close"
    assert follower.closed_by_peer()


@pytest.mark.timing("the relay is current for 0.4 s")
def test_a_silent_log_makes_the_relay_stale_until_it_answers(start: Start) -> None:
    """503 keeps the connection open, and is sent to waiting polls at once."""
    silent = threading.Event()
    log = ChangeLog()
    log.add(**list_update("a", reset=True))
    answer = log._http.reply

    def reply(request: Any) -> bytes | None:
        return None if silent.is_set() else answer(request)

    log._http.reply = reply
    relay = start(upstream=[log.address], current_ms=400, wait_ms=100).wait_until_at(1)
    follower = relay.connect()
    follower.send_poll(1)
    until(lambda: relay.status()["held"] == 1)
    silent.set()
    status, fields, _ = follower.read()
    assert status == 503 and fields["retry-after"] == "1" and "connection" not in fields
    assert follower.request("/changes?since=0&timeout=0")[0] == 503
    assert not relay.status()["current"]
    silent.clear()
    relay.wait_until_at(1)
    assert numbers(follower.request("/changes?since=0&timeout=0")[2]) == [1]


def test_two_relays_that_follow_each_other_reject_all_events(
    tmp_path: Path, log: ChangeLog, start: Start
) -> None:
    first = start("first").wait_until_at(1)
    second = start("second", upstream=[first.address]).wait_until_at(1)
    first.write(upstream=[second.address])
    first.program.process.send_signal(signal.SIGHUP)
    until(lambda: any("loop of relays: events arrived via " in line for line in first.program.lines))
    until(lambda: first.changes(1)[0] == second.changes(1)[0] == 503)
    first.write(upstream=[second.address, log.address])
    first.program.process.send_signal(signal.SIGHUP)
    first.wait_until_at(1)
    second.wait_until_at(1)


def test_sighup_reloads_the_file(tmp_path: Path, log: ChangeLog, start: Start) -> None:
    relay = start(followers=1).wait_until_at(1)
    follower = relay.connect()
    assert follower.request("/changes?since=0&timeout=0")[0] == 200
    assert relay.changes(0)[0] == 503
    for bad in ({"name": "other"}, {"followers": "many"}):
        former_settings = dict(relay.settings)
        relay.write(**{**bad, "current_ms": 2000})
        relay.program.process.send_signal(signal.SIGHUP)
        until(lambda: sum("configuration not reloaded" in line for line in relay.program.lines))
        relay.program.lines.clear()
        relay.settings = former_settings
    relay.write(followers=5, upstream=["127.0.0.1:1", log.address])
    relay.program.process.send_signal(signal.SIGHUP)
    until(lambda: "configuration reloaded" in relay.program.lines)
    assert relay.changes(0)[0] == 200 and len(relay.status()["upstream"]) == 2


GOOD = {"name": "r1", "listen": "127.0.0.1:7001", "upstream": ["127.0.0.1:7002"]}


@pytest.mark.parametrize(
    "changed",
    [
        {"name": None}, {"name": ""}, {"name": "a b"}, {"name": 5}, {"listen": None}, {"listen": "nowhere"},
        {"listen": 80}, {"upstream": None}, {"upstream": []}, {"upstream": "127.0.0.1:1"}, {"upstream": [1]},
        {"upstream": ["x"]}, {"upstream": ["127.0.0.1:7001"]}, {"upstream": ["localhost:7001"]},
        {"upstream": ["127.0.0.1:1", "127.0.0.1:1"]}, {"gather_ms": -1}, {"gather_ms": "250"},
        {"gather_ms": True}, {"ring_events": 511}, {"page_events": 0}, {"followers": 0}, {"followers": 1.5},
        {"members": 0}, {"current_ms": 0}, {"spread_ms": -1}, {"wait_ms": 6000}, {"colour": 1},
    ],
)  # fmt: skip
def test_an_invalid_file_ends_the_process_with_one_line(tmp_path: Path, changed: dict[str, Any]) -> None:
    settings = {key: value for key, value in {**GOOD, **changed}.items() if value is not None}
    file = tmp_path / "relay.toml"
    file.write_text("".join(f"{key} = {json.dumps(value)}\n" for key, value in settings.items()))
    completed = subprocess.run([sys.executable, "-m", "hallproxy", "relay", str(file)],
                         cwd=ROOT, capture_output=True, text=True, timeout=DEADLINE)  # fmt: skip
    assert completed.returncode == 1 and completed.stdout == ""
    (error_line,) = completed.stderr.splitlines()
    assert error_line.startswith("hallproxy: ") and next(iter(changed)) in error_line


def test_a_missing_file_ends_the_process(tmp_path: Path) -> None:
    completed = subprocess.run([sys.executable, "-m", "hallproxy", "relay", str(tmp_path / "none.toml")],
                         cwd=ROOT, capture_output=True, text=True, timeout=DEADLINE)  # fmt: skip
    assert (
        completed.returncode == 1
        and "can't be read" in completed.stderr
        and "Traceback" not in completed.stderr
    )
