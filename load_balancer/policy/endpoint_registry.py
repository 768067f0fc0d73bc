"""The endpoints that a node knows: the whole endpoint list, and the state of the endpoints that it uses."""

from __future__ import annotations

from collections.abc import Collection, Iterator

from load_balancer.policy.endpoint_table import EndpointTable
from load_balancer.policy.endpoints import Endpoint, EndpointState
from load_balancer.policy.events import AttemptEnded, AttemptResult
from load_balancer.policy.pending_request import PendingRequest
from load_balancer.policy.settings import Settings
from load_balancer.policy.slow_start_budget import initial_budget
from load_balancer.policy.tracked_endpoint import AttemptInFlight, ClassHealth, TrackedEndpoint

# Limit on the tracked endpoints outside the subset; above it, those without attempts in flight are dropped.
MAX_TRACKED_OUTSIDE_SUBSET = 4000


class EndpointRegistry:
    """Owns the endpoint table and the tracked endpoints with their attempts in flight."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self.table = EndpointTable(settings)
        self._tracked: dict[int, TrackedEndpoint] = {}
        self._busy: dict[int, TrackedEndpoint] = {}  # endpoints with attempts in flight, by id

    def __iter__(self) -> Iterator[TrackedEndpoint]:
        return iter(self._tracked.values())

    def __len__(self) -> int:
        return len(self._tracked)

    def get(self, endpoint_id: int) -> TrackedEndpoint | None:
        """Return a tracked endpoint, or None if it is not tracked."""
        return self._tracked.get(endpoint_id)

    def get_or_track(self, endpoint_id: int, now: float) -> TrackedEndpoint:
        """Return an endpoint of the endpoint list, and start to track it if it is not tracked yet.

        Args:
            endpoint_id: Id of the endpoint.
            now: Time on the policy's clock, ms.

        Raises:
            KeyError: The endpoint is not in the endpoint list.
        """
        tracked = self._tracked.get(endpoint_id)
        if tracked is None:
            entry = self.table.get(endpoint_id)
            if entry is None:
                raise KeyError(endpoint_id)
            tracked = self._tracked[endpoint_id] = self._create(entry, now)
        return tracked

    def _create(self, entry: Endpoint, now: float) -> TrackedEndpoint:
        health = [ClassHealth() for _ in self._settings.classes]
        return TrackedEndpoint(entry, initial_budget(entry.id, self._settings.node_index, now), health)

    def apply_entry(self, entry: Endpoint, now: float) -> None:
        """Apply one entry of an endpoint update at ``now`` ms."""
        self.table.put(entry)
        tracked = self._tracked.get(entry.id)
        if tracked is None:
            return
        if tracked.endpoint.started_at != entry.started_at:
            # The endpoint was restarted: keep the attempts in flight, discard all that was measured.
            attempts = tracked.attempts
            tracked = self._tracked[entry.id] = self._create(entry, now)
            tracked.attempts = attempts
            if attempts:
                self._busy[entry.id] = tracked
        tracked.endpoint = entry
        self._drop_if_removed(tracked)

    def attempt_sent(
        self, request: PendingRequest, tracked: TrackedEndpoint, now: float, overdue_at: float
    ) -> None:
        """Add an attempt to the attempts in flight at an endpoint.

        Must be called before ``request.attempts_sent`` is increased, since that is the attempt's number.

        Args:
            request: The request.
            tracked: The endpoint.
            now: Time at which the attempt is sent, ms on the policy's clock.
            overdue_at: Time from which the attempt is overdue, ms.
        """
        key = (request.arrival.request_id, request.attempts_sent)
        tracked.attempts[key] = AttemptInFlight(request, now, overdue_at)
        self._busy[tracked.endpoint.id] = tracked

    def attempt_ended(self, tracked: TrackedEndpoint, event: AttemptEnded) -> AttemptInFlight | None:
        """Remove an attempt that has ended from the attempts in flight.

        Returns:
            The attempt, or None if its end was reported before.
        """
        attempt = tracked.attempts.pop((event.request_id, event.attempt), None)
        if attempt is None:
            return None
        if not tracked.attempts:
            self._busy.pop(event.endpoint_id, None)
        if event.result in (AttemptResult.SUCCESS, AttemptResult.ERROR):
            tracked.latest_answered_send_time = max(tracked.latest_answered_send_time, attempt.sent_at)
        elif event.result is AttemptResult.REJECTED:
            tracked.latest_rejected_send_time = max(tracked.latest_rejected_send_time, attempt.sent_at)
        self._drop_if_removed(tracked)
        return attempt

    def _drop_if_removed(self, tracked: TrackedEndpoint) -> None:
        # No other endpoint gets the id of a removed one, so the removed one is only needed for the
        # results of its attempts.
        if tracked.endpoint.state is EndpointState.REMOVED and not tracked.attempts:
            self._tracked.pop(tracked.endpoint.id, None)

    def lost_attempts(self, now: float) -> int:
        """Return the number of lost attempts at all endpoints, as in ``TrackedEndpoint.lost_attempts``."""
        return sum(tracked.lost_attempts(now) for tracked in self._busy.values())

    def trim(self, subset: Collection[int]) -> None:
        """Stop tracking endpoints outside the subset without attempts in flight, if too many are tracked."""
        if len(self._tracked) <= len(subset) + MAX_TRACKED_OUTSIDE_SUBSET:
            return
        subset_ids = set(subset)
        self._tracked = {i: t for i, t in self._tracked.items() if i in subset_ids or t.attempts}
