"""The directory of kept files: written beside and renamed, read whole and checked, one owner at a time.

Nothing is synced: a file that a crash tore fails its digest when it is read, and is removed then.
"""

from __future__ import annotations

import asyncio
import fcntl
import hashlib
import os
from collections.abc import Callable
from pathlib import Path
from typing import BinaryIO

from hallproxy.files.file_table import Found
from hallproxy.files.messages import FileRead, FileWritten, ReadFile, RemoveFile, WriteFile
from hallproxy.run.effect_runner import EffectRunner
from hallproxy.run.log import log_line
from hallproxy.state.effects import ExtensionEffect

LOCK = ".lock"


class DiskError(Exception):
    """The directory can't be used; the text is one plain line."""


class Disk:
    """Carries out the reducer's words about kept files, in threads: a disk may take its time."""

    def __init__(self, where: Path) -> None:
        """Raises DiskError where the directory can't be made, written to, or is another process's."""
        self._where = where
        try:
            where.mkdir(parents=True, exist_ok=True)
            self._lock = os.open(where / LOCK, os.O_RDWR | os.O_CREAT, 0o600)
        except OSError as error:
            raise DiskError(f"{where} can't be used for files: {error.strerror}") from None
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._lock)
            raise DiskError(f"{where} is in use by another process") from None
        self._tasks: set[asyncio.Task[None]] = set()
        self._last_tasks: dict[str, asyncio.Task[None]] = {}  # by file, of those that have not ended
        self._loop: EffectRunner

    def list(self) -> list[Found]:
        """What lies there, by name and size alone: no byte of it is read."""
        with os.scandir(self._where) as entries:
            plain = [(e.name, e.stat(follow_symlinks=False)) for e in entries if e.name != LOCK]
        return [Found(name, stat.st_size, stat.st_mtime_ns) for name, stat in plain]

    def attach(self, loop: EffectRunner) -> None:
        self._loop = loop

    def do(self, effect: ExtensionEffect) -> None:
        """Begin an operation in a thread; those on the same file run one after another."""
        match effect:
            case ReadFile():
                self._begin(str(effect.name), lambda: self._fetch(effect))
            case WriteFile():
                self._begin(str(effect.name), lambda: self._store(effect))
            case RemoveFile():
                self._begin(str(effect.name), lambda: self.remove(str(effect.name)))

    def _begin(self, file: str, work: Callable[[], Callable[[], None] | None]) -> None:
        previous = self._last_tasks.get(file)

        async def run() -> None:
            if previous is not None:
                # Guards a new file against the removal of the one that it replaces.
                await asyncio.wait([previous])
            done = await asyncio.to_thread(work)
            if done is not None:
                done()

        def ended(task: asyncio.Task[None]) -> None:
            self._tasks.discard(task)
            if self._last_tasks.get(file) is task:
                del self._last_tasks[file]

        task = asyncio.get_running_loop().create_task(run())
        self._tasks.add(task)
        self._last_tasks[file] = task
        task.add_done_callback(ended)

    def open(self, name: str) -> BinaryIO:
        """A kept file, to be served from; it stays readable when it leaves the directory meanwhile."""
        return (self._where / name).open("rb")

    async def close(self) -> None:
        """Wait for what is being written, then leave the directory to others."""
        while self._tasks:
            await asyncio.wait(self._tasks)
        os.close(self._lock)

    def remove(self, name: str) -> None:
        try:
            (self._where / name).unlink(missing_ok=True)
        except OSError as error:
            log_line(f"files: {name} can't be removed: {error.strerror}")

    def _fetch(self, effect: ReadFile) -> Callable[[], None]:
        path, body, digest = self._where / str(effect.name), b"", effect.name.digest
        try:
            if effect.large and not effect.verified:
                with path.open("rb") as file:
                    digest = hashlib.file_digest(file, "sha256").hexdigest()
            elif not effect.large:
                body = path.read_bytes()
                digest = hashlib.sha256(body).hexdigest()
            os.utime(path)  # the order in which files leave outlives a restart
        except OSError as error:
            log_line(f"files: {effect.name} can't be read: {error.strerror}")
            digest = ""
        good = digest == effect.name.digest
        if digest and not good:
            # Torn by a crash, or damaged since: upstream is asked, and the bytes never go out.
            log_line(f"files: {effect.name} does not hold what its name says")
        body = body if good else b""
        return lambda: self._loop.dispatch(
            FileRead(self._loop.now(), effect.request, effect.name, good, body)
        )

    def _store(self, effect: WriteFile) -> Callable[[], None]:
        half = self._where / f"{effect.name}.half"
        good = True
        try:
            half.write_bytes(effect.body)
            half.rename(self._where / str(effect.name))
        except OSError as error:
            log_line(f"files: {effect.name} can't be written, none is for a while: {error.strerror}")
            good = False
            self.remove(half.name)
        return lambda: self._loop.dispatch(FileWritten(self._loop.now(), effect.name, good))
