"""Soak: a real node under faults, hostile clients and signals, checked against the rules of the protocol.

Each seed draws another scenario: limits of the node, hostile clients, faults of endpoints, of discovery and
of system calls, and the times of signals. Good clients use their connections until the kill, which comes at
its earliest.
"""

from __future__ import annotations

import asyncio
import random
import shutil
import signal
import subprocess
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from benchmarks.client_pressure import (
    NodeLimits,
    NodeUnderTest,
    lost_requests,
    pressure_settings,
    running_pressure_node,
    start_app_servers,
    start_hostile_clients,
)
from benchmarks.fault_proxy import FaultProxy, FaultRates
from benchmarks.good_clients import GoodClientResults, GoodClients
from benchmarks.hostile_clients import Behaviour, HostilePlan
from benchmarks.leaving_clients import Departure, LeavingClients
from benchmarks.live_fleet import AppServer, LiveDiscovery
from benchmarks.process_usage import peak_memory
from benchmarks.report import REPOSITORY_ROOT

# By the protocol an attempt may begin 0.1 s after its client has left. An arrival is recorded when its last
# byte has passed the fault proxy, in a process that has other work.
LATE_ATTEMPT_S = 0.1 + 0.05
KILL_DELAY_S = 0.7  # time of SIGKILL after SIGTERM, without the longest deadline
MAX_KILL_DEADLINE_S = 3.0
TRANSFER_S = 0.3  # pause after the end of a phase, for what is under way
FLOODS = frozenset({Behaviour.HEALTH_FLOOD, Behaviour.VALID_FLOOD, Behaviour.INVALID_FLOOD})
SHIM_SOURCE = Path(__file__).with_name("fault_shim.c")


@dataclass(frozen=True)
class Scenario:
    """What a seed has drawn."""

    seed: int
    memory_mb: int
    descriptors: int
    app_servers: int
    good_clients: int
    body_bytes: int
    hostile: tuple[tuple[Behaviour, int], ...]
    """Behaviours with their numbers of clients."""
    upstream_faults: FaultRates
    discovery_faults: FaultRates
    failing_calls: int
    """One in so many system calls fails; 0 for none."""
    reloads: int
    drains: int


def draw_scenario(seed: int) -> Scenario:
    """Return the scenario of a seed."""
    rng = random.Random(seed)
    hostile = [
        (behaviour, 1 if behaviour in FLOODS else rng.choice((20, 100, 300, 600)))
        for behaviour in rng.sample([*Behaviour], rng.randint(1, 3))
    ]
    has_faults = rng.random() < 0.6
    return Scenario(
        seed=seed,
        memory_mb=rng.choice((32, 32, 40, 64, 192)),
        descriptors=rng.choice((256, 512, 1024, 1024)),
        app_servers=rng.randint(4, 10),
        good_clients=rng.randint(3, 12),
        body_bytes=rng.choice((50, 200, 2000)),
        hostile=tuple(hostile),
        upstream_faults=FaultRates(refused=0.02, reset=0.01, silent=0.005, delayed=0.1)
        if has_faults
        else FaultRates(),
        discovery_faults=FaultRates(refused=0.3, reset=0.1, delayed=0.3) if has_faults else FaultRates(),
        failing_calls=rng.choice((0, 0, 60, 500)),
        reloads=rng.randint(0, 3),
        drains=rng.randint(0, 2),
    )


@dataclass
class SoakResult:
    """What a run has shown; a run without ``violations`` has passed."""

    scenario: Scenario
    violations: Counter[str] = field(default_factory=Counter)
    statuses: Counter[int] = field(default_factory=Counter)
    peak_memory: float = 0.0
    """Peak resident memory in MB of 10^6 bytes."""
    p99_ms: float = 0.0
    departures: int = 0
    ended_after_s: float | None = None
    """Time from SIGTERM to the end of the process, or None if it was killed."""


