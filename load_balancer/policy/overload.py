"""Overload of the endpoints, 0 to 1: the larger of an estimate from failures and one from concurrency."""

from __future__ import annotations

from load_balancer.policy.concurrency import ConcurrencyEstimator
from load_balancer.policy.events import AttemptResult
from load_balancer.policy.failure_ratio import FleetFailureRatio
from load_balancer.policy.fleet_capacity import FleetCapacity

UPDATE_INTERVAL = 50.0  # minimum ms between updates before time scaling; arriving requests trigger them
LOW_FAILURE_RATIO = 0.1  # failure ratio at which overload begins
HIGH_FAILURE_RATIO = 0.4  # failure ratio at which overload is 1
LOW_UTILIZATION = 1.0  # attempts in flight / required concurrency at which overload begins
HIGH_UTILIZATION = 1.5  # attempts in flight / required concurrency at which overload is 1
AVERAGING_TIME = 4000.0  # ms; the moving averages' window is AVERAGING_TIME / required concurrency
MIN_AVERAGING_UPDATES = 4  # minimum window of the moving averages, in update intervals
MAX_AVERAGING_UPDATES = 100  # maximum window of the moving averages, in update intervals
REJECTION_FAILURE_FACTOR = 2  # minimum weight of a rejection, as a multiple of the unweighted failure ratio
# Weight of an error or reset whose elapsed time equals the typical latency. The weight is proportional to the
# time since the attempt was sent, at most 1, as an early failure has put less load on the endpoint.
ERROR_WEIGHT = 0.5


class OverloadEstimator:
    """Estimates the overload of all endpoints from this node's own attempts.

    Args:
        time_scale: Factor on the time constants.
    """

    def __init__(self, time_scale: float) -> None:
        self._time_scale = time_scale
        self.failures = FleetFailureRatio(time_scale)
        self.concurrency = ConcurrencyEstimator(time_scale)
        self.value = 0.0
        """Overload, 0 to 1. Read-only outside this class."""
        self.in_flight = 0
        """Number of attempts without a result. Read-only outside this class."""
        self.average_in_flight = 0.0
        """Moving average of ``in_flight`` less lost attempts. Read-only outside this class."""
        self._sent_since_update = 0
        self._send_rate = 0.0  # attempts per ms, moving average

    def attempt_sent(self) -> None:
        """Count an attempt as in flight."""
        self.in_flight += 1
        self._sent_since_update += 1

    def attempt_ended(self) -> None:
        """Remove an attempt from the count of attempts in flight."""
        self.in_flight -= 1

    def record_result(self, result: AttemptResult, elapsed: float, typical_latency: float) -> float:
        """Record the result of an attempt.

        Args:
            result: Result of the attempt.
            elapsed: Time in ms since the attempt was sent.
            typical_latency: Typical latency of the request class in ms.

        Returns:
            Weight of a failure as a sign of overload, 0 to 1; it has no meaning for a success.
        """
        weight = self._failure_weight(result, elapsed, typical_latency)
        self.failures.record(result is not AttemptResult.SUCCESS, weight)
        return weight

    def _failure_weight(self, result: AttemptResult, elapsed: float, typical_latency: float) -> float:
        """Return a failure's weight as a sign of overload: 0 if it put no load on an endpoint, at most 1."""
        if result is AttemptResult.CONNECT_FAILED:
            return 0.0
        if result in (AttemptResult.ERROR, AttemptResult.RESET):
            return min(1.0, ERROR_WEIGHT * elapsed / typical_latency)
        lowest_latency = self.concurrency.lowest_mean_latency
        if result is AttemptResult.REJECTED and lowest_latency:
            # Full queues come with slow responses or many failures; other rejections have another cause.
            slowdown = self.concurrency.mean_latency / lowest_latency - 1.0
            return min(1.0, max(slowdown, REJECTION_FAILURE_FACTOR * self.failures.unweighted_ratio))
        return 1.0

    def update(self, elapsed: float, lost_attempts: int, capacity: FleetCapacity) -> None:
        """Recompute the overload.

        Args:
            elapsed: Time in ms since the last update.
            lost_attempts: Number of attempts in flight that put no load on any endpoint.
            capacity: Capacity of the fleet.
        """
        self._update_averages(elapsed, lost_attempts)
        self.failures.decay(elapsed)
        self.concurrency.update(elapsed, self.average_in_flight, self._send_rate, self.failures, capacity)
        by_failures = (self.failures.value - LOW_FAILURE_RATIO) / (HIGH_FAILURE_RATIO - LOW_FAILURE_RATIO)
        utilization = self.average_in_flight / self.concurrency.required
        by_concurrency = (utilization - LOW_UTILIZATION) / (HIGH_UTILIZATION - LOW_UTILIZATION)
        self.value = min(max(by_failures, by_concurrency, 0.0), 1.0)

    def describe(self) -> str:
        """Format the measurements behind the overload value for the log."""
        return (
            f"overload {self.value:.2f}, failure ratio {self.failures.value:.2f}, "
            f"{self.average_in_flight:.1f} attempts in flight of {self.concurrency.required:.1f} required"
        )

    def _update_averages(self, elapsed: float, lost_attempts: int) -> None:
        # Few attempts in flight vary by chance: the lower the concurrency, the longer the averaging window.
        window = max(AVERAGING_TIME / self.concurrency.required, MIN_AVERAGING_UPDATES * UPDATE_INTERVAL)
        window = min(window, MAX_AVERAGING_UPDATES * UPDATE_INTERVAL) * self._time_scale
        gain = min(1.0, elapsed / window)
        self.average_in_flight += (self.in_flight - lost_attempts - self.average_in_flight) * gain
        self._send_rate += (self._sent_since_update / max(elapsed, 1.0) - self._send_rate) * gain
        self._sent_since_update = 0
