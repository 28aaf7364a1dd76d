"""Which files the disk holds, which leave for a new one, and when nothing is written: no I/O, no clock.

A file is named by its project's number and its digest, so that a purge finds it and its bytes can be checked
whenever they are read. Nothing else is remembered of it: what a restart finds is the list of names and sizes.
"""

from __future__ import annotations

import re
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

SECOND = 1_000_000_000  # ns
PAUSE = 30 * SECOND  # without writes after a full disk or another failed write
LARGEST = 2  # a file of over this part of the bound is not kept: it would push out too much at once
WRITES = 8  # files being written at once; over that one is not kept this time
_NAME = re.compile(r"([0-9a-f]{16})-([0-9a-f]{64})")


@dataclass(slots=True, frozen=True)
class Name:
    """A project's number and the SHA-256 of the bytes, in hex."""

    object: int
    digest: str

    def __str__(self) -> str:
        return f"{self.object:016x}-{self.digest}"


def read_name(text: str) -> Name | None:
    """The name of a kept file; None for whatever else lies in the directory."""
    found = _NAME.fullmatch(text)
    return Name(int(found[1], 16), found[2]) if found else None


@dataclass(slots=True, frozen=True)
class Found:
    """One entry of the directory at the start."""

    name: str
    size: int
    used: int  # when it was last read or written, ns


@dataclass(slots=True)
class FileTable:
    """Bounded in bytes; longest unused leaves first. What is being written counts from the beginning."""

    most: int  # bytes
    used_bytes: int = 0
    sizes: OrderedDict[Name, int] = field(default_factory=OrderedDict)
    writing: dict[Name, int] = field(default_factory=dict)
    abandoned: set[Name] = field(default_factory=set)  # dropped while they are being written
    checked: set[Name] = field(default_factory=set)  # their bytes were found right since the start
    paused_until: int = 0

    def recover(self, found: Iterable[Found]) -> list[str]:
        """Take in what the directory holds. Returns the names that have to go: halves, strangers, surplus."""
        gone = []
        for entry in sorted(found, key=lambda e: (e.used, e.name)):
            name = read_name(entry.name)
            if name is None or not 0 < entry.size <= self.most // LARGEST:
                gone.append(entry.name)
            else:
                self.sizes[name] = entry.size
                self.used_bytes += entry.size
        return gone + [str(name) for name in self._make_room(0)]

    def use(self, name: Name) -> bool:
        """Whether it is there to be read; it is the last one to leave then."""
        if name not in self.sizes:
            return False
        self.sizes.move_to_end(name)
        return True

    def begin(self, name: Name, size: int, now: int) -> list[Name] | None:
        """Whether to write it: those that leave for it, or None where it is not to be kept."""
        known = name in self.sizes or name in self.writing or name in self.abandoned
        writes = len(self.writing) + len(self.abandoned)
        if known or now < self.paused_until or writes >= WRITES:
            return None
        if not 0 < size <= self.most // LARGEST or sum(self.writing.values()) + size > self.most:
            return None
        gone = self._make_room(size)
        self.writing[name] = size
        self.used_bytes += size
        return gone

    def written(self, name: Name, good: bool, now: int) -> bool:
        """A write has ended. False: it was dropped meanwhile, or has failed."""
        if not good:
            # A full disk stays full for a while: trying each file would only cost time.
            self.paused_until = now + PAUSE
        if name in self.abandoned:
            self.abandoned.remove(name)
            return False
        size = self.writing.pop(name, None)
        if size is None:
            return False
        if good:
            self.sizes[name] = size
        else:
            self.used_bytes -= size
        return good

    def adopt(self, name: Name, size: int) -> list[Name]:
        """A file that was written elsewhere lies in the directory now; those that leave for it."""
        self.drop(name)
        gone = self._make_room(size)
        self.sizes[name] = size
        self.checked.add(name)
        self.used_bytes += size
        return gone

    def drop(self, name: Name) -> bool:
        """It is not used again; whether there is a file to remove now."""
        self.checked.discard(name)
        size = self.sizes.pop(name, None)
        if size is not None:
            self.used_bytes -= size
            return True
        if (size := self.writing.pop(name, None)) is not None:
            self.used_bytes -= size
            self.abandoned.add(name)
        return False

    def purge(self, obj: int, group: int) -> list[Name]:
        """Drop all of a project, or with 0 of a group (the number's last byte). Returns the files to go."""
        names = (*self.sizes, *self.writing)
        gone = [n for n in names if (n.object == obj if obj else n.object & 0xFF == group)]
        return [name for name in gone if self.drop(name)]

    def _make_room(self, size: int) -> list[Name]:
        gone = []
        while self.used_bytes + size > self.most and self.sizes:
            name, old = self.sizes.popitem(last=False)
            self.checked.discard(name)
            self.used_bytes -= old
            gone.append(name)
        return gone
