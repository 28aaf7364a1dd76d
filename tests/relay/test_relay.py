"""The relay as a process: it follows a stand-in log, and serves the same."""

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

Answer = tuple[int, dict[str, str], Any]


class Relay:
    """The program with its file, and what it is asked."""

    def __init__(self, path: Path, name: str = "r1", **keys: Any) -> None:
        self.name, self.file = name, path / f"{name}.toml"
        self.keys = {"name": name, "listen": "127.0.0.1:0"} | keys
        self.write()
        self.program = Program("relay", str(self.file))
        self.port = self.program.port
        self.address = f"127.0.0.1:{self.port}"
        self.open: list[Poll] = []

    def write(self, **keys: Any) -> None:
        self.keys |= keys
        self.file.write_text("".join(f"{key} = {json.dumps(value)}\n" for key, value in self.keys.items()))

    def status(self) -> dict[str, Any]:
        status, _, body = self.ask("/status")
        assert status == 200
        found: dict[str, Any] = body
        return found

    def at(self, number: int) -> Relay:
        """Once it holds so many events, and is current."""
        until(lambda: (said := self.status())["last"] == number and said["current"])
        return self

    def ask(self, target: str, method: str = "GET", **fields: str) -> Answer:
        with contextlib.closing(Poll(self.port)) as poll:
            return poll.ask(target, method, **fields)

    def changes(self, since: int, wait: int = 0, **fields: str) -> Answer:
        return self.ask(f"/changes?since={since}&timeout={wait}", **fields)

    def poll(self, takes: int = 0) -> Poll:
        self.open.append(Poll(self.port, takes))
        return self.open[-1]

    def end(self) -> None:
        for poll in self.open:
            poll.close()
        if self.program.process.poll() is None:
            assert self.program.stop() == 0


class Poll:
    """One connection of a follower."""

    def __init__(self, port: int, takes: int = 0) -> None:
        """``takes``: bytes that the system takes for it while it does not read."""
        self.sock = socket.socket()
        if takes:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, takes)
        self.sock.connect(("127.0.0.1", port))
        self.sock.settimeout(DEADLINE)
        self.file = self.sock.makefile("rb")

    def send(self, target: str, method: str = "GET", **fields: str) -> None:
        lines = [f"{method} {target} HTTP/1.1", "Host: x"]
        lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
        self.sock.sendall("\r\n".join([*lines, "", ""]).encode())

    def hold(self, since: int, wait: int = 5000, **fields: str) -> None:
        self.send(f"/changes?since={since}&timeout={wait}", **fields)

    def read(self) -> Answer:
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

    def ask(self, target: str, method: str = "GET", **fields: str) -> Answer:
        self.send(target, method, **fields)
        return self.read()

    def ended(self) -> bool:
        """Whether the other side has ended the connection in order."""
        return not self.file.read(1)

    def close(self) -> None:
        self.file.close()
        self.sock.close()


def purge(n: int) -> dict[str, Any]:
    return {"invalidate": {"object": f"{n:016x}", "time": now_ms()}}


def a_list(*names: str, reset: bool = False, generation: int = 1) -> dict[str, Any]:
    lines = [instance_record(name, "127.0.0.1:1", "std") for name in names]
    return {"fleet": {"generation": generation, "reset": reset, "instances": lines}}


def numbers(page: Any) -> list[int]:
    return [event["seq"] for event in page["results"]]


@pytest.fixture
def log() -> ChangeLog:
    made = ChangeLog()
    made.add(**a_list("a", "b", reset=True))
    return made


Start = Callable[..., Relay]


@pytest.fixture
def start(tmp_path: Path, log: ChangeLog) -> Iterator[Start]:
    started: list[Relay] = []

    def make(name: str = "r1", **keys: Any) -> Relay:
        started.append(Relay(tmp_path, name, **({"upstream": [log.address]} | keys)))
        return started[-1]

    yield make
    for relay in started:
        relay.end()


