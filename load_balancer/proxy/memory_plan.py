"""What a node may use: the memory that is left for its connections, and the number of connections."""

from __future__ import annotations

import os
from pathlib import Path
from typing import NamedTuple

BYTES_PER_MB = 1_000_000  # the smaller reading of "MB", so that the node fits either

TYPICAL_PROCESS_BYTES = 27_000_000  # of a node that has been started and has no clients
# What the process takes beyond its size at the start: code that runs for the first time, and buffers of the
# event loop.
GROWTH_BYTES = 1_500_000
HEAP_USE = 0.85  # share of the heap that is in use; the rest are gaps between objects of different sizes
MIN_BUDGET_BYTES = 1_000_000  # less could not serve anyone

# File descriptors for the event loop, the listener, discovery, files and sockets that are being closed.
RESERVED_DESCRIPTORS = 32
MIN_CONNECTIONS = 30  # minimum number of connections to clients and upstreams together
# The share is less than half: a request in flight needs one connection on each side, but clients also hold
# idle connections.
UPSTREAM_CONNECTION_SHARE = 3 / 8


class ConnectionLimits(NamedTuple):
    """Maximum numbers of connections to clients and to upstreams."""

    clients: int
    upstreams: int


def connection_limits(max_descriptors: int) -> ConnectionLimits:
    """Divide the file descriptors of a process."""
    total = max(max_descriptors - RESERVED_DESCRIPTORS, MIN_CONNECTIONS)
    upstreams = int(total * UPSTREAM_CONNECTION_SHARE)
    return ConnectionLimits(total - upstreams, upstreams)


def connection_memory(memory_mb: float, process_bytes: int) -> int:
    """Return the bytes that connections, their messages and the endpoint list may take together.

    Args:
        memory_mb: Memory that the process may use.
        process_bytes: Memory that it uses before it has any connection.
    """
    available = memory_mb * BYTES_PER_MB - process_bytes - GROWTH_BYTES
    return max(int(available * HEAP_USE), MIN_BUDGET_BYTES)


def resident_bytes() -> int:
    """Return the resident memory of this process, or ``TYPICAL_PROCESS_BYTES`` if it can't be read."""
    try:
        resident_pages = int(Path("/proc/self/statm").read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return TYPICAL_PROCESS_BYTES
    return resident_pages * os.sysconf("SC_PAGE_SIZE")
