"""What a package repository's clients may ask, point by point, of a front at any loopback address.

    python -m hallproxy.lab.conformance --at 127.0.0.1:8081 --project charger-fw

Each point names the section it comes from, asks, and looks at the answer. The report has a line for each; the
status is 1 where a point fails. Points for which the index has nothing to ask about are skipped, and said.
"""

from __future__ import annotations

import argparse
import base64
import gzip
import hashlib
import http.client
import json
import re
import sys
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from html.parser import HTMLParser
from typing import Any

JSON = "application/vnd.pypi.simple.v1+json"
HTML = "application/vnd.pypi.simple.v1+html"


class Skip(Exception):
    """The repository holds nothing to ask this point about."""


@dataclass
class Got:
    status: int
    fields: dict[str, str]
    body: bytes


class Anchors(HTMLParser):
    def __init__(self) -> None:
        super().__init__()
        self.links: list[dict[str, str]] = []
        self.metas: list[tuple[str, str]] = []

    def handle_starttag(self, tag: str, attrs: list[tuple[str, str | None]]) -> None:
        told = {name: value or "" for name, value in attrs}
        if tag == "a":
            self.links.append(told)
        elif tag == "meta":
            self.metas.append((told.get("name", ""), told.get("content", "")))


@dataclass
class Asker:
    host: str
    port: int
    project: str
    secret: str = ""
    held: dict[str, Any] = field(default_factory=dict)

    def get(self, path: str, method: str = "GET", **fields: str) -> Got:
        made = http.client.HTTPConnection(self.host, self.port, timeout=30)
        told = {name.replace("_", "-"): value for name, value in fields.items()}
        if self.secret:
            told["Authorization"] = "Basic " + base64.b64encode(self.secret.encode()).decode()
        try:
            made.request(method, path, headers=told)
            said = made.getresponse()
            return Got(said.status, {k.lower(): v for k, v in said.getheaders()}, said.read())
        finally:
            made.close()

    @property
    def path(self) -> str:
        return f"/simple/{self.project}/"

    def index(self) -> dict[str, Any]:
        got = self.get(self.path, Accept=JSON)
        assert got.status == 200, f"status {got.status}"
        found = json.loads(got.body)
        assert isinstance(found, dict)
        return found

    def page(self) -> Anchors:
        page = Anchors()
        page.feed(self.get(self.path, Accept="text/html").body.decode())
        return page

    def file(self, needs: Callable[[dict[str, Any]], Any] = lambda f: True) -> dict[str, Any]:
        found = next((f for f in self.index()["files"] if needs(f)), None)
        if found is None:
            raise Skip("no such file in the index")
        return dict(found)


@dataclass(frozen=True)
class Point:
    name: str
    section: str
    check: Callable[[Asker], None]


POINTS: list[Point] = []


def point(name: str, section: str) -> Callable[[Callable[[Asker], None]], Callable[[Asker], None]]:
    def keep(check: Callable[[Asker], None]) -> Callable[[Asker], None]:
        POINTS.append(Point(name, section, check))
        return check

    return keep


# Names and forms ------------------------------------------------------------------------------------------


@point("the list of projects names the project, in both forms", "PEP 503, 691")
def _(a: Asker) -> None:
    names = [p["name"] for p in json.loads(a.get("/simple/", Accept=JSON).body)["projects"]]
    assert a.project in [re.sub(r"[-_.]+", "-", n).lower() for n in names]
    assert f"/simple/{a.project}/" in a.get("/simple/").body.decode()


@point("a name that is not normal, or has no slash, is sent to the one that is", "PEP 503")
def _(a: Asker) -> None:
    for path in (f"/simple/{a.project.upper().replace('-', '_')}/", f"/simple/{a.project}"):
        got = a.get(path)
        assert got.status in (301, 308) and got.fields["location"].endswith(a.path), got


@point("an unknown project is a 404", "PEP 691")
def _(a: Asker) -> None:
    assert a.get("/simple/no-such-project-here/").status == 404


