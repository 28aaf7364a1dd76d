"""The Simple repository API: indexes as HTML (PEP 503) and JSON (PEP 691), files named by their digest.

What else indexes tell goes through both forms: yanked files (592), signatures (503), metadata files (658,
714), versions, sizes and upload times (700), tracks and alternate locations (708), provenance (740), project
status (792). An index is served under the API version that upstream told: nothing is claimed beyond it.

Upstream indexes of either form become one canonical JSON text, which is what the core carries and keeps;
a served index is written anew from it, each file's URL carrying the digest of the bytes it stands for.
"""

from __future__ import annotations

import hashlib
import html
import json
import re
import ssl
import threading
from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from functools import cached_property, lru_cache
from html.parser import HTMLParser
from typing import Any
from urllib.parse import quote, unquote, urldefrag, urljoin, urlsplit

from hallproxy import interface as i
from hallproxy.repository import codings
from hallproxy.state.effects import UpstreamRequest
from hallproxy.state.events import AttemptResult, FailureReason
from hallproxy.wire.http1 import Head

SECOND = 1_000_000_000
JSON = "application/vnd.pypi.simple.v1+json"
HTML = "application/vnd.pypi.simple.v1+html"
PLAIN_HTML = "text/html"
METADATA = ".metadata"  # what a file's URL ends with where its metadata is meant (PEP 658)
MINOR = 4  # of the highest API version 1.x that is spoken here (PEP 792)
_STATUSES = ("active", "archived", "quarantined", "deprecated")
_ALIASES = {
    "application/vnd.pypi.simple.latest+json": JSON,
    "application/vnd.pypi.simple.latest+html": HTML,
}
SLICE = 200  # entries of an index that are written in one call
LARGE = 262_144  # bytes of an index from which reading it is cut into small steps
_BLANK = re.compile(r"[ \t\r\n]*")
_PLAIN = re.compile(r"(?:/[A-Za-z0-9_~+!-][A-Za-z0-9._~+!-]*)+")  # no dots to resolve, nothing to quote
_TAG = re.compile(r'(?:W/)?"[!#-~]*"')
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
    metadata: str = ""  # SHA-256 of its metadata file; empty: there is none that can be vouched for
    signed: bool | None = None  # whether there is a signature; None: not told
    provenance: str = ""  # URL


@dataclass(frozen=True)
class Index:
    """A project's files, or with an empty project the repository's list of projects."""

    project: str
    files: tuple[File, ...] = ()
    projects: tuple[str, ...] = ()
    minor: int = 0  # of the API version 1.x that upstream told
    versions: tuple[str, ...] = ()
    status: str = ""  # empty: not told, which is active
    status_reason: str = ""
    tracks: tuple[str, ...] = ()
    alternates: tuple[str, ...] = ()

    @cached_property
    def _by_name(self) -> dict[str, File]:
        return {f.name: f for f in reversed(self.files)}

    def file(self, name: str) -> File | None:
        return self._by_name.get(name)


@dataclass(slots=True, frozen=True)
class Wanted:
    """What a request's path names. Neither project nor file: the list of projects."""

    project: str = ""
    digest: str = ""
    file: str = ""
    moved: str = ""  # the path it should have had
    metadata: bool = False  # the file's metadata, not its bytes


def normal(project: str) -> str:
    """A project's name as PEP 503 compares it."""
    return re.sub(r"[-_.]+", "-", project).lower()


@lru_cache(maxsize=4096)
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
                base = name.removesuffix(METADATA)
                return Wanted(normal(project), digest, base, metadata=base != name)
    return None


def file_path(project: str, file: File) -> str:
    return f"/files/{project}/{file.digest}/{quote(file.name)}"


def metadata_url(url: str) -> str:
    """Where a file's metadata lies: its URL's path with the ending, ahead of any query (PEP 658)."""
    path, mark, query = url.partition("?")
    return f"{path}{METADATA}{mark}{query}"


# What upstream says --------------------------------------------------------------------------------------


class _Links(HTMLParser):
    def __init__(self) -> None:
        super().__init__(convert_charrefs=True)
        self.links: list[tuple[dict[str, str | None], list[str]]] = []
        self.meta: dict[str, list[str]] = {}
        self._open = False

    def handle_starttag(self, tag: str, attrs: list[tuple[str, str | None]]) -> None:
        if tag == "a":
            self.links.append((dict(attrs), []))
            self._open = True

        elif tag == "meta":
            told = dict(attrs)
            name = told.get("name") or ""
            if name.startswith("pypi:"):
                self.meta.setdefault(name[5:], []).append(told.get("content") or "")

    def handle_endtag(self, tag: str) -> None:
        self._open = self._open and tag != "a"

    def handle_data(self, data: str) -> None:
        if self._open:
            self.links[-1][1].append(data)


