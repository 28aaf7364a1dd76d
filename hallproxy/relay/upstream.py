"""The relay's follower of its upstream: the change log, or another relay."""

from __future__ import annotations

import gc
from collections.abc import Callable
from typing import Any

import orjson

from hallproxy.feed import MS, FeedError
from hallproxy.feed.change_log import ChangeLog
from hallproxy.feed.confirmation import ConfirmationTracker
from hallproxy.feed.freshness import Freshness, via_names
from hallproxy.run.change_log_follower import Follower, PollResponse
from hallproxy.run.change_log_source import SingleSource, Sources
from hallproxy.run.config import Address
from hallproxy.run.log import log_line
from hallproxy.wire.changelog import ChangeLogError, decode_age

LARGE_PAGE_BYTES = 1024 * 1024
RESPONSE_TIMEOUT = 0.25  # s past the requested wait after which a poll has failed


class Upstream(Follower):
    """Applies upstream pages to ``log`` and calls ``on_applied`` after each."""

    def __init__(
        self,
        sources: Sources,
        wait: int,
        log: ChangeLog,
        freshness: Freshness,
        confirmations: ConfirmationTracker,
        now: Callable[[], int],
        on_applied: Callable[[], None],
    ) -> None:
        has_alternatives = not isinstance(sources, SingleSource)
        super().__init__(
            sources, log.poll_from, wait, RESPONSE_TIMEOUT, compressed=True, has_alternatives=has_alternatives
        )
        self._log, self._freshness, self._confirmations = log, freshness, confirmations
        self._clock, self._on_applied = now, on_applied
        self.last_source: Address | None = None  # of the last page applied
        self.event_count = self.byte_count = 0

    @property
    def wait(self) -> int:
        """The time (ms) that the upstream may let a poll wait."""
        return self._wait

    @wait.setter
    def wait(self, wait: int) -> None:
        self._wait = wait

    def switch_sources(self, sources: Sources) -> None:
        """Poll other sources from now on."""
        self.has_alternatives = not isinstance(sources, SingleSource)
        self.set_sources(sources)

    def now(self) -> int:
        """The clock (ns)."""
        return self._clock()

    def read(self, body: bytes) -> dict[str, Any]:
        """Parse a page; ChangeLogError if it is not a JSON object."""
        large = len(body) > LARGE_PAGE_BYTES
        try:
            if large:
                # A page may have hundreds of thousands of objects, all in use: collections that traverse them
                # during parsing would double its time.
                gc.disable()
            page = orjson.loads(body)
        except ValueError:
            raise ChangeLogError("change log page is not JSON") from None
        finally:
            if large:
                gc.enable()
        if not isinstance(page, dict):
            raise ChangeLogError("change log page is not a JSON object")
        return page

    def apply(self, response: PollResponse) -> None:
        """Apply a page to the log; ChangeLogError if it can't be used."""
        log, now = self._log, self.now()
        former_incarnation, previous_last, polled_from = log.incarnation, log.ring.last_number, log.poll_from
        fields = response.head.fields
        via, age = via_names(fields.get("via", "")), decode_age(fields.get("age", "0"))
        try:
            self._freshness.check_path(via)
            new_events = log.apply(response.page, now)
        except FeedError as error:
            raise ChangeLogError(str(error)) from None
        finally:
            self.since = log.poll_from  # a rejected page may change the number to poll from
        if log.poll_from < polled_from and not log.caught_up:
            log_line(f"change log: event numbers went back; {polled_from} was the last applied")
        if log.incarnation != former_incarnation:
            self._confirmations.reset()
        elif new_events and log.ring.last_number > previous_last:
            self._confirmations.record_arrival(log.ring.last_number, new_events, now)
        self.last_source = response.source
        self.event_count += new_events
        self.byte_count += response.size
        if log.caught_up:
            generated_at = response.polled_at
            # An empty page after the full wait, on a connection that stays open, was generated at its end.
            if (
                not response.page["results"]
                and response.head.keep_alive
                and now - generated_at >= self._wait * MS
            ):
                generated_at += self._wait * MS
            self._freshness.update(generated_at, age, via)
        self._on_applied()
