"""Rate limit for warnings that clients and upstreams can trigger."""

from __future__ import annotations

import logging
import math
from dataclasses import dataclass


@dataclass(slots=True)
class _RateLimitState:
    """The state of the rate limit for one message."""

    last_logged_at: float = -math.inf
    """Unix time in s at which a warning was last logged."""
    suppressed: int = 0
    """Number of warnings suppressed since then."""


class LogRateLimit(logging.Filter):
    """Logs each warning at most once per interval, so that clients and upstreams can't flood the log.

    Warnings are grouped by their unformatted message, so the limit is shared by all peers. The number of
    suppressed warnings is appended to the next one logged. Records of other levels always pass.
    """

    INTERVAL_S = 10.0

    def __init__(self) -> None:
        super().__init__()
        self._states: dict[str, _RateLimitState] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether to log the record; append the number of suppressed warnings to its message."""
        if record.levelno != logging.WARNING:
            return True
        message = str(record.msg)
        state = self._states.setdefault(message, _RateLimitState())
        if record.created < state.last_logged_at + self.INTERVAL_S:
            state.suppressed += 1
            return False
        if state.suppressed:
            record.msg = f"{message} (and {state.suppressed} similar warnings suppressed)"
        state.last_logged_at = record.created
        state.suppressed = 0
        return True
