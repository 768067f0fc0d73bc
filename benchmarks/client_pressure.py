"""Measures a real node under clients that misuse it: memory, processor time, and what good clients get."""

from __future__ import annotations

import asyncio
import json
import os
import sys
import tempfile
import tomllib
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import psutil

from benchmarks.child_process import ChildProcess, find_free_port
from benchmarks.fleet import ALLOWED, OBLIGATIONS
from benchmarks.good_clients import GoodClientResults, GoodClients, read_response
from benchmarks.hostile_clients import HostilePlan
from benchmarks.live_fleet import AppServer, LiveDiscovery
from benchmarks.process_usage import peak_memory
from benchmarks.report import REPOSITORY_ROOT

APP_SERVERS = 8
GOOD_CLIENTS = 6
DESCRIPTORS = 1024
LEAST_MEMORY_MB = 32  # the least that a deployment gives a node
READY_TIMEOUT_S = 30.0
LEAD_S = 0.5  # time for which good clients run alone, before and after the others
ZONES = ("a", "b")


@dataclass(frozen=True)
class PressureResult:
    """One run. Memory is in MB of 10^6 bytes, times are in the unit that their name ends in."""

    behaviour: str
    clients: int
    memory_limit: int
    peak_memory: float
    processor_s: float
    served: int
    rejected: int
    failed: int
    unanswered: int
    not_connected: int
    p50_ms: float
    p99_ms: float
    alive: bool
    tracebacks: int
    """Exceptions in the node's log."""


@dataclass(frozen=True, slots=True)
class NodeLimits:
    """Limits in the node's configuration."""

    memory_mb: int = LEAST_MEMORY_MB
    descriptors: int = DESCRIPTORS


def pressure_settings() -> dict[str, Any]:
    """Return settings with a class of each kind of idempotency."""
    classes = [
        {"Name": "find", "Idempotency": "free", "Aim": 400.0, "Deadline": 2000.0, "Worth": 5.0},
        {"Name": "book", "Idempotency": "guarded", "Aim": 750.0, "Deadline": 3000.0, "Worth": 2.0},
        {"Name": "pay", "Idempotency": "single_shot", "Aim": 500.0, "Deadline": 2000.0, "Worth": 3.0},
    ]
    return {
        "Allowed": ALLOWED,
        "Azs": list(ZONES),
        "Kinds": ["m1"],
        "Classes": [{"Group": "zone", "Window": 4000.0, "LateValue": 0.3, **entry} for entry in classes],
        "Customers": [{"Name": "acme", "QuotaPerS": 100_000.0, "Portion": 1.0}],
        "Discovery": "ask",
        "GroupSize": 1,
        "Me": 0,
        "MyZone": 0,
        "Obligations": OBLIGATIONS,
        "Tick": 5.0,
    }


async def start_app_servers(count: int) -> list[AppServer]:
    """Start app servers in alternating zones."""
    return [await AppServer(f"s-{i}", ZONES[i % len(ZONES)]).start() for i in range(count)]


class NodeUnderTest(ChildProcess):
    """A node started with ``run`` of a checkout's deploy file; ``output_lines`` holds its log."""

    name = "n0"

    @property
    def pid(self) -> int:
        """Process id of the node."""
        return self.process.pid

    def is_alive(self) -> bool:
        """Return whether the process still runs."""
        return self.process.returncode is None

    async def wait_until_ready(self) -> None:
        """Wait for a health check with status 200.

        Raises:
            TimeoutError: The node did not become ready in time.
        """
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self._is_healthy():
                await asyncio.sleep(0.02)

    async def _is_healthy(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(b"GET /_health HTTP/1.1\r\nHost: front\r\n\r\n")
            status, _, _ = await read_response(reader)
            writer.close()
        except (OSError, asyncio.IncompleteReadError):
            return False
        return status == 200


def node_environment(config_path: Path) -> dict[str, str]:
    """Return the environment of a node, with no other variables that it reads."""
    environ = {key: value for key, value in os.environ.items() if not key.startswith("ROUTER_")}
    return environ | {"ROUTER_CONFIG": str(config_path)}


async def start_node(
    root: Path, config_path: Path, port: int, environment: Mapping[str, str]
) -> NodeUnderTest:
    """Start a node with ``run`` of the checkout's deploy file."""
    command = tomllib.loads((root / "deploy/balancer.toml").read_text())["run"]
    if not (root / ".venv").exists():
        command = command.replace(".venv/bin/python", sys.executable)
    process = await asyncio.create_subprocess_exec(
        *("/bin/sh", "-c", command),
        cwd=root,
        env={**node_environment(config_path), **environment},
        stdin=asyncio.subprocess.DEVNULL,
        stderr=asyncio.subprocess.PIPE,
    )
    node = NodeUnderTest(process, process.stderr)
    node.port = port
    return node


@asynccontextmanager
async def running_pressure_node(
    discovery: LiveDiscovery,
    limits: NodeLimits,
    root: Path = REPOSITORY_ROOT,
    discovery_port: int | None = None,
    environment: Mapping[str, str] | None = None,
) -> AsyncIterator[NodeUnderTest]:
    """Run a node that is ready until the block ends, and kill it then.

    Args:
        discovery: Discovery, whose list is the node's cached list.
        limits: The node's limits.
        root: Checkout from which the node is run.
        discovery_port: Port of a proxy before discovery, if there is one.
        environment: Further environment variables of the node.
    """
    port = find_free_port()
    config = {
        "name": NodeUnderTest.name,
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{discovery_port or discovery.port}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": limits.memory_mb, "sockets": limits.descriptors},
        "known": discovery.snapshot(),
        "settings": pressure_settings(),
    }
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(config))
        node = await start_node(root, path, port, environment or {})
        try:
            await node.wait_until_ready()
            yield node
        finally:
            if node.is_alive():
                node.process.kill()
            await node.wait_until_exited()


