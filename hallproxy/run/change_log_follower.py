"""Following a change log: one long poll after another, each from the last event applied."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import Any

from hallproxy.run.change_log_source import Sources
from hallproxy.run.config import Address
from hallproxy.run.log import log_line
from hallproxy.run.poll_connection import MAX_PAGE_BYTES, PollConnection, RawResponse
from hallproxy.run.sockets import Stream
from hallproxy.wire.changelog import MAX_WAIT_MS, ChangeLogError, decode_page, decompress
from hallproxy.wire.http1 import Head

CONNECT_TIMEOUT = 1.0  # s
MIN_RECONNECT_INTERVAL = 0.05  # s from one connect to the next
# Where there is an alternative that has not failed:
SHORT_CONNECT_TIMEOUT = 0.4  # s
SHORT_FIRST_TIMEOUT = 0.6  # s for the response to a poll that does not wait
TRIAL_POLLS = 5  # polls of a preferred address until it has caught up with the current one, ...
TRIAL_INTERVAL = 0.1  # ...and s from one to the next
OK = 200
SERVICE_UNAVAILABLE = 503


@dataclass(slots=True, frozen=True)
class PollResponse:
    """A successful poll's page, decompressed and decoded."""

    page: dict[str, Any]
    head: Head
    polled_at: int  # Unix ns; when the poll was sent
    source: Address
    size: int  # bytes of the body as received


