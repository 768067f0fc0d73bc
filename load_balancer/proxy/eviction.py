"""Eviction of client connections: which one is closed for a new client when the limit is reached."""

from __future__ import annotations

from load_balancer.proxy.client_connection import ClientConnection
from load_balancer.proxy.connection_table import ConnectionState, ConnectionTable

# Minimum time in CONNECTED or CLOSING before eviction; the first bytes of a new client are read sooner.
NEW_CONNECTION_GRACE_S = 0.05
# Minimum time in RECEIVING before eviction; a request is complete sooner, unless its client is slow or never
# completes it.
SLOW_REQUEST_AGE_S = 0.3
# Time in IDLE after which a connection is unlikely to be used again; connections idle for less are evicted
# last.
UNUSED_IDLE_AGE_S = 2.0

_MAY_HAVE_UNREAD_REQUEST = frozenset({ConnectionState.CONNECTED, ConnectionState.IDLE})


class ConnectionEvictor:
    """Aborts connections that have no complete request in flight, one at a time."""

    def __init__(self, table: ConnectionTable) -> None:
        self._table = table
        self._being_evicted: ClientConnection | None = None  # aborted and not lost yet

    def evict(self) -> bool:
        """Abort a connection if possible, and return whether there will be room for a new one.

        There is room once the aborted connection is lost, in the next iteration of the event loop. No other
        connection is evicted until then.
        """
        if self._being_evicted in self._table:
            return True
        candidate = self._find_candidate()
        if candidate is None:
            return False
        candidate.transport.abort()
        self._being_evicted = candidate
        return True

    def on_connection_lost(self, connection: ClientConnection) -> None:
        """Allow the next eviction if this connection was being evicted."""
        if connection is self._being_evicted:
            self._being_evicted = None

    def _find_candidate(self) -> ClientConnection | None:
        """Return the connection that is needed least, or None if all are in use or too new."""
        # A connection that became idle recently comes last, since it is likely to be used again.
        return (
            self._longest_in_state(ConnectionState.CONNECTED, NEW_CONNECTION_GRACE_S)
            or self._longest_in_state(ConnectionState.CLOSING, NEW_CONNECTION_GRACE_S)
            or self._longest_in_state(ConnectionState.IDLE, UNUSED_IDLE_AGE_S)
            or self._longest_in_state(ConnectionState.RECEIVING, SLOW_REQUEST_AGE_S)
            or self._longest_in_state(ConnectionState.IDLE, 0.0)
        )

    def _longest_in_state(self, state: ConnectionState, min_age: float) -> ClientConnection | None:
        """Return the first evictable connection, in the order of entering the state, or None.

        The search ends with None at the first connection that has been in the state for less than
        ``min_age`` s.
        """
        now = self._table.time()
        for connection, since in self._table.in_state(state).items():
            if now - since < min_age:
                return None
            if _is_evictable(connection):
                return connection
        return None


def _is_evictable(connection: ClientConnection) -> bool:
    """Whether the connection can be aborted without losing unsent response data or an unread request.

    A connection that is already closing is not evictable.
    """
    transport = connection.transport
    if transport.is_closing() or transport.get_write_buffer_size():
        return False
    return connection.state not in _MAY_HAVE_UNREAD_REQUEST or not connection.reader.has_unread_data()
