"""How likely all nodes together send an endpoint in slow start too much, by the binomial distribution."""

from __future__ import annotations

import math
from bisect import bisect_left
from dataclasses import dataclass

from benchmarks.slow_start import overload_bound
from load_balancer.policy.slow_start_budget import GOLDEN_RATIO


@dataclass(frozen=True)
class OverloadChance:
    """How likely more comes in one window than an endpoint bears."""

    nodes: int
    attempts: float
    """In a window, as all nodes' budgets allow on average."""
    allowed: float
    """N: what the endpoint bears on average."""
    chance_saved: float
    """If each node keeps an earned attempt until it uses it."""
    chance_lapsing: float
    """If an earned attempt lapses as in the policy, and the nodes' phases are random."""
    most_spread: int
    """As in the policy, where the phases are evenly spread: the most that come at once."""
    bound: float
    """What the endpoint bears with what is taken for chance."""


def overload_chance(
    nodes: int, attempts: float, overload_factor: float, idle_windows: float
) -> OverloadChance:
    """The chance after so many windows in which nothing was sent."""
    allowed = attempts * overload_factor / 2
    spare = max(allowed - attempts, 0.0) + math.sqrt(allowed) + 1
    bound = overload_bound(allowed)
    ready = attempts + min(spare, attempts * idle_windows)
    return OverloadChance(
        nodes=nodes,
        attempts=attempts,
        allowed=allowed,
        chance_saved=_chance_above(bound, nodes, attempts * (1 + idle_windows)),
        chance_lapsing=_chance_above(bound, nodes, ready),
        most_spread=_most_at_once(nodes, min(1.0, ready / nodes)),
        bound=bound,
    )


def _chance_above(limit: float, nodes: int, mean: float) -> float:
    """The chance that more than `limit` nodes send, if each sends with the same chance, `mean` on average."""
    p = min(1.0, mean / nodes)
    if p == 1.0:
        return float(nodes > limit)
    terms = []
    for k in range(nodes + 1):
        log_ways = math.lgamma(nodes + 1) - math.lgamma(k + 1) - math.lgamma(nodes - k + 1)
        terms.append(math.exp(log_ways + k * math.log(p) + (nodes - k) * math.log1p(-p)))
    return sum(term for k, term in enumerate(terms) if k > limit)


def _most_at_once(nodes: int, share: float) -> int:
    """Of phases at multiples of the golden ratio, modulo 1: the most within a share of the circle."""
    phases = sorted(node * GOLDEN_RATIO % 1.0 for node in range(nodes))
    twice_round = phases + [phase + 1.0 for phase in phases]
    return max(bisect_left(twice_round, phase + share) - i for i, phase in enumerate(phases))
