"""The interface of the decision module: settings, events in, actions out.

Embed it like this: make one ``Router(settings, seed)`` for each router process, hand it what happened with
``handle(now, events)`` and carry out the actions it returns, in order, at that same time. Times are integer
nanoseconds on one clock that never goes backwards. Nothing here decides anything.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum, IntFlag

ServerId = bytes
"""An opaque name of a cache, parent or origin, such as ``b"10.0.0.7:8080"``; unique and never reused."""


class Effect(Enum):
    """What a repeat of a request does."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Scope(Enum):
    """The caches that drop repeats of a keyed request, or that may be a source for each other."""

    NONE = "none"
    CELL = "cell"
    ZONE = "zone"
    ALL = "all"


class Tells(Enum):
    """What answers tell of how they came about."""

    NONE = "none"
    HIT = "hit"
    ALL = "all"


class Reports(Enum):
    """How load reports arrive."""

    NONE = "none"
    PROBE = "probe"
    ANSWERS = "answers"


class State(IntEnum):
    """A member's state on the list."""

    GONE = 0
    DRAINING = 1
    READY = 2


class ListKind(IntEnum):
    """DELTA: changed entries only. FULL: everything. CACHED: everything, as last held. FAILED: nothing."""

    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class Status(Enum):
    """How an attempt ended. FULL, CONNECT_FAILED, MOOT and MISS prove that it never ran."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"
    MISS = "miss"


class Note(IntEnum):
    """How an answer came about, where answers tell."""

    NONE = 0
    HIT = 1
    FILLED = 2
    FILLED_BY_ORIGIN = 3
    JOINED = 4
    STALE = 5
    SOURCE_REFUSED = 6
    SOURCE_UNREACHED = 7
    SOURCE_LACKS = 8
    NO_FILL_PLACE = 9
    ORIGIN_FAILED = 10


class How(IntFlag):
    """Ways to carry out a Get."""

    PLAIN = 0
    JOIN = 1
    HELD_ONLY = 2
    NO_PARENT_COPY = 4
    RENEW = 8


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One class of requests; ``aim`` grows by ``aim_stretch`` times the request's own sending time."""

    aim: int
    deadline: int
    worth: float = 1.0
    late_worth: float = 0.0
    aim_stretch: float = 0.0
    effect: Effect = Effect.SAFE
    group: Scope = Scope.ALL
    window: int = 0
    stream: bool = False
    fresh: int = 0
    grace: int = 0
    parts: bool = False
    write: bool = False
    name: str = ""


@dataclass(slots=True, frozen=True)
class Settings:
    """What a router is told at its start. Zero, false or empty stands for what the site lacks.

    ``zone_hub`` and ``zone_routers`` run over the zones by their number; ``zone_link_kb_s`` is 0 where it is
    not told. ``parent_kind`` is -1 where there are no parents. ``ask`` says that the list must be asked for.
    """

    classes: tuple[RequestClass, ...]
    zone: int
    zone_hub: tuple[int, ...]
    parent_kind: int
    origin_kind: int
    cold_share: float
    cold_time: int
    fall_multiple: float
    fall_time: int
    drain_grace: int
    answer_slack: int
    zone_routers: tuple[int, ...] = ()
    routers: int = 1
    me: int = 0
    tick: int = 0
    flow_kb_s: float = 0.0
    zone_link_kb_s: tuple[float, ...] = ()
    parent_cold_share: float = 0.0
    parent_cold_time: int = 0
    parent_fall_multiple: float = 0.0
    origin_fall_multiple: float = 0.0
    purge_grace: int = 0
    purge_done: int = 0
    weights_told: bool = False
    tells: Tells = Tells.NONE
    siblings: Scope = Scope.NONE
    joins: bool = False
    direct: bool = False
    probes: bool = False
    cancel: bool = False
    second_copies: bool = False
    max_attempts: int = 1
    max_retry_after: int = 0
    connect_timeout: int = 0
    reports: Reports = Reports.NONE
    report_fields: tuple[str, ...] = ()
    ask: bool = False
    ask_within: int = 0
    idle_close: int = 0
    zone_names: tuple[str, ...] = ()
    kind_names: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class Member:
    """One line of the list. ``started`` is 0 when that was long ago; ``weight`` compares with others'."""

    server: ServerId
    state: State
    kind: int = 0
    zone: int = 0
    cell: int = 0
    weight: float = 1.0
    started: int = 0


