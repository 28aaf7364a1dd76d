"""Two events that cross, in the bad order each time, on real connections.

The order is forced by stopping the process while both come, or by a store whose queue of connections is full.
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
from hallproxy.wire.stores import PlatformProtocol as Speech
from tests.support.gateway import (
    ChangeLog,
    Client,
    HttpStandIn,
    Platform,
    instance_record,
    now_ms,
    ok,
    platform_settings,
    reset,
    response,
    until,
)
from tests.support.processes import connects_in_progress, eventually, suspended, upstream_requests

SERVED, REFUSED, FAILED = frames.SERVED, frames.REJECTED, frames.FAILED


def well(platform: Platform, row: int = 999) -> None:
    """Whoever comes now is served: what came before has been read by then."""
    client = platform.client()
    client.send_request(row=row)
    assert client.read_response()[0] == SERVED


class Busy:
    """A store by hand whose queue of connections is full, so that connects to it wait."""

    def __init__(self) -> None:
        self.sock = socket.create_server(("127.0.0.1", 0), backlog=0)
        self.sock.settimeout(5)
        self.port: int = self.sock.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        self._fillers: list[socket.socket] = []
        self._ours: set[tuple[str, int]] = set()
        self.made: list[socket.socket] = []

    def fill(self) -> int:
        """Fill the queue; how many connects wait by now."""
        before = connects_in_progress(self.port)
        while connects_in_progress(self.port) == before:
            one = socket.socket()
            one.setblocking(False)
            one.connect_ex(("127.0.0.1", self.port))
            self._fillers.append(one)
            time.sleep(0.01)  # for the kernel's handshake on loopback
        return connects_in_progress(self.port)

    def take(self) -> socket.socket:
        """The next connection that is none of the fillers'."""
        self._ours |= {f.getsockname() for f in self._fillers}
        while self._fillers:
            self._fillers.pop().close()  # those that wait would come again when the gateway's does
        while True:
            made, peer = self.sock.accept()
            made.settimeout(5)
            self.made.append(made)
            if peer not in self._ours:
                return made

    def heads(self) -> list[str]:
        """The requests that came on what was taken, once there is one."""

        def spoken() -> list[socket.socket]:
            there = select.select(self.made, [], [], 0)[0]
            return [one for one in there if one.recv(1, socket.MSG_PEEK)]

        return [one.recv(4096).decode() for one in until(spoken)]

    def close(self) -> None:
        for one in [*self._fillers, *self.made, self.sock]:
            one.close()


def asked(made: socket.socket) -> str:
    """The path that is asked for on a store's connection."""
    got = b""
    while b"\r\n\r\n" not in got:
        more = made.recv(4096)
        assert more, "the connection ended before a request"
        got += more
    return got.split()[1].decode()


@pytest.fixture
def busy() -> Iterator[Busy]:
    made = Busy()
    yield made
    made.close()


def patient(settings: dict[str, Any]) -> None:
    settings["bounds"]["dial_timeout_ns"] = 5 * 10**9


# Clients that go ----------------------------------------------------------------------------------------


@pytest.mark.parametrize("how", ["close", "half-close", "reset", "cancel"])
def test_a_request_whose_client_has_gone_by_the_time_it_is_read_is_not_begun(
    start_platform: Callable[..., Platform], how: str
) -> None:
    platform = start_platform()
    client = platform.client()
    for row in range(100, 110):
        client.send_request(row=row)
        client.read_response()  # connections to the stores are open: what is begun is sent at once
    with suspended(platform.program):
        streams = [client.send_request(row=7, nth=n, body=b"x" * 2500) for n in range(8)]
        if how == "close":
            client.sock.close()
        elif how == "half-close":
            client.sock.shutdown(socket.SHUT_WR)
        elif how == "reset":
            reset(client.sock)
        else:
            for stream in streams:
                client.send_frame(frames.CANCEL, stream)
    well(platform)
    well(platform, 998)
    assert upstream_requests(platform, 7) == 0


