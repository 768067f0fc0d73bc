"""Reports of the discovery stub to the benchmark that started it: one JSON object per line."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass


@dataclass(frozen=True)
class StubListening:
    """The stub has chosen its port; it accepts calls unless its plan makes it unavailable at first."""

    port: int


@dataclass(frozen=True)
class StubAvailable:
    """The stub has begun to accept calls, after the period at the start in which it was unavailable."""

    at: float
    """Unix time in s at which the stub began to accept calls."""


@dataclass(frozen=True)
class ChangeWritten:
    """The stub has made a change of the endpoint list and is about to send it to all watches."""

    version: int
    at: float
    """Unix time in s at which the change was made."""


@dataclass(frozen=True)
class CallCounts:
    """Counts of calls and bytes, reported before the stub exits."""

    calls: int
    rejected: int
    snapshots: int
    watches: int
    bytes_sent: int


StubReport = StubListening | StubAvailable | ChangeWritten | CallCounts

_REPORT_TYPES: dict[str, type[StubReport]] = {
    report_type.__name__: report_type
    for report_type in (StubListening, StubAvailable, ChangeWritten, CallCounts)
}


def encode_report(report: StubReport) -> str:
    """Return a report as one line of JSON."""
    return json.dumps({"type": type(report).__name__, **asdict(report)})


def decode_report(line: str) -> StubReport:
    """Return the report in a line that `encode_report` produced."""
    fields = json.loads(line)
    return _REPORT_TYPES[fields.pop("type")](**fields)
