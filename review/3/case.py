"""Case 3: hundreds of requests at once from a few clients take the gateway over its memory limit."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from standins import (
    TROUBLE,
    Answer,
    ChangeLog,
    Client,
    Gateway,
    HttpRequest,
    HttpServer,
    Record,
    http_answer,
    instance,
    now_ms,
    read_loopback_settings,
    run_case,
)

LIMITS = {"cores": 1.0, "memory_mb": 80, "sockets": 672}
BURST_CLIENTS = 6  # each sends ...
BURST_CONNECTIONS = (
    10  # ... on so many connections (with the others: 63 of the 224 that clients may hold) ...
)
BURST_REQUESTS = 32  # ... as many requests at once as one connection may have open
BODY_BYTES = 48_000  # "one write carries at most 48,000"
BURST_AT_S = 2.0
END_AT_S = 7.0
PERIOD_S = 0.05
TTL_MS = 3000
LATE_MS = 500 + 50 + 8


async def serve(request: HttpRequest, writer: asyncio.StreamWriter) -> bool:
    """A sound store."""
    await asyncio.sleep(0.05)
    writer.write(http_answer(200, b"x" * 2000, ETag="t", X_Born_Ms=str(int(now_ms()))))
    await writer.drain()
    return True


class Platform:
    """Kills the gateway once it is over its memory limit, as the deployment page says."""

    def __init__(self, record: Record, gateway: Gateway) -> None:
        self._record, self._gateway = record, gateway
        self.peak = 0.0
        self.killed = False

    async def watch(self) -> None:
        """Read the memory that is the process's own (no file of the system's counts)."""
        while not self.killed:
            used = self._gateway.memory_mb("RssAnon")
            self.peak = max(self.peak, used)
            if used > LIMITS["memory_mb"]:
                self.killed = True
                self._record.write(
                    f"platform: {used:.1f} MB of {LIMITS['memory_mb']} MB, the gateway is killed"
                )
                assert self._gateway.process is not None
                self._gateway.process.kill()
            await asyncio.sleep(0.01)


async def burst(record: Record, gateway: Gateway, number: int) -> None:
    """Send hundreds of requests at once; each is one that the protocol allows."""
    connections = [await Client(gateway.address).connect() for _ in range(BURST_CONNECTIONS)]
    answers = []
    for client in connections:
        for _ in range(BURST_REQUESTS):
            call = client.new_call()
            future = client.send(
                "session-close", 1, TTL_MS, body=b"b" * BODY_BYTES, call=call, dedupe=call * 2
            )
            answers.append(future)
    record.write(f"burst client {number}: {len(answers)} requests of {BODY_BYTES} bytes sent")
    done, _ = await asyncio.wait(answers, timeout=4)
    codes = [future.result() for future in done]
    told = {
        code: sum(a is not None and a.code == code for a in codes) for code in ("served", "refused", "failed")
    }
    record.write(f"burst client {number}: {told}, {len(answers) - sum(told.values())} with no answer")


async def watch(record: Record, call: str, sent_at: float, future: asyncio.Future[Answer | None]) -> bool:
    """Wait for one usual client's answer until it counts as lost; returns whether it came."""
    try:
        answer = await asyncio.wait_for(future, (sent_at + TTL_MS + LATE_MS - now_ms()) / 1000)
    except TimeoutError:
        answer = None
    told = "LOST" if answer is None else answer.code
    record.write(f"client: {call}: {told} after {now_ms() - sent_at:.0f} ms")
    return answer is not None


async def play(record: Record, gateway: Gateway) -> bool:
    """Ask at a steady pace, and let some clients send hundreds of requests at once."""
    log = await ChangeLog().start()
    kinds = (
        ("s-1", "std", "edge-1"),
        ("s-2", "std", "edge-1"),
        ("p-1", "parent", "north"),
        ("o-1", "origin", "north"),
    )
    servers = [await HttpServer(serve).start() for _ in kinds]
    listed = [
        instance(name, s.address, kind, zone) for (name, kind, zone), s in zip(kinds, servers, strict=True)
    ]
    log.add(fleet={"generation": 1, "reset": True, "instances": listed})
    gateway.configure(read_loopback_settings(), log, limits=LIMITS)
    await gateway.start()
    platform = Platform(record, gateway)
    loop = asyncio.get_running_loop()
    tasks = [loop.create_task(platform.watch())]
    clients = [await Client(gateway.address).connect() for _ in range(3)]
    began, watched = loop.time(), []
    while (elapsed := loop.time() - began) < END_AT_S:
        if TROUBLE and len(tasks) == 1 and elapsed >= BURST_AT_S:
            record.write(f"the gateway uses {platform.peak:.1f} MB at most so far")
            tasks += [loop.create_task(burst(record, gateway, number + 1)) for number in range(BURST_CLIENTS)]
        client = clients[len(watched) % len(clients)]
        if not client.closed:
            call, row = client.new_call(), len(watched) + 1
            future = client.send("small-files", row, TTL_MS, call=call, batch=row % 32)
            watched.append(loop.create_task(watch(record, call, now_ms(), future)))
        await asyncio.sleep(PERIOD_S)
    results = await asyncio.gather(*watched)
    if TROUBLE:
        await asyncio.gather(*tasks[1:], return_exceptions=True)
    record.write(f"memory: {platform.peak:.1f} MB of {LIMITS['memory_mb']} MB at most")
    record.write(f"{len(results)} requests, {len(results) - sum(results)} lost")
    return not platform.killed and all(results)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
