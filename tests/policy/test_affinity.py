"""Key affinity: which endpoints the hash ring maps a key to."""

from __future__ import annotations

from load_balancer.policy.commands import SendAttempt
from tests.policy.driver import IDEMPOTENT, NOT_IDEMPOTENT, PolicyDriver, settings, target_ids
from tests.policy.policy_state import first_replica_endpoint


def test_nodes_send_most_keys_to_the_same_endpoint() -> None:
    endpoint_ids = []
    for seed in (1, 2):
        driver = PolicyDriver(
            settings(endpoints_cache_keys=True, classes=(NOT_IDEMPOTENT,)), seed=seed, endpoints=40
        )
        for key in range(1, 400):
            driver.now += 100
            driver.serve(driver.request(key=key * 7919))
        endpoint_ids.append(target_ids(driver))
    same_count = sum(a == b for a, b in zip(*endpoint_ids, strict=True))
    assert same_count > 200  # there are 399 keys, of which about 10 would agree by chance


def test_hot_key_is_spread_over_several_endpoints() -> None:
    driver = PolicyDriver(settings(endpoints_cache_keys=True, classes=(NOT_IDEMPOTENT,)), endpoints=40)
    for step in range(600):
        driver.now += 10
        driver.serve(driver.request(key=5 if step % 3 else step + 10))  # two requests in three have key 5
    hot_key_endpoint_ids = [
        command.endpoint_id
        for command in driver.commands
        if isinstance(command, SendAttempt) and driver.requests[command.request_id].key == 5
    ]
    assert len(set(hot_key_endpoint_ids)) > 10


def test_only_nodes_with_the_same_subset_map_keys_alike() -> None:
    # If nodes that share a subset mapped keys differently, each endpoint would get more keys than it can
    # cache.
    mappings = []
    for node in (0, 1, 23):  # nodes 0 and 1 share a subset, node 23 has another
        driver = PolicyDriver(
            settings(classes=(IDEMPOTENT,), node_count=24, node_index=node, endpoints_cache_keys=True),
            endpoints=80,
        )
        mappings.append([first_replica_endpoint(driver, key) for key in range(1, 200)])
    assert mappings[0] == mappings[1]
    assert not set(mappings[0]) & set(mappings[2])
