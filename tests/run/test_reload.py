"""SIGHUP and a change log in trouble, on real sockets."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from hallproxy.wire import frames
from tests.support.gateway import (
    ROOT,
    ChangeLog,
    HttpStandIn,
    Platform,
    instance_record,
    now_ms,
    ok,
    poll_parameters,
    response,
    until,
)
from tests.support.processes import reload_config

SERVED = frames.SERVED


def gone(platform: Platform, number: int) -> dict[str, Any]:
    line = instance_record(f"s-{number}", platform.caches[number].address, "std", "Gone")
    return {"generation": 9, "reset": False, "instances": [line]}


def test_sighup_moves_the_poll_and_leaves_open_work_alone(platform: Platform) -> None:
    """The old log stays silent on its open connection: waiting for it would leave a gap."""
    platform.publish(invalidate={"object": f"{7:016x}", "time": now_ms()})
    gate = threading.Event()
    platform.set_reply(lambda s: ok()(s) if gate.wait(5) else None)
    client = platform.client()
    stream = client.send_request(ttl="8000")
    until(lambda: platform.requests)
    new = ChangeLog()
    new.events = [*platform.log.events]
    new.add(fleet=gone(platform, 0))
    reload_config(platform, changelog=new.address)
    until(lambda: 3 in new.polls)
    assert new.polls[0] == 2  # the numbers go on from what was held: no gap, nothing twice
    gate.set()
    frame = client.read_frame()
    assert frame is not None and frame[1] == stream and frame[2][0] == SERVED
    before = len(platform.caches[0].requests)
    for row in range(2, 8):
        client.send_request(row=row)
        assert client.read_response()[0] == SERVED
    assert len(platform.caches[0].requests) == before


def test_sighup_takes_new_figures_and_the_events_that_the_file_holds(platform: Platform) -> None:
    platform.log.events.append({"seq": 2, "fleet": gone(platform, 0)})  # in `known` alone: nobody is woken
    platform.config["settings"]["bounds"]["max_attempts"] = 1
    reload_config(platform, known=platform.log.page(1))
    platform.caches[1].reply = lambda _: response(500)
    client = platform.client()
    client.send_request()
    assert client.read_response()[0] != SERVED
    assert len(platform.caches[1].requests) == 1 and not platform.caches[0].requests


@pytest.mark.parametrize("text", ["{", "[]", '{"listen": "127.0.0.1:0"}', "other classes", "other listen"])
def test_a_file_that_cannot_be_used_changes_nothing(platform: Platform, text: str) -> None:
    held = json.loads(json.dumps(platform.config))
    if text == "other classes":
        held["settings"]["classes"].reverse()
    elif text == "other listen":
        held["listen"] = "127.0.0.1:1"
    reload_config(
        platform, json.dumps(held) if text.startswith("other") else text, changelog=ChangeLog().address
    )
    assert any("configuration not reloaded" in x for x in platform.program.lines)
    platform.publish(invalidate={"object": f"{7:016x}", "time": now_ms()})  # still heard from the old log
    client = platform.client()
    client.send_request()
    assert client.read_response()[0] == SERVED


def polls(reply: Callable[[int, int], bytes | None], platform: Platform) -> list[tuple[int, float]]:
    """Move the gateway to a log that answers by the poll's place and number; all polls and their times."""
    seen: list[tuple[int, float]] = []

    def answer(asked: Any) -> bytes | None:
        since, _ = poll_parameters(asked)
        seen.append((since, time.monotonic()))
        return reply(len(seen), since)

    reload_config(platform, changelog=HttpStandIn(answer).address)
    return seen


def page(*events: dict[str, Any]) -> bytes:
    return response(200, json.dumps({"seq": events[-1]["seq"] if events else 1, "results": events}).encode())


@pytest.mark.timing("the next poll comes within 0.5 s")
def test_an_event_cut_in_half_is_not_half_applied_and_asked_for_at_once(platform: Platform) -> None:
    whole = page({"seq": 2, "fleet": gone(platform, 0)}, {"seq": 3, "fleet": gone(platform, 1)})

    def reply(place: int, since: int) -> bytes | None:
        return whole[:-60] if place == 1 else whole if place == 2 else None

    seen = polls(reply, platform)
    until(lambda: len(seen) > 2)
    assert [since for since, _ in seen[:3]] == [1, 1, 3]
    assert seen[1][1] - seen[0][1] < 0.5


@pytest.mark.timing("the poll ends after 0.9 to 1.9 s")
def test_a_silent_poll_ends_with_the_wait_it_asked_for(platform: Platform) -> None:
    """What a log that stopped would have told counts as told soon after that wait."""
    seen = polls(lambda place, since: None, platform)
    until(lambda: len(seen) > 1)
    assert 0.9 < seen[1][1] - seen[0][1] < 1.9


def test_a_restarted_gateway_takes_nothing_before_it_has_heard_what_its_file_lacks(tmp_path: Path) -> None:
    """The file was written before a server was announced as leaving; the log's word comes late."""
    platform = Platform(tmp_path)
    asked = threading.Event()

    def cache(seen: Any) -> bytes | None:
        asked.set()
        return ok()(seen)

    def answer(_: Any) -> bytes:
        asked.wait(0.3)  # no request may end this wait
        return page({"seq": 2, "fleet": gone(platform, 0)})

    platform.set_reply(cache)
    platform.start(changelog=HttpStandIn(answer).address)
    client = platform.client()
    for row in range(1, 9):
        client.send_request(row=row)
        assert client.read_response()[0] == SERVED
    assert not platform.caches[0].requests and len(platform.caches[1].requests) == 8
    assert platform.program.stop() == 0


def test_a_gateway_starts_with_what_it_knows_where_the_log_stays_silent(tmp_path: Path) -> None:
    platform = Platform(tmp_path).start(changelog=HttpStandIn(lambda _: None).address)
    client = platform.client()
    client.send_request()
    assert client.read_response()[0] == SERVED
    assert any("starting with the events in the configuration" in x for x in platform.program.lines)
    assert platform.program.stop() == 0


def test_sighup_while_the_program_starts_is_handled_once_it_runs(tmp_path: Path) -> None:
    """Guards against a signal that ends the process amid its imports, or is lost before the first reload."""
    platform = Platform(tmp_path).start()
    platform.program.stop()
    begun = subprocess.Popen(
        [sys.executable, "-m", "hallproxy"],
        cwd=ROOT,
        env=os.environ | {"EDGE_CONFIG": str(tmp_path / "config.json")},
        stderr=subprocess.PIPE,
        text=True,
    )
    assert begun.stderr is not None
    try:
        until(lambda: begun.poll() is not None or blocks(begun.pid, signal.SIGHUP))
        for _ in range(3):
            begun.send_signal(signal.SIGHUP)
        lines = iter(begun.stderr.readline, "")
        assert any("configuration reloaded" in line for line in lines)
        begun.terminate()
        assert begun.wait(10) == 0
    finally:
        begun.kill()
        begun.wait()
        begun.stderr.close()


def blocks(pid: int, number: signal.Signals) -> bool:
    """Whether the process holds the signal back, so that our code runs in it."""
    status = Path(f"/proc/{pid}/status").read_text()
    mask = next(line.split()[1] for line in status.splitlines() if line.startswith("SigBlk"))
    return bool(int(mask, 16) >> (number - 1) & 1)
