"""Out of descriptors: everything recovers once there are some again, on real sockets."""

from __future__ import annotations

import contextlib
import json
import resource
import signal
import socket
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from hallproxy.wire import frames
from tests.support.gateway import ChangeLog, Client, Platform, Program, until

SERVED = frames.SERVED


@contextmanager
def out_of_descriptors(program: Program, can_reuse: bool = False) -> Iterator[None]:
    """The process can open no descriptor; ``can_reuse``: except in place of those that it closes."""
    pid = program.process.pid
    original_limit = resource.prlimit(pid, resource.RLIMIT_NOFILE)
    in_use = {int(x.name) for x in Path(f"/proc/{pid}/fd").iterdir()}
    free = next(n for n in range(len(in_use) + 1) if n not in in_use)
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (free if can_reuse else 0, original_limit[1]))
    try:
        yield
    finally:
        resource.prlimit(pid, resource.RLIMIT_NOFILE, original_limit)


def count_lines(program: Program, text: str) -> int:
    return sum(text in x for x in program.lines)


def test_polling_survives_a_time_without_descriptors(platform: Platform) -> None:
    """Its connection fails during that time, so that it needs a new one."""
    until(lambda: platform.log.polls)
    with out_of_descriptors(platform.program):
        for connection in platform.log._http.listener.connections:
            connection.shutdown(socket.SHUT_RDWR)
        until(lambda: count_lines(platform.program, "change log: OSError") >= 2)  # it keeps trying
    platform.publish(
        invalidate={"object": f"{7:016x}", "time": 1}
    )  # returns once the gateway has acknowledged it


def test_the_listener_survives_it_without_spinning_or_rejecting_clients(platform: Platform) -> None:
    with out_of_descriptors(platform.program):
        client = Client(platform.program.port)  # stays in the backlog
        client.send_request(row=3)
        until(lambda: count_lines(platform.program, "listener:") >= 3)
        assert count_lines(platform.program, "listener:") < 200
    assert client.read_response()[0] == SERVED
    assert not count_lines(platform.program, "Error") and not count_lines(platform.program, "Exception")


def test_an_idle_connection_gives_its_descriptor_to_a_new_one(platform: Platform) -> None:
    idle = platform.client()
    idle.send_request(row=1)
    assert idle.read_response()[0] == SERVED
    with out_of_descriptors(platform.program, can_reuse=True):
        client = Client(platform.program.port)
        assert idle.read_frame() is None  # closed for the new one, as it had no request in flight
        client.send_frame(frames.READINESS_REQUEST, 0)
        assert client.read_frame() is not None


def test_an_idle_upstream_connection_gives_its_descriptor_to_another_endpoint(platform: Platform) -> None:
    """Being out of descriptors is no failure of the endpoint: it still gets its requests."""
    client = platform.client()
    client.send_request(row=1)
    assert client.read_response()[0] == SERVED
    counts = [len(c.requests) for c in platform.caches]
    with out_of_descriptors(platform.program, can_reuse=True):
        for row in range(2, 18):
            client.send_request(row=row)
            assert client.read_response()[0] == SERVED
    assert all(len(c.requests) > before for c, before in zip(platform.caches, counts, strict=True))


def test_with_no_descriptor_to_free_requests_are_rejected_and_no_endpoint_is_ejected(
    platform: Platform,
) -> None:
    client = platform.client()
    client.send_frame(frames.READINESS_REQUEST, 0)
    assert client.read_frame() is not None  # the connection is accepted
    with out_of_descriptors(platform.program):
        for row in range(1, 9):
            client.send_request(row=row)
        assert all(client.read_response()[0] == frames.REJECTED for _ in range(8))
    assert not platform.requests and not count_lines(platform.program, "ejected")
    for row in range(1, 9):
        client.send_request(row=row)
    assert all(client.read_response()[0] == SERVED for _ in range(8))


def test_idle_clients_at_the_limit_leave_descriptors_for_the_change_log_and_the_endpoints(
    tmp_path: Path,
) -> None:
    platform = Platform(tmp_path, limits={"memory_mb": 64, "sockets": 128}).start()
    try:
        until(lambda: platform.log.polls)
        platform.log._http.listener.close()
        idle = [Client(platform.program.port) for _ in range(300)]
        for client in idle:
            with contextlib.suppress(OSError):
                client.send_frame(frames.READINESS_REQUEST, 0)
        until(lambda: count_lines(platform.program, "change log: StreamClosedError") >= 3)
        client = platform.client()
        for row in range(1, 9):
            client.send_request(row=row)
            assert client.read_response()[0] == SERVED
        new = ChangeLog()
        new.events = [*platform.log.events]
        platform.config["changelog"] = new.address
        (tmp_path / "config.json").write_text(json.dumps(platform.config))
        platform.program.process.send_signal(signal.SIGHUP)
        until(lambda: new.polls)
        assert len(list(Path(f"/proc/{platform.program.process.pid}/fd").iterdir())) < 128
        for connection in idle:
            connection.sock.close()
        client.send_request(row=99)
        assert client.read_response()[0] == SERVED
    finally:
        platform.program.process.kill()
        platform.program.wait()
