"""Connection to an upstream, on which requests are written and responses read, one attempt at a time."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import select
import socket
from http import HTTPStatus
from typing import Protocol, cast

from load_balancer.policy.events import AttemptResult
from load_balancer.proxy.clock import now_ms
from load_balancer.proxy.errors import MalformedResponseError
from load_balancer.proxy.idle_timeout import AdaptiveIdleTimeout
from load_balancer.proxy.messages import UpstreamResponse
from load_balancer.proxy.response_parser import ResponseParser
from load_balancer.proxy.upstream import Upstream
from load_balancer.proxy.upstream_attempt import UpstreamAttempt

# Status codes are plain integers here, since looking up members of HTTPStatus is slow on the request path.
STATUS_OK = HTTPStatus.OK.value
# Together with the header "Not-Started: 1", these statuses prove that the request did not run.
REJECTION_STATUSES = (HTTPStatus.SERVICE_UNAVAILABLE.value, HTTPStatus.GATEWAY_TIMEOUT.value)

logger = logging.getLogger(__name__)


class ConnectionOwner(Protocol):
    """Members of the pool that its connections use."""

    idle_timeout: AdaptiveIdleTimeout

    def release_connection(self, connection: UpstreamConnection) -> None:
        """Take back a connection whose response is complete, for reuse."""

    def remove_connection(self, connection: UpstreamConnection) -> None:
        """Remove a closed connection from the pool."""

    def end_attempt(
        self, attempt: UpstreamAttempt, result: AttemptResult, response: UpstreamResponse | None = None
    ) -> None:
        """Report the result of an attempt, with the response if it is complete."""


def attempt_result(status: int, not_started: bool) -> AttemptResult:
    """Return the result of an attempt whose response is complete."""
    if status == STATUS_OK:
        return AttemptResult.SUCCESS
    if not_started and status in REJECTION_STATUSES:
        return AttemptResult.REJECTED
    return AttemptResult.ERROR


class UpstreamConnection(asyncio.Protocol):
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
        "_idle_before_attempt_ms",
        "_owner",
        "_parser",
        "_poll",
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
        self._parser = ResponseParser()
        self._poll = select.poll()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, and register its socket for ``is_reusable``."""
        # The cast is needed, since uvloop's transports are not subclasses of asyncio's. They set TCP_NODELAY
        # themselves.
        self.transport = cast(asyncio.Transport, transport)
        self.fd = transport.get_extra_info("socket").fileno()
        self._poll.register(self.fd, select.POLLIN)

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection from the pool, and end the attempt in flight as RESET."""
        self.release_parser()
        self._owner.remove_connection(self)
        if (attempt := self.attempt) is not None:
            # The result is never CONNECT_FAILED: even if the transport's buffer still holds data, the
            # upstream may have received the request and run it.
            self.attempt = None
            alive = self._parser.bytes_received > 0
            self._owner.idle_timeout.record_reuse(self._idle_before_attempt_ms, alive)
            self._owner.end_attempt(attempt, AttemptResult.RESET)

    def release_parser(self) -> None:
        """Free the parser once the connection is closed or could not be opened."""
        self._parser.close()

    def is_reusable(self) -> bool:
        """Return whether the connection is open with nothing to read, neither data nor end of file.

        Data that followed the last response and that the event loop has not read yet would be taken for the
        next response.
        """
        return not self.transport.is_closing() and not self._poll.poll(0)

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
        self._parser.start_response()
        remaining_ms = max(1, int(attempt.deadline - now_ms()))
        request = attempt.request
        request.was_sent = True
        self.transport.write(b"%bRequest-Timeout: %dm\r\n\r\n%b" % (request.head, remaining_ms, request.body))

    def data_received(self, data: bytes) -> None:
        """Parse response data, and end the attempt once its response is complete or malformed."""
        attempt = self.attempt
        if attempt is None:
            # No request is in flight: the data would be taken for the response to the next request.
            self.transport.abort()
            return
        try:
            self._parser.feed(data)
        except MalformedResponseError as error:
            self._fail_attempt(attempt, error)
            return
        if self._parser.complete:
            self._complete_attempt(attempt)

    def _fail_attempt(self, attempt: UpstreamAttempt, error: MalformedResponseError) -> None:
        self.attempt = None
        self.shutdown_now()
        logger.warning("upstream %s:%d: malformed response: %s", *self.upstream.target.address, error)
        self._owner.end_attempt(attempt, AttemptResult.ERROR)

    def _complete_attempt(self, attempt: UpstreamAttempt) -> None:
        self.attempt = None
        parser = self._parser
        self._owner.idle_timeout.record_reuse(self._idle_before_attempt_ms, True)
        response = parser.response()
        if parser.keep_alive and not parser.has_excess_data:
            self._owner.release_connection(self)
        else:
            self.transport.close()
        # The attempt is ended last, since the call may start the request's next attempt or another request.
        self._owner.end_attempt(attempt, attempt_result(response.status, parser.not_started), response)
