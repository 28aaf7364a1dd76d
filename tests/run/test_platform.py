"""The program on real sockets: one short test for each rule of the platform's client interface."""

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
TRUNCATED = response(200, b"x" * 1000, ETag="t", X_Born_Ms="1")[:-500]


def test_a_request_is_forwarded_and_its_complete_response_returned(
    start_platform: Callable[..., Platform],
) -> None:
    platform = start_platform()
    client = platform.client()
    client.send_frame(frames.READINESS_REQUEST, 0, b"\0")
    assert client.read_frame() == (frames.READINESS_RESPONSE, 0, bytes((SERVED, 0)))
    client.send_request(op="close", row=5, nth=2, body=b"paid", dedupe="k1", got="t0")
    assert client.read_response() == (SERVED, {}, b"bytes")
    upstream = platform.requests[0]
    assert upstream.path == f"/v2/q/close/{5:016x}/2" and upstream.body == b"paid"
    assert (
        upstream.fields["x-hop-id"] == f"{client.base + 1:016x}" and upstream.fields["x-replay-key"] == "k1"
    )
    assert upstream.fields["if-none-match"] == "t0" and 0 < int(upstream.fields["x-budget"]) <= 2000
    assert upstream.fields["x-fill-from"] == "p-0"


def test_an_unchanged_copy_is_answered_without_a_body(start_platform: Callable[..., Platform]) -> None:
    platform = start_platform()
    platform.set_reply(reply_with(304, ETag="t1", X_Born_Ms="1"))
    client = platform.client()
    client.send_request(got="t1")
    assert client.read_response() == (SERVED, {"ok304": "1"}, b"")


def test_responses_may_arrive_in_any_order(start_platform: Callable[..., Platform]) -> None:
    platform = start_platform()
    gate = threading.Event()
    slow = f"{1:016x}"
    platform.set_reply(lambda r: ok()(r) if slow not in r.path or gate.wait(5) else None)
    client = platform.client()
    first, second = client.send_request(row=1), client.send_request(row=2)
    frame = client.read_frame()
    assert frame is not None and frame[1] == second
    gate.set()
    frame = client.read_frame()
    assert frame is not None and frame[1] == first


@pytest.mark.parametrize(
    ("reply", "op", "attempts"),
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
        (lambda _: TRUNCATED, "small", 2),
        (lambda _: TRUNCATED, "once", 1),
        (lambda _: b"garbage\r\n\r\n", "once", 1),
    ],
)
def test_retries_go_as_far_as_the_class_allows(
    start_platform: Callable[..., Platform], reply: Callable[[Any], bytes], op: str, attempts: int
) -> None:
    """Guards against a duplicated effect, and against a truncated response taken for a complete one."""
    platform = start_platform()
    count = iter(range(100))
    platform.set_reply(lambda r: reply(r) if next(count) == 0 else ok(b"second")(r))
    client = platform.client()
    client.send_request(op=op, dedupe="key-1")
    code, _, body = client.read_response()
    assert (code, body) == ((SERVED, b"second") if attempts == 2 else (FAILED, b""))
    assert len(platform.requests) == attempts
    assert {r.fields.get("x-replay-key") for r in platform.requests} == {"key-1"}


def test_a_refused_connect_proves_that_nothing_ran(start_platform: Callable[..., Platform]) -> None:
    platform = start_platform()
    platform.caches[0].listener.close()
    client = platform.client()
    for row in range(1, 9):
        client.send_request(op="once", row=row)
        assert client.read_response()[0] == SERVED


