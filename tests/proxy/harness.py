"""Runs a node in the event loop of the test, with stubs of discovery and of the upstreams."""

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
    """Run a test in a new event loop of uvloop."""
    uvloop.run(test)


def make_config(
    discovery_port: int, latency_objective_ms: float = 5000.0, attempt_limit: int = 1, **overrides: Any
) -> Config:
    """Return the configuration of a node, with ``overrides`` for fields of ``Config``.

    The latency objective is the same for all request classes; ``attempt_limit`` is the maximum number of
    attempts per request.
    """
    classes = tuple(
        RequestClass(
            latency_objective=latency_objective_ms,
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
        "discovery": ("127.0.0.1", discovery_port),
        "seed": 1,
        "max_descriptors": 1024,
        "load_cached_endpoints": None,
        "settings": Settings(
            classes=classes, can_cancel=True, max_attempts=attempt_limit, max_retry_after=600.0
        ),
        "classes": {name.encode(): i for i, name in enumerate(REQUEST_CLASSES)},
        "tenants": {},
        "machine_types": {"m": 0},
        "zones": {"a": 0},
        "drain_grace": 1000.0,
        "connect_timeout": 5000.0,
        "idle_timeout": 15000.0,
    }
    return Config(**values | overrides)


class NodeHarness:
    """Running node that records the events handled by its policy."""

    def __init__(self, node: Node, discovery: DiscoveryStub) -> None:
        self.node = node
        self.discovery = discovery
        self.events: asyncio.Queue[object] = asyncio.Queue()
        handle = node.policy.handle

        def recording_handle(now: float, event: Any) -> Any:
            commands = handle(now, event)
            self.events.put_nowait(event)
            return commands

        node.policy.handle = recording_handle  # type: ignore[method-assign]

    async def next_event(self, event_type: type | UnionType) -> Any:
        """Wait for the next event of a type and return it, discarding other events."""
        async with asyncio.timeout(TIMEOUT_S):
            while not isinstance(event := await self.events.get(), event_type):
                pass
        return event

    async def next_attempt_end(self) -> AttemptEnded:
        """Wait for the end of the next attempt and return its event."""
        event: AttemptEnded = await self.next_event(AttemptEnded)
        return event

    async def connections(self, count: int) -> AsyncIterator[ClientConnection]:
        """Wait until there are exactly ``count`` client connections, then yield each of them."""
        async with asyncio.timeout(TIMEOUT_S):
            while len(self.node.listener.connections) != count:
                await asyncio.sleep(0)
        for connection in self.node.listener.connections:
            yield connection

    def apply_delta(self, generation: int, instances: list[dict[str, Any]]) -> None:
        """Apply a delta of the endpoint list; all of its slices are applied when the call returns."""
        for _ in self.node.endpoint_updater.apply_slices(self._decode(generation, False, instances)):
            pass

    def decode_snapshot(self, generation: int, instances: list[dict[str, Any]]) -> DiscoveryUpdate:
        """Return a snapshot of the endpoint list, to be applied to the node."""
        return self._decode(generation, True, instances)

    def _decode(self, generation: int, reset: bool, instances: list[dict[str, Any]]) -> DiscoveryUpdate:
        decoder = self.node.endpoints.new_decoder()
        decoder.feed(json.dumps({"generation": generation, "reset": reset, "instances": instances}).encode())
        return decoder.finish()

    def endpoint_ids(self) -> set[int]:
        """Return the ids of the endpoints in the current list."""
        return set(self.node.endpoints.ids())

    def age_idle_connections(self) -> None:
        """Make idle upstream connections reusable now, as if they had been idle for REUSE_DELAY_MS longer."""
        for upstream in self.node.pool.upstreams.values():
            for connection in upstream.idle_connections:
                connection.idle_since -= REUSE_DELAY_MS

    async def connect(self) -> RawClient:
        """Open a client connection to the node."""
        return RawClient(*await asyncio.open_connection(*self.node.listener.address))


@asynccontextmanager
async def running_node(*upstreams: UpstreamStub, **overrides: Any) -> AsyncIterator[NodeHarness]:
    """Run a node whose cached endpoint list holds these upstreams as s-1, s-2 and so on.

    ``overrides`` are passed to ``make_config``.
    """
    entries = [upstream.entry(f"s-{i}") for i, upstream in enumerate(upstreams, 1)]
    discovery = await DiscoveryStub(entries).start()

    def load_cached(builder: UpdateBuilder) -> DiscoveryUpdate:
        decoder = UpdateDecoder(builder)
        decoder.feed(json.dumps({"generation": 1, "reset": True, "instances": entries}).encode())
        return decoder.finish()

    config = make_config(discovery.port, **{"load_cached_endpoints": load_cached} | overrides)
    node = Node(config, asyncio.get_running_loop())
    harness = NodeHarness(node, discovery)
    node.start()
    try:
        yield harness
    finally:
        node.close()
