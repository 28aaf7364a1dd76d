"""Large files on their way from upstream: written to disk as they come, hashed, renamed when they are whole.

A file takes one block of memory, however large it is. A transfer that breaks off leaves its beginning here,
for an attempt that can go on from it; a start of the program removes all beginnings.
"""

from __future__ import annotations

import asyncio
import hashlib
import time
from collections import OrderedDict
from dataclasses import dataclass, replace
from pathlib import Path
from typing import BinaryIO

from tornado.iostream import StreamClosedError

from hallproxy import interface as i
from hallproxy.files.file_table import LARGEST, PAUSE, Name
from hallproxy.files.resume import Part, begins_at, on_from, strong
from hallproxy.run.log import log_line
from hallproxy.run.sockets import Buffer, Stream
from hallproxy.state.effects import UpstreamRequest
from hallproxy.state.events import AttemptResult, FailureReason
from hallproxy.wire.http1 import Head, HttpError

BLOCK = 1024 * 1024  # bytes in memory of each file on its way
BEGINNINGS = 32  # parts of files kept for going on; over that the oldest is removed


@dataclass(slots=True)
class Beginning:
    """A part on disk, and the hash of its bytes, which goes on with them."""

    path: Path
    part: Part
    hash: hashlib._Hash


class DownloadSpool:
    def __init__(self, where: Path, most: int, from_size: int) -> None:
        """``most``: bytes of the whole directory; ``from_size``: files of so many and more come this way."""
        self._where, self._from = where, from_size
        self._largest = most // LARGEST
        self._beginnings: OrderedDict[Name, Beginning] = OrderedDict()
        self._numbers = 0
        self._paused_until = 0

    def with_range(self, request: UpstreamRequest, host: str) -> UpstreamRequest:
        """The request, with a range for the rest where a beginning can be continued."""
        name = _name(request)
        held = self._beginnings.get(name) if name is not None else None
        first, validator = on_from(held.part if held is not None else None, host)
        return replace(request, range_from=first, if_range=validator) if first else request

    def begin(self, request: UpstreamRequest, head: Head, host: str) -> Transfer | None:
        """How to take in that answer's body; None: in memory, as any other.

        Raises HttpError for a part that was not asked for: nothing can be made of its bytes.
        """
        name = _name(request)
        if name is None:
            return None
        if head.status not in (200, 206):
            if request.range_from:  # what it was the beginning of is not there any more
                self._forget(name)
            return None
        length = head.body_length
        if length is None:
            return None
        first = begins_at(request.range_from, head.status, head.fields, length)
        if first is None:
            self._forget(name)  # the next attempt asks for the whole
            raise HttpError("a part that was not asked for")
        small = not first and length < self._from
        if small or length + first > self._largest or time.monotonic_ns() < self._paused_until:
            if first:
                raise HttpError("no room on disk for the rest")
            return None
        held = self._beginnings.pop(name, None)
        if first and (held is None or held.part.size != first):
            raise HttpError("the beginning has gone")
        if held is not None and not first:
            held.path.unlink(missing_ok=True)
            held = None
        if held is None:
            self._numbers += 1
            path = self._where / f"{name}.{self._numbers}.part"
            held = Beginning(path, Part(0, host, strong(head.fields.get("etag", ""))), hashlib.sha256())
        return Transfer(self, name, held, length, request)

    def keep(self, name: Name, held: Beginning) -> None:
        """A beginning that may be gone on with."""
        if not held.part.size or not held.part.validator:
            return held.path.unlink(missing_ok=True)
        self._forget(name)
        self._beginnings[name] = held
        while len(self._beginnings) > BEGINNINGS:
            self._forget(next(iter(self._beginnings)))

    def failed(self, name: Name, error: OSError) -> None:
        """A disk that is full stays so for a while."""
        log_line(f"files: {name} can't be written, none is for a while: {error.strerror}")
        self._paused_until = time.monotonic_ns() + PAUSE

    def _forget(self, name: Name) -> None:
        held = self._beginnings.pop(name, None)
        if held is not None:
            held.path.unlink(missing_ok=True)

    def final(self, name: Name) -> Path:
        return self._where / str(name)


class Transfer:
    """One body on its way to the disk."""

    def __init__(
        self, spools: DownloadSpool, name: Name, held: Beginning, length: int, request: UpstreamRequest
    ) -> None:
        self._spools, self._name, self._held, self._request = spools, name, held, request
        self._left = length
        self._file: BinaryIO | None = None

    async def receive(
        self, stream: Stream, buffer: Buffer, stall_timeout: float, sent_at: int
    ) -> AttemptResult:
        """Take the whole body in. A break of the connection is raised, and what came is kept for going on.

        The bytes count as made when they were asked for: a purge heard while they come is younger.
        """
        block = bytearray(min(self._left, BLOCK))
        have, whole = 0, False
        try:
            while self._left:
                size = min(self._left, len(block))
                have = min(size, buffer.filled)
                block[:have] = memoryview(buffer.data)[:have]
                buffer.discard(have)
                while have < size:
                    have += await stream.read_some(memoryview(block)[have:size], stall_timeout)
                await asyncio.to_thread(self._write, memoryview(block)[:size])
                have = 0
                self._left -= size
            whole = True
        except (StreamClosedError, TimeoutError):
            if have:
                self._write(memoryview(block)[:have])
            raise
        except OSError as error:
            self._spools.failed(self._name, error)
            self._held.path.unlink(missing_ok=True)
            self._held.part = replace(self._held.part, size=0)
            return AttemptResult(i.AttemptStatus.MISS, reason=FailureReason.BUSY)
        finally:
            if self._file is not None:
                self._file.close()
            if not whole:
                self._spools.keep(self._name, self._held)
        held, size = self._held, self._held.part.size
        if held.hash.hexdigest() != self._name.digest:
            held.path.unlink(missing_ok=True)
            return AttemptResult(i.AttemptStatus.MISS, reason=FailureReason.REPLACED)
        try:
            held.path.rename(self._spools.final(self._name))
        except OSError as error:
            self._spools.failed(self._name, error)
            return AttemptResult(i.AttemptStatus.MISS, reason=FailureReason.BUSY)
        unchanged = self._request.client_etag == self._name.digest
        return AttemptResult(
            i.AttemptStatus.OK,
            b"",
            unchanged,
            self._name.digest,
            sent_at,
            stored_file=str(self._name),
            size=size,
        )

    def _write(self, data: memoryview) -> None:
        if self._file is None:
            self._file = self._held.path.open("ab")
            self._file.truncate(self._held.part.size)
        self._file.write(data)
        self._file.flush()
        self._held.hash.update(data)
        self._held.part = replace(self._held.part, size=self._held.part.size + len(data))


def _name(request: UpstreamRequest) -> Name | None:
    """Only what is named by a digest comes this way."""
    return Name(request.object, request.digest) if request.digest and not request.is_write else None