def test_a_cancel_behind_many_frames_takes_back_what_has_not_begun(
    start_platform: Callable[..., Platform],
) -> None:
    """Frames of another client's stand ahead of it in the same turn."""
    platform = start_platform()
    crowd = [platform.client() for _ in range(8)]
    client = platform.client()
    for one in [*crowd, client]:
        one.send_frame(frames.READINESS_REQUEST, 0)
        one.read_frame()
    with suspended(platform.program):
        for one in crowd:
            for row in range(100, 130):
                one.send_request(row=row)
        streams = [client.send_request(row=7, nth=n) for n in range(30)]
        for stream in streams:
            client.send_frame(frames.CANCEL, stream)
    assert all(one.read_response()[0] in (SERVED, REFUSED) for one in crowd for _ in range(30))
    well(platform)
    assert upstream_requests(platform, 7) == 0


def test_who_leaves_while_his_connect_is_under_way_is_not_sent_on(
    start_platform: Callable[..., Platform], busy: Busy
) -> None:
    """Also where the settings let nothing be cancelled: what has not begun need not be."""

    def lasting(settings: dict[str, Any]) -> None:
        patient(settings)
        settings["bounds"]["cancelling"] = False

    platform = start_platform(change_settings=lasting, caches=[HttpStandIn(ok())])
    line = instance_record("s-0", busy.address, "std", startedAtMs=1)
    platform.publish(fleet={"generation": 2, "reset": False, "instances": [line]})
    waiting = busy.fill()
    client = platform.client()
    stream = client.send_request(row=7, ttl="4000")
    until(lambda: connects_in_progress(busy.port) > waiting)
    client.send_frame(frames.CANCEL, stream)
    client.send_frame(frames.READINESS_REQUEST, 0)
    assert client.read_frame() is not None  # the cancel has been read
    busy.take()
    client.send_request(row=8, ttl="4000")
    busy.sock.settimeout(0.05)
    with contextlib.suppress(TimeoutError):
        busy.take()  # where the other was not up yet
    assert [head.split()[1] for head in busy.heads()] == [f"/v2/q/segment/{8:016x}/0"]


# Attempts and answers -----------------------------------------------------------------------------------


@pytest.mark.timing("a hedge would begin after some multiples of 0.15 s")
def test_a_second_attempt_does_not_begin_when_the_first_s_answer_lies_there(
    start_platform: Callable[..., Platform],
) -> None:
    gate, held = threading.Event(), threading.Event()

    def reply(seen: Any) -> bytes | None:
        if f"{7:016x}" in seen.path:
            held.set()
            gate.wait(10)
        elif f"{200:016x}" not in seen.path:
            time.sleep(0.15)  # so long answers usually take
        return ok()(seen)

    platform = start_platform(caches=[HttpStandIn(reply)])
    client = platform.client()
    for row in range(100, 190, 15):
        for n in range(15):
            client.send_request(row=row, nth=n)
        assert all(client.read_response()[0] == SERVED for _ in range(15))
    stream = client.send_request(row=7, ttl="5000")
    assert held.wait(5)
    client.send_request(row=200)  # its cache answers others meanwhile
    assert client.read_response()[0] == SERVED
    with suspended(platform.program):
        began = time.monotonic()
        gate.set()
        until(lambda: time.monotonic() - began > 1.5)  # the answer lies there, and patience is over
    frame = client.read_frame()
    assert frame is not None and frame[1] == stream and frame[2][0] == SERVED
    well(platform)
    assert upstream_requests(platform, 7) == 1


