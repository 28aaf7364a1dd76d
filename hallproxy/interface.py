"""The interface of the decisions: settings, events in, actions out.

Create one ``Router(settings, seed)`` per gateway process, pass events to ``handle(now, events)`` and execute
the actions it returns, in order, at that same time. Times (``..._at``, ``now``) and durations are integer
nanoseconds on one monotonic clock; sizes are in KB. This module only defines types.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum, IntFlag

EndpointId = bytes
"""Opaque name of a cache, parent or origin, such as ``b"10.0.0.7:8080"``; unique and never reused."""


class Idempotency(Enum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "safe"
    IDEMPOTENCY_KEY = "keyed"
    NOT_IDEMPOTENT = "unsafe"


class Scope(Enum):
    """The caches that share idempotency keys with each other, or that may be fill sources of each other."""

    NONE = "none"
    CELL = "cell"
    ZONE = "zone"
    ALL = "all"


class FillDetail(Enum):
    """Which answers carry a cache status: none, hits only, or all."""

    NONE = "none"
    HIT = "hit"
    ALL = "all"


class LoadReports(Enum):
    """How load reports arrive: not at all, with health checks, or with answers."""

    NONE = "none"
    PROBE = "probe"
    ANSWERS = "answers"


class EndpointState(IntEnum):
    """State of a listed endpoint; only ready ones get attempts."""

    GONE = 0
    DRAINING = 1
    READY = 2


class EndpointListKind(IntEnum):
    """What an update of the endpoint list contains.

    DELTA: changed entries. FULL: all entries. CACHED: all entries, as last known. FAILED: none, as
    the poll failed.
    """

    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class AttemptStatus(Enum):
    """How an attempt ended. FULL, CONNECT_FAILED, NOT_SENT and MISS prove that it was not executed."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "moot"
    MISS = "miss"


PROVES_NOT_EXECUTED = (
    AttemptStatus.FULL,
    AttemptStatus.CONNECT_FAILED,
    AttemptStatus.NOT_SENT,
    AttemptStatus.MISS,
)
"""The statuses of attempts that were certainly not executed."""


class CacheStatus(IntEnum):
    """How a cache obtained its answer, or why it has none; NONE where answers carry no status."""

    NONE = 0
    HIT = 1
    FILLED = 2
    FILLED_BY_ORIGIN = 3
    JOINED = 4
    STALE = 5
    SOURCE_REFUSED = 6
    SOURCE_UNREACHABLE = 7
    SOURCE_MISS = 8
    NO_FILL_SLOT = 9
    ORIGIN_FAILED = 10


class FetchFlags(IntFlag):
    """How the cache handles an attempt."""

    NONE = 0
    JOIN = 1  # a fill in flight may be joined
    CACHED_ONLY = 2  # answer only from the cache
    NO_PARENT_COPY = 4  # the parent does not cache what it forwards
    REVALIDATE = 8  # an expired copy is revalidated with its source


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One class of requests.

    The latency objective of a request is ``latency_objective`` plus ``objective_stretch`` times the request's
    own sending time.
    """

    latency_objective: int  # ns; an answer within it has its full value
    deadline: int  # ns after which clients disconnect
    priority_weight: float = 1.0  # value of an answer within the objective
    late_weight: float = 0.0  # value of a late answer
    objective_stretch: float = 0.0
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    idempotency_scope: Scope = Scope.ALL  # the endpoints that share a request's idempotency key
    idempotency_window: int = 0  # ns for which they remember the key
    streaming: bool = False
    fresh_for: int = 0  # ns for which a copy is fresh; 0: until it is purged
    stale_grace: int = 0  # ns after ``fresh_for`` in which a stale copy may still be served
    multipart: bool = False  # objects are requested in parts, the first of them at startup
    is_write: bool = False
    name: str = ""


@dataclass(slots=True, frozen=True)
class Settings:
    """The settings of one gateway. Zero, false or empty means that the deployment lacks the feature.

    Tuples by zone are indexed by zone number. A hub is a zone that has parents, identified by its number.
    """

    classes: tuple[RequestClass, ...]
    zone: int  # the gateway's own zone
    zone_hub: tuple[int, ...]  # by zone: the hub that it belongs to
    parent_kind: int  # -1 where there are no parents
    origin_kind: int
    slow_start_share: float  # share of its capacity that a cache has when it starts
    slow_start_duration: int  # ns until it has its full capacity
    overload_multiple: float  # multiple of its current capacity at which a warming-up cache fails
    overload_window: int  # ns for which the overload must last
    drain_grace: int  # ns after the notice of a drain or removal, within which attempts there must end
    answer_slack: int  # ns after the client's deadline within which a final answer still counts
    gateways_by_zone: tuple[int, ...] = ()
    gateway_count: int = 1
    gateway_index: int = 0
    tick: int = 0  # ns; shortest interval between two calls of ``handle``
    transfer_kb_s: float = 0.0  # KB/s; full rate of one transfer
    zone_link_kb_s: tuple[float, ...] = ()  # by zone: KB/s of its inbound link; 0: unknown
    parent_slow_start_share: float = 0.0
    parent_slow_start_duration: int = 0  # ns
    parent_overload_multiple: float = 0.0  # these three as above, for parents
    origin_overload_multiple: float = 0.0  # multiple of its capacity at which the origin fails; 0: never
    purge_grace: int = 0  # ns after the notice of a purge, from which answers must obey it
    purge_duration: int = 0  # ns until all caches have executed a purge
    weights_known: bool = False  # an endpoint's weight is the number of transfers that its link carries
    fill_detail: FillDetail = FillDetail.NONE
    sibling_scope: Scope = Scope.NONE  # the caches that may be fill sources
    joins_fills: bool = False  # an attempt may join a fill in flight
    direct_to_source: bool = False  # a source may answer itself
    health_checks: bool = False
    cancellation: bool = False  # attempts may be cancelled
    hedging: bool = False  # a request may have several attempts in flight
    max_attempts: int = 1  # of one request
    max_retry_after: int = 0  # ns
    connect_timeout: int = 0  # ns
    load_reports: LoadReports = LoadReports.NONE
    report_fields: tuple[str, ...] = ()  # names of a load report's values
    polls_endpoint_list: bool = False  # the list must be polled
    poll_within: int = 0  # ns without a poll, after which a list change counts as notified
    idle_close: int = 0  # ns after which idle connections are closed
    zone_names: tuple[str, ...] = ()
    kind_names: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One entry of the endpoint list."""

    id: EndpointId
    state: EndpointState
    kind: int = 0  # the settings' ``parent_kind`` or ``origin_kind``; any other is a cache
    zone: int = 0
    cell: int = 0
    weight: float = 1.0  # capacity, relative to other endpoints
    started_at: int = 0  # ns; 0: long enough ago to be warm


