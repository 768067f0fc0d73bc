"""Which connection gives way to a new client when the node has as many as it may hold."""

from __future__ import annotations

from load_balancer.proxy.client_connection import ClientConnection
from load_balancer.proxy.connection_table import ConnectionState, ConnectionTable

NEW_CONNECTION_GRACE_S = 0.05  # s in which a new client's first bytes are sure to be read
SLOW_REQUEST_AGE_S = 0.3  # s in which a request arrives unless its client is slow or never completes it
UNUSED_IDLE_AGE_S = 2.0  # s idle after which the client has hardly any use for the connection

_MAY_HAVE_UNREAD_REQUEST = frozenset({ConnectionState.CONNECTED, ConnectionState.IDLE})


class ConnectionEvictor:
    """Closes connections that no request needs, one at a time."""

    def __init__(self, table: ConnectionTable) -> None:
        self._table = table
        self._evicted: ClientConnection | None = None  # the last one, until it is lost

    def evict(self) -> bool:
        """Abort a connection if one can be spared; returns whether there will be room for a new one.

        There is room once the aborted connection is lost, in the loop's next turn; until then no further one
        is evicted.
        """
        if self._evicted in self._table:
            return True
        candidate = self._candidate()
        if candidate is None:
            return False
        candidate.transport.abort()
        self._evicted = candidate
        return True

    def on_connection_lost(self, connection: ClientConnection) -> None:
        """Allow the next eviction if this was the evicted connection."""
        if connection is self._evicted:
            self._evicted = None

    def _candidate(self) -> ClientConnection | None:
        """Return the connection that is needed least, or None if each is in use or too new."""
        # A connection that was idle only briefly is likely to be used again: it is the last choice.
        return (
            self._longest_in_state(ConnectionState.CONNECTED, NEW_CONNECTION_GRACE_S)
            or self._longest_in_state(ConnectionState.CLOSING, NEW_CONNECTION_GRACE_S)
            or self._longest_in_state(ConnectionState.IDLE, UNUSED_IDLE_AGE_S)
            or self._longest_in_state(ConnectionState.RECEIVING, SLOW_REQUEST_AGE_S)
            or self._longest_in_state(ConnectionState.IDLE, 0.0)
        )

    def _longest_in_state(self, state: ConnectionState, min_age: float) -> ClientConnection | None:
        """Return the connection that has been longest in a state, for at least ``min_age`` s, or None."""
        now = self._table.time()
        for connection, since in self._table.in_state(state).items():
            if now - since < min_age:
                return None
            if _can_be_evicted(connection):
                return connection
        return None


def _can_be_evicted(connection: ClientConnection) -> bool:
    """Whether an abort loses neither a response that is being written nor a request that is unread."""
    transport = connection.transport
    if transport.is_closing() or transport.get_write_buffer_size():
        return False
    return connection.state not in _MAY_HAVE_UNREAD_REQUEST or not connection.has_unread_data()
