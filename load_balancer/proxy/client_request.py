"""Items queued on a client connection: valid requests, health checks and error responses."""

from __future__ import annotations

from dataclasses import dataclass

from load_balancer.proxy.messages import UpstreamRequest

QUEUED_OBJECT_BYTES = 1000  # memory of a request's objects, without its head and body


@dataclass(slots=True)
class ClientRequest:
    """Validated client request to be forwarded to an upstream."""

    message: UpstreamRequest
    client_request_id: bytes
    """Value of the Request-Id header."""
    class_index: int
    """Index of the request class in the settings."""
    tenant: int
    """Index of the tenant in the settings, or 0 if they list no tenants."""
    key: int
    """Hash of the last path segment, the same on every node.

    It is 0 if the segment is empty or is the class name.
    """
    received_at: float
    """Time in ms on the node's clock; approximates the time of sending, which the node can't know."""
    timeout: float
    """Time in ms after ``received_at`` at which the client gives up."""
    cost_hint: float
    """Processing time in ms that the client expects, or 0 if unknown."""
    is_client_retry: bool
    must_run_once: bool
    """Whether the request class is not idempotent, with or without a key."""
    keep_alive: bool
    """Whether the client wants the connection kept open after the response."""
    held_bytes: int = 0
    """Bytes that the request takes while it is queued or in flight."""

    def __post_init__(self) -> None:
        """Compute ``held_bytes``, which is asked for several times."""
        self.held_bytes = QUEUED_OBJECT_BYTES + len(self.message.head) + len(self.message.body)


@dataclass(slots=True)
class HealthCheck:
    """Request by which the front end checks whether the node can serve requests."""

    held_bytes = 100

    keep_alive: bool


@dataclass(slots=True)
class ShedRequests:
    """Consecutive requests that were not kept, since they did not fit the memory budget."""

    held_bytes = 100

    count: int = 1
    keep_alive: bool = True


@dataclass(slots=True)
class ErrorResponse:
    """Response to input that is not a valid request or was not kept."""

    held_bytes = 100

    status: int
    headers: bytes = b""
    """Additional header lines, each ending in CRLF."""
    keep_alive: bool = False
    """Whether the connection stays open; not if the start of the next request is unknown."""


QueuedItem = ClientRequest | HealthCheck | ErrorResponse | ShedRequests
