"""How the pool learns how long upstreams keep idle connections open."""

from __future__ import annotations

import asyncio

from load_balancer.proxy.stable_id import stable_id
from tests.proxy.harness import run, running_node
from tests.proxy.stubs import OK, UpstreamStub, make_request


def test_idle_timeout_drops_after_consecutive_resets_and_grows_back() -> None:
    async def test() -> None:
        async with running_node(await UpstreamStub().start()) as harness:
            pool = harness.node.pool
            timeout = pool.idle_timeout
            initial = timeout.current_ms
            for idle_ms, alive in (
                (50.0, False),
                (50.0, False),
                (150.0, False),
                (140.0, True),
                (150.0, False),
            ):
                timeout.record_reuse(idle_ms, alive)
            # Single resets, and those after a short idle time, don't count.
            assert timeout.current_ms == initial
            timeout.record_reuse(140.0, False)
            assert timeout.current_ms == 140.0
            for _ in range(100):
                pool.reap_idle_connections()
            assert timeout.current_ms == initial

    run(test())


def test_resets_of_reused_connections_lower_the_idle_timeout() -> None:
    received_heads: list[bytes] = []

    async def reset_every_second_request(
        upstream: UpstreamStub, head: bytes, writer: asyncio.StreamWriter
    ) -> None:
        received_heads.append(head)
        if len(received_heads) % 2:
            writer.write(OK)
        else:
            writer.transport.abort()

    async def test() -> None:
        async with running_node(await UpstreamStub(reset_every_second_request).start()) as harness:
            client, pool = await harness.connect(), harness.node.pool
            for _ in range(2):
                assert (await client.exchange(make_request()))[0] == 200
                (connection,) = pool.upstreams[stable_id(b"s-1")].idle_connections
                connection.idle_since -= 1000.0  # as if it had been idle for 1 s longer
                assert (await client.exchange(make_request()))[0] == 503
            assert 1000.0 <= pool.idle_timeout.current_ms < 5000.0

    run(test())
