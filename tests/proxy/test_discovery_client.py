"""How the discovery client follows the endpoint list with snapshots and watches."""

from __future__ import annotations

import asyncio
import json
import logging
import os
from dataclasses import replace

import pytest

from benchmarks.live_fleet import reset
from load_balancer.policy.endpoints import EndpointState
from load_balancer.policy.events import DiscoveryLoss, EndpointUpdate, UpdateKind
from load_balancer.proxy import discovery_client as discovery
from load_balancer.proxy.config import NOTIFIED_AFTER_S
from load_balancer.proxy.discovery_client import MAX_STALE_SNAPSHOTS
from load_balancer.proxy.stable_id import stable_id
from tests.proxy.harness import make_config, run, running_node
from tests.proxy.race_helpers import wait_until
from tests.proxy.stubs import TIMEOUT_S, DiscoveryStub, UpstreamStub, make_request


@pytest.mark.parametrize(
    "line",
    [
        b'{"generation": 2, "reset": true, "instances": [{}]}',
        b'{"generation": 2, "reset": true, "instances": 7}',
        b'{"generation": 1e999, "reset": true, "instances": []}',
        b'{"generation": 2, "reset": false, "instances": [{"instanceId": "s-9", "lifecycle": "active",'
        b' "hostPort": "127.0.0.1:9", "weight": NaN}]}',
        b"[" * 100_000,
        b"[]",
        b"{",
    ],
    ids=range(7),
)
def test_malformed_line_is_rejected_and_a_snapshot_is_fetched(line: bytes) -> None:
    async def test() -> None:
        upstream = await UpstreamStub().start()
        async with running_node(upstream) as harness:
            client, targets = await harness.connect(), harness.discovery.targets
            assert await targets.get() == "/catalog/members?watch=1&from=1"
            harness.discovery.watch_lines.put_nowait(line + b"\n")
            assert await asyncio.wait_for(targets.get(), TIMEOUT_S) == "/catalog/members"
            assert (await client.exchange(make_request()))[0] == 200
            assert await asyncio.wait_for(targets.get(), TIMEOUT_S) == "/catalog/members?watch=1&from=1"

    run(test())


def test_watch_that_ends_is_reopened_from_the_last_version() -> None:
    async def test() -> None:
        upstream = await UpstreamStub().start()
        async with running_node(upstream) as harness:
            targets = harness.discovery.targets
            assert await targets.get() == "/catalog/members?watch=1&from=1"
            harness.discovery.push(5, [upstream.entry("s-1", "leaving")])
            harness.discovery.watch_lines.put_nowait(None)
            assert await asyncio.wait_for(targets.get(), TIMEOUT_S) == "/catalog/members?watch=1&from=5"
            assert harness.node.find_target(stable_id(b"s-1")).state is EndpointState.DRAINING

    run(test())


