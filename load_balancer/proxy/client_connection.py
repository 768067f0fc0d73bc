"""One client connection: queues its requests, serves them one at a time and writes the responses."""

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

MAX_QUEUED_REQUESTS = 8  # pipelined requests on one connection, after which reading pauses
PARSE_CHUNK = 4096  # bytes parsed at a time: a single read may hold hundreds of requests


class RequestHandler(Protocol):
    """What serves the requests."""

    healthy: bool  # whether health checks succeed
    stopping: bool  # during graceful shutdown: connections are closed after their last response

    def on_request(self, connection: ClientConnection, request: ClientRequest) -> None:
        """Set ``connection.request_id`` and serve the request.

        ``connection.write_response`` must be called once, in this call or later, unless the client
        disconnects before.
        """

    def on_client_disconnected(self, request_id: int) -> None:
        """Cancel a request; it gets no response any more."""


class ClientConnection(asyncio.Protocol):
    """A connection of a client, from its accept until it is lost.

    Complete requests wait in ``queue``; one at a time is served, and its response is written before the next
    one starts.
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
        self.request_id = 0  # number of the request in flight, set by the handler; 0: none
        self.queue: deque[QueuedItem] = deque()
        self.unparsed = b""  # read while the queue was full
        self.read_paused = False
        self.write_paused = False  # the client does not read its responses
        self._table = table
        self._validator = validator
        self._handler = handler
        self._on_lost = on_lost
        self._request: ClientRequest | None = None  # in flight
        self._serving = False  # a request of any kind has no response yet
        self._keep_alive = True  # after the response to it
        self._in_serve_loop = False
        self._input_closed = False  # nothing further is parsed
        self._receiving = False  # a request has arrived in part
        self._has_received_request = False  # at least one complete request
        self._request_started_at = 0.0  # s, loop time; for the first request: time of the connect

    # Connection events.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set up the connection; it waits for its first request."""
        # Not isinstance: uvloop's transports do not derive from asyncio's. They come with TCP_NODELAY set.
        self.transport = cast(asyncio.Transport, transport)
        self._parser = RequestParser(self._validator, self)
        self._file_descriptor = transport.get_extra_info("socket").fileno()
        self._request_started_at = self._table.time()
        self._table.set_state(self, ConnectionState.CONNECTED, self._request_started_at)

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop queued requests and notify the handler if one is in flight."""
        self._input_closed = True
        # The parser refers back to this connection: both would wait for the cyclic garbage collector.
        self._parser.close()
        del self._parser
        self._table.set_state(self, ConnectionState.DISCONNECTED)
        self._on_lost(self)
        self._drop_queue()
        self._release_request_id(self._request)
        if self.request_id:
            request_id, self.request_id = self.request_id, 0
            self._handler.on_client_disconnected(request_id)

    def pause_writing(self) -> None:
        """Serve no further requests: the client does not read the responses that it has."""
        self.write_paused = True

    def resume_writing(self) -> None:
        """Continue after ``pause_writing``."""
        self.write_paused = False
        self.serve_queue()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and serve the requests that are complete."""
        if self._input_closed:
            return
        if self.unparsed:
            self.unparsed += data
        else:
            self._parse(data)
        self.serve_queue()

    def is_disconnected(self) -> bool:
        """Whether the client has closed its side.

        While reading is paused, or before the loop reads, only the socket shows it, also behind unread bytes.
        """
        return self.transport.is_closing() or self._poll_socket(select.POLLRDHUP)

    def has_unread_data(self) -> bool:
        """Whether bytes wait in the socket: a close would lose a request that the loop has not read yet."""
        return not self.transport.is_closing() and self._poll_socket(select.POLLIN)

    def _poll_socket(self, event_mask: int) -> bool:
        poll = select.poll()
        poll.register(self._file_descriptor, event_mask)
        return bool(poll.poll(0))

    # Requests.

    def reject_input(self, response: ErrorResponse) -> None:
        """Queue a final error response and parse nothing more: where a next request begins is unknown."""
        self._input_closed = True
        self._receiving = False
        self._parser.reset()
        self.queue.append(response)

    def on_request_started(self) -> None:
        """Start the time limit of a request; that of the first one started with the connection."""
        self._receiving = True
        if self._has_received_request:
            self._request_started_at = self._table.time()

    def on_continue_expected(self) -> None:
        """Write the interim response, unless responses to earlier requests are due first."""
        if not self._serving and not self.queue:
            self.transport.write(CONTINUE_RESPONSE)

    def on_request_received(self, request: ClientRequest | HealthCheck) -> None:
        """Queue a request. Raises InvalidRequestError if one with the same id is in flight.

        Endpoints could not tell the two apart.
        """
        if isinstance(request, ClientRequest):
            open_request_ids = self._table.open_request_ids
            if request.client_request_id in open_request_ids:
                raise InvalidRequestError(HTTPStatus.CONFLICT)
            open_request_ids.add(request.client_request_id)
        self.queue.append(request)
        self._has_received_request = True
        self._receiving = False

    def on_upgrade_requested(self) -> None:
        """Serve the request normally, and close the connection after it: no upgrade is offered."""
        self._input_closed = True
        if self.queue:
            self.queue[-1].keep_alive = False

    def _parse(self, data: bytes) -> None:
        """Parse until the queue is full; the rest is kept and reading pauses until there is room again."""
        parsed = 0  # bytes
        while parsed < len(data) and not self._input_closed and len(self.queue) < MAX_QUEUED_REQUESTS:
            chunk = data[parsed : parsed + PARSE_CHUNK] if len(data) > PARSE_CHUNK else data
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
        """Serve queued requests until one has to wait for its response or the client has to act."""
        # A handler may respond at once, which calls this method again: the outer loop continues instead, so
        # that many responses in a row do not nest.
        if self._in_serve_loop:
            return
        self._in_serve_loop = True
        while not self._serving and not self.write_paused:
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
        self._serving = True
        self._table.set_state(self, ConnectionState.SERVING)
        if isinstance(request, ClientRequest):
            self._request = request
            self._handler.on_request(self, request)
        elif isinstance(request, ErrorResponse):
            self.write_response(request.status, headers=request.headers)
        elif self._handler.healthy and not self._handler.stopping:
            self.write_response(HTTPStatus.OK, b"ok\n", b"text/plain")
        else:
            self.write_response(HTTPStatus.SERVICE_UNAVAILABLE)

    def _update_state(self) -> None:
        table = self._table
        if self._serving:
            table.set_state(self, ConnectionState.SERVING)
        elif self._input_closed and not self.queue:
            table.set_state(self, ConnectionState.CLOSING)
        elif self.write_paused or (self._has_received_request and not self._receiving):
            table.set_state(self, ConnectionState.IDLE)
        elif self._receiving:
            table.set_state(self, ConnectionState.RECEIVING, self._request_started_at)

    def _release_request_id(self, request: QueuedItem | None) -> None:
        if isinstance(request, ClientRequest):
            self._table.open_request_ids.discard(request.client_request_id)

    def _drop_queue(self) -> None:
        for request in self.queue:
            self._release_request_id(request)
        self.queue.clear()
        self.unparsed = b""

    # Responses.

    def write_response(
        self, status: int, body: bytes = b"", content_type: bytes = b"", headers: bytes = b""
    ) -> None:
        """Write the final response to the request in flight, and serve the next one."""
        self.request_id = 0
        self._release_request_id(self._request)
        self._request = None
        keep_alive = self._keep_alive and self._may_keep_alive()
        self.transport.write(encode_response(status, body, content_type, headers, keep_alive))
        self._serving = False
        if not keep_alive:
            self._close_after_response()
        self.serve_queue()

    def _may_keep_alive(self) -> bool:
        """Whether the node is willing to keep the connection; what it has read is answered first."""
        if self.queue or self.unparsed:
            return True
        return not (self._handler.stopping or self._table.has_many_idle)

    def _close_after_response(self) -> None:
        """Close the sending side only; the sweep closes the rest.

        A full close with unread bytes would reset the connection, and the client could lose the response.
        """
        self._input_closed = True
        self._drop_queue()
        self._resume_reading()
        if not self.transport.is_closing() and self.transport.can_write_eof():
            self.transport.write_eof()
        else:
            self.transport.close()
