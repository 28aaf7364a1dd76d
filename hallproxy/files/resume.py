"""Whether an interrupted download can be resumed: RFC 9110, sections 13.1.5 and 14, no I/O.

The digest of the complete file is checked at the end in any case, so resuming only saves bytes. The rest is
requested only from the same upstream and with a strong validator: otherwise it could belong to other bytes.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass

_STRONG_ETAG = re.compile(r'"[\x21\x23-\x7e]*"')
_CONTENT_RANGE = re.compile(r"bytes (\d{1,18})-(\d{1,18})/(\d{1,18}|\*)")


@dataclass(slots=True, frozen=True)
class ResumePoint:
    """Where the download of a file from one upstream was interrupted."""

    size: int  # bytes received
    host: str
    validator: str  # strong, of the complete file; empty: it has none


def strong_etag(field: str) -> str:
    """The ETag if it is a strong validator, else empty."""
    return field.strip() if _STRONG_ETAG.fullmatch(field.strip()) else ""


def resume_from(resume_point: ResumePoint | None, host: str) -> tuple[int, str]:
    """The first byte to request, and the validator; 0: request the complete file."""
    if (
        resume_point is None
        or not resume_point.size
        or not resume_point.validator
        or resume_point.host != host
    ):
        return 0, ""
    return resume_point.size, resume_point.validator


def body_offset(range_from: int, status: int, fields: Mapping[str, str], length: int) -> int | None:
    """The offset in the file at which a response's body begins; None: the response can't be used.

    An upstream that ignores the range, or has other bytes by now, responds with the complete file.
    """
    if status == 200:
        return 0
    content_range = _CONTENT_RANGE.fullmatch(fields.get("content-range", "").strip())
    if status != 206 or not range_from or content_range is None:
        return None
    first, last = int(content_range[1]), int(content_range[2])
    if first != range_from or last - first + 1 != length:
        return None
    return None if content_range[3] != "*" and last + 1 != int(content_range[3]) else first
