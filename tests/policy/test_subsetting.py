"""Subsetting: each of many nodes works with a few endpoints."""

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
    # Connections of each of 200 nodes to each of 50 endpoints would be too many for the endpoints.
    used: list[set[int]] = []
    for node in (0, 199):
        driver = PolicyDriver(
            settings(classes=(NOT_IDEMPOTENT,), node_count=200, node_index=node), endpoints=50
        )
        for _ in range(200):
            driver.now += 50
            driver.serve(driver.request())
        used.append(set(target_ids(driver)))
    assert len(used[0]) <= 9
    assert not used[0] & used[1]


def test_all_of_a_small_subset_is_searched_for_an_idle_endpoint() -> None:
    driver = PolicyDriver(settings(classes=(NOT_IDEMPOTENT,), node_count=200), endpoints=50)
    for _ in range(6):
        driver.request()
    assert len(set(target_ids(driver))) == 6


def test_in_a_large_fleet_a_change_affects_only_the_subsets_that_it_is_in() -> None:
    nodes, servers = 600, 3_000
    nodes_settings = [policy_settings(node_index=me, node_count=nodes) for me in range(0, nodes, 10)]
    table = EndpointTable(nodes_settings[0])

    def subsets() -> list[frozenset[int]]:
        return [frozenset(choose_subset(table, one, sparse=True).ids) for one in nodes_settings]

    for i in range(servers):
        table.put(policy_endpoint(i))
    before = subsets()
    assert frozenset.union(*before) == {policy_endpoint(i).id for i in range(servers)}  # each is in one
    assert all(len(subset) >= 48 for subset in before)
    table.put(policy_endpoint(servers))
    table.put(replace(policy_endpoint(7), state=EndpointState.REMOVED))
    moved = [len(old ^ new) for old, new in zip(before, subsets(), strict=True)]
    assert 0 < sum(moved) <= 2 * len(before) / len(set(before)) + 2


@given(st.integers(1, 10**6))
def test_the_number_of_arcs_is_one_of_few(number: int) -> None:
    assert number / 1.2 - 1 < round_down_arc_count(number) <= number
