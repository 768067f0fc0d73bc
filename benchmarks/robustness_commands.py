"""Commands that run a node under clients, peers and faults that it has to withstand."""

from __future__ import annotations

import sys
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import asdict
from pathlib import Path

import click
import uvloop
from rich.progress import track

from benchmarks import client_pressure, forms_check, soak
from benchmarks.hostile_clients import Behaviour
from benchmarks.options import json_option, progress_console, root_option
from benchmarks.report import Row, show_table


@click.command("client-pressure")
@click.option(
    "--behaviour",
    "behaviours",
    type=click.Choice([behaviour.value for behaviour in Behaviour]),
    multiple=True,
    default=[behaviour.value for behaviour in Behaviour],
    help="What the clients do; may be repeated.",
)
@click.option("--clients", default=600, help="Clients that misuse the node; floods have one client.")
@click.option("--seconds", default=8.0)
@click.option("--memory-mb", default=client_pressure.LEAST_MEMORY_MB, help="The node's memory limit.")
@click.option("--descriptors", default=client_pressure.DESCRIPTORS, help="The node's descriptor limit.")
@root_option
@json_option
def client_pressure_command(
    behaviours: Sequence[str],
    clients: int,
    seconds: float,
    memory_mb: int,
    descriptors: int,
    root: str,
    file: str | None,
) -> None:
    """Measure a node and what its good clients get while other clients misuse it."""
    rows = []
    for behaviour in track(behaviours, "behaviours", console=progress_console, transient=True):
        count = 1 if behaviour.endswith("flood") else clients
        measurement = client_pressure.measure_pressure(
            behaviour, count, seconds, memory_mb, descriptors, Path(root)
        )
        rows.append(asdict(uvloop.run(measurement)))
    show_table(f"a node of {memory_mb} MB and {descriptors} descriptors for {seconds:g} s", rows, file)


@click.command("soak")
@click.option("--first-seed", default=1)
@click.option("--seeds", default=50, help="Number of runs, one for each seed.")
@click.option("--seconds", default=8.0, help="Seconds before the shutdown of each run.")
@root_option
@json_option
def soak_command(first_seed: int, seeds: int, seconds: float, root: str, file: str | None) -> None:
    """Run a node under faults, hostile clients and signals, and check the rules of the protocol."""

    def run_seed(seed: int) -> Row:
        return _soak_row(uvloop.run(soak.soak(seed, seconds, Path(root))))

    title = f"soak, {seconds:g} s before the shutdown"
    _show_checked_seeds(title, range(first_seed, first_seed + seeds), run_seed, file)


def _status_columns(statuses: Counter[int]) -> dict[str, int]:
    return {
        "200": statuses[200],
        "503": statuses[503],
        "other": statuses.total() - statuses[200] - statuses[503],
    }


def _violations_column(violations: Counter[str]) -> dict[str, str]:
    return {"violations": ", ".join(f"{text} {count}" for text, count in violations.items())}


def _soak_row(result: soak.SoakResult) -> Row:
    scenario = result.scenario
    return {
        "seed": scenario.seed,
        "limits": f"{scenario.memory_mb} MB, {scenario.descriptors}",
        "hostile": ", ".join(f"{count} {behaviour}" for behaviour, count in scenario.hostile),
        "faults": f"{scenario.upstream_faults.reset:g}, 1 call in {scenario.failing_calls}",
        "peak": result.peak_memory,
        **_status_columns(result.statuses),
        "p99_ms": result.p99_ms,
        "left": result.departures,
        "end_s": "killed" if result.ended_after_s is None else result.ended_after_s,
        **_violations_column(result.violations),
    }


@click.command("message-forms")
@click.option("--first-seed", default=1)
@click.option("--seeds", default=10, help="Number of runs, one for each seed.")
@click.option("--seconds", default=4.0)
@root_option
@json_option
def message_forms_command(first_seed: int, seeds: int, seconds: float, root: str, file: str | None) -> None:
    """Run a node between peers that use all forms of messages, and check what arrives."""

    def run_seed(seed: int) -> Row:
        return _forms_row(uvloop.run(forms_check.check_forms(seed, seconds, Path(root))))

    title = f"messages in all forms for {seconds:g} s"
    _show_checked_seeds(title, range(first_seed, first_seed + seeds), run_seed, file)


def _show_checked_seeds(
    title: str, seeds: Sequence[int], run_seed: Callable[[int], Row], file: str | None
) -> None:
    """Show a row for each seed, and end the program with status 1 if one has a violation."""
    rows = [run_seed(seed) for seed in track(seeds, "seeds", console=progress_console)]
    show_table(title, rows, file)
    if any(row["violations"] for row in rows):
        sys.exit(1)


def _forms_row(result: forms_check.FormsResult) -> Row:
    return {
        "seed": result.seed,
        **_status_columns(result.statuses),
        "without_length": result.without_length,
        "forwarded": result.without_length_forwarded,
        **_violations_column(result.violations),
    }


COMMANDS = (client_pressure_command, soak_command, message_forms_command)
