"""Protocols that optional parts of a gateway implement for the reducer."""

from __future__ import annotations

from typing import Protocol

from hallproxy.state.events import AttemptResult, ExtensionEvent, Response
from hallproxy.state.in_flight import InFlightRequest


class FileCache(Protocol):
    """A cache of files on disk, for requests that name a digest.

    It serves a request from its files, or coalesces requests for the same bytes into one fetch.
    """

    def lookup(self, in_flight: InFlightRequest) -> bool:
        """Read a file for the request, or let it wait for another request's fetch; false: neither.

        If neither, the caller submits the request to the router.
        """
        ...

    def downstream_closed(self, in_flight: InFlightRequest) -> bool:
        """Handle the client's disconnect; true: its fetch continues for requests that wait for it."""
        ...

    def finished(self, in_flight: InFlightRequest, response: Response) -> None:
        """Handle the request's response, which may also answer those that wait for its fetch."""
        ...

    def store(self, in_flight: InFlightRequest, body: bytes) -> None:
        """Store a received body that the router ranked for caching."""
        ...

    def adopt(self, result: AttemptResult) -> None:
        """Add the file in which the transport has stored the result's body."""
        ...

    def discard(self, stored_file: str) -> None:
        """Remove a stored file that must not be served."""
        ...

    def purge(self, object_id: int, group: int) -> None:
        """Purge the object, or with object 0 its whole group."""
        ...

    def handle(self, event: ExtensionEvent) -> None:
        """Handle one of the cache's own events."""
        ...
