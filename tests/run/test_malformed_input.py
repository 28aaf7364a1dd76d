"""Stores whose answers are spoilt, or bring more than belongs to them, on real sockets."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import socket
import threading
import time
import weakref
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path
from typing import Any

import pytest
from tornado.iostream import StreamClosedError

from hallproxy.run.sockets import Buffer, Stream, tcp_stream
from hallproxy.wire import frames
from tests.support.gateway import (
    Client,
    HttpStandIn,
    Listener,
    Platform,
    instance_record,
    ok,
    read_request,
    reset,
    response,
    until,
)

SERVED, REFUSED, FAILED = frames.SERVED, frames.REJECTED, frames.FAILED
GOOD = response(200, b"bytes", ETag="t1", X_Born_Ms="1")
EARLY = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nbytes\r\n0\r\n\r\n"


class Raw:
    """A store that writes what it is told, as it is, and keeps the connection open."""

    def __init__(self, *said: bytes, endless: bytes = b"") -> None:
        self.said, self.endless = list(said), endless
        self.requests = 0
        self.ended = threading.Event()  # the gateway has closed the first connection
        self.listener = Listener(self._serve)
        self.address = self.listener.address

    def _serve(self, made: socket.socket) -> None:
        file = made.makefile("rb")
        try:
            while read_request(file) is not None:
                self.requests += 1
                spoilt = len(self.said) > 0
                made.sendall(self.said.pop(0) if spoilt else GOOD)
                while spoilt and self.endless:
                    made.sendall(self.endless)
        finally:
            self.ended.set()


@pytest.fixture
def made(tmp_path: Path) -> Iterator[list[Platform]]:
    started: list[Platform] = []
    yield started
    for platform in started:
        if platform.program.process.poll() is None:
            platform.program.process.kill()
        platform.program.wait()


def start(made: list[Platform], path: Path, store: Any) -> tuple[Platform, Client]:
    platform = Platform(path, caches=[store], limits={"memory_mb": 64, "sockets": 256}).start()
    made.append(platform)
    return platform, platform.client()


def rows(client: Client, count: int) -> list[tuple[int, bytes]]:
    told = []
    for row in range(1, count + 1):
        client.send_request(op="small", row=row)
        code, _, body = client.read_response()
        told.append((code, body))
    return told


def test_interim_answers_ahead_are_passed_over(made: list[Platform], tmp_path: Path) -> None:
    store = Raw(EARLY + GOOD)
    _, client = start(made, tmp_path, store)
    assert rows(client, 2) == [(SERVED, b"bytes")] * 2
    assert store.requests == 2 and len(store.listener.connections) == 1


@pytest.mark.parametrize("behind", [GOOD.replace(b"bytes", b"other"), b"noise", b"HTTP/1.1 200 OK\r\n"])
def test_bytes_behind_an_answer_are_never_the_next_ones(
    made: list[Platform], tmp_path: Path, behind: bytes
) -> None:
    store = Raw(GOOD + behind)
    _, client = start(made, tmp_path, store)
    assert rows(client, 3) == [(SERVED, b"bytes")] * 3
    assert store.requests == 3 and len(store.listener.connections) == 2


def test_bytes_that_come_while_a_connection_idles_end_it_and_cost_no_attempt(
    made: list[Platform], tmp_path: Path
) -> None:
    store = Raw()
    _, client = start(made, tmp_path, store)
    client.send_request(
        op="once", row=1
    )  # a class that may not run twice: the next must not be sent on it at all
    assert client.read_response()[0] == SERVED
    store.listener.connections[0].sendall(b"late noise")
    assert store.ended.wait(5)
    client.send_request(op="once", row=2)
    assert client.read_response()[0] == SERVED
    assert store.requests == 2


@pytest.mark.parametrize(
    "half", [b"HTTP/1.1 200", GOOD[:-2], GOOD[:-5], EARLY + GOOD[:30], CHUNKED[:-9], CHUNKED[:-3]]
)
def test_an_answer_that_begins_and_stops_short_is_asked_for_again_in_time(
    made: list[Platform], tmp_path: Path, half: bytes
) -> None:
    # Its connection stays open and quiet: without a limit on such pauses it takes the request's whole time.
    store = Raw(half)
    _, client = start(made, tmp_path, store)
    assert rows(client, 2) == [(SERVED, b"bytes")] * 2
    assert store.ended.wait(5) and store.requests == 3


def test_a_final_answer_may_come_long_after_an_interim_one(made: list[Platform], tmp_path: Path) -> None:
    store = Raw(EARLY)
    _, client = start(made, tmp_path, store)
    client.send_request(op="small", row=1)
    until(lambda: store.requests)
    assert not store.ended.wait(0.3)  # a store may work on it for as long as it likes
    store.listener.connections[0].sendall(GOOD)
    assert client.read_response()[0] == SERVED and store.requests == 1


@pytest.mark.timing("both answers come within 2 s")
@pytest.mark.parametrize(
    ("spoilt", "endless"),
    [
        (b"\x00\xff noise\r\n\r\n", b""),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nbytes", b""),
        (b"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nbytes", b""),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", b"x" * 65_536),
        (b"HTTP/1.1 200 OK\r\nX-Endless: ", b"x" * 65_536),
        (b"HTTP/1.1 200 OK\r\n", b"X-More: and more\r\n" * 1_000),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"1;" + b"e" * 4_000 + b"\r\nx\r\n"),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", b"X-Trailer: x\r\n" * 100),
        (b"", EARLY * 100),
        (b"HTTP/1.1 304 Not Modified\r\nETag: t1\r\n\r\n", b""),
    ],
)
def test_spoilt_answers_are_cut_off_at_once_and_have_run(
    made: list[Platform], tmp_path: Path, spoilt: bytes, endless: bytes
) -> None:
    """The request is tried again where its class allows, long before its time is up; else it has failed."""
    store = Raw(spoilt, spoilt, endless=endless)
    platform, client = start(made, tmp_path, store)
    began = time.monotonic()
    client.send_request(op="once", ttl="3000")
    assert client.read_response()[0] == FAILED and store.requests == 1
    assert store.ended.wait(5)
    client.send_request(op="small", row=2, ttl="3000")
    assert client.read_response()[::2] == (SERVED, b"bytes") and store.requests == 3
    assert time.monotonic() - began < 2
    assert not [x for x in platform.program.lines if "fault" in x]


def gone_uncollected(ended: Callable[[], Awaitable[weakref.ref[Stream]]]) -> bool:
    """Whether the stream that has ended is gone from memory with no collection made."""

    async def both() -> weakref.ref[Stream]:
        left = await ended()
        await asyncio.sleep(0.01)  # what the loop had yet to call
        return left

    gc.disable()
    try:
        return asyncio.run(both())() is None
    finally:
        gc.enable()


@pytest.mark.parametrize("within", [None, 5.0, 0.01])
def test_a_connection_that_ends_under_a_read_is_gone_from_memory_at_once(within: float | None) -> None:
    """Thousands end in a day: kept in a ring of references, they grew the memory by a megabyte every 15 s."""

    async def ended() -> weakref.ref[Stream]:
        ours, theirs = socket.socketpair()
        made, buffer = tcp_stream(ours), Buffer(64)
        if within != 0.01:
            asyncio.get_running_loop().call_soon(theirs.close)
        with contextlib.suppress(StreamClosedError, TimeoutError):
            await buffer.fill(made, 1, within)
        made.close()
        theirs.close()
        return weakref.ref(made)

    assert gone_uncollected(ended)


def test_a_connection_that_is_reset_under_a_read_is_gone_from_memory_at_once() -> None:
    """The system's error holds the frames that met it, and they the stream: 25 MB in 45 minutes."""

    async def ended() -> weakref.ref[Stream]:
        with socket.create_server(("127.0.0.1", 0)) as server:
            ours = socket.create_connection(server.getsockname())
            theirs, _ = server.accept()
        made, buffer = tcp_stream(ours), Buffer(64)
        asyncio.get_running_loop().call_soon(reset, theirs)
        with contextlib.suppress(StreamClosedError):
            await buffer.fill(made, 1)
        assert isinstance(made.error, ConnectionResetError)
        made.close()
        return weakref.ref(made)

    assert gone_uncollected(ended)


def test_stores_that_come_and_go_leave_nothing_behind(made: list[Platform], tmp_path: Path) -> None:
    """A new id at an address used before, again and again: descriptors stay as they were."""
    store = HttpStandIn(ok())
    platform, client = start(made, tmp_path, store)

    def descriptors() -> int:
        return len(list(Path(f"/proc/{platform.program.process.pid}/fd").iterdir()))

    assert rows(client, 1) == [(SERVED, b"bytes")]
    before = descriptors()
    for n in range(30):
        lines = [
            instance_record(f"s-{n}", store.address, "std", "Gone"),
            instance_record(f"s-{n + 1}", store.address, "std"),
        ]
        platform.publish(fleet={"generation": n + 2, "reset": False, "instances": lines})
        client.send_request(op="small", row=100 + n)
        assert client.read_response()[0] == SERVED
    until(lambda: descriptors() <= before + 2)
    assert len(store.requests) == 31
