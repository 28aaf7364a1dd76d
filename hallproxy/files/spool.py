"""Downloads of large files: written to disk as they arrive, hashed, and renamed when they are complete.

A file takes one block of memory, however large it is. An interrupted download is kept for an attempt that can
resume it; a start of the program removes all partial downloads.
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
from hallproxy.files.file_table import MAX_FILE_DIVISOR, WRITE_PAUSE, FileName
from hallproxy.files.resume import ResumePoint, body_offset, resume_from, strong_etag
from hallproxy.run.log import log_line
from hallproxy.run.sockets import Buffer, Stream
from hallproxy.state.effects import UpstreamRequest
from hallproxy.state.events import AttemptResult, FailureReason
from hallproxy.wire.http1 import Head, HttpError

BLOCK_BYTES = 1024 * 1024  # in memory for each download
MAX_PARTIAL_DOWNLOADS = 32  # kept to be resumed; beyond it the oldest is removed


@dataclass(slots=True)
class PartialDownload:
    """A partial file on disk, with the running hash of its bytes."""

    path: Path
    resume_point: ResumePoint
    hash: hashlib._Hash


class DownloadSpool:
    """The downloads to the cache directory, and the partial ones that can be resumed."""

    def __init__(self, directory: Path, max_bytes: int, min_size: int) -> None:
        """``max_bytes``: of the whole directory; ``min_size``: bytes from which a file goes to disk."""
        self._directory, self._min_size = directory, min_size
        self._max_file_bytes = max_bytes // MAX_FILE_DIVISOR
        self._partial_downloads: OrderedDict[FileName, PartialDownload] = OrderedDict()
        self._last_number = 0
        self._paused_until = 0  # monotonic, ns

    def with_range(self, request: UpstreamRequest, host: str) -> UpstreamRequest:
        """The request, with a range for the rest where a partial download can be resumed."""
        name = _file_name(request)
        partial = self._partial_downloads.get(name) if name is not None else None
        first, validator = resume_from(partial.resume_point if partial is not None else None, host)
        return replace(request, range_from=first, if_range=validator) if first else request

    def begin(self, request: UpstreamRequest, head: Head, host: str) -> DiskDownload | None:
        """The download of this response's body; None: it is read into memory.

        Raises HttpError for a range that can't be used: the body is of no use without the bytes before it.
        """
        name = _file_name(request)
        if name is None:
            return None
        if head.status not in (200, 206):
            if request.range_from:  # the file that was partly downloaded no longer exists
                self._drop_partial(name)
            return None
        length = head.body_length
        if length is None:
            return None
        first = body_offset(request.range_from, head.status, head.fields, length)
        if first is None:
            self._drop_partial(name)  # the next attempt requests the complete file
            raise HttpError("the response's range is not the one requested")
        small = not first and length < self._min_size
        if small or length + first > self._max_file_bytes or time.monotonic_ns() < self._paused_until:
            if first:
                raise HttpError("the rest of a partial download is too large, or writes are paused")
            return None
        partial = self._partial_downloads.pop(name, None)
        if first and (partial is None or partial.resume_point.size != first):
            raise HttpError("the partial download that the response continues was removed")
        if partial is not None and not first:
            partial.path.unlink(missing_ok=True)
            partial = None
        if partial is None:
            self._last_number += 1
            path = self._directory / f"{name}.{self._last_number}.part"
            partial = PartialDownload(
                path, ResumePoint(0, host, strong_etag(head.fields.get("etag", ""))), hashlib.sha256()
            )
        return DiskDownload(self, name, partial, length, request)

    def keep_partial(self, name: FileName, partial: PartialDownload) -> None:
        """Keep a partial download for an attempt that can resume it."""
        if not partial.resume_point.size or not partial.resume_point.validator:
            return partial.path.unlink(missing_ok=True)
        self._drop_partial(name)
        self._partial_downloads[name] = partial
        while len(self._partial_downloads) > MAX_PARTIAL_DOWNLOADS:
            self._drop_partial(next(iter(self._partial_downloads)))

    def pause_writes(self, name: FileName, error: OSError) -> None:
        """Pause writes after a failed one: a full disk stays full for a while."""
        log_line(f"files: {name} can't be written, writes pause for a while: {error.strerror}")
        self._paused_until = time.monotonic_ns() + WRITE_PAUSE

    def _drop_partial(self, name: FileName) -> None:
        partial = self._partial_downloads.pop(name, None)
        if partial is not None:
            partial.path.unlink(missing_ok=True)

    def final_path(self, name: FileName) -> Path:
        """The path of the complete file."""
        return self._directory / str(name)


class DiskDownload:
    """The download of one response body to disk."""

    def __init__(
        self,
        spool: DownloadSpool,
        name: FileName,
        partial: PartialDownload,
        length: int,
        request: UpstreamRequest,
    ) -> None:
        self._spool, self._file_name, self._partial, self._request = spool, name, partial, request
        self._remaining = length
        self._file: BinaryIO | None = None

    async def receive(
        self, stream: Stream, buffer: Buffer, stall_timeout: float, sent_at: int
    ) -> AttemptResult:
        """Receive the complete body. A broken connection raises; what arrived is kept to be resumed.

        The bytes count as generated when they were requested: a purge during the download is newer.
        """
        block = bytearray(min(self._remaining, BLOCK_BYTES))
        block_filled, is_complete = 0, False
        try:
            while self._remaining:
                size = min(self._remaining, len(block))
                block_filled = min(size, buffer.filled)
                block[:block_filled] = memoryview(buffer.data)[:block_filled]
                buffer.discard(block_filled)
                while block_filled < size:
                    block_filled += await stream.read_some(
                        memoryview(block)[block_filled:size], stall_timeout
                    )
                await asyncio.to_thread(self._write, memoryview(block)[:size])
                block_filled = 0
                self._remaining -= size
            is_complete = True
        except (StreamClosedError, TimeoutError):
            if block_filled:
                self._write(memoryview(block)[:block_filled])
            raise
        except OSError as error:
            self._spool.pause_writes(self._file_name, error)
            self._partial.path.unlink(missing_ok=True)
            self._partial.resume_point = replace(self._partial.resume_point, size=0)
            return AttemptResult(i.AttemptStatus.MISS, reason=FailureReason.BUSY)
        finally:
            if self._file is not None:
                self._file.close()
            if not is_complete:
                self._spool.keep_partial(self._file_name, self._partial)
        partial, size = self._partial, self._partial.resume_point.size
        if partial.hash.hexdigest() != self._file_name.digest:
            partial.path.unlink(missing_ok=True)
            return AttemptResult(i.AttemptStatus.MISS, reason=FailureReason.REPLACED)
        try:
            partial.path.rename(self._spool.final_path(self._file_name))
        except OSError as error:
            self._spool.pause_writes(self._file_name, error)
            return AttemptResult(i.AttemptStatus.MISS, reason=FailureReason.BUSY)
        not_modified = self._request.client_etag == self._file_name.digest
        return AttemptResult(
            i.AttemptStatus.OK,
            b"",
            not_modified,
            self._file_name.digest,
            sent_at,
            stored_file=str(self._file_name),
            size=size,
        )

    def _write(self, data: memoryview) -> None:
        if self._file is None:
            self._file = self._partial.path.open("ab")
            self._file.truncate(self._partial.resume_point.size)
        self._file.write(data)
        self._file.flush()
        self._partial.hash.update(data)
        self._partial.resume_point = replace(
            self._partial.resume_point, size=self._partial.resume_point.size + len(data)
        )


def _file_name(request: UpstreamRequest) -> FileName | None:
    """The file that the request names by its digest; only such files are downloaded to disk."""
    return FileName(request.object, request.digest) if request.digest and not request.is_write else None
