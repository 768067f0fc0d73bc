"""Reload of the configuration file on SIGHUP."""

from __future__ import annotations

import asyncio
import json
import signal
from pathlib import Path

import uvloop

from tests.proxy.process import make_config_content, running_node_process
from tests.proxy.stubs import TIMEOUT_S, DiscoveryStub, UpstreamStub, make_request


def test_sighup_switches_to_the_discovery_address_in_the_file(tmp_path: Path) -> None:
    async def test() -> None:
        upstream_1, upstream_2 = await UpstreamStub().start(), await UpstreamStub().start()
        discovery_1, discovery_2 = (
            await DiscoveryStub([upstream_1.entry()]).start(),
            await DiscoveryStub([upstream_2.entry("s-2")], 7).start(),
        )
        path = tmp_path / "config.json"
        # At the start the environment variable overrides the file; a reload uses the file.
        environment = {"ROUTER_DISCOVERY": f"127.0.0.1:{discovery_1.port}"}
        async with running_node_process(path, 1, extra_environment=environment) as node:
            while "watch" not in await asyncio.wait_for(discovery_1.targets.get(), TIMEOUT_S):
                pass
            for invalid_text in (
                "{",
                "",
                json.dumps(make_config_content())[:200],
                "[" * 100_000,
                json.dumps({"discovery": 1}),
            ):
                path.write_text(invalid_text)
                node.process.send_signal(signal.SIGHUP)
                await node.next_line("ERROR configuration unchanged")
            client = await node.connect()
            assert (await client.exchange(make_request()))[0] == 200
            path.write_text(
                json.dumps(make_config_content() | {"discovery": f"127.0.0.1:{discovery_2.port}"})
            )
            node.process.send_signal(signal.SIGHUP)
            assert await asyncio.wait_for(discovery_2.targets.get(), TIMEOUT_S) == "/catalog/members"
            # Both connections are closed, that of the snapshot request and that of the watch.
            await asyncio.wait_for(discovery_1.disconnects.get(), TIMEOUT_S)
            await asyncio.wait_for(discovery_1.disconnects.get(), TIMEOUT_S)
            assert (
                await asyncio.wait_for(discovery_2.targets.get(), TIMEOUT_S)
                == "/catalog/members?watch=1&from=7"
            )
            assert (await client.exchange(make_request()))[0] == 200
            assert (upstream_1.requests.qsize(), upstream_2.requests.qsize()) == (1, 1)
            node.process.send_signal(signal.SIGHUP)  # the discovery address is the same: the watch stays open
            await node.next_line("configuration reloaded")
            discovery_2.push(8, [upstream_1.entry()], reset=True)
            await node.next_line("endpoint list version 8 ")
            assert discovery_2.targets.empty() and discovery_1.targets.empty()

    uvloop.run(test())
