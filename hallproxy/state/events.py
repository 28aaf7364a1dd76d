"""Events that the reducer applies. Each carries its time ``at`` (ns), so the reducer needs no clock."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from hallproxy import interface as i
from hallproxy.broker.contracts import Contracts
from hallproxy.state.limits import Limits


class ResponseKind(Enum):
    """How a request ended. The values are part of the usage report's labels."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"


class FailureReason(Enum):
    """Why a request was not served, for fronts that report it. The values are part of usage labels."""

    NONE = ""
    NO_CONTRACT = "no contract"
    FORBIDDEN_NETWORK = "network"
    OVER_BUDGET = "over budget"
    TOO_MANY_IN_FLIGHT = "too many open"
    RETRY_BUDGET = "retry budget"
    IDEMPOTENCY_KEY = "key"
    OVERLOADED = "crowded"
    BUSY = "busy"
    TIMEOUT = "timeout"
    UNREACHABLE = "unreached"
    CONNECTION_RESET = "broken"
    ERROR = "error"
    NOT_FOUND = "absent"
    REPLACED = "replaced"


@dataclass(slots=True, frozen=True)
class Response:
    """The final response to a client's request.

    Attributes:
        kind: how the request ended.
        body: the body; empty if ``not_modified`` or ``stored_file`` is set.
        not_modified: whether the client's cached copy is current.
        retry_after: ns after which the client may retry; 0: unknown.
        etag: the body's etag.
        generated_at: ns; when the origin generated the body; 0: unknown.
        reason: why the request was not served.
        stale: whether it is past its freshness lifetime, as no fresh response was available.
        stored_file: the cached file that holds the body; empty: none.
        size: bytes of that file.
    """

    kind: ResponseKind
    body: bytes = b""
    not_modified: bool = False
    retry_after: int = 0
    etag: str = ""
    generated_at: int = 0
    reason: FailureReason = FailureReason.NONE
    stale: bool = False
    stored_file: str = ""
    size: int = 0


@dataclass(slots=True, frozen=True)
class ClientRequest:
    """A client's request.

    Attributes:
        request_id: the client's id for it, passed on unchanged; empty: none.
        class_index: its request class.
        time_left: ns from its receipt to its deadline.
        object: the object's number.
        name: the client's name for the object, passed on unchanged.
        part: the part of the object.
        group: the object's purge group.
        size_kb: the expected size of the response.
        is_retry: whether the client has sent it before.
        is_write: whether it changes the object.
        idempotency_key: the client's key, passed on unchanged; empty: none.
        client_etag: the etag of the client's cached copy; empty: none.
        body: the body of a write, passed on unchanged.
        team: the team that sent it, as its contract names it.
        service: the team's service.
        client_address: the client's address; empty: unknown.
        digest: the digest that the body must have; empty: any body is accepted.
        allowed_endpoints: the endpoints that may answer it; empty: all.
    """

    request_id: str
    class_index: int
    time_left: int
    object: int
    name: str
    part: int = 0
    group: int = 0
    size_kb: float = 0.0
    is_retry: bool = False
    is_write: bool = False
    idempotency_key: str = ""
    client_etag: str = ""
    body: bytes = b""
    team: str = ""
    service: str = ""
    client_address: str = ""
    digest: str = ""
    allowed_endpoints: frozenset[bytes] = frozenset()


@dataclass(slots=True, frozen=True)
class RequestReceived:
    """A request was received completely; ``downstream`` is the front's handle for its one response."""

    at: int
    downstream: int
    request: ClientRequest


@dataclass(slots=True, frozen=True)
class DownstreamClosed:
    """The client that waits for the response has disconnected or cancelled the request."""

    at: int
    downstream: int


@dataclass(slots=True, frozen=True)
class ConnectionOpened:
    """A requested connection is open; nothing is sent on it yet."""

    at: int
    connection: int


@dataclass(slots=True, frozen=True)
class ConnectionClosed:
    """A connection could not be opened, broke or was closed by its peer.

    ``unused``: nothing was sent on it. ``out_of_descriptors``: this process had no file descriptor left for
    it, which does not indicate a fault of the endpoint.
    """

    at: int
    connection: int
    unused: bool = False
    out_of_descriptors: bool = False


