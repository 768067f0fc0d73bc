"""Following the endpoint list over snapshots and watches."""

from __future__ import annotations

import asyncio
import json
import os
from dataclasses import replace

import pytest

from load_balancer.policy.endpoints import EndpointState
from load_balancer.policy.events import EndpointUpdate, UpdateKind
from load_balancer.proxy import discovery_client as discovery
from load_balancer.proxy.config import NOTIFIED_AFTER_S
from load_balancer.proxy.discovery_client import MAX_STALE_SNAPSHOTS
from load_balancer.proxy.stable_id import stable_id
from tests.proxy.harness import make_config, run, running_node
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
def test_a_malformed_line_changes_nothing_and_a_snapshot_is_fetched(line: bytes) -> None:
    async def test() -> None:
        peer = await UpstreamStub().start()
        async with running_node(peer) as harness:
            client, targets = await harness.connect(), harness.discovery.targets
            assert await targets.get() == "/catalog/members?watch=1&from=1"
            harness.discovery.watch_lines.put_nowait(line + b"\n")
            assert await asyncio.wait_for(targets.get(), TIMEOUT_S) == "/catalog/members"
            assert (await client.exchange(make_request()))[0] == 200
            assert await asyncio.wait_for(targets.get(), TIMEOUT_S) == "/catalog/members?watch=1&from=1"

    run(test())


def test_a_watch_that_ends_is_reopened_from_the_last_version() -> None:
    async def test() -> None:
        peer = await UpstreamStub().start()
        async with running_node(peer) as harness:
            targets = harness.discovery.targets
            assert await targets.get() == "/catalog/members?watch=1&from=1"
            harness.discovery.push(5, [peer.entry("s-1", "leaving")])
            harness.discovery.watch_lines.put_nowait(None)
            assert await asyncio.wait_for(targets.get(), TIMEOUT_S) == "/catalog/members?watch=1&from=5"
            assert harness.node.find_target(stable_id(b"s-1")).state is EndpointState.DRAINING

    run(test())


def test_an_idle_watch_is_reopened(monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture) -> None:
    monkeypatch.setattr(discovery, "WATCH_IDLE_TIMEOUT_S", 0.05)

    async def test() -> None:
        async with running_node(await UpstreamStub().start()) as harness:
            for _ in range(3):
                call = await asyncio.wait_for(harness.discovery.targets.get(), TIMEOUT_S)
                assert call == "/catalog/members?watch=1&from=1"
            assert harness.node.healthy and harness.endpoint_ids() == {stable_id(b"s-1")}

    run(test())
    assert ": TimeoutError; keeping the current endpoint list" in caplog.text


