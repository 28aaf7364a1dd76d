"""The Simple repository API: indexes as HTML (PEP 503) and JSON (PEP 691), files named by their digest.

Upstream indexes of either form become one canonical JSON text, which is what the core carries and keeps;
a served index is written anew from it, each file's URL carrying the digest of the bytes it stands for.
"""

from __future__ import annotations

import hashlib
import html
import json
import re
from collections.abc import Iterable
from dataclasses import dataclass
from functools import lru_cache
from html.parser import HTMLParser
from typing import Any
from urllib.parse import quote, unquote, urldefrag, urljoin, urlsplit

from hallproxy import interface as i
from hallproxy.state.effects import Order
from hallproxy.state.events import Reason, Result
from hallproxy.wire.http1 import Head

SECOND = 1_000_000_000
JSON = "application/vnd.pypi.simple.v1+json"
HTML = "application/vnd.pypi.simple.v1+html"
PLAIN_HTML = "text/html"
_ALIASES = {
    "application/vnd.pypi.simple.latest+json": JSON,
    "application/vnd.pypi.simple.latest+html": HTML,
}
_DIGEST = re.compile(r"[0-9a-f]{64}")
_PROJECT = re.compile(r"[A-Za-z0-9](?:[A-Za-z0-9._-]{0,198}[A-Za-z0-9])?")
_FILE = re.compile(r"[A-Za-z0-9][A-Za-z0-9._+!~-]{0,254}")


class BadIndex(ValueError):
    """An index that can't be read."""


@dataclass(slots=True, frozen=True)
class File:
    """One file of an index; ``url`` is the path at the upstream repository."""

    name: str
    url: str
    digest: str
    requires_python: str = ""
    yanked: str | bool = False
    size: int | None = None
    uploaded: str = ""


@dataclass(slots=True, frozen=True)
class Index:
    """A project's files, or with an empty project the repository's list of projects."""

    project: str
    files: tuple[File, ...] = ()
    projects: tuple[str, ...] = ()

    def file(self, name: str) -> File | None:
        return next((f for f in self.files if f.name == name), None)


@dataclass(slots=True, frozen=True)
class Wanted:
    """What a request's path names. Neither project nor file: the list of projects."""

    project: str = ""
    digest: str = ""
    file: str = ""
    moved: str = ""  # the path it should have had


def normal(project: str) -> str:
    """A project's name as PEP 503 compares it."""
    return re.sub(r"[-_.]+", "-", project).lower()


def object_id(project: str) -> int:
    """The object that purges name: the first eight bytes of the normal name's digest."""
    return int.from_bytes(hashlib.sha256(normal(project).encode()).digest()[:8], "big") or 1


def read_target(target: str) -> Wanted | None:
    """The request's path; None: nothing is served there."""
    parts = unquote(target.split("?")[0]).split("/")
    match parts:
        case ["", "simple", ""]:
            return Wanted()
        case ["", "simple"]:
            return Wanted(moved="/simple/")
        case ["", "simple", project, *rest] if _PROJECT.fullmatch(project) and rest in ([], [""]):
            path = f"/simple/{normal(project)}/"
            return Wanted(normal(project), moved="" if path == "/".join(parts) else path)
        case ["", "files", project, digest, name]:
            if _PROJECT.fullmatch(project) and _DIGEST.fullmatch(digest) and _FILE.fullmatch(name):
                return Wanted(normal(project), digest, name)
    return None


def file_path(project: str, file: File) -> str:
    return f"/files/{project}/{file.digest}/{quote(file.name)}"


# What upstream says --------------------------------------------------------------------------------------


class _Links(HTMLParser):
    def __init__(self) -> None:
        super().__init__(convert_charrefs=True)
        self.links: list[tuple[dict[str, str | None], list[str]]] = []
        self._open = False

    def handle_starttag(self, tag: str, attrs: list[tuple[str, str | None]]) -> None:
        if tag == "a":
            self.links.append((dict(attrs), []))
            self._open = True

    def handle_endtag(self, tag: str) -> None:
        self._open = self._open and tag != "a"

    def handle_data(self, data: str) -> None:
        if self._open:
            self.links[-1][1].append(data)


