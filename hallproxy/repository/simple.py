"""The Simple repository API: indexes as HTML (PEP 503) and JSON (PEP 691), files named by their digest.

Both formats also carry yanked files (592), signatures (503), metadata files (658, 714), versions, sizes and
upload times (700), tracks and alternate locations (708), provenance (740) and project status (792). An index
is served under the API version that upstream declared, never a higher one.

Upstream indexes of either format become one canonical JSON text, which the core carries and caches; a served
index is rendered from it, with the digest of each file's bytes in the file's URL.
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
from typing import Any
from urllib.parse import quote, unquote, urldefrag, urljoin, urlsplit

from lxml import etree

from hallproxy import interface as i
from hallproxy.repository import codings
from hallproxy.state.effects import UpstreamRequest
from hallproxy.state.events import AttemptResult, FailureReason
from hallproxy.wire.http1 import Head, decode_delta_seconds

SECOND = 1_000_000_000  # ns
JSON = "application/vnd.pypi.simple.v1+json"
HTML = "application/vnd.pypi.simple.v1+html"
PLAIN_HTML = "text/html"
METADATA_SUFFIX = ".metadata"  # appended to a file's URL for its metadata (PEP 658)
MAX_MINOR_VERSION = 4  # of the highest supported API version 1.x (PEP 792)
_PROJECT_STATUSES = ("active", "archived", "quarantined", "deprecated")
_MEDIA_TYPE_ALIASES = {
    "application/vnd.pypi.simple.latest+json": JSON,
    "application/vnd.pypi.simple.latest+html": HTML,
}
ENTRIES_PER_CALL = 200  # entries of an index that are encoded in one call
HTML_BYTES_PER_CALL = 65_536  # bytes of an index that are parsed in one call
LARGE_INDEX_BYTES = 262_144  # bytes from which an index is decoded in small steps
_WHITESPACE = re.compile(r"[ \t\r\n]*")
_PLAIN_PATH = re.compile(r"(?:/[A-Za-z0-9_~+!-][A-Za-z0-9._~+!-]*)+")  # no dots to resolve, nothing to quote
_ENTITY_TAG = re.compile(r'(?:W/)?"[!#-~]*"')
_DIGEST = re.compile(r"[0-9a-f]{64}")
_PROJECT_NAME = re.compile(r"[A-Za-z0-9](?:[A-Za-z0-9._-]{0,198}[A-Za-z0-9])?")
_FILE_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._+!~-]{0,254}")


class BadIndex(ValueError):
    """An index that can't be decoded."""


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
    metadata: str = ""  # SHA-256 of its metadata file; empty: none that can be verified
    has_signature: bool | None = None  # None: not declared
    provenance: str = ""  # URL


@dataclass(frozen=True)
class Index:
    """A project's files, or with an empty project the repository's list of projects."""

    project: str
    files: tuple[File, ...] = ()
    projects: tuple[str, ...] = ()
    minor: int = 0  # of the API version 1.x that upstream declared
    versions: tuple[str, ...] = ()
    status: str = ""  # empty: not declared, which means active
    status_reason: str = ""
    tracks: tuple[str, ...] = ()
    alternate_locations: tuple[str, ...] = ()

    @cached_property
    def _by_name(self) -> dict[str, File]:
        return {f.name: f for f in reversed(self.files)}

    def file(self, name: str) -> File | None:
        return self._by_name.get(name)


@dataclass(slots=True, frozen=True)
class Target:
    """What a request's path names. Without project and file: the list of projects."""

    project: str = ""
    digest: str = ""
    file: str = ""
    redirect_path: str = ""  # the canonical path, where the request's is another
    is_metadata: bool = False  # the file's metadata, not its bytes


def normalize_name(project: str) -> str:
    """A project's name, normalized (PEP 503)."""
    return re.sub(r"[-_.]+", "-", project).lower()


@lru_cache(maxsize=4096)
def object_id(project: str) -> int:
    """The project's object id in purges: the first eight bytes of the normalized name's digest."""
    return int.from_bytes(hashlib.sha256(normalize_name(project).encode()).digest()[:8], "big") or 1