def test_it_tells_what_the_log_tells(log: ChangeLog, start: Start) -> None:
    for n in range(30):
        log.add(**purge(n))
    relay = start(gather_ms=0).at(31)
    status, fields, page = relay.changes(0)
    assert status == 200 and page == log.page()
    assert fields["content-type"] == "application/json" and fields["via"] == "1.1 r1"
    assert fields["age"] in "12" and fields["vary"] == "Accept-Encoding"
    assert relay.changes(12)[2] == log.page(12)
    held = relay.poll()
    held.hold(31)
    until(lambda: relay.status()["held"] == 1)
    log.add(**purge(31))
    assert held.read()[2] == log.page(31)
    assert held.ask("/changes?since=32&timeout=60")[2] == {"seq": 32, "results": []}


def test_events_gather_into_one_page(log: ChangeLog, start: Start) -> None:
    relay = start(gather_ms=1500).at(1)
    held = relay.poll()
    held.hold(1)
    until(lambda: relay.status()["held"] == 1)
    for n in range(5):
        log.add(**purge(n))
        until(lambda: relay.status()["last"] == len(log.events))  # each came by itself
    assert relay.status()["held"] == 1
    # Who does not wait gets what has gathered; who waits, all of it together.
    assert numbers(relay.changes(1)[2]) == [2, 3, 4, 5, 6]
    assert numbers(held.read()[2]) == [2, 3, 4, 5, 6]


def test_a_change_of_the_list_is_told_at_once(log: ChangeLog, start: Start) -> None:
    relay = start(gather_ms=5000).at(1)
    held = relay.poll()
    held.hold(1, wait=3000)
    log.add(**purge(1))
    until(lambda: (said := relay.status())["last"] == 2 and said["held"] == 1)
    log.add(**a_list("c"))
    assert numbers(held.read()[2]) == [2, 3]  # well ahead of the gathering's end


def test_gzip_for_who_takes_it(log: ChangeLog, start: Start) -> None:
    for n in range(100):
        log.add(**purge(n))
    relay = start().at(101)
    plain = relay.changes(0)
    for accept in ("gzip", "br, gzip;q=0.5", "GZIP"):
        zipped = relay.changes(0, Accept_Encoding=accept)
        assert zipped[1]["content-encoding"] == "gzip" and zipped[2] == plain[2]
        assert int(zipped[1]["content-length"]) < int(plain[1]["content-length"]) / 3
    for accept in ("identity", "br", "gzip;q=0", "gzip;q=x", ""):
        assert "content-encoding" not in relay.changes(0, Accept_Encoding=accept)[1]
    assert "content-encoding" not in relay.changes(101, Accept_Encoding="gzip")[1]  # it would be longer


def test_one_page_serves_many(log: ChangeLog, start: Start) -> None:
    relay = start(gather_ms=0).at(1)
    polls = [relay.poll() for _ in range(200)]
    for poll in polls:
        poll.hold(1, Accept_Encoding="gzip")
    until(lambda: relay.status()["held"] == 200)
    built = relay.status()["pages"]["built"]
    log.add(**purge(1))
    assert all(numbers(poll.read()[2]) == [2] for poll in polls)
    assert relay.status()["pages"]["built"] == built + 1
    # None has asked again, so none has confirmed it; then all do.
    said = relay.status()
    assert said["lowest"] == 1 and said["numbers"] == [{"number": 1, "followers": 200}]
    assert said["confirmed_ms"]["count"] == 0
    for poll in polls:
        poll.hold(2)
    said = until(lambda: (said := relay.status())["lowest"] == 2 and said)
    assert said["followers"] == 200 and said["confirmed_ms"]["count"] == 1
    for poll in polls:
        poll.close()
    until(lambda: relay.status()["followers"] == 0)


def test_a_long_backlog_is_told_in_pages(log: ChangeLog, start: Start) -> None:
    for n in range(24):
        log.add(**purge(n))
    relay = start(page_events=10).at(25)
    poll, since, got = relay.poll(), 0, []
    for size in (10, 10, 5):
        page = poll.ask(f"/changes?since={since}&timeout=5000")[2]
        assert page["seq"] == 25 and len(page["results"]) == size
        got += page["results"]
        since = got[-1]["seq"]
    assert got == log.events


