"""Sequential requests of a key: one at a time, in order of arrival."""

from __future__ import annotations

from typing import Any

import pytest

from load_balancer.policy.events import AttemptResult, RequestCancelled
from tests.policy.driver import (
    NOT_IDEMPOTENT,
    SEQUENTIAL,
    SEQUENTIAL_IDEMPOTENT,
    AttemptId,
    PolicyDriver,
    RequestOutcome,
    settings,
)
from tests.policy.policy_state import tracked_key_count


def sequential_driver(**changes: Any) -> PolicyDriver:
    """A driver of classes: sequential, sequential and idempotent, not sequential."""
    return PolicyDriver(settings(classes=(SEQUENTIAL, SEQUENTIAL_IDEMPOTENT, NOT_IDEMPOTENT), **changes))


def test_requests_of_a_key_run_one_at_a_time_in_order() -> None:
    driver = sequential_driver()
    queued = [driver.request(step % 2, key=7) for step in range(3)]
    other_key, not_sequential = driver.request(0, key=8), driver.request(2, key=7)
    assert [len(driver.attempts[n]) for n in [*queued, other_key, not_sequential]] == [1, 0, 0, 1, 1]
    driver.serve(queued[0])
    assert [len(driver.attempts[n]) for n in queued] == [1, 1, 0]
    driver.cancel(queued[2])  # from the end of the queue, before a new one comes
    last = driver.request(0, key=7)
    driver.serve(queued[1])
    assert len(driver.attempts[last]) == 1


def test_requests_without_a_key_do_not_wait() -> None:
    driver = sequential_driver()
    assert all(driver.attempts[driver.request(0, key=0)] for _ in range(4))


def test_next_of_a_key_waits_for_open_attempts_of_a_finished_request() -> None:
    driver = sequential_driver(can_cancel=False)
    first, second = driver.request(0, key=7), driver.request(0, key=7)
    driver.cancel(first)
    assert not driver.attempts[second]
    driver.end_attempt(first, 0, AttemptResult.ERROR)
    assert len(driver.attempts[second]) == 1


@pytest.mark.parametrize("result", [AttemptResult.RESET, AttemptResult.TIMEOUT, AttemptResult.CANCELLED])
def test_key_has_a_cooldown_after_an_attempt_that_may_still_run(result: AttemptResult) -> None:
    driver = sequential_driver(key_cooldown=120.0)
    first, second = driver.request(0, key=7), driver.request(0, key=7)
    driver.end_attempt(first, 0, result)
    driver.advance(119.0)
    assert not driver.attempts[second]
    driver.advance(2.0)  # by timer: no other event comes
    assert len(driver.attempts[second]) == 1


def test_retries_do_not_wait_for_the_cooldown() -> None:
    driver = sequential_driver(key_cooldown=120.0)
    number = driver.request(1, key=7)
    driver.end_attempt(number, 0, AttemptResult.RESET)
    assert len(driver.attempts[number]) == 2


def test_queued_request_is_answered_by_its_timer() -> None:
    driver = sequential_driver(can_cancel=False)
    first = driver.request(0, key=7)
    queued = driver.request(0, key=7)
    driver.cancel(first)
    del driver.attempts_in_flight[AttemptId(first, 0)]  # its outcome never comes
    driver.advance(1000.0)
    assert driver.outcomes[queued] == RequestOutcome.REJECTED


def test_end_of_a_queue_that_cannot_be_served_in_time_is_rejected_at_once() -> None:
    driver = sequential_driver()
    for _ in range(200):  # answers take 100 ms
        driver.now += 200
        driver.serve(driver.request(2), 100.0)
        driver.serve(driver.request(0, key=9), 100.0)
    numbers = [driver.request(0, key=7) for _ in range(30)]
    rejected = [n for n in numbers if driver.outcomes.get(n) == RequestOutcome.REJECTED]
    assert 20 < len(rejected) < 29
    assert rejected == numbers[-len(rejected) :]


def test_finished_keys_are_forgotten() -> None:
    driver = sequential_driver()
    for key in range(1, 300):
        driver.serve(driver.request(0, key=key))
        driver.now += 100
    assert tracked_key_count(driver) < 150


def test_restarted_node_knows_nothing_of_earlier_requests() -> None:
    driver = sequential_driver()
    driver.request(0, key=7)
    again = sequential_driver()
    number = again.request(0, key=7)
    assert len(again.attempts[number]) == 1
    assert again.policy.handle(again.now, RequestCancelled(99)) == []
