"""The one that the relay follows: the log, or another relay."""

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

LARGE = 1024 * 1024  # bytes of a page
ANSWER_IN = 0.25  # s past the wait that was asked for after which a poll has failed


class Upstream(Follower):
    """Puts what it hears into ``log``; ``changed`` is called behind each page that was taken."""

    def __init__(
        self,
        sources: Sources,
        wait: int,
        log: ChangeLog,
        current: Freshness,
        confirmed: ConfirmationTracker,
        now: Callable[[], int],
        changed: Callable[[], None],
    ) -> None:
        others = not isinstance(sources, SingleSource)
        super().__init__(sources, log.poll_from, wait, ANSWER_IN, compressed=True, has_alternatives=others)
        self._log, self._current, self._confirmed = log, current, confirmed
        self._clock, self._changed = now, changed
        self.where: Address | None = None  # who answered last
        self.events = self.bytes = 0

    @property
    def wait(self) -> int:
        """ms that a poll is held by the one above."""
        return self._wait

    @wait.setter
    def wait(self, wait: int) -> None:
        self._wait = wait

    def turn_to(self, sources: Sources) -> None:
        """Follow other sources from now on."""
        self.has_alternatives = not isinstance(sources, SingleSource)
        self.set_sources(sources)

    def now(self) -> int:
        """The clock (ns)."""
        return self._clock()

    def read(self, body: bytes) -> dict[str, Any]:
        """Parse a page; ChangeError if it is no JSON object."""
        large = len(body) > LARGE
        try:
            if large:
                # Hundreds of thousands of objects that are all in use: looked through again and again while
                # they are made, they would take twice the time.
                gc.disable()
            page = orjson.loads(body)
        except ValueError:
            raise ChangeLogError("the change log's answer is not JSON") from None
        finally:
            if large:
                gc.enable()
        if not isinstance(page, dict):
            raise ChangeLogError("the change log's answer is no object")
        return page

    def apply(self, response: PollResponse) -> None:
        """Apply a page to the log; ChangeError if it cannot be used."""
        log, now = self._log, self.now()
        life, before, asks = log.incarnation, log.ring.last_number, log.poll_from
        fields = response.head.fields
        via, told = via_names(fields.get("via", "")), decode_age(fields.get("age", "0"))
        try:
            self._current.check_path(via)
            came = log.apply(response.page, now)
        except FeedError as error:
            raise ChangeLogError(str(error)) from None
        finally:
            self.since = log.poll_from  # a page that can't be used may yet say where to begin anew
        if log.poll_from < asks and not log.caught_up:
            log_line(f"change log: it counts anew, {asks} was held")
        if log.incarnation != life:
            self._confirmed.reset()
        elif came and log.ring.last_number > before:
            self._confirmed.record_arrival(log.ring.last_number, came, now)
        self.where = response.source
        self.events += came
        self.bytes += response.size
        if log.caught_up:
            asked = response.polled_at
            # Held to its end with nothing to tell, and left open: it was put together no sooner than that.
            if not response.page["results"] and response.head.keep_alive and now - asked >= self._wait * MS:
                asked += self._wait * MS
            self._current.update(asked, told, via)
        self._changed()
