"""Executes the policy's commands on requests, attempts and timers."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable
from http import HTTPStatus

from load_balancer.policy.commands import (
    CancelAttempt,
    FailRequest,
    RejectRequest,
    SendAttempt,
    SetTimer,
    WatchEndpoints,
    WriteLog,
)
from load_balancer.policy.events import AttemptEnded, AttemptResult, Event, TimerFired
from load_balancer.proxy.client_connection import ClientConnection
from load_balancer.proxy.clock import now_ms
from load_balancer.proxy.policy_runner import CommandHandlers
from load_balancer.proxy.request_tracker import RequestTracker
from load_balancer.proxy.socket_reader import ClientPresence
from load_balancer.proxy.upstream_pool import UpstreamPool

logger = logging.getLogger(__name__)


class CommandExecutor:
    """Has a method for each type of command.

    Args:
        loop: Event loop for the timers.
        requests: Requests in flight.
        pool: Sends and cancels attempts.
        submit: Passes an event to the policy.
        end_without_client: Ends a request whose client does not wait for the response or may not do so.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        requests: RequestTracker,
        pool: UpstreamPool,
        submit: Callable[[Event], None],
        end_without_client: Callable[[int, ClientConnection, ClientPresence], None],
    ) -> None:
        self._loop = loop
        self._requests = requests
        self._pool = pool
        self._submit = submit
        self._end_without_client = end_without_client

    def handlers(self) -> CommandHandlers:
        """Return the function that executes each type of command."""
        return {
            SendAttempt: self._send_attempt,
            RejectRequest: self._reject_request,
            FailRequest: self._fail_request,
            CancelAttempt: self._cancel_attempt,
            SetTimer: self._set_timer,
            WriteLog: self._write_log,
            WatchEndpoints: self._watch_endpoints,
        }

    def _send_attempt(self, command: SendAttempt) -> None:
        request_id = command.request_id
        pending = self._requests.pending[request_id]
        number = pending.attempts
        pending.attempts += 1
        presence = pending.client.presence()
        if presence is not ClientPresence.CONNECTED:
            not_sent = AttemptEnded(
                request_id,
                command.endpoint_id,
                request_ended=True,
                result=AttemptResult.NOT_SENT,
                attempt=number,
                elapsed=0.0,
            )
            self._submit(not_sent)
            self._end_without_client(request_id, pending.client, presence)
            return
        timeout = pending.deadline - now_ms()
        if command.timeout:
            timeout = min(timeout, command.timeout)
        self._pool.send(request_id, number, command.endpoint_id, timeout, pending.message)

    def _reject_request(self, command: RejectRequest) -> None:
        retry_after = command.retry_after / 1000
        headers = b"Retry-After: %.3f\r\n" % retry_after if retry_after else b""
        self._requests.respond(command.request_id, HTTPStatus.SERVICE_UNAVAILABLE, headers)

    def _fail_request(self, command: FailRequest) -> None:
        self._requests.respond(command.request_id, HTTPStatus.BAD_GATEWAY)

    def _cancel_attempt(self, command: CancelAttempt) -> None:
        self._pool.cancel(command.request_id, command.attempt)

    def _set_timer(self, command: SetTimer) -> None:
        # The delay is rounded up: a timer that fires early would find nothing due and be set again at once.
        delay = math.ceil(command.delay) / 1000
        self._loop.call_later(delay, self._submit, TimerFired(command.token))

    def _write_log(self, command: WriteLog) -> None:
        logger.info("%s", command.message)

    def _watch_endpoints(self, command: WatchEndpoints) -> None:
        """Do nothing, since the node watches the endpoint list from its start."""