def test_a_whole_page_for_numbers_below_the_ring_and_above_the_last(log: ChangeLog, start: Start) -> None:
    for n in range(600):
        log.add(**purge(n))
    log.add(**a_list("c", generation=7))
    relay = start(ring_events=512).at(602)
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
    top = start("top").at(1)
    middle = start("middle", upstream=[top.address], gather_ms=0).at(1)
    low = start("low", upstream=[middle.address], gather_ms=0).at(1)
    held = low.poll()
    held.hold(1)
    for n in range(5):
        log.add(**purge(n))
    status, fields, page = held.read()
    assert status == 200 and page["results"] == log.events[1:][: len(page["results"])]
    assert fields["via"] == "1.1 top, 1.1 middle, 1.1 low" and 2 <= int(fields["age"]) <= 5
    low.at(6)
    ran = relay_status(top.address, middle.address, low.address)
    assert ran.returncode == 0, ran.stderr
    lines = ran.stdout.splitlines()
    assert [line.split()[:2] for line in lines] == [
        [log.address], [top.address, "top"], [middle.address, "middle"], [low.address, "low"]]  # fmt: skip
    assert [len(line) - len(line.lstrip()) for line in lines] == [0, 2, 4, 6]
    ran = relay_status("--json", low.address, "127.0.0.1:1")
    found = json.loads(ran.stdout)
    assert ran.returncode == 1 and "error" in found["127.0.0.1:1"]
    assert found[low.address]["via"] == ["top", "middle"] and found[low.address]["follows"] == middle.address


def test_held_polls_are_answered_at_the_end(log: ChangeLog, start: Start) -> None:
    relay = start(gather_ms=5000).at(1)
    some, nothing, silent = relay.poll(), relay.poll(), relay.poll()
    some.hold(1)
    log.add(**purge(1))
    relay.at(2)
    nothing.hold(2)
    until(lambda: relay.status()["held"] == 2)
    relay.program.process.terminate()
    for poll, expected in ((some, [2]), (nothing, [])):
        status, fields, page = poll.read()
        assert status == 200 and fields["connection"] == "close" and numbers(page) == expected
        assert poll.ended()
    assert silent.ended()
    assert relay.program.wait() == 0
    assert relay.program.lines[-1] == "stopped"


def more_than_the_system_takes(log: ChangeLog) -> None:
    """A page of 7 MB: over what the system holds for a connection whose follower takes little."""
    for n in range(24_000):
        log.events.append({"seq": n + 2, **purge(n), "note": "x" * 220})


@pytest.mark.timing("the process ends although an answer has 2 s to be taken")
def test_it_ends_though_an_answer_is_not_taken(log: ChangeLog, start: Start) -> None:
    more_than_the_system_takes(log)
    relay = start(ring_events=65_536, page_events=65_536).at(24_001)
    poll = relay.poll(takes=65_536)
    poll.hold(0)
    until(lambda: relay.status()["answers"]["plain"] == 1)
    assert relay.program.stop() == 0  # in time, ...
    got = 0
    with contextlib.suppress(ConnectionResetError):
        while more := poll.sock.recv(1 << 20):
            got += len(more)
    assert 0 < got < 6_000_000  # ...and there were bytes that had not been taken


@pytest.mark.timing("an answer has 2 s to be taken")
def test_an_answer_that_is_not_taken_ends_its_connection(log: ChangeLog, start: Start) -> None:
    more_than_the_system_takes(log)
    relay = start(ring_events=65_536, page_events=65_536).at(24_001)
    stuck, slow = relay.poll(takes=65_536), relay.poll(takes=65_536)
    stuck.hold(0)
    until(lambda: relay.status()["answers"]["plain"] == 1)
    # One that takes it late, but takes it, is served as any other from then on.
    slow.hold(0)
    until(lambda: relay.status()["answers"]["plain"] == 2)
    assert len(slow.read()[2]["results"]) == 24_001
    slow.hold(24_001)
    until(lambda: (said := relay.status())["held"] == 1 and said["connections"] == 2)  # stuck's is gone
    log.add(**purge(1))
    assert numbers(slow.read()[2]) == [24_002]
    slow.hold(24_002, wait=0)
    slow.hold(24_001, wait=0)
    assert [len(slow.read()[2]["results"]) for _ in range(2)] == [0, 1]


