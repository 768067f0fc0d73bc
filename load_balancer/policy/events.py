"""Events: input of ``Policy.handle``. Times are in milliseconds on the policy's clock."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum, auto

from load_balancer.policy.endpoints import Endpoint


class UpdateKind(IntEnum):
    """Kind of an endpoint list update. The values are part of the simulator's wire format."""

    DELTA = 0
    """Only the entries that changed."""
    SNAPSHOT = 1
    """The complete list; an endpoint that is not in it has been removed."""
    CACHED_SNAPSHOT = 2
    """The complete list as the node had it before it restarted."""
    UNAVAILABLE = 3
    """Discovery can't be reached: a call failed or the watch broke. The current list stays in use."""


class DiscoveryLoss(Enum):
    """How contact with discovery was lost; it decides when the node counts as notified of missed changes."""

    UNREACHABLE = auto()
    """The watch or a call ended: discovery may be down, and notifies the node only when it is back."""
    WATCH_SILENT = auto()
    """The watch stayed open without a heartbeat: the node counts as notified after a fixed time."""
    ADDRESS_CHANGED = auto()
    """The configuration names another discovery service, which has not answered yet: as WATCH_SILENT."""


class AttemptResult(IntEnum):
    """Result of an attempt. The values are part of the simulator's wire format."""

    SUCCESS = 1
    ERROR = 2
    """The endpoint answered with an error."""
    REJECTED = 3
    """The endpoint rejected the request because it is full or draining."""
    TIMEOUT = 4
    CONNECT_FAILED = 5
    """No connection was established, so nothing was sent."""
    RESET = 6
    """The connection broke after the request was sent."""
    CANCELLED = 7
    """This node cancelled the attempt, or the endpoint found the request invalid (a 4xx other than 429)."""
    NOT_SENT = 8
    """This node ended the attempt before sending anything."""


NEVER_RAN = frozenset({AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT})
"""Results that prove that the request has not run, except REJECTED if ``Settings.rejected_may_have_run``."""

MAY_STILL_RUN = frozenset({AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED})
"""Results after which the endpoint may still be executing the request."""


@dataclass(slots=True)
class EndpointUpdate:
    """A change of the endpoint list, or a failure to reach discovery."""

    kind: UpdateKind
    version: int
    """Version of the endpoint list."""
    endpoints: list[Endpoint]
    last_contact_at: float | None = None
    """For UNAVAILABLE and CACHED_SNAPSHOT: time in ms of the last contact with discovery, or None for now.

    If ``loss`` is ADDRESS_CHANGED, the time from which the age of the list counts then.
    """
    loss: DiscoveryLoss = DiscoveryLoss.UNREACHABLE
    """For UNAVAILABLE: how contact with discovery was lost."""
    is_partial: bool = False
    """For DELTA: whether more parts of the same update follow, so that the list is not up to date yet."""


@dataclass(slots=True)
class RequestArrived:
    """A client request has arrived; it must get exactly one final response."""

    request_id: int
    class_index: int
    """Index into ``Settings.classes``."""
    deadline: float
    """Time after which the client no longer waits for a response."""
    key: int = 0
    """Hash of the key for affinity and sequencing, or 0 if there is none. Not an idempotency key."""
    tenant: int = 0
    """Index into ``Settings.tenant_quotas``."""
    cost_hint: float = 0.0
    """Expected processing time in ms, or 0 if unknown."""
    is_client_retry: bool = False


@dataclass(slots=True)
class ResponseStarted:
    """A streamed response has started. Part of the simulator's wire format; this policy ignores it."""

    request_id: int
    attempt: int
    endpoint_id: int
    elapsed: float
    """Time in ms since the attempt was sent."""


@dataclass(slots=True)
class AttemptEnded:
    """An attempt has ended."""

    request_id: int
    endpoint_id: int
    request_ended: bool
    """Whether the request has ended, with this result or earlier."""
    result: AttemptResult
    attempt: int
    """Number of the attempt within its request, from 0."""
    elapsed: float
    """Time in ms since the attempt was sent."""
    load_report: tuple[float, ...] = ()
    """Load values that the endpoint reported; this policy ignores them."""


@dataclass(slots=True)
class HealthCheckEnded:
    """A health check has ended. Part of the simulator's wire format; this policy ignores it."""

    endpoint_id: int
    result: AttemptResult
    elapsed: float
    """Time in ms since the health check was sent."""
    load_report: tuple[float, ...] = ()
    """Load values that the endpoint reported; this policy ignores them."""


@dataclass(slots=True)
class TimerFired:
    """A timer set by ``SetTimer`` has expired."""

    token: int


@dataclass(slots=True)
class GossipReceived:
    """A message from another node. Part of the simulator's wire format; this policy ignores it."""

    sender: int
    payload: bytes


@dataclass(slots=True)
class RequestCancelled:
    """The request no longer needs a response: its client has disconnected, or the caller has responded."""

    request_id: int


Event = (
    EndpointUpdate
    | RequestArrived
    | ResponseStarted
    | AttemptEnded
    | HealthCheckEnded
    | TimerFired
    | GossipReceived
    | RequestCancelled
)