@point("the form is the one the client prefers, and is named", "PEP 691; RFC 9110 12.5.1")
def _(a: Asker) -> None:
    for accept, media in (
        (JSON, JSON),
        (f"{JSON}, {HTML};q=0.2, text/html;q=0.01", JSON),
        (f"{HTML}, {JSON};q=0.5", HTML),
        ("application/vnd.pypi.simple.latest+json", JSON),
        ("text/html", "text/html"),
        ("*/*", "text/html"),
    ):
        got = a.get(a.path, Accept=accept)
        assert got.fields["content-type"].split(";")[0] == media, (accept, got.fields["content-type"])
        assert "accept" in got.fields["vary"].lower()


@point("a form that is not spoken is a 406", "PEP 691; RFC 9110 15.5.7")
def _(a: Asker) -> None:
    assert a.get(a.path, Accept="image/png").status == 406


@point("the API version is told in both forms", "PEP 629, 691")
def _(a: Asker) -> None:
    version = a.index()["meta"]["api-version"]
    assert re.fullmatch(r"1\.\d+", version), version
    told = dict(a.page().metas).get("pypi:repository-version", "")
    assert re.fullmatch(r"1\.\d+", told), told


@point("both forms name the same files with the same digests", "PEP 503, 691")
def _(a: Asker) -> None:
    named = {f["url"].split("#")[0]: f["hashes"]["sha256"] for f in a.index()["files"]}
    anchors = {x["href"].split("#")[0]: x["href"].split("#sha256=")[1] for x in a.page().links}
    assert anchors == named and all(re.fullmatch("[0-9a-f]{64}", d) for d in named.values())


# What an index tells ----------------------------------------------------------------------------------------


@point("from 1.1 on versions, sizes and upload times are there", "PEP 700")
def _(a: Asker) -> None:
    index = a.index()
    if index["meta"]["api-version"] == "1.0":
        raise Skip("an index of version 1.0")
    assert index["versions"] and len(set(index["versions"])) == len(index["versions"])
    for file in index["files"]:
        assert type(file["size"]) is int
        uploaded = file.get("upload-time")
        assert uploaded is None or re.fullmatch(r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d{1,6})?Z", uploaded)


@point("a size told is the size served", "PEP 700")
def _(a: Asker) -> None:
    file = a.file(lambda f: "size" in f)
    assert len(a.get(file["url"]).body) == file["size"]


@point("yanked files are marked alike in both forms", "PEP 592")
def _(a: Asker) -> None:
    file = a.file(lambda f: f.get("yanked"))
    anchor = next(x for x in a.page().links if x["href"].startswith(file["url"]))
    assert "data-yanked" in anchor
    assert not isinstance(file["yanked"], str) or anchor["data-yanked"] == file["yanked"]


@point("Requires-Python is told alike in both forms, and escaped", "PEP 503")
def _(a: Asker) -> None:
    file = a.file(lambda f: f.get("requires-python"))
    anchor = next(x for x in a.page().links if x["href"].startswith(file["url"]))
    assert anchor["data-requires-python"] == file["requires-python"]


@point("a metadata file is told under both names and hashes to what is told", "PEP 658, 714")
def _(a: Asker) -> None:
    file = a.file(lambda f: f.get("core-metadata"))
    assert file["dist-info-metadata"] == file["core-metadata"]
    anchor = next(x for x in a.page().links if x["href"].startswith(file["url"]))
    assert anchor["data-core-metadata"] == anchor["data-dist-info-metadata"]
    got = a.get(file["url"] + ".metadata")
    assert got.status == 200, got.status
    assert hashlib.sha256(got.body).hexdigest() == file["core-metadata"]["sha256"]


@point("a file without metadata has none to fetch", "PEP 658")
def _(a: Asker) -> None:
    file = a.file(lambda f: not f.get("core-metadata"))
    assert a.get(file["url"] + ".metadata").status == 404


@point("signatures are told alike in both forms", "PEP 503, 691")
def _(a: Asker) -> None:
    file = a.file(lambda f: "gpg-sig" in f)
    anchor = next(x for x in a.page().links if x["href"].startswith(file["url"]))
    assert anchor["data-gpg-sig"] == str(file["gpg-sig"]).lower()


@point("provenance is a whole URL, alike in both forms", "PEP 740")
def _(a: Asker) -> None:
    file = a.file(lambda f: f.get("provenance"))
    anchor = next(x for x in a.page().links if x["href"].startswith(file["url"]))
    assert anchor["data-provenance"] == file["provenance"] and "://" in file["provenance"]


