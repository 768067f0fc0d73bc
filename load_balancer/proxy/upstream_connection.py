"""Connection to an upstream, on which requests are written and responses read, one attempt at a time."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import select
import socket
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Protocol, cast

from load_balancer.policy.events import AttemptResult
from load_balancer.proxy.attempt_results import RESPONSES_WITHOUT_LENGTH, attempt_result, loss_counter
from load_balancer.proxy.clock import now_ms
from load_balancer.proxy.errors import ResponseMemoryError, UpstreamResponseError
from load_balancer.proxy.idle_timeout import AdaptiveIdleTimeout
from load_balancer.proxy.memory_budget import SMALL_BYTES, MemoryAccount, MemoryBudget, nothing_to_release
from load_balancer.proxy.messages import UpstreamResponse
from load_balancer.proxy.read_scheduler import ReadScheduler, ReadUsage
from load_balancer.proxy.response_parser import ResponseParser
from load_balancer.proxy.upstream import Upstream
from load_balancer.proxy.upstream_attempt import UpstreamAttempt

READ_BUFFER_SIZE = 8192  # bytes of one read
CONNECTION_BYTES = 2500  # memory of the objects of an idle connection
ATTEMPT_BYTES = 4000  # memory of the objects of a request and its attempt

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class UpstreamResources:
    """What all upstream connections of a node share with each other and with the client connections."""

    budget: MemoryBudget
    scheduler: ReadScheduler
    read_buffer: memoryview = field(default_factory=lambda: memoryview(bytearray(READ_BUFFER_SIZE)))
    """Buffer for one read, whose data is parsed before the next read of any connection."""


class ConnectionOwner(Protocol):
    """Members of the pool that its connections use."""

    counts: Counter[str]
    idle_timeout: AdaptiveIdleTimeout
    resources: UpstreamResources

    def release_connection(self, connection: UpstreamConnection) -> None:
        """Take back a connection whose response is complete, for reuse."""

    def remove_connection(self, connection: UpstreamConnection) -> None:
        """Remove a closed connection from the pool."""

    def end_attempt(
        self, attempt: UpstreamAttempt, result: AttemptResult, response: UpstreamResponse | None = None
    ) -> None:
        """Report the result of an attempt, with the response if it is complete."""


class UpstreamConnection(asyncio.BufferedProtocol):
    """A connection that carries one attempt at a time, and reports its result to the pool.

    Attributes:
        upstream: The upstream at the other end.
        target_version: ``Upstream.target_version`` when the connection was opened.
        attempt: The attempt in flight, if any.
        idle_since: Time in ms at which the connection was last released to the pool; 0 before that.
        transport: The transport; set in ``connection_made``.
        fd: File descriptor of the socket; set in ``connection_made``.
    """

    __slots__ = (
        "__weakref__",
        "_account",
        "_has_turn_coming",
        "_idle_before_attempt_ms",
        "_owner",
        "_parser",
        "_usage",
        "attempt",
        "fd",
        "idle_since",
        "target_version",
        "transport",
        "upstream",
    )

    transport: asyncio.Transport
    fd: int

    def __init__(self, owner: ConnectionOwner, upstream: Upstream) -> None:
        self.upstream = upstream
        self.target_version = upstream.target_version
        self.attempt: UpstreamAttempt | None = None
        self.idle_since = 0.0
        self._idle_before_attempt_ms = 0.0
        self._owner = owner
        self._parser: ResponseParser | None = None  # made when it is needed, to save memory
        self._account = MemoryAccount(owner.resources.budget, self._give_up_response)
        self._usage = ReadUsage()
        self._has_turn_coming = False  # whether the scheduler will call take_turn

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and its descriptor."""
        # The cast is needed, since uvloop's transports are not subclasses of asyncio's. They set TCP_NODELAY
        # themselves.
        self.transport = cast(asyncio.Transport, transport)
        self.fd = transport.get_extra_info("socket").fileno()

    def eof_received(self) -> None:
        """Complete a response that gives no length; the transport then closes the connection.

        A reset is no end of a response: it calls only ``connection_lost``.
        """
        attempt, parser = self.attempt, self._parser
        if attempt is None or parser is None:
            return
        parser.end()
        if parser.complete:
            self._owner.counts[RESPONSES_WITHOUT_LENGTH] += 1
            self._complete_attempt(attempt, parser)

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection from the pool, and end the attempt in flight as RESET."""
        alive = self._parser is not None and self._parser.bytes_received > 0
        self.free_parser()
        self._account.resize(0)
        self._account.release = nothing_to_release  # breaks the reference cycle with the account
        self._owner.remove_connection(self)
        if (attempt := self.attempt) is not None:
            # The result is never CONNECT_FAILED: even if the transport's buffer still holds data, the
            # upstream may have received the request and run it.
            self.attempt = None
            self._owner.idle_timeout.record_reuse(self._idle_before_attempt_ms, alive)
            self._owner.counts[loss_counter(has_response=alive, is_reset=exc is not None)] += 1
            self._owner.end_attempt(attempt, AttemptResult.RESET)

    def free_parser(self) -> None:
        """Free the parser of a connection that is idle or lost."""
        if self._parser is not None:
            self._parser.close()
            self._parser = None

    def is_reusable(self) -> bool:
        """Return whether the connection is open with nothing to read, neither data nor end of file.

        Data that followed the last response and that the event loop has not read yet would be taken for the
        next response.
        """
        if self.transport.is_closing():
            return False
        poll = select.poll()
        poll.register(self.fd, select.POLLIN)
        return not poll.poll(0)

    def shutdown_now(self) -> None:
        """Shut the socket down before returning, and abort the transport.

        The transport itself closes the socket only in the next loop iteration. By then the request's next
        attempt may have been written, and the request would be in flight twice.
        """
        if not self.transport.is_closing():
            sock = socket.socket(fileno=self.fd)
            with contextlib.suppress(OSError):  # the upstream has closed the connection already
                sock.shutdown(socket.SHUT_RDWR)
            sock.detach()  # the transport owns the descriptor
        self.transport.abort()

    def send(self, attempt: UpstreamAttempt) -> None:
        """Write the request of an attempt."""
        self.attempt = attempt
        self._idle_before_attempt_ms = attempt.started_at - self.idle_since if self.idle_since else 0.0
        attempt.connection = self
        if self._parser is None:
            self._parser = ResponseParser()
        self._parser.start_response()
        remaining_ms = max(1, int(attempt.deadline - now_ms()))
        request = attempt.request
        request.was_sent = True
        self._account.resize(CONNECTION_BYTES + ATTEMPT_BYTES)
        head = b"%bRequest-Timeout: %dm\r\n\r\n" % (request.head, remaining_ms)
        self.transport.writelines((head, request.body) if request.body else (head,))

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return self._owner.resources.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse response data, and end the attempt once its response is complete or malformed."""
        attempt = self.attempt
        if attempt is None or self._parser is None:
            # No request is in flight: the data would be taken for the response to the next request.
            self.transport.abort()
            return
        started_at = time.monotonic()
        try:
            self._parser.feed(self._owner.resources.read_buffer[:nbytes])
            self._check_memory(self._parser)
        except UpstreamResponseError as error:
            self._fail_attempt(attempt, error)
            return
        if self._parser.complete:
            self._complete_attempt(attempt, self._parser)
        else:
            self._wait_if_busy(time.monotonic() - started_at)

    def _check_memory(self, parser: ResponseParser) -> None:
        """Account for the response so far; a short one is always kept.

        Raises:
            ResponseMemoryError: It does not fit the memory budget.
        """
        size = CONNECTION_BYTES + ATTEMPT_BYTES + parser.held_bytes
        if size <= SMALL_BYTES:
            self._account.resize(size)
        elif not self._account.try_resize(size):
            raise ResponseMemoryError

    def _wait_if_busy(self, parse_time: float) -> None:
        """Wait for a turn if parsing has taken too much time."""
        exceeds_share = self._usage.add(parse_time)
        if exceeds_share and not self._has_turn_coming and not self.transport.is_closing():
            self._has_turn_coming = True
            self.transport.pause_reading()
            self._owner.resources.scheduler.record(parse_time)
            self._owner.resources.scheduler.add(self)

    def take_turn(self) -> None:
        """Read on; called by the scheduler."""
        self._has_turn_coming = False
        if not self.transport.is_closing():
            self.transport.resume_reading()

    def _give_up_response(self) -> bool:
        """End an attempt whose response has stopped half way, to free its memory."""
        attempt = self.attempt
        if attempt is None or not self.is_reusable():  # unread data: the upstream has gone on
            return False
        self._fail_attempt(attempt, ResponseMemoryError())
        return True

    def _fail_attempt(self, attempt: UpstreamAttempt, error: UpstreamResponseError) -> None:
        self.attempt = None
        self.shutdown_now()
        self.free_parser()
        self._account.resize(CONNECTION_BYTES)
        logger.warning("upstream %s:%d: %s", *self.upstream.target.address, error)
        self._owner.end_attempt(attempt, AttemptResult.ERROR)

    def _complete_attempt(self, attempt: UpstreamAttempt, parser: ResponseParser) -> None:
        self.attempt = None
        self._owner.idle_timeout.record_reuse(self._idle_before_attempt_ms, True)
        response = parser.response()
        self._account.resize(CONNECTION_BYTES)
        if parser.keep_alive and not parser.has_excess_data:
            self._owner.release_connection(self)
        else:
            self.transport.close()
        # The attempt is ended last, since the call may start the request's next attempt or another request.
        self._owner.end_attempt(attempt, attempt_result(response.status, parser.not_started), response)
