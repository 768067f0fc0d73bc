"""Encoding of replies: the example frame of the simulator's protocol, and each kind of command."""

from __future__ import annotations

from load_balancer.policy.commands import (
    CancelAttempt,
    FailRequest,
    RejectRequest,
    SendAttempt,
    SendHealthCheck,
    SetTimer,
    WatchEndpoints,
    WriteLog,
)
from load_balancer.simulator.reply_encoder import ReplyEncoder
from tests.simulator.frames import EVENT_BATCH_REPLY


def test_example_reply_and_empty_reply_are_encoded() -> None:
    reply = ReplyEncoder(12)
    reply.add(3, [SendAttempt(0x000464905D3A91C4, 0x03124A07, 80.0), SetTimer(500.0, 77)])
    reply.add(5, [WriteLog("two servers known")])
    assert reply.frame() == EVENT_BATCH_REPLY
    assert ReplyEncoder(1).frame() == bytes.fromhex("00000001 0000000c 00000000")


def test_other_commands_are_encoded() -> None:
    reply = ReplyEncoder(1)
    request_id = 0x000AA5520E6F2B19
    reply.add(
        3,
        [
            CancelAttempt(0x000464905D3A91C4, 0),
            RejectRequest(request_id, 250.0),
            FailRequest(request_id),
            SendHealthCheck(0x2C9011F2),
            WatchEndpoints(),
        ],
    )
    records = [
        "010003" + "00" * 21,
        "03000464905d3a91c400" + "00" * 14,
        "04000aa5520e6f2b19406f400000000000" + "00" * 7,
        "06000aa5520e6f2b19" + "00" * 15,
        "0b2c9011f2" + "00" * 19,
        "0901" + "00" * 22,
    ]
    assert reply.frame()[12:] == bytes.fromhex("".join(records))  # after the header of 12 bytes