@point("tracks and alternate locations are told alike in both forms", "PEP 708")
def _(a: Asker) -> None:
    index = a.index()
    tracks, others = index["meta"].get("tracks", []), index.get("alternate-locations", [])
    if not tracks and not others:
        raise Skip("neither is told")
    metas = a.page().metas
    assert [v for n, v in metas if n == "pypi:tracks"] == tracks
    assert [v for n, v in metas if n == "pypi:alternate-locations"] == others


@point("the project's status is told alike in both forms", "PEP 792")
def _(a: Asker) -> None:
    status = a.index().get("project-status")
    if status is None:
        raise Skip("no status is told")
    metas = dict(a.page().metas)
    assert metas["pypi:project-status"] == status["status"]
    assert metas.get("pypi:project-status-reason") == status.get("reason")
    assert status["status"] != "quarantined" or not a.index()["files"]


# Conditions, codings, ranges --------------------------------------------------------------------------------


@point("HEAD has the fields of GET and no body", "RFC 9110 9.3.2")
def _(a: Asker) -> None:
    for path, more in ((a.path, {"Accept": JSON}), (a.path, {}), (a.file()["url"], {})):
        got, head = a.get(path, **more), a.get(path, "HEAD", **more)
        assert head.status == got.status and not head.body
        for name in ("content-length", "content-type", "etag", "vary"):
            assert head.fields.get(name) == got.fields.get(name), name


@point("each form has its own tag, and a held one is a 304", "RFC 9110 8.8.3, 13.1.2")
def _(a: Asker) -> None:
    tags = set()
    for accept in (JSON, "text/html"):
        for coding in ("identity", "gzip"):
            got = a.get(a.path, Accept=accept, Accept_Encoding=coding)
            tags.add((got.fields["etag"], got.fields.get("content-encoding")))
            same = a.get(
                a.path, Accept=accept, Accept_Encoding=coding, If_None_Match=f'"x", W/{got.fields["etag"]}'
            )
            assert same.status == 304 and not same.body and same.fields["etag"] == got.fields["etag"]
    assert len({tag for tag, _ in tags}) == len(tags)


@point("an index in gzip is the index", "RFC 9110 8.4, 12.5.3")
def _(a: Asker) -> None:
    plain = a.get(a.path, Accept=JSON, Accept_Encoding="identity")
    assert "content-encoding" not in plain.fields
    zipped = a.get(a.path, Accept=JSON, Accept_Encoding="br, gzip;q=0.8")
    assert zipped.fields.get("content-encoding") == "gzip" and gzip.decompress(zipped.body) == plain.body
    assert "accept-encoding" in zipped.fields["vary"].lower()
    assert "content-encoding" not in a.get(a.path, Accept_Encoding="gzip;q=0, identity").fields
    assert a.get(a.path, Accept_Encoding="gzip;q=0, identity;q=0").status == 406


@point("a file's bytes hash to the digest in its URL", "PEP 503; the operators' rule")
def _(a: Asker) -> None:
    for file in a.index()["files"][:5]:
        got = a.get(file["url"])
        assert got.status == 200 and hashlib.sha256(got.body).hexdigest() == file["hashes"]["sha256"]
        assert file["hashes"]["sha256"] in file["url"]


@point("another digest, or a file that is not named, is sent back to the index", "the operators' rule")
def _(a: Asker) -> None:
    file = a.file()
    for path in (file["url"].replace(file["hashes"]["sha256"], "0" * 64), f"{file['url']}x"):
        got = a.get(path)
        assert got.status in (404, 410) and a.path in got.fields["link"], got


@point("a file is never coded, whatever the client takes", "RFC 9110 8.4")
def _(a: Asker) -> None:
    assert "content-encoding" not in a.get(a.file()["url"], Accept_Encoding="gzip").fields


@point("files say that ranges are served", "RFC 9110 14.3")
def _(a: Asker) -> None:
    assert a.get(a.file()["url"]).fields.get("accept-ranges") == "bytes"


