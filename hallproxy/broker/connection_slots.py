"""The process's own resources, divided among client networks before any client is authenticated.

Two resources can run short in the process itself: connections and the event loop's time. Both are divided by
max-min fairness among the networks in use. Connections are counted; time is expressed as a rate of requests
(``request_rate``). A network above its share is rejected with a prepared response, which costs a small
fraction of serving a request.

The division follows core-stateless fair queueing: each network passes a fraction of its requests, its fair
rate over its arrival rate, without a queue. A credit per network spreads these requests evenly, so that no
random numbers are needed.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from dataclasses import dataclass

from hallproxy.broker.request_rate import RATE_SMOOTHING, SECOND, RequestRateLimit

RESERVED_DIVISOR = 8  # one connection in so many is reserved for networks below their share
ACTIVE_DURATION = 10 * SECOND  # ns since its last connection or request for which a network counts
MAX_NETWORKS = 4_096  # further networks count as one
OTHER_NETWORKS = "others"
BUSY_RATE = 0.5  # requests a second from which a network counts in the division
REPORTED_NETWORKS = 10  # those with the highest request rates


@dataclass(slots=True, eq=False)
class _Network:
    connections: int = 0
    last_seen_at: int = 0  # ns
    arrivals: int = 0  # requests of the round
    arrival_rate: float = 0.0  # requests a second, smoothed
    pass_fraction: float = 1.0  # of its requests
    credit: float = 1.0  # requests


class ConnectionSlots:
    """Connections and request rate by client network.

    Attributes:
        max_connections: connections of all networks.
        connections: open connections.
    """

    def __init__(self, max_connections: int) -> None:
        self.max_connections = max_connections
        self.connections = 0
        self._request_rate = RequestRateLimit()
        self._networks: OrderedDict[str, _Network] = OrderedDict()  # least recently seen first
        self._counted_as_other: Counter[str] = Counter()  # connections made while the table was full

    def try_connect(self, name: str, now: int) -> bool:
        """Take a connection slot for the network if it may have one."""
        self._forget_inactive(now)
        network = self._network(name, now)
        if self.connections >= self.max_connections:
            return False
        # The reserved slots are for networks with few connections, also while one network is alone.
        reserve_limit = min(self._share(), self.max_connections / 2)
        unreserved = self.max_connections - self.max_connections // RESERVED_DIVISOR
        if self.connections >= unreserved and network.connections >= reserve_limit:
            return False
        network.connections += 1
        self.connections += 1
        if network is not self._networks.get(name):
            self._counted_as_other[name] += 1
        return True

    def disconnect(self, name: str) -> None:
        """Release a connection slot of the network."""
        self._networks[self._counted_under(name)].connections -= 1
        self.connections -= 1

    def exceeds_share(self, name: str) -> bool:
        """Whether the network has more connections than its share."""
        network = self._networks.get(name)
        return network is not None and network.connections > self._share()

    def admit_request(self, name: str, now: int) -> bool:
        """Whether there is time for a request of the network."""
        network = self._network(name, now)
        network.arrivals += 1
        if not self._request_rate.limit or network.pass_fraction >= 1.0:
            return True
        network.credit += network.pass_fraction
        if network.credit >= 1.0:
            network.credit -= 1.0
            return True
        self._request_rate.request_rejected()
        return False

    def request_finished(self) -> None:
        """Count an admitted request that has its response."""
        self._request_rate.request_completed()

    def event_loop_lagged(self, lag: int, now: int) -> None:
        """Record a sample of the event loop's lag (ns); divide the rate anew at the end of a round."""
        self._request_rate.event_loop_lagged(lag)
        if self._request_rate.round_due(now):
            duration = self._request_rate.end_round(now)
            self._divide_rate(self._measure_arrivals(duration))

    def report(self) -> dict[str, object]:
        """Connections, the request rate limit (0: none) and the networks with the highest rates."""
        by_rate = sorted(self._networks.items(), key=lambda item: -item[1].arrival_rate)
        return {
            "connections": self.connections,
            "of": self.max_connections,
            "rate_limit": round(self._request_rate.limit),
            "networks": {
                name: {
                    "connections": network.connections,
                    "rate": round(network.arrival_rate, 1),
                    "passes": round(network.pass_fraction, 3),
                }
                for name, network in by_rate[:REPORTED_NETWORKS]
            },
        }

    def _counted_under(self, name: str) -> str:
        """The entry that counts a connection of this network: with a full table, that of the others.

        An entry with connections is never dropped, so the one returned is still in the table.
        """
        if not self._counted_as_other[name]:
            del self._counted_as_other[name]
            return name
        self._counted_as_other[name] -= 1
        return OTHER_NETWORKS

    def _network(self, name: str, now: int) -> _Network:
        network = self._networks.get(name)
        if network is None:
            if len(self._networks) >= MAX_NETWORKS and name != OTHER_NETWORKS:
                self._forget_inactive(now)
                if len(self._networks) >= MAX_NETWORKS:
                    return self._network(OTHER_NETWORKS, now)
            network = self._networks[name] = _Network()
        network.last_seen_at = now
        self._networks.move_to_end(name)
        return network

    def _forget_inactive(self, now: int) -> None:
        while self._networks:
            name, network = next(iter(self._networks.items()))
            if now - network.last_seen_at < ACTIVE_DURATION:
                return
            if network.connections:
                network.last_seen_at = now  # still in use: checked again after the others
                self._networks.move_to_end(name)
                continue
            del self._networks[name]

    def _share(self) -> float:
        """Connections of each network's share."""
        return self.max_connections / max(1, len(self._networks))

    def _measure_arrivals(self, duration: float) -> list[_Network]:
        """Update the arrival rates after a round of so many seconds; return the busy networks."""
        busy = []
        for network in self._networks.values():
            rate = network.arrivals / duration
            # A rate that rises counts at once: a flood is recognised in its first round.
            network.arrival_rate = max(
                rate, network.arrival_rate + RATE_SMOOTHING * (rate - network.arrival_rate)
            )
            network.arrivals = 0
            if network.arrival_rate >= BUSY_RATE:
                busy.append(network)
            else:
                network.pass_fraction = 1.0
        return busy

    def _divide_rate(self, busy: list[_Network]) -> None:
        """Max-min fairness: a network that needs less than its share leaves the rest to the others."""
        remaining_rate = self._request_rate.limit
        remaining_networks = len(busy)
        for network in sorted(busy, key=lambda candidate: candidate.arrival_rate):
            fair_rate = remaining_rate / remaining_networks
            granted = min(network.arrival_rate, fair_rate)
            network.pass_fraction = granted / network.arrival_rate
            remaining_rate -= granted
            remaining_networks -= 1
