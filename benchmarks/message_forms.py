"""Forms that HTTP/1.1 allows for requests and responses, and some in which a response is not whole."""

from __future__ import annotations

from enum import Enum

from benchmarks.good_clients import good_request

CHUNK_BYTES = 100  # of a body that is sent in chunks
TRAILER = b"Checksum: 0\r\n"
OFFER_LINES = b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABk\r\n"


class RequestForm(Enum):
    """How a client frames a request, and what it offers beside it."""

    LENGTH = "length"
    CHUNKS = "chunks"
    OFFER = "offer"
    """An offer to change to another protocol; the body, if any, has a length."""
    OFFER_CHUNKS = "offer-chunks"
    CONTINUE = "continue"
    """The client sends the body when the node has asked for it."""


class ResponseForm(Enum):
    """How an app server frames a response with status 200, and how the response ends."""

    LENGTH = "length"
    LENGTH_AND_CLOSE = "length-and-close"
    CHUNKS = "chunks"
    INFORMATIONAL = "informational"
    """After a response with status 103; the body has a length."""
    NO_LENGTH = "no-length"
    OLD_NO_LENGTH = "old-no-length"
    """HTTP/1.0, without a length."""
    CUT_LENGTH = "cut-length"
    CUT_CHUNKS = "cut-chunks"
    RESET_NO_LENGTH = "reset-no-length"
    """Without a length, and reset after a part of the body."""


CHUNKED_REQUESTS = frozenset({RequestForm.CHUNKS, RequestForm.OFFER_CHUNKS})
OFFERS = frozenset({RequestForm.OFFER, RequestForm.OFFER_CHUNKS})
WITHOUT_LENGTH = frozenset({ResponseForm.NO_LENGTH, ResponseForm.OLD_NO_LENGTH})
CUT_RESPONSES = frozenset({ResponseForm.CUT_LENGTH, ResponseForm.CUT_CHUNKS, ResponseForm.RESET_NO_LENGTH})
CLOSING_RESPONSES = WITHOUT_LENGTH | CUT_RESPONSES | {ResponseForm.LENGTH_AND_CLOSE}


def encode_request(class_name: str, request_id: str, body: bytes, form: RequestForm) -> tuple[bytes, bytes]:
    """Return the head and the encoded body of a request; one of the class ``find`` has no body."""
    request = good_request(class_name, request_id, body)
    head = request[: len(request) - len(body) - len(b"\r\n")]
    if form in OFFERS:
        head += OFFER_LINES
    if form is RequestForm.CONTINUE and body:
        head += b"Expect: 100-continue\r\n"
    if form in CHUNKED_REQUESTS and body:
        head = head.replace(b"Content-Length: %d\r\n" % len(body), b"Transfer-Encoding: chunked\r\n")
        body = encode_chunks(body)
    return head + b"\r\n", body


def encode_chunks(body: bytes) -> bytes:
    """Return a body in chunks with an extension, and a trailer."""
    pieces = [body[start : start + CHUNK_BYTES] for start in range(0, len(body), CHUNK_BYTES)]
    return b"".join(b"%x;n=v\r\n%b\r\n" % (len(piece), piece) for piece in pieces) + b"0\r\n%b\r\n" % TRAILER


def encode_response(body: bytes, form: ResponseForm) -> bytes:
    """Return a response with status 200, or the part of it that is sent if the form is cut."""
    if form in WITHOUT_LENGTH | {ResponseForm.RESET_NO_LENGTH}:
        version = b"1.0" if form is ResponseForm.OLD_NO_LENGTH else b"1.1"
        response = b"HTTP/%b 200 OK\r\nContent-Type: text/plain\r\n\r\n%b" % (version, body)
    elif form in {ResponseForm.CHUNKS, ResponseForm.CUT_CHUNKS}:
        response = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + encode_chunks(body)
    else:
        connection = b"Connection: close\r\n" if form is ResponseForm.LENGTH_AND_CLOSE else b""
        response = b"HTTP/1.1 200 OK\r\n%bContent-Length: %d\r\n\r\n%b" % (connection, len(body), body)
    if form is ResponseForm.INFORMATIONAL:
        response = b"HTTP/1.1 103 Early Hints\r\nContent-Length: 7\r\nLink: </style>\r\n\r\n" + response
    return response[: -len(body) // 2] if form in CUT_RESPONSES else response
