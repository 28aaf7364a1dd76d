"""A request in flight and its attempts."""

from __future__ import annotations

from dataclasses import dataclass, field

from hallproxy.decisions.endpoint_statistics import EndpointStatistics
from hallproxy.interface import AttemptEnded, AttemptStatus, Endpoint, Request


@dataclass(slots=True, eq=False)
class RoutedAttempt:
    """One attempt at a cache, which fills a miss from a source; both are the same if nothing is filled."""

    cache: EndpointStatistics
    source: EndpointStatistics
    started_at: int  # ns
    cache_is_tried: bool = True  # counts as tried by the request
    source_is_tried: bool = True

    def endpoints(self) -> tuple[EndpointStatistics, ...]:
        """Return the endpoints that the attempt loads, each once."""
        return (self.cache,) if self.cache is self.source else (self.cache, self.source)


@dataclass(slots=True, eq=False)
class PossibleExecution:
    """The first attempt of a request that may have run: where, and when it was started (ns)."""

    endpoint: Endpoint
    started_at: int


@dataclass(slots=True, eq=False)
class RoutedRequest:
    """A request that has no final answer yet, or whose attempts are still in flight."""

    request: Request
    arrived_at: int  # ns
    deadline: int  # ns; latest time for an answer
    objective_at: int  # ns; the latency objective: latest time for the full value
    placement_hash: int
    value_density: float  # priority weight for each second of sending
    cache_gain: float = 0.0
    attempts_started: int = 0
    attempts: dict[int, RoutedAttempt] = field(default_factory=dict)  # in flight, by attempt number
    possible_execution: PossibleExecution | None = None
    tried_caches: list[EndpointStatistics] = field(default_factory=list)
    tried_sources: list[EndpointStatistics] = field(default_factory=list)
    error_count: int = 0
    retried_after_reset: bool = False  # its cache got a second attempt after a broken connection
    finished: bool = False
    streaming: bool = False
    lookup_only: bool = False  # the attempt in flight is a lookup

    def mark_cache_untried(self, attempt: RoutedAttempt) -> None:
        """Stop counting the attempt's cache as tried for this attempt; repeated calls change nothing."""
        if attempt.cache_is_tried:
            attempt.cache_is_tried = False
            self.tried_caches.remove(attempt.cache)

    def mark_source_untried(self, attempt: RoutedAttempt) -> None:
        """Stop counting the attempt's source as tried for this attempt; repeated calls change nothing."""
        if attempt.source_is_tried:
            attempt.source_is_tried = False
            self.tried_sources.remove(attempt.source)

    def timed_out_before_objective(self, event: AttemptEnded) -> bool:
        """Return whether the client disconnected before an answer could have been late."""
        return event.status is AttemptStatus.TIMEOUT and event.latency < self.objective_at - self.arrived_at