@pytest.mark.timing("the retry is decided within a window of 0.5 s")
def test_a_repeat_under_a_key_is_not_sent_after_its_window(
    start_platform: Callable[..., Platform], busy: Busy
) -> None:
    """The module repeats it in time; then the connect lasts until the window is over.

    The connection that it goes out on, and the full queue, are there before the window begins.
    """

    def short(settings: dict[str, Any]) -> None:
        patient(settings)
        settings["classes"][2]["key_ttl_ns"] = 500_000_000

    platform = start_platform(change_settings=short, caches=[HttpStandIn(ok())])
    line = instance_record("s-0", busy.address, "std", startedAtMs=1)
    platform.publish(fleet={"generation": 2, "reset": False, "instances": [line]})
    client = platform.client()
    client.send_request(row=6)
    first = busy.take()
    assert f"{6:016x}" in asked(first)
    first.sendall(response(200, b"bytes", ETag="t", X_Born_Ms=str(now_ms())))
    assert client.read_response()[0] == SERVED
    waiting = busy.fill()
    client.send_request(op="close", row=7, dedupe="a" * 32)
    assert f"{7:016x}" in asked(first)
    sent = time.monotonic()
    reset(first)  # it may have run
    until(lambda: connects_in_progress(busy.port) > waiting)
    until(lambda: time.monotonic() - sent > 0.6)
    second = busy.take()
    code, _, _ = client.read_response()
    assert code in (REFUSED, FAILED)
    second.setblocking(False)
    with contextlib.suppress(BlockingIOError):
        assert second.recv(4096) == b""  # closed, or resting: nothing was asked on it


# Connections and the list -------------------------------------------------------------------------------


def test_a_connect_under_way_to_a_former_process_carries_nothing(
    start_platform: Callable[..., Platform], busy: Busy
) -> None:
    """Its address may be another store's by the time that the connection is up."""
    fresh = HttpStandIn(ok(b"new"))
    platform = start_platform(change_settings=patient, caches=[HttpStandIn(ok())])
    line = instance_record("s-0", busy.address, "std", startedAtMs=1)
    platform.publish(fleet={"generation": 2, "reset": False, "instances": [line]})
    waiting = busy.fill()
    client = platform.client()
    client.send_request(row=7, ttl="4000")
    until(lambda: connects_in_progress(busy.port) > waiting)
    line = instance_record("s-0", fresh.address, "std", startedAtMs=now_ms() - 60_000)
    platform.publish(fleet={"generation": 3, "reset": False, "instances": [line]})
    made = busy.take()
    assert client.read_response()[2] == b"new"
    assert made.recv(4096) == b""


def test_work_that_waits_when_its_fill_source_starts_is_decided_anew(
    start_platform: Callable[..., Platform], busy: Busy
) -> None:
    """A parent that has just started bears little from all gateways: what waits counts, too."""

    def frail(settings: dict[str, Any]) -> None:
        patient(settings)
        settings["specifics"]["parent_breaks_at"] = 1e-6  # a cold parent bears nothing at all

    platform = start_platform(change_settings=frail, caches=[HttpStandIn(ok())])
    lines = [instance_record("s-0", busy.address, "std"), instance_record("p-0", "127.0.0.1:1", "parent")]
    platform.publish(fleet={"generation": 2, "reset": False, "instances": lines})
    waiting = busy.fill()
    client = platform.client()
    client.send_request(row=7, ttl="4000")
    until(lambda: connects_in_progress(busy.port) > waiting)
    line = instance_record("p-0", "127.0.0.1:1", "parent", startedAtMs=now_ms())
    platform.publish(fleet={"generation": 3, "reset": False, "instances": [line]})
    busy.take()
    assert "X-Fill-From: o-0" in busy.heads()[0]


def test_a_connection_at_work_when_its_store_moves_is_not_used_again(
    start_platform: Callable[..., Platform],
) -> None:
    gate = threading.Event()
    old, fresh = HttpStandIn(lambda s: ok(b"old")(s) if gate.wait(5) else None), HttpStandIn(ok(b"new"))
    platform = start_platform(caches=[old])
    client = platform.client()
    client.send_request()
    until(lambda: old.requests)
    line = instance_record("s-0", fresh.address, "std", startedAtMs=now_ms() - 60_000)
    platform.publish(fleet={"generation": 2, "reset": False, "instances": [line]})
    gate.set()
    assert client.read_response()[2] == b"old"
    client.send_request(row=2)
    assert client.read_response()[2] == b"new" and len(old.requests) == 1


