"""Policy engine: takes one event at a time and returns the commands to carry out.

``Policy`` connects the components; the module of each component documents its rules. An arriving request gets
a priority score. It is rejected if the score is below the shedding threshold, and is otherwise sent to an
endpoint. Time comes from the events and random numbers come from the seed, so that the same events always
produce the same commands.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from enum import StrEnum
from typing import Any

from load_balancer.policy.admission import Admission
from load_balancer.policy.affinity import KeyAffinity
from load_balancer.policy.commands import (
    CancelAttempt,
    Command,
    FailRequest,
    RejectRequest,
    SendAttempt,
    SetTimer,
    WatchEndpoints,
    WriteLog,
)
from load_balancer.policy.eligibility import Eligibility
from load_balancer.policy.endpoint_registry import EndpointRegistry
from load_balancer.policy.endpoints import EndpointState
from load_balancer.policy.errors import UnknownClassError
from load_balancer.policy.events import (
    AttemptEnded,
    AttemptResult,
    EndpointUpdate,
    Event,
    RequestArrived,
    RequestCancelled,
    TimerFired,
    UpdateKind,
)
from load_balancer.policy.fleet_capacity import FleetCapacity
from load_balancer.policy.key_sequencing import KeySequencer
from load_balancer.policy.latency import LatencyEstimator
from load_balancer.policy.outliers import OutlierDetector
from load_balancer.policy.overload import UPDATE_INTERVAL, OverloadEstimator
from load_balancer.policy.pending_request import PendingRequest
from load_balancer.policy.quotas import TenantQuotas
from load_balancer.policy.result_recorder import ResultRecorder
from load_balancer.policy.retries import OVERDUE_FACTOR, RetryPolicy
from load_balancer.policy.selection import EndpointSelector
from load_balancer.policy.settings import Settings
from load_balancer.policy.slow_start import SlowStart
from load_balancer.policy.staleness import StalenessGuard
from load_balancer.policy.time_scale import time_scale
from load_balancer.policy.tracked_endpoint import TrackedEndpoint
from load_balancer.policy.working_set import WorkingSet

HALVING_INTERVAL = 5000.0  # minimum ms between halvings of the request, key and attempt counts
MAX_UPDATE_ELAPSED = 1000.0  # maximum ms of elapsed time that one update accounts for
# Token of the timer that restarts the endpoint watch; other tokens are request ids.
WATCH_TIMER_TOKEN = 1 << 60


class UnservedReason(StrEnum):
    """Why the policy ended a request without sending a further attempt.

    Requests that end because ``RetryPolicy.should_retry`` declines a retry are not counted.
    """

    SHED = "shed below the threshold"
    NO_ENDPOINT = "without an eligible endpoint"
    EXPIRED_LIST = "with an expired endpoint list"
    NO_TIME = "without time to be served"
    NO_ATTEMPTS_LEFT = "without attempts left"


class Policy:
    """Makes the load-balancing decisions of one node; instances share no state.

    Args:
        settings: Settings of the node, fixed for its lifetime.
        seed: Seed of the random number generator.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self._now = 0.0
        self._commands: list[Command] = []
        self._requests: dict[int, PendingRequest] = {}  # requests without a final response, by id
        self.unserved_counts: Counter[str] = Counter()
        """Number of requests ended for each ``UnservedReason``; whoever reports the counts clears them."""
        self._create_components(random.Random(seed))
        self._update_interval = UPDATE_INTERVAL * time_scale(settings)
        self._updated_at = 0.0  # ms; 0 before the first update
        self._halved_at = 0.0  # ms

    def _create_components(self, rng: random.Random) -> None:
        """Create the components; each component is the only writer of its own state."""
        settings = self.settings
        self._quotas = TenantQuotas(settings.tenant_quotas, settings.node_count)
        self._admission = Admission(settings, rng)
        self._overload = OverloadEstimator(time_scale(settings))
        self._latency = LatencyEstimator(settings.classes)
        self._registry = EndpointRegistry(settings)
        self._capacity = FleetCapacity(settings, self._registry.table, self._latency)
        self._working_set = WorkingSet(settings, self._registry)
        self._affinity = KeyAffinity(rng, self._registry, self._working_set, self._capacity)
        concurrency = self._overload.concurrency
        self._slow_start = SlowStart(settings, self._latency, concurrency, self._working_set)
        failures = self._overload.failures
        self._outliers = OutlierDetector(settings, rng, self._registry, self._working_set, failures)
        self._staleness = StalenessGuard(settings, rng)
        self._retries = RetryPolicy(settings, rng)
        self._sequencer = KeySequencer(settings.key_cooldown)
        eligibility = Eligibility(self._outliers, self._staleness, self._slow_start, self._retries)
        self._selector = EndpointSelector(
            settings,
            rng,
            self._registry,
            self._working_set,
            self._capacity,
            self._affinity,
            self._slow_start,
            eligibility,
        )
        self._recorder = ResultRecorder(
            settings.classes, self._latency, self._overload, self._retries, self._outliers, self._selector
        )

    def handle(self, now: float, event: Event) -> list[Command]:
        """Handle an event and return the commands to carry out, in order.

        Args:
            now: Current time in ms on a monotonic clock.
            event: Event to handle.

        Raises:
            UnknownClassError: The request class is not defined in the settings.
            UnknownTenantError: The settings have quotas, but none for the tenant of the request.
        """
        self._now = now
        commands = self._commands = []
        handler = _HANDLERS.get(type(event))  # None if this policy ignores the event
        if handler is not None:
            handler(self, event)
        while (request := self._sequencer.next_ready()) is not None:
            self._start_attempt(request)
        return commands

    # Requests and attempts.

    def _on_request(self, event: RequestArrived) -> None:
        if self._now - self._updated_at >= self._update_interval:
            self._update_estimates()
        if not 0 <= event.class_index < len(self.settings.classes):
            raise UnknownClassError(event.class_index)
        over_quota = self._quotas.count_request(event.tenant, self._now)
        if event.key and self.settings.endpoints_cache_keys:
            self._affinity.record(event.key)
        score = self._admission.count_and_score(event.class_index, over_quota)
        if score < self._admission.threshold:
            self._overload.failures.record_shed_request()
            self.unserved_counts[UnservedReason.SHED] += 1
            self._commands.append(RejectRequest(event.request_id, self._admission.retry_after(score)))
            return
        request = self._requests[event.request_id] = PendingRequest(event, self._now, score)
        if event.key and self.settings.classes[event.class_index].sequential_per_key:
            self._sequencer.enqueue(request)
        self._start_attempt(request)

    def _start_attempt(self, request: PendingRequest) -> None:
        """Send an attempt, wait for earlier requests of the key, or end a request that can't be served."""
        requests_ahead = self._sequencer.position(request)
        typical_latency = self._latency.typical_latencies[request.arrival.class_index]
        if not self._retries.has_attempts_left(request):
            self._end_unserved(request, UnservedReason.NO_ATTEMPTS_LEFT)
            return
        latest_start_at = self._retries.latest_start(request, typical_latency, requests_ahead)
        if latest_start_at <= self._now:
            self._end_unserved(request, UnservedReason.NO_TIME)
            return
        recheck_at = self._sequencer.recheck_at(request, requests_ahead, latest_start_at, self._now)
        if recheck_at is not None:
            # If the timer fires at ``latest_start_at``, the request is out of time and ends.
            self._commands.append(SetTimer(recheck_at - self._now, request.arrival.request_id))
            return
        tracked = self._selector.pick(request, self._now)
        if tracked is None:
            is_expired = self._staleness.is_expired(self._now)
            self._end_unserved(
                request, UnservedReason.EXPIRED_LIST if is_expired else UnservedReason.NO_ENDPOINT
            )
            return
        self._send_attempt(request, tracked, typical_latency)

    def _send_attempt(
        self, request: PendingRequest, tracked: TrackedEndpoint, typical_latency: float
    ) -> None:
        """Send an attempt to an endpoint, given the typical latency of the request class in ms."""
        # The registry comes first: it reads the attempt number that the retry policy then increments. The
        # timeout comes last: it depends on the number of attempts left after this one.
        self._registry.attempt_sent(request, tracked, self._now, self._now + OVERDUE_FACTOR * typical_latency)
        self._retries.attempt_sent(request, tracked.endpoint, self._now)
        self._sequencer.attempt_sent(request)
        self._overload.attempt_sent()
        self._selector.attempt_sent(tracked)
        self._slow_start.attempt_sent(tracked, self._now)
        congested = self._overload.concurrency.congested
        timeout = self._retries.timeout(request, typical_latency, congested, self._now)
        self._commands.append(SendAttempt(request.arrival.request_id, tracked.endpoint.id, timeout))

    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        tracked = self._registry.get(event.endpoint_id)
        attempt = self._registry.attempt_ended(tracked, event) if tracked is not None else None
        if tracked is None or attempt is None:
            return  # duplicate report; the endpoint may no longer be tracked
        request = attempt.request
        self._overload.attempt_ended()
        self._retries.attempt_ended(request, event.attempt, event.result)
        self._sequencer.attempt_ended(request, event.result, self._now)
        lost = event.result is AttemptResult.TIMEOUT and tracked.answered_later_than(attempt)
        self._recorder.record(tracked, request, event, lost, self._now)
        if event.request_ended or event.request_id not in self._requests:
            self._forget_request(event.request_id)
        elif self._retries.should_retry(self._overload.value):
            self._start_attempt(request)
        else:
            self._reject_or_fail(request)

    def _end_unserved(self, request: PendingRequest, reason: UnservedReason) -> None:
        self.unserved_counts[reason] += 1
        self._reject_or_fail(request)

    def _reject_or_fail(self, request: PendingRequest) -> None:
        """End a request: reject it if it is safe to send again, else fail it."""
        request_id = request.arrival.request_id
        retry_after = self._admission.retry_after(request.score)
        if self._retries.is_rejectable(request):
            self._commands.append(RejectRequest(request_id, retry_after))
        else:
            self._commands.append(FailRequest(request_id))
        self._forget_request(request_id)

    def _on_request_cancelled(self, event: RequestCancelled) -> None:
        self._forget_request(event.request_id)

    def _forget_request(self, request_id: int) -> None:
        """Drop a request that no longer needs a response, and cancel its attempts in flight if allowed."""
        request = self._requests.pop(request_id, None)
        if request is None:
            return
        if self.settings.can_cancel:
            attempts = sorted(request.attempts_in_flight)
            self._commands.extend(CancelAttempt(request_id, attempt) for attempt in attempts)
        self._sequencer.request_finished(request)

    def _on_timer(self, event: TimerFired) -> None:
        if event.token == WATCH_TIMER_TOKEN:
            self._commands.append(WatchEndpoints())
            return
        request = self._requests.get(event.token)
        if request is not None and not request.attempts_sent:  # otherwise the timer is stale
            self._start_attempt(request)

    # Periodic work, driven by arriving requests.

    def _update_estimates(self) -> None:
        """Update the time-based estimates, and age older state if that is due."""
        elapsed = self._update_interval
        if self._updated_at:
            elapsed = min(self._now - self._updated_at, MAX_UPDATE_ELAPSED)
        self._updated_at = self._now
        if self._now - self._halved_at >= HALVING_INTERVAL:
            self._halved_at = self._now
            self._age_state()
        self._admission.update_bands()
        self._update_overload(elapsed)

    def _update_overload(self, elapsed: float) -> None:
        overload = self._overload
        overload.update(elapsed, self._registry.lost_attempts(self._now), self._capacity)
        if self._admission.update_threshold(overload.value):
            state = "on" if self._admission.shedding_logged else "off"
            self._commands.append(WriteLog(f"load shedding {state}: {overload.describe()}"))

    def _age_state(self) -> None:
        """Halve the counts, so that older traffic weighs less, and drop unused state."""
        self._admission.halve_counts()
        self._affinity.halve_counts()
        self._selector.halve_counts()
        self._quotas.drop_idle(self._now, HALVING_INTERVAL)
        self._sequencer.drop_idle(self._now)
        self._registry.trim(self._working_set.subset.ids)
        self._refresh_working_set()

    # Endpoint list.

    def _on_endpoint_update(self, event: EndpointUpdate) -> None:
        retry_in = self._staleness.update(event, self._now)
        if retry_in is not None:
            self._commands.append(SetTimer(retry_in, WATCH_TIMER_TOKEN))
        if event.kind is UpdateKind.UNAVAILABLE:
            return
        if event.kind is not UpdateKind.DELTA:
            self._remove_unlisted({entry.id for entry in event.endpoints})
        for entry in event.endpoints:
            self._registry.apply_entry(entry, self._now)
        if event.endpoints or event.kind is not UpdateKind.DELTA:
            self._refresh_working_set()

    def _remove_unlisted(self, listed_ids: set[int]) -> None:
        """Remove the endpoints that are missing from a snapshot."""
        table = self._registry.table
        for endpoint_id in table.ids():
            entry = table.get(endpoint_id) if endpoint_id not in listed_ids else None
            if entry is not None:
                self._registry.apply_entry(replace(entry, state=EndpointState.REMOVED), self._now)

    def _refresh_working_set(self) -> None:
        """Rebuild what depends on the endpoint table; required before the next endpoint selection."""
        # The order matters: the affinity ring is built from the new subset and the new relative capacities.
        self._working_set.refresh(self._now, self._overload.concurrency.required)
        self._capacity.refresh(self._now)
        if self.settings.endpoints_cache_keys:
            self._affinity.rebuild(self._now)


_HANDLERS: dict[type[Event], Callable[[Policy, Any], None]] = {
    RequestArrived: Policy._on_request,
    AttemptEnded: Policy._on_attempt_ended,
    EndpointUpdate: Policy._on_endpoint_update,
    RequestCancelled: Policy._on_request_cancelled,
    TimerFired: Policy._on_timer,
}
