"""SIGTERM."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import uvloop

from tests.proxy.process import running_node_process
from tests.proxy.stubs import TIMEOUT_S, DiscoveryStub, UpstreamStub, header, make_request, respond_after


def test_after_sigterm_requests_in_flight_and_those_that_still_come_get_responses(tmp_path: Path) -> None:
    release = asyncio.Event()

    async def test() -> None:
        upstream = await UpstreamStub(respond_after(release)).start()
        discovery = await DiscoveryStub([upstream.entry()]).start()
        async with running_node_process(tmp_path / "config.json", discovery.port) as node:
            in_flight, idle = await node.connect(), await node.connect()
            assert (await idle.exchange(b"GET /_health HTTP/1.1\r\n\r\n"))[0] == 200
            in_flight.writer.write(make_request())
            await asyncio.wait_for(upstream.requests.get(), TIMEOUT_S)
            node.process.send_signal(signal.SIGTERM)
            assert await idle.read_to_end() == b""  # an idle connection is closed
            node.process.send_signal(signal.SIGHUP)  # harmless by now
            node.process.send_signal(signal.SIGTERM)  # without effect
            late = await node.connect()  # new connections are still accepted
            late.writer.write(make_request())
            await asyncio.wait_for(upstream.requests.get(), TIMEOUT_S)
            release.set()
            for waiting in (in_flight, late):
                status, head, _ = await waiting.receive()
                assert (status, header(head, b"Connection")) == (200, b"close")
                waiting.writer.close()
            assert await asyncio.wait_for(node.process.wait(), TIMEOUT_S) == 0

    uvloop.run(test())
