"""Contracts files, and the ``plan`` and ``apply`` commands."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from hallproxy.broker.contract_budgets import ContractBudgets
from hallproxy.broker.contracts import Contract, Contracts
from tests.support.gateway import ROOT

TOKEN = "a" * 64
FILE = f"""
[teams.stations]
token_sha256 = "{TOKEN}"
[services.firmware]
projects = ["charger-*"]
[[contracts]]
team = "stations"
service = "firmware"
requests = 10
"""


def command(*arguments: object) -> tuple[int, str, str]:
    result = subprocess.run(
        [sys.executable, "-m", "hallproxy", *map(str, arguments)], cwd=ROOT, capture_output=True, text=True
    )
    assert "Traceback" not in result.stderr
    return result.returncode, result.stdout, result.stderr


def test_plan_apply_again_and_stale(tmp_path: Path) -> None:
    file, state = tmp_path / "contracts.toml", tmp_path / "state.json"
    first, second = tmp_path / "first.plan", tmp_path / "second.plan"
    file.write_text(FILE)
    code, output, _ = command("plan", file, "--state", state, "--out", first)
    assert code == 0 and not state.exists()
    assert output.splitlines()[:3] == [
        "+ team stations", "+ service firmware", "+ contract stations/firmware/"
    ]  # fmt: skip
    file.write_text(FILE.replace("requests = 10", "requests = 20"))
    assert command("plan", file, "--state", state, "--out", second)[0] == 0
    assert command("apply", first, "--state", state)[0] == 0
    applied = state.read_text()
    code, output, _ = command("apply", first, "--state", state)
    assert (code, output, state.read_text()) == (0, "nothing to change\n", applied)
    code, _, error = command("apply", second, "--state", state)
    assert code == 1 and "stale" in error and error.count("\n") == 1 and state.read_text() == applied
    code, output, _ = command("plan", file, "--state", state, "--out", second)
    assert "~ contract stations/firmware/: requests 10 -> 20" in output
    assert command("apply", second, "--state", state)[0] == 0 and json.loads(state.read_text())["serial"] == 2
    assert command("plan", file, "--state", state)[1].startswith("nothing to change")


@pytest.mark.parametrize(
    ("replacement", "message"),
    [
        (("[teams", "[team"), "unknown key 'team'"),
        ((TOKEN, "abc"), "token_sha256"),
        (('service = "firmware"', 'service = "none"'), "'none' is not among the services"),
        (("requests = 10", "requests = -1"), "requests has the wrong type or is out of range"),
        (("requests = 10", 'requests = "ten"'), "requests has the wrong type or is out of range"),
        (("requests = 10", "window_s = 0"), "window_s"),
        (("requests = 10", "budget = 1"), "unknown key 'budget'"),
        (('["charger-*"]', '"charger-*"'), "patterns"),
        (("[[contracts]]", "[contracts]"), "list of tables"),
        (("[teams", "[[teams"), "not TOML"),
    ],
)
def test_an_invalid_file_is_reported_in_one_line(
    tmp_path: Path, replacement: tuple[str, str], message: str
) -> None:
    file = tmp_path / "contracts.toml"
    file.write_text(FILE.replace(*replacement))
    code, _, error = command("plan", file, "--state", tmp_path / "state.json")
    assert code == 1 and message in error and error.count("\n") == 1
    assert not list(tmp_path.glob("*.plan"))


INVALID_PLAN = '{"format":1,"base":0,"base_digest":"","target":{},"target_digest":""}'


@pytest.mark.parametrize("text", ["", "{}", INVALID_PLAN])
def test_an_invalid_plan_is_rejected(tmp_path: Path, text: str) -> None:
    (tmp_path / "x.plan").write_text(text)
    code, _, error = command("apply", tmp_path / "x.plan", "--state", tmp_path / "state.json")
    assert code == 1 and error.count("\n") == 1 and not (tmp_path / "state.json").exists()


def test_budgets_apply_to_time_windows() -> None:
    contract = Contract("t", "s", max_requests=2, max_bytes=100, window=1000)
    budgets = ContractBudgets(Contracts((contract,)))
    assert [budgets.admit_request(contract, now) for now in (10, 20, 30, 1009, 1010)] == [0, 0, 980, 1, 0]
    budgets.charge_bytes(contract, 1011, 100)
    assert budgets.admit_request(contract, 1012) == 998


def test_the_contract_of_the_class_precedes_the_general_one() -> None:
    general, specific = Contract("t", "s"), Contract("t", "s", "index")
    contracts = Contracts((specific, general))
    assert contracts.find("t", "s", "index") is specific and contracts.find("t", "s", "package") is general
    assert contracts.find("t", "other", "index") is None and contracts.find("u", "s", "index") is None
