"""A stand-in for a stream whose bytes have arrived already."""

from __future__ import annotations

import asyncio

POLL_INTERVAL = 0.001  # s between looks for more bytes


class ReceivedBytes:
    """A stream that has received ``data``, of which one read returns at most ``max_read`` bytes."""

    def __init__(self, data: bytes = b"", max_read: int = 1 << 20) -> None:
        self._data = data
        self._max_read = max_read
        self._offset = 0

    @property
    def unread_bytes(self) -> int:
        return len(self._data) - self._offset

    def receive(self, data: bytes) -> None:
        """Let more bytes arrive."""
        self._data = self._data[self._offset :] + data
        self._offset = 0

    async def read_some(self, into: memoryview, _timeout: float | None = None) -> int:
        while not self.unread_bytes:
            await asyncio.sleep(POLL_INTERVAL)
        return self.read_available(into) or 0

    def read_available(self, into: memoryview) -> int | None:
        size = min(len(into), self._max_read, self.unread_bytes)
        into[:size] = self._data[self._offset : self._offset + size]
        self._offset += size
        return size or None
