"""The program on real sockets: one short test for each rule of the platform's front."""

from __future__ import annotations

import contextlib
import json
import signal
import socket
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
    Client,
    HttpStandIn,
    Platform,
    Program,
    instance_record,
    now_ms,
    ok,
    reply_with,
    response,
    until,
)
from tests.support.processes import connects_in_progress, upstream_requests

SERVED, REFUSED, FAILED = frames.SERVED, frames.REJECTED, frames.FAILED
HALF = response(200, b"x" * 1000, ETag="t", X_Born_Ms="1")[:-500]


def test_a_request_is_passed_on_and_answered_whole(start_platform: Callable[..., Platform]) -> None:
    platform = start_platform()
    client = platform.client()
    client.send_frame(frames.READINESS_REQUEST, 0, b"\0")
    assert client.read_frame() == (frames.READINESS_RESPONSE, 0, bytes((SERVED, 0)))
    client.send_request(op="close", row=5, nth=2, body=b"paid", dedupe="k1", got="t0")
    assert client.read_response() == (SERVED, {}, b"bytes")
    seen = platform.requests[0]
    assert seen.path == f"/v2/q/close/{5:016x}/2" and seen.body == b"paid"
    assert seen.fields["x-hop-id"] == f"{client.base + 1:016x}" and seen.fields["x-replay-key"] == "k1"
    assert seen.fields["if-none-match"] == "t0" and 0 < int(seen.fields["x-budget"]) <= 2000
    assert seen.fields["x-fill-from"] == "p-0"


def test_unchanged_copies_cost_no_bytes(start_platform: Callable[..., Platform]) -> None:
    platform = start_platform()
    platform.set_reply(reply_with(304, ETag="t1", X_Born_Ms="1"))
    client = platform.client()
    client.send_request(got="t1")
    assert client.read_response() == (SERVED, {"ok304": "1"}, b"")


def test_answers_may_come_in_any_order(start_platform: Callable[..., Platform]) -> None:
    platform = start_platform()
    gate = threading.Event()
    slow = f"{1:016x}"
    platform.set_reply(lambda s: ok()(s) if slow not in s.path or gate.wait(5) else None)
    client = platform.client()
    first, second = client.send_request(row=1), client.send_request(row=2)
    frame = client.read_frame()
    assert frame is not None and frame[1] == second
    gate.set()
    frame = client.read_frame()
    assert frame is not None and frame[1] == first


@pytest.mark.parametrize(
    ("bad", "op", "tries"),
    [
        (reply_with(404), "small", 2),
        (reply_with(404), "once", 2),
        (reply_with(503, X_No_Effect="1"), "once", 2),
        (reply_with(504, X_No_Effect="1"), "once", 2),
        (reply_with(500), "small", 2),
        (reply_with(500), "once", 1),
        (reply_with(500), "close", 2),
        (lambda _: b"", "small", 2),
        (lambda _: b"", "once", 1),
        (lambda _: HALF, "small", 2),
        (lambda _: HALF, "once", 1),
        (lambda _: b"garbage\r\n\r\n", "once", 1),
    ],
)
def test_retries_go_as_far_as_the_class_allows(
    start_platform: Callable[..., Platform], bad: Callable[[Any], bytes], op: str, tries: int
) -> None:
    """Guards against an effect twice, and against a half answer taken for a whole one."""
    platform = start_platform()
    count = iter(range(100))
    platform.set_reply(lambda s: bad(s) if next(count) == 0 else ok(b"second")(s))
    client = platform.client()
    client.send_request(op=op, dedupe="key-1")
    code, _, body = client.read_response()
    assert (code, body) == ((SERVED, b"second") if tries == 2 else (FAILED, b""))
    assert len(platform.requests) == tries
    assert {s.fields.get("x-replay-key") for s in platform.requests} == {"key-1"}


def test_a_refused_connect_proves_that_nothing_ran(start_platform: Callable[..., Platform]) -> None:
    platform = start_platform()
    platform.caches[0].listener.close()
    client = platform.client()
    for row in range(1, 9):
        client.send_request(op="once", row=row)
        assert client.read_response()[0] == SERVED


@pytest.mark.timing("the answer comes within 0.4 s")
@pytest.mark.parametrize("op", ["small", "once"])
def test_a_silent_store_costs_one_final_answer_in_time(
    start_platform: Callable[..., Platform], op: str
) -> None:
    platform = start_platform()
    platform.set_reply(lambda _: None)
    client = platform.client()
    began = time.monotonic()
    stream = client.send_request(op=op, ttl="400")
    frame = client.read_frame()
    assert frame is not None and frame[1] == stream and frame[2][0] in (REFUSED, FAILED)
    assert time.monotonic() - began < 0.4
    client.send_request(row=2, ttl="300")
    frame = client.read_frame()
    assert frame is not None and frame[1] == stream + 1  # and no second one for the first


