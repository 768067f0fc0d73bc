"""Client connections: pipelining, responses, flow control and closing."""

from __future__ import annotations

import asyncio
import gc
import socket
import weakref

import pytest

from load_balancer.policy.events import EndpointUpdate, RequestCancelled
from load_balancer.proxy import listener as listener_module
from load_balancer.proxy.client_input import MAX_QUEUED_REQUESTS, PARSE_CHUNK_SIZE
from load_balancer.proxy.connection_table import ConnectionState
from load_balancer.proxy.stable_id import stable_id
from tests.proxy.harness import run, running_node
from tests.proxy.stubs import (
    TIMEOUT_S,
    UpstreamStub,
    header,
    make_request,
    never_respond,
    respond_after,
    respond_with,
)


def test_pipelined_requests_get_responses_in_order() -> None:
    async def echo(upstream: UpstreamStub, head: bytes, writer: asyncio.StreamWriter) -> None:
        body = head.split(b" ")[1].rpartition(b"/")[2]
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))

    async def test() -> None:
        async with running_node(await UpstreamStub(echo).start()) as harness:
            client = await harness.connect()
            client.writer.write(b"".join(make_request(key=f"k{i}") for i in range(40)))
            for i in range(40):
                assert (await client.receive())[2] == b"k%d" % i

    run(test())


def test_pipelined_requests_all_get_responses_during_shutdown() -> None:
    # Closing the connection after the first response would lose the requests that are queued behind it.
    release = asyncio.Event()

    async def test() -> None:
        upstream = await UpstreamStub(respond_after(release)).start()
        async with running_node(upstream) as harness:
            client = await harness.connect()
            client.writer.write(make_request() + make_request() + make_request())
            await asyncio.wait_for(upstream.requests.get(), TIMEOUT_S)
            harness.node.shutting_down = True
            release.set()
            for connection in (None, None, b"close"):
                status, head, _ = await client.receive()
                assert (status, header(head, b"Connection")) == (200, connection)
            assert await client.read_to_end() == b""

    run(test())


def test_many_immediate_responses_do_not_recurse() -> None:
    # Each response starts the next queued request; nested calls for this would exceed the recursion limit.
    async def test() -> None:
        async with running_node(await UpstreamStub().start()) as harness:
            client = await harness.connect()
            client.writer.write(b"GET /_health HTTP/1.1\r\n\r\n" * 3000)
            for _ in range(3000):
                assert (await client.receive())[0] == 200

    run(test())


def test_expect_100_continue_gets_an_interim_response() -> None:
    async def test() -> None:
        async with running_node(await UpstreamStub().start()) as harness:
            client = await harness.connect()
            head, body = make_request("book", body=b"ride", Expect="100-continue")[:-4], b"ride"
            assert (await client.exchange(head))[0] == 100
            assert (await client.exchange(body))[0] == 200

    run(test())