class SoakRun:
    """One run of a scenario."""

    def __init__(self, scenario: Scenario, seconds: float, shim: Path | None, root: Path) -> None:
        self._scenario = scenario
        self._seconds = seconds
        self._shim = shim
        self._root = root
        self._random = random.Random(scenario.seed + 1)
        self._result = SoakResult(scenario)

    async def run(self) -> SoakResult:
        """Run the scenario and check the rules."""
        scenario = self._scenario
        self._servers = await start_app_servers(scenario.app_servers)
        proxies = [
            await FaultProxy(server.port, scenario.upstream_faults, self._random).start()
            for server in self._servers
        ]
        self._entries = [
            server.entry(proxy.port) for server, proxy in zip(self._servers, proxies, strict=True)
        ]
        self._discovery = await LiveDiscovery(self._entries).start()
        front = await FaultProxy(self._discovery.port, scenario.discovery_faults, self._random).start()
        environment = {}
        if self._shim is not None and scenario.failing_calls:
            environment = {
                "LD_PRELOAD": str(self._shim),
                "SHIM_SEED": str(scenario.seed),
                "SHIM_ONE_IN": str(scenario.failing_calls),
            }
        limits = NodeLimits(scenario.memory_mb, scenario.descriptors)
        async with running_pressure_node(
            self._discovery, limits, self._root, discovery_port=front.port, environment=environment
        ) as node:
            await self._play(node)
        if tracebacks := [line.text for line in node.output_lines if line.text.startswith("Traceback")]:
            self._result.violations["exception in the log"] += len(tracebacks)
        return self._result

    async def _play(self, node: NodeUnderTest) -> None:
        scenario, result = self._scenario, self._result
        good = GoodClients(node.port, scenario.body_bytes)
        good.start(scenario.good_clients)
        leaving = LeavingClients(node.port, self._random)
        leaving_task = asyncio.ensure_future(leaving.run())
        hostile = [
            await start_hostile_clients(
                HostilePlan(node.port, behaviour, count, self._seconds + MAX_KILL_DEADLINE_S, scenario.seed)
            )
            for behaviour, count in scenario.hostile
        ]
        events = asyncio.ensure_future(self._disturb(node))
        await asyncio.sleep(self._seconds)
        await events
        result.peak_memory = peak_memory(node.pid) if node.is_alive() else 0.0
        if not node.is_alive():
            result.violations[f"the process ended by itself, status {node.process.returncode}"] += 1
        leaving.stop()
        await leaving_task
        results = await self._shut_down(node, good)
        for process in hostile:
            if process.returncode is None:
                process.kill()
            await process.wait()
        result.statuses, result.p99_ms = results.statuses, results.percentile_ms(0.99)
        result.departures = len(leaving.departures)
        self._check(results, leaving.departures)

    async def _disturb(self, node: NodeUnderTest) -> None:
        """Send SIGHUP, drain endpoints and reset watches at random times."""
        scenario = self._scenario
        steps = [self._drain] * scenario.drains + [self._discovery.close_watches]
        if node.is_alive():
            steps += [lambda: node.process.send_signal(signal.SIGHUP)] * scenario.reloads
        self._random.shuffle(steps)
        for step in steps:
            await asyncio.sleep(self._seconds / (len(steps) + 1))
            if node.is_alive():
                step()

    def _drain(self) -> None:
        entry = self._random.choice(self._entries[1:])
        self._discovery.change(entry | {"lifecycle": "leaving"})

    async def _shut_down(self, node: NodeUnderTest, good: GoodClients) -> GoodClientResults:
        """Send a series of signals, and SIGKILL at its earliest; clients go on until then."""
        started_at = time.monotonic()
        for signal_number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
            if node.is_alive():
                node.process.send_signal(signal_number)
                await asyncio.sleep(0.02)
        deadlines = [entry["Deadline"] / 1000 for entry in pressure_settings()["Classes"]]
        kill_at = started_at + min(max(deadlines), MAX_KILL_DEADLINE_S) + KILL_DELAY_S
        while node.is_alive() and time.monotonic() < kill_at:
            await asyncio.sleep(0.01)
        if node.is_alive():
            node.process.kill()
        else:
            self._result.ended_after_s = time.monotonic() - started_at
            if node.process.returncode != 0:
                self._result.violations[f"exit status {node.process.returncode} after SIGTERM"] += 1
        results = await good.stop()
        await asyncio.sleep(TRANSFER_S)
        return results

    def _check(self, results: GoodClientResults, departures: list[Departure]) -> None:
        violations, scenario = self._result.violations, self._scenario
        if self._result.peak_memory > scenario.memory_mb:
            violations["peak of memory over the limit"] += 1
        if lost := lost_requests(results, self._servers):
            violations["good request without an answer"] += lost
        if not results.statuses[200]:
            violations["no good request was served"] += 1
        arrivals = _arrivals_by_id(self._servers)
        for departure in departures:
            times = arrivals.get(departure.request_id, [])
            after = [at - departure.closed_at for at in times if at > departure.closed_at]
            may_arrive_later = departure.comes_again and len(after) == len(times)
            if any(at > LATE_ATTEMPT_S for at in after) and not may_arrive_later:
                violations[f"attempt late after the close ({departure.class_name})"] += 1
            if departure.class_name == "pay" and len(times) > 1:
                violations["second run of an id whose client left (pay)"] += 1


def _arrivals_by_id(servers: list[AppServer]) -> dict[bytes, list[float]]:
    arrivals: dict[bytes, list[float]] = {}
    for server in servers:
        for arrival in server.arrivals:
            arrivals.setdefault(arrival.request_id, []).append(arrival.at)
    return arrivals


def build_shim(folder: Path) -> Path | None:
    """Compile the shim of failing system calls; return None if there is no C compiler."""
    compiler = shutil.which("cc")
    if compiler is None:
        return None
    target = folder / "fault_shim.so"
    subprocess.run([compiler, "-O2", "-shared", "-fPIC", "-o", target, SHIM_SOURCE, "-ldl"], check=True)
    return target


async def soak(seed: int, seconds: float, root: Path = REPOSITORY_ROOT) -> SoakResult:
    """Run the scenario of a seed for ``seconds`` before its shutdown, with the node of a checkout."""
    with tempfile.TemporaryDirectory() as folder:
        return await SoakRun(draw_scenario(seed), seconds, build_shim(Path(folder)), root).run()
