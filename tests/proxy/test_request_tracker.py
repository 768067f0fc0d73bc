"""The values of a client's request that the node passes to the policy and to the upstream."""

from __future__ import annotations

from load_balancer.policy.events import RequestArrived
from load_balancer.proxy.clock import now_ms
from load_balancer.proxy.request_tracker import RESPONSE_MARGIN_MS
from load_balancer.proxy.stable_id import stable_id
from tests.proxy.harness import run, running_node
from tests.proxy.stubs import UpstreamStub, header, make_request


def test_policy_gets_class_tenant_key_cost_hint_and_retry_flag_of_a_request() -> None:
    async def test() -> None:
        async with running_node(await UpstreamStub().start(), tenants={b"acme": 0, b"ajax": 1}) as harness:
            client = await harness.connect()
            assert (await (await harness.connect()).exchange(make_request(Tenant="nobody")))[0] == 400
            data = make_request("book", key="ride/42", Tenant="ajax", Work_Hint="2500", Client_Retry="1")
            assert (await client.exchange(data))[0] == 200
            event = await harness.next_event(RequestArrived)
            assert (event.class_index, event.tenant, event.key) == (1, 1, stable_id(b"42"))
            assert (event.cost_hint, event.is_client_retry) == (2.5, True)
            assert (await client.exchange(make_request(Tenant="acme", Work_Hint="much")))[0] == 200
            event = await harness.next_event(RequestArrived)
            assert (event.class_index, event.tenant) == (0, 0)
            assert (event.cost_hint, event.is_client_retry) == (0.0, False)

    run(test())


def test_forwarded_timeout_leaves_a_margin_for_the_response() -> None:
    async def test() -> None:
        upstream = await UpstreamStub().start()
        async with running_node(upstream) as harness:
            assert (await (await harness.connect()).exchange(make_request(timeout="3000m")))[0] == 200
            timeout = header(await upstream.requests.get(), b"Request-Timeout")
            assert timeout is not None and int(timeout[:-1]) <= 3000 - RESPONSE_MARGIN_MS

    run(test())


def test_response_margin_is_limited_to_a_share_of_the_timeout() -> None:
    # With a margin of 30 ms regardless of the timeout, nearly all requests of clients with timeouts of 30 to
    # 60 ms were rejected (incident inc2771).
    async def test() -> None:
        async with running_node(await UpstreamStub().start()) as harness:
            client, sent_at = await harness.connect(), now_ms()
            await client.exchange(make_request(timeout="50m"))
            event = await harness.next_event(RequestArrived)
            assert sent_at + 45.0 <= event.deadline < now_ms() + 50.0

    run(test())


def test_request_with_too_short_a_timeout_is_rejected_immediately() -> None:
    async def test() -> None:
        upstream = await UpstreamStub().start()
        async with running_node(upstream) as harness:
            assert (await (await harness.connect()).exchange(make_request(timeout="2m")))[0] == 503
            assert upstream.requests.empty()

    run(test())
