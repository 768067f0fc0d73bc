"""How the pool opens, reuses and limits connections, and ends attempts that get no response."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest

from load_balancer.policy.commands import SendAttempt
from load_balancer.policy.endpoints import EndpointState
from load_balancer.policy.events import AttemptResult, EndpointUpdate
from load_balancer.proxy.messages import UpstreamRequest
from load_balancer.proxy.stable_id import stable_id
from load_balancer.proxy.upstream import UpstreamTarget
from load_balancer.proxy.upstream_connection import UpstreamConnection
from tests.proxy.harness import run, running_node
from tests.proxy.stubs import OK, TIMEOUT_S, UpstreamStub, make_request, never_respond


def make_upstream_request() -> UpstreamRequest:
    """Return a request as the node forwards it; the connection appends a header and ends the head."""
    return UpstreamRequest(make_request()[:-2], b"")


def test_connection_is_reused() -> None:
    async def test() -> None:
        upstream = await UpstreamStub().start()
        async with running_node(upstream) as harness:
            client = await harness.connect()
            for _ in range(3):
                assert (await client.exchange(make_request()))[0] == 200
                harness.age_idle_connections()
            assert upstream.connections == 1

    run(test())


def test_connection_idle_for_longer_than_the_timeout_is_not_reused() -> None:
    async def test() -> None:
        upstream = await UpstreamStub().start()
        async with running_node(upstream, idle_timeout=0.0) as harness:
            client = await harness.connect()
            for _ in range(2):
                assert (await client.exchange(make_request()))[0] == 200
                harness.age_idle_connections()
            assert upstream.connections == 2

    run(test())


def test_idle_connections_are_closed_when_the_upstream_restarts() -> None:
    async def test() -> None:
        upstream = await UpstreamStub().start()
        async with running_node(upstream) as harness:
            client = await harness.connect()
            assert (await client.exchange(make_request()))[0] == 200
            harness.discovery.push(2, [upstream.entry("s-1", started_at_ms=1_000)])
            while (await harness.next_event(EndpointUpdate)).version != 2:
                pass
            await asyncio.wait_for(upstream.disconnects.get(), TIMEOUT_S)
            assert stable_id(b"s-1") in harness.endpoint_ids() and not harness.node.pool.upstreams

    run(test())


def test_removed_endpoints_leave_no_state() -> None:
    async def test() -> None:
        upstream = await UpstreamStub(never_respond).start()
        async with running_node(upstream) as harness:
            client, pool = await harness.connect(), harness.node.pool
            client.writer.write(make_request())
            await asyncio.wait_for(upstream.requests.get(), TIMEOUT_S)
            for generation in range(2, 40):  # each endpoint replaces the previous one at the same address
                added = upstream.entry(f"s-{generation}")
                harness.apply_delta(generation, [added, upstream.entry(f"s-{generation - 1}", "left")])
            assert set(pool.upstreams) == {stable_id(b"s-1")}
            assert harness.endpoint_ids() == {stable_id(b"s-39")}
            client.writer.close()
            assert (await harness.next_attempt_end()).result == AttemptResult.CANCELLED
            tracked = {tracked.endpoint.id for tracked in harness.node.policy._registry}
            assert not pool.upstreams and tracked == {stable_id(b"s-39")}
            assert harness.node.policy._registry.table.ids() == [stable_id(b"s-39")]

    run(test())


def test_refused_connection_ends_the_attempt_as_connect_failed() -> None:
    async def test() -> None:
        upstream = await UpstreamStub().start()
        upstream.server.close()
        async with running_node(upstream) as harness:
            status, _, _ = await (await harness.connect()).exchange(make_request("pay"))
            assert (status, (await harness.next_attempt_end()).result) == (503, AttemptResult.CONNECT_FAILED)

    run(test())


def test_invalid_address_ends_the_attempt_as_connect_failed() -> None:
    async def test() -> None:
        upstream = await UpstreamStub().start()
        async with running_node(upstream) as harness:
            # The first label of the host name is too long, the second can't be encoded.
            target = UpstreamTarget(("a" * 70 + ".\udc80", 9), EndpointState.READY, 0.0)
            harness.node.find_target = lambda endpoint_id: target  # type: ignore[method-assign]
            status, _, _ = await (await harness.connect()).exchange(make_request())
            assert (status, (await harness.next_attempt_end()).result) == (503, AttemptResult.CONNECT_FAILED)

    run(test())


def test_attempt_without_response_times_out_and_its_connection_is_closed() -> None:
    async def test() -> None:
        upstream = await UpstreamStub(never_respond).start()
        async with running_node(upstream, latency_objective_ms=1000.0) as harness:
            status, _, _ = await (await harness.connect()).exchange(make_request())
            assert (status, (await harness.next_attempt_end()).result) == (503, AttemptResult.TIMEOUT)
            await asyncio.wait_for(upstream.disconnects.get(), TIMEOUT_S)

    run(test())


def test_response_that_arrives_during_a_stall_past_the_deadline_is_returned() -> None:
    # The event loop runs timers before it reads sockets: after a stall, the timer of the deadline runs while
    # the response is still unread.
    async def test() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            upstream = UpstreamStub()
            upstream.port = listener.getsockname()[1]
            async with running_node(upstream, latency_objective_ms=300.0) as harness:
                client = await harness.connect()
                client.writer.write(make_request())
                loop, accepted = asyncio.get_running_loop(), asyncio.Event()
                loop.add_reader(listener, accepted.set)
                await asyncio.wait_for(accepted.wait(), TIMEOUT_S)
                loop.remove_reader(listener)
                accepted_socket, _ = listener.accept()

                def respond_and_stall() -> None:
                    loop.remove_reader(accepted_socket)
                    accepted_socket.recv(4096)
                    accepted_socket.send(OK)
                    time.sleep(0.5)

                with accepted_socket:
                    accepted_socket.setblocking(False)
                    loop.add_reader(accepted_socket, respond_and_stall)
                    assert (await harness.next_attempt_end()).result == AttemptResult.SUCCESS
                    assert (await client.receive())[0] == 200

    run(test())


def test_upstream_that_starts_draining_while_the_node_connects_gets_no_request() -> None:
    async def test() -> None:
        upstream = await UpstreamStub().start()
        async with running_node(upstream) as harness:
            node, client = harness.node, await harness.connect()
            send = node.policy_runner.handlers[SendAttempt]

            def send_and_drain(command: SendAttempt) -> None:
                send(command)
                harness.apply_delta(2, [upstream.entry("s-1", "leaving")])

            node.policy_runner.handlers[SendAttempt] = send_and_drain
            status, _, _ = await client.exchange(make_request())
            assert (status, (await harness.next_attempt_end()).result) == (503, AttemptResult.CONNECT_FAILED)
            await asyncio.wait_for(upstream.disconnects.get(), TIMEOUT_S)
            assert upstream.requests.empty()

    run(test())


def test_attempt_cancelled_while_connecting_leaves_no_connection() -> None:
    async def test() -> None:
        upstream = await UpstreamStub().start()
        async with running_node(upstream) as harness:
            pool, client = harness.node.pool, await harness.connect()
            send = harness.node.policy_runner.handlers[SendAttempt]

            def send_and_cancel(command: SendAttempt) -> None:
                send(command)
                asyncio.get_running_loop().call_soon(pool.cancel, command.request_id, 0)

            harness.node.policy_runner.handlers[SendAttempt] = send_and_cancel
            assert (await client.exchange(make_request()))[0] == 503
            assert (await harness.next_attempt_end()).result == AttemptResult.CANCELLED
            harness.node.policy_runner.handlers[SendAttempt] = send
            assert (await client.exchange(make_request()))[0] == 200
            assert pool.pending_connects == 0 and len(pool.connections) == 1 and not pool.attempts

    run(test())


def test_cancel_in_connection_made_closes_the_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    connection_made = UpstreamConnection.connection_made

    async def test() -> None:
        upstream = await UpstreamStub().start()
        async with running_node(upstream) as harness:
            pool = harness.node.pool

            def connect_and_cancel(self: UpstreamConnection, transport: asyncio.BaseTransport) -> None:
                connection_made(self, transport)
                for request_id, number in list(pool.attempts):
                    pool.cancel(request_id, number)

            monkeypatch.setattr(UpstreamConnection, "connection_made", connect_and_cancel)
            assert (await (await harness.connect()).exchange(make_request()))[0] == 503
            assert (await harness.next_attempt_end()).result == AttemptResult.CANCELLED
            await asyncio.wait_for(upstream.disconnects.get(), TIMEOUT_S)
            assert upstream.requests.empty() and not pool.connections

    run(test())


def test_attempt_beyond_the_connection_limit_ends_as_connect_failed() -> None:
    async def test() -> None:
        upstreams = [await UpstreamStub(never_respond).start() for _ in range(3)]
        async with running_node(*upstreams) as harness:
            harness.node.pool.max_connections = 0
            assert (await (await harness.connect()).exchange(make_request()))[0] == 503
            assert (await harness.next_attempt_end()).result == AttemptResult.CONNECT_FAILED
            assert not any(upstream.connections for upstream in upstreams)

    run(test())


def test_new_connection_at_the_limit_evicts_the_longest_idle_connection() -> None:
    async def test() -> None:
        upstreams = [await UpstreamStub().start() for _ in range(3)]
        async with running_node(*upstreams) as harness:
            pool = harness.node.pool
            for number in (2, 1):
                pool.send(number, 0, stable_id(b"s-%d" % number), 5000.0, make_upstream_request())
                await harness.next_attempt_end()
            pool.max_connections = 2
            pool.send(3, 0, stable_id(b"s-3"), 5000.0, make_upstream_request())
            assert (await harness.next_attempt_end()).result == AttemptResult.SUCCESS
            await asyncio.wait_for(upstreams[1].disconnects.get(), TIMEOUT_S)
            assert len(pool.upstreams[stable_id(b"s-1")].idle_connections) == 1

    run(test())
