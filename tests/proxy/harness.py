"""A node in the test's own event loop, between stubs."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Coroutine
from contextlib import asynccontextmanager
from types import UnionType
from typing import Any

import uvloop

from load_balancer.policy.events import AttemptEnded
from load_balancer.policy.settings import RequestClass, Settings
from load_balancer.proxy.client_connection import ClientConnection
from load_balancer.proxy.config import Config
from load_balancer.proxy.endpoint_decoder import DiscoveryUpdate, UpdateBuilder, UpdateDecoder
from load_balancer.proxy.node import Node
from load_balancer.proxy.upstream import REUSE_DELAY_MS
from tests.proxy.stubs import REQUEST_CLASSES, TIMEOUT_S, DiscoveryStub, RawClient, UpstreamStub


def run(test: Coroutine[Any, Any, None]) -> None:
    uvloop.run(test)


def make_config(discovery: int, aim: float = 5000.0, attempts: int = 1, **changes: Any) -> Config:
    """Return the configuration of a node; `discovery` is a port, `aim` the latency objective in ms."""
    classes = tuple(
        RequestClass(
            latency_objective=aim,
            deadline=9000.0,
            priority_weight=1.0,
            idempotency=idempotency,
            deduplication_window=9000.0,
        )
        for idempotency in REQUEST_CLASSES.values()
    )
    values: dict[str, Any] = {
        "name": "n0",
        "listen": ("127.0.0.1", 0),
        "discovery": ("127.0.0.1", discovery),
        "seed": 1,
        "max_descriptors": 1024,
        "load_cached_endpoints": None,
        "settings": Settings(classes=classes, can_cancel=True, max_attempts=attempts, max_retry_after=600.0),
        "classes": {name.encode(): i for i, name in enumerate(REQUEST_CLASSES)},
        "tenants": {},
        "machine_types": {"m": 0},
        "zones": {"a": 0},
        "drain_grace": 1000.0,
        "connect_timeout": 5000.0,
        "idle_timeout": 15000.0,
    }
    return Config(**values | changes)


class NodeHarness:
    """A running node, and the events that its policy gets."""

    def __init__(self, node: Node, discovery: DiscoveryStub) -> None:
        self.node = node
        self.discovery = discovery
        self.events: asyncio.Queue[object] = asyncio.Queue()
        handle = node.policy.handle

        def spy(now: float, event: Any) -> Any:
            commands = handle(now, event)
            self.events.put_nowait(event)
            return commands

        node.policy.handle = spy  # type: ignore[method-assign]

    async def next_event(self, kind: type | UnionType) -> Any:
        """Return the next event of a kind that the policy gets."""
        async with asyncio.timeout(TIMEOUT_S):
            while not isinstance(event := await self.events.get(), kind):
                pass
        return event

    async def next_attempt_end(self) -> AttemptEnded:
        event: AttemptEnded = await self.next_event(AttemptEnded)
        return event

    async def connections(self, number: int) -> AsyncIterator[ClientConnection]:
        """Yield the client connections, once there are so many."""
        async with asyncio.timeout(TIMEOUT_S):
            while len(self.node.listener.connections) != number:
                await asyncio.sleep(0)
        for connection in self.node.listener.connections:
            yield connection

    def apply_delta(self, generation: int, instances: list[dict[str, Any]]) -> None:
        """Apply changes of the endpoint list, all of them before the call returns."""
        decoder = self.node.endpoints.new_decoder()
        decoder.feed(json.dumps({"generation": generation, "reset": False, "instances": instances}).encode())
        for _ in self.node.endpoint_updater.apply_slices(decoder.finish()):
            pass

    def endpoint_ids(self) -> set[int]:
        """Return the ids of the current endpoint list."""
        return set(self.node.endpoints.ids())

    def age_idle_connections(self) -> None:
        """Make the idle connections to upstreams old enough to be reused."""
        for upstream in self.node.pool.upstreams.values():
            for connection in upstream.idle_connections:
                connection.idle_since -= REUSE_DELAY_MS

    async def connect(self) -> RawClient:
        return RawClient(*await asyncio.open_connection(*self.node.listener.address))


@asynccontextmanager
async def running_node(*upstreams: UpstreamStub, **changes: Any) -> AsyncIterator[NodeHarness]:
    """Run a node that has these upstreams as s-1, s-2 and so on in its cached endpoint list."""
    entries = [upstream.entry(f"s-{i}") for i, upstream in enumerate(upstreams, 1)]
    discovery = await DiscoveryStub(entries).start()

    def load_cached(builder: UpdateBuilder) -> DiscoveryUpdate:
        decoder = UpdateDecoder(builder)
        decoder.feed(json.dumps({"generation": 1, "reset": True, "instances": entries}).encode())
        return decoder.finish()

    config = make_config(discovery.port, **{"load_cached_endpoints": load_cached} | changes)
    node = Node(config, asyncio.get_running_loop())
    harness = NodeHarness(node, discovery)
    node.start()
    try:
        yield harness
    finally:
        node.close()
