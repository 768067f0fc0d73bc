"""What a node knows of one endpoint: its entry in the endpoint list and measurements of this node's attempts.

Each field of a tracked endpoint is written only by the module that its docstring names.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from load_balancer.policy.endpoints import Endpoint
from load_balancer.policy.pending_request import PendingRequest
from load_balancer.policy.slow_start_budget import SlowStartBudget

AttemptKey = tuple[int, int]
"""The request id, and the number of the attempt among those of its request."""


@dataclass(slots=True)
class AttemptInFlight:
    """An attempt that has no result yet. Times are in ms on the policy's clock."""

    request: PendingRequest
    sent_at: float
    overdue_at: float
    """Time from which the attempt has taken far longer than is typical."""


@dataclass(slots=True)
class ClassHealth:
    """Health of an endpoint for one request class; written by outliers."""

    failure_ratio: float = 0.0
    """Moving average of failures, 0 to 1."""
    ejected_until: float = 0.0
    """Time in ms until which the endpoint is ejected.

    Afterwards it gets one attempt at a time until one succeeds. 0 if it is neither ejected nor limited
    in this way.
    """
    recent_ejections: int = 0
    """Number of ejections; halved by each success."""


@dataclass(slots=True)
class TrackedEndpoint:
    """An endpoint that the node uses or has used recently."""

    endpoint: Endpoint
    """Written by endpoint_registry."""
    slow_start: SlowStartBudget
    """Written by slow_start."""
    class_health: list[ClassHealth]
    """Health by request class; written by outliers."""
    attempts: dict[AttemptKey, AttemptInFlight] = field(default_factory=dict)
    """Attempts without a result; written by endpoint_registry."""
    latest_answered_send_time: float = 0.0
    """Latest send time in ms of the attempts that got a success or an error as their response.

    Written by endpoint_registry.
    """
    latest_rejected_send_time: float = 0.0
    """Latest send time in ms of the attempts that were rejected; written by endpoint_registry."""
    unanswered_ratio: float = 0.0
    """Moving share of attempts without a response, over all classes, 0 to 1; written by outliers."""
    recent_attempts: float = 0.0
    """Decayed count of this node's attempts; written by selection."""
    mean_relative_latency: float = 1.0
    """Moving average of latencies, as multiples of the typical one; written by selection.

    The typical latency is that of the request class and the machine type.
    """

    def failure_ratio(self, class_index: int) -> float:
        """Return the recent failure ratio for a class, 0 to 1.

        Attempts without a response count for every class.
        """
        return max(self.class_health[class_index].failure_ratio, self.unanswered_ratio)

    def lost_attempts(self, now: float) -> int:
        """Return the number of overdue attempts that were sent before one that has been answered.

        They are lost or need far more work than most, and don't count as load on the endpoint.
        """
        if not self.attempts:
            return 0  # fast path: runs for every request
        answered = self.latest_answered_send_time
        return sum(a.sent_at < answered and a.overdue_at < now for a in self.attempts.values())

    def answered_later_than(self, attempt: AttemptInFlight) -> bool:
        """Return whether an attempt that was sent after this one has been answered."""
        return attempt.sent_at < self.latest_answered_send_time

    def is_stalled(self, now: float) -> bool:
        """Return whether the endpoint hangs or pauses: an attempt is overdue, with no later one answered."""
        if not self.attempts:
            return False  # fast path: runs for every request
        answered = self.latest_answered_send_time
        return any(a.overdue_at < now and a.sent_at >= answered for a in self.attempts.values())
