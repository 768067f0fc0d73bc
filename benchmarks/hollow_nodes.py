"""Many nodes without clients in one process: the discovery client, endpoint list and policy of each.

They show what a mass restart of nodes is to discovery and to the machine: how soon all have their endpoint
list, and how soon a change is in force.
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
from benchmarks.health_poller import MICROSECONDS, SIGNIFICANT_DIGITS
from benchmarks.process_usage import measure_usage, resident_memory
from benchmarks.stub_reports import CallCounts, StubAvailable
from load_balancer.policy.commands import Command
from load_balancer.policy.endpoints import Endpoint
from load_balancer.policy.events import EndpointUpdate, Event
from load_balancer.proxy.config import Config, decode_config
from load_balancer.proxy.node import Node

POLL_INTERVAL = 0.05  # s between checks whether all nodes have their list
MAX_CHANGE_AGE = 600_000_000  # µs that the histogram has room for


@dataclass(frozen=True)
class MassRestartCost:
    """All nodes of one mass restart. Times in s."""

    nodes: int
    endpoints: int
    listed_half: float
    """Until half of the nodes had their list, from when discovery was available."""
    listed_all: float
    """Infinite: not within the run."""
    in_force_p50: float
    """From a change at discovery to its being in force at a node."""
    in_force_worst: float
    calls: int
    rejected_calls: int
    snapshots: int
    memory_per_node: float
    """MB."""
    cpu_per_node: float
    """Percent of a core."""


class HollowNode:
    """A node that notes when its first update from discovery arrived, and the age of each later change."""

    def __init__(self, config: Config, change_ages: HdrHistogram) -> None:
        self.node = Node(config, asyncio.get_running_loop())
        self.listed_at: float | None = None
        """Unix time in s of its first update from discovery."""
        self._change_ages = change_ages
        self._handle = self.node.policy.handle
        self.node.policy.handle = self._observe  # type: ignore[method-assign]

    def _observe(self, now: float, event: Event) -> list[Command]:
        commands = self._handle(now, event)
        if isinstance(event, EndpointUpdate) and event.last_contact_at is None and event.version:
            if self.listed_at is None:
                self.listed_at = time.time()
            else:
                self._record_ages(event.endpoints)
        return commands

    def _record_ages(self, endpoints: list[Endpoint]) -> None:
        unix_offset_ms = self.node.endpoint_updater.unix_offset_ms
        for endpoint in endpoints:
            if endpoint.started_at:  # the stub makes a change by a restart
                age = time.time() - (endpoint.started_at + unix_offset_ms) / 1000
                self._change_ages.record_value(max(1, int(age * MICROSECONDS)))


async def measure_mass_restart(plan: DiscoveryPlan, nodes: int, seconds: float) -> MassRestartCost:
    """Start all nodes at once, and watch them for some seconds after the last has its list."""
    process = psutil.Process()
    change_ages = HdrHistogram(1, MAX_CHANGE_AGE, SIGNIFICANT_DIGITS)
    async with running_discovery_stub(plan) as stub:
        memory_before = resident_memory(process)
        hollow_nodes = [HollowNode(_config(stub.port, index, nodes), change_ages) for index in range(nodes)]
        available_at = await _start_all(hollow_nodes, plan, stub)
        await _wait_until_listed(hollow_nodes, time.time() + seconds)
        usage = await measure_usage(process, seconds)
        listed = sorted(_time_to_list(node, available_at) for node in hollow_nodes)
        memory = resident_memory(process) - memory_before
        for hollow_node in hollow_nodes:
            hollow_node.node.close()
    [counts] = stub.reports(CallCounts)
    return MassRestartCost(
        nodes=nodes,
        endpoints=plan.endpoints,
        listed_half=listed[len(listed) // 2],
        listed_all=listed[-1],
        in_force_p50=change_ages.get_value_at_percentile(50) / MICROSECONDS,
        in_force_worst=change_ages.get_max_value() / MICROSECONDS,
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
    """Start the nodes; returns the Unix time from which discovery was available to them."""
    available_at = time.time()
    for hollow_node in nodes:
        hollow_node.node.discovery.start()
    if plan.unavailable_for:
        available_at = (await stub.first_report(StubAvailable)).at
    return available_at


async def _wait_until_listed(nodes: list[HollowNode], end: float) -> None:
    while time.time() < end and any(node.listed_at is None for node in nodes):
        await asyncio.sleep(POLL_INTERVAL)


def _time_to_list(node: HollowNode, available_at: float) -> float:
    return node.listed_at - available_at if node.listed_at else float("inf")
