"""Drives one policy with events and asserts the protocol's rules on each of its commands, from outside."""

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

START = 50_000.0  # ms on the policy's clock
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


class Answer(Enum):
    """How a request ended."""

    SERVED = auto()
    REJECTED = auto()
    FAILED = auto()
    CANCELLED = auto()


class AttemptId(NamedTuple):
    """One attempt of one request."""

    request_id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class SentAttempt:
    """Where and when (ms) an attempt was sent."""

    sent_at: float
    endpoint: Endpoint


@dataclass(frozen=True, slots=True)
class Cooldown:
    """An attempt that may still run, and until when (ms) its key has to wait for it."""

    request_id: int
    until: float


def settings(**changes: Any) -> Settings:
    """Settings of three classes (idempotent, keyed, not idempotent) with `changes` to their fields."""
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


def endpoint(number: int, state: EndpointState = EndpointState.READY, started: float = 0.0) -> Endpoint:
    """An endpoint of weight 1; endpoints lie in three zones and have four machine types by their number."""
    return Endpoint(number, number % 3, 0, number % 4, state, 1.0, started)


class PolicyDriver:
    """Feeds one policy, keeps the books of its attempts, and asserts the protocol's rules on each command."""

    def __init__(self, config: Settings, seed: int = 1, endpoints: int = 8) -> None:
        self.config = config
        self.now = START
        self.policy = Policy(config, seed)
        self.states: dict[int, EndpointState] = {}
        self.requests: dict[int, RequestArrived] = {}
        self.unanswered: set[int] = set()
        self.answers: dict[int, Answer] = {}
        self.attempts: dict[int, list[SentAttempt]] = {}
        self.open_attempts: dict[AttemptId, float] = {}  # when each times out, ms
        self.may_have_run: dict[int, dict[int, SentAttempt]] = {}  # by request and number of the attempt
        self.timers: list[tuple[float, int]] = []  # due, token
        self.commands: list[object] = []
        self.endpoints: dict[int, Endpoint] = {}
        self.key_queues: dict[int, list[int]] = {}  # by key: sequential requests in order of arrival
        self.cooldowns: dict[int, list[Cooldown]] = {}  # by key
        self.next_id = 1
        self.update_endpoints([endpoint(i) for i in range(endpoints)], UpdateKind.CACHED_SNAPSHOT)

    def handle(self, event: object) -> list[object]:
        """Give the policy an event; check and return its commands."""
        commands = self.policy.handle(self.now, event)  # type: ignore[arg-type]
        for command in commands:
            self._check(command)
        self.commands.extend(commands)
        return list(commands)

    def update_endpoints(self, entries: list[Endpoint], kind: UpdateKind = UpdateKind.DELTA) -> list[object]:
        """Tell the policy of an endpoint list; a snapshot removes what it doesn't name."""
        if kind in (UpdateKind.SNAPSHOT, UpdateKind.CACHED_SNAPSHOT):
            self.states = dict.fromkeys(self.states, EndpointState.REMOVED)
        for entry in entries:
            self.states[entry.id] = entry.state
            self.endpoints[entry.id] = entry
        return self.handle(EndpointUpdate(kind, 1, entries))

    def lose_discovery(self) -> list[object]:
        """Tell the policy that discovery is unavailable."""
        return self.handle(EndpointUpdate(UpdateKind.UNAVAILABLE, 0, []))

    def request(
        self,
        class_index: int = 0,
        deadline_in: float = 900.0,
        key: int = 0,
        tenant: int = 0,
        cost_hint: float = 0.0,
    ) -> int:
        """Let a request arrive, due in `deadline_in` ms; returns its id."""
        number = self.next_id
        self.next_id += 1
        deadline = self.now + deadline_in
        self.requests[number] = RequestArrived(number, class_index, deadline, key, tenant, cost_hint)
        self.unanswered.add(number)
        self.attempts[number] = []
        self.may_have_run[number] = {}
        if key and self.config.classes[class_index].sequential_per_key:
            self.key_queues.setdefault(key, []).append(number)
        self.handle(self.requests[number])
        return number

    def request_commands(self, class_index: int, tenant: int = 0) -> list[object]:
        """Let a request arrive; returns the commands that it led to."""
        first = len(self.commands)
        self.request(class_index, tenant=tenant)
        return self.commands[first:]

    def rejects_new_request(self, class_index: int, tenant: int = 0) -> bool:
        """Let a request arrive, and tell whether the policy rejects it."""
        commands = self.request_commands(class_index, tenant)
        return any(isinstance(command, RejectRequest) for command in commands)

    def is_open(self, request_id: int, attempt: int = 0) -> bool:
        """Whether this attempt of a request was sent and has not ended."""
        return (request_id, attempt) in self.open_attempts

    def last_attempt(self, request_id: int) -> int:
        """The number of a request's last attempt; -1 if there was none."""
        return len(self.attempts[request_id]) - 1

    def last_is_open(self, request_id: int) -> bool:
        """Whether the last attempt of a request has not ended."""
        return self.is_open(request_id, self.last_attempt(request_id))

    def any_open_attempt(self) -> AttemptId:
        """The oldest open attempt."""
        return next(iter(self.open_attempts))

    def end_attempt(
        self, request_id: int, attempt: int, result: AttemptResult, elapsed: float = 50.0
    ) -> list[object]:
        """Tell the policy how an open attempt ended, `elapsed` ms after it was sent."""
        del self.open_attempts[AttemptId(request_id, attempt)]
        if result in NEVER_RAN and not (
            result == AttemptResult.REJECTED and self.config.rejected_may_have_run
        ):
            del self.may_have_run[request_id][attempt]
        if result in MAY_STILL_RUN:
            cooldown = Cooldown(request_id, self.now + self.config.key_cooldown)
            self.cooldowns.setdefault(self.requests[request_id].key, []).append(cooldown)
        if result == AttemptResult.SUCCESS and request_id in self.unanswered:
            self.unanswered.discard(request_id)
            self.answers[request_id] = Answer.SERVED
        is_answered = request_id not in self.unanswered
        target = self.attempts[request_id][attempt].endpoint.id
        return self.handle(AttemptEnded(request_id, target, is_answered, result, attempt, elapsed))

    def serve(self, request_id: int, elapsed: float = 50.0) -> None:
        """Answer the first attempt of a request."""
        self.end_attempt(request_id, 0, AttemptResult.SUCCESS, elapsed)

    def cancel(self, request_id: int) -> None:
        """Let the client of a request give up."""
        self.unanswered.discard(request_id)
        self.answers[request_id] = Answer.CANCELLED
        self.handle(RequestCancelled(request_id))

    def advance(self, duration: float) -> None:
        """Let `duration` ms pass: timers fire, attempts time out, and all requests are answered in time."""
        end = self.now + duration
        while self._next_due(end):
            pass
        self.now = end
        for number in self.unanswered:
            assert self.requests[number].deadline >= self.now, f"request {number} is past its deadline"

    def _next_due(self, end: float) -> bool:
        """Fire the next timer or time out the next attempt that is due by `end`; False if there is none."""
        due = [(at, 0, token, 0) for at, token in self.timers]
        due += [(at, 1, *attempt_id) for attempt_id, at in self.open_attempts.items()]
        due = sorted(entry for entry in due if entry[0] <= end)
        if not due:
            return False
        at, is_attempt, first, second = due[0]
        self.now = max(self.now, at)
        if is_attempt:
            sent_at = self.attempts[first][second].sent_at
            self.end_attempt(first, second, AttemptResult.TIMEOUT, self.now - sent_at)
        else:
            self.timers.remove((at, first))
            self.handle(TimerFired(first))
        return True

    def _check(self, command: object) -> None:
        if isinstance(command, SendAttempt):
            self._check_send(command)
            self._record_send(command)
        elif isinstance(command, RejectRequest | FailRequest):
            self._check_final_answer(command)
        elif isinstance(command, CancelAttempt):
            assert self.config.can_cancel
            assert command.attempt < len(self.attempts[command.request_id]), "cancelled what was never sent"
        elif isinstance(command, SetTimer):
            assert command.delay >= 0
            self.timers.append((self.now + command.delay, command.token))
        elif not isinstance(command, WriteLog):
            assert isinstance(command, WatchEndpoints)
            assert self.config.endpoints_are_polled

    def _check_final_answer(self, command: RejectRequest | FailRequest) -> None:
        assert command.request_id in self.unanswered, "a second final answer"
        self.unanswered.discard(command.request_id)
        is_reject = isinstance(command, RejectRequest)
        self.answers[command.request_id] = Answer.REJECTED if is_reject else Answer.FAILED
        cls = self.config.classes[self.requests[command.request_id].class_index]
        harmless = cls.idempotency is Idempotency.IDEMPOTENT or (
            cls.idempotency is Idempotency.KEYED and cls.deduplication_scope is DeduplicationScope.ALL
        )
        if is_reject and not harmless:
            assert not self.may_have_run[command.request_id], "rejected though it may have run"

    def _check_sequence(self, request_id: int) -> None:
        key = self.requests[request_id].key
        queue = self.key_queues.get(key, [])
        if request_id not in queue:
            return
        earlier = set(queue[: queue.index(request_id)])
        assert not earlier & self.unanswered, "sent while an earlier request with its key is unfinished"
        assert not any(
            open_.request_id in earlier for open_ in self.open_attempts
        ), "sent while an earlier attempt with its key is open"
        cooldowns = [c for c in self.cooldowns.get(key, []) if c.request_id in earlier and c.until > self.now]
        assert not cooldowns, "sent during the cooldown of its key"

    def _check_send(self, command: SendAttempt) -> None:
        assert command.request_id in self.unanswered, "sent after the final answer"
        is_ready = self.states[command.endpoint_id] is EndpointState.READY
        assert is_ready, "sent to an endpoint that is draining or removed"
        assert len(self.attempts[command.request_id]) < self.config.max_attempts
        outstanding = [key for key in self.open_attempts if key.request_id == command.request_id]
        assert not outstanding, "two attempts at once"
        self._check_sequence(command.request_id)
        self._check_repeat(command)

    def _check_repeat(self, command: SendAttempt) -> None:
        cls = self.config.classes[self.requests[command.request_id].class_index]
        target = self.endpoints[command.endpoint_id]
        earlier = self.may_have_run[command.request_id].values()
        if cls.idempotency is Idempotency.NOT_IDEMPOTENT:
            assert not earlier, "a request that is not idempotent sent again"
        elif cls.idempotency is Idempotency.KEYED:
            for sent in earlier:
                age = self.now - sent.sent_at
                assert age <= cls.deduplication_window, "a repeat after the deduplication window"
                other, scope = sent.endpoint, cls.deduplication_scope
                assert scope is not DeduplicationScope.ZONE or other.zone == target.zone
                assert scope is not DeduplicationScope.CELL or other.cell == target.cell

    def _record_send(self, command: SendAttempt) -> None:
        request_id = command.request_id
        sent = SentAttempt(self.now, self.endpoints[command.endpoint_id])
        attempt = len(self.attempts[request_id])
        self.attempts[request_id].append(sent)
        self.may_have_run[request_id][attempt] = sent
        time_left = self.requests[request_id].deadline - self.now
        timeout = min(command.timeout, time_left) if command.timeout > 0 else time_left
        self.open_attempts[AttemptId(request_id, attempt)] = self.now + max(timeout, 0.0)


def sent_to(driver: PolicyDriver) -> list[int]:
    """The endpoint ids of all attempts so far, in order."""
    return [command.endpoint_id for command in driver.commands if isinstance(command, SendAttempt)]


def send_traffic(driver: PolicyDriver, per_second: float, seconds: float, elapsed: float = 100.0) -> int:
    """Send even traffic, answered after `elapsed` ms at any load; returns how many were rejected."""
    due: list[tuple[float, int]] = []
    rejected, end = 0, driver.now + 1000 * seconds
    while driver.now < end:
        driver.now += 1000 / per_second
        while due and due[0][0] <= driver.now:
            driver.serve(due.pop(0)[1], elapsed)
        number = driver.request()
        if driver.is_open(number):
            due.append((driver.now + elapsed, number))
        rejected += driver.answers.get(number) == Answer.REJECTED
    for _, number in due:
        driver.serve(number, elapsed)
    return rejected
