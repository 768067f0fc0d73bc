"""Slow start: limits the attempts of all nodes together at an endpoint that has just started.

Each node has a budget for such an endpoint, similar to a token bucket. The budget earns attempts at the
node's share of the response rate of a warm endpoint (an endpoint at full capacity), multiplied by the
starting endpoint's current share of its full capacity. An unused attempt expires: otherwise
many nodes could save attempts up and send them all at once.
"""

from __future__ import annotations

import math

from load_balancer.policy.concurrency import ConcurrencyEstimator
from load_balancer.policy.endpoints import Endpoint
from load_balancer.policy.latency import LatencyEstimator
from load_balancer.policy.settings import Settings
from load_balancer.policy.slow_start_budget import SlowStartBudget
from load_balancer.policy.tracked_endpoint import TrackedEndpoint
from load_balancer.policy.working_set import WorkingSet

# Share of an endpoint's current capacity that attempts may use: requests cost more while its cache is cold.
CAPACITY_SHARE_USED = 0.8
OVERLOAD_FACTOR_SHARE_USED = 0.5  # share of the overload factor that all nodes together may use
MIN_EXPECTED_ATTEMPTS = 1e-9  # avoids division by zero if no attempts are earned
MIN_BUDGET_LIFETIME = 0.25  # shortest lifetime of an earned attempt, as a share of the overload window


class SlowStart:
    """Computes the capacity of endpoints in slow start, and manages this node's budgets for them."""

    def __init__(
        self,
        settings: Settings,
        latency: LatencyEstimator,
        concurrency: ConcurrencyEstimator,
        working_set: WorkingSet,
    ) -> None:
        self._settings = settings
        self._latency = latency
        self._concurrency = concurrency
        self._working_set = working_set

    def capacity_share(self, endpoint: Endpoint, now: float) -> float:
        """Return a lower bound of an endpoint's share of its full capacity at ``now`` ms, 0 to 1."""
        if not endpoint.started_at:
            return 1.0
        settings = self._settings
        age = max(0.0, now - endpoint.started_at)
        if age >= settings.slow_start_duration:
            return 1.0
        initial = settings.slow_start_initial
        return initial + (1.0 - initial) * age / settings.slow_start_duration

    def may_send(self, tracked: TrackedEndpoint, now: float) -> bool:
        """Return whether an endpoint is warm, or its budget has an earned attempt left at ``now`` ms.

        Attempts earned up to ``now`` are added to the budget. If the attempt is used, ``attempt_sent`` must
        be called with the same ``now``.
        """
        capacity = self.capacity_share(tracked.endpoint, now)
        return capacity >= 1.0 or self._accrue_and_check(tracked.slow_start, capacity, now)

    def attempt_sent(self, tracked: TrackedEndpoint, now: float) -> None:
        """Take an attempt from the budget of an endpoint, if it is in slow start."""
        if self.capacity_share(tracked.endpoint, now) < 1.0:
            budget = tracked.slow_start
            # Rounding down also drops the fraction of the next attempt that has been earned.
            budget.earned_attempts = budget.earned_at_last_send = int(budget.earned_attempts)

    def _accrue_and_check(self, budget: SlowStartBudget, capacity: float, now: float) -> bool:
        rate = self._earning_rate(capacity)
        budget.earned_attempts += rate * (now - budget.updated_at)
        budget.updated_at = now
        whole_attempts = int(budget.earned_attempts)
        # The fraction beyond the whole attempts shows how long ago the last of them was earned.
        return (
            whole_attempts > budget.earned_at_last_send
            and budget.earned_attempts - whole_attempts <= rate * self._lifetime(rate)
        )

    def _earning_rate(self, capacity: float) -> float:
        """Return the attempts per ms that this node earns at an endpoint with this share of its capacity."""
        # The rate is based on responses, since many of the attempts sent may fail. A new node, which has no
        # responses yet, starts with its share of the rate at which one request at a time is served.
        sequential_rate = 1.0 / self._settings.node_count / max(self._latency.typical_latencies)
        warm_rate = max(self._concurrency.peak_goodput_per_endpoint, sequential_rate)
        working_set = self._working_set
        return CAPACITY_SHARE_USED * capacity * warm_rate * working_set.ready_count / working_set.subset.size

    def _lifetime(self, rate: float) -> float:
        """Return the time in ms for which an earned attempt can be used.

        All nodes together earn ``expected`` attempts at an endpoint per overload window, and may send their
        unused attempts at once in addition. The lifetime limits the total in a window to
        max(base_limit, expected) + sqrt(base_limit) + 1. An endpoint is assumed to withstand a random
        variation of two standard deviations and 2 attempts; the limit uses half of that. ``base_limit`` uses
        only OVERLOAD_FACTOR_SHARE_USED of the overload factor, since the nodes' peak rates add up to more
        than the fleet ever served at once. The lifetime is at least MIN_BUDGET_LIFETIME overload windows,
        even if the total is then larger.
        """
        settings, working_set = self._settings, self._working_set
        window = settings.slow_start_overload_window
        expected = rate * settings.node_count * working_set.subset.size / working_set.ready_count * window
        base_limit = expected * settings.slow_start_overload_factor * OVERLOAD_FACTOR_SHARE_USED
        # The square root is the standard deviation of the number of attempts, if they are independent.
        allowance = max(base_limit - expected, 0.0) + math.sqrt(base_limit) + 1
        return window * max(MIN_BUDGET_LIFETIME, allowance / max(expected, MIN_EXPECTED_ATTEMPTS))
