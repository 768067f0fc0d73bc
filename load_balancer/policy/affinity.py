"""Key affinity: sends requests with the same key to the same endpoints, which cache the data of that key.

Keys are mapped to endpoints by a consistent hash ring.
"""

from __future__ import annotations

import random
from bisect import bisect
from collections.abc import Iterator

from load_balancer.policy.endpoint_registry import EndpointRegistry
from load_balancer.policy.fleet_capacity import FleetCapacity
from load_balancer.policy.hashing import MASK_64, hash64
from load_balancer.policy.working_set import WorkingSet

POINTS_PER_ENDPOINT = 16  # ring points (virtual nodes) at relative capacity 1, plus one for every endpoint
# A key has 1 + int(REPLICAS_PER_SHARE * s * subset size) replicas; s is its share of the requests with a key.
REPLICAS_PER_SHARE = 2.0
POINT_STRIDE = 1000003  # keeps the hash inputs of different endpoints' points distinct
REPLICA_STRIDE = 0x632BE59BD9B4E019  # keeps the hash inputs of a key's replicas distinct
MIN_COUNT = 0.5  # decayed number of requests at or below which a key is forgotten
INITIAL_REQUESTS = 1e-9  # requests with a key at the start; avoids division by zero


class KeyAffinity:
    """Maps keys to endpoints of the subset."""

    def __init__(
        self, rng: random.Random, registry: EndpointRegistry, working_set: WorkingSet, capacity: FleetCapacity
    ) -> None:
        self._random = rng
        self._registry = registry
        self._working_set = working_set
        self._capacity = capacity
        self._ring: list[tuple[int, int]] = []  # (hash, endpoint id), sorted
        self._counts: dict[int, float] = {}  # decayed requests by key
        self._total_count = INITIAL_REQUESTS

    def record(self, key: int) -> None:
        """Count a request of a key."""
        self._counts[key] = self._counts.get(key, 0.0) + 1
        self._total_count += 1

    def halve_counts(self) -> None:
        """Halve the request counts, and forget keys with few recent requests."""
        self._total_count /= 2
        self._counts = {key: count / 2 for key, count in self._counts.items() if count > MIN_COUNT}

    def rebuild(self, now: float) -> None:
        """Rebuild the ring from the endpoints of the subset at ``now`` ms."""
        ring = []
        for endpoint_id in self._working_set.subset.ids:
            relative_capacity = self._capacity.relative_capacity(
                self._registry.get_or_track(endpoint_id, now).endpoint
            )
            points = int(POINTS_PER_ENDPOINT * relative_capacity) + 1
            ring += [(hash64(endpoint_id * POINT_STRIDE + point), endpoint_id) for point in range(points)]
        self._ring = sorted(ring)

    def candidates(self, key: int) -> Iterator[int]:
        """Yield the ids of the endpoints of two of a key's replicas, the first of them chosen at random.

        The more traffic a key has, the more replicas it has. The two ids can be the same.
        """
        share = self._counts.get(key, 0.0) / self._total_count
        replicas = 1 + int(share * self._working_set.subset.size * REPLICAS_PER_SHARE)
        first = int(self._random.random() * replicas)
        yield self.endpoint_for(key, first)
        yield self.endpoint_for(key, (first + 1) % max(replicas, 2))

    def endpoint_for(self, key: int, replica: int) -> int:
        """Return the id of the endpoint of a key's replica: the endpoint of the next point on the ring."""
        position = bisect(self._ring, (hash64(key + replica * REPLICA_STRIDE & MASK_64), 0))
        return self._ring[position % len(self._ring)][1]
