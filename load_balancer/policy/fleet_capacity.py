"""Capacity of the whole fleet, and of each endpoint relative to the one with the largest effective weight."""

from __future__ import annotations

from load_balancer.policy.endpoint_table import EndpointTable
from load_balancer.policy.endpoints import Endpoint
from load_balancer.policy.latency import LatencyEstimator
from load_balancer.policy.settings import Settings

# If the mean weight is between these limits, a weight is the number of requests that an endpoint serves at
# once. Otherwise the unit of the weights is unknown, and each endpoint counts as serving one request at a
# time.
MIN_CONCURRENT_WEIGHT = 0.5
MAX_CONCURRENT_WEIGHT = 8.0


class FleetCapacity:
    """Capacity of the fleet as of the last refresh.

    Args:
        settings: Node settings, of which the number of nodes is used.
        table: Endpoint table.
        latency: Latency estimator, of which the factors of the machine types are used.
    """

    def __init__(self, settings: Settings, table: EndpointTable, latency: LatencyEstimator) -> None:
        self._node_count = settings.node_count
        self._table = table
        self._latency = latency
        self._max_effective_weight = 1.0  # largest weight / latency factor
        self.effective_endpoint_count = 1.0
        """Number of ready endpoints, at least 1; one in slow start counts as its share of full capacity."""
        self.nominal_concurrency = 1.0
        """Requests that the fleet serves at once, divided by the number of nodes."""
        self.mean_relative_capacity = 1.0
        """Mean of ``relative_capacity`` over the ready endpoints."""

    def refresh(self, now: float) -> None:
        """Recompute the capacity at time ``now`` in ms."""
        table, latency_factors = self._table, self._latency.machine_type_factors
        self.effective_endpoint_count = table.effective_endpoint_count(now)
        # The last value is kept while no ready endpoint has a weight above 0.
        self._max_effective_weight = table.max_effective_weight(latency_factors) or self._max_effective_weight
        concurrency_per_endpoint = table.mean_weight()
        if not MIN_CONCURRENT_WEIGHT <= concurrency_per_endpoint <= MAX_CONCURRENT_WEIGHT:
            concurrency_per_endpoint = 1.0
        self.nominal_concurrency = concurrency_per_endpoint * self.effective_endpoint_count / self._node_count
        self.mean_relative_capacity = (
            table.mean_effective_weight(latency_factors) / self._max_effective_weight
        )

    def relative_capacity(self, endpoint: Endpoint) -> float:
        """Return an endpoint's capacity by weight and machine type, relative to the largest capacity."""
        latency_factor = self._latency.machine_type_factors.get(endpoint.machine_type, 1.0)
        return endpoint.weight / latency_factor / self._max_effective_weight
