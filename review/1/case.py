"""Case 1: one answer whose head can't be read stops the whole gateway for many seconds."""

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

PERIOD_S = 0.05  # from one request of a client to the next
SPOILT_AT_S = 2.0  # after the clients' start
END_AT_S = 8.0
TTL_MS = 3000
LATE_MS = 500 + 50 + 8  # "up to half a second after its time it only earns nothing", and the slacks
BLANKS = 5000  # of the spoilt head; the whole head is shorter than the 16,384 bytes that the gateway reads


class Stores:
    """Sound stores, but for one spoilt answer of all of them together."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self.spoil_next = False

    async def serve(self, request: HttpRequest, writer: asyncio.StreamWriter) -> bool:
        """Answer with the bytes of the part that was asked for."""
        call = request.fields["x-hop-id"]
        self._record.write(f"store: asked {call}")
        await asyncio.sleep(0.02)
        answer = http_answer(
            200, b"x" * 2000, ETag="t", X_Born_Ms=str(int(now_ms())), X_Report="inflight:1;x0:0.7"
        )
        if self.spoil_next:
            self.spoil_next = False
            # A field of blanks, and a zero byte ahead of its end.
            answer = answer.replace(b"X-Report: ", b"X-Report: " + b" " * BLANKS + b"\0", 1)
            self._record.write(f"store: the answer to {call} goes out with a head that can't be read")
        writer.write(answer)
        await writer.drain()
        return True


async def watch(
    record: Record, client: Client, call: str, sent_at: float, future: asyncio.Future[Answer | None]
) -> bool:
    """Wait for one answer until it counts as lost; returns whether it came."""
    left = (sent_at + TTL_MS + LATE_MS - now_ms()) / 1000
    try:
        answer = await asyncio.wait_for(future, left)
    except TimeoutError:
        record.write(f"client: {call}: LOST, no answer {now_ms() - sent_at:.0f} ms after it was sent")
        return False
    if answer is None:
        record.write(f"client: {call}: LOST, its connection ended after {now_ms() - sent_at:.0f} ms")
        return False
    record.write(f"client: {call}: {answer.code} after {answer.at - sent_at:.0f} ms")
    return True


async def play(record: Record, gateway: Gateway) -> bool:
    """Ask at a steady pace, let one answer arrive spoilt, and look for requests without an answer."""
    log = await ChangeLog().start()
    kinds = (
        ("s-1", "std", "edge-1"),
        ("s-2", "std", "edge-1"),
        ("p-1", "parent", "north"),
        ("o-1", "origin", "north"),
    )
    stores = Stores(record)
    servers = [await HttpServer(stores.serve).start() for _ in kinds]
    listed = [
        instance(name, s.address, kind, zone) for (name, kind, zone), s in zip(kinds, servers, strict=True)
    ]
    log.add(fleet={"generation": 1, "reset": True, "instances": listed})
    gateway.configure(read_loopback_settings(), log)
    await gateway.start()
    clients = [await Client(gateway.address).connect() for _ in range(3)]
    loop = asyncio.get_running_loop()
    began, spoilt = loop.time(), False
    watched = []
    while (elapsed := loop.time() - began) < END_AT_S:
        if TROUBLE and not spoilt and elapsed >= SPOILT_AT_S:
            spoilt = stores.spoil_next = True
        client = clients[len(watched) % len(clients)]
        if not client.closed:
            call, row = client.new_call(), len(watched) + 1
            record.write(f"client: {call} asks")
            future = client.send("small-files", row, TTL_MS, call=call, batch=row % 32)
            watched.append(loop.create_task(watch(record, client, call, now_ms(), future)))
        await asyncio.sleep(PERIOD_S)
    results = await asyncio.gather(*watched)
    lost = len(results) - sum(results)
    record.write(f"{len(results)} requests, {lost} lost")
    return not lost


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
