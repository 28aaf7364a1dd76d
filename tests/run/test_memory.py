"""Guards against buffers without a limit in bytes, which take the gateway over its memory."""

from __future__ import annotations

import json
import socket
import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import pytest

from hallproxy.decisions import Router
from hallproxy.run import limits
from hallproxy.run.config import Config, load
from hallproxy.run.downstream_connections import (
    MEMORY_WAIT_SHARE,
    SMALL_REQUEST_BYTES,
    DownstreamConnections,
)
from hallproxy.run.effect_runner import EffectRunner
from hallproxy.run.limits import derive_limits
from hallproxy.state.model import GatewayState
from hallproxy.state.units import MB
from hallproxy.wire import frames
from tests.support.gateway import Client, Platform, ReceivedRequest, platform_settings, response, until
from tests.support.observers import QuietClient, memory_watched

SERVED, REFUSED, FAILED = frames.SERVED, frames.REJECTED, frames.FAILED
WRITE_BYTES = 48_000  # the most that one write carries
PART_BYTES = 240_000  # the most that one part has
REQUESTS_PER_CONNECTION = 32  # the most that one connection may have open
DEADLINE = 3.0  # s; the shortest of the stand-in settings
LATE = 0.5  # s after its time at which a request counts as lost
HUNDREDS = 400  # connections; with 1,024 descriptors a gateway has 409 at most


def encode_writes(client: Client, count: int) -> bytes:
    encoded = []
    for stream in range(1, count + 1):
        call = f"{client.base + stream:016x}"
        fields = {"op": "close", "call": call, "ttl": "3000", "row": f"{1:016x}", "nth": "0", "batch": "1",
                  "heap": "40", "dedupe": call * 2}  # fmt: skip
        payload = frames.encode_fields(fields) + bytes(WRITE_BYTES)
        encoded += frames.encode_frame(frames.REQUEST, stream, payload)
    return b"".join(encoded)


def send_writes(platform: Platform, connections: int) -> tuple[Counter[int], float]:
    """Send the most writes on each connection; returns the codes of the responses, and the longest time."""
    codes: Counter[int] = Counter()
    clients = [platform.client() for _ in range(connections)]
    began_at = time.monotonic()

    def receive(client: Client) -> None:
        for _ in range(REQUESTS_PER_CONNECTION):
            codes[client.read_response()[0]] += 1

    threads = []
    for client in clients:
        data = encode_writes(client, REQUESTS_PER_CONNECTION)
        threads += [threading.Thread(target=client.sock.sendall, args=(data,))]
        threads += [threading.Thread(target=receive, args=(client,))]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return codes, time.monotonic() - began_at


def slow_reply(request: ReceivedRequest) -> bytes:
    time.sleep(0.05)
    return response(200, b"bytes", ETag="t", X_Born_Ms="1")


@pytest.mark.parametrize("memory_mb", [32, 48, 80])
def test_a_burst_of_large_writes_stays_within_the_memory_and_each_is_answered(
    start_platform: Callable[..., Platform], memory_mb: int
) -> None:
    platform = start_platform(limits={"memory_mb": memory_mb, "sockets": 512})
    platform.set_reply(slow_reply)
    connections = 2 * memory_mb  # whose writes are three times the memory
    quiet = QuietClient(platform)
    with memory_watched(platform) as peak:
        codes, duration = send_writes(platform, connections)
    quiet.stop()
    assert peak[0] < memory_mb * MB
    assert codes.total() == connections * REQUESTS_PER_CONNECTION and codes[FAILED] == 0 < codes[SERVED]
    assert duration < DEADLINE + LATE
    assert quiet.responses and all(code == SERVED for code, _ in quiet.responses)


def test_writes_that_wait_for_memory_are_rejected_while_the_stores_hang(
    start_platform: Callable[..., Platform],
) -> None:
    platform = start_platform(limits={"memory_mb": 32, "sockets": 512})
    platform.set_reply(lambda _: None)
    with memory_watched(platform) as peak:
        codes, duration = send_writes(platform, 64)
    assert peak[0] < 32 * MB
    assert codes.total() == 64 * REQUESTS_PER_CONNECTION and codes[REFUSED]
    assert duration < DEADLINE + LATE


def test_small_requests_are_served_while_large_ones_fill_the_memory(
    start_platform: Callable[..., Platform],
) -> None:
    # Frames that never end hold all the memory that large requests may use, until they time out.
    platform = start_platform(limits={"memory_mb": 32, "sockets": 512})
    holders = []
    with memory_watched(platform) as peak:
        for _ in range(150):
            client = platform.client()
            client.sock.sendall(encode_writes(client, 1)[:-1])
            holders.append(client)
        quiet = QuietClient(platform)
        time.sleep(MEMORY_WAIT_SHARE * DEADLINE + 1)
        quiet.stop()
    assert peak[0] < 32 * MB
    assert quiet.responses and all(code == SERVED for code, _ in quiet.responses)


def test_large_parts_to_clients_that_do_not_read_stay_within_the_memory(
    start_platform: Callable[..., Platform],
) -> None:
    platform = start_platform(limits={"memory_mb": 48, "sockets": 512})
    platform.set_reply(lambda _: response(200, bytes(PART_BYTES), ETag="t", X_Born_Ms="1"))
    slow = [Client(platform.program.port) for _ in range(100)]
    with memory_watched(platform) as peak:
        for number, client in enumerate(slow):
            client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            for nth in range(20):
                client.send_request(row=number, nth=nth, ttl="3000")
        quiet = QuietClient(platform)
        time.sleep(DEADLINE + LATE)
        quiet.stop()
    assert peak[0] < 48 * MB
    assert quiet.responses and all(code == SERVED for code, _ in quiet.responses)


