"""Compact storage of an endpoint list: a packed row of 49 bytes for each endpoint."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from load_balancer.policy.endpoints import EndpointState
from load_balancer.policy.packed_table import PackedTable

_ROW_FORMAT = "<qqqBddQ"  # struct format of the fields of EndpointRow, in the same order
_STATE_INDEX = 3  # position of the field ``state``


class EndpointRow(NamedTuple):
    """An entry of the endpoint list, without the endpoint's id, which is the key of the row."""

    zone: int
    machine_type: int
    cell: int
    state: int
    """Value of an ``EndpointState``."""
    weight: float
    started_at: float
    """Unix time of the last start in ms, or 0 if that was long ago."""
    address: int
    """Address of the endpoint, encoded by ``AddressTable``."""


class EndpointRowTable(PackedTable):
    """Endpoint rows by endpoint id, in ascending order of the ids.

    ``put`` is inherited and takes the fields of a row as separate arguments: a wrapper that takes an
    ``EndpointRow`` would slow decoding down.
    """

    def __init__(self) -> None:
        super().__init__(_ROW_FORMAT)

    def get(self, key: int) -> EndpointRow | None:
        """Return the row of an endpoint, or None if it is not in the table."""
        values = super().get(key)
        return None if values is None else EndpointRow(*values)

    def items(self, low: int = 0, high: int = 1 << 64) -> Iterator[tuple[int, EndpointRow]]:
        """Yield ids from ``low`` to below ``high``, in order, with their rows.

        The table must not be modified meanwhile.
        """
        for key, values in super().items(low, high):
            yield key, EndpointRow(*values)

    def ids(self) -> Iterator[int]:
        """Yield the ids in ascending order; the table must not be modified meanwhile."""
        for key, _ in super().items():  # noqa: PERF102 (not a dict)
            yield key

    def changes(self, current: EndpointRowTable, ready: bool) -> Iterator[tuple[int, EndpointRow] | None]:
        """Compare the rows of this table, which come from an update, with the current list.

        Yield the id and row of each endpoint that is new or differs, and None for every other row. Only rows
        that are yielded become an ``EndpointRow``, because most rows of a snapshot are unchanged.

        Args:
            current: Rows of the current list, which may be modified meanwhile.
            ready: True to yield endpoints that this table lists as READY, False to yield all others.
        """
        get_current = super(EndpointRowTable, current).get
        for key, values in super().items():
            is_ready = values[_STATE_INDEX] == EndpointState.READY
            if is_ready is ready and get_current(key) != values:
                yield key, EndpointRow(*values)
            else:
                yield None
