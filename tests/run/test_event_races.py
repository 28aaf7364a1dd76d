"""Races between two events, forced into the unfavourable order, on real connections.

The order is forced by suspending the process until both have arrived, or by a store whose backlog is full.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import select
import signal
import socket
import threading
import time
from collections.abc import Callable, Iterator
from dataclasses import replace
from typing import Any

import pytest

from hallproxy import Router
from hallproxy.run.change_log_poller import Poller
from hallproxy.run.config import address
from hallproxy.run.downstream_connections import DownstreamConnections
from hallproxy.run.effect_runner import EffectRunner
from hallproxy.run.shutdown import drain
from hallproxy.run.upstream_connections import UpstreamConnections
from hallproxy.state.effects import SendRequest, UpstreamRequest
from hallproxy.state.events import ConnectionClosed, ConnectionOpened
from hallproxy.state.model import GatewayState
from hallproxy.wire import frames
from hallproxy.wire.simulator_settings import settings_from_json
from hallproxy.wire.stores import PlatformProtocol
from tests.support.gateway import (
    ChangeLog,
    Client,
    HttpStandIn,
    Platform,
    instance_record,
    now_ms,
    ok,
    platform_settings,
    reply_with,
    reset,
    response,
    until,
)
from tests.support.processes import connects_in_progress, eventually, suspended, upstream_requests

SERVED, REFUSED, FAILED = frames.SERVED, frames.REJECTED, frames.FAILED


def assert_serving(platform: Platform, row: int = 999) -> None:
    """A new client is served: whatever arrived before has been read by then."""
    client = platform.client()
    client.send_request(row=row)
    assert client.read_response()[0] == SERVED


class FullBacklogStore:
    """A manually driven store whose listen backlog can be filled, so that connects to it wait."""

    def __init__(self) -> None:
        self.sock = socket.create_server(("127.0.0.1", 0), backlog=0)
        self.sock.settimeout(5)
        self.port: int = self.sock.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        self._fillers: list[socket.socket] = []
        self._filler_peers: set[tuple[str, int]] = set()
        self.accepted: list[socket.socket] = []

    def fill(self) -> int:
        """Fill the backlog; returns the number of connects in progress."""
        before = connects_in_progress(self.port)
        while connects_in_progress(self.port) == before:
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            self._fillers.append(filler)
            time.sleep(0.01)  # for the kernel's handshake on loopback
        return connects_in_progress(self.port)

    def accept(self) -> socket.socket:
        """The next connection that is not a filler's."""
        self._filler_peers |= {f.getsockname() for f in self._fillers}
        while self._fillers:
            self._fillers.pop().close()  # pending ones would retry their SYN at the same time as the gateway
        while True:
            connection, peer = self.sock.accept()
            connection.settimeout(5)
            self.accepted.append(connection)
            if peer not in self._filler_peers:
                return connection

    def request_heads(self) -> list[str]:
        """The requests received on the accepted connections, once there is one."""

        def with_data() -> list[socket.socket]:
            readable = select.select(self.accepted, [], [], 0)[0]
            return [connection for connection in readable if connection.recv(1, socket.MSG_PEEK)]

        return [connection.recv(4096).decode() for connection in until(with_data)]

    def close(self) -> None:
        for sock in [*self._fillers, *self.accepted, self.sock]:
            sock.close()


def read_path(connection: socket.socket) -> str:
    """The path requested on a store's connection."""
    received = b""
    while b"\r\n\r\n" not in received:
        chunk = connection.recv(4096)
        assert chunk, "the connection was closed before a complete request"
        received += chunk
    return received.split()[1].decode()


@pytest.fixture
def busy_store() -> Iterator[FullBacklogStore]:
    store = FullBacklogStore()
    yield store
    store.close()


def extend_connect_timeout(settings: dict[str, Any]) -> None:
    settings["bounds"]["dial_timeout_ns"] = 5 * 10**9


# Clients that disconnect ---------------------------------------------------------------------------------


@pytest.mark.parametrize("ending", ["close", "half-close", "reset", "cancel"])
def test_a_request_whose_client_has_disconnected_before_it_is_read_is_not_sent(
    start_platform: Callable[..., Platform], ending: str
) -> None:
    platform = start_platform()
    client = platform.client()
    for row in range(100, 110):
        client.send_request(row=row)
        client.read_response()  # connections to the stores are open now: requests are sent at once
    with suspended(platform.program):
        streams = [client.send_request(row=7, nth=n, body=b"x" * 2500) for n in range(8)]
        if ending == "close":
            client.sock.close()
        elif ending == "half-close":
            client.sock.shutdown(socket.SHUT_WR)
        elif ending == "reset":
            reset(client.sock)
        else:
            for stream in streams:
                client.send_frame(frames.CANCEL, stream)
    assert_serving(platform)
    assert_serving(platform, 998)
    assert upstream_requests(platform, 7) == 0


