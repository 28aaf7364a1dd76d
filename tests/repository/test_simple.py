"""Request targets, media type negotiation and index decoding."""

from __future__ import annotations

import pytest

from hallproxy.repository import simple

SHA = "a" * 64


@pytest.mark.parametrize(
    ("target", "expected"),
    [
        ("/simple/", simple.Target()),
        ("/simple/a-b/", simple.Target("a-b")),
        ("/simple/A_b", simple.Target("a-b", redirect_path="/simple/a-b/")),
        (f"/files/a/{SHA}/a-1.0.tar.gz", simple.Target("a", SHA, "a-1.0.tar.gz")),
        (f"/files/a/{SHA}/..%2fx", None),
        ("/files/a/short/a.whl", None),
        ("/simple/../etc", None),
        ("/", None),
    ],
)
def test_targets(target: str, expected: simple.Target | None) -> None:
    assert simple.parse_target(target) == expected


@pytest.mark.parametrize(
    ("accept", "media"),
    [
        ("", simple.PLAIN_HTML),
        ("*/*", simple.PLAIN_HTML),
        (simple.JSON, simple.JSON),
        (f"{simple.JSON}, {simple.HTML};q=0.1, text/html;q=0.01", simple.JSON),
        (f"{simple.JSON};q=0, {simple.HTML}", simple.HTML),
        ("application/vnd.pypi.simple.latest+json", simple.JSON),
        ("image/png", None),
    ],
)
def test_media_type_negotiation(accept: str, media: str | None) -> None:
    assert simple.choose_media_type(accept) == media


FILE = simple.File("a-1.whl", "/p/a-1.whl", SHA, ">=3.8", "broken", None)
PAGE = f"""<html><body><a href="../../p/a-1.whl#sha256={SHA}" data-requires-python="&gt;=3.8"
 data-yanked="broken">a-1.whl</a><a href="/p/nohash.whl">nohash.whl</a>
 <a href="http://elsewhere/p/b.whl#sha256={SHA}">b.whl</a></body></html>"""


def test_indexes_of_both_formats_are_equivalent() -> None:
    index = simple.read_index(PAGE.encode(), "text/html; charset=utf-8", "/simple/A/", ())
    assert index == simple.Index("a", (FILE,))
    assert simple.unpack_index(simple.pack_index(index), "a") == index
    again = simple.read_index(simple.render_html(index), "text/html", "/simple/a/", ())
    assert again.files[0].url == f"/files/a/{SHA}/a-1.whl" and again.files[0].yanked == "broken"


@pytest.mark.parametrize("body", [b"", b"[]", b'{"meta":{"api-version":"2.0"},"files":[]}', b'{"files":1}'])
def test_invalid_indexes_are_rejected(body: bytes) -> None:
    with pytest.raises(simple.BadIndex):
        simple.read_index(body, simple.JSON, "/simple/a/")
