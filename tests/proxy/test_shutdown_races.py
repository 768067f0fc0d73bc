"""Requests that arrive just before an idle connection, the listener or the node is closed."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from load_balancer.proxy import eviction, graceful_shutdown
from load_balancer.proxy import listener as listener_module
from load_balancer.proxy.connection_table import ConnectionState
from load_balancer.proxy.listener import Listener
from tests.proxy.harness import make_config, run, running_node
from tests.proxy.race_helpers import connect_raw, wait_until
from tests.proxy.stubs import (
    TIMEOUT_S,
    RawClient,
    UpstreamStub,
    header,
    make_request,
    never_respond,
    respond_after,
)


def evict(listener: Listener) -> None:
    """Evict a connection as if the limit were reached."""
    listener.evictor.evict()


@pytest.mark.parametrize("close", [Listener.close_idle_connections, evict, Listener.sweep])
def test_unread_request_on_an_idle_connection_is_served(
    close: Callable[[Listener], Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    # Closing a connection that has an unread request would lose the request.
    monkeypatch.setattr(listener_module, "KEEP_ALIVE_TIMEOUT_S", 0.0)

    async def test() -> None:
        upstream = await UpstreamStub().start()
        async with running_node(upstream) as harness:
            client = await harness.connect()
            assert (await client.exchange(make_request()))[0] == 200
            os.write(client.writer.get_extra_info("socket").fileno(), make_request())
            close(harness.node.listener)  # before the event loop reads the request
            assert (await client.receive())[0] == 200

    run(test())


def test_connection_in_the_accept_backlog_is_served_when_the_listener_stops() -> None:
    # Closing a listening socket resets the connections that are left in its backlog.
    async def test() -> None:
        async with running_node(await UpstreamStub().start()) as harness:
            harness.node.shutting_down = True
            client_socket = connect_raw(harness)
            client_socket.sendall(make_request())
            await harness.node.listener.stop_accepting()
            client = RawClient(*await asyncio.open_connection(sock=client_socket))
            assert (await client.receive())[0] == 200

    run(test())


def test_client_that_waits_behind_idle_ones_at_the_limit_is_served_when_the_listener_stops(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(eviction, "NEW_CONNECTION_GRACE_S", 0.0)

    async def test() -> None:
        async with running_node(await UpstreamStub().start(), max_descriptors=96) as harness:
            listener = harness.node.listener
            table = listener.connections
            idle_clients = [await harness.connect() for _ in range(table.limit)]
            await wait_until(lambda: len(table.in_state(ConnectionState.CONNECTED)) == table.limit)
            harness.node.shutting_down = True
            client_socket = connect_raw(harness)
            client_socket.sendall(make_request())
            await listener.stop_accepting()
            client = RawClient(*await asyncio.open_connection(sock=client_socket))
            assert (await client.receive())[0] == 200
            assert await idle_clients[0].read_to_end() == b""  # evicted
            assert len(table) <= table.limit

    run(test())


def test_listener_stops_while_clients_in_its_backlog_can_not_be_accepted(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    # All connections serve a request, so none can be evicted; the client in the backlog is reset.
    release = asyncio.Event()

    async def test() -> None:
        async with running_node(await UpstreamStub(respond_after(release)).start()) as harness:
            listener = harness.node.listener
            listener.connections.limit = 1
            busy_client = await harness.connect()
            busy_client.writer.write(make_request())
            await wait_until(lambda: bool(harness.node.requests.pending))
            waiting_client = RawClient(*await asyncio.open_connection(sock=connect_raw(harness)))
            await asyncio.wait_for(listener.stop_accepting(), TIMEOUT_S)
            with pytest.raises(ConnectionResetError):
                await waiting_client.read_to_end()
            release.set()
            assert (await busy_client.receive())[0] == 200

    run(test())
    assert "the listening socket is closed with clients in its backlog" in caplog.text


def test_request_late_in_a_graceful_shutdown_gets_a_response_before_sigkill(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Without a limit on its deadline, the request would still be in flight at SIGKILL.
    monkeypatch.setattr(graceful_shutdown, "SIGKILL_DELAY_MS", 0.0)
    monkeypatch.setattr(graceful_shutdown, "SIGKILL_MAX_DEADLINE_MS", 2000.0)

    async def test() -> None:
        upstream = await UpstreamStub(never_respond).start()
        async with running_node(upstream) as harness:
            client, data = await harness.connect(), make_request("pay", timeout="8000m")
            client.writer.write(data[:40])
            await wait_until(
                lambda: bool(harness.node.listener.connections.in_state(ConnectionState.RECEIVING))
            )
            shutdown = asyncio.ensure_future(harness.node.shut_down())
            await wait_until(lambda: harness.node.shutting_down)
            client.writer.write(data[40:])
            forwarded = await asyncio.wait_for(upstream.requests.get(), TIMEOUT_S)
            forwarded_timeout = header(forwarded, b"Request-Timeout")
            # The limit of 1900 ms is SIGKILL_MAX_DEADLINE_MS less SIGKILL_MARGIN_MS.
            assert forwarded_timeout is not None and int(forwarded_timeout[:-1]) <= 1900
            client.writer.close()
            await shutdown

    run(test())


def test_node_does_not_exit_while_a_request_is_pending(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(graceful_shutdown, "ACCEPT_PERIOD_S", 0.05)

    async def test() -> None:
        settings = make_config(1).settings
        classes = tuple(replace(c, latency_objective=1500.0, deadline=2000.0) for c in settings.classes)
        upstream = await UpstreamStub(never_respond).start()
        async with running_node(upstream, settings=replace(settings, classes=classes)) as harness:
            client, data = await harness.connect(), make_request("pay", timeout="2000m")
            client.writer.write(data[:40])
            await wait_until(
                lambda: bool(harness.node.listener.connections.in_state(ConnectionState.RECEIVING))
            )
            shutdown = asyncio.ensure_future(harness.node.shut_down())
            await asyncio.sleep(1.0)  # the request's timeout is now longer than the rest of the shutdown
            client.writer.write(data[40:])
            await asyncio.wait_for(upstream.requests.get(), TIMEOUT_S)
            await shutdown
            assert not harness.node.requests.pending
            assert (await client.receive())[0] == 502

    run(test())
