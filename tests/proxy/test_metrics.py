"""Report of the counters in the log."""

from __future__ import annotations

import pytest

from tests.proxy.harness import run, running_node
from tests.proxy.stubs import OK, UpstreamStub, make_request, respond_with


def test_counters_are_logged_in_one_line_and_cleared(caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        async with running_node(await UpstreamStub(respond_with(OK)).start()) as harness:
            client = await harness.connect()
            for _ in range(3):
                await client.exchange(make_request("book"))
                harness.age_idle_connections()
            with caplog.at_level("INFO"):
                harness.node.metrics.report()
                harness.node.metrics.report()  # logs nothing, since nothing was counted in between
            lines = [record.getMessage() for record in caplog.records]
            expected = "attempts success 3, connections reused 2, connects started 1, responses 200 3"
            assert [line for line in lines if "responses" in line] == [f"in 10 s: {expected}"]

    run(test())
