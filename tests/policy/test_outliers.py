"""Outlier detection: endpoints that fail more often than others, or stall, get no attempts for a while."""

from __future__ import annotations

import random
from dataclasses import replace

from load_balancer.policy.commands import SendAttempt
from load_balancer.policy.events import AttemptResult
from tests.policy.driver import IDEMPOTENT, NOT_IDEMPOTENT, PolicyDriver, endpoint, settings, target_ids
from tests.policy.policy_state import (
    ejected_until,
    endpoint_failure_ratio,
    mean_attempts_in_flight,
    shedding_threshold,
    tracked_endpoint_ids,
    typical_latency_by_class,
)

LONG_DEADLINE = replace(NOT_IDEMPOTENT, latency_objective=5000.0, deadline=6000.0)


def test_failing_endpoint_is_ejected_and_used_again_after_it_recovers() -> None:
    driver = PolicyDriver(settings(classes=(NOT_IDEMPOTENT,)), endpoints=4)
    failures = 0
    for _ in range(400):
        driver.now += 5
        request_id = driver.request()
        failing = target_ids(driver)[-1] == 0
        failures += failing
        driver.end_attempt(request_id, 0, AttemptResult.ERROR if failing else AttemptResult.SUCCESS)
    assert failures < 40
    for _ in range(2000):
        driver.now += 10
        driver.serve(driver.request())
    assert target_ids(driver)[-200:].count(0) > 20


def test_endpoint_that_rejects_all_attempts_is_ejected() -> None:
    # A draining or full endpoint responds quickly, which must not attract traffic.
    driver = PolicyDriver(settings(classes=(NOT_IDEMPOTENT,)), endpoints=4)
    for _ in range(400):
        driver.now += 5
        request_id = driver.request()
        while driver.last_is_in_flight(request_id):
            attempt = driver.last_attempt(request_id)
            if target_ids(driver)[-1] == 0:
                driver.end_attempt(request_id, attempt, AttemptResult.REJECTED, 0.5)
            else:
                driver.end_attempt(request_id, attempt, AttemptResult.SUCCESS, 50.0)
    assert target_ids(driver).count(0) < 30


def test_one_unresponsive_endpoint_holds_few_attempts_and_causes_no_shedding() -> None:
    driver = PolicyDriver(settings(classes=(LONG_DEADLINE,)), endpoints=10)
    for _ in range(300):
        driver.now += 20
        new_request = driver.request(deadline_in=5500.0)
        if target_ids(driver)[-1] != 0:
            driver.serve(new_request)
    endpoint_ids = [driver.attempts[sent.request_id][0].endpoint.id for sent in driver.attempts_in_flight]
    assert endpoint_ids.count(0) <= 5
    assert shedding_threshold(driver) == 0.0


def test_stalled_endpoint_gets_no_more_attempts() -> None:
    driver = PolicyDriver(settings(classes=(LONG_DEADLINE,)), endpoints=10)
    for _ in range(300):  # the policy learns a latency of 50 ms
        driver.now += 20
        driver.serve(driver.request(deadline_in=5500.0))
    for _ in range(6):  # all requests are answered below, except those on one endpoint
        driver.request(deadline_in=5500.0)
    stalled_id = target_ids(driver)[-1]
    for request, attempt in list(driver.attempts_in_flight):
        if driver.attempts[request][attempt].endpoint.id != stalled_id:
            driver.end_attempt(request, attempt, AttemptResult.SUCCESS)
    driver.now += 5 * max(typical_latency_by_class(driver))
    for _ in range(3):
        driver.serve(driver.request(deadline_in=5500.0))
        driver.request(deadline_in=5500.0)
    for _ in range(100):
        assert target_ids(driver)[-1] != stalled_id
        driver.request(deadline_in=5500.0)


def test_unanswered_attempts_neither_stall_an_endpoint_nor_count_as_load() -> None:
    # An endpoint that leaves a few attempts unanswered but answers later ones is not stalled.
    driver = PolicyDriver(settings(classes=(LONG_DEADLINE,)), endpoints=4)
    unanswered = rejected = 0
    for step in range(1200):
        driver.now += 10
        request_id = driver.request(deadline_in=5500.0)
        rejected += not driver.attempts[request_id]
        if step > 200 and step % 20 == 0:
            unanswered += 1
        elif driver.attempts[request_id]:
            driver.now += 1
            driver.serve(request_id, 50.0)
    assert rejected == 0
    assert len(driver.attempts_in_flight) == unanswered > 40
    assert mean_attempts_in_flight(driver) < 4.0


