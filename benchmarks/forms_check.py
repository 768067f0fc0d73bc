"""Runs a node between clients and app servers that use all forms of messages, and checks what arrives.

Whatever the forms are: what an app server gets is what a client has sent, and what a client gets with status
200 is what an app server has sent whole for its request.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from benchmarks.client_pressure import ZONES, NodeLimits, running_pressure_node
from benchmarks.good_clients import (
    ANSWER_SLACK_S,
    CLASSES,
    CONTENT_LENGTH_PATTERN,
    REQUEST_TIMEOUT_MS,
    next_request_id,
    read_response,
)
from benchmarks.live_fleet import REQUEST_ID_PATTERN, AppServer, LiveDiscovery, reset
from benchmarks.message_forms import (
    CLOSING_RESPONSES,
    CUT_RESPONSES,
    WITHOUT_LENGTH,
    RequestForm,
    ResponseForm,
    encode_request,
    encode_response,
)
from benchmarks.report import REPOSITORY_ROOT

APP_SERVERS = 8
CLIENTS = 12
MEMORY_MB = 64
MAX_BODY_BYTES = 3000
MAX_PIPELINED = 4  # requests that a client sends at once
MAX_WORK_S = 0.01
PIECE_PAUSE_S = 0.001
CUT_SHARE = 0.1  # of the responses
MIN_SHARE_FORWARDED = 0.5  # of the responses without a length that come whole


@dataclass
class FormsResult:
    """What a run has shown; a run without ``violations`` has passed."""

    seed: int
    violations: Counter[str] = field(default_factory=Counter)
    statuses: Counter[int] = field(default_factory=Counter)
    without_length: int = 0
    """Responses without a length that came whole."""
    without_length_forwarded: int = 0


@dataclass
class Exchanges:
    """What clients sent and app servers answered, by the id of the request."""

    sent: dict[bytes, tuple[str, bytes]] = field(default_factory=dict)
    """Class and body of each request."""
    received: dict[bytes, list[bytes]] = field(default_factory=dict)
    """Bodies with which each request arrived at app servers."""
    answered: dict[bytes, dict[bytes, ResponseForm]] = field(default_factory=dict)
    """Bodies of the whole responses to each request, with their forms."""


class FormsAppServer(AppServer):
    """An app server that draws a form for each response."""

    def __init__(self, number: int, rng: random.Random, exchanges: Exchanges) -> None:
        super().__init__(f"s-{number}", ZONES[number % len(ZONES)])
        self._random = rng
        self._exchanges = exchanges

    async def start(self) -> FormsAppServer:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while await self._serve_request(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass  # the node has closed the connection
        finally:
            writer.close()

    async def _serve_request(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Serve a request; return whether the connection stays open."""
        head = await reader.readuntil(b"\r\n\r\n")
        length, request_id = CONTENT_LENGTH_PATTERN.search(head), REQUEST_ID_PATTERN.search(head)
        body = await reader.readexactly(int(length[1]) if length else 0)
        key = request_id[1] if request_id else b""
        self._exchanges.received.setdefault(key, []).append(body)
        await asyncio.sleep(self._random.uniform(0.0, MAX_WORK_S))
        form = self._draw_form()
        response = b"%b by %b " % (key, self.name.encode()) + self._random.randbytes(
            self._random.randrange(MAX_BODY_BYTES)
        )
        if form not in CUT_RESPONSES:
            self._exchanges.answered.setdefault(key, {})[response] = form
        await _write(writer, encode_response(response, form), self._random)
        if form is ResponseForm.RESET_NO_LENGTH:
            reset(writer)
        return form not in CLOSING_RESPONSES

    def _draw_form(self) -> ResponseForm:
        is_cut = self._random.random() < CUT_SHARE
        return self._random.choice([form for form in ResponseForm if (form in CUT_RESPONSES) is is_cut])


