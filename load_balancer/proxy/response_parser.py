"""Parser of upstream responses, with limits on their size."""

from __future__ import annotations

import httptools

from load_balancer.proxy.errors import MalformedResponseError
from load_balancer.proxy.messages import LENGTH_HEADERS, MAX_BODY_SIZE, MAX_HEAD_SIZE, UpstreamResponse

MAX_RESPONSE_SIZE = MAX_HEAD_SIZE + 2 * MAX_BODY_SIZE  # bytes of head, body and chunk framing
MAX_INFORMATIONAL_RESPONSES = 8  # 1xx responses before the final one
MIN_FINAL_STATUS = 200  # lower statuses are informational


class ResponseParser:
    """Parses the responses of one connection, one at a time.

    Attributes:
        bytes_received: Bytes received since ``start_response``, including informational responses.
        complete: Whether the final response has been received completely.
        keep_alive: Whether the upstream keeps the connection open; valid once ``complete`` is set.
        has_excess_data: Whether more data followed a complete response.
        not_started: Whether the response has the header ``Not-Started: 1``.
    """

    __slots__ = (
        "_body",
        "_content_type",
        "_has_length",
        "_head_complete",
        "_informational_count",
        "_parser",
        "bytes_received",
        "complete",
        "has_excess_data",
        "keep_alive",
        "not_started",
    )

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._body = bytearray()
        self._content_type = b""
        self._has_length = False  # whether the head says where the body ends, by its length or by chunks
        self._head_complete = False  # whether the head of the final response has ended
        self._informational_count = 0
        self.bytes_received = 0
        self.complete = False
        self.keep_alive = False
        self.has_excess_data = False
        self.not_started = False

    def close(self) -> None:
        """Break the reference cycle with httptools' parser, which only the garbage collector would free."""
        if hasattr(self, "_parser"):
            del self._parser

    def start_response(self) -> None:
        """Reset the state for the next response."""
        self.complete = False
        self._head_complete = False
        self.bytes_received = 0
        self._informational_count = 0

    def feed(self, data: bytes | memoryview) -> None:
        """Parse the next bytes received.

        Raises:
            MalformedResponseError: The response is not valid HTTP, or exceeds a limit.
        """
        self.bytes_received += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            if not self.complete:
                raise MalformedResponseError(str(error)) from error
            self.has_excess_data = True
        except httptools.HttpParserUpgrade as error:
            raise MalformedResponseError("unexpected protocol upgrade") from error
        if not self.complete and self.bytes_received > (
            MAX_RESPONSE_SIZE if self._head_complete else MAX_HEAD_SIZE
        ):
            raise MalformedResponseError("response too large")

    def end(self) -> None:
        """Handle the orderly end of the connection: it completes a response whose head gives no length.

        A body in a transfer coding other than chunks ends so, too, but can't be decoded; it stays incomplete.
        """
        if self._head_complete and not self._has_length and not self.complete:
            self.complete = True
            self.keep_alive = False

    def response(self) -> UpstreamResponse:
        """Return the complete response, whose body the parser does not keep."""
        body, self._body = self._body, bytearray()
        return UpstreamResponse(self._parser.get_status_code(), body, self._content_type)

    @property
    def held_bytes(self) -> int:
        """Bytes kept of the current response."""
        return len(self._body)

    # Callbacks of httptools. If one raises a ValueError, ``feed_data`` raises an HttpParserError. The log
    # shows the message that httptools gives that error; the ValueError is only its context.

    def on_message_begin(self) -> None:
        """Start a new message, informational or final; after a complete response it is excess data."""
        if self.complete:
            self.has_excess_data = True
            return
        self._body.clear()
        self._has_length = False
        self.not_started = False
        self._content_type = b""

    def on_header(self, name: bytes, value: bytes) -> None:
        """Process a header or trailer field."""
        if self.complete:
            return
        lower = name.lower()
        # The length is checked before the body arrives, since the upstream may never send all of it.
        if lower == b"content-length" and int(value) > MAX_BODY_SIZE:
            raise ValueError("Content-Length too large")
        if lower in LENGTH_HEADERS:
            self._has_length = True
        elif lower == b"not-started":
            self.not_started = value == b"1"
        elif lower == b"content-type":
            self._content_type = value

    def on_headers_complete(self) -> None:
        """Record whether this is the head of the final response."""
        if not self.complete:
            self._head_complete = self._parser.get_status_code() >= MIN_FINAL_STATUS

    def on_body(self, body: bytes) -> None:
        """Append a part of the body, up to ``MAX_BODY_SIZE`` bytes in total."""
        if self.complete:
            return
        if len(self._body) + len(body) > MAX_BODY_SIZE:
            raise ValueError("body too large")
        self._body += body

    def on_message_complete(self) -> None:
        """Count an informational response, or mark the final one as complete."""
        if self.complete:
            return
        if not self._head_complete:
            self._informational_count += 1
            if self._informational_count > MAX_INFORMATIONAL_RESPONSES:
                raise ValueError("too many informational responses")
            return
        self.complete = True
        self.keep_alive = self._parser.should_keep_alive()
