"""Overload: by the share of errors, and by attempts in flight over the required concurrency."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace

import pytest

from load_balancer.policy.events import AttemptResult
from tests.policy.driver import (
    IDEMPOTENT,
    NOT_IDEMPOTENT,
    PolicyDriver,
    RequestOutcome,
    send_traffic,
    sent_to,
    settings,
)
from tests.policy.policy_state import (
    fleet_failure_ratio,
    goodput_per_second,
    required_concurrency,
    set_fleet_failure_ratio,
    shedding_threshold,
    update_required_concurrency,
)


def test_growing_traffic_with_quick_answers_is_not_rejected() -> None:
    # Attempts are in flight before they are answered: answers alone would show the growth too late.
    driver = PolicyDriver(settings(classes=(IDEMPOTENT,)), endpoints=4)
    send_traffic(driver, 40, 10)
    for rate in (80, 160, 320):
        assert send_traffic(driver, rate, 3) == 0


def test_a_few_failing_endpoints_are_no_overload() -> None:
    driver = PolicyDriver(settings(classes=(NOT_IDEMPOTENT,)), endpoints=20)
    worst = 0.0
    for step in range(1000):
        driver.now += 5
        number = driver.request()
        if driver.attempts_in_flight:
            driver.end_attempt(
                number, 0, AttemptResult.ERROR if sent_to(driver)[-1] < 3 else AttemptResult.SUCCESS
            )
        if step > 100:  # their failures are known by then
            worst = max(worst, fleet_failure_ratio(driver))
    assert shedding_threshold(driver) == 0.0
    assert worst < 0.1


def test_rejected_attempts_beside_quick_answers_are_no_overload() -> None:
    # Where queues are full, answers are slow; rejected attempts beside quick ones have another cause.
    driver = PolicyDriver(settings(classes=(IDEMPOTENT,)), endpoints=12)
    chance, thresholds = random.Random(3), []
    for _ in range(3000):
        driver.now += 5
        number = driver.request()
        for attempt in range(4):
            if driver.is_in_flight(number, attempt):
                if chance.random() < 0.17:
                    driver.end_attempt(number, attempt, AttemptResult.REJECTED, 0.5)
                else:
                    driver.end_attempt(number, attempt, AttemptResult.SUCCESS, 50.0)
        thresholds.append(shedding_threshold(driver))
    assert max(thresholds) < 1.0
    assert list(driver.outcomes.values()).count(RequestOutcome.REJECTED) < 15  # rejected four times in a row


def test_traffic_answered_in_time_is_no_overload_on_a_node_with_most_of_it() -> None:
    driver = PolicyDriver(settings(classes=(IDEMPOTENT,), node_count=2), endpoints=8)
    assert send_traffic(driver, 125, 8, 20.0) + send_traffic(driver, 125, 20, 48.0) == 0


@dataclass(frozen=True)
class PendingOutcome:
    """How the attempt of a request will end, and when (ms)."""

    due: float
    request_id: int
    result: AttemptResult
    elapsed: float


def test_unanswered_attempts_beside_answers_in_time_are_no_overload() -> None:
    # One attempt in fourteen is never answered; its timeout must not count as a late answer.
    driver = PolicyDriver(settings(classes=(NOT_IDEMPOTENT,), node_count=2), endpoints=8)
    send_traffic(driver, 125, 8, 20.0)
    pending: list[PendingOutcome] = []
    rejected = 0
    for step in range(3000):
        driver.now += 8
        for outcome in [outcome for outcome in pending if outcome.due <= driver.now]:
            driver.end_attempt(outcome.request_id, 0, outcome.result, outcome.elapsed)
        pending = [outcome for outcome in pending if outcome.due > driver.now]
        number = driver.request()
        rejected += not driver.attempts[number]
        if driver.attempts[number]:
            unanswered = step % 14 == 0
            elapsed = 390.0 if unanswered else 40.0
            result = AttemptResult.TIMEOUT if unanswered else AttemptResult.SUCCESS
            pending.append(PendingOutcome(driver.now + elapsed, number, result, elapsed))
    assert rejected < 60


def test_flood_of_errors_raises_the_threshold_until_it_ends() -> None:
    driver = PolicyDriver(settings(classes=(NOT_IDEMPOTENT,)), endpoints=10)
    for _ in range(300):
        driver.now += 5
        number = driver.request()
        if driver.is_in_flight(number):
            driver.end_attempt(number, 0, AttemptResult.ERROR, 400.0)
    assert shedding_threshold(driver) > 50
    for _ in range(2000):
        driver.now += 5
        number = driver.request()
        if driver.is_in_flight(number):
            driver.serve(number)
    assert shedding_threshold(driver) == 0.0


def test_threshold_that_rejects_all_recovers_without_new_answers() -> None:
    # A threshold that rejects all requests gets no answers that could lower the share of errors.
    driver = PolicyDriver(settings(classes=(NOT_IDEMPOTENT,)), endpoints=10)
    answers = [(AttemptResult.ERROR, 400.0)] * 300 + [(AttemptResult.SUCCESS, 20.0)] * 300
    thresholds, served = [], 0
    for result, elapsed in answers:
        driver.now += 3
        number = driver.request()
        if driver.is_in_flight(number):
            driver.end_attempt(number, 0, result, elapsed)
            served += result is AttemptResult.SUCCESS
        thresholds.append(shedding_threshold(driver))
    assert max(thresholds[:300]) > 90
    assert thresholds[-1] < 1.0 and served > 200, (thresholds[::20], served)


@pytest.mark.parametrize("latency_objective", [100.0, 400.0])
def test_slow_answers_do_not_raise_required_concurrency(latency_objective: float) -> None:
    # Attempts in flight grow too when answers slow down, before the first slow one has come.
    cls = replace(IDEMPOTENT, latency_objective=latency_objective, deadline=5 * latency_objective)
    driver = PolicyDriver(settings(classes=(cls,)), endpoints=10)
    send_traffic(driver, 300, 3, 20.0)
    assert send_traffic(driver, 600, 0.4, 80.0) > 60  # four times as slow, and twice as much


def test_small_node_does_not_reject_a_burst() -> None:
    # With five attempts in flight, a burst is chance, not overload.
    driver = PolicyDriver(settings(classes=(NOT_IDEMPOTENT,), node_count=10), endpoints=50)
    for step in range(400):
        driver.now += 20
        numbers = [driver.request() for _ in range(8 if step % 40 == 0 else 1)]
        driver.now += 55
        for number in numbers:
            if driver.is_in_flight(number):
                driver.serve(number)
    assert list(driver.outcomes.values()).count(RequestOutcome.REJECTED) < 8


def test_concurrency_may_exceed_the_listed_weights() -> None:
    # Requests that wait for other services use no core: an endpoint serves many more than its weight at once.
    driver = PolicyDriver(settings(classes=(NOT_IDEMPOTENT,)), endpoints=4)
    in_flight: list[int] = []
    rejected_late = 0
    for step in range(3000):
        driver.now += 8
        number = driver.request()
        if driver.is_in_flight(number):
            in_flight.append(number)
        elif step > 2000:
            rejected_late += 1
        while in_flight and len(in_flight) > 12:
            driver.serve(in_flight.pop(0), 96.0)
    assert rejected_late < 50


def test_all_endpoints_failing_is_overload_though_each_is_an_outlier() -> None:
    # Failures of outliers count for less, but must not count for nothing when all endpoints fail.
    driver = PolicyDriver(settings(classes=(IDEMPOTENT,), max_attempts=1), endpoints=8)
    thresholds = []
    for _ in range(40):  # a small node with four requests a second
        driver.now += 250
        number = driver.request()
        if driver.is_in_flight(number):
            driver.end_attempt(number, 0, AttemptResult.TIMEOUT, 240.0)
        thresholds.append(shedding_threshold(driver))
    assert max(thresholds[:16]) > 90


def test_small_node_has_a_small_required_concurrency() -> None:
    # A minimum of one for each of 600 nodes would be many times what the fleet can serve.
    driver = PolicyDriver(settings(classes=(IDEMPOTENT,), node_count=600), endpoints=60)
    send_traffic(driver, 5, 30, 60.0)
    assert required_concurrency(driver) < 0.8
    assert send_traffic(driver, 5, 30, 60.0) == 0


def test_refused_connections_do_not_raise_the_threshold() -> None:
    # They are no load on an endpoint.
    driver = PolicyDriver(settings(classes=(IDEMPOTENT,), max_attempts=1), endpoints=10)
    for step in range(300):
        driver.now += 20
        result = AttemptResult.CONNECT_FAILED if step % 3 else AttemptResult.SUCCESS
        driver.end_attempt(driver.request(), 0, result)
    assert shedding_threshold(driver) == 0.0


def test_instant_errors_do_not_raise_the_threshold() -> None:
    # They are no load on an endpoint; errors that take as long as the work are (see the flood of errors).
    driver = PolicyDriver(settings(classes=(IDEMPOTENT,), max_attempts=1), endpoints=10)
    for step in range(300):
        driver.now += 20
        number = driver.request()
        if driver.is_in_flight(number):
            if step % 2:
                driver.end_attempt(number, 0, AttemptResult.ERROR, 2.0)
            else:
                driver.serve(number, 60.0)
    assert shedding_threshold(driver) == 0.0


def test_late_answers_with_a_late_weight_count_in_required_concurrency() -> None:
    # Endpoints that serve the newest first answer a few very late; those are in flight too.
    required = []
    for late_weight in (0.0, 0.5):
        driver = PolicyDriver(
            settings(classes=(replace(IDEMPOTENT, late_weight=late_weight),), node_count=50), endpoints=8
        )
        for step in range(300):
            driver.now += 50
            number = driver.request(deadline_in=2000.0)
            if driver.is_in_flight(number):
                driver.now += 700.0 if step % 5 == 0 else 0.0
                driver.serve(number, 700.0 if step % 5 == 0 else 60.0)
        required.append(required_concurrency(driver))
    assert required[1] > 1.5 * required[0]


def test_margin_of_required_concurrency_shrinks_with_errors() -> None:
    # A margin that ended at once would let overload jump from 0.1 to 1.
    driver = PolicyDriver(settings(classes=(IDEMPOTENT,)), endpoints=8)
    send_traffic(driver, 50, 10)
    required = []
    for errors in (0.04, 0.06):
        set_fleet_failure_ratio(driver, errors)
        update_required_concurrency(driver, 0.001)
        required.append(required_concurrency(driver))
    assert required[1] > 0.85 * required[0]


def test_new_node_measures_its_answer_rate_within_a_second() -> None:
    driver = PolicyDriver(settings(classes=(IDEMPOTENT,), node_count=20), endpoints=8)
    send_traffic(driver, 50, 1)
    assert 0.6 < goodput_per_second(driver) / 50 < 1.4