async def _write(writer: asyncio.StreamWriter, data: bytes, rng: random.Random) -> None:
    """Write all at once or in a few pieces.

    Raises:
        ConnectionError: The connection has been lost.
    """
    piece_size = rng.choice((len(data), len(data) // 2 + 1, len(data) // 5 + 1))
    for start in range(0, len(data), piece_size):
        if start:
            await asyncio.sleep(PIECE_PAUSE_S)
        if writer.transport.is_closing():  # uvloop raises a RuntimeError for a write
            raise ConnectionResetError
        writer.write(data[start : start + piece_size])
    await writer.drain()


class FormsClient:
    """A client that draws a form for each request, keeps its connection and sends some requests at once."""

    def __init__(self, port: int, rng: random.Random, exchanges: Exchanges, result: FormsResult) -> None:
        self._port = port
        self._random = rng
        self._exchanges = exchanges
        self._result = result

    async def run(self, stop_at: float) -> None:
        """Send requests until a time in s on the monotonic clock."""
        while time.monotonic() < stop_at:
            reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
            try:
                while time.monotonic() < stop_at and await self._exchange(reader, writer):
                    pass
            except (asyncio.IncompleteReadError, ConnectionError, TimeoutError) as error:
                self._result.violations[f"request without an answer ({type(error).__name__})"] += 1
            finally:
                writer.close()

    async def _exchange(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Send one request or some at once; return whether the connection stays open."""
        form = self._random.choice([*RequestForm])
        if form is RequestForm.CONTINUE:
            request_id, head, body = self._draw_request(form)
            await _write(writer, head, self._random)
            if body:
                await self._read(reader)  # the interim response
                await _write(writer, body, self._random)
            return await self._receive(reader, request_id)
        drawn = [self._draw_request(form)]
        while len(drawn) < MAX_PIPELINED and self._random.random() < 0.3:
            drawn.append(self._draw_request(self._random.choice([RequestForm.LENGTH, RequestForm.OFFER])))
        await _write(writer, b"".join(head + body for _, head, body in drawn), self._random)
        return all([await self._receive(reader, request_id) for request_id, _, _ in drawn])

    def _draw_request(self, form: RequestForm) -> tuple[bytes, bytes, bytes]:
        """Return the id, the head and the encoded body of a new request."""
        class_name, request_id = self._random.choice(CLASSES), next_request_id()
        size = 0 if class_name == "find" else self._random.randrange(MAX_BODY_BYTES)
        body = self._random.randbytes(size)
        self._exchanges.sent[request_id.encode()] = class_name, body
        return request_id.encode(), *encode_request(class_name, request_id, body, form)

    async def _read(self, reader: asyncio.StreamReader) -> tuple[int, bytes, bytes]:
        async with asyncio.timeout(REQUEST_TIMEOUT_MS / 1000 + ANSWER_SLACK_S):
            return await read_response(reader)

    async def _receive(self, reader: asyncio.StreamReader, request_id: bytes) -> bool:
        """Check a response; return whether the connection stays open."""
        result = self._result
        status, head, body = await self._read(reader)
        result.statuses[status] += 1
        if status == 200:
            form = self._exchanges.answered.get(request_id, {}).get(body)
            if form is None:
                result.violations["response that no app server has sent whole"] += 1
            result.without_length_forwarded += form in WITHOUT_LENGTH
        return b"connection: close" not in head.lower()


def check_exchanges(exchanges: Exchanges, result: FormsResult) -> None:
    """Check what arrived at the app servers, and the share of responses without a length."""
    violations = result.violations
    for request_id, bodies in exchanges.received.items():
        class_name, sent_body = exchanges.sent.get(request_id, ("", None))
        violations["request that no client has sent"] += sent_body is None
        violations["request with another body"] += any(body != sent_body for body in bodies)
        violations["second run (pay)"] += class_name == "pay" and len(bodies) > 1
    forms = [form for answers in exchanges.answered.values() for form in answers.values()]
    result.without_length = sum(form in WITHOUT_LENGTH for form in forms)
    if result.without_length_forwarded < MIN_SHARE_FORWARDED * result.without_length:
        violations["responses without a length not forwarded"] += 1
    if not result.statuses[200]:
        violations["nothing was served"] += 1
    for name in [name for name, count in violations.items() if not count]:
        del violations[name]


async def check_forms(seed: int, seconds: float, root: Path = REPOSITORY_ROOT) -> FormsResult:
    """Run clients and app servers for some seconds, with the node of a checkout, and check the messages."""
    result, exchanges = FormsResult(seed), Exchanges()
    rng = random.Random(seed)
    servers = [await FormsAppServer(number, rng, exchanges).start() for number in range(APP_SERVERS)]
    discovery = await LiveDiscovery([server.entry() for server in servers]).start()
    async with running_pressure_node(discovery, NodeLimits(MEMORY_MB), root) as node:
        clients = [FormsClient(node.port, rng, exchanges, result) for _ in range(CLIENTS)]
        stop_at = time.monotonic() + seconds
        await asyncio.gather(*(client.run(stop_at) for client in clients))
        tracebacks = sum(line.text.startswith("Traceback") for line in node.output_lines)
        result.violations["exception in the log"] += tracebacks
    check_exchanges(exchanges, result)
    return result
