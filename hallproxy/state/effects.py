"""What the reducer asks to be done. It does none of it itself."""

from __future__ import annotations

from dataclasses import dataclass

from hallproxy.state.events import Answer, AttemptDue, CallDue, Due, LinkDue, TurnDue


@dataclass(slots=True, frozen=True)
class Reply:
    """Give the caller its one final answer."""

    caller: int
    answer: Answer


@dataclass(slots=True, frozen=True)
class Open:
    """Open a connection to the address."""

    link: int
    address: str


@dataclass(slots=True, frozen=True)
class Order:
    """One attempt as the store is to read it."""

    label: str
    cls: int
    name: str
    part: int
    budget: int
    key: str = ""
    held: str = ""
    body: bytes = b""
    write: bool = False
    source: str = ""  # the id of the store that fills a miss; empty: no fill
    keep: int = 0
    max_age: int = 0
    join: bool = False
    held_only: bool = False
    no_parent_copy: bool = False
    renew: bool = False
    digest: str = ""
    validator: str = ""  # of the copy held here: bytes are wanted only if it is another by now
    object: int = 0
    range_from: int = 0  # the bytes ahead of this one are here already...
    if_range: str = ""  # ...and belong to what the source calls so


@dataclass(slots=True, frozen=True)
class Send:
    link: int
    order: Order


@dataclass(slots=True, frozen=True)
class Close:
    link: int


@dataclass(slots=True, frozen=True)
class Wake:
    """Bring this event when its time has come."""

    event: Due | AttemptDue | LinkDue | CallDue | TurnDue


@dataclass(slots=True, frozen=True)
class Say:
    """A line for the log."""

    text: str


class OtherEffect:
    """Of a part that a gateway may be without; the loop hands it to that part."""

    __slots__ = ()


Effect = Reply | Open | Send | Close | Wake | Say | OtherEffect
