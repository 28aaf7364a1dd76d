"""The requests that the broker decides on and what it answers."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class RejectionReason(Enum):
    """Why a request is not admitted. The values are the labels of the usage report."""

    NO_CONTRACT = "no contract"
    FORBIDDEN_NETWORK = "network"
    OVER_BUDGET = "over budget"
    TOO_MANY_IN_FLIGHT = "too many open"
    RETRY_BUDGET = "retry budget"
    FOREIGN_KEY = "another's key"
    EXPIRED_KEY = "key too late"
    OVERLOADED = "crowded"


@dataclass(slots=True, frozen=True)
class Rejection:
    """A request that is not admitted.

    Attributes:
        retry_after: ns; 0: a retry would make no difference.
    """

    reason: RejectionReason
    retry_after: int = 0


@dataclass(slots=True, frozen=True)
class AdmissionRequest:
    """A request as the broker needs it. Times in ns.

    Attributes:
        class_index: index of the request class.
        client_address: empty: unknown.
    """

    team: str
    service: str
    class_name: str
    time_left: int
    latency_objective: int
    class_index: int = 0
    size_kb: float = 0.0
    is_retry: bool = False
    idempotency_key: str = ""
    client_address: str = ""


class SlotGrant(Enum):
    """Whether an admitted request has its slot."""

    GRANTED = "granted"
    QUEUED = "queued"


class RequestOutcome(Enum):
    """How a request ended."""

    SERVED = "served"
    REJECTED = "rejected"
    FAILED = "failed"
    DISCONNECTED = "disconnected"
