"""Decoding of batches: the example frames of the simulator's protocol, and malformed frames."""

from __future__ import annotations

import json

import pytest

from load_balancer.policy.endpoints import EndpointState
from load_balancer.policy.events import (
    AttemptEnded,
    AttemptResult,
    EndpointUpdate,
    RequestArrived,
    RequestCancelled,
    TimerFired,
    UpdateKind,
)
from load_balancer.policy.settings import Idempotency
from load_balancer.simulator.batch_decoder import (
    BatchDecoder,
    InstanceEvents,
    InstanceKilled,
    InstanceStarted,
)
from load_balancer.simulator.wire_format import WireError
from tests.raw_settings import SETTINGS
from tests.simulator.frames import (
    CACHED_ENDPOINTS_UPDATED,
    EVENT_BATCH,
    LIST_BATCH,
    SELECT_INSTANCE_3,
    batch_frame,
    start_record,
)


def test_events_of_the_example_batch_are_decoded() -> None:
    decoded = BatchDecoder().decode(EVENT_BATCH)
    request_id = 0x000464905D3A91C4
    assert (decoded.number, decoded.now) == (12, 8412.25)
    arrived = RequestArrived(request_id, 0, 8652.25, 0x91F03B7C55D20A64, 0, 12.0, False)
    assert decoded.groups == [
        InstanceEvents(3, [arrived, TimerFired(77)]),
        InstanceEvents(5, [RequestCancelled(0x000AA5520E6F2B19)]),
    ]


def test_endpoint_list_is_decoded_and_kept_for_later_batches() -> None:
    decoder = BatchDecoder()
    [group] = decoder.decode(LIST_BATCH).groups
    [event] = group.events
    assert group.instance == 3
    assert isinstance(event, EndpointUpdate)
    assert (event.kind, event.version) == (UpdateKind.CACHED_SNAPSHOT, 41)
    assert [(e.id, e.zone, e.state, e.weight, e.started_at) for e in event.endpoints] == [
        (0x03124A07, 0, EndpointState.READY, 1.0, 0.0),
        (0x2C9011F2, 1, EndpointState.READY, 1.5, 6100.0),
    ]
    later_batch = batch_frame(SELECT_INSTANCE_3, CACHED_ENDPOINTS_UPDATED, number=2)
    assert decoder.decode(later_batch).groups == [InstanceEvents(3, [event])]


def test_end_of_an_attempt_and_of_an_instance_are_decoded() -> None:
    attempt_ended = bytes.fromhex("05 000464905d3a91c4 03124a07 01 01 00 4032800000000000 01 3f000000")
    instance_killed = b"\x0a"
    [group] = BatchDecoder().decode(batch_frame(SELECT_INSTANCE_3, attempt_ended, instance_killed)).groups
    first, second = group.events
    assert first == AttemptEnded(0x000464905D3A91C4, 0x03124A07, True, AttemptResult.SUCCESS, 0, 18.5, (0.5,))
    assert isinstance(second, InstanceKilled)


def test_settings_of_a_started_instance_are_decoded_and_unknown_keys_ignored() -> None:
    text = json.dumps(SETTINGS).encode()
    [group] = BatchDecoder().decode(batch_frame(SELECT_INSTANCE_3, start_record(9, text), tail=text)).groups
    [event] = group.events
    assert isinstance(event, InstanceStarted)
    assert event.seed == 9
    assert event.settings.classes[0].idempotency is Idempotency.KEYED
    assert event.settings.endpoints_are_polled
    assert event.settings.tenant_quotas == (5.0,)
    assert event.settings.classes[0].sequential_per_key
    assert (event.settings.rejected_may_have_run, event.settings.key_cooldown) == (True, 40.0)


@pytest.mark.parametrize(
    ("frame", "message"),
    [
        (EVENT_BATCH[:10], "header"),
        (EVENT_BATCH[:-1], "do not fit into"),
        (EVENT_BATCH[:20] + b"\x63" + bytes(47) + EVENT_BATCH[68:], "before any Select"),
        (EVENT_BATCH[:68] + b"\x63" + EVENT_BATCH[69:], "unknown event code 99"),
        (LIST_BATCH[:73] + b"\x00\x00\xff\xff" + LIST_BATCH[77:], "out of range"),  # start of list 0
        (batch_frame(SELECT_INSTANCE_3, CACHED_ENDPOINTS_UPDATED), "endpoint list 0 was not sent before"),
        (
            LIST_BATCH[:164] + LIST_BATCH[164:171] + b"\x00\x00\x09" + LIST_BATCH[174:],
            "unknown state",  # state 9 of the first endpoint
        ),
    ],
)
def test_error_for_a_malformed_frame_says_what_is_wrong(frame: bytes, message: str) -> None:
    with pytest.raises(WireError, match=message):
        BatchDecoder().decode(frame)


def test_error_for_invalid_settings_names_batch_and_offset() -> None:
    settings_json = b"{no}"
    frame = batch_frame(SELECT_INSTANCE_3, start_record(9, settings_json), tail=settings_json, number=7)
    with pytest.raises(WireError, match="batch 7, byte 68: settings: not JSON"):
        BatchDecoder().decode(frame)
