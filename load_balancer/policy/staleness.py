"""Stale endpoint lists: which endpoints to use while discovery is unreachable, and when to poll it again.

For ``stale_endpoints_limit`` ms after the last contact with discovery all endpoints are used, then only those
that served an attempt of this node within that time, and after USE_ALL_AFTER ms all endpoints again.
"""

from __future__ import annotations

import math
import random

from load_balancer.policy.events import UpdateKind
from load_balancer.policy.settings import Settings
from load_balancer.policy.tracked_endpoint import TrackedEndpoint

# ms without contact with discovery after which all endpoints are used, as discovery may stay down for long.
USE_ALL_AFTER = 30000.0
# The poll interval limit divided by these is the first backoff at the start, the first backoff after a
# successful update, and the longest backoff.
INITIAL_BACKOFF_DIVISOR = 40
RESET_BACKOFF_DIVISOR = 20
MAX_BACKOFF_DIVISOR = 4
# Smallest share of the backoff that is used as the delay. The rest is random, so that nodes don't poll at the
# same time.
MIN_BACKOFF_SHARE = 0.2


class StalenessGuard:
    """Tracks how old the endpoint list is, and limits the use of a stale one.

    Args:
        settings: Node settings, of which those on polling, staleness and connecting are used.
        rng: Source of random numbers.
    """

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self._random = rng
        self._polled = settings.endpoints_are_polled
        self._poll_interval_limit = settings.poll_interval_limit
        self._stale_limit = settings.stale_endpoints_limit
        self._connect_timeout = settings.connect_timeout
        self._backoff = self._poll_interval_limit / INITIAL_BACKOFF_DIVISOR
        self._stale_since = math.inf  # ms, last contact with discovery; infinite while the list is up to date

    def update(self, kind: UpdateKind, last_contact_at: float | None, now: float) -> float | None:
        """Record an endpoint update.

        Args:
            kind: Kind of the update.
            last_contact_at: Time in ms of the last contact with discovery, or None for ``now``. Used only if
                the update is a cached snapshot or reports that discovery is unavailable.
            now: Time on the policy's clock, ms.

        Returns:
            Delay in ms after which to poll discovery again, or None if the policy need not schedule a poll.
        """
        retry_in = None
        if kind in (UpdateKind.CACHED_SNAPSHOT, UpdateKind.UNAVAILABLE):
            if self._polled:
                retry_in = self._next_delay()
            self._stale_since = min(self._stale_since, now if last_contact_at is None else last_contact_at)
        else:
            self._stale_since = math.inf
            self._backoff = self._poll_interval_limit / RESET_BACKOFF_DIVISOR
        return retry_in

    def _next_delay(self) -> float:
        delay = self._backoff * (MIN_BACKOFF_SHARE + (1 - MIN_BACKOFF_SHARE) * self._random.random())
        self._backoff = min(2 * self._backoff, self._poll_interval_limit / MAX_BACKOFF_DIVISOR)
        return delay

    def may_use(self, tracked: TrackedEndpoint, now: float) -> bool:
        """Return whether the age of the endpoint list allows an attempt at an endpoint at ``now`` ms.

        Discovery may have listed a drain of the endpoint that this node has not seen. It takes effect no
        earlier than ``stale_endpoints_limit`` ms after it was listed. An attempt that the endpoint has served
        since the last contact shows that it was not draining then, as a draining endpoint rejects requests.
        """
        if self._stale_since == math.inf or now > self._stale_since + USE_ALL_AFTER:
            return True
        answered = tracked.latest_answered_send_time
        served_at = answered if answered > tracked.latest_rejected_send_time else 0.0
        return now + self._connect_timeout < max(self._stale_since, served_at) + self._stale_limit
