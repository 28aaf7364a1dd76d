"""The configured limits of the gateway's resources."""

from __future__ import annotations

from dataclasses import dataclass

from hallproxy.state.units import MB, SECOND


@dataclass(slots=True, frozen=True)
class Limits:
    """Upper limits of tables, buffers and times.

    Attributes:
        connections: open connections to endpoints.
        downstreams: open connections of clients.
        requests: requests in flight.
        body_bytes: bytes of response bodies that are being read from endpoints.
        small_body_bytes: bytes up to which a body may also use the last quarter of ``body_bytes``;
            0: all bodies are treated alike.
        unsent_bytes: bytes that all clients together may leave unread.
        request_bytes: bytes of clients' requests, from their receipt to their response.
        page_bytes: bytes of a page of the change log.
        idle_timeout: ns after which an idle connection to an endpoint is closed.
        local_cache_bytes: bytes of the local cache, entries and bodies; 0: there is none.
        negative_ttl: ns for which "not found" is cached; 0: never.
        transfer_bytes_s: bytes per second of one transfer from the local cache; 0: unknown.
        uplink_bytes_s: bytes per second of all such transfers together; 0: unknown.
    """

    connections: int = 400
    downstreams: int = 250
    requests: int = 1_000
    body_bytes: int = 32 * MB
    small_body_bytes: int = 0
    unsent_bytes: int = 24 * MB
    request_bytes: int = 16 * MB
    page_bytes: int = 16 * MB
    idle_timeout: int = 10 * SECOND
    local_cache_bytes: int = 0
    negative_ttl: int = 0
    transfer_bytes_s: int = 0
    uplink_bytes_s: int = 0
