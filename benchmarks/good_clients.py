"""Well-behaved clients of a node, whose responses are checked and timed."""

from __future__ import annotations

import asyncio
import itertools
import re
import time
from collections import Counter
from dataclasses import dataclass, field

REQUEST_TIMEOUT_MS = 2000
ANSWER_SLACK_S = (
    0.55  # by the pages an answer is lost 0.5 s after its time, and each limit is longer by 50 ms
)
PAUSE_S = 0.02  # between the response to a request and the next request
CLASSES = ("find", "book", "pay")  # idempotent, keyed, not idempotent; see ``pressure_settings``
CONTENT_LENGTH_PATTERN = re.compile(rb"\r\ncontent-length: (\d+)", re.IGNORECASE)

_numbers = itertools.count(1)


@dataclass(slots=True)
class GoodClientResults:
    """What the clients got. Times are in s."""

    statuses: Counter[int] = field(default_factory=Counter)
    latencies: list[float] = field(default_factory=list)
    unanswered: int = 0
    """Requests without an answer in time on an open connection."""
    closed_ids: list[bytes] = field(default_factory=list)
    """Ids of requests whose connection was closed before any byte of an answer.

    The close may have crossed the request, unless the node has forwarded it.
    """
    not_connected: int = 0

    def percentile_ms(self, share: float) -> float:
        """Return a percentile of the latencies in ms, or 0 if there are none."""
        ordered = sorted(self.latencies)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))] * 1000 if ordered else 0.0


def next_request_id() -> str:
    """Return an id that no other client has."""
    return f"9{next(_numbers):015x}"


def good_request(class_name: str, request_id: str, body: bytes = b"") -> bytes:
    """Return a request in the form of its class."""
    fields = {
        "Host": "backend.local",
        "Request-Id": request_id,
        "Tenant": "acme",
        "Request-Timeout": f"{REQUEST_TIMEOUT_MS}m",
    }
    if class_name == "book":
        fields["Idempotency-Key"] = f"key{request_id}"
    if class_name != "find":
        fields["Content-Length"] = str(len(body))
    method = "GET" if class_name == "find" else "POST"
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"{method} /{class_name}/{request_id[-2:]} HTTP/1.1\r\n{lines}\r\n".encode() + body


async def read_response(reader: asyncio.StreamReader) -> tuple[int, bytes, bytes]:
    """Read one response, and return its status, head and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = CONTENT_LENGTH_PATTERN.search(head)
    body = await reader.readexactly(int(length[1]) if length else 0)
    return int(head.split(b" ", 2)[1]), head, body


class GoodClients:
    """Clients that send one request at a time and keep their connections.

    Args:
        port: Port of the node.
        body_bytes: Size of the body of each request that has one.
    """

    def __init__(self, port: int, body_bytes: int = 200) -> None:
        self.results = GoodClientResults()
        self._port = port
        self._body = b"b" * body_bytes
        self._stopped = False
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, count: int) -> None:
        """Start the clients."""
        self._tasks = [asyncio.ensure_future(self._run(number)) for number in range(count)]

    async def stop(self) -> GoodClientResults:
        """Let each client finish its request, and return what all of them got."""
        self._stopped = True
        await asyncio.gather(*self._tasks)
        return self.results

    async def _run(self, number: int) -> None:
        kinds = itertools.cycle(CLASSES[number % len(CLASSES) :] + CLASSES[: number % len(CLASSES)])
        connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        while not self._stopped:
            if connection is None:
                connection = await self._connect()
            if connection is not None and not await self._exchange(*connection, next(kinds)):
                connection[1].close()
                connection = None
            await asyncio.sleep(PAUSE_S)
        if connection is not None:
            connection[1].close()

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_MS / 1000):
                return await asyncio.open_connection("127.0.0.1", self._port)
        except OSError:
            self.results.not_connected += 1
            return None

    async def _exchange(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, class_name: str
    ) -> bool:
        """Send a request and record its response; return whether the connection can be used again."""
        request_id = next_request_id()
        request = good_request(class_name, request_id, self._body if class_name != "find" else b"")
        if reader.at_eof():
            return False
        started = time.monotonic()
        writer.write(request)
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_MS / 1000 + ANSWER_SLACK_S):
                status, head, _ = await read_response(reader)
        except TimeoutError:
            self.results.unanswered += 1
            return False
        except (asyncio.IncompleteReadError, ConnectionError):
            self.results.closed_ids.append(request_id.encode())
            return False
        self.results.latencies.append(time.monotonic() - started)
        self.results.statuses[status] += 1
        return b"connection: close" not in head.lower()
