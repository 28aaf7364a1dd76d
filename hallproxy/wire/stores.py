"""Requests to the platform's endpoints and their responses: HTTP/1.1 without pipelining."""

from __future__ import annotations

from hallproxy import interface as i
from hallproxy.state.effects import UpstreamRequest
from hallproxy.state.events import AttemptResult
from hallproxy.wire.http1 import Head, HttpError

MS = 1_000_000  # ns
SECOND = 1_000_000_000  # ns
STALL_SHARE = 0.25  # stall timeout as a fraction of the shortest latency objective, ...
MIN_STALL_S = 0.03  # ...but at least this
MAX_BODY_BYTES = 240_000  # of an object's part; a longer response is malformed


def encode_request_head(request: UpstreamRequest, host: str, settings: i.Settings) -> bytes:
    """The head of the request, to be written before its body."""
    name = settings.classes[request.class_index].name
    # Every class is sent as GET, even with a body: an endpoint responds 400 to a POST.
    lines = [
        f"GET /v2/q/{name}/{request.name}/{request.part} HTTP/1.1",
        f"Host: {host}",
        f"X-Hop-Id: {request.request_id}",
        f"X-Budget: {max(1, request.time_budget // MS)}",
    ]
    if request.idempotency_key:
        lines.append(f"X-Replay-Key: {request.idempotency_key}")
    if request.source:
        lines.append(f"X-Fill-From: {request.source}")
    if request.cache_rank:
        lines.append(f"X-Keep: {request.cache_rank}")
    if request.max_age:
        lines.append(f"X-Max-Age-Ms: {max(1, request.max_age // MS)}")
    flags = (
        ("j", request.join),
        ("h", request.cached_only),
        ("n", request.no_parent_copy),
        ("r", request.revalidate),
    )
    if any(on for _, on in flags):
        lines.append("X-Flags: " + "+".join(letter for letter, on in flags if on))
    if request.client_etag:
        lines.append(f"If-None-Match: {request.client_etag}")
    if request.body:
        lines.append(f"Content-Length: {len(request.body)}")
    return "\r\n".join([*lines, "", ""]).encode()


def decode_response(head: Head, body: bytes, settings: i.Settings) -> AttemptResult:
    """The result of a complete response. With an unexpected status the request may have run: an error."""
    load = decode_load_report(head.fields.get("x-report", ""), settings.report_fields)
    if head.status in (200, 304):
        return AttemptResult(
            i.AttemptStatus.OK,
            body,
            head.status == 304,
            head.fields.get("etag", "").strip('"'),
            _generated_at(head.fields.get("x-born-ms", "")),
            load,
        )
    return AttemptResult(_failure(head), load=load)


def _generated_at(text: str) -> int:
    """The time (ns) that ``text`` gives in ms; 0 if it is not a valid number."""
    return int(text) * MS if text.isascii() and text.isdigit() and len(text) < 16 else 0


def _failure(head: Head) -> i.AttemptStatus:
    no_effect = head.fields.get("x-no-effect") == "1"
    if head.status == 404:
        return i.AttemptStatus.MISS
    if head.status == 503 and no_effect:
        return i.AttemptStatus.FULL
    if head.status == 504 and no_effect:
        return i.AttemptStatus.NOT_SENT
    return i.AttemptStatus.ERROR


class PlatformProtocol:
    """The protocol between the platform's gateway and its endpoints, for the effect runner."""

    max_body_bytes = MAX_BODY_BYTES

    def __init__(self, settings: i.Settings) -> None:
        self.settings = settings

    @property
    def stall_timeout(self) -> float:
        """Seconds without a byte after which a response that has begun counts as stalled.

        A fraction of the shortest latency objective, so that a retry can still be in time.
        """
        return max(
            MIN_STALL_S, STALL_SHARE * min(c.latency_objective for c in self.settings.classes) / SECOND
        )

    def head(self, request: UpstreamRequest, host: str) -> bytes:
        """The request's head."""
        return encode_request_head(request, host, self.settings)

    def tls(self, _host: str) -> None:
        """None: the platform's endpoints use plain HTTP, on its own network."""

    def read(
        self, request: UpstreamRequest, head: Head, body: bytes, _sent_at: int, _host: str = ""
    ) -> AttemptResult:
        """The response; HttpError for a 304 to a request without a condition."""
        if head.status == 304 and not request.client_etag:
            raise HttpError("status 304 in response to an unconditional request")
        return decode_response(head, body, self.settings)


def decode_load_report(text: str, names: tuple[str, ...]) -> tuple[float, ...]:
    """The values of ``inflight:7;util:0.61`` in the order of ``names``: NaN if missing, others ignored."""
    loads: dict[str, float] = {}
    for part in text.split(";") if text else ():
        name, _, value = part.partition(":")
        try:
            loads[name.strip()] = float(value)
        except ValueError:
            continue
    return tuple(loads.get(name, float("nan")) for name in names) if loads else ()