def test_requests_that_are_answered_leave_nothing_in_memory_until_their_deadline(
    start_platform: Callable[..., Platform],
) -> None:
    # Guards against timers of ended requests, which took the memory of their rate times their deadline.
    platform = start_platform(limits={"memory_mb": 32, "sockets": 512})

    def run(first_row: int) -> None:
        client = platform.client()
        for row in range(first_row, first_row + 2_500):
            client.send_request(op="small", row=row, ttl="3000")
            assert client.read_response()[0] == SERVED

    threads = [threading.Thread(target=run, args=(10_000 * n,)) for n in range(1, 9)]
    with memory_watched(platform) as peak:
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
    assert 0 < peak[0] < 32 * MB


def send_unfinished(platform: Platform, start: bytes) -> None:
    """Send the start of a frame, on a new connection whenever the gateway has closed the one before."""
    for _ in range(2):
        client = platform.client()
        client.sock.sendall(start)
        while client.read_frame() is not None:
            pass
        client.sock.close()


# Guards against memory that frames take without being counted: those that wait for memory, and those that are
# dropped as they arrive, on as many connections as the descriptors allow.
@pytest.mark.parametrize("length", [frames.MAX_REQUEST_FRAME_BYTES, frames.MAX_FRAME_BYTES])
def test_hundreds_of_unfinished_frames_stay_within_the_memory(
    start_platform: Callable[..., Platform], length: int
) -> None:
    platform = start_platform(limits={"memory_mb": 32, "sockets": 1024})
    until(lambda: len(platform.log.polls) >= 2)
    quiet = QuietClient(platform)
    half = frames.HEAD.pack(length, frames.REQUEST, 1) + bytes(length // 2)
    with memory_watched(platform) as peak:
        threads = [threading.Thread(target=send_unfinished, args=(platform, half)) for _ in range(HUNDREDS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
    quiet.stop()
    assert 0 < peak[0] < 32 * MB
    assert [code for code, _ in quiet.responses] == [SERVED] * len(quiet.responses)


@dataclass(eq=False)
class UnreadConnection:
    unsent_bytes: int
    unsent_since: float

    def close(self) -> None:
        self.unsent_bytes = 0


def test_the_connection_that_has_not_read_for_longest_is_closed_first(tmp_path: Path) -> None:
    # Guards against a client that reads losing its connection to the memory that others leave unread.
    config = make_config(tmp_path, 80, 512)
    state = GatewayState(config.settings, Router(config.settings, 1), derive_limits(config))
    owner = DownstreamConnections(EffectRunner(state))
    size = state.limits.unsent_bytes // 2
    old, reading, new = (UnreadConnection(size, since) for since in (1.0, 3.0, 2.0))
    idle = UnreadConnection(0, 0.0)
    owner.connections = {old, reading, new, idle}  # type: ignore[arg-type]
    owner.shed_unsent()
    assert [c.unsent_bytes for c in (old, reading, new)] == [0, size, size]
    assert not owner.has_room_for(size) and owner.has_room_for(0)


def test_a_page_that_would_not_fit_into_the_memory_is_rejected(
    start_platform: Callable[..., Platform],
) -> None:
    platform = start_platform(limits={"memory_mb": 32, "sockets": 512})
    with memory_watched(platform) as peak:
        # One string, as the stand-in encodes it anew for each poll and has to answer within 0.25 s.
        platform.log.events.append({"seq": 2, "padding": "x" * 14 * MB})
        platform.log.add(invalidate={"bucket": 1, "time": 1})
        until(lambda: any("exceeds the limit" in line for line in platform.program.lines))
    assert peak[0] < 32 * MB


def make_config(tmp_path: Path, memory_mb: int, sockets: int) -> Config:
    limits = {"memory_mb": memory_mb, "sockets": sockets}
    path = tmp_path / "config.json"
    path.write_text(json.dumps({"listen": "127.0.0.1:1", "limits": limits, "settings": platform_settings()}))
    return load({"EDGE_CONFIG": str(path)})


@pytest.mark.parametrize("memory_mb", [28, 32, 48, 80, 192, 512, 2048])
@pytest.mark.parametrize("sockets", [256, 1024])
def test_the_parts_of_the_memory_are_no_more_than_the_whole(
    tmp_path: Path, memory_mb: int, sockets: int
) -> None:
    bounds = derive_limits(make_config(tmp_path, memory_mb, sockets))
    parts = [
        limits.BASE_MEMORY,
        bounds.local_cache_bytes,
        bounds.body_bytes,
        bounds.unsent_bytes,
        bounds.request_bytes,
        bounds.requests * limits.REQUEST_MEMORY,
        bounds.connections * limits.CONNECTION_MEMORY,
        bounds.page_bytes * limits.PAGE_MEMORY_FACTOR,
    ]
    assert sum(parts) <= memory_mb * MB
    assert min(parts) > SMALL_REQUEST_BYTES


def test_a_request_that_waits_for_memory_is_answered_at_the_shutdown(
    start_platform: Callable[..., Platform],
) -> None:
    # Guards against a connection that counts as idle, and is closed, while its request waits undecoded.
    platform = start_platform(limits={"memory_mb": 32, "sockets": 512})
    platform.set_reply(lambda _: None)
    holders = [platform.client() for _ in range(100)]
    for client in holders:
        client.sock.sendall(encode_writes(client, 1))
    waiting = platform.client()
    waiting.send_request(op="small", row=7, ttl="3000", body=bytes(SMALL_REQUEST_BYTES + 100))
    time.sleep(0.2)
    platform.program.process.terminate()
    received = []
    while (frame := waiting.read_frame()) is not None:
        received.append(frame[0])
    assert received.count(frames.RESPONSE) == 1
