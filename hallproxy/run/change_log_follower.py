"""Following a change log by consecutive long polls, each from the last event applied."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import Any

from hallproxy.run.change_log_source import Sources
from hallproxy.run.config import Address
from hallproxy.run.log import log_line
from hallproxy.run.poll_connection import PollConnection, RawResponse
from hallproxy.run.sockets import Stream
from hallproxy.state.events import WatchFailure
from hallproxy.wire.changelog import MAX_WAIT_MS, ChangeLogError, decode_page, decompress
from hallproxy.wire.http1 import Head

MAX_PAGE_BYTES = 16 * 1024 * 1024  # of a body as received, and of the decompressed one
CONNECT_TIMEOUT = 1.0  # s
MIN_RECONNECT_INTERVAL = 0.05  # s from one connect to the next
# While another address has not failed lately:
SHORT_CONNECT_TIMEOUT = 0.4  # s
SHORT_FIRST_TIMEOUT = 0.6  # s for the response to a poll that does not wait
TRIAL_POLLS = 5  # polls in which a preferred address must catch up with the current one, ...
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
    """Polls the address that ``sources`` selects, again and again; a subclass applies the responses.

    ``wait`` (ms) is how long the source may hold a poll; the poll fails ``response_timeout`` (s) after that.
    ``compressed``: responses may be compressed, and 503 means that the source is stale.
    ``has_alternatives``: there are several addresses. Timeouts are shorter while another one has not failed
    lately; they are not for the last usable one, as it may be slow because this machine is.
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
        self._gap = -1  # the number before a gap found by one poll
        self._connection: PollConnection | None = None
        self._trial: asyncio.Task[None] | None = None
        self._first_response = asyncio.Event()
        self._logged_stale = False  # that the current source is stale
        self._poll_unanswered = False  # since the last page was applied

    @abstractmethod
    def now(self) -> int:
        """Unix ns; monotonic."""

    @abstractmethod
    def apply(self, response: PollResponse) -> None:
        """Apply the page and set ``since``; ChangeLogError where it is invalid."""

    def poll_sent(self, at: int, wait: int) -> None:  # noqa: B027 - a subclass may need neither
        """Called ahead of each poll, at ``at`` (Unix ns); the source may hold it for ``wait`` ms."""

    def connection_failed(self, failure: WatchFailure) -> None:  # noqa: B027
        """Called when a connection has ended, however it did."""

    def read(self, body: bytes) -> dict[str, Any]:
        """Decode the page in a body; ChangeLogError where it is invalid."""
        return decode_page(body)

    @property
    def max_page_bytes(self) -> int:
        """The most bytes of a page, as received and decompressed; a longer one is an error."""
        return MAX_PAGE_BYTES

    @property
    def polled_twice(self) -> bool:
        """Whether this is the second poll from the same number: a gap in its response is permanent."""
        return self._gap == self.since

    @property
    def _stream(self) -> Stream | None:
        return self._connection.stream if self._connection is not None else None

    def set_sources(self, sources: Sources) -> None:
        """Poll these from now on. A partial response from the previous address is dropped."""
        self._sources = sources
        if self._connection is not None:
            self._connection.close()

    async def run(self) -> None:
        """Poll until cancelled. Every failure is retried, and loses nothing that was applied."""
        try:
            while True:
                await self._run_connection()
        finally:
            if self._trial is not None:
                self._trial.cancel()

    async def _run_connection(self) -> None:
        """Connect and poll until the connection fails or ends, then wait for the next connect."""
        sources = self._sources
        began_at = asyncio.get_running_loop().time()
        address = sources.select(self.now())
        self._connection = None
        try:
            # Fails where the process is out of descriptors; the follower must survive that too.
            self._connection = PollConnection.open(address)
            short = self._has_alternative(address)
            await self._connection.connect(SHORT_CONNECT_TIMEOUT if short else CONNECT_TIMEOUT)
            while await self._poll(sources):
                pass
        except Exception as error:  # noqa: BLE001 - a gateway that stops following would break the rules
            if sources is self._sources:
                log_line(f"change log: {type(error).__name__} {error}")
        finally:
            if self._connection is not None:
                address = self._connection.source
                self._connection.close()
        failure = self._connection.failure if self._connection is not None else WatchFailure.DISCONNECTED
        self._poll_unanswered |= failure is not WatchFailure.DISCONNECTED
        self.connection_failed(failure)
        # A poll that failed is retried at once, as its events count as notified by then; the minimum interval
        # is for a log that closes or refuses connections.
        if sources is self._sources:
            backoff = sources.record_failure(address, self.now())
            elapsed = asyncio.get_running_loop().time() - began_at
            await asyncio.sleep(max(0.0, MIN_RECONNECT_INTERVAL - elapsed, backoff))

    async def _poll(self, sources: Sources) -> bool:
        """Poll once; returns whether the connection stays open."""
        connection = self._connection
        assert connection is not None
        self._try_preferred(sources, connection)
        wait = min(self._wait, MAX_WAIT_MS) if self._may_wait(connection) else 0
        connection.fresh = False
        self.poll_sent(self.now(), wait)
        try:
            raw = await self._request(connection, wait)
        except Exception:
            if connection is not self._connection and sources is self._sources:
                return True  # another connection has replaced it and closed it
            raise
        if sources is not self._sources:
            return False  # the sources have changed during the poll
        if connection is not self._connection:
            return True  # the connection that has replaced it delivers these events
        if raw.head.status == SERVICE_UNAVAILABLE and self._compressed:
            if not self._logged_stale:
                log_line(
                    f"change log: {connection.source[0]}:{connection.source[1]} responded 503: not current"
                )
            self._logged_stale = True
            connection.declined()
            return False
        self._apply(sources, raw)
        connection.applied()
        return raw.head.keep_alive

    def _may_wait(self, connection: PollConnection) -> bool:
        """Whether the next poll may be held.

        The first poll is not, nor the one after an unanswered poll: its events count as notified already.
        With alternatives, neither is the first one on each connection, so that a source that accepts
        connections without responding is abandoned sooner.
        """
        if self._poll_unanswered or not self._first_response.is_set():
            return False
        return not (connection.fresh and self.has_alternatives)

    async def _request(self, connection: PollConnection, wait: int) -> RawResponse:
        polled_at = self.now()
        connection.send_poll(self.since, wait, self._compressed)
        timeout = self._timeout(connection.source, wait)
        head, body = await asyncio.wait_for(connection.read_response(self.max_page_bytes), timeout)
        return RawResponse(polled_at, connection.source, head, body)

    def _timeout(self, address: Address, wait: int) -> float:
        """Seconds in which a poll that may be held for ``wait`` ms must be answered."""
        if wait:
            return wait / 1000 + self._response_timeout
        if self._has_alternative(address):
            return SHORT_FIRST_TIMEOUT
        if self.has_alternatives or not self._first_response.is_set():
            return CONNECT_TIMEOUT
        # The only source, which may be slow: a poll that does not wait has as much time as one that does.
        return self._wait / 1000 + self._response_timeout

    def _has_alternative(self, address: Address) -> bool:
        return self.has_alternatives and self._sources.has_alternative(address)

    def _apply(self, sources: Sources, raw: RawResponse) -> None:
        if raw.head.status != OK:
            raise ChangeLogError(f"unexpected status {raw.head.status}")
        body = self._decode(raw)
        try:
            page = self.read(body)
            self.apply(PollResponse(page, raw.head, raw.polled_at, raw.source, len(raw.body)))
        except ChangeLogError as error:
            # A malformed page of one relay implies nothing about gaps in another's.
            if error.is_gap or not self._compressed:
                self._gap = self.since
            raise
        sources.record_success(raw.source, self.now())
        self._first_response.set()
        self._poll_unanswered = False
        self._logged_stale = False

    def _decode(self, raw: RawResponse) -> bytes:
        if not self._compressed:
            return raw.body
        return decompress(raw.body, raw.head.fields.get("content-encoding", ""), self.max_page_bytes)

    def _try_preferred(self, sources: Sources, connection: PollConnection) -> None:
        """Start the trial of a preferred address, if one is due; polls do not wait for it."""
        if self._trial is not None and not self._trial.done():
            return
        preferred = sources.preferred(self.now())
        if preferred is not None and preferred != connection.source:
            self._trial = asyncio.get_running_loop().create_task(self._try_address(sources, preferred))

    async def _try_address(self, sources: Sources, address: Address) -> None:
        """Poll a preferred address on a second connection, until it can replace the current one."""
        candidate: PollConnection | None = None
        try:
            candidate = PollConnection.open(address)
            await candidate.connect(SHORT_CONNECT_TIMEOUT)
            candidate.fresh = False
            for _ in range(TRIAL_POLLS):
                raw = await self._request(candidate, 0)
                if sources is not self._sources:
                    return
                if raw.head.status != OK or not raw.head.keep_alive:
                    raise ChangeLogError(f"unexpected status {raw.head.status}")
                # A source behind the current one would send a snapshot, which goes back in the log.
                if self._last_number(self.read(self._decode(raw))) >= self.since:
                    self._replace_connection(sources, candidate, raw)
                    candidate = None
                    return
                await asyncio.sleep(TRIAL_INTERVAL)
            sources.record_failure(address, self.now())
        except Exception:  # noqa: BLE001 - it is tried again later, and errors are logged once it is followed
            if sources is self._sources:
                sources.record_failure(address, self.now())
        finally:
            if candidate is not None:
                candidate.close()

    def _replace_connection(self, sources: Sources, candidate: PollConnection, raw: RawResponse) -> None:
        """Continue on the candidate with this response; the current connection's are dropped."""
        replaced, gap = self._connection, self._gap
        try:
            self._apply(sources, raw)
        except ChangeLogError:
            self._gap = gap  # this was no second poll of the source that is followed
            raise
        candidate.applied()
        self._connection = candidate
        if replaced is not None:
            replaced.close()

    @staticmethod
    def _last_number(page: dict[str, Any]) -> int:
        """The highest sequence number in the page."""
        try:
            return max([int(page.get("seq", 0)), *(int(entry["seq"]) for entry in page["results"])])
        except (KeyError, TypeError, ValueError):
            raise ChangeLogError("page has no valid sequence numbers") from None
