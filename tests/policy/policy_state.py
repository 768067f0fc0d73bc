"""The tests' only access to private state of the policy: what a rule has learned, or is to start from."""

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
    """Put the policy under an overload (0 to 1) by its errors, and keep the next refresh away."""
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
    """Requests with a lower priority score are rejected, 0 to 100."""
    return driver.policy._admission.threshold


def retry_after(driver: PolicyDriver, score: float) -> float:
    """How long, in ms, a client that is rejected at this priority score is asked to wait."""
    return driver.policy._admission.retry_after(score)


def failure_ratio(driver: PolicyDriver) -> float:
    """The recent share of failed attempts."""
    return driver.policy._overload.failures.value


def set_failure_ratio(driver: PolicyDriver, ratio: float) -> None:
    """Set the recent share of failed attempts."""
    driver.policy._overload.failures.value = ratio


def averaged_in_flight(driver: PolicyDriver) -> float:
    """Attempts in flight, averaged."""
    return driver.policy._overload.average_in_flight


def required_concurrency(driver: PolicyDriver) -> float:
    """Attempts that the fleet needs in flight when it is busy, this node's part."""
    return driver.policy._overload.concurrency.required


def refresh_required_concurrency(driver: PolicyDriver, elapsed: float) -> None:
    """Let the policy learn the required concurrency anew, `elapsed` ms after the last time."""
    overload = driver.policy._overload
    overload.concurrency.update(
        elapsed, overload.average_in_flight, overload._send_rate, overload.failures, driver.policy._capacity
    )


def timely_answers_per_second(driver: PolicyDriver) -> float:
    """The rate of answers in time."""
    return driver.policy._overload.concurrency._goodput * 1000


def set_warm_endpoint_rate(driver: PolicyDriver, per_second: float) -> None:
    """Set the rate at which this node gets answers in time from each endpoint that is warmed up."""
    driver.policy._overload.concurrency.peak_goodput_per_endpoint = per_second / 1000


def typical_answer_times(driver: PolicyDriver) -> list[float]:
    """The typical answer time of each class, in ms."""
    return driver.policy._latency.typical_latencies


def set_typical_answer_times(driver: PolicyDriver, times: list[float]) -> None:
    """Set the typical answer time of each class, in ms."""
    driver.policy._latency.typical_latencies = times


def tracked_endpoints(driver: PolicyDriver) -> set[int]:
    """The ids of the endpoints that the policy keeps state of."""
    return {tracked.endpoint.id for tracked in driver.policy._registry}


def is_usable(driver: PolicyDriver, endpoint_id: int) -> bool:
    """Whether an endpoint may get an attempt of the first class now."""
    policy, tracked = driver.policy, _tracked(driver, endpoint_id)
    return (
        policy._outliers.may_send(tracked, 0, driver.now)
        and not tracked.is_stalled(driver.now)
        and policy._staleness.may_use(tracked, driver.now)
        and policy._slow_start.may_send(tracked, driver.now)
    )


def ejected_until(driver: PolicyDriver, endpoint_id: int) -> float:
    """Until when (ms) an endpoint is ejected for the first class."""
    return _tracked(driver, endpoint_id).class_health[0].ejected_until


def eject(driver: PolicyDriver, endpoint_id: int, until: float) -> None:
    """Eject an endpoint for the first class until then (ms)."""
    _tracked(driver, endpoint_id).class_health[0].ejected_until = until


def recent_failures(driver: PolicyDriver, endpoint_id: int) -> float:
    """The recent failures of an endpoint in the first class."""
    return _tracked(driver, endpoint_id).class_health[0].failure_ratio


def ring_endpoint(driver: PolicyDriver, key: int) -> int:
    """The endpoint on the ring that a key falls on first."""
    return driver.policy._affinity.endpoint_for(key, 0)


def tracked_keys(driver: PolicyDriver) -> int:
    """How many keys of sequential requests the policy keeps."""
    return len(driver.policy._sequencer)


def fix_random_draws(driver: PolicyDriver, value: float) -> None:
    """Let each random draw of the policy give this value."""
    driver.policy._retries._random.random = lambda: value  # type: ignore[method-assign]