def read_index(body: bytes, media: str, path: str, hosts: Iterable[str] = ()) -> Index:
    """An upstream index in either form. Files without a SHA-256 can't be vouched for and are left out."""
    project = normal(path.strip("/").split("/")[-1]) if path.strip("/") != "simple" else ""
    try:
        if media.split(";")[0].strip().lower() in (JSON, "application/json"):
            return _from_json(json.loads(body), project, path, set(hosts))
        return _from_html(body.decode("utf-8"), project, path, set(hosts))
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise BadIndex(f"an index that can't be read: {type(error).__name__} {error}") from None


def _place(path: str, url: str, hosts: set[str]) -> str:
    """The path at the upstream repository that a link of its index leads to; empty: elsewhere."""
    full = urlsplit(urljoin(f"http://upstream{path}", url))
    if full.netloc != "upstream" and full.netloc not in hosts:
        return ""
    place = quote(full.path, safe="/%:@!$&'()*+,;=~") + (f"?{full.query}" if full.query else "")
    return place if re.fullmatch(r"/[!-~]*", place) else ""


def _from_json(top: dict[str, Any], project: str, path: str, hosts: set[str]) -> Index:
    if not str(top["meta"]["api-version"]).startswith("1."):
        raise ValueError("an API version other than 1")
    if not project:
        return Index("", projects=tuple(str(p["name"]) for p in top["projects"]))
    files = [
        File(
            str(entry["filename"]),
            _place(path, entry["url"], hosts),
            str(entry["hashes"].get("sha256", "")).lower(),
            entry.get("requires-python") or "",
            entry.get("yanked") or False,
            entry.get("size"),
            entry.get("upload-time") or "",
        )
        for entry in top["files"]
    ]
    return Index(project, tuple(f for f in files if _servable(f)))


def _from_html(text: str, project: str, path: str, hosts: set[str]) -> Index:
    links = _Links()
    links.feed(text)
    links.close()
    if not project:
        return Index("", projects=tuple("".join(said).strip() for _, said in links.links))
    files = []
    for attrs, said in links.links:
        url, fragment = urldefrag(attrs.get("href") or "")
        algorithm, _, digest = fragment.partition("=")
        yanked: str | bool = (attrs["data-yanked"] or True) if "data-yanked" in attrs else False
        files.append(
            File(
                "".join(said).strip(),
                _place(path, url, hosts),
                digest.lower() if algorithm == "sha256" else "",
                attrs.get("data-requires-python") or "",
                yanked,
            )
        )
    return Index(project, tuple(f for f in files if _servable(f)))


def _servable(file: File) -> bool:
    return bool(_FILE.fullmatch(file.name) and _DIGEST.fullmatch(file.digest) and file.url)


def pack_index(index: Index) -> bytes:
    """The canonical text that the core carries."""
    return render_json(index, lambda f: f.url)


@lru_cache(maxsize=64)
def unpack_index(body: bytes, project: str) -> Index:
    """A packed index. Remembered by its bytes, as each file of a project needs it anew."""
    return read_index(body, JSON, f"/simple/{project}/" if project else "/simple/")


def render_json(index: Index, place: Any) -> bytes:
    top: dict[str, Any] = {"meta": {"api-version": "1.0"}}
    if not index.project:
        top["projects"] = [{"name": name} for name in index.projects]
    else:
        top["name"] = index.project
        top["files"] = [
            {
                "filename": f.name,
                "url": place(f),
                "hashes": {"sha256": f.digest},
                **({"requires-python": f.requires_python} if f.requires_python else {}),
                **({"yanked": f.yanked} if f.yanked else {}),
                **({"size": f.size} if f.size is not None else {}),
                **({"upload-time": f.uploaded} if f.uploaded else {}),
            }
            for f in index.files
        ]
    return json.dumps(top, separators=(",", ":")).encode()


