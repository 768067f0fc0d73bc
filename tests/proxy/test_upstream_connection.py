"""How responses end attempts, and when a connection may be reused."""

from __future__ import annotations

import asyncio
import gc
import os
import socket
import weakref

import pytest

from load_balancer.policy.events import AttemptResult
from load_balancer.proxy.messages import UpstreamRequest
from load_balancer.proxy.response_parser import ResponseParser
from load_balancer.proxy.stable_id import stable_id
from load_balancer.proxy.upstream_connection import UpstreamConnection
from tests.proxy.harness import run, running_node
from tests.proxy.stubs import (
    OK,
    TIMEOUT_S,
    Responder,
    UpstreamStub,
    header,
    make_request,
    never_respond,
    reset_connection,
    respond_ok,
    respond_with,
)

CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
HUGE_LENGTH_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n"
TCP_ESTABLISHED = 1  # value of tcpi_state, the first byte of TCP_INFO


class RecordingResponder:
    """Responds to each request with 200 and keeps the writer of its connection."""

    def __init__(self) -> None:
        self.writers: list[asyncio.StreamWriter] = []

    async def __call__(self, upstream: UpstreamStub, head: bytes, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        writer.write(OK)


@pytest.mark.parametrize(
    ("responder", "result"),
    [
        (respond_ok, AttemptResult.SUCCESS),
        (respond_with(b"HTTP/1.1 100 Continue\r\n\r\n" + OK), AttemptResult.SUCCESS),
        (respond_with(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"), AttemptResult.ERROR),
        (respond_with(b"HTTP/1.1 429 No\r\nContent-Length: 0\r\n\r\n"), AttemptResult.ERROR),
        (respond_with(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"), AttemptResult.ERROR),
        (
            respond_with(b"HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"),
            AttemptResult.REJECTED,
        ),
        (
            respond_with(b"HTTP/1.1 504 No\r\nnot-started: 1\r\nContent-Length: 0\r\n\r\n"),
            AttemptResult.REJECTED,
        ),
        (
            respond_with(b"HTTP/1.1 500 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"),
            AttemptResult.ERROR,
        ),
        (respond_with(b"no HTTP at all\r\n\r\n"), AttemptResult.ERROR),
        (
            respond_with(b"HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n" + bytes(70000)),
            AttemptResult.ERROR,
        ),
        (
            respond_with(OK.replace(b"Content-Length: 4", b"Content-Length: 4\r\nServer-Load: \xff\xfe =,")),
            AttemptResult.SUCCESS,
        ),
        (respond_with(b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" * 8 + OK), AttemptResult.SUCCESS),
        (respond_with(b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" * 9 + OK), AttemptResult.ERROR),
        (
            respond_with(OK.replace(b"\r\n\r\n", b"\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n")),
            AttemptResult.SUCCESS,
        ),
        (respond_with(b"HTTP/1.1 101 Go\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"), AttemptResult.ERROR),
        # Heads, bodies and trailers above the size limits fail at once, not at the deadline.
        (respond_with(b"HTTP/1.1 200 OK\r\nX: " + b"y" * 20_000), AttemptResult.ERROR),
        (respond_with(b"HTTP/1.1 200 OK\r\n" + b"X: y\r\n" * 4000), AttemptResult.ERROR),
        (respond_with(HUGE_LENGTH_HEAD), AttemptResult.ERROR),
        (respond_with(CHUNKED_HEAD + b"11000\r\n" + bytes(0x11000)), AttemptResult.ERROR),
        (respond_with(CHUNKED_HEAD + b"4\r\ndone\r\n0\r\nX: " + b"y" * 200_000), AttemptResult.ERROR),
        # Ambiguous framing and malformed heads are errors.
        (
            respond_with(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\ndone"),
            AttemptResult.ERROR,
        ),
        (respond_with(b"HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\ndone"), AttemptResult.ERROR),
        (respond_with(b"HTTP/1.1 200 OK\r\nContent-Length: 4 4\r\n\r\ndone"), AttemptResult.ERROR),
        (
            respond_with(CHUNKED_HEAD.replace(b"\r\n\r\n", b"\r\nContent-Length: 4\r\n\r\n") + b"done"),
            AttemptResult.ERROR,
        ),
        (respond_with(CHUNKED_HEAD + b"4\r\ndonedone\r\n0\r\n\r\n"), AttemptResult.ERROR),
        (respond_with(b"HTTP/1.1 20 OK\r\nContent-Length: 4\r\n\r\ndone"), AttemptResult.ERROR),
        (respond_with(b"HTTP/1.1 200 OK\r\nContent Length: 4\r\n\r\ndone"), AttemptResult.ERROR),
        (reset_connection, AttemptResult.RESET),
    ],
)
def test_response_determines_the_attempt_result(responder: Responder, result: AttemptResult) -> None:
    async def test() -> None:
        async with running_node(await UpstreamStub(responder).start()) as harness:
            client = await harness.connect()
            status, head, _ = await client.exchange(make_request())
            assert (await harness.next_attempt_end()).result == result
            assert status == (200 if result is AttemptResult.SUCCESS else 503)
            # Each 503 has a Retry-After header; a 200 has none.
            assert (header(head, b"Retry-After") is None) == (status == 200)
            assert not harness.node.requests.pending and not harness.node.pool.attempts

    run(test())


@pytest.mark.parametrize("status", [400, 404, 499])
def test_client_error_responses_are_final_and_do_not_count_against_the_upstream(status: int) -> None:
    # If client errors were failures and retried, one client's invalid request could eject every endpoint.
    async def test() -> None:
        responder = respond_with(b"HTTP/1.1 %d No\r\nContent-Length: 3\r\n\r\nbad" % status)
        upstreams = [await UpstreamStub(responder).start() for _ in range(3)]
        async with running_node(*upstreams, attempt_limit=4) as harness:
            response_status, _, body = await (await harness.connect()).exchange(make_request())
            assert (response_status, body) == (status, b"bad")
            assert sum(upstream.requests.qsize() for upstream in upstreams) == 1
            assert (await harness.next_attempt_end()).result == AttemptResult.CANCELLED
            endpoints = harness.node.policy._registry
            assert not any(health.failure_ratio for endpoint in endpoints for health in endpoint.class_health)

    run(test())


def test_malformed_response_closes_the_connection() -> None:
    async def test() -> None:
        upstream = await UpstreamStub(respond_with(HUGE_LENGTH_HEAD)).start()
        async with running_node(upstream) as harness:
            # The response is 502 instead of 503, since the request may have run.
            assert (await (await harness.connect()).exchange(make_request("pay")))[0] == 502
            await asyncio.wait_for(upstream.disconnects.get(), TIMEOUT_S)

    run(test())


def test_connection_with_excess_data_is_not_reused() -> None:
    async def test() -> None:
        upstream = await UpstreamStub(respond_with(OK + OK)).start()
        async with running_node(upstream) as harness:
            client = await harness.connect()
            for _ in range(3):
                assert (await client.exchange(make_request()))[2] == b"done"
            assert upstream.connections == 3

    run(test())


@pytest.mark.parametrize(
    "unread", [OK.replace(b"done", b"late"), b"\x00noise", b""], ids=["duplicate", "noise", "close"]
)
def test_idle_connection_with_unread_data_is_not_reused(unread: bytes) -> None:
    # An attempt may take a connection in the loop iteration in which it was released, before the event loop
    # reads what follows the response.
    responder = RecordingResponder()

    async def test() -> None:
        upstream = await UpstreamStub(responder).start()
        async with running_node(upstream) as harness:
            client, other_client = await harness.connect(), await harness.connect()
            await other_client.exchange(b"GET /_health HTTP/1.1\r\n\r\n")
            assert (await client.exchange(make_request()))[0] == 200
            pool, (connection,) = harness.node.pool, harness.node.pool.connections
            # There is no await before pool.send, so the event loop can't read the data first.
            sock = responder.writers[0].get_extra_info("socket")
            if unread:
                os.write(sock.fileno(), unread)
            else:
                socket.socket(fileno=os.dup(sock.fileno())).shutdown(socket.SHUT_WR)
            assert not connection.is_reusable()
            harness.age_idle_connections()
            pool.send(77, 0, stable_id(b"s-1"), 5000.0, UpstreamRequest(make_request()[:-2], b""))
            assert connection.attempt is None and connection.transport.is_closing()
            assert (await harness.next_attempt_end()).result == AttemptResult.SUCCESS
            assert (await harness.next_attempt_end()).request_id == 77
            assert upstream.connections == 2

    run(test())


def test_unsolicited_data_closes_an_idle_connection(caplog: pytest.LogCaptureFixture) -> None:
    responder = RecordingResponder()

    async def test() -> None:
        upstream = await UpstreamStub(responder).start()
        async with running_node(upstream) as harness:
            client = await harness.connect()
            assert (await client.exchange(make_request()))[0] == 200
            responder.writers[0].write(OK.replace(b"done", b"late"))
            await asyncio.wait_for(upstream.disconnects.get(), TIMEOUT_S)
            assert not caplog.records  # the connection was closed deliberately, not by an exception
            assert (await client.exchange(make_request()))[2] == b"done"
            assert upstream.connections == 2

    run(test())


def test_socket_of_a_cancelled_attempt_is_shut_down_before_cancel_returns() -> None:
    # The transport closes the socket one iteration of the event loop later. Until then, a retry would put the
    # request in flight twice.
    async def test() -> None:
        upstream = await UpstreamStub(never_respond).start()
        async with running_node(upstream) as harness:
            client = await harness.connect()
            client.writer.write(make_request("find"))
            await asyncio.wait_for(upstream.requests.get(), TIMEOUT_S)
            pool = harness.node.pool
            ((key, attempt),) = pool.attempts.items()
            assert attempt.connection is not None
            with socket.socket(fileno=os.dup(attempt.connection.fd)) as duplicate:
                pool.cancel(*key)
                state = duplicate.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
            assert state != TCP_ESTABLISHED

    run(test())


def test_closed_connection_leaves_no_reference_cycle() -> None:
    # ResponseParser and the httptools parser refer to each other: unless the node clears the references,
    # only the garbage collector frees their memory.
    async def test() -> None:
        upstream = await UpstreamStub(
            respond_with(OK.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"))
        ).start()
        async with running_node(upstream) as harness:
            pool, references = harness.node.pool, []
            connection_made = UpstreamConnection.connection_made

            def record_connection(self: UpstreamConnection, transport: asyncio.BaseTransport) -> None:
                references.append(weakref.ref(self))
                connection_made(self, transport)

            with pytest.MonkeyPatch.context() as patch:
                patch.setattr(UpstreamConnection, "connection_made", record_connection)
                gc.collect()
                gc.disable()
                try:
                    for _ in range(3):
                        assert (await (await harness.connect()).exchange(make_request()))[0] == 200
                    async with asyncio.timeout(TIMEOUT_S):
                        while pool.connections or any(ref() is not None for ref in references):
                            await asyncio.sleep(0.001)
                    assert len(references) == 3
                    assert not any(isinstance(item, ResponseParser) for item in gc.get_objects())
                finally:
                    gc.enable()

    run(test())


def test_failure_to_connect_leaves_no_reference_cycle() -> None:
    # ResponseParser and the httptools parser refer to each other: unless the node clears the references,
    # only the garbage collector frees their memory.
    async def test() -> None:
        upstream = await UpstreamStub().start()
        upstream.server.close()
        async with running_node(upstream) as harness:
            client = await harness.connect()
            gc.collect()
            gc.disable()
            try:
                assert (await client.exchange(make_request("pay")))[0] == 503
                assert harness.node.pool.counts["connects started"] == 1
                assert not any(isinstance(item, ResponseParser) for item in gc.get_objects())
            finally:
                gc.enable()

    run(test())
