"""Requests to endpoints and the decoding of their responses."""

from __future__ import annotations

import json

import pytest

from hallproxy.interface import AttemptStatus
from hallproxy.state.effects import UpstreamRequest
from hallproxy.state.events import AttemptResult
from hallproxy.wire import http1, stores
from hallproxy.wire.simulator_settings import settings_from_json
from tests.support.gateway import platform_settings

SETTINGS = settings_from_json(json.dumps(platform_settings()).encode())


@pytest.mark.parametrize(
    ("status", "fields", "expected"),
    [
        (200, {"x-born-ms": "5", "etag": '"t"'}, "ok"),
        (304, {}, "ok"),
        (404, {}, "miss"),
        (503, {"x-no-effect": "1"}, "full"),
        (503, {}, "error"),
        (504, {"x-no-effect": "1"}, "moot"),
        (504, {}, "error"),
        (500, {}, "error"),
        (418, {}, "error"),
    ],
)
def test_responses(status: int, fields: dict[str, str], expected: str) -> None:
    result = stores.decode_response(http1.Head(0, fields, status), b"", SETTINGS)
    assert result.status.value == expected
    if status == 200:
        assert (result.generated_at, result.etag) == (5_000_000, "t")


@pytest.mark.parametrize(
    ("text", "load"),
    [("inflight:7;x0:0.61", (7.0, 0.61)), ("x0:0.5;new:1;inflight:2", (2.0, 0.5)), ("", ()), ("?", ())],
)
def test_load_reports(text: str, load: tuple[float, ...]) -> None:
    assert stores.decode_load_report(text, ("inflight", "x0")) == load


def test_every_field_of_a_request_has_its_header() -> None:
    request = UpstreamRequest(
        request_id="9b1f03aa5c7e2d41",
        class_index=1,
        name="7f3a9c21e0b4d655",
        part=3,
        time_budget=250_000_000,
        idempotency_key="key-1",
        client_etag="tag-1",
        body=b"body",
        source="p-0",
        cache_rank=2,
        max_age=1_500_000_000,
        join=True,
        cached_only=True,
        no_parent_copy=True,
        revalidate=True,
    )
    assert stores.encode_request_head(request, "store:80", SETTINGS).decode().split("\r\n") == [
        "GET /v2/q/small/7f3a9c21e0b4d655/3 HTTP/1.1",
        "Host: store:80",
        "X-Hop-Id: 9b1f03aa5c7e2d41",
        "X-Budget: 250",
        "X-Replay-Key: key-1",
        "X-Fill-From: p-0",
        "X-Keep: 2",
        "X-Max-Age-Ms: 1500",
        "X-Flags: j+h+n+r",
        "If-None-Match: tag-1",
        "Content-Length: 4",
        "",
        "",
    ]


def test_a_request_without_options_has_the_mandatory_headers_only() -> None:
    request = UpstreamRequest("c", 0, "r", 0, 1)
    assert stores.encode_request_head(request, "h", SETTINGS) == (
        b"GET /v2/q/segment/r/0 HTTP/1.1\r\nHost: h\r\nX-Hop-Id: c\r\nX-Budget: 1\r\n\r\n"
    )


def test_every_header_of_a_response_is_decoded() -> None:
    headers = {"x-born-ms": "5", "etag": '"tag-1"', "x-report": "inflight:7;x0:0.5"}
    assert stores.decode_response(http1.Head(0, headers, 200), b"body", SETTINGS) == AttemptResult(
        AttemptStatus.OK, b"body", False, "tag-1", 5_000_000, (7.0, 0.5)
    )
    assert stores.decode_response(http1.Head(0, headers, 304), b"", SETTINGS).not_modified
