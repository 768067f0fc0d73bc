"""Stand-ins for clients, app servers and discovery, and the start of a node with the deploy file's command.

Everything runs on loopback addresses and on the real clock. Times in the record are seconds since the start.
"""

# ruff: noqa: D102, D103, PLR2004 (short methods whose names say it; statuses of HTTP)

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

REPOSITORY = Path(__file__).resolve().parents[2]
ZONES = ("quito-norte", "quito-sur", "cumbaya", "sangolqui")
KINDS = ("rapida", "normal", "lenta")
CLASSES = {  # name: (share of the requests, deadline in ms, method)
    "consulta-stock": (0.55, 800, "GET"),
    "crear-pedido": (0.25, 4000, "POST"),
    "emitir-factura": (0.20, 2000, "POST"),
}
RUN_LIMIT_S = 110.0
HEARTBEAT_S = 2.0
RULE_BROKEN = 101  # exit status of Python, which run.sh turns into 1; an error of Python is not taken for it
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CaseCannotRunError(Exception):
    """The case could not be played; nothing is said about the rule."""


def settings(
    discovery: str = "ask", grace_ms: float = 1000.0, nodes: int = 1, index: int = 0
) -> dict[str, Any]:
    """Return the settings of a small deployment."""
    classes = [
        {"Name": "consulta-stock", "Aim": 400.0, "Deadline": 800.0, "Idempotency": "free", "Group": "all"},
        {"Name": "crear-pedido", "Aim": 750.0, "Deadline": 4000.0, "Idempotency": "guarded", "Group": "zone"},
        {"Name": "emitir-factura", "Aim": 500.0, "Deadline": 2000.0, "Idempotency": "single_shot"},
    ]
    more = [
        {"LateValue": 0.5, "Stream": False, "Window": 5000.0, "Worth": 5.0},
        {"LateValue": 0.25, "Stream": False, "Window": 4000.0, "Worth": 2.0},
        {"LateValue": 0.2, "Stream": False, "Window": 5000.0, "Worth": 3.0, "Group": "all"},
    ]
    return {
        "Allowed": {
            "ConnIdle": 15000.0, "CpuUsPerRequest": 0.0, "CpuUsPerS": 800000, "DialTimeout": 200.0,
            "MaxAttempts": 4, "MaxOpen": 20000, "MaxRetryAfter": 2000.0, "MayCancel": True, "Peers": False,
            "Probes": True, "RetryAfter": True, "SecondCopies": False, "StreamsPerConn": 1,
        },
        "Azs": list(ZONES),
        "Classes": [a | b for a, b in zip(classes, more, strict=True)],
        "Clients": {"MarksRetry": False},
        "Customers": [{"Name": "libreria-central", "Portion": 1.0, "QuotaPerS": 500.0}],
        "Discovery": discovery,
        "Domain": {"WarmKeys": False},
        "Goal": {"Whole": 0.6, "WorstClass": 0.1, "WorstTenant": 0.1, "WorstWindow": 0.2},
        "GroupSize": nodes,
        "KindOfService": "proxy",
        "Kinds": list(KINDS),
        "Me": index,
        "MyZone": index % len(ZONES),
        "Obligations": {
            "AnswerSlack": 20.0, "AskWithin": 10000.0, "ColdFrom": 0.34, "DrainGrace": grace_ms,
            "OverloadFor": 1000.0, "RampTime": 8800.0, "TipMultiple": 4.0,
        },
        "OverShareWorth": 0.1,
        "Prices": {"CrossZone": 0.12, "LateFail": 0.077, "Probe": 0.01, "Waste": 0.06},
        "Report": {"Fields": [], "How": "off"},
        "Tick": 5.0,
        "Tier": 0,
        "Tiers": ["pedidos-web"],
        "ValueBy": "work",
        "Weights": "nominal",
    }  # fmt: skip


class Record:
    """What was sent, answered and run, one line each; written to record.txt at the end."""

    def __init__(self) -> None:
        self.started_at = time.monotonic()
        self.lines: list[str] = []

    def now(self) -> float:
        return time.monotonic() - self.started_at

    def add(self, kind: str, **values: Any) -> None:
        shown = " ".join(f"{name}={value}" for name, value in values.items())
        self.lines.append(f"{self.now():9.4f} {kind} {shown}")

    def write(self, folder: Path) -> None:
        (folder / "record.txt").write_text("\n".join(self.lines) + "\n")


async def read_message(reader: asyncio.StreamReader, first: bytes = b"") -> tuple[bytes, bytes]:
    """Read the head and the body of a message with Content-Length."""
    head = first + await reader.readuntil(b"\r\n\r\n")
    return head, await reader.readexactly(int(header(head, "Content-Length") or 0))


