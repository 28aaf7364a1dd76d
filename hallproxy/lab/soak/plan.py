"""What one run does, drawn from its seed: settings, disturbances, clients and signals. Times are s."""

from __future__ import annotations

import random
import signal
from dataclasses import dataclass
from enum import Enum, auto
from typing import Any

from hallproxy.lab.capacity import fleet

SECOND = 1_000_000_000  # ns
MAX_COUNTED_DEADLINE = 3.0  # s; the kill comes no sooner than the longest deadline, or this, ...
KILL_MARGIN = 0.7  # s; ...and this after SIGTERM
STORES = 4
CLASS_NAMES = ("segment", "small", "close", "once")
KEYED, ONCE = "close", "once"  # the class with an idempotency key, and the one that may run only once
SOCKETS = 256

SIGNAL_SERIES: tuple[tuple[signal.Signals, ...], ...] = (
    (signal.SIGTERM,),
    (signal.SIGHUP, signal.SIGTERM),
    (signal.SIGHUP, signal.SIGHUP, signal.SIGTERM),
    (signal.SIGTERM, signal.SIGTERM),
    (signal.SIGTERM, signal.SIGHUP),
    (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM),
)


class StoreMode(Enum):
    """How a stand-in store treats requests."""

    GOOD = auto()
    SLOW = auto()
    SILENT = auto()  # as a machine that vanished: connections stay open
    FULL = auto()
    FAILING = auto()
    BREAKING = auto()  # resets the connection under the request
    HALF = auto()  # closes amid an answer


class LogMode(Enum):
    """How the stand-in change log treats polls."""

    GOOD = auto()
    SILENT = auto()
    DOWN = auto()  # connections are reset, connects refused


class DisturbanceKind(Enum):
    """What is done to the stand-ins."""

    STORE_MODE = auto()
    STORE_DRAIN = auto()
    STORE_GONE = auto()
    STORE_RESTART = auto()
    LOG_MODE = auto()
    PURGE = auto()
    RELOAD = auto()  # a new configuration and SIGHUP


@dataclass(frozen=True)
class Disturbance:
    """One of them, ``at`` s after the gateway was ready."""

    at: float
    kind: DisturbanceKind
    store: int = 0
    store_mode: StoreMode = StoreMode.GOOD
    log_mode: LogMode = LogMode.GOOD
    object_id: int = 0  # of a purge; 0: the whole group
    group: int = 0


@dataclass(frozen=True)
class Plan:
    """All of one run.

    Attributes:
        settings: as the configuration words them.
        signals: sent from ``stop_at`` on, each ``signal_gap`` s after the one before.
        clients: connections that request until the kill.
        request_rate: requests a second of each client.
        crowd: further connections that stay idle.
    """

    seed: int
    settings: dict[str, Any]
    disturbances: tuple[Disturbance, ...]
    signals: tuple[signal.Signals, ...]
    signal_gap: float
    stop_at: float
    clients: int
    request_rate: float
    crowd: int

    @property
    def kill_delay(self) -> float:
        """s from SIGTERM to SIGKILL: the earliest that the protocol allows."""
        longest = max(entry["deadline_ns"] for entry in self.settings["classes"]) / SECOND
        return min(MAX_COUNTED_DEADLINE, float(longest)) + KILL_MARGIN


def draw_plan(seed: int) -> Plan:
    """The run of a seed: the same one each time."""
    drawn = random.Random(f"soak/{seed}")
    stop_at = drawn.uniform(0.1, 4.0)
    return Plan(
        seed=seed,
        settings=_settings(drawn),
        disturbances=tuple(sorted(_disturbances(drawn, stop_at), key=lambda one: one.at)),
        signals=drawn.choice(SIGNAL_SERIES),
        signal_gap=drawn.choice((0.0, 0.001, 0.02, 0.2)),
        stop_at=stop_at,
        clients=drawn.randrange(4, 13),
        request_rate=drawn.choice((5.0, 15.0, 30.0)),
        crowd=SOCKETS // 3 - 16 if drawn.random() < 0.25 else 0,
    )


def _settings(drawn: random.Random) -> dict[str, Any]:
    settings = fleet.settings_json(zones=1, gateways=1, aim_ms=300)
    base = settings["classes"][0]
    deadline = drawn.choice((1, 2, 3, 6)) * SECOND
    window = drawn.choice((SECOND // 2, 2 * SECOND))
    settings["classes"] = [
        base | {"name": "segment", "deadline_ns": deadline},
        base | {"name": "small", "deadline_ns": deadline},
        base | {"name": KEYED, "deadline_ns": deadline, "effect": "token", "key_ttl_ns": window},
        base | {"name": ONCE, "deadline_ns": deadline, "effect": "side_effect"},
    ]
    specifics = settings["specifics"]
    specifics |= {"class_write": [False, False, True, True], "multi_part": [True, False, False, False]}
    specifics |= {"fresh_for_ns": [0, 2 * SECOND, 0, 0], "usable_after_ns": [0] * 4}
    bounds = settings["bounds"]
    bounds |= {"second_copies": drawn.random() < 0.5, "idle_close_ns": 5 * SECOND}
    bounds |= {"dial_timeout_ns": SECOND // 2, "max_attempts": drawn.choice((2, 4, 6))}
    settings["rules"]["drain_grace_ns"] = SECOND // 4
    return settings


def _disturbances(drawn: random.Random, stop_at: float) -> list[Disturbance]:
    end = stop_at + 3.0
    kind = DisturbanceKind
    made = []
    for _ in range(drawn.randrange(2, 9)):
        mode = drawn.choice(list(StoreMode))
        at, store = drawn.uniform(0.0, end), drawn.randrange(STORES)
        made.append(Disturbance(at, kind.STORE_MODE, store, mode))
        made.append(Disturbance(at + drawn.uniform(0.2, 3.0), kind.STORE_MODE, store, StoreMode.GOOD))
    for _ in range(drawn.randrange(0, 3)):
        at, store = drawn.uniform(0.0, end), drawn.randrange(STORES - 1)  # one always stays
        made.append(Disturbance(at, kind.STORE_DRAIN, store))
        last = drawn.choice((kind.STORE_GONE, kind.STORE_RESTART))
        made.append(Disturbance(at + drawn.uniform(0.05, 1.5), last, store))
    for _ in range(drawn.randrange(0, 3)):
        mode_of_log = drawn.choice((LogMode.SILENT, LogMode.DOWN))
        at = drawn.uniform(0.0, end)
        made.append(Disturbance(at, kind.LOG_MODE, log_mode=mode_of_log))
        made.append(Disturbance(at + drawn.uniform(0.2, 4.0), kind.LOG_MODE))
    for _ in range(drawn.choice((0, 10, 60))):
        group = drawn.randrange(3)
        object_id = 0 if drawn.random() < 0.1 else drawn.randrange(1, 12)
        made.append(Disturbance(drawn.uniform(0.0, end), kind.PURGE, object_id=object_id, group=group))
    for _ in range(drawn.choice((0, 0, 1, 3))):
        made.append(Disturbance(drawn.uniform(0.0, stop_at), kind.RELOAD))
    return made
