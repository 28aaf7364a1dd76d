"""Clients that violate the protocol, on real sockets: an error or a close in time, no effect on others."""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from hallproxy.run import downstream_connection, frame_timer, sockets
from hallproxy.wire import frames
from tests.support.gateway import Client, Platform, ok, response, until

SERVED, REFUSED, FAILED = frames.SERVED, frames.REJECTED, frames.FAILED


@pytest.fixture
def platform(tmp_path: Path) -> Iterator[Platform]:
    started = Platform(tmp_path, limits={"memory_mb": 64, "sockets": 128}).start()
    yield started
    if started.program.process.poll() is None:
        started.program.process.kill()
    started.program.wait()


def assert_serving(platform: Platform) -> None:
    """A well-behaved client is served."""
    client = platform.client()
    client.send_request(row=999)
    assert client.read_response()[0] == SERVED


def read_until_closed(client: Client) -> bool:
    """Discard all frames until the connection is closed."""
    while client.read_frame() is not None:
        pass
    return True


@pytest.mark.timing("the connection is closed within 2.9 s")
@pytest.mark.parametrize("raw", [b"", b"\0\0\0\x40\x41\0", struct.pack(">IBI", 200, 65, 1) + b"\x08\x02op"])
def test_silent_connections_and_incomplete_frames_are_closed_in_time(platform: Platform, raw: bytes) -> None:
    began = time.monotonic()
    client = platform.client()
    client.sock.sendall(raw)
    assert read_until_closed(client) and time.monotonic() - began < 2.9
    assert_serving(platform)


@pytest.mark.timing("the connection is closed within 2.9 s")
def test_an_idle_client_may_stay_but_an_incomplete_frame_is_closed(platform: Platform) -> None:
    client = platform.client()
    client.send_request()
    assert client.read_response()[0] == SERVED
    # Shows that nothing happens, so there is no condition to wait for.
    time.sleep(frame_timer.FRAME_TIMEOUT + 0.5)
    client.send_request(row=2)
    assert client.read_response()[0] == SERVED
    client.sock.sendall(b"\0\0\0\x40\x41\0")
    began = time.monotonic()
    assert read_until_closed(client) and time.monotonic() - began < 2.9


@pytest.mark.timing("the connection is closed within 2.9 s")
def test_a_message_of_60_mb_is_aborted_at_once(platform: Platform) -> None:
    client = platform.client()
    began = time.monotonic()
    with pytest.raises(OSError):
        client.sock.sendall(struct.pack(">IBI", 60_000_000, 65, 1))
        for _ in range(60):
            client.sock.sendall(bytes(1_000_000))
    assert time.monotonic() - began < 2.9
    assert_serving(platform)


@pytest.mark.parametrize(
    "invalid",
    [{"op": "none"}, {"heap": "-1"}, {"heap": "inf"}, {"heap": "1e300"}, {"ttl": "x"}, {"ttl": "0"},
     {"ttl": "99999999"}, {"batch": "256"}, {"nth": "-1"}, {"nth": "99999999"}, {"row": ""}, {"call": ""},
     {"op": "close"}],
)  # fmt: skip
def test_invalid_requests_never_reach_a_store(platform: Platform, invalid: dict[str, str]) -> None:
    client = platform.client()
    for _ in range(downstream_connection.MAX_INVALID_REQUESTS):
        client.send_request(fields=invalid)
    received = [client.read_frame() for _ in range(downstream_connection.MAX_INVALID_REQUESTS)]
    assert all(f is not None and f[0] == frames.RESPONSE and f[2][0] == FAILED for f in received)
    assert read_until_closed(client)  # at the limit: a flood of invalid requests ends its connection
    assert not platform.requests
    assert_serving(platform)


@pytest.mark.parametrize("length", [frames.MAX_REQUEST_FRAME_BYTES + 1, frames.MAX_FRAME_BYTES])
def test_a_frame_that_is_longer_than_a_request_may_be_fails_alone(platform: Platform, length: int) -> None:
    # Guards against a frame within the protocol's limit that ended its connection: requests sent behind it
    # were dropped without a response.
    client = platform.client()
    before, behind = client.send_request(op="small", row=1), 3
    client.send_frame(frames.REQUEST, 2, bytes(length - frames.MIN_FRAME_BYTES))
    client._last = 2
    assert client.send_request(op="small", row=2) == behind
    received = {frame[1]: frame[2][0] for frame in (client.read_frame() for _ in range(3)) if frame}
    assert received == {before: SERVED, 2: FAILED, behind: SERVED}