def test_a_page_of_the_old_log_that_is_read_as_the_log_moves_is_dropped() -> None:
    """The bytes have been read and the poll has not gone on yet: its turn comes behind the move."""
    old, new = ChangeLog(), ChangeLog()
    for log in (old, new):
        log.add(invalidate={"object": f"{1:016x}", "time": 1})
    settings = settings_from_json(json.dumps(platform_settings()).encode())

    async def play() -> None:
        running = asyncio.get_running_loop()
        loop = EffectRunner(GatewayState(settings, Router(settings, 1)))
        poller = Poller(loop, address(old.address), 1)
        task = asyncio.ensure_future(poller.run())
        await eventually(lambda: len(old.polls) >= 2)  # the first asks without waiting; the second waits
        made = poller._stream
        assert made is not None
        running.call_later(0.01, poller.reconfigure, address(new.address), {"results": []})
        due = time.monotonic() + 0.02
        old.add(invalidate={"object": f"{2:016x}", "time": now_ms()})
        until(lambda: made.is_stale() and time.monotonic() > due)  # no turn of the loop until both are there
        await eventually(lambda: new.polls)
        assert new.polls[0] == 1  # it holds nothing of the old one's page
        task.cancel()

    asyncio.run(play())


def test_a_connection_that_breaks_as_it_is_written_to_has_carried_nothing() -> None:
    """The reset comes after it was looked at: told as unused, so what runs once may go elsewhere, too."""
    server = socket.create_server(("127.0.0.1", 0))
    settings = settings_from_json(json.dumps(platform_settings()).encode())

    async def play() -> None:
        loop = EffectRunner(GatewayState(settings, Router(settings, 1)))
        told: list[Any] = []
        loop.dispatch = told.append  # type: ignore[method-assign,assignment]
        loop.connections = stores = UpstreamConnections(loop, Speech(settings))
        stores.open(1, "127.0.0.1:%d" % server.getsockname()[1])
        await eventually(lambda: told)
        made, _ = server.accept()
        assert told == [ConnectionOpened(told[0].at, 1)]
        link = stores._connections[1].stream
        reset(made)
        gone = select.poll()
        gone.register(link.fileno(), select.POLLERR)
        until(lambda: gone.poll(0))
        link.is_stale = lambda: False  # type: ignore[method-assign]
        stores.send(1, SendRequest(1, UpstreamRequest("1" * 16, 3, "1" * 16, 0, 10**9)))
        assert told[1:] == [ConnectionClosed(told[1].at, 1, unused=True)]
        await asyncio.sleep(0)
        assert len(told) == 2

    asyncio.run(play())
    server.close()


# Closes and the end -------------------------------------------------------------------------------------


def tail(sock: socket.socket) -> bytes:
    """All that still comes until the other side ends; a reset is an error."""
    got = b""
    while more := sock.recv(65_536):
        got += more
    return got


def test_an_error_is_not_lost_to_unread_bytes_behind_it(start_platform: Callable[..., Platform]) -> None:
    platform = start_platform()
    client = platform.client()
    with suspended(platform.program):
        client.sock.sendall(b"\xff" * 100_000)
    got = tail(client.sock)
    assert got[4] == frames.RESPONSE and b"error" in got


def test_what_was_taken_ahead_of_an_error_is_answered_before_the_close(
    start_platform: Callable[..., Platform],
) -> None:
    gate = threading.Event()
    platform = start_platform()
    platform.set_reply(lambda s: ok()(s) if gate.wait(5) else None)
    client = platform.client()
    stream = client.send_request()
    until(lambda: platform.requests)
    client.sock.sendall(b"\xff" * 1000)
    frame = client.read_frame()
    assert frame is not None and frame[:2] == (frames.RESPONSE, 0)
    gate.set()
    frame = client.read_frame()
    assert frame is not None and frame[1] == stream and frame[2][0] == SERVED
    assert tail(client.sock) == b""


def test_a_resting_connection_ends_in_order_and_a_request_behind_that_is_not_reset(
    start_platform: Callable[..., Platform],
) -> None:
    platform = start_platform()
    client = platform.client()
    client.send_request()
    assert client.read_response()[0] == SERVED
    platform.program.process.send_signal(signal.SIGTERM)
    frame = client.read_frame()
    assert frame is not None and frame[0] == frames.GO_AWAY
    assert tail(client.sock) == b""  # it rests until the gateway ends it
    asked_before = len(platform.requests)
    client.send_request(row=2)
    client.send_frame(frames.CANCEL, 2)
    assert client.sock.recv(1) == b""
    client.sock.close()
    assert platform.program.wait() == 0
    assert len(platform.requests) == asked_before


