"""Stores that send malformed responses, or bytes beyond a response, on real sockets."""

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
    ReceivedRequest,
    instance_record,
    ok,
    read_request,
    reset,
    response,
    until,
)

SERVED, REFUSED, FAILED = frames.SERVED, frames.REJECTED, frames.FAILED
MAX_PART_BYTES = 240_000  # of an object's part, by the protocol
MAX_FRAME_BODY_BYTES = frames.MAX_FRAME_BYTES - 7  # of a response without fields
GOOD = response(200, b"bytes", ETag="t1", X_Born_Ms="1")
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nbytes\r\n0\r\n\r\n"


class RawStore:
    """A store that writes the given bytes unchanged and keeps the connection open."""

    def __init__(self, *responses: bytes, endless: bytes = b"") -> None:
        self.responses, self.endless = list(responses), endless
        self.requests = 0
        self.closed = threading.Event()  # the gateway has closed the first connection
        self.listener = Listener(self._serve)
        self.address = self.listener.address

    def _serve(self, connection: socket.socket) -> None:
        file = connection.makefile("rb")
        try:
            while read_request(file) is not None:
                self.requests += 1
                malformed = len(self.responses) > 0
                connection.sendall(self.responses.pop(0) if malformed else GOOD)
                while malformed and self.endless:
                    connection.sendall(self.endless)
        finally:
            self.closed.set()


@pytest.fixture
def platforms(tmp_path: Path) -> Iterator[list[Platform]]:
    started: list[Platform] = []
    yield started
    for platform in started:
        if platform.program.process.poll() is None:
            platform.program.process.kill()
        platform.program.wait()


def start_with_store(platforms: list[Platform], path: Path, store: Any) -> tuple[Platform, Client]:
    platform = Platform(path, caches=[store], limits={"memory_mb": 64, "sockets": 256}).start()
    platforms.append(platform)
    return platform, platform.client()


def request_rows(client: Client, count: int) -> list[tuple[int, bytes]]:
    responses = []
    for row in range(1, count + 1):
        client.send_request(op="small", row=row)
        code, _, body = client.read_response()
        responses.append((code, body))
    return responses


def test_interim_responses_are_skipped(platforms: list[Platform], tmp_path: Path) -> None:
    store = RawStore(INTERIM + GOOD)
    _, client = start_with_store(platforms, tmp_path, store)
    assert request_rows(client, 2) == [(SERVED, b"bytes")] * 2
    assert store.requests == 2 and len(store.listener.connections) == 1


@pytest.mark.parametrize("trailing", [GOOD.replace(b"bytes", b"other"), b"noise", b"HTTP/1.1 200 OK\r\n"])
def test_bytes_after_a_response_are_never_taken_for_the_next_one(
    platforms: list[Platform], tmp_path: Path, trailing: bytes
) -> None:
    store = RawStore(GOOD + trailing)
    _, client = start_with_store(platforms, tmp_path, store)
    assert request_rows(client, 3) == [(SERVED, b"bytes")] * 3
    assert store.requests == 3 and len(store.listener.connections) == 2


def test_bytes_received_on_an_idle_connection_close_it_without_a_failed_attempt(
    platforms: list[Platform], tmp_path: Path
) -> None:
    store = RawStore()
    _, client = start_with_store(platforms, tmp_path, store)
    # An at-most-once class: the next request must not be sent on this connection at all.
    client.send_request(op="once", row=1)
    assert client.read_response()[0] == SERVED
    store.listener.connections[0].sendall(b"late noise")
    assert store.closed.wait(5)
    client.send_request(op="once", row=2)
    assert client.read_response()[0] == SERVED
    assert store.requests == 2


@pytest.mark.parametrize(
    "truncated", [b"HTTP/1.1 200", GOOD[:-2], GOOD[:-5], INTERIM + GOOD[:30], CHUNKED[:-9], CHUNKED[:-3]]
)
def test_a_request_is_retried_in_time_after_a_truncated_response(
    platforms: list[Platform], tmp_path: Path, truncated: bytes
) -> None:
    # Its connection stays open and silent: without a read timeout it uses up the request's deadline.
    store = RawStore(truncated)
    _, client = start_with_store(platforms, tmp_path, store)
    assert request_rows(client, 2) == [(SERVED, b"bytes")] * 2
    assert store.closed.wait(5) and store.requests == 3


