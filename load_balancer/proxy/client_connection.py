"""Client connection: reads requests, serves them one at a time and writes the responses."""

from __future__ import annotations

import asyncio
import time
from http import HTTPStatus
from typing import cast

from load_balancer.proxy.client_context import ERROR_RESPONSES, NOT_READING, SHED_REQUESTS, ClientContext
from load_balancer.proxy.client_input import ClientInput
from load_balancer.proxy.client_request import ClientRequest, ErrorResponse, QueuedItem, ShedRequests
from load_balancer.proxy.client_response import CONTINUE_RESPONSE, encode_response
from load_balancer.proxy.connection_table import ConnectionState
from load_balancer.proxy.memory_budget import MemoryAccount, nothing_to_release
from load_balancer.proxy.read_scheduler import ReadUsage
from load_balancer.proxy.socket_reader import MAX_HIDDEN_CLOSE_S, ClientPresence, SocketReader

# Size of the write buffer from which on the client has to read before further requests are served.
WRITE_BUFFER_LIMIT = 16384
SHED_RESPONSES_PER_WRITE = 64
CONNECTION_BYTES = 2600  # memory of the objects of a connection with an incomplete request
SHORT_INPUT_BYTES = 2048  # input that is kept even if it does not fit the memory budget


class ClientConnection(asyncio.BufferedProtocol):
    """Accepted connection of a client, until it is lost.

    Requests are served one at a time, in order; those that don't fit the memory budget are rejected with 503.
    Input is read all the time, since unread input would hide that the client has left.
    """

    __slots__ = (
        "__weakref__",
        "_account",
        "_context",
        "_has_turn_coming",
        "_in_serve_loop",
        "_keep_alive",
        "_request_in_flight",
        "_request_started_at",
        "_response_pending",
        "_shed_at",
        "_usage",
        "input",
        "reader",
        "request_id",
        "state",
        "transport",
        "write_paused",
    )

    transport: asyncio.Transport
    reader: SocketReader

    def __init__(self, context: ClientContext) -> None:
        self.state = ConnectionState.DISCONNECTED
        self.request_id = 0
        """Id of the request in flight, set by the handler, or 0 if there is none."""
        self.input = ClientInput(context.validator, context.table.request_ids, self)
        self.write_paused = False
        """Whether the write buffer is full because the client does not read its responses."""
        self._context = context
        self._account = MemoryAccount(context.budget, self._release_memory)
        self._usage = ReadUsage()
        self._request_in_flight: ClientRequest | None = None
        self._response_pending = False  # whether a request (valid or not) or health check awaits a response
        self._keep_alive = True  # whether the client wants the connection kept open after the response
        self._in_serve_loop = False
        self._has_turn_coming = False  # whether the scheduler will call take_turn
        self._request_started_at = 0.0  # s on the loop's clock; for the first request, time of connection
        self._shed_at = 0.0  # time in s at which input was last received while requests are shed

    # Connection events.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Initialize the state; the connection waits for its first request."""
        # The cast is needed: uvloop's transports, which set TCP_NODELAY, don't derive from asyncio's.
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=WRITE_BUFFER_LIMIT)
        self._account.resize(CONNECTION_BYTES)
        self.reader = SocketReader(self.transport, self._context.table.time)
        self._request_started_at = self._context.table.time()
        self._context.table.set_state(self, ConnectionState.CONNECTED, self._request_started_at)

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop queued requests and notify the handler if a request is in flight."""
        self._context.table.set_state(self, ConnectionState.DISCONNECTED)
        self._context.on_lost(self)
        self.input.close()
        if self.request_id:
            request_id, self.request_id = self.request_id, 0
            self._context.handler.on_client_disconnected(request_id)
        self._release_request_id()
        self._request_in_flight = None
        self._account.resize(0)
        self._account.release = nothing_to_release  # breaks the reference cycle with the account

    def pause_writing(self) -> None:
        """Stop serving requests: the write buffer is full because the client does not read its responses."""
        self.write_paused = True

    def resume_writing(self) -> None:
        """Resume serving requests after ``pause_writing``."""
        self.write_paused = False
        self.serve_queue()
        if not self._has_turn_coming:
            self.reader.resume()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return self._context.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse received data and serve the requests that are complete."""
        context = self._context
        self.reader.record_read(has_filled_buffer=nbytes == len(context.read_buffer))
        self._end_shedding_after_pause()
        started_at = time.monotonic()
        self.input.receive(context.read_buffer[:nbytes])
        self._serve_parsed(time.monotonic() - started_at)

    def take_turn(self) -> None:
        """Parse a part of what is not parsed yet, or read on; called by the scheduler."""
        self._has_turn_coming = False
        if self.transport.is_closing():
            return
        if not self.input.can_parse:
            if not self.write_paused:
                self.reader.resume()
            return
        started_at = time.monotonic()
        self.input.parse_more()
        self._serve_parsed(time.monotonic() - started_at)

    def _serve_parsed(self, parse_time: float) -> None:
        """Serve requests; wait for a turn if parsing has taken too much time or not all input is parsed."""
        self.serve_queue()
        exceeds_share = self._usage.add(parse_time)
        if self.write_paused:
            self.reader.pause()
        elif exceeds_share or self.input.can_parse:
            self._context.scheduler.record(parse_time)
            self._wait_for_turn()
        elif not self._has_turn_coming:
            self.reader.resume()

    def _wait_for_turn(self) -> None:
        if not self._has_turn_coming and not self.transport.is_closing():
            self._has_turn_coming = True
            self.reader.pause()
            self._context.scheduler.add(self)

    def presence(self) -> ClientPresence:
        """Return whether the client still waits for the response to the request in flight."""
        presence = self.reader.presence()
        if presence is ClientPresence.CONNECTED and self.input.is_shedding:
            has_paused = self._context.table.time() > self._shed_at + MAX_HIDDEN_CLOSE_S
            return ClientPresence.CONNECTED if has_paused else ClientPresence.UNKNOWN
        return presence

    # InputObserver: called by the input.

    def on_request_started(self) -> None:
        """Start the timeout of a request; the timeout of the first started with the connection."""
        if self.input.has_received_request:
            self._request_started_at = self._context.table.time()

    def on_continue_expected(self) -> None:
        """Write a 100 Continue response, unless a response to an earlier request has to be written first."""
        if not self._response_pending:
            self.transport.write(CONTINUE_RESPONSE)

    # Memory.

    def update_memory(self) -> None:
        """Account for the memory held now, and shed requests if it does not fit the budget."""
        size = self._held_bytes()
        if self._account.try_resize(size):
            return
        if self.input.held_bytes > SHORT_INPUT_BYTES and not self.input.is_shedding:
            self.input.shed()
            self._shed_at = self._context.table.time()
            self.serve_queue()
        self._account.resize(self._held_bytes())

    def _held_bytes(self) -> int:
        in_flight = self._request_in_flight.held_bytes if self._request_in_flight is not None else 0
        unsent = self.transport.get_write_buffer_size()
        return CONNECTION_BYTES + self.input.held_bytes + in_flight + unsent

    def _release_memory(self) -> bool:
        """Give up a request that the client does not complete, or the responses that it does not read."""
        if self.write_paused:
            if self._held_bytes() < self._account.size:  # the client has read something
                self.update_memory()
                return False
            self._context.counts[NOT_READING] += 1
            self.transport.abort()
            self._account.resize(0)
            return True
        if not self.input.has_partial_request or self.input.partial_bytes <= SHORT_INPUT_BYTES:
            return False
        if self.reader.has_unread_data():  # the client has gone on
            return False
        self.reject_input(self._context.validator.overload_response(keep_alive=False))
        return True

    def _end_shedding_after_pause(self) -> None:
        """Keep requests again once the input that did not fit is used up and the client has paused."""
        if not self.input.is_shedding:
            return
        now = self._context.table.time()
        if now > self._shed_at + MAX_HIDDEN_CLOSE_S and not self.input.unparsed:
            self.input.stop_shedding()
        self._shed_at = now

    # Requests.

    def reject_input(self, response: ErrorResponse) -> None:
        """Respond to an incomplete or invalid request, and discard further input."""
        self.input.reject(response)
        self.serve_queue()

    def serve_queue(self) -> None:
        """Serve queued requests until one waits for its response or the client has to act."""
        # A handler may respond immediately, which calls this method again. That call returns at once and the
        # loop below continues, so that many responses in a row do not recurse.
        if self._in_serve_loop:
            return
        self._in_serve_loop = True
        has_parsed = False
        while not self._response_pending and not self.write_paused:
            if self.input.queue:
                if not self._serve_next():
                    break
            elif self.input.can_parse and not has_parsed:
                has_parsed = True
                self.input.parse_more()
            else:
                break
        self._in_serve_loop = False
        if self.input.can_parse and not self.write_paused:
            self._wait_for_turn()
        self._update_state()
        self.update_memory()

    def _serve_next(self) -> bool:
        """Serve the first item of the queue; return False if input has to be read first."""
        item = self.input.queue[0]
        if isinstance(item, ShedRequests):
            self._respond_to_shed(item)
            return True
        if isinstance(item, ClientRequest) and self.reader.has_to_read():
            # The input may end with the close of the connection, after which no attempt may begin.
            if not self._has_turn_coming:
                self.reader.resume()
            return False
        self._serve(self.input.take())
        return True

    def _serve(self, request: QueuedItem) -> None:
        self._keep_alive = request.keep_alive
        self._response_pending = True
        self._context.table.set_state(self, ConnectionState.SERVING)
        handler = self._context.handler
        if isinstance(request, ClientRequest):
            self._request_in_flight = request
            handler.on_request(self, request)
        elif isinstance(request, ErrorResponse):
            self._context.counts[f"{ERROR_RESPONSES} {request.status}"] += 1
            self.write_response(request.status, headers=request.headers)
        elif handler.healthy and not handler.shutting_down:
            self.write_response(HTTPStatus.OK, b"ok\n", b"text/plain")
        else:
            self.write_response(HTTPStatus.SERVICE_UNAVAILABLE)

    def _respond_to_shed(self, shed: ShedRequests) -> None:
        # The timeout of the next request must not count from the start of this one.
        self._context.table.set_state(self, ConnectionState.SERVING)
        count = min(shed.count, SHED_RESPONSES_PER_WRITE)
        shed.count -= count
        self._context.counts[SHED_REQUESTS] += count
        if not shed.count:
            self.input.take()
        response = self._context.validator.overload_response(keep_alive=True)
        encoded = encode_response(response.status, b"", b"", response.headers, keep_alive=True)
        self.transport.write(encoded * count)

    def _update_state(self) -> None:
        table, received = self._context.table, self.input
        if self._response_pending:
            table.set_state(self, ConnectionState.SERVING)
        elif received.is_closed and not received.queue:
            table.set_state(self, ConnectionState.CLOSING)
        elif self.write_paused or (received.has_received_request and not received.has_partial_request):
            table.set_state(self, ConnectionState.IDLE)
        elif received.has_partial_request:
            table.set_state(self, ConnectionState.RECEIVING, self._request_started_at)

    # Responses.

    def write_response(
        self, status: int, body: bytes | bytearray = b"", content_type: bytes = b"", headers: bytes = b""
    ) -> None:
        """Write the final response to the current request, and serve the next one.

        Args:
            status: Status code.
            body: Response body.
            content_type: Value of the Content-Type header; empty to omit the header.
            headers: Additional header lines, each ending in CRLF.
        """
        self.request_id = 0
        self._release_request_id()
        self._request_in_flight = None
        keep_alive = self._keep_alive and self._may_keep_alive()
        self.transport.write(encode_response(status, body, content_type, headers, keep_alive))
        self._response_pending = False
        if not keep_alive:
            self._close_after_response()
        self.serve_queue()

    def retire_request_id(self) -> None:
        """Reject further requests with the id of the request in flight, which may run without its client."""
        if self._request_in_flight is not None:
            self._context.table.request_ids.retire(self._request_in_flight.client_request_id)

    def _release_request_id(self) -> None:
        if (request := self._request_in_flight) is not None:
            self._context.table.request_ids.release(request.client_request_id)
            if request.must_run_once and request.message.was_sent:
                self.retire_request_id()

    def _may_keep_alive(self) -> bool:
        """Whether the node keeps the connection open; what the client has sent is served first."""
        if self.input.queue or self.input.unparsed or self.input.has_partial_request:
            return True
        wants_close = self._context.handler.shutting_down or self._context.table.has_many_idle
        return not wants_close or (not self.input.is_closed and self.reader.has_unread_data())

    def _close_after_response(self) -> None:
        """Close the sending side only; the listener's sweep closes the connection later."""
        # A close with unread data would reset the connection, and the client could lose the response.
        self.input.discard_queue()
        self.reader.resume()
        if not self.transport.is_closing() and self.transport.can_write_eof():
            self.transport.write_eof()
        else:
            self.transport.close()
