"""The protocol's rules, checked on what the stand-ins observe. Times are in Unix seconds.

A stand-in records a time late by the lag of its event loop. Each limit is therefore extended by the 50 ms
that the rules allow and by the largest lag of the last second.
"""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field

from hallproxy.lab.soak.plan import KEYED_CLASS, ONCE_CLASS

SLACK = 0.05  # s that the rules add to every time limit on sockets
LAG_INTERVAL = 0.005  # s between samples of the event loop's lag
LAG_WINDOW = 200  # samples
HEDGE_CHECK_DELAY = 0.1  # s until the close of an abandoned attempt's connection is seen
RESPONSE_GRACE = 0.5  # s after its deadline in which a response is useless but not counted as lost


@dataclass(eq=False)
class SentAttempt:
    """An attempt that a store has received completely."""

    store: str
    began_at: float  # arrival of its first byte
    in_flight: bool = True
    proved_not_run: bool = False


@dataclass(eq=False)
class NotifiedPurge:
    """A purge that the gateway was notified of."""

    object_id: int  # 0: the whole group
    group: int
    made_at_ms: int
    notified_at: float

    def covers(self, object_id: int, group: int) -> bool:
        """Whether the purge covers the object."""
        return self.object_id == object_id if self.object_id else self.group == group


@dataclass(eq=False)
class StoreUse:
    """The use of a store by an attempt, as its target or its source."""

    request_id: str
    store: str
    at: float
    slack: float


@dataclass(eq=False)
class UsedCopy:
    """A copy that answered a request sent at ``requested_at``."""

    request_id: str
    object_id: int
    group: int
    generated_at_ms: int
    requested_at: float
    slack: float


@dataclass
class Rules:
    """Records observations and the rule violations among them (``violations``, one line each).

    Limits that count from a notification are checked after the run: only a later poll proves that a page
    arrived.
    """

    drain_grace: float
    purge_grace: float
    key_window: float
    hedging: bool
    violations: list[str] = field(default_factory=list)
    attempts: dict[str, list[SentAttempt]] = field(default_factory=dict)  # by request id
    purges: list[NotifiedPurge] = field(default_factory=list)
    _notified_states: dict[str, list[tuple[float, bool]]] = field(
        default_factory=dict
    )  # store -> (at, leaving)
    _store_uses: list[StoreUse] = field(default_factory=list)
    _copies: list[UsedCopy] = field(default_factory=list)
    _lags: deque[float] = field(default_factory=lambda: deque(maxlen=LAG_WINDOW))

    def violate(self, rule: str, what: str) -> None:
        """Record a rule violation."""
        self.violations.append(f"{rule}: {what}")

    @property
    def slack(self) -> float:
        """Seconds by which a limit is currently extended."""
        return SLACK + max(self._lags, default=0.0)

    async def measure_lag(self) -> None:
        """Sample the lag of this event loop until cancelled."""
        clock = asyncio.get_running_loop().time
        while True:
            expected_at = clock() + LAG_INTERVAL
            await asyncio.sleep(LAG_INTERVAL)
            self._lags.append(max(0.0, clock() - expected_at))

    def store_notified(self, store: str, leaving: bool, at: float) -> None:
        """Record when the gateway was notified that a store is leaving (draining or gone) or ready."""
        self._notified_states.setdefault(store, []).append((at, leaving))

    def attempt_received(
        self, request_id: str, class_name: str, store: str, source: str, began_at: float
    ) -> SentAttempt:
        """Record an attempt that a store has received completely."""
        for name in (store, source):
            self._store_uses.append(StoreUse(request_id, name, began_at, self.slack))
        earlier = self.attempts.setdefault(request_id, [])
        self._check_repeat(request_id, class_name, earlier, began_at)
        attempt = SentAttempt(store, began_at)
        earlier.append(attempt)
        return attempt

    def _check_repeat(
        self, request_id: str, class_name: str, earlier: list[SentAttempt], began_at: float
    ) -> None:
        may_have_run = [attempt for attempt in earlier if not attempt.proved_not_run]
        if class_name == ONCE_CLASS and may_have_run:
            self.violate("repeat", f"{request_id} may have run at {may_have_run[0].store} before")
        if class_name == KEYED_CLASS and may_have_run:
            elapsed = began_at - may_have_run[0].began_at
            if elapsed > self.key_window + self.slack:
                self.violate(
                    "repeat", f"{request_id} is sent {elapsed:.3f} s after an attempt that may have run"
                )
        concurrent = [attempt for attempt in earlier if attempt.in_flight]
        if concurrent and not self.hedging:
            asyncio.get_running_loop().call_later(
                HEDGE_CHECK_DELAY, self._check_abandoned, request_id, concurrent
            )

    def _check_abandoned(self, request_id: str, attempts: list[SentAttempt]) -> None:
        if any(attempt.in_flight for attempt in attempts):
            self.violate("two at once", f"{request_id} has two attempts in flight")

    def copy_used(
        self, request_id: str, object_id: int, group: int, generated_at_ms: int, requested_at: float
    ) -> None:
        """Record that a copy made at ``generated_at_ms`` answered a request sent at ``requested_at``."""
        self._copies.append(UsedCopy(request_id, object_id, group, generated_at_ms, requested_at, self.slack))

    def check_notified(self) -> None:
        """Check the limits that count from a notification, after the run."""
        for use in self._store_uses:
            self._check_store_use(use)
        for copy in self._copies:
            self._check_copy(copy)

    def _check_store_use(self, use: StoreUse) -> None:
        leaving_since: float | None = None
        for notified_at, leaving in self._notified_states.get(use.store, ()):
            if notified_at > use.at:
                break
            leaving_since = (leaving_since or notified_at) if leaving else None
        if leaving_since is not None and use.at > leaving_since + self.drain_grace + use.slack:
            late = use.at - leaving_since
            self.violate(
                "drain",
                f"{use.request_id} uses {use.store} {late:.3f} s after the notification that it leaves",
            )

    def _check_copy(self, copy: UsedCopy) -> None:
        for purge in self.purges:
            notified = purge.notified_at + self.purge_grace + copy.slack < copy.requested_at
            if (
                notified
                and purge.covers(copy.object_id, copy.group)
                and copy.generated_at_ms < purge.made_at_ms
            ):
                late = copy.requested_at - purge.notified_at
                self.violate(
                    "purge", f"{copy.request_id} got a copy older than a purge notified {late:.3f} s earlier"
                )
                return

    def check_rejection(self, request_id: str, class_name: str) -> None:
        """Check that a rejected request did not run: a rejection promises that a retry is safe."""
        if class_name == ONCE_CLASS and any(
            not attempt.proved_not_run for attempt in self.attempts.get(request_id, ())
        ):
            self.violate("refusal", f"{request_id} was rejected but may have run")
