"""Layout of the simulator's frames: codes and fields of all records, big-endian.

A frame consists of a header, records of fixed size that each begin with their code, and a tail that holds
data of variable length. Codes and layouts are given by the simulator's protocol. Times are in milliseconds.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum
from functools import partial
from struct import Struct

EVENT_SIZE = 48
"""Size of an event record in bytes."""

MAX_LOAD_REPORT_VALUES = 4
"""Number of values that a load report has room for."""


class EventCode(IntEnum):
    """First byte of an event record; the comments give the protocol's names."""

    INSTANCE_STARTED = 1  # Born
    ENDPOINTS_UPDATED = 2  # BackendsChanged
    REQUEST_ARRIVED = 3  # Req
    RESPONSE_STARTED = 4  # Established
    ATTEMPT_ENDED = 5  # Reply
    REQUEST_CANCELLED = 6  # Withdrawn
    TIMER_FIRED = 7  # Ring
    HEALTH_CHECK_ENDED = 8  # Probed
    GOSSIP_RECEIVED = 9  # Message
    INSTANCE_KILLED = 10  # Killed
    ENDPOINT_LIST = 11  # Census
    SELECT_INSTANCE = 12  # Select


class CommandCode(IntEnum):
    """First byte of a command record; the comments give the protocol's names."""

    SELECT_INSTANCE = 1  # Speaking
    CANCEL_ATTEMPT = 3  # Recall
    REJECT_REQUEST = 4  # Refuse
    FAIL_REQUEST = 6  # EndFailed
    SET_TIMER = 7  # Sleep
    SEND_ATTEMPT = 8  # Assign
    WATCH_ENDPOINTS = 9  # Observe
    WRITE_LOG = 10  # JournalLine
    SEND_HEALTH_CHECK = 11  # Probe
    REPORT_FAILURE = 12  # Fatal


HAS_COST_HINT = 1
"""Request flag: the cost hint is valid."""

IS_CLIENT_RETRY = 2
"""Request flag: the client has sent the request before."""

BATCH_HEADER = Struct(">IIdI")
"""Batch number, length of the frame in bytes, time, number of records."""

REPLY_HEADER = Struct(">III")
"""Batch number, length of the frame in bytes, number of records."""

ENDPOINT = Struct(">IBHHBfd")
"""Entry of an endpoint list: id, zone, machine type, cell, state, weight, start time."""

# Functions that unpack the fields after the code of each event record; each docstring lists the fields.
# Instances, requests and endpoints are given by their ids.
# A tail reference is two fields: the offset from the start of the tail and the length, both in bytes.

unpack_select_instance = Struct(">xH").unpack_from
"""instance"""

unpack_instance_started = Struct(">xQII").unpack_from
"""seed, tail reference of the settings"""

unpack_endpoint_list = Struct(">xIII").unpack_from
"""number of the list, tail reference of its entries (with their count in place of the length)"""

unpack_endpoints_updated = Struct(">xBII").unpack_from
"""kind, version, number of the list"""

unpack_request_arrived = Struct(">xQHIQddH").unpack_from
"""request, request class, tenant, key, deadline, cost hint, flags"""

unpack_response_started = Struct(">xQBId").unpack_from
"""request, attempt, endpoint, elapsed time"""

unpack_attempt_ended = Struct(">xQIBBBdB4f").unpack_from
"""request, endpoint, whether the request is over, result, attempt, elapsed time, load report"""

unpack_request_cancelled = Struct(">xQ").unpack_from
"""request"""

unpack_timer_fired = Struct(">xQ").unpack_from
"""token"""

unpack_health_check_ended = Struct(">xIBdB4f").unpack_from
"""endpoint, result, elapsed time, load report"""

unpack_gossip_received = Struct(">xIII").unpack_from
"""sender, tail reference of the payload"""


def _command_packer(code: CommandCode, layout: str) -> Callable[..., bytes]:
    """Return a function that packs the fields of a command into its record, with code and padding."""
    return partial(Struct(f">B{layout}").pack, code.value)


# Functions that pack the fields of each command into a record; each docstring lists the fields.

pack_select_instance = _command_packer(CommandCode.SELECT_INSTANCE, "H21x")
"""instance"""

pack_send_attempt = _command_packer(CommandCode.SEND_ATTEMPT, "QId3x")
"""request, endpoint, timeout"""

pack_cancel_attempt = _command_packer(CommandCode.CANCEL_ATTEMPT, "QB14x")
"""request, attempt"""

pack_set_timer = _command_packer(CommandCode.SET_TIMER, "dQ7x")
"""delay, token"""

pack_reject_request = _command_packer(CommandCode.REJECT_REQUEST, "Qd7x")
"""request, Retry-After"""

pack_fail_request = _command_packer(CommandCode.FAIL_REQUEST, "Q15x")
"""request"""

pack_watch_endpoints = _command_packer(CommandCode.WATCH_ENDPOINTS, "B22x")
"""whether to watch"""

pack_send_health_check = _command_packer(CommandCode.SEND_HEALTH_CHECK, "I19x")
"""endpoint"""

pack_write_log = _command_packer(CommandCode.WRITE_LOG, "II15x")
"""tail reference of the message"""

pack_report_failure = _command_packer(CommandCode.REPORT_FAILURE, "II15x")
"""tail reference of the reason"""


class WireError(Exception):
    """Malformed frame, or invalid settings in it; the message says what is wrong and where."""
