"""Client connection: queues requests, serves them one at a time and writes the responses."""

from __future__ import annotations

import asyncio
import select
from collections import deque
from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol, cast

from load_balancer.proxy.client_request import ClientRequest, ErrorResponse, HealthCheck, QueuedItem
from load_balancer.proxy.client_response import CONTINUE_RESPONSE, encode_response
from load_balancer.proxy.connection_table import ConnectionState, ConnectionTable
from load_balancer.proxy.errors import InvalidRequestError
from load_balancer.proxy.request_parser import RequestParser
from load_balancer.proxy.request_validation import RequestValidator

MAX_QUEUED_REQUESTS = 8  # per connection; with this many pipelined requests, parsing and reading pause
PARSE_CHUNK_SIZE = 4096  # bytes parsed at a time, since a single read may hold hundreds of requests


class RequestHandler(Protocol):
    """Serves the requests of client connections."""

    healthy: bool
    """Whether health checks succeed."""
    shutting_down: bool
    """Whether the node is shutting down: health checks fail, connections close after their last response."""

    def on_request(self, connection: ClientConnection, request: ClientRequest) -> None:
        """Set ``connection.request_id`` and serve the request.

        The handler must call ``connection.write_response`` once, during this call or later, unless the client
        disconnects first.
        """

    def on_client_disconnected(self, request_id: int) -> None:
        """Cancel a request, to which no response can be written any more."""


