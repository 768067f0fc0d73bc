"""Reads of one client connection: pauses, unread input, and whether the client has closed its side."""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable
from enum import Enum, auto

# Time for which unread input may hide that the client has closed the connection. By the protocol no attempt
# may begin later than 100 ms after the close.
MAX_HIDDEN_CLOSE_S = 0.05


class ClientPresence(Enum):
    """Whether the client of a request still waits for its response."""

    CONNECTED = auto()
    DISCONNECTED = auto()
    UNKNOWN = auto()
    """Unread input may hide that the client has closed the connection."""


class SocketReader:
    """Pauses and resumes reading, and polls the socket for what the event loop has not read.

    Args:
        transport: Transport of the connection.
        time: Clock in s.
    """

    __slots__ = ("_file_descriptor", "_time", "_transport", "_unread_since", "is_paused")

    def __init__(self, transport: asyncio.Transport, time: Callable[[], float]) -> None:
        self.is_paused = False
        """Whether the event loop does not read from the socket."""
        self._transport = transport
        self._file_descriptor: int = transport.get_extra_info("socket").fileno()
        self._time = time
        self._unread_since: float | None = None  # time in s from which on input may be unread, or None

    def pause(self) -> None:
        """Leave further input unread."""
        if not self.is_paused and not self._transport.is_closing():
            self.is_paused = True
            self._transport.pause_reading()
            if self._unread_since is None:
                self._unread_since = self._time()

    def resume(self) -> None:
        """Read again after ``pause``."""
        if self.is_paused and not self._transport.is_closing():
            self.is_paused = False
            self._transport.resume_reading()

    def record_read(self, has_filled_buffer: bool) -> None:
        """Record a read; if it has filled its buffer, there may be more to read."""
        if not has_filled_buffer:
            self._unread_since = None
        elif self._unread_since is None:
            self._unread_since = self._time()

    def has_to_read(self) -> bool:
        """Whether input has to be read to know whether the client is connected."""
        if self._unread_since is None:
            return False
        if self.has_unread_data():
            return True
        self._unread_since = None
        return False

    def presence(self) -> ClientPresence:
        """Return whether the client is connected, as far as its input shows."""
        if self.is_disconnected():
            return ClientPresence.DISCONNECTED
        if self._unread_since is not None and self._time() > self._unread_since + MAX_HIDDEN_CLOSE_S:
            return ClientPresence.UNKNOWN if self.has_to_read() else ClientPresence.CONNECTED
        return ClientPresence.CONNECTED

    def is_disconnected(self) -> bool:
        """Whether the client is known to have closed its side of the connection.

        The socket is polled because the event loop does not detect a close while reading is paused, nor
        before it has read the data that was sent before the close.
        """
        return self._transport.is_closing() or self._poll(select.POLLRDHUP)

    def has_unread_data(self) -> bool:
        """Whether the socket has data that the event loop has not read.

        If the data holds a request, closing the connection would lose the request.
        """
        return not self._transport.is_closing() and self._poll(select.POLLIN)

    def _poll(self, event_mask: int) -> bool:
        poll = select.poll()
        poll.register(self._file_descriptor, event_mask)
        return bool(poll.poll(0))
