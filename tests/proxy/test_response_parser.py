"""Parsing of upstream responses, whose bytes may arrive in pieces of any size."""

from __future__ import annotations

import pytest

from load_balancer.proxy.errors import MalformedResponseError
from load_balancer.proxy.messages import MAX_BODY_SIZE, UpstreamResponse
from load_balancer.proxy.response_parser import MAX_INFORMATIONAL_RESPONSES, ResponseParser

RESPONSE = b"HTTP/1.1 503 Busy\r\nContent-Type: text/plain\r\nNot-Started: 1\r\nContent-Length: 4\r\n\r\nfull"
INFORMATIONAL = b"HTTP/1.1 103 Early Hints\r\nNot-Started: 1\r\nContent-Type: x\r\n\r\n"


def parse(data: bytes, piece_size: int) -> ResponseParser:
    """Return a parser that has received the data in pieces of this size."""
    parser = ResponseParser()
    parser.start_response()
    for start in range(0, len(data), piece_size):
        parser.feed(data[start : start + piece_size])
    return parser


@pytest.mark.parametrize("piece_size", [1, 7, 1000])
def test_response_is_complete_with_its_last_byte(piece_size: int) -> None:
    assert not parse(RESPONSE[:-1], piece_size).complete
    parser = parse(RESPONSE, piece_size)
    assert parser.complete and parser.keep_alive and parser.not_started and not parser.has_excess_data
    assert parser.response() == UpstreamResponse(503, b"full", b"text/plain")
    assert parser.bytes_received == len(RESPONSE)


@pytest.mark.parametrize("piece_size", [1, 7, 1000])
def test_headers_of_informational_responses_are_ignored(piece_size: int) -> None:
    parser = parse(
        INFORMATIONAL * MAX_INFORMATIONAL_RESPONSES + b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        piece_size,
    )
    assert parser.complete and not parser.not_started
    assert parser.response() == UpstreamResponse(200, b"", b"")


def test_too_many_informational_responses_are_malformed() -> None:
    with pytest.raises(MalformedResponseError):
        parse(INFORMATIONAL * (MAX_INFORMATIONAL_RESPONSES + 1), 1000)


@pytest.mark.parametrize(("size", "is_valid"), [(MAX_BODY_SIZE, True), (MAX_BODY_SIZE + 1, False)])
def test_body_larger_than_the_limit_is_malformed(size: int, is_valid: bool) -> None:
    data = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (size, bytes(size))
    if is_valid:
        assert len(parse(data, 4096).response().body) == size
    else:
        with pytest.raises(MalformedResponseError):
            parse(data, 4096)


def test_next_response_keeps_nothing_of_the_previous_one() -> None:
    parser = parse(RESPONSE, 1000)
    parser.start_response()
    assert not parser.complete and parser.bytes_received == 0
    parser.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
    assert parser.complete and not parser.keep_alive and not parser.not_started
    assert parser.response() == UpstreamResponse(200, b"", b"")


@pytest.mark.parametrize("excess", [b"\x00noise", RESPONSE, b"\r\n\r\nHTTP/1.1 200"])
def test_bytes_after_a_complete_response_are_excess_data(excess: bytes) -> None:
    parser = parse(RESPONSE + excess, 1000)
    assert parser.complete and parser.has_excess_data
    assert parser.response().body == b"full"