def read_index(body: bytes, media: str, path: str, hosts: Iterable[str] = (), prefix: str = "") -> Index:
    """An upstream index in either form. Files without a SHA-256 can't be vouched for and are left out.

    ``path`` is the index's own (``/simple/NAME/``); ``prefix`` what the upstream's paths begin with, against
    which relative links are read.
    """
    project = normal(path.strip("/").split("/")[-1]) if path.strip("/") != "simple" else ""
    try:
        if media.split(";")[0].strip().lower() in (JSON, "application/json"):
            return _from_json(_loads(body), project, prefix + path, set(hosts))
        return _from_html(body.decode("utf-8"), project, prefix + path, set(hosts))
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise BadIndex(f"an index that can't be read: {type(error).__name__} {error}") from None


def _loads(body: bytes) -> Any:
    """JSON, the elements of a large one's arrays one by one.

    Guards against one long call that keeps all other threads waiting: 30 MB at once took a third of a second.
    """
    if len(body) < LARGE:
        return json.loads(body)
    text, decode = body.decode("utf-8"), json.JSONDecoder().raw_decode
    top: dict[str, Any] = {}
    try:
        at = _after(text, 0, "{")
        while text[at] != "}":
            key, at = decode(text, at)
            at = _after(text, _blank(text, at), ":")
            if text[at] != "[":
                top[key], at = decode(text, at)
            else:
                top[key] = found = []
                at = _blank(text, at + 1)
                while text[at] != "]":
                    element, at = decode(text, at)
                    found.append(element)
                    at = _blank(text, at)
                    if text[at] != "]":
                        at = _element(text, at)
                at += 1
            at = _blank(text, at)
            if text[at] != "}":
                at = _element(text, at)
        if _blank(text, at + 1) != len(text):
            raise ValueError("something behind the object")
    except (IndexError, StopIteration):
        raise ValueError("an object that does not end") from None
    return top


def _blank(text: str, at: int) -> int:
    found = _BLANK.match(text, at)
    return found.end() if found else at


def _after(text: str, at: int, mark: str) -> int:
    at = _blank(text, at)
    if text[at] != mark:
        raise ValueError(f"no {mark!r} at {at}")
    return _blank(text, at + 1)


def _element(text: str, at: int) -> int:
    """The start of the next element: one must follow a comma."""
    at = _after(text, at, ",")
    if text[at] in "]}":
        raise ValueError(f"nothing behind the comma at {at}")
    return at


def _place(path: str, url: str, hosts: set[str]) -> str:
    """The path at the upstream repository that a link of its index leads to; empty: elsewhere."""
    if _PLAIN.fullmatch(url):
        return url  # most are whole paths already, and taking URLs apart costs most of reading an index
    full = urlsplit(urljoin(f"http://upstream{path}", url))
    if full.netloc != "upstream" and full.netloc not in hosts:
        return ""
    place = quote(full.path, safe="/%:@!$&'()*+,;=~") + (f"?{full.query}" if full.query else "")
    return place if re.fullmatch(r"/[!-~]*", place) else ""


def _from_json(top: dict[str, Any], project: str, path: str, hosts: set[str]) -> Index:
    meta = top["meta"]
    minor = _minor(str(meta["api-version"]))
    if not project:
        return Index("", projects=tuple(str(p["name"]) for p in top["projects"]), minor=minor)
    files = [
        File(
            str(entry["filename"]),
            _place(path, entry["url"], hosts),
            str(entry["hashes"].get("sha256", "")).lower(),
            entry.get("requires-python") or "",
            entry.get("yanked") or False,
            entry.get("size"),
            entry.get("upload-time") or "",
            _metadata(entry.get("core-metadata", entry.get("dist-info-metadata"))),
            entry.get("gpg-sig"),
            _url(entry.get("provenance")),
        )
        for entry in top["files"]
    ]
    status = top.get("project-status") or {}
    return Index(
        project,
        _offered(files, status.get("status")),
        minor=minor,
        versions=tuple(str(v) for v in top.get("versions") or ()),
        status=_status(status.get("status")),
        status_reason=str(status.get("reason") or ""),
        tracks=_urls(meta.get("tracks")),
        alternates=_urls(top.get("alternate-locations")),
    )


