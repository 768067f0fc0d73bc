"""Tenant quotas: which requests are rejected first."""

from __future__ import annotations

from tests.policy.driver import IDEMPOTENT, PolicyDriver, settings
from tests.policy.policy_state import set_overload


def test_requests_over_quota_are_rejected_first() -> None:
    config = settings(tenant_quotas=(1000.0, 10.0), over_quota_weight=0.05, classes=(IDEMPOTENT,))
    driver = PolicyDriver(config, endpoints=50)
    for step in range(600):  # each tenant sends 100 requests per second; only tenant 1 exceeds its quota
        driver.now += 5
        request_id = driver.request(0, tenant=step % 2)
        if driver.is_in_flight(request_id):
            driver.serve(request_id)
    set_overload(driver, 0.3)
    rejected = [0, 0]
    for step in range(400):
        driver.now += 0.01
        rejected[step % 2] += driver.rejects_new_request(0, tenant=step % 2)
    assert rejected[0] == 0
    assert rejected[1] > 100
