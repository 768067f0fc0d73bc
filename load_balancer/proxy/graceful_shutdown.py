"""Graceful shutdown on SIGTERM: accept connections for a moment, respond to all requests, then stop."""

from __future__ import annotations

import asyncio
import logging

from load_balancer.proxy.clock import now_ms
from load_balancer.proxy.listener import Listener
from load_balancer.proxy.request_tracker import RequestTracker

# Time after SIGTERM in which connections are accepted: new connections arrive until the front end's health
# check fails.
ACCEPT_PERIOD_S = 0.6
# By the protocol, SIGKILL follows SIGTERM after at least SIGKILL_DELAY_MS plus the longest deadline or
# SIGKILL_MAX_DEADLINE_MS, whichever is shorter.
SIGKILL_DELAY_MS = 700.0
SIGKILL_MAX_DEADLINE_MS = 3000.0
SIGKILL_MARGIN_MS = 100.0  # time before the earliest SIGKILL at which responses are due
POLL_INTERVAL_S = 0.02

logger = logging.getLogger(__name__)


async def drain_client_connections(
    listener: Listener, requests: RequestTracker, longest_deadline: float
) -> None:
    """Accept connections for ``ACCEPT_PERIOD_S``, then wait until all connections are closed.

    The wait ends no later than ``longest_deadline`` + ``SIGKILL_DELAY_MS`` after the call.

    Args:
        listener: Listener that holds the client connections.
        requests: Requests in flight. The deadlines of requests that arrive from now on are limited to
            ``SIGKILL_MARGIN_MS`` before SIGKILL.
        longest_deadline: Longest deadline of any request class in ms.
    """
    requests.latest_deadline = (
        now_ms() + min(longest_deadline, SIGKILL_MAX_DEADLINE_MS) + SIGKILL_DELAY_MS - SIGKILL_MARGIN_MS
    )
    # Requests that arrived before SIGTERM keep their deadlines, which may be later. A client whose request is
    # incomplete at ``stop_at`` does not keep the node running.
    stop_at = (
        requests.latest_deadline + SIGKILL_MARGIN_MS + max(longest_deadline - SIGKILL_MAX_DEADLINE_MS, 0.0)
    )
    logger.info("shutting down: %d requests in flight", len(requests.pending))
    # A client whose connection is closed opens its next connection to another node.
    listener.close_idle_connections()
    await asyncio.sleep(ACCEPT_PERIOD_S)
    table = listener.connections
    logger.info("closing the listening socket: %d of %d client connections open", len(table), table.limit)
    await listener.stop_accepting()
    logger.info("listening socket closed: %d requests in flight", len(requests.pending))
    while listener.connections and now_ms() < stop_at:
        listener.close_idle_connections()
        await asyncio.sleep(POLL_INTERVAL_S)
