"""The protocol's rules, checked as the stand-ins see requests, attempts and answers. Times are Unix s.

A stand-in notes a time when its event loop comes to it, so late by the loop's lag: each limit is widened by
the rules' own 50 ms and by the largest lag of the last second.
"""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field

from hallproxy.lab.soak.plan import KEYED, ONCE

SLACK = 0.05  # s by which every time limit of the rules is longer on sockets
LAG_INTERVAL = 0.005  # s between two samples of the event loop's lag
LAG_WINDOW = 200  # samples
HEDGE_CHECK_DELAY = 0.1  # s in which the end of an attempt's connection is seen
ANSWER_GRACE = 0.5  # s past a request's time in which its answer earns nothing, but is not lost


@dataclass(eq=False)
class SentAttempt:
    """An attempt that has reached a store whole."""

    store: str
    began_at: float  # its first byte
    is_out: bool = True
    proved_not_run: bool = False


@dataclass(eq=False)
class NotifiedPurge:
    """A purge that the gateway was told of."""

    object_id: int  # 0: the whole group
    group: int
    made_at_ms: int
    notified_at: float

    def concerns(self, object_id: int, group: int) -> bool:
        """Whether the object was purged by it."""
        return self.object_id == object_id if self.object_id else self.group == group


@dataclass(eq=False)
class NamedStore:
    """A store that an attempt went to or named as its source."""

    request_id: str
    store: str
    at: float
    slack: float


@dataclass(eq=False)
class UsedCopy:
    """A copy that answered what was sent at ``asked_at``."""

    request_id: str
    object_id: int
    group: int
    born_ms: int
    asked_at: float
    slack: float


@dataclass
class Rules:
    """What has been seen, and what of it breaks a rule (``broken``, one line each).

    What counts from a notification is judged at the end: that a page has arrived shows by a later poll.
    """

    drain_grace: float
    purge_grace: float
    key_window: float
    hedging: bool
    broken: list[str] = field(default_factory=list)
    attempts: dict[str, list[SentAttempt]] = field(default_factory=dict)  # by request id
    purges: list[NotifiedPurge] = field(default_factory=list)
    _states: dict[str, list[tuple[float, bool]]] = field(default_factory=dict)  # store -> when told, leaves
    _named: list[NamedStore] = field(default_factory=list)
    _copies: list[UsedCopy] = field(default_factory=list)
    _lags: deque[float] = field(default_factory=lambda: deque(maxlen=LAG_WINDOW))

    def violate(self, rule: str, what: str) -> None:
        """Note a broken rule."""
        self.broken.append(f"{rule}: {what}")

    @property
    def slack(self) -> float:
        """s by which a limit is widened now."""
        return SLACK + max(self._lags, default=0.0)

    async def measure_lag(self) -> None:
        """Sample the lag of this event loop, for ever."""
        clock = asyncio.get_running_loop().time
        while True:
            due = clock() + LAG_INTERVAL
            await asyncio.sleep(LAG_INTERVAL)
            self._lags.append(max(0.0, clock() - due))

    def store_notified(self, store: str, leaves: bool, at: float) -> None:
        """The gateway was told at that time that the store drains or is gone, or that it is ready."""
        self._states.setdefault(store, []).append((at, leaves))

    def attempt_received(
        self, request_id: str, class_name: str, store: str, source: str, began_at: float
    ) -> SentAttempt:
        """A request has come whole to a store."""
        for name in (store, source):
            self._named.append(NamedStore(request_id, name, began_at, self.slack))
        earlier = self.attempts.setdefault(request_id, [])
        self._check_repeat(request_id, class_name, earlier, began_at)
        attempt = SentAttempt(store, began_at)
        earlier.append(attempt)
        return attempt

    def _check_repeat(
        self, request_id: str, class_name: str, earlier: list[SentAttempt], began_at: float
    ) -> None:
        possible = [one for one in earlier if not one.proved_not_run]
        if class_name == ONCE and possible:
            self.violate("repeat", f"{request_id} may have run at {possible[0].store} before")
        if class_name == KEYED and possible:
            passed = began_at - possible[0].began_at
            if passed > self.key_window + self.slack:
                self.violate(
                    "repeat", f"{request_id} is sent {passed:.3f} s after an attempt that may have run"
                )
        still_out = [one for one in earlier if one.is_out]
        if still_out and not self.hedging:
            asyncio.get_running_loop().call_later(
                HEDGE_CHECK_DELAY, self._check_given_up, request_id, still_out
            )

    def _check_given_up(self, request_id: str, attempts: list[SentAttempt]) -> None:
        if any(one.is_out for one in attempts):
            self.violate("two at once", f"{request_id} has two attempts out")

    def copy_used(self, request_id: str, object_id: int, group: int, born_ms: int, asked_at: float) -> None:
        """A copy made at ``born_ms`` answers what was sent at ``asked_at``."""
        self._copies.append(UsedCopy(request_id, object_id, group, born_ms, asked_at, self.slack))

    def judge(self) -> None:
        """Look at all that counts from a notification, once the run is over."""
        for named in self._named:
            self._judge_named(named)
        for copy in self._copies:
            self._judge_copy(copy)

    def _judge_named(self, named: NamedStore) -> None:
        leaving_since: float | None = None
        for told_at, leaves in self._states.get(named.store, ()):
            if told_at > named.at:
                break
            leaving_since = (leaving_since or told_at) if leaves else None
        if leaving_since is not None and named.at > leaving_since + self.drain_grace + named.slack:
            late = named.at - leaving_since
            self.violate("drain", f"{named.request_id} names {named.store} {late:.3f} s after its leaving")

    def _judge_copy(self, copy: UsedCopy) -> None:
        for purge in self.purges:
            notified = purge.notified_at + self.purge_grace + copy.slack < copy.asked_at
            if notified and purge.concerns(copy.object_id, copy.group) and copy.born_ms < purge.made_at_ms:
                late = copy.asked_at - purge.notified_at
                self.violate(
                    "purge", f"{copy.request_id} got a copy from before a purge told {late:.3f} s ahead"
                )
                return

    def check_rejection(self, request_id: str, class_name: str) -> None:
        """A refusal promises that a retry does no harm."""
        if class_name == ONCE and any(not one.proved_not_run for one in self.attempts.get(request_id, ())):
            self.violate("refusal", f"{request_id} was refused and may have run")
