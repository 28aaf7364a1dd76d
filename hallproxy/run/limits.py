"""How the configured memory and descriptors are divided among the parts of a gateway."""

from __future__ import annotations

import resource

from hallproxy.run.config import Config
from hallproxy.state.limits import Limits
from hallproxy.state.units import MB

RESERVED_DESCRIPTORS = 48  # for the listener, the change log, standard error and connections being closed
BASE_MEMORY = 24 * MB  # bytes that the program uses without any request, and a margin
REQUEST_MEMORY = 16 * 1024  # bytes counted for an in-flight request, with its body and its attempts
MIN_SPARE_MEMORY = 4 * MB  # bytes
MIN_UPSTREAM_CONNECTIONS = 8
MAX_REQUESTS = 4_000
IDLE_CLOSE_MARGIN = 3_000_000_000  # ns before the endpoint's idle timeout at which the gateway closes
DEFAULT_IDLE = 10_000_000_000  # ns, where the endpoints' idle timeout is not configured
MIN_IDLE = 1_000_000_000  # ns


def derive_limits(config: Config) -> Limits:
    """The state's limits, which keep memory and descriptors within the configuration's."""
    memory = config.memory_mb * MB
    spare = max(MIN_SPARE_MEMORY, memory - BASE_MEMORY)
    descriptors = _descriptors(config.sockets)
    downstream = descriptors * 2 // 5
    return Limits(
        downstreams=downstream,
        connections=max(MIN_UPSTREAM_CONNECTIONS, descriptors - downstream - RESERVED_DESCRIPTORS),
        requests=min(MAX_REQUESTS, spare // REQUEST_MEMORY),
        body_bytes=spare // 4,
        unsent_bytes=spare // 5,
        idle_timeout=_idle_timeout(config.settings.idle_close),
        # Less than the fifth of the memory that may be reclaimed at any time.
        local_cache_bytes=min(memory * 3 // 20, spare // 3),
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
