"""``GatewayState``: all that the gateway keeps in memory. Only the reducer changes it."""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field

from hallproxy import interface as i
from hallproxy.broker.broker import Broker
from hallproxy.decisions import Router
from hallproxy.state.change_log_watch import ChangeLogWatch
from hallproxy.state.effects import Effect
from hallproxy.state.endpoints import EndpointList
from hallproxy.state.events import ClientRequest
from hallproxy.state.executed_requests import ExecutedRequests
from hallproxy.state.in_flight import Attempt, InFlightRequest, UpstreamConnection
from hallproxy.state.limits import Limits
from hallproxy.state.local_cache import LocalCache, Uplink
from hallproxy.state.negative_cache import NegativeCache
from hallproxy.state.ports import FileCache
from hallproxy.state.purges import PurgeTable
from hallproxy.state.units import SECOND


@dataclass(slots=True)
class GatewayState:
    """The state that events change. All times are ns of the Unix clock.

    Attributes:
        settings: the site's settings in force.
        router: the decision object.
        limits: the limits in force.
        local_cache: responses that are served without asking an endpoint.
        uplink: estimates when a response from the local cache will be sent.
        served_locally: responses from the local cache so far.
        watch: since when changes of the change log may have been missed.
        negative_cache: what the sources recently reported as not found.
        serves_stale: whether stale entries stay in the local cache for their class's grace, to be revalidated
            and to be served on errors.
        strict_purges: whether a response is discarded if it was generated before a purge of its object, also
            one that was received while the response was in transit.
        broker: admits and queues requests by their contracts; None: there are no contracts.
        file_cache: files on disk; None: there are none.
        endpoints: the endpoint list.
        purges: what was purged, for as long as older copies may still exist.
        requests: requests in flight, by id.
        request_ids: the clients' ids of the requests in flight.
        executed_requests: the clients' ids of ended requests that must not execute again.
        awaiting_response: requests whose response is not sent yet, by the front's handle.
        attempts: attempts in flight by id, in the order they were started.
        connections: upstream connections by id.
        last_heard_at: when each endpoint last accepted a connection or sent a response.
        idle_connections: idle connections by endpoint, the longest idle first.
        last_id: the last id assigned to a request, an attempt or a connection.
        now: the time of the latest event.
        shutdown_deadline: when all requests must be answered, as the process ends then; 0: not shutting down.
        rejects_new: whether new requests are rejected.
        pending_events: events that the router has yet to handle.
        effects: effects of the event that is being reduced.
    """

    settings: i.Settings
    router: Router
    limits: Limits = field(default_factory=Limits)
    local_cache: LocalCache = field(default_factory=LocalCache)
    uplink: Uplink = field(default_factory=Uplink)
    served_locally: int = 0
    watch: ChangeLogWatch = field(default_factory=ChangeLogWatch)
    negative_cache: NegativeCache = field(default_factory=NegativeCache)
    serves_stale: bool = False
    strict_purges: bool = False
    broker: Broker | None = None
    file_cache: FileCache | None = None
    endpoints: EndpointList = field(default_factory=EndpointList)
    purges: PurgeTable = field(default_factory=PurgeTable)
    requests: dict[int, InFlightRequest] = field(default_factory=dict)
    request_ids: set[str] = field(default_factory=set)
    executed_requests: ExecutedRequests = field(default_factory=ExecutedRequests)
    awaiting_response: dict[int, InFlightRequest] = field(default_factory=dict)
    attempts: OrderedDict[int, Attempt] = field(default_factory=OrderedDict)
    connections: dict[int, UpstreamConnection] = field(default_factory=dict)
    last_heard_at: dict[bytes, int] = field(default_factory=dict)
    idle_connections: dict[bytes, list[UpstreamConnection]] = field(default_factory=dict)
    last_id: int = 0
    now: int = 0
    shutdown_deadline: int = 0
    rejects_new: bool = False
    pending_events: deque[i.Event] = field(default_factory=deque)
    effects: list[Effect] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.purges.configure(self.settings, self.now)
        self.apply_limits(self.limits)

    def apply_limits(self, limits: Limits) -> None:
        """Apply new limits."""
        self.limits = limits
        self.local_cache.resize(limits.local_cache_bytes)
        self.negative_cache.ttl = limits.negative_ttl
        self.uplink.transfer_bytes_s = limits.transfer_bytes_s
        self.uplink.link_bytes_s = limits.uplink_bytes_s

    def next_id(self) -> int:
        """A new id for a request, an attempt or a connection."""
        self.last_id += 1
        return self.last_id

    def request_class(self, request: ClientRequest) -> i.RequestClass:
        """The settings of the request's class."""
        return self.settings.classes[request.class_index]

    def latency_objective(self, request: ClientRequest) -> int:
        """The request's latency objective (ns), extended by its class's allowance for the transfer time."""
        cls = self.settings.classes[request.class_index]
        rate = self.settings.transfer_kb_s
        transfer_seconds = request.size_kb / rate if rate else 0.0
        return cls.latency_objective + int(cls.objective_stretch * transfer_seconds * SECOND)
