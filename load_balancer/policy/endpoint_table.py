"""The endpoint list, and aggregates over its ready endpoints.

Aggregates are updated incrementally, so that the cost of a change does not grow with the fleet. The effective
weight of an endpoint is its weight divided by the latency factor of its machine type (see ``latency``).
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from load_balancer.policy.endpoints import Endpoint, EndpointState
from load_balancer.policy.hashing import hash64
from load_balancer.policy.packed_table import PackedTable
from load_balancer.policy.settings import Settings

ROW_FORMAT = "<QqqqBdd"  # id, zone, machine type, cell, state, weight, start time: 49 bytes
START_BIN_WIDTH = 100.0  # ms; endpoints that start within a bin are counted with the bin's mean start time
WEIGHT_DIGITS = 3  # significant digits to which weights are rounded to find the largest


@dataclass(slots=True)
class _StartBin:
    """Number of endpoints that started within the same START_BIN_WIDTH ms, and sum of their start times."""

    count: int = 0
    sum_of_starts: float = 0.0  # ms


class EndpointTable:
    """Stores all endpoints, ordered by the hash of their ids, so that the order is the same on all nodes."""

    def __init__(self, settings: Settings) -> None:
        self._slow_start_duration = settings.slow_start_duration
        self._slow_start_initial = settings.slow_start_initial
        self._rows = PackedTable(ROW_FORMAT)
        self.ready_count = 0
        """Number of ready endpoints; written only by this class."""
        # Aggregates over the ready endpoints; aggregates of weights are by machine type.
        self._weight_sums: dict[int, float] = {}
        self._weight_counts: dict[int, Counter[float]] = {}
        self._largest_weight: dict[int, float] = {}
        self._start_bins: dict[int, _StartBin] = {}  # by start time // START_BIN_WIDTH

    def get(self, endpoint_id: int) -> Endpoint | None:
        """Return the entry of an endpoint, or None if it is not in the endpoint list."""
        row = self._rows.get(hash64(endpoint_id))
        if row is None:
            return None
        stored_id, zone, machine_type, cell, state, weight, started_at = row
        return Endpoint(stored_id, zone, machine_type, cell, EndpointState(state), weight, started_at)

    def put(self, entry: Endpoint) -> Endpoint | None:
        """Insert or replace an entry, or remove it if its state is REMOVED; return the old entry, if any."""
        old = self.get(entry.id)
        if old is not None and old.state is EndpointState.READY:
            self._update_aggregates(old, -1)
        if entry.state is EndpointState.REMOVED:
            self._rows.pop(hash64(entry.id))
            return old
        values = entry.zone, entry.machine_type, entry.cell, entry.state, entry.weight, entry.started_at
        self._rows.put(hash64(entry.id), entry.id, *values)
        if entry.state is EndpointState.READY:
            self._update_aggregates(entry, 1)
        return old

    def ids(self) -> list[int]:
        """Return the ids of all endpoints, in hash order."""
        return [row[0] for _, row in self._rows.items()]

    def ready_ids(self, low: int = 0, high: int = 1 << 64) -> list[int]:
        """Return the ids of the ready endpoints with hashes from ``low`` to below ``high``, in hash order."""
        return [
            endpoint_id
            for _, (endpoint_id, _, _, _, state, _, _) in self._rows.items(low, high)
            if state == EndpointState.READY
        ]

    def _update_aggregates(self, entry: Endpoint, sign: int) -> None:
        """Add a ready endpoint to the aggregates (``sign`` 1) or remove it from them (-1)."""
        self.ready_count += sign
        self._update_weights(entry, sign)
        if not self.ready_count:
            self._weight_sums.clear()  # drops rounding errors
        if entry.started_at:
            self._update_start_bin(entry.started_at, sign)

    def _update_weights(self, entry: Endpoint, sign: int) -> None:
        machine_type, rounded = entry.machine_type, float(f"{entry.weight:.{WEIGHT_DIGITS}g}")
        self._weight_sums[machine_type] = self._weight_sums.get(machine_type, 0.0) + sign * entry.weight
        counts = self._weight_counts.setdefault(machine_type, Counter())
        counts[rounded] += sign
        if sign > 0:
            self._largest_weight[machine_type] = max(self._largest_weight.get(machine_type, 0.0), rounded)
        elif not counts[rounded]:
            del counts[rounded]
            self._largest_weight[machine_type] = max(counts, default=0.0)

    def _update_start_bin(self, started_at: float, sign: int) -> None:
        bin_number = int(started_at // START_BIN_WIDTH)
        start_bin = self._start_bins.get(bin_number)
        if start_bin is None:
            start_bin = _StartBin()
        if sign > 0 or start_bin.count:  # the bin of an endpoint that has warmed up may have been dropped
            start_bin.count += sign
            start_bin.sum_of_starts += sign * started_at
            self._start_bins[bin_number] = start_bin

    def effective_endpoint_count(self, now: float) -> float:
        """Return the effective number of ready endpoints at ``now`` ms, at least 1.

        An endpoint in slow start counts as its present share of full capacity. The bins of endpoints that
        have warmed up are dropped.
        """
        duration, initial = self._slow_start_duration, self._slow_start_initial
        missing_capacity = 0.0
        for bin_number, start_bin in list(self._start_bins.items()):
            if not start_bin.count or (bin_number + 1) * START_BIN_WIDTH + duration <= now:
                del self._start_bins[bin_number]
                continue
            mean_start = start_bin.sum_of_starts / start_bin.count
            elapsed_share = max(0.0, now - mean_start) / duration if duration else 1.0
            missing_capacity += start_bin.count * (1.0 - initial) * max(0.0, 1.0 - elapsed_share)
        return max(self.ready_count - missing_capacity, 1.0)

    def max_effective_weight(self, latency_factors: Mapping[int, float]) -> float:
        """Return the largest effective weight of the ready endpoints, or 0 if there are none.

        Args:
            latency_factors: Latency factors by machine type; a machine type without an entry has factor 1.
        """
        weights = self._largest_weight.items()
        return max(
            (weight / latency_factors.get(machine_type, 1.0) for machine_type, weight in weights), default=0.0
        )

    def mean_weight(self) -> float:
        """Return the mean weight of the ready endpoints, or 0 if there are none."""
        return sum(self._weight_sums.values()) / max(1, self.ready_count)

    def mean_effective_weight(self, latency_factors: Mapping[int, float]) -> float:
        """Return the mean effective weight of the ready endpoints, or 0 if there are none.

        Args:
            latency_factors: Latency factors by machine type; a machine type without an entry has factor 1.
        """
        sums = self._weight_sums.items()
        total = sum(weight / latency_factors.get(machine_type, 1.0) for machine_type, weight in sums)
        return total / max(1, self.ready_count)