@pytest.mark.parametrize("ending", ["close", "half-close", "reset"])
def test_requests_ahead_of_many_frames_are_not_sent_once_their_client_has_closed(
    start_platform: Callable[..., Platform], ending: str
) -> None:
    # Guards against requests that are started while the client's close is still behind what was not read.
    platform = start_platform()
    client = platform.client()
    client.send_frame(frames.READINESS_REQUEST, 0)
    client.read_frame()
    with suspended(platform.program):
        for nth in range(30):
            client.send_request(op="small", row=7, nth=nth)
        client.sock.sendall(b"".join(frames.encode_frame(frames.CANCEL, 9_999)) * 3_000)
        end_connection(client, ending)
    assert_serving(platform)
    assert_serving(platform, 998)
    assert upstream_requests(platform, 7) == 0


def end_connection(client: Client, ending: str) -> None:
    if ending == "close":
        client.sock.close()
    elif ending == "half-close":
        client.sock.shutdown(socket.SHUT_WR)
    else:
        reset(client.sock)


@pytest.mark.parametrize("ending", ["close", "half-close", "reset", "answered"])
@pytest.mark.parametrize("op", ["once", "close"])
def test_an_id_that_has_run_does_not_run_again_when_it_returns(
    start_platform: Callable[..., Platform], op: str, ending: str
) -> None:
    # Guards against a request that runs twice: its client has left, and comes again with the same id.
    platform = start_platform()
    answering = threading.Event()
    platform.set_reply(lambda request: ok()(request) if answering.wait(3) else None)
    fields = {"op": op, "call": f"{0xABCDEF:016x}", "dedupe": "k1"}
    first = platform.client()
    first.send_request(row=7, fields=fields)
    until(lambda: upstream_requests(platform, 7))
    if ending == "answered":
        answering.set()
        assert first.read_response()[0] == SERVED
    else:
        end_connection(first, ending)
        answering.set()
        assert_serving(platform)  # the end has been read by then
    again = platform.client()
    again.send_request(row=7, fields=fields)
    assert again.read_response()[0] == FAILED
    assert upstream_requests(platform, 7) == 1


def test_an_id_that_has_not_run_may_come_again(start_platform: Callable[..., Platform]) -> None:
    # A client sends a request that crosses the end of its connection once more, under the same id.
    platform = start_platform()
    platform.set_reply(reply_with(503, X_No_Effect="1"))
    fields = {"op": "once", "call": f"{0xABCDEF:016x}"}
    client = platform.client()
    client.send_request(row=7, fields=fields)
    assert client.read_response()[0] != SERVED
    platform.set_reply(ok())
    client = platform.client()
    client.send_request(row=7, fields=fields)
    assert client.read_response()[0] == SERVED


def test_a_cancel_behind_many_frames_cancels_requests_that_have_not_begun(
    start_platform: Callable[..., Platform],
) -> None:
    """Frames of other clients precede it in the same loop iteration."""
    platform = start_platform()
    others = [platform.client() for _ in range(8)]
    client = platform.client()
    for each in [*others, client]:
        each.send_frame(frames.READINESS_REQUEST, 0)
        each.read_frame()
    with suspended(platform.program):
        for other in others:
            for row in range(100, 130):
                other.send_request(row=row)
        streams = [client.send_request(row=7, nth=n) for n in range(30)]
        for stream in streams:
            client.send_frame(frames.CANCEL, stream)
    assert all(other.read_response()[0] in (SERVED, REFUSED) for other in others for _ in range(30))
    assert_serving(platform)
    assert upstream_requests(platform, 7) == 0


