"""The gateway's follower of the change log."""

from __future__ import annotations

import asyncio
from typing import Any

from hallproxy.run.change_log_follower import Follower, PollResponse
from hallproxy.run.change_log_source import SingleSource, Sources
from hallproxy.run.config import Address
from hallproxy.run.effect_runner import EffectRunner
from hallproxy.run.log import log_line
from hallproxy.state.events import WatchCaughtUp
from hallproxy.wire.changelog import ChangeLogError, decode_age, decode_events, snapshot_start

POLL_WAIT = 1_000  # ms that a poll is held; short, so that a silent log is noticed
RESPONSE_TIMEOUT = 0.25  # s past that wait after which a poll has failed
FIRST_RESPONSE_TIMEOUT = 2.0  # s; a broken log's events count as notified so long after


class Poller(Follower):
    """The gateway's follower: it dispatches new events to the reducer."""

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

    def now(self) -> int:
        """The runner's clock."""
        return self._runner.now()

    async def wait_until_current(self) -> None:
        """Wait for the first response, for ``FIRST_RESPONSE_TIMEOUT`` at most.

        Without it a gateway that was killed and started again could send a request to an endpoint that was
        announced as leaving before: the configuration may lack those events.
        """
        try:
            await asyncio.wait_for(self._first_response.wait(), FIRST_RESPONSE_TIMEOUT)
        except TimeoutError:
            self._first_response.set()
            log_line(
                f"change log: no answer in {FIRST_RESPONSE_TIMEOUT:g} s, "
                "beginning with what the configuration knows"
            )

    def reconfigure(
        self, source: Address | Sources, known: dict[str, Any], has_alternatives: bool = False
    ) -> None:
        """Follow the log at its new addresses from now on, from the last event applied.

        The rest of a response from the former address is dropped.
        """
        try:
            self._dispatch_events(known, False, live=False)
        except ChangeLogError as error:  # `known` may start after `since`: the log has the rest
            log_line(f"change log: {error}")
        sources = _sources(source)
        if sources != self._sources:
            self.has_alternatives = has_alternatives
            self.set_sources(sources)

    def apply(self, response: PollResponse) -> None:
        """Dispatch the page's new events; ChangeLogError where it can't be used."""
        age_ns = decode_age(response.head.fields.get("age", "0")) if self._compressed else 0
        self._dispatch_events(response.page, self.polled_twice)
        # A response with events may have been made at the moment of the poll.
        self._runner.dispatch(WatchCaughtUp(response.polled_at - age_ns))

    def _dispatch_events(self, page: dict[str, Any], allow_gaps: bool, live: bool = True) -> None:
        """Dispatch the new events, each completely or not at all; of a snapshot page all or none."""
        state = self._runner.state
        first = snapshot_start(page) if live else None
        since = self.since if first is None else first
        events = decode_events(page, since, state.settings, self._runner.now(), allow_gaps, live)
        for seq, event in events if first is None else list(events):
            if event is not None:
                self._runner.dispatch(event)
            self.since = seq


def _sources(source: Address | Sources) -> Sources:
    return SingleSource(source) if isinstance(source, tuple) else source
