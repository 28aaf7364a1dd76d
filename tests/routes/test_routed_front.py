"""Routes of the package repository front: no private name is served by a public upstream."""

from __future__ import annotations

import json
import signal
from collections.abc import Iterator
from pathlib import Path

import pytest

from hallproxy.repository import simple
from tests.support.gateway import response, until
from tests.support.repository_front import (
    DEPLOY,
    PROJECT,
    Front,
    RepositoryStandIn,
    sha256_hex,
    stop_after_test,
)


def start_with_tiers(front: Front, *tiers: str) -> Front:
    listed = ", ".join(json.dumps([t]) for t in tiers)
    return front.start(DEPLOY + f'\n[[route]]\nprojects = ["charger-*"]\nupstreams = [{listed}]\n')


def requested_paths(upstream: RepositoryStandIn) -> list[str]:
    return [request.path for request in upstream.http.requests]


@pytest.fixture
def front(tmp_path: Path) -> Iterator[Front]:
    new_front = Front(tmp_path, [RepositoryStandIn(), RepositoryStandIn()])
    new_front.upstreams[1].files = {"a-1.whl": b"evil" * 750}  # the public upstream's file of the same name
    yield from stop_after_test(new_front)


def test_the_first_tier_that_has_the_project_serves_it_alone(front: Front) -> None:
    private, public = front.upstreams
    start_with_tiers(front, "r-0", "r-1")
    for name, url in front.file_urls().items():
        reply = front.get(url)
        assert reply.status == 200 and reply.body == private.files[name]
    assert not requested_paths(public)


def test_not_found_in_the_private_tier_leads_to_the_public_one(front: Front) -> None:
    private, public = front.upstreams
    private.hook = lambda request: response(404) if request.path == f"/simple/{PROJECT}/" else b"pass"
    start_with_tiers(front, "r-0", "r-1")
    urls = front.file_urls()
    assert list(urls) == ["a-1.whl"]
    reply = front.get(urls["a-1.whl"])
    assert reply.status == 200 and reply.body == public.files["a-1.whl"]
    assert not [p for p in requested_paths(private) if p.startswith("/pool/")]


@pytest.mark.parametrize("fault", [503, 500, 0])
def test_a_failed_private_tier_never_exposes_its_names_to_the_public_one(front: Front, fault: int) -> None:
    private, public = front.upstreams
    private.hook = lambda request: response(fault) if fault else b""  # b"": the connection closes unanswered
    start_with_tiers(front, "r-0", "r-1")
    reply = front.get(f"/simple/{PROJECT}/", Accept=simple.JSON)
    assert reply.status in (502, 503, 504) and b"evil" not in reply.body
    assert not requested_paths(public) and requested_paths(private)


def test_a_pinned_project_is_requested_from_its_upstream_alone(front: Front) -> None:
    private, public = front.upstreams
    private.hook = lambda request: response(404) if request.path.startswith("/simple/") else b"pass"
    start_with_tiers(front, "r-0")
    assert front.get(f"/simple/{PROJECT}/", Accept=simple.JSON).status == 404
    assert not requested_paths(public)


def test_a_project_without_a_rule_is_requested_from_all_upstreams(front: Front) -> None:
    start_with_tiers(front, "r-0")
    reply = front.get("/simple/numpy/", Accept=simple.JSON)
    assert reply.status == 404
    assert all(request.path == "/simple/numpy/" for s in front.upstreams for request in s.http.requests)


def test_files_come_from_the_tier_whose_index_named_them(front: Front) -> None:
    private, public = front.upstreams
    private.hook = lambda request: response(404) if request.path == f"/simple/{PROJECT}/" else b"pass"
    start_with_tiers(front, "r-0", "r-1")
    for _ in range(4):  # only the public tier may be selected
        url = front.file_urls()["a-1.whl"]
        assert sha256_hex(public.files["a-1.whl"]) in url and front.get(url).status == 200
    assert not [p for p in requested_paths(private) if p.startswith("/pool/")]


def test_a_reload_applies_new_routes_and_an_unusable_one_changes_nothing(front: Front) -> None:
    private, public = front.upstreams
    private.hook = lambda request: response(404) if request.path.startswith("/simple/") else b"pass"
    start_with_tiers(front, "r-0")
    assert front.get(f"/simple/{PROJECT}/", Accept=simple.JSON).status == 404
    path = front.path / "repository.toml"
    text = path.read_text()
    path.write_text(text.replace('upstreams = [["r-0"]]', 'upstreams = [["r-9"]]'))
    front.program.process.send_signal(signal.SIGHUP)
    until(lambda: any("configuration not reloaded" in x and "r-9" in x for x in front.program.lines))
    assert front.get(f"/simple/{PROJECT}/", Accept=simple.JSON).status == 404 and not requested_paths(public)
    path.write_text(text.replace('upstreams = [["r-0"]]', 'upstreams = [["r-0"], ["r-1"]]'))
    front.program.process.send_signal(signal.SIGHUP)
    until(lambda: front.get(f"/simple/{PROJECT}/", Accept=simple.JSON).status == 200)
    assert list(front.file_urls()) == ["a-1.whl"] and requested_paths(public)
