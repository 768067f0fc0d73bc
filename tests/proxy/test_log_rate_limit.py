"""Rate limit for warnings in the log."""

from __future__ import annotations

import logging

from load_balancer.proxy.log_rate_limit import LogRateLimit


def make_record(message: str, created: float, level: int = logging.WARNING) -> logging.LogRecord:
    record = logging.LogRecord("load_balancer", level, __file__, 1, message, (), None)
    record.created = created
    return record


def test_warning_is_logged_once_per_interval_with_the_number_suppressed() -> None:
    limit = LogRateLimit()
    assert limit.filter(make_record("accept failed: %s", 100.0))
    assert [limit.filter(make_record("accept failed: %s", 100.0 + n)) for n in (1, 2, 9.9)] == [False] * 3
    assert limit.filter(make_record("another", 101.0))
    record = make_record("accept failed: %s", 110.0)
    assert limit.filter(record) and record.msg == "accept failed: %s (and 3 similar warnings suppressed)"
    next_record = make_record("accept failed: %s", 120.0)
    assert limit.filter(next_record) and next_record.msg == "accept failed: %s"


def test_records_of_other_levels_always_pass() -> None:
    limit = LogRateLimit()
    for level in (logging.INFO, logging.ERROR):
        assert all(limit.filter(make_record("listening", 100.0, level)) for _ in range(3))
