"""Eviction: which connection is closed for a new client at the connection limit."""

from __future__ import annotations

import asyncio

import pytest

from load_balancer.proxy import eviction
from load_balancer.proxy.connection_table import ConnectionState
from tests.proxy.harness import run, running_node
from tests.proxy.stubs import UpstreamStub, make_request


def test_longest_idle_connection_is_evicted_at_the_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    # Once a third of the limit is idle, further connections close after their response. They would be evicted
    # first; a grace of 60 s prevents that here.
    monkeypatch.setattr(eviction, "NEW_CONNECTION_GRACE_S", 60.0)

    async def test() -> None:
        async with running_node(await UpstreamStub().start(), max_descriptors=96) as harness:
            limit = harness.node.listener.connections.limit
            clients = [await harness.connect() for _ in range(limit)]
            for client in clients:
                assert (await client.exchange(make_request()))[0] == 200
            new_client = await harness.connect()
            assert (await new_client.exchange(make_request()))[0] == 200
            assert await clients[0].read_to_end() == b""
            assert (await clients[1].exchange(make_request()))[0] == 200
            assert len(harness.node.listener.connections) == limit

    run(test())


def test_closing_connection_is_evicted_before_idle_ones(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(eviction, "NEW_CONNECTION_GRACE_S", 0.0)

    async def test() -> None:
        async with running_node(await UpstreamStub().start(), max_descriptors=96) as harness:
            table = harness.node.listener.connections
            clients = [await harness.connect() for _ in range(table.limit)]
            for client in clients:
                assert (await client.exchange(make_request()))[0] == 200
            closing_count = len(table.in_state(ConnectionState.CLOSING))
            assert closing_count > 0
            new_client = await harness.connect()
            assert (await new_client.exchange(make_request()))[0] == 200
            # One closing connection was evicted; the new one is closing too, since many are idle.
            assert len(table.in_state(ConnectionState.CLOSING)) == closing_count
            assert (await clients[0].exchange(make_request()))[0] == 200
            assert len(table) == table.limit

    run(test())


def test_connection_without_any_request_is_evicted_first(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(eviction, "NEW_CONNECTION_GRACE_S", 0.0)

    async def test() -> None:
        async with running_node(await UpstreamStub().start(), max_descriptors=96) as harness:
            regular_client = await harness.connect()
            assert (await regular_client.exchange(make_request()))[0] == 200
            table = harness.node.listener.connections
            limit = table.limit
            silent_clients = [await harness.connect() for _ in range(limit - 1)]
            while len(table.in_state(ConnectionState.CONNECTED)) < limit - 1:
                await asyncio.sleep(0)
            new_client = await harness.connect()
            assert (await new_client.exchange(make_request()))[0] == 200
            assert await silent_clients[0].read_to_end() == b""
            assert (await regular_client.exchange(make_request()))[0] == 200
            assert len(harness.node.listener.connections) == limit

    run(test())


def test_connection_with_an_incomplete_request_is_evicted(monkeypatch: pytest.MonkeyPatch) -> None:
    # Before such connections were evicted, 200 clients that had each sent only a part of their headers used
    # up the limit, and 50 requests of regular clients were not accepted.
    monkeypatch.setattr(eviction, "SLOW_REQUEST_AGE_S", 0.0)

    async def test() -> None:
        async with running_node(await UpstreamStub().start(), max_descriptors=96) as harness:
            table = harness.node.listener.connections
            limit = table.limit
            slow_clients = [await harness.connect() for _ in range(limit)]
            for client in slow_clients:
                client.writer.write(b"GET /find/1 HTTP/1.1\r\n")
            while len(table.in_state(ConnectionState.RECEIVING)) < limit:
                await asyncio.sleep(0)
            assert (await (await harness.connect()).exchange(make_request()))[0] == 200
            assert len(harness.node.listener.connections) <= limit

    run(test())
