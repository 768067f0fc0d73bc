"""Shared parts of the review's cases: the node's process, and stand-ins for app servers and discovery.

The stand-ins run in the process of the script, on free ports of 127.0.0.1. Each node is a process of its own,
started with the command ``run`` of the deploy file.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 10, 11, 12  # run.sh turns them into 0, 1 and 2
HEARTBEAT_S = 2.0  # discovery: "As long as nothing changes, an empty line arrives every 2 s."
CALL_TIMEOUT_S = 2.0  # a call that waited so long in discovery's queue fails
HEALTH_REQUEST = b"GET /_health HTTP/1.1\r\nHost: front.local\r\n\r\n"
READY_S = 30.0  # a node has so long to become ready
LONGEST_RUN_S = 115.0
ZONES = ["quito-norte", "quito-sur"]


class CouldNotRunError(Exception):
    """The case could not be run, so that nothing is said about the rule."""


class Record:
    """Writes ``record.txt``: what was sent, answered and run, each with the time since the start in s."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._start = time.monotonic()

    def now(self) -> float:
        """Return the time since the start in s."""
        return time.monotonic() - self._start

    def write(self, text: str) -> None:
        """Write a line with the present time."""
        self._file.write(f"{self.now():9.4f} {text}\n")
        self._file.flush()


def settings(**overrides: Any) -> dict[str, Any]:
    """Return settings like those of pedidos-quito, with ``overrides`` for top-level keys."""
    values: dict[str, Any] = {
        "Allowed": {
            "ConnIdle": 15000.0,
            "DialTimeout": 200.0,
            "MaxAttempts": 4,
            "MaxRetryAfter": 2000.0,
            "MayCancel": True,
            "Probes": True,
            "RetryAfter": True,
            "SecondCopies": False,
            "StreamsPerConn": 1,
        },
        "Azs": ZONES,
        "Classes": [
            request_class("consulta-stock", "free", 400.0, 800.0, 5.0, LateValue=0.5),
            request_class(
                "crear-pedido", "guarded", 750.0, 4000.0, 2.0, LateValue=0.25, Group="zone", Window=4000.0
            ),
            request_class("emitir-factura", "single_shot", 500.0, 2000.0, 3.0, LateValue=0.2),
        ],
        "Customers": [{"Name": "libreria-central", "Portion": 1.0, "QuotaPerS": 400.0}],
        "Discovery": "ask",
        "GroupSize": 1,
        "Kinds": ["normal"],
        "Me": 0,
        "MyZone": 0,
        "Obligations": {
            "AnswerSlack": 20.0,
            "AskWithin": 10000.0,
            "ColdFrom": 0.34,
            "DrainGrace": 1000.0,
            "OverloadFor": 1000.0,
            "RampTime": 8800.0,
            "TipMultiple": 4.0,
        },
        "OverShareWorth": 0.1,
        "Prices": {"CrossZone": 0.12},
        "Report": {"Fields": [], "How": "off"},
        "Tick": 5.0,
        "ValueBy": "work",
        "Weights": "nominal",
    }
    return values | overrides


def request_class(
    name: str, effect: str, aim: float, deadline: float, worth: float, **other: Any
) -> dict[str, Any]:
    """Return the settings of a request class; times are in ms."""
    values = {"Group": "all", "Window": 5000.0, "Stream": False}
    return values | {
        "Name": name,
        "Idempotency": effect,
        "Aim": aim,
        "Deadline": deadline,
        "Worth": worth,
        **other,
    }


_ids = itertools.count(1)


def client_request(class_name: str, timeout_ms: int, **headers: str) -> tuple[str, bytes]:
    """Return the id and the bytes of a client's request, in the form of its class."""
    request_id = f"{next(_ids):016x}"
    method = "GET" if class_name == "consulta-stock" else "POST"
    fields = {
        "Host": "backend.local",
        "Request-Id": request_id,
        "Tenant": "libreria-central",
        "Request-Timeout": f"{timeout_ms}m",
    }
    body = b""
    if method == "POST":
        body = b'{"order":1}'
        fields["Content-Length"] = str(len(body))
    if class_name == "crear-pedido":
        fields["Idempotency-Key"] = f"key{request_id}"
    fields |= {name.replace("_", "-"): value for name, value in headers.items()}
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return request_id, f"{method} /{class_name} HTTP/1.1\r\n{head}\r\n".encode() + body


def header(head: bytes, name: str) -> str | None:
    """Return the value of a header, or None if it is missing."""
    for line in head.decode("latin-1").split("\r\n")[1:]:
        key, _, value = line.partition(":")
        if key.lower() == name.lower():
            return value.strip()
    return None


