"""Key sequencing: requests with the same key run one at a time, in order of arrival."""

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
    """Return a driver with the classes 0: sequential, 1: sequential and idempotent, 2: not sequential."""
    return PolicyDriver(settings(classes=(SEQUENTIAL, SEQUENTIAL_IDEMPOTENT, NOT_IDEMPOTENT), **changes))


def test_requests_with_a_key_run_one_at_a_time_in_order() -> None:
    driver = sequential_driver()
    queued = [driver.request(step % 2, key=7) for step in range(3)]
    other_key, not_sequential = driver.request(0, key=8), driver.request(2, key=7)
    assert [len(driver.attempts[n]) for n in [*queued, other_key, not_sequential]] == [1, 0, 0, 1, 1]
    driver.serve(queued[0])
    assert [len(driver.attempts[n]) for n in queued] == [1, 1, 0]
    driver.cancel(queued[2])  # the last in the queue; the next request takes its place
    new_last = driver.request(0, key=7)
    driver.serve(queued[1])
    assert len(driver.attempts[new_last]) == 1


def test_requests_without_a_key_do_not_wait() -> None:
    driver = sequential_driver()
    assert all(driver.attempts[driver.request(0, key=0)] for _ in range(4))


def test_next_request_of_a_key_waits_for_open_attempt_of_cancelled_request() -> None:
    driver = sequential_driver(can_cancel=False)
    first, second = driver.request(0, key=7), driver.request(0, key=7)
    driver.cancel(first)
    assert not driver.attempts[second]
    driver.end_attempt(first, 0, AttemptResult.ERROR)
    assert len(driver.attempts[second]) == 1


@pytest.mark.parametrize("result", [AttemptResult.RESET, AttemptResult.TIMEOUT, AttemptResult.CANCELLED])
def test_key_is_blocked_for_the_cooldown_after_an_attempt_that_may_still_run(result: AttemptResult) -> None:
    driver = sequential_driver(key_cooldown=120.0)
    first, second = driver.request(0, key=7), driver.request(0, key=7)
    driver.end_attempt(first, 0, result)
    driver.advance(119.0)
    assert not driver.attempts[second]
    driver.advance(2.0)  # only the timer fires; there is no other event
    assert len(driver.attempts[second]) == 1


def test_retries_do_not_wait_for_the_cooldown() -> None:
    driver = sequential_driver(key_cooldown=120.0)
    request_id = driver.request(1, key=7)
    driver.end_attempt(request_id, 0, AttemptResult.RESET)
    assert len(driver.attempts[request_id]) == 2


def test_queued_request_is_rejected_when_its_timer_fires() -> None:
    driver = sequential_driver(can_cancel=False)
    first = driver.request(0, key=7)
    queued = driver.request(0, key=7)
    driver.cancel(first)
    del driver.attempts_in_flight[AttemptId(first, 0)]  # its result never arrives
    driver.advance(1000.0)
    assert driver.outcomes[queued] == RequestOutcome.REJECTED


def test_requests_too_far_back_in_a_queue_are_rejected_at_once() -> None:
    driver = sequential_driver()
    for _ in range(200):  # the policy learns a latency of 100 ms
        driver.now += 200
        driver.serve(driver.request(2), 100.0)
        driver.serve(driver.request(0, key=9), 100.0)
    # At 100 ms each, about 4 of the 30 requests can be served within the latency objective of 400 ms, and no
    # more than 9 within their deadline of 900 ms.
    request_ids = [driver.request(0, key=7) for _ in range(30)]
    rejected = [n for n in request_ids if driver.outcomes.get(n) == RequestOutcome.REJECTED]
    assert 20 < len(rejected) < 29
    assert rejected == request_ids[-len(rejected) :]


def test_state_of_keys_without_requests_is_dropped() -> None:
    driver = sequential_driver()
    for key in range(1, 300):
        driver.serve(driver.request(0, key=key))
        driver.now += 100
    assert tracked_key_count(driver) < 150


def test_restarted_node_has_no_state_of_earlier_requests() -> None:
    driver = sequential_driver()
    driver.request(0, key=7)
    restarted = sequential_driver()
    request_id = restarted.request(0, key=7)
    assert len(restarted.attempts[request_id]) == 1
    assert restarted.policy.handle(restarted.now, RequestCancelled(99)) == []
