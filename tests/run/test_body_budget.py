"""The budget of body bytes in memory."""

from __future__ import annotations

import asyncio

from hallproxy.run.sockets import ByteBudget


def test_bodies_wait_until_there_is_budget() -> None:
    async def run() -> list[str]:
        budget, acquired = ByteBudget(lambda: 100), []

        async def read_body(name: str, size: int, finish: asyncio.Event) -> None:
            await budget.acquire(size)
            acquired.append(name)
            await finish.wait()
            budget.release(size)

        first, second = asyncio.Event(), asyncio.Event()
        second.set()
        tasks = [asyncio.ensure_future(read_body(n, s, f)) for n, s, f in
                 (("large", 150, first), ("a", 60, second), ("b", 60, second))]  # fmt: skip
        await asyncio.sleep(0)
        assert acquired == ["large"]
        first.set()
        await asyncio.gather(*tasks)
        return acquired

    assert asyncio.run(run()) == ["large", "a", "b"]


def test_small_bodies_do_not_wait_behind_large_ones() -> None:
    async def run() -> list[str]:
        budget, acquired = ByteBudget(lambda: 100, lambda: 10), []

        async def read_body(name: str, size: int) -> None:
            await budget.acquire(size)
            acquired.append(name)

        tasks = [asyncio.ensure_future(read_body(f"large-{n}", 40)) for n in range(5)]
        tasks += [asyncio.ensure_future(read_body(f"small-{n}", 10)) for n in range(3)]
        await asyncio.sleep(0)
        for task in tasks:
            task.cancel()
        return acquired

    assert asyncio.run(run()) == ["large-0", "small-0", "small-1", "small-2"]
