"""Synthetic fleets for the benchmarks: endpoints, settings and node configurations."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any

from load_balancer.policy.endpoints import Endpoint, EndpointState
from load_balancer.policy.settings import Settings
from load_balancer.proxy.stable_id import stable_id
from load_balancer.settings_decoder import decode_settings

ZONES = tuple(f"z{i}" for i in range(12))
MACHINE_TYPES = ("m1", "m2", "m3")
ENDPOINTS_PER_CELL = 40
FLEET_NODES = 7900
"""Number of nodes in the fleet that docs/CAPACITY.md plans for."""

TOTAL_QUOTA_PER_S = 690_000.0  # requests per second, split evenly among the tenants
SNAPSHOT_CHUNK_ENTRIES = 200  # entries in one chunk of a snapshot

ALLOWED: dict[str, Any] = {
    "ConnIdle": 15000.0,
    "DialTimeout": 200.0,
    "MaxAttempts": 4,
    "MaxRetryAfter": 2000.0,
    "MayCancel": True,
    "RetryAfter": True,
}
"""What nodes are allowed to do, as the settings have it; times in ms."""
OBLIGATIONS: dict[str, Any] = {
    "AskWithin": 10000.0,
    "ColdFrom": 0.34,
    "DrainGrace": 1000.0,
    "OverloadFor": 1000.0,
    "RampTime": 8800.0,
    "TipMultiple": 4.0,
}
"""What nodes have to keep, as the settings have it; times in ms."""


def endpoint_name(number: int) -> str:
    """Return an endpoint's name: a hash of its number, which reveals no property, as in production."""
    return f"s-{(number * 2654435761) % (1 << 32):08x}"


def discovery_entry(number: int, state: str = "active", started: float = 0.0) -> dict[str, Any]:
    """Return an endpoint as an entry of a discovery response; `started` is a Unix time in ms."""
    return {
        "instanceId": endpoint_name(number),
        "hostPort": f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:9000",
        "zone": ZONES[number % len(ZONES)],
        "machineType": MACHINE_TYPES[number % len(MACHINE_TYPES)],
        "cell": number // ENDPOINTS_PER_CELL,
        "lifecycle": state,
        "weight": 1.0,
        "startedAtMs": started,
    }


def snapshot_chunks(endpoints: int, version: int) -> Iterator[bytes]:
    """Yield the JSON of a snapshot from discovery in chunks."""
    yield b'{"generation":%d,"reset":true,"instances":[' % version
    for first in range(0, endpoints, SNAPSHOT_CHUNK_ENTRIES):
        numbers = range(first, min(first + SNAPSHOT_CHUNK_ENTRIES, endpoints))
        entries = ",".join(json.dumps(discovery_entry(number), separators=(",", ":")) for number in numbers)
        yield (b"," if first else b"") + entries.encode()
    yield b"]}"


def policy_endpoint(
    number: int, state: EndpointState = EndpointState.READY, started: float = 0.0
) -> Endpoint:
    """Return the endpoint that `discovery_entry` describes; `started` is in ms on the policy's clock."""
    return Endpoint(
        id=stable_id(endpoint_name(number).encode()),
        zone=number % len(ZONES),
        machine_type=number % len(MACHINE_TYPES),
        cell=number // ENDPOINTS_PER_CELL,
        state=state,
        weight=1.0,
        started_at=started,
    )


def raw_settings(
    tenants: int = 8, classes: int = 3, node_index: int = 0, node_count: int = FLEET_NODES
) -> dict[str, Any]:
    """Return the settings to encode as JSON; the request classes cycle through the kinds of idempotency."""
    return {
        "Allowed": ALLOWED,
        "Azs": ZONES,
        "Kinds": MACHINE_TYPES,
        "Classes": [_raw_class(i) for i in range(classes)],
        "Customers": [{"Name": f"t{i}", "QuotaPerS": TOTAL_QUOTA_PER_S / tenants} for i in range(tenants)],
        "Discovery": "ask",
        "GroupSize": node_count,
        "Me": node_index,
        "MyZone": node_index % len(ZONES),
        "Obligations": OBLIGATIONS,
        "Prices": {"CrossZone": 0.12},
        "Tick": 5.0,
    }


def _raw_class(number: int) -> dict[str, Any]:
    return {
        "Name": f"c{number}",
        "Aim": 400.0,
        "Deadline": 1000.0,
        "Worth": 1.0 + number,
        "Idempotency": ("free", "guarded", "single_shot")[number % 3],
        "Window": 4000.0,
    }


def policy_settings(
    tenants: int = 8, classes: int = 3, node_index: int = 0, node_count: int = FLEET_NODES
) -> Settings:
    """Return the settings of `raw_settings`, decoded for the policy."""
    raw = raw_settings(tenants, classes, node_index, node_count)
    return decode_settings(json.dumps(raw).encode())


def node_config(
    discovery_port: int, listen_port: int, node_index: int = 0, node_count: int = FLEET_NODES
) -> dict[str, Any]:
    """Return the contents of the configuration file of a node on this machine."""
    return {
        "name": f"n{node_index}",
        "listen": f"127.0.0.1:{listen_port}",
        "discovery": f"127.0.0.1:{discovery_port}",
        "seed": f"{node_index + 1:016x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": raw_settings(node_index=node_index, node_count=node_count),
    }
