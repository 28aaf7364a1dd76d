"""Which files are cached on disk, which are evicted for a new one, and when writes pause: no I/O, no clock.

A file is named by its project's number and its digest, so that a purge finds it and its bytes can be checked
at each read. No other metadata is stored: a restart has only the names, sizes and times of the files.
"""

from __future__ import annotations

import re
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

SECOND = 1_000_000_000  # ns
WRITE_PAUSE = 30 * SECOND  # ns without writes after a failed one, for example on a full disk
MAX_FILE_DIVISOR = 2  # a file above the table's bound divided by this is not cached: it would evict too many
MAX_WRITES = 8  # files being written at once; further ones are not cached
_NAME = re.compile(r"([0-9a-f]{16})-([0-9a-f]{64})")


@dataclass(slots=True, frozen=True)
class FileName:
    """A project's number and the SHA-256 of the bytes, in hex."""

    object: int
    digest: str

    def __str__(self) -> str:
        return f"{self.object:016x}-{self.digest}"


def parse_file_name(text: str) -> FileName | None:
    """The name of a cached file; None for any other entry of the directory."""
    match = _NAME.fullmatch(text)
    return FileName(int(match[1], 16), match[2]) if match else None


@dataclass(slots=True, frozen=True)
class DirectoryEntry:
    """An entry of the directory, as found at the start."""

    name: str
    size: int  # bytes
    used_at: int  # ns, when it was last read or written


@dataclass(slots=True)
class FileTable:
    """The cached files, bounded in bytes; the least recently used is evicted first.

    A file counts from the start of its write.

    Attributes:
        sizes: bytes by name, least recently used first.
        writing: bytes of files being written.
        abandoned: files dropped while they are being written.
        verified: files whose bytes have matched their digest since the start.
        paused_until: ns; no write begins before it.
    """

    max_bytes: int
    used_bytes: int = 0
    sizes: OrderedDict[FileName, int] = field(default_factory=OrderedDict)
    writing: dict[FileName, int] = field(default_factory=dict)
    abandoned: set[FileName] = field(default_factory=set)
    verified: set[FileName] = field(default_factory=set)
    paused_until: int = 0

    def recover(self, entries: Iterable[DirectoryEntry]) -> list[str]:
        """Add the directory's files; return the entries to remove: partial, foreign or beyond the bound."""
        unusable = []
        for entry in sorted(entries, key=lambda candidate: (candidate.used_at, candidate.name)):
            name = parse_file_name(entry.name)
            if name is None or not 0 < entry.size <= self.max_bytes // MAX_FILE_DIVISOR:
                unusable.append(entry.name)
            else:
                self.sizes[name] = entry.size
                self.used_bytes += entry.size
        return unusable + [str(name) for name in self._evict_for(0)]

    def mark_used(self, name: FileName) -> bool:
        """Whether the file is cached; if so it becomes the most recently used."""
        if name not in self.sizes:
            return False
        self.sizes.move_to_end(name)
        return True

    def begin_write(self, name: FileName, size: int, now: int) -> list[FileName] | None:
        """The files to evict for one that is to be written; None: it is not to be cached."""
        known = name in self.sizes or name in self.writing or name in self.abandoned
        write_count = len(self.writing) + len(self.abandoned)
        if known or now < self.paused_until or write_count >= MAX_WRITES:
            return None
        if (
            not 0 < size <= self.max_bytes // MAX_FILE_DIVISOR
            or sum(self.writing.values()) + size > self.max_bytes
        ):
            return None
        evicted = self._evict_for(size)
        self.writing[name] = size
        self.used_bytes += size
        return evicted

    def finish_write(self, name: FileName, succeeded: bool, now: int) -> bool:
        """Record the end of a write; False: it failed, or the file was dropped meanwhile."""
        if not succeeded:
            # A full disk stays full for a while: trying to write each file would waste time.
            self.paused_until = now + WRITE_PAUSE
        if name in self.abandoned:
            self.abandoned.remove(name)
            return False
        size = self.writing.pop(name, None)
        if size is None:
            return False
        if succeeded:
            self.sizes[name] = size
        else:
            self.used_bytes -= size
        return succeeded

    def adopt(self, name: FileName, size: int) -> list[FileName]:
        """Add a file that a download has placed in the directory; return the files to evict for it."""
        self.drop(name)
        evicted = self._evict_for(size)
        self.sizes[name] = size
        self.verified.add(name)
        self.used_bytes += size
        return evicted

    def drop(self, name: FileName) -> bool:
        """Drop a file; whether there is one to remove now."""
        self.verified.discard(name)
        size = self.sizes.pop(name, None)
        if size is not None:
            self.used_bytes -= size
            return True
        if (size := self.writing.pop(name, None)) is not None:
            self.used_bytes -= size
            self.abandoned.add(name)
        return False

    def purge(self, object_id: int, group: int) -> list[FileName]:
        """Drop a project's files, or with 0 a group's (the number's last byte); return those to remove."""
        names = (*self.sizes, *self.writing)
        purged = [
            candidate
            for candidate in names
            if (candidate.object == object_id if object_id else candidate.object & 0xFF == group)
        ]
        return [name for name in purged if self.drop(name)]

    def _evict_for(self, size: int) -> list[FileName]:
        evicted = []
        while self.used_bytes + size > self.max_bytes and self.sizes:
            name, evicted_size = self.sizes.popitem(last=False)
            self.verified.discard(name)
            self.used_bytes -= evicted_size
            evicted.append(name)
        return evicted
