"""Overload, estimated from the failure ratio and from attempts in flight over the required concurrency."""

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
    settings,
    target_ids,
)
from tests.policy.policy_state import (
    fleet_failure_ratio,
    goodput_per_second,
    required_concurrency,
    set_fleet_failure_ratio,
    shedding_threshold,
    update_required_concurrency,
)


def test_growing_traffic_with_fast_responses_is_not_rejected() -> None:
    # New attempts are in flight before their responses come: a required concurrency that follows only the
    # responses would rise too late, and the growth would be taken for overload.
    driver = PolicyDriver(settings(classes=(IDEMPOTENT,)), endpoints=4)
    send_traffic(driver, 40, 10)
    for rate in (80, 160, 320):
        assert send_traffic(driver, rate, 3) == 0


def test_few_failing_endpoints_do_not_count_as_overload() -> None:
    # Failing endpoints have to be avoided; shedding requests would not help them.
    driver = PolicyDriver(settings(classes=(NOT_IDEMPOTENT,)), endpoints=20)
    max_failure_ratio = 0.0
    for step in range(1000):
        driver.now += 5
        request_id = driver.request()
        if driver.attempts_in_flight:
            driver.end_attempt(
                request_id, 0, AttemptResult.ERROR if target_ids(driver)[-1] < 3 else AttemptResult.SUCCESS
            )
        if step > 100:  # by then, the policy knows of the failures
            max_failure_ratio = max(max_failure_ratio, fleet_failure_ratio(driver))
    assert shedding_threshold(driver) == 0.0
    assert max_failure_ratio < 0.1


def test_rejected_attempts_among_fast_responses_do_not_count_as_overload() -> None:
    # Endpoints with full queues respond slowly; rejected attempts among fast responses have another cause.
    driver = PolicyDriver(settings(classes=(IDEMPOTENT,)), endpoints=12)
    rng, thresholds = random.Random(3), []
    for _ in range(3000):
        driver.now += 5
        request_id = driver.request()
        for attempt in range(4):
            if driver.is_in_flight(request_id, attempt):
                if rng.random() < 0.17:
                    driver.end_attempt(request_id, attempt, AttemptResult.REJECTED, 0.5)
                else:
                    driver.end_attempt(request_id, attempt, AttemptResult.SUCCESS, 50.0)
        thresholds.append(shedding_threshold(driver))
    assert max(thresholds) < 1.0
    assert list(driver.outcomes.values()).count(RequestOutcome.REJECTED) < 15  # rejected in all 4 attempts


def test_timely_responses_do_not_count_as_overload_on_a_node_with_most_of_the_traffic() -> None:
    # An even share of the fleet allows 4 attempts in flight on this node; 125/s that take 48 ms need 6.
    driver = PolicyDriver(settings(classes=(IDEMPOTENT,), node_count=2), endpoints=8)
    assert send_traffic(driver, 125, 8, 20.0) + send_traffic(driver, 125, 20, 48.0) == 0


@dataclass(frozen=True)
class ScheduledResult:
    """The result with which an attempt will end at `due` ms on the clock, after `elapsed` ms."""

    due: float
    request_id: int
    result: AttemptResult
    elapsed: float


def test_timeouts_among_timely_responses_do_not_count_as_overload() -> None:
    # One attempt in 14 gets no response; its timeout must not count as a late response.
    driver = PolicyDriver(settings(classes=(NOT_IDEMPOTENT,), node_count=2), endpoints=8)
    send_traffic(driver, 125, 8, 20.0)
    schedule: list[ScheduledResult] = []
    rejected = 0
    for step in range(3000):
        driver.now += 8
        for scheduled in [scheduled for scheduled in schedule if scheduled.due <= driver.now]:
            driver.end_attempt(scheduled.request_id, 0, scheduled.result, scheduled.elapsed)
        schedule = [scheduled for scheduled in schedule if scheduled.due > driver.now]
        new_request_id = driver.request()
        rejected += not driver.attempts[new_request_id]
        if driver.attempts[new_request_id]:
            times_out = step % 14 == 0
            elapsed = 390.0 if times_out else 40.0
            result = AttemptResult.TIMEOUT if times_out else AttemptResult.SUCCESS
            schedule.append(ScheduledResult(driver.now + elapsed, new_request_id, result, elapsed))
    assert rejected < 60


