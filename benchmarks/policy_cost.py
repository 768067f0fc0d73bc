"""Measures how the policy's processor time and memory grow with endpoints, tenants or request classes.

Times are the processor time of this process for one operation, such as a request; most are the best of
several rounds of many calls, so that other load on the machine has little effect. They are meant for ratios
between sizes and between versions of the code.
"""

from __future__ import annotations

import gc
import itertools
import time
import tracemalloc
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

from benchmarks.fleet import policy_endpoint, policy_settings
from load_balancer.policy import Policy, Settings
from load_balancer.policy.commands import SendAttempt
from load_balancer.policy.endpoints import EndpointState
from load_balancer.policy.events import (
    AttemptEnded,
    AttemptResult,
    EndpointUpdate,
    RequestArrived,
    UpdateKind,
)

ROUNDS = 3
UPDATE_SIZE = 250  # entries per event when the node passes a snapshot to the policy
PEAK_RATE = 87.0  # requests per second at each node of a fleet of FLEET_NODES at peak traffic
START_TIME = 1_000_000.0  # ms on the policy's clock
UPKEEP_INTERVAL = 60.0  # ms, longer than the policy's interval between refreshes of its averages
SMALL_FLEET_ENDPOINTS = 200  # used where the cost is measured by tenants or request classes
STRIDE = 7919  # prime that spreads consecutive numbers over a range


@dataclass(frozen=True)
class Cost:
    """Cost of one kind of work at one size."""

    work: str
    size: int
    """Number of endpoints, tenants or request classes."""
    ms: float
    """Processor time of one operation in ms, or the memory in MB if the work is "memory, MB"."""


class MeasuredPolicy:
    """Policy with a simulated clock, driven by requests and endpoint updates."""

    def __init__(self, settings: Settings) -> None:
        self.now = START_TIME
        self._policy = Policy(settings, 1)
        self._request_ids = itertools.count()

    def load_endpoints(self, count: int) -> float:
        """Apply an endpoint list in parts, like the node; return the longest part's processor time in ms."""
        longest = 0.0
        for first in range(0, count, UPDATE_SIZE):
            entries = [policy_endpoint(i) for i in range(first, min(first + UPDATE_SIZE, count))]
            started = time.process_time()
            self._policy.handle(self.now, EndpointUpdate(UpdateKind.DELTA, 1, entries))
            longest = max(longest, (time.process_time() - started) * 1000)
            self.now += 1.0
        return longest

    def serve(self, after: float, tenant: int = 0, class_index: int = 0) -> None:
        """Advance the clock by `after` ms, then pass in a request whose attempts succeed at once."""
        self.now += after
        request_id = next(self._request_ids)
        arrived = RequestArrived(request_id, class_index, self.now + 900.0, tenant=tenant)
        for command in self._policy.handle(self.now, arrived):
            if isinstance(command, SendAttempt):
                ended = AttemptEnded(
                    command.request_id, command.endpoint_id, True, AttemptResult.SUCCESS, 0, 40.0
                )
                self._policy.handle(self.now, ended)

    def restart_endpoint(self, number: int) -> None:
        """Apply an update for an endpoint that has just restarted."""
        self.now += 10.0
        entry = policy_endpoint(number, started=self.now)
        self._policy.handle(self.now, EndpointUpdate(UpdateKind.DELTA, 2, [entry]))

    def add_and_remove_endpoint(self, number: int) -> None:
        """Apply one update that adds an endpoint and one that removes it."""
        self.now += 10.0
        entry = policy_endpoint(number)
        self._policy.handle(self.now, EndpointUpdate(UpdateKind.DELTA, 2, [entry]))
        removed = replace(entry, state=EndpointState.REMOVED)
        self._policy.handle(self.now, EndpointUpdate(UpdateKind.DELTA, 3, [removed]))


def fleet_costs(endpoints: int) -> Iterator[Cost]:
    """Measure memory, changes of the endpoint list and requests for a number of endpoints.

    Requests are measured with and without upkeep, the refreshes of averages that a request may have to make.
    """
    yield Cost("memory, MB", endpoints, _policy_memory(endpoints))
    policy = MeasuredPolicy(policy_settings())  # a new one, not slowed down by memory tracing
    yield Cost("longest part of the endpoint list", endpoints, policy.load_endpoints(endpoints))
    numbers = itertools.count()
    costs: list[tuple[str, Callable[[], None], int]] = [
        ("one endpoint restarted", lambda: policy.restart_endpoint(next(numbers) * STRIDE % endpoints), 50),
        (
            "one endpoint added, then removed",
            lambda: policy.add_and_remove_endpoint(endpoints + next(numbers)),
            25,
        ),
        ("request with upkeep", lambda: policy.serve(after=UPKEEP_INTERVAL), 100),
        ("request", lambda: policy.serve(after=0.01), 300),
    ]
    for work, function, calls in costs:
        yield Cost(work, endpoints, best_time(function, calls))


def tenant_cost(tenants: int) -> Cost:
    """Measure a request that includes upkeep (refreshes of averages) for a number of tenants."""
    policy = MeasuredPolicy(policy_settings(tenants=tenants))
    policy.load_endpoints(SMALL_FLEET_ENDPOINTS)
    numbers = itertools.count()

    def serve_one() -> None:
        policy.serve(after=UPKEEP_INTERVAL, tenant=next(numbers) * STRIDE % tenants)

    return Cost("upkeep by tenants", tenants, best_time(serve_one, 30))


def class_cost(classes: int) -> Cost:
    """Measure a request that includes upkeep (refreshes of averages) for a number of request classes."""
    policy = MeasuredPolicy(policy_settings(classes=classes))
    policy.load_endpoints(SMALL_FLEET_ENDPOINTS)
    numbers = itertools.count()

    def serve_one() -> None:
        policy.serve(after=UPKEEP_INTERVAL, class_index=next(numbers) % classes)

    return Cost("upkeep by classes", classes, best_time(serve_one, 30))


def best_time(function: Callable[[], None], calls: int) -> float:
    """Return the processor time of one call in ms, from the fastest of `ROUNDS` rounds of `calls` calls."""
    times = []
    for _ in range(ROUNDS):
        started = time.process_time()
        for _ in range(calls):
            function()
        times.append((time.process_time() - started) * 1000 / calls)
    return min(times)


def _policy_memory(endpoints: int) -> float:
    """Return the memory in MB of a policy that has had some traffic."""
    gc.collect()
    tracemalloc.start()
    policy = MeasuredPolicy(policy_settings())
    policy.load_endpoints(endpoints)
    for _ in range(200):  # so that the endpoints in the node's subset have state
        policy.serve(after=1000 / PEAK_RATE)
    gc.collect()
    traced_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return traced_bytes / 1e6
