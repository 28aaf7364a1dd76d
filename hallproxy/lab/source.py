"""A stand-in upstream repository: servers that are each busy for so long, and one queue before them.

    python -m hallproxy.lab.source --servers 8 --took-ms 20

It prints its address and serves every project's index until its standard input closes. A line there sets
the factor on the time that a request takes: a source that slows down.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import sys
from collections import deque
from collections.abc import Sequence

INDEX = json.dumps(
    {
        "meta": {"api-version": "1.0"},
        "name": "any",
        "files": [{"filename": "any-1.whl", "url": "/pool/any-1.whl", "hashes": {"sha256": "a" * 64}}],
    }
).encode()
ANSWER = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/vnd.pypi.simple.v1+json\r\n"
    b"Content-Length: %d\r\n\r\n%s" % (len(INDEX), INDEX)
)


class Source:
    def __init__(self, servers: int, took: float, spread: float, seed: int) -> None:
        self.servers, self.took, self.spread = servers, took, spread
        self.factor = 1.0
        self.served = 0
        self._busy = 0
        self._queue: deque[Peer] = deque()
        self._drawn = random.Random(seed)

    def ask(self, peer: Peer) -> None:
        if self._busy < self.servers:
            self._serve(peer)
        else:
            self._queue.append(peer)

    def _serve(self, peer: Peer) -> None:
        self._busy += 1
        took = self.took * self.factor * (1.0 + self.spread * (2 * self._drawn.random() - 1.0))
        asyncio.get_running_loop().call_later(took, self._done, peer)

    def _done(self, peer: Peer) -> None:
        self._busy -= 1
        self.served += 1
        peer.answer()
        while self._queue and self._busy < self.servers:
            waiting = self._queue.popleft()
            if not waiting.gone:  # who has hung up is not served
                self._serve(waiting)


class Peer(asyncio.Protocol):
    """One connection, one request at a time, as gateways send them."""

    def __init__(self, source: Source) -> None:
        self._source = source
        self._came = b""
        self.gone = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._came += data
        while b"\r\n\r\n" in self._came:
            _, _, self._came = self._came.partition(b"\r\n\r\n")
            self._source.ask(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.gone = True

    def answer(self) -> None:
        if not self.gone:
            self._transport.write(ANSWER)


async def serve(source: Source, address: str) -> None:
    running = asyncio.get_running_loop()
    server = await running.create_server(lambda: Peer(source), address, 0, backlog=1024)
    print("%s:%d" % server.sockets[0].getsockname()[:2], flush=True)
    reader = asyncio.StreamReader()
    await running.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        source.factor = float(line)
    print(json.dumps({"served": source.served}), flush=True)


def main(argv: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        prog="hallproxy.lab.source", description="A stand-in upstream repository."
    )
    parser.add_argument("--address", default="127.0.0.1")
    parser.add_argument("--servers", type=int, default=8)
    parser.add_argument("--took-ms", type=float, default=20.0)
    parser.add_argument("--spread", type=float, default=0.3, help="part by which times vary")
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args(argv)
    asyncio.run(serve(Source(args.servers, args.took_ms / 1000, args.spread, args.seed), args.address))
    return 0


if __name__ == "__main__":
    sys.exit(main())
