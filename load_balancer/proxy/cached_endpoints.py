"""The endpoint list in the configuration file, field ``known``: as this node held it before its start.

It may have 95,000 entries. So it is read apart from the rest of the file, and goes straight to the builder.
"""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import IO, Any

import ijson

from load_balancer.proxy.endpoint_decoder import DiscoveryUpdate, ParserEvent, UpdateBuilder
from load_balancer.proxy.errors import ConfigError, EndpointListSyntaxError

_FIELD = "known"


def load_cached_endpoints(path: Path, builder: UpdateBuilder) -> DiscoveryUpdate | None:
    """Read the list from a configuration file; None if it is empty.

    Raises:
        EndpointListError: The list can't be used.
    """
    event_receiver = builder.event_receiver()
    next(event_receiver)
    try:
        with path.open("rb") as file:
            for is_cached_list, kind, value in _events(file):
                if is_cached_list:
                    event_receiver.send((kind, value))
    except ValueError as error:
        raise EndpointListSyntaxError(str(error), builder.position) from None
    return builder.build() if builder.has_entries else None


def config_events(file: IO[bytes]) -> Iterator[ParserEvent]:
    """Yield the parser's events of a configuration file, with true or false in the place of the list.

    Raises:
        ConfigError: The list is no JSON object.
        ijson.JSONError: The file is no JSON.
    """
    is_first = True
    for is_cached_list, kind, value in _events(file):
        if not is_cached_list:
            yield kind, value
        elif is_first:
            is_first = False
            if kind not in {"null", "start_map"}:
                raise ConfigError(f"{_FIELD} is no dictionary")
            yield "boolean", kind == "start_map"


def _events(file: IO[bytes]) -> Iterator[tuple[bool, str, Any]]:
    """Yield events, and whether each is part of the list. Plain tuples: there are millions of them."""
    depth = 0
    is_cached_list = False
    for kind, value in ijson.basic_parse(file, use_float=True):
        depth -= kind in {"end_map", "end_array"}
        yield is_cached_list, kind, value
        depth += kind in {"start_map", "start_array"}
        if depth == 1:
            is_cached_list = kind == "map_key" and value == _FIELD
