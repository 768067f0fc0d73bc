"""Shares the event loop's time among connections whose input takes much of it.

A connection reports the time that parsing its input took. One that takes more than its share stops reading
and waits for its turn; in each iteration of the event loop only as many of these read on as fit into a time
slice.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from typing import Protocol

TIME_SLICE_S = 0.004  # per iteration of the event loop, for all connections that wait for their turn
# A connection may use this share of the time, and BURST_S at once, without waiting for a turn.
FREE_TIME_SHARE = 0.1
BURST_S = 0.0005
MAX_TURNS = 64  # per iteration of the event loop


class ReadUsage:
    """Time that the input of one connection has taken lately."""

    __slots__ = ("_paid_at",)

    def __init__(self) -> None:
        self._paid_at = 0.0  # time in s at which the time used so far is within the free share

    def add(self, elapsed: float) -> bool:
        """Record that input has just taken ``elapsed`` s; return whether the connection has to wait."""
        # The event loop's clock would not do: it stands still within an iteration.
        now = time.monotonic()
        self._paid_at = max(now, self._paid_at) + elapsed / FREE_TIME_SHARE
        return self._paid_at > now + BURST_S / FREE_TIME_SHARE


class PausedReader(Protocol):
    """A connection that waits for its turn."""

    def take_turn(self) -> None:
        """Process a small part of the input, or read on."""


class ReadScheduler:
    """Gives turns to connections in the order in which they asked for one."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._waiting: deque[PausedReader] = deque()
        self._used = 0.0  # s that input has taken since the last turns
        self._turns = 1  # per iteration; adapted to the time slice
        self._is_running = False

    def add(self, reader: PausedReader) -> None:
        """Queue a connection for one turn."""
        self._waiting.append(reader)
        if not self._is_running:
            self._is_running = True
            self._loop.call_soon(self._give_turns)

    def record(self, elapsed: float) -> None:
        """Record that the input of a connection took ``elapsed`` s."""
        self._used += elapsed

    def _give_turns(self) -> None:
        if self._used > TIME_SLICE_S:
            self._turns = max(1, self._turns // 2)
        else:
            self._turns = min(self._turns + 1, MAX_TURNS)
        self._used = 0.0
        for _ in range(min(self._turns, len(self._waiting))):
            self._waiting.popleft().take_turn()
        if self._waiting:
            self._loop.call_soon(self._give_turns)
        else:
            self._is_running = False
