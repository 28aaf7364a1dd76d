"""The conformance suite against the second front; tests of ranges, codings and index decoding."""

from __future__ import annotations

import asyncio
import gzip
import hashlib
import html
import json
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hallproxy.lab import conformance
from hallproxy.repository import codings, ranges, simple
from tests.support.gateway import ReceivedRequest, response
from tests.support.repository_front import DEPLOY, PROJECT, Front, sha256_hex

METADATA = b"Metadata-Version: 2.1\nName: charger-fw\nVersion: 1.0\n"
WHEEL, SOURCE = "charger_fw-1.0-py3-none-any.whl", "charger_fw-0.9.tar.gz"
BODIES = {WHEEL: bytes(range(256)) * 20, SOURCE: b"source" * 700}
ENTRIES: list[dict[str, Any]] = [
    {
        "filename": WHEEL, "url": f"/pool/{WHEEL}",
        "hashes": {"sha256": sha256_hex(BODIES[WHEEL]), "md5": "x"},
        "requires-python": '>=3.8,<4 "&"', "size": len(BODIES[WHEEL]),
        "upload-time": "2026-01-02T03:04:05.678900Z", "core-metadata": {"sha256": sha256_hex(METADATA)},
        "gpg-sig": False, "provenance": "https://provenance.example/charger_fw-1.0?a=1&b=2",
    },
    {
        "filename": SOURCE, "url": f"../../pool/{SOURCE}", "hashes": {"sha256": sha256_hex(BODIES[SOURCE])},
        "yanked": "bad & <worse>", "size": len(BODIES[SOURCE]), "core-metadata": True,
    },
]  # fmt: skip
TOP: dict[str, Any] = {
    "meta": {"api-version": "1.4", "tracks": ["https://tracks.example/simple/charger-fw/"]},
    "name": PROJECT, "versions": ["0.9", "1.0"], "files": ENTRIES,
    "alternate-locations": ["https://one.example/simple/charger-fw/", "https://two.example/simple/charger-fw/"],
    "project-status": {"status": "deprecated", "reason": 'see "charger-fw2" & be glad'},
}  # fmt: skip


def as_html() -> bytes:
    lines = ['<meta name="pypi:repository-version" content="1.4">',
             '<meta name="pypi:project-status" content="archived">',
             '<meta name="pypi:tracks" content="https://tracks.example/simple/charger-fw/">']  # fmt: skip
    for entry in ENTRIES:
        digest = entry["hashes"]["sha256"]
        more = ""
        if "requires-python" in entry:
            more = f' data-requires-python="{html.escape(entry["requires-python"])}" data-gpg-sig="true"'
            more += f' data-dist-info-metadata="sha256={sha256_hex(METADATA)}" data-provenance="https://p.example/x"'
        if "yanked" in entry:
            more = f' data-yanked="{html.escape(entry["yanked"])}"'
        lines.append(f'<a href="{entry["url"]}#sha256={digest}"{more}>{entry["filename"]}</a>')
    return "\n".join(lines).encode()


def upstream_reply(request: ReceivedRequest, top: dict[str, Any], index_format: str) -> bytes | None:
    name = request.path.rsplit("/", 1)[1]
    if request.path == f"/simple/{PROJECT}/":
        if index_format == "html":
            return response(200, as_html(), Content_Type="text/html")
        return response(200, json.dumps(top).encode(), Content_Type=simple.JSON)
    if request.path == f"/pool/{WHEEL}.metadata":
        return response(200, METADATA)
    if request.path.startswith("/pool/") and name in BODIES:
        return response(200, BODIES[name])
    return b"pass"


@pytest.mark.parametrize("index_format", ["json", "html"])
def test_every_point_holds(front: Front, index_format: str) -> None:
    front.upstreams[0].hook = lambda request: upstream_reply(request, TOP, index_format)
    front.start()
    lines = conformance.run(conformance.Client("127.0.0.1", front.program.port, PROJECT))
    assert not [line for line in lines if line.verdict == "failed"], lines
    skipped = {line.requirement.section for line in lines if line.verdict == "skipped"}
    # An HTML index has no versions, sizes and upload times, and the front invents none.
    assert skipped == (set() if index_format == "json" else {"PEP 700"})
    assert len(lines) >= 30


