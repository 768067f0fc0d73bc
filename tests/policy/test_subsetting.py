"""Subsetting: each of many nodes uses only some of the endpoints."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from benchmarks.fleet import policy_endpoint, policy_settings
from load_balancer.policy.endpoint_table import EndpointTable
from load_balancer.policy.endpoints import EndpointState
from load_balancer.policy.subsetting import choose_subset, round_down_arc_count
from tests.policy.driver import NOT_IDEMPOTENT, PolicyDriver, settings, target_ids


def test_each_of_many_nodes_uses_a_small_subset_of_its_own() -> None:
    # If each of 200 nodes connected to each of 50 endpoints, an endpoint would have too many connections.
    subsets: list[set[int]] = []
    for node in (0, 199):
        driver = PolicyDriver(
            settings(classes=(NOT_IDEMPOTENT,), node_count=200, node_index=node), endpoints=50
        )
        for _ in range(200):
            driver.now += 50
            driver.serve(driver.request())
        subsets.append(set(target_ids(driver)))
    assert len(subsets[0]) <= 9
    assert not subsets[0] & subsets[1]


def test_all_of_a_small_subset_is_searched_for_an_idle_endpoint() -> None:
    driver = PolicyDriver(settings(classes=(NOT_IDEMPOTENT,), node_count=200), endpoints=50)
    for _ in range(6):
        driver.request()
    assert len(set(target_ids(driver))) == 6


def test_change_in_a_large_fleet_affects_only_the_subset_of_the_changed_endpoint() -> None:
    nodes, endpoints = 600, 3_000
    settings_by_node = [policy_settings(node_index=node, node_count=nodes) for node in range(0, nodes, 10)]
    table = EndpointTable(settings_by_node[0])

    def subsets() -> list[frozenset[int]]:
        return [frozenset(choose_subset(table, config, sparse=True).ids) for config in settings_by_node]

    for i in range(endpoints):
        table.put(policy_endpoint(i))
    before = subsets()
    # Every endpoint is in a subset.
    assert frozenset.union(*before) == {policy_endpoint(i).id for i in range(endpoints)}
    assert all(len(subset) >= 48 for subset in before)
    table.put(policy_endpoint(endpoints))
    table.put(replace(policy_endpoint(7), state=EndpointState.REMOVED))
    change_sizes = [len(old ^ new) for old, new in zip(before, subsets(), strict=True)]
    # Each of the two changes affects one subset, which is that of len(before) / len(set(before)) nodes on
    # average.
    assert 0 < sum(change_sizes) <= 2 * len(before) / len(set(before)) + 2


@given(st.integers(1, 10**6))
def test_arc_count_is_rounded_down_only_slightly(limit: int) -> None:
    assert limit / 1.2 - 1 < round_down_arc_count(limit) <= limit