@pytest.mark.parametrize("cached", [True, False], ids=["watch", "snapshot"])
def test_a_response_that_trickles_in_without_end_times_out(
    cached: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(discovery, "WATCH_IDLE_TIMEOUT_S", 0.2)
    monkeypatch.setattr(discovery, "SNAPSHOT_TIMEOUT_S", 0.2)

    async def drip(self: DiscoveryStub, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.targets.put_nowait((await reader.readuntil(b"\r\n\r\n")).split(b" ")[1].decode())
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        while not writer.transport.is_closing():
            writer.write(b"1\r\n \r\n")
            await asyncio.sleep(0.01)

    monkeypatch.setattr(DiscoveryStub, "serve", drip)

    async def test() -> None:
        changes = {} if cached else {"load_cached_endpoints": None}
        async with running_node(await UpstreamStub().start(), **changes) as harness:
            first = await asyncio.wait_for(harness.discovery.targets.get(), TIMEOUT_S)
            assert await asyncio.wait_for(harness.discovery.targets.get(), TIMEOUT_S) == first

    run(test())


@pytest.mark.parametrize(("polled", "maximum"), [(False, 0.2), (True, 0.75)])
def test_where_discovery_pushes_the_backoff_leaves_most_of_the_drain_grace(
    polled: bool, maximum: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    slept: list[float] = []
    sleep = asyncio.sleep

    async def at_once(delay: float) -> None:
        slept.append(delay)
        await sleep(0)

    monkeypatch.setattr(asyncio, "sleep", at_once)

    async def test() -> None:
        peer = await UpstreamStub().start()
        settings = replace(make_config(1).settings, endpoints_are_polled=polled)
        async with running_node(peer, settings=settings, drain_grace=500.0) as harness:
            await asyncio.wait_for(harness.discovery.targets.get(), TIMEOUT_S)
            harness.discovery.server.close()  # no new calls
            harness.discovery.watch_lines.put_nowait(None)  # and the watch ends
            async with asyncio.timeout(TIMEOUT_S):
                while len(slept) < 40:
                    await sleep(0)
        assert maximum / 2 < max(slept) <= maximum

    run(test())


@pytest.mark.parametrize(
    "timeout", ["WATCH_IDLE_TIMEOUT_S", "CONNECT_TIMEOUT_S", "FIRST_BYTE_TIMEOUT_S", "SNAPSHOT_TIMEOUT_S"]
)
def test_after_any_timeout_the_next_call_is_handled_before_a_change_counts_as_notified(timeout: str) -> None:
    had_contact = timeout == "WATCH_IDLE_TIMEOUT_S"  # calls succeeded before: the backoff is the shortest
    backoff = discovery.BACKOFF_INITIAL_S if had_contact else discovery.BACKOFF_MAX_S
    longest_delay = backoff * max(discovery.BACKOFF_JITTER)
    assert getattr(discovery, timeout) + longest_delay + discovery.QUEUE_TIMEOUT_S <= NOTIFIED_AFTER_S
    assert discovery.QUEUE_TIMEOUT_S < discovery.FIRST_BYTE_TIMEOUT_S


def test_a_watch_without_any_response_times_out_sooner_than_an_idle_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(discovery, "FIRST_BYTE_TIMEOUT_S", 0.05)
    monkeypatch.setattr(discovery, "WATCH_IDLE_TIMEOUT_S", 4 * TIMEOUT_S)

    async def swallow(
        self: DiscoveryStub, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.targets.put_nowait((await reader.readuntil(b"\r\n\r\n")).split(b" ")[1].decode())
        await reader.read()

    monkeypatch.setattr(DiscoveryStub, "serve", swallow)

    async def test() -> None:
        async with running_node(await UpstreamStub().start()) as harness:
            for _ in range(3):
                assert "watch" in await asyncio.wait_for(harness.discovery.targets.get(), TIMEOUT_S)

    run(test())


def test_the_policy_is_notified_when_discovery_fails_and_when_it_is_available_again() -> None:
    async def test() -> None:
        async with running_node(await UpstreamStub().start()) as harness:
            discovery = harness.node.discovery
            while not discovery.is_failing:
                harness.discovery.watch_lines.put_nowait(None)
                await asyncio.sleep(0)
            lost = await harness.next_event(EndpointUpdate)
            assert (lost.kind, lost.endpoints) == (
                UpdateKind.UNAVAILABLE,
                [],
            ) and lost.last_contact_at == discovery.last_contact_at
            again = await harness.next_event(EndpointUpdate)
            assert (again.kind, again.version, again.endpoints) == (UpdateKind.DELTA, 1, [])

    run(test())


def test_an_unread_line_of_the_old_watch_is_dropped_when_the_address_changes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    writers: list[asyncio.StreamWriter] = []

    async def by_hand(self: DiscoveryStub, writer: asyncio.StreamWriter) -> None:
        writers.append(writer)
        self.targets.put_nowait("open")

    monkeypatch.setattr(DiscoveryStub, "write_lines", by_hand)

    def line(generation: int, entry: dict[str, object]) -> bytes:
        data = json.dumps({"generation": generation, "reset": False, "instances": [entry]}).encode() + b"\n"
        return b"%x\r\n%b\r\n" % (len(data), data)

    async def test() -> None:
        peer = await UpstreamStub().start()
        other = await DiscoveryStub([peer.entry("s-2")], 9).start()
        async with running_node(peer) as harness:
            while await asyncio.wait_for(harness.discovery.targets.get(), TIMEOUT_S) != "open":
                pass
            writers[0].write(line(2, peer.entry("s-3")))
            while (await harness.next_event(EndpointUpdate)).version != 2:
                pass
            os.write(writers[0].get_extra_info("socket").fileno(), line(3, peer.entry("s-4")))
            harness.node.discovery.change_address(("127.0.0.1", other.port))  # before the loop reads
            assert await asyncio.wait_for(other.targets.get(), TIMEOUT_S) == "/catalog/members"
            assert (await harness.next_event(EndpointUpdate)).version == 9
            assert harness.endpoint_ids() == {stable_id(b"s-2")}

    run(test())


def test_a_watch_whose_first_line_is_always_malformed_backs_off(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    slept: list[float] = []
    sleep = asyncio.sleep

    async def at_once(delay: float) -> None:
        if delay:
            slept.append(delay)
        await sleep(0)

    async def test() -> None:
        async with running_node(await UpstreamStub().start()) as harness:
            async with asyncio.timeout(TIMEOUT_S):
                while len(slept) < 12:
                    harness.discovery.watch_lines.put_nowait(
                        b'{"generation":2,"reset":false,"instances":[{}]}\n'
                    )
                    await harness.discovery.targets.get()
            assert len(harness.endpoint_ids()) == 1

    monkeypatch.setattr(asyncio, "sleep", at_once)
    run(test())
    assert slept[0] < 0.1 and min(slept[8:]) >= discovery.BACKOFF_MAX_REJECTED_S / 2


def test_a_lower_version_is_rejected_until_discovery_repeats_it(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(discovery, "BACKOFF_INITIAL_S", 0.001)

    async def test() -> None:
        peer = await UpstreamStub().start()
        async with running_node(peer) as harness:
            targets = harness.discovery.targets
            harness.discovery.push(9, [peer.entry("s-2")])
            assert await asyncio.wait_for(targets.get(), TIMEOUT_S) == "/catalog/members?watch=1&from=1"
            harness.discovery.push(8, [peer.entry("s-3")])
            for attempt in range(1, MAX_STALE_SNAPSHOTS + 1):  # the snapshot has generation 1
                assert await asyncio.wait_for(targets.get(), TIMEOUT_S) == "/catalog/members"
                assert attempt == MAX_STALE_SNAPSHOTS or len(harness.endpoint_ids()) == 2
            assert await asyncio.wait_for(targets.get(), TIMEOUT_S) == "/catalog/members?watch=1&from=1"
            assert len(harness.endpoint_ids()) == 1

    run(test())
    assert caplog.text.count("version 8 is older than 9") == 1
    assert caplog.text.count("update rejected: version 1 is older than 9") == 1
    assert "discovery restarted its version numbers: version 1 accepted after 9" in caplog.text
