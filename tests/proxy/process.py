"""The node as a program of its own."""

from __future__ import annotations

import asyncio
import json
import os
import re
import sys
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from tests.proxy.stubs import TIMEOUT_S, RawClient
from tests.raw_settings import SETTINGS

COMMAND = [sys.executable, "-B", "-m", "load_balancer.proxy"]


def make_config_file() -> dict[str, Any]:
    """Return the content of a configuration file that a node can start with."""
    find = {"Name": "find", "Aim": 5000.0, "Deadline": 9000.0, "Idempotency": "free", "Worth": 1.0}
    allowed = {**SETTINGS["Allowed"], "DialTimeout": 5000.0, "ConnIdle": 15000.0}
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": {**SETTINGS, "Classes": [find], "Allowed": allowed, "Customers": []},
    }


class Process:
    """A running program, and the lines of its log that have been read."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process
        self.lines: list[str] = []

    async def next_line(self, pattern: str) -> re.Match[str]:
        """Return the next line of the log that matches."""
        assert self.process.stderr is not None
        while True:
            line = (await asyncio.wait_for(self.process.stderr.readline(), TIMEOUT_S)).decode()
            assert line, "the node has ended"
            self.lines.append(line)
            if match := re.search(pattern, line):
                return match

    async def listening(self) -> None:
        """Return once the node listens and has an endpoint list."""
        self.port = int((await self.next_line(r"listens on 127\.0\.0\.1:(\d+)"))[1])
        await self.next_line("endpoint list version 1 ")

    async def connect(self) -> RawClient:
        return RawClient(*await asyncio.open_connection("127.0.0.1", self.port))


@asynccontextmanager
async def running_process(
    path: Path, discovery: int, sockets: int = 1024, variables: Mapping[str, str] | None = None
) -> AsyncIterator[Process]:
    """Run a node with a configuration file at this path and a limit on descriptors.

    `discovery` is the port of discovery in the file, `variables` go into the environment.
    """
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": sockets}
    path.write_text(
        json.dumps(make_config_file() | {"discovery": f"127.0.0.1:{discovery}", "limits": limits})
    )
    process = await asyncio.create_subprocess_exec(
        *("sh", "-c", f'ulimit -n {sockets}; exec "$@"', "sh", *COMMAND),
        env=os.environ | {"ROUTER_CONFIG": str(path)} | dict(variables or {}),
        stderr=asyncio.subprocess.PIPE,
    )
    node = Process(process)
    try:
        await node.listening()
        yield node
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