class ClientConnection(asyncio.Protocol):
    """Accepted connection of a client, until it is lost.

    Complete requests wait in ``queue``. They are served one at a time: the response to a request is written
    before the next request is passed to the handler.

    Args:
        table: Table of all client connections.
        validator: Validator of parsed requests.
        handler: Handler of valid requests.
        on_lost: Called when the connection is lost.
    """

    transport: asyncio.Transport
    _parser: RequestParser

    def __init__(
        self,
        table: ConnectionTable,
        validator: RequestValidator,
        handler: RequestHandler,
        on_lost: Callable[[ClientConnection], None],
    ) -> None:
        self.state = ConnectionState.DISCONNECTED
        self.request_id = 0
        """Id of the request in flight, set by the handler, or 0 if there is none."""
        self.queue: deque[QueuedItem] = deque()
        self.unparsed = b""
        """Data received while the queue was full."""
        self.read_paused = False
        self.write_paused = False
        """Whether the write buffer is full because the client does not read its responses."""
        self._table = table
        self._validator = validator
        self._handler = handler
        self._on_lost = on_lost
        self._request_in_flight: ClientRequest | None = None
        self._response_pending = False  # whether a request (valid or not) or health check awaits a response
        self._keep_alive = True  # whether the client wants the connection kept open after the response
        self._in_serve_loop = False
        self._input_closed = False  # whether further input is discarded
        self._request_incomplete = False  # whether only a part of a request has been received
        self._has_received_request = False  # whether a complete request has been received
        self._request_started_at = 0.0  # s on the loop's clock; for the first request, time of connection

    # Connection events.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Initialize the parser and the state; the connection waits for its first request."""
        # The cast is needed, since uvloop's transports are not subclasses of asyncio's. They set TCP_NODELAY
        # themselves.
        self.transport = cast(asyncio.Transport, transport)
        self._parser = RequestParser(self._validator, self)
        self._file_descriptor = transport.get_extra_info("socket").fileno()
        self._request_started_at = self._table.time()
        self._table.set_state(self, ConnectionState.CONNECTED, self._request_started_at)

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop queued requests and notify the handler if a request is in flight."""
        self._input_closed = True
        # Breaks the reference cycle with the parser, which only the garbage collector would free.
        self._parser.close()
        del self._parser
        self._table.set_state(self, ConnectionState.DISCONNECTED)
        self._on_lost(self)
        self._drop_queue()
        if self.request_id:
            request_id, self.request_id = self.request_id, 0
            self._handler.on_client_disconnected(request_id)
        self._release_request_id(self._request_in_flight)

    def pause_writing(self) -> None:
        """Stop serving requests: the write buffer is full because the client does not read its responses."""
        self.write_paused = True

    def resume_writing(self) -> None:
        """Resume serving requests after ``pause_writing``."""
        self.write_paused = False
        self.serve_queue()

    def data_received(self, data: bytes) -> None:
        """Parse received data and serve the requests that are complete."""
        if self._input_closed:
            return
        if self.unparsed:
            self.unparsed += data
        else:
            self._parse(data)
        self.serve_queue()

    def is_disconnected(self) -> bool:
        """Whether the client has closed its side of the connection.

        The socket is polled because the event loop does not detect a close while reading is paused, nor
        before it has read the data that was sent before the close.
        """
        return self.transport.is_closing() or self._poll_socket(select.POLLRDHUP)

    def has_unread_data(self) -> bool:
        """Whether the socket has data that the event loop has not read.

        If the data holds a request, closing the connection would lose the request.
        """
        return not self.transport.is_closing() and self._poll_socket(select.POLLIN)

    def _poll_socket(self, event_mask: int) -> bool:
        poll = select.poll()
        poll.register(self._file_descriptor, event_mask)
        return bool(poll.poll(0))

    # Requests.

    def reject_input(self, response: ErrorResponse) -> None:
        """Queue an error response and discard further input, as the start of the next request is unknown."""
        self._input_closed = True
        self._request_incomplete = False
        self._parser.reset()
        self.queue.append(response)

    def on_request_started(self) -> None:
        """Start the timeout of a request; the timeout of the first started with the connection."""
        self._request_incomplete = True
        if self._has_received_request:
            self._request_started_at = self._table.time()

    def on_continue_expected(self) -> None:
        """Write a 100 Continue response, unless responses to earlier requests have to be written first."""
        if not self._response_pending and not self.queue:
            self.transport.write(CONTINUE_RESPONSE)

    def on_request_received(self, request: ClientRequest | HealthCheck) -> None:
        """Queue a request.

        Raises:
            InvalidRequestError: A request with the same Request-Id is open, on any connection, or may run
                although its client has left; endpoints could not tell the two apart.
        """
        if isinstance(request, ClientRequest) and not self._table.request_ids.open(request.client_request_id):
            raise InvalidRequestError(HTTPStatus.CONFLICT)
        self.queue.append(request)
        self._has_received_request = True
        self._request_incomplete = False

    def on_upgrade_requested(self) -> None:
        """Serve the request normally and close the connection after it: upgrades are not supported."""
        self._input_closed = True
        if self.queue:
            self.queue[-1].keep_alive = False

    def _parse(self, data: bytes) -> None:
        """Parse data until the queue is full; keep the rest and pause reading until there is room again."""
        parsed = 0  # bytes
        while parsed < len(data) and not self._input_closed and len(self.queue) < MAX_QUEUED_REQUESTS:
            chunk = data[parsed : parsed + PARSE_CHUNK_SIZE] if len(data) > PARSE_CHUNK_SIZE else data
            parsed += len(chunk)
            error = self._parser.feed(chunk)
            if error is not None:
                self.reject_input(error)
        self.unparsed = b"" if self._input_closed else data[parsed:]
        if not self.unparsed:
            self._resume_reading()
        elif not self.read_paused:
            self.read_paused = True
            self.transport.pause_reading()

    def _resume_reading(self) -> None:
        if self.read_paused and not self.transport.is_closing():
            self.read_paused = False
            self.transport.resume_reading()

    def serve_queue(self) -> None:
        """Serve queued requests until one waits for its response or the client has to act."""
        # A handler may respond immediately, which calls this method again. That call returns at once and the
        # loop below continues, so that many responses in a row do not recurse.
        if self._in_serve_loop:
            return
        self._in_serve_loop = True
        while not self._response_pending and not self.write_paused:
            if not self.queue and self.unparsed:
                unparsed, self.unparsed = self.unparsed, b""
                self._parse(unparsed)
            if not self.queue:
                break
            self._serve(self.queue.popleft())
        self._in_serve_loop = False
        self._update_state()

    def _serve(self, request: QueuedItem) -> None:
        self._keep_alive = request.keep_alive
        self._response_pending = True
        self._table.set_state(self, ConnectionState.SERVING)
        if isinstance(request, ClientRequest):
            self._request_in_flight = request
            self._handler.on_request(self, request)
        elif isinstance(request, ErrorResponse):
            self.write_response(request.status, headers=request.headers)
        elif self._handler.healthy and not self._handler.shutting_down:
            self.write_response(HTTPStatus.OK, b"ok\n", b"text/plain")
        else:
            self.write_response(HTTPStatus.SERVICE_UNAVAILABLE)

    def _update_state(self) -> None:
        table = self._table
        if self._response_pending:
            table.set_state(self, ConnectionState.SERVING)
        elif self._input_closed and not self.queue:
            table.set_state(self, ConnectionState.CLOSING)
        elif self.write_paused or (self._has_received_request and not self._request_incomplete):
            table.set_state(self, ConnectionState.IDLE)
        elif self._request_incomplete:
            table.set_state(self, ConnectionState.RECEIVING, self._request_started_at)

    def _release_request_id(self, request: QueuedItem | None) -> None:
        if isinstance(request, ClientRequest):
            self._table.request_ids.release(request.client_request_id)

    def retire_request_id(self) -> None:
        """Reject further requests with the id of the request in flight, which may run without its client."""
        if self._request_in_flight is not None:
            self._table.request_ids.retire(self._request_in_flight.client_request_id)

    def _drop_queue(self) -> None:
        for request in self.queue:
            self._release_request_id(request)
        self.queue.clear()
        self.unparsed = b""

    # Responses.

    def write_response(
        self, status: int, body: bytes = b"", content_type: bytes = b"", headers: bytes = b""
    ) -> None:
        """Write the final response to the current request, and serve the next one.

        Args:
            status: Status code.
            body: Response body.
            content_type: Value of the Content-Type header; empty to omit the header.
            headers: Additional header lines, each ending in CRLF.
        """
        self.request_id = 0
        self._release_request_id(self._request_in_flight)
        self._request_in_flight = None
        keep_alive = self._keep_alive and self._may_keep_alive()
        self.transport.write(encode_response(status, body, content_type, headers, keep_alive))
        self._response_pending = False
        if not keep_alive:
            self._close_after_response()
        self.serve_queue()

    def _may_keep_alive(self) -> bool:
        """Whether the node keeps the connection open; requests that it has read are served first."""
        if self.queue or self.unparsed:
            return True
        return not (self._handler.shutting_down or self._table.has_many_idle)

    def _close_after_response(self) -> None:
        """Close the sending side only; the listener's sweep closes the connection later.

        If there is unread data, a close now would reset the connection, and the client could lose the
        response.
        """
        self._input_closed = True
        self._drop_queue()
        self._resume_reading()
        if not self.transport.is_closing() and self.transport.can_write_eof():
            self.transport.write_eof()
        else:
            self.transport.close()
