"""Endpoints that cache keys: where the ring places a key."""

from __future__ import annotations

from load_balancer.policy.commands import SendAttempt
from tests.policy.driver import IDEMPOTENT, NOT_IDEMPOTENT, PolicyDriver, settings, target_ids
from tests.policy.policy_state import first_replica_endpoint


def test_nodes_agree_on_the_endpoints_of_a_key() -> None:
    used = []
    for seed in (1, 2):
        driver = PolicyDriver(
            settings(endpoints_cache_keys=True, classes=(NOT_IDEMPOTENT,)), seed=seed, endpoints=40
        )
        for key in range(1, 400):
            driver.now += 100
            driver.serve(driver.request(key=key * 7919))
        used.append(target_ids(driver))
    same = sum(a == b for a, b in zip(*used, strict=True))
    assert same > 200  # by chance it would be about ten


def test_hot_key_is_spread_over_several_endpoints() -> None:
    driver = PolicyDriver(settings(endpoints_cache_keys=True, classes=(NOT_IDEMPOTENT,)), endpoints=40)
    for step in range(600):
        driver.now += 10
        driver.serve(driver.request(key=5 if step % 3 else step + 10))
    used = [
        command.endpoint_id
        for command in driver.commands
        if isinstance(command, SendAttempt) and driver.requests[command.request_id].key == 5
    ]
    assert len(set(used)) > 10


def test_nodes_with_one_subset_place_keys_alike_and_others_elsewhere() -> None:
    # Nodes that placed keys differently would send an endpoint more keys than it can cache.
    places = []
    for node in (0, 1, 23):
        driver = PolicyDriver(
            settings(classes=(IDEMPOTENT,), node_count=24, node_index=node, endpoints_cache_keys=True),
            endpoints=80,
        )
        places.append([first_replica_endpoint(driver, key) for key in range(1, 200)])
    assert places[0] == places[1]
    assert not set(places[0]) & set(places[2])
