"""HTTP GET requests to discovery, whose responses are read in pieces."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import httptools

from load_balancer.proxy.address import Address
from load_balancer.proxy.clock import now_ms
from load_balancer.proxy.errors import ConnectionClosedError, ResponseStatusError
from load_balancer.proxy.messages import LENGTH_HEADERS

READ_SIZE = 8192  # bytes; decoding them takes some ms at most, during which no other task runs
MIN_TRANSFER_RATE = 1 << 20  # bytes/s; each byte extends its message's time limit by 1 / this rate
_STATUS_OK = 200
_STATUS_UNKNOWN = 0  # the parser has not read the status line yet


@dataclass(slots=True, frozen=True)
class ResponseTimeouts:
    """Time limits of a request to discovery, in s."""

    connect: float
    """Limit for establishing the connection."""
    first_byte: float
    """Limit from the request to the first bytes of the response."""
    read: float
    """Limit for each read after the first."""
    message: float
    """Limit for a message (a snapshot or a line of a watch); extended by its bytes / MIN_TRANSFER_RATE."""


class DiscoveryResponse:
    """A response whose body holds one or more messages, each with its own time limit."""

    def __init__(self, reader: asyncio.StreamReader, timeouts: ResponseTimeouts) -> None:
        self.is_complete = False
        self.begun_at: float | None = None
        """Time in ms at which the status 200 was received, or None."""
        self._reader = reader
        self._timeouts = timeouts
        self._parser = httptools.HttpResponseParser(self)
        self._body = bytearray()  # the part of the body that read has not returned yet
        self._has_length = False
        self._ends_with_connection = False  # whether the head has ended and gives no length
        self._received_bytes = 0  # bytes of the body received so far
        self._clock = asyncio.get_running_loop().time
        self._next_read_timeout = timeouts.first_byte
        self.start_message()

    def start_message(self) -> None:
        """Start the time limit of the next message."""
        self._message_started_at = self._clock()
        self._message_offset = self._received_bytes

    async def read(self) -> bytes:
        """Read more of the response and return the part that belongs to the body, which may be empty.

        Raises:
            TimeoutError: No data arrived in time, or the message exceeded its time limit.
            ConnectionClosedError: The connection was closed before the end of the response.
            ResponseStatusError: The status is not 200.
            httptools.HttpParserError: The data is not a valid HTTP response.
        """
        async with asyncio.timeout(min(self._next_read_timeout, self._message_time_left())):
            data = await self._reader.read(READ_SIZE)
        if not data:
            if not self._ends_with_connection:
                raise ConnectionClosedError
            self.is_complete = True
            return b""
        self._parser.feed_data(data)
        status = self._parser.get_status_code()
        if status not in (_STATUS_UNKNOWN, _STATUS_OK):
            raise ResponseStatusError(status)
        if self.begun_at is None and status == _STATUS_OK:
            self.begun_at = now_ms()
        self._next_read_timeout = self._timeouts.read
        body, self._body = bytes(self._body), bytearray()
        return body

    def _message_time_left(self) -> float:
        # Body bytes extend the limit by their transfer time at MIN_TRANSFER_RATE, so a slow sender gains
        # little.
        transfer_time = (self._received_bytes - self._message_offset) / MIN_TRANSFER_RATE
        return self._message_started_at + self._timeouts.message + transfer_time - self._clock()

    # Callbacks of the HTTP parser.

    def on_header(self, name: bytes, value: bytes) -> None:
        """Note whether the head gives a length."""
        if name.lower() in LENGTH_HEADERS:
            self._has_length = True

    def on_headers_complete(self) -> None:
        """Decide what ends the body."""
        self._ends_with_connection = not self._has_length

    def on_body(self, body: bytes) -> None:
        """Buffer a part of the body, from which the transfer encoding has been removed."""
        self._body += body
        self._received_bytes += len(body)

    def on_message_complete(self) -> None:
        """Mark the response as complete."""
        self.is_complete = True


@asynccontextmanager
async def open_response(
    address: Address, path: str, timeouts: ResponseTimeouts
) -> AsyncIterator[DiscoveryResponse]:
    """Send a GET request on a new connection, which is closed at the end of the context.

    Raises:
        OSError: The connection failed.
        TimeoutError: The connection was not established in time.
    """
    host, port = address
    async with asyncio.timeout(timeouts.connect):
        reader, writer = await asyncio.open_connection(host, port, limit=READ_SIZE)
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode())
        yield DiscoveryResponse(reader, timeouts)
    finally:
        writer.close()