def test_a_long_malformed_header_delays_no_request(platforms: list[Platform], tmp_path: Path) -> None:
    # Guards against header parsing that keeps the event loop busy while it tries ways to divide the blanks.
    store = RawStore(GOOD.replace(b"ETag: ", b"ETag: " + b" " * 5000 + b"\0", 1))
    _, client = start_with_store(platforms, tmp_path, store)
    assert request_rows(client, 2) == [(SERVED, b"bytes")] * 2
    assert store.requests == 3


def test_a_final_response_may_arrive_long_after_an_interim_one(
    platforms: list[Platform], tmp_path: Path
) -> None:
    store = RawStore(INTERIM)
    _, client = start_with_store(platforms, tmp_path, store)
    client.send_request(op="small", row=1)
    until(lambda: store.requests)
    assert not store.closed.wait(0.3)  # a store may take any time for the final response
    store.listener.connections[0].sendall(GOOD)
    assert client.read_response()[0] == SERVED and store.requests == 1


# Guards against a store's response that is passed on in a frame over the protocol's limit: its client could
# read nothing behind that frame, and lost all other requests of the connection.
@pytest.mark.parametrize(
    ("status", "framing", "size"),
    [
        (200, "sized", MAX_PART_BYTES + 1),
        (200, "sized", MAX_FRAME_BODY_BYTES),
        (200, "sized", MAX_FRAME_BODY_BYTES + 1),
        (200, "chunked", MAX_PART_BYTES + 1),
        (200, "chunked", MAX_FRAME_BODY_BYTES + 1),
        (200, "to the end", MAX_FRAME_BODY_BYTES + 1),
        (404, "sized", MAX_FRAME_BODY_BYTES + 1),
        (500, "chunked", MAX_FRAME_BODY_BYTES + 1),
    ],
)
def test_a_response_over_the_limit_of_a_part_ends_only_its_own_request(
    platforms: list[Platform], tmp_path: Path, status: int, framing: str, size: int
) -> None:
    released = threading.Event()

    def reply(request: ReceivedRequest) -> bytes:
        if request.path.endswith("/3"):
            return framed(status, framing, bytes(size))
        assert released.wait(5)
        return response(200, bytes(MAX_PART_BYTES), ETag="t1", X_Born_Ms="1")

    _, client = start_with_store(platforms, tmp_path, HttpStandIn(reply))
    streams = [client.send_request(op="segment", row=1, nth=part) for part in range(6)]
    received: dict[int, tuple[int, int]] = {}
    while len(received) < len(streams):
        frame = client.read_frame()
        assert frame is not None and len(frame[2]) + 5 <= frames.MAX_FRAME_BYTES
        received[frame[1]] = frame[2][0], len(frame[2])
        released.set()  # the malformed response comes first
    assert received.pop(streams[3])[0] in (REFUSED, FAILED)
    assert set(received.values()) == {(SERVED, MAX_PART_BYTES + 2)}


def framed(status: int, framing: str, body: bytes) -> bytes:
    """A response whose length is told in one of the ways of HTTP/1.1."""
    if framing == "sized":
        return response(status, body, ETag="t1", X_Born_Ms="1")
    head = f"HTTP/1.1 {status} X\r\nETag: t1\r\nX-Born-Ms: 1\r\n"
    if framing == "chunked":
        return b"%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n" % (
            head.encode(),
            len(body),
            body,
        )
    return head.encode() + b"Connection: close\r\n\r\n" + body


