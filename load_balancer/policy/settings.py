"""Settings of a node: request classes, limits, and the position of the node among its peers.

All times are in milliseconds. ``load_balancer.settings_decoder`` maps the names that the protocol and the
configuration file use for these values.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """Whether a request may be executed more than once."""

    IDEMPOTENT = "idempotent"
    """Repeated executions have the effect of one."""
    KEYED = "keyed"
    """Requests carry an idempotency key, by which the endpoints of a scope drop repeats for some time."""
    NOT_IDEMPOTENT = "not idempotent"
    """Must not be executed more than once."""


class DeduplicationScope(Enum):
    """Scope within which endpoints recognize repeats of a request by its idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


def _check(valid: bool, name: str, value: object) -> None:
    if not valid:
        raise ValueError(f"the value of {name} is invalid: {value!r}")


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests with the same objectives and rules.

    Raises:
        ValueError: A value is out of range.
    """

    latency_objective: float
    """Latency in ms up to which a response has its full value; later responses keep ``late_weight`` of it."""
    deadline: float
    """Maximum time in ms that clients of this class wait for a response."""
    priority_weight: float
    """Value of a timely response per unit of work, relative to the other classes."""
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window: float = 0.0
    """Time in ms during which repeats are dropped, from the first attempt that may have run."""
    late_weight: float = 0.0
    """Share of the priority weight that a response after the latency objective keeps, 0 to 1."""
    sequential_per_key: bool = False
    """Whether requests that share a key run one at a time in order of arrival, across all such classes."""

    def __post_init__(self) -> None:
        _check(self.latency_objective > 0, "classes[].latency_objective", self.latency_objective)
        _check(self.deadline > 0, "classes[].deadline", self.deadline)
        _check(self.priority_weight >= 0, "classes[].priority_weight", self.priority_weight)
        _check(self.deduplication_window >= 0, "classes[].deduplication_window", self.deduplication_window)
        _check(0 <= self.late_weight <= 1, "classes[].late_weight", self.late_weight)
        _check(isinstance(self.idempotency, Idempotency), "classes[].idempotency", self.idempotency)
        scope = self.deduplication_scope
        _check(isinstance(scope, DeduplicationScope), "classes[].deduplication_scope", scope)


@dataclass(slots=True, frozen=True)
class Settings:
    """Settings of a node.

    Raises:
        ValueError: A value is out of range.
    """

    classes: tuple[RequestClass, ...]
    zone: int = 0
    """Zone of this node."""
    node_count: int = 1
    """Number of nodes that balance load over the same endpoints."""
    node_index: int = 0
    """Index of this node among the ``node_count`` nodes, from 0."""
    tenant_quotas: tuple[float, ...] = ()
    """Requests per second over all nodes, by tenant; empty if there are no quotas."""
    over_quota_weight: float = 1.0
    """Share of the priority weight that a request over its tenant's quota keeps, 0 to 1."""
    endpoints_cache_keys: bool = False
    """Whether endpoints need less work for a key that they served recently."""
    endpoints_are_polled: bool = False
    """Whether the endpoint list is polled, not pushed.

    If so, the policy schedules the retries of failed discovery calls; otherwise the caller does.
    """
    poll_interval_limit: float = 10000.0
    """Time in ms within which a failed discovery call must be retried; the backoff is a fraction of it."""
    stale_endpoints_limit: float = math.inf
    """Time in ms after the last contact with discovery for which all listed endpoints can be used.

    A drain that the node missed takes effect no earlier.
    """
    tick: float = 1.0
    """Maximum time in ms between two readings of the caller's clock."""
    can_cancel: bool = False
    """Whether attempts in flight can be cancelled."""
    max_attempts: int = 1
    """Maximum number of attempts per request, including the first."""
    connect_timeout: float = 0.0
    """Maximum time in ms for establishing a connection."""
    max_retry_after: float = 0.0
    """Maximum Retry-After in ms for rejected clients, or 0 for no Retry-After."""
    rejected_may_have_run: bool = False
    """Whether endpoints may reject requests that they have already begun to execute."""
    cross_zone_cost: float = 0.0
    """Cost of a request to another zone; if above 0, idle endpoints in the node's zone are preferred."""
    key_cooldown: float = 0.0
    """Time in ms for which a sequential key is blocked after an attempt that may still be running."""
    slow_start_initial: float = 1.0
    """Share of its full capacity that an endpoint has when it starts; above 0, at most 1."""
    slow_start_duration: float = 0.0
    """Time in ms from the start of an endpoint until it has its full capacity."""
    slow_start_overload_factor: float = 4.0
    """Multiple of its current capacity above which an endpoint in slow start fails."""
    slow_start_overload_window: float = 1000.0
    """Time in ms over which the load for ``slow_start_overload_factor`` is measured."""

    def __post_init__(self) -> None:
        _check(len(self.classes) > 0, "classes", self.classes)
        _check(self.node_count >= 1, "node_count", self.node_count)
        _check(self.max_attempts >= 1, "max_attempts", self.max_attempts)
        _check(0 < self.slow_start_initial <= 1, "slow_start_initial", self.slow_start_initial)
        _check(0 <= self.over_quota_weight <= 1, "over_quota_weight", self.over_quota_weight)
        _check(self.tick > 0, "tick", self.tick)
        for name in (
            "connect_timeout",
            "poll_interval_limit",
            "cross_zone_cost",
            "slow_start_duration",
            "max_retry_after",
            "key_cooldown",
            "stale_endpoints_limit",
            "slow_start_overload_factor",
            "slow_start_overload_window",
        ):
            _check(getattr(self, name) >= 0, name, getattr(self, name))
        for quota in self.tenant_quotas:
            _check(quota >= 0, "tenant_quotas[]", quota)
