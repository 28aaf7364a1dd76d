"""pip as a client of the front, with a stand-in upstream.

pip selects versions by the index (yanked files, Requires-Python, PEP 658 metadata) and checks each file
against the digest in the index; these tests cover both end to end.
"""

from __future__ import annotations

import hashlib
import io
import json
import os
import subprocess
import sys
import zipfile
from pathlib import Path

import pytest
import trustme

from tests.support.gateway import ReceivedRequest, response
from tests.support.repository_front import PROJECT, Front, RepositoryStandIn, sha256_hex
from tests.support.tls import start_with_certificate

MODULE = PROJECT.replace("-", "_")


def wheel(version: str, filler: bytes = b"") -> tuple[str, bytes, bytes]:
    """A small wheel of the project that pip accepts: its name, its bytes, its METADATA."""
    name = f"{MODULE}-{version}-py3-none-any.whl"
    info = f"{MODULE}-{version}.dist-info"
    metadata = f"Metadata-Version: 2.1\nName: {PROJECT}\nVersion: {version}\n".encode()
    buffer = io.BytesIO()
    with zipfile.ZipFile(buffer, "w") as archive:
        archive.writestr(f"{MODULE}/__init__.py", b"VALUE = 1\n" + filler)
        archive.writestr(f"{info}/METADATA", metadata)
        archive.writestr(
            f"{info}/WHEEL",
            b"Wheel-Version: 1.0\nGenerator: tests\nRoot-Is-Purelib: true\nTag: py3-none-any\n",
        )
        archive.writestr(f"{info}/RECORD", b"")
    return name, buffer.getvalue(), metadata


class Releases:
    """The stand-in's JSON index: each file with its digest, metadata file and other fields (PEP 592, 503)."""

    def __init__(self, stand_in: RepositoryStandIn) -> None:
        self.stand_in = stand_in
        self.extra_fields: dict[str, dict[str, object]] = {}
        self.metadata: dict[str, bytes] = {}
        stand_in.hook = self._reply

    def add(self, version: str, **extra_fields: object) -> str:
        name, data, metadata = wheel(version)
        self.stand_in.files[name] = data
        self.metadata[name] = metadata
        self.extra_fields[name] = extra_fields
        return name

    def _reply(self, request: ReceivedRequest) -> bytes | None:
        if request.path == f"/simple/{PROJECT}/":
            files = [
                {"filename": n, "url": f"/pool/{n}", "hashes": {"sha256": sha256_hex(b)},
                 "core-metadata": {"sha256": sha256_hex(self.metadata[n])}, **self.extra_fields[n]}
                for n, b in self.stand_in.files.items()
            ]  # fmt: skip
            top = {"meta": {"api-version": "1.1"}, "name": PROJECT, "files": files, "versions": []}
            return response(200, json.dumps(top).encode(), Content_Type="application/vnd.pypi.simple.v1+json")
        name = request.path.rsplit("/", 1)[1]
        if name.endswith(".metadata") and name.removesuffix(".metadata") in self.metadata:
            return response(200, self.metadata[name.removesuffix(".metadata")])
        return b"pass"


def pip(front: Front, into: Path, *requirements: str) -> subprocess.CompletedProcess[str]:
    """Run pip download, isolated from this machine's settings, with the front as the only index."""
    index = f"http://127.0.0.1:{front.program.port}/simple/"
    command = [sys.executable, "-m", "pip", "--isolated", "--disable-pip-version-check", "--no-cache-dir",
               "download", "--no-deps", "--only-binary", ":all:", "--index-url", index, "-d", str(into),
               *requirements]  # fmt: skip
    return subprocess.run(command, capture_output=True, text=True, timeout=120, check=False)


@pytest.fixture
def releases(front: Front) -> tuple[Front, Releases]:
    front.upstreams[0].files = {}
    return front, Releases(front.upstreams[0])


def test_pip_chooses_the_newest_allowed_version_and_checks_its_digest(
    releases: tuple[Front, Releases], tmp_path: Path
) -> None:
    front, published = releases
    published.add("1.0")
    chosen = published.add("1.1")
    published.add("1.2", yanked="a broken release")
    published.add("2.0", **{"requires-python": "<3"})
    front.start()
    done = pip(front, tmp_path / "got", PROJECT)
    assert done.returncode == 0, done.stderr
    got = {p.name: p.read_bytes() for p in (tmp_path / "got").iterdir()}
    assert got == {chosen: front.upstreams[0].files[chosen]}
    # PEP 658: the metadata file is enough to choose; only the chosen wheel is downloaded.
    paths = [s.path for s in front.upstreams[0].http.requests if s.path.startswith("/pool/")]
    assert [p for p in paths if p.endswith(".whl")] == [f"/pool/{chosen}"]


def test_a_yanked_release_is_installed_by_an_exact_pin(
    releases: tuple[Front, Releases], tmp_path: Path
) -> None:
    front, published = releases
    published.add("1.0")
    pinned = published.add("1.2", yanked="a broken release")
    front.start()
    done = pip(front, tmp_path / "got", f"{PROJECT}==1.2")
    assert done.returncode == 0, done.stderr
    assert [p.name for p in (tmp_path / "got").iterdir()] == [pinned]


def test_bytes_with_another_digest_never_reach_pip(releases: tuple[Front, Releases], tmp_path: Path) -> None:
    front, published = releases
    name = published.add("1.0")
    front.start()
    original = front.upstreams[0].files[name]
    front.upstreams[0].indexed = None
    swapped = wheel("1.0", b"# other bytes\n")[1]
    published.stand_in.hook = lambda request, real=published._reply: (  # type: ignore[misc]
        response(200, swapped) if request.path == f"/pool/{name}" else real(request)
    )
    done = pip(front, tmp_path / "got", PROJECT)
    assert done.returncode != 0
    assert not (tmp_path / "got").exists() or not list((tmp_path / "got").iterdir())
    assert hashlib.sha256(swapped).hexdigest() != hashlib.sha256(original).hexdigest()


def test_pip_over_tls_trusts_the_fronts_own_authority(
    releases: tuple[Front, Releases], tmp_path: Path
) -> None:
    front, published = releases
    chosen = published.add("1.0")
    authority = trustme.CA()
    authority.cert_pem.write_to_path(str(tmp_path / "ca.pem"))
    start_with_certificate(front, authority)
    index = f"https://127.0.0.1:{front.program.port}/simple/"
    command = [sys.executable, "-m", "pip", "--isolated", "--disable-pip-version-check", "--no-cache-dir",
               "--cert", str(tmp_path / "ca.pem"), "download", "--no-deps", "--index-url", index,
               "-d", str(tmp_path / "got"), PROJECT]  # fmt: skip
    # In pip's HTTP library these variables take precedence over --cert: ignore the machine's values.
    env = {k: v for k, v in os.environ.items() if k not in ("REQUESTS_CA_BUNDLE", "CURL_CA_BUNDLE")}
    done = subprocess.run(command, capture_output=True, text=True, timeout=120, check=False, env=env)
    assert done.returncode == 0, done.stderr
    assert [p.name for p in (tmp_path / "got").iterdir()] == [chosen]