def test_at_the_end_what_comes_late_is_refused_and_not_sent_on(
    start_platform: Callable[..., Platform],
) -> None:
    gate = threading.Event()
    platform = start_platform()
    platform.set_reply(lambda s: ok()(s) if gate.wait(10) else None)
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
def test_what_waits_longer_than_the_process_may_is_answered_before_its_kill(
    start_platform: Callable[..., Platform],
) -> None:
    def short(settings: dict[str, Any]) -> None:
        for cls in settings["classes"]:
            cls["deadline_ns"] = 3 * 10**9

    platform = start_platform(change_settings=short)
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
def test_the_process_ends_ahead_of_its_kill_while_a_client_goes_on_requesting(
    start_platform: Callable[..., Platform], deadline_s: int, killed_after: float
) -> None:
    """Guards against requests unanswered at the kill: a deadline over 3 s counts as 3 s."""

    def set_deadlines(settings: dict[str, Any]) -> None:
        for cls in settings["classes"]:
            cls["deadline_ns"] = deadline_s * 10**9

    platform = start_platform(change_settings=set_deadlines)
    platform.set_reply(lambda seen: None if f"{1:016x}" in seen.path else ok()(seen))
    hung, going_on = platform.client(), platform.client()
    hung.send_request(row=1, ttl=str(deadline_s * 1000))
    until(lambda: platform.requests)
    began = time.monotonic()
    platform.program.process.send_signal(signal.SIGTERM)
    asked = 0
    with contextlib.suppress(OSError):
        while time.monotonic() - began < killed_after:
            going_on.send_request(row=2)
            asked += 1
            if (frame := going_on.read_frame()) is None:
                break  # it crossed the end of the connection
            while frame is not None and frame[0] == frames.GO_AWAY:
                frame = going_on.read_frame()
            assert frame is not None and frame[2][0] in (SERVED, REFUSED)
            time.sleep(0.02)
    assert platform.program.wait() == 0 and time.monotonic() - began < killed_after
    assert asked > 20
    while (frame := hung.read_frame()) is not None and frame[0] == frames.GO_AWAY:
        pass
    assert frame is not None and frame[2][0] in (REFUSED, FAILED)


@pytest.mark.timing("the drain ends within 3.5 s")
def test_what_a_client_never_reads_does_not_keep_the_process_until_its_kill(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The last bytes of an answer are not taken, as if for good; the end comes in its time all the same."""
    settings = settings_from_json(json.dumps(platform_settings()).encode())
    settings = replace(settings, classes=tuple(replace(c, deadline=3 * 10**9) for c in settings.classes))
    monkeypatch.setattr(DownstreamConnections, "has_unfinished", property(lambda _: True))

    async def play() -> float:
        loop = EffectRunner(GatewayState(settings, Router(settings, 1)))
        began = time.monotonic()
        await drain(DownstreamConnections(loop), loop, lambda: None)
        return time.monotonic() - began

    assert asyncio.run(asyncio.wait_for(play(), 8)) < 3.5


def test_who_waits_in_the_backlog_when_the_listener_closes_is_answered(
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
        until(lambda: time.monotonic() - began > 1.2)  # the listener is closed as soon as it goes on
    for client in late:
        while (frame := client.read_frame()) is not None and frame[0] == frames.GO_AWAY:
            pass
        assert frame is not None and frame[2][0] in (SERVED, REFUSED)
    assert platform.program.wait() == 0


def test_half_a_line_from_a_store_is_no_answer(start_platform: Callable[..., Platform]) -> None:
    whole = response(200, b"bytes", ETag="t", X_Born_Ms=str(now_ms()))
    first, second = HttpStandIn(lambda _: whole[:9]), HttpStandIn(ok(b"whole"))
    platform = start_platform(caches=[first, second])
    client = platform.client()
    for row in range(1, 9):
        client.send_request(row=row)
        assert client.read_response()[2] == b"whole"
    assert first.requests
