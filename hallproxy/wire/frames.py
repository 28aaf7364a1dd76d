"""The clients' binary frames, parsed in place in a connection's buffer and encoded as pieces to gather."""

from __future__ import annotations

import re
import struct
from collections.abc import Mapping
from typing import NamedTuple

from hallproxy import interface as i
from hallproxy.state.events import ClientRequest, Response, ResponseKind

HEAD = struct.Struct(">IBI")  # length (of what follows it), kind, stream
SIZE = struct.Struct(">I")
_VALUE_SIZE = struct.Struct(">H")
# As in the length field, which does not count itself.
MIN_FRAME_BYTES, MAX_FRAME_BYTES = 5, 262_144
MAX_REQUEST_FRAME_BYTES = 65_536  # of a request: its body and the largest useful fields; a longer one fails
MAX_REQUEST_SIZE = SIZE.size + MAX_REQUEST_FRAME_BYTES  # bytes on the wire
MAX_BODY_BYTES = 48_000  # of a client's frame
NO_FIELDS = b"\0"  # as encoded
MAX_FIELDS = 255  # of one frame, as counted in one byte
MAX_FIELD_NAME_BYTES = 255
MAX_FIELD_VALUE_BYTES = 65_535
REQUEST, RESPONSE, CANCEL, READINESS_REQUEST, READINESS_RESPONSE, GO_AWAY = 65, 66, 67, 80, 81, 90
SERVED, REJECTED, FAILED = 79, 66, 69
MAX_SIZE_KB = 1e6  # of a part
MAX_PART = 65_535  # part number of an object
MAX_TTL_DEADLINES = 4  # a request's longest ttl, in deadlines of its class
RESPONSE_CODES = {ResponseKind.SERVED: SERVED, ResponseKind.REJECTED: REJECTED, ResponseKind.FAILED: FAILED}
MS = 1_000_000  # ns
_HEX = re.compile(r"[0-9a-fA-F]+")
_TOKEN = re.compile(r"[0-9A-Za-z._~:+/=-]{1,128}")
# ns of a client's ttl, which counts from the sending of the request, for the network both ways
TRANSIT_ALLOWANCE = 4 * MS


class FrameError(ValueError):
    """Bytes that are not a valid frame: the connection can't continue."""


class FieldError(ValueError):
    """A complete frame with invalid fields: only its stream gets an error response."""


class EncodeError(ValueError):
    """A message that the format can't carry: nothing of it may be written."""


class FrameHeader(NamedTuple):
    """The start of a frame; ``size``: bytes of the whole frame on the wire."""

    size: int
    kind: int
    stream: int


def decode_header(buffer: bytes | bytearray, start: int = 0, end: int | None = None) -> FrameHeader | None:
    """The header of the frame at ``start``; None while it is incomplete.

    ``end``: where the received bytes end; None: with the buffer.
    """
    received = (len(buffer) if end is None else end) - start
    if received < SIZE.size:
        return None
    (length,) = SIZE.unpack_from(buffer, start)
    if not MIN_FRAME_BYTES <= length <= MAX_FRAME_BYTES:
        raise FrameError(f"a frame of {length} bytes")
    if received < HEAD.size:
        return None
    _, kind, stream = HEAD.unpack_from(buffer, start)
    return FrameHeader(SIZE.size + length, kind, stream)


def decode_fields(payload: memoryview) -> tuple[dict[str, str], memoryview]:
    """The fields at the start of a payload, and what follows them."""
    try:
        fields: dict[str, str] = {}
        offset = 1
        for _ in range(payload[0]):
            start = offset + 1
            offset = start + payload[offset]
            name = str(payload[start:offset], "utf-8")
            start = offset + 2
            offset = start + (payload[offset] << 8 | payload[offset + 1])
            fields[name] = str(payload[start:offset], "utf-8")
        if offset > len(payload):  # a slice past the end raises nothing
            raise IndexError
    except (IndexError, UnicodeDecodeError):
        raise FieldError("fields that can't be read") from None
    return fields, payload[offset:]


def encode_fields(fields: Mapping[str, str]) -> bytes:
    """The fields as encoded at the start of a payload; EncodeError where their sizes don't fit."""
    if not fields:
        return NO_FIELDS
    if len(fields) > MAX_FIELDS:
        raise EncodeError(f"{len(fields)} fields; {MAX_FIELDS} at most")
    parts = [bytes((len(fields),))]
    for name, value in fields.items():
        raw_name, raw_value = name.encode(), value.encode()
        if len(raw_name) > MAX_FIELD_NAME_BYTES or len(raw_value) > MAX_FIELD_VALUE_BYTES:
            raise EncodeError(f"field {name[:40]!r} of {len(raw_name)} and {len(raw_value)} bytes")
        parts += [bytes((len(raw_name),)), raw_name, _VALUE_SIZE.pack(len(raw_value)), raw_value]
    return b"".join(parts)


