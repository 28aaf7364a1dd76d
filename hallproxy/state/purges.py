"""What was purged and when, for as long as an older copy may still be in a cache or in transit."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import NamedTuple

from hallproxy import interface as i
from hallproxy.state.units import SECOND

MAX_PURGES = 8_192  # of objects, and as many of groups; beyond that the oldest raises the watermark
FILL_HOPS = 2  # fills behind an endpoint: a parent fills it, and the origin fills the parent
EXPIRED_PER_EVENT = 2  # purges checked in each table per event: more than the one that an event may add
CLOCK_ALLOWANCE = SECOND  # ns by which clocks may differ, as the router assumes


class PurgeTimes(NamedTuple):
    """The times (ns) of a purge.

    ``purged_at``: of the purge itself. ``age_counted_from``: from when the ages of endpoints' copies are
    counted. ``expiry_counted_from``: when this process was notified, or ``age_counted_from`` if later.
    """

    purged_at: int
    age_counted_from: int
    expiry_counted_from: int


NEVER = PurgeTimes(0, 0, 0)


class Durations(NamedTuple):
    """The settings (ns) that a purge's expiry depends on.

    ``purge_duration``: the time after which no cache has an older copy; 0: unbounded.
    """

    purge_duration: int
    longest_deadline: int

    def retention(self) -> int:
        """How long (ns) a purge is kept after the time that its expiry is counted from."""
        return self.purge_duration + CLOCK_ALLOWANCE + FILL_HOPS * self.longest_deadline


@dataclass(slots=True)
class PurgeTable:
    """Purges by object and by group, and the purge watermark.

    ``watermark`` combines the unexpired purges evicted from full tables: it applies to every object.

    The retention of a purge is ``purge_duration``, the clock allowance and ``FILL_HOPS`` times the longest
    deadline, counted from ``expiry_counted_from``. It expires after that, once all attempts in flight were
    started later still. No older copy can be received then:

    - After ``purge_duration`` no endpoint, parent or intermediate cache has one.
    - What they sent just before may still fill others. Each fill is made for an attempt and ends with it,
      within the longest deadline. A second fill may join one of that length at its end: the first is from the
      origin to a parent, the second from there to an endpoint. Not covered: fills of several deadlines, for
      one of the rare clients that wait that long.
    - The last hop, from the endpoint to this process, is the attempt itself. No deadline bounds it, as the
      response may stay unread for longer (a process that was stopped, a client with a longer deadline): a
      purge is kept while any attempt is in flight that was started before the fills ended.
    - Local cache entries from before the purge were removed when it was notified (``LocalCache.purge``),
      stale ones included, and none is added while it is kept. A revalidation (304) takes its bytes from a
      local entry, so from one that was added after the purge.

    If ``purge_duration`` is 0, no purge expires. New settings apply from the reload: as long as a copy from
    before it may still be cached, the longer of both durations apply.
    """

    objects: OrderedDict[int, PurgeTimes] = field(default_factory=OrderedDict)
    groups: OrderedDict[int, PurgeTimes] = field(default_factory=OrderedDict)
    watermark: PurgeTimes = NEVER
    max_entries: int = MAX_PURGES
    _durations: Durations = Durations(0, 0)
    _longer_durations: Durations = Durations(0, 0)  # those that apply until ``_longer_until``
    _longer_until: int = 0  # ns
    _retention: int = 0  # ns; of ``_durations``, as it is needed for each event
    _longer_retention: int = 0  # ns; of ``_longer_durations``
    _oldest_attempt_at: int = 0  # ns; all attempts in flight were started then or later

    def configure(self, settings: i.Settings, now: int) -> None:
        """Apply the settings' durations, at the start or at a reload."""
        old = self._longer_durations if now < self._longer_until else self._durations
        longest_deadline = max((cls.deadline for cls in settings.classes), default=0)
        new = Durations(settings.purge_duration, longest_deadline)
        self._durations = new
        self._longer_durations = Durations(
            max(old.purge_duration, new.purge_duration), max(old.longest_deadline, new.longest_deadline)
        )
        self._retention = new.retention()
        self._longer_retention = self._longer_durations.retention()
        self._longer_until = now + self._longer_retention

    def add(
        self, object_id: int, group: int, purged_at: int, age_counted_from: int = 0, notified_at: int = 0
    ) -> None:
        """Record the purge of an object, or with object 0 of its whole group (times in ns)."""
        age_counted_from = max(purged_at, age_counted_from)
        times = PurgeTimes(purged_at, age_counted_from, max(age_counted_from, notified_at))
        table, key = (self.objects, object_id) if object_id else (self.groups, group)
        table[key] = _latest(times, table.pop(key, NEVER))
        while len(table) > self.max_entries:
            evicted = table.popitem(last=False)[1]
            # An expired purge must not raise the watermark: valid copies would count as purged.
            if not self._is_expired(evicted):
                self.watermark = _latest(self.watermark, evicted)

    def expire(self, now: int, oldest_attempt_at: int) -> None:
        """Remove expired purges, a few at a time.

        All attempts in flight were started at ``oldest_attempt_at`` (ns) or later. A purge whose own time is
        still ahead of ``now`` (ns) moves to the end of its table, as the others expire before it.
        """
        self._oldest_attempt_at = oldest_attempt_at
        for table in (self.objects, self.groups):
            for _ in range(min(EXPIRED_PER_EVENT, len(table))):
                oldest = next(iter(table))
                if table[oldest].expiry_counted_from > now:
                    table.move_to_end(oldest)
                elif self._is_expired(table[oldest]):
                    del table[oldest]
                else:
                    break
        if self.watermark is not NEVER and self._is_expired(self.watermark):
            self.watermark = NEVER

    def purged_at(self, object_id: int, group: int) -> int:
        """When (ns) the object was last purged, itself or with its group; 0: never, or expired."""
        of_object = self.objects.get(object_id, NEVER).purged_at
        of_group = self.groups.get(group, NEVER).purged_at
        return max(of_object, of_group, self.watermark.purged_at)

    def age_counted_from(self, object_id: int, group: int) -> int:
        """From when (ns) the age of an endpoint's copy is counted; 0: never purged, or expired."""
        of_object = self.objects.get(object_id, NEVER).age_counted_from
        of_group = self.groups.get(group, NEVER).age_counted_from
        return max(of_object, of_group, self.watermark.age_counted_from)

    def _is_expired(self, times: PurgeTimes) -> bool:
        if not self._durations.purge_duration:
            return False
        longer = self._oldest_attempt_at < self._longer_until
        retention = self._longer_retention if longer else self._retention
        return self._oldest_attempt_at - times.expiry_counted_from > retention


def _latest(a: PurgeTimes, b: PurgeTimes) -> PurgeTimes:
    return PurgeTimes(
        max(a.purged_at, b.purged_at),
        max(a.age_counted_from, b.age_counted_from),
        max(a.expiry_counted_from, b.expiry_counted_from),
    )
