"""The rate limit of the log."""

from __future__ import annotations

import logging

from load_balancer.proxy.log_rate_limit import LogRateLimit


def record(message: str, created: float, level: int = logging.WARNING) -> logging.LogRecord:
    made = logging.LogRecord("load_balancer", level, __file__, 1, message, (), None)
    made.created = created
    return made


def test_a_warning_is_logged_once_in_each_interval_with_the_number_suppressed() -> None:
    limit = LogRateLimit()
    assert limit.filter(record("accept failed: %s", 100.0))
    assert [limit.filter(record("accept failed: %s", 100.0 + n)) for n in (1, 2, 9.9)] == [False] * 3
    assert limit.filter(record("another", 101.0))
    late = record("accept failed: %s", 110.0)
    assert limit.filter(late) and late.msg == "accept failed: %s (and 3 similar warnings suppressed)"
    later = record("accept failed: %s", 120.0)
    assert limit.filter(later) and later.msg == "accept failed: %s"


def test_records_of_other_levels_always_pass() -> None:
    limit = LogRateLimit()
    for level in (logging.INFO, logging.ERROR):
        assert all(limit.filter(record("listening", 100.0, level)) for _ in range(3))