def _minor(version: str) -> int:
    """Of an API version 1.x, as far as it is spoken here; another major version can't be read (PEP 629)."""
    major, _, minor = version.partition(".")
    if major != "1" or not minor.isdigit():
        raise ValueError("an API version other than 1")
    return min(int(minor), MINOR)


def _metadata(told: Any) -> str:
    """The SHA-256 of a metadata file. One that is only said to be there can't be checked, so it is none."""
    digest = str(told.get("sha256", "")).lower() if isinstance(told, dict) else ""
    return digest if _DIGEST.fullmatch(digest) else ""


def _url(told: Any) -> str:
    """A whole URL; what is relative would lead to here, where it is not served."""
    return told if isinstance(told, str) and urlsplit(told).scheme in ("http", "https") else ""


def _urls(told: Any) -> tuple[str, ...]:
    return tuple(url for url in map(_url, told) if url) if isinstance(told, list) else ()


def _status(told: Any) -> str:
    # An unknown word is none of the specification's: clients take such a project for an active one.
    return str(told) if told in _STATUSES else ""


def _from_html(text: str, project: str, path: str, hosts: set[str]) -> Index:
    links = _Links()
    links.feed(text)
    links.close()
    minor = _minor(links.meta.get("repository-version", ["1.0"])[0])
    if not project:
        return Index("", projects=tuple("".join(said).strip() for _, said in links.links), minor=minor)
    files = []
    for attrs, said in links.links:
        url, fragment = urldefrag(attrs.get("href") or "")
        algorithm, _, digest = fragment.partition("=")
        yanked: str | bool = (attrs["data-yanked"] or True) if "data-yanked" in attrs else False
        told = attrs.get("data-core-metadata", attrs.get("data-dist-info-metadata")) or ""
        kind, _, value = told.partition("=")
        signed = attrs.get("data-gpg-sig")
        files.append(
            File(
                "".join(said).strip(),
                _place(path, url, hosts),
                digest.lower() if algorithm == "sha256" else "",
                attrs.get("data-requires-python") or "",
                yanked,
                metadata=_metadata({kind: value}),
                signed=None if signed is None else signed == "true",
                provenance=_url(attrs.get("data-provenance")),
            )
        )
    return Index(
        project,
        _offered(files, next(iter(links.meta.get("project-status", ())), "")),
        minor=minor,
        status=_status(next(iter(links.meta.get("project-status", ())), "")),
        status_reason=next(iter(links.meta.get("project-status-reason", ())), ""),
        tracks=_urls(links.meta.get("tracks")),
        alternates=_urls(links.meta.get("alternate-locations")),
    )


def _offered(files: Iterable[File], status: object) -> tuple[File, ...]:
    """The files that may be served: none of a quarantined project, whatever upstream names (PEP 792)."""
    return () if status == "quarantined" else tuple(f for f in files if _servable(f))


def _servable(file: File) -> bool:
    return bool(_FILE.fullmatch(file.name) and _DIGEST.fullmatch(file.digest) and file.url)


def pack_index(index: Index) -> bytes:
    """The canonical text that the core carries."""
    return render_json(index, lambda f: f.url, index.minor)


class Remembered:
    """Indexes by the digest of their packed text, as each file of a project needs its index anew.

    Large ones are read in threads, so there is a lock.
    """

    def __init__(self, most: int = 250_000) -> None:
        self._most, self._files = most, 0  # files of all those held
        self._held: OrderedDict[str, Index] = OrderedDict()
        self._lock = threading.Lock()

    def put(self, tag: str, index: Index) -> None:
        with self._lock:
            if tag not in self._held:
                self._put(tag, index)
            self._held.move_to_end(tag)

    def _put(self, tag: str, index: Index) -> None:
        self._held[tag] = index
        self._files += 1 + len(index.files) + len(index.projects)
        while self._files > self._most and len(self._held) > 1:
            _, old = self._held.popitem(last=False)
            self._files -= 1 + len(old.files) + len(old.projects)

    def get(self, tag: str) -> Index | None:
        with self._lock:
            index = self._held.get(tag)
            if index is not None:
                self._held.move_to_end(tag)
            return index


def unpack_index(body: bytes, project: str, tag: str = "", held: Remembered | None = None) -> Index:
    """A packed index; taken from what is remembered where its tag is."""
    index = held.get(tag) if held is not None and tag else None
    if index is None:
        index = read_index(body, JSON, f"/simple/{project}/" if project else "/simple/")
        if held is not None and tag:
            held.put(tag, index)
    return index


