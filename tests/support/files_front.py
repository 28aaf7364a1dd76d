"""The repository front with files cached on disk."""

from __future__ import annotations

from hallproxy.files.file_table import FileName
from hallproxy.repository import simple
from tests.support.repository_front import DEPLOY, PROJECT, Front, sha256_hex

_FILES_TABLE = '[files]\ndirectory = "kept"\nmost_mb = 4\nlarge_mb = 1\n\n[[upstream]]'
FILES_CONFIG = DEPLOY.replace("[[upstream]]", _FILES_TABLE, 1)


def cached_files(front: Front) -> list[str]:
    """The names of the files in the cache directory, without its lock file."""
    return sorted(p.name for p in (front.path / "kept").iterdir() if p.name != ".lock")


def cached_file_name(body: bytes) -> str:
    """The name under which a file with this body is cached."""
    return str(FileName(simple.object_id(PROJECT), sha256_hex(body)))


def upstream_downloads(front: Front, file: str = "a-1.whl") -> int:
    """How often the file was requested from the upstream."""
    return sum(request.path == f"/pool/{file}" for request in front.upstreams[0].http.requests)
