"""Commands: output of ``Policy.handle``, to be carried out in order. Times are in milliseconds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class SendAttempt:
    """Send the request to an endpoint."""

    request_id: int
    endpoint_id: int
    timeout: float
    """Time in ms until the attempt ends with TIMEOUT; above 0."""


@dataclass(slots=True)
class RejectRequest:
    """Final response: rejected; the request did not run, or running it again does no harm."""

    request_id: int
    retry_after: float
    """Time in ms that the client should wait before it retries, or 0 for no Retry-After."""


@dataclass(slots=True)
class FailRequest:
    """Final response: failed; the request may have run."""

    request_id: int


@dataclass(slots=True)
class CancelAttempt:
    """Cancel an attempt in flight."""

    request_id: int
    attempt: int
    """Number of the attempt within its request, from 0."""


@dataclass(slots=True)
class SetTimer:
    """Send ``TimerFired`` with this token to the policy after the delay."""

    delay: float
    """Time in ms until the timer fires."""
    token: int


@dataclass(slots=True)
class SendHealthCheck:
    """Send a health check. Part of the simulator's wire format; this policy never returns it."""

    endpoint_id: int


@dataclass(slots=True)
class WatchEndpoints:
    """Fetch the endpoint list from discovery and watch it for changes."""


@dataclass(slots=True)
class WriteLog:
    """Write a message to the log."""

    message: str


Command = (
    SendAttempt
    | RejectRequest
    | FailRequest
    | CancelAttempt
    | SetTimer
    | SendHealthCheck
    | WatchEndpoints
    | WriteLog
)
