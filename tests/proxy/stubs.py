"""Stubs of what a node talks to, over loopback: upstreams, discovery and clients."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any, cast

from benchmarks.live_fleet import reset
from load_balancer.policy.settings import Idempotency

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
REQUEST_CLASSES = {
    "find": Idempotency.IDEMPOTENT,
    "book": Idempotency.KEYED,
    "pay": Idempotency.NOT_IDEMPOTENT,
}
TIMEOUT_S = 10.0  # limit for anything that a test waits for; reached only if the test fails

Responder = Callable[["UpstreamStub", bytes, asyncio.StreamWriter], Awaitable[None]]
"""Gets the stub, the head of a request and a writer, and writes the upstream's response to the writer."""


async def respond_ok(upstream: UpstreamStub, head: bytes, writer: asyncio.StreamWriter) -> None:
    """Respond with status 200."""
    writer.write(OK)


def respond_with(data: bytes) -> Responder:
    """Return a responder that writes ``data``."""

    async def respond(upstream: UpstreamStub, head: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(data)

    return respond


def respond_after(release: asyncio.Event) -> Responder:
    """Return a responder that responds with status 200 once the event is set."""

    async def respond(upstream: UpstreamStub, head: bytes, writer: asyncio.StreamWriter) -> None:
        await release.wait()
        writer.write(OK)

    return respond


def respond_and_close(data: bytes) -> Responder:
    """Return a responder that writes ``data`` and closes the connection in order."""

    async def respond(upstream: UpstreamStub, head: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(data)
        writer.close()

    return respond


def respond_and_reset(data: bytes) -> Responder:
    """Return a responder that writes ``data`` and resets the connection."""

    async def respond(upstream: UpstreamStub, head: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(data)
        await writer.drain()
        reset(writer)

    return respond


async def reset_connection(upstream: UpstreamStub, head: bytes, writer: asyncio.StreamWriter) -> None:
    """Reset the connection instead of responding."""
    reset(writer)


async def never_respond(upstream: UpstreamStub, head: bytes, writer: asyncio.StreamWriter) -> None:
    """Never respond to the request."""
    pass


class UpstreamStub:
    """HTTP server that acts as an upstream.

    ``requests`` gets the head and body of each received request, ``disconnects`` an item for each closed
    connection. ``connections`` is the number of connections accepted so far.
    """

    def __init__(self, respond: Responder = respond_ok) -> None:
        self.respond = respond
        self.requests: asyncio.Queue[bytes] = asyncio.Queue()
        self.disconnects: asyncio.Queue[int] = asyncio.Queue()
        self.connections = 0

    async def start(self) -> UpstreamStub:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port: int = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = header(head, b"Content-Length")
                body = await reader.readexactly(int(length)) if length else b""
                self.requests.put_nowait(head + body)
                await self.respond(self, head, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.disconnects.put_nowait(1)
            writer.close()

    def entry(self, name: str = "s-1", lifecycle: str = "active", started_at_ms: int = 0) -> dict[str, Any]:
        """Return an entry of discovery's endpoint list with this upstream's address.

        ``started_at_ms`` is the Unix time of its last start in ms.
        """
        return {
            "instanceId": name,
            "hostPort": f"127.0.0.1:{self.port}",
            "zone": "a",
            "machineType": "m",
            "cell": 0,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": started_at_ms,
        }


class DiscoveryStub:
    """Discovery server: responds with a snapshot, or with a watch that sends the lines in ``watch_lines``.

    None in ``watch_lines`` closes the watch. ``targets`` gets the target of each request, ``disconnects`` an
    item for each closed connection. A watch begins with ``first_line``, by default a heartbeat. While
    ``is_crowded`` is set, calls fail with status 503; an open watch stays open.
    """

    def __init__(self, instances: list[dict[str, Any]], generation: int = 1) -> None:
        self.snapshot = {"generation": generation, "reset": True, "instances": instances}
        self.watch_lines: asyncio.Queue[bytes | None] = asyncio.Queue()
        self.targets: asyncio.Queue[str] = asyncio.Queue()
        self.disconnects: asyncio.Queue[int] = asyncio.Queue()
        self.first_line = b"\n"
        self.is_crowded = False

    async def start(self) -> DiscoveryStub:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port: int = self.server.sockets[0].getsockname()[1]
        return self

    def push(self, generation: int, instances: list[dict[str, Any]], reset: bool = False) -> None:
        """Send an endpoint list on the watch: a delta, or a snapshot if ``reset`` is true."""
        line = {"generation": generation, "reset": reset, "instances": instances}
        self.watch_lines.put_nowait(json.dumps(line).encode() + b"\n")

    def replace_list(self, generation: int, instances: list[dict[str, Any]]) -> None:
        """Set the endpoint list that calls return and with which a watch begins from now on."""
        self.snapshot = {"generation": generation, "reset": True, "instances": instances}
        self.first_line = json.dumps(self.snapshot).encode() + b"\n"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            target = head.split(b" ")[1].decode()
            self.targets.put_nowait(target)
            if self.is_crowded:
                writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                return
            if "watch" not in target:
                body = json.dumps(self.snapshot).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            writer.write(b"%x\r\n%b\r\n" % (len(self.first_line), self.first_line))
            write_task = asyncio.ensure_future(self.write_lines(writer))
            await reader.read()  # returns when the node closes the connection
            write_task.cancel()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.disconnects.put_nowait(1)
            writer.close()

    async def write_lines(self, writer: asyncio.StreamWriter) -> None:
        while (line := await self.watch_lines.get()) is not None:
            writer.write(b"%x\r\n%b\r\n" % (len(line), line))
        writer.close()


class RawClient:
    """Client connection to a node, on which tests can send arbitrary bytes such as invalid requests."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    @property
    def transport(self) -> asyncio.Transport:
        """The connection's transport, cast to the type that declares ``pause_reading``."""
        return cast(asyncio.Transport, self.writer.transport)

    async def receive(self) -> tuple[int, bytes, bytes]:
        """Return the status, head and body of the next response."""
        async with asyncio.timeout(TIMEOUT_S):
            head = await self.reader.readuntil(b"\r\n\r\n")
            body = await self.reader.readexactly(int(header(head, b"Content-Length") or 0))
        return int(head.split(b" ")[1]), head, body

    async def exchange(self, data: bytes) -> tuple[int, bytes, bytes]:
        """Send a request and return the status, head and body of the next response."""
        self.writer.write(data)
        return await self.receive()

    async def read_to_end(self) -> bytes:
        """Return all data that arrives before the node closes the connection."""
        async with asyncio.timeout(TIMEOUT_S):
            return await self.reader.read()


def header(head: bytes, name: bytes) -> bytes | None:
    """Return the value of a header, or None if it is missing."""
    for line in head.split(b"\r\n")[1:]:
        key, _, value = line.partition(b": ")
        if key.lower() == name.lower():
            return value
    return None


_request_ids = iter(range(1, 1 << 30))


def make_request(
    class_name: str = "find", timeout: str = "8000m", key: str = "cab7", body: bytes = b"", **headers: str
) -> bytes:
    """Return a client's request with a new id and with the method and headers that its class requires.

    ``key`` is the last part of the path. ``headers`` replaces or adds headers; underscores in their names
    stand for hyphens.
    """
    idempotency = REQUEST_CLASSES.get(class_name, Idempotency.IDEMPOTENT)
    method = "GET" if idempotency is Idempotency.IDEMPOTENT else "POST"
    fields = {"Host": "backend.local", "Request-Id": f"{next(_request_ids):016x}", "Request-Timeout": timeout}
    if idempotency is Idempotency.KEYED:
        fields["Idempotency-Key"] = "5c0f"
    if method == "POST":
        fields["Content-Length"] = str(len(body))
    fields |= {name.replace("_", "-"): value for name, value in headers.items()}
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"{method} /{class_name}/{key} HTTP/1.1\r\n{head}\r\n".encode() + body
