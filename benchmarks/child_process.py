"""Child processes of the benchmarks: the discovery stub and a node."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import TypeVar

from benchmarks.discovery_stub import DiscoveryPlan
from benchmarks.fleet import node_config, snapshot_chunks
from benchmarks.stub_reports import StubListening, StubReport, decode_report

POLL_INTERVAL = 0.01  # s between checks for new reports

_Report = TypeVar("_Report", bound=StubReport)


@dataclass(frozen=True, slots=True)
class OutputLine:
    """Line of output of a process, and the Unix time in s at which it was read."""

    at: float
    text: str


class ChildProcess:
    """Running process and its output so far; `port` is the port on which it listens."""

    def __init__(self, process: asyncio.subprocess.Process, output: asyncio.StreamReader | None) -> None:
        assert output is not None
        self.process = process
        self.port = 0
        self.output_lines: list[OutputLine] = []
        self._read_task = asyncio.ensure_future(self._read(output))

    async def wait_until_exited(self) -> None:
        """Wait until the process has exited and all of its output is read."""
        await self._read_task
        await self.process.wait()

    async def _read(self, output: asyncio.StreamReader) -> None:
        while line := await output.readline():
            self.output_lines.append(OutputLine(time.time(), line.decode()))


class DiscoveryStubProcess(ChildProcess):
    """Process of the discovery stub, which writes reports to its output."""

    def reports(self, report_type: type[_Report]) -> list[_Report]:
        """Return all reports of a type so far."""
        decoded = [decode_report(line.text) for line in self.output_lines]
        return [report for report in decoded if isinstance(report, report_type)]

    async def first_report(self, report_type: type[_Report]) -> _Report:
        """Wait for the first report of a type and return it."""
        while not (reports := self.reports(report_type)):
            await asyncio.sleep(POLL_INTERVAL)
        return reports[0]


@asynccontextmanager
async def running_discovery_stub(plan: DiscoveryPlan) -> AsyncIterator[DiscoveryStubProcess]:
    """Run the stub; when the block ends, stop it and read its last reports."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "benchmarks.discovery_stub",
        json.dumps(asdict(plan)),
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    stub = DiscoveryStubProcess(process, process.stdout)
    try:
        stub.port = (await stub.first_report(StubListening)).port
        yield stub
    finally:
        assert process.stdin is not None
        process.stdin.close()
        await stub.wait_until_exited()


@dataclass(frozen=True, slots=True)
class NodeCommand:
    """Command, working directory and configuration with which a node is started."""

    command: list[str]
    root: str
    """Checkout from which the node is run, and its working directory."""
    node_count: int
    """Number of nodes in the fleet, for the node's configuration."""
    cached_endpoints: int = 0
    """Number of endpoints in the cached list in the node's configuration, or 0 if it has no such list."""


@asynccontextmanager
async def running_node(command: NodeCommand, discovery_port: int) -> AsyncIterator[ChildProcess]:
    """Run a node; when the block ends, kill it if it is still running."""
    port = find_free_port()
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_bytes(_encode_config(command, discovery_port, port))
        process = await asyncio.create_subprocess_exec(
            *command.command,
            env=os.environ | {"ROUTER_CONFIG": str(path)},
            stderr=asyncio.subprocess.PIPE,
            cwd=command.root,
        )
        node = ChildProcess(process, process.stderr)
        node.port = port
        try:
            yield node
        finally:
            if process.returncode is None:
                process.kill()
            await node.wait_until_exited()


def _encode_config(command: NodeCommand, discovery_port: int, listen_port: int) -> bytes:
    encoded = json.dumps(node_config(discovery_port, listen_port, node_count=command.node_count)).encode()
    if command.cached_endpoints:
        encoded = encoded[:-1] + b',"known":' + b"".join(snapshot_chunks(command.cached_endpoints, 1)) + b"}"
    return encoded


def find_free_port() -> int:
    """Return a port of this machine on which no process listens."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return int(listener.getsockname()[1])
