"""How the node passes events to the policy and executes the policy's commands."""

from __future__ import annotations

import asyncio
from typing import Any

from load_balancer.policy.commands import Command, RejectRequest, SendAttempt
from load_balancer.policy.events import AttemptEnded, Event, RequestArrived, TimerFired
from tests.proxy.harness import run, running_node
from tests.proxy.stubs import TIMEOUT_S, UpstreamStub, make_request, never_respond


class InjectedFaultError(Exception):
    """Error that a test raises in the policy."""


def test_request_is_removed_from_the_policy_after_an_exception_in_the_policy() -> None:
    # The policy would otherwise keep the request as in flight, and could still send an attempt for it.
    async def test() -> None:
        upstream = await UpstreamStub().start()
        async with running_node(upstream) as harness:
            policy, client = harness.node.policy, await harness.connect()
            handle = policy.handle

            def failing_handle(now: float, event: Event) -> Any:
                commands = handle(now, event)
                if isinstance(event, RequestArrived):
                    raise InjectedFaultError
                return commands

            policy.handle = failing_handle  # type: ignore[method-assign]
            assert (await client.exchange(make_request()))[0] == 500
            assert not policy._requests
            harness.node.policy_runner.submit(TimerFired(harness.node.requests.last_request_id))
            assert upstream.requests.empty() and not harness.node.pool.attempts

    run(test())


def test_failing_command_does_not_prevent_the_next_one() -> None:
    async def test() -> None:
        upstream = await UpstreamStub(never_respond).start()
        async with running_node(upstream) as harness:
            client = await harness.connect()
            client.writer.write(make_request())
            await asyncio.wait_for(upstream.requests.get(), TIMEOUT_S)
            policy, pending_id = harness.node.policy, harness.node.requests.last_request_id
            handle = policy.handle
            # The first command fails, as there is no request 77.
            commands: list[Command] = [SendAttempt(77, 1, 0.0), RejectRequest(pending_id, 0.0)]
            policy.handle = lambda now, event: commands  # type: ignore[method-assign]
            harness.node.policy_runner.submit(TimerFired(77))
            policy.handle = handle  # type: ignore[method-assign]
            assert not harness.node.requests.pending
            assert (await client.receive())[0] == 503

    run(test())


def test_attempt_ended_precedes_the_arrival_of_the_next_pipelined_request() -> None:
    # In the other order, the policy would still count the ended attempt as in flight.
    async def test() -> None:
        async with running_node(await UpstreamStub().start()) as harness:
            client = await harness.connect()
            client.writer.write(make_request() + make_request())
            for _ in range(2):
                assert (await client.receive())[0] == 200
            events = [await harness.next_event(RequestArrived | AttemptEnded) for _ in range(3)]
            assert [type(event) for event in events] == [RequestArrived, AttemptEnded, RequestArrived]

    run(test())


def test_zones_missing_from_the_settings_get_distinct_numbers() -> None:
    async def test() -> None:
        async with running_node(await UpstreamStub().start()) as harness:
            zones = [harness.node.endpoints.zone_number(name) for name in ("a", "b", "c", "b")]
            assert zones[0] == 0 and zones[1] == zones[3] and len(set(zones)) == 3

    run(test())
