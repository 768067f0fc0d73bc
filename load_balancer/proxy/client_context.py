"""What all client connections of a node share, and what they need from the node."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from load_balancer.proxy.client_input import PARSE_CHUNK_SIZE
from load_balancer.proxy.client_request import ClientRequest
from load_balancer.proxy.connection_table import ConnectionTable
from load_balancer.proxy.memory_budget import MemoryBudget
from load_balancer.proxy.read_scheduler import ReadScheduler
from load_balancer.proxy.request_validation import RequestValidator

if TYPE_CHECKING:
    from load_balancer.proxy.client_connection import ClientConnection

# Names of the counters in the log.
SHED_REQUESTS = "requests rejected for memory"
NOT_READING = "clients aborted for not reading"
ERROR_RESPONSES = "input rejected with"


class RequestHandler(Protocol):
    """Serves the requests of client connections."""

    healthy: bool
    """Whether health checks succeed."""
    shutting_down: bool
    """Whether the node is shutting down: health checks fail, connections close after their last response."""

    def on_request(self, connection: ClientConnection, request: ClientRequest) -> None:
        """Set ``connection.request_id`` and serve the request.

        The handler must call ``connection.write_response`` once, during this call or later, unless the client
        disconnects first.
        """

    def on_client_disconnected(self, request_id: int) -> None:
        """Cancel a request, to which no response can be written any more."""


@dataclass(slots=True)
class ClientContext:
    """Objects that all client connections of a node use."""

    table: ConnectionTable
    validator: RequestValidator
    handler: RequestHandler
    budget: MemoryBudget
    scheduler: ReadScheduler
    on_lost: Callable[[ClientConnection], None]
    """Called when a connection is lost."""
    counts: Counter[str] = field(default_factory=Counter)
    """Counters, which the metrics reporter clears after each report."""
    read_buffer: memoryview = field(default_factory=lambda: memoryview(bytearray(PARSE_CHUNK_SIZE)))
    """Buffer for one read, whose data is taken out before the next read of any connection."""
