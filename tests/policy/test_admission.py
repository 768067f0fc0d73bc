"""Admission: priority scores, the shedding threshold, Retry-After, and requests with too little time left."""

from __future__ import annotations

from dataclasses import replace

from load_balancer.policy.commands import RejectRequest, WriteLog
from load_balancer.policy.events import AttemptResult
from tests.policy.driver import IDEMPOTENT, KEYED, NOT_IDEMPOTENT, PolicyDriver, RequestOutcome, settings
from tests.policy.policy_state import retry_after, set_overload


def test_nothing_is_rejected_without_overload() -> None:
    driver = PolicyDriver(settings(), endpoints=50)
    for step in range(300):
        request_id = driver.request(step % 3)
        driver.now += 10
        driver.serve(request_id)
    assert set(driver.outcomes.values()) == {RequestOutcome.SERVED}


def test_rejected_share_of_priority_weight_is_the_cube_of_the_overload() -> None:
    for overload in (0.5, 0.8, 1.0):
        driver = PolicyDriver(settings(), endpoints=50)
        for step in range(600):  # the policy learns the shares of the classes
            driver.request(step % 3)
        set_overload(driver, overload)
        rejected_weight = sum(
            driver.config.classes[step % 3].priority_weight
            for step in range(1500)
            if driver.rejects_new_request(step % 3)
        )
        assert abs(rejected_weight / (500 * (10 + 1 + 1)) - overload**3) < 0.07


def test_lower_priority_weights_are_rejected_first_with_a_longer_retry_after() -> None:
    driver = PolicyDriver(settings(), endpoints=50)
    for step in range(600):
        driver.request(step % 3)
    set_overload(driver, 0.5)
    rejected = {class_index: 0 for class_index in range(3)}
    retry_after_delays: list[float] = []
    for step in range(900):
        for command in driver.commands_for_new_request(step % 3):
            if isinstance(command, RejectRequest):
                rejected[step % 3] += 1
                retry_after_delays.append(command.retry_after)
    assert rejected[0] == 0  # class 0 has ten times the priority weight of the others
    assert rejected[1] + rejected[2] > 300
    assert min(retry_after_delays) > 0 and max(retry_after_delays) <= 2000.0
    low_score_delays = [retry_after(driver, 1.0) for _ in range(200)]
    high_score_delays = [retry_after(driver, 90.0) for _ in range(200)]
    assert min(low_score_delays) > max(high_score_delays)


def test_small_rise_of_overload_does_not_reject_all_high_priority_requests() -> None:
    # If score bands were sized by request count, the scores of a rare class of high priority would all be
    # close to 100, and a small rise of the threshold would reject all of it.
    rejected_shares = []
    for overload in (0.96, 0.999):
        driver = PolicyDriver(settings(), endpoints=50)
        for step in range(600):
            driver.request(0 if step % 20 == 0 else 1 + step % 2)
        set_overload(driver, overload)
        rejected_shares.append(sum(driver.rejects_new_request(0) for _ in range(300)) / 300)
    assert rejected_shares[1] - rejected_shares[0] < 0.5


def test_classes_of_equal_priority_weight_are_rejected_alike_despite_different_latencies() -> None:
    driver = PolicyDriver(
        settings(classes=(KEYED, replace(NOT_IDEMPOTENT, priority_weight=1.0))), endpoints=50
    )
    for step in range(1000):
        driver.now += 5
        request_id = driver.request(step % 2)
        if driver.is_in_flight(request_id):
            driver.serve(request_id, 30.0 if step % 2 else 90.0)
    set_overload(driver, 0.8)
    rejected = [0, 0]
    for step in range(600):
        rejected[step % 2] += driver.rejects_new_request(step % 2)
    assert min(rejected) > 0.6 * max(rejected)


def test_request_with_too_little_time_left_is_rejected_without_an_attempt() -> None:
    # An attempt would put load on an endpoint for a response that comes too late.
    driver = PolicyDriver(settings(classes=(IDEMPOTENT,)), endpoints=30)
    for _ in range(300):
        driver.now += 20
        driver.serve(driver.request(), 200.0)
    request_id = driver.request(deadline_in=30.0)
    assert driver.attempts[request_id] == []
    assert driver.outcomes[request_id] == RequestOutcome.REJECTED


def test_request_whose_cost_hint_exceeds_its_time_left_is_rejected_at_once() -> None:
    driver = PolicyDriver(settings(classes=(IDEMPOTENT,)), endpoints=10)
    for _ in range(200):
        driver.now += 20
        driver.serve(driver.request(deadline_in=300.0))
    light = driver.request(deadline_in=90.0, cost_hint=40.0)
    heavy = driver.request(deadline_in=90.0, cost_hint=120.0)
    assert driver.attempts[light]
    assert driver.outcomes[heavy] == RequestOutcome.REJECTED


def test_only_starts_and_ends_of_shedding_are_logged() -> None:
    driver = PolicyDriver(settings(classes=(IDEMPOTENT,)), endpoints=20)
    messages: list[str] = []
    for step in range(2000):
        driver.now += 20
        messages += [
            command.message for command in driver.commands_for_new_request(0) if isinstance(command, WriteLog)
        ]
        for request_id, attempt in list(driver.attempts_in_flight):
            driver.end_attempt(
                request_id, attempt, AttemptResult.TIMEOUT if step < 400 else AttemptResult.SUCCESS
            )
    assert 2 <= len(messages) <= 10
    assert messages[0].startswith("load shedding on") and messages[-1].startswith("load shedding off")