def test_a_store_that_dies_and_returns_under_its_id_is_used_again(
    start_platform: Callable[..., Platform],
) -> None:
    """Idle connections to the former process lead nowhere: they belong to an id and a start."""
    platform = start_platform(caches=[HttpStandIn(ok(b"old"))])
    client = platform.client()
    client.send_request()
    assert client.read_response()[2] == b"old"
    platform.caches[0].listener.close()
    fresh = HttpStandIn(ok(b"new"))
    line = instance_record("s-0", fresh.address, "std", startedAtMs=now_ms() - 60_000)
    platform.publish(fleet={"generation": 2, "reset": False, "instances": [line]})
    client.send_request(row=2)
    assert client.read_response()[2] == b"new"


def test_an_address_used_again_is_another_store(start_platform: Callable[..., Platform]) -> None:
    platform = start_platform(caches=[HttpStandIn(ok())])
    client = platform.client()
    client.send_request()
    client.read_response()
    where = platform.caches[0].address
    lines = [instance_record("s-0", where, "std", "Gone"), instance_record("s-9", where, "std")]
    platform.publish(fleet={"generation": 2, "reset": False, "instances": lines})
    client.send_request(row=2)
    client.read_response()
    assert len(platform.caches[0].listener.connections) == 2


def test_a_drained_store_gets_nothing_new(start_platform: Callable[..., Platform]) -> None:
    platform = start_platform()
    platform.drain(0)
    client = platform.client()
    for row in range(1, 21):
        client.send_request(row=row)
        assert client.read_response()[0] == SERVED
    assert not platform.caches[0].requests and len(platform.caches[1].requests) == 20


@pytest.mark.parametrize("news", ["drain", "purge"])
def test_news_heard_while_connecting_holds_at_the_first_byte(
    start_platform: Callable[..., Platform], news: str
) -> None:
    """The store's queue of connections is full, so the attempt waits while the news comes."""
    store = socket.create_server(("127.0.0.1", 0), backlog=0)
    where = store.getsockname()
    held = [socket.create_connection(where)]
    spare = [socket.socket() for _ in range(2)]
    for one in spare:
        one.setblocking(False)
        one.connect_ex(where)
    full = connects_in_progress(where[1])

    def patient(settings: dict[str, Any]) -> None:
        settings["bounds"]["dial_timeout_ns"] = 5 * 10**9

    cache = HttpStandIn(ok())
    platform = start_platform(caches=[cache], change_settings=patient)
    line = instance_record("s-0", "%s:%d" % where, "std", startedAtMs=1)
    platform.publish(fleet={"generation": 2, "reset": False, "instances": [line]})
    client = platform.client()
    stream = client.send_request(row=7, ttl="4000")
    until(lambda: connects_in_progress(where[1]) > full)
    purged = now_ms()
    if news == "drain":
        line = instance_record("s-0", "%s:%d" % where, "std", "Terminating", startedAtMs=1)
        platform.publish(fleet={"generation": 3, "reset": False, "instances": [line]})
    else:
        platform.publish(invalidate={"object": f"{7:016x}", "time": purged})
    store.settimeout(5)
    got = b""
    while b"/v2/q/" not in got:
        made, peer = store.accept()
        held.append(made)
        if peer in [s.getsockname() for s in [held[0], *spare]]:
            continue
        made.settimeout(5)
        got = made.recv(4096)
        if news == "drain":
            assert got == b""
            break
        age = int(got.decode().split("X-Max-Age-Ms: ")[1].split("\r")[0])
        assert now_ms() - age >= purged and "X-Flags: j" not in got.decode()
        made.sendall(response(200, b"new", ETag="t", X_Born_Ms=str(now_ms())))
    frame = client.read_frame()
    assert frame is not None and frame[1] == stream
    assert frame[2][0] == (REFUSED if news == "drain" else SERVED)
    for one in [*held, *spare, store]:
        one.close()


