"""Upstreams with a path prefix and credentials: requests carry both, and the secret never leaks."""

from __future__ import annotations

import base64
import json
import re
from pathlib import Path

import pytest

from hallproxy.repository import simple
from hallproxy.repository.config import load
from hallproxy.run.config import ConfigError
from hallproxy.state.effects import UpstreamRequest
from tests.support.gateway import ReceivedRequest, response, until
from tests.support.repository_front import DEPLOY, PROJECT, Front, RepositoryStandIn, sha256_hex

SECRET = "stations:s3cr3t-value"
AUTHORIZATION = "Basic " + base64.b64encode(SECRET.encode()).decode()


def _file(tmp_path: Path, upstream: str) -> Path:
    file = tmp_path / "repository.toml"
    file.write_text(
        re.sub(r'address = "127.0.0.1:8082"\n', f'address = "127.0.0.1:8082"\n{upstream}', DEPLOY)
    )
    return file


def test_credentials_are_read_from_the_environment_as_basic_or_bearer(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("UPSTREAM_SECRET", SECRET)
    options = load(_file(tmp_path, 'credentials = "UPSTREAM_SECRET"\nprefix = "/pypi/"\n')).upstream_options[
        "127.0.0.1:8082"
    ]
    assert (
        options.authorization == AUTHORIZATION and options.prefix == "/pypi" and "s3cr3t" not in repr(options)
    )
    monkeypatch.setenv("UPSTREAM_SECRET", "just-a-token")
    options = load(_file(tmp_path, 'credentials = "UPSTREAM_SECRET"\n')).upstream_options["127.0.0.1:8082"]
    assert options.authorization == "Bearer just-a-token" and options.prefix == ""


@pytest.mark.parametrize(
    ("upstream", "message"),
    [
        ('credentials = "NOT_SET_HERE"\n', "NOT_SET_HERE is unset"),
        ('prefix = "no-slash"\n', "'no-slash' is not a path"),
        ('prefix = "/a b"\n', "'/a b' is not a path"),
        ('password = "x"\n', "upstream: unknown key 'password'"),
    ],
)
def test_invalid_upstream_options_are_one_line(tmp_path: Path, upstream: str, message: str) -> None:
    with pytest.raises(ConfigError, match=message) as caught:
        load(_file(tmp_path, upstream))
    assert "\n" not in str(caught.value)


def test_indexes_are_requested_under_the_prefix_and_files_by_their_listed_path() -> None:
    options = simple.UpstreamOptions("/pypi", AUTHORIZATION)
    upstream = simple.UpstreamCodec(1 << 20, ["127.0.0.1:9"], {"127.0.0.1:9": options})
    index = UpstreamRequest("", 0, f"/simple/{PROJECT}/", 0, 1)
    head = upstream.head(index, "127.0.0.1:9").decode()
    assert (
        head.startswith(f"GET /pypi/simple/{PROJECT}/ HTTP/1.1\r\n")
        and f"Authorization: {AUTHORIZATION}\r\n" in head
    )
    file = UpstreamRequest("", 1, "/pypi/pool/a-1.whl", 0, 1, digest="ab" * 32)
    assert upstream.head(file, "127.0.0.1:9").startswith(b"GET /pypi/pool/a-1.whl ")
    assert b"Authorization" not in upstream.head(index, "127.0.0.1:10")  # another upstream's address
    top = {"meta": {"api-version": "1.0"}, "name": PROJECT, "files": [
        {"filename": "a-1.whl", "url": "../../pool/a-1.whl", "hashes": {"sha256": "ab" * 32}}]}  # fmt: skip
    read = simple.read_index(json.dumps(top).encode(), simple.JSON, f"/simple/{PROJECT}/", (), "/pypi")
    assert read.project == PROJECT and read.files[0].url == "/pypi/pool/a-1.whl"
    listing = simple.read_index(
        b'{"meta": {"api-version": "1.0"}, "projects": []}', simple.JSON, "/simple/", (), "/p"
    )
    assert listing.project == ""


def _require_credentials(stand_in: RepositoryStandIn, prefix: str) -> None:
    """The stand-in answers only under ``prefix``, only to the right credentials, with relative links."""

    def hook(request: ReceivedRequest) -> bytes | None:
        if request.fields.get("authorization") != AUTHORIZATION:
            return response(401, b"who are you", WWW_Authenticate='Basic realm="r"')
        if not request.path.startswith(prefix + "/"):
            return response(404)
        path = request.path.removeprefix(prefix)
        if path == f"/simple/{PROJECT}/":
            files = [{"filename": n, "url": f"../../pool/{n}", "hashes": {"sha256": sha256_hex(b)}}
                     for n, b in stand_in.files.items()]  # fmt: skip
            body = json.dumps({"meta": {"api-version": "1.0"}, "name": PROJECT, "files": files}).encode()
            return response(200, body, Content_Type=simple.JSON)
        name = path.rsplit("/", 1)[1]
        if path.startswith("/pool/") and name in stand_in.files:
            return response(200, stand_in.files[name])
        return response(404)

    stand_in.hook = hook


def _start(front: Front, monkeypatch: pytest.MonkeyPatch, secret: str) -> None:
    monkeypatch.setenv("UPSTREAM_SECRET", secret)
    address = front.upstreams[0].http.address
    text = DEPLOY.replace('address = "127.0.0.1:8082"\n', f'address = "{address}"\n')
    front.start(
        text.replace("[settings]", 'prefix = "/pypi"\ncredentials = "UPSTREAM_SECRET"\n\n[settings]', 1)
    )


def test_an_upstream_under_a_prefix_and_behind_credentials_is_served(
    front: Front, monkeypatch: pytest.MonkeyPatch
) -> None:
    stand_in = front.upstreams[0]
    _require_credentials(stand_in, "/pypi")
    _start(front, monkeypatch, SECRET)
    for name, url in front.file_urls().items():
        got = front.get(url)
        assert got.status == 200 and got.body == stand_in.files[name]
        assert "s3cr3t" not in json.dumps(got.fields)
    assert stand_in.http.requests and all(
        s.fields.get("authorization") == AUTHORIZATION for s in stand_in.http.requests
    )
    assert {s.path for s in stand_in.http.requests} >= {f"/pypi/simple/{PROJECT}/", "/pypi/pool/a-1.whl"}


def test_rejected_credentials_are_an_error_and_never_disclosed(
    front: Front, monkeypatch: pytest.MonkeyPatch
) -> None:
    _require_credentials(front.upstreams[0], "/pypi")
    _start(front, monkeypatch, "stations:wrong")
    got = front.get(f"/simple/{PROJECT}/", Accept=simple.JSON)
    assert got.status == 502 and b"wrong" not in got.body and "wrong" not in json.dumps(got.fields)
    assert not [line for line in front.program.lines if "wrong" in line or "d3Jvbmc" in line]
    front.get(f"/simple/{PROJECT}/", Accept=simple.JSON)
    logged = until(lambda: [line for line in front.program.lines if "rejects the credentials (401)" in line])
    assert len(logged) == 1  # logged at the change, not for each request
