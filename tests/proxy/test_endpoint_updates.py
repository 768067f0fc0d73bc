"""How the node applies updates of the endpoint list."""

from __future__ import annotations

import asyncio

import pytest

from benchmarks.fleet import discovery_entry
from load_balancer.policy.events import EndpointUpdate
from load_balancer.proxy import endpoint_updater
from tests.proxy.harness import run, running_node
from tests.proxy.stubs import UpstreamStub


def test_large_snapshot_is_applied_in_slices(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(endpoint_updater, "ROWS_PER_SLICE", 300)

    async def test() -> None:
        iterations_at_updates: list[int] = []
        iterations = 0

        def count_iteration() -> None:
            nonlocal iterations
            iterations += 1
            asyncio.get_running_loop().call_soon(count_iteration)

        async with running_node(await UpstreamStub().start()) as harness:
            count_iteration()
            harness.discovery.snapshot["instances"] = [discovery_entry(i) for i in range(2_000)]
            harness.discovery.snapshot["generation"] = 2
            harness.node.discovery.version = None  # the next call fetches a snapshot
            harness.discovery.watch_lines.put_nowait(None)  # ends the watch
            while len(harness.node.endpoints) < 2_000:
                update = await harness.next_event(EndpointUpdate)
                assert len(update.endpoints) <= endpoint_updater.CHANGES_PER_SLICE
                iterations_at_updates.append(iterations)
            # The event loop runs between slices.
            assert len(set(iterations_at_updates)) >= 2_000 / endpoint_updater.CHANGES_PER_SLICE
            while harness.node.discovery.version != 2:
                await asyncio.sleep(0)
            # s-1, which the snapshot does not list, has been removed.
            assert harness.node.policy._registry.table.ready_count == 2_000

    run(test())
