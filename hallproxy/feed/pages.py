"""Response pages: each is built and compressed once, for all followers at the same number."""

from __future__ import annotations

import zlib
from collections import OrderedDict
from collections.abc import Callable, Hashable

MB = 1024 * 1024  # bytes
COMPRESSION_LEVEL = 5
MIN_COMPRESSED = 256  # bytes; smaller bodies are not compressed
MAX_PAGES = 256  # in the cache
MAX_BYTES = 64 * MB  # of their bodies
MAX_HEADS = 8  # cached for one page

STATUSES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    503: b"Service Unavailable",
}


class Page:
    """A body with its response heads; only ``Age``, ``Via`` and ``Connection`` differ between heads."""

    __slots__ = ("body", "event_count", "_fields", "_heads")

    def __init__(self, body: bytes, gzipped: bool, event_count: int) -> None:
        self.body = body
        self.event_count = event_count
        coding = b"Content-Encoding: gzip\r\n" if gzipped else b""
        self._fields = (
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nVary: Accept-Encoding\r\n"
            b"%bContent-Length: %d\r\n" % (coding, len(body))
        )
        self._heads: dict[tuple[int, bytes, bool], bytes] = {}

    def head(self, age: int, via: bytes, close_after_response: bool) -> bytes:
        """The head; ``age`` in whole seconds (RFC 9111, 5.1), ``via`` the field's value (RFC 9110, 7.6.3)."""
        key = age, via, close_after_response
        head = self._heads.get(key)
        if head is None:
            if len(self._heads) >= MAX_HEADS:
                self._heads.clear()
            connection_field = b"Connection: close\r\n" if close_after_response else b""
            head = self._heads[key] = b"%bAge: %d\r\nVia: %b\r\n%b\r\n" % (
                self._fields,
                age,
                via,
                connection_field,
            )
        return head


def build_page(events: bytes, last_number: int, accept_gzip: bool, event_count: int) -> Page:
    """A page of ``events`` joined by commas; ``last_number`` is the log's last, in this page or after it."""
    body = b'{"seq":%d,"results":[%b]}' % (last_number, events)
    if accept_gzip and len(body) >= MIN_COMPRESSED:
        compressor = zlib.compressobj(COMPRESSION_LEVEL, wbits=31)
        compressed = compressor.compress(body) + compressor.flush()
        if len(compressed) < len(body):
            return Page(compressed, True, event_count)
    return Page(body, False, event_count)


class PageCache:
    """The most recently built pages, by content; limited in number and bytes."""

    def __init__(self, max_pages: int = MAX_PAGES, max_bytes: int = MAX_BYTES) -> None:
        self._max_pages = max_pages
        self._max_bytes = max_bytes
        self._pages: OrderedDict[Hashable, Page] = OrderedDict()
        self.byte_count = 0
        self.build_count = 0

    def __len__(self) -> int:
        return len(self._pages)

    def get(self, key: Hashable, build: Callable[[], Page]) -> Page:
        """The cached page of ``key``, or the one that ``build`` returns."""
        page = self._pages.get(key)
        if page is not None:
            return page
        page = self._pages[key] = build()
        self.build_count += 1
        self.byte_count += len(page.body)
        # First in, first out: a page is requested when it is new, and hardly ever later.
        while len(self._pages) > 1 and self._over_limit():
            self.byte_count -= len(self._pages.popitem(last=False)[1].body)
        return page

    def _over_limit(self) -> bool:
        return len(self._pages) > self._max_pages or self.byte_count > self._max_bytes

    def clear(self) -> None:
        """Drop all pages."""
        self._pages.clear()
        self.byte_count = 0
