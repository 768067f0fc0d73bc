"""The protocol's rules under random valid events; the driver asserts them on each command."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given, seed
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from load_balancer.policy.endpoints import EndpointState
from load_balancer.policy.events import AttemptResult, UpdateKind
from load_balancer.policy.settings import Idempotency, RequestClass
from tests.policy.driver import (
    IDEMPOTENT,
    KEYED,
    KEYED_PER_CELL,
    KEYED_PER_ZONE,
    NOT_IDEMPOTENT,
    SEQUENTIAL,
    SEQUENTIAL_IDEMPOTENT,
    PolicyDriver,
    RequestOutcome,
    endpoint,
    settings,
)

WITH_LATE_WEIGHT = RequestClass(
    latency_objective=200.0,
    deadline=1000.0,
    priority_weight=3.0,
    idempotency=Idempotency.IDEMPOTENT,
    late_weight=0.5,
)
CLASSES = (
    IDEMPOTENT,
    KEYED,
    NOT_IDEMPOTENT,
    KEYED_PER_ZONE,
    KEYED_PER_CELL,
    WITH_LATE_WEIGHT,
    SEQUENTIAL,
    SEQUENTIAL_IDEMPOTENT,
)

RESULTS = (
    AttemptResult.SUCCESS,
    AttemptResult.ERROR,
    AttemptResult.REJECTED,
    AttemptResult.CONNECT_FAILED,
    AttemptResult.RESET,
    AttemptResult.NOT_SENT,
)

STEP = st.tuples(st.integers(0, 9), st.integers(0, 10**6))  # (action, number that selects its details)


def take_step(driver: PolicyDriver, action: int, number: int) -> None:
    """Apply one action: a request, the end of an attempt, a pause, a cancellation or an endpoint update."""
    if action <= 3:
        deadline_in = (2.0, 90.0, 900.0)[number % 3]
        tenant = number % 2 if driver.config.tenant_quotas else 0
        driver.request(number % len(CLASSES), deadline_in, key=number % 5, tenant=tenant)
    elif action <= 6 and driver.attempts_in_flight:
        attempt_id = sorted(driver.attempts_in_flight)[number % len(driver.attempts_in_flight)]
        driver.end_attempt(*attempt_id, RESULTS[number % len(RESULTS)])
    elif action == 7:
        driver.advance(float(number % 400))
    elif action == 8 and driver.pending:
        driver.cancel(sorted(driver.pending)[number % len(driver.pending)])
    else:
        change_endpoints(driver, number)


def change_endpoints(driver: PolicyDriver, number: int) -> None:
    """Send a delta of one endpoint, a snapshot with only that endpoint, or the loss of discovery."""
    started = driver.now if number % 7 == 0 else 0.0
    entry = endpoint(number % 12, list(EndpointState)[number % 3], started)
    kind = (UpdateKind.DELTA, UpdateKind.SNAPSHOT, UpdateKind.UNAVAILABLE)[number % 3]
    if kind is UpdateKind.SNAPSHOT:
        entry = replace(entry, state=EndpointState.READY)
    if kind is not UpdateKind.UNAVAILABLE:
        driver.update_endpoints([entry], kind)
    elif driver.config.endpoints_are_polled:
        driver.make_discovery_unavailable()


@seed(7)
@hypothesis_settings(max_examples=150, deadline=None, derandomize=True, database=None)
@given(
    steps=st.lists(STEP, max_size=120),
    can_cancel=st.booleans(),
    polled=st.booleans(),
    cache_keys=st.booleans(),
    quotas=st.booleans(),
    rejected_may_have_run=st.booleans(),
    cooldown=st.sampled_from([0.0, 40.0, 2000.0]),
    endpoints=st.integers(0, 9),
)
def test_rules_hold_for_any_valid_events(
    steps: list[tuple[int, int]],
    can_cancel: bool,
    polled: bool,
    cache_keys: bool,
    quotas: bool,
    rejected_may_have_run: bool,
    cooldown: float,
    endpoints: int,
) -> None:
    config = settings(
        classes=CLASSES,
        can_cancel=can_cancel,
        endpoints_are_polled=polled,
        endpoints_cache_keys=cache_keys,
        tenant_quotas=(5.0, 50.0) if quotas else (),
        over_quota_weight=0.1,
        rejected_may_have_run=rejected_may_have_run,
        key_cooldown=cooldown,
    )
    driver = PolicyDriver(config, seed=len(steps), endpoints=endpoints)
    for action, number in steps:
        take_step(driver, action, number)
    driver.advance(1000.0)
    assert not driver.pending
    assert set(driver.outcomes) == set(driver.requests)


@pytest.mark.parametrize("class_index", range(len(CLASSES)))
def test_request_is_rejected_when_no_endpoint_is_ready(class_index: int) -> None:
    driver = PolicyDriver(settings(classes=CLASSES), endpoints=0)
    request_id = driver.request(class_index)
    driver.advance(1000.0)
    assert driver.outcomes[request_id] == RequestOutcome.REJECTED
