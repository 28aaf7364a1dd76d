"""The adaptive concurrency limit on attempts in flight at the zone's caches, and load shedding by value.

Late answers lower the limit; answers in time raise it while it is in use. Guards against overload: above some
number of transfers, each additional one makes all of them late. Costs throughput where answers are late for
a reason that fewer attempts do not remove; lookups of cached parts continue meanwhile.

The limit is this gateway's part of what all gateways of the zone may have in flight.
"""

from __future__ import annotations

from hallproxy.decisions.context import DecisionContext
from hallproxy.decisions.endpoints import EndpointTable
from hallproxy.decisions.recent_values import RecentValues
from hallproxy.decisions.requests import RoutedRequest
from hallproxy.interface import AttemptEnded, AttemptStatus

LIMIT_INITIAL = 16.0  # attempts per cache until an answer was observed
LIMIT_MAX = 40.0  # attempts per cache ...
LIMIT_LINK_MULTIPLE = 1.5  # ... or, if larger and weights are known, this multiple of what links carry
LIMIT_MIN = 1.0  # attempts; one gateway's limit is never less, so that the end of an overload is noticed
LATE_FACTOR = 0.99  # applied to the limit for each late answer
LOST_FACTOR = 0.96  # applied to the limit for each attempt that timed out or was rejected as full
LIMIT_STEP = 2.0  # attempts added over a limit's worth of answers in time
IN_USE_THRESHOLD = 0.7  # share of the limit in flight at which answers in time raise it
LOW_DENSITY_SHARE = 0.5  # multiple of the limit up to which the lowest value density is admitted ...
HIGH_DENSITY_SHARE = 1.5  # ... and the highest one
LOOKUP_LIMIT_MULTIPLE = 3.0  # multiple of the limit up to which lookups of cached parts are admitted
OVERDUE_SHARE = 0.25  # share of the limit up to which overdue attempts do not count against it


class ConcurrencyLimit:
    """How many attempts may be in flight at the zone's caches together."""

    def __init__(self, context: DecisionContext, endpoints: EndpointTable) -> None:
        self._context = context
        self._endpoints = endpoints
        self.limit = 0.0  # attempts; 0 until an answer was observed
        self.recent_densities = RecentValues()  # value densities of recent requests

    def is_at_limit(self, entry: RoutedRequest, multiple: float = 1.0) -> bool:
        """Return whether the limit, or a multiple of it, leaves no slot for a request.

        Departure, following revenue per byte: requests are admitted by value density. The cost falls on a
        class whose parts are all large; LOW_DENSITY_SHARE bounds it.
        """
        density_rank = self.recent_densities.rank_of(entry.value_density)
        multiple *= LOW_DENSITY_SHARE + (HIGH_DENSITY_SHARE - LOW_DENSITY_SHARE) * density_rank
        return self.in_flight() >= max(LIMIT_MIN, self._limit_or_initial()) * multiple

    def in_flight(self) -> float:
        """Return the number of attempts in flight that count against the limit.

        Those at ejected caches do not count. Overdue ones, whose answers may be lost, do not count up to a
        share of the limit; more of them mean an overload behind the caches.
        """
        in_flight = overdue = 0
        for cache in self._endpoints.caches:
            if not cache.ejected:
                in_flight += cache.in_flight
                overdue += cache.overdue
        return in_flight - min(self.overdue_allowance(), overdue)

    def overdue_allowance(self) -> float:
        """Return the number of overdue attempts up to which they are taken as lost, not as overload."""
        return max(LIMIT_MIN, OVERDUE_SHARE * self._limit_or_initial())

    def observe(self, entry: RoutedRequest, event: AttemptEnded) -> None:
        """Adapt the limit to the end of an attempt; one answer stands for one at each gateway of the zone."""
        gateways = self._context.zone_gateways
        caches = max(1, len(self._endpoints.caches)) / gateways
        self.limit = self.limit or LIMIT_INITIAL * caches
        if entry.timed_out_before_objective(event):
            return
        if event.status in (AttemptStatus.TIMEOUT, AttemptStatus.FULL):
            self.limit *= LOST_FACTOR**gateways
        elif event.status is AttemptStatus.OK:
            if event.latency > entry.objective_at - entry.arrived_at:
                self.limit *= LATE_FACTOR**gateways
            elif self.in_flight() >= self.limit * IN_USE_THRESHOLD:
                self.limit += LIMIT_STEP / self.limit / gateways
        self.limit = min(self._maximum(caches), max(LIMIT_MIN, self.limit))

    def _maximum(self, caches: float) -> float:
        """Return the limit's upper bound; ``caches`` is this gateway's part of the zone's caches."""
        if not self._context.settings.weights_known:
            return LIMIT_MAX * caches
        links = sum(p.endpoint.weight for p in self._endpoints.caches) / self._context.zone_gateways
        return max(LIMIT_MAX * caches, LIMIT_LINK_MULTIPLE * links)

    def _limit_or_initial(self) -> float:
        return self.limit or LIMIT_INITIAL * len(self._endpoints.caches) / self._context.zone_gateways
