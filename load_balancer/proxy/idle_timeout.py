"""Adaptive timeout for idle upstream connections.

Upstreams may close idle connections sooner than configured. The node only notices when the next request on
such a connection is reset, so the timeout is learned from resets of reused connections.
"""

from __future__ import annotations

# Margin below the configured timeout, so that no request is sent while the upstream closes the connection.
CLOSE_RACE_MARGIN_MS = 2000.0
MIN_OBSERVED_IDLE_MS = 100.0  # resets after a shorter idle time have other causes
RESETS_BEFORE_LOWERING = 2  # consecutive resets that lower the timeout; a single one may be chance
GROWTH_FACTOR = 1.1  # factor on the timeout per call of ``grow``


class AdaptiveIdleTimeout:
    """Learns how long upstreams keep idle connections open; one timeout is shared by all upstreams.

    Attributes:
        max_ms: Upper bound of the timeout, in ms.
        current_ms: Idle time, in ms, after which a connection is not reused.
    """

    __slots__ = ("_consecutive_resets", "current_ms", "max_ms")

    def __init__(self, configured_ms: float) -> None:
        """Start ``CLOSE_RACE_MARGIN_MS`` below the configured timeout, but not below half of that timeout."""
        self.max_ms = self.current_ms = max(configured_ms - CLOSE_RACE_MARGIN_MS, configured_ms / 2)
        self._consecutive_resets = 0

    def record_reuse(self, idle_ms: float, alive: bool) -> None:
        """Record whether a connection still worked when it was reused after ``idle_ms`` of idle time."""
        if idle_ms <= MIN_OBSERVED_IDLE_MS:
            return
        if alive:
            self._consecutive_resets = 0
            return
        self._consecutive_resets += 1
        if self._consecutive_resets >= RESETS_BEFORE_LOWERING:
            self.current_ms = min(self.current_ms, idle_ms)

    def grow(self) -> None:
        """Raise the timeout by one step towards its maximum; to be called at regular intervals."""
        self.current_ms = min(self.current_ms * GROWTH_FACTOR, self.max_ms)
