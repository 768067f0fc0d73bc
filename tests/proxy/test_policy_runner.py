"""How the policy runner handles exceptions."""

from __future__ import annotations

from typing import Any

import pytest

from tests.proxy.harness import run, running_node
from tests.proxy.stubs import UpstreamStub, make_request


def test_policy_exception_fails_only_its_request(caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        async with running_node(await UpstreamStub().start()) as harness:
            client = await harness.connect()
            handle = harness.node.policy.handle

            def raise_error(now: float, event: object) -> Any:
                raise RuntimeError("injected failure")

            harness.node.policy.handle = raise_error  # type: ignore[method-assign]
            assert (await client.exchange(make_request()))[0] == 500
            harness.node.policy.handle = handle  # type: ignore[method-assign]
            assert (await client.exchange(make_request()))[0] == 200
            assert not harness.node.requests.pending

    run(test())
    assert "injected failure" in caplog.text
