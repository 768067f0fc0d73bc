"""Graceful shutdown of a node process on SIGTERM."""

from __future__ import annotations

import asyncio
import signal
import socket
from pathlib import Path

import uvloop

from load_balancer.proxy.graceful_shutdown import ACCEPT_PERIOD_S
from tests.proxy.process import NodeProcess, running_node_process
from tests.proxy.stubs import TIMEOUT_S, DiscoveryStub, UpstreamStub, header, make_request, respond_after


def test_requests_in_flight_at_sigterm_and_on_later_connections_get_responses(tmp_path: Path) -> None:
    release = asyncio.Event()

    async def test() -> None:
        upstream = await UpstreamStub(respond_after(release)).start()
        discovery = await DiscoveryStub([upstream.entry()]).start()
        async with running_node_process(tmp_path / "config.json", discovery.port) as node:
            busy_client, idle_client = await node.connect(), await node.connect()
            assert (await idle_client.exchange(b"GET /_health HTTP/1.1\r\n\r\n"))[0] == 200
            busy_client.writer.write(make_request())
            await asyncio.wait_for(upstream.requests.get(), TIMEOUT_S)
            node.process.send_signal(signal.SIGTERM)
            assert await idle_client.read_to_end() == b""  # idle connections are closed
            node.process.send_signal(signal.SIGHUP)  # must not disturb the shutdown
            node.process.send_signal(signal.SIGTERM)  # has no further effect
            late_client = await node.connect()  # new connections are still accepted
            late_client.writer.write(make_request())
            await asyncio.wait_for(upstream.requests.get(), TIMEOUT_S)
            release.set()
            for client in (busy_client, late_client):
                status, head, _ = await client.receive()
                assert (status, header(head, b"Connection")) == (200, b"close")
                client.writer.close()
            # The log shows which step a shutdown has reached.
            await node.next_line(r"closing the listening socket: \d of 620 client connections open")
            await node.next_line(r"listening socket closed: \d requests in flight")
            assert await asyncio.wait_for(node.process.wait(), TIMEOUT_S) == 0

    uvloop.run(test())


def connect_idle_clients(node: NodeProcess, count: int) -> list[socket.socket]:
    """Connect to a node and send nothing; the kernel completes connections that the node has not accepted."""
    sockets = [socket.socket() for _ in range(count)]
    for idle in sockets:
        idle.setblocking(False)
        idle.connect_ex(("127.0.0.1", node.port))
    return sockets


def test_node_with_more_idle_clients_than_its_limit_answers_requests_and_exits_at_sigterm(
    tmp_path: Path,
) -> None:
    # Guards against the endless loop that accepted a backlog while the connection limit was reached: requests
    # in flight at SIGTERM were never answered, and only SIGKILL ended the node.
    release = asyncio.Event()

    async def test() -> None:
        upstream = await UpstreamStub(respond_after(release)).start()
        discovery = await DiscoveryStub([upstream.entry()]).start()
        # 96 descriptors leave 40 for clients, as 32 are reserved and 24 are for upstreams.
        async with running_node_process(tmp_path / "config.json", discovery.port, 96) as node:
            client = await node.connect()
            client.writer.write(make_request())
            await asyncio.wait_for(upstream.requests.get(), TIMEOUT_S)
            node.process.send_signal(signal.SIGTERM)
            await node.next_line("shutting down")
            idle = connect_idle_clients(node, 60)
            await asyncio.sleep(ACCEPT_PERIOD_S - 0.2)  # the idle clients become old enough for an eviction
            node.process.send_signal(signal.SIGSTOP)
            idle += connect_idle_clients(node, 20)
            await asyncio.sleep(0.3)  # until the end of the accept period; the clients wait in the backlog
            node.process.send_signal(signal.SIGCONT)
            await node.next_line("listening socket closed: 1 requests in flight")
            release.set()
            assert (await client.receive())[0] == 200
            assert await asyncio.wait_for(node.process.wait(), TIMEOUT_S) == 0
            for idle_socket in idle:
                idle_socket.close()

    uvloop.run(test())
