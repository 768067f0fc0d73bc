"""Clients that disconnect shortly before or after their request is sent to an upstream."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from load_balancer.policy.events import AttemptResult, RequestArrived, RequestCancelled
from load_balancer.policy.settings import Settings
from load_balancer.proxy import listener as listener_module
from load_balancer.proxy.socket_reader import MAX_HIDDEN_CLOSE_S
from tests.proxy.harness import make_config, run, running_node
from tests.proxy.race_helpers import connect_raw, hold_connections, wait_until
from tests.proxy.stubs import TIMEOUT_S, UpstreamStub, make_request, never_respond, respond_after

# More requests than the node queues at a time, so that it pauses reading.
PIPELINED_REQUESTS = b"".join(make_request() for _ in range(100))


def settings_without_cancel() -> Settings:
    """Return the default settings of the tests, but with attempts that can't be cancelled."""
    return replace(make_config(1).settings, can_cancel=False)


def test_request_is_not_sent_if_the_client_disconnects_before_the_upstream_is_connected() -> None:
    # An attempt that can't be cancelled would otherwise be sent once the connection to the upstream is made.
    async def test() -> None:
        upstream = await UpstreamStub().start()
        async with running_node(upstream, settings=settings_without_cancel()) as harness:
            held_loop = hold_connections(harness)
            client = await harness.connect()
            client.writer.write(make_request("pay"))
            await asyncio.wait_for(held_loop.completed.wait(), TIMEOUT_S)
            client.writer.close()
            await harness.next_event(RequestCancelled)
            held_loop.release.set()
            assert (await harness.next_attempt_end()).result == AttemptResult.NOT_SENT
            await asyncio.wait_for(upstream.disconnects.get(), TIMEOUT_S)
            assert upstream.requests.empty() and not harness.node.pool.attempts

    run(test())


def test_id_of_a_request_that_was_never_sent_may_come_again() -> None:
    async def test() -> None:
        upstream = await UpstreamStub().start()
        async with running_node(upstream) as harness:
            loop = harness.node.pool.loop
            held_loop = hold_connections(harness)
            request = make_request("pay")
            client = await harness.connect()
            client.writer.write(request)
            await asyncio.wait_for(held_loop.completed.wait(), TIMEOUT_S)
            client.writer.close()
            await harness.next_event(RequestCancelled)
            harness.node.pool.loop = loop
            assert (await (await harness.connect()).exchange(request))[0] == 200
            assert upstream.requests.qsize() == 1

    run(test())


def test_request_is_not_sent_if_the_disconnect_is_undetected_once_the_upstream_is_connected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The event loop does not detect a disconnect while reading is paused.
    monkeypatch.setattr(listener_module, "SWEEP_INTERVAL_S", 60.0)  # a sweep would detect it first

    async def test() -> None:
        upstream = await UpstreamStub().start()
        async with running_node(upstream, settings=settings_without_cancel()) as harness:
            held_loop = hold_connections(harness)
            client = connect_raw(harness)
            client.sendall(PIPELINED_REQUESTS)
            await asyncio.wait_for(held_loop.completed.wait(), TIMEOUT_S)
            (connection,) = harness.node.listener.connections
            connection.reader.pause()
            assert connection.reader.is_paused
            client.close()
            held_loop.release.set()
            assert (await harness.next_attempt_end()).result == AttemptResult.NOT_SENT
            await asyncio.wait_for(upstream.disconnects.get(), TIMEOUT_S)
            assert (
                upstream.requests.empty()
                and not harness.node.pool.attempts
                and not harness.node.requests.pending
            )

    run(test())


def test_attempt_in_flight_continues_after_a_disconnect_if_attempts_cannot_be_cancelled() -> None:
    release = asyncio.Event()

    async def test() -> None:
        upstream = await UpstreamStub(respond_after(release)).start()
        async with running_node(upstream, settings=settings_without_cancel()) as harness:
            client = await harness.connect()
            client.writer.write(make_request("pay"))
            await asyncio.wait_for(upstream.requests.get(), TIMEOUT_S)
            client.writer.close()
            await harness.next_event(RequestCancelled)
            release.set()
            assert (await harness.next_attempt_end()).result == AttemptResult.SUCCESS
            assert upstream.disconnects.empty()

    run(test())


