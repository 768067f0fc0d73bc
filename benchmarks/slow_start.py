"""Simulates how many attempts an endpoint in slow start receives from all nodes together.

Each node has its own policy; the nodes share nothing but the endpoints. One endpoint starts at the beginning
of a quiet period. In the burst that follows, the nodes use the attempts saved in their budgets.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import deque
from dataclasses import dataclass, field, replace

from load_balancer.policy import Policy
from load_balancer.policy.commands import SendAttempt
from load_balancer.policy.endpoints import Endpoint, EndpointState
from load_balancer.policy.events import (
    AttemptEnded,
    AttemptResult,
    EndpointUpdate,
    Event,
    RequestArrived,
    UpdateKind,
)
from load_balancer.policy.settings import Idempotency, RequestClass, Settings

STEADY_TIME = 20_000.0  # ms of steady traffic before the endpoint starts
QUIET_TIME, BURST_TIME = 4_000.0, 4_000.0  # ms, durations
QUIET_FACTOR, BURST_FACTOR = 0.2, 2.0  # multiples of the steady traffic
BURST_START = STEADY_TIME + QUIET_TIME
MIN_RESPONSE_TIME = 50.0  # ms
CLIENT_DEADLINE = 900.0  # ms from the arrival of a request

NEW_ENDPOINT = 1  # id of the endpoint in slow start
SLOW_START_INITIAL = 0.34  # share of the full capacity that an endpoint has when it starts
SLOW_START_DURATION = 8800.0  # ms until an endpoint has its full capacity


@dataclass(frozen=True)
class Scenario:
    """Fleet and traffic around the start of one endpoint."""

    nodes: int
    endpoints: int
    """Number of warmed-up endpoints."""
    requests_per_second: float
    """Steady traffic of all nodes together."""
    utilization: float
    """Share of the warmed-up endpoints' capacity that the steady traffic uses."""
    overload_factor: float
    """Setting of the policy: load that overloads an endpoint in slow start, as a multiple of its capacity."""
    drained_share: float = 0.0
    """Share of the warmed-up endpoints that start to drain when the burst begins."""
    seed: int = 0

    @property
    def endpoint_capacity(self) -> float:
        """Requests per ms that a warmed-up endpoint can serve."""
        return self.requests_per_second / 1000 / self.endpoints / self.utilization


@dataclass(frozen=True)
class WorstWindow:
    """The time window in which the attempts at the new endpoint are highest relative to its ``bound``."""

    nodes: int
    attempts: int
    allowed: float
    """Requests that the endpoint can serve in the window, times the overload factor (N)."""
    bound: float
    """Limit above which the attempts count as overload: N plus an allowance for random variation."""
    windows_over_bound: int
    """Number of windows, one ending at each attempt, with more attempts than their bound."""


def overload_bound(allowed: float) -> float:
    """Return N + 2 sqrt(N) + 2, where N is `allowed`.

    N requests of average cost may reach this by chance: it is two standard deviations and 2 attempts more.
    """
    return allowed + 2 * math.sqrt(allowed) + 2


def simulate(scenario: Scenario) -> WorstWindow:
    """Simulate one scenario and return its worst window."""
    return _Simulation(scenario).run()


@dataclass(order=True, frozen=True, slots=True)
class _ScheduledEvent:
    """Event for a node. Events at the same time are processed in the order in which they were scheduled."""

    at: float
    """Time in ms."""
    sequence_number: int
    node: int = field(compare=False)
    event: Event = field(compare=False)


class _AttemptWindow:
    """Sliding window of `length` ms over the attempts at the new endpoint.

    It records the window with the highest ratio of attempts to bound.
    """

    def __init__(self, length: float) -> None:
        self.length = length
        self.worst_attempts, self.worst_allowed = 0, 0.0
        self.over_bound = 0
        self._worst_ratio = 0.0
        self._sent_at: deque[float] = deque()

    def add(self, now: float, allowed: float) -> None:
        """Count an attempt at `now`; the window that ends with it allows `allowed` attempts."""
        self._sent_at.append(now)
        while self._sent_at[0] <= now - self.length:
            self._sent_at.popleft()
        attempts, bound = len(self._sent_at), overload_bound(allowed)
        self.over_bound += attempts > bound
        if attempts / bound > self._worst_ratio:
            self._worst_ratio = attempts / bound
            self.worst_attempts, self.worst_allowed = attempts, allowed


