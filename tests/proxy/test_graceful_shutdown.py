"""Graceful shutdown of a node process on SIGTERM."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import uvloop

from tests.proxy.process import running_node_process
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
