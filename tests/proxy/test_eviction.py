"""Eviction: which connection is closed for a new client at the limit of connections."""

from __future__ import annotations

import asyncio

import pytest

from load_balancer.proxy import eviction
from load_balancer.proxy.connection_table import ConnectionState
from tests.proxy.harness import run, running_node
from tests.proxy.stubs import UpstreamStub, make_request


def test_longest_idle_connection_is_evicted_at_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    # Most connections here are closing, and would be evicted first once the grace is over.
    monkeypatch.setattr(eviction, "NEW_CONNECTION_GRACE_S", 60.0)

    async def test() -> None:
        async with running_node(await UpstreamStub().start(), max_descriptors=96) as harness:
            limit = harness.node.listener.connections.limit
            clients = [await harness.connect() for _ in range(limit)]
            for client in clients:
                assert (await client.exchange(make_request()))[0] == 200
            newest = await harness.connect()
            assert (await newest.exchange(make_request()))[0] == 200
            assert await clients[0].read_to_end() == b""
            assert (await clients[1].exchange(make_request()))[0] == 200
            assert len(harness.node.listener.connections) == limit

    run(test())


def test_closing_connections_are_evicted_before_idle_ones(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(eviction, "NEW_CONNECTION_GRACE_S", 0.0)

    async def test() -> None:
        async with running_node(await UpstreamStub().start(), max_descriptors=96) as harness:
            table = harness.node.listener.connections
            clients = [await harness.connect() for _ in range(table.limit)]
            for client in clients:
                assert (await client.exchange(make_request()))[0] == 200
            closing = len(table.in_state(ConnectionState.CLOSING))
            assert closing > 0
            newest = await harness.connect()
            assert (await newest.exchange(make_request()))[0] == 200
            # Another connection closes after its response, since many are idle: the newest one.
            assert len(table.in_state(ConnectionState.CLOSING)) == closing
            assert (await clients[0].exchange(make_request()))[0] == 200
            assert len(table) == table.limit

    run(test())


def test_connections_without_any_request_are_evicted_first(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(eviction, "NEW_CONNECTION_GRACE_S", 0.0)

    async def test() -> None:
        async with running_node(await UpstreamStub().start(), max_descriptors=96) as harness:
            regular = await harness.connect()
            assert (await regular.exchange(make_request()))[0] == 200
            table = harness.node.listener.connections
            limit = table.limit
            silent = [await harness.connect() for _ in range(limit - 1)]
            while len(table.in_state(ConnectionState.CONNECTED)) < limit - 1:
                await asyncio.sleep(0)
            newest = await harness.connect()
            assert (await newest.exchange(make_request()))[0] == 200
            assert await silent[0].read_to_end() == b""
            assert (await regular.exchange(make_request()))[0] == 200
            assert len(harness.node.listener.connections) == limit

    run(test())


def test_connections_with_incomplete_request_are_evicted(monkeypatch: pytest.MonkeyPatch) -> None:
    # 50 requests of regular clients were not accepted while 200 others had sent a part of their headers each.
    monkeypatch.setattr(eviction, "SLOW_REQUEST_AGE_S", 0.0)

    async def test() -> None:
        async with running_node(await UpstreamStub().start(), max_descriptors=96) as harness:
            table = harness.node.listener.connections
            limit = table.limit
            slow = [await harness.connect() for _ in range(limit)]
            for client in slow:
                client.writer.write(b"GET /find/1 HTTP/1.1\r\n")
            while len(table.in_state(ConnectionState.RECEIVING)) < limit:
                await asyncio.sleep(0)
            assert (await (await harness.connect()).exchange(make_request()))[0] == 200
            assert len(harness.node.listener.connections) <= limit

    run(test())