def test_bytes_behind_a_held_poll_wait(log: ChangeLog, start: Start) -> None:
    relay = start(gather_ms=0).at(1)
    poll = relay.poll()
    for since in (1, 2, 0):  # in one write, and behind it more than is ever read ahead
        poll.hold(since)
    for _ in range(200):
        poll.send("/changes?since=0&timeout=0", Padding="x" * 200)
    until(lambda: relay.status()["held"] == 1)
    log.add(**purge(1))
    assert numbers(poll.read()[2]) == [2]
    until(lambda: relay.status()["held"] == 1)
    assert relay.status()["answers"]["polls"] == 2
    log.add(**purge(2))
    assert numbers(poll.read()[2]) == [3]
    for _ in range(201):
        assert numbers(poll.read()[2]) == [1, 2, 3]


def test_who_leaves_a_held_poll_is_forgotten(log: ChangeLog, start: Start) -> None:
    relay = start().at(1)
    for _ in range(3):
        poll = relay.poll()
        poll.hold(1)
    until(lambda: relay.status()["followers"] == 3)
    for poll in relay.open:
        poll.close()
    until(lambda: (said := relay.status())["followers"] == said["held"] == 0 and said["connections"] == 1)


def test_followers_beyond_the_bound_are_turned_away(log: ChangeLog, start: Start) -> None:
    relay = start(followers=3).at(1)
    polls = [relay.poll() for _ in range(3)]
    for poll in polls:
        assert poll.ask("/changes?since=0&timeout=0")[0] == 200
    status, fields, _ = relay.changes(0)
    assert status == 503 and fields["connection"] == "close" and fields["retry-after"] == "1"
    polls[0].close()
    until(lambda: relay.changes(0)[0] == 200)


def test_a_full_relay_tells_its_status_and_nothing_else(log: ChangeLog, start: Start) -> None:
    """Guard: the few places over the bound. They are no places for followers, and bounded themselves."""
    relay = start(followers=2).at(1)
    polls: list[Poll] = []
    while len(polls) < 2:
        poll = relay.poll()  # the connection that asked for the status may still be counted
        if poll.ask("/changes?since=0&timeout=0")[0] == 200:
            polls.append(poll)
    assert relay.status()["followers"] == 2
    late = relay.poll()
    assert late.ask("/status")[0] == 200
    status, fields, _ = late.ask("/changes?since=0&timeout=0")
    assert status == 503 and fields["connection"] == "close" and fields["retry-after"] == "1"
    silent = [socket.create_connection(("127.0.0.1", relay.port)) for _ in range(MAX_STATUS_CONNECTIONS + 1)]
    silent[-1].settimeout(DEADLINE)
    assert silent[-1].recv(12) == b"HTTP/1.1 503"  # unasked: there is no place over the bound either
    for sock in silent:
        sock.close()
    answers: list[Any] = []

    def answered() -> bool:
        answers.append(relay.ask("/status"))  # 503 while the connections that were just closed still count
        return bool(answers[-1][0] == 200)

    until(answered)
    rejections = 2 + len(answers) - 1  # the late poll, the last silent connection, and those just made
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
def test_bad_requests_are_told_and_closed(log: ChangeLog, start: Start, request_bytes: bytes) -> None:
    relay = start().at(1)
    poll = relay.poll()
    poll.sock.sendall(request_bytes)
    status, fields, _ = poll.read()
    assert status == 400 and fields["connection"] == "close" and poll.ended()
    assert relay.changes(0)[0] == 200


