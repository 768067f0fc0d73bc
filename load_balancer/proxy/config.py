"""Configuration of a node: the ROUTER_* environment variables and the JSON file named by ROUTER_CONFIG."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from functools import partial
from pathlib import Path
from typing import IO, Any

import ijson
from ijson.common import ObjectBuilder

from load_balancer.policy.settings import Settings
from load_balancer.proxy.address import Address, parse_address
from load_balancer.proxy.cached_endpoints import config_events, load_cached_endpoints
from load_balancer.proxy.endpoint_decoder import DiscoveryUpdate, UpdateBuilder
from load_balancer.proxy.errors import ConfigError, InvalidAddressError
from load_balancer.proxy.memory_plan import BYTES_PER_MB, TYPICAL_PROCESS_BYTES
from load_balancer.settings_decoder import decode_settings

# The protocol considers a node notified of a change NOTIFIED_AFTER_S after discovery has the change and is
# reachable, whether or not the node has received the change.
NOTIFIED_AFTER_S = 6.0
LOOP_DELAY_ALLOWANCE_MS = 100.0  # margin for callbacks that the event loop runs late
MAX_BYTES_PER_ENDPOINT = 200  # memory per endpoint; half of it is in use only while a snapshot is decoded
ENDPOINTS_MEMORY_SHARE = 0.3  # of the memory that a started process leaves, for the endpoint list
DEFAULT_MEMORY_MB = 64


@dataclass(slots=True, frozen=True)
class Config:
    """Configuration of a node. Times are in ms."""

    name: str
    """Name of the node in the log."""
    listen: Address
    """Address on which the node accepts clients."""
    discovery: Address
    """Address of discovery."""
    seed: int
    """Seed of the random number generators."""
    max_descriptors: int
    """Maximum number of open file descriptors of the process."""
    load_cached_endpoints: Callable[[UpdateBuilder], DiscoveryUpdate | None] | None
    """Reads the endpoint list that the node had before its restart, or None if there is no such list."""
    settings: Settings
    """Settings of the policy."""
    classes: dict[bytes, int]
    """Indices of the request classes in the settings, by name."""
    tenants: dict[bytes, int]
    """Indices of the tenants in the settings, by name."""
    machine_types: dict[str, int]
    """Indices of the machine types in the settings, by name."""
    zones: dict[str, int]
    """Indices of the zones in the settings, by name."""
    drain_grace: float
    """Time from the notification that an endpoint drains until attempts at it must have stopped."""
    connect_timeout: float
    """Time limit for establishing a connection to an endpoint."""
    idle_timeout: float
    """Time after which an endpoint closes an idle connection."""
    memory_mb: float = DEFAULT_MEMORY_MB
    """Memory that the process may use, in MB."""
    max_endpoints: int = 100_000
    """Maximum number of endpoints in the endpoint list."""


def read_config(environ: Mapping[str, str]) -> Config:
    """Read the node's configuration. Environment variables override the same values in the file.

    Raises:
        ConfigError: The file can't be read, or a value is missing or invalid.
    """
    path = environ.get("ROUTER_CONFIG")
    if not path:
        raise ConfigError("ROUTER_CONFIG is not set")
    try:
        with Path(path).open("rb") as file:
            return _build_config(_parse_file(file), environ, Path(path))
    except OSError as error:
        raise ConfigError(error.strerror, path) from None
    except KeyError as error:
        raise ConfigError(f"{error} is missing", path) from None
    except (ConfigError, InvalidAddressError) as error:
        raise ConfigError(error, path) from None
    except (TypeError, ValueError, AttributeError, OverflowError, RecursionError) as error:
        raise ConfigError(error, path) from None  # a value has the wrong type or is out of range


def read_discovery_address(environ: Mapping[str, str]) -> Address:
    """Read the address of discovery from the file, ignoring ROUTER_DISCOVERY; the whole file is validated.

    Raises:
        ConfigError: The file can't be read, or any value is missing or invalid.
    """
    return read_config({key: value for key, value in environ.items() if key != "ROUTER_DISCOVERY"}).discovery


def decode_config(text: bytes | str, environ: Mapping[str, str]) -> Config:
    """Decode a configuration from JSON text, ignoring its cached endpoint list.

    Errors of decoding are raised as they are, not as ``ConfigError``.
    """
    return _build_config(json.loads(text) | {"known": False}, environ, Path())


def _parse_file(file: IO[bytes]) -> Any:
    """Parse the configuration file, with ``known`` replaced by whether there is a cached list."""
    builder = ObjectBuilder()
    try:
        for kind, value in config_events(file):
            builder.event(kind, value)
    except ijson.JSONError as error:
        file.seek(0)
        json.loads(file.read())  # raises an error with a shorter message
        raise ConfigError(" ".join(str(error).split())) from None
    return builder.value


def _build_config(raw: dict[str, Any], environ: Mapping[str, str], path: Path) -> Config:
    settings = raw["settings"]
    allowed = settings["Allowed"]
    drain_grace = float(settings["Obligations"]["DrainGrace"])
    memory_mb = float(raw["limits"].get("memory_mb", DEFAULT_MEMORY_MB))
    available_bytes = max(0.0, memory_mb * BYTES_PER_MB - TYPICAL_PROCESS_BYTES)
    return Config(
        name=str(environ.get("ROUTER_NAME") or raw["name"]),
        listen=parse_address(environ.get("ROUTER_LISTEN") or raw["listen"]),
        discovery=parse_address(environ.get("ROUTER_DISCOVERY") or raw["discovery"]),
        seed=int(raw["seed"], 16),
        max_descriptors=int(raw["limits"]["sockets"]),
        load_cached_endpoints=partial(load_cached_endpoints, path) if raw.get("known") else None,
        settings=_limit_stale_endpoints(decode_settings(json.dumps(settings).encode()), drain_grace),
        classes={entry["Name"].encode(): index for index, entry in enumerate(settings["Classes"])},
        tenants={entry["Name"].encode(): index for index, entry in enumerate(settings.get("Customers", ()))},
        machine_types={name: index for index, name in enumerate(settings.get("Kinds", ()))},
        zones={name: index for index, name in enumerate(settings.get("Azs", ()))},
        drain_grace=drain_grace,
        connect_timeout=float(allowed["DialTimeout"]),
        idle_timeout=float(allowed["ConnIdle"]),
        memory_mb=memory_mb,
        max_endpoints=int(available_bytes * ENDPOINTS_MEMORY_SHARE / MAX_BYTES_PER_ENDPOINT),
    )


def _limit_stale_endpoints(settings: Settings, drain_grace: float) -> Settings:
    """Limit how long a polled endpoint list may be used after the last contact with discovery.

    There is no limit if discovery pushes updates: the node is not considered notified of any change while
    discovery is unavailable, and considered notified of all changes at once when it is available again.
    """
    if not settings.endpoints_are_polled:
        return settings
    limit = NOTIFIED_AFTER_S * 1000 + drain_grace - LOOP_DELAY_ALLOWANCE_MS
    return replace(settings, stale_endpoints_limit=limit)
