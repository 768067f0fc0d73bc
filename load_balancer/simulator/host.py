"""Runs a policy for each simulated instance and answers the simulator's batches; has no policy logic."""

from __future__ import annotations

import traceback
from typing import BinaryIO

from load_balancer.policy import Policy
from load_balancer.simulator import wire_format as wire
from load_balancer.simulator.batch_decoder import (
    Batch,
    BatchDecoder,
    InstanceEvents,
    InstanceKilled,
    InstanceStarted,
)
from load_balancer.simulator.reply_encoder import ReplyEncoder
from load_balancer.simulator.wire_format import WireError


class InstanceHost:
    """Keeps the policies of all running instances; the policies share no state."""

    def __init__(self) -> None:
        self._policies: dict[int, Policy] = {}

    def answer(self, batch: Batch) -> bytes:
        """Pass the events to the policies of their instances, and return the frame of the reply.

        If a policy raises an exception, the reply reports it and the rest of the batch is skipped.

        Raises:
            WireError: An event is for an instance that isn't running.
        """
        reply = ReplyEncoder(batch.number)
        for group in batch.groups:
            try:
                self._handle_events(batch, group, reply)
            except WireError:
                raise
            except Exception as error:
                traceback.print_exc()
                reply.add_failure(group.instance, f"{type(error).__name__}: {error}")
                break
        return reply.frame()

    def _handle_events(self, batch: Batch, group: InstanceEvents, reply: ReplyEncoder) -> None:
        instance = group.instance
        policy = self._policies.get(instance)
        for event in group.events:
            if isinstance(event, InstanceStarted):
                policy = Policy(event.settings, event.seed)
                self._policies[instance] = policy
            elif isinstance(event, InstanceKilled):
                policy = None
                self._policies.pop(instance, None)
            elif policy is None:
                raise WireError(f"batch {batch.number}: instance {instance} is not running")
            else:
                reply.add(instance, policy.handle(batch.now, event))


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer the batches from `source` on `sink` until the input ends.

    Raises:
        WireError: A batch is malformed or truncated, or has an event for an instance that isn't running.
    """
    decoder = BatchDecoder()
    host = InstanceHost()
    while frame := _read_frame(source):
        sink.write(host.answer(decoder.decode(frame)))
        sink.flush()


def _read_frame(source: BinaryIO) -> bytes:
    """Return the next frame, or no bytes at the end of the input."""
    header_size = wire.BATCH_HEADER.size
    header = source.read(header_size)
    if not header:
        return b""
    if len(header) < header_size:
        raise WireError(f"batch header: the input ends after {len(header)} of {header_size} bytes")
    number, length, _, _ = wire.BATCH_HEADER.unpack(header)
    if length < header_size:
        raise WireError(f"batch {number}: a frame length of {length} bytes is shorter than the header")
    body = source.read(length - header_size)
    if len(body) < length - header_size:
        raise WireError(f"batch {number}: the input ends within a frame of {length} bytes")
    return header + body
