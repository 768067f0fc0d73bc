"""Client of the discovery service: fetches a snapshot, then follows changes on a watch and reopens it."""

from __future__ import annotations

import asyncio
import logging
import random
from collections import Counter
from collections.abc import Awaitable, Callable

import httptools

from load_balancer.policy.events import DiscoveryLoss
from load_balancer.proxy.address import Address
from load_balancer.proxy.backoff import Backoff
from load_balancer.proxy.clock import now_ms
from load_balancer.proxy.config import NOTIFIED_AFTER_S
from load_balancer.proxy.discovery_response import DiscoveryResponse, ResponseTimeouts, open_response
from load_balancer.proxy.endpoint_decoder import DiscoveryUpdate, UpdateDecoder
from load_balancer.proxy.errors import (
    DiscoveryError,
    EndpointListError,
    StaleVersionError,
    WatchEndedError,
    WatchSilentError,
)

MEMBERS_PATH = "/catalog/members"

# The node must learn of a change within NOTIFIED_AFTER_S even if a timeout ends the current call. So each
# timeout below + the longest backoff delay + QUEUE_TIMEOUT_S for the next call must not exceed that limit.
QUEUE_TIMEOUT_S = 2.0  # discovery handles one call at a time, and fails calls that wait longer
WATCH_IDLE_TIMEOUT_S = 3.2  # time without a complete line; discovery sends at least one every 2 s
CONNECT_TIMEOUT_S = 1.5
FIRST_BYTE_TIMEOUT_S = 2.5  # above QUEUE_TIMEOUT_S, since a repeated call goes to the end of the queue
SNAPSHOT_READ_TIMEOUT_S = 1.5  # limit for each read after the first
SNAPSHOT_TIMEOUT_S = 3.0  # limit for the whole snapshot; extended by its bytes / MIN_TRANSFER_RATE
NOTIFIED_AFTER_RELOAD_S = 4.0  # replaces NOTIFIED_AFTER_S after a change of discovery's address

BACKOFF_INITIAL_S = 0.05
BACKOFF_MAX_S = 0.5
BACKOFF_MAX_REJECTED_S = 3.0  # after repeated rejections, as the same invalid update is likely to come again
# Range of the random factor of a delay: nodes that lost discovery together must not call together.
BACKOFF_JITTER = (0.5, 1.5)
# When a discovery service that pushes updates becomes available again, the node is considered notified of all
# changes at once. The longest delay, 1.5 x BACKOFF_MAX_GRACE_SHARE of the drain grace, leaves more than half
# of the grace for the call.
BACKOFF_MAX_GRACE_SHARE = 0.25
# Number of consecutive snapshots below the newest version that shows that discovery has restarted its version
# numbers. Fewer may come from a replica of discovery that lags behind.
MAX_STALE_SNAPSHOTS = 3

logger = logging.getLogger(__name__)


def max_backoff(endpoints_are_polled: bool, drain_grace: float) -> float:
    """Return the longest backoff delay in s before jitter; ``drain_grace`` is in ms."""
    if endpoints_are_polled:
        return BACKOFF_MAX_S
    return min(BACKOFF_MAX_S, BACKOFF_MAX_GRACE_SHARE * drain_grace / 1000)