def test_a_request_cancelled_during_its_connect_is_not_sent(
    start_platform: Callable[..., Platform], busy_store: FullBacklogStore
) -> None:
    """Also where the settings forbid cancelling: a request that has not been sent needs no cancel."""

    def without_cancelling(settings: dict[str, Any]) -> None:
        extend_connect_timeout(settings)
        settings["bounds"]["cancelling"] = False

    platform = start_platform(change_settings=without_cancelling, caches=[HttpStandIn(ok())])
    record = instance_record("s-0", busy_store.address, "std", startedAtMs=1)
    platform.publish(fleet={"generation": 2, "reset": False, "instances": [record]})
    waiting = busy_store.fill()
    client = platform.client()
    stream = client.send_request(row=7, ttl="4000")
    until(lambda: connects_in_progress(busy_store.port) > waiting)
    client.send_frame(frames.CANCEL, stream)
    client.send_frame(frames.READINESS_REQUEST, 0)
    assert client.read_frame() is not None  # the cancel has been read
    busy_store.accept()
    client.send_request(row=8, ttl="4000")
    busy_store.sock.settimeout(0.05)
    with contextlib.suppress(TimeoutError):
        busy_store.accept()  # if the other connection was not up yet
    assert [head.split()[1] for head in busy_store.request_heads()] == [f"/v2/q/segment/{8:016x}/0"]


# Attempts and responses ---------------------------------------------------------------------------------


@pytest.mark.timing("a hedge would begin after some multiples of 0.15 s")
def test_a_hedge_does_not_begin_when_the_first_response_is_already_buffered(
    start_platform: Callable[..., Platform],
) -> None:
    gate, waiting = threading.Event(), threading.Event()

    def reply(request: Any) -> bytes | None:
        if f"{7:016x}" in request.path:
            waiting.set()
            gate.wait(10)
        elif f"{200:016x}" not in request.path:
            time.sleep(0.15)  # the usual response time
        return ok()(request)

    platform = start_platform(caches=[HttpStandIn(reply)])
    client = platform.client()
    for row in range(100, 190, 15):
        for n in range(15):
            client.send_request(row=row, nth=n)
        assert all(client.read_response()[0] == SERVED for _ in range(15))
    stream = client.send_request(row=7, ttl="5000")
    assert waiting.wait(5)
    client.send_request(row=200)  # the same cache answers other requests meanwhile
    assert client.read_response()[0] == SERVED
    with suspended(platform.program):
        began = time.monotonic()
        gate.set()
        # The response is in the socket buffer by now, and the hedge delay has passed.
        until(lambda: time.monotonic() - began > 1.5)
    frame = client.read_frame()
    assert frame is not None and frame[1] == stream and frame[2][0] == SERVED
    assert_serving(platform)
    assert upstream_requests(platform, 7) == 1


@pytest.mark.timing("the retry is decided within a window of 0.5 s")
def test_a_retry_with_an_idempotency_key_is_not_sent_after_its_window(
    start_platform: Callable[..., Platform], busy_store: FullBacklogStore
) -> None:
    """The router retries it in time, but the connect takes until the window has expired.

    The connection of the first attempt and the full backlog exist before the window begins.
    """

    def short_window(settings: dict[str, Any]) -> None:
        extend_connect_timeout(settings)
        settings["classes"][2]["key_ttl_ns"] = 500_000_000

    platform = start_platform(change_settings=short_window, caches=[HttpStandIn(ok())])
    record = instance_record("s-0", busy_store.address, "std", startedAtMs=1)
    platform.publish(fleet={"generation": 2, "reset": False, "instances": [record]})
    client = platform.client()
    client.send_request(row=6)
    first = busy_store.accept()
    assert f"{6:016x}" in read_path(first)
    first.sendall(response(200, b"bytes", ETag="t", X_Born_Ms=str(now_ms())))
    assert client.read_response()[0] == SERVED
    waiting = busy_store.fill()
    client.send_request(op="close", row=7, dedupe="a" * 32)
    assert f"{7:016x}" in read_path(first)
    sent = time.monotonic()
    reset(first)  # the request may have run
    until(lambda: connects_in_progress(busy_store.port) > waiting)
    until(lambda: time.monotonic() - sent > 0.6)
    second = busy_store.accept()
    code, _, _ = client.read_response()
    assert code in (REFUSED, FAILED)
    second.setblocking(False)
    with contextlib.suppress(BlockingIOError):
        assert second.recv(4096) == b""  # closed or idle: no request was sent on it


# Connections and endpoints ------------------------------------------------------------------------------


