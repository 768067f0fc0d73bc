"""Helpers of the tests that force two events into the harmful order."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

from tests.proxy.harness import NodeHarness
from tests.proxy.stubs import TIMEOUT_S


class HeldConnectLoop:
    """A loop whose connects complete, and return their connection only once they are released."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.completed = asyncio.Event()
        self.release = asyncio.Event()

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)

    async def create_connection(self, *args: Any) -> Any:
        """Connect, and wait for the release."""
        connection = await self.loop.create_connection(*args)
        self.completed.set()
        try:
            await self.release.wait()
        except asyncio.CancelledError:
            connection[0].abort()  # as the loop itself does
            raise
        return connection


def hold_connects(harness: NodeHarness) -> HeldConnectLoop:
    """Make the node's pool connect through a held loop, and return that."""
    loop = HeldConnectLoop(asyncio.get_running_loop())
    harness.node.pool.loop = loop  # type: ignore[assignment]
    return loop


async def wait_until(condition: Callable[[], bool]) -> None:
    """Run the loop until a condition holds."""
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0)


def connect_raw(harness: NodeHarness) -> socket.socket:
    """Return a blocking client: each of its steps is done on return, without a loop iteration."""
    return socket.create_connection(harness.node.listener.address)
