"""The budget of attempts that a node may send to an endpoint in slow start."""

from __future__ import annotations

from dataclasses import dataclass

from load_balancer.policy.hashing import hash64

GOLDEN_RATIO = 0.6180339887498949  # the fractional parts of its multiples are evenly spread over 0 to 1


@dataclass(slots=True)
class SlowStartBudget:
    """Attempts that a node has earned at one endpoint; written only by ``slow_start``."""

    earned_attempts: float
    """Attempts earned so far, including a fraction of the next one."""
    updated_at: float
    """Time in ms up to which earned attempts have been added."""
    earned_at_last_send: int = 0
    """Whole attempts earned when the latest attempt was sent; only attempts earned later can be used."""


def initial_budget(endpoint_id: int, node_index: int, now: float) -> SlowStartBudget:
    """Return a budget as of ``now`` ms, with a fraction of the first attempt already earned.

    The fractions are spread evenly over the nodes, so that few nodes earn an attempt at the same time.
    """
    phase = (node_index * GOLDEN_RATIO + hash64(endpoint_id) / 2**64) % 1.0
    return SlowStartBudget(earned_attempts=phase, updated_at=now)