class DiscoveryClient:
    """Keeps the endpoint list up to date.

    Args:
        address: Address of discovery.
        new_decoder: Returns a decoder for one update.
        on_update: Applies an update.
        rng: Random number generator of the backoff.
        on_availability_change: Called when contact with discovery is lost or the kind of the loss changes,
            with the loss and the time in ms after which changes may have been missed, and with None and the
            time of the contact when there is contact again.
        max_backoff: Longest delay before a failed call is repeated, in s before jitter.
    """

    def __init__(
        self,
        address: Address,
        new_decoder: Callable[[], UpdateDecoder],
        on_update: Callable[[DiscoveryUpdate], Awaitable[None]],
        rng: random.Random,
        on_availability_change: Callable[[DiscoveryLoss | None, float], None],
        max_backoff: float = BACKOFF_MAX_S,
    ) -> None:
        self.address = address
        self.version: int | None = None  # version of the current list, or None if a snapshot is needed
        self.last_contact_at = now_ms()
        self.loss: DiscoveryLoss | None = None  # how contact was lost, or None after contact
        self.failure_counts: Counter[str] = Counter()  # by type of error; whoever reports them clears them
        self._new_decoder = new_decoder
        self._on_update = on_update
        self._on_availability_change = on_availability_change
        self._backoff = Backoff(BACKOFF_INITIAL_S, max_backoff, BACKOFF_JITTER, rng)
        self._newest_version: int | None = None  # version of the last update from this address
        self._stale_snapshots = 0  # consecutive snapshots below the newest version
        self._rejected_updates = 0  # number of rejections since a watch was last stable
        self._last_failure_reason = ""  # empty after contact
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to follow the endpoint list."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    def close(self) -> None:
        """Stop following the endpoint list at once."""
        if self._task is not None:
            self._task.cancel()

    def resume_from(self, version: int) -> None:
        """Skip the first snapshot, since the current list already has this version."""
        self.version = self._newest_version = version

    def change_address(self, address: Address) -> None:
        """Abort the current call and fetch a snapshot from another service, which has its own versions."""
        if address == self.address:
            return  # repeated reloads must not restart the call
        self.close()
        self.address = address
        self.version = self._newest_version = None
        self._stale_snapshots = 0
        self._backoff.reset()
        self._last_failure_reason = ""
        # After a reload the node is considered notified sooner, so the list expires that much sooner.
        stale_since = now_ms() - (NOTIFIED_AFTER_S - NOTIFIED_AFTER_RELOAD_S) * 1000
        self._set_loss(DiscoveryLoss.ADDRESS_CHANGED, stale_since)
        self.start()

    async def _run(self) -> None:
        while True:
            try:
                if self.version is None:
                    await self._fetch_snapshot()
                await self._watch()
            except EndpointListError as error:
                # The rejected update may have held a change, which only a snapshot can recover.
                self.version = None
                self._rejected_updates += 1
                self._record_failure(error, f"update rejected: {error}")
            except WatchSilentError as error:
                self._set_loss(DiscoveryLoss.WATCH_SILENT, error.silent_since)
                self._record_failure(error, str(error))
            except (OSError, DiscoveryError, httptools.HttpParserError) as error:
                self._record_failure(error, str(error) or type(error).__name__)
            except Exception:
                # If this task ended, the node would never update its endpoint list again.
                logger.exception("discovery: unexpected exception; fetching a snapshot")
                self.version = None
            maximum = BACKOFF_MAX_REJECTED_S if self._rejected_updates > 1 else None
            await asyncio.sleep(self._backoff.next_delay(maximum))

    def _record_failure(self, error: Exception, reason: str) -> None:
        self.failure_counts[f"discovery failures {type(error).__name__}"] += 1
        # Of consecutive failures, those whose reason differs from the previous reason are logged.
        if reason != self._last_failure_reason:
            logger.warning("discovery at %s:%d: %s; keeping the current endpoint list", *self.address, reason)
        self._last_failure_reason = reason
        # A failed call after another loss does not change when the node counts as notified.
        if self.loss is None:
            self._set_loss(DiscoveryLoss.UNREACHABLE, self.last_contact_at)

    def _record_contact(self) -> None:
        now = now_ms()
        if self.loss is not None:
            elapsed = now - self.last_contact_at
            logger.info("discovery at %s:%d: contact again after %.0f ms", *self.address, elapsed)
        self.last_contact_at = now
        self._last_failure_reason = ""
        self._set_loss(None, now)

    def _set_loss(self, loss: DiscoveryLoss | None, since: float) -> None:
        if loss is not self.loss:
            self.loss = loss
            self._on_availability_change(loss, since)

    async def _fetch_snapshot(self) -> None:
        timeouts = ResponseTimeouts(
            CONNECT_TIMEOUT_S, FIRST_BYTE_TIMEOUT_S, SNAPSHOT_READ_TIMEOUT_S, SNAPSHOT_TIMEOUT_S
        )
        async with open_response(self.address, MEMBERS_PATH, timeouts) as response:
            decoder = self._new_decoder()
            while not response.is_complete:
                decoder.feed(await response.read())
                await asyncio.sleep(0)  # lets other tasks run
            await self._apply(decoder)
            self._record_contact()

    async def _watch(self) -> None:
        timeouts = ResponseTimeouts(
            CONNECT_TIMEOUT_S, FIRST_BYTE_TIMEOUT_S, WATCH_IDLE_TIMEOUT_S, WATCH_IDLE_TIMEOUT_S
        )
        path = f"{MEMBERS_PATH}?watch=1&from={self.version}"
        async with open_response(self.address, path, timeouts) as response:
            opened_at = asyncio.get_running_loop().time()
            decoder = self._new_decoder()
            while not response.is_complete:
                # Each part but the last completes a line; the last begins the next line.
                *line_ends, next_line_start = (await self._read_watch(response)).split(b"\n")
                for line_end in line_ends:
                    decoder.feed(line_end)
                    await self._finish_line(decoder)
                    self._reset_backoff_if_stable(opened_at)
                    response.start_message()
                    decoder = self._new_decoder()
                decoder.feed(next_line_start)
                await asyncio.sleep(0)  # lets other tasks run
            if decoder.has_started:
                await self._finish_line(decoder)
        raise WatchEndedError

    async def _read_watch(self, response: DiscoveryResponse) -> bytes:
        """Read more of a watch.

        Raises:
            WatchSilentError: The watch is open, and brought no complete line in time.
            TimeoutError: The call for the watch had no response in time.
        """
        try:
            return await response.read()
        except TimeoutError:
            if response.begun_at is None:
                raise
            raise WatchSilentError(max(response.begun_at, self.last_contact_at)) from None

    async def _finish_line(self, decoder: UpdateDecoder) -> None:
        if decoder.has_started:  # an empty line is a heartbeat
            await self._apply(decoder)
        self._record_contact()

    def _reset_backoff_if_stable(self, opened_at: float) -> None:
        # After a rejected update the watch must stay open for a while first: on each watch, valid lines may
        # precede the same invalid one.
        is_stable = asyncio.get_running_loop().time() > opened_at + BACKOFF_MAX_REJECTED_S
        if not self._rejected_updates or is_stable:
            self._backoff.reset()
            self._rejected_updates = 0

    async def _apply(self, decoder: UpdateDecoder) -> None:
        update = decoder.finish()
        self._check_version(update)
        await self._on_update(update)
        self.version = self._newest_version = update.version
        self._stale_snapshots = 0

    def _check_version(self, update: DiscoveryUpdate) -> None:
        """Reject an update whose version is below the newest one.

        The last of MAX_STALE_SNAPSHOTS such snapshots in a row is accepted: discovery has restarted its
        version numbers.

        Raises:
            StaleVersionError: The update is rejected.
        """
        newest = self._newest_version
        if newest is None or update.version >= newest:
            return
        self._stale_snapshots += update.is_snapshot
        if not update.is_snapshot or self._stale_snapshots < MAX_STALE_SNAPSHOTS:
            raise StaleVersionError(update.version, newest)
        logger.warning(
            "discovery restarted its version numbers: version %d accepted after %d", update.version, newest
        )
