"""Byte ranges of a complete representation (RFC 9110, section 14)."""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum

_RANGE = re.compile(r"bytes[ \t]*=[ \t]*(.*)", re.IGNORECASE)
_RANGE_SPEC = re.compile(r"(\d{0,18})-(\d{0,18})")
MAX_RANGES = 16  # of one request; more are an abuse, and get the complete representation


class Unsatisfiable(Enum):
    """No requested byte exists (416)."""

    NONE = "none"


@dataclass(slots=True, frozen=True)
class ByteRange:
    """The bytes from ``first`` up to but not including ``end``, of ``size``."""

    first: int
    end: int
    size: int

    @property
    def content_range(self) -> str:
        """The value of Content-Range."""
        return f"bytes {self.first}-{self.end - 1}/{self.size}"


def requested_range(field: str, size: int) -> ByteRange | Unsatisfiable | None:
    """The range that a Range field requests; None: the complete representation.

    A field that is no byte range, or requests disjoint ranges, is ignored, as section 14.2 lets a server do:
    many small ranges would cost more than the complete body. Ranges that overlap or adjoin are merged.
    """
    found = _RANGE.fullmatch(field.strip())
    if found is None:
        return None
    spans: list[tuple[int, int]] = []
    specs = [spec.strip() for spec in found[1].split(",")]
    if len(specs) > MAX_RANGES:
        return None
    for spec in specs:
        bounds = _RANGE_SPEC.fullmatch(spec)
        if bounds is None or spec == "-":
            return None
        first, last = bounds[1], bounds[2]
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
    start_of_first, end = spans[0]
    for start, stop in spans[1:]:
        if start > end:
            return None
        end = max(end, stop)
    return ByteRange(start_of_first, end, size)


def if_range_matches(if_range: str, tag: str) -> bool:
    """Whether If-Range allows a partial response: only for the same strong tag (section 13.1.5).

    A date never does: files are distinguished by their digest alone.
    """
    return not if_range or if_range.strip() == f'"{tag}"'
