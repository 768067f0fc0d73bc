"""Passes events to the policy and executes the commands that it returns, one event at a time."""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

from load_balancer.policy import Policy
from load_balancer.policy.commands import Command, FailRequest, RejectRequest, SendAttempt
from load_balancer.policy.events import AttemptEnded, Event, RequestArrived, TimerFired
from load_balancer.proxy.clock import now_ms

logger = logging.getLogger(__name__)

CommandHandlers = Mapping[type[Command], Callable[[Any], None]]


class PolicyRunner:
    """Passes events to the policy and executes its commands, both strictly in order.

    Events submitted while a command is executed are queued. An exception raised by the policy or by a handler
    is logged, and ``on_failure`` is called for the request concerned; other requests continue. An
    EndpointUpdate that failed is not retried.

    Args:
        policy: The policy, which is not reentrant.
        on_failure: Called with the id of the request whose event or command raised an exception.
    """

    def __init__(self, policy: Policy, on_failure: Callable[[int], None]) -> None:
        self.handlers: dict[type[Command], Callable[[Any], None]] = {}
        """Functions that execute the commands, by type of command; to be set before the first event."""
        self._policy = policy
        self._on_failure = on_failure
        self._events: deque[Event] = deque()
        self._running = False

    def submit(self, event: Event) -> None:
        """Pass an event to the policy after the queued ones, and execute the resulting commands.

        During the execution of a command, the event is only queued.
        """
        self._events.append(event)
        self.process_queue()

    def enqueue(self, event: Event) -> None:
        """Queue an event for the next call of ``submit`` or ``process_queue``."""
        self._events.append(event)

    def process_queue(self) -> None:
        """Process the queued events; do nothing if a call of this method is already doing so."""
        if self._running:
            return
        self._running = True
        try:
            while self._events:
                for command in self._handle(self._events.popleft()):
                    self._execute(command)
        finally:
            self._running = False

    def _handle(self, event: Event) -> list[Command]:
        try:
            return self._policy.handle(now_ms(), event)
        except Exception:
            logger.warning("exception while the policy handled %s", type(event).__name__, exc_info=True)
            if isinstance(event, RequestArrived | AttemptEnded):
                self._on_failure(event.request_id)
            elif isinstance(event, TimerFired):
                self._on_failure(event.token)  # may be a request id; other tokens are ignored
            return []

    def _execute(self, command: Command) -> None:
        # The commands of one event may belong to several requests: an exception in one must not stop others.
        try:
            self.handlers[type(command)](command)
        except Exception:
            logger.warning("exception while executing command %s", type(command).__name__, exc_info=True)
            if isinstance(command, SendAttempt | RejectRequest | FailRequest):
                self._on_failure(command.request_id)
