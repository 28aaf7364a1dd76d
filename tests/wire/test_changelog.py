"""The change log's pages."""

from __future__ import annotations

import json

import pytest

from hallproxy.interface import Endpoint, EndpointListKind, EndpointsChanged, EndpointState
from hallproxy.state.events import EndpointListUpdated, PurgeNotified
from hallproxy.wire import changelog
from hallproxy.wire.simulator_settings import settings_from_json
from tests.support.gateway import platform_settings

SETTINGS = settings_from_json(json.dumps(platform_settings()).encode())


@pytest.mark.parametrize(
    "page",
    [
        "[]",
        "{",
        pytest.param('{"results":' + "[" * 100_000, id="deeply nested"),
        '{"seq":1}',
        '{"results":[{"seq":3,"invalidate":{"object":"1","time":1}}]}',
        '{"results":[{"seq":1,"invalidate":{"object":"xyz","time":1}}]}',
        '{"results":[{"seq":1,"fleet":{"instances":[{"instanceId":"s"}]}}]}',
    ],
)
def test_a_malformed_page_raises_an_error(page: str) -> None:
    with pytest.raises(changelog.ChangeLogError):
        list(changelog.decode_events(changelog.decode_page(page), 0, SETTINGS, 1))


def test_every_field_of_a_list_event_is_decoded() -> None:
    instances = [
        {
            "instanceId": "s-1", "lifecycle": lifecycle, "zone": "here", "machineType": "parent", "cell": 4,
            "weight": 1.5, "startedAtMs": 6, "hostPort": "10.0.0.1:80",
        }
        for lifecycle in ("Ready", "Terminating", "Gone")
    ]  # fmt: skip
    page = {"results": [{"seq": 3, "fleet": {"generation": 7, "reset": True, "instances": instances}}]}
    (event,) = changelog.decode_events(page, 2, SETTINGS, now=9)
    endpoints = tuple(
        Endpoint(b"s-1", state, 1, 0, 4, 1.5, 6_000_000)
        for state in (EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE)
    )
    change = EndpointsChanged(EndpointListKind.FULL, endpoints, 7)
    assert event == (3, EndpointListUpdated(9, change, ("10.0.0.1:80",) * 3))


def test_every_field_of_a_purge_is_decoded() -> None:
    page = {"results": [
        {"seq": 1, "invalidate": {"object": "ff", "bucket": 3, "time": 5}},
        {"seq": 2, "invalidate": {"object": "", "bucket": 4, "time": 5}},
        {"seq": 3, "something": {}},
    ]}  # fmt: skip
    now = 9_000_000
    assert list(changelog.decode_events(page, 0, SETTINGS, now)) == [
        (1, PurgeNotified(now, 0xFF, 3, 5_999_999, now)),
        (2, PurgeNotified(now, 0, 4, 5_999_999, now)),
        (3, None),
    ]


def test_a_poll_has_its_target_and_headers() -> None:
    assert changelog.encode_poll(7, 1_000, "log:80") == (
        b"GET /changes?since=7&timeout=1000 HTTP/1.1\r\nHost: log:80\r\n\r\n"
    )
    assert changelog.encode_poll(7, 0, "log:80", accept_gzip=True) == (
        b"GET /changes?since=7&timeout=0 HTTP/1.1\r\nHost: log:80\r\nAccept-Encoding: gzip\r\n\r\n"
    )
