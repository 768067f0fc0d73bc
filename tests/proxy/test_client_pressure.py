"""A node process under clients that misuse it: its memory limit holds, good clients are served in time."""

from __future__ import annotations

import pytest
import uvloop

from benchmarks.client_pressure import LEAST_MEMORY_MB, PressureResult, measure_pressure
from benchmarks.hostile_clients import Behaviour
from benchmarks.process_usage import BYTES_PER_MB

SECONDS = 3.0
PIPELINING_CLIENTS = 85
PIPELINING_MEMORY_MB = 64
PIPELINING_PEAK_MB = 60


def press(
    behaviour: Behaviour, clients: int, memory_mb: int = LEAST_MEMORY_MB, descriptors: int = 1024
) -> PressureResult:
    """Run the clients beside good ones; the node must survive and answer every good request in time."""
    result = uvloop.run(measure_pressure(behaviour, clients, SECONDS, memory_mb, descriptors))
    assert result.alive and result.tracebacks == 0
    assert result.served > 0 and result.unanswered == 0 and result.not_connected == 0
    return result


@pytest.mark.parametrize(
    "behaviour",
    [
        Behaviour.IDLE,
        Behaviour.SHORT_FIELDS,
        Behaviour.STALLED_BODY,
        Behaviour.PIPELINED_BODIES,
        Behaviour.TINY_CHUNKS,
        Behaviour.UNFINISHED_RESPONSES,
        Behaviour.SLOW_WRITER,
        Behaviour.NOT_READING,
    ],
)
def test_node_killed_for_memory_by_hundreds_of_clients(behaviour: Behaviour) -> None:
    result = press(behaviour, clients=600)
    assert result.peak_memory <= LEAST_MEMORY_MB


@pytest.mark.parametrize(
    "behaviour", [Behaviour.HEALTH_FLOOD, Behaviour.INVALID_FLOOD, Behaviour.VALID_FLOOD]
)
def test_good_clients_starved_by_one_client_at_full_speed(behaviour: Behaviour) -> None:
    result = press(behaviour, clients=1)
    assert result.peak_memory <= LEAST_MEMORY_MB
    assert result.rejected == 0 and result.failed == 0


def test_node_killed_for_memory_by_queued_requests() -> None:
    result = press(Behaviour.PIPELINED_BODIES, PIPELINING_CLIENTS, PIPELINING_MEMORY_MB, descriptors=256)
    assert result.peak_memory * BYTES_PER_MB < PIPELINING_PEAK_MB * 2**20
