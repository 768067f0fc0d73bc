"""The simulator host: its exit status, its error messages, and its report of an exception in a policy."""

from __future__ import annotations

import io
import json
import subprocess
import sys

import pytest

from load_balancer.policy.engine import Policy
from load_balancer.simulator import host
from tests.raw_settings import SETTINGS
from tests.simulator.frames import EVENT_BATCH, SELECT_INSTANCE_3, batch_frame, start_record

EMPTY_BATCH = bytes.fromhex("00000001 00000014 40c06e2000000000 00000000")


def run_host(data: bytes) -> subprocess.CompletedProcess[bytes]:
    """Run the host on the input until it exits."""
    return subprocess.run(
        [sys.executable, "-B", "-m", "load_balancer.simulator"],
        input=data,
        capture_output=True,
        check=False,
    )


def test_empty_batch_gets_empty_reply_and_host_exits_at_end_of_input() -> None:
    result = run_host(EMPTY_BATCH)
    assert (result.returncode, result.stdout, result.stderr) == (
        0,
        bytes.fromhex("00000001 0000000c 00000000"),
        b"",
    )


@pytest.mark.parametrize(
    ("data", "message"),
    [
        (EMPTY_BATCH[:7], b"header"),
        (EMPTY_BATCH[:7] + b"\x02" + EMPTY_BATCH[8:], b"shorter"),  # a frame length of 2 bytes
        (EVENT_BATCH[:100], b"ends within"),
        (EVENT_BATCH, b"instance 3 is not running"),
    ],
)
def test_malformed_input_exits_with_status_2_and_one_error_line(data: bytes, message: bytes) -> None:
    result = run_host(data)
    assert result.returncode == 2
    assert result.stdout == b""
    assert message in result.stderr
    assert result.stderr.count(b"\n") == 1


def test_exception_in_the_policy_is_reported_in_the_reply(monkeypatch: pytest.MonkeyPatch) -> None:
    def raise_error(self: Policy, now: float, event: object) -> list[object]:
        raise KeyError("raised by the test")

    monkeypatch.setattr(Policy, "handle", raise_error)
    settings_json = json.dumps(SETTINGS).encode()
    timer_fired = b"\x07"
    frame = batch_frame(SELECT_INSTANCE_3, start_record(9, settings_json), timer_fired, tail=settings_json)
    sink = io.BytesIO()
    host.serve(io.BytesIO(frame), sink)
    reply = sink.getvalue()
    first_command = 12 + 24  # bytes: the header and the record that selects the instance
    assert reply[first_command] == 12  # code of Fatal, the report of an exception
    assert b"KeyError: 'raised by the test'" in reply
