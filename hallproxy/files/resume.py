"""Whether a transfer that broke off goes on where it stopped: RFC 9110, sections 13.1.5 and 14, no I/O.

The digest of the whole is checked at the end in any case. What is decided here only saves bytes: a part is
asked for on from the same upstream alone, and by a strong validator, or its rest would belong to other bytes.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass

_STRONG = re.compile(r'"[\x21\x23-\x7e]*"')
_RANGE = re.compile(r"bytes (\d{1,18})-(\d{1,18})/(\d{1,18}|\*)")


@dataclass(slots=True, frozen=True)
class Part:
    """The beginning of a file, as it came from one upstream."""

    size: int
    host: str
    validator: str  # of the whole it belongs to; empty: none that is strong


def strong(field: str) -> str:
    """An ETag that stands for the very bytes; empty: it does not."""
    return field.strip() if _STRONG.fullmatch(field.strip()) else ""


def on_from(part: Part | None, host: str) -> tuple[int, str]:
    """From which byte to ask, and by which validator; 0: for the whole."""
    if part is None or not part.size or not part.validator or part.host != host:
        return 0, ""
    return part.size, part.validator


def begins_at(asked_from: int, status: int, fields: Mapping[str, str], length: int) -> int | None:
    """The byte that an answer's body begins at; None: it is of no use here.

    An upstream that ignores the range, or holds other bytes by now, answers with the whole.
    """
    if status == 200:
        return 0
    told = _RANGE.fullmatch(fields.get("content-range", "").strip())
    if status != 206 or not asked_from or told is None:
        return None
    first, last = int(told[1]), int(told[2])
    if first != asked_from or last - first + 1 != length:
        return None
    return None if told[3] != "*" and last + 1 != int(told[3]) else first