def test_errors_raise_the_threshold_until_they_end() -> None:
    driver = PolicyDriver(settings(classes=(NOT_IDEMPOTENT,)), endpoints=10)
    for _ in range(300):
        driver.now += 5
        request_id = driver.request()
        if driver.is_in_flight(request_id):
            driver.end_attempt(request_id, 0, AttemptResult.ERROR, 400.0)
    assert shedding_threshold(driver) > 50
    for _ in range(2000):
        driver.now += 5
        request_id = driver.request()
        if driver.is_in_flight(request_id):
            driver.serve(request_id)
    assert shedding_threshold(driver) == 0.0


def test_threshold_that_rejects_all_requests_falls_again() -> None:
    # While all requests are rejected, no attempt succeeds that could lower the failure ratio.
    driver = PolicyDriver(settings(classes=(NOT_IDEMPOTENT,)), endpoints=10)
    results = [(AttemptResult.ERROR, 400.0)] * 300 + [(AttemptResult.SUCCESS, 20.0)] * 300
    thresholds, served = [], 0
    for result, elapsed in results:
        driver.now += 3
        request_id = driver.request()
        if driver.is_in_flight(request_id):
            driver.end_attempt(request_id, 0, result, elapsed)
            served += result is AttemptResult.SUCCESS
        thresholds.append(shedding_threshold(driver))
    assert max(thresholds[:300]) > 90
    assert thresholds[-1] < 1.0 and served > 200, (thresholds[::20], served)


@pytest.mark.parametrize("latency_objective", [100.0, 400.0])
def test_slow_responses_do_not_raise_required_concurrency(latency_objective: float) -> None:
    # When responses slow down, attempts in flight rise before the first slow response has come; the rise must
    # not be taken for growing traffic.
    request_class = replace(IDEMPOTENT, latency_objective=latency_objective, deadline=5 * latency_objective)
    driver = PolicyDriver(settings(classes=(request_class,)), endpoints=10)
    send_traffic(driver, 300, 3, 20.0)
    assert send_traffic(driver, 600, 0.4, 80.0) > 60  # four times the latency at twice the rate


def test_node_with_few_attempts_in_flight_does_not_reject_a_burst() -> None:
    # At a nominal concurrency of 5, a burst of 8 requests is random variation, not overload.
    driver = PolicyDriver(settings(classes=(NOT_IDEMPOTENT,), node_count=10), endpoints=50)
    for step in range(400):
        driver.now += 20
        request_ids = [driver.request() for _ in range(8 if step % 40 == 0 else 1)]
        driver.now += 55
        for request_id in request_ids:
            if driver.is_in_flight(request_id):
                driver.serve(request_id)
    assert list(driver.outcomes.values()).count(RequestOutcome.REJECTED) < 8


def test_concurrency_above_the_sum_of_endpoint_weights_does_not_count_as_overload() -> None:
    # Requests that wait for other services use no CPU core, so that an endpoint can serve many more of them
    # at once than its weight says.
    driver = PolicyDriver(settings(classes=(NOT_IDEMPOTENT,)), endpoints=4)
    in_flight: list[int] = []
    rejected_at_end = 0
    for step in range(3000):
        driver.now += 8
        request_id = driver.request()
        if driver.is_in_flight(request_id):
            in_flight.append(request_id)
        elif step > 2000:
            rejected_at_end += 1
        while in_flight and len(in_flight) > 12:
            driver.serve(in_flight.pop(0), 96.0)
    assert rejected_at_end < 50


