"""Helpers for tests of race conditions: they force two events into the order that exposes the race."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

from tests.proxy.harness import NodeHarness
from tests.proxy.stubs import TIMEOUT_S


class HeldConnectionLoop:
    """Event loop in which ``create_connection`` connects at once but returns only after ``release`` is set.

    ``completed`` is set when the first connection has been made.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.completed = asyncio.Event()
        self.release = asyncio.Event()

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)

    async def create_connection(self, *args: Any) -> Any:
        """Connect, and return the connection once ``release`` is set."""
        connection = await self.loop.create_connection(*args)
        self.completed.set()
        try:
            await self.release.wait()
        except asyncio.CancelledError:
            connection[0].abort()  # the real loop aborts it on cancellation too
            raise
        return connection


def hold_connections(harness: NodeHarness) -> HeldConnectionLoop:
    """Hold back the connections that the node opens to upstreams; return the loop that releases them."""
    loop = HeldConnectionLoop(asyncio.get_running_loop())
    harness.node.pool.loop = loop  # type: ignore[assignment]
    return loop


async def wait_until(condition: Callable[[], bool]) -> None:
    """Run the event loop until a condition holds."""
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0)


def connect_raw(harness: NodeHarness) -> socket.socket:
    """Return a blocking socket that is connected to the node.

    Unlike the calls of asyncio, each of its calls takes effect before the event loop runs again.
    """
    return socket.create_connection(harness.node.listener.address)
