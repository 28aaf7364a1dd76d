"""Teams on real sockets: both fronts, a small flood, and what operators see of it."""

from __future__ import annotations

import hashlib
import http.client
import json
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from hallproxy.lab import teams as lab
from hallproxy.repository import simple
from hallproxy.run import contracts
from hallproxy.wire import frames
from tests.support.gateway import ROOT, Platform, until
from tests.support.repository_front import PROJECT, Front, basic_auth

TEAMS = """
[teams.a]
[teams.b]
[services.s]
[[contracts]]
team = "a"
service = "s"
rate = 0.01
burst = 3
retry_share = 0.0
[[contracts]]
team = "b"
service = "s"
[[assign]]
team = "a"
service = "s"
groups = [0, 9]
[[assign]]
team = "b"
service = "s"
"""


@pytest.fixture
def platform(tmp_path: Path) -> Iterator[Platform]:
    (tmp_path / "teams.toml").write_text(TEAMS)
    made = Platform(tmp_path, args=("--teams", str(tmp_path / "teams.toml"))).start()
    yield made
    made.program.process.kill()
    made.program.wait()


def test_the_platforms_front_tells_teams_apart_by_class_and_group(platform: Platform) -> None:
    client = platform.client()
    codes = {"a": [], "b": []}  # type: ignore[var-annotated]
    for n in range(5):
        for team, group in (("a", 3), ("b", 200)):
            client.send_request(op="small", row=n * 10 + group, batch=str(group))
            code, fields, _ = client.read_response()
            codes[team].append(code)
            assert code == frames.SERVED or int(fields["pushback"]) > 1000
    assert codes["a"] == [frames.SERVED] * 3 + [frames.REJECTED] * 2 and set(codes["b"]) == {frames.SERVED}


def test_a_key_of_one_team_is_refused_to_another_on_the_platforms_front(platform: Platform) -> None:
    client = platform.client()
    for group, code in ((200, frames.SERVED), (3, frames.REJECTED), (200, frames.SERVED)):
        client.send_request(
            op="close", row=group, batch=str(group), dedupe="same", rep="1" if code == frames.SERVED else "0"
        )
        assert client.read_response()[0] == code
    assert len(platform.requests) == 2


def test_the_teams_file_is_read_anew_whole_or_not_at_all(platform: Platform) -> None:
    client, file = platform.client(), platform.path / "teams.toml"
    file.write_text(TEAMS.replace("groups = [0, 9]", "groups = [0, 900]"))
    platform.program.process.send_signal(signal.SIGHUP)
    until(
        lambda: any(
            "configuration not reloaded" in line and "groups" in line for line in platform.program.lines
        )
    )
    of_b = 'team = "b"\nservice = "s"\n'
    file.write_text(TEAMS.replace(of_b, of_b + "rate = 0.01\nburst = 1\n", 1))
    platform.program.process.send_signal(signal.SIGHUP)
    until(lambda: any("configuration reloaded" in line for line in platform.program.lines))
    said = []
    for n in range(2):
        client.send_request(op="small", row=n, batch="200")
        said.append(client.read_response()[0])
    assert said == [frames.SERVED, frames.REJECTED]


@pytest.mark.parametrize(
    ("changed", "says"),
    [
        (
            ('team = "b"\nservice = "s"\n[[assign]]', 'team = "c"\nservice = "s"\n[[assign]]'),
            "'c' is not among",
        ),
        (("groups = [0, 9]", 'classes = ["nothing"]'), "'nothing' is not a class"),
        (('[[assign]]\nteam = "b"\nservice = "s"\n', ""), "not assigned to a team"),
        (("burst = 3", "burst = -3"), "burst"),
        (("rate = 0.01\n", ""), "burst without rate"),
        (("[teams.a]", "[teams.a]\nweight = 0"), "weight"),
        (("[teams.a]", '[teams.a]\nnetworks = ["10.0.0.1/8"]'), "networks"),
        (("[teams.a]", '[teams.a]\norganisation = "o"'), "not among the organisations"),
        (("[teams.a]", '[organisations.o]\nrate = 0.001\n[teams.a]\norganisation = "o"'), "over 0.001"),
    ],
)
def test_a_bad_teams_file_is_one_plain_line(tmp_path: Path, changed: tuple[str, str], says: str) -> None:
    assert changed[0] in TEAMS
    (tmp_path / "teams.toml").write_text(TEAMS.replace(*changed, 1))
    made = Platform(tmp_path)
    made.args = ("--teams", str(tmp_path / "teams.toml"))
    config = tmp_path / "config.json"
    from tests.support.gateway import platform_settings

    config.write_text(json.dumps({"listen": "127.0.0.1:0", "settings": platform_settings()}))
    ran = subprocess.run(
        [sys.executable, "-m", "hallproxy", *made.args], cwd=ROOT, capture_output=True, text=True,
        env={"EDGE_CONFIG": str(config)}, timeout=30,
    )  # fmt: skip
    assert ran.returncode == 1 and says in ran.stderr and ran.stderr.count("\n") == 1, ran.stderr


def test_the_operators_own_file_can_be_used() -> None:
    from hallproxy.run.platform_teams import load

    loaded = load(ROOT / "deploy" / "teams.toml", ["firmware-parts", "small-files", "session-close"])
    assert loaded.owners[1][10] == ("tariffs", "objects") and loaded.owners[1][99] == ("firmware", "objects")
    assert loaded.owners[2][0] == ("receipts", "objects")


