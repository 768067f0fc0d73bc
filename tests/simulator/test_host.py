"""The host as a process: its exit status, its error messages, and its report of a failing policy."""

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
    return subprocess.run(
        [sys.executable, "-B", "-m", "load_balancer.simulator"],
        input=data,
        capture_output=True,
        check=False,
    )


def test_empty_batch_and_end_of_input() -> None:
    result = run_host(EMPTY_BATCH)
    assert (result.returncode, result.stdout, result.stderr) == (
        0,
        bytes.fromhex("00000001 0000000c 00000000"),
        b"",
    )


@pytest.mark.parametrize(
    ("data", "words"),
    [
        (EMPTY_BATCH[:7], b"header"),
        (EMPTY_BATCH[:7] + b"\x02" + EMPTY_BATCH[8:], b"shorter"),
        (EVENT_BATCH[:100], b"ends within"),
        (EVENT_BATCH, b"instance 3 is not running"),
    ],
)
def test_malformed_input_ends_with_one_line(data: bytes, words: bytes) -> None:
    result = run_host(data)
    assert result.returncode == 2
    assert result.stdout == b""
    assert words in result.stderr
    assert result.stderr.count(b"\n") == 1


def test_exception_in_the_policy_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    def broken(self: Policy, now: float, event: object) -> list[object]:
        raise KeyError("broken on purpose")

    monkeypatch.setattr(Policy, "handle", broken)
    text = json.dumps(SETTINGS).encode()
    timer = b"\x07"
    frame = batch_frame(SELECT_INSTANCE_3, start_record(9, text), timer, tail=text)
    sink = io.BytesIO()
    host.serve(io.BytesIO(frame), sink)
    reply = sink.getvalue()
    first_command = 12 + 24  # after the header and the record that selects the instance
    assert reply[first_command] == 12  # the code of Fatal
    assert b"KeyError: 'broken on purpose'" in reply
