"""Requests of clients that have closed their connection, in a node process."""

from __future__ import annotations

import asyncio
import socket
import time
from contextlib import suppress
from pathlib import Path

import pytest
import uvloop

from tests.proxy.process import NodeProcess, running_node_process
from tests.proxy.stubs import (
    TIMEOUT_S,
    DiscoveryStub,
    Responder,
    UpstreamStub,
    make_request,
    never_respond,
)

RESET_S = 0.3  # above LATE_ATTEMPT_S: a retry would begin that long after an attempt
LATE_ATTEMPT_S = 0.1  # an attempt that begins later after the client's close is a lost request


def record_arrivals(arrivals: list[float]) -> Responder:
    """Return a responder that records the time of each request and resets its connection ``RESET_S`` later.

    A response would be answered by a reset of the client's connection, which the node detects.
    """

    async def respond(upstream: UpstreamStub, head: bytes, writer: asyncio.StreamWriter) -> None:
        arrivals.append(time.monotonic())
        await asyncio.sleep(RESET_S)
        writer.transport.abort()

    return respond


WRITING_S = 0.15  # time for which clients write as much as the buffers of their connections take


async def fill_and_close(node: NodeProcess) -> float:
    """Write requests for a while as fast as the node reads them, then close; return the time of the close."""
    unsent = requests = b"".join(make_request() for _ in range(500))
    with socket.create_connection(("127.0.0.1", node.port)) as client:
        client.setblocking(False)
        close_at = time.monotonic() + WRITING_S
        while time.monotonic() < close_at:
            with suppress(BlockingIOError):
                unsent = unsent[client.send(unsent) :] or requests
            with suppress(BlockingIOError):
                client.recv(65536)  # a close with unread responses would reset the connection at once
            await asyncio.sleep(0)
    return time.monotonic()


def test_attempts_for_a_client_that_closed_its_connection_with_much_unread(tmp_path: Path) -> None:
    arrivals: list[float] = []

    async def test() -> None:
        upstreams = [await UpstreamStub(record_arrivals(arrivals)).start() for _ in range(4)]
        entries = [upstream.entry(f"s-{i}") for i, upstream in enumerate(upstreams)]
        discovery = await DiscoveryStub(entries).start()
        async with running_node_process(tmp_path / "config.json", discovery.port) as node:
            for _ in range(6):
                closed_at = await fill_and_close(node)
                await asyncio.sleep(0.6)
                assert arrivals and max(arrivals) <= closed_at + LATE_ATTEMPT_S

    uvloop.run(test())


@pytest.mark.parametrize("class_name", ["find", "book", "pay"])
def test_second_run_of_an_id_that_comes_again_after_its_client_left(class_name: str, tmp_path: Path) -> None:
    async def test() -> None:
        upstream = await UpstreamStub(never_respond).start()
        discovery = await DiscoveryStub([upstream.entry()]).start()
        async with running_node_process(tmp_path / "config.json", discovery.port) as node:
            request = make_request(class_name)
            for _ in range(3):
                first = await node.connect()
                first.writer.write(request)
                if upstream.connections == 0:
                    await asyncio.wait_for(upstream.requests.get(), TIMEOUT_S)
                first.writer.close()
                await asyncio.sleep(0.05)
            assert (await (await node.connect()).exchange(request))[0] == 409
            assert upstream.requests.empty()

    uvloop.run(test())
