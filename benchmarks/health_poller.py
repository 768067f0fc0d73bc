"""Polls GET /_health of a node to find when it is ready and how long its event loop stalls."""

from __future__ import annotations

import asyncio
import re
import time

from hdrh.histogram import HdrHistogram

POLL_INTERVAL = 0.01  # s between polls
MICROSECONDS_PER_S = 1e6
MAX_LATENCY = 60_000_000  # µs, upper limit of the histogram
SIGNIFICANT_DIGITS = 3


class HealthPoller:
    """Polls the health of a node over one connection at a time, and reconnects after errors."""

    def __init__(self, port: int) -> None:
        self.ready_at: float | None = None
        """Unix time in s of the first response with status 200, or None if there was none yet."""
        self.paused = False
        """Whether polls are suspended."""
        self._port = port
        self._latencies = HdrHistogram(1, MAX_LATENCY, SIGNIFICANT_DIGITS)

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            try:
                await self._poll_connection(*await asyncio.open_connection("127.0.0.1", self._port))
            except (ConnectionError, asyncio.IncompleteReadError):
                await asyncio.sleep(POLL_INTERVAL)

    def take_longest_latency(self) -> float:
        """Return the longest response time in ms since the last call of this method."""
        longest = float(self._latencies.get_max_value()) / 1000
        self._latencies.reset()
        return longest

    async def _poll_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            while self.paused:
                await asyncio.sleep(POLL_INTERVAL)
            started = time.monotonic()
            writer.write(b"GET /_health HTTP/1.1\r\n\r\n")
            head = await reader.readuntil(b"\r\n\r\n")
            length = re.search(rb"Content-Length: (\d+)", head)
            await reader.readexactly(int(length[1]) if length else 0)
            self._record(time.monotonic() - started)
            if b" 200 " in head and self.ready_at is None:
                self.ready_at = time.time()
            await asyncio.sleep(POLL_INTERVAL)

    def _record(self, latency: float) -> None:
        # Polls that were due during this one would have waited as well, so the histogram counts them too.
        microseconds = max(1, int(latency * MICROSECONDS_PER_S))
        self._latencies.record_corrected_value(microseconds, int(POLL_INTERVAL * MICROSECONDS_PER_S))
