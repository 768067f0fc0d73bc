"""Requests that offer to change to another protocol, which the node ignores: HTTP/1.1 goes on."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from tests.proxy.harness import run, running_node
from tests.proxy.stubs import UpstreamStub, header, make_request

OFFERS: list[dict[str, Any]] = [
    {"Connection": "Upgrade, HTTP2-Settings", "Upgrade": "h2c", "HTTP2_Settings": "AAMAAABkAAQAoAAAAAIAAAAA"},
    {"Connection": "upgrade", "Upgrade": "websocket"},
]
OFFER = OFFERS[1]
BODY = b"order=1&" * 40


def chunked_request(**headers: Any) -> bytes:
    """Return a request with a chunked body and a trailer, which holds ``BODY``."""
    head = make_request("pay", Transfer_Encoding="chunked", **headers).replace(b"Content-Length: 0\r\n", b"")
    return head + b"8;x=y\r\norder=1&\r\n" * 40 + b"0\r\nChecksum: 7\r\n\r\n"


@pytest.mark.parametrize("offer", OFFERS, ids=["h2c", "websocket"])
@pytest.mark.parametrize("is_chunked", [False, True], ids=["length", "chunked"])
@pytest.mark.parametrize("piece_size", [1, 100, 4096])
def test_body_of_a_request_that_offers_an_upgrade_is_not_lost(
    offer: dict[str, Any], is_chunked: bool, piece_size: int
) -> None:
    # Guards against a body that is taken for input of the offered protocol, and an order run without it.
    async def test() -> None:
        upstream = await UpstreamStub().start()
        async with running_node(upstream) as harness:
            client = await harness.connect()
            data = chunked_request(**offer) if is_chunked else make_request("pay", body=BODY, **offer)
            for start in range(0, len(data), piece_size):
                client.writer.write(data[start : start + piece_size])
                await asyncio.sleep(0)
            assert (await client.receive())[0] == 200
            head, _, body = (await upstream.requests.get()).partition(b"\r\n\r\n")
            assert body == BODY and header(head, b"Content-Length") == b"%d" % len(BODY)
            assert header(head, b"Upgrade") is None and header(head, b"Connection") is None

    run(test())


@pytest.mark.parametrize("gap_s", [0.0, 0.02], ids=["in one write", "in writes of their own"])
def test_requests_behind_an_upgrade_offer_are_not_discarded(gap_s: float) -> None:
    # Guards against requests that are read and never answered: unless a side says `Connection: close`, the
    # connection is kept and what follows an offer is HTTP/1.1.
    async def test() -> None:
        upstream = await UpstreamStub().start()
        async with running_node(upstream) as harness:
            client = await harness.connect()
            requests = [
                make_request(),
                make_request(**OFFER),
                b"GET /_health HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
                make_request("pay", body=BODY, **OFFER),
                chunked_request(**OFFER),
                make_request("book", body=b"ride"),
            ]
            for data in requests:
                client.writer.write(data)
                await asyncio.sleep(gap_s)
            for _ in requests:
                status, head, _ = await client.receive()
                assert (status, header(head, b"Connection")) == (200, None)
            bodies = [upstream.requests.get_nowait().partition(b"\r\n\r\n")[2] for _ in range(5)]
            assert bodies == [b"", b"", BODY, BODY, b"ride"]
            assert (await client.exchange(make_request()))[0] == 200
            assert not harness.node.listener.connections.request_ids.open_ids

    run(test())


def test_upgrade_offer_does_not_hide_that_the_client_wants_the_connection_closed() -> None:
    # Guards against a connection kept open although the client said `Connection: close` beside its offer.
    async def test() -> None:
        upstream = await UpstreamStub().start()
        async with running_node(upstream) as harness:
            client = await harness.connect()
            data = make_request("pay", body=BODY, Connection="close, upgrade", Upgrade="h2c")
            status, head, _ = await client.exchange(data)
            assert (status, header(head, b"Connection")) == (200, b"close")
            assert await client.read_to_end() == b""
            assert (await upstream.requests.get()).endswith(BODY)

    run(test())


def test_client_that_waits_for_100_continue_with_an_upgrade_offer_gets_it_once() -> None:
    # Guards against `Expect: 100-continue` that is answered twice or not at all beside an offer.
    async def test() -> None:
        upstream = await UpstreamStub().start()
        async with running_node(upstream) as harness:
            client = await harness.connect()
            request = make_request("pay", body=BODY, Expect="100-continue", **OFFER)
            assert (await client.exchange(request[: -len(BODY)]))[0] == 100
            assert upstream.requests.empty()
            assert (await client.exchange(BODY))[0] == 200
            assert (await upstream.requests.get()).endswith(BODY)

    run(test())


def test_fields_beside_an_upgrade_offer_are_not_counted_twice() -> None:
    # Guards against fields that are counted twice when parsing goes on after the offer.
    more = {f"X{number}": "y" for number in range(256 - 6)}

    async def test() -> None:
        upstream = await UpstreamStub().start()
        async with running_node(upstream) as harness:
            request = make_request("pay", body=BODY, **OFFER, **more)
            assert request.partition(b"\r\n\r\n")[0].count(b"\r\n") == 256
            assert (await (await harness.connect()).exchange(request))[0] == 200
            assert (await upstream.requests.get()).endswith(BODY)

    run(test())
