"""An endpoint as the connection pool sees it, with its idle connections."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from load_balancer.policy.endpoints import EndpointState
from load_balancer.proxy.address import Address

if TYPE_CHECKING:
    from load_balancer.proxy.upstream_connection import UpstreamConnection

# Minimum idle time before a connection is reused. An upstream may send a response twice, and the duplicate
# must not be taken for the response to the next request.
REUSE_DELAY_MS = 20.0


# The class is not frozen, since creating a frozen instance takes three times as long, and each entry of a
# list creates one.
@dataclass(slots=True)
class UpstreamTarget:
    """The fields of an endpoint list entry that its connections depend on. Instances are never modified."""

    address: Address
    state: EndpointState
    started_at: float
    """Unix time in ms at which the endpoint last started, or 0 if that was long ago."""


@dataclass(slots=True, eq=False)
class Upstream:
    """An endpoint with attempts in flight or idle connections."""

    endpoint_id: int
    target: UpstreamTarget
    target_version: int = 0
    """Incremented when the target changes; connections opened for an older version are not reused."""
    attempts_in_flight: int = 0
    idle_connections: list[UpstreamConnection] = field(default_factory=list)
    """Idle connections in the order of last use, the most recently used last."""

    def set_target(self, target: UpstreamTarget) -> None:
        """Replace the target and close the idle connections.

        Idle connections to a restarted endpoint are dead, and a draining endpoint gets no new requests.
        """
        self.target = target
        self.target_version += 1
        for connection in self.idle_connections:
            connection.transport.close()
        self.idle_connections.clear()

    def pop_idle_connection(self, now: float) -> UpstreamConnection | None:
        """Remove and return the most recently used connection that may be reused, or None if there is none.

        A connection may be reused when it has been idle for ``REUSE_DELAY_MS``.
        """
        for index in reversed(range(len(self.idle_connections))):
            if now - self.idle_connections[index].idle_since >= REUSE_DELAY_MS:
                return self.idle_connections.pop(index)
        return None
