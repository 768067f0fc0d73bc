"""Attempts of a request: how many, how long, where a retry is safe, and whether the client may retry.

A failed attempt is retried if all of these hold: a random draw allows it, which is less likely under overload
or while connections fail (``should_retry``); attempts are left (``has_attempts_left``); time is left
(``latest_start``); an endpoint is eligible that was not tried before and at which the request class allows a
repeat (``may_send_to``).
"""

from __future__ import annotations

import random

from load_balancer.policy.endpoints import Endpoint
from load_balancer.policy.events import NEVER_RAN, AttemptResult
from load_balancer.policy.pending_request import PendingRequest, PossibleRun
from load_balancer.policy.settings import DeduplicationScope, Idempotency, Settings

OVERDUE_FACTOR = 4.0  # multiple of the typical latency after which an attempt is overdue
COST_HINT_FACTOR = 2  # in early timeouts, this multiple of the cost hint replaces a shorter typical latency
MIN_ATTEMPT_TICKS = 2  # shortest expected duration of an attempt, in clock ticks
MIN_LATENCY_SHARE = 0.5  # shortest expected duration of an attempt, as a share of the typical latency
CONNECT_FAILURE_GAIN = 0.1  # weight of a new attempt in the moving average of failed connections


class RetryPolicy:
    """Decides how often, when and where a request is attempted.

    Args:
        settings: Node settings, chiefly the request classes and the limits on attempts.
        rng: Source of random numbers.
    """

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self._settings = settings
        self._random = rng
        self._never_ran = NEVER_RAN
        if settings.rejected_may_have_run:
            self._never_ran = NEVER_RAN - {AttemptResult.REJECTED}
        self._connect_failures = 0.0  # share of attempts without a connection, moving average, 0 to 1

    def useful_until(self, request: PendingRequest) -> float:
        """Return the time on the policy's clock, ms, after which a response has no value."""
        request_class = self._settings.classes[request.arrival.class_index]
        if request_class.late_weight:
            return request.arrival.deadline
        return min(request.arrival.deadline, request.arrived_at + request_class.latency_objective)

    def latest_start(self, request: PendingRequest, typical_latency: float, requests_ahead: int) -> float:
        """Return the latest time in ms at which an attempt can start and still be answered in time.

        Args:
            request: The request.
            typical_latency: Typical latency of the request's class, ms.
            requests_ahead: Number of requests of the same key that run before it.
        """
        # This includes the time in the queue, so a request that can't be served in time is rejected at once,
        # not at its deadline.
        queue_time = (MIN_LATENCY_SHARE + requests_ahead) * typical_latency
        return self.useful_until(request) - max(
            queue_time, request.arrival.cost_hint, MIN_ATTEMPT_TICKS * self._settings.tick
        )

    def has_attempts_left(self, request: PendingRequest) -> bool:
        """Return whether the number of attempts allows another one."""
        return request.attempts_sent < self._settings.max_attempts

    @staticmethod
    def attempt_sent(request: PendingRequest, endpoint: Endpoint, now: float) -> None:
        """Record an attempt that is sent to an endpoint at ``now`` ms."""
        number = request.attempts_sent
        request.attempts_in_flight.add(number)
        request.possible_runs[number] = PossibleRun(now, endpoint)
        request.tried_endpoints.append(endpoint.id)
        request.attempts_sent = number + 1

    def attempt_ended(self, request: PendingRequest, attempt: int, result: AttemptResult) -> None:
        """Record the end of an attempt, and whether the endpoint may have executed the request."""
        request.attempts_in_flight.discard(attempt)
        if result in self._never_ran:
            request.possible_runs.pop(attempt, None)

    def timeout(self, request: PendingRequest, typical_latency: float, congested: bool, now: float) -> float:
        """Return the timeout in ms of the attempt that was just recorded.

        An attempt that takes far longer than is typical, and than its cost hint explains, is probably lost.
        If a retry is possible, such an attempt times out early: the request is then delayed but doesn't fail.
        In a congested fleet most attempts take long, and retries would add to the congestion.

        Args:
            request: The request.
            typical_latency: Typical latency of the request's class, ms.
            congested: Whether the fleet is congested.
            now: Time on the policy's clock, ms.
        """
        remaining = self.useful_until(request) - now
        request_class = self._settings.classes[request.arrival.class_index]
        retryable = request_class.idempotency is not Idempotency.NOT_IDEMPOTENT
        if not retryable or not self.has_attempts_left(request) or congested:
            return remaining
        early_timeout = OVERDUE_FACTOR * max(typical_latency, COST_HINT_FACTOR * request.arrival.cost_hint)
        return early_timeout if early_timeout + typical_latency < remaining else remaining

    def record_connection(self, failed: bool) -> None:
        """Record whether an attempt failed to get a connection."""
        self._connect_failures += CONNECT_FAILURE_GAIN * (failed - self._connect_failures)

    def should_retry(self, overload: float) -> bool:
        """Return whether to retry a failed attempt, drawn at random.

        The higher the overload or the share of failed connections, the less likely is a retry.

        Args:
            overload: Overload of the fleet, 0 to 1.
        """
        return self._random.random() >= max(overload, self._connect_failures)

    def may_send_to(self, request: PendingRequest, endpoint: Endpoint, now: float) -> bool:
        """Return whether the class allows an attempt at an endpoint at ``now`` ms, given earlier attempts."""
        if not request.possible_runs:
            return True
        request_class = self._settings.classes[request.arrival.class_index]
        if request_class.idempotency is not Idempotency.KEYED:
            return request_class.idempotency is Idempotency.IDEMPOTENT
        # Latest time at which the attempt is written to the connection, if one has to be opened first.
        latest_write_at = now + self._settings.connect_timeout + self._settings.tick
        scope = request_class.deduplication_scope
        return all(
            latest_write_at - run.sent_at < request_class.deduplication_window
            and (scope is not DeduplicationScope.ZONE or run.endpoint.zone == endpoint.zone)
            and (scope is not DeduplicationScope.CELL or run.endpoint.cell == endpoint.cell)
            for run in request.possible_runs.values()
        )

    def is_rejectable(self, request: PendingRequest) -> bool:
        """Return whether it is safe for the client to send the request again, so that it can be rejected."""
        if not request.possible_runs:
            return True
        request_class = self._settings.classes[request.arrival.class_index]
        if request_class.idempotency is Idempotency.KEYED:
            return request_class.deduplication_scope is DeduplicationScope.ALL
        return request_class.idempotency is Idempotency.IDEMPOTENT