def test_a_connect_in_progress_to_a_replaced_process_carries_no_request(
    start_platform: Callable[..., Platform], busy_store: FullBacklogStore
) -> None:
    """Its address may belong to another store by the time the connection is established."""
    fresh = HttpStandIn(ok(b"new"))
    platform = start_platform(change_settings=extend_connect_timeout, caches=[HttpStandIn(ok())])
    record = instance_record("s-0", busy_store.address, "std", startedAtMs=1)
    platform.publish(fleet={"generation": 2, "reset": False, "instances": [record]})
    waiting = busy_store.fill()
    client = platform.client()
    client.send_request(row=7, ttl="4000")
    until(lambda: connects_in_progress(busy_store.port) > waiting)
    record = instance_record("s-0", fresh.address, "std", startedAtMs=now_ms() - 60_000)
    platform.publish(fleet={"generation": 3, "reset": False, "instances": [record]})
    accepted = busy_store.accept()
    assert client.read_response()[2] == b"new"
    assert accepted.recv(4096) == b""


def test_a_waiting_request_is_routed_again_when_its_fill_source_restarts(
    start_platform: Callable[..., Platform], busy_store: FullBacklogStore
) -> None:
    """A freshly started parent takes little load from all gateways; waiting requests count towards it."""

    def fragile_parent(settings: dict[str, Any]) -> None:
        extend_connect_timeout(settings)
        settings["specifics"]["parent_breaks_at"] = 1e-6  # a cold parent takes no load at all

    platform = start_platform(change_settings=fragile_parent, caches=[HttpStandIn(ok())])
    records = [
        instance_record("s-0", busy_store.address, "std"),
        instance_record("p-0", "127.0.0.1:1", "parent"),
    ]
    platform.publish(fleet={"generation": 2, "reset": False, "instances": records})
    waiting = busy_store.fill()
    client = platform.client()
    client.send_request(row=7, ttl="4000")
    until(lambda: connects_in_progress(busy_store.port) > waiting)
    record = instance_record("p-0", "127.0.0.1:1", "parent", startedAtMs=now_ms())
    platform.publish(fleet={"generation": 3, "reset": False, "instances": [record]})
    busy_store.accept()
    assert "X-Fill-From: o-0" in busy_store.request_heads()[0]


def test_a_connection_in_use_when_its_store_moves_is_not_reused(
    start_platform: Callable[..., Platform],
) -> None:
    gate = threading.Event()
    old, fresh = (
        HttpStandIn(lambda request: ok(b"old")(request) if gate.wait(5) else None),
        HttpStandIn(ok(b"new")),
    )
    platform = start_platform(caches=[old])
    client = platform.client()
    client.send_request()
    until(lambda: old.requests)
    record = instance_record("s-0", fresh.address, "std", startedAtMs=now_ms() - 60_000)
    platform.publish(fleet={"generation": 2, "reset": False, "instances": [record]})
    gate.set()
    assert client.read_response()[2] == b"old"
    client.send_request(row=2)
    assert client.read_response()[2] == b"new" and len(old.requests) == 1


def test_a_page_of_the_old_log_read_while_the_address_changes_is_dropped() -> None:
    """The bytes have been read, but the address changes before the poll resumes."""
    old, new = ChangeLog(), ChangeLog()
    for log in (old, new):
        log.add(invalidate={"object": f"{1:016x}", "time": 1})
    settings = settings_from_json(json.dumps(platform_settings()).encode())

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        runner = EffectRunner(GatewayState(settings, Router(settings, 1)))
        poller = Poller(runner, address(old.address), 1)
        task = asyncio.ensure_future(poller.run())
        await eventually(lambda: len(old.polls) >= 2)  # the first poll does not wait; the second does
        stream = poller._stream
        assert stream is not None
        loop.call_later(0.01, poller.reconfigure, address(new.address), {"results": []})
        timer_due = time.monotonic() + 0.02
        old.add(invalidate={"object": f"{2:016x}", "time": now_ms()})
        # Blocks the loop until both are ready.
        until(lambda: stream.is_stale() and time.monotonic() > timer_due)
        await eventually(lambda: new.polls)
        assert new.polls[0] == 1  # nothing of the old log's page was applied
        task.cancel()

    asyncio.run(scenario())


def test_a_connection_reset_while_a_request_is_written_counts_as_unused() -> None:
    """The reset follows the staleness check; reported as unused, so at-most-once requests may be retried."""
    server = socket.create_server(("127.0.0.1", 0))
    settings = settings_from_json(json.dumps(platform_settings()).encode())

    async def scenario() -> None:
        runner = EffectRunner(GatewayState(settings, Router(settings, 1)))
        events: list[Any] = []
        runner.dispatch = events.append  # type: ignore[method-assign,assignment]
        runner.connections = upstreams = UpstreamConnections(runner, PlatformProtocol(settings))
        upstreams.open(1, "127.0.0.1:%d" % server.getsockname()[1])
        await eventually(lambda: events)
        accepted, _ = server.accept()
        assert events == [ConnectionOpened(events[0].at, 1)]
        stream = upstreams._connections[1].stream
        reset(accepted)
        poll = select.poll()
        poll.register(stream.fileno(), select.POLLERR)
        until(lambda: poll.poll(0))
        stream.is_stale = lambda: False  # type: ignore[method-assign]
        upstreams.send(1, SendRequest(1, UpstreamRequest("1" * 16, 3, "1" * 16, 0, 10**9)))
        assert events[1:] == [ConnectionClosed(events[1].at, 1, unused=True)]
        await asyncio.sleep(0)
        assert len(events) == 2

    asyncio.run(scenario())
    server.close()