def test_other_paths_and_methods(log: ChangeLog, start: Start) -> None:
    relay = start().at(1)
    poll = relay.poll()
    assert poll.ask("/")[0] == poll.ask("/changes/")[0] == 404
    for method in ("POST", "HEADS", "DELETE"):
        status, fields, _ = poll.ask("/changes?since=0", method)
        assert status == 405 and fields["allow"] == "GET"
    assert poll.ask("/status", "PUT")[0] == 405
    assert numbers(poll.ask("/changes")[2]) == [1]  # from 0, without a wait
    assert poll.ask("/changes?since=0&timeout=0", Connection="close")[1]["connection"] == "close"
    assert poll.ended()


@pytest.mark.timing("news is current for 0.4 s")
def test_a_log_that_is_silent_is_told_and_comes_back(start: Start) -> None:
    """503 keeps the connection, and goes to held polls at once."""
    quiet = threading.Event()
    log = ChangeLog()
    log.add(**a_list("a", reset=True))
    answers = log._http.reply

    def reply(seen: Any) -> bytes | None:
        return None if quiet.is_set() else answers(seen)

    log._http.reply = reply
    relay = start(upstream=[log.address], current_ms=400, wait_ms=100).at(1)
    held = relay.poll()
    held.hold(1)
    until(lambda: relay.status()["held"] == 1)
    quiet.set()
    status, fields, _ = held.read()
    assert status == 503 and fields["retry-after"] == "1" and "connection" not in fields
    assert held.ask("/changes?since=0&timeout=0")[0] == 503
    assert not relay.status()["current"]
    quiet.clear()
    relay.at(1)
    assert numbers(held.ask("/changes?since=0&timeout=0")[2]) == [1]


def test_two_that_follow_each_other_take_nothing(tmp_path: Path, log: ChangeLog, start: Start) -> None:
    first = start("first").at(1)
    second = start("second", upstream=[first.address]).at(1)
    first.write(upstream=[second.address])
    first.program.process.send_signal(signal.SIGHUP)
    until(lambda: any("events in a loop of relays: over " in line for line in first.program.lines))
    until(lambda: first.changes(1)[0] == second.changes(1)[0] == 503)
    first.write(upstream=[second.address, log.address])
    first.program.process.send_signal(signal.SIGHUP)
    first.at(1)
    second.at(1)


def test_a_file_read_anew(tmp_path: Path, log: ChangeLog, start: Start) -> None:
    relay = start(followers=1).at(1)
    poll = relay.poll()
    assert poll.ask("/changes?since=0&timeout=0")[0] == 200
    assert relay.changes(0)[0] == 503
    for bad in ({"name": "other"}, {"followers": "many"}):
        kept = dict(relay.keys)
        relay.write(**{**bad, "current_ms": 2000})
        relay.program.process.send_signal(signal.SIGHUP)
        until(lambda: sum("stays as it was" in line for line in relay.program.lines))
        relay.program.lines.clear()
        relay.keys = kept
    relay.write(followers=5, upstream=["127.0.0.1:1", log.address])
    relay.program.process.send_signal(signal.SIGHUP)
    until(lambda: "the configuration was read anew" in relay.program.lines)
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
def test_a_bad_file_is_one_line_and_a_status(tmp_path: Path, changed: dict[str, Any]) -> None:
    keys = {key: value for key, value in {**GOOD, **changed}.items() if value is not None}
    file = tmp_path / "relay.toml"
    file.write_text("".join(f"{key} = {json.dumps(value)}\n" for key, value in keys.items()))
    ran = subprocess.run([sys.executable, "-m", "hallproxy", "relay", str(file)],
                         cwd=ROOT, capture_output=True, text=True, timeout=DEADLINE)  # fmt: skip
    assert ran.returncode == 1 and ran.stdout == ""
    (said,) = ran.stderr.splitlines()
    assert said.startswith("hallproxy: ") and next(iter(changed)) in said


def test_a_file_that_is_not_there(tmp_path: Path) -> None:
    ran = subprocess.run([sys.executable, "-m", "hallproxy", "relay", str(tmp_path / "none.toml")],
                         cwd=ROOT, capture_output=True, text=True, timeout=DEADLINE)  # fmt: skip
    assert ran.returncode == 1 and "can't be read" in ran.stderr and "Traceback" not in ran.stderr
