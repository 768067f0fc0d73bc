"""Incremental parser for the requests on one client connection."""

from __future__ import annotations

from http import HTTPStatus
from typing import Protocol

import httptools

from load_balancer.proxy.client_request import ClientRequest, ErrorResponse, HealthCheck
from load_balancer.proxy.errors import InvalidRequestError
from load_balancer.proxy.messages import MAX_BODY_SIZE, MAX_HEAD_SIZE
from load_balancer.proxy.request_headers import RequestHeaders
from load_balancer.proxy.request_validation import RequestValidator

MAX_HEADER_FIELDS = 256  # of one request, trailers included; each costs processor time however short it is
MAX_REQUEST_SIZE = MAX_HEAD_SIZE + 2 * MAX_BODY_SIZE  # bytes; twice the body leaves room for chunk framing
_HEADER_LINE_OVERHEAD = 4  # bytes: colon, space and CRLF


class RequestReceiver(Protocol):
    """Receives notifications from a ``RequestParser``."""

    def on_request_started(self) -> None:
        """Handle the first byte of a request."""

    def on_continue_expected(self) -> None:
        """Handle an ``Expect: 100-continue`` header: the client sends the body after an interim response."""

    def on_request_received(self, request: ClientRequest | HealthCheck) -> None:
        """Handle a complete, valid request.

        Raises:
            InvalidRequestError: The request is rejected for a reason that the validator can't know.
        """

    def on_request_discarded(self, keep_alive: bool) -> None:
        """Handle the end of a request of which nothing was kept."""


