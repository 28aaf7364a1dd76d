"""The conformance suite against the second front, and the pure parts of what it asks: ranges and codings."""

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


def upstream(seen: ReceivedRequest, top: dict[str, Any], form: str) -> bytes | None:
    name = seen.path.rsplit("/", 1)[1]
    if seen.path == f"/simple/{PROJECT}/":
        if form == "html":
            return response(200, as_html(), Content_Type="text/html")
        return response(200, json.dumps(top).encode(), Content_Type=simple.JSON)
    if seen.path == f"/pool/{WHEEL}.metadata":
        return response(200, METADATA)
    if seen.path.startswith("/pool/") and name in BODIES:
        return response(200, BODIES[name])
    return b"pass"


@pytest.mark.parametrize("form", ["json", "html"])
def test_every_point_holds(front: Front, form: str) -> None:
    front.upstreams[0].hook = lambda seen: upstream(seen, TOP, form)
    front.start()
    lines = conformance.run(conformance.Client("127.0.0.1", front.program.port, PROJECT))
    assert not [line for line in lines if line.verdict == "failed"], lines
    skipped = {line.requirement.section for line in lines if line.verdict == "skipped"}
    # An index in HTML tells no versions, sizes and upload times: nothing of that is made up.
    assert skipped == (set() if form == "json" else {"PEP 700"})
    assert len(lines) >= 30


def test_the_report_tells_a_repository_that_does_not_hold(front: Front, capsys: Any) -> None:
    """A suite that can't fail would prove nothing: a project that is not there fails nearly all."""
    front.start()
    at = f"127.0.0.1:{front.program.port}"
    assert conformance.main(["--at", at, "--project", "not-there"]) == 1
    said = capsys.readouterr().out
    assert "failed  " in said and said.count("\n") == len(conformance.REQUIREMENTS) + 1


def test_metadata_that_does_not_match_is_never_served(front: Front) -> None:
    front.upstreams[0].hook = lambda seen: (
        response(200, b"other bytes") if seen.path.endswith(".metadata") else upstream(seen, TOP, "json")
    )
    front.start()
    url = front.file_urls()[WHEEL]
    got = front.get(url + ".metadata")
    assert got.status == 410 and f"/simple/{PROJECT}/" in got.fields["link"]
    assert front.get(url).body == BODIES[WHEEL]


@pytest.mark.parametrize(
    ("status", "names"), [("quarantined", 0), ("archived", 2), ("something else", 2), (None, 2)]
)
def test_a_quarantined_project_offers_no_file(front: Front, status: str | None, names: int) -> None:
    top = {k: v for k, v in TOP.items() if k != "project-status"}
    if status:
        top["project-status"] = {"status": status}
    front.upstreams[0].hook = lambda seen: upstream(seen, top, "json")
    front.start()
    got = json.loads(front.get(f"/simple/{PROJECT}/", Accept=simple.JSON).body)
    assert len(got["files"]) == names
    assert got.get("project-status") == (
        {"status": status} if status in ("quarantined", "archived") else None
    )
    url = f"/files/{PROJECT}/{sha256_hex(BODIES[WHEEL])}/{WHEEL}"
    assert front.get(url).status == (200 if names else 404)


@pytest.mark.parametrize("version", ["2.0", "0.9", "x", "1.x"])
def test_another_major_version_upstream_is_not_read(version: str) -> None:
    body = json.dumps({**TOP, "meta": {"api-version": version}}).encode()
    with pytest.raises(simple.BadIndex):
        simple.read_index(body, simple.JSON, f"/simple/{PROJECT}/")


def test_a_later_minor_version_is_served_as_the_highest_spoken() -> None:
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
def test_a_range_is_of_bytes_that_exist(size: int, field: str) -> None:
    part = ranges.wanted(field, size)
    if isinstance(part, ranges.Part):
        assert 0 <= part.first < part.end <= size == part.size


@pytest.mark.parametrize(
    ("field", "found"),
    [
        ("bytes=0-4,3-9", (0, 10)), ("bytes=0-4,5-9", (0, 10)), ("bytes=0-4,6-9", None),
        ("BYTES = 1-1", (1, 2)),
        ("bytes=5-,-3", (5, 20)), ("bytes=" + ",".join(["0-1"] * 17), None), ("bytes=0-0,", None),
        ("bytes=99999999999999999999-", None),
    ],
)  # fmt: skip
def test_ranges_that_touch_are_one(field: str, found: tuple[int, int] | None) -> None:
    part = ranges.wanted(field, 20)
    assert (None if part is None else (part.first, part.end)) == found  # type: ignore[union-attr]


