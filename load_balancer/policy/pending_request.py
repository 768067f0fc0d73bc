"""State of a request, kept until it has its final response and its attempts have ended."""

from __future__ import annotations

from dataclasses import dataclass, field

from load_balancer.policy.endpoints import Endpoint
from load_balancer.policy.events import RequestArrived


@dataclass(slots=True)
class PossibleRun:
    """An attempt whose request the endpoint may have executed."""

    sent_at: float
    """Time at which the attempt was sent, ms on the policy's clock."""
    endpoint: Endpoint


@dataclass(slots=True, eq=False)
class KeyQueue:
    """Queue of requests with the same key, which run one at a time; written by key_sequencing."""

    waiting: list[PendingRequest] = field(default_factory=list)
    """Unfinished requests in order of arrival; the first may have attempts in flight."""
    attempts_in_flight: int = 0
    """Number of attempts without a result, including attempts of finished requests."""
    cooldown_until: float = 0.0
    """Time in ms before which the next request must not start."""


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that has no final response yet, or still has attempts in flight."""

    arrival: RequestArrived
    arrived_at: float
    """Time in ms on the policy's clock."""
    score: float
    """Priority score, 0 to 100."""
    key_queue: KeyQueue | None = None
    """Queue of the request's key, or None if its class is not sequential. Written by key_sequencing."""
    # The fields below are written by retries.
    attempts_sent: int = 0
    """Number of attempts sent, which is also the number of the next attempt."""
    attempts_in_flight: set[int] = field(default_factory=set)
    """Numbers of the attempts without a result."""
    possible_runs: dict[int, PossibleRun] = field(default_factory=dict)
    """Attempts after which the request may have been executed, by attempt number."""
    tried_endpoints: list[int] = field(default_factory=list)
    """Ids of the endpoints that attempts were sent to."""
