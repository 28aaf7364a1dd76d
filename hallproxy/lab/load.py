"""One team's requests to the second front, in an open loop: they come when they are due, answered or not.

    python -m hallproxy.lab.load --to 127.0.0.1:8081 --team quiet --token secret --rate 60 --seconds 10

Each request has a connection of its own, or they share ``--connections`` kept ones. The result is one line
of JSON: for each request when it was due (s), its status (0: none in time, -1: closed or refused), and its
latency (ms), counted from when it was due.
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

GIVE_UP = 2.0  # s


@dataclass
class Plan:
    host: str
    port: int
    team: str
    token: str
    address: str  # where the team's clients come from
    rate: float
    seconds: float
    seed: int
    connections: int = 0  # 0: a new one for each request
    repeats: bool = False
    projects: int = 0  # 0: another project with each request


class Client(asyncio.Protocol):
    """One connection; ``answered`` is resolved with the status of the request that is out."""

    def __init__(self) -> None:
        self.answered: asyncio.Future[int] | None = None
        self._came = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def ask(self, head: bytes) -> asyncio.Future[int]:
        self._came.clear()
        self.answered = asyncio.get_running_loop().create_future()
        self.transport.write(head)
        return self.answered

    def data_received(self, data: bytes) -> None:
        self._came += data
        end = self._came.find(b"\r\n\r\n")
        if end < 0 or self.answered is None or self.answered.done():
            return
        head = bytes(self._came[:end]).lower()
        at = head.find(b"content-length:")
        length = (
            int(head[at + 15 : (head.find(b"\r\n", at) + len(head) + 1) % (len(head) + 1)]) if at >= 0 else 0
        )
        if len(self._came) >= end + 4 + length:
            self.answered.set_result(int(head[9:12]))

    def connection_lost(self, exc: Exception | None) -> None:
        if self.answered is not None and not self.answered.done():
            self.answered.set_result(-1)


class Team:
    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self._drawn = random.Random(f"{plan.seed}/{plan.team}")
        self._kept: list[Client] = []
        self._waiting: list[asyncio.Future[Client]] = []
        secret = base64.b64encode(f"{plan.team}:{plan.token}".encode()).decode()
        repeat = "Retry-Attempt: 1\r\n" if plan.repeats else ""
        self._fields = (
            f" HTTP/1.1\r\nHost: x\r\nAccept: application/vnd.pypi.simple.v1+json\r\n{repeat}"
            f"Authorization: Basic {secret}\r\n"
        )
        self.results: list[tuple[float, int, float]] = []

    async def run(self, began: float) -> None:
        plan, tasks = self.plan, []
        due = 0.0
        number = 0
        for _ in range(plan.connections):
            client = await self._connect()
            if client is not None:
                self._kept.append(client)
        while True:
            due += self._drawn.expovariate(plan.rate)
            if due >= plan.seconds:
                break
            number += 1
            wait = began + due - time.time()
            if wait > 0:
                await asyncio.sleep(wait)
            tasks.append(asyncio.ensure_future(self._one(number, due, began + due)))
        await asyncio.gather(*tasks)

    async def _one(self, number: int, due: float, due_at: float) -> None:
        status = 0
        try:
            async with asyncio.timeout(max(0.001, due_at + GIVE_UP - time.time())):
                status = await self._ask(number)
        except TimeoutError:
            pass
        self.results.append((round(due, 3), status, round((time.time() - due_at) * 1000, 1)))

    async def _connect(self) -> Client | None:
        plan = self.plan
        try:
            _, client = await asyncio.get_running_loop().create_connection(
                Client, plan.host, plan.port, local_addr=(plan.address, 0)
            )
        except OSError:
            return None
        return client

    async def _ask(self, number: int) -> int:
        plan = self.plan
        name = f"{plan.team}-{number % plan.projects if plan.projects else number}"
        close = "" if plan.connections else "Connection: close\r\n"
        head = f"GET /simple/{name}/{self._fields}{close}\r\n".encode()
        if not plan.connections:
            client = await self._connect()
            if client is None:
                return -1
            try:
                return await client.ask(head)
            finally:
                client.transport.abort() if client.answered and not client.answered.done() else None
                client.transport.close()
        kept = self._kept.pop() if self._kept else await self._connect()
        if kept is None:
            return -1
        while kept.transport.is_closing():
            again = await self._connect()
            if again is None:
                return -1
            kept = again
        try:
            status = await kept.ask(head)
        except BaseException:
            kept.transport.abort()  # the answer that may still come belongs to no later request
            raise
        if len(self._kept) < plan.connections:
            self._kept.insert(0, kept)
        else:
            kept.transport.close()
        return status


def main(argv: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="hallproxy.lab.load", description="One team's requests, open loop.")
    parser.add_argument("--to", required=True)
    parser.add_argument("--team", required=True)
    parser.add_argument("--token", default="")
    parser.add_argument("--from", dest="address", default="127.0.0.1", help="a loopback address")
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
        parser.error("only loopback addresses are asked")
    team = Team(Plan(host, int(port), args.team, args.token, args.address, args.rate, args.seconds, args.seed,
                     args.connections, args.repeats, args.projects))  # fmt: skip
    asyncio.run(team.run(args.start or time.time()))
    json.dump({"team": args.team, "results": team.results}, sys.stdout)
    return 0


if __name__ == "__main__":
    sys.exit(main())
