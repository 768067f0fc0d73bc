"""Retries: how often, how soon and where a request is sent again, and its answer when it is not."""

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
    """A driver whose policy has learned that answers take 50 ms."""
    driver = PolicyDriver(settings(classes=classes), endpoints=9)
    for step in range(600):
        driver.now += 10
        driver.serve(driver.request(step % len(classes)))
    return driver


def test_unanswered_attempt_is_retried_within_the_latency_objective() -> None:
    driver = warmed_up_driver(IDEMPOTENT, KEYED, NOT_IDEMPOTENT)
    for class_index, retried in ((0, True), (1, True), (2, False)):
        number = driver.request(class_index)
        driver.advance(IDEMPOTENT.latency_objective - 60.0)
        assert (len(driver.attempts[number]) == 2) is retried
    heavy = driver.request(0, cost_hint=100.0)  # expected to take long
    driver.advance(IDEMPOTENT.latency_objective - 60.0)
    assert len(driver.attempts[heavy]) == 1


def test_attempts_keep_their_full_timeout_while_answers_are_slow() -> None:
    driver = warmed_up_driver(IDEMPOTENT)
    for _ in range(200):
        driver.now += 10
        number = driver.request()
        if driver.is_in_flight(number):
            driver.serve(number, 150.0)
    set_typical_latency_by_class(driver, [50.0])
    sent = [command for command in driver.commands_for_new_request(0) if isinstance(command, SendAttempt)]
    assert [command.timeout for command in sent] == [IDEMPOTENT.latency_objective]


def test_no_retries_under_full_overload() -> None:
    for overload, most in ((0.0, 4), (1.0, 1)):
        driver = PolicyDriver(settings(classes=(IDEMPOTENT,)), endpoints=30)
        number = driver.request()
        set_overload(driver, overload)
        while driver.last_is_in_flight(number):
            driver.end_attempt(number, driver.last_attempt(number), AttemptResult.REJECTED)
        assert len(driver.attempts[number]) == most


def test_keyed_request_is_not_repeated_after_its_deduplication_window() -> None:
    driver = PolicyDriver(
        settings(classes=(replace(KEYED, latency_objective=900.0, deduplication_window=100.0),))
    )
    number = driver.request()
    driver.now += 150
    driver.end_attempt(number, 0, AttemptResult.RESET, 150.0)
    assert len(driver.attempts[number]) == 1
    assert driver.outcomes[number] == RequestOutcome.REJECTED


def test_keyed_request_is_not_repeated_if_connecting_may_outlast_the_window() -> None:
    keyed = replace(KEYED, latency_objective=900.0, deduplication_window=500.0)
    for elapsed, attempts in ((250.0, 2), (350.0, 1)):
        driver = PolicyDriver(settings(classes=(keyed,), connect_timeout=200.0))
        number = driver.request()
        driver.now += elapsed
        fix_random_draws(driver, 0.99)  # so that no random draw rejects the retry
        driver.end_attempt(number, 0, AttemptResult.RESET, elapsed)
        assert len(driver.attempts[number]) == attempts


def test_retries_stop_while_connections_fail() -> None:
    # Each would open one more connection at endpoints that can't keep up with new ones.
    driver = PolicyDriver(settings(classes=(IDEMPOTENT,)), endpoints=30)
    for _ in range(60):
        driver.now += 20
        number = driver.request()
        while driver.attempts_in_flight:
            driver.end_attempt(*driver.oldest_in_flight(), AttemptResult.CONNECT_FAILED, 5.0)
    assert shedding_threshold(driver) == 0.0
    assert len(driver.attempts[number]) == 1


def test_answers_when_all_attempts_are_used() -> None:
    driver = PolicyDriver(settings(max_attempts=2))
    number = driver.request(2)
    while driver.attempts_in_flight:
        driver.end_attempt(*driver.oldest_in_flight(), AttemptResult.REJECTED)
    assert len(driver.attempts[number]) <= 2
    assert driver.outcomes[number] == RequestOutcome.REJECTED


def test_not_idempotent_request_that_may_have_run_fails_without_a_retry() -> None:
    for result in (AttemptResult.ERROR, AttemptResult.RESET, AttemptResult.TIMEOUT):
        driver = PolicyDriver(settings())
        number = driver.request(2)
        driver.end_attempt(number, 0, result)
        assert driver.outcomes[number] == RequestOutcome.FAILED
        assert len(driver.attempts[number]) == 1


def test_rejected_attempt_is_retried_unless_it_may_have_run() -> None:
    for may_have_run, attempts, answer in (
        (False, 4, RequestOutcome.REJECTED),
        (True, 1, RequestOutcome.FAILED),
    ):
        driver = PolicyDriver(settings(classes=(NOT_IDEMPOTENT,), rejected_may_have_run=may_have_run))
        number = driver.request()
        while driver.attempts_in_flight:
            driver.end_attempt(*driver.oldest_in_flight(), AttemptResult.REJECTED)
        assert (len(driver.attempts[number]), driver.outcomes[number]) == (attempts, answer)


def test_keyed_request_rejected_where_it_may_have_run_stays_in_its_zone() -> None:
    driver = PolicyDriver(
        settings(classes=(replace(KEYED_PER_ZONE, deduplication_window=5000.0),), rejected_may_have_run=True),
        endpoints=9,
    )
    for _ in range(40):
        number = driver.request()
        while driver.last_is_in_flight(number):
            driver.end_attempt(number, driver.last_attempt(number), AttemptResult.REJECTED)
        assert driver.outcomes[number] == RequestOutcome.FAILED
