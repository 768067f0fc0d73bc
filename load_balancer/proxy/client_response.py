"""Encoding of the responses that the node writes to clients."""

from __future__ import annotations

from http import HTTPStatus

CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
_REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}


def encode_response(status: int, body: bytes, content_type: bytes, headers: bytes, keep_alive: bool) -> bytes:
    """Return a complete HTTP/1.1 response.

    Args:
        status: Status code; one that is not registered gets an empty reason phrase.
        body: Response body, which may be empty.
        content_type: Value of the Content-Type header; the header is omitted if empty.
        headers: Additional header lines, each ending in CRLF.
        keep_alive: Whether the connection stays open; if not, the response says so.
    """
    return b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n%b%b%b\r\n%b" % (
        status,
        _REASON_PHRASES.get(status, b""),
        len(body),
        headers,
        b"Content-Type: %b\r\n" % content_type if content_type else b"",
        b"" if keep_alive else b"Connection: close\r\n",
        body,
    )
