"""The repository front under test, and stand-ins for its upstream repositories, on loopback."""

from __future__ import annotations

import base64
import hashlib
import http.client
import json
import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

from hallproxy.repository import simple
from tests.support.gateway import (
    ROOT,
    ChangeLog,
    HttpStandIn,
    Program,
    ReceivedRequest,
    now_ms,
    response,
    until,
)

DEPLOY = (ROOT / "deploy" / "repository.toml").read_text()
PROJECT = "charger-fw"


def sha256_hex(data: bytes) -> str:
    return hashlib.sha256(data).hexdigest()


class RepositoryStandIn:
    """An upstream repository whose files and index a test can replace at any time."""

    def __init__(self) -> None:
        self.files: dict[str, bytes] = {"a-1.whl": b"a" * 3000, "b-1.whl": b"b" * 5000}
        self.indexed: dict[str, bytes] | None = None  # what the index lists, if other than ``files``
        self.hook: Callable[[ReceivedRequest], bytes | None] | None = None
        self.last_current_ms: dict[str, int] = {}  # digest of a body -> Unix ms when it was last current
        self.http = HttpStandIn(self._reply)
        self.html = False

    def _reply(self, request: ReceivedRequest) -> bytes | None:
        if self.hook is not None and (reply := self.hook(request)) != b"pass":
            return reply
        name = request.path.rsplit("/", 1)[1]
        if request.path == f"/simple/{PROJECT}/":
            return self._index()
        if request.path == "/simple/":
            body = json.dumps({"meta": {"api-version": "1.0"}, "projects": [{"name": PROJECT}]}).encode()
            return response(200, body, Content_Type=simple.JSON)
        if request.path.startswith("/pool/") and name in self.files:
            return response(200, self.files[name])
        return response(404)

    def _index(self) -> bytes:
        listed = self.files if self.indexed is None else self.indexed
        if self.html:
            lines = [f'<a href="/pool/{n}#sha256={sha256_hex(b)}">{n}</a>' for n, b in listed.items()]
            return response(200, "".join(lines).encode(), Content_Type="text/html")
        files = [
            {"filename": n, "url": f"/pool/{n}", "hashes": {"sha256": sha256_hex(b)}}
            for n, b in listed.items()
        ]
        top = {"meta": {"api-version": "1.0"}, "name": PROJECT, "files": files}
        return response(200, json.dumps(top).encode(), Content_Type=simple.JSON)


@dataclass
class FrontResponse:
    status: int
    fields: dict[str, str]
    body: bytes


@dataclass
class Front:
    path: Path
    upstreams: list[RepositoryStandIn] = field(default_factory=lambda: [RepositoryStandIn()])

    def start(self, text: str = DEPLOY, contracts: bool = False) -> Front:
        self.log = ChangeLog()
        self.seq = 0
        text = text.replace('listen = "127.0.0.1:8081"', 'listen = "127.0.0.1:0"')
        text = re.sub(r"# changelog = \S+", f'changelog = "{self.log.address}"', text)
        if contracts:
            text = re.sub(r"# contracts = \S+", 'contracts = "contracts.json"', text)
        tables = "".join(
            f'[[upstream]]\nid = "r-{n}"\naddress = "{s.http.address}"\n'
            for n, s in enumerate(self.upstreams)
        )
        text = re.sub(r"\[\[upstream\]\]\nid.*\naddress.*\n", tables, text)
        (self.path / "repository.toml").write_text(text)
        self.program = Program("repository", str(self.path / "repository.toml"))
        return self

    def get(self, path: str, method: str = "GET", **fields: str) -> FrontResponse:
        connection = http.client.HTTPConnection("127.0.0.1", self.program.port, timeout=10)
        try:
            connection.request(method, path, headers={k.replace("_", "-"): v for k, v in fields.items()})
            answer = connection.getresponse()
            return FrontResponse(answer.status, {k.lower(): v for k, v in answer.getheaders()}, answer.read())
        finally:
            connection.close()

    def file_urls(self, **fields: str) -> dict[str, str]:
        index = self.get(f"/simple/{PROJECT}/", Accept=simple.JSON, **fields)
        assert index.status == 200, index
        return {f["filename"]: f["url"] for f in json.loads(index.body)["files"]}

    def purge(self, at: int | None = None) -> int:
        at = at or now_ms()
        obj = f"{simple.object_id(PROJECT):016x}"
        seq = self.log.add(invalidate={"object": obj, "time": at})
        until(lambda: self.log.acknowledged(seq))
        return at


def basic_auth(team: str, token: str) -> str:
    return "Basic " + base64.b64encode(f"{team}:{token}".encode()).decode()


def stop_after_test(front: Front) -> Iterator[Front]:
    """Yield a front to one test; afterwards stop it, if started, and check its exit code."""
    yield front
    if hasattr(front, "program"):
        assert front.program.stop() == 0
