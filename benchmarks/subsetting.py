"""Measures how evenly subsets cover the endpoints, and how much changes of the endpoint list alter them."""

from __future__ import annotations

from dataclasses import dataclass, replace

from benchmarks.fleet import policy_endpoint, policy_settings
from load_balancer.policy.endpoint_table import EndpointTable
from load_balancer.policy.endpoints import EndpointState
from load_balancer.policy.subsetting import subset_by_arc, subset_by_rank

CHANGES = 8  # changes of the endpoint list, each of which adds one endpoint and removes one
SAMPLED_NODES = 20  # nodes examined where examining all would take too long
REMOVAL_STRIDE = 37  # difference between the numbers of successively removed endpoints


@dataclass(frozen=True)
class Coverage:
    """Results for one subsetting method and one fleet size."""

    method: str
    """`rank` (a subset is a range of positions in hash order) or `arc` (a range of hash values)."""
    endpoints: int
    nodes: int
    subsets: int
    """Number of distinct subsets."""
    smallest: int
    """Endpoints in the smallest subset."""
    largest: int
    """Endpoints in the largest subset."""
    nodes_per_endpoint: float
    """Average number of nodes that have an endpoint in their subset."""
    load_max: float
    """Highest load of an endpoint if all nodes send the same load; 1 is the mean."""
    load_p99: float
    """99th percentile of the endpoints' loads."""
    load_min: float
    """Lowest load of an endpoint."""
    churn: float
    """Average number of endpoints that enter or leave a node's subset when one is added and one removed."""


def measure_coverage(endpoints: int, nodes: int, by_rank: bool) -> Coverage:
    """Compute the nodes' subsets of one fleet, and how those of a sample of the nodes change with the fleet.

    With the rank method, the coverage is computed from the sample too, since all nodes would take too long.
    """
    subsetter = _Subsetter(endpoints, nodes, by_rank)
    sample = range(0, nodes, max(1, nodes // SAMPLED_NODES))
    covering_nodes = sample if by_rank else range(nodes)
    subsets = [subsetter.subset(node) for node in covering_nodes]
    sizes = [len(subset) for subset in {subset[0]: subset for subset in reversed(subsets)}.values()]
    loads = _relative_loads(subsetter, subsets)
    return Coverage(
        method="rank" if by_rank else "arc",
        endpoints=endpoints,
        nodes=nodes,
        subsets=len(sizes),
        smallest=min(sizes),
        largest=max(sizes),
        nodes_per_endpoint=sum(map(len, subsets)) / len(covering_nodes) * nodes / endpoints,
        load_max=loads[-1],
        load_p99=loads[int(len(loads) * 0.99)],
        load_min=loads[0],
        churn=_churn(subsetter, sample),
    )


class _Subsetter:
    """Fleet whose endpoints are divided into subsets by the rank or arc method (see `Coverage.method`)."""

    def __init__(self, endpoints: int, nodes: int, by_rank: bool) -> None:
        self.endpoints = endpoints
        self.by_rank = by_rank
        self.table = EndpointTable(policy_settings(node_count=nodes))
        self._choose = subset_by_rank if by_rank else subset_by_arc
        self._settings = policy_settings(node_count=nodes)
        for number in range(endpoints):
            self.table.put(policy_endpoint(number))

    def subset(self, node: int) -> list[int]:
        """Return the endpoint ids in a node's subset."""
        return self._choose(self.table, replace(self._settings, node_index=node), sparse=True).ids

    def change(self, number: int) -> None:
        """Add one endpoint and remove another."""
        self.table.put(policy_endpoint(self.endpoints + number))
        self.table.put(policy_endpoint(number * REMOVAL_STRIDE, state=EndpointState.REMOVED))


def _relative_loads(subsetter: _Subsetter, subsets: list[list[int]]) -> list[float]:
    """Return the endpoints' loads relative to the mean, ascending, if all nodes send the same load."""
    loads: dict[int, float] = dict.fromkeys(subsetter.table.ids(), 0.0)
    for subset in subsets:
        for endpoint_id in subset:
            loads[endpoint_id] += 1 / len(subset)
    # With the rank method, only a sample of nodes is examined: endpoints outside its subsets are left out.
    covered = sorted(load for load in loads.values() if load or not subsetter.by_rank)
    mean = sum(covered) / len(covered)
    return [load / mean for load in covered]


def _churn(subsetter: _Subsetter, nodes: range) -> float:
    """Return the average number of endpoints that change in a node's subset with each change of the list."""
    before = {node: set(subsetter.subset(node)) for node in nodes}
    changed = 0
    for number in range(CHANGES):
        subsetter.change(number)
        for node in nodes:
            after = set(subsetter.subset(node))
            changed += len(after ^ before[node])
            before[node] = after
    return changed / CHANGES / len(nodes)