def test_no_copy_from_before_a_purge_is_asked_for_or_served(start_platform: Callable[..., Platform]) -> None:
    platform = start_platform()
    client = platform.client()
    born = now_ms()
    platform.set_reply(ok(b"old", born_ms=born))
    for _ in range(3):  # asked for more than once: ranked for keeping
        client.send_request(row=7)
        assert client.read_response()[2] == b"old"
    purged = now_ms()
    platform.publish(invalidate={"object": f"{7:016x}", "time": purged})
    platform.set_reply(ok(b"new"))
    before = upstream_requests(platform, 7)
    client.send_request(row=7)
    assert client.read_response()[2] == b"new"
    assert upstream_requests(platform, 7) == before + 1
    last = platform.requests[-1]
    assert last.at_ms - int(last.fields["x-max-age-ms"]) >= purged
    assert "j" not in last.fields.get("x-flags", "")


@pytest.mark.parametrize("event", [{"object": f"{7:016x}"}, {"bucket": 1}])
def test_a_fill_in_flight_across_a_purge_is_not_kept(
    start_platform: Callable[..., Platform], event: dict[str, Any]
) -> None:
    platform = start_platform()
    client = platform.client()
    gate = threading.Event()
    born = now_ms() - 5
    client.send_request(row=7)
    client.read_response()
    platform.publish(
        invalidate={"object": f"{7:016x}", "time": now_ms() - 10_000}
    )  # lets no first copy serve
    platform.set_reply(lambda s: ok(b"old", born_ms=born)(s) if gate.wait(5) else None)
    before = upstream_requests(platform, 7)
    client.send_request(row=7)
    until(lambda: upstream_requests(platform, 7) > before)
    platform.publish(invalidate={**event, "time": now_ms()})
    gate.set()
    client.read_response()
    platform.set_reply(ok(b"new"))
    client.send_request(row=7)
    assert client.read_response()[2] == b"new"


@pytest.mark.timing("copies are fresh for 2 s")
def test_own_copies_serve_until_they_are_too_old(start_platform: Callable[..., Platform]) -> None:
    platform = start_platform()
    client = platform.client()
    for _ in range(3):
        client.send_request(op="small", row=3)
        assert client.read_response()[2] == b"bytes"
    kept = upstream_requests(platform, 3)
    client.send_request(op="small", row=3)
    assert client.read_response()[2] == b"bytes" and upstream_requests(platform, 3) == kept
    client.send_request(op="small", row=3, got="t1")
    assert client.read_response() == (SERVED, {"ok304": "1"}, b"")
    platform.set_reply(ok(b"aged", born_ms=now_ms() - 1_990))  # fresh for 2 s: not when looked for
    for _ in range(3):
        client.send_request(op="small", row=4)
        client.read_response()
    assert upstream_requests(platform, 4) == 3


def test_what_a_client_gave_up_is_given_up_at_the_store(start_platform: Callable[..., Platform]) -> None:
    platform = start_platform(caches=[HttpStandIn(lambda _: None)])
    client = platform.client()
    stream = client.send_request()
    until(lambda: platform.requests)
    client.send_frame(frames.CANCEL, stream)
    store = platform.caches[0].listener.connections[0]
    until(lambda: store.fileno() == -1)  # the stand-in closes once the gateway has
    platform.set_reply(ok())
    stream = client.send_request(row=2)
    frame = client.read_frame()
    assert frame is not None and frame[1] == stream


@pytest.mark.parametrize(
    "raw",
    [
        b"\0\0\0\x01\x41",
        b"GET / HTTP/1.1\r\n\r\n",
        b"\0\0\0\x05\x09\0\0\0\x01",
        b"\0\0\0\x05\x41\0\0\0\0",
        b"\xff\xff\xff\xff",
    ],
)
def test_what_is_no_frame_gets_an_error_and_a_close(
    start_platform: Callable[..., Platform], raw: bytes
) -> None:
    platform = start_platform()
    client = platform.client()
    client.sock.sendall(raw)
    frame = client.read_frame()
    assert frame is not None and frame[:2] == (frames.RESPONSE, 0) and frame[2][0] == FAILED
    assert client.read_frame() is None
    client = platform.client()
    client.send_request()
    assert client.read_response()[0] == SERVED


def test_a_request_that_makes_no_sense_gets_a_plain_answer(start_platform: Callable[..., Platform]) -> None:
    platform = start_platform()
    client = platform.client()
    stream = client.send_request(op="none")
    frame = client.read_frame()
    assert frame is not None and frame[1] == stream and frame[2][0] == FAILED
    client.send_request(body=b"x" * 50_000)
    assert "body" in client.read_response()[1]["error"]
    client.send_request()
    assert client.read_response()[0] == SERVED and len(platform.requests) == 1


