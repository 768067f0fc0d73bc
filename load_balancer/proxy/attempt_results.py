"""Results of attempts, by the response or by the way in which the connection was lost."""

from __future__ import annotations

from http import HTTPStatus

from load_balancer.policy.events import AttemptResult

# Status codes are plain integers here, since looking up members of HTTPStatus is slow on the request path.
STATUS_OK = HTTPStatus.OK.value
# Together with the header "Not-Started: 1", these statuses prove that the request did not run.
REJECTION_STATUSES = (HTTPStatus.SERVICE_UNAVAILABLE.value, HTTPStatus.GATEWAY_TIMEOUT.value)

# Names of the counters in the log. The first three tell apart the attempts that ended as RESET.
LOST_WITHOUT_RESPONSE = "connections lost without a response"
RESPONSES_ENDED_EARLY = "responses ended early by a close"
RESPONSES_RESET = "responses ended early by a reset"
RESPONSES_WITHOUT_LENGTH = "responses without a length"  # complete ones


def attempt_result(status: int, not_started: bool) -> AttemptResult:
    """Return the result of an attempt whose response is complete."""
    if status == STATUS_OK:
        return AttemptResult.SUCCESS
    if not_started and status in REJECTION_STATUSES:
        return AttemptResult.REJECTED
    return AttemptResult.ERROR


def loss_counter(has_response: bool, is_reset: bool) -> str:
    """Return the name of the counter for a connection that was lost during an attempt.

    Args:
        has_response: Whether any byte of a response had come.
        is_reset: Whether the connection was reset, not closed in order.
    """
    if not has_response:
        return LOST_WITHOUT_RESPONSE
    return RESPONSES_RESET if is_reset else RESPONSES_ENDED_EARLY
