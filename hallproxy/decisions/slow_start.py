"""Limits the load of an endpoint while it warms up after a start."""

from __future__ import annotations

from collections.abc import Sequence

from hallproxy.decisions.context import DecisionContext
from hallproxy.decisions.endpoint_statistics import EndpointStatistics
from hallproxy.decisions.latency import LatencyStatistics
from hallproxy.decisions.units import SECOND
from hallproxy.interface import Endpoint

BUDGET_SHARE = 0.5  # share of a warming-up endpoint's overload budget that all gateways together may use
OWN_HUB_SHARE = 0.75  # share of a parent's budget for the gateways of its own hub
CARRIED_LOAD_MIN = 2.0  # transfers of all gateways; assumed load of a link until warm ones show more
CARRIED_LOAD_DECAY = 0.9  # lowest factor by which the carried load falls from one interval to the next
CACHE, PARENT = 0, 1  # indices into ``SlowStart.carried_load``


class SlowStart:
    """The capacity of endpoints that warm up, and this gateway's part of the load that they may get."""

    def __init__(self, context: DecisionContext, latency: LatencyStatistics) -> None:
        self._context = context
        self._sending_times = latency.class_sending_times
        self._gateways_by_hub: dict[int, int] = {}
        initial = CARRIED_LOAD_MIN / context.zone_gateways
        self.carried_load = [initial, initial]  # transfers of a warm cache, of a warm parent
        self.apply_settings()

    def apply_settings(self) -> None:
        """Count the gateways of each hub's zones, as listed in the settings."""
        settings = self._context.settings
        self._gateways_by_hub = dict.fromkeys(settings.zone_hub, 0)
        for gateways, hub in zip(settings.gateways_by_zone, settings.zone_hub, strict=False):
            self._gateways_by_hub[hub] += gateways

    def capacity_share(self, peer: EndpointStatistics) -> float:
        """Return the share of its capacity that an endpoint has at least by now; it rises linearly to 1."""
        endpoint = peer.endpoint
        if not endpoint.started_at:
            return 1.0
        settings = self._context.settings
        if endpoint.kind == settings.parent_kind:
            initial, duration = settings.parent_slow_start_share, settings.parent_slow_start_duration
        else:
            initial, duration = settings.slow_start_share, settings.slow_start_duration
        age = max(0, self._context.now - endpoint.started_at)
        return 1.0 if age >= duration else initial + (1.0 - initial) * age / duration

    def may_attempt(self, peer: EndpointStatistics, sending_time: float) -> bool:
        """Return whether an endpoint may get one more attempt; always True once it is warm.

        The budget is this gateway's part of the overload budget, as a rate. It accumulates until it covers a
        request. The gateways start at evenly spaced phases, so that their sum stays within the overload
        budget even far below one request per window. Budget older than a window is dropped; else all gateways
        would have a request saved after an idle period. ``sending_time`` (s) is used until a class's mean is
        known.
        """
        if not peer.endpoint.started_at:
            return True
        share = self.capacity_share(peer)
        if share >= 1.0:
            return True
        context = self._context
        rate = self._budget_rate(peer.endpoint, share)
        rate /= (max(self._sending_times) or sending_time) * SECOND  # requests of the largest class per ns
        peer.slow_start_budget += rate * (context.now - peer.budget_updated_at)
        peer.budget_updated_at = context.now
        saved = rate * context.settings.overload_window
        if peer.slow_start_budget >= 1.0 + saved:
            peer.slow_start_budget = saved + (peer.slow_start_budget - saved) % 1.0
        return peer.slow_start_budget >= 1.0

    def spend(self, peers: Sequence[EndpointStatistics], class_index: int) -> None:
        """Subtract one request of a class from the endpoints' budgets."""
        for peer in peers:
            peer.slow_start_budget -= self._sending_times[class_index] / max(self._sending_times)

    def observe_carried_load(
        self, role: int, peers: Sequence[EndpointStatistics], interval: int, learn: bool
    ) -> None:
        """Learn the load that links of warm endpoints carried in an interval (ns), and start the next one."""
        rates = sorted(
            p.sending_time_served * SECOND / interval for p in peers if self.capacity_share(p) >= 1.0
        )
        if rates and learn:
            lower_bound = max(
                CARRIED_LOAD_MIN / self._context.zone_gateways, CARRIED_LOAD_DECAY * self.carried_load[role]
            )
            self.carried_load[role] = max(lower_bound, rates[len(rates) // 2])
        for peer in peers:
            peer.sending_time_served = 0.0

    def _budget_rate(self, endpoint: Endpoint, share: float) -> float:
        """Return this gateway's part of an endpoint's overload budget, in transfers."""
        settings = self._context.settings
        is_parent = endpoint.kind == settings.parent_kind
        if settings.weights_known:
            link = endpoint.weight / self._sharing_gateways(endpoint)
        else:
            link = self.carried_load[PARENT if is_parent else CACHE]
        multiple = settings.parent_overload_multiple if is_parent else settings.overload_multiple
        return BUDGET_SHARE * multiple * share * link

    def _sharing_gateways(self, endpoint: Endpoint) -> float:
        """Return how many gateways share an endpoint, by this gateway's part of it.

        A cache is shared by its zone's gateways, a parent by all; those of its own hub get more of it.
        """
        settings, hub = self._context.settings, endpoint.zone
        if endpoint.kind != settings.parent_kind:
            return self._context.zone_gateways
        hub_gateways = self._gateways_by_hub.get(hub, 0)
        if not 0 < hub_gateways < settings.gateway_count:
            return settings.gateway_count
        if settings.zone_hub[settings.zone] == hub:
            return hub_gateways / OWN_HUB_SHARE
        return (settings.gateway_count - hub_gateways) / (1 - OWN_HUB_SHARE)
