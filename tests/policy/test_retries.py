"""Retries: how often, when and where a request is retried, and its final response if it is not."""

from __future__ import annotations

from dataclasses import replace

from load_balancer.policy.commands import SendAttempt
from load_balancer.policy.events import AttemptResult
from load_balancer.policy.settings import RequestClass
from tests.policy.driver import (
    IDEMPOTENT,
    KEYED,
    KEYED_PER_ZONE,
    NOT_IDEMPOTENT,
    PolicyDriver,
    RequestOutcome,
    settings,
)
from tests.policy.policy_state import (
    fix_random_draws,
    set_overload,
    set_typical_latency_by_class,
    shedding_threshold,
)


def warmed_up_driver(*classes: RequestClass) -> PolicyDriver:
    """Return a driver whose policy has learned a typical latency of about 50 ms for each class."""
    driver = PolicyDriver(settings(classes=classes), endpoints=9)
    for step in range(600):
        driver.now += 10
        driver.serve(driver.request(step % len(classes)))
    return driver


def test_overdue_attempt_is_retried_within_the_latency_objective_if_a_repeat_is_safe() -> None:
    driver = warmed_up_driver(IDEMPOTENT, KEYED, NOT_IDEMPOTENT)
    for class_index, retried in ((0, True), (1, True), (2, False)):
        request_id = driver.request(class_index)
        driver.advance(IDEMPOTENT.latency_objective - 60.0)
        assert (len(driver.attempts[request_id]) == 2) is retried
    costly = driver.request(0, cost_hint=100.0)  # the hint explains the long attempt: no retry yet
    driver.advance(IDEMPOTENT.latency_objective - 60.0)
    assert len(driver.attempts[costly]) == 1


def test_attempts_have_their_full_timeout_while_the_fleet_is_congested() -> None:
    # Early timeouts would add retries to the congestion.
    driver = warmed_up_driver(IDEMPOTENT)
    for _ in range(200):
        driver.now += 10
        request_id = driver.request()
        if driver.is_in_flight(request_id):
            driver.serve(request_id, 150.0)
    set_typical_latency_by_class(driver, [50.0])  # now only the mean latency shows the congestion
    sent = [command for command in driver.commands_for_new_request(0) if isinstance(command, SendAttempt)]
    assert [command.timeout for command in sent] == [IDEMPOTENT.latency_objective]


def test_no_retries_under_full_overload() -> None:
    for overload, attempt_count in ((0.0, 4), (1.0, 1)):
        driver = PolicyDriver(settings(classes=(IDEMPOTENT,)), endpoints=30)
        request_id = driver.request()
        set_overload(driver, overload)
        while driver.last_is_in_flight(request_id):
            driver.end_attempt(request_id, driver.last_attempt(request_id), AttemptResult.REJECTED)
        assert len(driver.attempts[request_id]) == attempt_count


def test_keyed_request_is_not_retried_after_its_deduplication_window() -> None:
    # After the window, an endpoint doesn't recognize the retry as a repeat and would run it again.
    driver = PolicyDriver(
        settings(classes=(replace(KEYED, latency_objective=900.0, deduplication_window=100.0),))
    )
    request_id = driver.request()
    driver.now += 150
    driver.end_attempt(request_id, 0, AttemptResult.RESET, 150.0)
    assert len(driver.attempts[request_id]) == 1
    assert driver.outcomes[request_id] == RequestOutcome.REJECTED


def test_keyed_request_is_not_retried_if_connecting_may_outlast_its_deduplication_window() -> None:
    # The window could end while a connection for the retry is being established.
    keyed = replace(KEYED, latency_objective=900.0, deduplication_window=500.0)
    for elapsed, attempts in ((250.0, 2), (350.0, 1)):
        driver = PolicyDriver(settings(classes=(keyed,), connect_timeout=200.0))
        request_id = driver.request()
        driver.now += elapsed
        fix_random_draws(driver, 0.99)  # no random draw prevents the retry
        driver.end_attempt(request_id, 0, AttemptResult.RESET, elapsed)
        assert len(driver.attempts[request_id]) == attempts


def test_retries_stop_while_connections_fail() -> None:
    # Each retry would open another connection to endpoints that can't keep up with new connections.
    driver = PolicyDriver(settings(classes=(IDEMPOTENT,)), endpoints=30)
    for _ in range(60):
        driver.now += 20
        request_id = driver.request()
        while driver.attempts_in_flight:
            driver.end_attempt(*driver.oldest_in_flight(), AttemptResult.CONNECT_FAILED, 5.0)
    assert shedding_threshold(driver) == 0.0
    assert len(driver.attempts[request_id]) == 1


def test_request_is_rejected_after_all_its_attempts_are_rejected() -> None:
    driver = PolicyDriver(settings(max_attempts=2))
    request_id = driver.request(2)
    while driver.attempts_in_flight:
        driver.end_attempt(*driver.oldest_in_flight(), AttemptResult.REJECTED)
    assert len(driver.attempts[request_id]) <= 2
    assert driver.outcomes[request_id] == RequestOutcome.REJECTED


def test_non_idempotent_request_that_may_have_run_fails_without_a_retry() -> None:
    for result in (AttemptResult.ERROR, AttemptResult.RESET, AttemptResult.TIMEOUT):
        driver = PolicyDriver(settings())
        request_id = driver.request(2)
        driver.end_attempt(request_id, 0, result)
        assert driver.outcomes[request_id] == RequestOutcome.FAILED
        assert len(driver.attempts[request_id]) == 1


def test_rejected_attempt_is_retried_unless_it_may_have_run() -> None:
    for may_have_run, attempts, outcome in (
        (False, 4, RequestOutcome.REJECTED),
        (True, 1, RequestOutcome.FAILED),
    ):
        driver = PolicyDriver(settings(classes=(NOT_IDEMPOTENT,), rejected_may_have_run=may_have_run))
        request_id = driver.request()
        while driver.attempts_in_flight:
            driver.end_attempt(*driver.oldest_in_flight(), AttemptResult.REJECTED)
        assert (len(driver.attempts[request_id]), driver.outcomes[request_id]) == (attempts, outcome)


def test_keyed_request_that_may_have_run_is_retried_only_in_its_deduplication_zone() -> None:
    # The driver asserts that each retry goes to the zone of the first attempt.
    driver = PolicyDriver(
        settings(classes=(replace(KEYED_PER_ZONE, deduplication_window=5000.0),), rejected_may_have_run=True),
        endpoints=9,
    )
    for _ in range(40):
        request_id = driver.request()
        while driver.last_is_in_flight(request_id):
            driver.end_attempt(request_id, driver.last_attempt(request_id), AttemptResult.REJECTED)
        assert driver.outcomes[request_id] == RequestOutcome.FAILED
