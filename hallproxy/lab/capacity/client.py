"""A client of the platform's front: few connections, many requests on each, every answer looked at."""

import asyncio
import itertools
from collections.abc import Iterable
from dataclasses import dataclass

from hallproxy.lab.capacity.process import object_body
from hallproxy.lab.capacity.registry import MeasurementError
from hallproxy.wire import frames

ANSWER_IN = 20.0  # s
_CALLS = itertools.count(1)
Answer = tuple[int, bytes]  # code, body


class Connection(asyncio.Protocol):
    def __init__(self) -> None:
        self._came = bytearray()
        self._open: dict[int, asyncio.Future[Answer]] = {}
        self._last = 0
        self._transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def ask(self, row: int, size_kb: float, ttl_ms: int) -> "asyncio.Future[Answer]":
        self._last += 1
        said = {"op": "segment", "call": f"{next(_CALLS):016x}", "ttl": str(ttl_ms), "row": f"{row:016x}",
                "nth": "0", "batch": "1", "heap": f"{size_kb:.3f}"}  # fmt: skip
        self._open[self._last] = answer = asyncio.get_running_loop().create_future()
        self._transport.write(
            b"".join(frames.encode_frame(frames.REQUEST, self._last, frames.encode_fields(said)))
        )
        return answer

    def data_received(self, data: bytes) -> None:
        self._came += data
        while len(self._came) >= 4:
            end = 4 + int.from_bytes(self._came[:4], "big")
            if len(self._came) < end:
                return
            kind, stream = self._came[4], int.from_bytes(self._came[5:9], "big")
            payload = bytes(self._came[9:end])
            del self._came[:end]
            if kind != frames.RESPONSE:
                continue
            body = bytes(frames.decode_fields(memoryview(payload)[1:])[1])
            waiting = self._open.pop(stream, None)
            if waiting is not None and not waiting.done():
                waiting.set_result((payload[0], body))

    def connection_lost(self, exc: Exception | None) -> None:
        for waiting in self._open.values():
            if not waiting.done():
                waiting.set_exception(MeasurementError(f"the gateway closed the connection: {exc}"))

    def close(self) -> None:
        self._transport.close()


@dataclass
class ResponseCounts:
    answers: int = 0
    served: int = 0
    body_bytes: int = 0
    wrong: int = 0  # served with other bytes than the store's

    def check(self, asked: int, size: int) -> None:
        """Raises MeasurementError unless each request was answered once, with all of its own bytes."""
        if (self.answers, self.served, self.wrong, self.body_bytes) != (asked, asked, 0, asked * size):
            raise MeasurementError(f"of {asked} requests for {size} bytes: {self}")


class Client:
    def __init__(self, port: int, size: int, connections: int = 4, ttl_ms: int = 9_000) -> None:
        self._port, self._size, self._wanted, self._ttl_ms = port, size, connections, ttl_ms
        self._made: list[Connection] = []
        self.counts = ResponseCounts()

    async def open(self) -> None:
        running = asyncio.get_running_loop()
        for _ in range(self._wanted):
            self._made.append((await running.create_connection(Connection, "127.0.0.1", self._port))[1])

    def close(self) -> None:
        for made in self._made:
            made.close()

    async def request(self, row: int, nth: int) -> None:
        """Ask for one object on the connection of that number, counted round."""
        async with asyncio.timeout(ANSWER_IN):
            code, body = await self._made[nth % len(self._made)].ask(row, self._size / 1e3, self._ttl_ms)
        self.counts.answers += 1
        self.counts.served += code == frames.SERVED
        self.counts.body_bytes += len(body)
        self.counts.wrong += code == frames.SERVED and body != object_body(row, self._size)

    async def closed_loop(self, rows: Iterable[int], at_once: int) -> None:
        """So many requests are out all the time, spread over the connections."""
        left = iter(rows)

        async def worker(nth: int) -> None:
            for row in left:
                await self.request(row, nth)

        await asyncio.gather(*(worker(nth) for nth in range(at_once)))

    async def open_loop(self, rows: list[int], rate: float) -> float:
        """Each at its time, answered or not; the s from the first one's time to the last answer."""
        running = asyncio.get_running_loop()
        began = running.time()
        tasks = []
        for n, row in enumerate(rows):
            wait = began + n / rate - running.time()
            if wait > 0:
                await asyncio.sleep(wait)
            tasks.append(asyncio.ensure_future(self.request(row, n)))
        await asyncio.gather(*tasks)
        return running.time() - began
