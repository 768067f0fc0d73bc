"""Clients that misuse a node, in a process of their own: slow, incomplete, huge or endless requests.

The process takes its plan as JSON in the first argument, ends by itself after the planned time and writes the
number of connections and of received bytes to standard output as JSON.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import random
import sys
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import StrEnum

import uvloop

HEAD_BYTES = 16_000  # of the 16,384 bytes that a node takes
BODY_BYTES = 60_000
DECLARED_BODY_BYTES = 65_536
PIPELINED_REQUESTS = 12
PIPELINED_SHORT_REQUESTS = 300
TINY_CHUNKS = 12_000
FLOOD_BLOCK_REQUESTS = 4000  # requests in one write
HANG_UP_BYTES = 4_000_000  # about what the buffers of a connection hold
SLOW_WRITE_INTERVAL_S = 0.01
RECONNECT_DELAYS_S = (0.02, 0.2)  # shortest and longest pause before a closed connection is replaced


class Behaviour(StrEnum):
    """What the clients do."""

    IDLE = "idle"
    """Connect and send nothing."""
    SHORT_FIELDS = "short-fields"
    """Send a head of very many short header fields, without its end."""
    LARGE_HEAD = "large-head"
    """Send a head of a few long header fields, without its end."""
    STALLED_BODY = "stalled-body"
    """Send all but the end of a large body."""
    PIPELINED_BODIES = "pipelined-bodies"
    """Send many whole requests with large bodies at once."""
    PIPELINED_SHORT = "pipelined-short"
    """Send hundreds of whole requests without a body at once."""
    CHUNK_EXTENSIONS = "chunk-extensions"
    """Send a chunked body whose framing is far larger than its data, without its end."""
    WAITING_FOR_CONTINUE = "waiting-for-continue"
    """Send heads that expect 100 Continue, and no body."""
    TINY_CHUNKS = "tiny-chunks"
    """Send a chunked body in chunks of one byte, without its end."""
    UNFINISHED_RESPONSES = "unfinished-responses"
    """Ask for long responses, of which the app servers send all but the end."""
    SLOW_WRITER = "slow-writer"
    """Write a request byte by byte."""
    NOT_READING = "not-reading"
    """Ask for long responses and read none of them."""
    HEALTH_FLOOD = "health-flood"
    """Send health checks at full speed."""
    VALID_FLOOD = "valid-flood"
    """Send valid requests at full speed."""
    INVALID_FLOOD = "invalid-flood"
    """Send invalid and unknown requests under ever new names, and connect anew after each rejection."""
    HANG_UP = "hang-up"
    """Fill the buffers of the connection with requests, then close it."""


@dataclass(frozen=True)
class HostilePlan:
    """Clients to run against the node that listens on ``port`` of 127.0.0.1."""

    port: int
    behaviour: str
    clients: int
    seconds: float
    seed: int = 1


_numbers = itertools.count(1)


def request_head(method: str, path: str, fields: str = "") -> bytes:
    """Return the head of a request with a new id, without the empty line that ends it."""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: bad{next(_numbers):013x}\r\n"
        f"Tenant: acme\r\nRequest-Timeout: 2000m\r\n{fields}"
    ).encode()


def _short_fields() -> bytes:
    head = request_head("GET", "/find/1")
    fields = b"a:\r\n" * (HEAD_BYTES // 5)  # a node may count more bytes for a field than these four
    return head + fields[: (HEAD_BYTES - len(head)) // 5 * 4]


def _large_head() -> bytes:
    head = request_head("GET", "/find/" + "u" * 1000)
    field = b"X-Long: " + b"y" * 3000 + b"\r\n"
    return head + field * ((HEAD_BYTES - len(head)) // len(field))


def _body_request(declared: int, sent: int) -> bytes:
    return request_head("POST", "/pay/1", f"Content-Length: {declared}\r\n") + b"\r\n" + b"x" * sent


def _pipelined_bodies() -> bytes:
    return b"".join(_body_request(BODY_BYTES, BODY_BYTES) for _ in range(PIPELINED_REQUESTS))


def _pipelined_short() -> bytes:
    return b"".join(request_head("GET", f"/find/{i}") + b"\r\n" for i in range(PIPELINED_SHORT_REQUESTS))


def _chunk_extensions() -> bytes:
    head = request_head("POST", "/pay/1", "Transfer-Encoding: chunked\r\n")
    return head + b"\r\n" + (b"1;" + b"e" * 1000 + b"\r\nx\r\n") * 100


def _tiny_chunks() -> bytes:
    head = request_head("POST", "/pay/1", "Transfer-Encoding: chunked\r\n")
    return head + b"\r\n" + b"1\r\nx\r\n" * TINY_CHUNKS


def _valid_block() -> bytes:
    return b"".join(request_head("GET", f"/find/{i}") + b"\r\n" for i in range(FLOOD_BLOCK_REQUESTS))


def _health_block() -> bytes:
    return b"GET /_health HTTP/1.1\r\nHost: front\r\n\r\n" * FLOOD_BLOCK_REQUESTS


def _invalid_request() -> bytes:
    number = next(_numbers)
    return (
        request_head("GET", f"/unknown{number}/{number}") + b"\r\n",
        request_head("GET", f"/find/{number}", f"X-Name{number}: 1\r\nRequest-Id: twice\r\n") + b"\r\n",
        b"nonsense%d\r\n\r\n" % number,
        request_head("GET", f"/find/{number}", f"Tenant: t{number}\r\n") + b"\r\n",
    )[number % 4]


def _hang_up_requests() -> bytes:
    return _valid_block() * (HANG_UP_BYTES // len(_valid_block()))


PAYLOADS: dict[Behaviour, Callable[[], bytes]] = {
    Behaviour.IDLE: bytes,
    Behaviour.SHORT_FIELDS: _short_fields,
    Behaviour.LARGE_HEAD: _large_head,
    Behaviour.PIPELINED_SHORT: _pipelined_short,
    Behaviour.CHUNK_EXTENSIONS: _chunk_extensions,
    Behaviour.WAITING_FOR_CONTINUE: lambda: (
        request_head("POST", "/pay/1", f"Content-Length: {BODY_BYTES}\r\nExpect: 100-continue\r\n") + b"\r\n"
    ),
    Behaviour.STALLED_BODY: lambda: _body_request(DECLARED_BODY_BYTES, BODY_BYTES),
    Behaviour.PIPELINED_BODIES: _pipelined_bodies,
    Behaviour.TINY_CHUNKS: _tiny_chunks,
    Behaviour.UNFINISHED_RESPONSES: lambda: request_head("GET", "/find/unfinished") + b"\r\n",
    Behaviour.NOT_READING: lambda: (request_head("GET", "/find/long") + b"\r\n") * PIPELINED_REQUESTS,
    Behaviour.INVALID_FLOOD: _invalid_request,
    Behaviour.HANG_UP: _hang_up_requests,
}
"""What a client sends when it has connected, for the behaviours that need no more than that."""

_FLOOD_BLOCKS = {Behaviour.HEALTH_FLOOD: _health_block, Behaviour.VALID_FLOOD: _valid_block}


class HostileClient(asyncio.Protocol):
    """A connection of a client, which is replaced when it is lost."""

    transport: asyncio.WriteTransport

    def __init__(self, crowd: Crowd) -> None:
        self._crowd = crowd
        self._slow_bytes: Iterator[int] = iter(())

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin the behaviour."""
        assert isinstance(transport, asyncio.WriteTransport) or hasattr(transport, "write")
        self.transport = transport  # type: ignore[assignment]
        self._crowd.counts["connections"] += 1
        behaviour = self._crowd.behaviour
        if behaviour in _FLOOD_BLOCKS:
            self.resume_writing()
        elif behaviour is Behaviour.SLOW_WRITER:
            self._slow_bytes = iter(request_head("GET", "/find/1") + b"\r\n")
            self._write_slowly()
        else:
            self.transport.write(PAYLOADS[behaviour]())
        if behaviour is Behaviour.NOT_READING:
            self.transport.pause_reading()  # type: ignore[attr-defined]
        elif behaviour is Behaviour.HANG_UP:
            self._crowd.loop.call_later(self._crowd.reconnect_delay(), self.transport.abort)

    def resume_writing(self) -> None:
        """Send the next block of a flood."""
        block = _FLOOD_BLOCKS.get(self._crowd.behaviour)
        if block is not None and not self.transport.is_closing():
            self.transport.write(block())
            if not self.transport.get_write_buffer_size():
                self._crowd.loop.call_soon(self.resume_writing)

    def pause_writing(self) -> None:
        """Wait for ``resume_writing``."""

    def _write_slowly(self) -> None:
        next_byte = next(self._slow_bytes, None)
        if next_byte is not None and not self.transport.is_closing():
            self.transport.write(bytes([next_byte]))
            self._crowd.loop.call_later(SLOW_WRITE_INTERVAL_S, self._write_slowly)

    def data_received(self, data: bytes) -> None:
        """Count the bytes of responses."""
        self._crowd.counts["bytes"] += len(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Replace the connection after a pause."""
        self._crowd.connect_later()


class Crowd:
    """All clients of a plan."""

    def __init__(self, plan: HostilePlan) -> None:
        self.behaviour = Behaviour(plan.behaviour)
        self.loop = asyncio.get_running_loop()
        self.counts: Counter[str] = Counter()
        self._plan = plan
        self._ended = False
        self._random = random.Random(plan.seed)
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Keep the planned number of connections open for the planned time."""
        for _ in range(self._plan.clients):
            self._start_connect(0.0)
        await asyncio.sleep(self._plan.seconds)
        self._ended = True
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def reconnect_delay(self) -> float:
        """Return a pause in s before the next connection."""
        if self.behaviour is Behaviour.INVALID_FLOOD:
            return 0.0
        return self._random.uniform(*RECONNECT_DELAYS_S)

    def connect_later(self) -> None:
        """Open another connection after a pause."""
        self._start_connect(self.reconnect_delay())

    def _start_connect(self, delay: float) -> None:
        if self._ended:
            return
        task = self.loop.create_task(self._connect(delay))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, delay: float) -> None:
        await asyncio.sleep(delay)
        try:
            await self.loop.create_connection(lambda: HostileClient(self), "127.0.0.1", self._plan.port)
        except OSError:
            self.connect_later()


async def run(plan: HostilePlan) -> None:
    """Run the plan and print the counts."""
    crowd = Crowd(plan)
    await crowd.run()
    print(json.dumps(crowd.counts), flush=True)


def main() -> None:
    """Run the plan in the first argument, which is JSON."""
    uvloop.run(run(HostilePlan(**json.loads(sys.argv[1]))))


if __name__ == "__main__":
    main()
