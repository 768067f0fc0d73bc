"""Aggregates that the endpoint table updates incrementally."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks.fleet import policy_settings
from load_balancer.policy.endpoint_table import EndpointTable
from load_balancer.policy.endpoints import Endpoint, EndpointState

endpoint_entries = st.builds(
    Endpoint,
    id=st.integers(1, 12),
    zone=st.just(0),
    machine_type=st.integers(0, 2),
    cell=st.just(0),
    state=st.sampled_from(EndpointState),
    weight=st.sampled_from([0.0, 0.5, 1.0, 1.25, 4.0]),
    started_at=st.sampled_from([0.0, 95_000.0, 99_000.0, 99_050.0, 99_999.0]),
)


@settings(deadline=None, max_examples=150)
@given(st.lists(endpoint_entries, max_size=40))
def test_incremental_aggregates_equal_those_computed_from_all_endpoints(changes: list[Endpoint]) -> None:
    configuration = policy_settings()
    table, latency_factors, now = EndpointTable(configuration), {0: 1.0, 1: 2.0}, 100_000.0
    listed: dict[int, Endpoint] = {}
    for entry in changes:
        assert table.put(entry) == listed.get(entry.id)
        listed = {
            i: e for i, e in (listed | {entry.id: entry}).items() if e.state is not EndpointState.REMOVED
        }
        table.effective_endpoint_count(now)  # drops the bins of endpoints that have warmed up
    ready = [e for e in listed.values() if e.state is EndpointState.READY]
    duration, initial = configuration.slow_start_duration, configuration.slow_start_initial
    capacity_shares = [
        min(1.0, initial + (1 - initial) * (now - e.started_at) / duration) if e.started_at else 1.0
        for e in ready
    ]
    assert table.ready_count == len(ready) and sorted(table.ids()) == sorted(listed)
    assert table.effective_endpoint_count(now) == pytest.approx(max(sum(capacity_shares), 1.0), abs=1e-6)
    effective_weights = [e.weight / latency_factors.get(e.machine_type, 1.0) for e in ready]
    assert table.max_effective_weight(latency_factors) == max(effective_weights, default=0.0)
    assert table.mean_effective_weight(latency_factors) * max(1, len(ready)) == pytest.approx(
        sum(effective_weights), abs=1e-9
    )
