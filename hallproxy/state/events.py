"""What happened, in the core's own terms. Every event carries its time, so the reducer needs no clock."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from hallproxy import interface as i
from hallproxy.broker.contracts import Contracts
from hallproxy.state.bounds import Bounds


class Verdict(Enum):
    """The final answer's kind."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


class Reason(Enum):
    """Why an answer is no good one, for fronts that can say it."""

    NONE = ""
    NO_CONTRACT = "no contract"
    NETWORK = "network"
    BUDGET = "over budget"
    OPEN = "too many open"
    RETRIES = "retry budget"
    KEY = "key"
    CROWDED = "crowded"
    BUSY = "busy"
    TIMEOUT = "timeout"
    UNREACHED = "unreached"
    BROKEN = "broken"
    ERROR = "error"
    ABSENT = "absent"
    REPLACED = "replaced"


@dataclass(slots=True, frozen=True)
class Answer:
    verdict: Verdict
    body: bytes = b""
    unchanged: bool = False  # the copy that the client holds is the one
    retry_after: int = 0
    tag: str = ""
    born: int = 0  # ns; when the origin gave out what is served
    reason: Reason = Reason.NONE
    stale: bool = False  # past its fresh time: nothing younger was to be had
    spooled: str = ""  # the kept file that holds the bytes, in place of the body
    size: int = 0  # bytes of that file


@dataclass(slots=True, frozen=True)
class Asked:
    """A client's request. ``label``, ``name``, ``key`` and ``body`` are passed on unchanged."""

    label: str
    cls: int
    left: int
    object: int
    name: str
    part: int = 0
    group: int = 0
    size_kb: float = 0.0
    repeat: bool = False
    write: bool = False
    key: str = ""
    held: str = ""
    body: bytes = b""
    team: str = ""
    service: str = ""
    address: str = ""  # where it came from; empty: not told
    digest: str = ""  # what the bytes must hash to; empty: any will do
    among: frozenset[bytes] = frozenset()  # the stores that may answer it; empty: any


@dataclass(slots=True, frozen=True)
class Arrived:
    """A request was taken whole; ``caller`` is the front's handle for its one answer."""

    at: int
    caller: int
    asked: Asked


@dataclass(slots=True, frozen=True)
class CallerLeft:
    at: int
    caller: int


@dataclass(slots=True, frozen=True)
class LinkUp:
    """A connection asked for is open; nothing is sent on it yet."""

    at: int
    link: int


@dataclass(slots=True, frozen=True)
class LinkDown:
    """A connection never came up, broke or was closed; ``unused``: nothing went out on it.

    ``exhausted``: there was no descriptor for it here, which says nothing of the store.
    """

    at: int
    link: int
    unused: bool = False
    exhausted: bool = False


@dataclass(slots=True, frozen=True)
class Result:
    """What a store said, whole."""

    status: i.Status
    body: bytes = b""
    unchanged: bool = False
    tag: str = ""
    born: int = 0  # ns; 0 where it is not told
    load: tuple[float, ...] = ()
    reason: Reason = Reason.NONE
    validator: str = ""  # what the source calls this state of it, to ask by condition next time
    renewed: bool = False  # the copy held here is still the one; it came without bytes
    spooled: str = ""  # the kept file that holds the bytes, in place of the body
    size: int = 0  # bytes of that file


@dataclass(slots=True, frozen=True)
class Answered:
    at: int
    link: int
    result: Result
    reusable: bool


@dataclass(slots=True, frozen=True)
class MembersTold:
    """News of the list; ``addresses`` say where the members named are reached."""

    at: int
    change: i.MembersChanged
    addresses: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class NewsHeard:
    """All news there was at ``at`` has been brought."""

    at: int


@dataclass(slots=True, frozen=True)
class PurgeTold:
    """An object (0: the whole group) was purged at ``purged``.

    ``counted`` is when the ages of copies are counted from towards stores: never before ``purged``.
    """

    at: int
    object: int
    group: int
    purged: int
    counted: int = 0  # 0: from ``purged``


@dataclass(slots=True, frozen=True)
class Due:
    """A timer that the module set."""

    at: int
    token: int


@dataclass(slots=True, frozen=True)
class AttemptDue:
    """An attempt's time is over."""

    at: int
    attempt: int


@dataclass(slots=True, frozen=True)
class CallDue:
    """A request's time is over, whatever the module has made of it."""

    at: int
    call: int


@dataclass(slots=True, frozen=True)
class TurnDue:
    """A request has waited for its place for as long as it can."""

    at: int
    call: int


@dataclass(slots=True, frozen=True)
class LinkDue:
    """A connection has had its time to come up, or has idled for long enough."""

    at: int
    link: int


@dataclass(slots=True, frozen=True)
class Lagged:
    """The process was so late (ns) for timers of its own, lately and in the mean."""

    at: int
    lag: int


@dataclass(slots=True, frozen=True)
class ContractsTold:
    """From now on these contracts hold; None: none are kept here."""

    at: int
    contracts: Contracts | None


@dataclass(slots=True, frozen=True)
class Reconfigured:
    """The configuration was read anew. The classes are the same ones: what is open goes on."""

    at: int
    settings: i.Settings
    bounds: Bounds


@dataclass(slots=True, frozen=True)
class Stopping:
    """The process is to end: all must be answered by ``until``; ``refuses``: what comes now is refused."""

    at: int
    until: int
    refuses: bool = False


class OtherEvent:
    """Of a part that a gateway may be without; only that part knows what it means."""

    __slots__ = ()
    at: int


Event = (
    Arrived
    | CallerLeft
    | LinkUp
    | LinkDown
    | Answered
    | MembersTold
    | PurgeTold
    | NewsHeard
    | Due
    | AttemptDue
    | LinkDue
    | CallDue
    | TurnDue
    | ContractsTold
    | Lagged
    | Reconfigured
    | Stopping
    | OtherEvent
)
