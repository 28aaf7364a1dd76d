"""A stand-in upstream repository: servers with a random service time, behind one queue.

    python -m hallproxy.lab.source --servers 8 --took-ms 20

It prints its address and serves every project's index until its standard input closes. Each input line sets a
factor on the service time, to simulate a source that slows down.
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
RESPONSE = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/vnd.pypi.simple.v1+json\r\n"
    b"Content-Length: %d\r\n\r\n%s" % (len(INDEX), INDEX)
)


class Source:
    def __init__(self, servers: int, service_time: float, spread: float, seed: int) -> None:
        self.servers, self.service_time, self.spread = servers, service_time, spread
        self.factor = 1.0
        self.served = 0
        self._busy = 0
        self._queue: deque[Connection] = deque()
        self._rng = random.Random(seed)

    def submit(self, connection: Connection) -> None:
        if self._busy < self.servers:
            self._serve(connection)
        else:
            self._queue.append(connection)

    def _serve(self, connection: Connection) -> None:
        self._busy += 1
        service_time = self.service_time * self.factor * (1.0 + self.spread * (2 * self._rng.random() - 1.0))
        asyncio.get_running_loop().call_later(service_time, self._done, connection)

    def _done(self, connection: Connection) -> None:
        self._busy -= 1
        self.served += 1
        connection.respond()
        while self._queue and self._busy < self.servers:
            next_connection = self._queue.popleft()
            if not next_connection.closed:  # skip requests of closed connections
                self._serve(next_connection)


class Connection(asyncio.Protocol):
    """One connection with one request at a time, as gateways send them."""

    def __init__(self, source: Source) -> None:
        self._source = source
        self._received = b""
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._received += data
        while b"\r\n\r\n" in self._received:
            _, _, self._received = self._received.partition(b"\r\n\r\n")
            self._source.submit(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True

    def respond(self) -> None:
        if not self.closed:
            self._transport.write(RESPONSE)


async def serve(source: Source, address: str) -> None:
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: Connection(source), address, 0, backlog=1024)
    print("%s:%d" % server.sockets[0].getsockname()[:2], flush=True)
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
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
    parser.add_argument("--spread", type=float, default=0.3, help="relative variation of service times")
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args(argv)
    asyncio.run(serve(Source(args.servers, args.took_ms / 1000, args.spread, args.seed), args.address))
    return 0


if __name__ == "__main__":
    sys.exit(main())