class _Simulation:
    """State of a scenario: the nodes' policies, the endpoints and the scheduled events."""

    def __init__(self, scenario: Scenario) -> None:
        rng = random.Random(scenario.seed)
        settings = _settings(scenario)
        self._scenario = scenario
        self._policies = [
            Policy(replace(settings, node_index=node), rng.getrandbits(64)) for node in range(scenario.nodes)
        ]
        self._warm_endpoints = [_endpoint(NEW_ENDPOINT + 1 + i) for i in range(scenario.endpoints)]
        self._queue = self._schedule_arrivals(rng)
        self._scheduled_count = len(self._queue)
        self._busy_until: dict[int, float] = {}  # by endpoint id, ms
        self._window = _AttemptWindow(settings.slow_start_overload_window)

    def run(self) -> WorstWindow:
        """Process all events and return the worst window."""
        self._update_all(0.0, EndpointUpdate(UpdateKind.SNAPSHOT, 1, self._warm_endpoints))
        started = drained = False
        while self._queue:
            next_event = heapq.heappop(self._queue)
            if not started and next_event.at >= STEADY_TIME:
                started = True
                self._start_endpoint(next_event.at)
            if not drained and next_event.at >= BURST_START:
                drained = True
                self._drain_endpoints(next_event.at)
            for command in self._policies[next_event.node].handle(next_event.at, next_event.event):
                if isinstance(command, SendAttempt):
                    self._send(next_event.at, next_event.node, command)
        allowed = self._window.worst_allowed
        return WorstWindow(
            nodes=self._scenario.nodes,
            attempts=self._window.worst_attempts,
            allowed=allowed,
            bound=overload_bound(allowed),
            windows_over_bound=self._window.over_bound,
        )

    def _schedule_arrivals(self, rng: random.Random) -> list[_ScheduledEvent]:
        queue = []
        for number, at in enumerate(_arrival_times(rng, self._scenario.requests_per_second)):
            arrived = RequestArrived(number, 0, at + CLIENT_DEADLINE)
            queue.append(_ScheduledEvent(at, number, rng.randrange(self._scenario.nodes), arrived))
        heapq.heapify(queue)
        return queue

    def _update_all(self, now: float, update: EndpointUpdate) -> None:
        for policy in self._policies:
            policy.handle(now, update)

    def _start_endpoint(self, now: float) -> None:
        entry = replace(_endpoint(NEW_ENDPOINT), started_at=STEADY_TIME)
        self._update_all(now, EndpointUpdate(UpdateKind.DELTA, 2, [entry]))

    def _drain_endpoints(self, now: float) -> None:
        count = int(self._scenario.drained_share * self._scenario.endpoints)
        drained = [replace(entry, state=EndpointState.DRAINING) for entry in self._warm_endpoints[:count]]
        if drained:
            self._update_all(now, EndpointUpdate(UpdateKind.DELTA, 3, drained))

    def _send(self, now: float, node: int, command: SendAttempt) -> None:
        """Queue an attempt at its endpoint, behind earlier attempts, and schedule the attempt's end."""
        is_new = command.endpoint_id == NEW_ENDPOINT
        capacity = self._scenario.endpoint_capacity * (_capacity_share(now) if is_new else 1.0)
        free_at = max(now, self._busy_until.get(command.endpoint_id, 0.0)) + 1 / capacity
        self._busy_until[command.endpoint_id] = free_at
        self._schedule_end(now, node, command, responded_at=max(free_at, now + MIN_RESPONSE_TIME))
        if is_new:
            self._window.add(now, capacity * self._window.length * self._scenario.overload_factor)

    def _schedule_end(self, now: float, node: int, command: SendAttempt, responded_at: float) -> None:
        timed_out = responded_at > now + command.timeout
        ended = AttemptEnded(
            request_id=command.request_id,
            endpoint_id=command.endpoint_id,
            request_ended=not timed_out,
            result=AttemptResult.TIMEOUT if timed_out else AttemptResult.SUCCESS,
            attempt=0,
            elapsed=responded_at - now,
        )
        self._scheduled_count += 1
        at = now + command.timeout if timed_out else responded_at
        heapq.heappush(self._queue, _ScheduledEvent(at, self._scheduled_count, node, ended))


def _settings(scenario: Scenario) -> Settings:
    request_class = RequestClass(
        latency_objective=400.0, deadline=1000.0, priority_weight=1.0, idempotency=Idempotency.IDEMPOTENT
    )
    return Settings(
        classes=(request_class,),
        node_count=scenario.nodes,
        slow_start_initial=SLOW_START_INITIAL,
        slow_start_duration=SLOW_START_DURATION,
        slow_start_overload_factor=scenario.overload_factor,
    )


def _endpoint(endpoint_id: int) -> Endpoint:
    return Endpoint(endpoint_id, 0, 0, 0, EndpointState.READY, 1.0, 0.0)


def _capacity_share(now: float) -> float:
    """Return the share of its full capacity that the new endpoint has at `now`."""
    grown = (1 - SLOW_START_INITIAL) * (now - STEADY_TIME) / SLOW_START_DURATION
    return min(1.0, SLOW_START_INITIAL + grown)


def _arrival_times(rng: random.Random, per_second: float) -> list[float]:
    """Return the arrival times of all requests, in ms."""
    now, times = 0.0, []
    while now < BURST_START + BURST_TIME:
        now += rng.expovariate(per_second * _traffic_factor(now) / 1000)
        times.append(now)
    return times


def _traffic_factor(now: float) -> float:
    """Return the traffic at `now` as a multiple of the steady traffic."""
    if now < STEADY_TIME:
        return 1.0
    return QUIET_FACTOR if now < BURST_START else BURST_FACTOR