def test_idle_watch_times_out_and_is_reopened(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(discovery, "WATCH_IDLE_TIMEOUT_S", 0.05)
    caplog.set_level(logging.INFO)

    async def test() -> None:
        async with running_node(await UpstreamStub().start()) as harness:
            for _ in range(3):
                call = await asyncio.wait_for(harness.discovery.targets.get(), TIMEOUT_S)
                assert call == "/catalog/members?watch=1&from=1"
            assert harness.node.healthy and harness.endpoint_ids() == {stable_id(b"s-1")}
            assert harness.node.discovery.failure_counts == {"discovery failures WatchSilentError": 2}

    run(test())
    assert ": the watch fell silent; keeping the current endpoint list" in caplog.text
    assert ": contact again after " in caplog.text


@pytest.mark.parametrize(
    ("cut_bytes", "is_reset", "is_applied"),
    [(0, False, True), (0, True, False), (1, False, False)],
    ids=["whole", "reset after it", "cut short"],
)
def test_snapshot_without_a_length_is_applied_when_its_connection_ends(
    cut_bytes: int, is_reset: bool, is_applied: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a node that never becomes ready, as the end of the list is taken for a loss; the calls
    # after the first one get no response.
    async def respond_without_length(
        self: DiscoveryStub, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.targets.put_nowait((await reader.readuntil(b"\r\n\r\n")).split(b" ")[1].decode())
        if self.targets.qsize() == 1:
            body = json.dumps(self.snapshot).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body[: len(body) - cut_bytes])
            await writer.drain()
            if is_reset:
                reset(writer)
            writer.close()
        await reader.read()

    monkeypatch.setattr(DiscoveryStub, "serve", respond_without_length)

    async def test() -> None:
        async with running_node(await UpstreamStub().start(), load_cached_endpoints=None) as harness:
            targets = harness.discovery.targets
            await wait_until(lambda: targets.qsize() == 2)
            assert harness.node.healthy is is_applied
            assert harness.endpoint_ids() == ({stable_id(b"s-1")} if is_applied else set())
            assert [targets.get_nowait() for _ in range(2)] == [
                "/catalog/members",
                "/catalog/members?watch=1&from=1" if is_applied else "/catalog/members",
            ]

    run(test())


@pytest.mark.parametrize("has_cached_list", [True, False], ids=["watch", "snapshot"])
def test_endless_slow_response_times_out(has_cached_list: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    # Each piece restarts the timeout of a read, so only the time limit of a whole message ends the call.
    monkeypatch.setattr(discovery, "WATCH_IDLE_TIMEOUT_S", 0.2)
    monkeypatch.setattr(discovery, "SNAPSHOT_TIMEOUT_S", 0.2)

    async def respond_slowly_without_end(
        self: DiscoveryStub, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.targets.put_nowait((await reader.readuntil(b"\r\n\r\n")).split(b" ")[1].decode())
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        while not writer.transport.is_closing():
            writer.write(b"1\r\n \r\n")
            await asyncio.sleep(0.01)

    monkeypatch.setattr(DiscoveryStub, "serve", respond_slowly_without_end)

    async def test() -> None:
        config_changes = {} if has_cached_list else {"load_cached_endpoints": None}
        async with running_node(await UpstreamStub().start(), **config_changes) as harness:
            first_call = await asyncio.wait_for(harness.discovery.targets.get(), TIMEOUT_S)
            assert await asyncio.wait_for(harness.discovery.targets.get(), TIMEOUT_S) == first_call

    run(test())


@pytest.mark.parametrize(("is_polled", "max_delay"), [(False, 0.2), (True, 0.75)])
def test_backoff_leaves_most_of_the_drain_grace_if_discovery_pushes(
    is_polled: bool, max_delay: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Once a pushing discovery service is available again, the protocol considers all nodes notified of all
    # changes at once (see NOTIFIED_AFTER_S), so each node must call it within the drain grace, here 500 ms.
    delays: list[float] = []
    sleep = asyncio.sleep

    async def record_delay(delay: float) -> None:
        delays.append(delay)
        await sleep(0)

    monkeypatch.setattr(asyncio, "sleep", record_delay)

    async def test() -> None:
        upstream = await UpstreamStub().start()
        settings = replace(make_config(1).settings, endpoints_are_polled=is_polled)
        async with running_node(upstream, settings=settings, drain_grace=500.0) as harness:
            await asyncio.wait_for(harness.discovery.targets.get(), TIMEOUT_S)
            harness.discovery.server.close()  # refuses new connections
            harness.discovery.watch_lines.put_nowait(None)  # ends the watch
            async with asyncio.timeout(TIMEOUT_S):
                while len(delays) < 40:
                    await sleep(0)
        assert max_delay / 2 < max(delays) <= max_delay

    run(test())


@pytest.mark.parametrize(
    "timeout", ["WATCH_IDLE_TIMEOUT_S", "CONNECT_TIMEOUT_S", "FIRST_BYTE_TIMEOUT_S", "SNAPSHOT_TIMEOUT_S"]
)
def test_next_call_after_any_timeout_is_handled_before_the_node_is_considered_notified(timeout: str) -> None:
    # A watch that becomes idle has sent lines before, which reset the backoff (unless updates were rejected).
    # After the other timeouts, the backoff may be at its maximum.
    had_contact = timeout == "WATCH_IDLE_TIMEOUT_S"
    backoff = discovery.BACKOFF_INITIAL_S if had_contact else discovery.BACKOFF_MAX_S
    longest_delay = backoff * max(discovery.BACKOFF_JITTER)
    assert getattr(discovery, timeout) + longest_delay + discovery.QUEUE_TIMEOUT_S <= NOTIFIED_AFTER_S
    assert discovery.QUEUE_TIMEOUT_S < discovery.FIRST_BYTE_TIMEOUT_S


def test_watch_without_response_times_out_before_the_idle_timeout(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(discovery, "FIRST_BYTE_TIMEOUT_S", 0.05)
    monkeypatch.setattr(discovery, "WATCH_IDLE_TIMEOUT_S", 4 * TIMEOUT_S)

    async def read_without_responding(
        self: DiscoveryStub, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.targets.put_nowait((await reader.readuntil(b"\r\n\r\n")).split(b" ")[1].decode())
        await reader.read()

    monkeypatch.setattr(DiscoveryStub, "serve", read_without_responding)

    async def test() -> None:
        async with running_node(await UpstreamStub().start()) as harness:
            for _ in range(3):
                assert "watch" in await asyncio.wait_for(harness.discovery.targets.get(), TIMEOUT_S)
            # No watch was open, so none fell silent: discovery may be down.
            assert harness.node.discovery.loss is DiscoveryLoss.UNREACHABLE

    run(test())
    # The log tells it from a watch that was open and fell silent.
    assert caplog.text.count(": TimeoutError; keeping the current endpoint list") == 1


def test_policy_is_notified_when_discovery_becomes_unavailable_and_available_again() -> None:
    async def test() -> None:
        async with running_node(await UpstreamStub().start()) as harness:
            discovery = harness.node.discovery
            while discovery.loss is None:
                harness.discovery.watch_lines.put_nowait(None)
                await asyncio.sleep(0)
            unavailable = await harness.next_event(EndpointUpdate)
            assert (unavailable.kind, unavailable.endpoints, unavailable.loss) == (
                UpdateKind.UNAVAILABLE,
                [],
                DiscoveryLoss.UNREACHABLE,
            ) and unavailable.last_contact_at == discovery.last_contact_at
            available = await harness.next_event(EndpointUpdate)
            assert (available.kind, available.version, available.endpoints) == (UpdateKind.DELTA, 1, [])

    run(test())


def test_unread_line_of_the_old_watch_is_discarded_when_the_address_changes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # If the line were applied after the change, it would add an endpoint to the new discovery service's list.
    writers: list[asyncio.StreamWriter] = []

    async def keep_writer(self: DiscoveryStub, writer: asyncio.StreamWriter) -> None:
        writers.append(writer)
        self.targets.put_nowait("watch opened")

    monkeypatch.setattr(DiscoveryStub, "write_lines", keep_writer)

    def delta_chunk(generation: int, entry: dict[str, object]) -> bytes:
        line = json.dumps({"generation": generation, "reset": False, "instances": [entry]}).encode() + b"\n"
        return b"%x\r\n%b\r\n" % (len(line), line)

    async def test() -> None:
        upstream = await UpstreamStub().start()
        new_discovery = await DiscoveryStub([upstream.entry("s-2")], 9).start()
        async with running_node(upstream) as harness:
            while await asyncio.wait_for(harness.discovery.targets.get(), TIMEOUT_S) != "watch opened":
                pass
            writers[0].write(delta_chunk(2, upstream.entry("s-3")))
            while (await harness.next_event(EndpointUpdate)).version != 2:
                pass
            # There is no await between the two calls, so the event loop can't read the line before the
            # address changes.
            os.write(writers[0].get_extra_info("socket").fileno(), delta_chunk(3, upstream.entry("s-4")))
            harness.node.discovery.change_address(("127.0.0.1", new_discovery.port))
            assert await asyncio.wait_for(new_discovery.targets.get(), TIMEOUT_S) == "/catalog/members"
            assert (await harness.next_event(EndpointUpdate)).loss is DiscoveryLoss.ADDRESS_CHANGED
            assert (await harness.next_event(EndpointUpdate)).version == 9
            assert harness.endpoint_ids() == {stable_id(b"s-2")}

    run(test())


def test_watch_whose_first_line_is_always_malformed_backs_off(monkeypatch: pytest.MonkeyPatch) -> None:
    # Each watch is opened successfully and begins with an empty line, a heartbeat: neither may reset the
    # backoff, or the node would fetch snapshots without a pause.
    delays: list[float] = []
    sleep = asyncio.sleep

    async def record_delay(delay: float) -> None:
        if delay:
            delays.append(delay)
        await sleep(0)

    async def test() -> None:
        async with running_node(await UpstreamStub().start()) as harness:
            async with asyncio.timeout(TIMEOUT_S):
                while len(delays) < 12:
                    harness.discovery.watch_lines.put_nowait(
                        b'{"generation":2,"reset":false,"instances":[{}]}\n'
                    )
                    await harness.discovery.targets.get()
            assert len(harness.endpoint_ids()) == 1

    monkeypatch.setattr(asyncio, "sleep", record_delay)
    run(test())
    assert delays[0] < 0.1 and min(delays[8:]) >= discovery.BACKOFF_MAX_REJECTED_S / 2


def test_lower_version_is_accepted_only_from_repeated_snapshots(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    # Repeated snapshots of a lower version show that discovery has restarted its version numbers; a single
    # one may come from a replica of discovery that lags behind.
    monkeypatch.setattr(discovery, "BACKOFF_INITIAL_S", 0.001)

    async def test() -> None:
        upstream = await UpstreamStub().start()
        async with running_node(upstream) as harness:
            targets = harness.discovery.targets
            harness.discovery.push(9, [upstream.entry("s-2")])
            assert await asyncio.wait_for(targets.get(), TIMEOUT_S) == "/catalog/members?watch=1&from=1"
            harness.discovery.push(8, [upstream.entry("s-3")])
            for snapshot_number in range(1, MAX_STALE_SNAPSHOTS + 1):  # the stub's snapshot has version 1
                assert await asyncio.wait_for(targets.get(), TIMEOUT_S) == "/catalog/members"
                assert snapshot_number == MAX_STALE_SNAPSHOTS or len(harness.endpoint_ids()) == 2
            assert await asyncio.wait_for(targets.get(), TIMEOUT_S) == "/catalog/members?watch=1&from=1"
            assert len(harness.endpoint_ids()) == 1

    run(test())
    assert caplog.text.count("version 8 is older than 9") == 1
    assert caplog.text.count("update rejected: version 1 is older than 9") == 1
    assert "discovery restarted its version numbers: version 1 accepted after 9" in caplog.text