async def read_message(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    """Read a message whose body, if any, has a Content-Length; return its head and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = int(header(head, "Content-Length") or 0)
    return head, await reader.readexactly(length) if length else b""


def status_of(head: bytes) -> int:
    """Return the status code of a response."""
    return int(head.split(b" ", 2)[1])


Responder = Callable[["AppServer", str, bytes, asyncio.StreamWriter], Awaitable[None]]
"""Gets the server, the request's id, its head and a writer, and writes the answer."""


async def serve_200(server: AppServer, request_id: str, head: bytes, writer: asyncio.StreamWriter) -> None:
    """Answer 200 after the work; the body names the request and the server."""
    await server.work()
    body = f"{request_id} by {server.name}".encode()
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))


class AppServer:
    """An app server with two cores that serves one request at a time on each of them."""

    def __init__(
        self, name: str, record: Record, work_s: float = 0.0, respond: Responder = serve_200
    ) -> None:
        self.name, self.work_s, self.respond = name, work_s, respond
        self.record = record
        self.leaving = False
        self.received: list[tuple[float, str, str]] = []  # time of the last byte, id, Request-Timeout
        self._cores = asyncio.Semaphore(2)

    async def start(self) -> AppServer:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port: int = self.server.sockets[0].getsockname()[1]
        return self

    async def work(self) -> None:
        """Do the work of one request on a core."""
        async with self._cores:
            await asyncio.sleep(self.work_s)

    def entry(self, **overrides: Any) -> dict[str, Any]:
        """Return this server's entry in the list of discovery."""
        return {
            "instanceId": self.name,
            "hostPort": f"127.0.0.1:{self.port}",
            "zone": ZONES[0],
            "machineType": "normal",
            "cell": 0,
            "lifecycle": "leaving" if self.leaving else "active",
            "weight": 1.0,
            "startedAtMs": 0,
        } | overrides

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while not writer.is_closing():
                head, _ = await read_message(reader)
                request_id = header(head, "Request-Id") or "none"
                told = header(head, "Request-Timeout") or "none"
                self.received.append((self.record.now(), request_id, told))
                path = head.split(b" ", 2)[1].decode()
                self.record.write(f"{self.name} got {request_id} {path} with Request-Timeout {told}")
                await self.respond(self, request_id, head, writer)
                self.record.write(f"{self.name} answered {request_id}")
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # the node closed the connection, or the run has ended
        finally:
            writer.close()


