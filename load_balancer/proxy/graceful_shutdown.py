"""Graceful shutdown on SIGTERM: accept for a moment, answer every request, then end."""

from __future__ import annotations

import asyncio
import logging

from load_balancer.proxy.clock import now_ms
from load_balancer.proxy.listener import Listener
from load_balancer.proxy.request_tracker import RequestTracker

ACCEPT_PERIOD_S = 0.6  # after SIGTERM; until the front has noticed, new connections still come
KILL_DELAY_MS = (
    700.0  # by the protocol SIGKILL comes no sooner after SIGTERM than this and the longest deadline
)
MAX_KILL_DEADLINE_MS = 3000.0  # by the protocol a longer deadline counts as this
KILL_MARGIN_MS = 100.0  # before SIGKILL at which answers are due
POLL_INTERVAL_S = 0.02

logger = logging.getLogger(__name__)


async def drain_client_connections(
    listener: Listener, requests: RequestTracker, longest_deadline: float
) -> None:
    """Stop accepting, and return when every client connection is closed or the time is up.

    Args:
        listener: The listener with the client connections.
        requests: The requests in flight. Those that still come get their answers before SIGKILL.
        longest_deadline: The longest deadline of any request class in ms.
    """
    requests.latest_deadline = (
        now_ms() + min(longest_deadline, MAX_KILL_DEADLINE_MS) + KILL_DELAY_MS - KILL_MARGIN_MS
    )
    # Requests that arrived before the signal keep deadlines that may lie after that. Clients that have not
    # sent a complete request by then do not keep the node running.
    end = requests.latest_deadline + KILL_MARGIN_MS + max(longest_deadline - MAX_KILL_DEADLINE_MS, 0.0)
    logger.info("shutting down: %d requests in flight", len(requests.pending))
    # A client whose connection is closed opens its next one at another node.
    listener.close_idle_connections()
    await asyncio.sleep(ACCEPT_PERIOD_S)
    listener.stop_accepting()
    while listener.connections and now_ms() < end:
        listener.close_idle_connections()
        await asyncio.sleep(POLL_INTERVAL_S)
