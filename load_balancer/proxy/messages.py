"""HTTP messages passed between the client side and the upstream side, and their size limits."""

from __future__ import annotations

from dataclasses import dataclass

MAX_BODY_SIZE = 65536  # bytes
MAX_HEAD_SIZE = 16384  # bytes of the start line and the header lines together
# Headers, in lower case, that say where a body ends; without them a response ends with its connection.
LENGTH_HEADERS = frozenset({b"content-length", b"transfer-encoding"})


@dataclass(slots=True)
class UpstreamRequest:
    """Request to be forwarded, without Request-Timeout: each attempt adds its own."""

    head: bytes
    """Request line and header lines, without the blank line that ends them."""
    body: bytes | bytearray
    was_sent: bool = False
    """Whether an attempt has been written to an upstream, so that the request may run."""


@dataclass(slots=True)
class UpstreamResponse:
    """Complete response of an upstream."""

    status: int
    body: bytes | bytearray
    content_type: bytes = b""
