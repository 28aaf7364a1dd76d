"""Pages as they are sent: each is built and coded once, for all who ask from the same number."""

from __future__ import annotations

import zlib
from collections import OrderedDict
from collections.abc import Callable, Hashable

MB = 1024 * 1024
LEVEL = 5  # of the coding: a page is read by hundreds
LEAST = 256  # bytes under which a coding saves nothing worth its time
PAGES_MOST = 256
BYTES_MOST = 64 * MB
HEADS_MOST = 8  # of one page, held ready

STATUSES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    503: b"Service Unavailable",
}


class Page:
    """One body with its heads; what a head says besides ``Age`` and ``Connection`` belongs to the page."""

    __slots__ = ("body", "count", "_fields", "_heads")

    def __init__(self, body: bytes, coded: bool, count: int) -> None:
        self.body = body
        self.count = count  # events in it
        coding = b"Content-Encoding: gzip\r\n" if coded else b""
        self._fields = (
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nVary: Accept-Encoding\r\n"
            b"%bContent-Length: %d\r\n" % (coding, len(body))
        )
        self._heads: dict[tuple[int, bytes, bool], bytes] = {}

    def head(self, age: int, via: bytes, closes: bool) -> bytes:
        """``age`` in whole seconds (RFC 9111, 5.1), ``via`` the field's value (RFC 9110, 7.6.3)."""
        key = age, via, closes
        made = self._heads.get(key)
        if made is None:
            if len(self._heads) >= HEADS_MOST:
                self._heads.clear()
            ends = b"Connection: close\r\n" if closes else b""
            made = self._heads[key] = b"%bAge: %d\r\nVia: %b\r\n%b\r\n" % (self._fields, age, via, ends)
        return made


def page(events: bytes, seq: int, zipped: bool, count: int) -> Page:
    """``events`` are joined already; ``seq`` is the last number there is, in this page or behind it."""
    body = b'{"seq":%d,"results":[%b]}' % (seq, events)
    if zipped and len(body) >= LEAST:
        packing = zlib.compressobj(LEVEL, wbits=31)
        packed = packing.compress(body) + packing.flush()
        if len(packed) < len(body):
            return Page(packed, True, count)
    return Page(body, False, count)


class Pages:
    """The pages built last, by what they hold; bounded by number and bytes."""

    def __init__(self, most: int = PAGES_MOST, bytes_most: int = BYTES_MOST) -> None:
        self._most, self._bytes_most = most, bytes_most
        self._held: OrderedDict[Hashable, Page] = OrderedDict()
        self.bytes = 0
        self.built = 0

    def __len__(self) -> int:
        return len(self._held)

    def get(self, key: Hashable, build: Callable[[], Page]) -> Page:
        found = self._held.get(key)
        if found is not None:
            return found
        found = self._held[key] = build()
        self.built += 1
        self.bytes += len(found.body)
        # In the order of their making: a page is asked for when it is new, and hardly ever later.
        while len(self._held) > 1 and (len(self._held) > self._most or self.bytes > self._bytes_most):
            self.bytes -= len(self._held.popitem(last=False)[1].body)
        return found

    def clear(self) -> None:
        self._held.clear()
        self.bytes = 0
