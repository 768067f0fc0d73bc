"""Requests through a node over loopback sockets: forwarding, retries and cancellation."""

from __future__ import annotations

import asyncio

from load_balancer.policy.events import AttemptResult, RequestCancelled
from tests.proxy.harness import run, running_node
from tests.proxy.stubs import (
    OK,
    TIMEOUT_S,
    UpstreamStub,
    header,
    make_request,
    never_respond,
    reset_connection,
    respond_with,
)


def test_request_and_response_are_forwarded_unchanged() -> None:
    async def test() -> None:
        response_with_type = OK.replace(b"\r\n\r\n", b"\r\nContent-Type: x/y\r\n\r\n")
        upstream = await UpstreamStub(respond_with(response_with_type)).start()
        async with running_node(upstream) as harness:
            client = await harness.connect()
            data = make_request("book", body=b"\x00ride", Tenant="acme").replace(b"/cab7", b"/cab7?a=1&b=%20")
            status, head, body = await client.exchange(data)
            assert (status, body, header(head, b"Content-Type")) == (200, b"done", b"x/y")
            received = await upstream.requests.get()
            assert received.startswith(b"POST /book/cab7?a=1&b=%20 HTTP/1.1\r\n") and received.endswith(
                b"\r\n\r\n\x00ride"
            )
            for name in (b"Request-Id", b"Idempotency-Key", b"Tenant", b"Host"):
                assert header(received, name) == header(data, name)
            timeout = header(received, b"Request-Timeout")
            assert timeout is not None and timeout.endswith(b"m") and 0 < int(timeout[:-1]) <= 5000

    run(test())


def test_non_idempotent_request_that_may_have_run_is_not_retried_and_gets_502() -> None:
    # A retry, or a client's repeat after 503, could execute the request twice.
    async def test() -> None:
        upstreams = [
            await UpstreamStub(reset_connection).start(),
            await UpstreamStub(reset_connection).start(),
        ]
        async with running_node(*upstreams, attempt_limit=4) as harness:
            status, _, _ = await (await harness.connect()).exchange(make_request("pay"))
            assert status == 502
            assert sum(upstream.requests.qsize() for upstream in upstreams) == 1

    run(test())


def test_client_disconnect_cancels_the_attempt_and_releases_all_resources() -> None:
    async def test() -> None:
        upstream = await UpstreamStub(never_respond).start()
        async with running_node(upstream) as harness:
            client = await harness.connect()
            client.writer.write(make_request())
            await asyncio.wait_for(upstream.requests.get(), TIMEOUT_S)
            client.writer.close()
            await harness.next_event(RequestCancelled)
            assert (await harness.next_attempt_end()).result == AttemptResult.CANCELLED
            await asyncio.wait_for(upstream.disconnects.get(), TIMEOUT_S)
            node = harness.node
            assert not node.requests.pending and not node.pool.attempts and not node.listener.connections

    run(test())


def test_attempt_that_ends_after_the_final_response_is_reported_to_the_policy_only() -> None:
    async def test() -> None:
        upstream = await UpstreamStub(never_respond).start()
        async with running_node(upstream) as harness:
            client = await harness.connect()
            client.writer.write(make_request())
            await asyncio.wait_for(upstream.requests.get(), TIMEOUT_S)
            harness.node.requests.respond(harness.node.requests.last_request_id, 502)
            harness.node.pool.cancel(harness.node.requests.last_request_id, 0)
            assert (await client.receive())[0] == 502
            attempt_end = await harness.next_attempt_end()
            assert attempt_end.request_ended and attempt_end.result == AttemptResult.CANCELLED

    run(test())


def test_keyed_request_that_may_have_run_is_retried_with_its_key() -> None:
    async def test() -> None:
        upstreams = [
            await UpstreamStub(reset_connection).start(),
            await UpstreamStub(reset_connection).start(),
        ]
        async with running_node(*upstreams, attempt_limit=4) as harness:
            # Whether to retry is drawn at random, depending on the overload; a draw of 0.99 allows the retry.
            harness.node.policy._retries._random.random = lambda: 0.99  # type: ignore[method-assign]
            data = make_request("book")
            assert (await (await harness.connect()).exchange(data))[0] == 503
            for upstream in upstreams:
                received = await asyncio.wait_for(upstream.requests.get(), TIMEOUT_S)
                assert header(received, b"Idempotency-Key") == b"5c0f"
                assert header(received, b"Request-Id") == header(data, b"Request-Id")

    run(test())
