"""The value of a cached copy: decaying request counts, the cache gain, and the cache rank from it."""

from __future__ import annotations

from collections.abc import Mapping

from hallproxy.decisions.context import DecisionContext
from hallproxy.decisions.endpoints import EndpointTable
from hallproxy.decisions.latency import FILLED, LatencyStatistics
from hallproxy.decisions.recent_values import RecentValues
from hallproxy.decisions.requests import RoutedRequest
from hallproxy.decisions.units import SECOND
from hallproxy.interface import AttemptEnded, AttemptStatus, EndpointId, FillDetail, Request, RequestClass

COUNT_HALVING_INTERVAL = 10 * SECOND  # ns
COUNTS_MAX = 30_000  # objects counted; above it all counts are halved at once
COUNT_MIN = 0.2  # requests; smaller counts are dropped when counts are halved
TERM_PRICES = (1.0, 1.0, 1.0)  # unit prices of priority, network saving and startup (the paper's eq. 11)
TERM_FLOOR = 1e-12  # initial value of the largest terms, so that no division is by zero
PASS_THROUGH_BELOW = 0.10  # rank among recent gains below which a copy is not admitted ...
ADMIT_FROM_COUNT = 2.5  # ... unless the zone's decayed request count reaches this: refetching costs more
RANK_THRESHOLDS = (0.60, 0.90)  # ranks among recent gains at which the cache ranks 2 and 3 begin
LINK_USE_INITIAL = 0.5  # used share of the link (the paper's mu) until a load report was received
LINK_USE_SMOOTHING = 0.3  # weight of one load report
LINK_USE_FIELD = "x1"  # the load report field that holds it
SENDING_TIME_MIN = 1e-3  # s; bounds the value density of the smallest objects


def value_density(request_class: RequestClass, sending_time: float) -> float:
    """Return the priority weight for each second of sending."""
    return request_class.priority_weight / max(SENDING_TIME_MIN, sending_time)


class Valuation:
    """Request counts by object, and the revenue per byte of a cached part (the paper's eq. 11 and 13)."""

    def __init__(
        self,
        context: DecisionContext,
        endpoints: EndpointTable,
        latency: LatencyStatistics,
        requests: Mapping[int, RoutedRequest],
    ) -> None:
        self._context = context
        self._endpoints = endpoints
        self._latency = latency
        self._requests = requests
        self.counts: dict[int, float] = {}  # object -> requests, halved at each interval
        self.largest_terms = [TERM_FLOOR] * len(TERM_PRICES)  # recently, halved at each interval
        self.recent_gains = RecentValues()  # of recent fills
        self.link_use = LINK_USE_INITIAL
        self._aged_at = -1  # ns; -1 until the first call

    def age(self) -> None:
        """Halve counts and largest terms when the interval has passed or the table is full.

        Counts of objects with open requests are kept, however small: a further attempt is ranked by them.
        """
        now = self._context.now
        if self._aged_at < 0:
            self._aged_at = now
        if now - self._aged_at >= COUNT_HALVING_INTERVAL or len(self.counts) > COUNTS_MAX:
            self._aged_at = now
            in_use = {entry.request.object for entry in self._requests.values()}
            self.counts = {
                key: n / 2 for key, n in self.counts.items() if n / 2 >= COUNT_MIN or key in in_use
            }
            self.largest_terms = [term / 2 for term in self.largest_terms]

    def count(self, object_id: int) -> None:
        """Count one request for an object."""
        self.counts[object_id] = self.counts.get(object_id, 0.0) + 1.0

    def cache_gain(self, request: Request) -> float:
        """Return the revenue per byte of caching the requested part: normalised terms over its size."""
        request_class = self._context.settings.classes[request.class_index]
        requests = self.counts[request.object]
        size_kb = request.size_kb or 1.0
        delay = self._latency.first_byte_time()
        starts_playback = request_class.multipart and request.part == 0
        terms = (
            request_class.priority_weight * requests,
            size_kb * requests * (delay + self.link_use),
            delay * requests if starts_playback else 0.0,
        )
        largest = [max(previous, term) for previous, term in zip(self.largest_terms, terms, strict=True)]
        self.largest_terms = largest
        normalised = [
            price * term / maximum for price, term, maximum in zip(TERM_PRICES, terms, largest, strict=True)
        ]
        return sum(normalised) / size_kb

    def cache_rank(self, request: Request, gain: float) -> int:
        """Return the copy's rank by the rank of its gain among recent fills': 0 (not admitted) to 3."""
        requests = self.counts[request.object]
        zone_requests = requests * self._context.zone_gateways
        if zone_requests <= 1.0:
            return 0
        gain_rank = self.recent_gains.rank_of(gain)
        if gain_rank < PASS_THROUGH_BELOW and zone_requests < ADMIT_FROM_COUNT:
            return 0  # departure: what the zone requests repeatedly is admitted, however large
        if requests <= 1.0:
            return 1  # departure: it stands for many in the zone, but evicts no copy known to be in demand
        return 1 + (gain_rank >= RANK_THRESHOLDS[0]) + (gain_rank >= RANK_THRESHOLDS[1])

    def observe_request(self, entry: RoutedRequest) -> None:
        """Learn a gain at the request, where answers never say which of them were fills."""
        if self._context.settings.fill_detail is not FillDetail.NONE:
            return
        if self.counts[entry.request.object] * self._context.zone_gateways > 1.0:
            self.recent_gains.add(entry.cache_gain)

    def observe_response(self, entry: RoutedRequest, event: AttemptEnded) -> None:
        """Learn the gain of a fill."""
        if event.status is not AttemptStatus.OK or event.cache_status not in FILLED:
            return
        if self._context.settings.fill_detail is not FillDetail.NONE:
            self.recent_gains.add(entry.cache_gain)

    def observe_load_report(self, endpoint_id: EndpointId, load: tuple[float, ...]) -> None:
        """Learn the link's use from a cache's load report; NaN values are ignored."""
        for name, value in zip(self._context.settings.report_fields, load, strict=False):
            is_number = value == value
            if name == LINK_USE_FIELD and is_number and self._is_cache(endpoint_id):
                self.link_use += LINK_USE_SMOOTHING * (min(1.0, max(0.0, value)) - self.link_use)

    def _is_cache(self, endpoint_id: EndpointId) -> bool:
        return self._endpoints.by_id.get(endpoint_id) in self._endpoints.caches
