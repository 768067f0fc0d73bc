"""Applies updates of the endpoint list to the endpoint directory, the upstream pool and the policy.

An update may have 95,000 entries, so it is applied in slices, between which the event loop runs other tasks.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
import time
from collections.abc import Callable, Iterator

from load_balancer.policy.endpoints import Endpoint, EndpointState
from load_balancer.policy.events import EndpointUpdate, UpdateKind
from load_balancer.proxy.clock import now_ms
from load_balancer.proxy.endpoint_decoder import DiscoveryUpdate, UpdateBuilder
from load_balancer.proxy.endpoint_directory import EndpointDirectory
from load_balancer.proxy.endpoint_rows import EndpointRow
from load_balancer.proxy.errors import EndpointListError
from load_balancer.proxy.upstream_pool import UpstreamPool

CHANGES_PER_SLICE = 50  # maximum number of changed endpoints
ROWS_PER_SLICE = 500  # maximum number of compared rows, whether changed or not

logger = logging.getLogger(__name__)


class EndpointUpdater:
    """Applies updates of the endpoint list, one at a time.

    Args:
        directory: The current endpoint list.
        pool: Connections to the endpoints; the pool closes idle connections to an endpoint that changes.
        submit: Passes an event to the policy.
    """

    def __init__(
        self,
        directory: EndpointDirectory,
        pool: UpstreamPool,
        submit: Callable[[EndpointUpdate], None],
    ) -> None:
        self.unix_offset_ms = time.time() * 1000 - now_ms()
        """Unix time minus the time of the node's monotonic clock, in ms."""
        self._directory = directory
        self._pool = pool
        self._submit = submit

    async def apply_update(self, update: DiscoveryUpdate) -> None:
        """Apply an update, yielding to the event loop between slices."""
        for _ in self.apply_slices(update):
            await asyncio.sleep(0)

    def apply_cached_list(self, read: Callable[[UpdateBuilder], DiscoveryUpdate | None]) -> int | None:
        """Apply the cached endpoint list from the configuration file.

        Args:
            read: Reads the cached list with a builder, and returns None if the list is empty.

        Returns:
            The version of the list, or None if it is empty or malformed; a malformed list is logged.
        """
        try:
            update = read(self._directory.new_builder())
        except EndpointListError as error:
            logger.warning("ignoring malformed cached endpoint list: %s", error)
            return None
        if update is None:
            return None
        for _ in self.apply_slices(update, "cached"):
            pass
        return update.version

    def apply_slices(self, update: DiscoveryUpdate, source: str = "") -> Iterator[None]:
        """Apply an update slice by slice, yielding after each slice except the last.

        Args:
            update: Update to apply.
            source: Kind of update in the log line; by default "snapshot" or "delta".
        """
        changed: list[Endpoint] = []
        for endpoint in self._changes(update):
            if endpoint is not None:
                changed.append(endpoint)
            if endpoint is None or len(changed) >= CHANGES_PER_SLICE:
                self._submit(EndpointUpdate(UpdateKind.DELTA, update.version, changed, is_partial=True))
                changed = []
                yield
        self._submit(EndpointUpdate(UpdateKind.DELTA, update.version, changed))
        if update.rows or update.is_snapshot:
            _log_update(update, source or ("snapshot" if update.is_snapshot else "delta"))

    def _changes(self, update: DiscoveryUpdate) -> Iterator[Endpoint | None]:
        """Apply an update to the directory and the pool, and yield the changed endpoints.

        Yield None after every ``ROWS_PER_SLICE`` compared rows. Endpoints that may no longer be used come
        first, so that no such endpoint is sent a request while the rest of the update is applied.
        """
        row_counter = itertools.count(1)
        if update.is_snapshot:
            yield from self._remove_missing(update, row_counter)
        yield from self._apply_rows(update, row_counter, ready=False)
        yield from self._apply_rows(update, row_counter, ready=True)

    def _remove_missing(
        self, update: DiscoveryUpdate, row_counter: Iterator[int]
    ) -> Iterator[Endpoint | None]:
        missing_ids = []  # collected first, since the directory must not be modified during iteration
        for endpoint_id in self._directory.ids():
            if endpoint_id not in update.rows:
                missing_ids.append(endpoint_id)
            if next(row_counter) % ROWS_PER_SLICE == 0:
                yield None
        for endpoint_id in missing_ids:
            row = self._directory.get(endpoint_id)
            yield self._apply_row(endpoint_id, row._replace(state=EndpointState.REMOVED))

    def _apply_rows(
        self, update: DiscoveryUpdate, row_counter: Iterator[int], *, ready: bool
    ) -> Iterator[Endpoint | None]:
        for change in self._directory.changes(update.rows, ready):
            if change is not None:
                yield self._apply_row(*change)
            if next(row_counter) % ROWS_PER_SLICE == 0:
                yield None

    def _apply_row(self, endpoint_id: int, row: EndpointRow) -> Endpoint:
        self._directory.put(endpoint_id, row)
        target = self._directory.decode_target(row)
        self._pool.update_target(endpoint_id, target)
        return Endpoint(
            id=endpoint_id,
            zone=row.zone,
            machine_type=row.machine_type,
            cell=row.cell,
            state=target.state,
            weight=row.weight,
            started_at=row.started_at - self.unix_offset_ms if row.started_at else 0.0,
        )


def _log_update(update: DiscoveryUpdate, kind: str) -> None:
    omitted = len(update.rows) - len(update.first_entries)
    names = ", ".join(update.first_entries) + (f" and {omitted} more" if omitted > 0 else "")
    logger.info(
        "endpoint list version %d applied (%s, %d entries): %s", update.version, kind, len(update.rows), names
    )
