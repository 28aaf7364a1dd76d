"""How much of everything may be held, as the configuration's limits allow."""

from __future__ import annotations

from dataclasses import dataclass

MB = 1024 * 1024


@dataclass(slots=True, frozen=True)
class Bounds:
    links: int = 400  # connections to stores
    callers: int = 250  # clients' connections
    calls: int = 1_000  # requests open at once
    bodies: int = 32 * MB  # bytes of bodies that are being read from stores
    small: int = 0  # bytes of a body that may also use the last quarter of them; 0: all alike
    unsent: int = 24 * MB  # bytes that all clients together leave unread
    idle: int = 10**10  # ns; how long an idle connection to a store is kept
    copies: int = 0  # bytes of own copies
    absent: int = 0  # ns for which an answer "not there" holds; 0: it never does
    flow: int = 0  # bytes a second of one transfer of an own copy; 0: not told
    uplink: int = 0  # bytes a second of all such transfers together
