"""Encodes the policies' commands into replies to the simulator."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from load_balancer.policy.commands import (
    CancelAttempt,
    Command,
    FailRequest,
    RejectRequest,
    SendAttempt,
    SendHealthCheck,
    SetTimer,
    WatchEndpoints,
    WriteLog,
)
from load_balancer.simulator.wire_format import (
    REPLY_HEADER,
    pack_cancel_attempt,
    pack_fail_request,
    pack_reject_request,
    pack_report_failure,
    pack_select_instance,
    pack_send_attempt,
    pack_send_health_check,
    pack_set_timer,
    pack_watch_endpoints,
    pack_write_log,
)

NO_INSTANCE = -1  # value of the selected instance before the first selection


class TailReference(NamedTuple):
    """Position of data in the tail: offset and length in bytes."""

    start: int
    length: int


class ReplyEncoder:
    """Builds the reply to one batch from the instances' commands."""

    def __init__(self, batch_number: int) -> None:
        self._batch_number = batch_number
        self._records: list[bytes] = []
        self._tail = bytearray()
        self._selected_instance = NO_INSTANCE

    def add(self, instance: int, commands: list[Command]) -> None:
        """Append the commands of one instance."""
        if not commands:
            return
        if instance != self._selected_instance:
            self._select(instance)
        append, tail = self._records.append, self._tail
        for command in commands:
            append(_ENCODERS[type(command)](command, tail))

    def add_failure(self, instance: int, reason: str) -> None:
        """Append a report that the policy of an instance raised an exception."""
        self._select(instance)
        self._records.append(pack_report_failure(*_append_text(reason, self._tail)))

    def frame(self) -> bytes:
        """Return the frame of the reply."""
        body = b"".join(self._records)
        length = REPLY_HEADER.size + len(body) + len(self._tail)
        header = REPLY_HEADER.pack(self._batch_number, length, len(self._records))
        return header + body + self._tail

    def _select(self, instance: int) -> None:
        self._records.append(pack_select_instance(instance))
        self._selected_instance = instance


def _encode_send_attempt(command: SendAttempt, tail: bytearray) -> bytes:
    return pack_send_attempt(command.request_id, command.endpoint_id, command.timeout)


def _encode_reject_request(command: RejectRequest, tail: bytearray) -> bytes:
    return pack_reject_request(command.request_id, command.retry_after)


def _encode_fail_request(command: FailRequest, tail: bytearray) -> bytes:
    return pack_fail_request(command.request_id)


def _encode_cancel_attempt(command: CancelAttempt, tail: bytearray) -> bytes:
    return pack_cancel_attempt(command.request_id, command.attempt)


def _encode_set_timer(command: SetTimer, tail: bytearray) -> bytes:
    return pack_set_timer(command.delay, command.token)


def _encode_send_health_check(command: SendHealthCheck, tail: bytearray) -> bytes:
    return pack_send_health_check(command.endpoint_id)


def _encode_watch_endpoints(command: WatchEndpoints, tail: bytearray) -> bytes:
    return pack_watch_endpoints(True)


def _encode_write_log(command: WriteLog, tail: bytearray) -> bytes:
    return pack_write_log(*_append_text(command.message, tail))


def _append_text(text: str, tail: bytearray) -> TailReference:
    data = text.encode()
    reference = TailReference(len(tail), len(data))
    tail += data
    return reference


_ENCODERS: dict[type, Callable[[Any, bytearray], bytes]] = {
    SendAttempt: _encode_send_attempt,
    RejectRequest: _encode_reject_request,
    FailRequest: _encode_fail_request,
    CancelAttempt: _encode_cancel_attempt,
    SetTimer: _encode_set_timer,
    SendHealthCheck: _encode_send_health_check,
    WatchEndpoints: _encode_watch_endpoints,
    WriteLog: _encode_write_log,
}
