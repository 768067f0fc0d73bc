"""Slow start: endpoints that started lately get a part of what their peers get."""

from __future__ import annotations

from dataclasses import replace

import pytest

from load_balancer.policy.endpoints import EndpointState
from load_balancer.policy.events import AttemptResult, UpdateKind
from tests.policy.driver import IDEMPOTENT, NOT_IDEMPOTENT, PolicyDriver, endpoint, sent_to, settings
from tests.policy.policy_state import is_eligible, set_peak_goodput_per_endpoint


def test_endpoint_in_slow_start_gets_less_than_its_peers() -> None:
    driver = PolicyDriver(settings(classes=(NOT_IDEMPOTENT,)), endpoints=10)
    shares = []
    for step in range(3000):
        driver.now += 4
        if step == 1000:
            driver.update_endpoints([endpoint(10, started=driver.now)])
            first = len(sent_to(driver))
        driver.serve(driver.request())
        if step in (1500, 2999):
            endpoint_ids = sent_to(driver)[first:]
            shares.append(endpoint_ids.count(10) / (len(endpoint_ids) / 11))
    assert 0 < shares[0] < 0.5
    assert shares[1] < 1.0


@pytest.mark.parametrize("nodes", [5, 30, 200])
def test_attempts_saved_up_for_an_endpoint_in_slow_start_do_not_come_at_once(nodes: int) -> None:
    # The nodes together must keep to the overload factor, also after seconds without traffic.
    overload_factor, age = 2.0, 8000.0
    answered_per_second, sent = 5.0, 0  # by a peer that is warmed up, to all nodes
    config = settings(classes=(NOT_IDEMPOTENT,), node_count=nodes, slow_start_overload_factor=overload_factor)
    for node in range(nodes):
        driver = PolicyDriver(replace(config, node_index=node), seed=node, endpoints=0)
        driver.update_endpoints([endpoint(0), endpoint(1, started=driver.now)], UpdateKind.SNAPSHOT)
        for _ in range(int(age / 50)):
            set_peak_goodput_per_endpoint(driver, answered_per_second / nodes)
            is_eligible(driver, 1)
            driver.now += 50
        driver.update_endpoints([endpoint(0, EndpointState.DRAINING)])
        set_peak_goodput_per_endpoint(driver, answered_per_second / nodes)
        driver.request(0)
        sent += 1 in sent_to(driver)
    allowed = overload_factor * answered_per_second * (0.2 + 0.8 * age / 10_000.0)
    assert 0 < sent <= allowed + 2 * allowed**0.5 + 2


def test_share_in_slow_start_is_measured_against_peers_that_are_warmed_up() -> None:
    # When a fleet quadruples, the mean over all endpoints is far under the share of one that is warmed up.
    driver = PolicyDriver(settings(classes=(NOT_IDEMPOTENT,)), endpoints=5)
    first = 0
    for step in range(4000):
        driver.now += 4
        if step == 2000:
            driver.update_endpoints([endpoint(i, started=driver.now) for i in range(5, 20)])
            first = len(sent_to(driver))
        number = driver.request()
        if driver.is_in_flight(number):
            driver.serve(number)
    in_slow_start = sum(target >= 5 for target in sent_to(driver)[first:])
    assert 0.35 < in_slow_start / 2000 < 0.75


def test_share_in_slow_start_counts_the_answers_of_peers_not_their_attempts() -> None:
    # Peers that take no connections get several attempts for each request.
    driver = PolicyDriver(settings(classes=(IDEMPOTENT,), node_count=5), endpoints=10)
    first = 0
    for step in range(3000):
        driver.now += 20
        if step == 2000:
            driver.update_endpoints([endpoint(10, started=driver.now)])
            first = len(sent_to(driver))
        number = driver.request()
        while driver.attempts_in_flight:
            attempt = driver.oldest_in_flight()
            in_slow_start = driver.attempts[number][-1].endpoint.id == 10
            result = (
                AttemptResult.SUCCESS
                if in_slow_start or step < 1000 or step % 20 == 0
                else AttemptResult.CONNECT_FAILED
            )
            driver.end_attempt(*attempt, result)
        if step == 2300:
            break
    per_second = sent_to(driver)[first:].count(10) / 6.0
    assert 0 < per_second < 50 / 10  # what each peer answered before its connections failed


def test_endpoint_restarted_under_its_own_id_is_in_slow_start_again() -> None:
    driver = PolicyDriver(settings(classes=(IDEMPOTENT,), node_count=5), endpoints=6)
    counts = []
    for step in range(900):
        driver.now += 10
        if step == 600:
            driver.update_endpoints([endpoint(0, started=driver.now)])
        driver.serve(driver.request())
        if step in (299, 599, 899):
            counts.append(sent_to(driver).count(0))
    assert counts[2] - counts[1] < 0.6 * (counts[1] - counts[0])


def test_new_node_sends_a_fleet_in_slow_start_its_small_share() -> None:
    # It has seen no traffic yet; all such nodes together must stay within what the endpoints can do.
    nodes, sent = 60, [0] * 8
    for node in range(nodes):
        driver = PolicyDriver(
            settings(classes=(IDEMPOTENT,), node_count=nodes, node_index=node), seed=node, endpoints=0
        )
        driver.update_endpoints([endpoint(i, started=driver.now) for i in range(8)], UpdateKind.SNAPSHOT)
        for _ in range(10):
            driver.now += 100
            driver.request()
        for endpoint_id in sent_to(driver):
            sent[endpoint_id] += 1
    # At 100 ms an answer, an endpoint serves 10/s when warmed up, a fifth of it at first; factor 2.5.
    assert sum(sent) > 0
    assert max(sent) <= 10 * 0.2 * 2.5 + 5
