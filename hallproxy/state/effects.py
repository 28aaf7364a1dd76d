"""Effects: actions that the reducer requests and ``hallproxy.run`` carries out."""

from __future__ import annotations

from dataclasses import dataclass

from hallproxy.state.events import Response, TimerEvent


@dataclass(slots=True, frozen=True)
class SendResponse:
    """Send the one final response to the downstream."""

    downstream: int
    response: Response


@dataclass(slots=True, frozen=True)
class OpenConnection:
    """Open a connection to ``address``; later events and effects refer to it by the id ``connection``."""

    connection: int
    address: str


@dataclass(slots=True, frozen=True)
class UpstreamRequest:
    """The request that an attempt sends to its endpoint.

    Attributes:
        request_id: the client's id for the request, passed on unchanged.
        class_index: the request's class.
        name: the client's name for the object, passed on unchanged.
        part: the part of the object.
        time_budget: ns until the attempt times out.
        idempotency_key: the client's key; empty: none.
        client_etag: the etag of the client's cached copy; empty: none.
        body: the body of a write.
        is_write: whether it changes the object.
        source: the id of the endpoint that fills a miss; empty: no fill.
        cache_rank: the rank to cache the response with; 0: it is not cached.
        max_age: the maximum age (ns) of a cached copy; 0: any.
        join: whether it may join a fill that is in progress.
        cached_only: whether a miss is reported instead of filled.
        no_parent_copy: whether a parent that fills it need not cache it.
        revalidate: whether a cached copy must be revalidated.
        digest: the digest that the body must have; empty: any body is accepted.
        validator: that of the local cache entry; a body is sent only if it has changed since; empty: none.
        object: the object's number.
        range_from: the offset of the first byte requested; the bytes before it are already stored.
        if_range: the validator of those stored bytes; empty: none.
    """

    request_id: str
    class_index: int
    name: str
    part: int
    time_budget: int
    idempotency_key: str = ""
    client_etag: str = ""
    body: bytes = b""
    is_write: bool = False
    source: str = ""
    cache_rank: int = 0
    max_age: int = 0
    join: bool = False
    cached_only: bool = False
    no_parent_copy: bool = False
    revalidate: bool = False
    digest: str = ""
    validator: str = ""
    object: int = 0
    range_from: int = 0
    if_range: str = ""


@dataclass(slots=True, frozen=True)
class SendRequest:
    """Send the request on the connection, which is open and idle."""

    connection: int
    request: UpstreamRequest


@dataclass(slots=True, frozen=True)
class CloseConnection:
    """Close the connection, whether it is open or still opening."""

    connection: int


@dataclass(slots=True, frozen=True)
class ScheduleTimer:
    """Dispatch the event at its time ``at``."""

    event: TimerEvent


@dataclass(slots=True, frozen=True)
class LogRecord:
    """A line for the log."""

    text: str


class ExtensionEffect:
    """Base class of the effects of an optional part; the event loop passes them to that part."""

    __slots__ = ()


Effect = (
    SendResponse
    | OpenConnection
    | SendRequest
    | CloseConnection
    | ScheduleTimer
    | LogRecord
    | ExtensionEffect
)
