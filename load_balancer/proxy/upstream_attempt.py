"""An attempt to forward a request to an upstream."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from load_balancer.proxy.messages import UpstreamRequest
from load_balancer.proxy.upstream import Upstream

if TYPE_CHECKING:
    from load_balancer.proxy.upstream_connection import UpstreamConnection


@dataclass(slots=True, eq=False)
class UpstreamAttempt:
    """An attempt in flight. Times are in ms on the monotonic clock of ``now_ms``."""

    request_id: int
    number: int
    """Number of the attempt within its request, from 0."""
    upstream: Upstream
    target_version: int
    """``Upstream.target_version`` when the attempt was started."""
    request: UpstreamRequest
    started_at: float
    deadline: float
    deadline_passed: bool = False
    """Set when the deadline timer fires; the attempt ends a moment later, after one more read."""
    timer: asyncio.TimerHandle | None = None
    """Timer for the deadline, then for the read after it."""
    connect_task: asyncio.Task[None] | None = None
    """Set while a connection is being opened for the attempt."""
    connection: UpstreamConnection | None = None
    """Set once the request has been written to the connection."""
