"""Example frames from the description of the simulator's protocol, and helpers that build other frames."""

from __future__ import annotations

import struct

EVENT_BATCH = bytes.fromhex(
    "0000000c 00000104 40c06e2000000000 00000005"  # batch 12, 0x104 bytes, 8412.25 ms, 5 records
    + "0c0003" + "00" * 45
    + "03 000464905d3a91c4 0000 00000000 91f03b7c55d20a64 40c0e62000000000 4028000000000000 0001" + "00" * 7
    + "07 000000000000004d" + "00" * 39  # timer with token 77
    + "0c0005" + "00" * 45
    + "06 000aa5520e6f2b19" + "00" * 39  # request cancelled
)  # fmt: skip
"""Batch 12, with a request and a timer for instance 3 and a cancellation for instance 5."""

EVENT_BATCH_REPLY = bytes.fromhex(
    "0000000c 00000095 00000005"  # batch 12, 0x95 bytes, 5 records
    + "010003" + "00" * 21
    + "08 000464905d3a91c4 03124a07 4054000000000000" + "00" * 3
    + "07 407f400000000000 000000000000004d" + "00" * 7  # set timer: 500 ms, token 77
    + "010005" + "00" * 21
    + "0a 00000000 00000011" + "00" * 15
) + b"two servers known"  # fmt: skip
"""Reply to batch 12, with an attempt and a timer of instance 3 and a log line of instance 5."""

LIST_BATCH = bytes.fromhex(
    "00000001 000000d0 40c0e62000000000 00000003"
    + "0c0003" + "00" * 45
    + "0b 00000000 00000000 00000002" + "00" * 35
    + "02 02 00000029 00000000" + "00" * 38
    + "03124a07 00 0000 0000 00 3f800000 0000000000000000"
    + "2c9011f2 01 0000 0000 00 3fc00000 40b7d40000000000"
)  # fmt: skip
"""Batch 1, which stores endpoint list 0 and passes it to instance 3 as its cached snapshot."""

SELECT_INSTANCE_3 = EVENT_BATCH[20:68]
"""The first record of EVENT_BATCH, which selects instance 3."""

CACHED_ENDPOINTS_UPDATED = LIST_BATCH[116:164]
"""The last record of LIST_BATCH, an update with endpoint list 0, which must have been stored before."""

EVENT_SIZE = 48  # bytes


def batch_frame(*records: bytes, tail: bytes = b"", number: int = 1) -> bytes:
    """Return the frame of a batch at 1 ms of simulated time; records are padded to their full size."""
    body = b"".join(record.ljust(EVENT_SIZE, b"\0") for record in records)
    header = struct.pack(">IIdI", number, 20 + len(body) + len(tail), 1.0, len(records))  # 20 bytes
    return header + body + tail


def start_record(seed: int, settings: bytes) -> bytes:
    """Return the record that starts an instance; its settings are the whole tail of the frame."""
    return b"\x01" + struct.pack(">QII", seed, 0, len(settings))
