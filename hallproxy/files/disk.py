"""The directory of cached files: written under another name and renamed, checked at each read, and locked.

Nothing is synced: a file truncated by a crash fails its digest check when it is read, and is removed then.
"""

from __future__ import annotations

import asyncio
import fcntl
import hashlib
import os
from collections.abc import Callable
from pathlib import Path
from typing import BinaryIO

from hallproxy.files.file_table import DirectoryEntry
from hallproxy.files.messages import FileRead, FileWritten, ReadFile, RemoveFile, WriteFile
from hallproxy.run.effect_runner import EffectRunner
from hallproxy.run.log import log_line
from hallproxy.state.effects import ExtensionEffect

LOCK_FILE = ".lock"


class DiskError(Exception):
    """The directory can't be used; the message is one line."""


class Disk:
    """Carries out the reducer's effects on cached files, in threads, as a disk may be slow."""

    def __init__(self, directory: Path) -> None:
        """DiskError if the directory can't be created or written to, or another process has locked it."""
        self._directory = directory
        try:
            directory.mkdir(parents=True, exist_ok=True)
            self._lock = os.open(directory / LOCK_FILE, os.O_RDWR | os.O_CREAT, 0o600)
        except OSError as error:
            raise DiskError(f"{directory} can't be used for files: {error.strerror}") from None
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._lock)
            raise DiskError(f"{directory} is in use by another process") from None
        self._tasks: set[asyncio.Task[None]] = set()
        self._last_tasks: dict[str, asyncio.Task[None]] = {}  # by file, those in progress
        self._runner: EffectRunner

    def list(self) -> list[DirectoryEntry]:
        """The entries of the directory; no file is read."""
        with os.scandir(self._directory) as entries:
            stats = [
                (entry.name, entry.stat(follow_symlinks=False))
                for entry in entries
                if entry.name != LOCK_FILE
            ]
        return [DirectoryEntry(name, stat.st_size, stat.st_mtime_ns) for name, stat in stats]

    def attach(self, runner: EffectRunner) -> None:
        self._runner = runner

    def do(self, effect: ExtensionEffect) -> None:
        """Start an operation in a thread; operations on the same file run in order."""
        match effect:
            case ReadFile():
                self._start_operation(str(effect.name), lambda: self._read(effect))
            case WriteFile():
                self._start_operation(str(effect.name), lambda: self._write(effect))
            case RemoveFile():
                self._start_operation(str(effect.name), lambda: self.remove(str(effect.name)))

    def _start_operation(self, file: str, operation: Callable[[], Callable[[], None] | None]) -> None:
        previous = self._last_tasks.get(file)

        async def run() -> None:
            if previous is not None:
                # Otherwise the removal of a file could remove the new one that replaces it.
                await asyncio.wait([previous])
            report = await asyncio.to_thread(operation)
            if report is not None:
                report()

        def ended(task: asyncio.Task[None]) -> None:
            self._tasks.discard(task)
            if self._last_tasks.get(file) is task:
                del self._last_tasks[file]

        task = asyncio.get_running_loop().create_task(run())
        self._tasks.add(task)
        self._last_tasks[file] = task
        task.add_done_callback(ended)

    def open(self, name: str) -> BinaryIO:
        """Open a cached file to serve it; it stays readable if it is removed meanwhile."""
        return (self._directory / name).open("rb")

    async def close(self) -> None:
        """Wait for the operations in progress, then release the directory's lock."""
        while self._tasks:
            await asyncio.wait(self._tasks)
        os.close(self._lock)

    def remove(self, name: str) -> None:
        try:
            (self._directory / name).unlink(missing_ok=True)
        except OSError as error:
            log_line(f"files: {name} can't be removed: {error.strerror}")

    def _read(self, effect: ReadFile) -> Callable[[], None]:
        path, body, digest = self._directory / str(effect.name), b"", effect.name.digest
        try:
            if effect.large and not effect.verified:
                with path.open("rb") as file:
                    digest = hashlib.file_digest(file, "sha256").hexdigest()
            elif not effect.large:
                body = path.read_bytes()
                digest = hashlib.sha256(body).hexdigest()
            os.utime(path)  # so that the eviction order survives a restart
        except OSError as error:
            log_line(f"files: {effect.name} can't be read: {error.strerror}")
            digest = ""
        succeeded = digest == effect.name.digest
        if digest and not succeeded:
            # Truncated by a crash or damaged since: it is fetched from upstream and never served.
            log_line(f"files: {effect.name} does not match its digest and is fetched again")
        body = body if succeeded else b""
        return lambda: self._runner.dispatch(
            FileRead(self._runner.now(), effect.request, effect.name, succeeded, body)
        )

    def _write(self, effect: WriteFile) -> Callable[[], None]:
        partial_path = self._directory / f"{effect.name}.half"
        succeeded = True
        try:
            partial_path.write_bytes(effect.body)
            partial_path.rename(self._directory / str(effect.name))
        except OSError as error:
            log_line(f"files: {effect.name} can't be written, writes pause for a while: {error.strerror}")
            succeeded = False
            self.remove(partial_path.name)
        return lambda: self._runner.dispatch(FileWritten(self._runner.now(), effect.name, succeeded))