def header(head: bytes, name: str) -> str | None:
    for line in head.decode("latin-1").split("\r\n")[1:]:
        key, _, value = line.partition(":")
        if key.lower() == name.lower():
            return value.strip()
    return None


@dataclass
class Run:
    """A request that an app server has begun."""

    server: str
    request_id: str
    class_name: str
    first_byte_at: float
    body: bytes
    timeout: str


Answer = Callable[["AppServer", Run, asyncio.StreamWriter], Awaitable[bool]]
"""Writes the answer, and returns whether the connection is kept."""


async def answer_whole(server: AppServer, run: Run, writer: asyncio.StreamWriter) -> bool:
    body = f"{server.name}:{run.request_id}".encode()
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
    return True


class AppServer:
    """An app server that serves each request after a short time, and whose process stays up."""

    def __init__(self, index: int, record: Record, seed: int, answer: Answer = answer_whole) -> None:
        self.name = f"s-{index:04x}"
        self.zone = ZONES[index % len(ZONES)]
        self.kind = KINDS[index % len(KINDS)]
        self.cell = index % len(ZONES)
        self.record = record
        self.random = random.Random(seed * 1000 + index)
        self.answer = answer
        self.runs: list[Run] = []

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def service_time(self) -> float:
        """Return the seconds before the answer is made."""
        return self.random.uniform(0.01, 0.04)

    def entry(self, lifecycle: str = "active") -> dict[str, Any]:
        return {
            "instanceId": self.name,
            "hostPort": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "machineType": self.kind,
            "cell": self.cell,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": 0,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while first := await reader.read(1):
                first_byte_at = self.record.now()
                head, body = await read_message(reader, first)
                class_name = head.split(b" ")[1].decode().split("/")[1]
                request_id, timeout = header(head, "Request-Id") or "", header(head, "Request-Timeout") or ""
                run = Run(self.name, request_id, class_name, first_byte_at, body, timeout)
                self.runs.append(run)
                self.record.add(
                    "run", server=self.name, id=request_id, of=class_name, body=len(body), told=timeout
                )
                await asyncio.sleep(self.service_time())
                keep = await self.answer(self, run, writer)
                await writer.drain()
                if not keep:
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


@dataclass
class Answered:
    """A client's request and what became of it; ``status`` is 0 without an answer."""

    request_id: str
    class_name: str
    sent_at: float
    due_at: float
    status: int = 0
    body: bytes = b""
    answered_at: float = 0.0
    sent_body: bytes = b""
    was_written: bool = False
    """Whether it was written to a connection that the node's machine had accepted."""
    why: str = ""
    """Why there is no answer; TimeoutError if the connection stayed open without one."""


@dataclass
class Discovery:
    """The discovery service: the whole list, and watches on changes with an empty line every 2 s.

    ``reply_delay`` is how long a call waits for its turn. While ``is_cut_off`` is set, nothing travels
    between discovery and the nodes: see ``cut_off``.
    """

    record: Record
    entries: dict[str, dict[str, Any]] = field(default_factory=dict)
    generation: int = 41
    reply_delay: float = 0.0
    crowded: bool = False
    is_cut_off: bool = False
    changes: list[tuple[int, dict[str, Any]]] = field(default_factory=list)
    watches: set[asyncio.Queue[bytes]] = field(default_factory=set)
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    fillers: list[socket.socket] = field(default_factory=list)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self) -> None:
        self.socket = socket.create_server(("127.0.0.1", 0))
        self.socket.setblocking(False)
        self.port = self.socket.getsockname()[1]
        self.accepting = asyncio.ensure_future(self.accept())

    async def accept(self) -> None:
        while True:
            connection, _ = await asyncio.get_running_loop().sock_accept(self.socket)
            reader, writer = await asyncio.open_connection(sock=connection)
            task = asyncio.ensure_future(self.serve(reader, writer))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def cut_off(self) -> None:
        """Let nothing travel: open connections stay open and silent, and new ones never come up."""
        self.is_cut_off = True
        self.accepting.cancel()
        self.socket.listen(0)
        for _ in range(4):  # the queue of the listening socket is full then, and the system drops what comes
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            self.fillers.append(filler)

    def heal(self) -> None:
        """End the cut."""
        self.is_cut_off = False
        for filler in self.fillers:
            filler.close()
        self.socket.listen(100)
        self.accepting = asyncio.ensure_future(self.accept())

    def whole_list(self) -> dict[str, Any]:
        return {"generation": self.generation, "reset": True, "instances": list(self.entries.values())}

    def change(self, entry: dict[str, Any]) -> None:
        """Enter a change of the list, and write it to the open watches."""
        self.generation += 1
        self.entries[entry["instanceId"]] = entry
        self.changes.append((self.generation, entry))
        self.record.add("discovery-has", id=entry["instanceId"], lifecycle=entry["lifecycle"])
        for queue in self.watches:
            queue.put_nowait(self.line([entry]))

    def reset_watches(self) -> None:
        for writer in list(self.writers):
            writer.transport.abort()

    def line(self, entries: list[dict[str, Any]]) -> bytes:
        return (
            json.dumps({"generation": self.generation, "reset": False, "instances": entries}).encode() + b"\n"
        )

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            target = (await reader.readuntil(b"\r\n\r\n")).split(b" ")[1].decode()
            self.record.add("discovery-called", target=target, cut_off=self.is_cut_off, crowded=self.crowded)
            if self.is_cut_off:
                await reader.read()  # nothing travels
                return
            await asyncio.sleep(self.reply_delay)
            if self.crowded:
                writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
            elif "watch=1" in target:
                await self.watch(int(target.partition("from=")[2]), reader, writer)
            else:
                body = json.dumps(self.whole_list()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def watch(self, version: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        queue: asyncio.Queue[bytes] = asyncio.Queue()
        if missed := [entry for generation, entry in self.changes if generation > version]:
            queue.put_nowait(self.line(missed))
        self.watches.add(queue)
        self.writers.add(writer)
        end = asyncio.ensure_future(reader.read())
        try:
            while not end.done():
                try:
                    line = await asyncio.wait_for(queue.get(), HEARTBEAT_S)
                except TimeoutError:
                    line = b"\n"
                if not self.is_cut_off and not end.done():
                    writer.write(b"%x\r\n%b\r\n" % (len(line), line))
                    self.record.add("discovery-writes", line=line.decode().strip()[:160] or "heartbeat")
        finally:
            self.watches.discard(queue)
            self.writers.discard(writer)
            end.cancel()


class Node:
    """A node, started with ``run`` of the deploy file."""

    def __init__(self, name: str, folder: Path, record: Record, sockets: int = 384) -> None:
        self.name = name
        self.folder = folder
        self.sockets = sockets
        self.record = record
        self.port = free_port()
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, discovery_port: int, node_settings: dict[str, Any], known: dict[str, Any]) -> None:
        config = {
            "name": self.name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{discovery_port}",
            "seed": f"{random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 128, "sockets": self.sockets},
            "known": known,
            "settings": node_settings,
        }
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(config))
        command = tomllib.loads((REPOSITORY / "deploy/balancer.toml").read_text())["run"]
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "TMPDIR": str(self.folder),
            "ROUTER_CONFIG": str(path),
            "ROUTER_NAME": self.name,
            "ROUTER_LISTEN": config["listen"],
            "ROUTER_DISCOVERY": config["discovery"],
        }
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=REPOSITORY, env=environment,
            stdin=asyncio.subprocess.DEVNULL, stderr=(self.folder / f"{self.name}.log").open("ab"),
        )  # fmt: skip
        self.record.add("node-started", name=self.name, pid=self.process.pid)
        await self.wait_until_ready()

    async def wait_until_ready(self) -> None:
        """Wait until /_health has answered 200."""
        for _ in range(600):
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /_health HTTP/1.1\r\nHost: backend.local\r\n\r\n")
                head, _ = await read_message(reader)
                writer.close()
                if head.split(b" ")[1] == b"200":
                    self.record.add("node-ready", name=self.name)
                    return
            except (OSError, asyncio.IncompleteReadError):
                pass
            if self.process is None or self.process.returncode is not None:
                break
            await asyncio.sleep(0.02)
        raise CaseCannotRunError(f"{self.name} is not ready")

    async def stop(self, signal_number: int = signal.SIGKILL) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal_number)
            await self.process.wait()


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class Clients:
    """Clients that send at random times, one request at a time on a connection, and keep connections."""

    def __init__(self, node: Node, record: Record, rate: float, seed: int) -> None:
        self.node = node
        self.record = record
        self.rate = rate
        self.random = random.Random(seed)
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.answered: list[Answered] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.more_lines: Callable[[str, bool], tuple[str, ...]] = lambda class_name, is_first: ()
        """Returns further header lines, by the class and whether the request is the first on a connection."""

    async def send_for(self, seconds: float) -> None:
        end = self.record.now() + seconds
        names, shares = list(CLASSES), [share for share, _, _ in CLASSES.values()]
        while self.record.now() < end:
            await asyncio.sleep(self.random.expovariate(self.rate))
            task = asyncio.ensure_future(self.request(self.random.choices(names, shares)[0]))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def finish(self) -> None:
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=6.0)
        for _, writer in self.idle:
            writer.close()

    def message(
        self, class_name: str, request_id: str, more_lines: tuple[str, ...] = ()
    ) -> tuple[bytes, bytes]:
        """Return the head and the body of a request."""
        _, deadline, method = CLASSES[class_name]
        lines = [
            f"{method} /{class_name}/{self.random.getrandbits(24):06x} HTTP/1.1",
            "Host: backend.local",
            f"Request-Id: {request_id}",
            "Tenant: libreria-central",
            f"Request-Timeout: {deadline}m",
            "Work-Hint: 25000",
            *more_lines,
        ]
        if class_name == "crear-pedido":
            lines.append(f"Idempotency-Key: {self.random.getrandbits(128):032x}")
        body = b"" if method == "GET" else f"{class_name} {request_id}".encode().ljust(212, b".")
        if body:
            lines.append(f"Content-Length: {len(body)}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode(), body

    async def request(self, class_name: str) -> None:
        deadline = CLASSES[class_name][1]
        request_id = f"{self.random.getrandbits(64):016x}"
        head, body = self.message(class_name, request_id, self.more_lines(class_name, not self.idle))
        data = head + body
        now = self.record.now()
        answer = Answered(request_id, class_name, now, now + deadline / 1000, sent_body=body)
        self.answered.append(answer)
        self.record.add("sent", id=request_id, to=self.node.name, of=class_name)
        connection = self.idle.pop() if self.idle else None
        is_reused = connection is not None
        try:
            try:
                await self.exchange(connection, data, answer)
            except TimeoutError:
                raise
            except (OSError, asyncio.IncompleteReadError):
                if not is_reused:
                    raise
                await self.exchange(None, data, answer)  # once more, on a new connection
        except (OSError, asyncio.IncompleteReadError) as error:
            answer.why = type(error).__name__
            self.record.add("unanswered", id=request_id, why=answer.why)
            return
        self.record.add(
            "answered", id=request_id, status=answer.status, body=answer.body[:60].decode("latin-1")
        )

    async def exchange(
        self,
        connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None,
        data: bytes,
        answer: Answered,
    ) -> None:
        deadline = CLASSES[answer.class_name][1] / 1000
        if connection is None:
            async with asyncio.timeout(deadline):
                connection = await asyncio.open_connection("127.0.0.1", self.node.port)
        reader, writer = connection
        is_kept = False
        try:
            writer.write(data)
            answer.was_written, answer.sent_at = True, self.record.now()
            answer.due_at = answer.sent_at + deadline
            async with asyncio.timeout(deadline + 0.6):
                head, answer.body = await read_message(reader)
            answer.status, answer.answered_at = int(head.split(b" ")[1]), self.record.now()
            is_kept = (header(head, "Connection") or "").lower() != "close"
        finally:
            if is_kept:
                self.idle.append((reader, writer))
            else:
                writer.close()


Play = Callable[[Record, Path, list[Node]], Awaitable[bool]]
"""Plays the case, and returns whether the rule held. Nodes that it starts are added to the list."""


async def _play(play: Play, record: Record, folder: Path) -> int:
    nodes: list[Node] = []
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    try:
        async with asyncio.timeout(RUN_LIMIT_S):
            held = await play(record, folder, nodes)
        for node in nodes:
            if node.process is None or node.process.returncode is not None:
                record.add("node-ended", name=node.name)
                return 2
    except (Exception, asyncio.CancelledError) as error:
        record.add("case-cannot-run", why=repr(error))
        return 2
    finally:
        for node in nodes:
            await node.stop()
    return 0 if held else RULE_BROKEN


def main(play: Play) -> int:
    """Play a case, write its record, and return the exit status."""
    record = Record()
    record.add("case", trouble=int(TROUBLE))
    folder = Path(tempfile.mkdtemp(prefix="case-"))
    status = 2
    try:
        status = asyncio.run(_play(play, record, folder))
    finally:
        record.add("exit", status=status)
        record.write(Path(sys.argv[0]).resolve().parent)
        for log in sorted(folder.glob("*.log")):
            print(
                f"--- {log.name}, last lines", *log.read_text().splitlines()[-6:], sep="\n", file=sys.stderr
            )
        shutil.rmtree(folder, ignore_errors=True)
    print(record.lines[-2])
    return status
