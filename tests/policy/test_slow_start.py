"""Slow start: an endpoint that has just started gets only a share of the attempts that its peers get."""

from __future__ import annotations

from dataclasses import replace

import pytest

from load_balancer.policy.endpoints import EndpointState
from load_balancer.policy.events import AttemptResult, UpdateKind
from tests.policy.driver import IDEMPOTENT, NOT_IDEMPOTENT, PolicyDriver, endpoint, settings, target_ids
from tests.policy.policy_state import is_eligible, set_peak_goodput_per_endpoint


def test_endpoint_in_slow_start_gets_fewer_attempts_than_its_peers() -> None:
    driver = PolicyDriver(settings(classes=(NOT_IDEMPOTENT,)), endpoints=10)
    relative_shares = []  # 1 is an even share
    for step in range(3000):
        driver.now += 4
        if step == 1000:
            driver.update_endpoints([endpoint(10, started=driver.now)])
            sent_before = len(target_ids(driver))
        driver.serve(driver.request())
        if step in (1500, 2999):
            endpoint_ids = target_ids(driver)[sent_before:]
            relative_shares.append(endpoint_ids.count(10) / (len(endpoint_ids) / 11))
    assert 0 < relative_shares[0] < 0.5
    assert relative_shares[1] < 1.0


@pytest.mark.parametrize("nodes", [5, 30, 200])
def test_unused_attempts_at_an_endpoint_in_slow_start_do_not_accumulate(nodes: int) -> None:
    # If nodes kept unused attempts, all of them together could send an endpoint more than its overload factor
    # allows after seconds without traffic.
    overload_factor, age = 2.0, 8000.0  # age in ms
    # Responses of a warm endpoint to all nodes together, and attempts of all nodes at the one in slow start.
    responses_per_second, sent = 5.0, 0
    config = settings(classes=(NOT_IDEMPOTENT,), node_count=nodes, slow_start_overload_factor=overload_factor)
    for node in range(nodes):
        driver = PolicyDriver(replace(config, node_index=node), seed=node, endpoints=0)
        driver.update_endpoints([endpoint(0), endpoint(1, started=driver.now)], UpdateKind.SNAPSHOT)
        for _ in range(int(age / 50)):
            set_peak_goodput_per_endpoint(driver, responses_per_second / nodes)
            is_eligible(driver, 1)  # called for its side effect: adds what was earned so far to the budget
            driver.now += 50
        driver.update_endpoints([endpoint(0, EndpointState.DRAINING)])
        set_peak_goodput_per_endpoint(driver, responses_per_second / nodes)
        driver.request(0)
        sent += 1 in target_ids(driver)
    limit = overload_factor * responses_per_second * (0.2 + 0.8 * age / 10_000.0)
    assert 0 < sent <= limit + 2 * limit**0.5 + 2  # two standard deviations and 2 attempts allow for chance


def test_share_in_slow_start_is_relative_to_warm_peers() -> None:
    # When a fleet grows fourfold, the mean rate over all endpoints is far below that of a warm endpoint.
    driver = PolicyDriver(settings(classes=(NOT_IDEMPOTENT,)), endpoints=5)
    sent_before = 0
    for step in range(4000):
        driver.now += 4
        if step == 2000:
            driver.update_endpoints([endpoint(i, started=driver.now) for i in range(5, 20)])
            sent_before = len(target_ids(driver))
        request_id = driver.request()
        if driver.is_in_flight(request_id):
            driver.serve(request_id)
    sent_in_slow_start = sum(endpoint_id >= 5 for endpoint_id in target_ids(driver)[sent_before:])
    assert 0.35 < sent_in_slow_start / 2000 < 0.75


def test_share_in_slow_start_is_based_on_responses_of_peers_not_on_attempts() -> None:
    # Peers that accept no connections get several attempts for each request; a share of those attempts would
    # be too much for an endpoint in slow start.
    driver = PolicyDriver(settings(classes=(IDEMPOTENT,), node_count=5), endpoints=10)
    sent_before = 0
    for step in range(3000):
        driver.now += 20
        if step == 2000:
            driver.update_endpoints([endpoint(10, started=driver.now)])
            sent_before = len(target_ids(driver))
        request_id = driver.request()
        while driver.attempts_in_flight:
            attempt = driver.oldest_in_flight()
            in_slow_start = driver.attempts[request_id][-1].endpoint.id == 10
            result = (
                AttemptResult.SUCCESS
                if in_slow_start or step < 1000 or step % 20 == 0
                else AttemptResult.CONNECT_FAILED
            )
            driver.end_attempt(*attempt, result)
        if step == 2300:
            break
    per_second = target_ids(driver)[sent_before:].count(10) / 6.0
    assert 0 < per_second < 50 / 10  # each peer's responses per second before connections failed


def test_endpoint_restarted_with_the_same_id_is_in_slow_start_again() -> None:
    # Only the start time in the endpoint list shows the restart.
    driver = PolicyDriver(settings(classes=(IDEMPOTENT,), node_count=5), endpoints=6)
    attempt_counts = []
    for step in range(900):
        driver.now += 10
        if step == 600:
            driver.update_endpoints([endpoint(0, started=driver.now)])
        driver.serve(driver.request())
        if step in (299, 599, 899):
            attempt_counts.append(target_ids(driver).count(0))
    assert attempt_counts[2] - attempt_counts[1] < 0.6 * (attempt_counts[1] - attempt_counts[0])


def test_new_nodes_do_not_overload_a_fleet_in_slow_start() -> None:
    # New nodes know no response rate yet; all of them together must stay within the endpoints' capacity.
    nodes, sent = 60, [0] * 8
    for node in range(nodes):
        driver = PolicyDriver(
            settings(classes=(IDEMPOTENT,), node_count=nodes, node_index=node), seed=node, endpoints=0
        )
        driver.update_endpoints([endpoint(i, started=driver.now) for i in range(8)], UpdateKind.SNAPSHOT)
        for _ in range(10):
            driver.now += 100
            driver.request()
        for endpoint_id in target_ids(driver):
            sent[endpoint_id] += 1
    # At 100 ms per request, a warm endpoint that serves one request at a time serves 10/s; a new one starts
    # at a fifth of that. The test lasts one second, and allows 2.5 times that number of attempts plus 5.
    assert sum(sent) > 0
    assert max(sent) <= 10 * 0.2 * 2.5 + 5