@dataclass(slots=True, frozen=True)
class MembersChanged:
    kind: ListKind
    members: tuple[Member, ...] = ()
    version: int = 0


@dataclass(slots=True, frozen=True)
class Request:
    """A client's request for one part of an object; it must get one final answer within ``left``."""

    id: int
    cls: int
    left: int
    object: int = 0
    part: int = 0
    group: int = 0
    size_kb: float = 0.0
    tenant: int = 0
    repeat: bool = False
    write: bool = False
    among: frozenset[ServerId] = frozenset()  # the stores that may answer it; empty: any


@dataclass(slots=True, frozen=True)
class SettingsChanged:
    """Other figures from now on; the classes and the zone are the same ones."""

    settings: Settings


@dataclass(slots=True, frozen=True)
class Seen:
    """A request answered from the router's own memory: nothing is owed, but it was asked for."""

    object: int


@dataclass(slots=True, frozen=True)
class Outcome:
    """How one attempt ended; ``closed`` when the client's request is over by it or was before."""

    request: int
    attempt: int
    server: ServerId
    status: Status
    latency: int
    closed: bool = False
    note: int = 0
    waited: int = 0
    load: tuple[float, ...] = ()


@dataclass(slots=True, frozen=True)
class StreamStarted:
    request: int
    attempt: int
    server: ServerId
    latency: int


@dataclass(slots=True, frozen=True)
class ClientGone:
    request: int


@dataclass(slots=True, frozen=True)
class TimerFired:
    token: int


@dataclass(slots=True, frozen=True)
class Probed:
    server: ServerId
    status: Status
    latency: int
    load: tuple[float, ...] = ()


@dataclass(slots=True, frozen=True)
class Purge:
    """An object (or with ``object`` 0 a whole group) was purged ``age`` ago."""

    object: int
    group: int
    age: int


@dataclass(slots=True, frozen=True)
class PeerMessage:
    sender: int
    data: bytes


Event = (
    MembersChanged
    | SettingsChanged
    | Request
    | Seen
    | Outcome
    | StreamStarted
    | ClientGone
    | TimerFired
    | Probed
    | Purge
    | PeerMessage
)


@dataclass(slots=True, frozen=True)
class Get:
    """An attempt at ``server``. Attempts of a request are numbered from 0 in the order they are sent.

    ``source`` is where a miss is filled from (the server itself: nowhere); ``keep`` 0 passes the object
    through, 1 to 3 is the copy's rank; ``max_age`` 0 stands for the class's fresh time.
    """

    request: int
    server: ServerId
    timeout: int
    source: ServerId
    keep: int = 0
    max_age: int = 0
    how: int = How.PLAIN


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final: turned away, and trying again is harmless."""

    request: int
    retry_after: int = 0


@dataclass(slots=True, frozen=True)
class Fail:
    """Final: failed, and nothing is promised of what ran."""

    request: int


@dataclass(slots=True, frozen=True)
class Cancel:
    request: int
    attempt: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    at: int
    token: int


@dataclass(slots=True, frozen=True)
class Probe:
    server: ServerId


@dataclass(slots=True, frozen=True)
class Subscribe:
    """Ask the list service for its changes from now on."""


@dataclass(slots=True, frozen=True)
class Log:
    text: str


Action = Get | Refuse | Fail | Cancel | SetTimer | Probe | Subscribe | Log


@dataclass(slots=True)
class Batch:
    """Events of one instant, for callers that gather them before a ``handle``."""

    now: int
    events: list[Event] = field(default_factory=list)


class SettingsError(ValueError):
    """A required setting is missing or makes no sense; the text names it."""