class RequestParser:
    """Parses the input of one client and notifies a receiver; httptools calls the ``on_`` methods.

    An offer to change to another protocol (``Upgrade``) is ignored, as HTTP allows: all input is HTTP/1.1.

    ``close`` must be called when the connection ends: the httptools parser refers back to this object, and
    only the cyclic garbage collector would free the two.
    """

    __slots__ = (
        "_body",
        "_discards_request",
        "_headers",
        "_http_parser",
        "_receiver",
        "_repeats_head",
        "_url",
        "_validator",
        "discards_all",
        "size",
    )

    def __init__(self, validator: RequestValidator, receiver: RequestReceiver) -> None:
        self.discards_all = False
        """Whether nothing is kept of the requests to come; they are neither validated nor passed on."""
        self._validator = validator
        self._receiver = receiver
        self._http_parser = httptools.HttpRequestParser(self)
        self._repeats_head = False  # whether the parser gets the head of the current request once more
        self.reset()

    @property
    def held_bytes(self) -> int:
        """Bytes kept of the current request."""
        return len(self._url) + len(self._headers.forwarded_lines) + self._body.__sizeof__()

    @property
    def is_head_complete(self) -> bool:
        """Whether the head of the current request has been received."""
        return self._headers.complete

    def reset(self) -> None:
        """Free the data of the current request: the connection may stay idle for a long time."""
        self.size = 0
        """Bytes fed since the last reset."""
        self._discards_request = self.discards_all
        self._url = b""
        self._headers = RequestHeaders()
        self._body = bytearray()

    def discard_request(self) -> None:
        """Keep nothing of the current request, but parse it to its end."""
        self._discards_request = True
        self._url = b""
        self._headers.forwarded_lines = bytearray()
        self._body = bytearray()

    def close(self) -> None:
        """Break the reference cycle with the httptools parser; ``feed`` must not be called any more."""
        del self._http_parser

    def feed(self, data: bytes | memoryview) -> ErrorResponse | None:
        """Parse received bytes.

        Return an error response if the bytes are not a valid request, else None. After an error, nothing more
        can be parsed on the connection.
        """
        self.size += len(data)
        try:
            while data:
                data = self._parse(data)
        except httptools.HttpParserError as error:
            return _error_response(error)
        if self._headers.complete:
            if self.size > MAX_REQUEST_SIZE:
                return ErrorResponse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        elif self.size > MAX_HEAD_SIZE:
            return ErrorResponse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        return None

    def _parse(self, data: bytes | memoryview) -> bytes | memoryview:
        """Parse bytes up to the end of a head that offers an upgrade, and return the rest."""
        try:
            self._http_parser.feed_data(data)
        except httptools.HttpParserUpgrade as offer:
            (head_end,) = offer.args
            self._ignore_upgrade_offer()
            return data[head_end:]
        return b""

    def _ignore_upgrade_offer(self) -> None:
        """Go on with a new httptools parser, since the old one ends at the head that offers the upgrade.

        If that request has a body, the new parser gets a head that says how the body is framed.
        """
        method, keep_alive = self._http_parser.get_method(), self._http_parser.should_keep_alive()
        self._http_parser = httptools.HttpRequestParser(self)
        if self._headers.complete:  # else the request had no body, and is complete
            self._repeats_head = True
            self._http_parser.feed_data(_framing_head(method, self._headers, keep_alive))
            self._repeats_head = False

    def on_message_begin(self) -> None:
        """Notify the receiver that a request has started."""
        if not self._repeats_head:
            self._receiver.on_request_started()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        if not self._discards_request and not self._repeats_head:
            self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header.

        httptools reports trailers here too. They count towards the size but must not be taken for headers.
        """
        if self._repeats_head:
            return
        headers = self._headers
        headers.size += len(name) + len(value) + _HEADER_LINE_OVERHEAD
        if headers.size > MAX_HEAD_SIZE:
            raise InvalidRequestError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        headers.count += 1
        if headers.count > MAX_HEADER_FIELDS:
            raise InvalidRequestError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        if not headers.complete:
            headers.add(name, value)

    def on_headers_complete(self) -> None:
        """Check what can be checked before the body arrives."""
        if self._repeats_head:
            return
        headers, version = self._headers, self._http_parser.get_http_version()
        headers.complete = True
        if version not in ("1.0", "1.1"):
            raise InvalidRequestError(HTTPStatus.HTTP_VERSION_NOT_SUPPORTED)
        encoding = headers.transfer_encoding
        # httptools ignores unknown transfer encodings, and HTTP/1.0 does not define any.
        if encoding is not None and (encoding.lower() != b"chunked" or version == "1.0"):
            raise InvalidRequestError(HTTPStatus.BAD_REQUEST)
        if headers.content_length > MAX_BODY_SIZE:
            raise InvalidRequestError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        if headers.expects_continue:
            self._receiver.on_continue_expected()

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        if self._discards_request:
            return
        if len(self._body) + len(body) > MAX_BODY_SIZE:
            raise InvalidRequestError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        self._body += body

    def on_message_complete(self) -> None:
        """Validate the request and pass it to the receiver."""
        http_parser = self._http_parser
        if http_parser.should_upgrade() and self._has_body():
            return  # httptools calls this at the end of the head; the body goes to the next parser
        if self._discards_request:
            self.reset()
            self._receiver.on_request_discarded(http_parser.should_keep_alive())
            return
        request = self._validator.validate(
            http_parser.get_method(), self._url, self._headers, self._body, http_parser.should_keep_alive()
        )
        self._receiver.on_request_received(request)
        self.reset()

    def _has_body(self) -> bool:
        """Return whether a body follows the head; never after CONNECT, whose method is rejected."""
        headers = self._headers
        is_framed = headers.transfer_encoding is not None or headers.content_length > 0
        return is_framed and self._http_parser.get_method() != b"CONNECT"


def _framing_head(method: bytes, headers: RequestHeaders, keep_alive: bool) -> bytes:
    """Return a head that frames the body as ``headers`` do, and offers no upgrade."""
    if headers.transfer_encoding is not None:
        framing = b"Transfer-Encoding: chunked"
    else:
        framing = b"Content-Length: %d" % headers.content_length
    connection = b"keep-alive" if keep_alive else b"close"
    return b"%b / HTTP/1.1\r\n%b\r\nConnection: %b\r\n\r\n" % (method, framing, connection)


def _error_response(error: httptools.HttpParserError) -> ErrorResponse:
    """Return the response to a parser error: the response in an ``InvalidRequestError``, or 400.

    httptools reports an exception raised in a callback as the context of its own error.
    """
    cause = error.__context__
    if isinstance(cause, InvalidRequestError):
        return ErrorResponse(cause.status, cause.headers)
    return ErrorResponse(HTTPStatus.BAD_REQUEST)
