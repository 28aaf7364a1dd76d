"""How the configured memory and descriptors are divided among the parts of a gateway."""

from __future__ import annotations

import resource

from hallproxy.run.change_log_follower import MAX_PAGE_BYTES
from hallproxy.run.config import Config
from hallproxy.state.limits import Limits
from hallproxy.state.units import MB

RESERVED_DESCRIPTORS = 48  # for the listener, the change log, standard error and connections being closed
BASE_MEMORY = 24 * MB  # bytes that the program uses without any request, and a margin
MIN_SPARE_MEMORY = 4 * MB  # bytes
MIN_PAGE_BYTES = 640 * 1024  # a list of 3,200 endpoints, the largest fleet
PAGE_MEMORY_FACTOR = 6  # of a page and its decoded events, to the bytes on the wire
PAGE_PERCENT = 16  # of the spare memory, for a page of the change log, or for ``MIN_PAGE_BYTES``, ...
MAX_PAGE_PERCENT = 50  # ...but no more
# Percent of the rest that each part may use; together 100.
LOCAL_CACHE_PERCENT = 30
RESPONSE_BODY_PERCENT = 18  # bodies that are being read
UNSENT_PERCENT = 14  # responses that clients have not read
REQUEST_BODY_PERCENT = 14  # requests, from the first byte to the response
IN_FLIGHT_PERCENT = 12  # the state of requests in flight, without their bytes
CONNECTION_PERCENT = 12  # connections to endpoints
# Bytes that one of them takes:
REQUEST_MEMORY = 4 * 1024  # without its body
CONNECTION_MEMORY = 12 * 1024  # to an endpoint, with its buffer
# A connection may read 4 KB ahead of a frame of 64 KB that has its memory.
READ_AHEAD_DIVISOR = 16
MIN_UPSTREAM_CONNECTIONS = 8
MAX_REQUESTS = 4_000
IDLE_CLOSE_MARGIN = 3_000_000_000  # ns before the endpoint's idle timeout at which the gateway closes
DEFAULT_IDLE = 10_000_000_000  # ns, where the endpoints' idle timeout is not configured
MIN_IDLE = 1_000_000_000  # ns


def derive_limits(config: Config) -> Limits:
    """The state's limits, which keep memory and descriptors within the configuration's."""
    memory = config.memory_mb * MB
    spare = max(MIN_SPARE_MEMORY, memory - BASE_MEMORY)

    page_memory = max(MIN_PAGE_BYTES * PAGE_MEMORY_FACTOR, spare * PAGE_PERCENT // 100)
    page_memory = min(page_memory, MAX_PAGE_BYTES * PAGE_MEMORY_FACTOR, spare * MAX_PAGE_PERCENT // 100)
    rest = spare - page_memory

    def share(percent: int) -> int:
        return rest * percent // 100

    descriptors = _descriptors(config.sockets)
    downstream = descriptors * 2 // 5
    connections = min(
        descriptors - downstream - RESERVED_DESCRIPTORS, share(CONNECTION_PERCENT) // CONNECTION_MEMORY
    )
    return Limits(
        downstreams=downstream,
        connections=max(MIN_UPSTREAM_CONNECTIONS, connections),
        requests=min(MAX_REQUESTS, share(IN_FLIGHT_PERCENT) // REQUEST_MEMORY),
        body_bytes=share(RESPONSE_BODY_PERCENT),
        unsent_bytes=share(UNSENT_PERCENT),
        request_bytes=share(REQUEST_BODY_PERCENT) * (READ_AHEAD_DIVISOR - 1) // READ_AHEAD_DIVISOR,
        page_bytes=page_memory // PAGE_MEMORY_FACTOR,
        idle_timeout=_idle_timeout(config.settings.idle_close),
        # Less than the fifth of the memory that may be reclaimed at any time.
        local_cache_bytes=min(memory * 3 // 20, share(LOCAL_CACHE_PERCENT)),
        transfer_bytes_s=config.transfer_bytes_s,
        uplink_bytes_s=config.uplink_bytes_s,
    )


def _descriptors(configured: int) -> int:
    """The configured number, or the system's limit if it is lower."""
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return configured if limit == resource.RLIM_INFINITY else min(configured, limit)


def _idle_timeout(idle_close: int) -> int:
    """Ns after which the gateway closes an idle connection, ahead of the endpoint's own close."""
    return max(MIN_IDLE, idle_close - IDLE_CLOSE_MARGIN) if idle_close else DEFAULT_IDLE
