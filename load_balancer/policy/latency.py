"""Latency estimates: typical latency by request class, and latency factor by machine type."""

from __future__ import annotations

from collections.abc import Sequence

from load_balancer.policy.settings import RequestClass

INITIAL_OBJECTIVE_SHARE = 0.25  # initial typical latency of a class, as a share of its latency objective
TYPICAL_GAIN = 0.02  # weight of a new sample in the typical latency
TYPICAL_GAIN_OVERLOADED = 0.002  # weight under overload; low, so that overload latencies don't become typical
OVERLOADED_THRESHOLD = 0.2  # overload from which TYPICAL_GAIN_OVERLOADED applies
MACHINE_TYPE_GAIN = 0.005  # weight of a new sample in the latency factor of its machine type
MAX_RELATIVE_LATENCY = 8.0  # a sample above this multiple of the typical latency counts as this multiple


class LatencyEstimator:
    """Learns latencies from the attempts of this node.

    Args:
        classes: Request classes; their latency objectives give the initial estimates.
    """

    def __init__(self, classes: Sequence[RequestClass]) -> None:
        self.typical_latencies = [
            request_class.latency_objective * INITIAL_OBJECTIVE_SHARE for request_class in classes
        ]
        """Typical latency in ms by request class. Read-only outside this class."""
        self.machine_type_factors: dict[int, float] = {}
        """Latency by machine type, as a multiple of the typical latency. Read-only outside this class."""

    def record_success(self, class_index: int, elapsed: float, overload: float) -> None:
        """Update the typical latency of a class with a successful response after ``elapsed`` ms."""
        gain = TYPICAL_GAIN if overload < OVERLOADED_THRESHOLD else TYPICAL_GAIN_OVERLOADED
        self.typical_latencies[class_index] += gain * (elapsed - self.typical_latencies[class_index])

    def record_relative_latency(self, class_index: int, machine_type: int, elapsed: float) -> float:
        """Record a response or timeout after ``elapsed`` ms.

        The latency also updates the factor of the machine type, which is estimated per type because a single
        endpoint has few samples.

        Returns:
            Latency as a multiple of the typical latency of the class on the machine type.
        """
        ratio = min(elapsed / self.typical_latencies[class_index], MAX_RELATIVE_LATENCY)
        factor = self.machine_type_factors.get(machine_type, 1.0)
        self.machine_type_factors[machine_type] = factor + MACHINE_TYPE_GAIN * (ratio - factor)
        return ratio / factor
