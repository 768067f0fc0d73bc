"""How the node applies updates of the endpoint list."""

from __future__ import annotations

import asyncio

import pytest

from benchmarks.fleet import discovery_entry
from load_balancer.policy.events import EndpointUpdate
from load_balancer.proxy import endpoint_updater
from tests.proxy.harness import run as run_loop
from tests.proxy.harness import running_node
from tests.proxy.stubs import UpstreamStub


def test_a_large_snapshot_is_applied_in_slices(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(endpoint_updater, "ROWS_PER_SLICE", 300)

    async def test() -> None:
        ticks_at_updates: list[int] = []
        ticks = 0

        def tick() -> None:
            nonlocal ticks
            ticks += 1
            asyncio.get_running_loop().call_soon(tick)

        async with running_node(await UpstreamStub().start()) as harness:
            tick()
            harness.discovery.snapshot["instances"] = [discovery_entry(i) for i in range(2_000)]
            harness.discovery.snapshot["generation"] = 2
            harness.node.discovery.version = None
            harness.discovery.watch_lines.put_nowait(None)
            while len(harness.node.endpoints) < 2_000:
                update = await harness.next_event(EndpointUpdate)
                assert len(update.endpoints) <= endpoint_updater.CHANGES_PER_SLICE
                ticks_at_updates.append(ticks)
            assert (
                len(set(ticks_at_updates)) >= 2_000 / endpoint_updater.CHANGES_PER_SLICE
            )  # the loop runs between slices
            while harness.node.discovery.version != 2:
                await asyncio.sleep(0)
            # s-1, which it does not list, is removed
            assert harness.node.policy._registry.table.ready_count == 2_000

    run_loop(test())
