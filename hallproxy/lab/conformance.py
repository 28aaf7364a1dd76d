"""Conformance checks of a package repository front at any loopback address.

    python -m hallproxy.lab.conformance --at 127.0.0.1:8081 --project charger-fw

Each requirement names the section that it comes from, sends requests and checks the responses. The report has
a line for each; the exit status is 1 if one fails. Requirements for which the
project's index has no data are reported as skipped.
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


class Skipped(Exception):
    """The repository has no data to check this requirement with."""


@dataclass
class HttpResponse:
    status: int
    headers: dict[str, str]
    body: bytes


class Anchors(HTMLParser):
    def __init__(self) -> None:
        super().__init__()
        self.links: list[dict[str, str]] = []
        self.metas: list[tuple[str, str]] = []

    def handle_starttag(self, tag: str, attrs: list[tuple[str, str | None]]) -> None:
        attributes = {name: value or "" for name, value in attrs}
        if tag == "a":
            self.links.append(attributes)
        elif tag == "meta":
            self.metas.append((attributes.get("name", ""), attributes.get("content", "")))


@dataclass
class Client:
    host: str
    port: int
    project: str
    secret: str = ""
    held: dict[str, Any] = field(default_factory=dict)

    def get(self, path: str, method: str = "GET", **headers: str) -> HttpResponse:
        connection = http.client.HTTPConnection(self.host, self.port, timeout=30)
        request_headers = {name.replace("_", "-"): value for name, value in headers.items()}
        if self.secret:
            request_headers["Authorization"] = "Basic " + base64.b64encode(self.secret.encode()).decode()
        try:
            connection.request(method, path, headers=request_headers)
            response = connection.getresponse()
            return HttpResponse(
                response.status, {k.lower(): v for k, v in response.getheaders()}, response.read()
            )
        finally:
            connection.close()

    @property
    def path(self) -> str:
        return f"/simple/{self.project}/"

    def index(self) -> dict[str, Any]:
        response = self.get(self.path, Accept=JSON)
        assert response.status == 200, f"status {response.status}"
        found = json.loads(response.body)
        assert isinstance(found, dict)
        return found

    def page(self) -> Anchors:
        page = Anchors()
        page.feed(self.get(self.path, Accept="text/html").body.decode())
        return page

    def file(self, predicate: Callable[[dict[str, Any]], Any] = lambda f: True) -> dict[str, Any]:
        found = next((f for f in self.index()["files"] if predicate(f)), None)
        if found is None:
            raise Skipped("no such file in the index")
        return dict(found)


@dataclass(frozen=True)
class Requirement:
    name: str
    section: str
    check: Callable[[Client], None]


REQUIREMENTS: list[Requirement] = []


def requirement(name: str, section: str) -> Callable[[Callable[[Client], None]], Callable[[Client], None]]:
    def register(check: Callable[[Client], None]) -> Callable[[Client], None]:
        REQUIREMENTS.append(Requirement(name, section, check))
        return check

    return register


# Names and formats ------------------------------------------------------------------------------------------


@requirement("the list of projects contains the project, in both formats", "PEP 503, 691")
def _(client: Client) -> None:
    names = [p["name"] for p in json.loads(client.get("/simple/", Accept=JSON).body)["projects"]]
    assert client.project in [re.sub(r"[-_.]+", "-", n).lower() for n in names]
    assert f"/simple/{client.project}/" in client.get("/simple/").body.decode()


@requirement("a name that is not normalized or lacks the final slash is redirected", "PEP 503")
def _(client: Client) -> None:
    for path in (f"/simple/{client.project.upper().replace('-', '_')}/", f"/simple/{client.project}"):
        response = client.get(path)
        assert response.status in (301, 308) and response.headers["location"].endswith(client.path), response


@requirement("an unknown project gives a 404", "PEP 691")
def _(client: Client) -> None:
    assert client.get("/simple/no-such-project-here/").status == 404


@requirement("the format is the one that the client prefers, and is declared", "PEP 691; RFC 9110 12.5.1")
def _(client: Client) -> None:
    for accept, media in (
        (JSON, JSON),
        (f"{JSON}, {HTML};q=0.2, text/html;q=0.01", JSON),
        (f"{HTML}, {JSON};q=0.5", HTML),
        ("application/vnd.pypi.simple.latest+json", JSON),
        ("text/html", "text/html"),
        ("*/*", "text/html"),
    ):
        response = client.get(client.path, Accept=accept)
        assert response.headers["content-type"].split(";")[0] == media, (
            accept,
            response.headers["content-type"],
        )
        assert "accept" in response.headers["vary"].lower()


@requirement("an unsupported format gives a 406", "PEP 691; RFC 9110 15.5.7")
def _(client: Client) -> None:
    assert client.get(client.path, Accept="image/png").status == 406


@requirement("the API version is given in both formats", "PEP 629, 691")
def _(client: Client) -> None:
    version = client.index()["meta"]["api-version"]
    assert re.fullmatch(r"1\.\d+", version), version
    declared = dict(client.page().metas).get("pypi:repository-version", "")
    assert re.fullmatch(r"1\.\d+", declared), declared


@requirement("both formats list the same files with the same digests", "PEP 503, 691")
def _(client: Client) -> None:
    named = {f["url"].split("#")[0]: f["hashes"]["sha256"] for f in client.index()["files"]}
    anchors = {x["href"].split("#")[0]: x["href"].split("#sha256=")[1] for x in client.page().links}
    assert anchors == named and all(re.fullmatch("[0-9a-f]{64}", d) for d in named.values())


# Contents of an index ---------------------------------------------------------------------------------------


@requirement("from 1.1 on, versions, sizes and upload times are present", "PEP 700")
def _(client: Client) -> None:
    index = client.index()
    if index["meta"]["api-version"] == "1.0":
        raise Skipped("the index has version 1.0")
    assert index["versions"] and len(set(index["versions"])) == len(index["versions"])
    for file in index["files"]:
        assert type(file["size"]) is int
        uploaded = file.get("upload-time")
        assert uploaded is None or re.fullmatch(r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d{1,6})?Z", uploaded)


@requirement("the size in the index is the size served", "PEP 700")
def _(client: Client) -> None:
    file = client.file(lambda f: "size" in f)
    assert len(client.get(file["url"]).body) == file["size"]


@requirement("yanked files are marked equally in both formats", "PEP 592")
def _(client: Client) -> None:
    file = client.file(lambda f: f.get("yanked"))
    anchor = next(x for x in client.page().links if x["href"].startswith(file["url"]))
    assert "data-yanked" in anchor
    assert not isinstance(file["yanked"], str) or anchor["data-yanked"] == file["yanked"]


@requirement("Requires-Python is the same in both formats, and escaped", "PEP 503")
def _(client: Client) -> None:
    file = client.file(lambda f: f.get("requires-python"))
    anchor = next(x for x in client.page().links if x["href"].startswith(file["url"]))
    assert anchor["data-requires-python"] == file["requires-python"]


@requirement("a metadata file is listed under both names and has the listed digest", "PEP 658, 714")
def _(client: Client) -> None:
    file = client.file(lambda f: f.get("core-metadata"))
    assert file["dist-info-metadata"] == file["core-metadata"]
    anchor = next(x for x in client.page().links if x["href"].startswith(file["url"]))
    assert anchor["data-core-metadata"] == anchor["data-dist-info-metadata"]
    response = client.get(file["url"] + ".metadata")
    assert response.status == 200, response.status
    assert hashlib.sha256(response.body).hexdigest() == file["core-metadata"]["sha256"]


@requirement("the metadata of a file without metadata gives a 404", "PEP 658")
def _(client: Client) -> None:
    file = client.file(lambda f: not f.get("core-metadata"))
    assert client.get(file["url"] + ".metadata").status == 404


@requirement("signatures are the same in both formats", "PEP 503, 691")
def _(client: Client) -> None:
    file = client.file(lambda f: "gpg-sig" in f)
    anchor = next(x for x in client.page().links if x["href"].startswith(file["url"]))
    assert anchor["data-gpg-sig"] == str(file["gpg-sig"]).lower()


@requirement("provenance is an absolute URL, the same in both formats", "PEP 740")
def _(client: Client) -> None:
    file = client.file(lambda f: f.get("provenance"))
    anchor = next(x for x in client.page().links if x["href"].startswith(file["url"]))
    assert anchor["data-provenance"] == file["provenance"] and "://" in file["provenance"]


@requirement("tracks and alternate locations are the same in both formats", "PEP 708")
def _(client: Client) -> None:
    index = client.index()
    tracks, locations = index["meta"].get("tracks", []), index.get("alternate-locations", [])
    if not tracks and not locations:
        raise Skipped("the index has neither")
    metas = client.page().metas
    assert [v for n, v in metas if n == "pypi:tracks"] == tracks
    assert [v for n, v in metas if n == "pypi:alternate-locations"] == locations


@requirement("the project's status is the same in both formats", "PEP 792")
def _(client: Client) -> None:
    status = client.index().get("project-status")
    if status is None:
        raise Skipped("the index has no status")
    metas = dict(client.page().metas)
    assert metas["pypi:project-status"] == status["status"]
    assert metas.get("pypi:project-status-reason") == status.get("reason")
    assert status["status"] != "quarantined" or not client.index()["files"]


# Conditions, encodings, ranges ------------------------------------------------------------------------------


@requirement("HEAD returns the header fields of GET and no body", "RFC 9110 9.3.2")
def _(client: Client) -> None:
    for path, request_headers in (
        (client.path, {"Accept": JSON}),
        (client.path, {}),
        (client.file()["url"], {}),
    ):
        response, head = client.get(path, **request_headers), client.get(path, "HEAD", **request_headers)
        assert head.status == response.status and not head.body
        for name in ("content-length", "content-type", "etag", "vary"):
            assert head.headers.get(name) == response.headers.get(name), name


@requirement("each representation has its own ETag, and a matching one gives a 304", "RFC 9110 8.8.3, 13.1.2")
def _(client: Client) -> None:
    tags = set()
    for accept in (JSON, "text/html"):
        for coding in ("identity", "gzip"):
            response = client.get(client.path, Accept=accept, Accept_Encoding=coding)
            tags.add((response.headers["etag"], response.headers.get("content-encoding")))
            revalidated = client.get(
                client.path,
                Accept=accept,
                Accept_Encoding=coding,
                If_None_Match=f'"x", W/{response.headers["etag"]}',
            )
            assert (
                revalidated.status == 304
                and not revalidated.body
                and revalidated.headers["etag"] == response.headers["etag"]
            )
    assert len({tag for tag, _ in tags}) == len(tags)


@requirement("an index in gzip decodes to the index", "RFC 9110 8.4, 12.5.3")
def _(client: Client) -> None:
    plain = client.get(client.path, Accept=JSON, Accept_Encoding="identity")
    assert "content-encoding" not in plain.headers
    gzipped = client.get(client.path, Accept=JSON, Accept_Encoding="br, gzip;q=0.8")
    assert gzipped.headers.get("content-encoding") == "gzip" and gzip.decompress(gzipped.body) == plain.body
    assert "accept-encoding" in gzipped.headers["vary"].lower()
    assert "content-encoding" not in client.get(client.path, Accept_Encoding="gzip;q=0, identity").headers
    assert client.get(client.path, Accept_Encoding="gzip;q=0, identity;q=0").status == 406


@requirement("a file's bytes hash to the digest in its URL", "PEP 503; the operators' rule")
def _(client: Client) -> None:
    for file in client.index()["files"][:5]:
        response = client.get(file["url"])
        assert (
            response.status == 200 and hashlib.sha256(response.body).hexdigest() == file["hashes"]["sha256"]
        )
        assert file["hashes"]["sha256"] in file["url"]


@requirement("another digest, or a file that is not listed, links back to the index", "the operators' rule")
def _(client: Client) -> None:
    file = client.file()
    for path in (file["url"].replace(file["hashes"]["sha256"], "0" * 64), f"{file['url']}x"):
        response = client.get(path)
        assert response.status in (404, 410) and client.path in response.headers["link"], response


@requirement("a file is never encoded, whatever the client accepts", "RFC 9110 8.4")
def _(client: Client) -> None:
    assert "content-encoding" not in client.get(client.file()["url"], Accept_Encoding="gzip").headers


@requirement("files declare that ranges are served", "RFC 9110 14.3")
def _(client: Client) -> None:
    assert client.get(client.file()["url"]).headers.get("accept-ranges") == "bytes"


@requirement("first, middle, open and suffix ranges give the requested bytes", "RFC 9110 14.1.2, 15.3.7")
def _(client: Client) -> None:
    url = client.file(lambda f: f.get("size", 10) >= 10)["url"]
    content = client.get(url).body
    size = len(content)
    for requested, first, end in (("0-0", 0, 1), ("2-5", 2, 6), (f"{size - 3}-", size - 3, size),
                              ("-4", size - 4, size), (f"0-{size * 2}", 0, size)):  # fmt: skip
        response = client.get(url, Range=f"bytes={requested}")
        assert response.status == 206 and response.body == content[first:end], (requested, response.status)
        assert response.headers["content-range"] == f"bytes {first}-{end - 1}/{size}"
        assert response.headers["content-length"] == str(end - first)


@requirement("a range past the end gives a 416 with the size", "RFC 9110 15.5.17")
def _(client: Client) -> None:
    url = client.file()["url"]
    size = len(client.get(url).body)
    for requested in (f"{size}-", f"{size + 5}-{size + 9}", "-0"):
        response = client.get(url, Range=f"bytes={requested}")
        assert response.status == 416 and response.headers["content-range"] == f"bytes */{size}", (
            requested,
            response.status,
        )


@requirement("an invalid range is ignored and gives the complete file", "RFC 9110 14.2")
def _(client: Client) -> None:
    url = client.file()["url"]
    for requested in ("bytes=5-2", "lines=1-2", "bytes=a-b", "bytes=", "bytes=0-0,5-6"):
        assert client.get(url, Range=requested).status == 200, requested


@requirement("If-Range gives the range only for the same strong ETag", "RFC 9110 13.1.5")
def _(client: Client) -> None:
    url = client.file()["url"]
    tag = client.get(url).headers["etag"]
    for condition, status in ((tag, 206), ('"other"', 200), (f"W/{tag}", 200),
                              ("Thu, 01 Jan 2026 00:00:00 GMT", 200)):  # fmt: skip
        assert client.get(url, Range="bytes=0-0", If_Range=condition).status == status, condition


@requirement("a condition takes precedence over a range, and HEAD ignores ranges", "RFC 9110 13.2.2, 14.2")
def _(client: Client) -> None:
    url = client.file()["url"]
    tag = client.get(url).headers["etag"]
    assert client.get(url, Range="bytes=0-0", If_None_Match=tag).status == 304
    assert client.get(url, "HEAD", Range="bytes=0-0").status == 200


@requirement("caches must revalidate each time, and responses have an age", "RFC 9111 5.2.2.4, 5.1")
def _(client: Client) -> None:
    for path in (client.path, client.file()["url"]):
        response = client.get(path)
        assert "no-cache" in response.headers["cache-control"] and response.headers["age"].isdigit()


@requirement("other methods give a 405 that lists the allowed ones", "RFC 9110 15.5.6")
def _(client: Client) -> None:
    for method in ("DELETE", "PUT"):
        response = client.get(client.path, method)
        assert (
            response.status == 405
            and "GET" in response.headers["allow"]
            and "HEAD" in response.headers["allow"]
        )


@dataclass(frozen=True)
class Result:
    requirement: Requirement
    verdict: str  # ok, skipped, failed
    reason: str = ""


def run(client: Client) -> list[Result]:
    """Check all requirements, in order. Any exception in a check fails that requirement, not the run."""
    results = []
    for requirement in REQUIREMENTS:
        try:
            requirement.check(client)
            results.append(Result(requirement, "ok"))
        except Skipped as skip:
            results.append(Result(requirement, "skipped", str(skip)))
        except Exception as error:
            results.append(Result(requirement, "failed", f"{type(error).__name__} {error}"[:300]))
    return results


def main(argv: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        prog="hallproxy.lab.conformance", description="Checks a repository for conformance."
    )
    parser.add_argument("--at", default="127.0.0.1:8081")
    parser.add_argument("--project", required=True)
    parser.add_argument("--secret", default="", help="TEAM:TOKEN")
    args = parser.parse_args(argv)
    host, _, port = args.at.rpartition(":")
    if not host.startswith("127."):
        parser.error("--at must be a loopback address (127.*)")
    results = run(Client(host, int(port), args.project, args.secret))
    for result in results:
        print(
            f"{result.verdict:8} {result.requirement.name} ({result.requirement.section})"
            f"{': ' + result.reason if result.reason else ''}"
        )
    failed = sum(result.verdict == "failed" for result in results)
    print(f"{sum(result.verdict == 'ok' for result in results)} passed, {failed} failed, of {len(results)}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
