"""Parsing and validation of client requests that a node receives over sockets."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from itertools import pairwise
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.proxy.harness import run, running_node
from tests.proxy.stubs import UpstreamStub, header, make_request

INVALID_INPUT = [
    (b"nonsense\r\n\r\n", 400),
    (make_request().replace(b"Request-Id", b"X-Id"), 400),
    (make_request().replace(b"Request-Timeout", b"X-Timeout"), 400),
    (make_request(timeout="soon"), 400),
    (make_request(timeout="-5m"), 400),
    (make_request(Request_ID="twice"), 400),
    (make_request("book").replace(b"Idempotency-Key", b"X-Key"), 400),
    (make_request("pay", Idempotency_Key="5c0f"), 400),
    (make_request(Content_Length="1") + b"x", 400),
    (make_request("unknown"), 404),
    (make_request().replace(b"GET", b"PUT"), 405),
    (make_request("pay").replace(b"POST", b"GET"), 405),
    (make_request("pay", Content_Length="70000") + bytes(70000), 413),
    (make_request("pay", Content_Length="70000", Expect="100-continue"), 413),
    (
        make_request("pay", Transfer_Encoding="chunked").replace(b"Content-Length: 0\r\n", b"")
        + b"11000\r\n"
        + bytes(0x11000),
        413,
    ),
    (make_request(X="y" * 20000), 431),
    (b"GET /" + b"a" * 40000, 431),
    (b"GET /find/1 HTTP/1.1\r\nX: " + b"a" * 40000, 431),
    (b"GET /find/1 HTTP/1.1\r\n" + b"a:\r\n" * 300, 431),
]


LENGTH_LINE = b"Content-Length: 5\r\n"
CHUNKED_LINE = b"Transfer-Encoding: chunked\r\n"
LAST_CHUNK = b"0\r\n\r\n"


def framed_request(*lines: bytes, body: bytes = LAST_CHUNK) -> bytes:
    """Return a request whose framing headers are ``lines``, each ending in CRLF."""
    return make_request("pay").replace(b"Content-Length: 0\r\n", b"".join(lines)) + body


# Framing that the node and an endpoint could interpret differently would allow request smuggling.
INVALID_INPUT += [
    (framed_request(LENGTH_LINE, CHUNKED_LINE), 400),
    (framed_request(CHUNKED_LINE, LENGTH_LINE), 400),
    (framed_request(LENGTH_LINE, LENGTH_LINE, body=b"12345"), 400),
    (framed_request(LENGTH_LINE, b"Content-Length: 6\r\n", body=b"123456"), 400),
    (framed_request(b"Content-Length: 5, 5\r\n", body=b"12345"), 400),
    (framed_request(b"Content-Length: -5\r\n"), 400),
    (framed_request(b"Content-Length: +5\r\n", body=b"12345"), 400),
    (framed_request(b"Content-Length: 0x5\r\n", body=b"12345"), 400),
    (framed_request(b"Content-Length: 5 5\r\n", body=b"12345"), 400),
    (framed_request(b"Content-Length:\r\n"), 400),
    (framed_request(b"Content-Length: 3221225472\r\n"), 413),
    (framed_request(b"Content-Length: 18446744073709551621\r\n"), 400),
    (framed_request(b"Content-Length : 5\r\n", body=b"12345"), 400),
    (framed_request(b"Content-Length\r\n : 5\r\n", body=b"12345"), 400),
    (framed_request(CHUNKED_LINE, CHUNKED_LINE), 400),
    (framed_request(b"Transfer-Encoding: chunked, identity\r\n"), 400),
    (framed_request(b"Transfer-Encoding: xchunked\r\n"), 400),
    (framed_request(b"Transfer-Encoding: gzip, chunked\r\n"), 400),
    (framed_request(b"Transfer-Encoding: identity\r\n"), 400),
    (framed_request(b"Transfer-Encoding : chunked\r\n"), 400),
    (framed_request(b"Transfer-Encoding:\r\n chunked\r\n"), 400),
    (framed_request(CHUNKED_LINE, body=b"-1\r\n\r\n" + LAST_CHUNK), 400),
    (framed_request(CHUNKED_LINE, body=b"+5\r\n12345\r\n" + LAST_CHUNK), 400),
    (framed_request(CHUNKED_LINE, body=b"0x5\r\n12345\r\n" + LAST_CHUNK), 400),
    (framed_request(CHUNKED_LINE, body=b"5\r\n123456\r\n" + LAST_CHUNK), 400),
    (framed_request(CHUNKED_LINE, body=b"5\n12345\n0\n\n"), 400),
    (framed_request(CHUNKED_LINE, body=b"1" * 40 + b"\r\n"), 400),
    (
        framed_request(LENGTH_LINE, body=b"12345")
        .replace(b"HTTP/1.1", b"HTTP/1.0")
        .replace(LENGTH_LINE, LENGTH_LINE + CHUNKED_LINE),
        400,
    ),
    (framed_request(CHUNKED_LINE).replace(b"HTTP/1.1", b"HTTP/1.0"), 400),
    (make_request(X="a\r\n b"), 400),
    (make_request(X="a\rb"), 400),
    (make_request(X="a\nContent-Length: 5"), 400),
    (make_request(X="a\x00b"), 400),
    (make_request().replace(b"\r\n", b"\n"), 400),
    (make_request().replace(b"\r\n", b"\r"), 400),
    (make_request().replace(b"Host", b" Host"), 400),
    (make_request().replace(b"HTTP/1.1", b"HTTP/2.0"), 505),
    (make_request().replace(b"HTTP/1.1", b"HTTP/11"), 400),
    (make_request().replace(b"GET /find", b"GET http://x/find"), 400),
]


# Beside an offer to change the protocol, which is ignored, the same checks hold.
OFFER_LINES = b"Connection: upgrade\r\nUpgrade: websocket\r\n"
OFFER: dict[str, Any] = {"Connection": "upgrade", "Upgrade": "websocket"}
INVALID_INPUT += [
    (make_request(Content_Length="1", **OFFER) + b"x", 400),
    (make_request("unknown", Content_Length="1", **OFFER) + b"x", 404),
    (make_request("pay", Content_Length="1", **OFFER).replace(b"POST", b"PUT") + b"x", 405),
    (make_request("pay", Content_Length="1", **OFFER).replace(b"POST", b"CONNECT") + b"x", 405),
    (make_request("pay", Content_Length="70000", **OFFER), 413),
    (framed_request(CHUNKED_LINE, OFFER_LINES, body=b"11000\r\n" + bytes(0x11000)), 413),
    (framed_request(CHUNKED_LINE, OFFER_LINES, body=b"0\r\n" + b"a: b\r\n" * 300), 431),
    (framed_request(CHUNKED_LINE, OFFER_LINES, body=b"8\r\norder\r\n\r\n0\r\n\r\n"), 400),
]


@pytest.mark.parametrize(("data", "status"), INVALID_INPUT, ids=range(len(INVALID_INPUT)))
def test_invalid_input_gets_error_response_and_is_not_forwarded(data: bytes, status: int) -> None:
    async def test() -> None:
        upstream = await UpstreamStub().start()
        async with running_node(upstream) as harness:
            client = await harness.connect()
            # Data that follows invalid input must not be parsed, as it may be a part of the invalid request.
            received_status, head, _ = await client.exchange(data + make_request())
            assert (received_status, header(head, b"Connection")) == (status, b"close")
            assert await client.read_to_end() == b""
            assert (await (await harness.connect()).exchange(make_request()))[0] == 200
            assert (
                upstream.requests.qsize() == 1 and not harness.node.listener.connections.request_ids.open_ids
            )

    run(test())


def test_trailers_are_not_taken_for_headers() -> None:
    # httptools reports trailers in the same way as headers, so a trailer could set the tenant.
    async def test() -> None:
        upstream = await UpstreamStub().start()
        async with running_node(upstream) as harness:
            data = framed_request(
                CHUNKED_LINE, body=b"4\r\nride\r\n0\r\nRequest-Id: other\r\nTenant: acme\r\n\r\n"
            )
            assert (await (await harness.connect()).exchange(data))[0] == 200
            forwarded = await upstream.requests.get()
            assert (
                b"other" not in forwarded and b"acme" not in forwarded and forwarded.endswith(b"\r\n\r\nride")
            )
            client = await harness.connect()
            client.writer.write(framed_request(CHUNKED_LINE, body=b"0\r\n" + b"X: " + b"y" * 400_000))
            assert (await client.receive())[0] in (413, 431)

    run(test())


@settings(max_examples=40, derandomize=True, database=None, deadline=None)
@given(data=st.lists(st.sampled_from([b"GET ", b"/find/a", b" HTTP/1.1", b"\r\n", b"\r\n\r\n", b"Host: x",
                                      b"Content-Length: 3", b"Request-Id: 1", b"\x00", b"a", b"Upgrade: x",
                                      b"Connection: upgrade", b"Transfer-Encoding: chunked"])
                     | st.binary(max_size=20), max_size=30).map(b"".join))  # fmt: skip
def test_arbitrary_input_does_not_break_the_node(data: bytes) -> None:
    async def test() -> None:
        upstream = await UpstreamStub().start()
        async with running_node(upstream) as harness:
            client = await harness.connect()
            client.writer.write(data)
            client.writer.write_eof()
            with suppress(ConnectionError):  # the node may also reset the connection
                await client.read_to_end()
            assert upstream.requests.empty()
            assert (await (await harness.connect()).exchange(make_request()))[0] == 200
            assert not harness.node.requests.pending

    run(test())


@settings(max_examples=20, derandomize=True, database=None, deadline=None)
@given(split_offsets=st.lists(st.integers(min_value=1, max_value=200), max_size=8))
def test_request_split_at_arbitrary_offsets_is_parsed(split_offsets: list[int]) -> None:
    async def test() -> None:
        upstream = await UpstreamStub().start()
        async with running_node(upstream) as harness:
            client, data = await harness.connect(), make_request("book", body=b"x" * 40)
            offsets = [0, *sorted(split_offsets), len(data)]
            for start, end in pairwise(offsets):
                client.writer.write(data[start:end])
                await asyncio.sleep(0)
            assert (await client.receive())[0] == 200
            assert (await upstream.requests.get()).endswith(b"x" * 40)

    run(test())
