"""The subset of HTTP/1.1 that the gateway uses: heads parsed in place, bodies with a length or chunked."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass

MAX_HEAD_BYTES = 16_384
MAX_HEAD_FIELDS = 100  # many short ones would take 17 times their bytes in memory
MAX_BODY_BYTES = 64 * 1024 * 1024
MAX_DELTA_SECONDS = 2**31  # s; in place of any larger number
_STATUS = re.compile(rb"HTTP/1\.([01]) (\d{3})(?: [^\r\n]*)?\r\n")
_REQUEST = re.compile(rb"([A-Z]{1,16}) ([!-~]{1,8192}) HTTP/1\.([01])\r\n")
# Each part ends at a byte that it can't contain, so that a malformed line is rejected without backtracking.
_FIELD = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):([^\r\n\0]*)\r\n")
_HEAD_END = b"\r\n\r\n"


class HttpError(ValueError):
    """Bytes that are not a valid HTTP/1.1 message of a supported kind."""


@dataclass(slots=True, frozen=True)
class Head:
    """A message's start line and fields, with names in lower case; ``size``: the head's bytes on the wire."""

    size: int
    fields: Mapping[str, str]
    status: int = 0  # of a response
    method: str = ""  # of a request
    target: str = ""
    minor_version: int = 1

    @property
    def keep_alive(self) -> bool:
        """Whether the connection stays open after this message."""
        word = self.fields.get("connection", "").lower()
        return "close" not in word and (self.minor_version == 1 or "keep-alive" in word)

    @property
    def chunked(self) -> bool:
        """Whether the body has the chunked transfer coding."""
        return self.fields.get("transfer-encoding", "").lower() == "chunked"

    @property
    def body_length(self) -> int | None:
        """The body's length in bytes; None: it ends with the last chunk or the connection."""
        if self.status in (204, 304) or 100 <= self.status < 200:
            return 0
        if "transfer-encoding" in self.fields:
            if not self.chunked:
                raise HttpError("a transfer coding other than chunked")
            return None
        text = self.fields.get("content-length")
        if text is None:
            return 0 if self.method else None
        if not (text.isascii() and text.isdigit() and len(text) < 12):
            raise HttpError("a length that is no number")
        return int(text)


def decode_delta_seconds(text: str) -> int | None:
    """A number of seconds, at most ``MAX_DELTA_SECONDS``, as RFC 9111, 1.2.2 has it; None if it is none."""
    if not (text.isascii() and text.isdigit()):
        return None
    digits = text.lstrip("0")
    if len(digits) > len(str(MAX_DELTA_SECONDS)):
        return MAX_DELTA_SECONDS
    return min(int(digits or "0"), MAX_DELTA_SECONDS)


def decode_response_head(buffer: bytearray, filled: int, searched: int = 0) -> Head | None:
    """The response head that the buffer's first ``filled`` bytes begin with; None while it is incomplete.

    ``searched``: the bytes filled at the previous call for this head, in which its end was not found.
    """
    end = _find_head_end(buffer, filled, searched)
    if end is None:
        return None
    start = _STATUS.match(buffer, 0, end)
    if start is None:
        raise HttpError("status line of an HTTP/1.x response is missing or malformed")
    return Head(
        end, _decode_headers(buffer, start.end(), end), status=int(start[2]), minor_version=int(start[1])
    )


def decode_request_head(buffer: bytearray, filled: int, searched: int = 0) -> Head | None:
    """The request head that the buffer's first ``filled`` bytes begin with; None while it is incomplete.

    ``searched``: the bytes filled at the previous call for this head, in which its end was not found.
    """
    end = _find_head_end(buffer, filled, searched)
    if end is None:
        return None
    start = _REQUEST.match(buffer, 0, end)
    if start is None:
        raise HttpError("no request line")
    return Head(
        end,
        _decode_headers(buffer, start.end(), end),
        method=start[1].decode(),
        target=start[2].decode(),
        minor_version=int(start[3]),
    )


def _find_head_end(buffer: bytearray, filled: int, searched: int) -> int | None:
    # The end may have begun in the last bytes searched.
    offset = buffer.find(_HEAD_END, max(0, searched - len(_HEAD_END) + 1), filled)
    if offset < 0:
        if filled >= MAX_HEAD_BYTES:
            raise HttpError("a head that is too long")
        return None
    return offset + len(_HEAD_END)


def _decode_headers(buffer: bytearray, offset: int, end: int) -> dict[str, str]:
    fields: dict[str, str] = {}
    repeated: dict[str, list[str]] = {}
    if buffer.count(b"\n", offset, end) > MAX_HEAD_FIELDS + 1:  # the last one ends the head
        raise HttpError(f"a head of more than {MAX_HEAD_FIELDS} fields")
    while offset < end - 2:
        field = _FIELD.match(buffer, offset, end)
        if field is None:
            raise HttpError("a header line that can't be read")
        name, value = field[1].decode().lower(), field[2].strip(b" \t").decode("latin-1")
        if name in fields:
            # Guards against request smuggling with two lengths; other repeated fields form a list.
            if name in ("content-length", "transfer-encoding"):
                raise HttpError(f"two of {name}")
            repeated.setdefault(name, [fields[name]]).append(value)
        else:
            fields[name] = value
        offset = field.end()
    for name, values in repeated.items():
        fields[name] = ", ".join(values)
    if "content-length" in fields and "transfer-encoding" in fields:
        raise HttpError("a length and a coding")
    return fields


def decode_chunk_size(line: bytes) -> int:
    """The chunk's size in bytes from its first line; chunk extensions are ignored."""
    text = line.split(b";")[0].strip()
    if not re.fullmatch(rb"[0-9A-Fa-f]{1,8}", text):
        raise HttpError("chunk size is not 1 to 8 hex digits")
    return int(text, 16)
