"""Time scale of overload detection, from the latency objectives of the request classes.

The time scale is a factor on the update interval and on the windows of the overload, concurrency and failure
ratio estimates.
"""

from __future__ import annotations

from load_balancer.policy.settings import Settings

REFERENCE_OBJECTIVE = 400.0  # ms; from this latency objective on, the time constants are not scaled


def time_scale(settings: Settings) -> float:
    """Return the factor, at most 1: stricter latency objectives need a faster reaction."""
    strictest = min(request_class.latency_objective for request_class in settings.classes)
    return min(1.0, strictest / REFERENCE_OBJECTIVE)
