"""The clock of the node."""

from __future__ import annotations

import time


def now_ms() -> float:
    """Return the monotonic time in ms. The proxy and the policy use this clock unless stated otherwise."""
    return time.monotonic() * 1000
