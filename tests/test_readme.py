"""The Python example in the README: it runs and prints the expected line."""

from __future__ import annotations

import re
from pathlib import Path

import pytest


def test_example_runs_and_prints_the_chosen_endpoint(capsys: pytest.CaptureFixture[str]) -> None:
    readme = (Path(__file__).parent.parent / "README.md").read_text()
    example = re.search(r"```python\n(.*?)```", readme, re.S)
    assert example
    exec(compile(example[1], "README.md", "exec"), {})
    assert re.fullmatch(r"request 1 goes to [012], for 400 ms at most\n", capsys.readouterr().out)
