"""The endpoints that this node uses: its subset, and the subset's endpoints in the node's zone."""

from __future__ import annotations

from load_balancer.policy.endpoint_registry import EndpointRegistry
from load_balancer.policy.settings import Settings
from load_balancer.policy.subsetting import Subset, choose_subset

# Attempts in flight of this node per ready endpoint below which groups of nodes share subsets.
SPARSE_CONCURRENCY = 0.2


class WorkingSet:
    """Holds the subset and updates it from the endpoint list."""

    def __init__(self, settings: Settings, registry: EndpointRegistry) -> None:
        self._settings = settings
        self._registry = registry
        # If endpoints cache keys, key affinity takes precedence over the zone.
        self._prefers_own_zone = settings.cross_zone_cost > 0 and not settings.endpoints_cache_keys
        self.subset = Subset([], 0, 1)
        """The ready endpoints that this node uses, all of them tracked; written only by this class."""
        self.own_zone_ids: list[int] = []
        """Ids of the subset's endpoints in this node's zone; empty if the zone is not preferred."""

    @property
    def ready_count(self) -> int:
        """Number of ready endpoints in the endpoint list."""
        return self._registry.table.ready_count

    def refresh(self, now: float, required_concurrency: float) -> None:
        """Recompute the subset and its endpoints in this node's zone.

        Args:
            now: Time on the policy's clock, ms.
            required_concurrency: Attempts in flight that this node needs to keep its share of the fleet busy.
        """
        table = self._registry.table
        sparse = required_concurrency < SPARSE_CONCURRENCY * table.ready_count
        self.subset = choose_subset(table, self._settings, sparse)
        tracked = [self._registry.get_or_track(endpoint_id, now) for endpoint_id in self.subset.ids]
        zone = self._settings.zone
        self.own_zone_ids = [
            t.endpoint.id for t in tracked if self._prefers_own_zone and t.endpoint.zone == zone
        ]
