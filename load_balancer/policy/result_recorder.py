"""Result recording: passes the result of each attempt to the components that learn from it.

The order of the calls matters, as components use values that other components have just updated.
"""

from __future__ import annotations

from collections.abc import Sequence

from load_balancer.policy.events import AttemptEnded, AttemptResult
from load_balancer.policy.latency import LatencyEstimator
from load_balancer.policy.outliers import OutlierDetector
from load_balancer.policy.overload import OverloadEstimator
from load_balancer.policy.pending_request import PendingRequest
from load_balancer.policy.retries import RetryPolicy
from load_balancer.policy.selection import EndpointSelector
from load_balancer.policy.settings import RequestClass
from load_balancer.policy.tracked_endpoint import TrackedEndpoint

IGNORED_RESULTS = frozenset({AttemptResult.CANCELLED, AttemptResult.NOT_SENT})
"""Results caused by this node or an invalid request, not by the endpoint; nothing is learned from them."""


class ResultRecorder:
    """Decides which components learn from which results."""

    def __init__(
        self,
        classes: Sequence[RequestClass],
        latency: LatencyEstimator,
        overload: OverloadEstimator,
        retries: RetryPolicy,
        outliers: OutlierDetector,
        selector: EndpointSelector,
    ) -> None:
        self._classes = classes
        self._latency = latency
        self._overload = overload
        self._retries = retries
        self._outliers = outliers
        self._selector = selector

    def record(
        self, tracked: TrackedEndpoint, request: PendingRequest, event: AttemptEnded, lost: bool, now: float
    ) -> None:
        """Record the result of an attempt.

        Args:
            tracked: Endpoint of the attempt.
            request: Request of the attempt.
            event: Event with the result.
            lost: Whether the attempt timed out although the endpoint answered attempts sent after it.
            now: Current time in ms on the policy's clock.
        """
        result, class_index = event.result, request.arrival.class_index
        if result in IGNORED_RESULTS:
            return
        succeeded = result is AttemptResult.SUCCESS
        self._retries.record_connection(result is AttemptResult.CONNECT_FAILED)
        weight = self._overload.record_result(
            result, event.elapsed, self._latency.typical_latencies[class_index]
        )
        if succeeded:
            self._latency.record_success(class_index, event.elapsed, self._overload.value)
        if succeeded or result is AttemptResult.TIMEOUT:
            relative_latency = self._latency.record_relative_latency(
                class_index, tracked.endpoint.machine_type, event.elapsed
            )
            self._selector.record_latency(tracked, relative_latency)
        self._record_timeliness(request, event, lost, now)
        if succeeded:
            self._outliers.record_success(tracked, class_index)
        else:
            self._outliers.record_failure(tracked, class_index, result, weight, now)

    def _record_timeliness(
        self, request: PendingRequest, event: AttemptEnded, lost: bool, now: float
    ) -> None:
        request_class = self._classes[request.arrival.class_index]
        concurrency = self._overload.concurrency
        late = now - request.arrived_at > request_class.latency_objective
        if not lost:  # a lost attempt tells nothing about the latency of other attempts
            concurrency.record_timeliness(late or event.result is AttemptResult.TIMEOUT)
        if event.result is AttemptResult.SUCCESS and (request_class.late_weight or not late):
            concurrency.record_useful_response(event.elapsed)