def test_over_its_bounds_it_refuses_at_once(start_platform: Callable[..., Platform]) -> None:
    platform = start_platform()
    platform.set_reply(lambda _: None)
    clients = [platform.client() for _ in range(6)]
    for n, client in enumerate(clients):
        for row in range(33):  # one over what a connection may have open
            client.send_request(row=100 * n + row + 1, ttl="5000")
    code, fields, _ = clients[-1].read_response()
    assert code == REFUSED and 0 < int(fields["pushback"]) <= 1000
    descriptors = len(list(Path(f"/proc/{platform.program.process.pid}/fd").iterdir()))
    assert descriptors < 256


def test_sigterm_serves_what_still_comes_says_so_and_ends(start_platform: Callable[..., Platform]) -> None:
    platform = start_platform()
    gate = threading.Event()
    platform.set_reply(lambda s: ok()(s) if gate.wait(5) else None)
    client = platform.client()
    first = client.send_request()
    until(lambda: platform.requests)
    platform.program.process.send_signal(signal.SIGTERM)
    until(lambda: any("stopping" in x for x in platform.program.lines))
    late = platform.client()  # the front has not noticed yet
    late.send_request(row=2)
    frame = client.read_frame()
    assert frame is not None and frame[:2] == (frames.GO_AWAY, 0)
    gate.set()
    frame = client.read_frame()
    assert frame is not None and frame[1] == first and frame[2][0] == SERVED
    said = [frame := late.read_frame(), late.read_frame()]
    assert {f[0] for f in said if f} == {frames.GO_AWAY, frames.RESPONSE}
    assert platform.program.wait() == 0


def test_sigterm_ends_also_where_clients_go_on_asking(start_platform: Callable[..., Platform]) -> None:
    """Told to send nothing new and turned away, they must not keep the drain from its end until SIGKILL."""
    platform = start_platform()
    old, over = platform.client(), threading.Event()

    def connects() -> None:
        with contextlib.suppress(OSError, AssertionError):
            while not over.wait(0.05):
                made = platform.client()
                made.send_request()
                made.read_frame()

    def asks() -> None:
        with contextlib.suppress(OSError):
            while not over.wait(0.05):
                old.send_request()

    threads = [threading.Thread(target=x, daemon=True) for x in (connects, asks)]
    for thread in threads:
        thread.start()
    until(lambda: platform.requests)
    platform.program.process.send_signal(signal.SIGTERM)
    try:
        assert platform.program.wait() == 0
    finally:
        over.set()
    for thread in threads:
        thread.join(5)


def test_sigkill_and_a_clean_start(start_platform: Callable[..., Platform]) -> None:
    platform = start_platform()
    platform.publish(invalidate={"object": f"{9:016x}", "time": now_ms()})
    platform.program.process.kill()
    platform.program.wait()
    platform.config["known"] = platform.log.page()
    path = platform.path / "config.json"
    path.write_text(json.dumps(platform.config))
    platform.program = Program(EDGE_CONFIG=str(path))
    client = platform.client()
    client.send_request(row=9)
    assert client.read_response()[0] == SERVED
    assert "x-max-age-ms" in platform.requests[-1].fields  # the purge is known from the start on
    until(lambda: platform.log.polls[-1] == 2)


@pytest.mark.parametrize(
    ("text", "says_"),
    [
        (None, "can't be read"),
        ("{", "not JSON"),
        ("[]", "not a JSON object"),
        ('{"listen": "x"}', "not an address"),
        ('{"listen": "127.0.0.1:0", "seed": "1"}', "settings"),
        ('{"listen": "127.0.0.1:0", "settings": {"bounds": {}}}', "missing"),
    ],
)
def test_a_bad_configuration_is_one_plain_line(tmp_path: Path, text: str | None, says_: str) -> None:
    path = tmp_path / "c.json"
    if text is not None:
        path.write_text(text)
    ran = subprocess.run(
        [sys.executable, "-m", "hallproxy"], env={"EDGE_CONFIG": str(path)}, cwd=ROOT, capture_output=True
    )
    said = ran.stderr.decode()
    assert ran.returncode == 1 and said.count("\n") == 1 and says_ in said and "Traceback" not in said


def test_a_client_that_reads_nothing_holds_no_memory(start_platform: Callable[..., Platform]) -> None:
    platform = start_platform()
    platform.set_reply(lambda s: response(200, b"x" * 240_000, ETag="t", X_Born_Ms="1"))
    client = Client(platform.program.port)
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    for row in range(1, 33):
        client.send_request(row=row, ttl="5000")
    until(lambda: any("does not read" in x for x in platform.program.lines))