def test_random_failures_rarely_eject_an_endpoint_but_a_dead_one_is_ejected() -> None:
    # Failures are counted by class: those of several classes must not add up to an ejection.
    driver = PolicyDriver(
        settings(
            classes=(
                IDEMPOTENT,
                replace(IDEMPOTENT, priority_weight=2.0),
                replace(IDEMPOTENT, priority_weight=1.0),
            )
        ),
        endpoints=9,
    )
    rng, dead_id, ejected_sum, samples = random.Random(5), 4, 0, 0
    for step in range(6000):
        driver.now += 5
        request_id = driver.request(step % 3)
        for attempt in range(4):
            if not driver.is_in_flight(request_id, attempt):
                break
            driver.now += 1
            fails = driver.attempts[request_id][attempt].endpoint.id == dead_id or rng.random() < 0.12
            driver.end_attempt(
                request_id, attempt, AttemptResult.RESET if fails else AttemptResult.SUCCESS, 50.0
            )
        if step > 1000:
            samples += 1
            ejected_sum += sum(
                ejected_until(driver, i) > driver.now for i in tracked_endpoint_ids(driver) if i != dead_id
            )
    # On average, fewer than 0.5 of the eight working endpoints are ejected.
    assert ejected_sum / samples < 0.5
    # An even share is one in nine; the dead endpoint gets less than a tenth of it.
    assert target_ids(driver).count(dead_id) < len(target_ids(driver)) / 90


def test_restarted_endpoint_starts_without_failures() -> None:
    driver = PolicyDriver(settings(classes=(NOT_IDEMPOTENT,)), endpoints=4)
    for _ in range(400):
        driver.now += 5
        request_id = driver.request()
        driver.end_attempt(
            request_id, 0, AttemptResult.ERROR if target_ids(driver)[-1] == 0 else AttemptResult.SUCCESS
        )
    assert ejected_until(driver, 0) > 0
    driver.update_endpoints([replace(endpoint(0), started_at=driver.now - 60_000.0)])
    assert not ejected_until(driver, 0)
    assert endpoint_failure_ratio(driver, 0) == 0.0


def test_endpoint_is_ejected_only_for_the_class_that_fails() -> None:
    driver = PolicyDriver(
        settings(classes=(NOT_IDEMPOTENT, replace(NOT_IDEMPOTENT, priority_weight=2.0))), endpoints=6
    )
    for step in range(1200):
        driver.now += 10
        new_request = driver.request(step % 2)
        if driver.is_in_flight(new_request):
            failing = target_ids(driver)[-1] < 2 and step % 2
            driver.end_attempt(new_request, 0, AttemptResult.ERROR if failing else AttemptResult.SUCCESS)
    last_sent = [command for command in driver.commands if isinstance(command, SendAttempt)][-600:]
    classes_on_failing = [
        driver.requests[sent.request_id].class_index for sent in last_sent if sent.endpoint_id < 2
    ]
    assert classes_on_failing.count(1) < 12
    assert classes_on_failing.count(0) > 60


def test_immediate_resets_neither_raise_the_shedding_threshold_nor_eject_an_endpoint() -> None:
    # A healthy endpoint may close an idle connection just as a request is sent on it.
    driver = PolicyDriver(settings(classes=(IDEMPOTENT,)), endpoints=10)
    for step in range(1500):
        driver.now += 10
        request_id = driver.request()
        if driver.is_in_flight(request_id):
            if step % 5 == 0:
                driver.end_attempt(request_id, 0, AttemptResult.RESET, 0.5)
            else:
                driver.serve(request_id)
        if driver.is_in_flight(request_id, 1):
            driver.end_attempt(request_id, 1, AttemptResult.SUCCESS)
        assert shedding_threshold(driver) < 1.0
        assert not any(ejected_until(driver, i) > driver.now for i in tracked_endpoint_ids(driver))


def test_one_rejected_attempt_that_may_have_run_is_enough_to_avoid_the_endpoint() -> None:
    # If a rejected attempt may have run, its request can't be retried; if not, another endpoint is tried.
    for may_have_run, max_count in ((True, 3), (False, 12)):
        config = settings(classes=(NOT_IDEMPOTENT,), rejected_may_have_run=may_have_run, max_attempts=1)
        driver = PolicyDriver(config, endpoints=10)
        for _ in range(100):
            driver.now += 20
            request_id = driver.request()
            driver.end_attempt(
                request_id,
                0,
                AttemptResult.REJECTED if target_ids(driver)[-1] == 0 else AttemptResult.SUCCESS,
            )
        assert target_ids(driver).count(0) <= max_count