def render_html(index: Index) -> bytes:
    if not index.project:
        lines = [f'<a href="/simple/{normal(p)}/">{html.escape(p)}</a><br>' for p in index.projects]
    else:
        lines = []
        for f in index.files:
            more = ""
            if f.requires_python:
                more += f' data-requires-python="{html.escape(f.requires_python)}"'
            if f.yanked:
                more += f' data-yanked="{html.escape(f.yanked) if isinstance(f.yanked, str) else ""}"'
            url = f"{file_path(index.project, f)}#sha256={f.digest}"
            lines.append(f'<a href="{url}"{more}>{html.escape(f.name)}</a><br>')
    title = html.escape(index.project or "Simple index")
    start = '<!DOCTYPE html>\n<html><head><meta name="pypi:repository-version" content="1.0">'
    return "\n".join([f"{start}<title>{title}</title></head><body>", *lines, "</body></html>\n"]).encode()


def render(index: Index, media: str) -> bytes:
    if media == JSON:
        return render_json(index, lambda f: file_path(index.project, f))
    return render_html(index)


def choose(accept: str) -> str | None:
    """The form to answer in by the Accept header; None: none that is spoken here will do."""
    if not accept.strip():
        return PLAIN_HTML
    best: tuple[float, int] = (0.0, 0)
    chosen = None
    for part in accept.split(","):
        media, *params = (p.strip().lower() for p in part.split(";"))
        media = _ALIASES.get(media, media)
        weight = 1.0
        for param in params:
            if param.startswith("q="):
                try:
                    weight = float(param[2:])
                except ValueError:
                    weight = 0.0
        known = {JSON: (JSON, 3), HTML: (HTML, 2), PLAIN_HTML: (PLAIN_HTML, 2)}
        known |= {"text/*": (PLAIN_HTML, 1), "*/*": (PLAIN_HTML, 1), "application/*": (JSON, 1)}
        if media in known and weight > 0 and (weight, known[media][1]) > best:
            best = (weight, known[media][1])
            chosen = known[media][0]
    return chosen


def same(tag: str, if_none_match: str) -> bool:
    """Whether the client's condition names the tag (weakly compared)."""
    held = [t.strip().removeprefix("W/") for t in if_none_match.split(",")]
    return "*" in held or f'"{tag}"' in held


# What goes upstream --------------------------------------------------------------------------------------


class Upstream:
    """The wire to an upstream repository, for the effect runner."""

    pause = 2.0  # s; the way there may be long, and a lost packet alone costs some tenths

    def __init__(self, most: int, hosts: Iterable[str]) -> None:
        self.configure(most, hosts)

    def configure(self, most: int, hosts: Iterable[str]) -> None:
        self.most = most
        self._hosts = tuple(hosts)

    def head(self, order: Order, host: str) -> bytes:
        lines = [f"GET {order.name} HTTP/1.1", f"Host: {host}", "User-Agent: hallproxy"]
        if not order.digest:
            lines.append(f"Accept: {JSON}, {HTML};q=0.2, {PLAIN_HTML};q=0.1")
        if order.max_age:
            # After a purge: nothing that a cache on the way has held since before it.
            lines.append(f"Cache-Control: max-age={order.max_age // SECOND}")
        return "\r\n".join([*lines, "", ""]).encode()

    def read(self, order: Order, head: Head, body: bytes, sent_at: int) -> Result:
        """An answer in the core's terms. Only bytes that hash to what the index named are a good one."""
        if head.status in (404, 410):
            return Result(i.Status.MISS, reason=Reason.ABSENT)
        if head.status in (429, 503):
            return Result(i.Status.FULL, reason=Reason.BUSY)
        if head.status != 200:
            return Result(i.Status.ERROR, reason=Reason.ERROR)
        # Made after the request went out, unless a cache on the way says how long it has held it.
        age = head.fields.get("age", "0")
        born = sent_at - (int(age) + 1) * SECOND if age.isdigit() and int(age) else sent_at
        if order.digest:
            if hashlib.sha256(body).hexdigest() != order.digest:
                return Result(i.Status.MISS, reason=Reason.REPLACED)
            return Result(i.Status.OK, body, order.held == order.digest, order.digest, born)
        try:
            media = head.fields.get("content-type", PLAIN_HTML)
            packed = pack_index(read_index(body, media, order.name, self._hosts))
        except BadIndex:
            return Result(i.Status.ERROR, reason=Reason.ERROR)
        return Result(i.Status.OK, packed, False, hashlib.sha256(packed).hexdigest(), born)

