"""Exponential backoff with jitter."""

from __future__ import annotations

import random

from load_balancer.proxy.backoff import Backoff


def test_delays_double_up_to_the_maximum_and_restart_after_a_reset() -> None:
    backoff = Backoff(0.05, 0.5, (1.0, 1.0), random.Random(1))
    assert [backoff.next_delay() for _ in range(6)] == [0.05, 0.1, 0.2, 0.4, 0.5, 0.5]
    assert [backoff.next_delay(3.0) for _ in range(5)] == [0.5, 1.0, 2.0, 3.0, 3.0]
    backoff.reset()
    assert backoff.next_delay() == 0.05


def test_delays_vary_over_the_whole_jitter_range() -> None:
    backoff = Backoff(1.0, 1.0, (0.5, 1.5), random.Random(1))
    delays = [backoff.next_delay() for _ in range(100)]
    assert 0.5 <= min(delays) < 0.6 and 1.4 < max(delays) <= 1.5
