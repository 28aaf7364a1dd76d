"""What is observed of a gateway beside the load on it: its memory, and what a sound client gets."""

from __future__ import annotations

import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager

from tests.support.gateway import Platform
from tests.support.processes import anonymous_memory

QUIET_INTERVAL = 0.05  # s from one request of the quiet client to the next


@contextmanager
def memory_watched(platform: Platform) -> Iterator[list[int]]:
    """The highest memory in bytes, as the one element of a list."""
    peak, ended = [0], threading.Event()

    def watch() -> None:
        while not ended.wait(0.005):
            peak[0] = max(peak[0], anonymous_memory(platform.program.process.pid))

    thread = threading.Thread(target=watch)
    thread.start()
    yield peak
    ended.set()
    thread.join()


class QuietClient:
    """Sends one small request after another, and notes each response and how long it took."""

    def __init__(self, platform: Platform, ttl_ms: int = 3_000) -> None:
        self.responses: list[tuple[int, float]] = []
        self._client = platform.client()
        self._ttl = str(ttl_ms)
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def _run(self) -> None:
        row = 10_000
        while not self._ended.wait(QUIET_INTERVAL):
            row += 1
            began_at = time.monotonic()
            self._client.send_request(op="small", row=row, ttl=self._ttl)
            code, _, _ = self._client.read_response()
            self.responses.append((code, time.monotonic() - began_at))

    def stop(self) -> None:
        self._ended.set()
        self._thread.join()
