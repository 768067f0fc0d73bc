"""Pool of upstream connections, and the attempts in flight on them."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from dataclasses import dataclass
from typing import Protocol

from load_balancer.policy.endpoints import EndpointState
from load_balancer.policy.events import AttemptResult
from load_balancer.proxy.clock import now_ms
from load_balancer.proxy.idle_timeout import AdaptiveIdleTimeout
from load_balancer.proxy.messages import UpstreamRequest, UpstreamResponse
from load_balancer.proxy.upstream import Upstream, UpstreamTarget
from load_balancer.proxy.upstream_attempt import UpstreamAttempt
from load_balancer.proxy.upstream_connection import (
    ATTEMPT_BYTES,
    CONNECTION_BYTES,
    UpstreamConnection,
    UpstreamResources,
)

# Time from an attempt's deadline to its abort, so that the event loop reads all sockets once more.
LAST_READ_DELAY_S = 0.001
REAP_INTERVAL_S = 1.0

# Names of the counters in the log.
CONNECTS_STARTED = "connects started"
IDLE_CONNECTIONS_DISCARDED = "idle connections discarded"
CONNECTIONS_REUSED = "connections reused"

AttemptKey = tuple[int, int]  # request id, number of the attempt within the request

logger = logging.getLogger(__name__)


@dataclass(slots=True, frozen=True)
class PoolLimits:
    """Limits for the connections to upstreams."""

    connect_timeout: float
    """Time limit for opening a connection, in ms."""
    idle_timeout: float
    """Configured time after which upstreams close an idle connection, in ms."""
    max_connections: int
    """Maximum number of connections, open or being opened, to all upstreams together."""


class AttemptHandler(Protocol):
    """Methods of the node that the pool calls."""

    def find_target(self, endpoint_id: int) -> UpstreamTarget:
        """Return the ``UpstreamTarget`` of an endpoint in the current endpoint list.

        Raises:
            KeyError: The list has no such endpoint.
        """

    def check_client_before_send(self, attempt: UpstreamAttempt) -> bool:
        """Return whether the client is still connected; called when a new connection for an attempt is open.

        If the client has disconnected, the handler calls ``cancel_unsent`` for the attempt before it returns.
        """

    def on_attempt_ended(
        self, attempt: UpstreamAttempt, result: AttemptResult, response: UpstreamResponse | None
    ) -> None:
        """Handle the result of an attempt, with the response if it is complete."""


class UpstreamPool:
    """Sends attempts on pooled connections.

    A connection is not reused if any of these holds:

    - its last response asked to close it or was followed by excess data;
    - its upstream is not ready, or the target has changed since the connection was opened;
    - it has been idle for less than ``REUSE_DELAY_MS``, or for longer than the adaptive idle timeout;
    - it is closed or has unread data.

    The timer that reaps idle connections runs until the event loop ends.

    Args:
        loop: The event loop.
        limits: Limits for the connections.
        handler: Receives the result of each attempt, from a callback of the event loop or from within
            ``cancel`` or ``cancel_unsent``.
        resources: What the connections share.

    Attributes:
        upstreams: Upstreams with attempts in flight or idle connections, by endpoint id.
        attempts: Attempts in flight, by request id and number.
        connections: Open connections, without those being opened, which ``pending_connects`` counts.
        pending_connects: Number of connections being opened.
        counts: Counters of connection events, which the metrics reporter clears after each report.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        limits: PoolLimits,
        handler: AttemptHandler,
        resources: UpstreamResources,
    ) -> None:
        self.loop = loop
        self.resources = resources
        self.connect_timeout = limits.connect_timeout
        self.max_connections = limits.max_connections
        self.idle_timeout = AdaptiveIdleTimeout(limits.idle_timeout)
        self.handler = handler
        self.upstreams: dict[int, Upstream] = {}
        self.attempts: dict[AttemptKey, UpstreamAttempt] = {}
        self.connections: set[UpstreamConnection] = set()
        self.pending_connects = 0
        self.counts: Counter[str] = Counter()
        self.loop.call_later(REAP_INTERVAL_S, self.reap_idle_connections)

    def update_target(self, endpoint_id: int, target: UpstreamTarget) -> None:
        """Apply a new target of an endpoint, if the pool has attempts or connections to it."""
        upstream = self.upstreams.get(endpoint_id)
        if upstream is not None and upstream.target != target:
            upstream.set_target(target)
            self._remove_if_unused(upstream)

    def send(
        self, request_id: int, number: int, endpoint_id: int, timeout: float, request: UpstreamRequest
    ) -> None:
        """Start an attempt that ends after ``timeout`` ms at the latest.

        Raises:
            KeyError: The endpoint list has no such endpoint.
        """
        upstream = self.upstreams.get(endpoint_id)
        if upstream is None:
            upstream = Upstream(endpoint_id, self.handler.find_target(endpoint_id))
            self.upstreams[endpoint_id] = upstream
        now = now_ms()
        attempt = UpstreamAttempt(
            request_id, number, upstream, upstream.target_version, request, now, now + timeout
        )
        self.attempts[request_id, number] = attempt
        upstream.attempts_in_flight += 1
        attempt.timer = self.loop.call_later(max(0.0, timeout) / 1000, self._on_deadline, attempt)
        connection = self._take_idle_connection(upstream, now)
        if connection is not None:
            connection.send(attempt)
        else:
            attempt.connect_task = self.loop.create_task(self._connect(attempt))

    def cancel(self, request_id: int, number: int) -> None:
        """Abort an attempt as CANCELLED, if it is in flight."""
        attempt = self.attempts.get((request_id, number))
        if attempt is not None:
            self._abort_attempt(attempt, AttemptResult.CANCELLED)

    def cancel_unsent(self, request_id: int, number: int) -> None:
        """Abort an attempt whose connection is still being opened, so that its request is not sent.

        Unlike ``cancel``, this is also allowed in deployments where attempts must not be cancelled.
        """
        attempt = self.attempts.get((request_id, number))
        if attempt is not None and attempt.connection is None:
            self._abort_attempt(attempt, AttemptResult.NOT_SENT)

    def end_attempt(
        self, attempt: UpstreamAttempt, result: AttemptResult, response: UpstreamResponse | None = None
    ) -> None:
        """Remove an attempt and report its result to the handler; do nothing if it has ended already."""
        if self.attempts.pop((attempt.request_id, attempt.number), None) is None:
            return
        if attempt.timer is not None:
            attempt.timer.cancel()
        attempt.connect_task = attempt.connection = None
        attempt.upstream.attempts_in_flight -= 1
        self._remove_if_unused(attempt.upstream)
        self.handler.on_attempt_ended(attempt, result, response)

    def release_connection(self, connection: UpstreamConnection) -> None:
        """Keep a connection for reuse, or close it if its upstream's target has changed or is not ready."""
        upstream = connection.upstream
        ready = upstream.target.state is EndpointState.READY
        if connection.target_version != upstream.target_version or not ready:
            connection.transport.close()
            return
        connection.idle_since = now_ms()
        upstream.idle_connections.append(connection)

    def remove_connection(self, connection: UpstreamConnection) -> None:
        """Remove a closed connection from the pool."""
        self.connections.discard(connection)
        if connection in connection.upstream.idle_connections:
            connection.upstream.idle_connections.remove(connection)

    def reap_idle_connections(self) -> None:
        """Close connections idle for longer than the adaptive timeout, and schedule the next run."""
        self.loop.call_later(REAP_INTERVAL_S, self.reap_idle_connections)
        self.idle_timeout.grow()
        min_idle_since = now_ms() - self.idle_timeout.current_ms
        for upstream in list(self.upstreams.values()):
            idle = upstream.idle_connections
            while idle and idle[0].idle_since < min_idle_since:
                idle.pop(0).transport.close()
            for connection in idle:
                connection.free_parser()
            self._remove_if_unused(upstream)

    def _remove_if_unused(self, upstream: Upstream) -> None:
        if upstream.idle_connections or upstream.attempts_in_flight:
            return
        if self.upstreams.get(upstream.endpoint_id) is upstream:
            del self.upstreams[upstream.endpoint_id]

    def _take_idle_connection(self, upstream: Upstream, now: float) -> UpstreamConnection | None:
        while (connection := upstream.pop_idle_connection(now)) is not None:
            if now - connection.idle_since < self.idle_timeout.current_ms and connection.is_reusable():
                self.counts[CONNECTIONS_REUSED] += 1
                return connection
            self.counts[IDLE_CONNECTIONS_DISCARDED] += 1
            connection.transport.abort()
        return None

    async def _connect(self, attempt: UpstreamAttempt) -> None:
        """Open a connection for an attempt and send the attempt on it."""
        upstream = attempt.upstream
        if not self._has_room() and not self._evict_idle_connection():
            logger.warning("connection limit reached; not connecting to %s:%d", *upstream.target.address)
            self.end_attempt(attempt, AttemptResult.CONNECT_FAILED)
            return
        connection = await self._open_connection(upstream)
        if connection is None:
            self.end_attempt(attempt, AttemptResult.CONNECT_FAILED)
            return
        attempt.connect_task = None
        self._send_on_new_connection(attempt, connection)

    def _has_room(self) -> bool:
        """Return whether another connection is within the limits on connections and memory."""
        open_connections = len(self.connections) + self.pending_connects
        if open_connections >= self.max_connections:
            return False
        # Connections being opened are not accounted for before their attempts are sent.
        return self.resources.budget.has_room(
            (self.pending_connects + 1) * (CONNECTION_BYTES + ATTEMPT_BYTES)
        )

    async def _open_connection(self, upstream: Upstream) -> UpstreamConnection | None:
        """Return a new connection, or None if connecting failed or timed out, or the address is invalid."""
        self.pending_connects += 1
        self.counts[CONNECTS_STARTED] += 1
        connection = UpstreamConnection(self, upstream)
        try:
            async with asyncio.timeout(self.connect_timeout / 1000):
                await self.loop.create_connection(lambda: connection, *upstream.target.address)
        except (OSError, UnicodeError):
            return None
        finally:
            self.pending_connects -= 1
        return connection

    def _send_on_new_connection(self, attempt: UpstreamAttempt, connection: UpstreamConnection) -> None:
        """Send an attempt on its new connection, unless the attempt became obsolete while connecting."""
        # The upstream may have started draining or restarted, or the deadline may have passed.
        outdated = attempt.target_version != attempt.upstream.target_version
        if attempt.deadline_passed or outdated or connection.transport.is_closing():
            connection.transport.abort()
            self.end_attempt(attempt, AttemptResult.CONNECT_FAILED)
            return
        if not self.handler.check_client_before_send(attempt):
            connection.transport.abort()
            return
        # The connection is not added in connection_made: if connecting is cancelled just as it completes,
        # uvloop closes the connection without calling connection_lost, so the connection would count towards
        # the limit forever.
        self.connections.add(connection)
        connection.send(attempt)

    def _evict_idle_connection(self) -> bool:
        """Abort the connection that has been idle the longest; return False if none is idle."""
        oldest_per_upstream = [u.idle_connections[0] for u in self.upstreams.values() if u.idle_connections]
        if not oldest_per_upstream:
            return False
        connection = min(oldest_per_upstream, key=lambda c: c.idle_since)
        connection.upstream.idle_connections.remove(connection)
        connection.transport.abort()
        return True

    def _on_deadline(self, attempt: UpstreamAttempt) -> None:
        # The event loop runs timers before it reads sockets, so after a stall the response may have arrived
        # unread. The first call only lets the loop read once more.
        if not attempt.deadline_passed:
            attempt.deadline_passed = True
            attempt.timer = self.loop.call_later(LAST_READ_DELAY_S, self._on_deadline, attempt)
            return
        sent = attempt.connection is not None
        self._abort_attempt(attempt, AttemptResult.TIMEOUT if sent else AttemptResult.CONNECT_FAILED)

    def _abort_attempt(self, attempt: UpstreamAttempt, result: AttemptResult) -> None:
        """End an attempt, and close its connection, since a response may still arrive on it."""
        if attempt.connect_task is not None:
            attempt.connect_task.cancel()
        if attempt.connection is not None:
            attempt.connection.attempt = None
            attempt.connection.shutdown_now()
        self.end_attempt(attempt, result)
