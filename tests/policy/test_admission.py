"""Admission: the priority score, the shedding threshold, Retry-After, and time left on arrival."""

from __future__ import annotations

from dataclasses import replace

from load_balancer.policy.commands import RejectRequest, WriteLog
from load_balancer.policy.events import AttemptResult
from tests.policy.driver import IDEMPOTENT, KEYED, NOT_IDEMPOTENT, PolicyDriver, RequestOutcome, settings
from tests.policy.policy_state import retry_after, set_overload


def test_nothing_is_rejected_without_overload() -> None:
    driver = PolicyDriver(settings(), endpoints=50)
    for step in range(300):
        number = driver.request(step % 3)
        driver.now += 10
        driver.serve(number)
    assert set(driver.outcomes.values()) == {RequestOutcome.SERVED}


def test_threshold_is_cubic_and_rejects_that_share_of_priority_weight() -> None:
    for overload in (0.5, 0.8, 1.0):
        driver = PolicyDriver(settings(), endpoints=50)
        for step in range(600):  # the policy learns the mix of classes
            driver.request(step % 3)
        set_overload(driver, overload)
        lost = sum(
            driver.config.classes[step % 3].priority_weight
            for step in range(1500)
            if driver.rejects_new_request(step % 3)
        )
        assert abs(lost / (500 * (10 + 1 + 1)) - overload**3) < 0.07


def test_lowest_priority_weight_is_rejected_first_with_the_longest_retry_after() -> None:
    driver = PolicyDriver(settings(), endpoints=50)
    for step in range(600):
        driver.request(step % 3)
    set_overload(driver, 0.5)
    rejected = {cls: 0 for cls in range(3)}
    waits: list[float] = []
    for step in range(900):
        for command in driver.commands_for_new_request(step % 3):
            if isinstance(command, RejectRequest):
                rejected[step % 3] += 1
                waits.append(command.retry_after)
    assert rejected[0] == 0  # of ten times the priority weight of the others
    assert rejected[1] + rejected[2] > 300
    assert min(waits) > 0 and max(waits) <= 2000.0
    low = [retry_after(driver, 1.0) for _ in range(200)]
    high = [retry_after(driver, 90.0) for _ in range(200)]
    assert min(low) > max(high)


def test_small_change_of_overload_does_not_reject_all_of_high_priority() -> None:
    # Scores are spread by offered priority weight: spread by count, they would all be close to 100.
    shares = []
    for overload in (0.96, 0.999):
        driver = PolicyDriver(settings(), endpoints=50)
        for step in range(600):
            driver.request(0 if step % 20 == 0 else 1 + step % 2)
        set_overload(driver, overload)
        shares.append(sum(driver.rejects_new_request(0) for _ in range(300)) / 300)
    assert shares[1] - shares[0] < 0.5


def test_slower_of_two_classes_of_equal_priority_weight_is_not_starved() -> None:
    driver = PolicyDriver(
        settings(classes=(KEYED, replace(NOT_IDEMPOTENT, priority_weight=1.0))), endpoints=50
    )
    for step in range(1000):
        driver.now += 5
        number = driver.request(step % 2)
        if driver.is_in_flight(number):
            driver.serve(number, 30.0 if step % 2 else 90.0)
    set_overload(driver, 0.8)
    rejected = [0, 0]
    for step in range(600):
        rejected[step % 2] += driver.rejects_new_request(step % 2)
    assert min(rejected) > 0.6 * max(rejected)


def test_no_attempt_that_cannot_meet_its_latency_objective() -> None:
    driver = PolicyDriver(settings(classes=(IDEMPOTENT,)), endpoints=30)
    for _ in range(300):
        driver.now += 20
        driver.serve(driver.request(), 200.0)
    number = driver.request(deadline_in=30.0)
    assert driver.attempts[number] == []
    assert driver.outcomes[number] == RequestOutcome.REJECTED


def test_request_whose_cost_hint_exceeds_its_time_left_is_rejected_at_once() -> None:
    driver = PolicyDriver(settings(classes=(IDEMPOTENT,)), endpoints=10)
    for _ in range(200):
        driver.now += 20
        driver.serve(driver.request(deadline_in=300.0))
    light = driver.request(deadline_in=90.0, cost_hint=40.0)
    heavy = driver.request(deadline_in=90.0, cost_hint=120.0)
    assert driver.attempts[light]
    assert driver.outcomes[heavy] == RequestOutcome.REJECTED


def test_only_the_start_and_end_of_shedding_are_logged() -> None:
    driver = PolicyDriver(settings(classes=(IDEMPOTENT,)), endpoints=20)
    lines: list[str] = []
    for step in range(2000):
        driver.now += 20
        lines += [
            command.message for command in driver.commands_for_new_request(0) if isinstance(command, WriteLog)
        ]
        for number, attempt in list(driver.attempts_in_flight):
            driver.end_attempt(
                number, attempt, AttemptResult.TIMEOUT if step < 400 else AttemptResult.SUCCESS
            )
    assert 2 <= len(lines) <= 10
    assert lines[0].startswith("load shedding on") and lines[-1].startswith("load shedding off")