def test_the_report_lists_each_failed_point(front: Front, capsys: Any) -> None:
    """Guards against a suite that can't fail: with a missing project nearly every point fails."""
    front.start()
    at = f"127.0.0.1:{front.program.port}"
    assert conformance.main(["--at", at, "--project", "not-there"]) == 1
    output = capsys.readouterr().out
    assert "failed  " in output and output.count("\n") == len(conformance.REQUIREMENTS) + 1


def test_metadata_with_another_digest_is_never_served(front: Front) -> None:
    front.upstreams[0].hook = lambda request: (
        response(200, b"other bytes")
        if request.path.endswith(".metadata")
        else upstream_reply(request, TOP, "json")
    )
    front.start()
    url = front.file_urls()[WHEEL]
    got = front.get(url + ".metadata")
    assert got.status == 410 and f"/simple/{PROJECT}/" in got.fields["link"]
    assert front.get(url).body == BODIES[WHEEL]


@pytest.mark.parametrize(
    ("status", "names"), [("quarantined", 0), ("archived", 2), ("something else", 2), (None, 2)]
)
def test_a_quarantined_project_serves_no_file(front: Front, status: str | None, names: int) -> None:
    top = {k: v for k, v in TOP.items() if k != "project-status"}
    if status:
        top["project-status"] = {"status": status}
    front.upstreams[0].hook = lambda request: upstream_reply(request, top, "json")
    front.start()
    got = json.loads(front.get(f"/simple/{PROJECT}/", Accept=simple.JSON).body)
    assert len(got["files"]) == names
    assert got.get("project-status") == (
        {"status": status} if status in ("quarantined", "archived") else None
    )
    url = f"/files/{PROJECT}/{sha256_hex(BODIES[WHEEL])}/{WHEEL}"
    assert front.get(url).status == (200 if names else 404)


@pytest.mark.parametrize("version", ["2.0", "0.9", "x", "1.x"])
def test_an_upstream_index_of_another_major_version_is_rejected(version: str) -> None:
    body = json.dumps({**TOP, "meta": {"api-version": version}}).encode()
    with pytest.raises(simple.BadIndex):
        simple.read_index(body, simple.JSON, f"/simple/{PROJECT}/")


def test_a_later_minor_version_is_served_as_the_highest_supported() -> None:
    body = json.dumps({**TOP, "meta": {"api-version": "1.9"}}).encode()
    index = simple.read_index(body, simple.JSON, f"/simple/{PROJECT}/")
    assert json.loads(simple.render(index, simple.JSON))["meta"]["api-version"] == "1.4"
    again = simple.read_index(simple.pack_index(index), simple.JSON, f"/simple/{PROJECT}/")
    assert again == index


@given(st.integers(0, 1000), st.one_of(
    st.text("bytes=0123456789-, ", max_size=30),
    st.lists(st.tuples(st.integers(0, 1200), st.integers(0, 1200)), min_size=1, max_size=4).map(
        lambda spans: "bytes=" + ",".join(f"{a}-{b}" for a, b in spans)),
))  # fmt: skip
def test_a_range_is_within_the_body(size: int, field: str) -> None:
    byte_range = ranges.requested_range(field, size)
    if isinstance(byte_range, ranges.ByteRange):
        assert 0 <= byte_range.first < byte_range.end <= size == byte_range.size


@pytest.mark.parametrize(
    ("field", "found"),
    [
        ("bytes=0-4,3-9", (0, 10)), ("bytes=0-4,5-9", (0, 10)), ("bytes=0-4,6-9", None),
        ("BYTES = 1-1", (1, 2)),
        ("bytes=5-,-3", (5, 20)), ("bytes=" + ",".join(["0-1"] * 17), None), ("bytes=0-0,", None),
        ("bytes=99999999999999999999-", None),
    ],
)  # fmt: skip
def test_overlapping_and_adjoining_ranges_are_merged(field: str, found: tuple[int, int] | None) -> None:
    byte_range = ranges.requested_range(field, 20)
    assert (None if byte_range is None else (byte_range.first, byte_range.end)) == found  # type: ignore[union-attr]