@dataclass(slots=True, frozen=True)
class EndpointsChanged:
    """The endpoint list, or the changed entries of it."""

    kind: EndpointListKind
    endpoints: tuple[Endpoint, ...] = ()
    version: int = 0


@dataclass(slots=True, frozen=True)
class Request:
    """A client's request for one part of an object; it must get one final answer within ``time_left``."""

    id: int
    class_index: int  # index into the settings' ``classes``
    time_left: int  # ns
    object: int = 0
    part: int = 0
    group: int = 0  # its objects are purged together
    size_kb: float = 0.0  # 0: unknown
    tenant: int = 0
    is_retry: bool = False
    is_write: bool = False
    allowed_endpoints: frozenset[EndpointId] = frozenset()  # the endpoints that may answer it; empty: any


@dataclass(slots=True, frozen=True)
class SettingsChanged:
    """Settings that apply from now on; the classes and the zone are unchanged."""

    settings: Settings


@dataclass(slots=True, frozen=True)
class ServedLocally:
    """A request that the gateway answered from its local cache; it counts as a request for the object."""

    object: int


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """The end of one attempt."""

    request_id: int
    attempt: int  # number of the attempt, from 0
    endpoint: EndpointId
    status: AttemptStatus
    latency: int  # ns since its start
    request_closed: bool = False  # the request needs no further answer, due to this end or an earlier event
    cache_status: int = 0  # a CacheStatus
    source_wait: int = 0  # ns that the cache waited for its source's first byte; 0: unknown
    load: tuple[float, ...] = ()  # a load report, by the settings' ``report_fields``


@dataclass(slots=True, frozen=True)
class StreamStarted:
    """The first byte of a streamed answer: the attempt is the request's answer from now on."""

    request_id: int
    attempt: int
    endpoint: EndpointId
    latency: int  # ns


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """A client disconnected; its request needs no further answer."""

    request_id: int


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer has fired."""

    token: int


@dataclass(slots=True, frozen=True)
class HealthCheckEnded:
    """The end of a health check."""

    endpoint: EndpointId
    status: AttemptStatus
    latency: int  # ns
    load: tuple[float, ...] = ()


@dataclass(slots=True, frozen=True)
class ObjectPurged:
    """A purge of an object, or of all objects of a group."""

    object: int  # 0: the group
    group: int
    age: int  # ns since the purge


@dataclass(slots=True, frozen=True)
class GossipReceived:
    """A message from another gateway."""

    sender: int
    data: bytes


Event = (
    EndpointsChanged
    | SettingsChanged
    | Request
    | ServedLocally
    | AttemptEnded
    | StreamStarted
    | ClientDisconnected
    | TimerFired
    | HealthCheckEnded
    | ObjectPurged
    | GossipReceived
)


@dataclass(slots=True, frozen=True)
class StartAttempt:
    """Start an attempt. The attempts of a request are numbered from 0 in the order of their start."""

    request_id: int
    endpoint: EndpointId
    timeout: int  # ns
    source: EndpointId  # fills a miss; the endpoint itself: a miss is not filled
    cache_rank: int = 0  # 0: the copy is not admitted; 1 to 3: the rank it gets in the cache
    max_age: int = 0  # ns; maximum age of a usable copy; 0: the class's ``fresh_for`` applies
    flags: int = FetchFlags.NONE


@dataclass(slots=True, frozen=True)
class Reject:
    """Final answer: rejected, and the client may safely repeat the request."""

    request_id: int
    retry_after: int = 0  # ns


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: failed, and the request may have been executed."""

    request_id: int


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Cancel an attempt in flight; its end is still reported."""

    request_id: int
    attempt: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Call ``handle`` at the given time, with ``TimerFired`` and this token."""

    at: int  # ns
    token: int


@dataclass(slots=True, frozen=True)
class CheckHealth:
    """Start a health check."""

    endpoint: EndpointId


@dataclass(slots=True, frozen=True)
class PollEndpointList:
    """Poll the endpoint list for changes from now on."""


@dataclass(slots=True, frozen=True)
class Log:
    """Write a line to the log."""

    text: str


Action = StartAttempt | Reject | Fail | CancelAttempt | SetTimer | CheckHealth | PollEndpointList | Log


class SettingsError(ValueError):
    """A required setting is missing or out of range; the message names it."""
