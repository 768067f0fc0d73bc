"""The cost of handling one event must not grow with the fleet."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any

from benchmarks.fleet import policy_endpoint, policy_settings
from load_balancer.policy import Policy
from load_balancer.policy.events import EndpointUpdate, RequestArrived, UpdateKind


def count_calls(action: Callable[[], Any]) -> int:
    """Return the number of Python calls in an action: a measure of cost that is the same on every machine."""
    calls = 0

    def count(frame: Any, event: str, argument: Any) -> None:
        nonlocal calls
        calls += event == "call"

    sys.setprofile(count)
    try:
        action()
    finally:
        sys.setprofile(None)
    return calls


def make_policy(endpoints: int, **changes: int) -> Policy:
    """Return a policy that has this many endpoints; `changes` are arguments of policy_settings."""
    policy = Policy(policy_settings(**changes), 1)
    for first in range(0, endpoints, 500):
        part = [policy_endpoint(i) for i in range(first, min(first + 500, endpoints))]
        policy.handle(0.0, EndpointUpdate(UpdateKind.DELTA, 1, part))
    return policy


def test_cost_does_not_grow_with_endpoints_or_tenants_and_is_not_quadratic_in_classes() -> None:
    def update_cost(policy: Policy) -> int:
        restarted = policy_endpoint(7, started=900.0)
        return count_calls(lambda: policy.handle(1000.0, EndpointUpdate(UpdateKind.DELTA, 2, [restarted])))

    def refresh_cost(policy: Policy) -> int:
        return count_calls(lambda: policy.handle(60_000.0, RequestArrived(1, 0, 60_900.0)))

    small, large = make_policy(2_000), make_policy(20_000)
    assert update_cost(large) <= 2 * update_cost(small)
    assert refresh_cost(large) <= 2 * refresh_cost(small)
    # Only a few of the endpoints are tracked.
    assert len(large._registry) < 2_000 and large._registry.table.ready_count == 20_000
    assert refresh_cost(make_policy(50, tenants=50_000)) <= 2 * refresh_cost(make_policy(50, tenants=50))
    # 20 times as many classes: the cost would be 400 times as high if it were quadratic.
    assert refresh_cost(make_policy(50, classes=120)) <= 30 * refresh_cost(make_policy(50, classes=6))
