"""What one gateway has observed of one endpoint."""

from __future__ import annotations

from dataclasses import dataclass

from hallproxy.interface import Endpoint


@dataclass(slots=True, eq=False)
class EndpointStatistics:
    """Observations of one cache, parent or origin; replaced when its process restarts."""

    endpoint: Endpoint
    hash_seed: int
    first_byte_time: float = 0.0  # ns, smoothed; 0 until observed
    failure_share: float = 0.0  # smoothed share of failed attempts
    last_responded_at: int = 0  # ns
    ejected: bool = False
    next_health_check_at: int = 0  # ns; meaningful while ejected
    in_flight: int = 0  # attempts in flight that use it as cache or source
    overdue: int = 0  # attempts in flight at it that are overdue
    slow_start_budget: float = 0.0  # requests of the largest class that it may get while warming up
    budget_updated_at: int = 0  # ns
    fill_share: float = 0.0  # a parent's share of this zone's fills, in gateways' worth of traffic
    slowness: float = 0.0  # smoothed answer time over expected time; 0 until observed
    sending_time_served: float = 0.0  # s of sending time served since the last status line
