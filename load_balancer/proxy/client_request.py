"""Items queued on a client connection: valid requests, health checks and error responses."""

from __future__ import annotations

from dataclasses import dataclass

from load_balancer.proxy.messages import UpstreamRequest


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
    keep_alive: bool
    """Whether the client wants the connection kept open after the response."""


@dataclass(slots=True)
class HealthCheck:
    """Request by which the front end checks whether the node can serve requests."""

    keep_alive: bool


@dataclass(slots=True)
class ErrorResponse:
    """Response to input that is not a valid request; the connection is closed after it."""

    status: int
    headers: bytes = b""
    """Additional header lines, each ending in CRLF."""
    keep_alive: bool = False


QueuedItem = ClientRequest | HealthCheck | ErrorResponse