def test_pipelined_requests_are_not_sent_after_an_undetected_disconnect() -> None:
    # The response to the first request makes the node serve the next one, before a sweep detects the close.
    release = asyncio.Event()

    async def test() -> None:
        upstream = await UpstreamStub(respond_after(release)).start()
        async with running_node(upstream) as harness:
            client = connect_raw(harness)
            client.sendall(PIPELINED_REQUESTS)
            await asyncio.wait_for(upstream.requests.get(), TIMEOUT_S)
            (connection,) = harness.node.listener.connections
            connection.reader.pause()
            assert connection.reader.is_paused
            client.close()
            release.set()
            await wait_until(lambda: not harness.node.listener.connections)
            assert (
                upstream.requests.empty()
                and not harness.node.requests.pending
                and not harness.node.listener.connections.request_ids.open_ids
            )

    run(test())


def test_sweep_detects_a_disconnect_while_reading_is_paused() -> None:
    # Without the sweep, the attempt would run until its deadline.
    async def test() -> None:
        upstream = await UpstreamStub(never_respond).start()
        async with running_node(upstream) as harness:
            client = connect_raw(harness)
            client.sendall(PIPELINED_REQUESTS)
            await asyncio.wait_for(upstream.requests.get(), TIMEOUT_S)
            (connection,) = harness.node.listener.connections
            connection.reader.pause()
            assert connection.reader.is_paused
            client.close()
            assert (
                await asyncio.wait_for(harness.next_attempt_end(), TIMEOUT_S / 2)
            ).result == AttemptResult.CANCELLED
            await wait_until(lambda: not harness.node.listener.connections)

    run(test())


def test_request_of_a_client_that_disconnected_in_the_accept_backlog_is_not_sent() -> None:
    # The node reads the request before it detects the close that follows it.
    async def test() -> None:
        upstream = await UpstreamStub().start()
        async with running_node(upstream) as harness:
            assert (await (await harness.connect()).exchange(make_request()))[0] == 200
            await upstream.requests.get()
            # With a reusable connection, nothing but the disconnect keeps the request from being sent.
            harness.age_idle_connections()
            listener = harness.node.listener
            listener.pause_accepting()  # the listener also pauses at the connection limit
            with connect_raw(harness) as client:
                client.sendall(make_request())
            listener.resume_accepting()
            await wait_until(
                lambda: harness.node.requests.last_request_id == 2 and len(listener.connections) == 1
            )
            assert (
                upstream.requests.empty()
                and not harness.node.requests.pending
                and not harness.node.pool.attempts
            )

    run(test())


def test_no_retry_begins_while_unread_input_may_hide_that_the_client_has_left() -> None:
    release = asyncio.Event()

    async def reset_after_release(upstream: UpstreamStub, head: bytes, writer: asyncio.StreamWriter) -> None:
        await release.wait()
        writer.transport.abort()

    async def test() -> None:
        upstreams = [await UpstreamStub(reset_after_release).start() for _ in range(2)]
        async with running_node(*upstreams, attempt_limit=2) as harness:
            client = await harness.connect()
            client.writer.write(make_request())
            await harness.next_event(RequestArrived)
            (connection,) = harness.node.listener.connections
            # A turn that is still to come, after a parse that took long, would read on.
            await wait_until(lambda: not connection._has_turn_coming)
            connection.reader.pause()
            client.writer.write(make_request())
            await wait_until(lambda: sum(upstream.requests.qsize() for upstream in upstreams) == 1)
            await asyncio.sleep(2 * MAX_HIDDEN_CLOSE_S)
            release.set()
            # The status is not 503, since the first attempt may have run.
            assert (await client.receive())[0] == 502
            assert sum(upstream.connections for upstream in upstreams) == 1

    run(test())
