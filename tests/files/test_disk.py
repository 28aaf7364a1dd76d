"""The directory of cached files: operations on one file run in order."""

from __future__ import annotations

import asyncio
import hashlib
import time
from pathlib import Path

import pytest

from hallproxy.files.disk import Disk
from hallproxy.files.file_table import FileName
from hallproxy.files.messages import FileWritten, RemoveFile, WriteFile

REMOVAL_DELAY = 0.05  # s, far longer than a write takes


class Dispatched:
    """Stands in for the effect runner: collects the events that the disk dispatches."""

    def __init__(self) -> None:
        self.events: list[object] = []

    def now(self) -> int:
        return 1

    def dispatch(self, event: object) -> None:
        self.events.append(event)


def test_a_file_written_after_its_removal_began_stays(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    body = b"new bytes"
    name = FileName(1, hashlib.sha256(body).hexdigest())
    runner = Dispatched()

    async def replace_file() -> None:
        disk = Disk(tmp_path)
        disk.attach(runner)  # type: ignore[arg-type]  # a stand-in with the two methods that the disk calls
        remove = disk.remove

        def slow_remove(file: str) -> None:
            time.sleep(REMOVAL_DELAY)
            remove(file)

        monkeypatch.setattr(disk, "remove", slow_remove)
        disk.do(RemoveFile(name))
        disk.do(WriteFile(name, body))
        await disk.close()
        assert not disk._tasks and not disk._last_tasks

    (tmp_path / str(name)).write_bytes(b"damaged")
    asyncio.run(replace_file())
    assert (tmp_path / str(name)).read_bytes() == body
    assert runner.events == [FileWritten(1, name, True)]
