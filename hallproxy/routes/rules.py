"""Rules of the deploy file and the routes they make: ordered tiers of upstreams.

A project's index is requested from the first tier of its route. Within a tier the upstreams mirror each
other, and the decision module chooses among them as among any endpoints. Only if all of a tier report that
the project is not found is the next tier tried; an error, a timeout or a rejection ends the search. So the
failure of a private upstream never exposes its names to a public one, which would allow dependency
confusion attacks. Nothing is merged across tiers: the index of one tier is the response, and files come
from that tier alone, so that tracks and alternate locations (PEP 708) need not be reconciled.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

DEFAULT_RULE = -1  # the rule index of the default route
DEFAULT_PART = 0  # of the tier of all upstreams, so that a front without rules keeps its cache entries
PART_BYTES = 6  # bytes of the digest that make a tier's part number


class RouteError(ValueError):
    """A routing rule is invalid."""


@dataclass(slots=True, frozen=True)
class Rule:
    """Patterns of normalized project names (``fnmatch``), and the tiers that serve them, in order."""

    projects: tuple[str, ...]
    tiers: tuple[tuple[str, ...], ...]


@dataclass(slots=True, frozen=True)
class Tier:
    """Upstreams that mirror each other.

    Attributes:
        part: the part of the cached object, which separates this tier's entries from those of other tiers.
    """

    upstreams: tuple[str, ...]
    part: int


@dataclass(slots=True, frozen=True)
class Route:
    """The tiers of a project, in the order they are tried.

    Attributes:
        rule_index: the rule's position in the file; ``DEFAULT_RULE``: no rule.
    """

    tiers: tuple[Tier, ...]
    rule_index: int

    def next_tier(self, tier: int, *, not_found: bool) -> int | None:
        """The tier to try after ``tier`` gave no index; None: there is none.

        ``not_found``: every upstream requested in that tier reported that it has no such project.
        """
        if not not_found or tier + 1 >= len(self.tiers):
            return None
        return tier + 1


def tier_of(upstreams: tuple[str, ...], all_upstreams: tuple[str, ...]) -> Tier:
    """The tier of these upstreams, whatever their order."""
    if sorted(upstreams) == sorted(all_upstreams):
        return Tier(upstreams, DEFAULT_PART)
    digest = hashlib.sha256("\0".join(sorted(upstreams)).encode()).digest()
    return Tier(upstreams, int.from_bytes(digest[:PART_BYTES], "big") | 1)  # never the default part