@pytest.mark.timing("both responses arrive within 2 s")
@pytest.mark.parametrize(
    ("malformed", "endless"),
    [
        (b"\x00\xff noise\r\n\r\n", b""),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nbytes", b""),
        (b"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nbytes", b""),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", b"x" * 65_536),
        (b"HTTP/1.1 200 OK\r\nX-Endless: ", b"x" * 65_536),
        (b"HTTP/1.1 200 OK\r\n", b"X-More: and more\r\n" * 1_000),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"1;" + b"e" * 4_000 + b"\r\nx\r\n"),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", b"X-Trailer: x\r\n" * 100),
        (b"", INTERIM * 100),
        (b"HTTP/1.1 304 Not Modified\r\nETag: t1\r\n\r\n", b""),
    ],
)
def test_malformed_responses_are_aborted_at_once_and_count_as_executed(
    platforms: list[Platform], tmp_path: Path, malformed: bytes, endless: bytes
) -> None:
    """The request is retried well before its deadline where its class allows it, and fails otherwise."""
    store = RawStore(malformed, malformed, endless=endless)
    platform, client = start_with_store(platforms, tmp_path, store)
    began = time.monotonic()
    client.send_request(op="once", ttl="3000")
    assert client.read_response()[0] == FAILED and store.requests == 1
    assert store.closed.wait(5)
    client.send_request(op="small", row=2, ttl="3000")
    assert client.read_response()[::2] == (SERVED, b"bytes") and store.requests == 3
    assert time.monotonic() - began < 2
    assert not [x for x in platform.program.lines if "fault" in x]


def freed_without_collection(close_stream: Callable[[], Awaitable[weakref.ref[Stream]]]) -> bool:
    """Whether the closed stream is freed without a run of the garbage collector."""

    async def close_and_settle() -> weakref.ref[Stream]:
        reference = await close_stream()
        await asyncio.sleep(0.01)  # lets the loop run its pending callbacks
        return reference

    gc.disable()
    try:
        return asyncio.run(close_and_settle())() is None
    finally:
        gc.enable()


@pytest.mark.parametrize("timeout", [None, 5.0, 0.01])
def test_a_connection_closed_during_a_read_is_freed_at_once(timeout: float | None) -> None:
    """Thousands close in a day: kept alive by a reference cycle, they grew memory by 1 MB every 15 s."""

    async def close_stream() -> weakref.ref[Stream]:
        ours, theirs = socket.socketpair()
        stream, buffer = tcp_stream(ours), Buffer(64)
        if timeout != 0.01:
            asyncio.get_running_loop().call_soon(theirs.close)
        with contextlib.suppress(StreamClosedError, TimeoutError):
            await buffer.fill(stream, 1, timeout)
        stream.close()
        theirs.close()
        return weakref.ref(stream)

    assert freed_without_collection(close_stream)


def test_a_connection_reset_during_a_read_is_freed_at_once() -> None:
    """The OSError's traceback references the frames, and these the stream: it leaked 25 MB in 45 minutes."""

    async def close_stream() -> weakref.ref[Stream]:
        with socket.create_server(("127.0.0.1", 0)) as server:
            ours = socket.create_connection(server.getsockname())
            theirs, _ = server.accept()
        stream, buffer = tcp_stream(ours), Buffer(64)
        asyncio.get_running_loop().call_soon(reset, theirs)
        with contextlib.suppress(StreamClosedError):
            await buffer.fill(stream, 1)
        assert isinstance(stream.error, ConnectionResetError)
        stream.close()
        return weakref.ref(stream)

    assert freed_without_collection(close_stream)


def test_replaced_stores_leave_no_descriptors_open(platforms: list[Platform], tmp_path: Path) -> None:
    """New ids at the same address, many times over: the number of descriptors does not grow."""
    store = HttpStandIn(ok())
    platform, client = start_with_store(platforms, tmp_path, store)

    def descriptors() -> int:
        return len(list(Path(f"/proc/{platform.program.process.pid}/fd").iterdir()))

    assert request_rows(client, 1) == [(SERVED, b"bytes")]
    before = descriptors()
    for n in range(30):
        records = [
            instance_record(f"s-{n}", store.address, "std", "Gone"),
            instance_record(f"s-{n + 1}", store.address, "std"),
        ]
        platform.publish(fleet={"generation": n + 2, "reset": False, "instances": records})
        client.send_request(op="small", row=100 + n)
        assert client.read_response()[0] == SERVED
    until(lambda: descriptors() <= before + 2)
    assert len(store.requests) == 31