def in_force(made: Front, text: str) -> None:
    (made.path / "c.toml").write_text(text)
    contracts.plan(made.path / "c.toml", made.path / "contracts.json", made.path / "c.plan")
    contracts.apply(made.path / "c.plan", made.path / "contracts.json")


def file_of(**teams: str) -> str:
    lines = ['[services.all]\nprojects = ["*"]']
    for name, more in teams.items():
        team, _, contract = more.partition("|")
        lines.append(f'[teams.{name}]\ntoken_sha256 = "{hashlib.sha256(name.encode()).hexdigest()}"\n{team}')
        lines.append(f'[[contracts]]\nteam = "{name}"\nservice = "all"\n{contract}')
    return "\n".join(lines)


def test_repeats_networks_and_use_on_the_second_front(front: Front, tmp_path: Path) -> None:
    in_force(front, file_of(a="|retry_share = 0.5", b='networks = ["10.0.0.0/8"]', ops="operator = true"))
    front.start(contracts=True)
    path = f"/simple/{PROJECT}/"
    a = basic_auth("a", "a")
    codes = [front.get(path, Authorization=a).status for _ in range(2)]
    again = [front.get(path, Authorization=a, Retry_Attempt="1") for _ in range(3)]
    assert codes == [200, 200] and [g.status for g in again] == [200, 429, 429]
    assert int(again[-1].fields["retry-after"]) >= 1
    assert front.get(path, Authorization=basic_auth("b", "b")).status == 403
    own = json.loads(front.get("/.use", Authorization=a).body)
    assert list(own) == ["teams"] and list(own["teams"]) == ["a"]
    counts = own["teams"]["a"]["counts"]
    assert counts["served"] == 3 and counts["refused: retry budget"] == 2 and counts["retries spent"] == 1
    assert front.get("/.use").status == 401
    whole = json.loads(front.get("/.use", Authorization=basic_auth("ops", "ops")).body)
    assert set(whole) == {"teams", "capacity", "places"} and "b" in whole["teams"]
    (tmp_path / "token").write_text("ops\n")
    words = ["usage", "--at", f"127.0.0.1:{front.program.port}", "--team", "ops", "--token-file"]
    ran = subprocess.run(
        [sys.executable, "-m", "hallproxy", *words, str(tmp_path / "token")], cwd=ROOT, capture_output=True,
        text=True,
    )  # fmt: skip
    assert ran.returncode == 0 and "a: refused: retry budget 2" in ran.stdout, ran.stderr
    (tmp_path / "token").write_text("wrong\n")
    ran = subprocess.run(
        [sys.executable, "-m", "hallproxy", *words, str(tmp_path / "token")], cwd=ROOT, capture_output=True,
        text=True,
    )  # fmt: skip
    assert ran.returncode == 1 and ran.stderr.count("\n") == 1 and "401" in ran.stderr


def held(port: int, address: str, count: int) -> list[socket.socket]:
    """Connections from that address that have asked once and stay."""
    made = []
    for _ in range(count):
        sock = socket.create_connection(("127.0.0.1", port), 5, source_address=(address, 0))
        sock.sendall(b"GET /elsewhere HTTP/1.1\r\n\r\n")
        made.append(sock)
    return made


@pytest.mark.timing("a place is free again within 5 s")
def test_a_network_that_holds_all_places_leaves_some_to_others(front: Front) -> None:
    """Before, whoever came once 256 were open was closed without a word."""
    front.start()
    crowd = held(front.program.port, "127.0.2.1", 300)
    answers = [sock.recv(65_536) for sock in crowd]
    taken = [a for a in answers if a.startswith(b"HTTP/1.1 404")]
    turned = [a for a in answers if a.startswith(b"HTTP/1.1 503") and b"Retry-After" in a]
    assert len(taken) == 224 and len(turned) == 76
    for n in range(4):
        made = http.client.HTTPConnection(
            "127.0.0.1", front.program.port, 5, source_address=(f"127.0.3.{n + 1}", 0)
        )
        made.request("GET", "/simple/", headers={"Accept": simple.JSON})
        assert made.getresponse().status == 200
        made.close()
    for sock in crowd:
        sock.close()
    began = time.monotonic()
    until(lambda: front.get("/simple/", Accept=simple.JSON).status == 200)
    assert time.monotonic() - began < 5


@pytest.mark.timing("compares rates of requests served in time")
def test_one_team_floods_and_the_other_keeps_its_service(tmp_path: Path) -> None:
    """Two stand-in teams on loopback in the small; margins are wide, as the machine may be busy."""
    day = lab.Day("small", quiet=20, flood=200, servers=4, took_ms=40)
    calm = lab.play(day, {"quiet": 20.0, "flood": 20.0}, 4, 7)["teams"]["quiet"]
    rush = lab.play(day, {"quiet": 20.0, "flood": 200.0}, 4, 7)["teams"]
    assert rush["quiet"].in_time >= 0.85 * calm.in_time and calm.in_time > 0.8
    assert rush["flood"].refused > 0.2 and rush["flood"].in_time_per_s > 20