@pytest.mark.parametrize(
    ("field", "coding"),
    [
        (None, "identity"), ("", "identity"), ("gzip", "gzip"), ("x-gzip", "gzip"), ("*", "gzip"),
        ("gzip;q=0", "identity"), ("br", "identity"), ("gzip;q=0.5, identity;q=0.9", "identity"),
        ("identity;q=0, *;q=0", None), ("*;q=0", None), ("gzip;q=x", "identity"), ("gzip;q=7", "identity"),
        ("identity;q=0", None), ("identity;q=0, gzip", "gzip"), ("deflate, gzip;q=1.0, *;q=0.5", "gzip"),
    ],
)  # fmt: skip
def test_codings(field: str | None, coding: str | None) -> None:
    assert codings.choose(field) == coding


@given(st.binary(max_size=2000))
def test_gzip_gives_the_same_bytes_each_time(body: bytes) -> None:
    coded = codings.encode(body, codings.GZIP)
    assert coded == codings.encode(body, codings.GZIP) and gzip.decompress(coded) == body
    assert hashlib.sha256(coded).digest() == hashlib.sha256(codings.encode(body, codings.GZIP)).digest()


def test_forms_are_kept_within_their_bound(tmp_path: Path) -> None:
    from hallproxy.repository import config, serve
    from hallproxy.repository.front import MAX_RENDERED_INDEX_BYTES, Repository
    from hallproxy.run.effect_runner import EffectRunner
    from hallproxy.state.events import Response, ResponseKind

    (tmp_path / "r.toml").write_text(DEPLOY)
    loop = EffectRunner(serve.new_state(config.load(tmp_path / "r.toml")))
    made = Repository(loop, 10)
    index = simple.Index("p", tuple(simple.File(f"f-{n}.whl", "/x", "a" * 64) for n in range(2000)))
    for n in range(200):
        said = Response(ResponseKind.SERVED, etag=str(n), generated_at=1)
        body, tag = asyncio.run(made._rendered(said, index, simple.JSON, codings.IDENTITY))
        again = asyncio.run(made._rendered(said, index, simple.JSON, codings.IDENTITY))
        assert again[0] is body and len(tag) == 64
    assert made._forms.currsize <= MAX_RENDERED_INDEX_BYTES


def test_a_large_index_reads_as_a_small_one_does() -> None:
    """Large ones are read element by element, so that nothing else waits for one long call."""
    files = [dict(ENTRIES[0], filename=f"f-{n}.whl", url=f"/pool/f-{n}.whl") for n in range(900)]
    body = json.dumps({**TOP, "files": files}, indent=1).encode()
    assert len(body) > simple.LARGE
    assert simple._loads(body) == json.loads(body)
    index = simple.read_index(body, simple.JSON, f"/simple/{PROJECT}/")
    assert len(index.files) == 900 and index.file("f-899.whl") == index.files[-1]
    assert json.loads(simple.pack_index(index))["files"][0]["url"] == "/pool/f-0.whl"


@pytest.mark.parametrize(
    "text",
    ["", "{", "[]", '{"a": [1,]}', '{"a": 1,}', '{"a" 1}', '{"a": [1 2]}', '{"a": 1} x', '{"a": [1', "null"],
)
def test_a_large_text_that_is_no_object_is_an_error(text: str) -> None:
    padded = text.encode() + b" " * simple.LARGE
    with pytest.raises(ValueError):
        simple._loads(padded)
    with pytest.raises(simple.BadIndex):
        simple.read_index(padded, simple.JSON, f"/simple/{PROJECT}/")


def test_what_is_remembered_of_indexes_is_bounded() -> None:
    held = simple.Remembered(most=1000)
    for n in range(50):
        held.put(str(n), simple.Index("p", tuple(simple.File(f"{m}", "/x", "a" * 64) for m in range(99))))
    assert held.get("49") is not None and held.get("0") is None and len(held._held) == 10
    held.put("large", simple.Index("p", tuple(simple.File(f"{m}", "/x", "a" * 64) for m in range(2000))))
    assert len(held._held) == 1  # one that is larger than the bound is still held alone
