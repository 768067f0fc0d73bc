"""Requests in flight: each gets exactly one final response, unless its client disconnects first."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass

from load_balancer.policy.events import RequestArrived
from load_balancer.proxy.client_connection import ClientConnection
from load_balancer.proxy.client_request import ClientRequest
from load_balancer.proxy.messages import UpstreamRequest, UpstreamResponse

# The final response is due RESPONSE_MARGIN_MS before the client gives up, to leave time for its transmission
# and for delays of the event loop. The margin is at most RESPONSE_MARGIN_SHARE of the timeout: 30 ms of 40 ms
# would leave too little.
RESPONSE_MARGIN_MS = 30.0
RESPONSE_MARGIN_SHARE = 0.1


@dataclass(slots=True)
class TrackedRequest:
    """Request that has no final response yet."""

    client: ClientConnection
    message: UpstreamRequest
    deadline: float
    """Time in ms on the node's clock by which the final response is due."""
    attempts: int = 0
    """Number of attempts so far, which is also the number of the next attempt, counted from 0."""


class RequestTracker:
    """Registers requests and writes the final response to each of them once."""

    def __init__(self) -> None:
        self.pending: dict[int, TrackedRequest] = {}
        self.last_request_id = 0
        self.latest_deadline = math.inf
        """Upper limit in ms, on the node's clock, of the deadlines of requests that arrive from now on."""
        self.counters: Counter[str] = Counter()
        """Number of final responses to registered requests since the last report, by status.

        The node adds attempts and disconnected clients. Responses to invalid requests are not counted.
        """

    def add(self, client: ClientConnection, request: ClientRequest) -> RequestArrived:
        """Register a request under a new id and return the event for the policy."""
        self.last_request_id += 1
        request_id = client.request_id = self.last_request_id
        margin = min(RESPONSE_MARGIN_MS, RESPONSE_MARGIN_SHARE * request.timeout)
        deadline = min(request.received_at + request.timeout - margin, self.latest_deadline)
        self.pending[request_id] = TrackedRequest(client, request.message, deadline)
        return RequestArrived(
            request_id,
            request.class_index,
            deadline,
            request.key,
            request.tenant,
            request.cost_hint,
            request.is_client_retry,
        )

    def remove(self, request_id: int) -> TrackedRequest | None:
        """Remove a request without responding to it, and return it, or None if it was not pending."""
        return self.pending.pop(request_id, None)

    def respond(self, request_id: int, status: int, headers: bytes = b"") -> None:
        """Write a response with an empty body, if the request is still pending.

        ``headers`` holds additional header lines, each ending in CRLF.
        """
        pending = self.remove(request_id)
        if pending is not None:
            self.counters[f"responses {status}"] += 1
            pending.client.write_response(status, headers=headers)

    def forward_response(self, pending: TrackedRequest, response: UpstreamResponse) -> None:
        """Write the response of an upstream to a request that has been removed from the tracker."""
        self.counters[f"responses {response.status}"] += 1
        pending.client.write_response(response.status, response.body, response.content_type)
