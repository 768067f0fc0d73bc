"""Eligibility: combines all rules that can exclude an endpoint from an attempt.

``selection`` checks a few ready endpoints for each attempt, those of the node's subset first.
"""

from __future__ import annotations

from load_balancer.policy.outliers import OutlierDetector
from load_balancer.policy.pending_request import PendingRequest
from load_balancer.policy.retries import RetryPolicy
from load_balancer.policy.slow_start import SlowStart
from load_balancer.policy.staleness import StalenessGuard
from load_balancer.policy.tracked_endpoint import TrackedEndpoint


class Eligibility:
    """Checks an endpoint against each rule that can exclude it."""

    def __init__(
        self,
        outliers: OutlierDetector,
        staleness: StalenessGuard,
        slow_start: SlowStart,
        retries: RetryPolicy,
    ) -> None:
        # Bound methods are cached, since each request needs several checks.
        self._not_ejected = outliers.may_send
        self._allowed_while_stale = staleness.may_use
        self._warm_or_budgeted = slow_start.may_send
        self._repeat_allowed = retries.may_send_to

    def allows(self, tracked: TrackedEndpoint, request: PendingRequest, now: float) -> bool:
        """Return whether the next attempt of a request may go to an endpoint at ``now`` ms."""
        return (
            self._not_ejected(tracked, request.arrival.class_index, now)
            and not tracked.is_stalled(now)
            and self._allowed_while_stale(tracked, now)
            and self._warm_or_budgeted(tracked, now)
            and self._repeat_allowed(request, tracked.endpoint, now)
            and tracked.endpoint.id not in request.tried_endpoints
        )
