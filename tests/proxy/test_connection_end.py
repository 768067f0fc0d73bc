"""What the end of a connection to an upstream means for the response that is under way on it."""

from __future__ import annotations

import asyncio

import pytest

from load_balancer.policy.events import AttemptResult
from load_balancer.proxy.attempt_results import (
    LOST_WITHOUT_RESPONSE,
    RESPONSES_ENDED_EARLY,
    RESPONSES_RESET,
    RESPONSES_WITHOUT_LENGTH,
)
from tests.proxy.harness import run, running_node
from tests.proxy.stubs import (
    OK,
    TIMEOUT_S,
    Responder,
    UpstreamStub,
    make_request,
    reset_connection,
    respond_and_close,
    respond_and_reset,
    respond_with,
)

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n"
LARGEST_BODY = bytes(range(256)) * 256


@pytest.mark.parametrize(
    ("responder", "counter"),
    [
        (respond_and_close(OK[:-1]), RESPONSES_ENDED_EARLY),
        (respond_and_reset(OK[:-1]), RESPONSES_RESET),
        (respond_and_close(b""), LOST_WITHOUT_RESPONSE),
        (reset_connection, LOST_WITHOUT_RESPONSE),
    ],
    ids=["close in a response", "reset in a response", "close without one", "reset without one"],
)
def test_kinds_of_lost_connections_are_counted_apart(responder: Responder, counter: str) -> None:
    # Guards against a log in which a close, a reset and a request that was never answered look alike.
    async def test() -> None:
        async with running_node(await UpstreamStub(responder).start()) as harness:
            assert (await (await harness.connect()).exchange(make_request("pay")))[0] == 502
            assert (await harness.next_attempt_end()).result == AttemptResult.RESET
            counts = harness.node.pool.counts
            kinds = {LOST_WITHOUT_RESPONSE, RESPONSES_ENDED_EARLY, RESPONSES_RESET}
            assert {name: counts[name] for name in kinds if counts[name]} == {counter: 1}

    run(test())


@pytest.mark.parametrize(
    ("response", "body"),
    [
        (HEAD + b"done", b"done"),
        (HEAD, b""),
        (HEAD + LARGEST_BODY, LARGEST_BODY),
        (HEAD.replace(b"Connection: close\r\n", b"") + b"done", b"done"),
        (HEAD.replace(b"HTTP/1.1", b"HTTP/1.0") + b"done", b"done"),
        (b"HTTP/1.1 103 Early Hints\r\nContent-Length: 9\r\n\r\n" + HEAD + b"done", b"done"),
    ],
    ids=["body", "no body", "largest body", "no Connection", "HTTP/1.0", "after a 1xx"],
)
def test_response_without_a_length_is_forwarded_when_its_connection_ends(
    response: bytes, body: bytes
) -> None:
    # Guards against orders that ran, and were answered in full, whose clients were told that they failed.
    async def test() -> None:
        upstream = await UpstreamStub(respond_and_close(response)).start()
        async with running_node(upstream, attempt_limit=4) as harness:
            client = await harness.connect()
            for number in (1, 2):  # the second request needs a new connection
                status, _, received = await client.exchange(make_request("pay"))
                assert (status, received) == (200, body)
                assert (await harness.next_attempt_end()).result == AttemptResult.SUCCESS
                assert upstream.connections == upstream.requests.qsize() == number
                await asyncio.wait_for(upstream.disconnects.get(), TIMEOUT_S)
            assert harness.node.pool.counts[RESPONSES_WITHOUT_LENGTH] == 2
            assert not harness.node.pool.attempts and not harness.node.pool.connections

    run(test())


@pytest.mark.parametrize(
    ("responder", "result"),
    [
        (respond_and_reset(HEAD + b"done"), AttemptResult.RESET),
        (respond_and_reset(HEAD), AttemptResult.RESET),
        (respond_and_close(HEAD[:-2]), AttemptResult.RESET),
        (respond_and_close(b"HTTP/1.1 103 Early Hints\r\n\r\n"), AttemptResult.RESET),
        (respond_and_close(OK[:-1]), AttemptResult.RESET),
        (
            respond_and_close(OK.replace(b"Content-Length: 4", b"Transfer-Encoding: gzip")),
            AttemptResult.RESET,
        ),
        (
            respond_and_close(
                OK.replace(b"Content-Length: 4", b"Transfer-Encoding: chunked").replace(
                    b"done", b"4\r\ndone\r\n"
                )
            ),
            AttemptResult.RESET,
        ),
        (respond_and_close(HEAD + LARGEST_BODY + b"x"), AttemptResult.ERROR),
        (respond_and_close(HEAD.replace(b"200 OK", b"500 No") + b"done"), AttemptResult.ERROR),
        (respond_with(HEAD + b"done"), AttemptResult.TIMEOUT),
    ],
    ids=[
        "reset after the body",
        "reset after the head",
        "part of a head",
        "1xx only",
        "part of a length",
        "unknown coding",
        "part of the chunks",
        "too large",
        "status 500",
        "no end",
    ],
)
def test_response_that_is_not_whole_is_not_forwarded(responder: Responder, result: AttemptResult) -> None:
    # Guards against a part of a response that passes for all of it: a reset is no end, nor is silence.
    async def test() -> None:
        upstream = await UpstreamStub(responder).start()
        async with running_node(upstream, latency_objective_ms=300.0) as harness:
            status, _, body = await (await harness.connect()).exchange(make_request("pay", timeout="900m"))
            assert (status, body) == (502, b"")
            assert (await harness.next_attempt_end()).result == result

    run(test())


@pytest.mark.parametrize("status", [503, 504])
def test_rejection_without_a_length_proves_that_the_request_did_not_run(status: int) -> None:
    # Guards against a request that no endpoint ran, and that is neither sent again nor rejected as such.
    rejection = HEAD.replace(b"200 OK", b"%d No\r\nNot-Started: 1" % status)

    async def test() -> None:
        async with running_node(await UpstreamStub(respond_and_close(rejection)).start()) as harness:
            assert (await (await harness.connect()).exchange(make_request("pay")))[0] == 503
            assert (await harness.next_attempt_end()).result == AttemptResult.REJECTED

    run(test())
