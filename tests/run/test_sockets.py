"""Writing to a peer that does not read."""

from __future__ import annotations

import asyncio
import socket
import tracemalloc

from hallproxy.run.sockets import Stream, tcp_stream
from hallproxy.run.upstream_connections import READ_BYTES

PIECES = [b"%011d" % n for n in range(50_000)]


def connected() -> tuple[Stream, socket.socket]:
    """A stream, and its peer, which has received as much as it takes."""
    ours, theirs = socket.socketpair()
    ours.setblocking(False)
    theirs.setblocking(False)
    stream = tcp_stream(ours)
    while not stream.unsent_bytes:
        stream.write_pieces([bytes(READ_BYTES)])
    return stream, theirs


def test_small_writes_to_a_peer_that_does_not_read_take_memory_in_proportion_to_their_bytes() -> None:
    # Guards against an object for each unsent response: 2 MB of the smallest ones took 100 MB.
    async def run() -> tuple[int, int]:
        stream, theirs = connected()
        unsent_before = stream.unsent_bytes
        tracemalloc.start()
        for piece in PIECES:
            stream.write_pieces([piece])
        taken = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        unsent = stream.unsent_bytes - unsent_before
        stream.close()
        theirs.close()
        return taken, unsent

    taken, unsent = asyncio.run(run())
    assert unsent == len(b"".join(PIECES)) and taken <= 2 * unsent


def test_writes_behind_unsent_ones_arrive_in_order_and_complete() -> None:
    async def run() -> bytes:
        stream, theirs = connected()
        first = stream.unsent_bytes
        for piece in PIECES:
            stream.write_pieces([piece[:4], piece[4:]])
        end = stream.write(b"end")
        received = b""
        loop = asyncio.get_running_loop()
        while not received.endswith(b"end"):
            received += await loop.sock_recv(theirs, 65_536)
        await end
        assert first and not stream.unsent_bytes
        stream.close()
        theirs.close()
        return received

    assert asyncio.run(run()).endswith(b"".join(PIECES) + b"end")
