"""Reloads by SIGHUP and failures of the change log, on real sockets."""

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


def removal(platform: Platform, number: int) -> dict[str, Any]:
    instance = instance_record(f"s-{number}", platform.caches[number].address, "std", "Gone")
    return {"generation": 9, "reset": False, "instances": [instance]}


def test_sighup_moves_the_poll_and_keeps_requests_in_flight(platform: Platform) -> None:
    """The old log holds its poll without responding; waiting for that would miss events."""
    platform.publish(invalidate={"object": f"{7:016x}", "time": now_ms()})
    may_respond = threading.Event()
    platform.set_reply(lambda request: ok()(request) if may_respond.wait(5) else None)
    client = platform.client()
    stream = client.send_request(ttl="8000")
    until(lambda: platform.requests)
    new = ChangeLog()
    new.events = [*platform.log.events]
    new.add(fleet=removal(platform, 0))
    reload_config(platform, changelog=new.address)
    until(lambda: 3 in new.polls)
    assert new.polls[0] == 2  # continues from the last event applied: no gap, no duplicate
    may_respond.set()
    frame = client.read_frame()
    assert frame is not None and frame[1] == stream and frame[2][0] == SERVED
    request_count = len(platform.caches[0].requests)
    for row in range(2, 8):
        client.send_request(row=row)
        assert client.read_response()[0] == SERVED
    assert len(platform.caches[0].requests) == request_count


def test_sighup_applies_new_settings_and_the_events_in_the_file(platform: Platform) -> None:
    platform.log.events.append({"seq": 2, "fleet": removal(platform, 0)})  # in `known` only: wakes no poll
    platform.config["settings"]["bounds"]["max_attempts"] = 1
    reload_config(platform, known=platform.log.page(1))
    platform.caches[1].reply = lambda _: response(500)
    client = platform.client()
    client.send_request()
    assert client.read_response()[0] != SERVED
    assert len(platform.caches[1].requests) == 1 and not platform.caches[0].requests


@pytest.mark.parametrize("text", ["{", "[]", '{"listen": "127.0.0.1:0"}', "other classes", "other listen"])
def test_an_invalid_file_changes_nothing(platform: Platform, text: str) -> None:
    config = json.loads(json.dumps(platform.config))
    if text == "other classes":
        config["settings"]["classes"].reverse()
    elif text == "other listen":
        config["listen"] = "127.0.0.1:1"
    reload_config(
        platform, json.dumps(config) if text.startswith("other") else text, changelog=ChangeLog().address
    )
    assert any("configuration not reloaded" in x for x in platform.program.lines)
    platform.publish(invalidate={"object": f"{7:016x}", "time": now_ms()})  # the old log is still followed
    client = platform.client()
    client.send_request()
    assert client.read_response()[0] == SERVED


def polls(reply: Callable[[int, int], bytes | None], platform: Platform) -> list[tuple[int, float]]:
    """Move the gateway to a log that replies by the poll's count and number; returns all polls with times."""
    received: list[tuple[int, float]] = []

    def respond(request: Any) -> bytes | None:
        since, _ = poll_parameters(request)
        received.append((since, time.monotonic()))
        return reply(len(received), since)

    reload_config(platform, changelog=HttpStandIn(respond).address)
    return received


def page(*events: dict[str, Any]) -> bytes:
    return response(200, json.dumps({"seq": events[-1]["seq"] if events else 1, "results": events}).encode())


@pytest.mark.timing("the next poll comes within 0.5 s")
def test_a_truncated_page_is_not_partly_applied_and_is_polled_again_at_once(platform: Platform) -> None:
    complete = page({"seq": 2, "fleet": removal(platform, 0)}, {"seq": 3, "fleet": removal(platform, 1)})

    def reply(count: int, since: int) -> bytes | None:
        return complete[:-60] if count == 1 else complete if count == 2 else None

    received = polls(reply, platform)
    until(lambda: len(received) > 2)
    assert [since for since, _ in received[:3]] == [1, 1, 3]
    assert received[1][1] - received[0][1] < 0.5


@pytest.mark.timing("the poll ends after 0.9 to 1.9 s")
def test_a_poll_without_a_response_ends_after_its_wait(platform: Platform) -> None:
    """Soon after that wait the events of a log that has stopped count as notified."""
    received = polls(lambda count, since: None, platform)
    until(lambda: len(received) > 1)
    assert 0.9 < received[1][1] - received[0][1] < 1.9


def test_a_restarted_gateway_starts_no_request_before_the_events_missing_in_its_file(tmp_path: Path) -> None:
    """The file was written before an endpoint was announced as leaving, and the log responds late."""
    platform = Platform(tmp_path)
    requested = threading.Event()

    def cache(request: Any) -> bytes | None:
        requested.set()
        return ok()(request)

    def respond(_: Any) -> bytes:
        requested.wait(0.3)  # no request may end this wait
        return page({"seq": 2, "fleet": removal(platform, 0)})

    platform.set_reply(cache)
    platform.start(changelog=HttpStandIn(respond).address)
    client = platform.client()
    for row in range(1, 9):
        client.send_request(row=row)
        assert client.read_response()[0] == SERVED
    assert not platform.caches[0].requests and len(platform.caches[1].requests) == 8
    assert platform.program.stop() == 0


def test_a_gateway_starts_with_the_events_in_its_file_if_the_log_does_not_respond(tmp_path: Path) -> None:
    platform = Platform(tmp_path).start(changelog=HttpStandIn(lambda _: None).address)
    client = platform.client()
    client.send_request()
    assert client.read_response()[0] == SERVED
    assert any("starting with the events in the configuration" in x for x in platform.program.lines)
    assert platform.program.stop() == 0


def test_sighup_during_the_start_is_handled_once_the_program_runs(tmp_path: Path) -> None:
    """Guards against a signal that ends the process during imports, or is lost before the first reload."""
    platform = Platform(tmp_path).start()
    platform.program.stop()
    process = subprocess.Popen(
        [sys.executable, "-m", "hallproxy"],
        cwd=ROOT,
        env=os.environ | {"EDGE_CONFIG": str(tmp_path / "config.json")},
        stderr=subprocess.PIPE,
        text=True,
    )
    assert process.stderr is not None
    try:
        until(lambda: process.poll() is not None or blocks(process.pid, signal.SIGHUP))
        for _ in range(3):
            process.send_signal(signal.SIGHUP)
        lines = iter(process.stderr.readline, "")
        assert any("configuration reloaded" in line for line in lines)
        process.terminate()
        assert process.wait(10) == 0
    finally:
        process.kill()
        process.wait()
        process.stderr.close()


def blocks(pid: int, number: signal.Signals) -> bool:
    """Whether the process blocks the signal, which shows that the program's own code has started."""
    status = Path(f"/proc/{pid}/status").read_text()
    mask = next(line.split()[1] for line in status.splitlines() if line.startswith("SigBlk"))
    return bool(int(mask, 16) >> (number - 1) & 1)
