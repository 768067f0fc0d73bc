"""Decodes the simulator's batches into events for the policies."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from load_balancer.policy.endpoints import Endpoint, EndpointState
from load_balancer.policy.events import (
    AttemptEnded,
    AttemptResult,
    EndpointUpdate,
    Event,
    GossipReceived,
    HealthCheckEnded,
    RequestArrived,
    RequestCancelled,
    ResponseStarted,
    TimerFired,
    UpdateKind,
)
from load_balancer.policy.settings import Settings
from load_balancer.settings_decoder import SettingsError, decode_settings
from load_balancer.simulator.wire_format import (
    BATCH_HEADER,
    ENDPOINT,
    EVENT_SIZE,
    HAS_COST_HINT,
    IS_CLIENT_RETRY,
    MAX_LOAD_REPORT_VALUES,
    EventCode,
    WireError,
    unpack_attempt_ended,
    unpack_endpoint_list,
    unpack_endpoints_updated,
    unpack_gossip_received,
    unpack_health_check_ended,
    unpack_instance_started,
    unpack_request_arrived,
    unpack_request_cancelled,
    unpack_response_started,
    unpack_select_instance,
    unpack_timer_fired,
)


@dataclass(frozen=True, slots=True)
class InstanceStarted:
    """Start of an instance, with its settings and the seed of its random number generator."""

    seed: int
    settings: Settings


@dataclass(frozen=True, slots=True)
class InstanceKilled:
    """End of an instance without notice; its state is lost."""


InstanceEvent = Event | InstanceStarted | InstanceKilled


@dataclass(slots=True)
class InstanceEvents:
    """Consecutive events of a batch for the same instance."""

    instance: int
    events: list[InstanceEvent]


@dataclass(slots=True)
class Batch:
    """A decoded batch; all its events happen at `now`, in ms of simulated time."""

    number: int
    now: float
    groups: list[InstanceEvents]


class BatchDecoder:
    """Decodes the batches of one input stream in order.

    Numbered endpoint lists are kept, because later batches may refer to them.
    """

    def __init__(self) -> None:
        self._endpoint_lists: dict[int, list[Endpoint]] = {}

    def decode(self, frame: bytes) -> Batch:
        """Decode the frame of one batch.

        Raises:
            WireError: The frame is malformed, or the settings in it are invalid.
        """
        if len(frame) < BATCH_HEADER.size:
            raise WireError(f"batch header: {len(frame)} bytes where {BATCH_HEADER.size} are needed")
        number, length, now, count = BATCH_HEADER.unpack_from(frame)
        tail_start = BATCH_HEADER.size + count * EVENT_SIZE
        if length != len(frame) or tail_start > length:
            raise WireError(
                f"batch {number}: {count} records do not fit into the frame, "
                f"or the frame does not have the {length} bytes given in its header"
            )
        reader = _RecordReader(frame, number, tail_start, self._endpoint_lists)
        return Batch(number, now, reader.read_all())


class _RecordReader:
    """Reads the records of one frame."""

    __slots__ = ("batch_number", "endpoint_lists", "frame", "tail_start")

    def __init__(
        self, frame: bytes, batch_number: int, tail_start: int, endpoint_lists: dict[int, list[Endpoint]]
    ) -> None:
        self.frame = frame
        self.batch_number = batch_number
        self.tail_start = tail_start
        self.endpoint_lists = endpoint_lists

    def read_all(self) -> list[InstanceEvents]:
        """Decode all records in order, since a record may refer to an endpoint list in an earlier one."""
        groups: list[InstanceEvents] = []
        # Events of the selected instance, or None before the first selection.
        events: list[InstanceEvent] | None = None
        frame = self.frame
        for offset in range(BATCH_HEADER.size, self.tail_start, EVENT_SIZE):
            code = frame[offset]
            decode_event = _EVENT_DECODERS.get(code)
            if decode_event is not None and events is not None:
                events.append(decode_event(self, offset))
            elif code == EventCode.SELECT_INSTANCE:
                (instance,) = unpack_select_instance(frame, offset)
                events = []
                groups.append(InstanceEvents(instance, events))
            elif code == EventCode.ENDPOINT_LIST:
                self._store_endpoint_list(offset)
            elif events is None:
                raise self.error(offset, f"event code {code} before any Select record")
            else:
                raise self.error(offset, f"unknown event code {code}")
        return groups

    def error(self, offset: int, message: str) -> WireError:
        """Return the error to raise for the record at `offset`."""
        return WireError(f"batch {self.batch_number}, byte {offset}: {message}")

    def tail(self, offset: int, start: int, length: int) -> bytes:
        """Return the `length` bytes at `start` in the tail, to which the record at `offset` refers."""
        if self.tail_start + start + length > len(self.frame):
            raise self.error(offset, f"tail reference {start}+{length} is out of range")
        return self.frame[self.tail_start + start : self.tail_start + start + length]

    def _store_endpoint_list(self, offset: int) -> None:
        list_number, start, count = unpack_endpoint_list(self.frame, offset)
        data = self.tail(offset, start, count * ENDPOINT.size)
        entries = ENDPOINT.iter_unpack(data)
        self.endpoint_lists[list_number] = [self._endpoint(*entry) for entry in entries]

    def _endpoint(
        self,
        endpoint_id: int,
        zone: int,
        machine_type: int,
        cell: int,
        state_code: int,
        weight: float,
        started_at: float,
    ) -> Endpoint:
        state = _ENDPOINT_STATES.get(state_code)
        if state is None:
            raise WireError(
                f"batch {self.batch_number}: endpoint {endpoint_id} has unknown state {state_code}"
            )
        return Endpoint(endpoint_id, zone, machine_type, cell, state, weight, started_at)


# A dict lookup for each record is faster than a call of the enum class.
_ENDPOINT_STATES = {state.value: state for state in EndpointState}
_UPDATE_KINDS = {kind.value: kind for kind in UpdateKind}
_ATTEMPT_RESULTS = {result.value: result for result in AttemptResult}


def _decode_request_arrived(reader: _RecordReader, offset: int) -> RequestArrived:
    fields = unpack_request_arrived(reader.frame, offset)
    request_id, class_index, tenant, key, deadline, cost_hint, flags = fields
    return RequestArrived(
        request_id,
        class_index,
        deadline,
        key,
        tenant,
        cost_hint if flags & HAS_COST_HINT else 0.0,
        bool(flags & IS_CLIENT_RETRY),
    )


def _decode_attempt_ended(reader: _RecordReader, offset: int) -> AttemptEnded:
    fields = unpack_attempt_ended(reader.frame, offset)
    request_id, endpoint_id, request_ended, result_code, attempt, elapsed, count, *values = fields
    result = _ATTEMPT_RESULTS.get(result_code)
    if result is None or count > MAX_LOAD_REPORT_VALUES:
        raise _result_error(reader, offset, result_code, count)
    load_report = tuple(values[:count]) if count else ()
    return AttemptEnded(request_id, endpoint_id, request_ended != 0, result, attempt, elapsed, load_report)


def _decode_health_check_ended(reader: _RecordReader, offset: int) -> HealthCheckEnded:
    fields = unpack_health_check_ended(reader.frame, offset)
    endpoint_id, result_code, elapsed, count, *values = fields
    result = _ATTEMPT_RESULTS.get(result_code)
    if result is None or count > MAX_LOAD_REPORT_VALUES:
        raise _result_error(reader, offset, result_code, count)
    load_report = tuple(values[:count]) if count else ()
    return HealthCheckEnded(endpoint_id, result, elapsed, load_report)


def _result_error(reader: _RecordReader, offset: int, result_code: int, count: int) -> WireError:
    return reader.error(offset, f"result {result_code} is unknown, or the load report is too long: {count}")


def _decode_endpoints_updated(reader: _RecordReader, offset: int) -> EndpointUpdate:
    kind_code, version, list_number = unpack_endpoints_updated(reader.frame, offset)
    kind = _UPDATE_KINDS.get(kind_code)
    if kind is None:
        raise reader.error(offset, f"unknown endpoint update kind {kind_code}")
    if kind is UpdateKind.UNAVAILABLE:
        return EndpointUpdate(kind, version, [])
    if list_number not in reader.endpoint_lists:
        raise reader.error(offset, f"endpoint list {list_number} was not sent before")
    return EndpointUpdate(kind, version, reader.endpoint_lists[list_number])


def _decode_instance_started(reader: _RecordReader, offset: int) -> InstanceStarted:
    seed, start, length = unpack_instance_started(reader.frame, offset)
    settings_json = reader.tail(offset, start, length)
    try:
        return InstanceStarted(seed, decode_settings(settings_json))
    except SettingsError as error:
        raise reader.error(offset, str(error)) from None


def _decode_gossip_received(reader: _RecordReader, offset: int) -> GossipReceived:
    sender, start, length = unpack_gossip_received(reader.frame, offset)
    return GossipReceived(sender, reader.tail(offset, start, length))


def _decode_response_started(reader: _RecordReader, offset: int) -> ResponseStarted:
    return ResponseStarted(*unpack_response_started(reader.frame, offset))


def _decode_timer_fired(reader: _RecordReader, offset: int) -> TimerFired:
    return TimerFired(*unpack_timer_fired(reader.frame, offset))


def _decode_request_cancelled(reader: _RecordReader, offset: int) -> RequestCancelled:
    return RequestCancelled(*unpack_request_cancelled(reader.frame, offset))


def _decode_instance_killed(reader: _RecordReader, offset: int) -> InstanceKilled:
    return InstanceKilled()


_EVENT_DECODERS: dict[int, Callable[[_RecordReader, int], InstanceEvent]] = {
    EventCode.INSTANCE_STARTED: _decode_instance_started,
    EventCode.ENDPOINTS_UPDATED: _decode_endpoints_updated,
    EventCode.REQUEST_ARRIVED: _decode_request_arrived,
    EventCode.RESPONSE_STARTED: _decode_response_started,
    EventCode.ATTEMPT_ENDED: _decode_attempt_ended,
    EventCode.REQUEST_CANCELLED: _decode_request_cancelled,
    EventCode.TIMER_FIRED: _decode_timer_fired,
    EventCode.HEALTH_CHECK_ENDED: _decode_health_check_ended,
    EventCode.GOSSIP_RECEIVED: _decode_gossip_received,
    EventCode.INSTANCE_KILLED: _decode_instance_killed,
}
