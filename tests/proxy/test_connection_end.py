"""What the end of a connection to an upstream means for the response that is under way on it."""

from __future__ import annotations

import pytest

from load_balancer.policy.events import AttemptResult
from load_balancer.proxy.upstream_connection import (
    LOST_WITHOUT_RESPONSE,
    RESPONSES_ENDED_EARLY,
    RESPONSES_RESET,
)
from tests.proxy.harness import run, running_node
from tests.proxy.stubs import (
    OK,
    Responder,
    UpstreamStub,
    make_request,
    reset_connection,
    respond_and_close,
    respond_and_reset,
)


@pytest.mark.parametrize(
    ("responder", "counter"),
    [
        (respond_and_close(OK[:-1]), RESPONSES_ENDED_EARLY),
        (respond_and_reset(OK[:-1]), RESPONSES_RESET),
        (respond_and_close(b""), LOST_WITHOUT_RESPONSE),
        (reset_connection, LOST_WITHOUT_RESPONSE),
    ],
    ids=["close in a response", "reset in a response", "close without one", "reset without one"],
)
def test_kinds_of_lost_connections_are_counted_apart(responder: Responder, counter: str) -> None:
    # Guards against a log in which a close, a reset and a request that was never answered look alike.
    async def test() -> None:
        async with running_node(await UpstreamStub(responder).start()) as harness:
            assert (await (await harness.connect()).exchange(make_request("pay")))[0] == 502
            assert (await harness.next_attempt_end()).result == AttemptResult.RESET
            counts = harness.node.pool.counts
            kinds = {LOST_WITHOUT_RESPONSE, RESPONSES_ENDED_EARLY, RESPONSES_RESET}
            assert {name: counts[name] for name in kinds if counts[name]} == {counter: 1}

    run(test())
