"""The plan of a run, drawn from its seed: settings, disturbances, clients, signals. Times are in seconds."""

from __future__ import annotations

import random
import signal
from dataclasses import dataclass
from enum import Enum, auto
from typing import Any

from hallproxy.lab.capacity import fleet

SECOND = 1_000_000_000  # ns
MAX_COUNTED_DEADLINE = 3.0  # s; SIGKILL follows SIGTERM after the longest deadline, capped at this, ...
KILL_MARGIN = 0.7  # s; ... plus this margin
STORES = 4
CLASS_NAMES = ("segment", "small", "close", "once")
KEYED_CLASS, ONCE_CLASS = "close", "once"  # has an idempotency key; must not run more than once
SOCKET_LIMIT = 256

SIGNAL_SERIES: tuple[tuple[signal.Signals, ...], ...] = (
    (signal.SIGTERM,),
    (signal.SIGHUP, signal.SIGTERM),
    (signal.SIGHUP, signal.SIGHUP, signal.SIGTERM),
    (signal.SIGTERM, signal.SIGTERM),
    (signal.SIGTERM, signal.SIGHUP),
    (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM),
)


class StoreMode(Enum):
    """How a stand-in store handles requests."""

    NORMAL = auto()
    SLOW = auto()
    UNRESPONSIVE = auto()  # like a lost machine: connections stay open without a response
    FULL = auto()
    FAILING = auto()
    RESETTING = auto()  # resets the connection on each request
    TRUNCATED = auto()  # closes the connection partway through a response


class LogMode(Enum):
    """How the stand-in change log handles polls."""

    NORMAL = auto()
    UNRESPONSIVE = auto()
    DOWN = auto()  # open connections are reset, new ones refused


class DisturbanceKind(Enum):
    """Kinds of disturbance."""

    STORE_MODE = auto()
    STORE_DRAIN = auto()
    STORE_REMOVAL = auto()
    STORE_RESTART = auto()
    LOG_MODE = auto()
    PURGE = auto()
    RELOAD = auto()  # a new configuration and SIGHUP


@dataclass(frozen=True)
class Disturbance:
    """A disturbance that occurs ``at`` seconds after the gateway is ready."""

    at: float
    kind: DisturbanceKind
    store: int = 0
    store_mode: StoreMode = StoreMode.NORMAL
    log_mode: LogMode = LogMode.NORMAL
    object_id: int = 0  # to purge; 0: the whole group
    group: int = 0


@dataclass(frozen=True)
class Plan:
    """Everything that one run does.

    Attributes:
        settings: the gateway settings, in the form of its configuration file.
        signals: sent from ``stop_at`` on, ``signal_gap`` seconds apart.
        clients: connections that send requests until SIGKILL.
        request_rate: requests per second of each client.
        idle_connections: additional connections that stay idle.
    """

    seed: int
    settings: dict[str, Any]
    disturbances: tuple[Disturbance, ...]
    signals: tuple[signal.Signals, ...]
    signal_gap: float
    stop_at: float
    clients: int
    request_rate: float
    idle_connections: int

    @property
    def kill_delay(self) -> float:
        """Seconds from SIGTERM to SIGKILL: the shortest delay that the protocol allows."""
        longest = max(entry["deadline_ns"] for entry in self.settings["classes"]) / SECOND
        return min(MAX_COUNTED_DEADLINE, float(longest)) + KILL_MARGIN


def draw_plan(seed: int) -> Plan:
    """Draw the plan of a seed; the same seed always gives the same plan."""
    rng = random.Random(f"soak/{seed}")
    stop_at = rng.uniform(0.1, 4.0)
    return Plan(
        seed=seed,
        settings=_settings(rng),
        disturbances=tuple(sorted(_disturbances(rng, stop_at), key=lambda disturbance: disturbance.at)),
        signals=rng.choice(SIGNAL_SERIES),
        signal_gap=rng.choice((0.0, 0.001, 0.02, 0.2)),
        stop_at=stop_at,
        clients=rng.randrange(4, 13),
        request_rate=rng.choice((5.0, 15.0, 30.0)),
        idle_connections=SOCKET_LIMIT // 3 - 16 if rng.random() < 0.25 else 0,
    )


def _settings(rng: random.Random) -> dict[str, Any]:
    settings = fleet.settings_json(zones=1, gateways=1, aim_ms=300)
    base = settings["classes"][0]
    deadline = rng.choice((1, 2, 3, 6)) * SECOND
    window = rng.choice((SECOND // 2, 2 * SECOND))
    settings["classes"] = [
        base | {"name": "segment", "deadline_ns": deadline},
        base | {"name": "small", "deadline_ns": deadline},
        base | {"name": KEYED_CLASS, "deadline_ns": deadline, "effect": "token", "key_ttl_ns": window},
        base | {"name": ONCE_CLASS, "deadline_ns": deadline, "effect": "side_effect"},
    ]
    specifics = settings["specifics"]
    specifics |= {"class_write": [False, False, True, True], "multi_part": [True, False, False, False]}
    specifics |= {"fresh_for_ns": [0, 2 * SECOND, 0, 0], "usable_after_ns": [0] * 4}
    bounds = settings["bounds"]
    bounds |= {"second_copies": rng.random() < 0.5, "idle_close_ns": 5 * SECOND}
    bounds |= {"dial_timeout_ns": SECOND // 2, "max_attempts": rng.choice((2, 4, 6))}
    settings["rules"]["drain_grace_ns"] = SECOND // 4
    return settings


def _disturbances(rng: random.Random, stop_at: float) -> list[Disturbance]:
    end = stop_at + 3.0
    kind = DisturbanceKind
    disturbances = []
    for _ in range(rng.randrange(2, 9)):
        mode = rng.choice(list(StoreMode))
        at, store = rng.uniform(0.0, end), rng.randrange(STORES)
        disturbances.append(Disturbance(at, kind.STORE_MODE, store, mode))
        disturbances.append(Disturbance(at + rng.uniform(0.2, 3.0), kind.STORE_MODE, store, StoreMode.NORMAL))
    for _ in range(rng.randrange(0, 3)):
        at, store = rng.uniform(0.0, end), rng.randrange(STORES - 1)  # one store is never removed
        disturbances.append(Disturbance(at, kind.STORE_DRAIN, store))
        final_kind = rng.choice((kind.STORE_REMOVAL, kind.STORE_RESTART))
        disturbances.append(Disturbance(at + rng.uniform(0.05, 1.5), final_kind, store))
    for _ in range(rng.randrange(0, 3)):
        log_mode = rng.choice((LogMode.UNRESPONSIVE, LogMode.DOWN))
        at = rng.uniform(0.0, end)
        disturbances.append(Disturbance(at, kind.LOG_MODE, log_mode=log_mode))
        disturbances.append(Disturbance(at + rng.uniform(0.2, 4.0), kind.LOG_MODE))
    for _ in range(rng.choice((0, 10, 60))):
        group = rng.randrange(3)
        object_id = 0 if rng.random() < 0.1 else rng.randrange(1, 12)
        disturbances.append(Disturbance(rng.uniform(0.0, end), kind.PURGE, object_id=object_id, group=group))
    for _ in range(rng.choice((0, 0, 1, 3))):
        disturbances.append(Disturbance(rng.uniform(0.0, stop_at), kind.RELOAD))
    return disturbances
