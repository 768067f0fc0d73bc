"""Incremental decoder of endpoint lists from discovery.

A snapshot of 95,000 endpoints is 14 MB of JSON. To save memory it is held neither as text nor as Python
objects: each entry is validated and packed as soon as it has arrived. The packed rows are separate from those
of the current endpoint list, so an update with an invalid entry leaves that list unchanged.
"""

from __future__ import annotations

import math
import struct
from collections.abc import Callable, Generator, Mapping
from dataclasses import dataclass
from typing import Any

import ijson

from load_balancer.policy.endpoints import EndpointState
from load_balancer.proxy.address import parse_address
from load_balancer.proxy.address_table import AddressTable
from load_balancer.proxy.endpoint_rows import EndpointRow, EndpointRowTable
from load_balancer.proxy.errors import (
    AddressTableFullError,
    DuplicateEndpointError,
    EndpointEntryError,
    EndpointListFieldError,
    EndpointListSyntaxError,
    InvalidAddressError,
    InvalidFieldError,
    TooManyEndpointsError,
)

MAX_ENTRY_SIZE = 65_536  # bytes of text without a complete entry; entries have some 200
MAX_NESTING = 16  # levels of objects and arrays in the value of an ignored field
LOGGED_ENTRIES = 4  # entries of an update that are named in the log
UNKNOWN_MACHINE_TYPE = -1

_STATES_BY_LIFECYCLE = {
    "active": EndpointState.READY,
    "leaving": EndpointState.DRAINING,
    "left": EndpointState.REMOVED,
}

ParserEvent = tuple[str, Any]
"""An ijson event: its kind, and the value of a scalar or the name of a key."""


@dataclass(slots=True)
class DiscoveryUpdate:
    """A completely decoded snapshot or delta of the endpoint list."""

    version: int
    is_snapshot: bool
    rows: EndpointRowTable
    """Entries by endpoint id; if a delta lists an endpoint more than once, only the last entry."""
    first_entries: list[str]
    """Name and state of the first ``LOGGED_ENTRIES`` entries, for the log."""


class UpdateBuilder:
    """Builds a ``DiscoveryUpdate`` from the events of a JSON parser.

    The builder must not refer to its parser: the garbage collector can't traverse the parser, so a reference
    cycle through it would never be freed.

    Args:
        endpoint_id: Returns the id of the endpoint with a given name.
        zone_number: Returns the number of the zone with a given name.
        machine_types: Numbers of the machine types by name.
        addresses: Table that encodes the addresses of the endpoints.
        max_endpoints: Maximum number of endpoints in an update.
    """

    def __init__(
        self,
        endpoint_id: Callable[[str], int],
        zone_number: Callable[[str], int],
        machine_types: Mapping[str, int],
        addresses: AddressTable,
        max_endpoints: int,
    ) -> None:
        self._endpoint_id = endpoint_id
        self._zone_number = zone_number
        self._machine_types = machine_types
        self._addresses = addresses
        self._max_endpoints = max_endpoints
        self._fields: dict[str, Any] = {}  # top-level fields of the update, without the entries
        self._rows = EndpointRowTable()
        self._first_entries: list[str] = []
        self._duplicate_name: str | None = None  # name of the first endpoint listed twice
        self._entry_count: int | None = None  # None until the array of entries begins

    @property
    def position(self) -> str:
        """Position of the last event in the list, for error messages."""
        return "before its entries" if self._entry_count is None else f"after {self._entry_count} entries"

    @property
    def has_entries(self) -> bool:
        """Whether at least one entry has been decoded."""
        return bool(self._entry_count)

    def build(self) -> DiscoveryUpdate:
        """Return the update; its JSON object must be complete.

        Raises:
            EndpointListFieldError: A field of the update is missing or invalid.
            DuplicateEndpointError: A snapshot lists an endpoint twice.
        """
        try:
            version, is_snapshot = int(self._fields["generation"]), bool(self._fields["reset"])
        except (KeyError, TypeError, ValueError, OverflowError) as error:
            raise EndpointListFieldError(f"{type(error).__name__}: {error}") from None
        if self._entry_count is None:
            raise EndpointListFieldError("instances is missing")
        if is_snapshot and self._duplicate_name is not None:
            raise DuplicateEndpointError(self._duplicate_name)
        return DiscoveryUpdate(version, is_snapshot, self._rows, self._first_entries)

    def event_receiver(self) -> Generator[None, ParserEvent, None]:
        """Return a generator for the parser's events: call ``next`` once, then ``send`` with each event.

        Raises:
            EndpointListError: The list is invalid.
        """
        if (yield)[0] != "start_map":
            raise EndpointListSyntaxError("not a JSON object")
        kind, field = yield
        while kind != "end_map":
            kind, value = yield
            if field == "instances":
                if kind != "start_array":
                    raise EndpointListSyntaxError("instances is not an array")
                self._entry_count = self._entry_count or 0
                yield from self._receive_entries()
            elif kind in {"start_map", "start_array"}:
                yield from self._skip_container()
            else:
                self._fields[field] = value
            kind, field = yield
        while True:  # the parser rejects anything but white space after the object
            yield

    def _receive_entries(self) -> Generator[None, ParserEvent, None]:
        while (kind := (yield)[0]) != "end_array":
            if kind != "start_map":
                raise EndpointListSyntaxError("entry is not an object", self.position)
            entry: dict[str, Any] = {}
            kind, field = yield
            while kind != "end_map":
                kind, value = yield
                if kind in {"start_map", "start_array"}:
                    yield from self._skip_container()
                else:
                    entry[field] = value
                kind, field = yield
            self._add_entry(entry)

    def _skip_container(self) -> Generator[None, ParserEvent, None]:
        """Ignore events up to the end of an object or array whose start event has been received."""
        depth = 1
        while depth:
            kind = (yield)[0]
            depth += kind.startswith("start") - kind.startswith("end")
            if depth > MAX_NESTING:
                raise EndpointListSyntaxError("objects or arrays are nested too deeply", self.position)

    def _add_entry(self, entry: dict[str, Any]) -> None:
        assert self._entry_count is not None
        self._entry_count += 1
        try:
            name = str(entry["instanceId"])
            endpoint_id = self._endpoint_id(name)
            row = self._decode_entry(entry)
            self._rows.put(endpoint_id, *row)
        except KeyError as error:
            raise self._entry_error(entry, f"{error} is missing") from None
        except (InvalidAddressError, InvalidFieldError, AddressTableFullError) as error:
            raise self._entry_error(entry, error) from None
        except ValueError as error:  # a lone surrogate or a null character in a name or host
            raise self._entry_error(entry, error) from None
        except struct.error as error:  # an integer that does not fit in 64 bits
            raise self._entry_error(entry, error) from None
        if self._entry_count <= LOGGED_ENTRIES:
            self._first_entries.append(f"{name} {EndpointState(row.state).name.lower()}")
        size = len(self._rows)
        if size < self._entry_count and self._duplicate_name is None:  # the entry replaced an earlier one
            self._duplicate_name = name
        if size > self._max_endpoints:
            raise TooManyEndpointsError(self._max_endpoints)

    def _entry_error(self, entry: dict[str, Any], reason: object) -> EndpointEntryError:
        return EndpointEntryError(self._entry_count or 0, entry.get("instanceId", "unnamed"), reason)

    def _decode_entry(self, entry: dict[str, Any]) -> EndpointRow:
        zone = self._zone_number(str(entry.get("zone", "")))
        machine_type = self._machine_types.get(entry.get("machineType", ""), UNKNOWN_MACHINE_TYPE)
        state = _STATES_BY_LIFECYCLE.get(entry["lifecycle"])
        if state is None:
            raise InvalidFieldError("lifecycle", entry["lifecycle"])
        try:
            cell = int(entry.get("cell", 0))
            weight, started_at = float(entry.get("weight", 1.0)), float(entry.get("startedAtMs", 0))
        except (TypeError, ValueError, OverflowError):
            raise _invalid_number(entry) from None
        if not math.isfinite(weight) or weight < 0:
            raise InvalidFieldError("weight", weight)
        if not math.isfinite(started_at):
            raise InvalidFieldError("startedAtMs", started_at)
        address = self._addresses.encode(parse_address(entry["hostPort"]))
        return EndpointRow(zone, machine_type, cell, state, weight, started_at, address)


