"""Upstream connections as a pool: opened within the limit, kept idle for reuse, closed."""

from __future__ import annotations

from hallproxy.state.effects import CloseConnection, OpenConnection, ScheduleTimer
from hallproxy.state.events import ConnectionTimerDue
from hallproxy.state.in_flight import Attempt, UpstreamConnection
from hallproxy.state.model import GatewayState


def open_connection(state: GatewayState, attempt: Attempt) -> bool:
    """Open a connection for the attempt; false: the limit is reached and none is idle."""
    if len(state.connections) >= state.limits.connections and not close_longest_idle(state):
        return False
    endpoint = attempt.action.endpoint
    process = state.endpoints.process(endpoint)
    connection = UpstreamConnection(state.next_id(), endpoint, process, attempt)
    attempt.connection_id = connection.id
    state.connections[connection.id] = connection
    state.effects.append(OpenConnection(connection.id, process.address))
    deadline = state.now + state.settings.connect_timeout
    state.effects.append(ScheduleTimer(ConnectionTimerDue(deadline, connection.id)))
    return True


def take_idle(state: GatewayState, attempt: Attempt) -> UpstreamConnection | None:
    """Assign the attempt to the most recently used idle connection to its endpoint, if there is one."""
    idle = state.idle_connections.get(attempt.action.endpoint)
    if not idle:
        return None
    connection = idle.pop()
    connection.attempt = attempt
    attempt.connection_id = connection.id
    return connection


def release(state: GatewayState, connection: UpstreamConnection, reusable: bool) -> None:
    """Detach the connection's ended attempt, and keep the connection idle for reuse or close it."""
    connection.attempt = None
    idle = state.idle_connections.setdefault(connection.endpoint, [])
    if reusable and _leads_to_ready_process(state, connection):
        connection.idle_since = state.now
        idle.append(connection)
        return
    if connection in idle:
        idle.remove(connection)
    if not idle:
        del state.idle_connections[connection.endpoint]
    del state.connections[connection.id]
    state.effects.append(CloseConnection(connection.id))


def close(state: GatewayState, connection: UpstreamConnection) -> None:
    """Close the connection, whatever its state."""
    release(state, connection, reusable=False)


def _leads_to_ready_process(state: GatewayState, connection: UpstreamConnection) -> bool:
    """Whether the endpoint is ready, and still the process that the connection was opened to."""
    endpoint = connection.endpoint
    return state.endpoints.is_ready(endpoint) and state.endpoints.process(endpoint) == connection.process


def close_idle(state: GatewayState, endpoint: bytes) -> None:
    """Close the endpoint's idle connections: its process has ended."""
    for connection in list(state.idle_connections.get(endpoint, ())):
        close(state, connection)


def close_longest_idle(state: GatewayState) -> bool:
    """Close the connection that has been idle longest to free its descriptor; false: all are in use."""
    longest_of_each = (idle[0] for idle in state.idle_connections.values() if idle)
    longest = min(longest_of_each, key=lambda connection: connection.idle_since, default=None)
    if longest is None:
        return False
    close(state, longest)
    return True


def record_activity(state: GatewayState, endpoint: bytes) -> None:
    """Record that the endpoint's machine has responded."""
    if endpoint in state.endpoints.by_id:  # bounds the table: only listed endpoints are recorded
        state.last_heard_at[endpoint] = state.now
