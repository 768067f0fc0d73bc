"""Runs many hollow nodes, which have a discovery client and a policy but no clients, in one process.

Measures the load of a mass restart on discovery and on the machine, how soon all nodes have the first part
of their endpoint list, and how soon a change of the list is in force.
"""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import dataclass

import psutil
from hdrh.histogram import HdrHistogram

from benchmarks.child_process import DiscoveryStubProcess, running_discovery_stub
from benchmarks.discovery_stub import DiscoveryPlan
from benchmarks.fleet import node_config
from benchmarks.health_poller import MICROSECONDS_PER_S, SIGNIFICANT_DIGITS
from benchmarks.process_usage import measure_usage, resident_memory
from benchmarks.stub_reports import CallCounts, StubAvailable
from load_balancer.policy.commands import Command
from load_balancer.policy.endpoints import Endpoint
from load_balancer.policy.events import EndpointUpdate, Event
from load_balancer.proxy.config import Config, decode_config
from load_balancer.proxy.node import Node

POLL_INTERVAL = 0.05  # s between checks for nodes without any part of their endpoint list
MAX_CHANGE_AGE = 600_000_000  # µs, upper limit of the histogram


@dataclass(frozen=True)
class MassRestartCost:
    """Measurements of one mass restart, over all of its nodes. Times are in s."""

    nodes: int
    endpoints: int
    listed_half: float
    """Time from when discovery was available until half of the nodes had applied a part of their list."""
    listed_all: float
    """Like `listed_half`, for all nodes; infinity if some had applied no part of their list by the end."""
    in_force_p50: float
    """Median time from a change at discovery until it is in force at a node."""
    in_force_worst: float
    """Longest time from a change at discovery until it is in force at a node."""
    calls: int
    """Calls to discovery."""
    rejected_calls: int
    """Calls that waited too long at discovery and were rejected."""
    snapshots: int
    """Snapshots that discovery sent in response to calls."""
    memory_per_node: float
    """Memory per node in MB."""
    cpu_per_node: float
    """Processor time per node in percent of a core."""


class HollowNode:
    """Node without clients that records when its endpoint list begins to arrive, and the age of changes."""

    def __init__(self, config: Config, change_ages: HdrHistogram) -> None:
        self.node = Node(config, asyncio.get_running_loop())
        self.list_received_at: float | None = None
        """Unix time in s at which the first part of the list was applied, or None before that."""
        self._change_ages = change_ages
        self._handle = self.node.policy.handle
        self.node.policy.handle = self._observe  # type: ignore[method-assign]

    def _observe(self, now: float, event: Event) -> list[Command]:
        commands = self._handle(now, event)
        if isinstance(event, EndpointUpdate) and event.last_contact_at is None and event.version:
            if self.list_received_at is None:
                self.list_received_at = time.time()
            else:
                self._record_ages(event.endpoints)
        return commands

    def _record_ages(self, endpoints: list[Endpoint]) -> None:
        unix_offset_ms = self.node.endpoint_updater.unix_offset_ms
        for endpoint in endpoints:
            # `started_at` is 0 in the initial list, whose later parts arrive here too. Only a restart sets
            # it, and restarts are the only kind of change.
            if endpoint.started_at:
                age = time.time() - (endpoint.started_at + unix_offset_ms) / 1000
                self._change_ages.record_value(max(1, int(age * MICROSECONDS_PER_S)))


async def measure_mass_restart(plan: DiscoveryPlan, nodes: int, seconds: float) -> MassRestartCost:
    """Start all nodes at once, and measure them for `seconds` once all have a part of their endpoint list.

    Nodes without any part of the list delay the measurement by at most `seconds`.
    """
    process = psutil.Process()
    change_ages = HdrHistogram(1, MAX_CHANGE_AGE, SIGNIFICANT_DIGITS)
    async with running_discovery_stub(plan) as stub:
        memory_before = resident_memory(process)
        hollow_nodes = [HollowNode(_config(stub.port, index, nodes), change_ages) for index in range(nodes)]
        available_at = await _start_all(hollow_nodes, plan, stub)
        await _wait_for_endpoint_lists(hollow_nodes, time.time() + seconds)
        usage = await measure_usage(process, seconds)
        list_delays = sorted(_endpoint_list_delay(node, available_at) for node in hollow_nodes)
        memory = resident_memory(process) - memory_before
        for hollow_node in hollow_nodes:
            hollow_node.node.close()
    [counts] = stub.reports(CallCounts)
    return MassRestartCost(
        nodes=nodes,
        endpoints=plan.endpoints,
        listed_half=list_delays[len(list_delays) // 2],
        listed_all=list_delays[-1],
        in_force_p50=change_ages.get_value_at_percentile(50) / MICROSECONDS_PER_S,
        in_force_worst=change_ages.get_max_value() / MICROSECONDS_PER_S,
        calls=counts.calls,
        rejected_calls=counts.rejected,
        snapshots=counts.snapshots,
        memory_per_node=memory / nodes,
        cpu_per_node=usage.cpu_percent / nodes,
    )


def _config(discovery_port: int, index: int, nodes: int) -> Config:
    raw = node_config(discovery_port, 0, node_index=index, node_count=nodes)
    return decode_config(json.dumps(raw), {})


async def _start_all(nodes: list[HollowNode], plan: DiscoveryPlan, stub: DiscoveryStubProcess) -> float:
    """Start the nodes and return the Unix time in s at which discovery became available to them."""
    available_at = time.time()
    for hollow_node in nodes:
        hollow_node.node.discovery.start()
    if plan.unavailable_for:
        available_at = (await stub.first_report(StubAvailable)).at
    return available_at


async def _wait_for_endpoint_lists(nodes: list[HollowNode], end: float) -> None:
    while time.time() < end and any(node.list_received_at is None for node in nodes):
        await asyncio.sleep(POLL_INTERVAL)


def _endpoint_list_delay(node: HollowNode, available_at: float) -> float:
    return node.list_received_at - available_at if node.list_received_at else float("inf")
