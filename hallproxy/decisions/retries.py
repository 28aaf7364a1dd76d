"""The budget that bounds retries of all requests together, so that they never add to an overload."""

from __future__ import annotations

RETRY_SHARE = 0.25  # tokens earned by each request
RETRY_BURST = 20.0  # tokens; maximum of all gateways of a zone together
RETRY_BURST_MIN = 1.0  # tokens; one gateway's part of the burst is never less
ERRORS_MAX = 3  # errors of one request, from which the request itself is taken to be at fault


class RetryBudget:
    """Tokens for retries and hedges: each request earns a share of one, each further attempt spends one."""

    def __init__(self, zone_gateways: int) -> None:
        self.resize(zone_gateways)
        self.tokens = self.maximum

    def resize(self, zone_gateways: int) -> None:
        """Set the maximum to this gateway's part of the zone's burst."""
        self.maximum = max(RETRY_BURST_MIN, RETRY_BURST / zone_gateways)

    def earn(self) -> None:
        """Add the share of a token that a new request earns."""
        self.tokens = min(self.maximum, self.tokens + RETRY_SHARE)

    def has_token(self) -> bool:
        """Return whether one further attempt is allowed."""
        return self.tokens >= 1.0

    def spend(self) -> None:
        """Spend the token of a further attempt that was started."""
        self.tokens -= 1.0
