"""Routes of the second front: ordered tiers of upstreams for each project, by rule.

A project's index is asked of its route's first tier. Within a tier the upstreams are mirrors, and the
decision module chooses among them as among any stores. Only a plain "not there" of a whole tier lets the
walk go on to the next; an error, a time-out or a refusal ends it. So a private upstream that is down never
hands its names to a public one, the way of a dependency-confusion attack (a public project under a private
name). Nothing is merged across tiers: one tier's index is the answer, and the files come from that tier
alone, so the tracks and alternate locations of PEP 708 never have to be reconciled here.

Rules are matched against normal names (PEP 503): a name without wildcards is a pin and comes first; then
the pattern with the most fixed characters; then the order in the file. A project that no rule names goes to
the default route, one tier of all upstreams. The list of projects is routed as the project "".
"""

from __future__ import annotations

import hashlib
import re
from dataclasses import dataclass
from fnmatch import fnmatchcase

from cachetools import LRUCache

WILD = re.compile(r"[*?\[]")
KNOWN_MOST = 4_096  # names whose route is kept: clients ask for the same few again and again


class RouteError(ValueError):
    """A rule that can't be used: it names no project, an unknown upstream, or one upstream twice."""


@dataclass(slots=True, frozen=True)
class Tier:
    """Upstreams that mirror each other; ``part`` keeps their copies and absences apart from another tier's.

    ``part`` is 0 for the tier of all upstreams, so that a front without rules keeps what it had.
    """

    upstreams: tuple[str, ...]
    part: int


@dataclass(slots=True, frozen=True)
class Route:
    """The tiers of one project, in the order they are asked."""

    tiers: tuple[Tier, ...]
    rule: int  # the rule's place in the file; -1: the default route

    def after(self, tier: int, absent: bool) -> int | None:
        """The next tier to ask once ``tier`` has answered without an index; None: the walk is over.

        ``absent``: every upstream asked in that tier said plainly that it has no such project.
        """
        if not absent or tier + 1 >= len(self.tiers):
            return None
        return tier + 1


@dataclass(slots=True, frozen=True)
class Rule:
    """Patterns of normal project names (``fnmatch``), and the tiers that serve them, in order."""

    projects: tuple[str, ...]
    tiers: tuple[tuple[str, ...], ...]


def _part(upstreams: tuple[str, ...]) -> int:
    return int.from_bytes(hashlib.sha256("\0".join(sorted(upstreams)).encode()).digest()[:6], "big") | 1


def _fixed(pattern: str) -> int:
    return len(WILD.sub("", pattern))


class Routes:
    """All rules of one deploy file, checked against its upstreams.

    Raises ``RouteError`` for a rule that names no project or no tier, an upstream not in ``upstreams``, or
    an upstream in two tiers of one rule (it would be asked twice for one "not there").
    """

    def __init__(self, rules: tuple[Rule, ...], upstreams: tuple[str, ...]) -> None:
        known = set(upstreams)
        self.default = Route((Tier(tuple(upstreams), 0),), -1)
        self._pins: dict[str, Route] = {}
        patterns: list[tuple[int, int, str, Route]] = []  # fixed characters (negated), place, pattern
        for place, rule in enumerate(rules):
            if not rule.projects or not rule.tiers or not all(rule.tiers):
                raise RouteError(f"route {place + 1} names no project, or a tier with no upstream")
            named = [u for tier in rule.tiers for u in tier]
            if unknown := [u for u in named if u not in known]:
                raise RouteError(f"route {place + 1} names upstream {unknown[0]!r}, which is not one")
            if len(set(named)) < len(named):
                raise RouteError(f"route {place + 1} names one upstream twice")
            route = Route(tuple(self._tier(t, upstreams) for t in rule.tiers), place)
            for pattern in rule.projects:
                if WILD.search(pattern):
                    patterns.append((-_fixed(pattern), place, pattern, route))
                elif pattern in self._pins:
                    raise RouteError(f"route {place + 1} pins {pattern!r}, which another rule pins")
                else:
                    self._pins[pattern] = route
        # Patterns by what comes before their first wildcard: a name is matched only against those whose
        # beginning it shares, not walked past thousands (0.5 ms a name with 5,000 patterns).
        self._by_start: dict[str, list[tuple[int, int, str, Route]]] = {}
        for found in sorted(patterns, key=lambda found: found[:2]):
            self._by_start.setdefault(WILD.split(found[2], 1)[0], []).append(found)
        self._known: LRUCache[str, Route] = LRUCache(KNOWN_MOST)

    @staticmethod
    def _tier(upstreams: tuple[str, ...], every: tuple[str, ...]) -> Tier:
        return Tier(upstreams, 0 if sorted(upstreams) == sorted(every) else _part(upstreams))

    def route(self, project: str) -> Route:
        """The route of a normal project name ("" for the list of projects)."""
        pinned = self._pins.get(project)
        if pinned is not None:
            return pinned
        known = self._known.get(project)
        if known is not None:
            return known
        best: tuple[int, int, str, Route] | None = None
        for end in range(len(project) + 1):
            for found in self._by_start.get(project[:end], ()):
                if best is not None and found[:2] >= best[:2]:
                    break  # each list is in order: the rest of it comes after the best found
                if fnmatchcase(project, found[2]):
                    best = found
                    break
        route = self.default if best is None else best[3]
        self._known[project] = route
        return route
