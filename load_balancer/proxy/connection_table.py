"""All client connections of a node, by state."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from enum import IntEnum
from typing import TYPE_CHECKING

from load_balancer.proxy.request_ids import RequestIds

if TYPE_CHECKING:
    from load_balancer.proxy.client_connection import ClientConnection

_MANY_IDLE_DIVISOR = 3  # has_many_idle is true from limit // _MANY_IDLE_DIVISOR idle connections on


class ConnectionState(IntEnum):
    """What a client connection waits for; set by ``ConnectionTable.set_state`` only."""

    DISCONNECTED = 0
    """Not connected yet, or no longer connected."""
    CONNECTED = 1
    """Waits for the first byte of its first request."""
    RECEIVING = 2
    """Waits for the rest of a request."""
    SERVING = 3
    """Waits for the response to the request that is being served."""
    IDLE = 4
    """Waits for the next request or, while writing is paused, for the client to read its responses."""
    CLOSING = 5
    """Waits for the client to close the connection, after the last response was written."""


_WAITING_FOR_CLIENT = (
    ConnectionState.CONNECTED,
    ConnectionState.RECEIVING,
    ConnectionState.IDLE,
    ConnectionState.CLOSING,
)
"""States in which the client has to act next."""


class ConnectionTable:
    """Open client connections by state, and the ids of their open requests.

    Args:
        limit: Maximum number of connections; enforced by the listener.
        time: Clock in s.
        request_id_memory: Bytes that ids of requests without a client may take.
    """

    def __init__(self, limit: int, time: Callable[[], float], request_id_memory: int = 0) -> None:
        self.limit = limit
        self.request_ids = RequestIds(time, request_id_memory)
        """Request-Id values that are in use."""
        self.time = time
        self._connections: set[ClientConnection] = set()  # including closing connections
        self._start_times: dict[ConnectionState, dict[ClientConnection, float]] = {
            state: {} for state in _WAITING_FOR_CLIENT
        }
        """For each state, its connections in the order of entering it, with their start times in s."""

    def __len__(self) -> int:
        return len(self._connections)

    def __iter__(self) -> Iterator[ClientConnection]:
        return iter(self._connections)

    def __contains__(self, connection: object) -> bool:
        return connection in self._connections

    def add(self, connection: ClientConnection) -> None:
        """Count a connection towards the limit."""
        self._connections.add(connection)

    def discard(self, connection: ClientConnection) -> None:
        """Stop counting a connection, whose state must be DISCONNECTED."""
        self._connections.discard(connection)

    def set_state(
        self, connection: ClientConnection, state: ConnectionState, since: float | None = None
    ) -> None:
        """Set the state of a connection; do nothing if it is in that state already.

        Args:
            connection: Connection whose state is set.
            state: New state.
            since: Start time in s, from which the connection's time in the state counts, or None for now.
        """
        if state is connection.state:
            return
        start_times = self._start_times.get(connection.state)
        if start_times is not None:
            del start_times[connection]
        connection.state = state
        start_times = self._start_times.get(state)
        if start_times is not None:
            start_times[connection] = self.time() if since is None else since

    def in_state(self, state: ConnectionState) -> Mapping[ClientConnection, float]:
        """Return the connections in a state, in the order of entering it, with their start times in s.

        The state must be one in which the client has to act next.
        """
        return self._start_times[state]

    def in_state_longer_than(self, state: ConnectionState, age: float) -> list[ClientConnection]:
        """Return the connections that have been in a state for more than ``age`` s."""
        before = self.time() - age
        return [connection for connection, since in self._start_times[state].items() if since < before]

    @property
    def has_many_idle(self) -> bool:
        """Whether so many connections are idle that others should be closed after their response.

        Clients that send one request and keep the connection open would otherwise use up the limit.
        """
        return len(self._start_times[ConnectionState.IDLE]) >= self.limit // _MANY_IDLE_DIVISOR
