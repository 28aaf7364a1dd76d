"""Byte ranges of a whole representation (RFC 9110, section 14): which bytes a request is to be given."""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum

_RANGE = re.compile(r"bytes[ \t]*=[ \t]*(.*)", re.IGNORECASE)
_ONE = re.compile(r"(\d{0,18})-(\d{0,18})")
RANGES_MOST = 16  # ranges of one request that are looked at; more are an abuse, and answered whole


class Unsatisfiable(Enum):
    """No byte of what was asked for exists (416)."""

    NONE = "none"


@dataclass(slots=True, frozen=True)
class Part:
    """Bytes from ``first`` to before ``end`` of ``size``."""

    first: int
    end: int
    size: int

    @property
    def told(self) -> str:
        """The value of Content-Range."""
        return f"bytes {self.first}-{self.end - 1}/{self.size}"


def wanted(field: str, size: int) -> Part | Unsatisfiable | None:
    """What a Range field asks for; None: answer whole.

    A field that is no byte range, or asks for several parts, is ignored, as section 14.2 lets a server do:
    many small parts would cost more than the whole. Parts that overlap or touch are one part.
    """
    found = _RANGE.fullmatch(field.strip())
    if found is None:
        return None
    spans: list[tuple[int, int]] = []
    specs = [spec.strip() for spec in found[1].split(",")]
    if len(specs) > RANGES_MOST:
        return None
    for spec in specs:
        one = _ONE.fullmatch(spec)
        if one is None or spec == "-":
            return None
        first, last = one[1], one[2]
        if not first:
            length = int(last)
            if length and size:
                spans.append((max(0, size - length), size))
        elif last and int(last) < int(first):
            return None
        elif int(first) < size:
            spans.append((int(first), min(size, int(last) + 1) if last else size))
    if not spans:
        return Unsatisfiable.NONE
    spans.sort()
    first_at, end = spans[0]
    for start, stop in spans[1:]:
        if start > end:
            return None
        end = max(end, stop)
    return Part(first_at, end, size)


def still_holds(if_range: str, tag: str) -> bool:
    """Whether If-Range lets the range be given: only for the very same strong tag (section 13.1.5).

    A date never does: files are told apart by their digest alone.
    """
    return not if_range or if_range.strip() == f'"{tag}"'
