"""Input of one client connection: requests received, in order, and what is incomplete or not parsed yet."""

from __future__ import annotations

from http import HTTPStatus
from typing import Protocol

from load_balancer.proxy.client_request import (
    ClientRequest,
    ErrorResponse,
    HealthCheck,
    QueuedItem,
    ShedRequests,
)
from load_balancer.proxy.errors import InvalidRequestError
from load_balancer.proxy.request_ids import RequestIds
from load_balancer.proxy.request_parser import RequestParser
from load_balancer.proxy.request_validation import RequestValidator

MAX_QUEUED_REQUESTS = 8  # per connection; with this many pipelined requests, parsing pauses
PARSE_CHUNK_SIZE = 4096  # bytes parsed at a time, since a single read may hold hundreds of requests


class InputObserver(Protocol):
    """Is told of requests while they are received."""

    def on_request_started(self) -> None:
        """Handle the first byte of a request."""

    def on_continue_expected(self) -> None:
        """Handle a request whose client sends the body after an interim response."""


class ClientInput:
    """Parses the input of a connection into a queue of requests, and keeps what it can't parse yet.

    While it sheds requests, it keeps none: each complete one adds to the last ``ShedRequests`` of the queue.
    ``close`` must be called when the connection ends.

    Args:
        validator: Validator of parsed requests.
        request_ids: Request-Id values that are in use on any connection.
        observer: Is told of requests while they are received.
    """

    __slots__ = (
        "_observer",
        "_parser",
        "_queued_bytes",
        "_request_ids",
        "_validator",
        "has_partial_request",
        "has_received_request",
        "is_closed",
        "is_shedding",
        "queue",
        "unparsed",
    )

    def __init__(self, validator: RequestValidator, request_ids: RequestIds, observer: InputObserver) -> None:
        self.queue: list[QueuedItem] = []
        """Complete requests, and responses to those that were not kept."""
        self.unparsed = bytearray()
        """Data received while the queue was full."""
        self.is_closed = False
        """Whether further input is discarded."""
        self.is_shedding = False
        """Whether requests are counted, not kept, since the input does not fit the memory budget."""
        self.has_partial_request = False
        """Whether only a part of a request has been received."""
        self.has_received_request = False
        """Whether a complete request has been received."""
        self._queued_bytes = 0
        self._parser: RequestParser | None = None  # exists only while it is needed, to save memory
        self._validator = validator
        self._request_ids = request_ids
        self._observer: InputObserver | None = observer

    @property
    def held_bytes(self) -> int:
        """Bytes held by the queue, the unparsed data and the partial request."""
        partial = self._parser.held_bytes if self._parser is not None else 0
        return self._queued_bytes + len(self.unparsed) + partial

    @property
    def partial_bytes(self) -> int:
        """Bytes held by the partial request."""
        return self._parser.held_bytes if self._parser is not None else 0

    @property
    def can_parse(self) -> bool:
        """Whether there is unparsed data and room in the queue for more requests."""
        return bool(self.unparsed) and self._has_room()

    def receive(self, data: memoryview) -> None:
        """Parse at most ``PARSE_CHUNK_SIZE`` bytes of received data, or keep them if the queue is full."""
        if self.is_closed:
            return
        if self.unparsed or not self._has_room():
            self.unparsed += data
        else:
            self._parse(data)

    def parse_more(self) -> None:
        """Parse a part of the unparsed data."""
        chunk = bytes(self.unparsed[:PARSE_CHUNK_SIZE])
        del self.unparsed[:PARSE_CHUNK_SIZE]
        self._parse(chunk)

    def take(self) -> QueuedItem:
        """Remove and return the first item of the queue."""
        item = self.queue.pop(0)
        self._queued_bytes -= item.held_bytes
        return item

    def reject(self, response: ErrorResponse) -> None:
        """Queue an error response and discard further input, as the start of the next request is unknown."""
        self.discard_further()
        self.has_partial_request = False
        self._append(response)

    def shed(self) -> None:
        """Give up what is held: requests that wait and those to come, or else the partial request only."""
        if self.queue or self.unparsed:
            self._start_shedding()
            return
        assert self._parser is not None
        if self._parser.is_head_complete:
            self._parser.discard_request()
        else:
            self.reject(self._validator.overload_response(keep_alive=False))

    def stop_shedding(self) -> None:
        """Keep the requests that start from now on."""
        self.is_shedding = False
        if self._parser is not None:
            self._parser.discards_all = False
            if not self.has_partial_request:
                self._parser.reset()

    def discard_further(self) -> None:
        """Discard the partial request, unparsed data and further input, but not the queue."""
        self.is_closed = True
        self.unparsed = bytearray()
        self._drop_parser()

    def discard_queue(self) -> None:
        """Discard the requests that wait, and all further input."""
        self.discard_further()
        for item in self.queue:
            self._release_id(item)
        self.queue.clear()
        self._queued_bytes = 0

    def close(self) -> None:
        """Discard everything, and break the reference cycle with the observer."""
        self.discard_queue()
        self._observer = None

    def free_idle_parser(self) -> None:
        """Free the parser if nothing of a next request has been received; it is made anew when needed."""
        parser = self._parser
        if parser is not None and not self.has_partial_request and not parser.size and not self.unparsed:
            self._drop_parser()

    def _has_room(self) -> bool:
        return self.is_shedding or len(self.queue) < MAX_QUEUED_REQUESTS

    def _parse(self, chunk: bytes | memoryview) -> None:
        if self._parser is None:
            self._parser = RequestParser(self._validator, self)
            self._parser.discards_all = self.is_shedding
            self._parser.reset()
        error = self._parser.feed(chunk)
        if error is not None:
            self.reject(error)

    def _drop_parser(self) -> None:
        # The parser is closed to break its reference cycle, which only the garbage collector would free.
        if self._parser is not None:
            self._parser.close()
            self._parser = None

    def _append(self, item: QueuedItem) -> None:
        self.queue.append(item)
        self._queued_bytes += item.held_bytes

    def _start_shedding(self) -> None:
        self.is_shedding = True
        waiting, self.queue = self.queue, []
        self._queued_bytes = 0
        for item in waiting:
            if isinstance(item, ClientRequest):
                self._release_id(item)
                self._append_shed(item.keep_alive)
            else:
                self._append(item)
        if self._parser is not None:
            self._parser.discards_all = True
            self._parser.discard_request()

    def _append_shed(self, keep_alive: bool) -> None:
        if not keep_alive:
            self._append(self._validator.overload_response(keep_alive=False))
        elif self.queue and isinstance(self.queue[-1], ShedRequests):
            self.queue[-1].count += 1
        else:
            self._append(ShedRequests())

    def _release_id(self, item: QueuedItem) -> None:
        if isinstance(item, ClientRequest):
            self._request_ids.release(item.client_request_id)

    # RequestReceiver: called by the parser.

    def on_request_started(self) -> None:
        """Tell the observer."""
        self.has_partial_request = True
        if self._observer is not None:
            self._observer.on_request_started()

    def on_continue_expected(self) -> None:
        """Tell the observer, unless responses to earlier requests have to be written first."""
        if self._observer is not None and not self.queue:
            self._observer.on_continue_expected()

    def on_request_received(self, request: ClientRequest | HealthCheck) -> None:
        """Queue a request.

        Raises:
            InvalidRequestError: A request with the same Request-Id is open, on any connection, or may run
                although its client has left; endpoints could not tell the two apart.
        """
        if isinstance(request, ClientRequest) and not self._request_ids.open(request.client_request_id):
            raise InvalidRequestError(HTTPStatus.CONFLICT)
        self._append(request)
        self.has_received_request = True
        self.has_partial_request = False

    def on_request_discarded(self, keep_alive: bool) -> None:
        """Queue the rejection of a request that was not kept."""
        self._append_shed(keep_alive)
        self.has_received_request = True
        self.has_partial_request = False
