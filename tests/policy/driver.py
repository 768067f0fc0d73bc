"""Drives a policy with events and asserts the protocol's rules on its commands, without reading its state."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum, auto
from typing import Any, NamedTuple

from load_balancer.policy.commands import (
    CancelAttempt,
    FailRequest,
    RejectRequest,
    SendAttempt,
    SetTimer,
    WatchEndpoints,
    WriteLog,
)
from load_balancer.policy.endpoints import Endpoint, EndpointState
from load_balancer.policy.engine import Policy
from load_balancer.policy.events import (
    AttemptEnded,
    AttemptResult,
    EndpointUpdate,
    RequestArrived,
    RequestCancelled,
    TimerFired,
    UpdateKind,
)
from load_balancer.policy.settings import DeduplicationScope, Idempotency, RequestClass, Settings

START_TIME = 50_000.0  # ms on the policy's clock, at which each driver starts
IDEMPOTENT = RequestClass(
    latency_objective=400.0, deadline=1000.0, priority_weight=10.0, idempotency=Idempotency.IDEMPOTENT
)
KEYED = RequestClass(
    latency_objective=400.0,
    deadline=1000.0,
    priority_weight=1.0,
    idempotency=Idempotency.KEYED,
    deduplication_window=600.0,
)
NOT_IDEMPOTENT = RequestClass(
    latency_objective=400.0,
    deadline=1000.0,
    priority_weight=1.0,
    idempotency=Idempotency.NOT_IDEMPOTENT,
    deduplication_window=5000.0,
)
KEYED_PER_ZONE = replace(KEYED, deduplication_scope=DeduplicationScope.ZONE, deduplication_window=300.0)
KEYED_PER_CELL = replace(KEYED, deduplication_scope=DeduplicationScope.CELL, deduplication_window=300.0)
SEQUENTIAL = replace(NOT_IDEMPOTENT, sequential_per_key=True)
SEQUENTIAL_IDEMPOTENT = replace(IDEMPOTENT, sequential_per_key=True)
NEVER_RAN = (AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT)
MAY_STILL_RUN = (AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED)


class RequestOutcome(Enum):
    """How a request ended for its client."""

    SERVED = auto()
    REJECTED = auto()
    FAILED = auto()
    CANCELLED = auto()


class AttemptId(NamedTuple):
    """The id of a request and the number of one of its attempts, counted from 0."""

    request_id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class SentAttempt:
    """The time in ms at which an attempt was sent, and its endpoint."""

    sent_at: float
    endpoint: Endpoint


@dataclass(frozen=True, slots=True)
class Cooldown:
    """The time in ms until which a key is blocked by an attempt of this request that may still run."""

    request_id: int
    until: float


def settings(**changes: Any) -> Settings:
    """Return settings with an idempotent, a keyed and a non-idempotent class; `changes` replace fields."""
    base = Settings(
        classes=(IDEMPOTENT, KEYED, NOT_IDEMPOTENT),
        tick=5.0,
        can_cancel=True,
        max_attempts=4,
        max_retry_after=2000.0,
        slow_start_initial=0.2,
        slow_start_duration=10_000.0,
    )
    return replace(base, **changes)


def endpoint(endpoint_id: int, state: EndpointState = EndpointState.READY, started: float = 0.0) -> Endpoint:
    """Return an endpoint of weight 1; its id determines its zone (of three) and its cell (of four)."""
    return Endpoint(endpoint_id, endpoint_id % 3, 0, endpoint_id % 4, state, 1.0, started)


class PolicyDriver:
    """Sends events to one policy, tracks its attempts, and asserts the protocol's rules on each command."""

    def __init__(self, config: Settings, seed: int = 1, endpoints: int = 8) -> None:
        self.config = config
        self.now = START_TIME
        self.policy = Policy(config, seed)
        self.endpoint_states: dict[int, EndpointState] = {}  # by endpoint id
        self.requests: dict[int, RequestArrived] = {}  # by request id
        self.pending: set[int] = set()  # ids of requests without an outcome
        self.outcomes: dict[int, RequestOutcome] = {}  # by request id
        self.attempts: dict[int, list[SentAttempt]] = {}  # by request id, in order
        self.attempts_in_flight: dict[AttemptId, float] = {}  # ms at which each times out
        self.possible_runs: dict[int, dict[int, SentAttempt]] = {}  # by request id, then attempt number
        self.timers: list[tuple[float, int]] = []  # (time in ms at which it fires, token)
        self.commands: list[object] = []  # all commands so far, in order
        self.endpoints: dict[int, Endpoint] = {}  # by id, removed ones included
        self.key_queues: dict[int, list[int]] = {}  # by key: request ids in order of arrival
        self.cooldowns: dict[int, list[Cooldown]] = {}  # by key
        self.next_request_id = 1
        self.update_endpoints([endpoint(i) for i in range(endpoints)], UpdateKind.CACHED_SNAPSHOT)

    def handle(self, event: object) -> list[object]:
        """Send an event to the policy; check and return its commands."""
        commands = self.policy.handle(self.now, event)  # type: ignore[arg-type]
        for command in commands:
            self._check_command(command)
        self.commands.extend(commands)
        return list(commands)

    def update_endpoints(self, entries: list[Endpoint], kind: UpdateKind = UpdateKind.DELTA) -> list[object]:
        """Send an endpoint list update; a snapshot removes the endpoints that it does not list."""
        if kind in (UpdateKind.SNAPSHOT, UpdateKind.CACHED_SNAPSHOT):
            self.endpoint_states = dict.fromkeys(self.endpoint_states, EndpointState.REMOVED)
        for entry in entries:
            self.endpoint_states[entry.id] = entry.state
            self.endpoints[entry.id] = entry
        return self.handle(EndpointUpdate(kind, 1, entries))

    def make_discovery_unavailable(self) -> list[object]:
        """Send the update that says that discovery is unavailable."""
        return self.handle(EndpointUpdate(UpdateKind.UNAVAILABLE, 0, []))

    def request(
        self,
        class_index: int = 0,
        deadline_in: float = 900.0,
        key: int = 0,
        tenant: int = 0,
        cost_hint: float = 0.0,
    ) -> int:
        """Let a request arrive whose deadline is in `deadline_in` ms, and return the request id."""
        request_id = self.next_request_id
        self.next_request_id += 1
        deadline = self.now + deadline_in
        self.requests[request_id] = RequestArrived(request_id, class_index, deadline, key, tenant, cost_hint)
        self.pending.add(request_id)
        self.attempts[request_id] = []
        self.possible_runs[request_id] = {}
        if key and self.config.classes[class_index].sequential_per_key:
            self.key_queues.setdefault(key, []).append(request_id)
        self.handle(self.requests[request_id])
        return request_id

    def commands_for_new_request(self, class_index: int, tenant: int = 0) -> list[object]:
        """Let a request arrive, and return the commands with which the policy responds."""
        first = len(self.commands)
        self.request(class_index, tenant=tenant)
        return self.commands[first:]

    def rejects_new_request(self, class_index: int, tenant: int = 0) -> bool:
        """Let a request arrive, and return whether the policy rejects it at once."""
        commands = self.commands_for_new_request(class_index, tenant)
        return any(isinstance(command, RejectRequest) for command in commands)

    def is_in_flight(self, request_id: int, attempt: int = 0) -> bool:
        """Return whether this attempt of a request was sent and has not ended."""
        return (request_id, attempt) in self.attempts_in_flight

    def last_attempt(self, request_id: int) -> int:
        """Return the number of a request's last attempt, or -1 if none was sent."""
        return len(self.attempts[request_id]) - 1

    def last_is_in_flight(self, request_id: int) -> bool:
        """Return whether the last attempt of a request was sent and has not ended."""
        return self.is_in_flight(request_id, self.last_attempt(request_id))

    def oldest_in_flight(self) -> AttemptId:
        """Return the attempt that has been in flight the longest."""
        return next(iter(self.attempts_in_flight))

    def end_attempt(
        self, request_id: int, attempt: int, result: AttemptResult, elapsed: float = 50.0
    ) -> list[object]:
        """End an attempt in flight with a result; the policy is told that it took `elapsed` ms."""
        del self.attempts_in_flight[AttemptId(request_id, attempt)]
        if result in NEVER_RAN and not (
            result == AttemptResult.REJECTED and self.config.rejected_may_have_run
        ):
            del self.possible_runs[request_id][attempt]
        if result in MAY_STILL_RUN:
            cooldown = Cooldown(request_id, self.now + self.config.key_cooldown)
            self.cooldowns.setdefault(self.requests[request_id].key, []).append(cooldown)
        if result == AttemptResult.SUCCESS and request_id in self.pending:
            self.pending.discard(request_id)
            self.outcomes[request_id] = RequestOutcome.SERVED
        request_ended = request_id not in self.pending
        target = self.attempts[request_id][attempt].endpoint.id
        return self.handle(AttemptEnded(request_id, target, request_ended, result, attempt, elapsed))

    def serve(self, request_id: int, elapsed: float = 50.0) -> None:
        """End the first attempt of a request with SUCCESS."""
        self.end_attempt(request_id, 0, AttemptResult.SUCCESS, elapsed)

    def cancel(self, request_id: int) -> None:
        """Let the client of a request disconnect."""
        self.pending.discard(request_id)
        self.outcomes[request_id] = RequestOutcome.CANCELLED
        self.handle(RequestCancelled(request_id))

    def advance(self, duration: float) -> None:
        """Let `duration` ms pass and run what is due; assert that no pending request misses its deadline."""
        end = self.now + duration
        while self._run_next_due(end):
            pass
        self.now = end
        for request_id in self.pending:
            assert self.requests[request_id].deadline >= self.now, f"request {request_id} missed its deadline"

    def _run_next_due(self, end: float) -> bool:
        """Run the next timer or attempt timeout due by `end` ms; return False if there is none."""
        due = [(at, 0, token, 0) for at, token in self.timers]  # the 0 puts timers first at equal times
        due += [(at, 1, *attempt_id) for attempt_id, at in self.attempts_in_flight.items()]
        due = sorted(entry for entry in due if entry[0] <= end)
        if not due:
            return False
        at, is_attempt, token_or_request_id, attempt = due[0]
        self.now = max(self.now, at)
        if is_attempt:
            sent_at = self.attempts[token_or_request_id][attempt].sent_at
            self.end_attempt(token_or_request_id, attempt, AttemptResult.TIMEOUT, self.now - sent_at)
        else:
            self.timers.remove((at, token_or_request_id))
            self.handle(TimerFired(token_or_request_id))
        return True

    def _check_command(self, command: object) -> None:
        if isinstance(command, SendAttempt):
            self._check_send(command)
            self._record_send(command)
        elif isinstance(command, RejectRequest | FailRequest):
            self._check_final_response(command)
        elif isinstance(command, CancelAttempt):
            assert self.config.can_cancel
            assert command.attempt < len(self.attempts[command.request_id]), "cancelled an unsent attempt"
        elif isinstance(command, SetTimer):
            assert command.delay >= 0
            self.timers.append((self.now + command.delay, command.token))
        elif not isinstance(command, WriteLog):
            assert isinstance(command, WatchEndpoints)
            assert self.config.endpoints_are_polled

    def _check_final_response(self, command: RejectRequest | FailRequest) -> None:
        assert command.request_id in self.pending, "final response after the request ended"
        self.pending.discard(command.request_id)
        is_rejection = isinstance(command, RejectRequest)
        self.outcomes[command.request_id] = RequestOutcome.REJECTED if is_rejection else RequestOutcome.FAILED
        request_class = self.config.classes[self.requests[command.request_id].class_index]
        repeat_is_safe = request_class.idempotency is Idempotency.IDEMPOTENT or (
            request_class.idempotency is Idempotency.KEYED
            and request_class.deduplication_scope is DeduplicationScope.ALL
        )
        if is_rejection and not repeat_is_safe:
            assert not self.possible_runs[command.request_id], "rejected though it may have run"

    def _check_key_sequence(self, request_id: int) -> None:
        key = self.requests[request_id].key
        queue = self.key_queues.get(key, [])
        if request_id not in queue:
            return
        earlier = set(queue[: queue.index(request_id)])
        assert not earlier & self.pending, "sent while an earlier request with its key is pending"
        assert not any(
            attempt_id.request_id in earlier for attempt_id in self.attempts_in_flight
        ), "sent while an attempt of an earlier request with its key is in flight"
        cooldowns = [c for c in self.cooldowns.get(key, []) if c.request_id in earlier and c.until > self.now]
        assert not cooldowns, "sent during the cooldown of its key"

    def _check_send(self, command: SendAttempt) -> None:
        assert command.request_id in self.pending, "sent after the request ended"
        is_ready = self.endpoint_states[command.endpoint_id] is EndpointState.READY
        assert is_ready, "sent to an endpoint that is draining or removed"
        assert len(self.attempts[command.request_id]) < self.config.max_attempts
        in_flight = [a for a in self.attempts_in_flight if a.request_id == command.request_id]
        assert not in_flight, "two attempts of a request in flight at once"
        self._check_key_sequence(command.request_id)
        self._check_repeat(command)

    def _check_repeat(self, command: SendAttempt) -> None:
        request_class = self.config.classes[self.requests[command.request_id].class_index]
        target = self.endpoints[command.endpoint_id]
        earlier = self.possible_runs[command.request_id].values()
        if request_class.idempotency is Idempotency.NOT_IDEMPOTENT:
            assert not earlier, "repeated a request that is not idempotent and may have run"
        elif request_class.idempotency is Idempotency.KEYED:
            for sent in earlier:
                age = self.now - sent.sent_at
                assert age <= request_class.deduplication_window, "repeated after the deduplication window"
                other, scope = sent.endpoint, request_class.deduplication_scope
                assert scope is not DeduplicationScope.ZONE or other.zone == target.zone
                assert scope is not DeduplicationScope.CELL or other.cell == target.cell

    def _record_send(self, command: SendAttempt) -> None:
        request_id = command.request_id
        sent = SentAttempt(self.now, self.endpoints[command.endpoint_id])
        attempt = len(self.attempts[request_id])
        self.attempts[request_id].append(sent)
        self.possible_runs[request_id][attempt] = sent
        time_left = self.requests[request_id].deadline - self.now
        timeout = min(command.timeout, time_left) if command.timeout > 0 else time_left
        self.attempts_in_flight[AttemptId(request_id, attempt)] = self.now + max(timeout, 0.0)


def target_ids(driver: PolicyDriver) -> list[int]:
    """Return the endpoint id of each attempt so far, in order."""
    return [command.endpoint_id for command in driver.commands if isinstance(command, SendAttempt)]


def send_traffic(driver: PolicyDriver, per_second: float, seconds: float, elapsed: float = 100.0) -> int:
    """Send evenly spaced requests, served after `elapsed` ms at any load; return how many were rejected."""
    due: list[tuple[float, int]] = []
    rejected, end = 0, driver.now + 1000 * seconds
    while driver.now < end:
        driver.now += 1000 / per_second
        while due and due[0][0] <= driver.now:
            driver.serve(due.pop(0)[1], elapsed)
        request_id = driver.request()
        if driver.is_in_flight(request_id):
            due.append((driver.now + elapsed, request_id))
        rejected += driver.outcomes.get(request_id) == RequestOutcome.REJECTED
    for _, request_id in due:
        driver.serve(request_id, elapsed)
    return rejected
