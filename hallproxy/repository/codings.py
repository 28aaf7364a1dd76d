"""Content codings of responses (RFC 9110, section 12.5.3): negotiation and encoding."""

from __future__ import annotations

import gzip

GZIP, IDENTITY = "gzip", "identity"
GZIP_LEVEL = 6
MIN_ENCODED_BYTES = 512  # below this, encoding saves too little for the time that it takes


def weights(field: str) -> dict[str, float]:
    """The members of a list with their q-values; an invalid q-value counts as 0."""
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
    """The coding of the response; None: the client accepts none of the supported ones."""
    if accept_encoding is None or not accept_encoding.strip():
        return IDENTITY  # without the field any coding may be sent, but old clients expect none
    accepted = weights(accept_encoding)
    wildcard = accepted.get("*")
    gzip_weight = max(accepted.get(GZIP, 0.0), accepted.get("x-gzip", 0.0)) or (
        0.0 if GZIP in accepted else wildcard or 0.0
    )
    identity_weight = accepted.get(IDENTITY, 1.0 if wildcard is None or wildcard > 0 else 0.0)
    if gzip_weight > 0 and gzip_weight >= (identity_weight if IDENTITY in accepted else 0.0):
        return GZIP
    return IDENTITY if identity_weight > 0 else None


def encode(body: bytes, coding: str) -> bytes:
    """Encode the body, deterministically: the entity tag is the digest of the encoded bytes."""
    return gzip.compress(body, GZIP_LEVEL, mtime=0) if coding == GZIP else body
