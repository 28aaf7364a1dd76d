"""The file cache's effects, for the disk to carry out, and its events, which report back."""

from __future__ import annotations

from dataclasses import dataclass

from hallproxy.files.file_table import FileName
from hallproxy.state.effects import ExtensionEffect
from hallproxy.state.events import ExtensionEvent


@dataclass(slots=True, frozen=True)
class ReadFile(ExtensionEffect):
    """Read a cached file for a request, and check it against its digest.

    ``large``: its bytes stay on disk. ``verified``: a large file was checked before, and is not read again.
    """

    request: int
    name: FileName
    large: bool
    verified: bool


@dataclass(slots=True, frozen=True)
class WriteFile(ExtensionEffect):
    """Write a cached file."""

    name: FileName
    body: bytes


@dataclass(slots=True, frozen=True)
class RemoveFile(ExtensionEffect):
    """Remove a cached file."""

    name: FileName


@dataclass(slots=True, frozen=True)
class FileRead(ExtensionEvent):
    """A file was read; ``body`` is empty for a large file. Not ``succeeded``: it can't be served."""

    at: int
    request: int
    name: FileName
    succeeded: bool
    body: bytes = b""


@dataclass(slots=True, frozen=True)
class FileWritten(ExtensionEvent):
    """A file was written, or ``succeeded`` is false."""

    at: int
    name: FileName
    succeeded: bool