def parse_target(target: str) -> Target | None:
    """Parse the request's path; None: nothing is served there."""
    parts = unquote(target.split("?")[0]).split("/")
    match parts:
        case ["", "simple", ""]:
            return Target()
        case ["", "simple"]:
            return Target(redirect_path="/simple/")
        case ["", "simple", project, *rest] if _PROJECT_NAME.fullmatch(project) and rest in ([], [""]):
            path = f"/simple/{normalize_name(project)}/"
            return Target(normalize_name(project), redirect_path="" if path == "/".join(parts) else path)
        case ["", "files", project, digest, name]:
            if _PROJECT_NAME.fullmatch(project) and _DIGEST.fullmatch(digest) and _FILE_NAME.fullmatch(name):
                base = name.removesuffix(METADATA_SUFFIX)
                return Target(normalize_name(project), digest, base, is_metadata=base != name)
    return None


def file_path(project: str, file: File) -> str:
    return f"/files/{project}/{file.digest}/{quote(file.name)}"


def metadata_url(url: str) -> str:
    """The URL of a file's metadata: the suffix follows the path and precedes any query (PEP 658)."""
    path, separator, query = url.partition("?")
    return f"{path}{METADATA_SUFFIX}{separator}{query}"


# Decoding upstream indexes ------------------------------------------------------------------------------


class _Links:
    """Collects the links and the metadata of an HTML index, as the target of an lxml parser."""

    def __init__(self) -> None:
        self.links: list[tuple[dict[str, str], list[str]]] = []  # attributes and pieces of text
        self.meta: dict[str, list[str]] = {}
        self._in_link = False

    def start(self, tag: str, attributes: Mapping[str, str]) -> None:
        """Handle a start tag."""
        if tag == "a":
            self.links.append((dict(attributes), []))
            self._in_link = True
        elif tag == "meta":
            name = attributes.get("name") or ""
            if name.startswith("pypi:"):
                self.meta.setdefault(name[5:], []).append(attributes.get("content") or "")

    def end(self, tag: str) -> None:
        """Handle an end tag."""
        self._in_link = self._in_link and tag != "a"

    def data(self, text: str) -> None:
        """Handle text."""
        if self._in_link:
            self.links[-1][1].append(text)

    def close(self) -> None:
        """Handle the end of the page."""


def _parse_links(body: bytes) -> _Links:
    """Parse an HTML page; ValueError where it is not UTF-8.

    lxml takes time in proportion to the page, also where tags, quotes or comments are never closed.
    """
    body.decode("utf-8")  # lxml would replace invalid bytes
    links = _Links()
    parser = etree.HTMLParser(target=links, encoding="utf-8", huge_tree=True)
    for at in range(0, len(body), HTML_BYTES_PER_CALL):
        parser.feed(body[at : at + HTML_BYTES_PER_CALL])
    if body:
        parser.close()
    return links


def read_index(body: bytes, media: str, path: str, hosts: Iterable[str] = (), prefix: str = "") -> Index:
    """Decode an upstream index of either format. Files without a SHA-256 can't be verified and are omitted.

    ``path`` is the index's own (``/simple/NAME/``); ``prefix`` is that of the upstream's paths. Relative
    links are resolved against both.
    """
    project = normalize_name(path.strip("/").split("/")[-1]) if path.strip("/") != "simple" else ""
    try:
        if media.split(";")[0].strip().lower() in (JSON, "application/json"):
            return _from_json(_load_json(body), project, prefix + path, set(hosts))
        return _from_html(_parse_links(body), project, prefix + path, set(hosts))
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError, etree.LxmlError) as error:
        raise BadIndex(f"upstream index can't be decoded: {type(error).__name__} {error}") from None


def _load_json(body: bytes) -> Any:
    """Decode JSON, the arrays of a large object element by element.

    Guards against one long call that blocks all other threads: 30 MB at once took a third of a second.
    """
    if len(body) < LARGE_INDEX_BYTES:
        return json.loads(body)
    text, decode = body.decode("utf-8"), json.JSONDecoder().raw_decode
    top: dict[str, Any] = {}
    try:
        at = _skip_delimiter(text, 0, "{")
        while text[at] != "}":
            key, at = decode(text, at)
            at = _skip_delimiter(text, _skip_whitespace(text, at), ":")
            if text[at] != "[":
                top[key], at = decode(text, at)
            else:
                top[key] = elements = []
                at = _skip_whitespace(text, at + 1)
                while text[at] != "]":
                    element, at = decode(text, at)
                    elements.append(element)
                    at = _skip_whitespace(text, at)
                    if text[at] != "]":
                        at = _next_element(text, at)
                at += 1
            at = _skip_whitespace(text, at)
            if text[at] != "}":
                at = _next_element(text, at)
        if _skip_whitespace(text, at + 1) != len(text):
            raise ValueError("trailing data after the object")
    except (IndexError, StopIteration):
        raise ValueError("the object is truncated") from None
    return top


