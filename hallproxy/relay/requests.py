"""Followers' requests: polls of the change log, and requests for the status."""

from __future__ import annotations

import re
from dataclasses import dataclass
from urllib.parse import parse_qs, urlsplit

from hallproxy.wire.http1 import Head

MAX_QUERY_FIELDS = 8
MAX_NUMBER_DIGITS = 18

# Matches a read that is exactly one head as followers send it; other requests are parsed in full.
COMMON_POLL = re.compile(
    rb"GET /changes\?since=(\d{1,18})&timeout=(\d{1,9}) HTTP/1\.1\r\n"
    rb"Host: [!-~]{1,255}\r\n(Accept-Encoding: gzip\r\n)?\r\n"
)


@dataclass(slots=True, frozen=True)
class Poll:
    """A poll for events after a number.

    Attributes:
        since: the number of the last event that the follower has.
        timeout: ms to wait for events.
        accepts_gzip: whether the response may be compressed.
        close_after_response: whether the connection ends with the response.
    """

    since: int
    timeout: int
    accepts_gzip: bool
    close_after_response: bool


@dataclass(slots=True, frozen=True)
class StatusRequest:
    """A request for the relay's status."""

    close_after_response: bool


@dataclass(slots=True, frozen=True)
class BadRequest:
    """A request that is answered with an error."""

    status: int
    close_after_response: bool


def parse_request(head: Head) -> Poll | StatusRequest | BadRequest:
    """Parse a request's head."""
    close_after_response = not head.keep_alive
    try:
        url = urlsplit(head.target)
    except ValueError:
        return BadRequest(400, True)
    if url.path not in ("/status", "/changes"):
        return BadRequest(404, close_after_response)
    if head.method != "GET":
        return BadRequest(405, close_after_response)
    if url.path == "/status":
        return StatusRequest(close_after_response)
    try:
        query = parse_qs(url.query, keep_blank_values=True, max_num_fields=MAX_QUERY_FIELDS)
        since, timeout = (_number(query.get(key, ["0"])) for key in ("since", "timeout"))
    except ValueError:
        return BadRequest(400, True)
    return Poll(since, timeout, accepts_gzip(head.fields.get("accept-encoding", "")), close_after_response)


def accepts_gzip(accept_encoding: str) -> bool:
    """Whether gzip is named and not excluded (RFC 9110, 12.5.3)."""
    for item in accept_encoding.lower().split(","):
        name, *parameters = (part.strip() for part in item.split(";"))
        if name in ("gzip", "x-gzip"):
            weights = [parameter[2:] for parameter in parameters if parameter.startswith("q=")]
            try:
                return not weights or 0.0 < float(weights[0]) <= 1.0
            except ValueError:
                return False
    return False


def _number(values: list[str]) -> int:
    text = values[0]
    if len(values) != 1 or not (text.isascii() and text.isdigit() and len(text) <= MAX_NUMBER_DIGITS):
        raise ValueError(f"{text!r} is not a number, or has too many digits")
    return int(text)
