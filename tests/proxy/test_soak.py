"""Short soaks of a node process under faults, hostile clients and signals (`python -m benchmarks soak`)."""

from __future__ import annotations

import pytest
import uvloop

from benchmarks.soak import soak

SECONDS = 4.0


@pytest.mark.parametrize("seed", [2, 5, 6, 7, 9, 12])
def test_node_keeps_the_rules_under_faults_hostile_clients_and_signals(seed: int) -> None:
    assert not uvloop.run(soak(seed, SECONDS)).violations
