"""The choice of the cache and of the fill source, by weighted rendezvous hashing."""

from __future__ import annotations

from hallproxy.decisions.context import DecisionContext
from hallproxy.decisions.endpoint_statistics import EndpointStatistics
from hallproxy.decisions.endpoints import EndpointTable
from hallproxy.decisions.hashing import rendezvous_distance
from hallproxy.decisions.idempotency import IdempotencyRule
from hallproxy.decisions.latency import LatencyStatistics
from hallproxy.decisions.outliers import OutlierDetector
from hallproxy.decisions.requests import RoutedRequest
from hallproxy.decisions.slow_start import SlowStart
from hallproxy.interface import EndpointId

BOUNDED_LOAD_MULTIPLE = 1.5  # multiple of the zone's mean of attempts in flight that a cache may have ...
BOUNDED_LOAD_SLACK = 3.0  # ... plus this many attempts, so that at low load the hash alone decides
FIRST_BYTE_MULTIPLE_MAX = 2.0  # multiple of a tier's lowest first-byte time up to which a source gets fills
WEIGHT_MIN = 1e-6  # of a cache, as the rendezvous distance divides by it

Candidate = tuple[int, float, EndpointId, EndpointStatistics]  # sort key: rank, distance, id; the endpoint


class Placement:
    """Chooses endpoints for attempts among those that are usable and may take one more."""

    def __init__(
        self,
        context: DecisionContext,
        endpoints: EndpointTable,
        latency: LatencyStatistics,
        slow_start: SlowStart,
        outliers: OutlierDetector,
    ) -> None:
        self._endpoints = endpoints
        self._latency = latency
        self._slow_start = slow_start
        self._outliers = outliers
        self._idempotency = IdempotencyRule(context)

    def choose_cache(self, entry: RoutedRequest) -> EndpointStatistics | None:
        """Return the part's first usable cache in hash order, else one at its bound or ejected, else None.

        Departure from the design: a cache at its load bound is skipped for the next one in the order. Guards
        against a hot spot, as when all clients request one part at once; costs a second fill of that part.
        """
        candidates = self._ranked_caches(entry)
        bound = self._load_bound()
        sending_time = self._latency.class_sending_times[entry.request.class_index]
        fallback = None
        for *_, cache in candidates:
            if not self._idempotency.may_run_at(entry, cache):
                continue
            if not self._slow_start.may_attempt(cache, sending_time):
                continue
            if cache.in_flight < bound and self._outliers.try_use(cache):
                return cache
            fallback = fallback or cache
        return fallback

    def choose_source(self, entry: RoutedRequest) -> EndpointStatistics | None:
        """Return a fill source: a parent by hash and fill share, else the origin, else None.

        Sources that the request has not tried are preferred.
        """
        candidates = self._ranked_sources(entry)
        for *_, source in candidates:
            if source not in entry.tried_sources and self._outliers.try_use(source):
                return source
        return candidates[0][-1] if candidates else None

    def _ranked_caches(self, entry: RoutedRequest) -> list[Candidate]:
        """Sort the allowed caches: untried ones first, then by the part's hash and their weight."""
        capacity_share = self._slow_start.capacity_share
        weight_factor = self._latency.weight_factor
        allowed, key = entry.request.allowed_endpoints, entry.placement_hash
        candidates: list[Candidate] = []
        for cache in self._endpoints.caches:
            endpoint = cache.endpoint
            if allowed and endpoint.id not in allowed:
                continue
            share = capacity_share(cache)
            weight = endpoint.weight * (share if share < 1.0 else weight_factor(cache))
            distance = rendezvous_distance(cache.hash_seed, key, max(weight, WEIGHT_MIN))
            candidates.append((cache in entry.tried_caches, distance, endpoint.id, cache))
        candidates.sort()
        return candidates

    def _ranked_sources(self, entry: RoutedRequest) -> list[Candidate]:
        """Sort the sources: those with a fill share first, then tier by tier, each by hash."""
        may_attempt = self._slow_start.may_attempt
        sending_time = self._latency.class_sending_times[entry.request.class_index]
        candidates: list[Candidate] = []
        for tier_number, tier in enumerate(self._endpoints.source_tiers, 1):
            usable = [source for source in tier if may_attempt(source, sending_time)]
            observed = [source.first_byte_time for source in usable if source.first_byte_time]
            first_byte_limit = FIRST_BYTE_MULTIPLE_MAX * min(observed, default=0.0)
            for source in usable:
                if source.first_byte_time <= first_byte_limit:
                    share = source.fill_share
                    distance = rendezvous_distance(source.hash_seed, entry.placement_hash, share or 1.0)
                    candidates.append((0 if share else tier_number, distance, source.endpoint.id, source))
        candidates.sort()
        return candidates

    def _load_bound(self) -> float:
        """Return the number of attempts in flight at which a cache is at its load bound."""
        caches = self._endpoints.caches
        in_flight = sum([cache.in_flight for cache in caches])
        return BOUNDED_LOAD_MULTIPLE * in_flight / max(1, len(caches)) + BOUNDED_LOAD_SLACK