def test_health_check_reports_whether_node_is_healthy() -> None:
    async def test() -> None:
        upstream = await UpstreamStub().start()
        async with running_node(upstream, load_cached_endpoints=None) as harness:
            client = await harness.connect()
            await harness.next_event(EndpointUpdate)
            assert (await client.exchange(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"))[0] == 200
            harness.node.healthy = False
            assert (await client.exchange(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"))[0] == 503

    run(test())


def test_request_id_is_rejected_while_another_request_with_it_is_open() -> None:
    # An endpoint could not tell two open requests with the same id apart.
    release = asyncio.Event()

    async def test() -> None:
        upstream = await UpstreamStub(respond_after(release)).start()
        async with running_node(upstream) as harness:
            first, second, third = [await harness.connect() for _ in range(3)]
            data = make_request()
            first.writer.write(data)
            await asyncio.wait_for(upstream.requests.get(), TIMEOUT_S)
            assert (await second.exchange(data))[0] == 409
            assert await second.read_to_end() == b""
            assert upstream.requests.empty()
            release.set()
            assert (await first.receive())[0] == 200
            assert (await third.exchange(data))[0] == 200
            assert not harness.node.listener.connections.request_ids.open_ids

    run(test())


def test_id_of_a_request_that_must_run_once_is_rejected_after_its_response() -> None:
    # The client may have left before the response reached it, and send the request again.
    async def test() -> None:
        upstream = await UpstreamStub().start()
        async with running_node(upstream) as harness:
            request = make_request("pay")
            assert (await (await harness.connect()).exchange(request))[0] == 200
            assert (await (await harness.connect()).exchange(request))[0] == 409
            assert upstream.requests.qsize() == 1

    run(test())


def test_request_ids_are_released_when_client_disconnects() -> None:
    # An id that is never released would make the node reject every later request with the same id.
    async def test() -> None:
        upstream = await UpstreamStub(never_respond).start()
        async with running_node(upstream) as harness:
            client = await harness.connect()
            client.writer.write(make_request() + make_request() + make_request())
            await asyncio.wait_for(upstream.requests.get(), TIMEOUT_S)
            assert len(harness.node.listener.connections.request_ids.open_ids) == 3
            client.writer.close()
            await harness.next_event(RequestCancelled)
            assert not harness.node.listener.connections.request_ids.open_ids

    run(test())


def test_number_of_queued_requests_is_bounded() -> None:
    # A single read may hold hundreds of requests, so pausing reads alone does not bound the queue.
    release = asyncio.Event()

    async def test() -> None:
        upstream = await UpstreamStub(respond_after(release)).start()
        # The last of the 400 requests waits for all others, which takes long on a slow machine.
        async with running_node(upstream, latency_objective_ms=60_000.0) as harness:
            client = await harness.connect()
            client.writer.write(b"".join(make_request(timeout="60000m") for _ in range(400)))
            await asyncio.wait_for(upstream.requests.get(), TIMEOUT_S)
            table = harness.node.listener.connections
            (connection,) = table
            # The chunk that fills the queue may hold further requests, each longer than 100 bytes.
            assert len(table.request_ids.open_ids) <= MAX_QUEUED_REQUESTS + PARSE_CHUNK_SIZE // 100
            release.set()
            for _ in range(400):
                assert (await client.receive())[0] == 200
            assert not connection.input.queue and not connection.input.unparsed

    run(test())


def test_error_response_reaches_a_client_that_is_still_sending() -> None:
    # Closing a socket that has unread data resets the connection, and the client could lose the response.
    async def test() -> None:
        async with running_node(await UpstreamStub().start()) as harness:
            client = await harness.connect()
            client.writer.write(make_request("pay", Content_Length="60000000"))
            client.writer.write(bytes(8_000_000))
            assert (await client.receive())[0] == 413
            assert await client.read_to_end() == b""

    run(test())


def test_closing_connection_keeps_responses_for_a_client_that_reads_late(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The timeout for closing connections must not apply while responses wait in the write buffer.
    monkeypatch.setattr(listener_module, "LINGER_TIMEOUT_S", 0.0)
    large_body = b"x" * 60_000
    respond_large = respond_with(
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(large_body), large_body)
    )

    async def test() -> None:
        async with running_node(await UpstreamStub(respond_large).start()) as harness:
            client = await harness.connect()
            client.transport.pause_reading()
            client.writer.write(b"".join(make_request() for _ in range(300)) + b"nonsense\r\n\r\n")
            (connection,) = [c async for c in harness.connections(1)]
            while not connection.write_paused:
                await asyncio.sleep(0)
            harness.node.listener.sweep()
            client.transport.resume_reading()
            for _ in range(300):
                assert (await client.receive())[2] == large_body
            assert (await client.receive())[0] == 400
            harness.node.listener.sweep()
            assert await client.read_to_end() == b""

    run(test())


def test_queued_requests_wait_while_client_does_not_read() -> None:
    # Serving queued requests would buffer any number of responses for a client that does not read.
    large_body = b"x" * 60_000

    async def test() -> None:
        upstream = await UpstreamStub(
            respond_with(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(large_body), large_body))
        ).start()
        async with running_node(upstream) as harness:
            client = await harness.connect()
            client.transport.pause_reading()
            client.writer.write(b"".join(make_request() for _ in range(300)))
            (connection,) = [c async for c in harness.connections(1)]
            while not connection.write_paused:
                await asyncio.sleep(0)
            idle = harness.node.listener.connections.in_state(ConnectionState.IDLE)
            # An idle connection closes after KEEP_ALIVE_TIMEOUT_S unless the client reads.
            assert connection in idle
            last_request_id = harness.node.requests.last_request_id
            for _ in range(50):
                await asyncio.sleep(0)
            assert harness.node.requests.last_request_id == last_request_id < 300
            client.transport.resume_reading()
            for _ in range(300):
                assert (await client.receive())[2] == large_body

    run(test())


def test_closed_connection_leaves_no_reference_cycle() -> None:
    # A connection and its parser refer to each other: unless the node clears the references, only the
    # garbage collector frees their memory.
    async def test() -> None:
        upstream = await UpstreamStub().start()
        async with running_node(upstream) as harness:
            gc.collect()
            gc.disable()
            try:
                for data in (
                    make_request(),
                    b"nonsense\r\n\r\n",
                    make_request("unknown"),
                    make_request()[:40],
                ):
                    client = await harness.connect()
                    client.writer.write(data)
                    (connection,) = [c async for c in harness.connections(1)]
                    connection_ref = weakref.ref(connection)
                    del connection
                    if data.endswith(b"\r\n\r\n"):
                        await client.receive()
                    client.writer.close()
                    async with asyncio.timeout(TIMEOUT_S):
                        while harness.node.listener.connections or connection_ref() is not None:
                            await asyncio.sleep(0.001)
            finally:
                gc.enable()

    run(test())


def test_tcp_nodelay_is_set_on_client_and_upstream_connections() -> None:
    async def test() -> None:
        async with running_node(await UpstreamStub().start()) as harness:
            assert (await (await harness.connect()).exchange(make_request()))[0] == 200
            (client_connection,) = harness.node.listener.connections
            (upstream_connection,) = harness.node.pool.upstreams[stable_id(b"s-1")].idle_connections
            for connection in (client_connection, upstream_connection):
                sock = connection.transport.get_extra_info("socket")
                assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    run(test())
