"""Exponential backoff with jitter."""

from __future__ import annotations

import random


class Backoff:
    """Delays between retries: a base delay that doubles up to a maximum, each time with a random factor.

    Args:
        initial: First delay in s, before jitter.
        maximum: Longest delay in s, before jitter.
        jitter: Lower and upper bound of the random factor.
        rng: Random number generator for the factor.
    """

    def __init__(
        self, initial: float, maximum: float, jitter: tuple[float, float], rng: random.Random
    ) -> None:
        self.maximum = maximum
        self._initial = initial
        self._jitter = jitter
        self._rng = rng
        self._delay = initial

    def next_delay(self, maximum: float | None = None) -> float:
        """Return the delay in s before the next retry.

        Args:
            maximum: Limit in s, before jitter, for the delay after this one, or None for the usual maximum.
        """
        delay = self._delay * self._rng.uniform(*self._jitter)
        self._delay = min(2 * self._delay, self.maximum if maximum is None else maximum)
        return delay

    def reset(self) -> None:
        """Restart from the first delay."""
        self._delay = self._initial