def _told_minor(index: Index) -> int:
    """From 1.1 on versions and sizes must be there (PEP 700): without them an index is one of 1.0."""
    whole = not index.project or (bool(index.versions) and all(f.size is not None for f in index.files))
    return index.minor if whole else 0


def render_json(index: Index, place: Any, minor: int | None = None) -> bytes:
    minor = _told_minor(index) if minor is None else minor
    meta: dict[str, Any] = {"api-version": f"1.{minor}"}
    top: dict[str, Any] = {"meta": meta}
    if not index.project:
        top["projects"] = [{"name": name} for name in index.projects]
        return json.dumps(top, separators=(",", ":")).encode()
    if index.tracks:
        meta["tracks"] = list(index.tracks)
    top["name"] = index.project
    if index.versions:
        top["versions"] = list(index.versions)
    if index.status:
        top["project-status"] = {"status": index.status}
        if index.status_reason:
            top["project-status"]["reason"] = index.status_reason
    if index.alternates:
        top["alternate-locations"] = list(index.alternates)
    # Piece by piece, for the same reason as in _loads.
    start = json.dumps(top, separators=(",", ":"))[:-1]
    pieces = []
    for at in range(0, len(index.files), SLICE):
        entries = [_entry(f, place(f)) for f in index.files[at : at + SLICE]]
        pieces.append(json.dumps(entries, separators=(",", ":"))[1:-1])
    return f'{start},"files":[{",".join(pieces)}]}}'.encode()


def _entry(file: File, place: str) -> dict[str, Any]:
    entry: dict[str, Any] = {"filename": file.name, "url": place, "hashes": {"sha256": file.digest}}
    if file.requires_python:
        entry["requires-python"] = file.requires_python
    if file.yanked:
        entry["yanked"] = file.yanked
    if file.size is not None:
        entry["size"] = file.size
    if file.uploaded:
        entry["upload-time"] = file.uploaded
    if file.metadata:
        # Under both names: clients from before PEP 714 know only the second.
        entry["core-metadata"] = entry["dist-info-metadata"] = {"sha256": file.metadata}
    if file.signed is not None:
        entry["gpg-sig"] = file.signed
    if file.provenance:
        entry["provenance"] = file.provenance
    return entry


def _meta(name: str, value: str) -> str:
    return f'<meta name="pypi:{name}" content="{html.escape(value)}">'


def render_html(index: Index) -> bytes:
    if not index.project:
        lines = [f'<a href="/simple/{normal(p)}/">{html.escape(p)}</a><br>' for p in index.projects]
    else:
        lines = [_anchor(index.project, f) for f in index.files]
    title = html.escape(index.project or "Simple index")
    metas = [_meta("repository-version", f"1.{index.minor}")]
    if index.status:
        metas.append(_meta("project-status", index.status))
    if index.status_reason:
        metas.append(_meta("project-status-reason", index.status_reason))
    metas += [_meta("tracks", url) for url in index.tracks]
    metas += [_meta("alternate-locations", url) for url in index.alternates]
    start = f"<!DOCTYPE html>\n<html><head>{''.join(metas)}"
    return "\n".join([f"{start}<title>{title}</title></head><body>", *lines, "</body></html>\n"]).encode()


def _anchor(project: str, file: File) -> str:
    more = ""
    if file.requires_python:
        more += f' data-requires-python="{html.escape(file.requires_python)}"'
    if file.yanked:
        more += f' data-yanked="{html.escape(file.yanked) if isinstance(file.yanked, str) else ""}"'
    if file.metadata:
        told = f"sha256={file.metadata}"
        more += f' data-core-metadata="{told}" data-dist-info-metadata="{told}"'
    if file.signed is not None:
        more += f' data-gpg-sig="{str(file.signed).lower()}"'
    if file.provenance:
        more += f' data-provenance="{html.escape(file.provenance)}"'
    url = f"{file_path(project, file)}#sha256={file.digest}"
    return f'<a href="{url}"{more}>{html.escape(file.name)}</a><br>'


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
    for media, weight in codings.weights(accept).items():
        media = _ALIASES.get(media, media)
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


def _validator(field: str) -> str:
    """An entity tag that may be sent back as it came; empty: it is none."""
    return field if len(field) <= 256 and _TAG.fullmatch(field) else ""