def _invalid_number(entry: dict[str, Any]) -> InvalidFieldError:
    """Return an error that names the entry's first numeric field with a value that is not a number."""
    converters: tuple[tuple[str, Callable[[Any], object]], ...] = (("cell", int), ("weight", float))
    for field, convert in converters:
        try:
            convert(entry.get(field, 0))
        except (TypeError, ValueError, OverflowError):
            return InvalidFieldError(field, entry[field])
    return InvalidFieldError("startedAtMs", entry["startedAtMs"])


class UpdateDecoder:
    """Decodes the JSON text of one update, which arrives in pieces."""

    def __init__(self, builder: UpdateBuilder) -> None:
        self._builder = builder
        self._parser: Any = None
        self._bytes_since_entry = 0  # bytes of the text since the last complete entry

    @property
    def has_started(self) -> bool:
        """Whether anything but white space has been received."""
        return self._parser is not None

    def feed(self, data: bytes) -> None:
        """Decode the next piece of the text, which may be empty.

        Raises:
            EndpointListError: The list is invalid.
        """
        if not data:
            return  # the parser would take an empty piece for the end of the text
        if self._parser is None:
            if data.isspace():
                return
            event_receiver = self._builder.event_receiver()
            next(event_receiver)
            self._parser = ijson.basic_parse_coro(event_receiver, use_float=True)
        position = self._builder.position
        try:
            self._parser.send(data)
        except (ijson.JSONError, ValueError, StopIteration, RecursionError) as error:
            raise EndpointListSyntaxError(str(error), self._builder.position) from None
        self._check_entry_size(len(data), is_entry_complete=self._builder.position != position)

    def _check_entry_size(self, size: int, is_entry_complete: bool) -> None:
        """Reject a text that goes on without a complete entry: the JSON parser may hold all of it."""
        self._bytes_since_entry = 0 if is_entry_complete else self._bytes_since_entry + size
        if self._bytes_since_entry > MAX_ENTRY_SIZE:
            raise EndpointListSyntaxError("an entry is too large", self._builder.position)

    def finish(self) -> DiscoveryUpdate:
        """Return the update; all of its JSON text must have been fed.

        Raises:
            EndpointListError: The list is invalid or incomplete.
        """
        if self._parser is None:
            raise EndpointListSyntaxError("the JSON is empty")
        try:
            self._parser.close()
        except (ijson.JSONError, ValueError):
            raise EndpointListSyntaxError("the JSON is incomplete", self._builder.position) from None
        return self._builder.build()
