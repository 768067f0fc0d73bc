"""Outlier detection: temporarily ejects endpoints that fail more often than the others.

An endpoint is ejected for a request class or, if it sends no responses at all, for every class. After the
ejection it gets one attempt at a time until one succeeds.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from load_balancer.policy.endpoint_registry import EndpointRegistry
from load_balancer.policy.events import AttemptResult
from load_balancer.policy.failure_ratio import FleetFailureRatio
from load_balancer.policy.settings import Settings
from load_balancer.policy.tracked_endpoint import TrackedEndpoint
from load_balancer.policy.working_set import WorkingSet

BASE_RATIO_LIMIT = 0.4  # limit on the failure ratio while no others fail; an endpoint above it is an outlier
FLEET_RATIO_FACTOR = 3  # multiple of the fleet's unweighted failure ratio that is added to the limit
MAX_RATIO_LIMIT = 0.85  # highest limit on the failure ratio, however many endpoints fail
SUCCESS_DECAY = 0.7  # factor by which a success reduces the failure ratio
BASE_EJECTION_TIME = 2000.0  # ms; doubles with each recent ejection
MAX_DOUBLINGS = 4
# Maximum share of the ejection time that is added or subtracted at random, so that endpoints ejected together
# don't return together.
EJECTION_JITTER = 0.25
MAX_EJECTED_SHARE = 0.34  # share of the subset's endpoints; if more fail, the cause is not in them


@dataclass(slots=True, frozen=True)
class FailureGain:
    """Weights of one failure in the moving averages of an endpoint's failure ratios, 0 to 1."""

    same_class: float
    """Weight for the class of the request that failed."""
    other_classes: float
    """Weight for each of the other classes."""


ERROR_GAIN = FailureGain(0.5, 0.1)  # an error may concern only one class
NO_RESPONSE_GAIN = FailureGain(0.3, 0.0)  # other classes are covered by ``unanswered_ratio``
# A rejection is a sign of load, not of a fault. It still counts a little: an endpoint that rejects everything
# responds quickly and would otherwise attract traffic.
REJECTION_GAIN = FailureGain(0.1, 0.03)


class OutlierDetector:
    """Tracks failures by endpoint and request class, and ejects outliers.

    Args:
        settings: Node settings; if ``rejected_may_have_run``, a rejection counts as an error.
        rng: Source of random numbers.
        registry: Tracked endpoints, whose health the detector writes.
        working_set: Working set; only a share of its subset may be ejected.
        failures: Failure ratio of all endpoints together.
    """

    def __init__(
        self,
        settings: Settings,
        rng: random.Random,
        registry: EndpointRegistry,
        working_set: WorkingSet,
        failures: FleetFailureRatio,
    ) -> None:
        self._rejection_gain = ERROR_GAIN if settings.rejected_may_have_run else REJECTION_GAIN
        self._random = rng
        self._registry = registry
        self._working_set = working_set
        self._failures = failures

    @staticmethod
    def may_send(tracked: TrackedEndpoint, class_index: int, now: float) -> bool:
        """Return whether an endpoint may get an attempt of a class at ``now`` ms.

        It may not while it is ejected; afterwards, until a success, only if it has no attempt in flight.
        """
        ejected_until = tracked.class_health[class_index].ejected_until
        if ejected_until > now:
            return False
        return not ejected_until or not tracked.attempts

    @staticmethod
    def record_success(tracked: TrackedEndpoint, class_index: int) -> None:
        """Record a success, and end the ejection for its class.

        Ejections for other classes end too, unless the failure ratio of the class is above BASE_RATIO_LIMIT.
        """
        health = tracked.class_health[class_index]
        health.failure_ratio *= SUCCESS_DECAY
        health.recent_ejections //= 2
        tracked.unanswered_ratio *= SUCCESS_DECAY
        for other_health in tracked.class_health:
            if other_health is health or other_health.failure_ratio <= BASE_RATIO_LIMIT:
                other_health.ejected_until = 0.0

    def record_failure(
        self, tracked: TrackedEndpoint, class_index: int, result: AttemptResult, weight: float, now: float
    ) -> None:
        """Record a failure, and eject the endpoint if it is an outlier.

        Args:
            tracked: The endpoint.
            class_index: Class of the request that failed.
            result: How the attempt failed.
            weight: Weight of a reset, 0 to 1; not used for other failures.
            now: Time on the policy's clock, ms.
        """
        gain = self._gain_of(result)
        # An early reset weighs less, as only the connection may have failed. If the process has died, it
        # refuses the next connection, which weighs in full.
        scale = weight if result is AttemptResult.RESET else 1.0
        same_class, other_classes = gain.same_class * scale, gain.other_classes * scale
        if gain is NO_RESPONSE_GAIN:
            tracked.unanswered_ratio += same_class * (1.0 - tracked.unanswered_ratio)
        limit = min(BASE_RATIO_LIMIT + FLEET_RATIO_FACTOR * self._failures.unweighted_ratio, MAX_RATIO_LIMIT)
        for index, health in enumerate(tracked.class_health):
            class_gain = same_class if index == class_index else other_classes
            health.failure_ratio += class_gain * (1.0 - health.failure_ratio)
            if max(health.failure_ratio, tracked.unanswered_ratio) > limit and health.ejected_until <= now:
                self._eject(tracked, index, now)

    def _gain_of(self, result: AttemptResult) -> FailureGain:
        if result is AttemptResult.REJECTED:
            return self._rejection_gain
        return ERROR_GAIN if result is AttemptResult.ERROR else NO_RESPONSE_GAIN

    def _eject(self, tracked: TrackedEndpoint, class_index: int, now: float) -> None:
        subset = self._working_set.subset
        if self._ejected_count(class_index, now) >= MAX_EJECTED_SHARE * subset.size:
            return
        health = tracked.class_health[class_index]
        doublings = min(health.recent_ejections, MAX_DOUBLINGS)
        jitter = (1.0 - EJECTION_JITTER) + 2 * EJECTION_JITTER * self._random.random()
        health.ejected_until = now + BASE_EJECTION_TIME * 2**doublings * jitter
        health.recent_ejections += 1

    def _ejected_count(self, class_index: int, now: float) -> int:
        """Return the number of endpoints of the subset that are ejected for a class at ``now`` ms."""
        endpoints = map(self._registry.get, self._working_set.subset.ids)
        return sum(t is not None and t.class_health[class_index].ejected_until > now for t in endpoints)
