"""The repository front with files cached on disk."""

from __future__ import annotations

from hallproxy.files.file_table import Name
from hallproxy.repository import simple
from tests.support.repository_front import DEPLOY, PROJECT, Front, sha

FILES = '[files]\ndirectory = "kept"\nmost_mb = 4\nlarge_mb = 1\n\n[[upstream]]'
TEXT = DEPLOY.replace("[[upstream]]", FILES, 1)


def there(front: Front) -> list[str]:
    return sorted(p.name for p in (front.path / "kept").iterdir() if p.name != ".lock")


def named(body: bytes) -> str:
    return str(Name(simple.object_id(PROJECT), sha(body)))


def fetched(front: Front, file: str = "a-1.whl") -> int:
    """How often upstream was asked for a file's bytes."""
    return sum(seen.path == f"/pool/{file}" for seen in front.stands[0].http.seen)
