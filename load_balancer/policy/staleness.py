"""Stale endpoint lists: which endpoints to use without contact with discovery, and when to poll it again.

For ``stale_endpoints_limit`` ms after the last contact with discovery all endpoints are used. What follows
depends on how the contact was lost (``DiscoveryLoss``):

- UNREACHABLE: only endpoints that served an attempt of this node within that time are used, and after
  USE_ALL_AFTER ms all endpoints again.
- WATCH_SILENT and ADDRESS_CHANGED: the list has expired, and no endpoint is used until the next update has
  been applied as a whole. The node counts as notified of all changes, and an endpoint that was removed may
  still serve requests.
"""

from __future__ import annotations

import math
import random

from load_balancer.policy.events import DiscoveryLoss, EndpointUpdate, UpdateKind
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
        self._expires_at = math.inf  # ms; infinite unless the missed changes bind the node after a fixed time

    def update(self, event: EndpointUpdate, now: float) -> float | None:
        """Record an endpoint update.

        Args:
            event: The update, of which the entries are not used.
            now: Time on the policy's clock, ms.

        Returns:
            Delay in ms after which to poll discovery again, or None if the policy need not schedule a poll.
        """
        retry_in = None
        if event.kind in (UpdateKind.CACHED_SNAPSHOT, UpdateKind.UNAVAILABLE):
            if self._polled:
                retry_in = self._next_delay()
            last_contact_at = now if event.last_contact_at is None else event.last_contact_at
            self._stale_since = min(self._stale_since, last_contact_at)
            if event.loss is not DiscoveryLoss.UNREACHABLE:
                self._expires_at = min(self._expires_at, last_contact_at + self._stale_limit)
        elif not event.is_partial or self._expires_at == math.inf:
            self._stale_since = self._expires_at = math.inf
            self._backoff = self._poll_interval_limit / RESET_BACKOFF_DIVISOR
        return retry_in

    def _next_delay(self) -> float:
        delay = self._backoff * (MIN_BACKOFF_SHARE + (1 - MIN_BACKOFF_SHARE) * self._random.random())
        self._backoff = min(2 * self._backoff, self._poll_interval_limit / MAX_BACKOFF_DIVISOR)
        return delay

    def is_expired(self, now: float) -> bool:
        """Return whether no endpoint may be used at ``now`` ms, whatever it has served."""
        return now + self._connect_timeout >= self._expires_at

    def may_use(self, tracked: TrackedEndpoint, now: float) -> bool:
        """Return whether the age of the endpoint list allows an attempt at an endpoint at ``now`` ms.

        Discovery may have listed a drain or a removal of the endpoint that this node has not seen. It takes
        effect no earlier than ``stale_endpoints_limit`` ms after it was listed. While discovery is
        unreachable, an attempt that the endpoint has served since the last contact shows that it was not
        draining then, as a draining endpoint rejects requests.
        """
        if self._stale_since == math.inf:
            return True
        if self.is_expired(now):
            return False
        if now > self._stale_since + USE_ALL_AFTER:
            return True
        answered = tracked.latest_answered_send_time
        served_at = answered if answered > tracked.latest_rejected_send_time else 0.0
        return now + self._connect_timeout < max(self._stale_since, served_at) + self._stale_limit
