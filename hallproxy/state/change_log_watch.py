"""Since when the gateway may have missed changes, and from when those count as notified."""

from __future__ import annotations

from dataclasses import dataclass

from hallproxy.state.events import WatchFailure
from hallproxy.state.units import SECOND

NOTIFIED_AFTER_FAILURE = 2 * SECOND  # after a break, or after the wait of a poll that stays unanswered
MAX_SILENCE = 5 * SECOND  # after which missed changes are assumed, less than the protocol's 7 s in any case
NEVER = 1 << 62  # ns


@dataclass(slots=True)
class ChangeLogWatch:
    """What is known of the change log. Changes after ``caught_up_at`` may exist without being received.

    The protocol says when such a change counts as notified all the same: ``NOTIFIED_AFTER_FAILURE`` after a
    break, or after the end of the wait that a poll asked for, and at once when the gateway polls again after
    a poll that was not answered. From ``notified_at`` on, whatever an unreceived change may forbid must not
    be done.

    Attributes:
        caught_up_at: ns; all changes until then have been applied; 0: there is no change log.
        notified_at: ns; the earliest time at which an unreceived change may count as notified.
        cut_off_at: ns; when the first response since ``caught_up_at`` was received in part; 0: none was. What
            it would have told was in the change log by then.
    """

    caught_up_at: int = 0
    notified_at: int = NEVER
    cut_off_at: int = 0
    _failed_at: int = 0  # ns; the latest failure since ``caught_up_at``; 0: none
    _poll_unanswered: bool = False  # a poll since ``caught_up_at`` has failed

    def caught_up(self, at: int) -> None:
        """Record that all changes until ``at`` have been applied; ignored if a failure was later."""
        self.caught_up_at = max(self.caught_up_at, at)
        if at < self._failed_at:
            return
        self.notified_at = self.caught_up_at + MAX_SILENCE
        self.cut_off_at = self._failed_at = 0
        self._poll_unanswered = False

    def polled(self, at: int, wait: int, grace: int) -> None:
        """Record a poll that the change log may hold for ``wait`` ns.

        ``grace`` (ns): for which a change that counts as notified need not be obeyed, and in which a poll
        that does not wait is answered.
        """
        self._expect(at + wait + NOTIFIED_AFTER_FAILURE)
        if self._poll_unanswered:
            self._expect(at + grace)

    def failed(self, at: int, failure: WatchFailure) -> None:
        """Record that the change log is not heard from ``at`` on."""
        self._expect(at + NOTIFIED_AFTER_FAILURE)
        self._failed_at = max(self._failed_at, at)
        self._poll_unanswered |= failure is not WatchFailure.DISCONNECTED
        if failure is WatchFailure.CUT_OFF and not self.cut_off_at:
            self.cut_off_at = at

    def _expect(self, notified_at: int) -> None:
        self.notified_at = min(self.notified_at, notified_at)

    def may_have_missed_changes(self, now: int) -> bool:
        """Whether a change that was not received may count as notified."""
        return self.caught_up_at > 0 and now > self.notified_at

    def missed_changes_until(self, now: int) -> int:
        """The time (ns) until which there were changes that count as notified and were cut off; 0: none."""
        return self.cut_off_at if self.may_have_missed_changes(now) else 0
