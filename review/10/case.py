"""A spoilt answer that is longer than a frame may be, and the other requests of its client's connection."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from standins_2 import Case, StoreRequest, body_of, main, ok, settings

PARTS = 8  # of one object, asked for on one connection
SPOILT_PART = "3"
PART_BYTES = 60_000  # of a good answer
SPOILT_BYTES = 270_000  # more than a part may have (240,000) and than a frame may have (262,144)
ANSWER_DELAY = 0.3  # s; of a good answer


async def play(case: Case) -> list[str]:
    """Return a line for each request, but the spoilt one, whose connection ended without an answer."""

    async def reply(request: StoreRequest, writer: asyncio.StreamWriter) -> None:
        if case.trouble and request.part == SPOILT_PART:
            body = body_of(request.name, request.part, PART_BYTES)
            writer.write(ok(body + bytes(SPOILT_BYTES - len(body)), f"t{request.name}"))
            return
        await asyncio.sleep(ANSWER_DELAY)
        writer.write(ok(body_of(request.name, request.part, PART_BYTES), f"t{request.name}"))

    await case.platform(lambda _: reply)
    gateway = case.gateway(settings())
    await gateway.start()
    client = await case.connect("client", gateway.port)
    answers = {
        str(part): client.send("firmware-parts", 0x7F3A9C21E0B4D655, part, 6_000, heap="100.0")[2]
        for part in range(PARTS)
    }
    await asyncio.wait(answers.values(), timeout=8)
    return [
        f"the request for part {part} was taken, and its connection ended without an answer"
        for part, got in answers.items()
        if part != SPOILT_PART and (not got.done() or not got.result().code)
    ]


if __name__ == "__main__":
    main(__file__, play)
