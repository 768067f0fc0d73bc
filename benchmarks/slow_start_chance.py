"""Probability that all nodes together overload an endpoint in slow start, by the binomial distribution."""

from __future__ import annotations

import math
from bisect import bisect_left
from dataclasses import dataclass

from benchmarks.slow_start import overload_bound
from load_balancer.policy.slow_start_budget import GOLDEN_RATIO


@dataclass(frozen=True)
class OverloadChance:
    """Probabilities of more attempts in one window than an endpoint in slow start can take.

    The phase of a node is the fraction of its first attempt that its budget starts with.
    """

    nodes: int
    attempts: float
    """Attempts per window that all nodes' budgets allow on average."""
    allowed: float
    """Attempts per window (N) from which the policy derives how long an earned attempt can be used.

    `attempts` times half of the overload factor (see OVERLOAD_FACTOR_SHARE_USED of the policy).
    """
    chance_saved: float
    """Probability if each node keeps its earned attempts until it uses them."""
    chance_lapsing: float
    """Probability if earned attempts expire as in the policy, but the phases of the nodes are random."""
    most_spread: int
    """Highest possible number of nodes that send an attempt in the window, with phases spread as in the
    policy: evenly over 0 to 1.
    """
    bound: float
    """Limit above which attempts per window count as overload: N plus an allowance for random variation."""


def overload_chance(
    nodes: int, attempts: float, overload_factor: float, idle_windows: float
) -> OverloadChance:
    """Return the probabilities for the first window after `idle_windows` windows without attempts."""
    allowed = attempts * overload_factor / 2
    # The allowance in SlowStart._lifetime, but without the minimum lifetime of an earned attempt.
    max_saved = max(allowed - attempts, 0.0) + math.sqrt(allowed) + 1
    bound = overload_bound(allowed)
    usable_attempts = attempts + min(max_saved, attempts * idle_windows)
    return OverloadChance(
        nodes=nodes,
        attempts=attempts,
        allowed=allowed,
        chance_saved=_probability_above(bound, nodes, attempts * (1 + idle_windows)),
        chance_lapsing=_probability_above(bound, nodes, usable_attempts),
        most_spread=_max_simultaneous(nodes, min(1.0, usable_attempts / nodes)),
        bound=bound,
    )


def _probability_above(limit: float, nodes: int, mean: float) -> float:
    """Return the probability that more than `limit` nodes send an attempt, if `mean` of them do on average.

    All nodes send independently and with the same probability.
    """
    p_send = min(1.0, mean / nodes)
    if p_send == 1.0:
        return float(nodes > limit)
    terms = []
    for k in range(nodes + 1):
        log_binomial = math.lgamma(nodes + 1) - math.lgamma(k + 1) - math.lgamma(nodes - k + 1)
        terms.append(math.exp(log_binomial + k * math.log(p_send) + (nodes - k) * math.log1p(-p_send)))
    return sum(term for k, term in enumerate(terms) if k > limit)


def _max_simultaneous(nodes: int, share: float) -> int:
    """Return the largest number of nodes whose phases lie within an interval of length `share`.

    The phases are the multiples of the golden ratio modulo 1, on a circle of circumference 1.
    """
    phases = sorted(node * GOLDEN_RATIO % 1.0 for node in range(nodes))
    two_cycles = phases + [phase + 1.0 for phase in phases]
    return max(bisect_left(two_cycles, phase + share) - i for i, phase in enumerate(phases))
