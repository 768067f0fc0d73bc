"""Tenant quotas: decides which requests exceed the request rate of their tenant."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from load_balancer.policy.errors import UnknownTenantError


@dataclass(slots=True)
class _Bucket:
    level: float
    """Number of requests in the bucket."""
    updated_at: float
    """Time of the last request, ms on the policy's clock."""


class TenantQuotas:
    """A leaky bucket for each tenant, which holds one second's worth of requests.

    Each node applies 1 / ``node_count`` of each quota to its own traffic.

    Args:
        quotas: Requests per second over all nodes, by tenant; empty if there are no quotas.
        node_count: Number of nodes that share the quotas.
    """

    def __init__(self, quotas: Sequence[float], node_count: int) -> None:
        self._quotas = quotas
        self._node_count = node_count
        self._buckets: dict[int, _Bucket] = {}

    def count_request(self, tenant: int, now: float) -> bool:
        """Return whether a request of a tenant at ``now`` ms exceeds the quota, and count it if it does not.

        Raises:
            UnknownTenantError: Quotas are set, but none for this tenant.
        """
        if not self._quotas:
            return False
        if not 0 <= tenant < len(self._quotas):
            raise UnknownTenantError(tenant)
        quota = self._quotas[tenant] / self._node_count
        bucket = self._buckets.get(tenant)
        if bucket is None:
            bucket = self._buckets[tenant] = _Bucket(0.0, now)
        level = max(0.0, bucket.level - quota * (now - bucket.updated_at) / 1000)
        exceeded = level > quota
        bucket.level = level if exceeded else level + 1
        bucket.updated_at = now
        return exceeded

    def drop_idle(self, now: float, idle_for: float) -> None:
        """Drop buckets that got no request for ``idle_for`` ms, since nearly all of them have drained."""
        self._buckets = {t: b for t, b in self._buckets.items() if now - b.updated_at < idle_for}
