"""Endpoint selection: idle endpoints first, else by load; weights and zones shift the choice."""

from __future__ import annotations

from dataclasses import replace

from load_balancer.policy.events import AttemptResult, UpdateKind
from tests.policy.driver import IDEMPOTENT, NOT_IDEMPOTENT, PolicyDriver, endpoint, settings, target_ids
from tests.policy.policy_state import eject


def test_endpoints_with_a_higher_weight_get_more_keys_and_requests() -> None:
    for with_keys in (True, False):
        config = settings(classes=(IDEMPOTENT,), endpoints_cache_keys=with_keys)
        driver = PolicyDriver(config, endpoints=0)
        driver.update_endpoints(
            [replace(endpoint(i), weight=4.0 if i < 10 else 1.0) for i in range(40)], UpdateKind.SNAPSHOT
        )
        for step in range(2000):
            driver.now += 5
            driver.serve(driver.request(key=step * 7919 + 1 if with_keys else 0))
        share = sum(endpoint_id < 10 for endpoint_id in target_ids(driver)) / 2000
        assert 0.45 < share < 0.7  # these endpoints have 40 of the total weight of 70


def test_endpoints_with_weight_0_share_the_traffic() -> None:
    # Weights of 0 must not cause a division by zero, nor leave any endpoint without traffic.
    used = set()
    for seed in range(8):
        driver = PolicyDriver(settings(classes=(IDEMPOTENT,)), endpoints=0, seed=seed)
        driver.update_endpoints([replace(endpoint(i), weight=0.0) for i in range(8)], UpdateKind.SNAPSHOT)
        for _ in range(50):
            driver.now += 200
            driver.serve(driver.request())
        sent = target_ids(driver)
        assert len(sent) == 50
        assert min(sent.count(i) for i in (0, 3, 6)) > 2  # the endpoints in the node's zone
        used |= set(sent)
    assert used == set(range(8))


def test_slow_endpoint_without_attempts_in_flight_does_not_count_as_idle() -> None:
    # In a large fleet, a node has no attempts in flight at most endpoints, slow ones included; if that made
    # them idle, slow endpoints would get as much traffic as fast ones.
    driver = PolicyDriver(settings(classes=(IDEMPOTENT,)), endpoints=40)
    for _ in range(2000):
        driver.now += 20
        request_id = driver.request()
        driver.end_attempt(
            request_id, 0, AttemptResult.SUCCESS, 300.0 if target_ids(driver)[-1] < 4 else 60.0
        )
    share = sum(endpoint_id < 4 for endpoint_id in target_ids(driver)[-1500:]) / 1500
    assert share < 0.06  # slow endpoints are a tenth of all


def test_endpoint_with_fewer_attempts_in_flight_is_preferred() -> None:
    driver = PolicyDriver(settings(classes=(NOT_IDEMPOTENT,)), endpoints=2)
    driver.request()
    busy_endpoint = target_ids(driver)[0]
    for _ in range(100):
        request_id = driver.request()
        driver.serve(request_id)
        driver.now += 1
    assert target_ids(driver)[1:].count(busy_endpoint) < 10  # a random choice would send it half of the 100


def test_cross_zone_cost_makes_idle_endpoints_in_the_zone_of_the_node_come_first() -> None:
    node_zone_shares = []
    for cost in (0.0, 0.12):
        driver = PolicyDriver(settings(classes=(IDEMPOTENT,), cross_zone_cost=cost), endpoints=12)
        for _ in range(500):
            driver.now += 20
            driver.serve(driver.request())
        node_zone_shares.append(sum(driver.endpoints[i].zone == 0 for i in target_ids(driver)[-400:]) / 400)
        zones = {driver.attempts[driver.request()][0].endpoint.zone for _ in range(12)}
    assert node_zone_shares[0] < 0.95 and node_zone_shares[1] == 1.0
    assert zones > {0}  # busy endpoints in the node's zone are not preferred


def test_without_a_cross_zone_cost_the_zone_of_the_node_is_preferred_but_not_exclusive() -> None:
    driver = PolicyDriver(settings(classes=(IDEMPOTENT,), zone=1), endpoints=9)
    for _ in range(600):
        driver.now += 20
        driver.serve(driver.request())
    node_zone_share = sum(driver.endpoints[i].zone == 1 for i in target_ids(driver)) / 600
    assert 0.5 < node_zone_share < 0.95
    for _ in range(40):  # there are no responses, so that the node's zone has no idle endpoint left
        driver.now += 20
        driver.request()
    zones = [driver.endpoints[i].zone for i in target_ids(driver)[-30:]]
    assert zones.count(1) < 16


def test_only_eligible_endpoint_is_found_among_many_ejected_ones() -> None:
    # The random sample may contain only ejected endpoints.
    driver = PolicyDriver(settings(classes=(NOT_IDEMPOTENT,)), endpoints=12)
    for ejected in range(11):
        eject(driver, ejected, driver.now + 60_000.0)
    for _ in range(50):
        driver.serve(driver.request())
    assert set(target_ids(driver)) == {11}
