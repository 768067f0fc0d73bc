"""Options of the command line that several commands share, and where their progress is shown."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import click
from rich.console import Console

from benchmarks.report import REPOSITORY_ROOT

progress_console = Console(stderr=True)
root_option = click.option(
    "--root", default=str(REPOSITORY_ROOT), help="Checkout from which the node is run."
)


def parse_numbers(text: str) -> list[int]:
    """Parse integers separated by commas; underscores may group the digits."""
    try:
        return [int(word.replace("_", "")) for word in text.split(",")]
    except ValueError:
        raise click.BadParameter(f"{text!r} is not a list of integers separated by commas") from None


def numbers_option(name: str, variable: str, default: str, help_text: str = "") -> Callable[..., Any]:
    """Return an option that takes a list of integers."""
    return click.option(
        name, variable, type=parse_numbers, metavar="NUMBERS", default=default, help=help_text
    )


def json_option(command: Callable[..., None]) -> Callable[..., None]:
    """Add the option `--json FILE`."""
    option = click.option(
        "--json", "file", type=click.Path(dir_okay=False), help="Write the figures to FILE as JSON."
    )
    return option(command)