async def start_hostile_clients(plan: HostilePlan) -> asyncio.subprocess.Process:
    """Start the clients of a plan in a process of their own."""
    return await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "benchmarks.hostile_clients", json.dumps(asdict(plan))),
        cwd=REPOSITORY_ROOT,
        stdout=asyncio.subprocess.DEVNULL,
    )


async def measure_pressure(
    behaviour: str,
    clients: int,
    seconds: float,
    memory_mb: int = LEAST_MEMORY_MB,
    descriptors: int = DESCRIPTORS,
    root: Path = REPOSITORY_ROOT,
) -> PressureResult:
    """Run good clients beside ``clients`` of the given behaviour, and measure the node."""
    servers = await start_app_servers(APP_SERVERS)
    discovery = await LiveDiscovery([server.entry() for server in servers]).start()
    async with running_pressure_node(discovery, NodeLimits(memory_mb, descriptors), root) as node:
        process = psutil.Process(node.pid)
        good = GoodClients(node.port)
        good.start(GOOD_CLIENTS)
        await asyncio.sleep(LEAD_S)
        before = sum(process.cpu_times()[:2])
        plan = HostilePlan(node.port, behaviour, clients, seconds)
        hostile = await start_hostile_clients(plan)
        await hostile.wait()
        results = await good.stop()
        alive = node.is_alive()
        processor_s = sum(process.cpu_times()[:2]) - before if alive else 0.0
        peak = peak_memory(node.pid) if alive else 0.0
    tracebacks = sum(line.text.startswith("Traceback") for line in node.output_lines)
    usage = NodeUsage(alive, peak, processor_s, tracebacks)
    return _result(plan, memory_mb, results, usage, lost_requests(results, servers))


@dataclass(frozen=True, slots=True)
class NodeUsage:
    """Whether the node survived, its peak memory in MB, its processor time in s, exceptions in its log."""

    alive: bool
    peak_memory: float
    processor_s: float
    tracebacks: int


def lost_requests(results: GoodClientResults, servers: list[AppServer]) -> int:
    """Return the number of requests without an answer in time, or forwarded and closed without an answer."""
    forwarded = {arrival.request_id for server in servers for arrival in server.arrivals}
    return results.unanswered + sum(request_id in forwarded for request_id in results.closed_ids)


def _result(
    plan: HostilePlan, memory_mb: int, results: GoodClientResults, usage: NodeUsage, unanswered: int
) -> PressureResult:
    rejected = results.statuses[503] + results.statuses[429]
    return PressureResult(
        behaviour=plan.behaviour,
        clients=plan.clients,
        memory_limit=memory_mb,
        peak_memory=usage.peak_memory,
        processor_s=usage.processor_s,
        served=results.statuses[200],
        rejected=rejected,
        failed=sum(results.statuses.values()) - rejected - results.statuses[200],
        unanswered=unanswered,
        not_connected=results.not_connected,
        p50_ms=results.percentile_ms(0.5),
        p99_ms=results.percentile_ms(0.99),
        alive=usage.alive,
        tracebacks=usage.tracebacks,
    )
