"""Command line of the benchmarks: `python -m benchmarks COMMAND`; requires `requirements-bench.txt`.

Each command has a `--help` option and prints a table; with `--json FILE`, it writes the figures, the version
and the command to a file. The exit status is 0 on success, 2 for invalid arguments, 1 if a measurement fails.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable, Iterable
from dataclasses import asdict

import click
import uvloop
from rich.progress import track

from benchmarks import (
    hollow_nodes,
    node_process,
    policy_cost,
    robustness_commands,
    slow_start,
    slow_start_chance,
    subsetting,
)
from benchmarks.child_process import NodeCommand
from benchmarks.discovery_stub import DiscoveryPlan
from benchmarks.fleet import FLEET_NODES
from benchmarks.options import json_option, numbers_option, progress_console
from benchmarks.policy_cost import Cost
from benchmarks.report import REPOSITORY_ROOT, Row, growth_rows, show_table, write_json
from benchmarks.slow_start import Scenario

ENDPOINT_COUNTS = "200,2000,20000,95000"


HELP_TEXT = """Measures the node and its policy at the sizes of large fleets, on this machine alone.

\b
python -m benchmarks policy  # processor time of the policy, 200 to 95,000 endpoints
python -m benchmarks node --sizes 200,95000  # a real node with a stub of discovery
python -m benchmarks mass-restart --nodes 300 --call-ms 10 --unavailable-for 5
python -m benchmarks subsetting  # how evenly the subsets cover 95,000 endpoints
python -m benchmarks slow-start --nodes 5,30,200  # attempts of all nodes at a new endpoint
python -m benchmarks slow-start-chance  # probability that the nodes together overload it
python -m benchmarks client-pressure --clients 600  # a node with clients that misuse it
python -m benchmarks soak --seeds 50  # a node under faults, hostile clients and signals
python -m benchmarks message-forms --seeds 10  # a node between peers that use all forms of messages
"""


@click.group(help=HELP_TEXT, context_settings={"help_option_names": ["-h", "--help"], "show_default": True})
def main() -> None:
    """Run one of the commands."""


@main.command("policy")
@numbers_option("--sizes", "sizes", ENDPOINT_COUNTS, "Numbers of endpoints.")
@numbers_option("--tenants", "tenants", "8,700,70000,700000")
@numbers_option("--classes", "classes", "3,30,100,300")
@json_option
def policy_command(sizes: list[int], tenants: list[int], classes: list[int], file: str | None) -> None:
    """Measure the policy's processor time per operation in ms, its memory, and how both grow with size."""
    rows = _policy_rows("endpoints", sizes, policy_cost.fleet_costs)
    rows += _policy_rows("tenants", tenants, lambda count: [policy_cost.tenant_cost(count)])
    rows += _policy_rows("classes", classes, lambda count: [policy_cost.class_cost(count)])
    if file:
        write_json(rows, file)


def _policy_rows(size_name: str, counts: list[int], measure: Callable[[int], Iterable[Cost]]) -> list[Row]:
    tracked_counts = track(counts, size_name, console=progress_console, transient=True)
    rows = growth_rows([cost for count in tracked_counts for cost in measure(count)])
    show_table(f"by {size_name}", rows)
    return rows


@main.command("node")
@numbers_option("--sizes", "sizes", ENDPOINT_COUNTS, "Numbers of endpoints.")
@click.option("--seconds", default=10.0, help="Seconds to measure once the node is ready.")
@click.option("--rate", default=1.0, help="Changes of the endpoint list per second.")
@click.option("--rollout", default=0.0, help="Share of the fleet restarted each second.")
@click.option("--zone-lost", type=float, help="Seconds until all endpoints of a zone leave at once.")
@click.option(
    "--node-count", default=FLEET_NODES, help="Value of GroupSize in the configuration of the measured node."
)
@click.option("--known", is_flag=True, help="Put a cached endpoint list into the node's configuration.")
@click.option("--root", default=str(REPOSITORY_ROOT), help="Checkout from which the node is run.")
@json_option
def node_command(
    sizes: list[int],
    seconds: float,
    rate: float,
    rollout: float,
    zone_lost: float | None,
    node_count: int,
    known: bool,
    root: str,
    file: str | None,
) -> None:
    """Measure a real node with a stub of discovery."""
    arguments = [sys.executable, "-B", "-m", "load_balancer.proxy"]
    rows = []
    for endpoints in track(sizes, "nodes", console=progress_console, transient=True):
        plan = DiscoveryPlan(endpoints, rate, rollout, zone_lost)
        command = NodeCommand(arguments, root, node_count, cached_endpoints=endpoints if known else 0)
        rows.append(asdict(uvloop.run(node_process.measure_node(plan, command, seconds))))
    show_table(f"one node in a fleet of {node_count}, {rate:g} changes a second", rows, file)


