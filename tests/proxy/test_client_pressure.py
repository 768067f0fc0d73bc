"""A node process under clients that misuse it: its memory limit holds, good clients are served in time."""

from __future__ import annotations

import asyncio

import pytest
import uvloop

from benchmarks.client_pressure import (
    APP_SERVERS,
    LEAST_MEMORY_MB,
    NodeLimits,
    PressureResult,
    measure_pressure,
    running_pressure_node,
    start_app_servers,
)
from benchmarks.good_clients import good_request, next_request_id, read_response
from benchmarks.hostile_clients import Behaviour
from benchmarks.live_fleet import LiveDiscovery
from benchmarks.process_usage import BYTES_PER_MB, peak_memory

SECONDS = 3.0
PIPELINING_CLIENTS = 85
PIPELINED_REQUESTS = 16
PIPELINED_BODY = b"x" * 65_000
PIPELINING_TIMEOUT_S = 30.0
PIPELINING_MEMORY_MB = 64
PIPELINING_PEAK_MB = 60


def press(behaviour: Behaviour, clients: int) -> PressureResult:
    """Run the clients beside good ones; the node must survive and answer every good request in time."""
    result = uvloop.run(measure_pressure(behaviour, clients, SECONDS))
    assert result.alive and result.tracebacks == 0
    assert result.served > 0 and result.unanswered == 0 and result.not_connected == 0
    return result


@pytest.mark.parametrize(
    "behaviour",
    [
        Behaviour.IDLE,
        Behaviour.SHORT_FIELDS,
        Behaviour.LARGE_HEAD,
        Behaviour.PIPELINED_SHORT,
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
    async def answers(port: int) -> list[int]:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        requests = [good_request("pay", next_request_id(), PIPELINED_BODY) for _ in range(PIPELINED_REQUESTS)]
        writer.writelines(requests)
        statuses = [(await read_response(reader))[0] for _ in requests]
        writer.close()
        return statuses

    async def test() -> None:
        servers = await start_app_servers(APP_SERVERS)
        discovery = await LiveDiscovery([server.entry() for server in servers]).start()
        async with running_pressure_node(discovery, NodeLimits(PIPELINING_MEMORY_MB, 256)) as node:
            async with asyncio.timeout(PIPELINING_TIMEOUT_S):
                results = await asyncio.gather(*(answers(node.port) for _ in range(PIPELINING_CLIENTS)))
            assert all(status in (200, 503) for statuses in results for status in statuses)
            assert peak_memory(node.pid) * BYTES_PER_MB < PIPELINING_PEAK_MB * 2**20

    uvloop.run(test())
