"""One client that sends at full speed for seconds, and the other clients beside it, with real processes."""

from __future__ import annotations

import itertools
import select
import socket
import time
from collections.abc import Callable, Iterator

import pytest

from hallproxy.state.units import MB
from hallproxy.wire import frames
from tests.support.gateway import Platform
from tests.support.observers import QuietClient, memory_watched

FLOOD_DURATION = 2.0  # s
TTL_MS = 1_000  # of the quiet client's requests
LATE = 0.5  # s after its time at which a request counts as lost
MEMORY_MB = 64
FRAMES_PER_WRITE = 500


def encode(kind: int, stream: int, payload: bytes = b"") -> bytes:
    return b"".join(frames.encode_frame(kind, stream, payload))


def encode_request(stream: int) -> bytes:
    fields = {"op": "small", "call": f"{stream:016x}", "ttl": "2000", "row": f"{stream:016x}", "nth": "0",
              "batch": "1", "heap": "1"}  # fmt: skip
    return encode(frames.REQUEST, stream, frames.encode_fields(fields))


FLOODS: dict[str, Callable[[int], bytes]] = {
    "readiness": lambda stream: encode(frames.READINESS_REQUEST, stream),
    "cancels": lambda stream: encode(frames.CANCEL, stream),
    "requests with cancels": lambda stream: encode_request(stream) + encode(frames.CANCEL, stream),
}


def writes(encode_one: Callable[[int], bytes]) -> Iterator[bytes]:
    for first in itertools.count(1, FRAMES_PER_WRITE):
        yield b"".join(encode_one(stream) for stream in range(first, first + FRAMES_PER_WRITE))


def flood(port: int, encode_one: Callable[[int], bytes], reads: bool) -> None:
    """Send on one connection as fast as it takes the bytes, on a new one once the gateway has closed it."""
    end = time.monotonic() + FLOOD_DURATION
    while time.monotonic() < end:
        with socket.create_connection(("127.0.0.1", port)) as sock:
            sock.setblocking(False)
            send_until(end, sock, writes(encode_one), reads)


def send_until(end: float, sock: socket.socket, data: Iterator[bytes], reads: bool) -> None:
    """Send until ``end`` (monotonic s), or until the gateway closes the connection."""
    unsent = b""
    while time.monotonic() < end:
        readable, writable, _ = select.select([sock] if reads else [], [sock], [], 0.05)
        try:
            if readable and not sock.recv(262_144):
                return
            if writable:
                unsent = unsent or next(data)
                unsent = unsent[sock.send(unsent) :]
        except BlockingIOError:
            continue
        except OSError:
            return


# Guards against a client that always has more to read and keeps the event loop to itself, and against the
# memory of many small responses that it leaves unread.
@pytest.mark.timing("each request of the quiet client is answered within 1.5 s")
@pytest.mark.parametrize("kind", FLOODS)
@pytest.mark.parametrize("reads", [True, False], ids=["read", "unread"])
def test_a_client_at_full_speed_delays_no_others(
    start_platform: Callable[..., Platform], kind: str, reads: bool
) -> None:
    platform = start_platform(limits={"memory_mb": MEMORY_MB, "sockets": 256})
    quiet = QuietClient(platform, TTL_MS)
    with memory_watched(platform) as peak:
        flood(platform.program.port, FLOODS[kind], reads)
    quiet.stop()
    assert [code for code, _ in quiet.responses] == [frames.SERVED] * len(quiet.responses)
    assert max(duration for _, duration in quiet.responses) <= TTL_MS / 1000 + LATE
    assert 0 < peak[0] < MEMORY_MB * MB
