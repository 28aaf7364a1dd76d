"""Open-loop load of one team on the repository front: requests are sent on schedule, answered or not.

    python -m hallproxy.lab.load --to 127.0.0.1:8081 --team quiet --token secret --rate 60 --seconds 10

Each request has its own connection, or they share ``--connections`` persistent ones. The result is one line
of JSON: for each request its scheduled time (s), its status (0: timeout, -1: closed or refused), and its
latency (ms) from the scheduled time.
"""

from __future__ import annotations

import argparse
import asyncio
import base64
import json
import random
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass

RESPONSE_TIMEOUT = 2.0  # s


@dataclass
class Plan:
    host: str
    port: int
    team: str
    token: str
    address: str  # source address of the team's connections
    rate: float
    seconds: float
    seed: int
    connections: int = 0  # persistent ones; 0: a new one for each request
    repeats: bool = False
    projects: int = 0  # 0: a different project for each request


class Client(asyncio.Protocol):
    """One connection; ``status_future`` resolves to the status of the request in flight."""

    def __init__(self) -> None:
        self.status_future: asyncio.Future[int] | None = None
        self._received = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def request(self, head: bytes) -> asyncio.Future[int]:
        self._received.clear()
        self.status_future = asyncio.get_running_loop().create_future()
        self.transport.write(head)
        return self.status_future

    def data_received(self, data: bytes) -> None:
        self._received += data
        end = self._received.find(b"\r\n\r\n")
        if end < 0 or self.status_future is None or self.status_future.done():
            return
        head = bytes(self._received[:end]).lower()
        at = head.find(b"content-length:")
        length = (
            int(head[at + 15 : (head.find(b"\r\n", at) + len(head) + 1) % (len(head) + 1)]) if at >= 0 else 0
        )
        if len(self._received) >= end + 4 + length:
            self.status_future.set_result(int(head[9:12]))

    def connection_lost(self, exc: Exception | None) -> None:
        if self.status_future is not None and not self.status_future.done():
            self.status_future.set_result(-1)


class TeamLoad:
    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self._rng = random.Random(f"{plan.seed}/{plan.team}")
        self._idle_clients: list[Client] = []
        self._waiting: list[asyncio.Future[Client]] = []
        secret = base64.b64encode(f"{plan.team}:{plan.token}".encode()).decode()
        retry_header = "Retry-Attempt: 1\r\n" if plan.repeats else ""
        self._fields = (
            f" HTTP/1.1\r\nHost: x\r\nAccept: application/vnd.pypi.simple.v1+json\r\n{retry_header}"
            f"Authorization: Basic {secret}\r\n"
        )
        self.results: list[tuple[float, int, float]] = []

    async def run(self, start: float) -> None:
        plan, tasks = self.plan, []
        scheduled = 0.0
        number = 0
        for _ in range(plan.connections):
            client = await self._connect()
            if client is not None:
                self._idle_clients.append(client)
        while True:
            scheduled += self._rng.expovariate(plan.rate)
            if scheduled >= plan.seconds:
                break
            number += 1
            wait = start + scheduled - time.time()
            if wait > 0:
                await asyncio.sleep(wait)
            tasks.append(asyncio.ensure_future(self._send_one(number, scheduled, start + scheduled)))
        await asyncio.gather(*tasks)

    async def _send_one(self, number: int, scheduled: float, scheduled_at: float) -> None:
        status = 0
        try:
            async with asyncio.timeout(max(0.001, scheduled_at + RESPONSE_TIMEOUT - time.time())):
                status = await self._request(number)
        except TimeoutError:
            pass
        self.results.append((round(scheduled, 3), status, round((time.time() - scheduled_at) * 1000, 1)))

    async def _connect(self) -> Client | None:
        plan = self.plan
        try:
            _, client = await asyncio.get_running_loop().create_connection(
                Client, plan.host, plan.port, local_addr=(plan.address, 0)
            )
        except OSError:
            return None
        return client

    async def _request(self, number: int) -> int:
        plan = self.plan
        name = f"{plan.team}-{number % plan.projects if plan.projects else number}"
        close = "" if plan.connections else "Connection: close\r\n"
        head = f"GET /simple/{name}/{self._fields}{close}\r\n".encode()
        if not plan.connections:
            client = await self._connect()
            if client is None:
                return -1
            try:
                return await client.request(head)
            finally:
                client.transport.abort() if client.status_future and not client.status_future.done() else None
                client.transport.close()
        idle_client = self._idle_clients.pop() if self._idle_clients else await self._connect()
        if idle_client is None:
            return -1
        while idle_client.transport.is_closing():
            new_client = await self._connect()
            if new_client is None:
                return -1
            idle_client = new_client
        try:
            status = await idle_client.request(head)
        except BaseException:
            idle_client.transport.abort()  # a late response must not be taken for that of a later request
            raise
        if len(self._idle_clients) < plan.connections:
            self._idle_clients.insert(0, idle_client)
        else:
            idle_client.transport.close()
        return status


def main(argv: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        prog="hallproxy.lab.load", description="Sends the requests of one team in an open loop."
    )
    parser.add_argument("--to", required=True)
    parser.add_argument("--team", required=True)
    parser.add_argument("--token", default="")
    parser.add_argument(
        "--from", dest="address", default="127.0.0.1", help="loopback address to connect from"
    )
    parser.add_argument("--rate", type=float, default=60.0)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--start", type=float, default=0.0, help="Unix time; 0: now")
    parser.add_argument("--connections", type=int, default=0)
    parser.add_argument("--projects", type=int, default=0)
    parser.add_argument("--repeats", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args(argv)
    host, _, port = args.to.rpartition(":")
    if not host.startswith("127."):
        parser.error("--to must be a loopback address (127.*)")
    team = TeamLoad(Plan(host, int(port), args.team, args.token, args.address, args.rate, args.seconds,
                         args.seed, args.connections, args.repeats, args.projects))  # fmt: skip
    asyncio.run(team.run(args.start or time.time()))
    json.dump({"team": args.team, "results": team.results}, sys.stdout)
    return 0


if __name__ == "__main__":
    sys.exit(main())
