"""Limits the memory that connections hold: input, queued requests, and incomplete or unsent responses.

Each holder has a ``MemoryAccount``, which it keeps up to date. The budget refuses growth that does not fit,
and makes room by having holders that make no progress give up what they hold.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable

# Up to this size a holder may use all of the budget. The objects of a connection with a short message fit.
SMALL_BYTES = 10_240
# Larger holders leave this share of the budget free for small ones. Of the rest each may have a share of what
# is free, so that the first ones leave room for others.
RESERVED_SHARE = 0.5
FREE_SHARE = 0.25
STALL_TIMEOUT_S = 0.3  # time without progress after which a holder has to make room for others

BYTES_PER_KB = 1000

# Names of the counters in the log.
GROWTH_REFUSED = "memory refused"
STALLED_RELEASED = "memory taken from stalled connections"

logger = logging.getLogger(__name__)


def nothing_to_release() -> bool:
    """Release nothing: for a holder whose memory is needed or has been given back."""
    return False


class MemoryAccount:
    """Bytes that one connection holds.

    Args:
        budget: The budget that all accounts share.
        release: Makes the holder give up what a stalled peer makes it hold, and returns whether it did. It
            must call ``resize`` then.
    """

    __slots__ = ("_budget", "release", "size")

    def __init__(self, budget: MemoryBudget, release: Callable[[], bool]) -> None:
        self.size = 0
        """Bytes held."""
        self.release = release
        self._budget = budget

    def resize(self, size: int) -> None:
        """Set the bytes held, whether or not they fit, and record that the holder makes progress."""
        was_large = self.size > SMALL_BYTES
        self._budget.used += size - self.size
        self.size = size
        if was_large or size > SMALL_BYTES:
            self._budget.record_progress(self)

    def try_resize(self, size: int) -> bool:
        """Set the bytes held as ``resize`` does, or return False and change nothing if they don't fit."""
        growth = size - self.size
        if growth > 0:
            budget = self._budget
            fits_at_once = size <= SMALL_BYTES and budget.used + growth <= budget.limit
            if not fits_at_once and not budget.make_room(self, size):
                return False
        self.resize(size)
        return True


class MemoryBudget:
    """Memory that all connections together may hold.

    Attributes:
        limit: The budget in bytes.
        used: Bytes held by all accounts.
        counts: Counters, which the metrics reporter clears after each report.
    """

    def __init__(self, limit: int, time: Callable[[], float]) -> None:
        """Create a budget of ``limit`` bytes; ``time`` is a clock in s."""
        self.limit = limit
        self.used = 0
        self.counts: Counter[str] = Counter()
        self._time = time
        # Accounts above SMALL_BYTES with the times of their last progress, which are in ascending order.
        self._progress_times: dict[MemoryAccount, float] = {}

    def record_progress(self, account: MemoryAccount) -> None:
        """Restart the time after which an account's holder counts as stalled."""
        self._progress_times.pop(account, None)
        if account.size > SMALL_BYTES:
            self._progress_times[account] = self._time()

    def has_room(self, size: int) -> bool:
        """Return whether a new holder of ``size`` bytes, at most ``SMALL_BYTES``, fits."""
        return self.used + size <= self.limit

    def make_room(self, account: MemoryAccount, size: int) -> bool:
        """Return whether an account may grow to ``size`` bytes, if need be after stalled ones made room."""
        if self._fits(account, size):
            return True
        for stalled in self._stalled_accounts():
            if stalled is not account and stalled.release():
                self.counts[STALLED_RELEASED] += 1
                if self._fits(account, size):
                    return True
        self.counts[GROWTH_REFUSED] += 1
        held, limit = self.used // BYTES_PER_KB, self.limit // BYTES_PER_KB
        logger.warning("memory for connections is short: %d of %d KB held", held, limit)
        return False

    def _fits(self, account: MemoryAccount, size: int) -> bool:
        free = self.limit - self.used + account.size
        if size <= SMALL_BYTES:
            return size <= free
        return size <= min(free - self.limit * RESERVED_SHARE, free * FREE_SHARE)

    def _stalled_accounts(self) -> list[MemoryAccount]:
        stalled_before = self._time() - STALL_TIMEOUT_S
        stalled = []
        for account, progress_at in self._progress_times.items():
            if progress_at > stalled_before:
                break
            stalled.append(account)
        return stalled
