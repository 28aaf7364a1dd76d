"""Content codings of answers (RFC 9110, section 12.5.3): which one a client takes, and the bytes in it."""

from __future__ import annotations

import gzip

GZIP, IDENTITY = "gzip", "identity"
LEVEL = 6
LEAST = 512  # bytes under which a coding saves nothing worth its time


def weights(field: str) -> dict[str, float]:
    """The members of a list with their q-values; what can't be read weighs nothing."""
    found: dict[str, float] = {}
    for part in field.split(","):
        name, *params = (p.strip().lower() for p in part.split(";"))
        weight = 1.0
        for param in params:
            if param.startswith("q="):
                try:
                    weight = float(param[2:])
                except ValueError:
                    weight = 0.0
        if name:
            found[name] = weight if 0.0 <= weight <= 1.0 else 0.0
    return found


def choose(accept_encoding: str | None) -> str | None:
    """The coding to answer in; None: the client takes none of those spoken here."""
    if accept_encoding is None or not accept_encoding.strip():
        return IDENTITY  # with no field any coding may be sent, but old clients mean none by it
    told = weights(accept_encoding)
    rest = told.get("*")
    zipped = max(told.get(GZIP, 0.0), told.get("x-gzip", 0.0)) or (0.0 if GZIP in told else rest or 0.0)
    plain = told.get(IDENTITY, 1.0 if rest is None or rest > 0 else 0.0)
    if zipped > 0 and zipped >= (plain if IDENTITY in told else 0.0):
        return GZIP
    return IDENTITY if plain > 0 else None


def encode(body: bytes, coding: str) -> bytes:
    """The body in the coding. The same bytes come out each time: the tag is theirs."""
    return gzip.compress(body, LEVEL, mtime=0) if coding == GZIP else body