@point("first, middle, open and suffix ranges are the bytes meant", "RFC 9110 14.1.2, 15.3.7")
def _(a: Asker) -> None:
    url = a.file(lambda f: f.get("size", 10) >= 10)["url"]
    whole = a.get(url).body
    size = len(whole)
    for asked, first, end in (("0-0", 0, 1), ("2-5", 2, 6), (f"{size - 3}-", size - 3, size),
                              ("-4", size - 4, size), (f"0-{size * 2}", 0, size)):  # fmt: skip
        got = a.get(url, Range=f"bytes={asked}")
        assert got.status == 206 and got.body == whole[first:end], (asked, got.status)
        assert got.fields["content-range"] == f"bytes {first}-{end - 1}/{size}"
        assert got.fields["content-length"] == str(end - first)


@point("a range past the end is a 416 that tells the size", "RFC 9110 15.5.17")
def _(a: Asker) -> None:
    url = a.file()["url"]
    size = len(a.get(url).body)
    for asked in (f"{size}-", f"{size + 5}-{size + 9}", "-0"):
        got = a.get(url, Range=f"bytes={asked}")
        assert got.status == 416 and got.fields["content-range"] == f"bytes */{size}", (asked, got.status)


@point("a range field that means nothing is answered whole", "RFC 9110 14.2")
def _(a: Asker) -> None:
    url = a.file()["url"]
    for asked in ("bytes=5-2", "lines=1-2", "bytes=a-b", "bytes=", "bytes=0-0,5-6"):
        assert a.get(url, Range=asked).status == 200, asked


@point("If-Range gives the range for the same tag alone", "RFC 9110 13.1.5")
def _(a: Asker) -> None:
    url = a.file()["url"]
    tag = a.get(url).fields["etag"]
    for condition, status in ((tag, 206), ('"other"', 200), (f"W/{tag}", 200),
                              ("Thu, 01 Jan 2026 00:00:00 GMT", 200)):  # fmt: skip
        assert a.get(url, Range="bytes=0-0", If_Range=condition).status == status, condition


@point("a condition comes before a range, and HEAD knows no range", "RFC 9110 13.2.2, 14.2")
def _(a: Asker) -> None:
    url = a.file()["url"]
    tag = a.get(url).fields["etag"]
    assert a.get(url, Range="bytes=0-0", If_None_Match=tag).status == 304
    assert a.get(url, "HEAD", Range="bytes=0-0").status == 200


@point("caches must ask each time, and are told the age", "RFC 9111 5.2.2.4, 5.1")
def _(a: Asker) -> None:
    for path in (a.path, a.file()["url"]):
        got = a.get(path)
        assert "no-cache" in got.fields["cache-control"] and got.fields["age"].isdigit()


@point("other methods are a 405 that names those served", "RFC 9110 15.5.6")
def _(a: Asker) -> None:
    for method in ("DELETE", "PUT"):
        got = a.get(a.path, method)
        assert got.status == 405 and "GET" in got.fields["allow"] and "HEAD" in got.fields["allow"]


@dataclass(frozen=True)
class Line:
    point: Point
    verdict: str  # ok, skipped, failed
    why: str = ""


def run(asker: Asker) -> list[Line]:
    """All points, in order. What a point trips over is its failure, not the run's."""
    lines = []
    for one in POINTS:
        try:
            one.check(asker)
            lines.append(Line(one, "ok"))
        except Skip as skip:
            lines.append(Line(one, "skipped", str(skip)))
        except Exception as error:
            lines.append(Line(one, "failed", f"{type(error).__name__} {error}"[:300]))
    return lines


def main(argv: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        prog="hallproxy.lab.conformance", description="Points a repository must hold."
    )
    parser.add_argument("--at", default="127.0.0.1:8081")
    parser.add_argument("--project", required=True)
    parser.add_argument("--secret", default="", help="TEAM:TOKEN")
    args = parser.parse_args(argv)
    host, _, port = args.at.rpartition(":")
    if not host.startswith("127."):
        parser.error("only loopback addresses are asked")
    lines = run(Asker(host, int(port), args.project, args.secret))
    for line in lines:
        print(
            f"{line.verdict:8} {line.point.name} ({line.point.section}){': ' + line.why if line.why else ''}"
        )
    failed = sum(line.verdict == "failed" for line in lines)
    print(f"{sum(line.verdict == 'ok' for line in lines)} held, {failed} failed, of {len(lines)}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
