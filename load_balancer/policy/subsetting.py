"""Endpoint subsetting: limits the endpoints that a node uses.

A node uses all endpoints, unless it has few attempts in flight for each of them (``sparse``) or the fleet is
large. Then each group of nodes shares a subset that is contiguous in the order of the endpoints' hashes: a
node can judge the load of a few endpoints better, and an endpoint accepts a limited number of connections.
Nodes of a group map keys to the same endpoints.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from load_balancer.policy.endpoint_table import EndpointTable
from load_balancer.policy.settings import Settings

# Up to this many ready endpoints, subsets are ranges of ranks (positions in hash order): equal in size, but
# shifted by each change.
MAX_RANKED_ENDPOINTS = 1000
MIN_NODES_PER_RANGE = 6
MIN_RANGE_ENDPOINTS = 8
# In a larger fleet, subsets are arcs of the hash space, which only change with the endpoints inside them. The
# sizes of arcs with n endpoints on average vary by a fraction of about 1 / sqrt(n), so arcs are larger than
# ranges, and more nodes share each of them.
MIN_NODES_PER_ARC = 12
MIN_ARC_ENDPOINTS = 48  # endpoints per arc, on average over all arcs
MAX_ARC_ENDPOINTS = 2000  # the same before the arc count is rounded down, so the actual average can be higher
ARC_COUNTS_PER_DOUBLING = 4  # permitted arc counts per doubling; few, so that the count rarely changes
HASH_BITS = 64


@dataclass(slots=True)
class Subset:
    """The ready endpoints that a node uses."""

    candidates: list[int]
    """Ids of the endpoints that may be tried, in hash order.

    These are the subset and, for use if it has no eligible endpoint, all other ready endpoints (subsets by
    rank) or those of the next arc (subsets by arc).
    """
    start: int
    """Index of the subset's first endpoint in ``candidates``."""
    size: int
    """Number of endpoints in the subset, or 1 if there are none."""
    ids: list[int] = field(init=False)
    """Ids of the endpoints in the subset."""

    def __post_init__(self) -> None:
        self.ids = self.candidates[self.start : self.start + self.size]


def choose_subset(table: EndpointTable, settings: Settings, sparse: bool) -> Subset:
    """Choose the subset of the node that the settings describe.

    Args:
        table: All endpoints.
        settings: Node settings, of which the node's index and the number of nodes are used.
        sparse: Whether a node has so few attempts in flight per endpoint that groups of nodes share subsets.
    """
    if table.ready_count > MAX_RANKED_ENDPOINTS:
        return subset_by_arc(table, settings, sparse)
    return subset_by_rank(table, settings, sparse)


def subset_by_rank(table: EndpointTable, settings: Settings, sparse: bool) -> Subset:
    """Choose a range of the ready endpoints' ranks in hash order; arguments as for ``choose_subset``."""
    node, nodes = settings.node_index, settings.node_count
    ready = table.ready_ids()
    groups = max(1, min(nodes // MIN_NODES_PER_RANGE, len(ready) // MIN_RANGE_ENDPOINTS)) if sparse else 1
    group = node * groups // nodes
    start = group * len(ready) // groups
    return Subset(ready, start, max(1, (group + 1) * len(ready) // groups - start))


def subset_by_arc(table: EndpointTable, settings: Settings, sparse: bool) -> Subset:
    """Choose the ready endpoints in an arc of the hash space; arguments as for ``choose_subset``."""
    node, nodes = settings.node_index, settings.node_count
    sparse_arcs = min(nodes // MIN_NODES_PER_ARC, table.ready_count // MIN_ARC_ENDPOINTS) if sparse else 1
    arcs_for_max_size = -(-table.ready_count // MAX_ARC_ENDPOINTS)
    arcs = round_down_arc_count(max(1, sparse_arcs, arcs_for_max_size))
    arc = node * arcs // nodes
    own_ids = _ready_in_arc(table, arc, arcs)
    # If no endpoint of the subset is eligible, the next arc's endpoints are tried instead of the whole fleet.
    next_ids = _ready_in_arc(table, (arc + 1) % arcs, arcs)
    return Subset(own_ids + next_ids, 0, max(1, len(own_ids)))


def _ready_in_arc(table: EndpointTable, arc: int, arcs: int) -> list[int]:
    return table.ready_ids((arc << HASH_BITS) // arcs, ((arc + 1) << HASH_BITS) // arcs)


def round_down_arc_count(limit: int) -> int:
    """Return the largest permitted arc count up to ``limit``.

    Permitted counts are the integer parts of the powers of 2 ** (1 / ARC_COUNTS_PER_DOUBLING).
    """
    exponent = (limit.bit_length() - 1) * ARC_COUNTS_PER_DOUBLING
    while 2 ** ((exponent + 1) / ARC_COUNTS_PER_DOUBLING) <= limit:
        exponent += 1
    return int(2 ** (exponent / ARC_COUNTS_PER_DOUBLING))
