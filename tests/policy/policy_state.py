"""Access to private state of the policy: tests read and set here what it has estimated or recorded."""

from __future__ import annotations

from load_balancer.policy.failure_ratio import PRIOR_SUCCESSES
from load_balancer.policy.overload import HIGH_FAILURE_RATIO, LOW_FAILURE_RATIO
from load_balancer.policy.tracked_endpoint import TrackedEndpoint
from tests.policy.driver import PolicyDriver


def _tracked(driver: PolicyDriver, endpoint_id: int) -> TrackedEndpoint:
    tracked = driver.policy._registry.get(endpoint_id)
    assert tracked is not None
    return tracked


def set_overload(driver: PolicyDriver, overload: float) -> None:
    """Set the overload (0 to 1) by failures alone; the next update comes after a whole interval."""
    policy = driver.policy
    estimator = policy._overload
    estimator.average_in_flight = estimator.in_flight = 0
    ratio = LOW_FAILURE_RATIO + overload * (HIGH_FAILURE_RATIO - LOW_FAILURE_RATIO)
    estimator.failures._attempts = 1000.0
    estimator.failures._failures = ratio * (1000.0 + PRIOR_SUCCESSES)
    policy._admission.update_bands()
    policy._update_overload(0.0)
    policy._updated_at = driver.now


def shedding_threshold(driver: PolicyDriver) -> float:
    """Return the priority score, 0 to 100, below which requests are rejected."""
    return driver.policy._admission.threshold


def retry_after(driver: PolicyDriver, score: float) -> float:
    """Return the time in ms that a client rejected at this score is asked to wait, with random jitter."""
    return driver.policy._admission.retry_after(score)


def fleet_failure_ratio(driver: PolicyDriver) -> float:
    """Return the weighted failure ratio of recent attempts over all endpoints, 0 to 1."""
    return driver.policy._overload.failures.value


def set_fleet_failure_ratio(driver: PolicyDriver, ratio: float) -> None:
    """Set the weighted failure ratio of recent attempts over all endpoints, 0 to 1."""
    driver.policy._overload.failures.value = ratio


def mean_attempts_in_flight(driver: PolicyDriver) -> float:
    """Return the moving average of the number of attempts in flight."""
    return driver.policy._overload.average_in_flight


def required_concurrency(driver: PolicyDriver) -> float:
    """Return the number of attempts in flight that this node needs to keep its share of the fleet busy."""
    return driver.policy._overload.concurrency.required


def update_required_concurrency(driver: PolicyDriver, elapsed: float) -> None:
    """Recompute the required concurrency, `elapsed` ms after the last update."""
    overload = driver.policy._overload
    overload.concurrency.update(
        elapsed, overload.average_in_flight, overload._send_rate, overload.failures, driver.policy._capacity
    )


def goodput_per_second(driver: PolicyDriver) -> float:
    """Return this node's goodput in useful responses per second."""
    return driver.policy._overload.concurrency._goodput * 1000


def set_peak_goodput_per_endpoint(driver: PolicyDriver, per_second: float) -> None:
    """Set this node's peak goodput per effective endpoint, in useful responses per second."""
    driver.policy._overload.concurrency.peak_goodput_per_endpoint = per_second / 1000


def typical_latency_by_class(driver: PolicyDriver) -> list[float]:
    """Return the typical latency of each request class in ms."""
    return driver.policy._latency.typical_latencies


def set_typical_latency_by_class(driver: PolicyDriver, latencies: list[float]) -> None:
    """Set the typical latency of each request class in ms."""
    driver.policy._latency.typical_latencies = latencies


def tracked_endpoint_ids(driver: PolicyDriver) -> set[int]:
    """Return the ids of the endpoints for which the policy keeps state."""
    return {tracked.endpoint.id for tracked in driver.policy._registry}


def is_eligible(driver: PolicyDriver, endpoint_id: int) -> bool:
    """Return whether an endpoint may get a first attempt of a request of class 0 now."""
    policy, tracked = driver.policy, _tracked(driver, endpoint_id)
    return (
        policy._outliers.may_send(tracked, 0, driver.now)
        and not tracked.is_stalled(driver.now)
        and policy._staleness.may_use(tracked, driver.now)
        and policy._slow_start.may_send(tracked, driver.now)
    )


def ejected_until(driver: PolicyDriver, endpoint_id: int) -> float:
    """Return the time in ms until which an endpoint is ejected for class 0."""
    return _tracked(driver, endpoint_id).class_health[0].ejected_until


def eject(driver: PolicyDriver, endpoint_id: int, until: float) -> None:
    """Eject an endpoint for class 0 until a time in ms."""
    _tracked(driver, endpoint_id).class_health[0].ejected_until = until


def endpoint_failure_ratio(driver: PolicyDriver, endpoint_id: int) -> float:
    """Return the recent failure ratio of an endpoint for class 0, 0 to 1."""
    return _tracked(driver, endpoint_id).class_health[0].failure_ratio


def first_replica_endpoint(driver: PolicyDriver, key: int) -> int:
    """Return the id of the endpoint that has the first replica of a key on the hash ring."""
    return driver.policy._affinity.endpoint_for(key, 0)


def tracked_key_count(driver: PolicyDriver) -> int:
    """Return the number of keys of sequential requests for which the policy keeps state."""
    return len(driver.policy._sequencer)


def fix_random_draws(driver: PolicyDriver, value: float) -> None:
    """Make `random()` of the generator that the policy's components share return this value on every call."""
    driver.policy._retries._random.random = lambda: value  # type: ignore[method-assign]
