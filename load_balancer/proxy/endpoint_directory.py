"""The current endpoint list: a row for each endpoint, and the numbers that stand for names in it."""

from __future__ import annotations

from collections.abc import Iterator

from load_balancer.policy.endpoints import EndpointState
from load_balancer.proxy.address_table import AddressTable
from load_balancer.proxy.config import Config
from load_balancer.proxy.endpoint_decoder import UpdateBuilder, UpdateDecoder
from load_balancer.proxy.endpoint_rows import EndpointRow, EndpointRowTable
from load_balancer.proxy.stable_id import stable_id
from load_balancer.proxy.upstream import UpstreamTarget


class EndpointDirectory:
    """The endpoints of the current list by id.

    An id is a hash of the endpoint's name, so it is the same at every node and after every restart.
    """

    def __init__(self, config: Config) -> None:
        self._config = config
        self._rows = EndpointRowTable()
        self._addresses = AddressTable()

    def __len__(self) -> int:
        return len(self._rows)

    def ids(self) -> Iterator[int]:
        """Iterate over the ids in ascending order; the directory must not be modified meanwhile."""
        return self._rows.ids()

    def get(self, endpoint_id: int) -> EndpointRow:
        """Return the row of an endpoint.

        Raises:
            KeyError: The endpoint is not in the list.
        """
        row = self._rows.get(endpoint_id)
        if row is None:
            raise KeyError(endpoint_id)
        return row

    def changes(self, rows: EndpointRowTable, ready: bool) -> Iterator[tuple[int, EndpointRow] | None]:
        """Compare the rows of an update with the current list.

        Yield the id and row of each endpoint that is new or differs, and None for every other row.

        Args:
            rows: Rows of the update.
            ready: True to yield endpoints that the update lists as READY, False to yield all others.
        """
        return rows.changes(self._rows, ready)

    def put(self, endpoint_id: int, row: EndpointRow) -> None:
        """Add an endpoint or replace its row; a row in state REMOVED removes the endpoint."""
        if row.state == EndpointState.REMOVED:
            self._rows.pop(endpoint_id)
        else:
            self._rows.put(endpoint_id, *row)

    def target(self, endpoint_id: int) -> UpstreamTarget:
        """Return what connections to an endpoint depend on: its address, state and start time.

        Raises:
            KeyError: The endpoint is not in the list.
        """
        return self.decode_target(self.get(endpoint_id))

    def decode_target(self, row: EndpointRow) -> UpstreamTarget:
        """Return the same fields from a row, whose endpoint need not be in the current list."""
        return UpstreamTarget(self._addresses.decode(row.address), EndpointState(row.state), row.started_at)

    def zone_number(self, name: str) -> int:
        """Return the number of a zone: its index in the settings, or a negative hash of its name.

        The hash distinguishes zones that are missing from the settings.
        """
        number = self._config.zones.get(name)
        return -(stable_id(name.encode()) >> 1) - 1 if number is None else number

    def new_builder(self) -> UpdateBuilder:
        """Return a builder that uses this directory's address table and zone numbers, for one update."""
        config = self._config
        return UpdateBuilder(
            _endpoint_id, self.zone_number, config.machine_types, self._addresses, config.max_endpoints
        )

    def new_decoder(self) -> UpdateDecoder:
        """Return a decoder that uses this directory's address table and zone numbers, for one update."""
        return UpdateDecoder(self.new_builder())


def _endpoint_id(name: str) -> int:
    return stable_id(name.encode())
