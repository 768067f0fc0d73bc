"""A real node in front of the discovery stub: what it uses at rest, and how soon a change is in force.

The node is measured from outside: its processor time and memory by the kernel's count, stalls of its event
loop by how long GET /_health takes, changes by the lines of its log.
"""

from __future__ import annotations

import asyncio
import re
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace

import psutil
from hdrh.histogram import HdrHistogram

from benchmarks.child_process import (
    ChildProcess,
    DiscoveryStubProcess,
    NodeCommand,
    running_discovery_stub,
    running_node,
)
from benchmarks.discovery_stub import DiscoveryPlan
from benchmarks.health_poller import MICROSECONDS_PER_S, SIGNIFICANT_DIGITS, HealthPoller
from benchmarks.process_usage import measure_usage, peak_memory, resident_memory
from benchmarks.stub_reports import CallCounts, ChangeWritten

MAX_READY_TIME = 60.0  # s after which a node that is not ready is given up
READY_POLL_INTERVAL = 0.05  # s
SETTLE_TIME = 3.0  # s after it is ready that are not measured
PAUSE_TIME = 1.0  # s from the last poll of its health to the measurement at rest
MAX_CHANGE_DELAY = 600_000_000  # µs that the histogram has room for


@dataclass(frozen=True)
class NodeCost:
    """One node with one fleet. Times in s but for those in ms, memory in MB, bytes from discovery."""

    endpoints: int
    ready: float
    """From its start; infinite: never."""
    snapshots: int
    """Fetched from discovery."""
    cpu_percent: float
    """Of a core, once it is ready."""
    memory: float
    peak_memory: float
    bytes_per_s: float
    """Once it is ready."""
    in_force_p50_ms: float
    """From a change written by discovery to its line in the node's log."""
    in_force_worst_ms: float
    changes: int
    stall_start_ms: float
    """The longest stall while it read the endpoint list."""
    stall_ms: float
    """The longest stall after."""


async def measure_node(plan: DiscoveryPlan, command: NodeCommand, seconds: float) -> NodeCost:
    """Measure one node, from its start to some seconds after it is ready."""
    async with running_discovery_stub(plan) as stub, running_node(command, stub.port) as node:
        cost = await _measure_running(plan, stub, node, seconds)
    [counts] = stub.reports(CallCounts)
    return replace(cost, snapshots=counts.snapshots)


async def _measure_running(
    plan: DiscoveryPlan, stub: DiscoveryStubProcess, node: ChildProcess, seconds: float
) -> NodeCost:
    started, process = time.time(), psutil.Process(node.process.pid)
    poller = HealthPoller(node.port)
    with _polling(poller):
        await _wait_until_ready(poller, started + MAX_READY_TIME)
        await asyncio.sleep(SETTLE_TIME)
        stall_start = poller.take_longest_latency()
        poller.paused = True  # the cost of its answers is no part of the node at rest
        await asyncio.sleep(PAUSE_TIME)
        usage = await measure_usage(process, seconds)
        poller.paused = False
        await asyncio.sleep(seconds)
        delays = _change_delays(stub, node, usage.since)
        return NodeCost(
            endpoints=plan.endpoints,
            ready=poller.ready_at - started if poller.ready_at is not None else float("inf"),
            snapshots=0,
            cpu_percent=usage.cpu_percent,
            memory=resident_memory(process),
            peak_memory=peak_memory(node.process.pid),
            bytes_per_s=usage.bytes_read_per_second,
            in_force_p50_ms=delays.get_value_at_percentile(50) / 1000,
            in_force_worst_ms=delays.get_max_value() / 1000,
            changes=delays.get_total_count(),
            stall_start_ms=stall_start,
            stall_ms=poller.take_longest_latency(),
        )


@contextmanager
def _polling(poller: HealthPoller) -> Iterator[None]:
    task = asyncio.ensure_future(poller.run())
    try:
        yield
    finally:
        task.cancel()


async def _wait_until_ready(poller: HealthPoller, end: float) -> None:
    while poller.ready_at is None and time.time() < end:
        await asyncio.sleep(READY_POLL_INTERVAL)


def _change_delays(stub: DiscoveryStubProcess, node: ChildProcess, since: float) -> HdrHistogram:
    """Microseconds from each change written after `since` to its line in the node's log."""
    delays = HdrHistogram(1, MAX_CHANGE_DELAY, SIGNIFICANT_DIGITS)
    written_at = {change.version: change.at for change in stub.reports(ChangeWritten)}
    for line in node.output_lines:
        match = re.search(r"endpoint list version (\d+) ", line.text)
        written = written_at.get(int(match[1])) if match else None
        if written is not None and written > since:
            delays.record_value(max(1, int((line.at - written) * MICROSECONDS_PER_S)))
    return delays
