"""The gateway's follower of the change log."""

from __future__ import annotations

import asyncio
from typing import Any

from hallproxy.run.change_log_follower import Follower, PollResponse
from hallproxy.run.change_log_source import SingleSource, Sources
from hallproxy.run.config import Address
from hallproxy.run.effect_runner import EffectRunner
from hallproxy.run.log import log_line
from hallproxy.state.events import PurgeNotified, WatchCaughtUp, WatchFailed, WatchFailure, WatchPolled
from hallproxy.state.units import MS, SECOND
from hallproxy.wire.changelog import GROUP_COUNT, ChangeLogError, decode_age, decode_events, snapshot_start

POLL_WAIT = 1_000  # ms that a poll is held; short, so that a log that has stopped is detected
RESPONSE_TIMEOUT = 0.25  # s after that wait at which a poll has failed
MAX_BEHIND = SECOND  # ns for which a log may lack events that have been applied
FIRST_RESPONSE_TIMEOUT = 2.0  # s after which the events of a log that has failed count as notified


class Poller(Follower):
    """The gateway's follower, which dispatches new events to the reducer."""

    def __init__(
        self,
        runner: EffectRunner,
        source: Address | Sources,
        since: int,
        has_alternatives: bool = False,
    ) -> None:
        sources = _sources(source)
        compressed = not isinstance(sources, SingleSource)
        super().__init__(sources, since, POLL_WAIT, RESPONSE_TIMEOUT, compressed, has_alternatives)
        self._runner = runner
        self._behind_since: int | None = None  # Unix ns; None: the log has the last event applied

    def now(self) -> int:
        """The runner's clock."""
        return self._runner.now()

    @property
    def max_page_bytes(self) -> int:
        """The gateway's limit, which its memory sets."""
        return self._runner.state.limits.page_bytes

    async def wait_until_current(self) -> None:
        """Wait for the first response, for at most ``FIRST_RESPONSE_TIMEOUT``.

        Otherwise a restarted gateway could send a request to an endpoint already announced as leaving: the
        configuration may lack that event.
        """
        try:
            await asyncio.wait_for(self._first_response.wait(), FIRST_RESPONSE_TIMEOUT)
        except TimeoutError:
            self._first_response.set()
            log_line(
                f"change log: no response within {FIRST_RESPONSE_TIMEOUT:g} s; "
                "starting with the events in the configuration"
            )

    def reconfigure(
        self, source: Address | Sources, known: dict[str, Any], has_alternatives: bool = False
    ) -> None:
        """Follow the log at its new addresses, from the last event applied.

        A partial response from the previous address is dropped.
        """
        try:
            self._dispatch_events(known, False, live=False)
        except ChangeLogError as error:  # `known` may start after `since`: the log has the missing events
            log_line(f"change log: {error}")
        sources = _sources(source)
        if sources != self._sources:
            self.has_alternatives = has_alternatives
            self.set_sources(sources)

    def apply(self, response: PollResponse) -> None:
        """Dispatch the page's new events; ChangeLogError where it is invalid."""
        age_ns = decode_age(response.head.fields.get("age", "0")) if self._compressed else 0
        self._dispatch_events(response.page, self.polled_twice)
        # The response may have been generated as early as when the poll was sent.
        self._runner.dispatch(WatchCaughtUp(response.polled_at - age_ns))

    def poll_sent(self, at: int, wait: int) -> None:
        """Dispatch that the change log is polled."""
        self._runner.dispatch(WatchPolled(at, wait * MS))

    def connection_failed(self, failure: WatchFailure) -> None:
        """Dispatch that the change log is not heard any more."""
        failed_at = self.now()
        if self._compressed:
            # A relay: the change log may have failed at any time since it was last heard.
            failed_at = min(failed_at, self._runner.state.watch.caught_up_at)
        self._runner.dispatch(WatchFailed(failed_at, failure))

    def _dispatch_events(self, page: dict[str, Any], allow_gaps: bool, live: bool = True) -> None:
        """Dispatch the new events, each entirely or not at all; those of a snapshot page all or none."""
        state = self._runner.state
        if live and not self._compressed:
            self._check_incarnation(page)
        first = snapshot_start(page) if live else None
        since = self.since if first is None else first
        events = decode_events(page, since, state.settings, self._runner.now(), allow_gaps, live)
        for seq, event in events if first is None else list(events):
            if event is not None:
                self._runner.dispatch(event)
            self.since = seq

    def _check_incarnation(self, page: dict[str, Any]) -> None:
        """ChangeLogError for a page of a log that has fewer events than have been applied.

        It may be a copy of the log that is behind for a moment. One that stays behind counts anew: it is
        followed from its first event, and all copies count as purged, as purges of the former log may have
        been missed. Relays send a snapshot instead.
        """
        last = page.get("seq")
        if not isinstance(last, int) or last >= self.since:
            self._behind_since = None
            return
        now = self.now()
        if self._behind_since is None:
            self._behind_since = now
        if now - self._behind_since >= MAX_BEHIND:
            log_line(f"change log: counts anew, has {last} events; {self.since} was the last applied")
            self.since, self._behind_since = 0, None
            for group in range(GROUP_COUNT):
                self._runner.dispatch(PurgeNotified(now, 0, group, now))
        raise ChangeLogError(f"log has {last} events, and {self.since} have been applied")


def _sources(source: Address | Sources) -> Sources:
    return SingleSource(source) if isinstance(source, tuple) else source
