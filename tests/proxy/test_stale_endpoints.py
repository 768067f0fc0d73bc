"""Use of the endpoint list by a node that has lost contact with discovery, over real sockets."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from load_balancer.policy.events import DiscoveryLoss, EndpointUpdate, UpdateKind
from load_balancer.proxy import discovery_client, endpoint_updater
from load_balancer.proxy.clock import now_ms
from load_balancer.proxy.config import NOTIFIED_AFTER_S
from tests.proxy.harness import NodeHarness, make_config, run, running_node
from tests.proxy.stubs import TIMEOUT_S, DiscoveryStub, RawClient, UpstreamStub, make_request

STALE_LIMIT_MS = 1000.0


async def statuses_until(client: RawClient, end_ms: float) -> list[int]:
    """Send requests one after the other until a time on the node's clock; return the response statuses."""
    statuses = []
    while now_ms() < end_ms:
        statuses.append((await client.exchange(make_request()))[0])
        await asyncio.sleep(0.005)
    return statuses


async def apply_version(harness: NodeHarness, version: int, upstream: UpstreamStub) -> None:
    """Send a change on the watch and wait until it is in force, so that the node has had contact."""
    harness.discovery.push(version, [upstream.entry("s-2")])
    while (await harness.next_event(EndpointUpdate)).version != version:
        pass


@pytest.mark.parametrize("loss", [DiscoveryLoss.WATCH_SILENT, DiscoveryLoss.ADDRESS_CHANGED])
def test_endpoint_removed_while_discovery_is_crowded_gets_no_requests_though_it_answers(
    loss: DiscoveryLoss, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against attempts at a removed endpoint for as long as it answered, after the watch fell silent
    # and while each call to discovery failed.
    monkeypatch.setattr(discovery_client, "WATCH_IDLE_TIMEOUT_S", 0.1)
    # The age of the list counts from the reload then.
    monkeypatch.setattr(discovery_client, "NOTIFIED_AFTER_RELOAD_S", NOTIFIED_AFTER_S)

    async def test() -> None:
        remaining, removed = await UpstreamStub().start(), await UpstreamStub().start()
        settings = replace(
            make_config(1).settings, endpoints_are_polled=True, stale_endpoints_limit=STALE_LIMIT_MS
        )
        async with running_node(remaining, removed, settings=settings) as harness:
            client, node, discovery = await harness.connect(), harness.node, harness.discovery
            await apply_version(harness, 2, removed)
            if loss is DiscoveryLoss.ADDRESS_CHANGED:
                discovery = await DiscoveryStub([]).start()
                node.discovery.change_address(("127.0.0.1", discovery.port))
            discovery.is_crowded = True
            discovery.replace_list(3, [remaining.entry("s-1")])
            expires_at = now_ms() + STALE_LIMIT_MS
            assert set(await statuses_until(client, expires_at - 300.0)) == {200}
            assert removed.requests.qsize() > 5
            await statuses_until(client, expires_at)
            received = removed.requests.qsize()
            assert set(await statuses_until(client, expires_at + 400.0)) == {503}
            assert node.discovery.loss is loss
            discovery.is_crowded = False
            async with asyncio.timeout(TIMEOUT_S):
                while (await client.exchange(make_request()))[0] != 200:
                    await asyncio.sleep(0.005)
            assert node.discovery.loss is None
            assert removed.requests.qsize() == received

    run(test())


def test_expired_list_is_not_used_before_the_whole_snapshot_is_applied(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against attempts at an endpoint that a snapshot after the expiry does not list, while the rest of
    # the snapshot is still being applied.
    async def test() -> None:
        upstreams = [await UpstreamStub().start() for _ in range(4)]
        settings = replace(
            make_config(1).settings, endpoints_are_polled=True, stale_endpoints_limit=STALE_LIMIT_MS
        )
        async with running_node(*upstreams, settings=settings) as harness:
            client, node = await harness.connect(), harness.node
            await apply_version(harness, 2, upstreams[1])
            monkeypatch.setattr(endpoint_updater, "ROWS_PER_SLICE", 1)
            silent_since = now_ms() - 2 * STALE_LIMIT_MS
            expired = EndpointUpdate(UpdateKind.UNAVAILABLE, 2, [], silent_since, DiscoveryLoss.WATCH_SILENT)
            node.policy_runner.submit(expired)
            slices = node.endpoint_updater.apply_slices(
                harness.decode_snapshot(3, [upstreams[0].entry("s-1")])
            )
            statuses = [(await client.exchange(make_request()))[0] for _ in slices]
            assert len(statuses) >= 4 and set(statuses) == {503}
            assert (await client.exchange(make_request()))[0] == 200
            assert [upstream.requests.qsize() for upstream in upstreams] == [1, 0, 0, 0]

    run(test())
