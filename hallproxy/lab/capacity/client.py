"""A client of the gateway: few connections with many requests each. Every response is checked."""

import asyncio
import itertools
from collections.abc import Iterable
from dataclasses import dataclass

from hallproxy.lab.capacity.process import object_body
from hallproxy.lab.capacity.registry import MeasurementError
from hallproxy.wire import frames

RESPONSE_TIMEOUT = 20.0  # s
_CALLS = itertools.count(1)
Answer = tuple[int, bytes]  # code, body


class Connection(asyncio.Protocol):
    def __init__(self) -> None:
        self._received = bytearray()
        self._pending: dict[int, asyncio.Future[Answer]] = {}
        self._last_stream = 0
        self._transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def ask(self, row: int, size_kb: float, ttl_ms: int) -> "asyncio.Future[Answer]":
        self._last_stream += 1
        fields = {"op": "segment", "call": f"{next(_CALLS):016x}", "ttl": str(ttl_ms), "row": f"{row:016x}",
                "nth": "0", "batch": "1", "heap": f"{size_kb:.3f}"}  # fmt: skip
        self._pending[self._last_stream] = answer = asyncio.get_running_loop().create_future()
        self._transport.write(
            b"".join(frames.encode_frame(frames.REQUEST, self._last_stream, frames.encode_fields(fields)))
        )
        return answer

    def data_received(self, data: bytes) -> None:
        self._received += data
        while len(self._received) >= 4:
            end = 4 + int.from_bytes(self._received[:4], "big")
            if len(self._received) < end:
                return
            kind, stream = self._received[4], int.from_bytes(self._received[5:9], "big")
            payload = bytes(self._received[9:end])
            del self._received[:end]
            if kind != frames.RESPONSE:
                continue
            body = bytes(frames.decode_fields(memoryview(payload)[1:])[1])
            waiting = self._pending.pop(stream, None)
            if waiting is not None and not waiting.done():
                waiting.set_result((payload[0], body))

    def connection_lost(self, exc: Exception | None) -> None:
        for waiting in self._pending.values():
            if not waiting.done():
                waiting.set_exception(MeasurementError(f"the gateway closed the connection: {exc}"))

    def close(self) -> None:
        self._transport.close()


@dataclass
class ResponseCounts:
    answers: int = 0
    served: int = 0
    body_bytes: int = 0
    wrong: int = 0  # served with a body that differs from the store's

    def check(self, requests: int, size: int) -> None:
        """Raises MeasurementError unless each request was answered once, with its complete body."""
        if (self.answers, self.served, self.wrong, self.body_bytes) != (
            requests,
            requests,
            0,
            requests * size,
        ):
            raise MeasurementError(f"of {requests} requests for {size} bytes: {self}")


class Client:
    def __init__(self, port: int, size: int, connections: int = 4, ttl_ms: int = 9_000) -> None:
        self._port, self._size, self._count, self._ttl_ms = port, size, connections, ttl_ms
        self._connections: list[Connection] = []
        self.counts = ResponseCounts()

    async def open(self) -> None:
        running = asyncio.get_running_loop()
        for _ in range(self._count):
            self._connections.append(
                (await running.create_connection(Connection, "127.0.0.1", self._port))[1]
            )

    def close(self) -> None:
        for connection in self._connections:
            connection.close()

    async def request(self, row: int, nth: int) -> None:
        """Request one object on connection `nth`, modulo the number of connections."""
        async with asyncio.timeout(RESPONSE_TIMEOUT):
            code, body = await self._connections[nth % len(self._connections)].ask(
                row, self._size / 1e3, self._ttl_ms
            )
        self.counts.answers += 1
        self.counts.served += code == frames.SERVED
        self.counts.body_bytes += len(body)
        self.counts.wrong += code == frames.SERVED and body != object_body(row, self._size)

    async def closed_loop(self, rows: Iterable[int], at_once: int) -> None:
        """Keep `at_once` requests in flight, spread over the connections."""
        remaining = iter(rows)

        async def worker(nth: int) -> None:
            for row in remaining:
                await self.request(row, nth)

        await asyncio.gather(*(worker(nth) for nth in range(at_once)))

    async def open_loop(self, rows: list[int], rate: float) -> float:
        """Send each at its scheduled time, whatever is in flight; return the s to the last response."""
        running = asyncio.get_running_loop()
        started = running.time()
        tasks = []
        for n, row in enumerate(rows):
            delay = started + n / rate - running.time()
            if delay > 0:
                await asyncio.sleep(delay)
            tasks.append(asyncio.ensure_future(self.request(row, n)))
        await asyncio.gather(*tasks)
        return running.time() - started
