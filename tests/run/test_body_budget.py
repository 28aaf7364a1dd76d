"""The budget of body bytes in memory."""

from __future__ import annotations

import asyncio
import socket

from hallproxy.run.byte_budget import ByteBudget
from hallproxy.run.sockets import tcp_stream


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


def test_a_waiter_that_gives_up_leaves_its_bytes_to_the_next() -> None:
    async def run() -> bool:
        budget = ByteBudget(lambda: 100)
        assert budget.try_acquire(60)
        first, second = (asyncio.ensure_future(budget.acquire(size)) for size in (90, 40))
        await asyncio.sleep(0)
        first.cancel()
        await asyncio.wait((second,), timeout=1)
        return second.done()

    assert asyncio.run(run())


def test_bytes_granted_to_a_waiter_that_gives_up_are_released() -> None:
    async def run() -> bool:
        budget = ByteBudget(lambda: 100)
        assert budget.try_acquire(100)
        waiter = asyncio.ensure_future(budget.acquire(100))
        await asyncio.sleep(0)
        budget.release(100)
        waiter.cancel()
        await asyncio.wait((waiter,))
        return budget.try_acquire(100)

    assert asyncio.run(run())


def test_waiters_are_granted_bytes_in_the_order_of_their_arrival() -> None:
    async def run() -> list[int]:
        budget, granted = ByteBudget(lambda: 100), []
        assert budget.try_acquire(100)

        async def acquire(number: int, size: int) -> None:
            await budget.acquire(size)
            granted.append(number)

        tasks = [asyncio.ensure_future(acquire(n, size)) for n, size in enumerate((50, 90, 10))]
        await asyncio.sleep(0)
        assert not budget.try_acquire(0)
        for size in (100, 50, 90):
            budget.release(size)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        await asyncio.gather(*tasks)
        return granted

    assert asyncio.run(run()) == [0, 1, 2]


def test_a_stream_receives_nothing_while_no_read_is_pending() -> None:
    # Guards against bytes that the event loop takes from the socket while their reader waits for its budget:
    # they are not counted, and a read that does not wait continues behind them.
    async def run() -> bytes:
        ours, peer = socket.socketpair()
        stream, into = tcp_stream(ours), memoryview(bytearray(10))
        asyncio.get_running_loop().call_later(0.01, peer.send, b"a")
        assert await stream.read_some(into) == 1
        peer.send(b"b")
        await asyncio.sleep(0.05)
        peer.send(b"c")
        size = stream.read_available(into)
        stream.close()
        peer.close()
        return bytes(into[: size or 0])

    assert asyncio.run(run()) == b"bc"
