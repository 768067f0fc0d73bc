"""Entries of the endpoint list that discovery provides."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class EndpointState(IntEnum):
    """State of an endpoint in the endpoint list. The values are part of the simulator's wire format."""

    READY = 0
    REMOVED = 1
    DRAINING = 2


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One entry of the endpoint list."""

    id: int
    zone: int
    machine_type: int
    cell: int
    state: EndpointState
    weight: float
    """Relative capacity; with a plausible mean over all endpoints, the requests that it serves at once."""
    started_at: float
    """Time of the last start in ms on the policy's clock, or 0 if it was long ago."""