# Closing and shutdown -----------------------------------------------------------------------------------


def read_to_end(sock: socket.socket) -> bytes:
    """All bytes until the peer closes; a reset is an error."""
    received = b""
    while chunk := sock.recv(65_536):
        received += chunk
    return received


def test_an_error_frame_is_not_lost_to_unread_bytes_behind_the_invalid_frame(
    start_platform: Callable[..., Platform],
) -> None:
    platform = start_platform()
    client = platform.client()
    with suspended(platform.program):
        client.sock.sendall(b"\xff" * 100_000)
    received = read_to_end(client.sock)
    assert received[4] == frames.RESPONSE and b"error" in received


def test_a_request_accepted_before_an_invalid_frame_is_answered_before_the_close(
    start_platform: Callable[..., Platform],
) -> None:
    gate = threading.Event()
    platform = start_platform()
    platform.set_reply(lambda request: ok()(request) if gate.wait(5) else None)
    client = platform.client()
    stream = client.send_request()
    until(lambda: platform.requests)
    client.sock.sendall(b"\xff" * 1000)
    frame = client.read_frame()
    assert frame is not None and frame[:2] == (frames.RESPONSE, 0)
    gate.set()
    frame = client.read_frame()
    assert frame is not None and frame[1] == stream and frame[2][0] == SERVED
    assert read_to_end(client.sock) == b""


def test_an_idle_connection_closes_cleanly_and_a_later_request_is_not_reset(
    start_platform: Callable[..., Platform],
) -> None:
    platform = start_platform()
    client = platform.client()
    client.send_request()
    assert client.read_response()[0] == SERVED
    platform.program.process.send_signal(signal.SIGTERM)
    frame = client.read_frame()
    assert frame is not None and frame[0] == frames.GO_AWAY
    assert read_to_end(client.sock) == b""  # idle until the gateway closes it
    requests_before = len(platform.requests)
    client.send_request(row=2)
    client.send_frame(frames.CANCEL, 2)
    assert client.sock.recv(1) == b""
    client.sock.close()
    assert platform.program.wait() == 0
    assert len(platform.requests) == requests_before


def test_a_request_late_in_the_drain_is_refused_and_not_sent(
    start_platform: Callable[..., Platform],
) -> None:
    gate = threading.Event()
    platform = start_platform()
    platform.set_reply(lambda request: ok()(request) if gate.wait(10) else None)
    client, other = platform.client(), platform.client()
    other.send_frame(frames.READINESS_REQUEST, 0)
    frame = other.read_frame()
    assert frame is not None and frame[2][0] == SERVED
    client.send_request(row=1, ttl="5000")
    until(lambda: platform.requests)
    platform.program.process.send_signal(signal.SIGTERM)
    until(lambda: any("new requests are rejected" in x for x in platform.program.lines))
    assert (frame := other.read_frame()) is not None and frame[0] == frames.GO_AWAY
    other.send_frame(frames.READINESS_REQUEST, 0)
    assert (frame := other.read_frame()) is not None and frame[2][0] == REFUSED
    other.send_request(row=2)
    code, fields, _ = other.read_response()
    assert code == REFUSED and int(fields["pushback"]) > 0
    gate.set()
    assert (frame := client.read_frame()) is not None and frame[0] == frames.GO_AWAY
    assert client.read_response()[0] == SERVED
    assert platform.program.wait() == 0 and upstream_requests(platform, 2) == 0


