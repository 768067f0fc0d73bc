"""Failure ratio of recent attempts over all endpoints."""

from __future__ import annotations

WINDOW_TIME = 4000.0  # time constant in ms of the decay of the counts
WINDOW_ATTEMPTS = 33.0  # each attempt decays the earlier counts by the share 1 / WINDOW_ATTEMPTS
# Each request shed by this node decays the counts by the share 1 / WINDOW_SHED_REQUESTS.
WINDOW_SHED_REQUESTS = 100.0
PRIOR_SUCCESSES = 4.0  # assumed successful attempts, so that a few chance failures don't count as overload
MAX_DECAY = 0.5  # maximum share of the counts that one update removes, however long after the last one


class FleetFailureRatio:
    """Decaying counts of attempts and weighted failures, and their ratio.

    Args:
        time_scale: Factor on WINDOW_TIME.
    """

    def __init__(self, time_scale: float) -> None:
        self._window_time = WINDOW_TIME * time_scale
        self._failures = 0.0  # weighted and decayed
        self._attempts = 0.0  # decayed
        self.value = 0.0
        """Weighted failure ratio, 0 to 1. Read-only outside this class."""
        self.unweighted_ratio = 0.0
        """Failure ratio with a weight of 1 for each failure, 0 to 1. Read-only outside this class."""

    def record(self, failed: bool, weight: float) -> None:
        """Count an attempt and, if it failed, its ``weight`` as a sign of overload, 0 to 1."""
        self._attempts += 1.0 - self._attempts / WINDOW_ATTEMPTS
        self._failures += weight * failed - self._failures / WINDOW_ATTEMPTS
        self.unweighted_ratio += (failed - self.unweighted_ratio) / WINDOW_ATTEMPTS
        self._update_ratio()

    def record_shed_request(self) -> None:
        """Decay the counts for a request shed by this node; ``value`` follows at the next update.

        Both counts shrink by the same share, so PRIOR_SUCCESSES weighs more and ``value`` falls. The shedding
        threshold can thus fall even while almost all requests are shed and few attempts are sent.
        """
        self._failures -= self._failures / WINDOW_SHED_REQUESTS
        self._attempts -= self._attempts / WINDOW_SHED_REQUESTS

    def decay(self, elapsed: float) -> None:
        """Decay the counts for ``elapsed`` ms."""
        keep = 1 - min(MAX_DECAY, elapsed / self._window_time)
        self._failures *= keep
        self._attempts *= keep
        self._update_ratio()

    def _update_ratio(self) -> None:
        self.value = self._failures / (self._attempts + PRIOR_SUCCESSES)
