"""Connections made after the deadline, and responses that arrive during the next request."""

from __future__ import annotations

import asyncio

import pytest

from load_balancer.policy.events import AttemptResult
from load_balancer.proxy import upstream_pool
from load_balancer.proxy.clock import now_ms
from tests.proxy.harness import run, running_node
from tests.proxy.race_helpers import hold_connections, wait_until
from tests.proxy.stubs import OK, TIMEOUT_S, UpstreamStub, make_request


def test_connection_opened_after_the_deadline_carries_no_request(monkeypatch: pytest.MonkeyPatch) -> None:
    # LAST_READ_DELAY_S is the time from an attempt's deadline to its abort. At 5 s, the held connection is
    # released before the abort.
    monkeypatch.setattr(upstream_pool, "LAST_READ_DELAY_S", 5.0)

    async def test() -> None:
        upstream = await UpstreamStub().start()
        async with running_node(upstream, latency_objective_ms=200.0) as harness:
            held_loop = hold_connections(harness)
            client = await harness.connect()
            client.writer.write(make_request("pay"))
            await asyncio.wait_for(held_loop.completed.wait(), TIMEOUT_S)
            (attempt,) = harness.node.pool.attempts.values()
            await wait_until(lambda: attempt.deadline_passed)
            held_loop.release.set()
            assert (await harness.next_attempt_end()).result == AttemptResult.CONNECT_FAILED
            assert (await client.receive())[0] == 503
            assert upstream.requests.empty()

    run(test())


def test_duplicate_response_is_not_taken_for_the_next_response(monkeypatch: pytest.MonkeyPatch) -> None:
    # The clock is stopped, so the first connection stays within its reuse delay.
    stopped_now = now_ms()
    monkeypatch.setattr(upstream_pool, "now_ms", lambda: stopped_now)
    writers: list[asyncio.StreamWriter] = []

    async def duplicate_first_response(
        upstream: UpstreamStub, head: bytes, writer: asyncio.StreamWriter
    ) -> None:
        writers.append(writer)
        if len(writers) == 1:
            writer.write(OK.replace(b"done", b"none"))
            return
        writers[0].write(OK.replace(b"done", b"none"))  # the duplicate
        await asyncio.sleep(0)
        writer.write(OK)

    async def test() -> None:
        upstream = await UpstreamStub(duplicate_first_response).start()
        async with running_node(upstream) as harness:
            client = await harness.connect()
            assert (await client.exchange(make_request()))[2] == b"none"
            assert (await client.exchange(make_request()))[2] == b"done"

    run(test())
