"""Clients that do not keep to the protocol, on real sockets: a word or a close in time, no harm to others."""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from hallproxy.run import downstream_connection, sockets
from hallproxy.wire import frames
from tests.support.gateway import Client, Platform, ok, response, until

SERVED, REFUSED, FAILED = frames.SERVED, frames.REJECTED, frames.FAILED


@pytest.fixture
def platform(tmp_path: Path) -> Iterator[Platform]:
    made = Platform(tmp_path, limits={"memory_mb": 64, "sockets": 128}).start()
    yield made
    if made.program.process.poll() is None:
        made.program.process.kill()
    made.program.wait()


def well(platform: Platform) -> None:
    """A usual client is served."""
    client = platform.client()
    client.send_request(row=999)
    assert client.read_response()[0] == SERVED


def ended(client: Client) -> bool:
    """Whatever it is still told, the connection ends."""
    while client.read_frame() is not None:
        pass
    return True


@pytest.mark.timing("the connection ends within 2.9 s")
@pytest.mark.parametrize("raw", [b"", b"\0\0\0\x40\x41\0", struct.pack(">IBI", 200, 65, 1) + b"\x08\x02op"])
def test_silent_and_half_sent_connections_are_ended_in_time(platform: Platform, raw: bytes) -> None:
    began = time.monotonic()
    client = platform.client()
    client.sock.sendall(raw)
    assert ended(client) and time.monotonic() - began < 2.9
    well(platform)


@pytest.mark.timing("the connection ends within 2.9 s")
def test_who_has_asked_may_stay_but_not_begin_a_frame_for_good(platform: Platform) -> None:
    client = platform.client()
    client.send_request()
    assert client.read_response()[0] == SERVED
    time.sleep(
        downstream_connection.FRAME_TIMEOUT + 0.5
    )  # what is shown is that nothing happens: no condition to wait for
    client.send_request(row=2)
    assert client.read_response()[0] == SERVED
    client.sock.sendall(b"\0\0\0\x40\x41\0")
    began = time.monotonic()
    assert ended(client) and time.monotonic() - began < 2.9


@pytest.mark.timing("the connection ends within 2.9 s")
def test_a_message_of_60_mb_is_cut_off_at_once(platform: Platform) -> None:
    client = platform.client()
    began = time.monotonic()
    with pytest.raises(OSError):
        client.sock.sendall(struct.pack(">IBI", 60_000_000, 65, 1))
        for _ in range(60):
            client.sock.sendall(bytes(1_000_000))
    assert time.monotonic() - began < 2.9
    well(platform)


@pytest.mark.parametrize(
    "bad",
    [{"op": "none"}, {"heap": "-1"}, {"heap": "inf"}, {"heap": "1e300"}, {"ttl": "x"}, {"ttl": "0"},
     {"ttl": "99999999"}, {"batch": "256"}, {"nth": "-1"}, {"nth": "99999999"}, {"row": ""}, {"call": ""},
     {"op": "close"}],
)  # fmt: skip
def test_requests_that_cannot_be_used_never_reach_a_store(platform: Platform, bad: dict[str, str]) -> None:
    client = platform.client()
    for _ in range(downstream_connection.MAX_INVALID_REQUESTS):
        client.send_request(fields=bad)
    told = [client.read_frame() for _ in range(downstream_connection.MAX_INVALID_REQUESTS)]
    assert all(f is not None and f[0] == frames.RESPONSE and f[2][0] == FAILED for f in told)
    assert ended(client)  # once more is no use: floods of it end with the connection
    assert not platform.requests
    well(platform)


def test_an_id_that_is_open_is_not_taken_again(platform: Platform) -> None:
    platform.set_reply(lambda s: None if f"{7:016x}" in s.path else ok()(s))
    usual, other = platform.client(), platform.client()
    usual.send_request(row=7)
    until(lambda: platform.requests)
    other.send_request(row=8, call=f"{usual.base + 1:016x}")
    assert other.read_response()[0] == FAILED and len(platform.requests) == 1
    well(platform)


def test_two_requests_under_one_number_end_the_connection(platform: Platform) -> None:
    platform.set_reply(lambda _: None)
    client = platform.client()
    client.send_request()
    client._last -= 1
    client.send_request(row=2)
    frame = client.read_frame()
    assert frame is not None and frame[:2] == (frames.RESPONSE, 0)
    frame = client.read_frame()  # the first was taken: its answer is owed
    assert frame is not None and frame[:2] == (frames.RESPONSE, 1) and client.read_frame() is None
    assert len(platform.requests) == 1


def test_requests_taken_back_in_the_same_breath_are_never_begun(platform: Platform) -> None:
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


def test_connections_that_say_nothing_give_way_to_those_that_ask(platform: Platform) -> None:
    """More are opened than there are places; who waits for an answer keeps its own."""
    platform.set_reply(lambda s: None if f"{7:016x}" in s.path else ok()(s))
    waiting = platform.client()
    waiting.send_request(row=7, ttl="3000")
    until(lambda: platform.requests)
    silent = [socket.create_connection(("127.0.0.1", platform.program.port)) for _ in range(80)]
    well(platform)
    frame = waiting.read_frame()
    assert frame is not None and frame[:2] == (frames.RESPONSE, 1)
    for one in silent:
        one.close()


def test_a_connection_taken_back_while_it_opens_leaves_no_fault(platform: Platform) -> None:
    client = platform.client()
    for stream in range(1, 60):
        fields = {"op": "small", "call": f"{stream:016x}", "ttl": "2000", "row": f"{stream:016x}", "nth": "0",
                  "batch": "1", "heap": "40.0"}  # fmt: skip
        client.send_frame(frames.REQUEST, stream, frames.encode_fields(fields))
        client.send_frame(frames.CANCEL, stream)
    platform.set_reply(lambda _: response(200, b"x", ETag="t", X_Born_Ms="1"))
    well(platform)
    assert not [x for x in platform.program.lines if "Error" in x or "fault" in x], platform.program.lines


def test_clients_with_a_connection_for_each_request_come_and_go_at_the_limit(platform: Platform) -> None:
    """Some streams have closed while their connections are still listed: that must not stop making room."""
    stay = []
    for n in range(60):  # more than there are places for
        stay.append(platform.client())
        stay[-1].send_request(op="small", row=n + 1)
        assert stay[-1].read_response()[0] == SERVED
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
    """Asked of a closed one, the answer used to be a TypeError, which ended the drain and lost requests."""

    async def run() -> int:
        ours, theirs = socket.socketpair()
        made = sockets.tcp_stream(ours)
        made.close()
        theirs.close()
        return made.unsent_bytes

    assert asyncio.run(run()) == 0