def _skip_whitespace(text: str, at: int) -> int:
    match = _WHITESPACE.match(text, at)
    return match.end() if match else at


def _skip_delimiter(text: str, at: int, delimiter: str) -> int:
    at = _skip_whitespace(text, at)
    if text[at] != delimiter:
        raise ValueError(f"expected {delimiter!r} at {at}")
    return _skip_whitespace(text, at + 1)


def _next_element(text: str, at: int) -> int:
    """The start of the next element, which must follow a comma."""
    at = _skip_delimiter(text, at, ",")
    if text[at] in "]}":
        raise ValueError(f"no element after the comma at {at}")
    return at


def _upstream_path(path: str, url: str, hosts: set[str]) -> str:
    """The path at the upstream repository that a link of its index refers to; empty: another host's."""
    if _PLAIN_PATH.fullmatch(url):
        return url  # most are absolute paths, and splitting URLs costs most of the time to decode an index
    full = urlsplit(urljoin(f"http://upstream{path}", url))
    if full.netloc != "upstream" and full.netloc not in hosts:
        return ""
    resolved = quote(full.path, safe="/%:@!$&'()*+,;=~") + (f"?{full.query}" if full.query else "")
    return resolved if re.fullmatch(r"/[!-~]*", resolved) else ""


def _from_json(top: dict[str, Any], project: str, path: str, hosts: set[str]) -> Index:
    meta = top["meta"]
    minor = _minor(str(meta["api-version"]))
    if not project:
        return Index("", projects=tuple(str(p["name"]) for p in top["projects"]), minor=minor)
    files = [
        File(
            str(entry["filename"]),
            _upstream_path(path, entry["url"], hosts),
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
        _servable_files(files, status.get("status")),
        minor=minor,
        versions=tuple(str(v) for v in top.get("versions") or ()),
        status=_status(status.get("status")),
        status_reason=str(status.get("reason") or ""),
        tracks=_urls(meta.get("tracks")),
        alternate_locations=_urls(top.get("alternate-locations")),
    )


def _minor(version: str) -> int:
    """Of an API version 1.x, at most the supported one; other major versions are rejected (PEP 629)."""
    major, _, minor = version.partition(".")
    if major != "1" or not minor.isdigit():
        raise ValueError("the index's API version is not 1.x")
    return min(int(minor), MAX_MINOR_VERSION)


def _metadata(declared: Any) -> str:
    """The SHA-256 of a metadata file; empty without one, as a file without a digest can't be verified."""
    digest = str(declared.get("sha256", "")).lower() if isinstance(declared, dict) else ""
    return digest if _DIGEST.fullmatch(digest) else ""


def _url(declared: Any) -> str:
    """An absolute URL, else empty: a relative one would refer to this front, which does not serve it."""
    return declared if isinstance(declared, str) and urlsplit(declared).scheme in ("http", "https") else ""


def _urls(declared: Any) -> tuple[str, ...]:
    return tuple(url for url in map(_url, declared) if url) if isinstance(declared, list) else ()


def _status(declared: Any) -> str:
    # An unknown status is not in the specification: clients treat such a project as active.
    return str(declared) if declared in _PROJECT_STATUSES else ""


def _from_html(links: _Links, project: str, path: str, hosts: set[str]) -> Index:
    minor = _minor(links.meta.get("repository-version", ["1.0"])[0])
    if not project:
        return Index(
            "", projects=tuple("".join(text_parts).strip() for _, text_parts in links.links), minor=minor
        )
    files = []
    for attrs, text_parts in links.links:
        url, fragment = urldefrag(attrs.get("href") or "")
        algorithm, _, digest = fragment.partition("=")
        yanked: str | bool = (attrs["data-yanked"] or True) if "data-yanked" in attrs else False
        core_metadata = attrs.get("data-core-metadata", attrs.get("data-dist-info-metadata")) or ""
        hash_name, _, hash_value = core_metadata.partition("=")
        signature = attrs.get("data-gpg-sig")
        files.append(
            File(
                "".join(text_parts).strip(),
                _upstream_path(path, url, hosts),
                digest.lower() if algorithm == "sha256" else "",
                attrs.get("data-requires-python") or "",
                yanked,
                metadata=_metadata({hash_name: hash_value}),
                has_signature=None if signature is None else signature == "true",
                provenance=_url(attrs.get("data-provenance")),
            )
        )
    return Index(
        project,
        _servable_files(files, next(iter(links.meta.get("project-status", ())), "")),
        minor=minor,
        status=_status(next(iter(links.meta.get("project-status", ())), "")),
        status_reason=next(iter(links.meta.get("project-status-reason", ())), ""),
        tracks=_urls(links.meta.get("tracks")),
        alternate_locations=_urls(links.meta.get("alternate-locations")),
    )


def _servable_files(files: Iterable[File], status: object) -> tuple[File, ...]:
    """The files that may be served: none of a quarantined project, whatever upstream lists (PEP 792)."""
    return () if status == "quarantined" else tuple(f for f in files if _is_servable(f))


def _is_servable(file: File) -> bool:
    return bool(_FILE_NAME.fullmatch(file.name) and _DIGEST.fullmatch(file.digest) and file.url)


def pack_index(index: Index) -> bytes:
    """Encode the index as the canonical text that the core carries."""
    return render_json(index, lambda f: f.url, index.minor)


class IndexCache:
    """Decoded indexes by the digest of their packed text: each request for a file needs its project's index.

    Large ones are decoded in threads, hence the lock.
    """

    def __init__(self, max_entries: int = 250_000) -> None:
        # Entries are the files and projects of all cached indexes, and one for each index.
        self._max_entries, self._entries = max_entries, 0
        self._indexes: OrderedDict[str, Index] = OrderedDict()  # least recently used first
        self._lock = threading.Lock()

    def put(self, tag: str, index: Index) -> None:
        with self._lock:
            if tag not in self._indexes:
                self._insert(tag, index)
            self._indexes.move_to_end(tag)

    def _insert(self, tag: str, index: Index) -> None:
        self._indexes[tag] = index
        self._entries += 1 + len(index.files) + len(index.projects)
        while self._entries > self._max_entries and len(self._indexes) > 1:
            _, old = self._indexes.popitem(last=False)
            self._entries -= 1 + len(old.files) + len(old.projects)

    def get(self, tag: str) -> Index | None:
        with self._lock:
            index = self._indexes.get(tag)
            if index is not None:
                self._indexes.move_to_end(tag)
            return index


def unpack_index(body: bytes, project: str, tag: str = "", cache: IndexCache | None = None) -> Index:
    """Decode a packed index; without decoding where ``cache`` has it under ``tag``."""
    index = cache.get(tag) if cache is not None and tag else None
    if index is None:
        index = read_index(body, JSON, f"/simple/{project}/" if project else "/simple/")
        if cache is not None and tag:
            cache.put(tag, index)
    return index


def _served_minor(index: Index) -> int:
    """From 1.1 on versions and sizes are required (PEP 700): without them an index is served as 1.0."""
    complete = not index.project or (bool(index.versions) and all(f.size is not None for f in index.files))
    return index.minor if complete else 0


def render_json(index: Index, url_of: Any, minor: int | None = None) -> bytes:
    minor = _served_minor(index) if minor is None else minor
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
    if index.alternate_locations:
        top["alternate-locations"] = list(index.alternate_locations)
    # In slices, for the same reason as in _load_json.
    start = json.dumps(top, separators=(",", ":"))[:-1]
    pieces = []
    for at in range(0, len(index.files), ENTRIES_PER_CALL):
        entries = [_entry(f, url_of(f)) for f in index.files[at : at + ENTRIES_PER_CALL]]
        pieces.append(json.dumps(entries, separators=(",", ":"))[1:-1])
    return f'{start},"files":[{",".join(pieces)}]}}'.encode()


def _entry(file: File, url: str) -> dict[str, Any]:
    entry: dict[str, Any] = {"filename": file.name, "url": url, "hashes": {"sha256": file.digest}}
    if file.requires_python:
        entry["requires-python"] = file.requires_python
    if file.yanked:
        entry["yanked"] = file.yanked
    if file.size is not None:
        entry["size"] = file.size
    if file.uploaded:
        entry["upload-time"] = file.uploaded
    if file.metadata:
        # Under both names: clients older than PEP 714 know only the second.
        entry["core-metadata"] = entry["dist-info-metadata"] = {"sha256": file.metadata}
    if file.has_signature is not None:
        entry["gpg-sig"] = file.has_signature
    if file.provenance:
        entry["provenance"] = file.provenance
    return entry


def _meta(name: str, value: str) -> str:
    return f'<meta name="pypi:{name}" content="{html.escape(value)}">'


def render_html(index: Index) -> bytes:
    if not index.project:
        lines = [f'<a href="/simple/{normalize_name(p)}/">{html.escape(p)}</a><br>' for p in index.projects]
    else:
        lines = [_anchor(index.project, f) for f in index.files]
    title = html.escape(index.project or "Simple index")
    metas = [_meta("repository-version", f"1.{index.minor}")]
    if index.status:
        metas.append(_meta("project-status", index.status))
    if index.status_reason:
        metas.append(_meta("project-status-reason", index.status_reason))
    metas += [_meta("tracks", url) for url in index.tracks]
    metas += [_meta("alternate-locations", url) for url in index.alternate_locations]
    start = f"<!DOCTYPE html>\n<html><head>{''.join(metas)}"
    return "\n".join([f"{start}<title>{title}</title></head><body>", *lines, "</body></html>\n"]).encode()


def _anchor(project: str, file: File) -> str:
    attributes = ""
    if file.requires_python:
        attributes += f' data-requires-python="{html.escape(file.requires_python)}"'
    if file.yanked:
        attributes += f' data-yanked="{html.escape(file.yanked) if isinstance(file.yanked, str) else ""}"'
    if file.metadata:
        digest = f"sha256={file.metadata}"
        attributes += f' data-core-metadata="{digest}" data-dist-info-metadata="{digest}"'
    if file.has_signature is not None:
        attributes += f' data-gpg-sig="{str(file.has_signature).lower()}"'
    if file.provenance:
        attributes += f' data-provenance="{html.escape(file.provenance)}"'
    url = f"{file_path(project, file)}#sha256={file.digest}"
    return f'<a href="{url}"{attributes}>{html.escape(file.name)}</a><br>'


def render(index: Index, media: str) -> bytes:
    if media == JSON:
        return render_json(index, lambda f: file_path(index.project, f))
    return render_html(index)


def choose_media_type(accept: str) -> str | None:
    """The response's media type by the Accept header; None: no supported one is accepted."""
    if not accept.strip():
        return PLAIN_HTML
    best: tuple[float, int] = (0.0, 0)
    chosen = None
    for media, weight in codings.weights(accept).items():
        media = _MEDIA_TYPE_ALIASES.get(media, media)
        known = {JSON: (JSON, 3), HTML: (HTML, 2), PLAIN_HTML: (PLAIN_HTML, 2)}
        known |= {"text/*": (PLAIN_HTML, 1), "*/*": (PLAIN_HTML, 1), "application/*": (JSON, 1)}
        if media in known and weight > 0 and (weight, known[media][1]) > best:
            best = (weight, known[media][1])
            chosen = known[media][0]
    return chosen


def matches_etag(tag: str, if_none_match: str) -> bool:
    """Whether If-None-Match names the tag (weak comparison)."""
    tags = [t.strip().removeprefix("W/") for t in if_none_match.split(",")]
    return "*" in tags or f'"{tag}"' in tags


def _validator(field: str) -> str:
    """The entity tag, if it is valid and may be sent back to upstream; else empty."""
    return field if len(field) <= 256 and _ENTITY_TAG.fullmatch(field) else ""


# Requests to upstream -----------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class UpstreamOptions:
    """How one upstream is requested: ``prefix`` of its paths ("" or "/a/b"); ``authorization``, the field's
    value ("" for none). It is sent to that upstream's address alone, and never logged or forwarded."""

    prefix: str = ""
    authorization: str = ""
    tls: ssl.SSLContext | None = None  # None: plain HTTP
    server_name: str = ""  # expected in its certificate, and the Host field; "": the address

    def __repr__(self) -> str:
        masked = "…" if self.authorization else ""
        return (
            f"UpstreamOptions(prefix={self.prefix!r}, authorization={masked!r}, tls={self.tls is not None})"
        )


DEFAULT_UPSTREAM_OPTIONS = UpstreamOptions()


class UpstreamCodec:
    """Encodes requests to upstream repositories and decodes their responses, for the effect runner."""

    stall_timeout = 2.0  # s; the round trip may be long, and one lost packet alone costs some tenths

    def __init__(
        self, max_body_bytes: int, hosts: Iterable[str], options: Mapping[str, UpstreamOptions] | None = None
    ) -> None:
        self.indexes = IndexCache()
        self.configure(max_body_bytes, hosts, options)

    def configure(
        self, max_body_bytes: int, hosts: Iterable[str], options: Mapping[str, UpstreamOptions] | None = None
    ) -> None:
        """Replace the limit, the hosts and the options (by upstream address)."""
        self.max_body_bytes = max_body_bytes
        self._hosts = tuple(hosts)
        self._options = dict(options or {})

    def head(self, request: UpstreamRequest, host: str) -> bytes:
        upstream_options = self._options.get(host, DEFAULT_UPSTREAM_OPTIONS)
        # An index is requested by its own path under the prefix; a file by the path that its index lists.
        path = request.name if request.digest else upstream_options.prefix + request.name
        lines = [
            f"GET {path} HTTP/1.1",
            f"Host: {upstream_options.server_name or host}",
            "User-Agent: hallproxy",
        ]
        if upstream_options.authorization:
            lines.append(f"Authorization: {upstream_options.authorization}")
        if not request.digest:
            lines.append(f"Accept: {JSON}, {HTML};q=0.2, {PLAIN_HTML};q=0.1")
        if request.validator:
            lines.append(f"If-None-Match: {request.validator}")
        if request.range_from:
            lines += [f"Range: bytes={request.range_from}-", f"If-Range: {request.if_range}"]
        if request.max_age:
            # After a purge: no copy that an intermediate cache has held since before it.
            lines.append(f"Cache-Control: max-age={request.max_age // SECOND}")
        return "\r\n".join([*lines, "", ""]).encode()

    def tls(self, host: str) -> tuple[ssl.SSLContext, str] | None:
        """The TLS context for ``host``, and the name expected in its certificate; None: plain HTTP."""
        upstream_options = self._options.get(host, DEFAULT_UPSTREAM_OPTIONS)
        if upstream_options.tls is None:
            return None
        return upstream_options.tls, upstream_options.server_name or host.rsplit(":", 1)[0]

    def read(
        self, request: UpstreamRequest, head: Head, body: bytes, sent_at: int, host: str = ""
    ) -> AttemptResult:
        """A response as the core's result. A file is OK only if its bytes match the digest in the index."""
        if head.status in (404, 410):
            return AttemptResult(i.AttemptStatus.MISS, reason=FailureReason.NOT_FOUND)
        if head.status in (429, 503):
            return AttemptResult(i.AttemptStatus.FULL, reason=FailureReason.BUSY)
        if head.status != 200 and not (head.status == 304 and request.validator):
            return AttemptResult(i.AttemptStatus.ERROR, reason=FailureReason.ERROR)
        # Generated after the request was sent, unless an intermediate cache declares the age of its copy.
        age = decode_delta_seconds(head.fields.get("age", ""))
        generated_at = sent_at - (age + 1) * SECOND if age else sent_at
        if head.status == 304:
            return AttemptResult(i.AttemptStatus.OK, generated_at=generated_at, revalidated=True)
        if request.digest:
            if hashlib.sha256(body).hexdigest() != request.digest:
                return AttemptResult(i.AttemptStatus.MISS, reason=FailureReason.REPLACED)
            return AttemptResult(
                i.AttemptStatus.OK, body, request.client_etag == request.digest, request.digest, generated_at
            )
        try:
            media = head.fields.get("content-type", PLAIN_HTML)
            index = read_index(
                body,
                media,
                request.name,
                self._hosts,
                self._options.get(host, DEFAULT_UPSTREAM_OPTIONS).prefix,
            )
        except BadIndex:
            return AttemptResult(i.AttemptStatus.ERROR, reason=FailureReason.ERROR)
        packed = pack_index(index)
        tag = hashlib.sha256(packed).hexdigest()
        self.indexes.put(tag, index)
        validator = _validator(head.fields.get("etag", ""))
        return AttemptResult(i.AttemptStatus.OK, packed, False, tag, generated_at, validator=validator)