@pytest.mark.parametrize(
    ("field", "coding"),
    [
        (None, "identity"), ("", "identity"), ("gzip", "gzip"), ("x-gzip", "gzip"), ("*", "gzip"),
        ("gzip;q=0", "identity"), ("br", "identity"), ("gzip;q=0.5, identity;q=0.9", "identity"),
        ("identity;q=0, *;q=0", None), ("*;q=0", None), ("gzip;q=x", "identity"), ("gzip;q=7", "identity"),
        ("identity;q=0", None), ("identity;q=0, gzip", "gzip"), ("deflate, gzip;q=1.0, *;q=0.5", "gzip"),
    ],
)  # fmt: skip
def test_content_coding_negotiation(field: str | None, coding: str | None) -> None:
    assert codings.choose(field) == coding


@given(st.binary(max_size=2000))
def test_gzip_is_deterministic(body: bytes) -> None:
    coded = codings.encode(body, codings.GZIP)
    assert coded == codings.encode(body, codings.GZIP) and gzip.decompress(coded) == body
    assert hashlib.sha256(coded).digest() == hashlib.sha256(codings.encode(body, codings.GZIP)).digest()


def test_the_cache_of_rendered_indexes_is_bounded(tmp_path: Path) -> None:
    from hallproxy.repository import config, serve
    from hallproxy.repository.front import MAX_RENDERED_INDEX_BYTES, RepositoryFront
    from hallproxy.run.effect_runner import EffectRunner
    from hallproxy.state.events import Response, ResponseKind

    (tmp_path / "r.toml").write_text(DEPLOY)
    runner = EffectRunner(serve.new_state(config.load(tmp_path / "r.toml")))
    front = RepositoryFront(runner, 10)
    index = simple.Index("p", tuple(simple.File(f"f-{n}.whl", "/x", "a" * 64) for n in range(2000)))
    for n in range(200):
        core_response = Response(ResponseKind.SERVED, etag=str(n), generated_at=1)
        body, tag = asyncio.run(front._render(core_response, index, simple.JSON, codings.IDENTITY))
        again = asyncio.run(front._render(core_response, index, simple.JSON, codings.IDENTITY))
        assert again[0] is body and len(tag) == 64
    assert front._rendered_indexes.currsize <= MAX_RENDERED_INDEX_BYTES


def test_a_large_index_is_decoded_like_a_small_one() -> None:
    """Large ones are decoded element by element, so that one long call does not block other threads."""
    files = [dict(ENTRIES[0], filename=f"f-{n}.whl", url=f"/pool/f-{n}.whl") for n in range(900)]
    body = json.dumps({**TOP, "files": files}, indent=1).encode()
    assert len(body) > simple.LARGE_INDEX_BYTES
    assert simple._load_json(body) == json.loads(body)
    index = simple.read_index(body, simple.JSON, f"/simple/{PROJECT}/")
    assert len(index.files) == 900 and index.file("f-899.whl") == index.files[-1]
    assert json.loads(simple.pack_index(index))["files"][0]["url"] == "/pool/f-0.whl"


@pytest.mark.parametrize(
    "text",
    ["", "{", "[]", '{"a": [1,]}', '{"a": 1,}', '{"a" 1}', '{"a": [1 2]}', '{"a": 1} x', '{"a": [1', "null"],
)
def test_a_large_text_that_is_no_json_object_is_an_error(text: str) -> None:
    padded = text.encode() + b" " * simple.LARGE_INDEX_BYTES
    with pytest.raises(ValueError):
        simple._load_json(padded)
    with pytest.raises(simple.BadIndex):
        simple.read_index(padded, simple.JSON, f"/simple/{PROJECT}/")


def test_the_index_cache_is_bounded() -> None:
    cache = simple.IndexCache(max_entries=1000)
    for n in range(50):
        cache.put(str(n), simple.Index("p", tuple(simple.File(f"{m}", "/x", "a" * 64) for m in range(99))))
    assert cache.get("49") is not None and cache.get("0") is None and len(cache._indexes) == 10
    cache.put("large", simple.Index("p", tuple(simple.File(f"{m}", "/x", "a" * 64) for m in range(2000))))
    assert len(cache._indexes) == 1  # an index above the limit is still cached, alone
