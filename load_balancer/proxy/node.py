"""The node: connects clients, policy, upstreams and discovery.

Decisions on admission, routing and retries are left to the policy. The node passes it events from the sockets
and executes its commands in the order in which it returns them.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections import Counter
from collections.abc import Callable, Mapping
from http import HTTPStatus

from load_balancer.policy import Policy
from load_balancer.policy.events import (
    AttemptEnded,
    AttemptResult,
    DiscoveryLoss,
    EndpointUpdate,
    RequestCancelled,
    UpdateKind,
)
from load_balancer.proxy.client_connection import ClientConnection
from load_balancer.proxy.client_request import ClientRequest
from load_balancer.proxy.clock import now_ms
from load_balancer.proxy.command_executor import CommandExecutor
from load_balancer.proxy.config import MAX_BYTES_PER_ENDPOINT, Config
from load_balancer.proxy.configuration_reload import reload_configuration
from load_balancer.proxy.discovery_client import DiscoveryClient, max_backoff
from load_balancer.proxy.endpoint_decoder import DiscoveryUpdate, UpdateBuilder
from load_balancer.proxy.endpoint_directory import EndpointDirectory
from load_balancer.proxy.endpoint_updater import EndpointUpdater
from load_balancer.proxy.graceful_shutdown import drain_client_connections
from load_balancer.proxy.listener import Listener
from load_balancer.proxy.memory_budget import BYTES_PER_KB, MemoryAccount, MemoryBudget, nothing_to_release
from load_balancer.proxy.memory_plan import (
    TYPICAL_PROCESS_BYTES,
    connection_limits,
    connection_memory,
    resident_bytes,
)
from load_balancer.proxy.messages import UpstreamResponse
from load_balancer.proxy.metrics import MetricsReporter
from load_balancer.proxy.policy_runner import PolicyRunner
from load_balancer.proxy.read_scheduler import ReadScheduler
from load_balancer.proxy.request_tracker import RequestTracker, TrackedRequest
from load_balancer.proxy.socket_reader import ClientPresence
from load_balancer.proxy.upstream import UpstreamTarget
from load_balancer.proxy.upstream_attempt import UpstreamAttempt
from load_balancer.proxy.upstream_connection import UpstreamResources
from load_balancer.proxy.upstream_pool import PoolLimits, UpstreamPool

# Time from the previous process's kill to this one's start; the cached endpoint list may be this old.
RESTART_DURATION_MS = 3000.0

ATTEMPT_COUNTER_NAMES = {result: f"attempts {result.name.lower()}" for result in AttemptResult}
CLIENT_ERROR_STATUSES = range(400, 500)
TOO_MANY_REQUESTS = 429

logger = logging.getLogger(__name__)


class Node:
    """A running instance of the proxy.

    It is the ``RequestHandler`` of the listener and the ``AttemptHandler`` of the upstream pool.

    Args:
        config: The node's configuration.
        loop: The running event loop.
        process_bytes: Memory that the process uses before it has any connection.
    """

    def __init__(
        self,
        config: Config,
        loop: asyncio.AbstractEventLoop,
        process_bytes: int = TYPICAL_PROCESS_BYTES,
    ) -> None:
        self.config = config
        self.loop = loop
        self.healthy = False
        """Whether an endpoint list has been applied, so that requests can be served."""
        self.shutting_down = False
        """Whether the graceful shutdown has begun."""
        self.policy = Policy(config.settings, config.seed)
        self.policy_runner = PolicyRunner(self.policy, self._abort_request)
        self.requests = RequestTracker()
        self.endpoints = EndpointDirectory(config)
        limits = connection_limits(config.max_descriptors)
        self.budget = MemoryBudget(connection_memory(config.memory_mb, process_bytes), loop.time)
        self._endpoint_memory = MemoryAccount(self.budget, nothing_to_release)
        scheduler = ReadScheduler(loop)
        pool_limits = PoolLimits(config.connect_timeout, config.idle_timeout, limits.upstreams)
        self.pool = UpstreamPool(loop, pool_limits, self, UpstreamResources(self.budget, scheduler))
        executor = CommandExecutor(
            loop, self.requests, self.pool, self.policy_runner.submit, self._end_without_client
        )
        self.policy_runner.handlers.update(executor.handlers())
        self.listener = Listener(loop, config, self, limits.clients, self.budget, scheduler)
        self.endpoint_updater = EndpointUpdater(self.endpoints, self.pool, self.policy_runner.submit)
        self.discovery = self._new_discovery_client()
        self.metrics = MetricsReporter(loop, self._counters(), self._describe_state)
        if config.load_cached_endpoints is not None:
            self._apply_cached_endpoints(config.load_cached_endpoints)

    # Lifecycle.

    def start(self) -> None:
        """Start to accept clients, to watch the endpoint list and to report metrics.

        Raises:
            OSError: The listen address can't be bound.
        """
        self.listener.start()
        self.discovery.start()
        self.metrics.start()
        logger.info("%s listens on %s:%d", self.config.name, *self.listener.address)
        memory_kb = self.budget.limit // BYTES_PER_KB
        logger.info("memory: %g MB, of which %d KB for connections", self.config.memory_mb, memory_kb)

    def reload(self, environ: Mapping[str, str]) -> None:
        """Read the configuration again; only a change of discovery's address takes effect."""
        reload_configuration(environ, self.discovery)

    async def shut_down(self) -> None:
        """Respond to requests in flight and to requests that still arrive, then close the node."""
        self.shutting_down = True
        longest_deadline = max(request_class.deadline for request_class in self.config.settings.classes)
        await drain_client_connections(self.listener, self.requests, longest_deadline)
        self.close()  # after the drain, since retries need the endpoint list until the last response
        logger.info("shutdown complete")

    def close(self) -> None:
        """Stop the metrics reports, and close the listener and the watch at once."""
        self.metrics.stop()
        self.listener.close()
        self.discovery.close()

    def _counters(self) -> list[Counter[str]]:
        return [
            self.requests.counters,
            self.pool.counts,
            self.policy.unserved_counts,
            self.discovery.failure_counts,
            self.budget.counts,
            self.listener.context.counts,
            self.listener.connections.request_ids.counts,
        ]

    def _describe_state(self) -> str:
        table, pool, budget = self.listener.connections, self.pool, self.budget
        return (
            f"{len(table)} of {table.limit} client connections, "
            f"{len(pool.connections)} of {pool.max_connections} to upstreams, "
            f"{len(self.requests.pending)} requests in flight, "
            f"{budget.used // BYTES_PER_KB} of {budget.limit // BYTES_PER_KB} KB held, "
            f"{resident_bytes() // BYTES_PER_KB} KB resident"
        )

    # RequestHandler: called by the client connections.

    def on_request(self, connection: ClientConnection, request: ClientRequest) -> None:
        """Register a client's request, and pass it to the policy."""
        self.policy_runner.submit(self.requests.add(connection, request))

    def on_client_disconnected(self, request_id: int) -> None:
        """End a request whose client has disconnected."""
        pending = self.requests.remove(request_id)
        if pending is not None:
            self.requests.counters["clients disconnected"] += 1
            if pending.message.was_sent:
                pending.client.retire_request_id()
            self._cancel_request(request_id, pending)

    # Requests that end early.

    def _abort_request(self, request_id: int) -> None:
        """Respond to a request with 500 after an exception in the policy or in a command, and cancel it."""
        pending = self.requests.pending.get(request_id)
        if pending is not None:
            self.requests.respond(request_id, 500)
            self._cancel_request(request_id, pending)

    def _cancel_request(self, request_id: int, pending: TrackedRequest) -> None:
        self.policy_runner.submit(RequestCancelled(request_id))
        # The policy cancels attempts where the settings allow it. An attempt that has no connection yet must
        # not be sent in any case. Only the newest attempt can lack a connection; the number -1 (no attempt so
        # far) matches no attempt.
        self.pool.cancel_unsent(request_id, pending.attempts - 1)

    def _end_without_client(
        self, request_id: int, client: ClientConnection, presence: ClientPresence
    ) -> None:
        """End a request for which no attempt may begin, since its client has disconnected or may have."""
        if presence is ClientPresence.DISCONNECTED:  # the event loop has not read the end of file yet
            client.transport.abort()
            self.on_client_disconnected(request_id)
            return
        pending = self.requests.pending.get(request_id)
        if pending is not None:
            self.requests.counters["requests ended behind unread input"] += 1
            status = HTTPStatus.BAD_GATEWAY if pending.message.was_sent else HTTPStatus.SERVICE_UNAVAILABLE
            self.requests.respond(request_id, status)
            self._cancel_request(request_id, pending)

    # AttemptHandler: called by the upstream pool.

    def find_target(self, endpoint_id: int) -> UpstreamTarget:
        """Return the ``UpstreamTarget`` of an endpoint in the current endpoint list.

        Raises:
            KeyError: The list has no such endpoint.
        """
        return self.endpoints.target(endpoint_id)

    def check_client_before_send(self, attempt: UpstreamAttempt) -> bool:
        """Return whether the client is still connected; if not, end its request and the attempt."""
        pending = self.requests.pending.get(attempt.request_id)
        if pending is None:
            return True
        # While reading from the client is paused, the disconnect would only be detected by the listener's
        # next sweep, after the attempt was sent.
        presence = pending.client.presence()
        if presence is ClientPresence.CONNECTED:
            return True
        self._end_without_client(attempt.request_id, pending.client, presence)
        return False

    def on_attempt_ended(
        self, attempt: UpstreamAttempt, result: AttemptResult, response: UpstreamResponse | None
    ) -> None:
        """Pass the result of an attempt to the policy, and a final response to the client."""
        request_id, requests = attempt.request_id, self.requests
        # The upstream's result is counted, even if the policy gets CANCELLED for a client error.
        requests.counters[ATTEMPT_COUNTER_NAMES[result]] += 1
        is_final = result is AttemptResult.SUCCESS
        if response is not None and _is_client_error(response.status):
            # A retry would fail in the same way, and invalid requests must not make endpoints look unhealthy.
            is_final, result = True, AttemptResult.CANCELLED
        pending = requests.remove(request_id) if is_final else None
        request_ended = request_id not in requests.pending
        elapsed = now_ms() - attempt.started_at
        ended = AttemptEnded(
            request_id, attempt.upstream.endpoint_id, request_ended, result, attempt.number, elapsed
        )
        # The event is queued before the response is written. Writing the response may start the client's next
        # request, which the policy would otherwise handle while it still counts this attempt as in flight.
        self.policy_runner.enqueue(ended)
        if pending is not None and response is not None:
            requests.forward_response(pending, response)
        self.policy_runner.process_queue()

    # Updates of the endpoint list.

    def _new_discovery_client(self) -> DiscoveryClient:
        config = self.config
        return DiscoveryClient(
            config.discovery,
            self.endpoints.new_decoder,
            self._apply_update,
            random.Random(config.seed),
            self._discovery_status_changed,
            max_backoff(config.settings.endpoints_are_polled, config.drain_grace),
        )

    async def _apply_update(self, update: DiscoveryUpdate) -> None:
        await self.endpoint_updater.apply_update(update)
        self._account_for_endpoints()
        self.healthy = True

    def _account_for_endpoints(self) -> None:
        self._endpoint_memory.resize(len(self.endpoints) * MAX_BYTES_PER_ENDPOINT)

    def _discovery_status_changed(self, loss: DiscoveryLoss | None, since: float) -> None:
        """Tell the policy how contact with discovery was lost, or with None that there is contact again.

        ``since`` is the time in ms after which changes of the endpoint list may have been missed.
        """
        version = self.discovery.version or 0
        if loss is None:
            event = EndpointUpdate(UpdateKind.DELTA, version, [])
        else:
            event = EndpointUpdate(UpdateKind.UNAVAILABLE, version, [], since, loss)
        self.policy_runner.submit(event)

    def _apply_cached_endpoints(self, load: Callable[[UpdateBuilder], DiscoveryUpdate | None]) -> None:
        version = self.endpoint_updater.apply_cached_list(load)
        if version is None:
            return
        self._account_for_endpoints()
        self.healthy = True
        self.discovery.resume_from(version)
        # This event follows the list, since each DELTA tells the policy that discovery is available.
        last_contact_at = now_ms() - RESTART_DURATION_MS
        self.policy_runner.submit(EndpointUpdate(UpdateKind.UNAVAILABLE, version, [], last_contact_at))


def _is_client_error(status: int) -> bool:
    """Return whether a status means that the request is invalid; 429 means that the upstream is busy."""
    return status in CLIENT_ERROR_STATUSES and status != TOO_MANY_REQUESTS
