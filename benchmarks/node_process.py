"""Measures a real node with the discovery stub: resource use at rest and delays until changes are in force.

The node is measured from outside: processor time and memory as the kernel counts them, stalls of the event
loop by the response time of GET /_health, and changes of the endpoint list by the node's log lines.
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

READY_TIMEOUT = 60.0  # s to wait for a node to become ready
READY_POLL_INTERVAL = 0.05  # s between checks whether the node is ready
SETTLE_TIME = 3.0  # s between readiness and the first measurement
PAUSE_TIME = 1.0  # s between the last health poll and the measurement at rest
MAX_CHANGE_DELAY = 600_000_000  # µs, upper limit of the histogram


@dataclass(frozen=True)
class NodeCost:
    """Measurements of one node with one fleet. Times are in s unless the name ends in ms; memory is in MB."""

    endpoints: int
    ready: float
    """Time from the node's start until it is ready, or infinity if it never was."""
    snapshots: int
    """Snapshots fetched from discovery."""
    cpu_percent: float
    """Processor time of the ready node in percent of a core."""
    memory: float
    """Resident memory at the end of the run."""
    peak_memory: float
    bytes_per_s: float
    """Bytes per second that the ready node reads from discovery."""
    in_force_p50_ms: float
    """Median time from a change written by discovery to its line in the node's log."""
    in_force_worst_ms: float
    """Longest time from a change written by discovery to its line in the node's log."""
    changes: int
    """Number of changes found in the node's log."""
    stall_start_ms: float
    """Longest stall of the event loop while the node read the endpoint list."""
    stall_ms: float
    """Longest stall once the node was ready and settled."""


async def measure_node(plan: DiscoveryPlan, command: NodeCommand, seconds: float) -> NodeCost:
    """Measure one node from its start; once ready, for `seconds` at rest, then for `seconds` under polls."""
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
        await _wait_until_ready(poller, started + READY_TIMEOUT)
        await asyncio.sleep(SETTLE_TIME)
        stall_start = poller.take_longest_latency()
        poller.paused = True  # the cost of its responses is not part of the use at rest
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
    """Return the delays in µs from each change written after `since` to its line in the node's log."""
    delays = HdrHistogram(1, MAX_CHANGE_DELAY, SIGNIFICANT_DIGITS)
    written_at = {change.version: change.at for change in stub.reports(ChangeWritten)}
    for line in node.output_lines:
        match = re.search(r"endpoint list version (\d+) ", line.text)
        written = written_at.get(int(match[1])) if match else None
        if written is not None and written > since:
            delays.record_value(max(1, int((line.at - written) * MICROSECONDS_PER_S)))
    return delays
