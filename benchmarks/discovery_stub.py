"""Stub of the discovery service: serves snapshots and watches, and generates a stream of changes.

It runs as a separate process, so that its work is not counted as the node's. It takes its plan as JSON in the
first argument, writes reports to standard output (see `stub_reports`), and exits when standard input ends.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import sys
import time
from collections import Counter, deque
from dataclasses import dataclass, field
from typing import Any

import uvloop

from benchmarks.fleet import ZONES, discovery_entry, snapshot_chunks
from benchmarks.stub_reports import (
    CallCounts,
    ChangeWritten,
    StubAvailable,
    StubListening,
    StubReport,
    encode_report,
)

HEARTBEAT_INTERVAL = 2.0  # s between empty lines on a watch without changes
HEARTBEAT = b"\n"
MAX_HISTORY = 5000  # past changes kept for watches; a watch from an older version gets a snapshot first
ROLLOUT_INTERVAL = 1.0  # s between the steps of a rollout
IDLE_CHANGE_INTERVAL = 3600.0  # s between checks when no periodic changes are planned
LISTEN_BACKLOG = 4096  # connections


@dataclass(frozen=True)
class DiscoveryPlan:
    """Fleet, changes and faults that the stub simulates. Times are in s."""

    endpoints: int
    changes_per_second: float = 1.0
    rollout_share: float = 0.0
    """Share of the fleet that a rollout restarts each second, or 0 if there is no rollout."""
    zone_lost_after: float | None = None
    """Time from the start until all endpoints of one zone leave at once, or None if they stay."""
    call_time: float = 0.0
    """Time to process a call; calls are processed one after the other."""
    max_wait: float = 2.0
    """Time for which a call may wait for earlier calls; after that it is rejected with status 503."""
    unavailable_for: float = 0.0
    """Time from the start during which all connections are refused."""
    seed: int = 1


@dataclass(frozen=True, slots=True)
class Change:
    """Change of the endpoint list, encoded once for all watches."""

    version: int
    line: bytes


@dataclass(eq=False)
class Watch:
    """Connection of a client that receives all changes after `version`."""

    writer: asyncio.StreamWriter
    version: int
    changed: asyncio.Event = field(default_factory=asyncio.Event)


class DiscoveryStub:
    """State of the stub: the endpoint list's version and history, its watches and the call counts."""

    def __init__(self, plan: DiscoveryPlan) -> None:
        self._plan = plan
        self._random = random.Random(plan.seed)
        self._version = 1
        self._history: deque[Change] = deque(maxlen=MAX_HISTORY)
        self._watches: set[Watch] = set()
        self._counts: Counter[str] = Counter()
        self._call_lock = asyncio.Lock()

    def call_counts(self) -> CallCounts:
        """Return the counts of calls and bytes so far."""
        return CallCounts(
            calls=self._counts["calls"],
            rejected=self._counts["rejected"],
            snapshots=self._counts["snapshots"],
            watches=self._counts["watches"],
            bytes_sent=self._counts["bytes"],
        )

    async def generate_changes(self) -> None:
        """Make the planned changes of the endpoint list until cancelled."""
        plan, started, zone_lost = self._plan, time.monotonic(), False
        while True:
            await asyncio.sleep(self._change_interval())
            if plan.rollout_share:
                count = max(1, int(plan.rollout_share * plan.endpoints))
                self._restart(self._random.sample(range(plan.endpoints), count))
            elif plan.changes_per_second:
                self._restart([self._random.randrange(plan.endpoints)])
            is_due = plan.zone_lost_after is not None and time.monotonic() - started > plan.zone_lost_after
            if is_due and not zone_lost:
                zone_lost = True
                self._remove_first_zone()

    def _change_interval(self) -> float:
        if self._plan.rollout_share:
            return ROLLOUT_INTERVAL
        return 1 / self._plan.changes_per_second if self._plan.changes_per_second else IDLE_CHANGE_INTERVAL

    def _restart(self, numbers: list[int]) -> None:
        now = time.time() * 1000
        self._write_change([discovery_entry(number, started=now) for number in numbers])

    def _remove_first_zone(self) -> None:
        numbers = range(0, self._plan.endpoints, len(ZONES))
        self._write_change([discovery_entry(number, "left") for number in numbers])

    def _write_change(self, entries: list[dict[str, Any]]) -> None:
        self._version += 1
        update = {"generation": self._version, "reset": False, "instances": entries}
        line = json.dumps(update, separators=(",", ":")).encode() + b"\n"
        self._history.append(Change(self._version, line))
        write_report(ChangeWritten(self._version, time.time()))
        for watch in self._watches:
            watch.changed.set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Respond to the only request of a connection."""
        try:
            target = (await reader.readuntil(b"\r\n\r\n")).split(b" ")[1].decode()
            await self._respond(target, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _respond(self, target: str, writer: asyncio.StreamWriter) -> None:
        if not await self._admit_call():
            writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            return
        is_watch = "watch" in target
        self._counts["watches" if is_watch else "snapshots"] += 1
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        if is_watch:
            await self._serve_watch(Watch(writer, version=int(target.rpartition("=")[2])))
        else:
            await self._send_snapshot(writer)
            writer.write(b"0\r\n\r\n")
            await writer.drain()

    async def _admit_call(self) -> bool:
        """Wait for earlier calls, then for `call_time`; return False if earlier calls took too long."""
        self._counts["calls"] += 1
        if not self._plan.call_time:
            return True
        try:
            async with asyncio.timeout(self._plan.max_wait):
                await self._call_lock.acquire()
        except TimeoutError:
            self._counts["rejected"] += 1
            return False
        try:
            await asyncio.sleep(self._plan.call_time)
        finally:
            self._call_lock.release()
        return True

    async def _send_snapshot(self, writer: asyncio.StreamWriter) -> None:
        """Send the initial endpoint list, of version 1; the client gets later changes through its watch."""
        for chunk in snapshot_chunks(self._plan.endpoints, 1):
            await self._send_chunk(writer, chunk)

    async def _serve_watch(self, watch: Watch) -> None:
        self._watches.add(watch)
        try:
            if self._history and watch.version < self._history[0].version - 1:
                await self._send_snapshot(watch.writer)
                await self._send_chunk(watch.writer, b"\n")
                watch.version = self._history[0].version - 1
            while not watch.writer.is_closing():
                await self._send_changes(watch)
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(HEARTBEAT_INTERVAL):
                        await watch.changed.wait()
        finally:
            self._watches.discard(watch)

    async def _send_changes(self, watch: Watch) -> None:
        watch.changed.clear()
        lines = [change.line for change in self._history if change.version > watch.version]
        watch.version = self._version
        for line in lines or [HEARTBEAT]:
            await self._send_chunk(watch.writer, line)

    async def _send_chunk(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        self._counts["bytes"] += len(data)
        writer.write(b"%x\r\n%b\r\n" % (len(data), data))
        await writer.drain()


def write_report(report: StubReport) -> None:
    """Write a report as a line to standard output."""
    print(encode_report(report), flush=True)


async def run(plan: DiscoveryPlan) -> None:
    """Serve the plan until standard input ends."""
    stub = DiscoveryStub(plan)
    server = await asyncio.start_server(stub.serve, "127.0.0.1", 0, backlog=LISTEN_BACKLOG)
    port = server.sockets[0].getsockname()[1]
    if plan.unavailable_for:
        server.close()
        write_report(StubListening(port))
        await asyncio.sleep(plan.unavailable_for)
        server = await asyncio.start_server(stub.serve, "127.0.0.1", port, backlog=LISTEN_BACKLOG)
        write_report(StubAvailable(time.time()))
    else:
        write_report(StubListening(port))
    changes = asyncio.ensure_future(stub.generate_changes())
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
    changes.cancel()
    write_report(stub.call_counts())


def main() -> None:
    """Run the plan in the first argument, which is JSON."""
    uvloop.run(run(DiscoveryPlan(**json.loads(sys.argv[1]))))


if __name__ == "__main__":
    main()
