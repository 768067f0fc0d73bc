"""SIGHUP."""

from __future__ import annotations

import asyncio
import json
import signal
from pathlib import Path

import uvloop

from tests.proxy.process import make_config_content, running_node_process
from tests.proxy.stubs import TIMEOUT_S, DiscoveryStub, UpstreamStub, make_request


def test_sighup_moves_to_the_discovery_in_the_file(tmp_path: Path) -> None:
    async def test() -> None:
        old, new = await UpstreamStub().start(), await UpstreamStub().start()
        first, second = (
            await DiscoveryStub([old.entry()]).start(),
            await DiscoveryStub([new.entry("s-2")], 7).start(),
        )
        path = tmp_path / "config.json"
        # The variable wins at the start; from the signal on the file does.
        variable = {"ROUTER_DISCOVERY": f"127.0.0.1:{first.port}"}
        async with running_node_process(path, 1, extra_environment=variable) as node:
            while "watch" not in await asyncio.wait_for(first.targets.get(), TIMEOUT_S):
                pass
            for broken in (
                "{",
                "",
                json.dumps(make_config_content())[:200],
                "[" * 100_000,
                json.dumps({"discovery": 1}),
            ):
                path.write_text(broken)
                node.process.send_signal(signal.SIGHUP)
                await node.next_line("ERROR configuration unchanged")
            client = await node.connect()
            assert (await client.exchange(make_request()))[0] == 200
            path.write_text(json.dumps(make_config_content() | {"discovery": f"127.0.0.1:{second.port}"}))
            node.process.send_signal(signal.SIGHUP)
            assert await asyncio.wait_for(second.targets.get(), TIMEOUT_S) == "/catalog/members"
            await asyncio.wait_for(first.disconnects.get(), TIMEOUT_S)  # of the call for the snapshot
            await asyncio.wait_for(first.disconnects.get(), TIMEOUT_S)  # of the watch
            assert (
                await asyncio.wait_for(second.targets.get(), TIMEOUT_S) == "/catalog/members?watch=1&from=7"
            )
            assert (await client.exchange(make_request()))[0] == 200
            assert (old.requests.qsize(), new.requests.qsize()) == (1, 1)
            node.process.send_signal(signal.SIGHUP)  # nothing new: the watch stays
            await node.next_line("configuration reloaded")
            second.push(8, [old.entry()], reset=True)
            await node.next_line("endpoint list version 8 ")
            assert second.targets.empty() and first.targets.empty()

    uvloop.run(test())
