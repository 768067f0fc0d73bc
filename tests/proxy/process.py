"""Runs a node in a process of its own, as in production."""

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

NODE_COMMAND = [sys.executable, "-B", "-m", "load_balancer.proxy"]


def make_config_content() -> dict[str, Any]:
    """Return the content of a configuration file that a node can start with."""
    classes = [
        {"Name": name, "Aim": 5000.0, "Deadline": 9000.0, "Idempotency": idempotency, "Worth": 1.0}
        for name, idempotency in (("find", "free"), ("book", "guarded"), ("pay", "single_shot"))
    ]
    allowed = {**SETTINGS["Allowed"], "DialTimeout": 5000.0, "ConnIdle": 15000.0}
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": {**SETTINGS, "Classes": classes, "Allowed": allowed, "Customers": []},
    }


class NodeProcess:
    """Running process of a node; ``log_lines`` holds the lines of its log that have been read."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process
        self.log_lines: list[str] = []

    async def next_line(self, pattern: str) -> re.Match[str]:
        """Wait for the next line of the log that matches a regular expression and return the match."""
        assert self.process.stderr is not None
        while True:
            line = (await asyncio.wait_for(self.process.stderr.readline(), TIMEOUT_S)).decode()
            assert line, "the node has closed its log"
            self.log_lines.append(line)
            if match := re.search(pattern, line):
                return match

    async def wait_until_ready(self) -> None:
        """Wait until the node listens and has applied version 1 of the endpoint list, and set ``port``."""
        self.port = int((await self.next_line(r"listens on 127\.0\.0\.1:(\d+)"))[1])
        await self.next_line("endpoint list version 1 ")

    async def connect(self) -> RawClient:
        """Open a client connection to the node."""
        return RawClient(*await asyncio.open_connection("127.0.0.1", self.port))


@asynccontextmanager
async def running_node_process(
    config_path: Path,
    discovery_port: int,
    max_descriptors: int = 1024,
    extra_environment: Mapping[str, str] | None = None,
) -> AsyncIterator[NodeProcess]:
    """Run a node process until the block ends, and kill it if it is still running then.

    Args:
        config_path: Path to which the configuration file is written.
        discovery_port: Port of discovery in the configuration file.
        max_descriptors: Limit on file descriptors, set in the configuration file and by ulimit.
        extra_environment: Environment variables for the process.
    """
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": max_descriptors}
    config_path.write_text(
        json.dumps(make_config_content() | {"discovery": f"127.0.0.1:{discovery_port}", "limits": limits})
    )
    process = await asyncio.create_subprocess_exec(
        *("sh", "-c", f'ulimit -n {max_descriptors}; exec "$@"', "sh", *NODE_COMMAND),
        env=os.environ | {"ROUTER_CONFIG": str(config_path)} | dict(extra_environment or {}),
        stderr=asyncio.subprocess.PIPE,
    )
    node = NodeProcess(process)
    try:
        await node.wait_until_ready()
        yield node
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