def test_failure_of_all_endpoints_counts_as_overload() -> None:
    # If the failures were attributed to outliers alone, the overload of the whole fleet would go unnoticed.
    driver = PolicyDriver(settings(classes=(IDEMPOTENT,), max_attempts=1), endpoints=8)
    thresholds = []
    for _ in range(40):  # four requests per second
        driver.now += 250
        request_id = driver.request()
        if driver.is_in_flight(request_id):
            driver.end_attempt(request_id, 0, AttemptResult.TIMEOUT, 240.0)
        thresholds.append(shedding_threshold(driver))
    assert max(thresholds[:16]) > 90


def test_node_with_little_traffic_has_a_low_required_concurrency() -> None:
    # A minimum of 1 on each of 600 nodes would add up to many times what the fleet can serve.
    driver = PolicyDriver(settings(classes=(IDEMPOTENT,), node_count=600), endpoints=60)
    send_traffic(driver, 5, 30, 60.0)
    assert required_concurrency(driver) < 0.8
    assert send_traffic(driver, 5, 30, 60.0) == 0


def test_refused_connections_do_not_raise_the_threshold() -> None:
    # An attempt without a connection puts no load on an endpoint.
    driver = PolicyDriver(settings(classes=(IDEMPOTENT,), max_attempts=1), endpoints=10)
    for step in range(300):
        driver.now += 20
        result = AttemptResult.CONNECT_FAILED if step % 3 else AttemptResult.SUCCESS
        driver.end_attempt(driver.request(), 0, result)
    assert shedding_threshold(driver) == 0.0


def test_fast_errors_do_not_raise_the_threshold() -> None:
    # A fast error puts little load on an endpoint, unlike an error that takes as long as a normal response;
    # see test_errors_raise_the_threshold_until_they_end.
    driver = PolicyDriver(settings(classes=(IDEMPOTENT,), max_attempts=1), endpoints=10)
    for step in range(300):
        driver.now += 20
        request_id = driver.request()
        if driver.is_in_flight(request_id):
            if step % 2:
                driver.end_attempt(request_id, 0, AttemptResult.ERROR, 2.0)
            else:
                driver.serve(request_id, 60.0)
    assert shedding_threshold(driver) == 0.0


def test_late_responses_with_a_late_weight_raise_required_concurrency() -> None:
    # Endpoints that serve the newest request first (LIFO) leave a few requests waiting very long. These count
    # as attempts in flight meanwhile.
    required = []
    for late_weight in (0.0, 0.5):
        driver = PolicyDriver(
            settings(classes=(replace(IDEMPOTENT, late_weight=late_weight),), node_count=50), endpoints=8
        )
        for step in range(300):
            driver.now += 50
            request_id = driver.request(deadline_in=2000.0)
            if driver.is_in_flight(request_id):
                driver.now += 700.0 if step % 5 == 0 else 0.0
                driver.serve(request_id, 700.0 if step % 5 == 0 else 60.0)
        required.append(required_concurrency(driver))
    assert required[1] > 1.5 * required[0]


def test_headroom_of_required_concurrency_shrinks_gradually_with_failures() -> None:
    # If the headroom were dropped all at once at one failure ratio, the overload would jump from 0.1 to 1 at
    # that ratio.
    driver = PolicyDriver(settings(classes=(IDEMPOTENT,)), endpoints=8)
    send_traffic(driver, 50, 10)
    required = []
    for ratio in (0.04, 0.06):
        set_fleet_failure_ratio(driver, ratio)
        update_required_concurrency(driver, 0.001)
        required.append(required_concurrency(driver))
    assert required[1] > 0.85 * required[0]


def test_new_node_estimates_its_goodput_within_a_second() -> None:
    # An average over the whole window would be far too low until the window has passed.
    driver = PolicyDriver(settings(classes=(IDEMPOTENT,), node_count=20), endpoints=8)
    send_traffic(driver, 50, 1)
    assert 0.6 < goodput_per_second(driver) / 50 < 1.4