@dataclass(slots=True, frozen=True)
class AttemptResult:
    """An endpoint's complete response to one attempt.

    Attributes:
        status: how the attempt ended.
        body: the body; empty if ``not_modified``, ``revalidated`` or ``stored_file`` is set.
        not_modified: whether the client's cached copy is current.
        etag: the body's etag.
        generated_at: ns; when the origin generated the body; 0: unknown.
        load: the load figures that the endpoint reported, for the router.
        reason: why it is not a success, if the status alone does not determine it.
        validator: the source's own identifier of this version, for revalidation; empty: unknown.
        revalidated: whether the source confirmed the local cache entry as current, without sending a body.
        stored_file: the cached file that holds the body; empty: none.
        size: bytes of that file.
    """

    status: i.AttemptStatus
    body: bytes = b""
    not_modified: bool = False
    etag: str = ""
    generated_at: int = 0
    load: tuple[float, ...] = ()
    reason: FailureReason = FailureReason.NONE
    validator: str = ""
    revalidated: bool = False
    stored_file: str = ""
    size: int = 0


@dataclass(slots=True, frozen=True)
class ResponseReceived:
    """A response was received completely; ``reusable``: the connection may carry another request."""

    at: int
    connection: int
    result: AttemptResult
    reusable: bool


@dataclass(slots=True, frozen=True)
class EndpointListUpdated:
    """The endpoint list has changed; ``addresses`` are those of the endpoints in ``change``, in order."""

    at: int
    change: i.EndpointsChanged
    addresses: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class WatchCaughtUp:
    """All changes that the change log had at ``at`` have been dispatched."""

    at: int


@dataclass(slots=True, frozen=True)
class WatchPolled:
    """The change log was polled; it may hold the poll for ``wait`` ns."""

    at: int
    wait: int


class WatchFailure(Enum):
    """How the connection to the change log failed."""

    DISCONNECTED = "disconnected"  # between two polls, or before the first one
    UNANSWERED = "unanswered"  # a poll was sent, and nothing of its response was received
    CUT_OFF = "cut off"  # a response was received in part, or could not be used


@dataclass(slots=True, frozen=True)
class WatchFailed:
    """Changes that the change log has had since ``at`` may not have been received."""

    at: int
    failure: WatchFailure


@dataclass(slots=True, frozen=True)
class PurgeNotified:
    """An object, or with object 0 its whole group, was purged at ``purged_at`` (ns).

    ``age_counted_from`` (ns): the time that the ages of endpoints' copies are counted from, never earlier
    than ``purged_at``; 0: ``purged_at``.
    """

    at: int
    object: int
    group: int
    purged_at: int
    age_counted_from: int = 0


@dataclass(slots=True, frozen=True)
class RouterTimerDue:
    """A timer that the router has set fires."""

    at: int
    token: int


@dataclass(slots=True, frozen=True)
class AttemptTimerDue:
    """The deadline of an attempt."""

    at: int
    attempt: int


@dataclass(slots=True, frozen=True)
class RequestTimerDue:
    """The deadline of a request, independent of the router's decisions."""

    at: int
    request: int


@dataclass(slots=True, frozen=True)
class QueueTimerDue:
    """The latest moment at which a queued request can still start in time."""

    at: int
    request: int


@dataclass(slots=True, frozen=True)
class ConnectionTimerDue:
    """The connect timeout of a connection, or a check of its idle timeout."""

    at: int
    connection: int


@dataclass(slots=True, frozen=True)
class EventLoopLagged:
    """``lag``: the recent mean delay (ns) of the process's own timers."""

    at: int
    lag: int


@dataclass(slots=True, frozen=True)
class ContractsUpdated:
    """The contracts were replaced; None: there are none, and every request is admitted."""

    at: int
    contracts: Contracts | None


@dataclass(slots=True, frozen=True)
class Reconfigured:
    """The configuration was reloaded. Its request classes are the same, so requests in flight continue."""

    at: int
    settings: i.Settings
    limits: Limits


@dataclass(slots=True, frozen=True)
class ShutdownStarted:
    """The process shuts down: all requests must be answered by ``deadline`` (ns).

    ``rejects_new``: new requests are rejected from now on.
    """

    at: int
    deadline: int
    rejects_new: bool = False


class ExtensionEvent:
    """Base class of the events of an optional part; only that part interprets them."""

    __slots__ = ()
    at: int


TimerEvent = RouterTimerDue | AttemptTimerDue | ConnectionTimerDue | RequestTimerDue | QueueTimerDue

Event = (
    RequestReceived
    | DownstreamClosed
    | ConnectionOpened
    | ConnectionClosed
    | ResponseReceived
    | EndpointListUpdated
    | PurgeNotified
    | WatchCaughtUp
    | WatchPolled
    | WatchFailed
    | TimerEvent
    | ContractsUpdated
    | EventLoopLagged
    | Reconfigured
    | ShutdownStarted
    | ExtensionEvent
)
