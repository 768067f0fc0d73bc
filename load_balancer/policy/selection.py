"""Endpoint selection: an idle endpoint of a random sample, else the less loaded of two.

The fallback is known as the power of two choices. A node sees only its own attempts, so an endpoint counts as
idle while its recent attempts and attempts in flight from this node are few for its relative capacity.
"""

from __future__ import annotations

import random
from collections.abc import Iterator

from load_balancer.policy.affinity import KeyAffinity
from load_balancer.policy.eligibility import Eligibility
from load_balancer.policy.endpoint_registry import EndpointRegistry
from load_balancer.policy.fleet_capacity import FleetCapacity
from load_balancer.policy.pending_request import PendingRequest
from load_balancer.policy.settings import Settings
from load_balancer.policy.slow_start import SlowStart
from load_balancer.policy.tracked_endpoint import TrackedEndpoint
from load_balancer.policy.working_set import WorkingSet

# If no examined endpoint is idle, the less loaded of the first COMPARED_ENDPOINTS eligible ones is used.
COMPARED_ENDPOINTS = 2
SAMPLE_SIZE = 6  # endpoints sampled in search of an idle one
# Load below which an endpoint counts as idle. An endpoint of typical latency without attempts or failures has
# a load of 1. At mean relative capacity, the limit allows it no attempt in flight, and up to 2.3 times an
# even share of the recent attempts.
IDLE_LOAD = 2.15
RECENT_WEIGHT = 0.5  # weight of an endpoint's recent attempts (in multiples of an even share) in its load
IN_FLIGHT_WEIGHT = 4  # weight of each attempt in flight at an endpoint in its load
MIN_RELATIVE_CAPACITY = 1e-6  # avoids division by zero for an endpoint with weight 0
LATENCY_GAIN = 0.4  # weight of a new response in the mean relative latency of an endpoint
INITIAL_ATTEMPTS = 1e-9  # recent attempts at the start; avoids division by zero