def test_an_id_in_use_is_not_accepted_again(platform: Platform) -> None:
    platform.set_reply(lambda r: None if f"{7:016x}" in r.path else ok()(r))
    first, other = platform.client(), platform.client()
    first.send_request(row=7)
    until(lambda: platform.requests)
    other.send_request(row=8, call=f"{first.base + 1:016x}")
    assert other.read_response()[0] == FAILED and len(platform.requests) == 1
    assert_serving(platform)


def test_two_requests_with_one_stream_number_close_the_connection(platform: Platform) -> None:
    platform.set_reply(lambda _: None)
    client = platform.client()
    client.send_request()
    client._last -= 1
    client.send_request(row=2)
    frame = client.read_frame()
    assert frame is not None and frame[:2] == (frames.RESPONSE, 0)
    frame = client.read_frame()  # the first was accepted and is still answered
    assert frame is not None and frame[:2] == (frames.RESPONSE, 1) and client.read_frame() is None
    assert len(platform.requests) == 1


def test_requests_cancelled_in_the_same_write_are_never_begun(platform: Platform) -> None:
    client = platform.client()
    raw = b""
    for stream in range(1, 301):
        fields = {"op": "small", "call": f"{stream:016x}", "ttl": "2000", "row": f"{stream:016x}", "nth": "0",
                  "batch": "1", "heap": "40.0"}  # fmt: skip
        raw += b"".join(frames.encode_frame(frames.REQUEST, stream, frames.encode_fields(fields)))
        raw += b"".join(frames.encode_frame(frames.CANCEL, stream))
    client.sock.sendall(raw)
    client.send_request(row=500, call="f" * 16)
    client.sock.settimeout(5)
    assert client.read_response()[0] == SERVED
    assert len(platform.requests) < 100


def test_silent_connections_are_evicted_for_requesting_ones(platform: Platform) -> None:
    """More are opened than the limit allows; a client that waits for a response keeps its connection."""
    platform.set_reply(lambda r: None if f"{7:016x}" in r.path else ok()(r))
    waiting = platform.client()
    waiting.send_request(row=7, ttl="3000")
    until(lambda: platform.requests)
    silent = [socket.create_connection(("127.0.0.1", platform.program.port)) for _ in range(80)]
    assert_serving(platform)
    frame = waiting.read_frame()
    assert frame is not None and frame[:2] == (frames.RESPONSE, 1)
    for sock in silent:
        sock.close()


def test_cancelling_a_request_during_its_connect_logs_no_fault(platform: Platform) -> None:
    client = platform.client()
    for stream in range(1, 60):
        fields = {"op": "small", "call": f"{stream:016x}", "ttl": "2000", "row": f"{stream:016x}", "nth": "0",
                  "batch": "1", "heap": "40.0"}  # fmt: skip
        client.send_frame(frames.REQUEST, stream, frames.encode_fields(fields))
        client.send_frame(frames.CANCEL, stream)
    platform.set_reply(lambda _: response(200, b"x", ETag="t", X_Born_Ms="1"))
    assert_serving(platform)
    assert not [x for x in platform.program.lines if "Error" in x or "fault" in x], platform.program.lines


def test_clients_with_one_connection_per_request_are_served_at_the_limit(platform: Platform) -> None:
    """Some streams have closed while their connections are still listed: eviction must continue."""
    kept_open = []
    for n in range(60):  # more than the connection limit
        kept_open.append(platform.client())
        kept_open[-1].send_request(op="small", row=n + 1)
        assert kept_open[-1].read_response()[0] == SERVED
    for n in range(150):
        client = platform.client()
        client.send_request(op="small", row=n % 7 + 1)
        assert client.read_response()[0] == SERVED
        if n % 2:
            client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        client.sock.close()
    assert platform.program.stop() == 0
    assert not [x for x in platform.program.lines if "Error" in x or "Exception" in x], platform.program.lines


def test_a_closed_stream_has_nothing_unsent() -> None:
    """On a closed stream this used to raise a TypeError, which ended the drain and lost requests."""

    async def run() -> int:
        ours, theirs = socket.socketpair()
        stream = sockets.tcp_stream(ours)
        stream.close()
        theirs.close()
        return stream.unsent_bytes

    assert asyncio.run(run()) == 0