@pytest.mark.timing("the process ends within 3.7 s")
def test_requests_that_outlast_the_drain_are_answered_before_sigkill(
    start_platform: Callable[..., Platform],
) -> None:
    def short_deadlines(settings: dict[str, Any]) -> None:
        for cls in settings["classes"]:
            cls["deadline_ns"] = 3 * 10**9

    platform = start_platform(change_settings=short_deadlines)
    platform.set_reply(lambda _: None)
    early, late = platform.client(), platform.client()
    early.send_request(ttl="12000")
    until(lambda: platform.requests)
    began = time.monotonic()
    platform.program.process.send_signal(signal.SIGTERM)
    until(lambda: any("stopping" in x for x in platform.program.lines))
    late.send_request(row=2, ttl="12000")
    for client in (early, late):
        while (frame := client.read_frame()) is not None and frame[0] == frames.GO_AWAY:
            pass
        assert frame is not None and frame[2][0] in (REFUSED, FAILED)
    assert platform.program.wait() == 0 and time.monotonic() - began < 3.7


@pytest.mark.timing("the process ends within 1.7 or 3.7 s")
@pytest.mark.parametrize(("deadline_s", "killed_after"), [(1, 1.7), (6, 3.7)])
def test_the_process_ends_before_sigkill_while_a_client_goes_on_requesting(
    start_platform: Callable[..., Platform], deadline_s: int, killed_after: float
) -> None:
    """Guards against requests unanswered at SIGKILL: a deadline over 3 s counts as 3 s."""

    def set_deadlines(settings: dict[str, Any]) -> None:
        for cls in settings["classes"]:
            cls["deadline_ns"] = deadline_s * 10**9

    platform = start_platform(change_settings=set_deadlines)
    platform.set_reply(lambda request: None if f"{1:016x}" in request.path else ok()(request))
    hung, active = platform.client(), platform.client()
    hung.send_request(row=1, ttl=str(deadline_s * 1000))
    until(lambda: platform.requests)
    began = time.monotonic()
    platform.program.process.send_signal(signal.SIGTERM)
    sent = 0
    with contextlib.suppress(OSError):
        while time.monotonic() - began < killed_after:
            active.send_request(row=2)
            sent += 1
            if (frame := active.read_frame()) is None:
                break  # the connection was closed as the request was sent
            while frame is not None and frame[0] == frames.GO_AWAY:
                frame = active.read_frame()
            assert frame is not None and frame[2][0] in (SERVED, REFUSED)
            time.sleep(0.02)
    assert platform.program.wait() == 0 and time.monotonic() - began < killed_after
    assert sent > 20
    while (frame := hung.read_frame()) is not None and frame[0] == frames.GO_AWAY:
        pass
    assert frame is not None and frame[2][0] in (REFUSED, FAILED)


@pytest.mark.timing("the drain ends within 3.5 s")
def test_a_response_that_a_client_never_reads_does_not_delay_the_drain(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The last bytes of a response are never read; the drain still ends on time."""
    settings = settings_from_json(json.dumps(platform_settings()).encode())
    settings = replace(settings, classes=tuple(replace(c, deadline=3 * 10**9) for c in settings.classes))
    monkeypatch.setattr(DownstreamConnections, "has_unfinished", property(lambda _: True))

    async def scenario() -> float:
        runner = EffectRunner(GatewayState(settings, Router(settings, 1)))
        began = time.monotonic()
        await drain(DownstreamConnections(runner), runner, lambda: None)
        return time.monotonic() - began

    assert asyncio.run(asyncio.wait_for(scenario(), 8)) < 3.5


def test_clients_in_the_backlog_when_the_listener_closes_are_answered(
    start_platform: Callable[..., Platform],
) -> None:
    platform = start_platform()
    platform.program.process.send_signal(signal.SIGTERM)
    until(lambda: any("stopping" in x for x in platform.program.lines))
    with suspended(platform.program):
        began = time.monotonic()
        late = [Client(platform.program.port) for _ in range(20)]
        for client in late:
            client.send_request(row=5)
        until(lambda: time.monotonic() - began > 1.2)  # the listener is closed as soon as the process resumes
    for client in late:
        while (frame := client.read_frame()) is not None and frame[0] == frames.GO_AWAY:
            pass
        assert frame is not None and frame[2][0] in (SERVED, REFUSED)
    assert platform.program.wait() == 0


def test_half_a_status_line_from_a_store_is_not_a_response(start_platform: Callable[..., Platform]) -> None:
    complete = response(200, b"bytes", ETag="t", X_Born_Ms=str(now_ms()))
    first, second = HttpStandIn(lambda _: complete[:9]), HttpStandIn(ok(b"whole"))
    platform = start_platform(caches=[first, second])
    client = platform.client()
    for row in range(1, 9):
        client.send_request(row=row)
        assert client.read_response()[2] == b"whole"
    assert first.requests