def _decode_hex(text: str, digits: int, name: str) -> int:
    # int() alone would also accept signs, blanks and underscores
    if len(text) != digits or _HEX.fullmatch(text) is None:
        raise FieldError(f"{name} is not {digits} hex digits")
    return int(text, 16)


def _decode_number(fields: Mapping[str, str], name: str, minimum: int, maximum: int) -> int:
    text = fields.get(name, "")
    if not (text.isascii() and text.isdigit() and len(text) < 12 and minimum <= int(text) <= maximum):
        raise FieldError(f"{name} is not a number from {minimum} to {maximum}")
    return int(text)


def decode_request(
    payload: memoryview, classes: Mapping[str, int], settings: i.Settings, elapsed: int = 0
) -> ClientRequest:
    """A request from a frame's payload; FieldError where a field is missing or invalid.

    ``classes`` maps each class's name to its index in ``settings``. ``elapsed``: ns since the request
    arrived, which its time to the deadline includes.
    """
    fields, body = decode_fields(payload)
    class_index = classes.get(fields.get("op", ""))
    if class_index is None:
        raise FieldError("op names no class")
    request_id, name = fields.get("call", ""), fields.get("row", "")
    _decode_hex(request_id, 16, "call")
    size_kb = _decode_size_kb(fields)
    if len(body) > MAX_BODY_BYTES:
        raise FieldError(f"a body of more than {MAX_BODY_BYTES} bytes")
    key = fields.get("dedupe", "")
    client_etag = fields.get("got", "")
    if not _is_token(key) or not _is_token(client_etag):
        raise FieldError("dedupe or got holds what no header can")
    request_class = settings.classes[class_index]
    if request_class.idempotency is i.Idempotency.IDEMPOTENCY_KEY and not key:
        raise FieldError("dedupe is missing: without it this class can't be repeated")
    ttl = _decode_number(fields, "ttl", 1, MAX_TTL_DEADLINES * request_class.deadline // MS)
    return ClientRequest(
        request_id=request_id,
        class_index=class_index,
        time_left=max(0, ttl * MS - TRANSIT_ALLOWANCE - elapsed),
        object=_decode_hex(name, 16, "row"),
        name=name,
        part=_decode_number(fields, "nth", 0, MAX_PART),
        group=_decode_number(fields, "batch", 0, 255),
        size_kb=size_kb,
        is_retry=fields.get("rep") == "1",
        is_write=request_class.is_write,
        idempotency_key=key,
        client_etag=client_etag,
        body=bytes(body),
    )


def _decode_size_kb(fields: Mapping[str, str]) -> float:
    try:
        size_kb = float(fields.get("heap", "0"))
    except ValueError:
        size_kb = -1.0
    if not 0 <= size_kb <= MAX_SIZE_KB:  # also rejects nan
        raise FieldError("heap is not a size")
    return size_kb


def _is_token(text: str) -> bool:
    return not text or _TOKEN.fullmatch(text) is not None


def encode_response(stream: int, response: Response) -> list[bytes]:
    """The pieces of a response's frame: the head, then the body unchanged; EncodeError if it is too long."""
    fields: dict[str, str] = {}
    if response.not_modified:
        fields["ok304"] = "1"
    if response.kind is ResponseKind.REJECTED and response.retry_after:
        fields["pushback"] = str(max(1, response.retry_after // MS))
    start = bytes((RESPONSE_CODES[response.kind],)) + encode_fields(fields)
    return encode_frame(RESPONSE, stream, start, response.body)


def encode_frame(kind: int, stream: int, start: bytes = b"", body: bytes = b"") -> list[bytes]:
    """The pieces of a frame whose payload is ``start`` and then ``body``, which is not copied.

    EncodeError for a frame over ``MAX_FRAME_BYTES``: its receiver could not find where the next one begins.
    """
    length = MIN_FRAME_BYTES + len(start) + len(body)
    if length > MAX_FRAME_BYTES:
        raise EncodeError(f"a frame of {length} bytes; {MAX_FRAME_BYTES} at most")
    head = HEAD.pack(length, kind, stream) + start
    return [head, body] if body else [head]


def encode_error(text: str, stream: int = 0) -> list[bytes]:
    """The pieces of an error response, with a text that describes the invalid input."""
    return encode_frame(RESPONSE, stream, bytes((FAILED,)) + encode_fields({"error": text}))
