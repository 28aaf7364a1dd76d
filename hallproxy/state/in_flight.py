"""What is in flight: clients' requests, their attempts at endpoints, and the connections that carry them.

States of an attempt:

| state | shown by | event | next state |
| --- | --- | --- | --- |
| new | in the tables, ``connection_id`` is 0 | an idle connection to its endpoint | written |
| | | none, and one may be opened | connecting |
| | | endpoint or source not ready, no retry budget, too many connections | finished (NOT_SENT) |
| connecting | ``written`` is false | ``ConnectionOpened`` | written |
| | | the same, but a check made at the start no longer passes | finished (NOT_SENT) |
| | | ``ConnectionClosed`` | finished (CONNECT_FAILED) |
| | | the same, for lack of file descriptors | connecting, or finished (NOT_SENT) |
| | | ``AttemptTimerDue`` | finished (CONNECT_FAILED) |
| written | ``written`` is true | ``ResponseReceived`` | finished (the result's status) |
| | | ``ConnectionClosed`` | finished (RESET) |
| | | the same, with nothing sent on it | connecting |
| | | ``AttemptTimerDue`` | finished (TIMEOUT) |
| | | its endpoint's machine does not respond | finished (RESET) |
| connecting, written | | ``CancelAttempt`` of the router | finished (CANCELLED) |
| finished | removed from the tables | | |

States of an upstream connection:

| state | shown by | event | next state |
| --- | --- | --- | --- |
| opening | ``is_open`` is false | ``ConnectionOpened`` | busy |
| | | ``ConnectionTimerDue``, ``ConnectionClosed``, its attempt ends | closed |
| busy | ``attempt`` is set | ``ResponseReceived`` and reusable; its attempt was not sent | idle |
| | | ``ResponseReceived``, ``ConnectionClosed``, its attempt is abandoned | closed |
| idle | listed in ``GatewayState.idle_connections`` | an attempt at its endpoint | busy |
| | | idle timeout, its endpoint's process ended, its slot is needed | closed |
| closed | removed from the tables | | |
"""

from __future__ import annotations

from dataclasses import dataclass, field

from hallproxy import interface as i
from hallproxy.state.endpoints import UNLISTED, EndpointProcess
from hallproxy.state.events import ClientRequest, FailureReason


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request at an endpoint, from the router's action until its end.

    Attributes:
        id: unique among all requests, attempts and connections.
        request_id: the id of its ``InFlightRequest``.
        number: the router's number for it among the request's attempts.
        action: the router's action that started it.
        started_at: ns; when the router started it.
        deadline: ns; when it times out.
        endpoint_process, source_process: the processes of its endpoint and source at ``started_at``.
        connection_id: the connection that carries it; 0: none yet.
        written: whether its first byte may have been sent.
        written_at: ns; when that was.
        validator: the validator of the local cache entry that it revalidates; empty: none.
        counted_by_broker: whether the broker was notified of its start.
    """

    id: int
    request_id: int
    number: int
    action: i.StartAttempt
    started_at: int
    deadline: int
    endpoint_process: EndpointProcess = UNLISTED
    source_process: EndpointProcess = UNLISTED
    connection_id: int = 0
    written: bool = False
    written_at: int = 0
    validator: str = ""
    counted_by_broker: bool = False


@dataclass(slots=True, eq=False)
class InFlightRequest:
    """A client's request, until its response is sent and its last attempt has finished.

    Attributes:
        id: unique among all requests, attempts and connections.
        downstream: the front's handle for its one response.
        request: what the client sent.
        received_at: ns; when it was received.
        attempt_count: attempts so far, finished ones included.
        attempts: those in flight, by the router's number.
        started: whether it has left the broker's queue for the router or the file cache.
        answered: whether its response was sent, or its client has disconnected.
        any_written: whether any of its attempts was written, even if the bytes never left a stale connection.
        first_executed_at: ns; when the earliest finished attempt that may have executed was written; 0: none.
        failure_reason: how its last attempt failed.
    """

    id: int
    downstream: int
    request: ClientRequest
    received_at: int
    attempt_count: int = 0
    attempts: dict[int, Attempt] = field(default_factory=dict)
    started: bool = False
    answered: bool = False
    any_written: bool = False
    first_executed_at: int = 0
    failure_reason: FailureReason = FailureReason.NONE

    def time_left(self, now: int) -> int:
        """Time (ns) until its deadline; negative after it."""
        return self.received_at + self.request.time_left - now


@dataclass(slots=True, eq=False)
class UpstreamConnection:
    """A connection to one endpoint's process. It is tied to the endpoint's id, as addresses are reused.

    Attributes:
        id: unique among all requests, attempts and connections.
        endpoint: the endpoint's id.
        process: the endpoint's process when the connection was opened.
        attempt: the attempt that it carries; None: it is idle.
        is_open: whether it is connected.
        idle_since: ns; when it last became idle.
    """

    id: int
    endpoint: bytes
    process: EndpointProcess
    attempt: Attempt | None = None
    is_open: bool = False
    idle_since: int = 0
