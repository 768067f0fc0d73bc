"""Reader of the cached endpoint list, which the configuration file holds in its field ``known``.

The cached list is the one that this node had before its last restart. It may have 95,000 entries, so it is
parsed separately from the rest of the file and passed to the builder event by event.
"""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import IO, Any

import ijson

from load_balancer.proxy.endpoint_decoder import DiscoveryUpdate, ParserEvent, UpdateBuilder
from load_balancer.proxy.errors import ConfigError, EndpointListSyntaxError

_CACHED_LIST_FIELD = "known"


def load_cached_endpoints(path: Path, builder: UpdateBuilder) -> DiscoveryUpdate | None:
    """Read the cached list from a configuration file; return None if the list is empty.

    Raises:
        EndpointListError: The list is invalid.
    """
    event_receiver = builder.event_receiver()
    next(event_receiver)
    try:
        with path.open("rb") as file:
            for is_cached_list, kind, value in _tagged_events(file):
                if is_cached_list:
                    event_receiver.send((kind, value))
    except ValueError as error:
        raise EndpointListSyntaxError(str(error), builder.position) from None
    return builder.build() if builder.has_entries else None


def config_events(file: IO[bytes]) -> Iterator[ParserEvent]:
    """Yield the JSON events of a configuration file, with a boolean in place of the cached endpoint list.

    The boolean is true if the file has a list, and false if the field is null.

    Raises:
        ConfigError: The cached list is neither a JSON object nor null.
        ijson.JSONError: The file is not valid JSON.
    """
    is_first = True
    for is_cached_list, kind, value in _tagged_events(file):
        if not is_cached_list:
            yield kind, value
        elif is_first:
            is_first = False
            if kind not in {"null", "start_map"}:
                raise ConfigError(f"{_CACHED_LIST_FIELD} is not an object")
            yield "boolean", kind == "start_map"


def _tagged_events(file: IO[bytes]) -> Iterator[tuple[bool, str, Any]]:
    """Yield for each JSON event whether it belongs to the cached list, its kind and its value.

    The items are plain tuples because a large list has millions of events.
    """
    depth = 0
    is_cached_list = False
    for kind, value in ijson.basic_parse(file, use_float=True):
        depth -= kind in {"end_map", "end_array"}
        yield is_cached_list, kind, value
        depth += kind in {"start_map", "start_array"}
        if depth == 1:
            is_cached_list = kind == "map_key" and value == _CACHED_LIST_FIELD
