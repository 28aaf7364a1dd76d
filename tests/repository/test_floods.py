"""One client that sends requests ahead at full speed, and another client of the second front beside it."""

from __future__ import annotations

import select
import socket
import threading
import time

import pytest

from tests.support.repository_front import PROJECT, Front

FLOOD_DURATION = 2.0  # s
ALLOWED = 0.5  # s; the index's latency objective in the deploy file
PAUSE = 0.05  # s from one request of the other client to the next
REQUESTS = {
    "not found": b"GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n",
    "not allowed": b"PUT / HTTP/1.1\r\n\r\n",
    "one head in a read": b"GET /nothing HTTP/1.1\r\nX: " + b"x" * 4_000 + b"\r\n\r\n",
    "index": b"GET /simple/%s/ HTTP/1.1\r\nHost: x\r\n\r\n" % PROJECT.encode(),
}


def flood(port: int, request: bytes) -> None:
    end = time.monotonic() + FLOOD_DURATION
    with socket.create_connection(("127.0.0.1", port)) as sock:
        sock.setblocking(False)
        unsent = b""
        while time.monotonic() < end:
            readable, writable, _ = select.select([sock], [sock], [], 0.05)
            if readable and not sock.recv(262_144):
                return
            if writable:
                unsent = unsent or request * (65_536 // len(request))
                unsent = unsent[sock.send(unsent) :]


# Guards against a client whose requests have always arrived already, so that reading them never waits.
@pytest.mark.timing("each request of the other client is answered within 0.5 s")
@pytest.mark.parametrize("kind", REQUESTS)
def test_a_client_that_sends_ahead_delays_no_others(front: Front, kind: str) -> None:
    front.start()
    assert front.get(f"/simple/{PROJECT}/").status == 200
    flooding = threading.Thread(target=flood, args=(front.program.port, REQUESTS[kind]))
    flooding.start()
    durations = []
    while flooding.is_alive():
        began_at = time.monotonic()
        assert front.get(f"/simple/{PROJECT}/").status == 200
        durations.append(time.monotonic() - began_at)
        time.sleep(PAUSE)
    flooding.join()
    assert max(durations) <= ALLOWED
