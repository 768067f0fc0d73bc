"""App servers and a discovery service that a real node can use, on free ports of 127.0.0.1.

The app servers record when each request arrived, so that a check can find late or repeated attempts. What an
app server does with a request follows from the last part of its path, see ``APP_SERVER_RESPONSES``.
"""

from __future__ import annotations

import asyncio
import json
import re
import socket
import struct
import time
from dataclasses import dataclass
from typing import Any

from benchmarks.good_clients import CONTENT_LENGTH_PATTERN
from load_balancer.proxy.messages import MAX_BODY_SIZE

HEARTBEAT_INTERVAL_S = 2.0
WORK_S = 0.005  # time that an app server takes for a request
UNFINISHED_BYTES = 60_000  # of a long response that never ends
CLOSE_WITH_RESET = struct.pack("ii", 1, 0)  # value of SO_LINGER: on, 0 s

_HEAD_END = b"\r\n\r\n"
REQUEST_ID_PATTERN = re.compile(rb"\r\nrequest-id: ([^\r]+)", re.IGNORECASE)


def _response(body: bytes, length: int | None = None) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (
        len(body) if length is None else length,
        body,
    )


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, whether or not anything is unread on it."""
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, CLOSE_WITH_RESET)
    writer.transport.abort()


APP_SERVER_RESPONSES = {
    b"long": _response(b"x" * UNFINISHED_BYTES),
    b"unfinished": _response(b"x" * UNFINISHED_BYTES, MAX_BODY_SIZE),
    b"silent": b"",
}
"""Responses by the last part of the path; any other path gets a short one."""
_SHORT_RESPONSE = _response(b'{"ok":true}')


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request whose last byte has reached an app server."""

    at: float
    """Monotonic time in s."""
    request_id: bytes
    method: bytes


class _AppServerConnection(asyncio.Protocol):
    def __init__(self, app_server: AppServer) -> None:
        self._app_server = app_server
        self._received = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport: Any = transport
        self._app_server.open_connections.add(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self._app_server.open_connections.discard(self._transport)

    def data_received(self, data: bytes) -> None:
        self._received += data
        head_end = self._received.find(_HEAD_END)
        if head_end < 0:
            return
        head = bytes(self._received[: head_end + 2])
        length = CONTENT_LENGTH_PATTERN.search(head)
        size = head_end + len(_HEAD_END) + (int(length[1]) if length else 0)
        if len(self._received) >= size:
            del self._received[:size]
            self._begin(head)

    def _begin(self, head: bytes) -> None:
        method, path, _ = head.split(b" ", 2)
        request_id = REQUEST_ID_PATTERN.search(head)
        self._app_server.arrivals.append(
            Arrival(time.monotonic(), request_id[1] if request_id else b"", method)
        )
        response = APP_SERVER_RESPONSES.get(path.rpartition(b"/")[2], _SHORT_RESPONSE)
        asyncio.get_running_loop().call_later(self._app_server.work, self._respond, response)

    def _respond(self, response: bytes) -> None:
        if not self._transport.is_closing():
            self._transport.write(response)


class AppServer:
    """An endpoint; ``arrivals`` holds the requests that it has received."""

    def __init__(self, name: str, zone: str) -> None:
        self.name = name
        self.zone = zone
        self.work = WORK_S
        self.arrivals: list[Arrival] = []
        self.open_connections: set[Any] = set()
        self.port = 0

    async def start(self) -> AppServer:
        """Listen on a free port."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: _AppServerConnection(self), "127.0.0.1", 0, backlog=1024
        )
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def entry(self, port: int | None = None, lifecycle: str = "active") -> dict[str, Any]:
        """Return the entry of the endpoint list; ``port`` is that of a proxy before the server, if any."""
        return {
            "instanceId": self.name,
            "hostPort": f"127.0.0.1:{port or self.port}",
            "zone": self.zone,
            "machineType": "m1",
            "cell": 0,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": 0,
        }


class LiveDiscovery:
    """Discovery with watches; each change is sent to all of them."""

    def __init__(self, entries: list[dict[str, Any]]) -> None:
        self.generation = 1
        self.entries = {entry["instanceId"]: entry for entry in entries}
        self.port = 0
        self._changes: dict[asyncio.StreamWriter, asyncio.Queue[bytes]] = {}

    async def start(self, port: int = 0) -> LiveDiscovery:
        """Listen on the given port, or on a free one."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port, backlog=256)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def snapshot(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"generation": self.generation, "reset": True, "instances": list(self.entries.values())}

    def change(self, entry: dict[str, Any]) -> None:
        """Replace an entry and tell all watches."""
        self.generation += 1
        self.entries[entry["instanceId"]] = entry
        update = {"generation": self.generation, "reset": False, "instances": [entry]}
        for queue in self._changes.values():
            queue.put_nowait(json.dumps(update).encode() + b"\n")

    def close_watches(self) -> None:
        """Reset all open watches."""
        for writer in self._changes:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = await reader.readuntil(_HEAD_END)
            if b"watch=1" not in head:
                writer.write(_response(json.dumps(self.snapshot()).encode()))
                await writer.drain()
                return
            await self._watch(writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        except RuntimeError:
            pass  # raised by uvloop for a write on a connection that has been lost
        finally:
            self._changes.pop(writer, None)
            writer.close()

    async def _watch(self, writer: asyncio.StreamWriter) -> None:
        queue = self._changes[writer] = asyncio.Queue()
        queue.put_nowait(json.dumps(self.snapshot()).encode() + b"\n")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        while True:
            try:
                line = await asyncio.wait_for(queue.get(), HEARTBEAT_INTERVAL_S)
            except TimeoutError:
                line = b"\n"
            writer.write(b"%x\r\n%b\r\n" % (len(line), line))
            await writer.drain()
