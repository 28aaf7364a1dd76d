"""A purge in which the change log breaks off, and the gateway's own copies afterwards."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from standins_2 import (
    SERVED,
    Case,
    ChangeLog,
    CouldNotRunError,
    Record,
    StoreRequest,
    answer,
    body_of,
    main,
    now_ms,
    ok,
    settings,
)

TOLD_AFTER_BREAK = 2_000  # ms after which what a broken change log would have told counts as told
GRACE = 300 + 50  # ms; of the rule on purges, on sockets
DOWN = 8.0  # s for which the change log refuses connections
OBJECTS = 4


class BreakingLog(ChangeLog):
    """A change log that can break off in the middle of an event and be down for a while."""

    def __init__(self, record: Record) -> None:
        super().__init__(record)
        self.breaks = False
        self.broke_at = 0  # Unix ms

    async def respond(self, since: int, writer: asyncio.StreamWriter) -> None:
        """Write the answer to a poll, or the half of it and the end."""
        if not self.breaks or len(self.events) == since:
            await super().respond(since, writer)
            return
        data = answer(200, json.dumps(self.page(since)).encode())
        writer.write(data[: len(data) - 30])
        await writer.drain()
        self.stop_listening()
        self.broke_at = now_ms()
        self.record.note("change log: breaks off in the middle of the event, and is down")
        raise EOFError


async def play(case: Case) -> list[str]:
    """Return a line for each answer from a copy older than the purge, once the purge counts as told."""
    log = case.log = BreakingLog(case.record)
    copies = [("old", now_ms())]  # what every store has

    async def reply(request: StoreRequest, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.01)
        tag, born_ms = copies[0]
        writer.write(ok(body_of(request.name, tag), tag, born_ms))

    await case.platform(lambda _: reply)
    gateway = case.gateway(settings())
    await gateway.start()
    client = await case.connect("client", gateway.port)

    for _ in range(6):  # the objects become known to be in demand, and the gateway keeps copies of them
        for row in range(1, 1 + OBJECTS):
            first = await client.send("firmware-parts", row, 0, 6_000)[2]
            if first.code != SERVED:
                raise CouldNotRunError("a calm request was not served")
            await asyncio.sleep(0.03)

    log.breaks = case.trouble
    purged_at = now_ms()
    copies[0] = "new", purged_at + 1  # the stores have dropped their copies at once
    await log.add(invalidate={"bucket": 17, "time": purged_at})
    await asyncio.sleep(0.2)
    if case.trouble and not log.broke_at:
        raise CouldNotRunError("the change log had no poll to break off")
    told_at = log.broke_at + TOLD_AFTER_BREAK if case.trouble else now_ms()
    end = now_ms() + DOWN * 1000

    broken: list[str] = []
    while now_ms() < end:
        for row in range(1, 1 + OBJECTS):
            sent = now_ms()
            got = await client.send("firmware-parts", row, 0, 6_000)[2]
            if got.code == SERVED and b"old" in got.body and sent > told_at + GRACE:
                broken.append(
                    f"object {row:016x}, asked for {sent - told_at} ms after the purge counts as told, "
                    "was answered from a copy older than the purge"
                )
        await asyncio.sleep(0.1)
    return broken


if __name__ == "__main__":
    main(__file__, play)