class Follower(ABC):
    """One poll after another, to the address that ``sources`` selects; a subclass applies the responses.

    ``wait`` (ms) is how long the source may hold a poll, ``response_timeout`` the s past it after which the
    poll has failed. ``compressed``: responses may be compressed, and 503 means that the source is stale.
    ``has_alternatives``: there are several addresses. Timeouts are shorter while another one has not failed
    lately: the last one that is left may be slow because the machine is.
    """

    def __init__(
        self,
        sources: Sources,
        since: int,
        wait: int,
        response_timeout: float,
        compressed: bool,
        has_alternatives: bool = False,
    ) -> None:
        self.since = since  # number of the last event applied
        self.has_alternatives = has_alternatives
        self._sources = sources
        self._wait = wait
        self._response_timeout = response_timeout
        self._compressed = compressed
        self._gap = -1  # the number before a gap that was found once
        self._connection: PollConnection | None = None
        self._trial: asyncio.Task[None] | None = None
        self._first_response = asyncio.Event()
        self._logged_stale = False  # that the current source is stale

    @abstractmethod
    def now(self) -> int:
        """Unix ns; never goes back."""

    @abstractmethod
    def apply(self, response: PollResponse) -> None:
        """Apply the page and set ``since``; ChangeLogError where it can't be used."""

    def read(self, body: bytes) -> dict[str, Any]:
        """The page that the body holds; ChangeLogError where it holds none."""
        return decode_page(body)

    @property
    def polled_twice(self) -> bool:
        """Whether this is the second poll from the same number, so that a gap in it is there to stay."""
        return self._gap == self.since

    @property
    def _stream(self) -> Stream | None:
        return self._connection.stream if self._connection is not None else None

    def set_sources(self, sources: Sources) -> None:
        """Poll these from now on. The rest of a response from the former address is dropped."""
        self._sources = sources
        if self._connection is not None:
            self._connection.close()

    async def run(self) -> None:
        """Poll for ever. Every failure is retried, and loses nothing that was applied."""
        try:
            while True:
                await self._run_connection()
        finally:
            if self._trial is not None:
                self._trial.cancel()

    async def _run_connection(self) -> None:
        """From one connect to the next."""
        sources = self._sources
        began = asyncio.get_running_loop().time()
        address = sources.select(self.now())
        self._connection = None
        try:
            # Fails where there is no descriptor left; the follower must outlive that too.
            self._connection = PollConnection.open(address)
            short = self._has_alternative(address)
            await self._connection.connect(SHORT_CONNECT_TIMEOUT if short else CONNECT_TIMEOUT)
            while await self._poll(sources):
                pass
        except Exception as error:  # noqa: BLE001 - without the log a gateway would break rules
            if sources is self._sources:
                log_line(f"change log: {type(error).__name__} {error}")
        finally:
            if self._connection is not None:
                address = self._connection.source
                self._connection.close()
        # A poll that broke is retried at once, as its events count as notified by then; a log that closes or
        # refuses connections is not polled without pause.
        if sources is self._sources:
            backoff = sources.record_failure(address, self.now())
            elapsed = asyncio.get_running_loop().time() - began
            await asyncio.sleep(max(0.0, MIN_RECONNECT_INTERVAL - elapsed, backoff))

    async def _poll(self, sources: Sources) -> bool:
        """One poll; false: the connection is to be closed."""
        connection = self._connection
        assert connection is not None
        self._try_preferred(sources, connection)
        # The first poll does not wait. Where there are alternatives, nor does the first one on each
        # connection, so that a source that accepts connections and is silent is left sooner.
        may_wait = self._first_response.is_set() and not (connection.fresh and self.has_alternatives)
        connection.fresh = False
        try:
            raw = await self._request(connection, min(self._wait, MAX_WAIT_MS) if may_wait else 0)
        except Exception:
            if connection is not self._connection and sources is self._sources:
                return True  # it was closed here, replaced by another connection
            raise
        if sources is not self._sources:
            return False  # the sources have changed meanwhile
        if connection is not self._connection:
            return True  # the connection that has replaced it delivers these events
        if raw.head.status == SERVICE_UNAVAILABLE and self._compressed:
            if not self._logged_stale:
                log_line(f"change log: {connection.source[0]}:{connection.source[1]} is not current")
            self._logged_stale = True
            return False
        self._apply(sources, raw)
        return raw.head.keep_alive

    async def _request(self, connection: PollConnection, wait: int) -> RawResponse:
        polled_at = self.now()
        connection.send_poll(self.since, wait, self._compressed)
        short = self._has_alternative(connection.source)
        first_timeout = SHORT_FIRST_TIMEOUT if short else CONNECT_TIMEOUT
        timeout = wait / 1000 + self._response_timeout if wait else first_timeout
        head, body = await asyncio.wait_for(connection.read_response(), timeout)
        return RawResponse(polled_at, connection.source, head, body)

    def _has_alternative(self, address: Address) -> bool:
        return self.has_alternatives and self._sources.has_alternative(address)

    def _apply(self, sources: Sources, raw: RawResponse) -> None:
        if raw.head.status != OK:
            raise ChangeLogError(f"answer {raw.head.status}")
        body = self._decode(raw)
        try:
            page = self.read(body)
            self.apply(PollResponse(page, raw.head, raw.polled_at, raw.source, len(raw.body)))
        except ChangeLogError as error:
            # A malformed page of one relay says nothing of gaps in the next one's.
            if error.is_gap or not self._compressed:
                self._gap = self.since
            raise
        sources.record_success(raw.source, self.now())
        self._first_response.set()
        self._logged_stale = False

    def _decode(self, raw: RawResponse) -> bytes:
        if not self._compressed:
            return raw.body
        return decompress(raw.body, raw.head.fields.get("content-encoding", ""), MAX_PAGE_BYTES)

    def _try_preferred(self, sources: Sources, connection: PollConnection) -> None:
        """Start the trial of a preferred address, if its time has come; no poll waits for it."""
        if self._trial is not None and not self._trial.done():
            return
        preferred = sources.preferred(self.now())
        if preferred is not None and preferred != connection.source:
            self._trial = asyncio.get_running_loop().create_task(self._try(sources, preferred))

    async def _try(self, sources: Sources, address: Address) -> None:
        """Poll a preferred address on a second connection, until it can replace the current one."""
        tried: PollConnection | None = None
        try:
            tried = PollConnection.open(address)
            await tried.connect(SHORT_CONNECT_TIMEOUT)
            tried.fresh = False
            for _ in range(TRIAL_POLLS):
                raw = await self._request(tried, 0)
                if sources is not self._sources:
                    return
                if raw.head.status != OK or not raw.head.keep_alive:
                    raise ChangeLogError(f"answer {raw.head.status}")
                # A source behind the current one would send a snapshot, and go back with it.
                if self._last(self.read(self._decode(raw))) >= self.since:
                    self._replace_connection(sources, tried, raw)
                    tried = None
                    return
                await asyncio.sleep(TRIAL_INTERVAL)
            sources.record_failure(address, self.now())
        except Exception:  # noqa: BLE001 - it is tried again later, and logged only once it is followed
            if sources is self._sources:
                sources.record_failure(address, self.now())
        finally:
            if tried is not None:
                tried.close()

    def _replace_connection(self, sources: Sources, tried: PollConnection, raw: RawResponse) -> None:
        """Continue on the tried connection with this response; the former one's are dropped."""
        former, gap = self._connection, self._gap
        try:
            self._apply(sources, raw)
        except ChangeLogError:
            self._gap = gap  # the source that is followed was not polled twice by this
            raise
        self._connection = tried
        if former is not None:
            former.close()

    @staticmethod
    def _last(page: dict[str, Any]) -> int:
        """The number of the last event that the page names."""
        try:
            return max([int(page.get("seq", 0)), *(int(entry["seq"]) for entry in page["results"])])
        except (KeyError, TypeError, ValueError):
            raise ChangeLogError("a page without numbers") from None
