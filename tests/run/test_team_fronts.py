"""Teams on both fronts with real sockets: separation, overload by one team, and the usage report."""

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
    platform = Platform(tmp_path, args=("--teams", str(tmp_path / "teams.toml"))).start()
    yield platform
    platform.program.process.kill()
    platform.program.wait()


def test_the_platforms_front_distinguishes_teams_by_class_and_group(platform: Platform) -> None:
    client = platform.client()
    codes = {"a": [], "b": []}  # type: ignore[var-annotated]
    for n in range(5):
        for team, group in (("a", 3), ("b", 200)):
            client.send_request(op="small", row=n * 10 + group, batch=str(group))
            code, fields, _ = client.read_response()
            codes[team].append(code)
            assert code == frames.SERVED or int(fields["pushback"]) > 1000
    assert codes["a"] == [frames.SERVED] * 3 + [frames.REJECTED] * 2 and set(codes["b"]) == {frames.SERVED}


def test_an_idempotency_key_of_one_team_is_rejected_for_another_on_the_platforms_front(
    platform: Platform,
) -> None:
    client = platform.client()
    for group, code in ((200, frames.SERVED), (3, frames.REJECTED), (200, frames.SERVED)):
        client.send_request(
            op="close", row=group, batch=str(group), dedupe="same", rep="1" if code == frames.SERVED else "0"
        )
        assert client.read_response()[0] == code
    assert len(platform.requests) == 2


def test_the_teams_file_is_reloaded_completely_or_not_at_all(platform: Platform) -> None:
    client, file = platform.client(), platform.path / "teams.toml"
    file.write_text(TEAMS.replace("groups = [0, 9]", "groups = [0, 900]"))
    platform.program.process.send_signal(signal.SIGHUP)
    until(
        lambda: any(
            "configuration not reloaded" in line and "groups" in line for line in platform.program.lines
        )
    )
    contract_of_b = 'team = "b"\nservice = "s"\n'
    file.write_text(TEAMS.replace(contract_of_b, contract_of_b + "rate = 0.01\nburst = 1\n", 1))
    platform.program.process.send_signal(signal.SIGHUP)
    until(lambda: any("configuration reloaded" in line for line in platform.program.lines))
    codes = []
    for n in range(2):
        client.send_request(op="small", row=n, batch="200")
        codes.append(client.read_response()[0])
    assert codes == [frames.SERVED, frames.REJECTED]


