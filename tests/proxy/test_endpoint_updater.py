"""The order in which the endpoint updater reports changes to the policy."""

from __future__ import annotations

from load_balancer.policy.endpoints import EndpointState
from load_balancer.policy.events import EndpointUpdate
from load_balancer.proxy.stable_id import stable_id
from tests.proxy.harness import run, running_node
from tests.proxy.stubs import UpstreamStub


def test_removed_and_draining_endpoints_are_reported_first() -> None:
    # Endpoints reported later could still be sent requests while the rest of a large update is applied.
    async def test() -> None:
        upstream = await UpstreamStub().start()
        async with running_node(upstream, upstream, upstream) as harness:
            entries = [upstream.entry(f"s-{i}") for i in range(3, 30)]
            draining = upstream.entry("s-2", "leaving")
            harness.discovery.push(2, [*entries, draining], reset=True)
            while (update := await harness.next_event(EndpointUpdate)).version != 2:
                pass
            states = [endpoint.state for endpoint in update.endpoints]
            assert states == [EndpointState.REMOVED, EndpointState.DRAINING, *[EndpointState.READY] * 26]
            assert [endpoint.id for endpoint in update.endpoints][:2] == [
                stable_id(b"s-1"),
                stable_id(b"s-2"),
            ]
            assert harness.endpoint_ids() == {stable_id(b"s-%d" % i) for i in range(2, 30)}

    run(test())
