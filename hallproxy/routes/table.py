"""The routing table: finds the route of a project among the rules of a deploy file.

Rules match normalized names (PEP 503). A name without wildcards is a pin and takes precedence; then the
pattern with the most literal characters; then the order in the file. A project without a rule has the
default route, one tier of all upstreams. The list of projects is routed as the project "".
"""

from __future__ import annotations

import re
from collections.abc import Sequence
from dataclasses import dataclass
from fnmatch import fnmatchcase

from cachetools import LRUCache

from hallproxy.routes.rules import DEFAULT_PART, DEFAULT_RULE, Route, RouteError, Rule, Tier, tier_of

WILDCARD = re.compile(r"[*?\[]")
MAX_CACHED_ROUTES = 4_096  # project names


@dataclass(slots=True, frozen=True)
class _PatternRoute:
    pattern: str
    route: Route
    precedence: tuple[int, int]  # lower precedes: literal characters, negated, then the rule's index


class Routes:
    """The routes of all rules of one deploy file.

    Raises ``RouteError`` for a rule without projects or upstreams, an unknown upstream, an upstream in two
    tiers of one rule (it would be requested twice for one "not found"), or a name pinned twice.

    Attributes:
        default: the route of projects without a rule.
    """

    def __init__(self, rules: Sequence[Rule], upstreams: tuple[str, ...]) -> None:
        self.default = Route((Tier(tuple(upstreams), DEFAULT_PART),), DEFAULT_RULE)
        self._pinned: dict[str, Route] = {}
        self._cached: LRUCache[str, Route] = LRUCache(MAX_CACHED_ROUTES)
        patterns: list[_PatternRoute] = []
        for index, rule in enumerate(rules):
            _check_upstreams(rule, index, upstreams)
            route = Route(tuple(tier_of(tier, upstreams) for tier in rule.tiers), index)
            for project in rule.projects:
                if WILDCARD.search(project):
                    patterns.append(_pattern_route(project, route))
                else:
                    self._pin(project, route)
        self._patterns_by_prefix = _group_by_prefix(patterns)

    def find(self, project: str) -> Route:
        """The route of a normalized project name ("" for the list of projects)."""
        pinned = self._pinned.get(project)
        if pinned is not None:
            return pinned
        route: Route | None = self._cached.get(project)
        if route is None:
            route = self._match(project)
            self._cached[project] = route
        return route

    def _pin(self, project: str, route: Route) -> None:
        if project in self._pinned:
            raise RouteError(f"route {route.rule_index + 1} pins {project!r}, which another rule pins")
        self._pinned[project] = route

    def _match(self, project: str) -> Route:
        best: _PatternRoute | None = None
        for length in range(len(project) + 1):
            candidates = self._patterns_by_prefix.get(project[:length])
            if candidates is not None:
                best = _first_match(project, candidates, best)
        return self.default if best is None else best.route


def _check_upstreams(rule: Rule, index: int, upstreams: tuple[str, ...]) -> None:
    if not rule.projects or not rule.tiers or not all(rule.tiers):
        raise RouteError(f"route {index + 1} names no project, or a tier with no upstream")
    named = [upstream for tier in rule.tiers for upstream in tier]
    unknown = [upstream for upstream in named if upstream not in upstreams]
    if unknown:
        raise RouteError(f"route {index + 1} names upstream {unknown[0]!r}, which is not defined")
    if len(set(named)) < len(named):
        raise RouteError(f"route {index + 1} names one upstream twice")


def _pattern_route(pattern: str, route: Route) -> _PatternRoute:
    literal_characters = len(WILDCARD.sub("", pattern))
    return _PatternRoute(pattern, route, (-literal_characters, route.rule_index))


def _group_by_prefix(patterns: list[_PatternRoute]) -> dict[str, list[_PatternRoute]]:
    """Patterns by literal prefix, in order of precedence: a name is matched only where it shares one."""
    groups: dict[str, list[_PatternRoute]] = {}
    for pattern in sorted(patterns, key=lambda candidate: candidate.precedence):
        literal_prefix = WILDCARD.split(pattern.pattern, maxsplit=1)[0]
        groups.setdefault(literal_prefix, []).append(pattern)
    return groups


def _first_match(
    project: str, candidates: Sequence[_PatternRoute], best: _PatternRoute | None
) -> _PatternRoute | None:
    """The first candidate that matches and precedes ``best``; else ``best``."""
    for candidate in candidates:
        if best is not None and candidate.precedence >= best.precedence:
            return best  # the candidates are in order of precedence
        if fnmatchcase(project, candidate.pattern):
            return candidate
    return best