class EndpointSelector:
    """Selects the endpoint for each attempt."""

    def __init__(
        self,
        settings: Settings,
        rng: random.Random,
        registry: EndpointRegistry,
        working_set: WorkingSet,
        capacity: FleetCapacity,
        affinity: KeyAffinity,
        slow_start: SlowStart,
        eligibility: Eligibility,
    ) -> None:
        self._zone = settings.zone
        self._uses_affinity = settings.endpoints_cache_keys
        self._random = rng
        self._registry = registry
        self._working_set = working_set
        self._capacity = capacity
        self._affinity = affinity
        self._slow_start = slow_start
        self._eligibility = eligibility
        self._recent_attempts = INITIAL_ATTEMPTS

    def attempt_sent(self, tracked: TrackedEndpoint) -> None:
        """Add an attempt to the load of its endpoint."""
        tracked.recent_attempts += 1
        self._recent_attempts += 1

    @staticmethod
    def record_latency(tracked: TrackedEndpoint, relative_latency: float) -> None:
        """Add a latency, given as a multiple of the typical one, to an endpoint's mean relative latency."""
        tracked.mean_relative_latency += LATENCY_GAIN * (relative_latency - tracked.mean_relative_latency)

    def halve_counts(self) -> None:
        """Halve the attempt counts, and move each mean relative latency halfway back to 1."""
        self._recent_attempts /= 2
        for tracked in self._registry:
            tracked.recent_attempts /= 2
            tracked.mean_relative_latency = (1 + tracked.mean_relative_latency) / 2

    def pick(self, request: PendingRequest, now: float) -> TrackedEndpoint | None:
        """Return the endpoint for a request's next attempt at ``now`` ms, or None if none is eligible."""
        return self._idle_in_own_zone(request, now) or self._idle_or_less_loaded(request, now)

    def _idle_in_own_zone(self, request: PendingRequest, now: float) -> TrackedEndpoint | None:
        own_zone_ids = self._working_set.own_zone_ids
        for endpoint_id in self._random.sample(own_zone_ids, min(SAMPLE_SIZE, len(own_zone_ids))):
            tracked = self._registry.get_or_track(endpoint_id, now)
            warm = self._slow_start.capacity_share(tracked.endpoint, now) >= 1.0
            if not warm or not self._eligibility.allows(tracked, request, now):
                continue
            # Recent attempts are ignored: crossing zones costs more than using a busier endpoint.
            if self._load(tracked, request, now, recent_weight=0.0) < IDLE_LOAD:
                return tracked
        return None

    def _idle_or_less_loaded(self, request: PendingRequest, now: float) -> TrackedEndpoint | None:
        # If the subset is not the whole fleet, this node sends each endpoint enough attempts to recognize
        # whether it is idle, so the node examines more endpoints in search of an idle one.
        is_subset = self._working_set.subset.size != self._working_set.ready_count
        max_eligible = SAMPLE_SIZE if is_subset else COMPARED_ENDPOINTS
        chosen, chosen_load, eligible_count = None, 0.0, 0
        for endpoint_id in self._candidates(request.arrival.key, now):
            tracked = self._registry.get_or_track(endpoint_id, now)
            if tracked is chosen or not self._eligibility.allows(tracked, request, now):
                continue  # the candidates can contain an endpoint twice
            load = self._load(tracked, request, now, RECENT_WEIGHT)
            eligible_count += 1
            if load < IDLE_LOAD:
                return tracked
            if chosen is None or (eligible_count == COMPARED_ENDPOINTS and load < chosen_load):
                chosen, chosen_load = tracked, load
            if eligible_count == max_eligible:
                break
        return chosen

    def _load(
        self, tracked: TrackedEndpoint, request: PendingRequest, now: float, recent_weight: float
    ) -> float:
        """Return an endpoint's load, from this node's attempts, its mean relative latency and its failures.

        An endpoint of typical latency without attempts or failures has a load of 1. ``recent_weight`` is the
        weight of its recent attempts, which are counted in multiples of an even share.
        """
        recent = recent_weight * (
            tracked.recent_attempts * self._working_set.subset.size / self._recent_attempts
        )
        in_flight = len(tracked.attempts) - tracked.lost_attempts(now)
        relative_capacity = max(self._capacity.relative_capacity(tracked.endpoint), MIN_RELATIVE_CAPACITY)
        attempt_load = (recent + IN_FLIGHT_WEIGHT * in_flight) / relative_capacity
        failures = tracked.failure_ratio(request.arrival.class_index)
        return (
            (1 + attempt_load * self._capacity.mean_relative_capacity)
            * tracked.mean_relative_latency
            * (1 + failures)
        )

    def _candidates(self, key: int, now: float) -> Iterator[int]:
        """Yield the ids of endpoints in the order in which to examine them."""
        subset = self._working_set.subset
        if key and self._uses_affinity and subset.candidates:
            yield from self._affinity.candidates(key)
        yield from self._sample(now)
        # If these don't suffice, all candidates follow, from a random endpoint of the subset on.
        start = subset.start + int(self._random.random() * subset.size)
        yield from subset.candidates[start:] + subset.candidates[:start]

    def _sample(self, now: float) -> list[int]:
        """Sample ids of the subset, with replacement.

        Endpoints in this node's zone come first, even if crossing zones has no cost. (If crossing
        zones has a cost and endpoints don't cache keys, ``_idle_in_own_zone`` has already searched the zone
        for an idle endpoint.) Inside and outside the zone, endpoints with more capacity are more likely to
        come first.
        """
        ids, size = self._working_set.subset.ids, self._working_set.subset.size
        sampled = [ids[int(self._random.random() * size)] for _ in range(SAMPLE_SIZE) if ids]
        sort_keys: dict[int, tuple[bool, bool]] = {}
        for endpoint_id in sampled:
            endpoint = self._registry.get_or_track(endpoint_id, now).endpoint
            deferred = self._random.random() > self._capacity.relative_capacity(endpoint)
            sort_keys[endpoint_id] = (endpoint.zone != self._zone, deferred)
        return sorted(sampled, key=sort_keys.__getitem__)
