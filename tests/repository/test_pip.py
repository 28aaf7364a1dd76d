"""The front as pip sees it: pip itself, from the registry, asks a stand-in upstream through the front.

pip chooses among versions by what the index tells (yanked files, Requires-Python, PEP 658 metadata) and
checks each file against the digest that the index gave; these tests show that both hold end to end.
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
    """A small wheel of the project that pip can read: its name, its bytes, its METADATA."""
    name = f"{MODULE}-{version}-py3-none-any.whl"
    info = f"{MODULE}-{version}.dist-info"
    metadata = f"Metadata-Version: 2.1\nName: {PROJECT}\nVersion: {version}\n".encode()
    made = io.BytesIO()
    with zipfile.ZipFile(made, "w") as archive:
        archive.writestr(f"{MODULE}/__init__.py", b"VALUE = 1\n" + filler)
        archive.writestr(f"{info}/METADATA", metadata)
        archive.writestr(
            f"{info}/WHEEL",
            b"Wheel-Version: 1.0\nGenerator: tests\nRoot-Is-Purelib: true\nTag: py3-none-any\n",
        )
        archive.writestr(f"{info}/RECORD", b"")
    return name, made.getvalue(), metadata


class Releases:
    """The stand's index in JSON: each file with its digest, metadata file, and what PEP 592 and 503 tell."""

    def __init__(self, stand: RepositoryStandIn) -> None:
        self.stand = stand
        self.told: dict[str, dict[str, object]] = {}
        self.metadata: dict[str, bytes] = {}
        stand.hook = self._reply

    def add(self, version: str, **told: object) -> str:
        name, data, metadata = wheel(version)
        self.stand.files[name] = data
        self.metadata[name] = metadata
        self.told[name] = told
        return name

    def _reply(self, seen: ReceivedRequest) -> bytes | None:
        if seen.path == f"/simple/{PROJECT}/":
            files = [
                {"filename": n, "url": f"/pool/{n}", "hashes": {"sha256": sha256_hex(b)},
                 "core-metadata": {"sha256": sha256_hex(self.metadata[n])}, **self.told[n]}
                for n, b in self.stand.files.items()
            ]  # fmt: skip
            top = {"meta": {"api-version": "1.1"}, "name": PROJECT, "files": files, "versions": []}
            return response(200, json.dumps(top).encode(), Content_Type="application/vnd.pypi.simple.v1+json")
        name = seen.path.rsplit("/", 1)[1]
        if name.endswith(".metadata") and name.removesuffix(".metadata") in self.metadata:
            return response(200, self.metadata[name.removesuffix(".metadata")])
        return b"pass"


def pip(front: Front, into: Path, *wanted: str) -> subprocess.CompletedProcess[str]:
    """pip download, isolated from this machine's settings, asking the front alone."""
    index = f"http://127.0.0.1:{front.program.port}/simple/"
    command = [sys.executable, "-m", "pip", "--isolated", "--disable-pip-version-check", "--no-cache-dir",
               "download", "--no-deps", "--only-binary", ":all:", "--index-url", index, "-d", str(into),
               *wanted]  # fmt: skip
    return subprocess.run(command, capture_output=True, text=True, timeout=120, check=False)


@pytest.fixture
def releases(front: Front) -> tuple[Front, Releases]:
    front.upstreams[0].files = {}
    return front, Releases(front.upstreams[0])


def test_pip_takes_the_newest_it_may_and_checks_its_digest(
    releases: tuple[Front, Releases], tmp_path: Path
) -> None:
    front, told = releases
    told.add("1.0")
    chosen = told.add("1.1")
    told.add("1.2", yanked="a broken release")
    told.add("2.0", **{"requires-python": "<3"})
    front.start()
    done = pip(front, tmp_path / "got", PROJECT)
    assert done.returncode == 0, done.stderr
    got = {p.name: p.read_bytes() for p in (tmp_path / "got").iterdir()}
    assert got == {chosen: front.upstreams[0].files[chosen]}
    # PEP 658: the metadata file was enough to choose; only the chosen wheel's bytes were asked for.
    asked = [s.path for s in front.upstreams[0].http.requests if s.path.startswith("/pool/")]
    assert [p for p in asked if p.endswith(".whl")] == [f"/pool/{chosen}"]


def test_a_yanked_release_is_still_had_by_its_exact_pin(
    releases: tuple[Front, Releases], tmp_path: Path
) -> None:
    front, told = releases
    told.add("1.0")
    pinned = told.add("1.2", yanked="a broken release")
    front.start()
    done = pip(front, tmp_path / "got", f"{PROJECT}==1.2")
    assert done.returncode == 0, done.stderr
    assert [p.name for p in (tmp_path / "got").iterdir()] == [pinned]


def test_bytes_that_are_not_what_the_index_named_never_reach_pip(
    releases: tuple[Front, Releases], tmp_path: Path
) -> None:
    front, told = releases
    name = told.add("1.0")
    front.start()
    named = front.upstreams[0].files[name]
    front.upstreams[0].indexed = None
    swapped = wheel("1.0", b"# other bytes\n")[1]
    told.stand.hook = lambda seen, real=told._reply: (  # type: ignore[misc]
        response(200, swapped) if seen.path == f"/pool/{name}" else real(seen)
    )
    done = pip(front, tmp_path / "got", PROJECT)
    assert done.returncode != 0
    assert not (tmp_path / "got").exists() or not list((tmp_path / "got").iterdir())
    assert hashlib.sha256(swapped).hexdigest() != hashlib.sha256(named).hexdigest()


def test_pip_over_tls_trusts_the_front_by_its_own_authority(
    releases: tuple[Front, Releases], tmp_path: Path
) -> None:
    front, told = releases
    chosen = told.add("1.0")
    authority = trustme.CA()
    authority.cert_pem.write_to_path(str(tmp_path / "ca.pem"))
    start_with_certificate(front, authority)
    index = f"https://127.0.0.1:{front.program.port}/simple/"
    command = [sys.executable, "-m", "pip", "--isolated", "--disable-pip-version-check", "--no-cache-dir",
               "--cert", str(tmp_path / "ca.pem"), "download", "--no-deps", "--index-url", index,
               "-d", str(tmp_path / "got"), PROJECT]  # fmt: skip
    # pip's HTTP library lets these variables stand above --cert: a machine that sets them must not decide.
    env = {k: v for k, v in os.environ.items() if k not in ("REQUESTS_CA_BUNDLE", "CURL_CA_BUNDLE")}
    done = subprocess.run(command, capture_output=True, text=True, timeout=120, check=False, env=env)
    assert done.returncode == 0, done.stderr
    assert [p.name for p in (tmp_path / "got").iterdir()] == [chosen]