class Discovery:
    """Discovery: one service that handles calls in turn; watches get every change of the list."""

    def __init__(self, servers: list[AppServer], record: Record) -> None:
        self.generation = 1
        self.instances = {server.name: server.entry() for server in servers}
        self.crowded = False
        """Whether the queue is so long that each call waits until it fails."""
        self.quiet_start = False
        """Whether a watch begins with an empty line if nothing has changed, not with an object."""
        self.told: dict[int, float] = {}
        """For each version, when it was first written on a watch or in an answer."""
        self._record = record
        self._log: list[tuple[int, list[dict[str, Any]]]] = []  # changes with their generation
        self._watchers: dict[asyncio.StreamWriter, asyncio.Event] = {}
        self._silent: set[asyncio.StreamWriter] = set()

    async def start(self) -> Discovery:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port: int = self.server.sockets[0].getsockname()[1]
        return self

    def known(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"generation": self.generation, "reset": True, "instances": list(self.instances.values())}

    def change(self, entry: dict[str, Any]) -> None:
        """Change an entry, or remove it if its lifecycle is ``left``."""
        self.generation += 1
        if entry["lifecycle"] == "left":
            self.instances.pop(entry["instanceId"], None)
        else:
            self.instances[entry["instanceId"]] = entry
        self._log.append((self.generation, [entry]))
        text = f"discovery has version {self.generation}: {entry['instanceId']} {entry['lifecycle']}"
        self._record.write(text)
        for event in self._watchers.values():
            event.set()

    def silence_watches(self) -> None:
        """Let the open watches fall silent: they stay open, and nothing comes on them any more."""
        self._silent = set(self._watchers)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ")[1].decode()
                self._record.write(f"discovery got call {target}")
                if self.crowded:
                    await asyncio.sleep(CALL_TIMEOUT_S)  # in the queue
                    self._record.write(f"discovery failed call {target} with 503")
                    writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                elif "watch=1" in target:
                    await self._watch(int(target.rpartition("from=")[2]), reader, writer)
                    return
                else:
                    body = json.dumps(self.known()).encode()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                    self._record.write(f"discovery wrote the whole list, version {self.generation}")
                    self.told.setdefault(self.generation, self._record.now())
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # the node closed the connection, or the run has ended
        finally:
            writer.close()

    async def _watch(self, version: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        event = self._watchers[writer] = asyncio.Event()
        closed = asyncio.ensure_future(reader.read())
        is_first = not self.quiet_start
        try:
            while not closed.done() and writer not in self._silent:
                line = self._changes_after(version, always=is_first)
                version, is_first = self.generation, False
                writer.write(b"%x\r\n%b\r\n" % (len(line), line))
                event.clear()
                waiting = asyncio.ensure_future(event.wait())
                await asyncio.wait(
                    {waiting, closed}, timeout=HEARTBEAT_S, return_when=asyncio.FIRST_COMPLETED
                )
                waiting.cancel()
            await closed
        finally:
            closed.cancel()
            del self._watchers[writer]

    def _changes_after(self, version: int, always: bool) -> bytes:
        """Return the line with the changes after a version; without any, an empty line unless ``always``."""
        entries = [entry for number, changed in self._log if number > version for entry in changed]
        if not entries and not always:
            return b"\n"
        self._record.write(f"discovery wrote {len(entries)} entries of version {self.generation} on a watch")
        self.told.setdefault(self.generation, self._record.now())
        change = {"generation": self.generation, "reset": False, "instances": entries}
        return json.dumps(change).encode() + b"\n"


def free_port() -> int:
    """Return a port of 127.0.0.1 that is free now."""
    with socket.create_server(("127.0.0.1", 0)) as listening:
        port: int = listening.getsockname()[1]
        return port


class Node:
    """A node in a process of its own, started with ``run`` of the deploy file."""

    def __init__(self, name: str, folder: Path, record: Record) -> None:
        self.name, self.port = name, free_port()
        self._folder, self._record = folder, record

    async def start(self, discovery: Discovery, node_settings: dict[str, Any], sockets: int = 256) -> None:
        """Start the process and wait until ``GET /_health`` answers 200."""
        self.config = {
            "name": self.name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{discovery.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 128, "sockets": sockets},
            "known": discovery.known(),
            "settings": node_settings,
        }
        path = self._folder / f"{self.name}.json"
        path.write_text(json.dumps(self.config))
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        self.log = (self._folder / f"{self.name}.log").open("wb")
        environment = {key: value for key, value in os.environ.items() if not key.startswith("ROUTER_")}
        self.process = await asyncio.create_subprocess_exec(
            *("/bin/sh", "-c", command),
            cwd=ROOT,
            env=environment | {"ROUTER_CONFIG": str(path), "TMPDIR": str(self._folder)},
            stdin=asyncio.subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
        )
        deadline = time.monotonic() + READY_S
        while not await self._is_healthy():
            if self.process.returncode is not None or time.monotonic() > deadline:
                raise CouldNotRunError(f"{self.name} did not become ready: {self.log_text()}")
            await asyncio.sleep(0.05)
        self._record.write(f"{self.name} is ready")

    async def _is_healthy(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(HEALTH_REQUEST)
            head, _ = await asyncio.wait_for(read_message(reader), 1.0)
            writer.close()
        except (OSError, asyncio.IncompleteReadError):
            return False
        return b" 200 " in head

    def log_text(self) -> str:
        """Return the log so far."""
        return (self._folder / f"{self.name}.log").read_text(errors="replace")

    async def end(self) -> None:
        """End the process at once, if it still runs."""
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        self.log.close()


Case = Callable[[Path, Record, list[Node]], Awaitable[bool]]
"""Gets a temporary folder, the record and a list for its nodes; returns whether the rule held."""


async def _run_case(case: Case, folder: Path, record: Record) -> bool:
    nodes: list[Node] = []
    this_task = asyncio.current_task()
    assert this_task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, this_task.cancel)
    try:
        async with asyncio.timeout(LONGEST_RUN_S):
            return await case(folder, record, nodes)
    finally:
        for node in nodes:
            await node.end()
            for line in node.log_text().splitlines():
                record.write(f"log of {node.name}: {line}")


def main(case: Case, case_folder: Path) -> None:
    """Run a case, and exit with the status that tells its result."""
    record = Record(case_folder)
    folder = Path(tempfile.mkdtemp())
    try:
        held = asyncio.run(_run_case(case, folder, record))
        result = HELD if held else BROKEN
    except (Exception, asyncio.CancelledError):  # cancelled by SIGTERM
        record.write(f"could not run: {traceback.format_exc()}")
        traceback.print_exc()
        result = COULD_NOT_RUN
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    texts = {HELD: "the rule held", BROKEN: "the rule was broken", COULD_NOT_RUN: "could not run"}
    record.write(f"result: {texts[result]}")
    sys.exit(result)
