"""Clients that close their connection before the response, and may send the same id again at once."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass

from benchmarks.good_clients import CLASSES, good_request, next_request_id

MAX_STAY_S = 0.15  # time between a request and the close
MAX_RETURN_S = 0.05  # time between the close and the second request with the id
PIPELINED_REQUESTS = 40  # behind the request, by some clients


@dataclass(frozen=True, slots=True)
class Departure:
    """A request whose client has closed its connection."""

    request_id: bytes
    class_name: str
    closed_at: float
    """Monotonic time in s."""
    comes_again: bool
    """Whether the same id is sent once more, on another connection."""


class LeavingClients:
    """Clients that leave, one after the other, until stopped; ``departures`` holds their requests."""

    def __init__(self, port: int, rng: random.Random) -> None:
        self.departures: list[Departure] = []
        self._port = port
        self._random = rng
        self._stopped = False

    async def run(self) -> None:
        """Send requests and leave."""
        while not self._stopped:
            try:
                await self._visit()
            except OSError:
                await asyncio.sleep(MAX_STAY_S)  # the node accepts no connection

    def stop(self) -> None:
        """Let the present client be the last one."""
        self._stopped = True

    async def _visit(self) -> None:
        class_name, request_id = self._random.choice(CLASSES), next_request_id()
        request = good_request(class_name, request_id)
        behind = b"".join(good_request("find", next_request_id()) for _ in range(PIPELINED_REQUESTS))
        await self._send_and_leave(request + (behind if self._random.random() < 0.3 else b""))
        comes_again = self._random.random() < 0.5
        self.departures.append(Departure(request_id.encode(), class_name, time.monotonic(), comes_again))
        if comes_again:
            await asyncio.sleep(self._random.uniform(0.0, MAX_RETURN_S))
            await self._send_and_leave(request)

    async def _send_and_leave(self, data: bytes) -> None:
        _, writer = await asyncio.open_connection("127.0.0.1", self._port)
        writer.write(data)
        await asyncio.sleep(self._random.uniform(0.0, MAX_STAY_S))
        writer.close()
