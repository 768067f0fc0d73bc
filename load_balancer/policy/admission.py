"""Admission control: the priority score of each request, and the shedding threshold.

Scores range from 0 to 100. Priority groups are ordered by weight, and each gets a band of scores proportional
to its share of the offered value: its weight times its recent requests. At overload x (0 to 1), requests that
score below 100 * x**3 are rejected.
"""

from __future__ import annotations

import random
from itertools import groupby

from load_balancer.policy.settings import Settings

MAX_SCORE = 100.0
THRESHOLD_EXPONENT = 3  # keeps the threshold near 0 at low overload
SHEDDING_LOG_ON = 25.0  # threshold above which shedding is logged as on; lighter shedding is not logged
SHEDDING_LOG_OFF = 1.0  # threshold at or below which shedding is logged as off
RETRY_AFTER_JITTER = 0.1  # random share of the Retry-After delay; spreads the retries of clients
INITIAL_REQUESTS = 1e-9  # requests of each group at the start; keeps the shares defined


class Admission:
    """Scores requests and sheds those with the lowest scores first.

    Each request class has two priority groups: requests within their tenant's quota have the class index as
    the group index, and requests over it have the class index plus the number of classes.

    Args:
        settings: Node settings, of which the classes, over-quota weight and maximum Retry-After are used.
        rng: Source of random numbers.
    """

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self._random = rng
        self._max_retry_after = settings.max_retry_after
        classes = settings.classes
        self._class_count = len(classes)
        self._weights = [
            request_class.priority_weight * quota_factor
            for quota_factor in (1.0, settings.over_quota_weight)
            for request_class in classes
        ]
        groups = range(len(self._weights))
        self._groups_by_weight = sorted(groups, key=self._weights.__getitem__)
        self._request_counts = [INITIAL_REQUESTS for _ in groups]  # decayed
        self._band_start = [0.0 for _ in groups]
        self._band_width = [MAX_SCORE for _ in groups]
        self.threshold = 0.0
        """Requests with a lower score are rejected. Read-only outside this class."""
        self.shedding_logged = False
        """Whether the last log line said that shedding is on. Read-only outside this class."""

    def count_and_score(self, class_index: int, over_quota: bool) -> float:
        """Count a request and return a random score from the band of its priority group."""
        group = class_index + self._class_count if over_quota else class_index
        self._request_counts[group] += 1
        return self._band_start[group] + self._band_width[group] * self._random.random()

    def retry_after(self, score: float) -> float:
        """Return the time in ms that a rejected client should wait: longer for lower scores."""
        jitter = (1.0 - RETRY_AFTER_JITTER) + RETRY_AFTER_JITTER * self._random.random()
        return self._max_retry_after * (1.0 - score / MAX_SCORE) * jitter

    def halve_counts(self) -> None:
        """Halve the request counts, so that older traffic weighs less in the bands."""
        self._request_counts = [count / 2 for count in self._request_counts]

    def update_bands(self) -> None:
        """Recompute the score bands from recent requests; groups of equal weight share a band."""
        values = [weight * count for weight, count in zip(self._weights, self._request_counts, strict=True)]
        total_value = sum(values) or 1.0
        value_below = 0.0
        for _, same_weight in groupby(self._groups_by_weight, key=self._weights.__getitem__):
            groups = list(same_weight)
            band_value = sum(values[group] for group in groups)
            for group in groups:
                self._band_start[group] = MAX_SCORE * value_below / total_value
                self._band_width[group] = MAX_SCORE * band_value / total_value
            value_below += band_value

    def update_threshold(self, overload: float) -> bool:
        """Set the threshold for an overload of 0 to 1, and return whether ``shedding_logged`` has changed."""
        self.threshold = MAX_SCORE * overload**THRESHOLD_EXPONENT
        log_threshold = SHEDDING_LOG_OFF if self.shedding_logged else SHEDDING_LOG_ON
        changed = self.shedding_logged != (self.threshold > log_threshold)
        self.shedding_logged ^= changed
        return changed
