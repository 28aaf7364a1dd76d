"""No descriptor left: nothing ends for good, and all comes back once there are some, on real sockets."""

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
def none_left(program: Program, again: bool = False) -> Iterator[None]:
    """The process may open no descriptor; ``again``: but it may use again those that it closes."""
    pid = program.process.pid
    usual = resource.prlimit(pid, resource.RLIMIT_NOFILE)
    held = {int(x.name) for x in Path(f"/proc/{pid}/fd").iterdir()}
    free = next(n for n in range(len(held) + 1) if n not in held)
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (free if again else 0, usual[1]))
    try:
        yield
    finally:
        resource.prlimit(pid, resource.RLIMIT_NOFILE, usual)


def said(program: Program, word: str) -> int:
    return sum(word in x for x in program.lines)


def test_the_poll_outlives_a_time_without_descriptors(platform: Platform) -> None:
    """Its old connection breaks just then, so that it needs a new one."""
    until(lambda: platform.log.polls)
    with none_left(platform.program):
        for made in platform.log._http.listener.connections:
            made.shutdown(socket.SHUT_RDWR)
        until(lambda: said(platform.program, "change log: OSError") >= 2)  # it goes on trying
    platform.publish(invalidate={"object": f"{7:016x}", "time": 1})  # returns once the gateway holds it


def test_the_listener_outlives_it_and_neither_spins_nor_turns_anybody_away(platform: Platform) -> None:
    with none_left(platform.program):
        client = Client(platform.program.port)  # the system takes it into the backlog
        client.send_request(row=3)
        until(lambda: said(platform.program, "listener:") >= 3)
        assert said(platform.program, "listener:") < 200
    assert client.read_response()[0] == SERVED
    assert not said(platform.program, "Error") and not said(platform.program, "Exception")


def test_an_idle_connection_gives_its_descriptor_to_a_new_one(platform: Platform) -> None:
    idle = platform.client()
    idle.send_request(row=1)
    assert idle.read_response()[0] == SERVED
    with none_left(platform.program, again=True):
        client = Client(platform.program.port)
        assert idle.read_frame() is None  # closed for it, with nothing open on it
        client.send_frame(frames.READINESS_REQUEST, 0)
        assert client.read_frame() is not None


def test_an_idle_store_connection_gives_its_descriptor_to_one_that_is_asked(platform: Platform) -> None:
    """Having none left is no fault of the store: it gets its requests all the same."""
    client = platform.client()
    client.send_request(row=1)
    assert client.read_response()[0] == SERVED
    asked = [len(c.requests) for c in platform.caches]
    with none_left(platform.program, again=True):
        for row in range(2, 18):
            client.send_request(row=row)
            assert client.read_response()[0] == SERVED
    assert all(len(c.requests) > before for c, before in zip(platform.caches, asked, strict=True))


def test_with_nothing_to_close_what_needs_a_descriptor_is_refused_and_no_store_blamed(
    platform: Platform,
) -> None:
    client = platform.client()
    client.send_frame(frames.READINESS_REQUEST, 0)
    assert client.read_frame() is not None  # it has its descriptor
    with none_left(platform.program):
        for row in range(1, 9):
            client.send_request(row=row)
        assert all(client.read_response()[0] == frames.REJECTED for _ in range(8))
    assert not platform.requests and not said(platform.program, "ejected")
    for row in range(1, 9):
        client.send_request(row=row)
    assert all(client.read_response()[0] == SERVED for _ in range(8))


def test_idle_clients_at_the_limit_while_the_log_is_down_leave_it_and_the_stores_their_connections(
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
        until(lambda: said(platform.program, "change log: StreamClosedError") >= 3)
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
        for one in idle:
            one.sock.close()
        client.send_request(row=99)
        assert client.read_response()[0] == SERVED
    finally:
        platform.program.process.kill()
        platform.program.wait()
