"""TCP proxy before an app server or discovery, with faults that a seeded random generator chooses."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass

RELAY_SIZE = 16_384  # bytes relayed at a time


@dataclass(frozen=True)
class FaultRates:
    """Probabilities of faults, for each connection or each relayed part of a response."""

    refused: float = 0.0
    """The connection is reset at once."""
    reset: float = 0.0
    """The connection is reset instead of relaying a part of a response."""
    silent: float = 0.0
    """The connection stays open, and nothing more of the response is relayed."""
    delayed: float = 0.0
    """A part of a response is relayed after up to ``MAX_DELAY_S``."""


MAX_DELAY_S = 0.1


class FaultProxy:
    """Relays connections to a port of 127.0.0.1; requests are relayed at once, responses with faults."""

    def __init__(self, target_port: int, rates: FaultRates, rng: random.Random) -> None:
        self.rates = rates
        self.port = 0
        self._target_port = target_port
        self._random = rng
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> FaultProxy:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=512)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def close(self) -> None:
        """Stop listening; open connections stay open."""
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._random.random() < self.rates.refused:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection("127.0.0.1", self._target_port)
        except OSError:
            writer.transport.abort()
            return
        request_task = asyncio.ensure_future(self._relay_request(reader, target_writer))
        try:
            await self._relay_response(target_reader, writer)
        except (OSError, RuntimeError, asyncio.CancelledError):
            pass
        finally:
            request_task.cancel()
            target_writer.transport.abort()
            writer.close()

    async def _relay_request(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(RELAY_SIZE):
                writer.write(data)
        except (OSError, RuntimeError):
            pass
        finally:
            writer.close()

    async def _relay_response(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(RELAY_SIZE):
            chance = self._random.random()
            rates = self.rates
            if chance < rates.reset:
                writer.transport.abort()
                return
            if chance < rates.reset + rates.silent:
                await reader.read(-1)
                return
            if chance < rates.reset + rates.silent + rates.delayed:
                await asyncio.sleep(self._random.uniform(0.0, MAX_DELAY_S))
            writer.write(data)
            await writer.drain()
