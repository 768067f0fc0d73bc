"""The node as a process: start, configuration and the limit on file descriptors."""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
from pathlib import Path
from typing import Any

import pytest
import uvloop

from benchmarks.fleet import discovery_entry
from load_balancer.proxy.address_table import AddressTable
from load_balancer.proxy.config import read_config
from load_balancer.proxy.endpoint_decoder import UpdateBuilder
from tests.proxy.process import NODE_COMMAND, make_config_content, running_node_process
from tests.proxy.stubs import TIMEOUT_S, DiscoveryStub, UpstreamStub, make_request


@pytest.mark.parametrize(
    ("change", "expected_text"),
    [
        ({"listen": "127.0.0.1"}, "is not a host:port address"),
        ({"seed": "xyz"}, "xyz"),
        ({"known": "none"}, "known is not an object"),
        ({"settings": {}}, "Allowed"),
        ({"limits": None}, "NoneType"),
        (None, "ROUTER_CONFIG"),
        ("not JSON", "line 1"),
        ("[]", "list"),
    ],
)
def test_invalid_configuration_exits_with_a_one_line_message(
    tmp_path: Path, change: Any, expected_text: str
) -> None:
    path = tmp_path / "config.json"
    path.write_text(change if isinstance(change, str) else json.dumps(make_config_content() | (change or {})))
    environ = {k: v for k, v in os.environ.items() if not k.startswith("ROUTER_")}
    if change is not None:
        environ["ROUTER_CONFIG"] = str(path)
    result = subprocess.run(NODE_COMMAND, env=environ, capture_output=True, text=True, check=False)
    assert (result.returncode, result.stdout) == (2, "")
    assert expected_text in result.stderr and result.stderr.count("\n") == 1


@pytest.mark.parametrize(
    ("cached_list", "endpoint_count"),
    [
        ({"generation": 4, "reset": True, "instances": [discovery_entry(1), discovery_entry(2)]}, 2),
        ({"generation": 4, "reset": True, "instances": []}, None),
        ({}, None),
        (None, None),
    ],
)
def test_cached_endpoint_list_is_read_separately_from_the_settings(
    tmp_path: Path, cached_list: Any, endpoint_count: int | None
) -> None:
    path = tmp_path / "config.json"
    # A nested field named "known" is not the cached list.
    path.write_text(
        json.dumps({"known": cached_list} | make_config_content() | {"other": {"known": {"instances": 7}}})
    )
    config = read_config({"ROUTER_CONFIG": str(path)})
    assert config.settings.classes[0].latency_objective == 5000.0
    builder = UpdateBuilder(lambda name: int(name[2:], 16), lambda name: 0, {}, AddressTable(), 9)
    update = config.load_cached_endpoints(builder) if config.load_cached_endpoints else None
    assert (update and (update.version, len(update.rows))) == (endpoint_count and (4, endpoint_count))


def test_discovery_and_upstreams_stay_reachable_while_idle_clients_use_up_the_descriptors(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        old_upstream, new_upstream = await UpstreamStub().start(), await UpstreamStub().start()
        discovery = await DiscoveryStub([old_upstream.entry()]).start()
        async with running_node_process(
            tmp_path / "config.json", discovery.port, max_descriptors=128
        ) as node:
            while "watch" not in await asyncio.wait_for(discovery.targets.get(), TIMEOUT_S):
                pass
            # Discovery becomes unavailable: it rejects connections and closes the open watch.
            discovery.server.close()
            discovery.watch_lines.put_nowait(None)
            await node.next_line("discovery at .*: ")
            idle_clients = [await node.connect() for _ in range(200)]
            discovery.server = await asyncio.start_server(discovery.serve, "127.0.0.1", discovery.port)
            discovery.push(2, [old_upstream.entry(lifecycle="leaving"), new_upstream.entry("s-2")])
            await node.next_line("endpoint list version 2 ")
            client = await node.connect()
            assert (await client.exchange(make_request()))[0] == 200
            assert new_upstream.requests.qsize() == 1 and old_upstream.requests.empty()
            for idle_client in idle_clients:
                idle_client.writer.close()

    uvloop.run(test())
