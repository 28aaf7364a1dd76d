"""The log as it is passed on: what becomes of a page from above, when a page is cut, and who gets which."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from typing import Any

from hallproxy.feed import GROUPS, MS, FeedError, GapError
from hallproxy.feed.pages import Page, Pages, page
from hallproxy.feed.told import Entry, Told, is_whole


class Get(Enum):
    """What an asker gets."""

    PLAIN = auto()  # the events after its number
    WHOLE = auto()  # the list and all groups' purges, whatever its number
    WAIT = auto()  # nothing is new
    ABOVE = auto()  # a whole page, unless the numbers come as far as its own meanwhile
    NOTHING = auto()  # nothing can be told: its number is of no use, and no list has been told here


@dataclass(slots=True, frozen=True)
class Bounds:
    gather: int = 250 * MS  # ns that an event waits for others, at most
    ring: int = 16_384  # events held one by one
    page: int = 4_096  # events of a page
    members: int = 8_192


class Log:
    """``cut`` is the number up to which held polls have been answered; ``told.last`` may be further.

    The log's *life* goes on until it counts anew. ``former`` is the highest number held in lives before this
    one: until the numbers have passed it, one that is asked from may be of either life.
    """

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.told = self._empty()
        self.cut = 0
        self.cuts = 0  # how often that has been set
        self.life = 0
        self.former = -1
        self.pages = Pages()
        self.caught_up = False  # the last page from above left nothing out
        self._since = -1  # ns; when the first event that waits came in; -1: none waits
        self._anew: Told | None = None  # what has been told since the log was asked from 0 again
        self._jumped = False  # ...as its numbers had gone back
        self._gap = -1  # the number at which a gap stood, and was asked about again

    def _empty(self) -> Told:
        return Told(self.bounds.ring, self.bounds.members)

    def configure(self, bounds: Bounds) -> None:
        self.bounds = bounds
        for told in (self.told, self._anew):
            if told is not None:
                told.most, told.members_most = bounds.ring, bounds.members
                told.trim()

    @property
    def asks(self) -> int:
        """The number that the one above is to be asked from."""
        return (self._anew or self.told).last

    @property
    def doubtful(self) -> bool:
        """Whether a number may be of a former life."""
        return self.told.last <= self.former

    def take(self, answer: dict[str, Any], now: int) -> int:
        """Apply a page from above whole or not at all (FeedError). How many events it brought.

        A page that can't be used may yet change what is asked next: ``asks``.
        """
        try:
            results: list[Entry] = answer["results"]
            seq = int(answer["seq"]) if "seq" in answer else -1
            if not isinstance(results, list):
                raise FeedError("a page without a list of events")
        except (KeyError, TypeError, ValueError) as error:
            raise FeedError(f"a page that can't be read: {type(error).__name__} {error}") from None
        if is_whole(results):
            return self._whole(results, seq, now)
        into = self._anew or self.told
        if 0 <= seq < into.last:
            self._anew, self._jumped, self._gap = self._empty(), True, -1
            raise FeedError(f"the log counts anew: it is at {seq}, and {into.last} was held")
        before = into.last
        try:
            listed = into.take(results, gaps=self._gap == 0 == before)
        except GapError:
            self._found_gap(before)
            raise
        self._gap = -1
        self.caught_up = into.last >= seq
        if self._anew is not None:
            if self.caught_up:
                self._change(self._anew)
        elif into.last > before:
            if self._since < 0:
                self._since = now
            if listed:
                self.cut_now()
        return into.last - before

    def _found_gap(self, at: int) -> None:
        """A gap that stands when it has been asked for again sends the asker back to 0."""
        if self._gap != at:
            self._gap = at
        else:
            self._anew, self._gap = self._empty(), -1

    def _whole(self, results: list[Entry], seq: int, now: int) -> int:
        told = self._empty()
        told.last = int(results[0]["seq"]) - 1
        told.take(results[: GROUPS + 1])
        told.events = []  # they are no list of all that happened: nobody may go on from within them
        told.take(results[GROUPS + 1 :])
        self._gap = -1
        self.caught_up = told.last >= seq
        self._change(told)
        return len(results)

    def _change(self, told: Told) -> None:
        """Hold what was told anew in place of all that was held."""
        if self._jumped or told.last < self.told.last:
            self.life += 1
            self.former = max(self.former, self.told.last)
        self.told, self._anew, self._jumped = told, None, False
        self.pages.clear()
        self.cut_now()

    def due(self) -> int | None:
        """When the next page is to be cut (ns); None: nothing waits."""
        if self._since < 0 or not self.caught_up:
            return None
        return self._since + self.bounds.gather

    def cut_now(self) -> None:
        self.cut, self._since = self.told.last, -1
        self.cuts += 1

    def get(self, since: int, life: int, at_once: bool) -> Get:
        """What an asker from ``since`` gets. ``life``: the one in which it was last answered; -1: in none.

        ``at_once``: it does not wait, and gets also what has not been cut yet.
        """
        told = self.told
        if life != self.life and (life >= 0 or told.last <= self.former):
            return Get.WHOLE if told.listed else Get.NOTHING
        if since > told.last:
            if not told.listed:
                return Get.WAIT  # nothing here could be told in place of what it holds
            return Get.WHOLE if at_once else Get.ABOVE
        if since < told.first - 1:
            return Get.WHOLE if told.listed else Get.NOTHING
        return Get.PLAIN if since < (told.last if at_once else self.cut) else Get.WAIT

    def plain(self, since: int, zipped: bool, at_once: bool) -> Page:
        """What follows ``since``, as far as one page goes."""
        told = self.told
        last = told.last if at_once else self.cut
        end = min(last, since + self.bounds.page)
        return self.pages.get(
            (since, end, end < last, zipped),
            lambda: page(told.plain(since, end), last, zipped, end - since),
        )

    def whole(self, zipped: bool, at_once: bool) -> Page:
        told = self.told
        end = told.last if at_once else self.cut
        return self.pages.get(
            ("whole", end, told.purged, zipped), lambda: page(told.whole(end), end, zipped, GROUPS + 1)
        )

    def empty(self, since: int) -> Page:
        """Nothing new. A number of what has not been cut yet is no reason to think that the log went back."""
        last = self.told.last
        last = last if since > last else max(self.cut, since)
        return self.pages.get(("empty", last), lambda: page(b"", last, False, 0))
