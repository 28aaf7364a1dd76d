"""The reducer's ``FileCache``: how cached files answer requests, on the table of cached files.

A request that names a digest is answered from the disk if possible; else it goes to the router, and further
requests for the same bytes wait for this one fetch. The contract, the budgets and the deadline of each were
checked before, and each has its one response through ``lifecycle.respond``.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from hallproxy.files.file_table import FileName, FileTable, parse_file_name
from hallproxy.files.messages import FileRead, FileWritten, ReadFile, RemoveFile, WriteFile
from hallproxy.state import lifecycle
from hallproxy.state.events import AttemptResult, ExtensionEvent, FailureReason, Response, ResponseKind
from hallproxy.state.in_flight import InFlightRequest
from hallproxy.state.model import GatewayState
from hallproxy.state.ports import FileCache

# They hold for all requests for these bytes.
SHARED_FAILURES = (FailureReason.NOT_FOUND, FailureReason.REPLACED)


@dataclass(slots=True)
class Fetch:
    """The one fetch of a file: the id of the request that makes it, and the ids of those that wait for it."""

    leader: int
    waiting: dict[int, None] = field(default_factory=dict)


class DiskFileCache(FileCache):
    """Files on disk. Its effects and events are those of ``hallproxy.files.messages``.

    Attributes:
        table: the table of cached files.
        served: responses from cached files so far.
        joined: requests that waited for another's fetch so far.
    """

    def __init__(self, state: GatewayState, table: FileTable, large_bytes: int) -> None:
        """``large_bytes``: files of this size and more are never read into memory."""
        self.table = table
        self.served = 0
        self.joined = 0
        self._state = state
        self._large_bytes = large_bytes
        self._fetches: dict[FileName, Fetch] = {}  # bounded by the requests in flight

    def lookup(self, in_flight: InFlightRequest) -> bool:
        """Read the file for the request, or let it wait for another's fetch; False: neither."""
        name = _file_name(in_flight)
        if name is None:
            return False
        fetch = self._fetches.get(name)
        if fetch is not None:
            fetch.waiting[in_flight.id] = None
            self.joined += 1
            return True
        self._fetches[name] = Fetch(in_flight.id)
        return self._read_file(in_flight, name)

    def _read_file(self, in_flight: InFlightRequest, name: FileName) -> bool:
        if not self.table.mark_used(name):
            return False
        large = self.table.sizes[name] >= self._large_bytes
        self._state.effects.append(ReadFile(in_flight.id, name, large, name in self.table.verified))
        return True

    def downstream_closed(self, in_flight: InFlightRequest) -> bool:
        """Whether the request's fetch goes on, for those that wait for it."""
        name = _file_name(in_flight)
        fetch = self._fetches.get(name) if name is not None else None
        if fetch is None or name is None:
            return False
        fetch.waiting.pop(in_flight.id, None)
        if fetch.leader != in_flight.id:
            return False
        if not fetch.waiting:
            del self._fetches[name]
        return bool(fetch.waiting)

    def finished(self, in_flight: InFlightRequest, response: Response) -> None:
        """Answer the requests that wait for the request's fetch, or let one of them fetch again."""
        name = _file_name(in_flight)
        fetch = self._fetches.get(name) if name is not None else None
        if fetch is None or name is None:
            return
        fetch.waiting.pop(in_flight.id, None)
        if fetch.leader != in_flight.id:
            return
        del self._fetches[name]
        requests = map(self._state.requests.get, fetch.waiting)
        waiting = [request for request in requests if request is not None and not request.answered]
        has_bytes = response.kind is ResponseKind.SERVED and bool(response.body or response.stored_file)
        if has_bytes or response.reason in SHARED_FAILURES:
            for follower in waiting:
                not_modified = has_bytes and follower.request.client_etag == name.digest
                lifecycle.respond(self._state, follower, replace(response, not_modified=not_modified))
        elif waiting:
            self._fetch_again(name, waiting)

    def _fetch_again(self, name: FileName, waiting: list[InFlightRequest]) -> None:
        leader, *others = waiting
        self._fetches[name] = Fetch(leader.id, {other.id: None for other in others})
        if not self._read_file(leader, name):
            lifecycle.submit(self._state, leader)

    def store(self, in_flight: InFlightRequest, body: bytes) -> None:
        """Write a body that the router ranked for caching, and remove the files evicted for it."""
        name = _file_name(in_flight)
        if name is None or not body:
            return
        evicted = self.table.begin_write(name, len(body), self._state.now)
        if evicted is not None:
            self._state.effects += [RemoveFile(old) for old in evicted]
            self._state.effects.append(WriteFile(name, body))

    def adopt(self, result: AttemptResult) -> None:
        """Add a large file, which was downloaded into the directory, to the table."""
        name = parse_file_name(result.stored_file)
        if name is not None:
            self._state.effects += [RemoveFile(old) for old in self.table.adopt(name, result.size)]

    def discard(self, stored_file: str) -> None:
        """Remove a file that must not be served."""
        name = parse_file_name(stored_file)
        if name is not None and self.table.drop(name):
            self._state.effects.append(RemoveFile(name))

    def purge(self, object_id: int, group: int) -> None:
        """Remove the files of the object, or with object 0 of its whole group."""
        self._state.effects += [RemoveFile(name) for name in self.table.purge(object_id, group)]

    def handle(self, event: ExtensionEvent) -> None:
        """Handle an event of the disk."""
        match event:
            case FileRead():
                self._file_read(event)
            case FileWritten():
                usable = self.table.finish_write(event.name, event.succeeded, self._state.now)
                if event.succeeded and not usable and event.name not in self.table.sizes:
                    # Purged while it was being written.
                    self._state.effects.append(RemoveFile(event.name))

    def _file_read(self, event: FileRead) -> None:
        """Answer the request that the file was read for; if it can't be served, hand it to the router."""
        in_flight, name = self._state.requests.get(event.request), event.name
        if not event.succeeded and self.table.drop(name):
            self._state.effects.append(RemoveFile(name))
        size = self.table.sizes.get(name)
        if event.succeeded and size is not None:
            self.table.verified.add(name)
        if in_flight is None or in_flight.answered:
            return
        if not event.succeeded or size is None:  # None: purged while it was read
            lifecycle.submit(self._state, in_flight)
            return
        self.served += 1
        response = Response(
            ResponseKind.SERVED,
            event.body,
            in_flight.request.client_etag == name.digest,
            etag=name.digest,
            generated_at=self._state.now,
        )
        if size >= self._large_bytes:
            response = replace(response, stored_file=str(name), size=size)
        lifecycle.respond(self._state, in_flight, response)


def _file_name(in_flight: InFlightRequest) -> FileName | None:
    """The file that the request names by its digest; an index has no digest and is never on disk."""
    request = in_flight.request
    return FileName(request.object, request.digest) if request.digest and not request.is_write else None