# What goes upstream --------------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class Way:
    """How one upstream is spoken to: ``prefix`` of its paths ("" or "/a/b"); ``authorization``, the field's
    whole value ("" for none). It is sent to that upstream's address alone, and never logged or passed on."""

    prefix: str = ""
    authorization: str = ""
    tls: ssl.SSLContext | None = None  # None: plain HTTP
    server_name: str = ""  # the name that its certificate must bear, and the Host field; "": the address

    def __repr__(self) -> str:
        told = "…" if self.authorization else ""
        return f"Way(prefix={self.prefix!r}, authorization={told!r}, tls={self.tls is not None})"


NO_WAY = Way()


class Upstream:
    """The wire to an upstream repository, for the effect runner."""

    stall_timeout = 2.0  # s; the way there may be long, and a lost packet alone costs some tenths

    def __init__(self, most: int, hosts: Iterable[str], ways: Mapping[str, Way] | None = None) -> None:
        self.indexes = Remembered()
        self.configure(most, hosts, ways)

    def configure(self, most: int, hosts: Iterable[str], ways: Mapping[str, Way] | None = None) -> None:
        """``ways``: by address, the prefix of an upstream's paths and what it is told of who asks."""
        self.max_body_bytes = most
        self._hosts = tuple(hosts)
        self._ways = dict(ways or {})

    def head(self, request: UpstreamRequest, host: str) -> bytes:
        way = self._ways.get(host, NO_WAY)
        # Indexes are asked by their own path under the prefix; a file by the path its index named.
        name = request.name if request.digest else way.prefix + request.name
        lines = [f"GET {name} HTTP/1.1", f"Host: {way.server_name or host}", "User-Agent: hallproxy"]
        if way.authorization:
            lines.append(f"Authorization: {way.authorization}")
        if not request.digest:
            lines.append(f"Accept: {JSON}, {HTML};q=0.2, {PLAIN_HTML};q=0.1")
        if request.validator:
            lines.append(f"If-None-Match: {request.validator}")
        if request.range_from:
            lines += [f"Range: bytes={request.range_from}-", f"If-Range: {request.if_range}"]
        if request.max_age:
            # After a purge: nothing that a cache on the way has held since before it.
            lines.append(f"Cache-Control: max-age={request.max_age // SECOND}")
        return "\r\n".join([*lines, "", ""]).encode()

    def tls(self, host: str) -> tuple[ssl.SSLContext, str] | None:
        """The context to speak TLS to ``host`` with, and the name its certificate must bear; None: plain."""
        way = self._ways.get(host, NO_WAY)
        if way.tls is None:
            return None
        return way.tls, way.server_name or host.rsplit(":", 1)[0]

    def read(
        self, request: UpstreamRequest, head: Head, body: bytes, sent_at: int, host: str = ""
    ) -> AttemptResult:
        """An answer in the core's terms. Only bytes that hash to what the index named are a good one."""
        if head.status in (404, 410):
            return AttemptResult(i.AttemptStatus.MISS, reason=FailureReason.NOT_FOUND)
        if head.status in (429, 503):
            return AttemptResult(i.AttemptStatus.FULL, reason=FailureReason.BUSY)
        if head.status != 200 and not (head.status == 304 and request.validator):
            return AttemptResult(i.AttemptStatus.ERROR, reason=FailureReason.ERROR)
        # Made after the request went out, unless a cache on the way says how long it has held it.
        age = head.fields.get("age", "0")
        born = sent_at - (int(age) + 1) * SECOND if age.isdigit() and int(age) else sent_at
        if head.status == 304:
            return AttemptResult(i.AttemptStatus.OK, generated_at=born, revalidated=True)
        if request.digest:
            if hashlib.sha256(body).hexdigest() != request.digest:
                return AttemptResult(i.AttemptStatus.MISS, reason=FailureReason.REPLACED)
            return AttemptResult(
                i.AttemptStatus.OK, body, request.client_etag == request.digest, request.digest, born
            )
        try:
            media = head.fields.get("content-type", PLAIN_HTML)
            index = read_index(body, media, request.name, self._hosts, self._ways.get(host, NO_WAY).prefix)
        except BadIndex:
            return AttemptResult(i.AttemptStatus.ERROR, reason=FailureReason.ERROR)
        packed = pack_index(index)
        tag = hashlib.sha256(packed).hexdigest()
        self.indexes.put(tag, index)
        validator = _validator(head.fields.get("etag", ""))
        return AttemptResult(i.AttemptStatus.OK, packed, False, tag, born, validator=validator)
