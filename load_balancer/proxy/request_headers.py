"""Headers of one client request: the values that the node uses and the lines that it forwards."""

from __future__ import annotations

import re
from collections.abc import Callable

_TIMEOUT_PATTERN = re.compile(rb"(\d{1,9}(?:\.\d{1,6})?)([mu])")  # number and unit: m for ms, u for us
_COST_HINT_PATTERN = re.compile(rb"\d{1,9}")  # whole number of us
_US_PER_MS = 1000

# Hop-by-hop headers, and headers that the node writes itself.
_NOT_FORWARDED = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-connection",
        b"request-timeout",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


class RequestHeaders:
    """Headers of one request, added one at a time as they are parsed.

    Attributes that hold the value of a header are None, 0 or False until that header is added.
    """

    __slots__ = (
        "client_request_id",
        "complete",
        "content_length",
        "cost_hint",
        "count",
        "expects_continue",
        "forwarded_lines",
        "idempotency_key",
        "is_client_retry",
        "malformed",
        "size",
        "tenant",
        "timeout",
        "transfer_encoding",
    )

    def __init__(self) -> None:
        self.forwarded_lines = bytearray()
        """Header lines to forward, each ending in CRLF; in one piece, as many objects take more memory."""
        self.count = 0
        """Number of header lines, including trailers; counted by the parser."""
        self.size = 0
        """Bytes of all header lines, including trailers; counted by the parser."""
        self.complete = False
        """Whether the header section has ended; set by the parser."""
        self.malformed = False
        """Whether the request must be rejected because of its headers.

        True after a repeated Request-Id, Tenant, Idempotency-Key, Request-Timeout or Transfer-Encoding, an
        empty Idempotency-Key, or a Request-Timeout that can't be parsed.
        """
        self.client_request_id: bytes | None = None
        self.tenant: bytes | None = None
        self.idempotency_key: bytes | None = None
        self.timeout: float | None = None
        """Value of Request-Timeout in ms."""
        self.cost_hint = 0.0
        """Value of Work-Hint in ms."""
        self.is_client_retry = False
        self.content_length = 0
        self.transfer_encoding: bytes | None = None
        self.expects_continue = False

    def add(self, name: bytes, value: bytes) -> None:
        """Parse the value if the node uses it, and keep the header line if it is to be forwarded."""
        lower_name = name.lower()
        parse = _HEADER_PARSERS.get(lower_name)
        if parse is not None:
            parse(self, value)
        if lower_name not in _NOT_FORWARDED:
            self.forwarded_lines += b"%b: %b\r\n" % (name, value)

    def _parse_request_id(self, value: bytes) -> None:
        if self.client_request_id is not None:
            self.malformed = True
        self.client_request_id = value

    def _parse_tenant(self, value: bytes) -> None:
        if self.tenant is not None:
            self.malformed = True
        self.tenant = value

    def _parse_idempotency_key(self, value: bytes) -> None:
        if self.idempotency_key is not None or not value:
            self.malformed = True
        self.idempotency_key = value

    def _parse_timeout(self, value: bytes) -> None:
        match = _TIMEOUT_PATTERN.fullmatch(value)
        if self.timeout is not None or match is None:
            self.malformed = True
        if match is not None:
            self.timeout = float(match[1]) / (1 if match[2] == b"m" else _US_PER_MS)

    def _parse_content_length(self, value: bytes) -> None:
        self.content_length = int(value)  # httptools rejects values that are not all digits

    def _parse_transfer_encoding(self, value: bytes) -> None:
        if self.transfer_encoding is not None:
            self.malformed = True
        self.transfer_encoding = value

    def _parse_cost_hint(self, value: bytes) -> None:
        # A malformed hint is ignored: the request can be served without it.
        self.cost_hint = int(value) / _US_PER_MS if _COST_HINT_PATTERN.fullmatch(value) else 0.0

    def _parse_client_retry(self, value: bytes) -> None:
        self.is_client_retry = value == b"1"

    def _parse_expect(self, value: bytes) -> None:
        self.expects_continue = value.lower() == b"100-continue"


_HEADER_PARSERS: dict[bytes, Callable[[RequestHeaders, bytes], None]] = {
    b"client-retry": RequestHeaders._parse_client_retry,
    b"content-length": RequestHeaders._parse_content_length,
    b"expect": RequestHeaders._parse_expect,
    b"idempotency-key": RequestHeaders._parse_idempotency_key,
    b"request-id": RequestHeaders._parse_request_id,
    b"request-timeout": RequestHeaders._parse_timeout,
    b"tenant": RequestHeaders._parse_tenant,
    b"transfer-encoding": RequestHeaders._parse_transfer_encoding,
    b"work-hint": RequestHeaders._parse_cost_hint,
}