@pytest.mark.timing("the response arrives within 0.4 s")
@pytest.mark.parametrize("op", ["small", "once"])
def test_an_unresponsive_store_leads_to_one_final_response_in_time(
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
    assert frame is not None and frame[1] == stream + 1  # and no second response to the first


def test_a_store_restarted_under_the_same_id_is_used_again(
    start_platform: Callable[..., Platform],
) -> None:
    """Idle connections to the former process are dead: a connection belongs to an id and a start time."""
    platform = start_platform(caches=[HttpStandIn(ok(b"old"))])
    client = platform.client()
    client.send_request()
    assert client.read_response()[2] == b"old"
    platform.caches[0].listener.close()
    fresh = HttpStandIn(ok(b"new"))
    record = instance_record("s-0", fresh.address, "std", startedAtMs=now_ms() - 60_000)
    platform.publish(fleet={"generation": 2, "reset": False, "instances": [record]})
    client.send_request(row=2)
    assert client.read_response()[2] == b"new"


def test_a_new_id_at_the_same_address_is_another_store(start_platform: Callable[..., Platform]) -> None:
    platform = start_platform(caches=[HttpStandIn(ok())])
    client = platform.client()
    client.send_request()
    client.read_response()
    address = platform.caches[0].address
    records = [instance_record("s-0", address, "std", "Gone"), instance_record("s-9", address, "std")]
    platform.publish(fleet={"generation": 2, "reset": False, "instances": records})
    client.send_request(row=2)
    client.read_response()
    assert len(platform.caches[0].listener.connections) == 2


def test_a_drained_store_gets_no_new_requests(start_platform: Callable[..., Platform]) -> None:
    platform = start_platform()
    platform.drain(0)
    client = platform.client()
    for row in range(1, 21):
        client.send_request(row=row)
        assert client.read_response()[0] == SERVED
    assert not platform.caches[0].requests and len(platform.caches[1].requests) == 20


@pytest.mark.parametrize("change", ["drain", "purge"])
def test_an_event_received_while_connecting_applies_before_the_first_byte(
    start_platform: Callable[..., Platform], change: str
) -> None:
    """The store's listen backlog is full, so the attempt waits to connect while the event arrives."""
    store = socket.create_server(("127.0.0.1", 0), backlog=0)
    address = store.getsockname()
    connections = [socket.create_connection(address)]
    fillers = [socket.socket() for _ in range(2)]
    for filler in fillers:
        filler.setblocking(False)
        filler.connect_ex(address)
    before = connects_in_progress(address[1])

    def extend_connect_timeout(settings: dict[str, Any]) -> None:
        settings["bounds"]["dial_timeout_ns"] = 5 * 10**9

    cache = HttpStandIn(ok())
    platform = start_platform(caches=[cache], change_settings=extend_connect_timeout)
    record = instance_record("s-0", "%s:%d" % address, "std", startedAtMs=1)
    platform.publish(fleet={"generation": 2, "reset": False, "instances": [record]})
    client = platform.client()
    stream = client.send_request(row=7, ttl="4000")
    until(lambda: connects_in_progress(address[1]) > before)
    purged = now_ms()
    if change == "drain":
        record = instance_record("s-0", "%s:%d" % address, "std", "Terminating", startedAtMs=1)
        platform.publish(fleet={"generation": 3, "reset": False, "instances": [record]})
    else:
        platform.publish(invalidate={"object": f"{7:016x}", "time": purged})
    store.settimeout(5)
    received = b""
    while b"/v2/q/" not in received:
        connection, peer = store.accept()
        connections.append(connection)
        if peer in [s.getsockname() for s in [connections[0], *fillers]]:
            continue
        connection.settimeout(5)
        received = connection.recv(4096)
        if change == "drain":
            assert received == b""
            break
        age = int(received.decode().split("X-Max-Age-Ms: ")[1].split("\r")[0])
        assert now_ms() - age >= purged and "X-Flags: j" not in received.decode()
        connection.sendall(response(200, b"new", ETag="t", X_Born_Ms=str(now_ms())))
    frame = client.read_frame()
    assert frame is not None and frame[1] == stream
    assert frame[2][0] == (REFUSED if change == "drain" else SERVED)
    for sock in [*connections, *fillers, store]:
        sock.close()


def test_no_copy_from_before_a_purge_is_requested_or_served(start_platform: Callable[..., Platform]) -> None:
    platform = start_platform()
    client = platform.client()
    born = now_ms()
    platform.set_reply(ok(b"old", born_ms=born))
    for _ in range(3):  # requested more than once: a candidate for the local cache
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
def test_a_fill_in_flight_during_a_purge_is_not_cached(
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
    )  # keeps the first copy from being served
    platform.set_reply(lambda r: ok(b"old", born_ms=born)(r) if gate.wait(5) else None)
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
def test_local_copies_are_served_until_they_expire(start_platform: Callable[..., Platform]) -> None:
    platform = start_platform()
    client = platform.client()
    for _ in range(3):
        client.send_request(op="small", row=3)
        assert client.read_response()[2] == b"bytes"
    before = upstream_requests(platform, 3)
    client.send_request(op="small", row=3)
    assert client.read_response()[2] == b"bytes" and upstream_requests(platform, 3) == before
    client.send_request(op="small", row=3, got="t1")
    assert client.read_response() == (SERVED, {"ok304": "1"}, b"")
    platform.set_reply(ok(b"aged", born_ms=now_ms() - 1_990))  # fresh for 2 s: expired when looked up
    for _ in range(3):
        client.send_request(op="small", row=4)
        client.read_response()
    assert upstream_requests(platform, 4) == 3


def test_a_request_cancelled_by_the_client_is_cancelled_at_the_store(
    start_platform: Callable[..., Platform],
) -> None:
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
def test_an_invalid_frame_gets_an_error_and_a_close(
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


def test_an_invalid_request_gets_an_error_response(start_platform: Callable[..., Platform]) -> None:
    platform = start_platform()
    client = platform.client()
    stream = client.send_request(op="none")
    frame = client.read_frame()
    assert frame is not None and frame[1] == stream and frame[2][0] == FAILED
    client.send_request(body=b"x" * 50_000)
    assert "body" in client.read_response()[1]["error"]
    client.send_request()
    assert client.read_response()[0] == SERVED and len(platform.requests) == 1


def test_requests_over_the_limits_are_refused_at_once(start_platform: Callable[..., Platform]) -> None:
    platform = start_platform()
    platform.set_reply(lambda _: None)
    clients = [platform.client() for _ in range(6)]
    for n, client in enumerate(clients):
        for row in range(33):  # one more than a connection may have open
            client.send_request(row=100 * n + row + 1, ttl="5000")
    code, fields, _ = clients[-1].read_response()
    assert code == REFUSED and 0 < int(fields["pushback"]) <= 1000
    descriptors = len(list(Path(f"/proc/{platform.program.process.pid}/fd").iterdir()))
    assert descriptors < 256


def test_sigterm_announces_the_drain_answers_late_requests_and_ends(
    start_platform: Callable[..., Platform],
) -> None:
    platform = start_platform()
    gate = threading.Event()
    platform.set_reply(lambda r: ok()(r) if gate.wait(5) else None)
    client = platform.client()
    first = client.send_request()
    until(lambda: platform.requests)
    platform.program.process.send_signal(signal.SIGTERM)
    until(lambda: any("stopping" in x for x in platform.program.lines))
    late = platform.client()  # its sender has not noticed the drain yet
    late.send_request(row=2)
    frame = client.read_frame()
    assert frame is not None and frame[:2] == (frames.GO_AWAY, 0)
    gate.set()
    frame = client.read_frame()
    assert frame is not None and frame[1] == first and frame[2][0] == SERVED
    received = [frame := late.read_frame(), late.read_frame()]
    assert {f[0] for f in received if f} == {frames.GO_AWAY, frames.RESPONSE}
    assert platform.program.wait() == 0


def test_sigterm_ends_the_process_even_if_clients_go_on_requesting(
    start_platform: Callable[..., Platform],
) -> None:
    """Guards against clients that ignore GO_AWAY and rejections and so keep the drain busy until SIGKILL."""
    platform = start_platform()
    existing, finished = platform.client(), threading.Event()

    def open_new_connections() -> None:
        with contextlib.suppress(OSError, AssertionError):
            while not finished.wait(0.05):
                client = platform.client()
                client.send_request()
                client.read_frame()

    def request_on_existing() -> None:
        with contextlib.suppress(OSError):
            while not finished.wait(0.05):
                existing.send_request()

    threads = [threading.Thread(target=x, daemon=True) for x in (open_new_connections, request_on_existing)]
    for thread in threads:
        thread.start()
    until(lambda: platform.requests)
    platform.program.process.send_signal(signal.SIGTERM)
    try:
        assert platform.program.wait() == 0
    finally:
        finished.set()
    for thread in threads:
        thread.join(5)


def test_a_clean_start_after_sigkill(start_platform: Callable[..., Platform]) -> None:
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
    assert "x-max-age-ms" in platform.requests[-1].fields  # the purge is known from startup on
    until(lambda: platform.log.polls[-1] == 2)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (None, "can't be read"),
        ("{", "not JSON"),
        ("[]", "not a JSON object"),
        ('{"listen": "x"}', "not an address"),
        ('{"listen": "127.0.0.1:0", "seed": "1"}', "settings"),
        ('{"listen": "127.0.0.1:0", "settings": {"bounds": {}}}', "missing"),
    ],
)
def test_an_invalid_configuration_is_reported_in_one_line(
    tmp_path: Path, text: str | None, expected: str
) -> None:
    path = tmp_path / "c.json"
    if text is not None:
        path.write_text(text)
    completed = subprocess.run(
        [sys.executable, "-m", "hallproxy"], env={"EDGE_CONFIG": str(path)}, cwd=ROOT, capture_output=True
    )
    stderr = completed.stderr.decode()
    assert (
        completed.returncode == 1
        and stderr.count("\n") == 1
        and expected in stderr
        and "Traceback" not in stderr
    )


def test_a_client_that_reads_nothing_is_closed_to_free_memory(
    start_platform: Callable[..., Platform],
) -> None:
    platform = start_platform()
    platform.set_reply(lambda _: response(200, b"x" * 240_000, ETag="t", X_Born_Ms="1"))
    client = Client(platform.program.port)
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    for row in range(1, 33):
        client.send_request(row=row, ttl="5000")
    until(lambda: any("does not read" in x for x in platform.program.lines))
