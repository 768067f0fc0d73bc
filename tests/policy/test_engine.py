"""The policy as a whole: deterministic commands, endpoint updates, unknown request classes and tenants."""

from __future__ import annotations

import pytest

from load_balancer.policy.endpoints import EndpointState
from load_balancer.policy.engine import Policy
from load_balancer.policy.events import AttemptEnded, AttemptResult, RequestArrived, UpdateKind
from tests.policy.driver import NOT_IDEMPOTENT, START_TIME, PolicyDriver, endpoint, settings, target_ids
from tests.policy.policy_state import tracked_endpoint_ids


def test_commands_depend_only_on_seed_and_events_not_on_other_instances() -> None:
    # Module-level state or a shared random number generator would make a run depend on other instances.
    def run_events(with_other: bool) -> list[object]:
        driver = PolicyDriver(settings(endpoints_cache_keys=True), seed=4)
        other_driver = PolicyDriver(settings(endpoints_cache_keys=True), seed=9) if with_other else None
        for step in range(400):
            driver.advance(7.0)
            driver.request(step % 3, key=step % 11)
            if driver.attempts_in_flight and step % 2:
                driver.end_attempt(*min(driver.attempts_in_flight), AttemptResult.SUCCESS)
            if other_driver:
                other_driver.request(step % 3, key=step % 5)
        return driver.commands

    assert run_events(False) == run_events(True)


def test_state_of_removed_endpoints_is_dropped_with_their_last_attempt() -> None:
    # State that outlives its endpoint would grow with every replacement.
    driver = PolicyDriver(settings(classes=(NOT_IDEMPOTENT,), max_attempts=1), endpoints=3)
    request_id = driver.request()
    target = driver.attempts[request_id][0].endpoint
    for endpoint_id in range(3, 203):  # each update replaces the oldest of three endpoints
        driver.update_endpoints([endpoint(endpoint_id), endpoint(endpoint_id - 3, EndpointState.REMOVED)])
    driver.update_endpoints([endpoint(300, EndpointState.REMOVED)])  # removal of an unknown endpoint
    assert tracked_endpoint_ids(driver) == {target.id, 200, 201, 202}
    driver.serve(request_id)
    assert tracked_endpoint_ids(driver) == {200, 201, 202}
    duplicate = AttemptEnded(request_id, target.id, True, AttemptResult.SUCCESS, 0, 5.0)
    driver.handle(duplicate)  # must not raise


def test_state_of_a_draining_endpoint_missing_from_a_snapshot_is_dropped() -> None:
    driver = PolicyDriver(settings(), endpoints=4)
    driver.update_endpoints([endpoint(3, EndpointState.DRAINING)])
    driver.update_endpoints([endpoint(endpoint_id) for endpoint_id in range(3)], UpdateKind.SNAPSHOT)
    assert tracked_endpoint_ids(driver) == {0, 1, 2}


def test_unknown_class_or_tenant_raises_an_error_that_names_it() -> None:
    policy = Policy(settings(), 1)
    with pytest.raises(LookupError, match="class 9"):
        policy.handle(START_TIME, RequestArrived(1, 9, START_TIME + 100))
    with pytest.raises(LookupError, match="tenant 2"):
        two_tenants = settings(tenant_quotas=(5.0, 5.0))
        Policy(two_tenants, 1).handle(START_TIME, RequestArrived(1, 0, START_TIME + 100, tenant=2))


def test_draining_endpoint_gets_no_new_attempts() -> None:
    driver = PolicyDriver(settings(), endpoints=2)
    driver.update_endpoints([endpoint(0, EndpointState.DRAINING)])
    for _ in range(30):
        driver.request(0)
    assert set(target_ids(driver)) == {1}


def test_endpoint_missing_from_a_snapshot_gets_no_new_attempts() -> None:
    driver = PolicyDriver(settings(), endpoints=2)
    driver.update_endpoints([endpoint(1)], UpdateKind.SNAPSHOT)
    for _ in range(30):
        driver.request(0)
    assert set(target_ids(driver)) == {1}