@main.command("mass-restart")
@numbers_option("--nodes", "node_counts", "100,300,1000")
@click.option("--endpoints", default=200)
@click.option(
    "--call-ms", default=10.0, help="Time in ms that discovery takes per call; it processes one at a time."
)
@click.option("--unavailable-for", default=0.0, help="Seconds at the start during which discovery is down.")
@click.option("--rate", default=1.0, help="Changes of the endpoint list per second.")
@click.option("--seconds", default=10.0)
@json_option
def mass_restart_command(
    node_counts: list[int],
    endpoints: int,
    call_ms: float,
    unavailable_for: float,
    rate: float,
    seconds: float,
    file: str | None,
) -> None:
    """Measure many nodes without clients, in one process, that connect to discovery at once."""
    rows = []
    for nodes in track(node_counts, "mass restarts", console=progress_console, transient=True):
        plan = DiscoveryPlan(endpoints, rate, call_time=call_ms / 1000, unavailable_for=unavailable_for)
        rows.append(asdict(asyncio.run(hollow_nodes.measure_mass_restart(plan, nodes, seconds))))
    show_table(f"mass restarts with {endpoints} endpoints, calls of {call_ms:g} ms", rows, file)


@main.command("slow-start")
@numbers_option("--nodes", "node_counts", "5,30,200,2000")
@click.option("--endpoints", default=10)
@click.option("--rate", default=200.0, help="Requests per second of all nodes together.")
@click.option("--utilization", default=0.7, help="Share of a warmed-up endpoint's capacity in use.")
@click.option(
    "--overload-factor", default=3.0, help="Load that overloads an endpoint, as a multiple of its capacity."
)
@click.option(
    "--drained",
    default=0.9,
    help="Share of the warmed-up endpoints that start to drain when the burst of traffic begins, 0 to 1.",
)
@click.option("--seeds", default=3)
@json_option
def slow_start_command(
    node_counts: list[int],
    endpoints: int,
    rate: float,
    utilization: float,
    overload_factor: float,
    drained: float,
    seeds: int,
    file: str | None,
) -> None:
    """Simulate the attempts of all nodes at an endpoint that has just started, and show its worst window."""
    rows = []
    for nodes in track(node_counts, "nodes", console=progress_console, transient=True):
        for seed in range(seeds):
            scenario = Scenario(nodes, endpoints, rate, utilization, overload_factor, drained, seed)
            rows.append(asdict(slow_start.simulate(scenario)))
    load = f"{rate:g} requests/s, {endpoints} endpoints, {drained:g} drained"
    show_table(f"{load}, overload factor {overload_factor:g}", rows, file)


@main.command("slow-start-chance")
@numbers_option("--nodes", "node_counts", "5,30,200,7900")
@click.option("--attempts", default=5.0, help="Attempts of all nodes in a window, on average.")
@click.option(
    "--overload-factor", default=3.0, help="Load that overloads an endpoint, as a multiple of its capacity."
)
@click.option("--idle-windows", default=4.0, help="Windows without attempts before the one considered.")
@json_option
def slow_start_chance_command(
    node_counts: list[int], attempts: float, overload_factor: float, idle_windows: float, file: str | None
) -> None:
    """Compute the probability that the nodes overload a new endpoint, by the binomial distribution."""
    rows = [
        asdict(slow_start_chance.overload_chance(nodes, attempts, overload_factor, idle_windows))
        for nodes in node_counts
    ]
    show_table(
        "probability of more than N + 2 sqrt(N) + 2 attempts in one window (N: column allowed)", rows, file
    )


@main.command("subsetting")
@click.option("--endpoints", default=95_000)
@click.option("--nodes", default=FLEET_NODES)
@json_option
def subsetting_command(endpoints: int, nodes: int, file: str | None) -> None:
    """Measure, by rank and by arc, how evenly the subsets cover the endpoints and how changes alter them."""
    rows = [asdict(subsetting.measure_coverage(endpoints, nodes, by_rank)) for by_rank in (True, False)]
    show_table(f"subsets for {nodes} nodes, of {endpoints} endpoints", rows, file)


for robustness_command in robustness_commands.COMMANDS:
    main.add_command(robustness_command)


if __name__ == "__main__":
    main()