@pytest.mark.parametrize(
    ("replacement", "message"),
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
def test_an_invalid_teams_file_is_reported_in_one_line(
    tmp_path: Path, replacement: tuple[str, str], message: str
) -> None:
    assert replacement[0] in TEAMS
    (tmp_path / "teams.toml").write_text(TEAMS.replace(*replacement, 1))
    platform = Platform(tmp_path)
    platform.args = ("--teams", str(tmp_path / "teams.toml"))
    config = tmp_path / "config.json"
    from tests.support.gateway import platform_settings

    config.write_text(json.dumps({"listen": "127.0.0.1:0", "settings": platform_settings()}))
    result = subprocess.run(
        [sys.executable, "-m", "hallproxy", *platform.args], cwd=ROOT, capture_output=True, text=True,
        env={"EDGE_CONFIG": str(config)}, timeout=30,
    )  # fmt: skip
    assert (
        result.returncode == 1 and message in result.stderr and result.stderr.count("\n") == 1
    ), result.stderr


def test_the_deployed_teams_file_is_valid() -> None:
    from hallproxy.run.platform_teams import load

    loaded = load(ROOT / "deploy" / "teams.toml", ["firmware-parts", "small-files", "session-close"])
    assert loaded.owners[1][10] == ("tariffs", "objects") and loaded.owners[1][99] == ("firmware", "objects")
    assert loaded.owners[2][0] == ("receipts", "objects")


def apply_contracts(front: Front, text: str) -> None:
    (front.path / "c.toml").write_text(text)
    contracts.plan(front.path / "c.toml", front.path / "contracts.json", front.path / "c.plan")
    contracts.apply(front.path / "c.plan", front.path / "contracts.json")


def contracts_file(**teams: str) -> str:
    """A contracts file; a team's value is the lines of its table, "|" and those of its contract."""
    lines = ['[services.all]\nprojects = ["*"]']
    for name, options in teams.items():
        team, _, contract = options.partition("|")
        lines.append(f'[teams.{name}]\ntoken_sha256 = "{hashlib.sha256(name.encode()).hexdigest()}"\n{team}')
        lines.append(f'[[contracts]]\nteam = "{name}"\nservice = "all"\n{contract}')
    return "\n".join(lines)


def test_retries_networks_and_usage_on_the_repository_front(front: Front, tmp_path: Path) -> None:
    apply_contracts(
        front, contracts_file(a="|retry_share = 0.5", b='networks = ["10.0.0.0/8"]', ops="operator = true")
    )
    front.start(contracts=True)
    path = f"/simple/{PROJECT}/"
    a = basic_auth("a", "a")
    codes = [front.get(path, Authorization=a).status for _ in range(2)]
    retries = [front.get(path, Authorization=a, Retry_Attempt="1") for _ in range(3)]
    assert codes == [200, 200] and [response.status for response in retries] == [200, 429, 429]
    assert int(retries[-1].fields["retry-after"]) >= 1
    assert front.get(path, Authorization=basic_auth("b", "b")).status == 403
    own = json.loads(front.get("/.use", Authorization=a).body)
    assert list(own) == ["teams"] and list(own["teams"]) == ["a"]
    counts = own["teams"]["a"]["counts"]
    assert counts["served"] == 3 and counts["refused: retry budget"] == 2 and counts["retries spent"] == 1
    assert front.get("/.use").status == 401
    full = json.loads(front.get("/.use", Authorization=basic_auth("ops", "ops")).body)
    assert set(full) == {"teams", "capacity", "places"} and "b" in full["teams"]
    (tmp_path / "token").write_text("ops\n")
    arguments = ["usage", "--at", f"127.0.0.1:{front.program.port}", "--team", "ops", "--token-file"]
    result = subprocess.run(
        [sys.executable, "-m", "hallproxy", *arguments, str(tmp_path / "token")], cwd=ROOT,
        capture_output=True, text=True,
    )  # fmt: skip
    assert result.returncode == 0 and "a: refused: retry budget 2" in result.stdout, result.stderr
    (tmp_path / "token").write_text("wrong\n")
    result = subprocess.run(
        [sys.executable, "-m", "hallproxy", *arguments, str(tmp_path / "token")], cwd=ROOT,
        capture_output=True, text=True,
    )  # fmt: skip
    assert result.returncode == 1 and result.stderr.count("\n") == 1 and "401" in result.stderr


def connections_from(port: int, address: str, count: int) -> list[socket.socket]:
    """Connections from that address that have sent one request and stay open."""
    connections = []
    for _ in range(count):
        sock = socket.create_connection(("127.0.0.1", port), 5, source_address=(address, 0))
        sock.sendall(b"GET /elsewhere HTTP/1.1\r\n\r\n")
        connections.append(sock)
    return connections


@pytest.mark.timing("a connection slot is free again within 5 s")
def test_a_network_that_opens_too_many_connections_leaves_some_to_others(front: Front) -> None:
    """Guards against closing any connection over 256 without a response."""
    front.start()
    connections = connections_from(front.program.port, "127.0.2.1", 300)
    responses = [sock.recv(65_536) for sock in connections]
    accepted = [r for r in responses if r.startswith(b"HTTP/1.1 404")]
    rejected = [r for r in responses if r.startswith(b"HTTP/1.1 503") and b"Retry-After" in r]
    assert len(accepted) == 224 and len(rejected) == 76
    for n in range(4):
        other = http.client.HTTPConnection(
            "127.0.0.1", front.program.port, 5, source_address=(f"127.0.3.{n + 1}", 0)
        )
        other.request("GET", "/simple/", headers={"Accept": simple.JSON})
        assert other.getresponse().status == 200
        other.close()
    for sock in connections:
        sock.close()
    began_at = time.monotonic()
    until(lambda: front.get("/simple/", Accept=simple.JSON).status == 200)
    assert time.monotonic() - began_at < 5


@pytest.mark.timing("compares rates of requests served in time")
def test_overload_by_one_team_leaves_the_service_of_the_other(tmp_path: Path) -> None:
    """Two stand-in teams on loopback at a small scale; margins are wide, as the machine may be busy."""
    scenario = lab.Scenario("small", quiet=20, flood=200, servers=4, service_time_ms=40)
    baseline = lab.run_scenario(scenario, {"quiet": 20.0, "flood": 20.0}, 4, 7)["teams"]["quiet"]
    overload = lab.run_scenario(scenario, {"quiet": 20.0, "flood": 200.0}, 4, 7)["teams"]
    assert overload["quiet"].in_time >= 0.85 * baseline.in_time and baseline.in_time > 0.8
    assert overload["flood"].rejected > 0.2 and overload["flood"].in_time_per_s > 20
